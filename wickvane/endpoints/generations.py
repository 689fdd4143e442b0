"""Generations of an endpoint list: the target, its number, and those that it can be rolled back to."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wickvane.endpoints.findings import Finding, Severity
from wickvane.endpoints.records import Applied, Checkpoint, Held, ReservedNumber, StoredGeneration
from wickvane.endpoints.snapshot import EMPTY_SNAPSHOT, Snapshot, delta_between, update_snapshot

MAX_GENERATIONS = 64  # kept for rollback


class Generation(NamedTuple):
    """A generation that was applied from a document."""

    snapshot: Snapshot
    at: int
    author: str


@dataclass(slots=True)
class Generations:
    """target: the list that the rollout moves towards. number: its generation; after a rollback still the
    one that was rolled back. highest_number: ever assigned here. file_checksum: of the document applied
    last, which a rollback leaves as it was."""

    target: Snapshot = EMPTY_SNAPSHOT
    number: int = 0
    rollback_of: int | None = None
    highest_number: int = 0
    file_checksum: int = 0
    history: dict[int, Generation] = field(default_factory=dict)
    reserved: ReservedNumber | None = None

    def is_applied(self, snapshot: Snapshot, stated: int | None) -> bool:
        """Whether a document is the one that was applied last: current, or rolled back and still on disk."""
        return snapshot.checksum == self.file_checksum and (stated is None or stated <= self.number)

    def check_stated(self, stated: int | None) -> Finding | None:
        """A finding on a stated generation that is not above the current one."""
        if stated is None or stated > self.number:
            return None
        code = "generation-same" if stated == self.number else "generation-back"
        text = f"it states generation {stated}, and {self.number} is at work"
        return Finding(code, Severity.REJECT, text)

    def number_for(self, snapshot: Snapshot, stated: int | None) -> int:
        """The generation of a new document: as it states, as it was held before, or the next free one."""
        if stated is not None:
            return stated
        if self.reserved is not None and self.reserved.checksum == snapshot.checksum:
            return self.reserved.generation
        return max(self.highest_number, self.number) + 1

    def apply(self, record: Applied) -> Snapshot:
        """Makes a generation the target, and returns it."""
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
        """Keeps a held document's number for it."""
        self.reserved = ReservedNumber(record.checksum, record.generation)
        self.highest_number = max(self.highest_number, record.generation)

    def stored_history(self) -> list[StoredGeneration]:
        """The history for a checkpoint, each generation as a delta from the one before it."""
        stored = []
        previous = EMPTY_SNAPSHOT
        for number, generation in self.history.items():
            delta = delta_between(previous, generation.snapshot)
            stored.append(StoredGeneration(number, generation.at, generation.author, delta))
            previous = generation.snapshot
        return stored

    def latest_snapshot(self) -> Snapshot:
        """The newest snapshot of the history."""
        if not self.history:
            return EMPTY_SNAPSHOT
        return next(reversed(self.history.values())).snapshot

    def restore(self, record: Checkpoint) -> None:
        """Takes all of it from a checkpoint."""
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
