"""A policy as a document: what of a deployment's settings it changes, read and checked whole; no I/O.

    policy {
        group "lookup" { target "1500ms"; timeout "5s"; value 2.0; late 0.2 }
        tenant "acme" share=0.5
        further free=2 share=0.05
        cold multiple=2.0
    }

What is left out stays as the settings have it. What rules 1, 4 and 7 hold a dispatcher to are the settings'
own bounds, so a policy may only be stricter there: a shorter time for queries, fewer further submissions,
less for cold engines. What decides of effects, keys, placement and repeats is no policy's: a query taken
under one is finished under the next.
"""

from typing import NamedTuple

from wickvane import parts
from wickvane.parts import Node, Unusable

TEXT_MOST = 65_536
TIME = parts.duration("1ms", "1h")
VALUE, PART = parts.share(0.001, 1e6), parts.share(0.0, 1.0)


class Group(NamedTuple):
    """Of one resource group; None: as the settings have it. Times in tenths of a millisecond."""

    target: int | None
    timeout: int | None
    value: float | None
    late: float | None


class Policy(NamedTuple):
    """groups: {name: Group}; tenants: {name: share}; free, share: of further submissions in a window, and
    multiple: of the collapse rule, None where the settings' stay."""

    groups: dict
    tenants: dict
    free: float | None
    share: float | None
    multiple: float | None


def read(text, groups, tenants, deployment):
    """The Policy of a text; Unusable says what is wrong with it, or with it here. groups, tenants: names in
    the order of the deployment's."""
    if len(text) > TEXT_MOST:
        raise Unusable(f"it is longer than {TEXT_MOST} characters")
    import ckdl

    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError) as error:
        raise Unusable(f"no KDL 2: {error}") from None
    if [node.name for node in document.nodes] != ["policy"]:
        raise Unusable("expected one node policy")
    node = Node(document.nodes[0], "policy", text)
    if document.nodes[0].args:
        raise node.wrong("no value of its own")
    found = Policy(
        read_groups(node, groups, deployment),
        read_tenants(node, tenants),
        *read_further(node, deployment),
        read_cold(node, deployment),
    )
    node.done()
    return found


def named(child, known, word):
    return child.argument(
        parts.Kind(
            f"{word} of the settings: {', '.join(known) or 'none'}",
            lambda value: value if value in known else parts.refuse(),
        )
    )


def once(found, name, child):
    if name in found:
        raise child.wrong("each by one node", name)


def read_groups(node, names, deployment):
    found = {}
    for child in node.children("group"):
        name = named(child, names, "a resource group")
        once(found, name, child)
        settings = deployment.groups[list(names).index(name)]
        group = Group(
            child.value("target", TIME),
            child.value("timeout", TIME),
            child.value("value", VALUE),
            child.value("late", PART),
        )
        if group.timeout is not None and group.timeout > settings.timeout:
            raise child.wrong(f"at most the settings' {settings.timeout / 10:g}ms (rule 1)", name="timeout")
        target = settings.latency_objective if group.target is None else group.target
        if target > (settings.timeout if group.timeout is None else group.timeout):
            raise child.wrong("a target within the timeout", name="target")
        child.done()
        found[name] = group
    return found


def read_tenants(node, names):
    found = {}
    for child in node.children("tenant"):
        name = named(child, names, "a tenant")
        once(found, name, child)
        found[name] = child.property("share", parts.share(0.0001, 1.0))
        if found[name] is None:
            raise child.wrong("a property share")
        child.done()
    if sum(found.values()) > 1.0001:
        raise node.wrong("shares of at most 1 together", name="tenant")
    return found


def read_further(node, deployment):
    child = node.child("further")
    if child is None:
        return None, None
    free, share = child.property("free", parts.share(0, 1e6)), child.property("share", PART)
    child.done()
    if not deployment.retry_budget_window:
        raise child.wrong("settings with a window of further submissions")
    for value, most, name in (
        (free, deployment.retry_budget_minimum, "free"),
        (share, deployment.retry_budget_ratio, "share"),
    ):
        if value is not None and value > most:
            raise child.wrong(f"at most the settings' {most:g} (rule 7)", value, name)
    return free, share


def read_cold(node, deployment):
    child = node.child("cold")
    if child is None:
        return None
    multiple, most = child.property("multiple", parts.share(0.01, 1e6)), deployment.collapse_multiple
    child.done()
    if multiple is not None and multiple > most:
        raise child.wrong(f"at most the settings' {most:g} (rule 4)", multiple, "multiple")
    return multiple


def over(settings, value):
    return settings if value is None else value


def applied(policy, deployment, groups, tenants):
    """The deployment under a policy; groups, tenants: names in its order, a group's once a front."""

    def group(name, at):
        of = policy.groups.get(name)
        return (
            at
            if of is None
            else at._replace(
                latency_objective=over(at.latency_objective, of.target),
                timeout=over(at.timeout, of.timeout),
                priority_weight=over(at.priority_weight, of.value),
                late_priority_weight=over(at.late_priority_weight, of.late),
            )
        )

    return deployment._replace(
        groups=[group(name, at) for name, at in zip(groups, deployment.groups, strict=True)],
        tenants=[
            (policy.tenants.get(name, share), rate)
            for name, (share, rate) in zip(tenants, deployment.tenants, strict=True)
        ],
        retry_budget_minimum=over(deployment.retry_budget_minimum, policy.free),
        retry_budget_ratio=over(deployment.retry_budget_ratio, policy.share),
        collapse_multiple=over(deployment.collapse_multiple, policy.multiple),
    )


def least(one, other):
    """The stricter of two deployments on every bound, and of each value the lesser: what a dispatcher may go
    by that does not know which of them is at work."""

    def group(a, b):
        return a._replace(
            latency_objective=min(a.latency_objective, b.latency_objective),
            timeout=min(a.timeout, b.timeout),
            priority_weight=min(a.priority_weight, b.priority_weight),
            late_priority_weight=min(a.late_priority_weight, b.late_priority_weight),
        )

    return one._replace(
        groups=[group(a, b) for a, b in zip(one.groups, other.groups, strict=True)],
        tenants=[(min(a[0], b[0]), a[1]) for a, b in zip(one.tenants, other.tenants, strict=True)],
        retry_budget_minimum=min(one.retry_budget_minimum, other.retry_budget_minimum),
        retry_budget_ratio=min(one.retry_budget_ratio, other.retry_budget_ratio),
        collapse_multiple=min(one.collapse_multiple, other.collapse_multiple),
    )


def differences(before, after, groups, tenants):
    """[(what, before, after)] of two deployments, for operators."""
    found = []
    for name, a, b in zip(groups, before.groups, after.groups, strict=True):
        for field, word in (
            ("latency_objective", "target"),
            ("timeout", "timeout"),
            ("priority_weight", "value"),
            ("late_priority_weight", "late"),
        ):
            if getattr(a, field) != getattr(b, field):
                found.append((f"group {name} {word}", getattr(a, field), getattr(b, field)))
    for name, (a, _), (b, _) in zip(tenants, before.tenants, after.tenants, strict=True):
        if a != b:
            found.append((f"tenant {name} share", a, b))
    for field, word in (
        ("retry_budget_minimum", "further free"),
        ("retry_budget_ratio", "further share"),
        ("collapse_multiple", "cold multiple"),
    ):
        if getattr(before, field) != getattr(after, field):
            found.append((word, getattr(before, field), getattr(after, field)))
    return found
