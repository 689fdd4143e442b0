"""Generations of an endpoint list: the target, its number, and the history for rollbacks."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wickvane.endpoints.findings import Finding, Severity
from wickvane.endpoints.records import Applied, Checkpoint, Held, ReservedNumber, StoredGeneration
from wickvane.endpoints.snapshot import EMPTY_SNAPSHOT, Snapshot, delta_between, update_snapshot

MAX_GENERATIONS = 64  # maximum number in the history


class Generation(NamedTuple):
    """A generation in the history, which was applied from a document."""

    snapshot: Snapshot
    at: int
    author: str


@dataclass(slots=True)
class Generations:
    """The target, its number, and the history.

    target: the list towards which the rollout changes the published list. number: generation of the target;
    after a rollback, still the generation that was rolled back. highest_number: highest generation assigned
    so far. file_checksum: checksum of the last document that was applied, which a rollback does not change.
    """

    target: Snapshot = EMPTY_SNAPSHOT
    number: int = 0
    rollback_of: int | None = None
    highest_number: int = 0
    file_checksum: int = 0
    history: dict[int, Generation] = field(default_factory=dict)
    reserved: ReservedNumber | None = None

    def is_applied(self, snapshot: Snapshot, stated: int | None) -> bool:
        """Returns whether a document is the last one that was applied, even if it was rolled back since."""
        return snapshot.checksum == self.file_checksum and (stated is None or stated <= self.number)

    def check_stated(self, stated: int | None) -> Finding | None:
        """Returns a finding if the stated generation is not above the current one."""
        if stated is None or stated > self.number:
            return None
        code = "generation-same" if stated == self.number else "generation-back"
        text = f"it states generation {stated}, and {self.number} is at work"
        return Finding(code, Severity.REJECT, text)

    def number_for(self, snapshot: Snapshot, stated: int | None) -> int:
        """Returns a document's generation: the stated one, the one reserved for it, or the next free one."""
        if stated is not None:
            return stated
        if self.reserved is not None and self.reserved.checksum == snapshot.checksum:
            return self.reserved.generation
        return max(self.highest_number, self.number) + 1

    def apply(self, record: Applied) -> Snapshot:
        """Makes the snapshot of a record the target, and returns it."""
        snapshot = update_snapshot(self.target, record.generation, *record.delta)
        if record.rollback_of is None:
            self.file_checksum = snapshot.checksum
            self.history[record.generation] = Generation(snapshot, record.at, record.author)
            while len(self.history) > MAX_GENERATIONS:
                del self.history[next(iter(self.history))]
        self.target = snapshot
        self.number = record.generation
        self.rollback_of = record.rollback_of
        self.highest_number = max(self.highest_number, self.number)
        self.reserved = None
        return snapshot

    def reserve(self, record: Held) -> None:
        """Reserves the generation of a held document for that document."""
        self.reserved = ReservedNumber(record.checksum, record.generation)
        self.highest_number = max(self.highest_number, record.generation)

    def stored_history(self) -> list[StoredGeneration]:
        """Returns the history for a checkpoint, each generation as a delta from the one before it."""
        stored = []
        previous = EMPTY_SNAPSHOT
        for number, generation in self.history.items():
            delta = delta_between(previous, generation.snapshot)
            stored.append(StoredGeneration(number, generation.at, generation.author, delta))
            previous = generation.snapshot
        return stored

    def latest_snapshot(self) -> Snapshot:
        """Returns the newest snapshot of the history."""
        if not self.history:
            return EMPTY_SNAPSHOT
        return next(reversed(self.history.values())).snapshot

    def restore(self, record: Checkpoint) -> None:
        """Replaces the complete state by that of a checkpoint."""
        self.history = {}
        snapshot = EMPTY_SNAPSHOT
        for stored in record.generations:
            snapshot = update_snapshot(snapshot, stored.number, *stored.delta)
            self.history[stored.number] = Generation(snapshot, stored.at, stored.author)
        self.target = update_snapshot(snapshot, record.generation, *record.target)
        self.number = record.generation
        self.rollback_of = record.rollback_of
        self.highest_number = record.highest_number
        self.file_checksum = record.file_checksum
        self.reserved = record.reserved
