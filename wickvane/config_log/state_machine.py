"""The replicated state machine: which policies there are, and which of them is active.

All nodes apply the same commands in the same order, so all agree on each number: its document, and whether it
is active, pending or abandoned. A number is never used twice. No I/O.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from wickvane.config_log.log_entry import AbandonPolicy, ActivatePolicy, LogEntry, ProposePolicy

MAX_HISTORY = 256
INITIAL_NUMBER = 0
DIGEST_BYTES = 16


def content_digest(text: str) -> str:
    """The digest that identifies a document's content, 32 hexadecimal digits."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class PolicyRecord(NamedTuple):
    """One number of the history.

    author, comment: as given with the proposal; ended: why it can no longer be active, or None.
    """

    number: int
    digest: str
    text: str
    author: str
    comment: str
    ended: str | None = None


class LeaseNumbers(NamedTuple):
    """The number that voters may grant leases on, and the one that is to follow."""

    active: int
    successor: int | None


class PolicyStateMachine:
    """The policies that were committed so far."""

    def __init__(self, initial_text: str = "") -> None:
        """initial_text: the document under number 0, with which each process was started."""
        self.active_number = INITIAL_NUMBER
        self.pending_number: int | None = None
        self.last_number = INITIAL_NUMBER
        self.history = {
            INITIAL_NUMBER: PolicyRecord(
                INITIAL_NUMBER, content_digest(initial_text), initial_text, "", "as started"
            )
        }
        self.last_applied = 0
        self.ignored_count = 0

    def apply(self, index: int, entry: LogEntry) -> bool:
        """Applies a committed entry, in order; whether it changed anything.

        A command that does not fit the present state, such as the second of two concurrent proposals, is
        ignored by all nodes alike.
        """
        if index <= self.last_applied:
            return False
        self.last_applied = index
        match entry.command:
            case ProposePolicy() as proposal:
                is_applied = self._add_pending(proposal)
            case ActivatePolicy(number):
                is_applied = self._activate_pending(number)
            case AbandonPolicy(number, reason):
                is_applied = self._abandon_pending(number, reason)
            case _:
                return False
        if not is_applied:
            self.ignored_count += 1
        return is_applied

    def lease_numbers(self) -> LeaseNumbers:
        """What voters may grant leases on."""
        return LeaseNumbers(self.active_number, self.pending_number)

    def _add_pending(self, proposal: ProposePolicy) -> bool:
        is_next = self.pending_number is None and proposal.number == self.last_number + 1
        if not is_next or proposal.digest != content_digest(proposal.text):
            return False
        self.last_number = proposal.number
        self.pending_number = proposal.number
        self.history[proposal.number] = PolicyRecord(
            proposal.number, proposal.digest, proposal.text, proposal.author, proposal.comment
        )
        self._drop_oldest(sorted(self.history)[:-MAX_HISTORY])
        return True

    def _drop_oldest(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            if number not in (self.active_number, self.pending_number):
                del self.history[number]

    def _activate_pending(self, number: int) -> bool:
        if number != self.pending_number:
            return False
        self._end(self.active_number, f"followed by {number}")
        self.active_number = number
        self.pending_number = None
        return True

    def _abandon_pending(self, number: int, reason: str) -> bool:
        if number != self.pending_number:
            return False
        self._end(number, f"abandoned: {reason}")
        self.pending_number = None
        return True

    def _end(self, number: int, how: str) -> None:
        self.history[number] = self.history[number]._replace(ended=how)
