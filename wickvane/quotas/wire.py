"""The quotas' messages in MessagePack, which the datagrams of the cluster carry. A message is decoded as a
whole and with all types and bounds checked, or not at all.

Dispatchers' incarnations are identified by marks: 32 bits of a hash, which all members of the cluster know.
"""

from functools import lru_cache
from typing import Annotated, NamedTuple

import msgspec

from wickvane.quotas.lease_messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest

VERSION = 1
MAX_LEASE_MESSAGES = 16  # in one datagram

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Threads = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
Tenths = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Units = Annotated[int, msgspec.Meta(ge=0, le=4096)]
Mark = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]


class EngineThreads(NamedTuple):
    """Threads in flight on one engine."""

    engine: Name
    threads: Threads


class EngineReport(NamedTuple):
    """What one dispatcher's own attempts on an engine found, in tenths.

    attempts, failures: recent counts; slowdown: the time that answers took over the expected time.
    """

    engine: Name
    attempts: Tenths
    failures: Tenths
    slowdown: Tenths


class TenantWork(NamedTuple):
    """Work done for one tenant since the dispatcher started, in milliseconds of a thread."""

    tenant: Name
    work: Count


class LevelsEntry(NamedTuple):
    """All threads in flight of one dispatcher at a time of its own clock."""

    mark: Mark
    timestamp: Count
    levels: Annotated[list[EngineThreads], msgspec.Meta(max_length=200)]


class CounterEntry(NamedTuple):
    """One counter of one dispatcher, which only grows."""

    mark: Mark
    key: Key
    value: Count


class LeaseEntry(NamedTuple):
    """A lease message as it is on the wire; of a release, units and requested_at are 0."""

    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    budget: Annotated[int, msgspec.Meta(ge=0, le=7)]
    number: Count
    units: Units
    requested_at: Count


class ReportsEntry(NamedTuple):
    """The engine reports of one dispatcher at a time of its own clock."""

    mark: Mark
    timestamp: Count
    reports: Annotated[list[EngineReport], msgspec.Meta(max_length=64)]


class UsageEntry(NamedTuple):
    """The work for tenants of one dispatcher at a time of its own clock."""

    mark: Mark
    timestamp: Count
    usage: Annotated[list[TenantWork], msgspec.Meta(max_length=16)]


class GossipMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One datagram's payload. Lease messages are for its receiver alone; all else may be relayed."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)] = VERSION
    levels: Annotated[list[LevelsEntry], msgspec.Meta(max_length=64)] = []
    counters: Annotated[list[CounterEntry], msgspec.Meta(max_length=128)] = []
    leases: Annotated[list[LeaseEntry], msgspec.Meta(max_length=MAX_LEASE_MESSAGES)] = []
    engine_reports: Annotated[list[ReportsEntry], msgspec.Meta(max_length=64)] = []
    tenant_usage: Annotated[list[UsageEntry], msgspec.Meta(max_length=64)] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(GossipMessage)
_REQUEST, _GRANT, _RELEASE = range(3)


def encode(message: GossipMessage) -> bytes:
    """The payload of a message."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> GossipMessage | None:
    """The message of a payload, or None where it is invalid or of another version."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def lease_entry(message: LeaseMessage) -> LeaseEntry:
    """A lease message as it is on the wire."""
    match message:
        case LeaseRequest():
            return LeaseEntry(_REQUEST, *message)
        case LeaseGrant():
            return LeaseEntry(_GRANT, *message)
        case LeaseRelease(budget, number):
            return LeaseEntry(_RELEASE, budget, number, 0, 0)


def lease_message(entry: LeaseEntry) -> LeaseMessage:
    """The lease message of an entry that was decoded."""
    kind, budget, number, units, requested_at = entry
    if kind == _REQUEST:
        return LeaseRequest(budget, number, units, requested_at)
    if kind == _GRANT:
        return LeaseGrant(budget, number, units, requested_at)
    return LeaseRelease(budget, number)


@lru_cache(1 << 14)
def _name_size(name: str) -> int:
    octets = len(name.encode())
    return 1 + octets + (1 if octets < 32 else 2)


def row_size(name: str, *figures: int) -> int:
    """Octets of an encoded row of a name and whole figures."""
    size = _name_size(name)
    for figure in figures:
        if figure < 1 << 7:
            size += 1
        elif figure < 1 << 8:
            size += 2
        elif figure < 1 << 16:
            size += 3
        elif figure < 1 << 32:
            size += 5
        else:
            size += 9
    return size
