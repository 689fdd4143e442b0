"""What the agreed log makes of policies, and how a leader brings one to work: no socket, clock or thread.

Course: every voter and follower applies the same committed entries in the same order, so all say the same of
each number: what it holds, whether it is at work, to follow, or abandoned. A number is never used twice.

Change: what the leader does for the one change that is under way, step by step; whoever leads next goes on
from what the log says, so that a change half made is finished or undone and never left:

    checking   asked of all that can be reached; any "cannot" ends it, with names and reasons, and nothing
               stands in the log
    agreeing   its entry is in the log, and not committed yet
    closing    committed: voters lend the old number to nobody any more; until a majority is closed
    opening    the entry that puts it to work is in the log
    done, refused, abandoned

Times are tenths of a millisecond.
"""

from hashlib import blake2b
from typing import NamedTuple

from wickvane.config_log.agreement import ABANDON, POLICY, START
from wickvane.units import TICKS_PER_SECOND

# Who has not answered by then counts as down: it learns of it when it is back.
CHECK_FOR = 2 * TICKS_PER_SECOND
# A change that no majority closes for is abandoned: too many voters are gone.
CLOSE_MOST = 60 * TICKS_PER_SECOND
HISTORY_MOST, TEXT_MOST = 256, 65_536
CHECKING, AGREEING, CLOSING, OPENING, DONE, REFUSED, ABANDONED = range(7)


def digest_of(text):
    """What stands for a document's content, 32 hexadecimal digits."""
    return blake2b(text.encode(), digest_size=16).hexdigest()


class Stated(NamedTuple):
    """One number of the history. by, why: as whoever proposed it said; ended: None while it may act."""

    number: int
    digest: str
    text: str
    by: str
    why: str
    ended: str | None = None


class Course:
    """first: the text that is number 0, as each was started with."""

    def __init__(self, first=""):
        self.at_work, self.follows, self.last = 0, None, 0
        self.history = {0: Stated(0, digest_of(first), first, "", "as started")}
        self.applied, self.ignored = 0, 0

    def apply(self, place, entry):
        """A committed entry, in order; whether it changed anything. One that does not fit what stands is
        ignored by all alike: two that were proposed at once, say."""
        if place <= self.applied:
            return False
        self.applied = place
        done = self.WORDS[entry.kind](self, entry.what) if entry.kind in self.WORDS else None
        self.ignored += done is False
        return bool(done)

    def stated(self, what):
        number, digest, text, by, why = what
        if self.follows is not None or number != self.last + 1 or digest != digest_of(text):
            return False
        self.last = self.follows = number
        self.history[number] = Stated(number, digest, text, by, why)
        for old in sorted(self.history)[:-HISTORY_MOST]:
            if old not in (self.at_work, self.follows):
                del self.history[old]
        return True

    def started(self, number):
        if number != self.follows:
            return False
        before = self.history[self.at_work]
        self.history[self.at_work] = before._replace(ended=f"followed by {number}")
        self.at_work, self.follows = number, None
        return True

    def abandoned(self, what):
        number, why = what
        if number != self.follows:
            return False
        self.history[number] = self.history[number]._replace(ended=f"abandoned: {why}")
        self.follows = None
        return True

    WORDS = {POLICY: stated, START: started, ABANDON: abandoned}

    def lending(self):
        """(number that may be lent, number that is to follow or None)"""
        return self.at_work, self.follows


class Change:
    """The leader's side. asked: names that were asked to check it."""

    def __init__(self, now, number, text, by, why, asked):
        self.number, self.text, self.by, self.why = number, text, by, why
        self.step, self.since, self.at = CHECKING, now, now
        self.waits, self.cannot, self.able = set(asked), {}, set()
        self.closed, self.reason = set(), None

    @classmethod
    def taken_over(cls, now, course):
        """By who leads next, of the one that is to follow; None where none is."""
        if course.follows is None:
            return None
        stated = course.history[course.follows]
        made = cls(now, stated.number, stated.text, stated.by, stated.why, ())
        made.goes(now, CLOSING)
        return made

    def goes(self, now, step, reason=None):
        self.step, self.at, self.reason = step, now, reason

    def checked(self, now, name, why):
        """An answer of one that was asked; why: None, or why it cannot."""
        if self.step != CHECKING or name not in self.waits:
            return
        self.waits.discard(name)
        if why is None:
            self.able.add(name)
        else:
            self.cannot[name] = why

    def is_closed(self, mark, number):
        if number == self.number:
            self.closed.add(mark)

    def abort(self, now, why):
        """By hand; False where it is at work, or on its way to be: then only a further change helps."""
        if self.step in (OPENING, DONE, REFUSED, ABANDONED):
            return False
        if self.step == CHECKING:
            self.goes(now, REFUSED, why)
        else:
            self.reason = why
        return True

    def due(self, now, voter, course):
        """What the leader adds to the log now: (kind, what), or None. voter: its Voter."""
        if self.step == CHECKING:
            if self.cannot:
                self.goes(now, REFUSED, "; ".join(f"{n}: {why}" for n, why in sorted(self.cannot.items())))
            elif not self.waits or now >= self.at + CHECK_FOR:
                if course.follows is not None or course.last + 1 != self.number:
                    self.goes(now, REFUSED, f"{course.last} was proposed meanwhile")
                    return None
                self.goes(now, AGREEING)
                return POLICY, (self.number, digest_of(self.text), self.text, self.by, self.why)
        elif self.step == AGREEING:
            if course.follows == self.number:
                self.goes(now, CLOSING, self.reason)
            elif course.last >= self.number:
                self.goes(now, REFUSED, "another was agreed on by that number")
        if self.step == CLOSING:
            if course.follows != self.number:
                self.goes(now, DONE if course.at_work >= self.number else ABANDONED, self.reason)
            elif self.reason or now >= self.at + CLOSE_MOST:
                self.reason = self.reason or "no majority of voters closed in time"
                self.goes(now, OPENING, self.reason)
                return ABANDON, (self.number, self.reason)
            elif voter.majority(self.closed):
                self.goes(now, OPENING)
                return START, self.number
        elif self.step == OPENING and course.follows != self.number:
            self.goes(now, DONE if course.at_work == self.number else ABANDONED, self.reason)
        return None

    def down(self):
        """Who was asked and did not answer: told as such, and served nothing until it is back and able."""
        return sorted(self.waits)
