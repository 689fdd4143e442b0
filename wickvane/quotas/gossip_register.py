"""Stores and disseminates the latest entry of each incarnation. Free of I/O.

Each incarnation has one last-writer-wins register, which only that incarnation writes. An entry is complete,
has a timestamp by its writer's clock, and is replaced by an entry with a later timestamp. Each dispatcher
that has an entry relays it MAX_ENTRY_RELAYS times to random members, so that a member that one relay misses
is reached by another.
"""

from collections.abc import Collection
from typing import NamedTuple

from wickvane.quotas import wire
from wickvane.quotas.incarnation import Incarnation

MAX_ENTRY_RELAYS = 3
ENTRY_OVERHEAD = 17  # octets of an entry without its rows: hash, timestamp and their framing

Row = tuple  # a name and integers


class RegisterEntry(NamedTuple):
    """The rows of an incarnation, with a timestamp by its own clock."""

    timestamp: int
    rows: list[Row]


class RegisterUpdate(NamedTuple):
    """An entry to be sent, with the incarnation that wrote it."""

    incarnation: Incarnation
    timestamp: int
    rows: list[Row]


class RegisterPage(NamedTuple):
    """The entries that one datagram carries, and the octets that they leave free."""

    updates: list[RegisterUpdate]
    free_octets: int


class GossipRegisters:
    """The registers of at most `max_incarnations`."""

    def __init__(self, max_incarnations: int = 4096) -> None:
        self.max_incarnations = max_incarnations
        self.entries: dict[Incarnation, RegisterEntry] = {}
        self.relays: dict[
            Incarnation, int
        ] = {}  # how often each entry was relayed; only below MAX_ENTRY_RELAYS

    def store(self, incarnation: Incarnation, timestamp: int, rows: list[Row]) -> bool:
        """Stores an entry, from any relay; returns whether it was new."""
        before = self.entries.get(incarnation)
        if before is None:
            if len(self.entries) >= self.max_incarnations:
                return False
        elif timestamp <= before.timestamp:
            return False
        self.entries[incarnation] = RegisterEntry(timestamp, rows)
        self.relays[incarnation] = 0
        return True

    def retain(self, present: Collection[Incarnation]) -> None:
        """Drops the entries of all other incarnations."""
        for incarnation in [incarnation for incarnation in self.entries if incarnation not in present]:
            del self.entries[incarnation]
            self.relays.pop(incarnation, None)

    def next_page(self, free_octets: int) -> RegisterPage:
        """Returns entries that fit into `free_octets` of a datagram; the least relayed ones come first.

        An entry that does not fit into an otherwise empty page is truncated to its first rows.
        """
        updates: list[RegisterUpdate] = []
        by_relays = sorted(self.relays.items(), key=lambda item: (item[1], item[0]))
        for incarnation, relays in by_relays:
            timestamp, rows = self.entries[incarnation]
            fitting, remaining_octets = _fitting_rows(rows, free_octets - ENTRY_OVERHEAD)
            if fitting < len(rows) and (updates or not fitting):
                break
            free_octets = max(0, remaining_octets)
            updates.append(RegisterUpdate(incarnation, timestamp, rows[:fitting]))
            if relays + 1 >= MAX_ENTRY_RELAYS:
                del self.relays[incarnation]
            else:
                self.relays[incarnation] = relays + 1
        return RegisterPage(updates, free_octets)


def _fitting_rows(rows: list[Row], free_octets: int) -> tuple[int, int]:
    """Returns the number of rows that fit and the octets left, which are negative if a row did not fit."""
    fitting = 0
    for row in rows:
        free_octets -= wire.row_size(*row)
        if free_octets < 0:
            break
        fitting += 1
    return fitting, free_octets
