"""The endpoint list that is published to proxies, and the changes that one event may make to it.

The module does no I/O. A snapshot is immutable and shares unchanged parts with the previous one (persistent
maps). A drained endpoint becomes ready again only if a later event lists it with a later process start, or if
newer documents than those that drained it list it as ready.

The index of an event orders the events that one process receives, since the list is numbered anew for each
start of a reader. A snapshot from disk is therefore a baseline without an index: any first event is applied
to it, and decides for each endpoint by the start of its process.

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
    """A process that drains or has ended: the event's index, and when the process started."""

    index: int
    started_at: int


class DocumentSource(NamedTuple):
    """The documents from which an event of the endpoint list results.

    index: their generation and rollout step, which grows; has_stated_generation: the documents state their
    generation, so that instances agree on it; coordinator_ready: names of the endpoints that the coordinator
    lists as ready, None if the documents are the complete list.
    """

    index: int
    has_stated_generation: bool = False
    coordinator_ready: Collection[str] | None = None

    def has_ended(self, name: str) -> bool:
        """Whether an endpoint that drains or is gone does so by the documents alone."""
        return self.coordinator_ready is None or name in self.coordinator_ready


class EndpointSnapshot(NamedTuple):
    """All endpoints as of one event.

    index: index of the newest event applied; removed: Removal by name, of endpoints that drain or are gone,
    which prevents their readmission; missing: names of ready endpoints that a complete list omitted and that
    are kept for now, with the time until which they are kept; is_restored: the snapshot was read from disk,
    and no event has confirmed it since; ended_by_documents: by name, the index of the documents that drained
    or removed an endpoint, which newer documents may revoke; lagging: names of endpoints of which the list
    that followed a restored snapshot tells an earlier process than the snapshot has.
    """

    index: int = 0
    endpoints: Map = Map()
    removed: Map = Map()
    missing: Map = Map()
    is_restored: bool = False
    ended_by_documents: Map = Map()
    lagging: frozenset[str] = frozenset()

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
    documents: DocumentSource | None = None,
) -> tuple[EndpointSnapshot, list[SnapshotEvent]]:
    """Returns the snapshot after an event of the endpoint list, and the events to log.

    entries: tuples (name, address, state, zone, kind, cell, started, weight) as read from coordinator events,
    started in milliseconds; readmitted: names of endpoints that an operator has drained and that may be ready
    again; documents: those from which the event results, None if it is the coordinator's own.
    """
    if index <= snapshot.index and not snapshot.is_restored:
        return snapshot, [StaleEventIgnored(index, snapshot.index)]
    change = _SnapshotChange(snapshot, now, index, documents)
    change.may_find_lagging = snapshot.is_restored and is_complete
    for entry in entries:
        change.apply_entry(entry, readmitted)
    if is_complete:
        change.remove_unlisted(limit)
    return change.finish(), change.log_events


class _SnapshotChange:
    """The change of a snapshot by one event."""

    def __init__(
        self, snapshot: EndpointSnapshot, now: int, index: int, documents: DocumentSource | None
    ) -> None:
        self._now = now
        self._index = index
        self._documents = documents
        self._endpoints = snapshot.endpoints.mutate()
        self._removed = snapshot.removed
        self._missing = snapshot.missing
        self._ended_by_documents = snapshot.ended_by_documents
        self._listed: set[str] = set()
        self.log_events: list[SnapshotEvent] = []
        self._lagging = set(snapshot.lagging)
        self.may_find_lagging = False

    def apply_entry(self, entry: tuple, readmitted: Collection[str]) -> None:
        """Applies the event's entry for one endpoint."""
        name, address, state, zone, kind, cell, started, weight = entry
        self._listed.add(name)
        started_at = int(started * TICKS_PER_MILLISECOND)
        known = self._endpoints.get(name)
        if state == EngineState.GONE:
            if known is not None:
                del self._endpoints[name]
                started_at = self._ended_start(name, started_at, known)
            self._record_end(name, started_at)
            self._missing = _without(self._missing, name)
            return
        is_ready = state == EngineState.READY
        if is_ready and name not in readmitted and not self._may_be_ready(name, started_at, known):
            self.log_events.append(EndpointNotReadmitted(name, self._index))
            return
        if self.may_find_lagging and known is not None and started_at < known.started_at:
            self._lagging.add(name)
        if is_ready:
            started_at = self._ready_start(name, started_at, known)
            self._record_start(name, started_at, known)
            draining_since = 0
        else:
            if known is not None and known.is_ready:
                started_at = self._ended_start(name, started_at, known)
            self._record_end(name, started_at)
            draining_since = (known and known.draining_since) or self._now
        self._endpoints[name] = Endpoint(
            name, address, state, zone, kind, cell, started_at, weight, self._index, draining_since
        )
        self._missing = _without(self._missing, name)

    def _may_be_ready(self, name: str, started_at: int, known: Endpoint | None) -> bool:
        """Whether the endpoint is new, already ready, or a later process than the one that has ended.

        Newer documents may also revoke the drain of the same process by earlier ones.
        """
        if known is not None and known.is_ready:
            return True
        removal = self._removed.get(name)
        if removal is None or started_at > removal.started_at:
            return True
        ended_by = self._ended_by_documents.get(name)
        documents = self._documents
        if documents is None or ended_by is None:
            return False
        return documents.has_ended(name) and documents.index > ended_by

    def _ready_start(self, name: str, started_at: int, known: Endpoint | None) -> int:
        """The start of a process that is listed as ready: never before that of a known ready one."""
        if known is not None and known.is_ready and started_at < known.started_at:
            return known.started_at
        self._lagging.discard(name)
        return started_at

    def _ended_start(self, name: str, started_at: int, known: Endpoint) -> int:
        """The start up to which an entry ends the processes of a known endpoint.

        An entry without the start means the known process, unless the list lags behind that process. Then
        the endpoint is taken out of service too, until the list tells of the later process.
        """
        return started_at if name in self._lagging else max(started_at, known.started_at)

    def _record_start(self, name: str, started_at: int, known: Endpoint | None) -> None:
        """Records that a process is ready, and that the one before it has ended."""
        if known is not None and known.is_ready and started_at > known.started_at:
            self._removed = self._removed.set(name, Removal(self._index, known.started_at))
            self._ended_by_documents = _without(self._ended_by_documents, name)
            return
        removal = self._removed.get(name)
        if removal is not None and removal.started_at >= started_at:
            self._removed = self._removed.delete(name)
            self._ended_by_documents = _without(self._ended_by_documents, name)

    def _record_end(self, name: str, started_at: int) -> None:
        """Records that a process and all earlier ones of its endpoint must be sent no new requests."""
        removal = self._removed.get(name)
        has_ended_before = removal is not None and removal.started_at >= started_at
        if has_ended_before:
            started_at = removal.started_at
        self._removed = self._removed.set(name, Removal(self._index, started_at))
        is_final = has_ended_before and name not in self._ended_by_documents
        if self._documents is not None and self._documents.has_ended(name) and not is_final:
            self._ended_by_documents = self._ended_by_documents.set(name, self._documents.index)
        else:
            self._ended_by_documents = _without(self._ended_by_documents, name)

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
            self._record_end(name, endpoints[name].started_at)
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
        while len(self._removed) > MAX_REMEMBERED_REMOVALS:
            oldest = min(self._removed, key=self._removed.get)
            self._removed = self._removed.delete(oldest)
            self._ended_by_documents = _without(self._ended_by_documents, oldest)
        return EndpointSnapshot(
            self._index,
            self._endpoints.finish(),
            self._removed,
            self._missing,
            False,
            self._ended_by_documents,
            frozenset(self._lagging),
        )


def as_baseline(snapshot: EndpointSnapshot) -> EndpointSnapshot:
    """Returns a snapshot from disk as the baseline of a new numbering.

    Its removals keep their order and are older than all that follow. Draining endpoints of earlier versions'
    files, which have no removal, get one. Any documents of the new process may revoke a drain by documents,
    since documents without a stated generation are numbered anew, too.
    """
    removals = dict(snapshot.removed)
    for name, endpoint in snapshot.endpoints.items():
        if not endpoint.is_ready and name not in removals:
            removals[name] = Removal(endpoint.index, endpoint.started_at)
    oldest_first = sorted(removals, key=lambda name: (removals[name].index, name))
    removed = {
        name: Removal(position - len(oldest_first), removals[name].started_at)
        for position, name in enumerate(oldest_first)
    }
    ended_by_documents = Map(dict.fromkeys(snapshot.ended_by_documents, 0))
    return snapshot._replace(removed=Map(removed), is_restored=True, ended_by_documents=ended_by_documents)


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
