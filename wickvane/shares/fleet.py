"""Decisions that only fleets need: what other dispatchers told is weighed into one dispatcher's own state.

Free of I/O. `join` lays it over the decision module at that module's one hook, `Scheduler.fleet`; a
dispatcher that knows no others never imports it.
"""

from typing import NamedTuple

from wickvane import interface as i
from wickvane.interface import FOREVER

SECOND = 10_000
TOLD_LASTS = 2.0  # times that queries run alone, until what others told that they hold stands for nothing
JUDGEMENT_LASTS = SECOND  # how long an engine is left out on the word of others
DEBT_MOST = 4.0  # quanta that others' work may charge a tenant


class Lease(NamedTuple):
    """A quota of one budget, in parts of what is configured: `part` until `until`, `then` from there on."""

    part: float
    until: int
    then: float

    def quota(self, now):
        """The part that holds at the time `now`."""
        return self.part if now < self.until else self.then


WHOLE = Lease(1.0, FOREVER, 1.0)


class FleetDecisions:
    """What one gateway makes of the events that other dispatchers cause."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.leases = [WHOLE, WHOLE]  # of BOUNDS and of COLD
        self.told_lasts = 0.0
        self.handlers = {
            i.InFlightElsewhere: self.told_in_flight,
            i.Leased: self.leased,
            i.Charged: self.charged,
            i.Judged: self.judged,
        }

    def hear(self, event):
        """One event of a round."""
        self.handlers[type(event)](*event)

    def before_decisions(self, now):
        """Called once a round, ahead of what is decided: who stood still past a lease's end has lost it."""
        gateway = self.gateway
        gateway.share = [lease.quota(now) for lease in self.leases]
        cost, run_time = gateway.per_query
        self.told_lasts = TOLD_LASTS * gateway.mean_all * run_time / max(1.0, cost)

    def told_in_flight(self, engine, threads, age):
        """What all others together hold of an engine, as was true `age` ago."""
        table = self.gateway.engines
        table.others_in_flight[engine] = threads
        table.others_told_at[engine] = self.gateway.now - age

    def load_elsewhere(self, engine, inferred, cores):
        """Others' threads a core there.

        What they told is late, and dispatchers that all go by one late figure crowd the engine it praises:
        it counts while queries last longer than it is old, beside what the engine's own answers let infer.
        """
        table = self.gateway.engines
        if self.gateway.now - table.others_told_at[engine] >= self.told_lasts:
            return inferred
        return (inferred + table.others_in_flight[engine] / cores) / 2

    def leased(self, budget, part, until, then):
        """A new lease on one budget; it replaces the one before."""
        self.leases[budget] = Lease(part, until, then)

    def charged(self, works):
        """Work that others gave each tenant: else each of many schedulers grants a quantum of its own."""
        gateway = self.gateway
        served = {t: works[t] / gateway.weight[t] for t in gateway.ring if t < len(works)}
        least = min(served.values(), default=0.0)
        for tenant, work in served.items():
            charge = (work - least) * gateway.weight[tenant]
            deepest = -DEBT_MOST * gateway.quantum(tenant)
            deficit = gateway.deficit[tenant]
            gateway.deficit[tenant] = max(deficit - charge, min(deficit, deepest))

    def judged(self, engine, bad, slow, age):
        """What several found of an engine, where nothing later was found here; slow: against the usual."""
        gateway, table = self.gateway, self.gateway.engines
        if bad and table.heard_at[engine] < gateway.now - age:
            until = gateway.now + JUDGEMENT_LASTS
            table.ejected_until[engine] = max(table.ejected_until[engine], until)
            gateway.fit.clear()
        if slow and table.load_factor_at[engine] < gateway.now - age:
            told = slow * gateway.crowd_mid
            table.load_factor[engine] += (told - table.load_factor[engine]) / 2
            table.load_factor_at[engine] = gateway.now - age

    def needs(self):
        """By budget, what is in use, in parts of what is configured, and whether more would be used."""
        gateway = self.gateway
        gateway.pool = None
        gateway.pool_left()  # works out the whole bound anew
        denied, gateway.denied = gateway.denied, False
        bounds_used = gateway.used * gateway.share[i.BOUNDS] / (gateway.base or 1.0)
        return (bounds_used, gateway.short), (self.slow_start_used(), denied)

    def slow_start_used(self):
        """The largest part in use of what an engine may get while it warms up."""
        gateway, table = self.gateway, self.gateway.engines
        window_began = gateway.now - gateway.site.fall_time
        most = 0.0
        for engine, state in enumerate(table.state):
            warmth = gateway.warmth(engine) if state == i.READY else 1.0
            if warmth < 1.0:
                work = sum(work for at, work in table.slow_start_work[engine] if at > window_began)
                most = max(most, work / (gateway.fall_work * table.cores[engine] * warmth))
        return most


def join(gateway):
    """Lays the decisions of fleets over a gateway, and returns them."""
    gateway.fleet = FleetDecisions(gateway)
    return gateway.fleet
