"""A held change, which waits for an operator's confirmation."""

from dataclasses import dataclass
from typing import NamedTuple

from wickvane.endpoints.findings import Finding, Severity, distinct_codes
from wickvane.endpoints.snapshot import Snapshot


class PendingChange(NamedTuple):
    """A held change. codes: of its findings above NOTE; expires_at: tick at which it is discarded."""

    snapshot: Snapshot
    codes: tuple[str, ...]
    is_staged: bool
    expires_at: int


def make_pending(snapshot: Snapshot, findings: list[Finding], expires_at: int) -> PendingChange:
    """Returns the held change for a snapshot with these findings."""
    codes = distinct_codes(finding for finding in findings if finding.severity != Severity.NOTE)
    is_staged = any(finding.severity == Severity.STAGE for finding in findings)
    return PendingChange(snapshot, codes, is_staged, expires_at)


@dataclass(slots=True)
class Confirmation:
    """Holds at most one change at a time."""

    pending: PendingChange | None = None

    def holds(self, checksum: int, generation: int) -> bool:
        """Returns whether this content is held under this generation."""
        pending = self.pending
        return pending is not None and (pending.snapshot.checksum, pending.snapshot.generation) == (
            checksum,
            generation,
        )

    def awaits(self, generation: int) -> bool:
        """Returns whether the generation waits for its confirmation."""
        return self.pending is not None and self.pending.snapshot.generation == generation

    def has_expired(self, now: int) -> bool:
        """Returns whether the confirmation timeout of the held change has passed."""
        return self.pending is not None and now >= self.pending.expires_at

    def clear(self) -> PendingChange | None:
        """Discards the held change and returns it, None if there was none."""
        previous = self.pending
        self.pending = None
        return previous
