"""An engine as a model: cores, disks and memory shared among all that it runs. No I/O, no clock of its own.

Work is milliseconds of one thread on one core, times are milliseconds of whoever calls; both are floats, and
nothing depends on chance: what is drawn is drawn by the caller. Between two calls every query goes on at a
constant rate, so that the model is exact: advance() moves it to a time, next_end() tells when the first query
would end.

    cores      threads that run share them by weight of priority (1, 4, 8, 16), none more than its threads;
               past `knee` threads a core, switching takes a growing part of them
    disks      the reading part of each query's work needs them, shared in the same way
    memory     a query waits in line, by priority and then in turn, until its grant fits; one that gets less
               than it needs spills, and does more work
    tables     the data sets read last are warm, which saves a part of the reading
    cold       a fresh process does a part of its work, rising until it is warm, and falls over when pushed
"""

from collections import deque

WEIGHT = (1.0, 4.0, 8.0, 16.0)
BUSY = 0.85  # the share of cores that counts as capacity in the collapse rule
EPSILON = 1e-6


class Kind:
    """What engines of one kind have and how they behave; the script's constants."""

    def __init__(
        self,
        cores=8,
        disks=4.0,
        memory=16_384.0,
        knee=1.6,
        thrash=0.6,
        spill=2.5,
        warm_sets=4,
        warm_gain=0.5,
        cold_from=0.3,
        cold_ms=15_000.0,
        fall_multiple=2.5,
        fall_ms=3000.0,
        sessions=8,
        repeat_ms=12_000.0,
    ):
        self.cores, self.disks, self.memory, self.knee, self.thrash = cores, disks, memory, knee, thrash
        self.spill, self.warm_sets, self.warm_gain = spill, warm_sets, warm_gain
        self.cold_from, self.cold_ms = cold_from, cold_ms
        self.fall_multiple, self.fall_ms = fall_multiple, fall_ms
        self.sessions, self.repeat_ms = sessions, repeat_ms


class Running:
    """A query on an engine: left is the work still to be done, rate how much of it a millisecond."""

    __slots__ = (
        "mark",
        "threads",
        "reading",
        "priority",
        "need",
        "grant",
        "left",
        "rate",
        "began",
        "weight",
        "spilt",
        "token",
        "work",
    )

    def __init__(self, mark, threads, reading, priority, need, grant, work, began, token):
        self.mark, self.threads, self.reading, self.priority = mark, threads, reading, priority
        self.need, self.grant, self.left, self.rate, self.began = need, grant, work, 0.0, began
        self.weight, self.spilt, self.token, self.work = WEIGHT[priority], False, token, work


class Engine:
    """A modelled engine: cores that are shared, memory that is waited for, tables that are warm."""

    def __init__(self, kind, started=None):
        """started: when a fresh process came up; None for one that is warm."""
        self.kind, self.started, self.now, self.fallen = kind, started, 0.0, False
        self.running, self.waiting, self.free = {}, [], kind.memory
        self.tables, self.tokens, self.arrived, self.arrived_work = {}, {}, deque(), 0.0
        self.stalled, self.taken, self.slower = 0, 0.0, 1.0  # troubles: see pause(), neighbour(), slow()
        self.version, self.turn = 0, 0

    # What it can do

    def warmth(self, now):
        if self.started is None:
            return 1.0
        age = (now - self.started) / self.kind.cold_ms
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * max(0.0, age))

    def capacity(self, now):
        """Work a millisecond that counts as its capacity."""
        return BUSY * self.kind.cores * self.warmth(now)

    # What happens to it

    def offer(
        self, now, mark, work, threads, reading, table, need, grant=0.0, priority=1, token=None, usual=None
    ):
        """A query comes: "full", "fallen", "repeat" where its token is known, or "in". usual: what it weighs
        in the collapse rule."""
        self.advance(now)
        if self.fallen:
            return "fallen"
        self.press(now, work if usual is None else usual)
        if self.fallen:
            return "fallen"
        if token is not None:
            known = self.tokens.get(token)
            if known is not None and now - known <= self.kind.repeat_ms:
                return "repeat"
        if len(self.running) + len(self.waiting) >= self.kind.sessions * self.kind.cores:
            return "full"
        if table in self.tables:
            work *= 1 - reading * self.kind.warm_gain
            del self.tables[table]
        self.tables[table] = None
        while len(self.tables) > self.kind.warm_sets:
            del self.tables[next(iter(self.tables))]
        grant = min(grant or need * 1.25, 0.4 * self.kind.memory)
        query = Running(mark, threads, reading, priority, need, grant, work, now, token)
        if need > grant + EPSILON:
            query.left *= 1 + self.kind.spill * (1 - grant / need)
            query.spilt = True
        self.turn += 1
        if grant <= self.free and not self.waiting:
            self.admit(query)
        else:
            self.waiting.append((-priority, self.turn, query))
            self.waiting.sort(key=lambda entry: entry[:2])
        self.share()
        return "in"

    def press(self, now, work):
        """All work that reaches a cold engine adds pressure, including what it does not take."""
        if self.started is None or now - self.started >= self.kind.cold_ms:
            return
        self.arrived.append((now, work))
        self.arrived_work += work
        while self.arrived[0][0] <= now - self.kind.fall_ms:
            self.arrived_work -= self.arrived.popleft()[1]
        if self.arrived_work > self.kind.fall_multiple * self.capacity(now) * self.kind.fall_ms + work:
            self.fall()

    def fall(self):
        self.fallen = True
        self.running.clear()
        self.waiting.clear()
        self.version += 1

    def admit(self, query):
        self.free -= query.grant
        self.running[query.mark] = query

    def admit_waiting(self):
        while self.waiting and self.waiting[0][2].grant <= self.free:
            self.admit(self.waiting.pop(0)[2])

    def cancel(self, now, mark):
        """A query is given up: what it held is free. False where it is not here."""
        self.advance(now)
        query = self.running.pop(mark, None)
        if query is not None:
            self.free += query.grant
            self.admit_waiting()
        else:
            had = len(self.waiting)
            self.waiting = [entry for entry in self.waiting if entry[2].mark != mark]
            if had == len(self.waiting):
                return False
        self.share()
        return True

    def set_priority(self, now, mark, priority):
        self.advance(now)
        query = self.running.get(mark)
        if query is not None:
            query.priority, query.weight = priority, WEIGHT[priority]
            self.share()

    def pause(self, now, on):
        """It stands still; overlapping pauses count."""
        self.advance(now)
        self.stalled += 1 if on else -1
        self.share()

    def neighbour(self, now, part):
        """Another program takes this part of its cores more (or less, where negative)."""
        self.advance(now)
        self.taken += part
        self.share()

    def slow(self, now, factor):
        """Everything takes so many times as long as before."""
        self.advance(now)
        self.slower *= factor
        self.share()

    # Time

    def share(self):
        """Rates of all that runs, from now on."""
        self.version += 1
        queries = list(self.running.values())
        if not queries:
            return
        if self.stalled:
            for query in queries:
                query.rate = 0.0
            return
        threads = sum(query.threads for query in queries)
        cores = self.kind.cores * max(0.05, 1 - self.taken) * self.warmth(self.now)
        over = max(0.0, threads / max(cores, EPSILON) - self.kind.knee)
        cores /= 1 + self.kind.thrash * over
        by_cores = fill(queries, cores, [1 - query.reading for query in queries])
        by_disks = fill(queries, self.kind.disks, [query.reading for query in queries])
        for query, a, b in zip(queries, by_cores, by_disks):
            query.rate = min(a, b) / self.slower

    def advance(self, now):
        """Moves all that runs to a time that is not past the next end."""
        if now > self.now:
            for query in self.running.values():
                query.left -= query.rate * (now - self.now)
            self.now = now

    def next_end(self):
        """When the first of what runs would end, None where nothing does; a cold engine's rates hold only for
        a while, so that it is also looked at each twentieth of its warming."""
        soonest = min(
            (query.left / query.rate for query in self.running.values() if query.rate > 0), default=None
        )
        if soonest is None:
            return None
        at = self.now + max(0.0, soonest)
        if self.started is not None and self.now - self.started < self.kind.cold_ms:
            at = min(at, self.now + self.kind.cold_ms / 20)
        return at

    def ended(self, now):
        """What is done by now, in the order it came."""
        self.advance(now)
        done = [query for query in self.running.values() if query.left <= EPSILON * max(1.0, query.work)]
        for query in done:
            del self.running[query.mark]
            self.free += query.grant
            if query.token is not None:
                self.tokens.pop(query.token, None)
                self.tokens[query.token] = now
                while len(self.tokens) > 10_000:
                    del self.tokens[next(iter(self.tokens))]
        self.admit_waiting()
        self.share()
        return done

    def load(self):
        """(share of cores busy, queries held): what a report tells."""
        busy = sum(query.rate * (1 - query.reading) for query in self.running.values())
        return min(1.0, busy / self.kind.cores), len(self.running) + len(self.waiting)


def fill(queries, capacity, parts):
    """Rates by weight, none above its query's threads, so that the sum of rate times part stays within
    capacity: who is at its own bound leaves the rest to the others."""
    rates = [float(query.threads) for query in queries]
    if sum(rate * part for rate, part in zip(rates, parts)) <= capacity:
        return rates
    open_ones, left = list(range(len(queries))), capacity
    while open_ones:
        weight = sum(queries[n].weight * queries[n].threads * parts[n] for n in open_ones)
        if weight <= 0:
            break
        level = left / weight
        bound = [n for n in open_ones if level * queries[n].weight >= 1.0]
        if not bound:
            for n in open_ones:
                if parts[n] > 0:
                    rates[n] = level * queries[n].weight * queries[n].threads
            break
        for n in bound:
            left -= rates[n] * parts[n]
        left = max(0.0, left)
        open_ones = [n for n in open_ones if n not in set(bound)]
    return rates
