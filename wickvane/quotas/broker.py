"""Who asks whom for parts of a budget, who gives, who gives back: no socket, clock or thread.

What may never happen is escrow's; here is only what is sensible, so a mistake here costs use, never a bound.
One Escrow a budget. What is needed is told by what is in use, or, where a unit that changes hands rests so
long that use of the moment says nothing, by this dispatcher's share of the traffic. Each dispatcher owns
UNITS of each, of which KEPT are never lent; it lends what it did not need lately, and borrows where it
lacked. Idle parts so move to where work waits in one step, and are back a term after their owner wants them:
it does not renew what it needs itself.

A lent part has left its owner's decider before its holder hears of the grant: figures are told with a number,
and a grant waits until the decider has said that it took that number in. Times are tenths of a millisecond.
"""

from wickvane.quotas.escrow import Escrow
from wickvane.units import TICKS_PER_SECOND

UNITS, KEPT = 64, 16  # of a configured part; of them, never lent
MOST = 16 * UNITS  # that one dispatcher has at once
TERM = 2 * TICKS_PER_SECOND
RENEW = 8 * TERM // 10  # left of a term, under which it is asked for anew: lost datagrams leave time for more
ASKED = 2  # owners that are asked at once for a budget
ANSWER_IN = TICKS_PER_SECOND // 2  # after which a question without an answer is no longer counted upon
# Over what is in use; over what there is, where that was not enough: what is lent rests a window first, so
# many small steps would take long.
MARGIN, MORE = 1.25, 2.5
FADES = 4 * TICKS_PER_SECOND  # of what was in use once
ASK, GRANT, BACK = range(3)


class Budget:
    """One whole. need: units that this dispatcher wants; lacks: it would use more than it has."""

    __slots__ = ("escrow", "by_traffic", "need", "lacks", "at", "open", "borrowed", "lent")

    def __init__(self, now, window, at_once, by_traffic):
        self.escrow = Escrow(now, UNITS, KEPT, TERM, window, at_once=at_once)
        self.by_traffic, self.need, self.lacks, self.at = by_traffic, 0.0, False, now
        self.open = {}  # number: (units asked for, until when it is counted upon)
        self.borrowed = self.lent = 0  # units, ever

    def uses(self, now, part, lacks, usable, weight):
        """part: of the configured part, what is in use now; weight: this dispatcher's traffic over the
        mean."""
        if self.by_traffic:
            self.at, self.lacks, self.need = now, lacks, min(MOST, weight * UNITS * MARGIN + 1)
            return
        self.need -= self.need * min(1.0, (now - self.at) / FADES)
        self.at, self.lacks = now, lacks
        self.need = min(MOST, max(self.need, part * UNITS * MARGIN + 1, usable * MORE if lacks else 0))


class Broker:
    """budgets: (window in which what is spent is counted, whether a new life may use what it keeps at once,
    whether need goes by traffic) of each; configured: dispatchers that the settings count."""

    def __init__(self, now, budgets, configured):
        self.budgets = [Budget(now, *budget) for budget in budgets]
        self.configured, self.out = configured, []  # words to send: (life, word)
        self.number, self.told, self.taken, self.waiting = 0, None, 0, []

    # What may be used

    def parts(self, now, divisor):
        """[(part, until, then)]: of the configured part what may be used now, until when, and what then, as
        far as is known now. divisor: of peers' standing; more than are configured make each part less."""
        scale = min(1.0, self.configured / max(1, divisor)) / UNITS
        found = []
        for budget in self.budgets:
            escrow = budget.escrow
            usable, own = escrow.usable(now), escrow.mine(now)
            ends = [until for _, _, begins, until in escrow.held.values() if begins <= now]
            found.append((usable * scale, min(ends, default=None), own * scale))
        return found

    def tell(self, now, divisor):
        """(number, parts) where they are other than was told last, else None."""
        found = self.parts(now, divisor)
        if found == self.told:
            # What was lent and what came back made the same: the decider goes by it already.
            self.waiting = [(min(number, self.number), *rest) for number, *rest in self.waiting]
            self.took(self.taken)
            return None
        self.told, self.number = found, self.number + 1
        return self.number, found

    def took(self, number):
        """The decider goes by the parts of that number: what was lent before them may be used by others."""
        self.taken = max(self.taken, number)
        due = [entry for entry in self.waiting if entry[0] <= self.taken]
        self.waiting = [entry for entry in self.waiting if entry[0] > self.taken]
        self.out.extend(entry[1:] for entry in due)

    # Rounds

    def look(self, now, needs, owners, weight=1.0):
        """needs: by budget (part in use, whether more would be used); owners: lives to ask, the best first;
        weight: this dispatcher's traffic over the mean of all."""
        for kind, (budget, (part, lacks)) in enumerate(zip(self.budgets, needs, strict=True)):
            escrow = budget.escrow
            usable = escrow.usable(now)
            budget.uses(now, part, lacks, usable, weight)
            self.give_back(now, kind, usable)
            for number, (owner, units, _, until) in list(escrow.held.items()):
                if until - now < RENEW and escrow.again(now, number):
                    self.out.append((owner, (ASK, kind, number, units, now)))
            budget.open = {
                number: said
                for number, said in budget.open.items()
                if now < said[1] and number in escrow.asked
            }
            coming = sum(units for units, _ in budget.open.values()) + sum(
                units for _, units, begins, _ in escrow.held.values() if begins > now
            )
            short = int(budget.need) - usable - coming
            of = {}  # owner: what it lends here, or was asked for
            for number, (owner, *_) in escrow.asked.items():
                lent = escrow.held[number][1] if number in escrow.held else UNITS
                of[owner] = of.get(owner, 0) + lent
            able = [owner for owner in owners if of.get(owner, 0) < UNITS - KEPT]
            for owner in able[: ASKED if lacks else 0]:
                units = min(short, UNITS - KEPT - of.get(owner, 0))
                number = escrow.ask(now, owner) if units > 0 else None
                if number is None:
                    break
                short -= units
                budget.open[number] = units, now + ANSWER_IN
                self.out.append((owner, (ASK, kind, number, units, now)))

    def give_back(self, now, kind, usable):
        budget = self.budgets[kind]
        for number, (owner, units, begins, _) in list(budget.escrow.held.items()):
            if begins <= now and usable - units >= budget.need:
                usable -= units
                budget.escrow.stop(now, number)
                self.waiting.append((self.number + 1, owner, (BACK, kind, number, 0, 0)))

    def came(self, now, life, word):
        """Another life's word; what it names wrongly is nothing."""
        verb, kind, number, units, at = word
        if kind >= len(self.budgets):
            return
        budget = self.budgets[kind]
        if verb == ASK:
            known = budget.escrow.lent.get((life, number))
            if known is not None and budget.escrow.mine(now) < int(budget.need):
                return  # wanted here: it ends with its term
            units = budget.escrow.lend(now, life, number, units, int(budget.need))
            if units:
                budget.lent += units * (known is None)
                # Its units are in no part that is told from now on.
                self.waiting.append((self.number + (known is None), life, (GRANT, kind, number, units, at)))
        elif verb == GRANT:
            before = number in budget.escrow.held
            if budget.escrow.granted(now, life, number, units, at):
                budget.borrowed += units * (not before)
            elif not before and budget.escrow.asked.get(number, (life,))[0] == life:
                # Given up meanwhile: its owner need not wait for the term.
                budget.escrow.stop(now, number)
                self.out.append((life, (BACK, kind, number, 0, 0)))
            budget.open.pop(number, None)
        elif verb == BACK:
            budget.escrow.back(now, life, number)

    def end(self, now):
        """This life ends: what it holds of others is given back, and what it lent runs out with its terms."""
        for kind, budget in enumerate(self.budgets):
            for number, (owner, *_) in list(budget.escrow.held.items()):
                budget.escrow.stop(now, number)
                self.out.append((owner, (BACK, kind, number, 0, 0)))

    def sent(self):
        found, self.out = self.out, []
        return found

    def status(self, now, names=("bounds", "cold")):
        """Plain figures by budget; ages and terms in milliseconds."""
        found = {}
        for name, budget in zip(names, self.budgets, strict=False):
            escrow = budget.escrow
            found[name] = {
                "own": UNITS,
                "kept": KEPT,
                "usable": escrow.usable(now),
                "mine": escrow.mine(now),
                "need": round(budget.need, 1),
                "lacks": budget.lacks,
                "whole_in_ms": max(0, escrow.whole_at - now) // 10,
                "lent": [
                    {"to": holder[0], "units": units, "ends_in_ms": (until - now) // 10}
                    for (holder, _), (units, until) in sorted(escrow.lent.items())
                ],
                "held": [
                    {
                        "of": owner[0],
                        "units": units,
                        "begins_in_ms": max(0, begins - now) // 10,
                        "ends_in_ms": (until - now) // 10,
                    }
                    for _, (owner, units, begins, until) in sorted(escrow.held.items())
                ],
                "lent_ever": budget.lent,
                "borrowed_ever": budget.borrowed,
            }
        return found
