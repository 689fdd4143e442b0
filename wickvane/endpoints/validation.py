"""Validates a change against the current list, the settings and the current load; free of I/O.

Every check uses only the engines that change and totals that are updated with them, so that its cost depends
on the size of the change, not of the list. Times are ticks.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wickvane.endpoints.capacity import CapacityTotals
from wickvane.endpoints.change_policy import ChangeLimits
from wickvane.endpoints.findings import Finding, Location, Severity
from wickvane.endpoints.snapshot import Endpoint, stops_taking_queries
from wickvane.endpoints.topology import Topology
from wickvane.events import EngineState

MAX_NAMES_IN_MESSAGE = 5
MAX_ENDPOINT_FINDINGS = 20
ROUNDING_TOLERANCE = 1e-9  # of a weight factor

LocationOf = Callable[[str], Location]


class EndpointChange(NamedTuple):
    """One engine as it is published now, and as it would be after the change; None if it is not listed."""

    current: Endpoint | None
    desired: Endpoint | None


EndpointChanges = dict[str, EndpointChange]


def check_endpoints(
    topology: Topology, endpoints: Iterable[Endpoint], location_of: LocationOf
) -> list[Finding]:
    """Returns findings on new or changed endpoints whose kind or zone is not in the settings."""
    findings = []
    for endpoint in endpoints:
        location = location_of(endpoint.name)
        if endpoint.kind is not None and topology.cores and endpoint.kind not in topology.cores:
            text = f"type {endpoint.kind!r} is in no settings"
            findings.append(Finding("kind-unknown", Severity.REJECT, text, *location, endpoint.name))
        if endpoint.zone is not None and topology.zones is not None and endpoint.zone not in topology.zones:
            text = f"zone {endpoint.zone!r} is in no settings"
            findings.append(Finding("zone-unknown", Severity.REJECT, text, *location, endpoint.name))
    return findings[:MAX_ENDPOINT_FINDINGS]


def check_listed(names: Iterable[str], listed: Iterable[str], location_of: LocationOf) -> list[Finding]:
    """Returns notes on overrides of engines that the coordinator does not list."""
    findings = [
        Finding("not-listed", Severity.NOTE, "the coordinator does not list it", *location_of(name), name)
        for name in names
        if name not in listed
    ]
    return findings[:MAX_NAMES_IN_MESSAGE]


def check_change(
    limits: ChangeLimits,
    before: CapacityTotals,
    changes: EndpointChanges,
    now: int,
    load: float | None,
    location_of: LocationOf,
) -> list[Finding]:
    """Returns findings on a change.

    before: totals of the published list. load: number of threads that the pool's queries occupy, None if
    unknown.
    """
    impact = _impact_of(limits, before, changes, now, location_of)
    after = impact.totals
    if not after.ready_count:
        text = "no engine would be ready"
        return [*impact.address_findings, Finding("empty", limits.empty_severity, text)]
    if not before.ready_count:
        return impact.address_findings  # the first list has no previous list to be compared with
    return [
        *impact.address_findings,
        *_check_removed_fraction(limits, before, impact.removed),
        *_check_capacity(limits, before, impact, now, load),
        *_check_groups(limits, before, after),
        *(
            _weight_jump(limits, changes[name], name, location_of)
            for name in impact.weight_jumps[:MAX_NAMES_IN_MESSAGE]
        ),
    ]


@dataclass(slots=True)
class _ChangeImpact:
    """The impact of a change; all names are sorted."""

    totals: CapacityTotals
    removed: list[str] = field(default_factory=list)  # ready before the change and not after it
    weight_jumps: list[str] = field(default_factory=list)
    address_findings: list[Finding] = field(default_factory=list)


def _impact_of(
    limits: ChangeLimits, before: CapacityTotals, changes: EndpointChanges, now: int, location_of: LocationOf
) -> _ChangeImpact:
    impact = _ChangeImpact(before.copy())
    for name in sorted(changes):
        current, desired = changes[name]
        if current is not None:
            impact.totals.remove(current)
        if desired is not None:
            impact.totals.add(desired, now)
        if stops_taking_queries(current, desired):
            impact.removed.append(name)
        elif _is_weight_jump(limits, current, desired):
            impact.weight_jumps.append(name)
        if desired is not None and (current is None or current.address != desired.address):
            impact.address_findings += _check_address(name, desired, changes, location_of)
    return impact


def _is_weight_jump(limits: ChangeLimits, current: Endpoint | None, desired: Endpoint | None) -> bool:
    if current is None or desired is None or not current.state == desired.state == EngineState.READY:
        return False
    factor = desired.weight / current.weight
    return max(factor, 1 / factor) > limits.weight_factor * (1 + ROUNDING_TOLERANCE)


def _check_address(
    name: str, desired: Endpoint, changes: EndpointChanges, location_of: LocationOf
) -> list[Finding]:
    """Returns a note if another engine gives up the address in the same change or still drains there."""
    for other, (current, other_desired) in changes.items():
        if (
            other != name
            and current is not None
            and current.address == desired.address
            and (other_desired is None or other_desired.address != desired.address)
        ):
            text = f"its address was that of {other}"
            return [Finding("address-taken-over", Severity.NOTE, text, *location_of(name), name)]
    return []


def _check_removed_fraction(
    limits: ChangeLimits, before: CapacityTotals, removed: list[str]
) -> list[Finding]:
    allowed = max(1, int(limits.removed_fraction * before.ready_count))
    if len(removed) <= allowed:
        return []
    text = (
        f"it takes {len(removed)} of {before.ready_count} ready engines away ({_names_in(removed)}), "
        f"{allowed} at most"
    )
    return [Finding("share-removed", limits.removed_fraction_severity, text)]


def _names_in(names: list[str]) -> str:
    more = f" and {len(names) - MAX_NAMES_IN_MESSAGE} more" if len(names) > MAX_NAMES_IN_MESSAGE else ""
    return ", ".join(names[:MAX_NAMES_IN_MESSAGE]) + more


def _check_capacity(
    limits: ChangeLimits, before: CapacityTotals, impact: _ChangeImpact, now: int, load: float | None
) -> list[Finding]:
    if load is None or not impact.removed:
        return []
    cores_left = impact.totals.warm_cores(now)
    if load <= limits.load_fraction * cores_left:
        return []
    text = (
        f"{load:.1f} threads are at work, and {cores_left:.1f} cores would be left of "
        f"{before.warm_cores(now):.1f}"
    )
    return [Finding("capacity-left", limits.load_fraction_severity, text)]


def _check_groups(limits: ChangeLimits, before: CapacityTotals, after: CapacityTotals) -> list[Finding]:
    return [
        Finding(
            "group-without-engine",
            limits.last_of_group_severity,
            f"the resource group {group.name} would have no engine left",
        )
        for group in before.topology.groups
        if before.serves(group) and not after.serves(group)
    ]


def _weight_jump(limits: ChangeLimits, change: EndpointChange, name: str, location_of: LocationOf) -> Finding:
    text = (
        f"its weight goes from {change.current.weight:g} to {change.desired.weight:g}, by more than "
        f"{limits.weight_factor:g} times"
    )
    return Finding("weight-jump", limits.weight_factor_severity, text, *location_of(name), name)
