"""Defines the messages between Raft nodes, and the effects that a node asks its caller to carry out.

Names and fields follow the Raft paper (Ongaro and Ousterhout 2014, figure 2); pre-votes follow section 9.6 of
Ongaro's thesis. Messages may be lost, delayed, reordered or duplicated.
"""

from dataclasses import dataclass

from wickvane.config_log.log_entry import LogEntry, PersistentState


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Requests a vote.

    pre_vote: asks only whether the vote would be granted; the term is the next one, which has not begun.
    """

    term: int
    last_log_term: int
    last_log_index: int
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """The response to RequestVote.

    term: the responder's current term, or the requested term in a response to a pre-vote.
    """

    term: int
    vote_granted: bool
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replicates entries; a message without entries is a heartbeat."""

    term: int
    previous_log_index: int
    previous_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int


@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """The response to AppendEntries.

    match_index: the index up to which the logs agree, or an upper bound of it if success is False.
    """

    term: int
    success: bool
    match_index: int


Message = RequestVote | VoteResponse | AppendEntries | AppendEntriesResponse


@dataclass(frozen=True, slots=True)
class PersistState:
    """Saves the state to disk.

    It must be saved before any later effect is carried out; if that fails, the later effects are dropped.
    """

    state: PersistentState


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message to another node."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """Applies the committed entry at an index; each index occurs once, in ascending order."""

    index: int
    entry: LogEntry


Effect = PersistState | SendMessage | CommitEntry
