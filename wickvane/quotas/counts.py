"""Counts of a whole fleet: exact in the end, of known age at any time; no socket, clock or thread.

Each life (one start of a program, as peers tell it) counts for itself alone. *Sums* only grow, so the highest
heard of each life and key holds: words may come in any order, any number of times, in any part (a grow-only
counter; Shapiro and others, 2011). *Levels* (threads at work by engine) go up and down: of each life the
latest stamp holds, whole.

How old a level is follows from its life's own clock, without a common one: what passed between its stamp and
now, less the least that ever passed between a stamp and its coming here. A datagram late by 30 s is 30 s old.
Only the way of the quickest datagram is not seen.

Lives that ended long ago are folded into one figure and dropped; a word of one that comes later is refused,
or it would be counted again. Times are tenths of a millisecond.
"""

from collections import OrderedDict
from itertools import islice

from wickvane.quotas import wire
from wickvane.quotas.latest import RELAYS
from wickvane.units import TICKS_PER_SECOND

DRIFT = 1_000  # the least way grows by one in so many, so that two clocks that go apart are not seen as age
FOLD_AFTER = 600 * TICKS_PER_SECOND
FLOORS = 4096
NEW_MOST, SLOW_MOST = 64, 4  # keys of one page: what is new, and of the slow round: it is against the rare
KEY_RELAYS = 3  # the same of sums, times the digits of the number of lives
# Octets of one life's levels and of a sum beside what wire.row_size() counts, and of a page.
LEVEL, SUM, HEAD = 17, 7, 12


class Life:
    """What one life said. base: the least way; t: the stamp of the latest levels."""

    __slots__ = ("sums", "levels", "t", "base", "heard", "gone")

    def __init__(self, now):
        self.sums, self.levels, self.t, self.base = {}, {}, -1, None
        self.heard, self.gone = now, None


class Counts:
    """life: (name, epoch) of this one; most: lives, and keys of each, that are held."""

    def __init__(self, now, life, most=4096, keys=4096):
        self.life, self.most, self.keys = life, most, keys
        self.lives = {life: Life(now)}
        self.mine = self.lives[life]
        self.folded, self.floors = {}, OrderedDict()
        self.fresh = OrderedDict()  # life: how often its latest levels were sent on; the latest first
        self.dirty = OrderedDict()  # (life, key): how often it was sent on
        self.turn = []  # the slow round over all keys, against what every other way lost
        self.refused = {"folded": 0, "full": 0}

    # This life

    def renamed(self, life):
        """This program started over under a later epoch; what it counted before stays that life's."""
        if life != self.life:
            was, self.life = self.mine, life
            self.mine = self.lives.setdefault(life, Life(was.heard))
            was.levels = {}

    def count(self, key, n=1):
        found = self.mine.sums.get(key)
        if found is None and len(self.mine.sums) >= self.keys:
            self.refused["full"] += 1
            return
        self.mine.sums[key] = (found or 0) + n
        self.dirty[self.life, key] = 0
        self.dirty.move_to_end((self.life, key))

    def hold(self, now, levels):
        """What this life has at work now, by engine; told anew even where it is as before, since its age is
        what others go by."""
        mine = self.mine
        mine.levels = {engine: n for engine, n in levels.items() if n > 0}
        mine.t, mine.heard = max(now, mine.t + 1), now
        self.spreads(self.life)

    def spreads(self, life):
        self.fresh[life] = 0
        self.fresh.move_to_end(life, last=False)

    # Others

    def known(self, now, life):
        """The record of a life, made where there is room; None where its word is refused."""
        found = self.lives.get(life)
        if found is None:
            if life[1] <= self.floors.get(life[0], 0):
                self.refused["folded"] += 1
                return None
            if len(self.lives) >= self.most:
                self.refused["full"] += 1
                return None
            found = self.lives[life] = Life(now)
        return found

    def levels(self, now, life, t, levels):
        """Another's levels by its stamp `t`, by whatever way they came; whether they were news."""
        if life == self.life:
            return False
        found = self.known(now, life)
        if found is None or t <= found.t:
            return False
        way = now - t
        if found.base is not None:
            found.base += (now - found.heard) // DRIFT
        found.base = way if found.base is None else min(found.base, way)
        found.levels, found.t, found.heard = dict(levels), t, now
        self.spreads(life)
        return True

    def sum(self, now, life, key, n):
        found = self.known(now, life)
        if found is None or n <= found.sums.get(key, 0) or life == self.life:
            return False
        if key not in found.sums and len(found.sums) >= self.keys:
            self.refused["full"] += 1
            return False
        found.sums[key] = n
        self.dirty[life, key] = 0
        return True

    def over(self, now, living):
        """living: the lives that are believed there. What the others hold at work is no longer counted; their
        sums are, and are folded in the end."""
        for life, found in list(self.lives.items()):
            if life == self.life or life in living:
                found.gone = None
            elif found.gone is None:
                found.gone = now
            elif now - found.gone >= FOLD_AFTER:
                self.fold(life)

    def fold(self, life):
        for key, n in self.lives.pop(life).sums.items():
            self.folded[key] = self.folded.get(key, 0) + n
            self.dirty.pop((life, key), None)
        self.fresh.pop(life, None)
        self.floors[life[0]] = max(life[1], self.floors.pop(life[0], 0))
        if len(self.floors) > FLOORS:
            self.floors.popitem(last=False)

    # Readings

    def age(self, now, life):
        return self.since(now, life, self.lives[life].t)

    def since(self, now, life, t):
        """How old a stamp of a life is; None where its clock is not known yet."""
        found = self.lives.get(life)
        return max(0, now - t - found.base) if found is not None and found.base is not None else None

    def held(self, now, within):
        """({engine: threads of all others}, age in the mean, age of the oldest, lives counted, lives left
        out): of the levels that are at most `within` old."""
        totals, oldest, ages, counted, out = {}, 0, 0, 0, 0
        for life, found in self.lives.items():
            if life == self.life or found.gone is not None:
                continue
            age = self.age(now, life)
            if age is None or age > within:
                out += 1
                continue
            counted, ages, oldest = counted + 1, ages + age, max(oldest, age)
            for engine, n in found.levels.items():
                totals[engine] = totals.get(engine, 0) + n
        return totals, ages // max(1, counted), oldest, counted, out

    def total(self, key):
        return self.folded.get(key, 0) + sum(found.sums.get(key, 0) for found in self.lives.values())

    def totals(self):
        found = dict(self.folded)
        for life in self.lives.values():
            for key, n in life.sums.items():
                found[key] = found.get(key, 0) + n
        return found

    # What is sent on

    def page(self, room):
        """(levels, sums) for one datagram of `room` octets at most: [(life, t, [(engine, threads)])] and
        [(life, key, n)]."""
        levels, sums, room = [], [], room - HEAD
        for life in list(self.fresh):
            found = self.lives[life]
            size = LEVEL + sum(wire.row_size(*row) for row in found.levels.items())
            if size > room - 100:
                break
            room -= size
            levels.append((life, found.t, list(found.levels.items())))
            self.fresh[life] += 1
            if self.fresh[life] >= RELAYS:
                del self.fresh[life]
            else:
                self.fresh.move_to_end(life)
        for life, key in self.next_keys():
            size = SUM + wire.row_size(key, self.lives[life].sums[key])
            if size > room:
                break
            room -= size
            sums.append((life, key, self.lives[life].sums[key]))
            if (life, key) in self.dirty:
                self.dirty[life, key] += 1
                if self.dirty[life, key] >= KEY_RELAYS * len(str(len(self.lives))):
                    del self.dirty[life, key]
                else:
                    self.dirty.move_to_end((life, key))
        return levels, sums

    def next_keys(self):
        """Keys in the order in which they are sent: what is new, then the next of the slow round."""
        yield from list(islice(self.dirty, NEW_MOST))
        for _ in range(SLOW_MOST):
            if not self.turn:
                self.turn = [(life, key) for life, found in self.lives.items() for key in found.sums]
                if not self.turn:
                    return
            life, key = self.turn.pop()
            if life in self.lives and (life, key) not in self.dirty:
                yield life, key
