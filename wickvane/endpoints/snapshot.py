"""Immutable snapshots of an endpoint list; free of I/O.

A Snapshot shares its unchanged endpoints with the snapshot that it was made from (persistent maps). Its
checksum is the sum of its endpoints' checksums, so that it does not depend on their order, and the cost of
updating it for one changed endpoint does not depend on the length of the list.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

import orjson
from immutables import Map

from wickvane.events import EngineState

CHECKSUM_MODULUS = 1 << 128
# Name in documents and in stored rows of each field of an Endpoint.
DOCUMENT_FIELD_NAMES = {
    "address": "address",
    "zone": "zone",
    "kind": "type",
    "cell": "group",
    "started_ms": "since_ms",
    "weight": "weight",
    "state": "status",
}
FIELDS_BY_DOCUMENT_NAME = {document_name: field for field, document_name in DOCUMENT_FIELD_NAMES.items()}


class Endpoint(NamedTuple):
    """One engine as a document, the coordinator or the journal lists it.

    cell: the engine's group in the coordinator's list. started_ms: Unix time in milliseconds, 0 if unknown.
    weight: the usable fraction of the engine, relative to other engines; 0 drains it. stated_fields: the
    fields that a document states, if it overrides the coordinator's list; None: all fields.
    """

    name: str
    address: tuple[str, int] | None
    zone: str | None = None
    kind: str | None = None
    cell: int = 0
    started_ms: float = 0
    weight: float = 1.0
    state: EngineState = EngineState.READY
    stated_fields: frozenset[str] | None = None

    @property
    def is_ready(self) -> bool:
        """Returns whether the engine takes new queries."""
        return self.state == EngineState.READY

    def to_entry(self) -> tuple:
        """Returns the entry of an update for the scheduler and the control service."""
        return (
            self.name,
            self.address,
            self.state,
            self.zone,
            self.kind,
            self.cell,
            self.started_ms,
            self.weight,
        )

    def to_row(self) -> list:
        """Returns the stored form, for JSON."""
        if self.stated_fields is None:
            return [*self[:8], None]
        return [*self[:8], sorted(DOCUMENT_FIELD_NAMES[field] for field in self.stated_fields)]


def endpoint_from_row(row: list) -> Endpoint:
    """Returns the endpoint of a stored row. Raises ValueError, TypeError or KeyError if it is invalid."""
    name, address, zone, kind, cell, started_ms, weight, state, stated_names = row
    if address is not None:
        address = str(address[0]), int(address[1])
    is_valid = (
        isinstance(name, str)
        and state in (EngineState.READY, EngineState.DRAINING, EngineState.GONE)
        and all(isinstance(x, (int, float)) and math.isfinite(x) for x in (cell, started_ms, weight))
    )
    if not is_valid:
        raise ValueError("not a valid endpoint")
    stated = (
        None
        if stated_names is None
        else frozenset(FIELDS_BY_DOCUMENT_NAME[field_name] for field_name in stated_names)
    )
    return Endpoint(name, address, zone, kind, cell, started_ms, weight, EngineState(state), stated)


def stops_taking_queries(current: Endpoint | None, next_endpoint: Endpoint | None) -> bool:
    """Returns whether a change removes or drains a ready endpoint."""
    if current is None or current.state != EngineState.READY:
        return False
    return next_endpoint is None or next_endpoint.state != EngineState.READY


def _endpoint_checksum(endpoint: Endpoint) -> int:
    return int.from_bytes(blake2b(orjson.dumps(endpoint.to_row()), digest_size=16).digest(), "big")


class Snapshot(NamedTuple):
    """An immutable version of the complete list.

    generation: as the document states it, or as it was assigned here. parent_checksum, changed: the checksum
    of the snapshot from which this one was made, and the names in which it may differ from that snapshot.
    """

    generation: int = 0
    endpoints: Map = Map()
    checksum: int = 0
    parent_checksum: int = -1
    changed: frozenset[str] = frozenset()

    @property
    def digest(self) -> str:
        """Returns 16 hex digits that depend on the content only."""
        return f"{self.checksum:032x}"[:16]


EMPTY_SNAPSHOT = Snapshot()


def update_snapshot(
    parent: Snapshot, generation: int, put: Iterable[Endpoint] = (), removed: Iterable[str] = ()
) -> Snapshot:
    """Returns a copy of a snapshot with some endpoints added or replaced and some names removed."""
    checksum = parent.checksum
    changed = set()
    with parent.endpoints.mutate() as table:
        for name in removed:
            previous = table.pop(name, None)
            if previous is not None:
                checksum -= _endpoint_checksum(previous)
                changed.add(name)
        for endpoint in put:
            previous = table.get(endpoint.name)
            if previous == endpoint:
                continue
            if previous is not None:
                checksum -= _endpoint_checksum(previous)
            checksum += _endpoint_checksum(endpoint)
            table[endpoint.name] = endpoint
            changed.add(endpoint.name)
        return Snapshot(
            generation, table.finish(), checksum % CHECKSUM_MODULUS, parent.checksum, frozenset(changed)
        )


def make_snapshot(generation: int, endpoints: Iterable[Endpoint]) -> Snapshot:
    """Returns a snapshot of exactly these endpoints."""
    return update_snapshot(EMPTY_SNAPSHOT, generation, endpoints)


def changed_names(before: Snapshot, after: Snapshot) -> frozenset[str]:
    """Returns the names in which two snapshots may differ; cheap if one was made from the other."""
    if before.checksum == after.checksum:
        return frozenset()
    if after.parent_checksum == before.checksum:
        return after.changed
    if before.parent_checksum == after.checksum:
        return before.changed
    return frozenset(
        [
            name
            for name, endpoint in after.endpoints.items()
            if (previous := before.endpoints.get(name)) is not endpoint and previous != endpoint
        ]
        + [name for name in before.endpoints if name not in after.endpoints]
    )


class SnapshotDelta(NamedTuple):
    """The difference of two snapshots: endpoints to put and names to remove, both sorted by name."""

    put: list[Endpoint]
    removed: list[str]


def delta_between(before: Snapshot, after: Snapshot) -> SnapshotDelta:
    """Returns the delta from one snapshot to another."""
    names = sorted(changed_names(before, after))
    return SnapshotDelta(
        [after.endpoints[name] for name in names if name in after.endpoints],
        [name for name in names if name not in after.endpoints],
    )
