"""Leases on the number of a policy, from a majority of voters: no socket, clock or thread.

A dispatcher serves under a number only while a majority of the voters has lent it that number. A voter lends
one number at a time, the one that it holds *open*; once it knows of a successor it *closes*: it lends the old
number to nobody any more, and says that it is closed when all that it lent has been given up or has run out.
A majority that is closed meets every majority that ever lent the old number in one voter, so nobody holds a
lease on it then; only after that is the new number opened, by an entry of the log.

Terms: a holder counts from when it asked, a voter from when it answered, which is later, and it waits longer
by the stated drift of clocks. Whoever wakes from a standstill looks at its own clock before it serves. A
voter that starts anew does not know what it lent: it calls nothing closed until a term and its drift are
over. What it has closed is on disk before it is said. Times are tenths of a millisecond of clocks that do not
step.
"""

from wickvane.units import TICKS_PER_SECOND

TERM, DRIFT = 2 * TICKS_PER_SECOND, 10  # of a lease; parts of a thousand by which two clocks may differ
HOLDERS_MOST = 4096


class Lender:
    """One voter's side. opened: the number that it may lend, closing: the number that is to follow, or None;
    both as the log and the disk say."""

    def __init__(self, now, opened, closing=None, term=TERM, drift=DRIFT):
        self.opened, self.closing, self.term = opened, closing, term
        self.grace = term * drift // 1000 + 1
        self.unknown_until = now + term + self.grace  # what a former life lent
        self.lent = {}  # holder: surely over at

    def lend(self, now, holder, number):
        """Whether a holder, who asks now, may count on that number for a term from when it asked."""
        if number != self.opened or self.closing is not None:
            return False
        if holder not in self.lent and len(self.lent) >= HOLDERS_MOST:
            self.lent = {other: until for other, until in self.lent.items() if now < until}
            if len(self.lent) >= HOLDERS_MOST:
                return False
        self.lent[holder] = now + self.term + self.grace
        return True

    def back(self, holder):
        self.lent.pop(holder, None)

    def close(self, number):
        """A successor was agreed on; to be saved before closed() is said to anybody."""
        if number > self.opened:
            self.closing = number

    def closed(self, now):
        """Whether nobody can count on anything that this voter lent."""
        return (
            self.closing is not None
            and now >= self.unknown_until
            and all(now >= until for until in self.lent.values())
        )

    def open(self, number):
        """The log says that a number is at work, or that its successor was abandoned: never a lower one."""
        if number > self.opened:
            self.lent = {}
        if number >= self.opened:
            self.opened, self.closing = number, None


class Holder:
    """One dispatcher's side, of one number at a time."""

    def __init__(self, number, term=TERM):
        self.number, self.term, self.untils = number, term, {}  # voter: until when by this one's clock

    def granted(self, voter, number, asked_at):
        """A voter's yes to what was asked at `asked_at`, by this holder's clock."""
        if number == self.number:
            self.untils[voter] = max(asked_at + self.term, self.untils.get(voter, 0))

    def until(self, voters):
        """Until when a majority of `voters` counts; 0 for never."""
        untils = sorted((self.untils.get(voter, 0) for voter in voters), reverse=True)
        return untils[len(voters) // 2] if untils else 0

    def serves(self, now, voters):
        return now < self.until(voters)

    def take(self, number):
        """Goes over to a later number; nothing of the former one counts any more."""
        if number > self.number:
            self.number, self.untils = number, {}

    def give_up(self):
        """Serves under its number no more; the voters that lent it may be told so."""
        found, self.untils = list(self.untils), {}
        return found
