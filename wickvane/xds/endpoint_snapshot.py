"""The endpoint list as proxies are to know it, and what one event may change of it; free of I/O.

A snapshot is immutable and shares what has not changed with the one before (persistent maps). A drained
endpoint never becomes ready again but as a process that started later, in a later event. A complete list that
leaves out more ready endpoints than the limit allows is more often a mistake (an empty answer, a lost list)
than the truth; an endpoint that is listed as draining or gone is always taken out, since nothing new may be
sent there.

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
    """What is done with endpoints that a complete list leaves out past the limit; values: of the document."""

    REMOVE = "take"
    HOLD = "hold"
    REMOVE_IN_STEPS = "steps"


class Endpoint(NamedTuple):
    """An engine's endpoint.

    index: of the last event that named it; started_at: 0 for unknown; draining_since: when this instance
    learned that it drains, 0 while it is ready.
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
    """An endpoint that is gone: the event's index, and when its process started."""

    index: int
    started_at: int


class EndpointSnapshot(NamedTuple):
    """All endpoints as of one event.

    index: of the newest event in it; removed: Removal by name, so that none of them comes back; missing:
    ready endpoints that a complete list left out and that are kept for now, by name with the time until
    which; is_restored: it comes from disk, and no event has confirmed it since.
    """

    index: int = 0
    endpoints: Map = Map()
    removed: Map = Map()
    missing: Map = Map()
    is_restored: bool = False

    def ready(self) -> list[Endpoint]:
        """The endpoints that new requests may be sent to."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.is_ready]


class RemovalLimit(NamedTuple):
    """How many ready endpoints one complete list may leave out.

    max_share: of the ready ones; min_count: so many may always go; duration: for which the others are held,
    or the pause between two steps.
    """

    max_share: float = 0.5
    min_count: int = 1
    action: ExcessAction = ExcessAction.HOLD
    duration: int = 600_000

    def allowed(self, ready_count: int) -> int:
        """How many of so many ready endpoints may go at once."""
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
    """The snapshot after an event of the endpoint list, and what is to be logged.

    entries: (name, address, state, zone, kind, cell, started, weight) each, as coordinator events are read,
    started in milliseconds; readmitted: names that were drained by hand and may be ready again.
    """
    if index <= snapshot.index and not (snapshot.is_restored and index == snapshot.index):
        return snapshot, [StaleEventIgnored(index, snapshot.index)]
    change = _SnapshotChange(snapshot, now, index)
    for entry in entries:
        change.apply_entry(entry, readmitted)
    if is_complete:
        change.apply_absences(limit)
    return change.finish(), change.log_events


class _SnapshotChange:
    """One event's change of a snapshot."""

    def __init__(self, snapshot: EndpointSnapshot, now: int, index: int) -> None:
        self._now = now
        self._index = index
        self._endpoints = snapshot.endpoints.mutate()
        self._removed = snapshot.removed
        self._missing = snapshot.missing
        self._named: set[str] = set()
        self.log_events: list[SnapshotEvent] = []

    def apply_entry(self, entry: tuple, readmitted: Collection[str]) -> None:
        """Takes in what the event says of one endpoint."""
        name, address, state, zone, kind, cell, started, weight = entry
        self._named.add(name)
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
        """Whether it is new, ready already, or a later process under a name that has drained."""
        if known is not None:
            return known.is_ready or started_at > known.started_at
        removal = self._removed.get(name)
        return removal is None or started_at > removal[1]

    def apply_absences(self, limit: RemovalLimit) -> None:
        """Takes out endpoints that a complete list does not name, ready ones within the limit."""
        endpoints = self._endpoints.finish()
        absent = sorted(name for name in endpoints if name not in self._named)
        lost = [name for name in absent if endpoints[name].is_ready]
        # Nothing new may be sent to a draining endpoint, so that its removal needs no limit.
        going = [name for name in absent if not endpoints[name].is_ready]
        ready_count = sum(endpoint.is_ready for endpoint in endpoints.values())
        kept = self._keep_past_limit(lost, ready_count, limit)
        self._endpoints = endpoints.mutate()
        for name in going + [name for name in lost if name not in kept]:
            self._removed = self._removed.set(name, Removal(self._index, endpoints[name].started_at))
            del self._endpoints[name]
            self._missing = _without(self._missing, name)

    def _keep_past_limit(self, lost: list[str], ready_count: int, limit: RemovalLimit) -> set[str]:
        """The lost endpoints that stay for now."""
        allowed = limit.allowed(ready_count)
        is_within_limit = len(lost) <= allowed and self._named
        if not lost or limit.action is ExcessAction.REMOVE or is_within_limit:
            return set()
        is_held = limit.action is ExcessAction.HOLD
        kept = lost if is_held else lost[allowed:]
        self.log_events.append(
            RemovalLimited(self._index, len(lost), ready_count, len(kept), limit.action.value)
        )
        for position, name in enumerate(kept):
            steps = 1 if is_held else 1 + position // allowed
            until = self._now + limit.duration * steps
            self._missing = self._missing.set(name, min(self._missing.get(name, until), until))
        return set(kept)

    def finish(self) -> EndpointSnapshot:
        """The snapshot after the event."""
        removed = self._removed
        while len(removed) > MAX_REMEMBERED_REMOVALS:
            removed = removed.delete(min(removed, key=removed.get))
        return EndpointSnapshot(self._index, self._endpoints.finish(), removed, self._missing, False)


def remove_overdue(snapshot: EndpointSnapshot, now: int) -> tuple[EndpointSnapshot, list[SnapshotEvent]]:
    """The snapshot without missing endpoints whose time is over, and what is to be logged."""
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
    """When remove_overdue() has something to do, None for never."""
    return min(snapshot.missing.values(), default=None)


def _without(table: Map, name: str) -> Map:
    return table.delete(name) if name in table else table
