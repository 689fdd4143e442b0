"""Lists of engines as whole, immutable snapshots; free of I/O.

A Roster shares all that has not changed with the one before it (persistent maps), so that whoever holds one
holds a whole one while the next is built. Its digest is a sum over its members' own, so that it does not
depend on their order, and one engine's change costs one engine's work, however long the list is.

started: milliseconds of Unix time, 0 where it is not known, as the coordinator's stream tells it.
"""

import math
from hashlib import blake2b
from typing import NamedTuple

import orjson
from immutables import Map

from wickvane.events import EngineState

MARKS = 1 << 128
LOOSE = -1  # a generation that no document stated and nobody has numbered yet


class Member(NamedTuple):
    """weight: the part of an engine that may be used, over that of others; 0 drains it by hand. given: the
    fields that a document states, for one that overrides what the stream lists; None: all of them."""

    name: str
    address: tuple | None
    zone: str | None = None
    kind: str | None = None
    cell: int = 0
    started: float = 0
    weight: float = 1.0
    state: int = EngineState.READY
    given: frozenset | None = None

    def entry(self):
        """As the decider and the control service are told of it."""
        return (
            self.name,
            self.address,
            self.state,
            self.zone,
            self.kind,
            self.cell,
            self.started,
            self.weight,
        )

    def plain(self):
        """As JSON has it."""
        return [*self[:8], None if self.given is None else sorted(self.given)]


def member_of(row):
    """The Member of plain(). Raises ValueError or TypeError where it is none."""
    name, address, zone, kind, cell, started, weight, state, given = row
    if address is not None:
        address = str(address[0]), int(address[1])
    usual = (
        isinstance(name, str)
        and state in (EngineState.READY, EngineState.DRAINING, EngineState.GONE)
        and all(isinstance(x, (int, float)) and math.isfinite(x) for x in (cell, started, weight))
    )
    if not usual:
        raise ValueError("no member of a list")
    return Member(
        name, address, zone, kind, cell, started, weight, state, None if given is None else frozenset(given)
    )


def mark_of(member):
    return int.from_bytes(blake2b(orjson.dumps(member.plain()), digest_size=16).digest(), "big")


class Roster(NamedTuple):
    """generation: as the document states it, or as it was numbered here. before, touched: the mark of the
    Roster that this one was made from, and the names in which it differs from that at most."""

    generation: int = 0
    members: Map = Map()
    mark: int = 0
    before: int = -1
    touched: frozenset = frozenset()

    @property
    def digest(self):
        """16 hex digits that follow from the content alone."""
        return f"{self.mark:032x}"[:16]


EMPTY = Roster()


def changed(roster, generation, put=(), drop=()):
    """The Roster after some members were put in (or replaced) and some names dropped."""
    mark, touched = roster.mark, set()
    with roster.members.mutate() as table:
        for name in drop:
            was = table.pop(name, None)
            if was is not None:
                mark -= mark_of(was)
                touched.add(name)
        for member in put:
            was = table.get(member.name)
            if was == member:
                continue
            if was is not None:
                mark -= mark_of(was)
            mark += mark_of(member)
            table[member.name] = member
            touched.add(member.name)
        return Roster(generation, table.finish(), mark % MARKS, roster.mark, frozenset(touched))


def whole(generation, members):
    return changed(EMPTY, generation, members)


def difference(before, after):
    """Names in which two Rosters may differ: those touched, where the one was made from the other."""
    if before.mark == after.mark:
        return frozenset()
    if after.before == before.mark:
        return after.touched
    if before.before == after.mark:
        return before.touched
    return frozenset(
        [
            name
            for name, member in after.members.items()
            if (was := before.members.get(name)) is not member and was != member
        ]
        + [name for name in before.members if name not in after.members]
    )
