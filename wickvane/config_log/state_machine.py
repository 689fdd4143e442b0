"""The replicated state machine: it holds the policies and the number of the active one.

All nodes apply the same commands in the same order, so they agree on each number's document and on whether it
is active, pending or abandoned. A number is never used twice. The module performs no I/O.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from wickvane.config_log.log_entry import AbandonPolicy, ActivatePolicy, LogEntry, ProposePolicy

MAX_HISTORY_LENGTH = 256
INITIAL_NUMBER = 0
DIGEST_BYTES = 16


def content_digest(text: str) -> str:
    """Returns the digest that identifies a document's content, as 32 hexadecimal digits."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class PolicyRecord(NamedTuple):
    """The policy of one number in the history.

    author, comment: as given with the proposal; end_reason: why it can no longer be active, or None.
    """

    number: int
    digest: str
    text: str
    author: str
    comment: str
    end_reason: str | None = None


class LeaseNumbers(NamedTuple):
    """The number that voters may grant leases on, and the number that is to replace it."""

    active: int
    successor: int | None


class PolicyStateMachine:
    """The policies that have been committed so far."""

    def __init__(self, initial_text: str = "") -> None:
        """Starts with number 0; initial_text: its document, with which each process was started."""
        self.active_number = INITIAL_NUMBER
        self.pending_number: int | None = None
        self.last_number = INITIAL_NUMBER
        self.history = {
            INITIAL_NUMBER: PolicyRecord(
                INITIAL_NUMBER, content_digest(initial_text), initial_text, "", "initial policy"
            )
        }
        self.last_applied = 0
        self.ignored_count = 0

    def apply(self, index: int, entry: LogEntry) -> bool:
        """Applies a committed entry and returns whether it changed the policies.

        Entries must be applied in order; one that was already applied is ignored. All nodes also ignore a
        command that the current state does not allow, such as the second of two concurrent proposals.
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
        """Returns the number that voters may grant leases on, and its successor."""
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
        self._drop_oldest(sorted(self.history)[:-MAX_HISTORY_LENGTH])
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

    def _end(self, number: int, reason: str) -> None:
        self.history[number] = self.history[number]._replace(end_reason=reason)
