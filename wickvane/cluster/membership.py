"""Who is in the fleet, as one dispatcher believes: lives, what was said of each, and the view that follows.

No socket, clock or thread. A *life* is one start of a program under a name: (name, epoch). What is said of a
life is ordered, and the highest word wins wherever and however often it is heard, so that all who hear the
same hold the same (a join semilattice): `left` over all else, then the higher incarnation, then the worse
state. Only the life itself raises its incarnation; that is how one that is suspected refutes (SWIM, Das,
Gupta, Motivala 2002). A start is a new epoch: nothing said of a former life touches it.

Two lives may claim one name. At one address the younger has replaced the older, since an address is taken
once; elsewhere the older holds the name for as long as it is believed there, and the younger stands aside.

Times are tenths of a millisecond of a clock that does not step. A row is a dense index into parallel arrays;
row 0 is this life. All is bounded: rows by `most`, lives of a name by LIVES_MOST, names long gone by FLOORS.
"""

from collections import OrderedDict
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

from wickvane.units import TICKS_PER_SECOND

JOINING, ALIVE, SUSPECT, FAILED, LEFT = range(5)
STATES = "joining", "alive", "suspect", "failed", "left"
DEAD = FAILED, LEFT
NEVER = -(1 << 60)
BUCKETS, SUM = 128, 4  # of the table, each with a sum of four octets: what two compare before they exchange
LIVES_MOST = 4  # of one name: more at once are a mistake of who configured them
FLOORS = 4096  # names whose dead lives are no longer held one by one
INCARNATION_MOST = 1 << 32
JOINING_LASTS = 15 * TICKS_PER_SECOND  # an unanswered newcomer is not kept longer
# A life heard of at first hand since is not called failed on another's word.
HEARD_LATELY = 3 * TICKS_PER_SECOND
SUSPECTED_LEAST = 2 * TICKS_PER_SECOND  # nor one that was not suspected here for so long
SPREAD = 4  # a rumour is sent on so often, times the decimal logarithm of the members
TURNS = 32  # more than times() can be
CONFIRMERS = 3  # independent suspicions that are sent on, and shorten the time left to refute
ENTRIES_MOST = 30  # in one datagram, whatever room there is
WINDOW = 64  # counters behind the last that may still come, each once


@lru_cache(1 << 14)
def mark(name, epoch, incarnation=-1):
    """64 bits that stand for a life (and its incarnation) in sums."""
    return int.from_bytes(blake2b(f"{name}\0{epoch}\0{incarnation}".encode(), digest_size=8).digest())


@lru_cache(1 << 14)
def bucket_of(name):
    return blake2b(name.encode(), digest_size=2).digest()[0] % BUCKETS


class Table:
    """told: called with (event, fields) of what an operator would want to know."""

    def __init__(self, now, name, epoch, address, most, remember, told):
        self.most, self.remember, self.told = most, remember, told
        self.rows, self.of_name, self.free = {}, {}, []
        self.name, self.epoch, self.address, self.incarnation, self.state = [], [], [], [], []
        self.since, self.by, self.heard, self.bucket = [], [], [], []
        self.counter, self.window = [], []  # the highest heard of it, and which of those behind it
        self.saw, self.saw_at = [], []  # the digest of its view when last heard
        self.back, self.back_at = [], []  # how often it refuted lately
        self.floors = OrderedDict()  # name: no life of it up to this epoch is there any more
        self.sums = [0] * BUCKETS
        self.rumours = {}  # row: how often it was sent on
        self.turns = [{} for _ in range(TURNS)]  # by how often: rows, in the order in which they came there
        self.confirmers = {}  # row of a suspect: names that suspect it by themselves
        self.held = {}  # the view: name: (row, its mark)
        self.digest, self.number, self.highest = 0, 1, 0
        self.living, self.dead = [0], set()  # living: joining, alive or suspect rows
        self.place = {0: 0}
        self.full = 0
        self.add(now, name, epoch, address, 0, JOINING, "")

    # Rows

    def add(self, now, name, epoch, address, incarnation, state, by):
        if self.free:
            row = self.free.pop()
        else:
            row = len(self.name)
            for column in (
                self.name,
                self.epoch,
                self.address,
                self.incarnation,
                self.state,
                self.since,
                self.by,
                self.heard,
                self.bucket,
                self.counter,
                self.window,
                self.saw,
                self.saw_at,
                self.back,
                self.back_at,
            ):
                column.append(0)
        self.name[row], self.epoch[row], self.address[row] = name, epoch, address
        self.incarnation[row], self.state[row], self.by[row] = incarnation, state, by
        self.since[row], self.heard[row], self.bucket[row] = now, NEVER, bucket_of(name)
        self.counter[row] = self.window[row] = self.saw[row] = self.back[row] = 0
        self.saw_at[row] = self.back_at[row] = NEVER
        self.rows[name, epoch] = row
        self.of_name.setdefault(name, []).append(row)
        self.enter(row)
        self.summed(row)
        self.rumour(row, 0)
        self.look(name)
        return row

    def enter(self, row):
        if self.state[row] in DEAD:
            self.dead.add(row)
        elif row not in self.place:
            self.place[row] = len(self.living)
            self.living.append(row)

    def leave_living(self, row):
        """Takes a row out of the living in one step, whatever their number."""
        at, last = self.place.pop(row), self.living.pop()
        if last != row:
            self.living[at], self.place[last] = last, at

    def summed(self, row):
        """Puts a living row into its bucket's sum, or takes it out of there again."""
        if self.state[row] not in DEAD:
            self.sums[self.bucket[row]] ^= (
                mark(self.name[row], self.epoch[row], self.incarnation[row]) & 0xFFFFFFFF
            )

    def drop(self, row):
        """A dead or unanswered life is forgotten; no life of its name up to it comes back by an old word."""
        name, epoch = self.name[row], self.epoch[row]
        self.summed(row)
        if self.state[row] in DEAD or self.incarnation[row]:
            # A newcomer's first incarnation cannot have been called over before.
            self.floors[name] = max(epoch, self.floors.pop(name, 0))
            if len(self.floors) > FLOORS:
                self.floors.popitem(last=False)
        if row in self.place:
            self.leave_living(row)
        self.dead.discard(row)
        del self.rows[name, epoch]
        self.of_name[name].remove(row)
        self.rumour(row, None)
        self.confirmers.pop(row, None)
        self.free.append(row)
        self.look(name)
        if not self.of_name[name]:
            del self.of_name[name]

    # What is said of lives

    def hears(self, now, name, epoch, address, incarnation, state, by, direct=False):
        """Takes in one word of a life; the row that changed by it, or None. direct: the life's own word."""
        mine = self.epoch[0]
        if name == self.name[0]:
            if epoch == mine:
                return self.of_me(now, incarnation, state, by)
            if address == self.address[0] and epoch > mine and self.state[0] != LEFT:
                # Only a former life of mine can have had my address, by a clock that went ahead of today's.
                return self.starts_over(now, epoch + 1, "clock-behind")
            if address == self.address[0]:
                state = LEFT  # and this one is plainly over
        row = self.rows.get((name, epoch))
        if row is None:
            return self.hears_new(now, name, epoch, address, incarnation, state, by)
        was, known = self.state[row], self.incarnation[row]
        if state == SUSPECT == was and incarnation == known:
            return self.confirmed(row, by)
        if (state == LEFT, incarnation, state) <= (was == LEFT, known, was):
            return None
        if state == FAILED and was != FAILED and not self.may_fail(now, row):
            # The other side of a cut says so, or one that was cut off. The life is told, and has its time to
            # refute here as well.
            if was == SUSPECT and incarnation == known:
                return self.confirmed(row, by)
            state = SUSPECT
        if was in (SUSPECT, FAILED) and state == ALIVE:
            lately = now - self.back_at[row] < 60 * TICKS_PER_SECOND
            self.back[row], self.back_at[row] = (self.back[row] + 1 if lately else 1), now
        self.becomes(now, row, incarnation, state, by)
        if direct or state in (JOINING, ALIVE):
            self.address[row] = address
        return row

    def may_fail(self, now, row):
        """Whether another's word is enough to call a life failed: it must have been suspected here for a
        while, and have been silent at first hand."""
        suspected = self.state[row] == SUSPECT and now - self.since[row] >= SUSPECTED_LEAST
        return suspected and now - self.heard[row] >= HEARD_LATELY

    def hears_new(self, now, name, epoch, address, incarnation, state, by):
        lives = self.of_name.get(name, ())
        if epoch <= self.floors.get(name, 0) and state not in DEAD:
            self.told("peers-former-life", {"name": name, "epoch": epoch})
            return None
        if any(self.epoch[row] > epoch and self.address[row] == address for row in lives):
            state = LEFT  # replaced
        if len(lives) >= LIVES_MOST or len(self.rows) >= self.most:
            over = [
                row
                for row in (lives if len(lives) >= LIVES_MOST else self.dead)
                if self.state[row] in DEAD and row
            ]
            if not over or state in DEAD:
                self.full += 1
                return None
            self.drop(min(over, key=lambda row: (self.since[row], row)))
        row = self.add(now, name, epoch, address, incarnation, state, by)
        for other in list(self.of_name[name]):
            if other != row and self.address[other] == address and self.epoch[other] < epoch and other:
                self.becomes(now, other, self.incarnation[other], LEFT, "")
        if state == SUSPECT:
            self.confirmers[row] = {by}
        self.told("peers-heard-of", self.shown(row))
        return row

    def becomes(self, now, row, incarnation, state, by):
        was = self.state[row]
        if was == LEFT and state != LEFT:
            return
        self.summed(row)
        self.state[row], self.incarnation[row], self.by[row] = state, incarnation, by
        self.summed(row)
        if was != state:
            self.since[row] = now
            if state in DEAD and was not in DEAD and row:
                self.leave_living(row)
                self.dead.add(row)
            elif was in DEAD and state not in DEAD:
                self.dead.discard(row)
                self.enter(row)
            self.confirmers.pop(row, None)
            if state == SUSPECT:
                self.confirmers[row] = {by}
        self.rumour(row, 0)
        self.look(self.name[row])
        if was != state and row:
            self.told(f"peers-{STATES[state]}", self.shown(row) | {"was": STATES[was]})

    def confirmed(self, row, by):
        """One more that suspects it: sent on while there are few, since each shortens the time to refute."""
        known = self.confirmers.setdefault(row, {self.by[row]})
        if by in known or len(known) > CONFIRMERS:
            return None
        known.add(by)
        self.by[row] = by
        self.rumour(row, min(self.rumours.get(row, TURNS), self.times() // 2))
        return row

    def of_me(self, now, incarnation, state, by):
        """Somebody's word of this very life: refuted where it is wrong."""
        mine = self.state[0]
        if mine == LEFT or state in (JOINING, ALIVE):
            return None
        if state == LEFT:
            # Forgotten by hand, while it runs: it comes back as a new life, or it would be none for ever.
            return self.starts_over(now, self.epoch[0] + 1, "was-forgotten")
        if incarnation < self.incarnation[0]:
            return None
        if incarnation + 1 >= INCARNATION_MOST:
            return self.starts_over(now, self.epoch[0] + 1, "incarnations-used-up")
        self.told("peers-refuted", {"by": by, "state": STATES[state], "incarnation": incarnation + 1})
        self.becomes(now, 0, incarnation + 1, mine, "")
        return 0

    def starts_over(self, now, epoch, why):
        """This program as a new life: nothing said of the one before is about it."""
        name, before = self.name[0], self.epoch[0]
        self.told("peers-starts-over", {"reason": why, "epoch": epoch, "was": before})
        del self.rows[name, before]
        self.summed(0)
        self.epoch[0], self.incarnation[0] = epoch, 0
        self.rows[name, epoch] = 0
        self.summed(0)
        self.state[0] = min(self.state[0], ALIVE)
        self.rumour(0, 0)
        for row in list(self.of_name[name]):
            if row and self.address[row] == self.address[0]:
                self.becomes(now, row, self.incarnation[row], LEFT, "")
        self.look(name)
        return 0

    def fresh(self, row, counter):
        """Whether a datagram of this number has not come from this life yet (RFC 4303's sliding window)."""
        last = self.counter[row]
        if counter > last:
            self.window[row] = (self.window[row] << min(WINDOW, counter - last) | 1) & ((1 << WINDOW) - 1)
            self.counter[row] = counter
            return True
        bit = 1 << (last - counter)
        if last - counter >= WINDOW or self.window[row] & bit:
            return False
        self.window[row] |= bit
        return True

    def age(self, now):
        """Forgets the long dead, and newcomers that nobody could answer."""
        for row in [row for row in sorted(self.dead) if row and now - self.since[row] > self.remember]:
            self.drop(row)
        for row in [
            row
            for row in self.living
            if row and self.state[row] == JOINING and now - self.since[row] > JOINING_LASTS
        ]:
            self.drop(row)

    # The view

    def holder(self, name):
        """The row of the life that holds a name: the oldest that is believed there, or None."""
        there = [row for row in self.of_name.get(name, ()) if self.state[row] in (ALIVE, SUSPECT)]
        return min(there, key=self.epoch.__getitem__) if there else None

    def aside(self):
        """Whether an older life elsewhere holds this program's name."""
        found = self.holder(self.name[0])
        return found not in (None, 0) and self.epoch[found] < self.epoch[0]

    def look(self, name):
        """The view's part that belongs to a name, after something of it changed."""
        row = self.holder(name)
        found = None if row is None else (row, mark(name, self.epoch[row]))
        before = self.held.get(name)
        if found == before:
            return
        if before is not None:
            self.digest ^= before[1]
            del self.held[name]
        if found is not None:
            self.digest ^= found[1]
            self.held[name] = found
        self.number = max(self.number, self.highest) + 1

    def hears_view(self, now, row, number, digest):
        """Of the view that another holds. Equal ones come to one number, the highest; a change here gets one
        past all that were heard."""
        self.saw[row], self.saw_at[row] = digest, now
        self.highest = max(self.highest, number)
        if digest == self.digest:
            self.number = max(self.number, number)

    def agreed(self, now, within):
        """Whether all whose view was heard of `within` that time hold this one; None where none was heard."""
        heard = [
            self.saw[row] == self.digest
            for row, _ in self.held.values()
            if row and now - self.saw_at[row] < within
        ]
        return all(heard) if heard else None

    # What is sent on

    def times(self):
        """How often a rumour is sent on: enough that all hear of it but for a few in ten thousand, whom the
        full exchange meets (SWIM, section 4.1)."""
        return SPREAD * max(1, len(str(len(self.living))))

    def pick(self, room, also=()):
        """Entries for one datagram of `room` octets, rows of `also` first, then those sent on least."""
        rows, times, found = list(also), self.times(), []
        for turn in self.turns if self.rumours else ():
            if len(rows) >= ENTRIES_MOST:
                break
            rows.extend(row for row in islice(turn, ENTRIES_MOST) if row not in also)
        for row in rows[:ENTRIES_MOST]:
            size = self.size(row)
            if size > room:
                break
            room -= size
            found.append(self.entry(row))
            count = self.rumours.get(row)
            if count is not None:
                self.rumour(row, count + 1 if count + 1 < times else None)
        return found

    def rumour(self, row, count):
        """Sets how often a row was sent on as a rumour; None: it is one no more."""
        before = self.rumours.pop(row, None)
        if before is not None:
            del self.turns[before][row]
        if count is not None:
            self.rumours[row] = count
            self.turns[count][row] = None

    def size(self, row):
        """Octets that an entry takes at most."""
        return len(self.name[row].encode()) + len(self.address[row]) + len(str(self.by[row]).encode()) + 24

    def entry(self, row):
        return (
            self.name[row],
            self.epoch[row],
            self.address[row],
            self.incarnation[row],
            self.state[row],
            self.by[row],
        )

    def sums_told(self):
        return b"".join(value.to_bytes(SUM) for value in self.sums)

    def differing(self, told):
        """Buckets in which another's sums differ."""
        return [n for n in range(BUCKETS) if int.from_bytes(told[n * SUM : (n + 1) * SUM]) != self.sums[n]]

    def rows_in(self, buckets):
        wanted = set(buckets)
        return [row for row in self.rows.values() if self.bucket[row] in wanted]

    def shown(self, row):
        return {
            "name": self.name[row],
            "epoch": self.epoch[row],
            "address": self.address[row],
            "incarnation": self.incarnation[row],
            "by": self.by[row] or None,
        }
