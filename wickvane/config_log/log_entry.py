"""The entries of the replicated log, the commands that they carry, and the state that a node persists."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class NoOp:
    """Appended by each new leader, so that it can commit the entries of earlier terms."""


@dataclass(frozen=True, slots=True)
class ProposePolicy:
    """A policy under a new number. digest: of the text; author, comment: as given with the proposal."""

    number: int
    digest: str
    text: str
    author: str
    comment: str


@dataclass(frozen=True, slots=True)
class ActivatePolicy:
    """The pending policy becomes the active one."""

    number: int


@dataclass(frozen=True, slots=True)
class AbandonPolicy:
    """The pending policy will never be active."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """The voters from this entry on; one more or one fewer than before."""

    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UnknownCommand:
    """A stored command that this version does not know: kept as it was read, and never applied."""

    kind: int
    payload: object


Command = NoOp | ProposePolicy | ActivatePolicy | AbandonPolicy | ChangeVoters | UnknownCommand


class LogEntry(NamedTuple):
    """A command, and the term of the leader that appended it."""

    term: int
    command: Command


class LogPosition(NamedTuple):
    """The end of a log. Of two logs the one with the greater position is more up to date (section 5.4.1)."""

    term: int
    index: int


class PersistentState(NamedTuple):
    """What a node must have on disk before it answers anybody (figure 2 of the paper)."""

    current_term: int = 0
    voted_for: str | None = None
    entries: tuple[LogEntry, ...] = ()
