"""Defines the entries of the replicated log, the commands in them, and the state that a node persists."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class NoOp:
    """Changes nothing; each new leader appends it so that it can commit the entries of earlier terms."""


@dataclass(frozen=True, slots=True)
class ProposePolicy:
    """Proposes a policy under a new number.

    digest: the content_digest() of the text; author, comment: as given with the proposal.
    """

    number: int
    digest: str
    text: str
    author: str
    comment: str


@dataclass(frozen=True, slots=True)
class ActivatePolicy:
    """Makes the pending policy the active one."""

    number: int


@dataclass(frozen=True, slots=True)
class AbandonPolicy:
    """Ends the pending policy, which never becomes active."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Sets the voters from this entry on: one more or one fewer than before."""

    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UnknownCommand:
    """A stored command that this version does not know; it is kept as it was read and never applied."""

    kind: int
    payload: object


Command = NoOp | ProposePolicy | ActivatePolicy | AbandonPolicy | ChangeVoters | UnknownCommand


class LogEntry(NamedTuple):
    """A command and the term of the leader that appended it."""

    term: int
    command: Command


class LogPosition(NamedTuple):
    """The term and index of a log's last entry.

    Of two logs the one with the greater position is more up to date (section 5.4.1 of the Raft paper).
    """

    term: int
    index: int


class PersistentState(NamedTuple):
    """The state that a node must have on disk before it answers a message (figure 2 of the Raft paper)."""

    current_term: int = 0
    voted_for: str | None = None
    entries: tuple[LogEntry, ...] = ()
