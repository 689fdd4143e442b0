"""The messages between Raft nodes, and the effects that a node asks its caller to carry out.

Names and fields are those of the paper (Ongaro and Ousterhout 2014, figure 2); pre-votes are those of
Ongaro's thesis, section 9.6. Messages may be lost, late, reordered or duplicated.
"""

from dataclasses import dataclass

from wickvane.config_log.log_entry import LogEntry, PersistentState


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks for a vote. pre_vote: asks only whether a vote would be granted, in a term that has not begun."""

    term: int
    last_log_term: int
    last_log_index: int
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """The answer to RequestVote. term: the responder's, or the requested one for a pre-vote."""

    term: int
    vote_granted: bool
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replicates entries; without any it is a heartbeat."""

    term: int
    previous_log_index: int
    previous_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int


@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """The answer to AppendEntries. match_index: how far the logs agree; without success, an upper bound."""

    term: int
    success: bool
    match_index: int


Message = RequestVote | VoteResponse | AppendEntries | AppendEntriesResponse


@dataclass(frozen=True, slots=True)
class PersistState:
    """The state must be on disk before any later effect is carried out; if that fails, those are dropped."""

    state: PersistentState


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to another node."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """The entry at an index is committed and is to be applied; each index once, in order."""

    index: int
    entry: LogEntry


Effect = PersistState | SendMessage | CommitEntry
