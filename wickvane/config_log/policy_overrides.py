"""Applies policies to a deployment's settings, and compares deployments; performs no I/O."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypeVar

from wickvane.config_log.policy_document import DEPLOYMENT_NODES, GROUP_NODES, GroupOverrides, Policy
from wickvane.events import Deployment, ResourceGroup

Value = TypeVar("Value")


class SettingChange(NamedTuple):
    """One setting that differs between two deployments.

    setting: its name in a policy document, which operators know; times are in ticks.
    """

    setting: str
    before: float
    after: float


def apply_policy(
    policy: Policy, deployment: Deployment, group_names: Sequence[str], tenant_names: Sequence[str]
) -> Deployment:
    """Returns the deployment with the settings that the policy overrides.

    group_names, tenant_names: the names in the deployment's order; a group's name may occur once for each
    client protocol.
    """
    groups = [
        _apply_to_group(policy.groups[name], group) if name in policy.groups else group
        for name, group in zip(group_names, deployment.groups, strict=True)
    ]
    tenants = [
        (policy.tenant_shares.get(name, share), rate)
        for name, (share, rate) in zip(tenant_names, deployment.tenants, strict=True)
    ]
    budget = policy.retry_budget
    return deployment._replace(
        groups=groups,
        tenants=tenants,
        retry_budget_minimum=_override(deployment.retry_budget_minimum, budget.minimum),
        retry_budget_ratio=_override(deployment.retry_budget_ratio, budget.ratio),
        collapse_multiple=_override(deployment.collapse_multiple, policy.collapse_multiple),
    )


def strictest(first: Deployment, second: Deployment) -> Deployment:
    """Returns a deployment with the lower of each bound and weight of two deployments.

    It is for a dispatcher that does not know which of two policies is active.
    """
    groups = [_strictest_group(*pair) for pair in zip(first.groups, second.groups, strict=True)]
    tenants = [
        (min(first_share, second_share), rate)
        for (first_share, rate), (second_share, _) in zip(first.tenants, second.tenants, strict=True)
    ]
    lower = {field: min(getattr(first, field), getattr(second, field)) for field in DEPLOYMENT_NODES}
    return first._replace(groups=groups, tenants=tenants, **lower)


def differences(
    before: Deployment, after: Deployment, group_names: Iterable[str], tenant_names: Iterable[str]
) -> list[SettingChange]:
    """Returns the settings that a policy can override and that differ.

    The groups' settings come first, then the tenants', then the deployment's.
    """
    changes = []
    for name, old_group, new_group in zip(group_names, before.groups, after.groups, strict=True):
        for field, node_name in GROUP_NODES.items():
            changes += _compare(f"group {name} {node_name}", old_group, new_group, field)
    for name, (old_share, _), (new_share, _) in zip(tenant_names, before.tenants, after.tenants, strict=True):
        if old_share != new_share:
            changes.append(SettingChange(f"tenant {name} share", old_share, new_share))
    for field, (node_name, property_name) in DEPLOYMENT_NODES.items():
        changes += _compare(f"{node_name} {property_name}", before, after, field)
    return changes


def _apply_to_group(overrides: GroupOverrides, group: ResourceGroup) -> ResourceGroup:
    changes = {field: value for field, value in overrides._asdict().items() if value is not None}
    return group._replace(**changes)


def _strictest_group(first: ResourceGroup, second: ResourceGroup) -> ResourceGroup:
    lower = {field: min(getattr(first, field), getattr(second, field)) for field in GROUP_NODES}
    return first._replace(**lower)


def _compare(setting: str, before: NamedTuple, after: NamedTuple, field: str) -> list[SettingChange]:
    old = getattr(before, field)
    new = getattr(after, field)
    return [SettingChange(setting, old, new)] if old != new else []


def _override(setting: Value, override: Value | None) -> Value:
    return setting if override is None else override
