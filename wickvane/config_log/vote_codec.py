"""Encodes and decodes vote files; no other module depends on their format.

    magic line | 16 bytes of the BLAKE2b checksum of the body | body

The body is MessagePack: [node id, current term, voted for, [[term, kind, payload], ...]]. EntryKind documents
the payload of each kind. The format is independent of the names of the types that a file is decoded into.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple, assert_never

import msgspec

from wickvane.config_log.errors import VoteFileError
from wickvane.config_log.log_entry import (
    AbandonPolicy,
    ActivatePolicy,
    ChangeVoters,
    Command,
    LogEntry,
    NoOp,
    PersistentState,
    ProposePolicy,
    UnknownCommand,
)

MAGIC = b"wickvane-vote 1\n"
CHECKSUM_BYTES = 16


class EntryKind(IntEnum):
    """The stored kinds of entries; the comment behind each gives its payload."""

    NO_OP = 0  # nil
    PROPOSE_POLICY = 1  # [number, digest, text, author, comment]
    ACTIVATE_POLICY = 2  # number
    ABANDON_POLICY = 3  # [number, reason]
    CHANGE_VOTERS = 4  # [node id, ...]


class VoteRecord(NamedTuple):
    """The content of a vote file."""

    node_id: str
    state: PersistentState


class _Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    node_id: str
    current_term: int
    voted_for: str | None
    entries: list[tuple[int, int, object]]


_DECODER = msgspec.msgpack.Decoder(_Body)


def encode_vote_file(record: VoteRecord) -> bytes:
    """Returns the bytes of a complete vote file."""
    state = record.state
    entries = [encode_entry(entry) for entry in state.entries]
    body = msgspec.msgpack.encode(_Body(record.node_id, state.current_term, state.voted_for, entries))
    return MAGIC + _checksum(body) + body


def decode_vote_file(data: bytes) -> VoteRecord:
    """Decodes a complete vote file; raises VoteFileError if it is damaged or of an unknown version."""
    body_start = len(MAGIC) + CHECKSUM_BYTES
    body = data[body_start:]
    if data[: len(MAGIC)] != MAGIC:
        raise VoteFileError("unknown version or truncated file")
    if _checksum(body) != data[len(MAGIC) : body_start]:
        raise VoteFileError("checksum mismatch")
    try:
        decoded = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise VoteFileError(str(error)) from None
    entries = tuple(decode_entry(*stored) for stored in decoded.entries)
    return VoteRecord(decoded.node_id, PersistentState(decoded.current_term, decoded.voted_for, entries))


def encode_entry(entry: LogEntry) -> tuple[int, int, object]:
    """Returns the stored form of an entry: term, kind, payload."""
    match entry.command:
        case NoOp():
            return entry.term, EntryKind.NO_OP, None
        case ProposePolicy(number, digest, text, author, comment):
            return entry.term, EntryKind.PROPOSE_POLICY, (number, digest, text, author, comment)
        case ActivatePolicy(number):
            return entry.term, EntryKind.ACTIVATE_POLICY, number
        case AbandonPolicy(number, reason):
            return entry.term, EntryKind.ABANDON_POLICY, (number, reason)
        case ChangeVoters(voters):
            return entry.term, EntryKind.CHANGE_VOTERS, voters
        case UnknownCommand(kind, payload):
            return entry.term, kind, payload
        case _:
            assert_never(entry.command)


def decode_entry(term: int, kind: int, payload: object) -> LogEntry:
    """Returns an entry from its stored form; a command of an unknown kind or form becomes UnknownCommand."""
    return LogEntry(term, _decode_command(kind, payload))


def _decode_command(kind: int, payload: object) -> Command:
    match kind, payload:
        case EntryKind.NO_OP, None:
            return NoOp()
        case EntryKind.PROPOSE_POLICY, [int(), str(), str(), str(), str()]:
            return ProposePolicy(*payload)
        case EntryKind.ACTIVATE_POLICY, int():
            return ActivatePolicy(payload)
        case EntryKind.ABANDON_POLICY, [int(), str()]:
            return AbandonPolicy(*payload)
        case EntryKind.CHANGE_VOTERS, [*voters] if all(isinstance(voter, str) for voter in voters):
            return ChangeVoters(tuple(voters))
        case _:
            return UnknownCommand(kind, _freeze(payload))


def _freeze(payload: object) -> object:
    """Converts decoded lists to tuples, so that entries stay hashable."""
    return tuple(map(_freeze, payload)) if isinstance(payload, list) else payload


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()
