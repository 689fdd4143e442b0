"""Retry storms as one dispatcher sees them begin, deepen and end: what is measured, free of I/O. What is
turned away stays in wickvane.scheduling.

A metastable failure (Bronson et al., HotOS 2021; Huang et al., OSDI 2022) is told by what keeps it up: work
that comes is past the work that is done, and much of it is repeats of what was lately deferred. Told from

    growth        work that comes is past the work done, and it is not repeats
    a loop        repeats, but most of them one client's
    a slow engine engines that answer slower than they do alone are the fewer ones, and few are turned away

Times are tenths of a millisecond, work is such a time of one thread. Nothing here has a threshold of its own
making where settings or what was seen give one: repeats are measured against twice their usual share and the
share of further tries that the settings allow, work that comes against work done, slowness against each
engine's best. Memory is bounded: two filters for what was deferred, swapped so that a mark is known for
`remember` to twice that, a window of steps, and as many sources a step as SOURCES says.
"""

from collections import Counter, deque
from hashlib import blake2b
from math import sqrt

from wickvane.units import TICKS_PER_SECOND

STEP, STEPS = TICKS_PER_SECOND // 2, 4  # a look, and how many of them are the window
SOURCES = 64  # told apart in one step; what comes past them is one more
MARKS, WRONG = 50_000, 0.01  # of a filter: marks, and the share taken for known by mistake
USUAL = 0.02  # by which one calm look moves what is usual
SLOWER, FEW = 2.0, 0.5  # over its best, where an engine is slow; the part of engines that is no common cause
CALM_LOOKS, DEEPER = 3, 1.5  # quiet looks that end a storm; the factor by which repeats deepen it
SURE = 2.0  # standard errors past a share, from which it is taken to be past it
LEAST = 10  # queries in the window under which nothing is said
CALM, GROWTH, LOOP, SLOW, STORM = "calm", "growth", "one-client", "slow-engine", "storm"


def mark_of(tenant, token, key, body):
    """What a repeat is known again by: its token, else its key, else the statement itself; of its tenant."""
    sort, name = (b"t", token) if token else (b"k", key) if key else (b"s", body)
    return blake2b(b"%d/%b/" % (tenant, sort) + name, digest_size=16).digest()


def place(mark):
    """A mark's 128 bits, signed, as the filter wants them: the same in every process."""
    return int.from_bytes(mark, "big", signed=True)


def depth_of(figures):
    """Repeats over first tries."""
    return figures["repeats"] / (1 - min(0.99, figures["repeats"]))


class Known:
    """Marks of what was lately deferred: between `remember` and twice that."""

    def __init__(self, remember):
        from rbloom import Bloom

        self.made = lambda: Bloom(MARKS, WRONG, place)
        self.remember, self.swap_at = remember, 0
        self.new, self.old, self.count = self.made(), self.made(), 0

    def add(self, now, mark):
        """From now on this mark is known."""
        self.turn(now)
        # A full filter takes strangers for known ones: it is swapped ahead of its time.
        if self.count >= MARKS:
            self.swap_at = 0
            self.turn(now)
        self.new.add(mark)
        self.count += 1

    def has(self, now, mark):
        """Whether this mark was added within the time."""
        self.turn(now)
        return mark in self.new or mark in self.old

    def turn(self, now):
        """Lets go of what is too old."""
        if now < self.swap_at:
            return
        if now >= self.swap_at + self.remember and self.swap_at:
            self.new = self.made()
        self.old, self.new, self.count = self.new, self.made(), 0
        self.swap_at = now + self.remember


class Step:
    """What came and went in one step."""

    __slots__ = (
        "taken",
        "repeats",
        "offered",
        "done",
        "finished",
        "late",
        "deferred",
        "connected",
        "sources",
    )

    def __init__(self):
        self.taken = self.repeats = self.finished = self.late = self.deferred = self.connected = 0
        self.offered = self.done = 0.0
        self.sources = Counter()


class Storm:
    """extra_share: of further tries that the settings allow; remember: how long a repeat may stay away, the
    longest time-out and the longest advice."""

    def __init__(self, now, retry_budget_ratio, remember):
        self.allowed, self.known = retry_budget_ratio, Known(max(TICKS_PER_SECOND, remember))
        self.steps, self.look_at = deque([Step()], maxlen=STEPS), now + STEP
        self.state, self.since, self.quiet, self.depth = CALM, now, 0, 0.0
        self.before = CALM  # what the last look saw: a storm is told of where two on end see it
        self.usual_repeats = 0.0
        # Engines: the best time over estimate, and the recent one; the last look at which one was heard of.
        self.best, self.recent, self.heard = {}, {}, {}
        self.count = Counter()

    # What happens

    def taken(self, now, mark, source, cost):
        """A query came; whether it repeats what was lately deferred. source: whose it is, as far as the front
        can tell clients apart."""
        step, again = self.steps[-1], self.known.has(now, mark)
        step.taken += 1
        step.offered += cost
        if again:
            step.repeats += 1
            self.count["repeats"] += 1
            if len(step.sources) >= SOURCES and source not in step.sources:
                source = None
            step.sources[source] += 1
        return again

    def deferred(self, now, mark):
        """A query was deferred."""
        self.steps[-1].deferred += 1
        self.known.add(now, mark)

    def finished(self, now, late, work):
        """A query was answered with its result."""
        step = self.steps[-1]
        step.finished, step.late, step.done = step.finished + 1, step.late + late, step.done + work

    def connected(self, now):
        """A client connected."""
        self.steps[-1].connected += 1

    def engine(self, now, name, elapsed, expected):
        """A submission finished at an engine."""
        ratio = elapsed / max(1, expected)
        self.recent[name] = ratio if name not in self.recent else 0.7 * self.recent[name] + 0.3 * ratio
        self.best[name] = min(self.best.get(name, ratio) * 1.001, max(ratio, 0.05))
        self.heard[name] = now

    def gone(self, name):
        """An engine has left."""
        for table in (self.best, self.recent, self.heard):
            table.pop(name, None)

    # What it is

    def figures(self, now):
        """Of the window: shares of what was taken, a pace of work as cores, connections a second."""
        steps, span = self.steps, len(self.steps) * STEP
        taken = sum(step.taken for step in steps)
        repeats = sum(step.repeats for step in steps)
        sources = Counter()
        for step in steps:
            sources.update(step.sources)
        finished = sum(step.finished for step in steps)
        lately = [name for name, at in self.heard.items() if now - at <= 2 * span]
        slow = [name for name in lately if self.recent[name] > SLOWER * self.best[name]]
        top = max((count for source, count in sources.items() if source is not None), default=0)
        return {
            "taken": taken,
            "repeats": repeats / taken if taken else 0.0,
            "offered": sum(step.offered for step in steps) / span,
            "done": sum(step.done for step in steps) / span,
            "deferred": sum(step.deferred for step in steps) / taken if taken else 0.0,
            "late": sum(step.late for step in steps) / finished if finished else 0.0,
            "connections": sum(step.connected for step in steps) * TICKS_PER_SECOND / span,
            "one": top / repeats if repeats else 0.0,
            "slow": len(slow) / len(lately) if lately else 0.0,
        }

    def look(self, now):
        """Every STEP, how things stand: a list of (event, fields), events begins, deepens and ends."""
        if now < self.look_at:
            return []
        found, figures = [], self.figures(now)
        state = self.judged(figures)
        if state == CALM:
            self.learn(figures)
        if state == self.state:
            self.quiet = 0
            if state == STORM and depth_of(figures) > DEEPER * self.depth:
                self.depth = depth_of(figures)
                found.append(("deepens", self.told(now, figures)))
        elif (
            state == STORM
            and self.before == STORM
            or state != STORM
            and state != CALM
            and self.state in (CALM, GROWTH, SLOW)
        ):
            found += self.turns(now, state, figures)
        else:
            # What began is over once it was not seen for some looks on end, against one that flickers.
            self.quiet += 1
            if self.quiet >= CALM_LOOKS:
                found += self.turns(now, state, figures)
        self.before = state
        late = now - self.look_at
        self.look_at = now + STEP - late % STEP
        self.steps.append(Step())
        return found

    def judged(self, figures):
        """What the figures look like by themselves."""
        if figures["taken"] < LEAST:
            return CALM
        pressed = figures["offered"] > figures["done"] and (
            figures["deferred"] > self.allowed or figures["late"] > self.allowed
        )
        # A dispatcher of many sees few queries in a window: what chance brings about there is no sign.
        share = min(0.9, 2 * self.usual_repeats + self.allowed)
        many = figures["repeats"] > share + SURE * sqrt(share * (1 - share) / figures["taken"])
        if many and figures["one"] > 0.5:
            return LOOP
        if many and pressed:
            return STORM
        if 0 < figures["slow"] < FEW and figures["deferred"] <= self.allowed:
            return SLOW
        return GROWTH if pressed else CALM

    def learn(self, figures):
        """Lets the usual share of repeats follow."""
        self.usual_repeats += USUAL * (figures["repeats"] - self.usual_repeats)

    def turns(self, now, state, figures):
        """The events of a change of state."""
        found = []
        if self.state != CALM:
            found.append(("ends", self.told(now, figures) | {"kind": self.state}))
        self.state, self.since, self.quiet = state, now, 0
        self.depth = depth_of(figures)
        if state != CALM:
            found.append(("begins", self.told(now, figures)))
            self.count[state] += 1
        return found

    def told(self, now, figures):
        """An event's fields."""
        return {
            "kind": self.state,
            "for": (now - self.since) / TICKS_PER_SECOND,
            **{name: round(value, 3) for name, value in figures.items()},
        }
