"""The log of one node, with the operations that Raft defines on it; performs no I/O.

Indices begin at 1, as in the Raft paper (Ongaro and Ousterhout 2014).
"""

from collections.abc import Iterable, Sequence

from wickvane.config_log.log_entry import ChangeVoters, LogEntry, LogPosition


class ReplicatedLog:
    """The entries of one node's log, with an index of those that change the voters."""

    __slots__ = ("entries", "_voter_change_indices")

    def __init__(self, entries: Iterable[LogEntry] = ()) -> None:
        self.entries: list[LogEntry] = []
        self._voter_change_indices: list[int] = []  # of the entries that change the voters, ascending
        for entry in entries:
            self.append(entry)

    def __len__(self) -> int:
        return len(self.entries)

    def copy(self) -> "ReplicatedLog":
        """Returns an independent log with the same entries."""
        return ReplicatedLog(self.entries)

    def last_position(self) -> LogPosition:
        """Returns the term and index of the last entry; zeros for an empty log."""
        last_term = self.entries[-1].term if self.entries else 0
        return LogPosition(last_term, len(self.entries))

    def entry_at(self, index: int) -> LogEntry:
        """Returns the entry at an index of the log."""
        return self.entries[index - 1]

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at an index; 0 if the log has no such entry."""
        return self.entries[index - 1].term if 0 < index <= len(self.entries) else 0

    def entries_from(self, index: int, limit: int) -> tuple[LogEntry, ...]:
        """Returns at most `limit` entries from an index on."""
        return tuple(self.entries[index - 1 : index - 1 + limit])

    def contains(self, index: int, term: int) -> bool:
        """Returns whether the entry at an index has that term (the consistency check of AppendEntries)."""
        return index <= len(self.entries) and self.term_at(index) == term

    def append(self, entry: LogEntry) -> None:
        """Appends an entry."""
        self.entries.append(entry)
        if isinstance(entry.command, ChangeVoters):
            self._voter_change_indices.append(len(self.entries))

    def replicate(self, previous_index: int, entries: Sequence[LogEntry]) -> bool:
        """Adds a leader's entries after an index, and removes entries that conflict with them.

        Returns whether the log changed.
        """
        changed = False
        for index, entry in enumerate(entries, previous_index + 1):
            if self.term_at(index) == entry.term:
                continue
            # A conflicting entry was never committed, because the leader's log has all committed entries.
            self._truncate_from(index)
            self.append(entry)
            changed = True
        return changed

    def latest_voters(self) -> tuple[str, ...] | None:
        """Returns the voters of the last ChangeVoters, committed or not; None if the log has none."""
        if not self._voter_change_indices:
            return None
        return self.entry_at(self._voter_change_indices[-1]).command.voters

    def changes_voters_after(self, index: int) -> bool:
        """Returns whether any entry after an index changes the voters."""
        return bool(self._voter_change_indices) and self._voter_change_indices[-1] > index

    def _truncate_from(self, index: int) -> None:
        del self.entries[index - 1 :]
        while self._voter_change_indices and self._voter_change_indices[-1] >= index:
            self._voter_change_indices.pop()
