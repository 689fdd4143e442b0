"""Decisions that only fleets need: what other dispatchers told is weighed into one dispatcher's own state.

Free of I/O. `join` lays it over the decision module at that module's one hook, `Scheduler.fleet`; a
dispatcher that knows no others never imports it.
"""

from typing import NamedTuple

from wickvane.events import (
    FOREVER,
    Budget,
    EngineJudged,
    EngineState,
    InFlightElsewhere,
    LeaseChanged,
    TenantsCharged,
)
from wickvane.units import TICKS_PER_SECOND

TOLD_LASTS = 2.0  # times that queries run alone, until what others told that they hold stands for nothing
JUDGEMENT_LASTS = TICKS_PER_SECOND  # how long an engine is left out on the word of others
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

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.leases = [WHOLE, WHOLE]  # of BOUNDS and of COLD
        self.told_lasts = 0.0
        self.handlers = {
            InFlightElsewhere: self.told_in_flight,
            LeaseChanged: self.leased,
            TenantsCharged: self.charged,
            EngineJudged: self.judged,
        }

    def hear(self, event):
        """One event of a round."""
        self.handlers[type(event)](*event)

    def before_decisions(self, now):
        """Called once a round, ahead of what is decided: who stood still past a lease's end has lost it."""
        scheduler = self.scheduler
        scheduler.share = [lease.quota(now) for lease in self.leases]
        cost, run_time = scheduler.per_query
        self.told_lasts = TOLD_LASTS * scheduler.mean_all * run_time / max(1.0, cost)

    def told_in_flight(self, engine, threads, age):
        """What all others together hold of an engine, as was true `age` ago."""
        table = self.scheduler.engines
        table.others_in_flight[engine] = threads
        table.others_told_at[engine] = self.scheduler.now - age

    def load_elsewhere(self, engine, inferred, cores):
        """Others' threads a core there.

        What they told is late, and dispatchers that all go by one late figure crowd the engine it praises:
        it counts while queries last longer than it is old, beside what the engine's own answers let infer.
        """
        table = self.scheduler.engines
        if self.scheduler.now - table.others_told_at[engine] >= self.told_lasts:
            return inferred
        return (inferred + table.others_in_flight[engine] / cores) / 2

    def leased(self, budget, part, until, then):
        """A new lease on one budget; it replaces the one before."""
        self.leases[budget] = Lease(part, until, then)

    def charged(self, works):
        """Work that others gave each tenant: else each of many schedulers grants a quantum of its own."""
        scheduler = self.scheduler
        served = {t: works[t] / scheduler.weight[t] for t in scheduler.ring if t < len(works)}
        least = min(served.values(), default=0.0)
        for tenant, work in served.items():
            charge = (work - least) * scheduler.weight[tenant]
            deepest = -DEBT_MOST * scheduler.quantum(tenant)
            deficit = scheduler.deficit[tenant]
            scheduler.deficit[tenant] = max(deficit - charge, min(deficit, deepest))

    def judged(self, engine, bad, slow, age):
        """What several found of an engine, where nothing later was found here; slow: against the usual."""
        scheduler, table = self.scheduler, self.scheduler.engines
        if bad and table.heard_at[engine] < scheduler.now - age:
            until = scheduler.now + JUDGEMENT_LASTS
            table.ejected_until[engine] = max(table.ejected_until[engine], until)
            scheduler.fit.clear()
        if slow and table.load_factor_at[engine] < scheduler.now - age:
            told = slow * scheduler.crowd_mid
            table.load_factor[engine] += (told - table.load_factor[engine]) / 2
            table.load_factor_at[engine] = scheduler.now - age

    def needs(self):
        """By budget, what is in use, in parts of what is configured, and whether more would be used."""
        scheduler = self.scheduler
        scheduler.pool = None
        scheduler.pool_left()  # works out the whole bound anew
        denied, scheduler.denied = scheduler.denied, False
        bounds_used = scheduler.used * scheduler.share[Budget.CONCURRENCY] / (scheduler.base or 1.0)
        return (bounds_used, scheduler.short), (self.slow_start_used(), denied)

    def slow_start_used(self):
        """The largest part in use of what an engine may get while it warms up."""
        scheduler, table = self.scheduler, self.scheduler.engines
        window_began = scheduler.now - scheduler.site.collapse_window
        most = 0.0
        for engine, state in enumerate(table.state):
            warmth = scheduler.warmth(engine) if state == EngineState.READY else 1.0
            if warmth < 1.0:
                work = sum(work for at, work in table.slow_start_work[engine] if at > window_began)
                most = max(most, work / (scheduler.fall_work * table.cores[engine] * warmth))
        return most


def join(scheduler):
    """Lays the decisions of fleets over a gateway, and returns them."""
    scheduler.fleet = FleetDecisions(scheduler)
    return scheduler.fleet
