"""The endpoint list that is published to proxies, and the changes that one event may make to it.

The module does no I/O. A snapshot is immutable and shares unchanged parts with the previous one (persistent
maps). A drained endpoint becomes ready again only if a later event lists it with a later process start.

A complete list that omits more ready endpoints than the limit allows is more often a mistake (an empty
answer, a lost list) than correct, so its removals are limited. An endpoint that is listed as draining or gone
is always taken out of service, since no new requests may be sent to it.

Times are ticks.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from typing import NamedTuple

from immutables import Map

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_MILLISECOND
from wickvane.xds.log_events import (
    EndpointNotReadmitted,
    MissingEndpointsRemoved,
    RemovalLimited,
    SnapshotEvent,
    StaleEventIgnored,
)

MAX_REMEMBERED_REMOVALS = 4096


class ExcessAction(Enum):
    """What to do with endpoints that a complete list omits beyond the limit; values: the document's words."""

    REMOVE = "take"
    HOLD = "hold"
    REMOVE_IN_STEPS = "steps"


class Endpoint(NamedTuple):
    """An engine's endpoint.

    index: index of the last event that listed it; started_at: start of its process, 0 if unknown;
    draining_since: when this instance learned that the endpoint is draining, 0 while it is ready.
    """

    name: str
    address: tuple[str, int] | None
    state: int
    zone: str | None
    kind: str | None
    cell: int
    started_at: int
    weight: float
    index: int
    draining_since: int = 0

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state == EngineState.READY


class Removal(NamedTuple):
    """An endpoint that has been removed: the event's index, and when its process started."""

    index: int
    started_at: int


class EndpointSnapshot(NamedTuple):
    """All endpoints as of one event.

    index: index of the newest event applied; removed: Removal by name, which prevents their readmission;
    missing: names of ready endpoints that a complete list omitted and that are kept for now, with the time
    until which they are kept; is_restored: the snapshot was read from disk, and no event has confirmed it
    since.
    """

    index: int = 0
    endpoints: Map = Map()
    removed: Map = Map()
    missing: Map = Map()
    is_restored: bool = False

    def ready(self) -> list[Endpoint]:
        """The endpoints to which new requests may be sent."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.is_ready]


class RemovalLimit(NamedTuple):
    """How many ready endpoints one complete list may remove.

    max_share: maximum fraction of the ready endpoints; min_count: number of endpoints that may always be
    removed; duration: time for which the others are held, or the pause between two steps.
    """

    max_share: float = 0.5
    min_count: int = 1
    action: ExcessAction = ExcessAction.HOLD
    duration: int = 600_000

    def allowed(self, ready_count: int) -> int:
        """The maximum number of endpoints to remove at once, given the number of ready endpoints."""
        return max(self.min_count, int(self.max_share * ready_count))


DEFAULT_REMOVAL_LIMIT = RemovalLimit()


def apply_event(
    snapshot: EndpointSnapshot,
    now: int,
    index: int,
    is_complete: bool,
    entries: Iterable[tuple],
    limit: RemovalLimit,
    readmitted: Collection[str] = (),
) -> tuple[EndpointSnapshot, list[SnapshotEvent]]:
    """Returns the snapshot after an event of the endpoint list, and the events to log.

    entries: tuples (name, address, state, zone, kind, cell, started, weight) as read from coordinator events,
    started in milliseconds; readmitted: names of endpoints that an operator has drained and that may be ready
    again.
    """
    if index <= snapshot.index and not (snapshot.is_restored and index == snapshot.index):
        return snapshot, [StaleEventIgnored(index, snapshot.index)]
    change = _SnapshotChange(snapshot, now, index)
    for entry in entries:
        change.apply_entry(entry, readmitted)
    if is_complete:
        change.remove_unlisted(limit)
    return change.finish(), change.log_events


class _SnapshotChange:
    """The change of a snapshot by one event."""

    def __init__(self, snapshot: EndpointSnapshot, now: int, index: int) -> None:
        self._now = now
        self._index = index
        self._endpoints = snapshot.endpoints.mutate()
        self._removed = snapshot.removed
        self._missing = snapshot.missing
        self._listed: set[str] = set()
        self.log_events: list[SnapshotEvent] = []

    def apply_entry(self, entry: tuple, readmitted: Collection[str]) -> None:
        """Applies the event's entry for one endpoint."""
        name, address, state, zone, kind, cell, started, weight = entry
        self._listed.add(name)
        started_at = int(started * TICKS_PER_MILLISECOND)
        known = self._endpoints.get(name)
        if state == EngineState.GONE:
            if known is not None:
                del self._endpoints[name]
                self._removed = self._removed.set(name, Removal(self._index, known.started_at))
            self._missing = _without(self._missing, name)
            return
        is_ready = state == EngineState.READY
        if is_ready and name not in readmitted and not self._may_be_ready(name, started_at, known):
            self.log_events.append(EndpointNotReadmitted(name, self._index))
            return
        if is_ready:
            draining_since = 0
        elif known is not None and known.draining_since:
            draining_since = known.draining_since
        else:
            draining_since = self._now
        self._endpoints[name] = Endpoint(
            name, address, state, zone, kind, cell, started_at, weight, self._index, draining_since
        )
        self._missing = _without(self._missing, name)

    def _may_be_ready(self, name: str, started_at: int, known: Endpoint | None) -> bool:
        """Whether the endpoint is new, already ready, or a later process of a drained endpoint's name."""
        if known is not None:
            return known.is_ready or started_at > known.started_at
        removal = self._removed.get(name)
        return removal is None or started_at > removal[1]

    def remove_unlisted(self, limit: RemovalLimit) -> None:
        """Removes the endpoints that a complete list omits, ready ones only within the limit."""
        endpoints = self._endpoints.finish()
        unlisted = sorted(name for name in endpoints if name not in self._listed)
        unlisted_ready = [name for name in unlisted if endpoints[name].is_ready]
        # No new requests may be sent to a draining endpoint, so its removal needs no limit.
        unlisted_draining = [name for name in unlisted if not endpoints[name].is_ready]
        ready_count = sum(endpoint.is_ready for endpoint in endpoints.values())
        kept = self._keep_over_limit(unlisted_ready, ready_count, limit)
        self._endpoints = endpoints.mutate()
        for name in unlisted_draining + [name for name in unlisted_ready if name not in kept]:
            self._removed = self._removed.set(name, Removal(self._index, endpoints[name].started_at))
            del self._endpoints[name]
            self._missing = _without(self._missing, name)

    def _keep_over_limit(self, unlisted_ready: list[str], ready_count: int, limit: RemovalLimit) -> set[str]:
        """Returns the unlisted ready endpoints to keep for now, and records them as missing."""
        allowed = limit.allowed(ready_count)
        is_within_limit = len(unlisted_ready) <= allowed and self._listed
        if not unlisted_ready or limit.action is ExcessAction.REMOVE or is_within_limit:
            return set()
        is_held = limit.action is ExcessAction.HOLD
        kept = unlisted_ready if is_held else unlisted_ready[allowed:]
        self.log_events.append(
            RemovalLimited(self._index, len(unlisted_ready), ready_count, len(kept), limit.action.value)
        )
        for position, name in enumerate(kept):
            steps = 1 if is_held else 1 + position // allowed
            until = self._now + limit.duration * steps
            self._missing = self._missing.set(name, min(self._missing.get(name, until), until))
        return set(kept)

    def finish(self) -> EndpointSnapshot:
        """Returns the snapshot after the event."""
        removed = self._removed
        while len(removed) > MAX_REMEMBERED_REMOVALS:
            removed = removed.delete(min(removed, key=removed.get))
        return EndpointSnapshot(self._index, self._endpoints.finish(), removed, self._missing, False)


def remove_overdue(snapshot: EndpointSnapshot, now: int) -> tuple[EndpointSnapshot, list[SnapshotEvent]]:
    """Returns the snapshot without the missing endpoints whose time is over, and the events to log."""
    due = sorted(name for name, until in snapshot.missing.items() if now >= until)
    if not due:
        return snapshot, []
    endpoints = snapshot.endpoints
    removed = snapshot.removed
    missing = snapshot.missing
    for name in due:
        if name in endpoints:
            removed = removed.set(name, Removal(snapshot.index, endpoints[name].started_at))
            endpoints = endpoints.delete(name)
        missing = missing.delete(name)
    after = snapshot._replace(endpoints=endpoints, removed=removed, missing=missing)
    return after, [MissingEndpointsRemoved(tuple(due))]


def next_removal_time(snapshot: EndpointSnapshot) -> int | None:
    """When remove_overdue() next has an endpoint to remove, None if there is none."""
    return min(snapshot.missing.values(), default=None)


def _without(table: Map, name: str) -> Map:
    return table.delete(name) if name in table else table
