"""Budgets in parts that are lent for a time: never over, whoever hears whom. No socket, clock or thread.

A whole of units is split once, by the configured count: each dispatcher owns its part for good. A unit is
spent by one holder at a time (escrow; O'Neil 1986; bounded counters, Balegas and others 2015). An owner lends
what it does not need for a term (a lease; Gray and Cheriton 1989) and cannot call it back: it has it again
when the holder says that it has stopped, or when the term is surely over.

Why no unit is ever two's:
- The holder counts its term from when it *asked*, the owner from when it granted, which is later; and the
  owner waits longer by the stated drift of clocks. So the holder has stopped, by its own clock, before the
  owner begins, however long any datagram was under way. A holder that stood still finds its term over when
  it next looks at its clock, which it does before it spends.
- What is spent is counted in windows. A unit that changes hands rests one window, so that no window sees it
  spent twice: lent units are used a window after the grant, and come back a window after the stop.
- An owner that starts anew does not know what its former life lent. It uses and lends what it always keeps,
  and the rest once a term, its drift and a window are over. Nor does it know what its former life spent just
  before: where that counts, it spends nothing for a window.
- A loan has a number of the holder's life and own counting; one that was ended is never taken up again by
  that number, whatever comes late or twice.

Whoever hears nobody has its own part back within a term for good, and nobody else ever touches what it keeps.
Times are tenths of a millisecond by the clock of whoever is asked, and never step.
"""

HOLDERS_MOST = 4096
LOANS_MOST = 64  # that one owner has out, and one holder has


class Escrow:
    """own: units of this dispatcher; kept: of them, never lent; term: of a loan; drift: parts of a thousand
    by which two clocks may differ; window: in which what is spent is counted; at_once: whether a new life may
    spend within its first window."""

    def __init__(self, now, own, kept, term, window, drift=10, at_once=True):
        self.own, self.kept, self.term, self.window = own, kept, term, window
        self.grace = term * drift // 1000 + 1
        self.whole_at = now + self.term + self.grace + window  # what a former life lent is surely over then
        self.rests_until = now if at_once else now + window
        self.lent = {}  # (holder, number): (units, surely over at)
        self.coming = []  # (units, from when they are mine again)
        self.ended = {}  # holder: the highest number that was ended
        self.number = 0
        self.asked = {}  # my number: (owner, first asked at, latest asked at)
        self.held = {}  # my number: (owner, units, from, until)

    # What may be spent

    def away(self):
        """Units of mine that are lent or rest."""
        return sum(units for units, _ in self.lent.values()) + sum(units for units, _ in self.coming)

    def settle(self, now):
        """What time has brought back: looked at before anything is spent, lent or told."""
        for loan in list(self.lent):
            if now >= self.lent[loan][1]:
                # The holder had stopped a window before: the rest is in the time that was waited.
                self.end(loan)
        self.coming = [(units, at) for units, at in self.coming if now < at]
        for number, (_, _, _, until) in list(self.held.items()):
            if now >= until:
                del self.held[number]
                self.asked.pop(number, None)
        for number, (_, _, asked) in list(self.asked.items()):
            if now >= asked + self.term:
                self.asked.pop(number)

    def mine(self, now):
        """Units of my own part that I may spend now."""
        self.settle(now)
        free = self.own - self.away() if now >= self.rests_until else 0
        return free if now >= self.whole_at else min(free, self.kept)

    def usable(self, now):
        """Units that I may spend now: my own, and what others lent."""
        found = self.mine(now)
        return found + sum(units for _, units, begins, until in self.held.values() if begins <= now < until)

    # Asking

    def ask(self, now, owner):
        """The number to ask an owner by; None where enough is asked for."""
        self.settle(now)
        if len(self.asked) >= LOANS_MOST:
            return None
        self.number += 1
        self.asked[self.number] = owner, now, now
        return self.number

    def again(self, now, number):
        """Asks for the same loan's term anew; False where it is over. The answer bears this time."""
        self.settle(now)
        if number not in self.asked:
            return False
        owner, first, _ = self.asked[number]
        self.asked[number] = owner, first, now
        return True

    def granted(self, now, owner, number, units, asked_at):
        """An owner's answer to what was asked by this life at `asked_at`, by this life's own clock."""
        self.settle(now)
        known = self.asked.get(number)
        if known is None or known[0] != owner or not known[1] <= asked_at <= known[2] or units <= 0:
            return False
        until = asked_at + self.term
        if now >= until:
            return False
        before = self.held.get(number)
        if before is None:
            self.held[number] = owner, units, now + self.window, until
        else:
            self.held[number] = owner, before[1], before[2], max(before[3], until)
        return True

    def stop(self, now, number):
        """Gives a loan back: from now on it is not spent, and the owner may be told so."""
        self.asked.pop(number, None)
        return self.held.pop(number, None) is not None

    # Lending

    def lend(self, now, holder, number, units, need):
        """Another asks for up to `units`; what it gets, 0 for nothing. need: what this one wants itself."""
        mine = self.mine(now)
        until = now + self.term + self.grace + self.window
        known = self.lent.get((holder, number))
        if known is not None:
            self.lent[holder, number] = known[0], max(known[1], until)
            return known[0]
        if number <= self.ended.get(holder, 0):
            return 0
        if now < self.whole_at or len(self.lent) >= LOANS_MOST:
            return 0
        units = min(units, mine - max(self.kept, need))
        if units <= 0:
            return 0
        self.lent[holder, number] = units, until
        return units

    def back(self, now, holder, number):
        """The holder has said that it stopped; the units rest a window."""
        self.settle(now)
        known = self.lent.get((holder, number))
        if known is None:
            self.closed(holder, number)
            return False
        self.end((holder, number))
        self.coming.append((known[0], now + self.window))
        return True

    def end(self, loan):
        holder, number = loan
        del self.lent[loan]
        self.closed(holder, number)

    def closed(self, holder, number):
        # A number forgotten here could at most put units out of use for a term, when it comes late.
        self.ended[holder] = max(number, self.ended.pop(holder, 0))
        if len(self.ended) > HOLDERS_MOST:
            del self.ended[next(iter(self.ended))]
