"""Who has failed: SWIM's probes with Lifeguard's refinements, free of I/O (Das, Gupta, Motivala, 2002;
Dadgar, Phillips, Currey, Lifeguard, 2018).

Once a period the next member of a shuffled ring is pinged; without an answer, some others are asked to ping
it; without theirs, it is suspected, and called failed only when it has not refuted in time. That time is long
at first and falls to its least as others suspect it by themselves: a helper that got no answer is such a one.

A dispatcher judges itself first. Whoever stood still past its own moment drops what it was waiting for and
gives all that it suspects the lost time anew; who misses answers of helpers too slows down (`health`). A life
that refuted lately is given longer, since it stands still at times and is not gone. One that was heard of at
first hand since the probe left is there, whatever became of the answer.

Times are tenths of a millisecond of a clock that does not step.
"""

from math import log

from wickvane.cluster.membership import ALIVE, CONFIRMERS, JOINING, SUSPECT
from wickvane.units import TICKS_PER_SECOND

HELPERS = 3
HEALTH_MOST = 4  # a period is up to five times as long for who is not well
INDIRECT = 0.4  # part of a period after which others are asked
NACK = 0.45  # part of a period within which a helper tells that it got no answer
STILL = 3_000  # later than that past its moment, this process stood still or was kept from its core
LEAST, MOST = (
    35 * TICKS_PER_SECOND // 10,
    12 * TICKS_PER_SECOND,
)  # to refute: with CONFIRMERS others, and with none
SAID_A_SECOND = 300  # entries that a member can send on, with all that it sends
BACK_MOST = 3  # a life that refuted lately gets up to 2 to the power of this as long
HELPED_MOST = 64  # probes for others' sake at once


class Detector:
    """period: between two probes. probes and verdicts go out by the caller's writer:
    ping(row, seq), ask(helper, row, seq), nack(row, seq), failed(row), suspected(row)."""

    def __init__(self, now, table, chance, period):
        self.table, self.chance, self.period = table, chance, period
        self.ring, self.at, self.seq = [], 0, chance.getrandbits(20)
        self.probe = None  # (row, seq, when it left, when others are asked, when it is judged)
        self.asked, self.nacks = 0, set()
        self.helped = {}  # my seq: (whose, their seq, about, when no answer is told)
        self.until = {}  # suspect row: (since, least, most)
        self.health, self.next_probe = 0, now + period
        self.stood, self.stood_at = 0, now - 60 * TICKS_PER_SECOND  # standstills seen, and the last one's end
        self.heard_at = now  # when last somebody answered this life itself
        self.probes = self.missed = 0

    def slow(self):
        return 1 + self.health

    # What comes in

    def stands_still(self, now, late):
        """This process woke `late` past its moment. What it waits for may lie unread, or have been missed by
        nobody's fault but its own."""
        self.stood, self.stood_at = self.stood + 1, now
        self.health = min(HEALTH_MOST, self.health + 1)
        self.probe = None
        self.helped.clear()
        self.next_probe = now + self.period
        self.until = {row: (since + late, least, most) for row, (since, least, most) in self.until.items()}

    def pinged_for(self, now, whose, theirs, row):
        """Another asks to ping `row` for it; my seq, or None where I help enough already."""
        if len(self.helped) >= HELPED_MOST:
            return None
        self.seq += 1
        self.helped[self.seq] = whose, theirs, row, now + int(NACK * self.period)
        return self.seq

    def acked(self, now, row, seq):
        """An answer about `row`, from itself or through a helper; (whose, their seq) where it was for
        another's sake."""
        self.heard_at = now
        if self.probe is not None and self.probe[:2] == (row, seq):
            self.probe = None
            self.health = max(0, self.health - 1)
            return None
        helped = self.helped.get(seq)
        if helped is None or helped[2] != row:
            return None
        del self.helped[seq]
        return helped[:2]

    def nacked(self, now, helper, seq):
        """A helper could not reach the one that I probe: it hears me, and is one more that suspects."""
        self.heard_at = now
        if self.probe is not None and self.probe[1] == seq:
            self.nacks.add(helper)

    # What time brings

    def tick(self, now, out):
        """All that is due. out: ping, ask, nack, suspected, failed."""
        for seq in [seq for seq, helped in self.helped.items() if helped[3] <= now]:
            whose, theirs, _, _ = self.helped.pop(seq)
            out.nack(whose, theirs)
        if self.probe is not None:
            row, seq, left, ask_at, judge_at = self.probe
            if now >= judge_at:
                self.judge(now, row, left, out)
            elif ask_at is not None and now >= ask_at:
                self.probe = row, seq, left, None, judge_at
                out.ping(row, seq)  # once more: most that is missing was lost, not refused
                self.ask_others(row, seq, out)
        if self.probe is None and now >= self.next_probe:
            self.next_probe = now + self.period * self.slow()
            row = self.next_row()
            if row is not None:
                self.seq += 1
                self.probes += 1
                ask_at = now + int(INDIRECT * self.period) * self.slow()
                self.probe = row, self.seq, now, ask_at, self.next_probe
                self.asked, self.nacks = 0, set()
                out.ping(row, self.seq)
        for row in [row for row in self.until if row not in self.table.confirmers]:
            del self.until[row]  # replaced by a later life
        # What lies unsaid here lies unsaid elsewhere: a refutation cannot be ahead of all those rumours.
        unsaid = len(self.table.rumours) * self.table.times() * TICKS_PER_SECOND // SAID_A_SECOND
        for row in [row for row in self.until if self.deadline(row) + min(unsaid, MOST) <= now]:
            del self.until[row]
            out.failed(row)

    def next_row(self):
        """The next of the ring; all are asked once before any is again, each time in another order."""
        table = self.table
        for _ in range(2):
            while self.at < len(self.ring):
                row, epoch = self.ring[self.at]
                self.at += 1
                if row in table.place and table.epoch[row] == epoch:
                    return row
            self.ring = [(row, table.epoch[row]) for row in table.living if row]
            self.chance.shuffle(self.ring)
            self.at = 0
        return None

    def ask_others(self, row, seq, out):
        others = [other for other in self.some(HELPERS + 1) if other != row][:HELPERS]
        self.asked = len(others)
        for other in others:
            out.ask(other, row, seq)

    def some(self, n):
        """Up to n members other than this one, each as likely."""
        table = self.table
        found = self.chance.sample(table.living, min(len(table.living), n + 1))
        return [row for row in found if row and table.state[row] != JOINING][:n]

    def judge(self, now, row, left, out):
        self.probe = None
        table = self.table
        if row not in table.place or table.heard[row] >= left:
            return  # gone by another's word, or heard of by another way than the answer
        self.missed += 1
        # Helpers that told nothing were kept from it, or I was kept from them: that is on my side as well.
        missing = self.asked - len(self.nacks)
        if missing or not self.asked:
            self.health = min(HEALTH_MOST, self.health + (missing or 1))
        if table.state[row] in (ALIVE, SUSPECT, JOINING):
            out.suspected(row, sorted(self.nacks))

    def suspects(self, now, row, judged=False):
        """A row is suspected since now, by whomever: its time to refute begins. judged: another calls it
        failed already; it has the least time here from now on."""
        if row in self.until and not judged:
            return
        table = self.table
        lately = now - table.back_at[row] < 60 * TICKS_PER_SECOND
        longer = 1 << min(BACK_MOST, table.back[row] if lately else 0)
        longer *= 1 + self.health / 2
        since = self.until[row][0] if row in self.until else now
        self.until[row] = since, int(LEAST * longer), int((LEAST if judged else MOST) * longer)

    def clears(self, row):
        """It refuted, has left, or is called failed already."""
        self.until.pop(row, None)

    def deadline(self, row):
        since, least, most = self.until[row]
        others = max(0, len(self.table.confirmers.get(row, ())) - 1)
        # No more can agree than there are beside the suspect and this one.
        many = min(CONFIRMERS, len(self.table.living) - 2)
        part = log(1 + min(many, others)) / log(1 + many) if many > 0 else 1
        return since + int(most - (most - least) * part)

    def unheard(self, now):
        """Whether nobody has answered this life itself for long, though it asked."""
        return now - self.heard_at > 12 * self.period * self.slow()

    def settled(self, now):
        """Whether enough was heard since the last standstill of this process."""
        return now - self.stood_at > 4 * self.period

    def next_at(self):
        times = [self.next_probe] if self.probe is None else [self.probe[4]]
        if self.probe is not None and self.probe[3] is not None:
            times.append(self.probe[3])
        times.extend(helped[3] for helped in self.helped.values())
        times.extend(self.deadline(row) for row in self.until)
        return min(times)
