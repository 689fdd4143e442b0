"""How fast new connections are let in: what one core bears, free of I/O.

A storm of connections costs the core before any of them has asked a thing, and what it takes is missing for
the queries of those that are in. So, while the core strains, connections are let in at a pace: it grows by
one a step while the core is at ease and is cut by a share when it strains (the limit in flight's own law;
Chiu and Jain, 1989), and who is not let in is told to come back at a place in a line.
At ease nobody is held to it.

The core strains where what came was read too late, by a part of the shortest target runtime, or where the
process used up what the settings give it of a core. Times are tenths of a millisecond.
"""

from random import Random

from wickvane.units import TICKS_PER_SECOND

STEP = TICKS_PER_SECOND // 4  # a look
GROWS, CUT = 1.0, 0.85  # connections a second more a step at ease; the share that is left where it strains
LATE_PART = 0.1  # of the shortest target runtime: read so late, a query's time is spent before it is seen
BUSY = 0.9  # of what the settings give of a core
EASE = 8  # steps at ease on end after which nobody is held to a pace: it may be let go
LEAST = 2.0  # connections a second, so that whoever comes can be let in again, cancels among them
AHEAD = 1.0  # steps' worth that may be let in at once


class Pace:
    """promise: the shortest target runtime; cores: what the process may use; longest: the longest time that a
    client may be told to stay away, 0 where it is told none."""

    def __init__(self, now, promise, cores, longest, seed):
        self.late, self.cores, self.longest = max(10, int(LATE_PART * promise)), cores, longest
        self.chance = Random(f"{seed}/pace")
        self.look_at, self.rate, self.ease = now + STEP, None, 0  # rate None: nobody is held to one
        self.came = self.let = 0  # in this step
        self.credit, self.credit_at, self.back_at = 0.0, now, now
        self.worst, self.cpu = 0, None
        self.held_since = None

    def felt(self, now, lag, cpu):
        """What the core shows: how late queries were read, and the CPU time used so far (seconds). Returns
        the turns that this brings, as (event, fields): begins, ends."""
        self.worst = max(self.worst, lag)
        self.cpu = cpu if self.cpu is None else self.cpu
        if now < self.look_at:
            return []
        span = now - self.look_at + STEP
        share = (cpu - self.cpu) * TICKS_PER_SECOND / span / self.cores
        strained = self.worst > self.late or share > BUSY
        let, came, turns = self.let * TICKS_PER_SECOND / span, self.came * TICKS_PER_SECOND / span, []
        told = {
            "lag_ms": self.worst / 10,
            "core": round(share, 3),
            "came": round(came, 1),
            "let": round(let, 1),
        }
        self.look_at, self.worst, self.cpu, self.came, self.let = now + STEP, 0, cpu, 0, 0
        if strained:
            self.ease = 0
            # Only what connections cost can be spared here: a core that strains under few is left alone.
            if self.rate is None and let > LEAST:
                self.rate, self.credit, self.credit_at, self.held_since = let, 0.0, now, now
                turns.append(("begins", told))
            if self.rate is not None:
                self.rate = max(LEAST, CUT * self.rate)
        elif self.rate is not None:
            self.ease += 1
            self.rate += GROWS
            # Let go only where the pace no longer holds anybody: else the line would come in as one wave.
            if self.ease >= EASE and came < self.rate:
                turns.append(("ends", told | {"for": (now - self.held_since) / TICKS_PER_SECOND}))
                self.rate = None
        return turns

    def lets_in(self, now, urgent=False):
        """Whether one that came now is let in; urgent: a cancel, which costs less than what it ends."""
        self.came += 1
        if self.rate is not None and not urgent:
            most = max(1.0, self.rate * STEP * AHEAD / TICKS_PER_SECOND)
            self.credit = min(most, self.credit + self.rate * (now - self.credit_at) / TICKS_PER_SECOND)
            self.credit_at = now
            if self.credit < 1.0:
                return False
            self.credit -= 1.0
        self.let += 1
        return True

    def stay_away(self, now):
        """For one that is not let in: a place in the line of those told before it, none further than may be
        told."""
        if not self.longest or self.rate is None:
            return 0
        self.back_at = max(self.back_at, now) + TICKS_PER_SECOND / self.rate
        if self.back_at - now <= self.longest:
            return min(self.longest, int(self.back_at - now) + 1)
        self.back_at = now + self.longest
        return int(self.longest * self.chance.uniform(0.5, 1))
