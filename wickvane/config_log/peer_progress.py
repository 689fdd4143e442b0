"""Tracks how far a leader has replicated its log to one other node."""

from dataclasses import dataclass


@dataclass(slots=True)
class PeerProgress:
    """A leader's knowledge of a peer's log in its term (nextIndex and matchIndex of the Raft paper)."""

    next_index: int
    match_index: int = 0
    last_response_at: int | None = None  # ticks

    def record_success(self, match_index: int) -> None:
        """Records that the peer's log agrees with the leader's up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, match_index + 1)

    def record_conflict(self, upper_bound: int) -> None:
        """Records that the peer's log lacks the entry before next_index, and agrees at most up to a bound."""
        self.next_index = max(1, min(self.next_index - 1, upper_bound + 1))

    def responded_since(self, time: int) -> bool:
        """Returns whether the peer has responded after a time (ticks)."""
        return self.last_response_at is not None and self.last_response_at > time
