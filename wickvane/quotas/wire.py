"""Encodes and decodes the quotas' messages in MessagePack, which the datagrams of the cluster carry.

A message is decoded only if all its types and bounds are valid. Messages identify a dispatcher's incarnation
by a 32-bit hash, which every member of the cluster can compute.
"""

from enum import IntEnum
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
IncarnationHash = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]


class EngineReport(NamedTuple):
    """The outcome of one dispatcher's own attempts on an engine, in tenths.

    attempts, failures: recent counts; slowdown: time that answers took, divided by the expected time.
    """

    engine: Name
    attempts: Tenths
    failures: Tenths
    slowdown: Tenths


class LeaseKind(IntEnum):
    """The kinds of lease messages, with their codes on the wire."""

    REQUEST = 0
    GRANT = 1
    RELEASE = 2


class LeaseEntry(NamedTuple):
    """A lease message in its wire format; units and requested_at are 0 in a release."""

    kind: LeaseKind
    budget: Annotated[int, msgspec.Meta(ge=0, le=7)]
    number: Count
    units: Units
    requested_at: Count


# Entries that occur dozens of times in a datagram are plain tuples, since each is unpacked when it is used.
# Hash of the incarnation, timestamp by its clock, and (engine, threads in flight).
GaugesEntry = tuple[
    IncarnationHash, Count, Annotated[list[tuple[Name, Threads]], msgspec.Meta(max_length=200)]
]
# Hash of the incarnation, and key and value of one of its counters, which only grows.
CounterEntry = tuple[IncarnationHash, Key, Count]
# Hash of the incarnation, timestamp by its clock, and its reports.
ReportsEntry = tuple[IncarnationHash, Count, Annotated[list[EngineReport], msgspec.Meta(max_length=64)]]
# Hash of the incarnation, timestamp by its clock, and (tenant, work in thread-milliseconds since its start).
UsageEntry = tuple[IncarnationHash, Count, Annotated[list[tuple[Name, Count]], msgspec.Meta(max_length=16)]]


class GossipMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The payload of one datagram. Lease messages are for its recipient only; the rest may be relayed."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)] = VERSION
    gauges: Annotated[list[GaugesEntry], msgspec.Meta(max_length=64)] = []
    counters: Annotated[list[CounterEntry], msgspec.Meta(max_length=128)] = []
    leases: Annotated[list[LeaseEntry], msgspec.Meta(max_length=MAX_LEASE_MESSAGES)] = []
    engine_reports: Annotated[list[ReportsEntry], msgspec.Meta(max_length=64)] = []
    tenant_usage: Annotated[list[UsageEntry], msgspec.Meta(max_length=64)] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(GossipMessage)


def encode(message: GossipMessage) -> bytes:
    """Returns the payload of a message."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> GossipMessage | None:
    """Returns the message of a payload, or None if it is invalid or has another version."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def lease_entry(message: LeaseMessage) -> LeaseEntry:
    """Returns the wire entry of a lease message."""
    match message:
        case LeaseRequest():
            return LeaseEntry(LeaseKind.REQUEST, *message)
        case LeaseGrant():
            return LeaseEntry(LeaseKind.GRANT, *message)
        case LeaseRelease(budget, number):
            return LeaseEntry(LeaseKind.RELEASE, budget, number, 0, 0)


def lease_message(entry: LeaseEntry) -> LeaseMessage:
    """Returns the lease message of a decoded entry."""
    kind, budget, number, units, requested_at = entry
    if kind == LeaseKind.REQUEST:
        return LeaseRequest(budget, number, units, requested_at)
    if kind == LeaseKind.GRANT:
        return LeaseGrant(budget, number, units, requested_at)
    return LeaseRelease(budget, number)


@lru_cache(1 << 14)
def _name_size(name: str) -> int:
    octets = len(name.encode())
    return 1 + octets + (1 if octets < 32 else 2)


def row_size(name: str, *values: int) -> int:
    """Returns the size in octets of an encoded row of a name and integers."""
    size = _name_size(name)
    for value in values:
        if value < 1 << 7:
            size += 1
        elif value < 1 << 8:
            size += 2
        elif value < 1 << 16:
            size += 3
        elif value < 1 << 32:
            size += 5
        else:
            size += 9
    return size
