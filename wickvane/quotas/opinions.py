"""What several dispatchers found of each engine: many are believed more than one, none for long.

No socket, clock or thread. Each dispatcher tells what it met itself lately, never what it heard: by engine
how much it tried, how much of that failed, and by how much answers were slower than expected. What is made of
it:
- An engine is doubted when at least QUORUM, by name, found it failing, and more than found it good. So one or
  two dispatchers, wrong or hostile, sets nothing aside, and an engine that only a few cannot reach stays.
- A dispatcher to which more than half of what it tried fails judges its own way, not the engines: its bad
  word counts for nothing. How slow an engine is is told against the others that the same dispatcher tried, so
  that its own strain falls out.
- No more than one engine of MOST_DOUBTED is doubted at once, the worst first.
- Slow all over: where most find their usual engine slow, that is told, and sets none aside.
- All of it fades: evidence in FADES, an opinion when it is older than LASTS.

Times are tenths of a millisecond; figures are told in tenths.
"""

from statistics import median

from wickvane.quotas.latest import Latest
from wickvane.units import TICKS_PER_SECOND

FADES, LASTS = 4 * TICKS_PER_SECOND, 4 * TICKS_PER_SECOND
QUORUM = 3  # names that must agree, whatever the size: two may share a bad path, or speak first of all
SPEAKERS = 3  # lives whose figures make a median
FAILING, GOOD = 0.5, 0.2  # the share of failures from which an engine is called bad, and up to which good
MOST_DOUBTED = 4
SLOW_LEAST = 2.0  # over the usual engine, from which one is called slow: finer figures, told late, only crowd
TRIED_LEAST = 0.5  # faded queries, below which there is no opinion
SLOW_ALL = 2.0  # the usual engine's slowness, in the middle of dispatchers, that is told as the pool's
TOLD_MOST = 64  # engines in one dispatcher's word, those with most evidence first
FIGURE_MOST = 10_000


class Evidence:
    """What this dispatcher met itself: by engine (tried, failed, slow, at), faded to each look."""

    def __init__(self, most=4096):
        self.of, self.most = {}, most

    def met(self, now, engine, failed, slow):
        """One submission's end. failed: 0 or 1; slow: its time over the expected, None where it tells
        none."""
        tried, fails, slower, at = self.of.get(engine, (0.0, 0.0, 1.0, now))
        if engine not in self.of and len(self.of) >= self.most:
            return
        left = max(0.0, 1 - (now - at) / FADES)
        if slow is not None:
            share = 1 / (1 + min(4.0, tried * left))
            slower += (min(slow, FIGURE_MOST / 10) - slower) * share
        self.of[engine] = tried * left + 1, fails * left + failed, slower, now

    def told(self, now):
        """[(engine, tried, failed, slow)] in tenths, for others."""
        found = []
        for engine, (tried, fails, slower, at) in list(self.of.items()):
            left = max(0.0, 1 - (now - at) / FADES)
            if left <= 0:
                del self.of[engine]
            elif tried * left >= TRIED_LEAST:
                found.append((engine, tenths(tried * left), tenths(fails * left), tenths(slower)))
        found.sort(key=lambda row: (-row[1], row[0]))
        return found[:TOLD_MOST]


def tenths(figure):
    return int(min(FIGURE_MOST, 10 * figure))


def own_way(rows):
    """Whether who says this finds more than half of what it tried failing: that is its own way, or core."""
    bad = sum(failed >= FAILING * tried for _, tried, failed, _ in rows)
    return len(rows) > 1 and 2 * bad > len(rows)


def usual(rows):
    """The slowness of the middle engine that one dispatcher met, None where it met too few that answer."""
    slow = [slow for _, tried, failed, slow in rows if failed < FAILING * tried]
    return median(slow) / 10 if len(slow) >= 2 else None


def merge(said, engines):
    """said: {name of a dispatcher: (rows of Evidence.told, age)}, this one among them; engines: those that
    may be sent to. Returns ({engine: (bad, slow, age)}, the pool's slowness or None, engines that were spared
    since too many were doubted)."""
    good, bad, slow, ages, pool = {}, {}, {}, {}, []
    for rows, age in said.values():
        middle, astray = usual(rows), own_way(rows)
        if middle is not None:
            pool.append(middle)
        for engine, tried, failed, slower in rows:
            if tried <= 0:
                continue
            ages.setdefault(engine, []).append(age)
            if failed >= FAILING * tried:
                if not astray:
                    bad[engine] = bad.get(engine, 0) + 1
                continue
            if failed <= GOOD * tried:
                good[engine] = good.get(engine, 0) + 1
            if middle:
                slow.setdefault(engine, []).append(slower / 10 / middle)
    doubted = sorted(
        (e for e, n in bad.items() if n >= QUORUM and n > good.get(e, 0) and e in engines),
        key=lambda e: (good.get(e, 0) - bad[e], e),
    )
    most = max(1, len(engines) // MOST_DOUBTED) if len(engines) > 1 else 0
    held = set(doubted[:most])
    found = {}
    for engine in ages:
        if engine not in engines:
            continue
        slower = median(slow[engine]) if len(slow.get(engine, ())) >= SPEAKERS else 0.0
        slower = slower if slower >= SLOW_LEAST else 0.0
        if engine in held or slower:
            found[engine] = engine in held, slower, int(median(ages[engine]))
    whole = median(pool) if len(pool) >= SPEAKERS else None
    return found, whole, doubted[most:]


class Opinions(Latest):
    """What each life said last of engines."""

    def heard(self, age_of):
        """{name: (rows, age)}, as merge() takes it; age_of(life, stamp): None where it is not known."""
        found = {}
        for life, (t, rows) in self.said.items():
            age = age_of(life, t)
            if age is None or age > LASTS:
                continue
            before = found.get(life[0])
            if before is None or age < before[1]:  # of two lives of a name the later heard
                found[life[0]] = rows, age
        return found
