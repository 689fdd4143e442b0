"""Reads and validates a policy, a KDL document that overrides settings of a deployment; performs no I/O.

    policy {
        group "lookup" { target "1500ms"; timeout "5s"; value 2.0; late 0.2 }
        tenant "acme" share=0.5
        further free=2 share=0.05
        cold multiple=2.0
    }

A setting that the document omits keeps its configured value. If a setting bounds what a dispatcher may do
(rules 1, 4 and 7 of the service), a policy may only be stricter: a shorter timeout, a smaller retry budget, a
lower load on engines in slow start. A policy cannot override effects, idempotency keys, placement or
idempotency windows, since a query that was admitted under one policy may complete under the next.

The document's node names are defined only in this module; the returned records use the settings' field names.
"""

from collections.abc import Sequence
from typing import NamedTuple

from wickvane import parts
from wickvane.events import Deployment, ResourceGroup
from wickvane.parts import InvalidDocumentError, Node
from wickvane.units import to_milliseconds

MAX_DOCUMENT_CHARACTERS = 65_536
MAX_SHARE_SUM = 1.0001  # 1, with a tolerance for rounding errors

_DURATION = parts.duration("1ms", "1h")
_PRIORITY_WEIGHT = parts.number(0.001, 1e6)
_FRACTION = parts.number(0.0, 1.0)
_TENANT_SHARE = parts.number(0.0001, 1.0)
_RETRY_BUDGET_MINIMUM = parts.number(0, 1e6)
_COLLAPSE_MULTIPLE = parts.number(0.01, 1e6)

# The nodes of the document by the field of the settings that they override.
GROUP_NODES = {
    "latency_objective": "target",
    "timeout": "timeout",
    "priority_weight": "value",
    "late_priority_weight": "late",
}
DEPLOYMENT_NODES = {
    "retry_budget_minimum": ("further", "free"),
    "retry_budget_ratio": ("further", "share"),
    "collapse_multiple": ("cold", "multiple"),
}


class GroupOverrides(NamedTuple):
    """A policy's values for one resource group; None keeps the setting. Times are in ticks."""

    latency_objective: int | None
    timeout: int | None
    priority_weight: float | None
    late_priority_weight: float | None


class RetryBudgetOverrides(NamedTuple):
    """A policy's values for the retry budget; None keeps the setting."""

    minimum: float | None = None
    ratio: float | None = None


class Policy(NamedTuple):
    """The content of a policy document.

    groups and tenant_shares are by name; a name without an entry, or None, keeps the setting.
    """

    groups: dict[str, GroupOverrides]
    tenant_shares: dict[str, float]
    retry_budget: RetryBudgetOverrides
    collapse_multiple: float | None


def parse_policy(
    text: str, group_names: Sequence[str], tenant_names: Sequence[str], deployment: Deployment
) -> Policy:
    """Reads a document and validates it against the deployment whose settings it overrides.

    group_names, tenant_names: the names in the deployment's order. Raises InvalidDocumentError, which names
    the place in the document and what was expected there.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        raise InvalidDocumentError(f"the policy is longer than {MAX_DOCUMENT_CHARACTERS} characters")
    import ckdl

    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError) as error:
        raise InvalidDocumentError(f"not a KDL 2 document: {error}") from None
    if [node.name for node in document.nodes] != ["policy"]:
        raise InvalidDocumentError("expected a single node named policy")
    node = Node(document.nodes[0], "policy", text)
    if document.nodes[0].args:
        raise node.error("no value of its own")
    policy = Policy(
        groups=_read_groups(node, group_names, deployment),
        tenant_shares=_read_tenants(node, tenant_names),
        retry_budget=_read_retry_budget(node, deployment),
        collapse_multiple=_read_collapse_multiple(node, deployment),
    )
    node.reject_unknown()
    return policy


def _read_name(node: Node, known_names: Sequence[str], description: str) -> str:
    """Returns the node's argument; raises InvalidDocumentError if it is not one of the settings' names."""
    return node.argument(
        parts.ValueType(
            f"{description} of the settings: {', '.join(known_names) or 'none'}",
            lambda value: value if value in known_names else parts.reject_value(),
        )
    )


def _require_unique(seen: dict, name: str, node: Node) -> None:
    """Raises InvalidDocumentError if an earlier node has the same name."""
    if name in seen:
        raise node.error("a unique name", name)


def _read_groups(
    policy_node: Node, group_names: Sequence[str], deployment: Deployment
) -> dict[str, GroupOverrides]:
    groups = {}
    for node in policy_node.children("group"):
        name = _read_name(node, group_names, "a resource group")
        _require_unique(groups, name, node)
        settings = deployment.groups[list(group_names).index(name)]
        overrides = GroupOverrides(
            latency_objective=node.value(GROUP_NODES["latency_objective"], _DURATION),
            timeout=node.value(GROUP_NODES["timeout"], _DURATION),
            priority_weight=node.value(GROUP_NODES["priority_weight"], _PRIORITY_WEIGHT),
            late_priority_weight=node.value(GROUP_NODES["late_priority_weight"], _FRACTION),
        )
        _check_group_bounds(node, overrides, settings)
        node.reject_unknown()
        groups[name] = overrides
    return groups


def _check_group_bounds(node: Node, overrides: GroupOverrides, settings: ResourceGroup) -> None:
    timeout = settings.timeout if overrides.timeout is None else overrides.timeout
    if timeout > settings.timeout:
        limit = f"at most the settings' {to_milliseconds(settings.timeout):g}ms (rule 1)"
        raise node.error(limit, name=GROUP_NODES["timeout"])
    objective = overrides.latency_objective
    if objective is None:
        objective = settings.latency_objective
    if objective > timeout:
        raise node.error("a target within the timeout", name=GROUP_NODES["latency_objective"])


def _read_tenants(policy_node: Node, tenant_names: Sequence[str]) -> dict[str, float]:
    shares = {}
    for node in policy_node.children("tenant"):
        name = _read_name(node, tenant_names, "a tenant")
        _require_unique(shares, name, node)
        share = node.property("share", _TENANT_SHARE)
        if share is None:
            raise node.error("a property share")
        node.reject_unknown()
        shares[name] = share
    if sum(shares.values()) > MAX_SHARE_SUM:
        raise policy_node.error("shares whose sum is at most 1", name="tenant")
    return shares


def _read_retry_budget(policy_node: Node, deployment: Deployment) -> RetryBudgetOverrides:
    node_name, minimum_name = DEPLOYMENT_NODES["retry_budget_minimum"]
    _, ratio_name = DEPLOYMENT_NODES["retry_budget_ratio"]
    node = policy_node.child(node_name)
    if node is None:
        return RetryBudgetOverrides()
    minimum = node.property(minimum_name, _RETRY_BUDGET_MINIMUM)
    ratio = node.property(ratio_name, _FRACTION)
    node.reject_unknown()
    if not deployment.retry_budget_window:
        raise node.error("settings with a retry budget window")
    _check_limit(node, minimum_name, minimum, deployment.retry_budget_minimum, rule=7)
    _check_limit(node, ratio_name, ratio, deployment.retry_budget_ratio, rule=7)
    return RetryBudgetOverrides(minimum, ratio)


def _read_collapse_multiple(policy_node: Node, deployment: Deployment) -> float | None:
    node_name, multiple_name = DEPLOYMENT_NODES["collapse_multiple"]
    node = policy_node.child(node_name)
    if node is None:
        return None
    multiple = node.property(multiple_name, _COLLAPSE_MULTIPLE)
    node.reject_unknown()
    _check_limit(node, multiple_name, multiple, deployment.collapse_multiple, rule=4)
    return multiple


def _check_limit(node: Node, name: str, value: float | None, limit: float, rule: int) -> None:
    """Raises InvalidDocumentError if the policy's value is less strict than the settings'."""
    if value is not None and value > limit:
        raise node.error(f"at most the settings' {limit:g} (rule {rule})", value, name)
