"""What the reports of other dispatchers change in one dispatcher's decisions; free of I/O.

`join` hands a FleetDecisions to the scheduler as its wickvane.scheduling.fleet_hook.FleetHook; a dispatcher
that knows no others never imports this module.
"""

from typing import NamedTuple

from wickvane.events import (
    FOREVER,
    Budget,
    EngineJudged,
    InFlightElsewhere,
    LeaseChanged,
    TenantsCharged,
)
from wickvane.scheduling.concurrency import ConcurrencyLimits, LoadTracker
from wickvane.scheduling.estimates import WorkEstimates
from wickvane.scheduling.fair_queue import FairQueue
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.scheduler import Scheduler
from wickvane.scheduling.slow_start import SlowStart
from wickvane.units import TICKS_PER_SECOND

REPORT_RUN_TIMES = 2.0  # mean run times for which reported threads in flight count
JUDGEMENT_TICKS = TICKS_PER_SECOND  # how long an engine is ejected by the reports of others
DEBT_QUANTA_MOST = 4.0  # that others' work may charge a tenant


class Lease(NamedTuple):
    """A quota of one budget, as a fraction: `fraction` until `expires_at`, then `fraction_after`."""

    fraction: float
    expires_at: int
    fraction_after: float

    def quota(self, now: int) -> float:
        """The fraction that is valid at the time `now`."""
        return self.fraction if now < self.expires_at else self.fraction_after


FULL_QUOTA = Lease(1.0, FOREVER, 1.0)


class Need(NamedTuple):
    """Of one budget: what is in use, in parts of what is configured, and whether more would be used."""

    used: float
    wants_more: bool


class FleetDecisions:
    """Weighs the reports of other dispatchers into the scheduler's mechanisms."""

    def __init__(
        self,
        estimates: WorkEstimates,
        fair_queue: FairQueue,
        load: LoadTracker,
        limits: ConcurrencyLimits,
        slow_start: SlowStart,
        ejection: OutlierEjection,
    ) -> None:
        self._estimates = estimates
        self._fair_queue = fair_queue
        self._load = load
        self._limits = limits
        self._slow_start = slow_start
        self._ejection = ejection
        self._engines = load.engines
        self._now = 0  # of the last round
        self.leases = {Budget.CONCURRENCY: FULL_QUOTA, Budget.SLOW_START: FULL_QUOTA}
        self._report_ticks = 0.0  # how long reported threads in flight count
        self._handlers = {
            InFlightElsewhere: self._record_in_flight,
            LeaseChanged: lambda event, now: self.replace_lease(event),
            TenantsCharged: self._charge_tenants,
            EngineJudged: self._apply_judgement,
        }

    def handle(self, event: tuple, now: int) -> None:
        """One event of a round."""
        self._handlers[type(event)](event, now)

    def before_decisions(self, now: int) -> None:
        """Applies the leases as they are now: a process that stood still past a lease's end has lost it."""
        self._now = now
        self._limits.quota = self.leases[Budget.CONCURRENCY].quota(now)
        self._slow_start.quota = self.leases[Budget.SLOW_START].quota(now)
        estimates = self._estimates
        run_time = REPORT_RUN_TIMES * estimates.overall_mean_cost * estimates.recent_run_time
        self._report_ticks = run_time / max(1.0, estimates.recent_cost)

    def load_elsewhere(self, engine: int, inferred: float, cores: float, now: int) -> float:
        """Threads a core of other dispatchers on an engine.

        Reports are late, and dispatchers that all go by one late figure overload the engine that it favours:
        a report counts while queries last longer than it is old, beside what the latency here lets infer.
        """
        if now - self._engines.others_reported_at[engine] >= self._report_ticks:
            return inferred
        return (inferred + self._engines.others_in_flight[engine] / cores) / 2

    def replace_lease(self, event: LeaseChanged) -> None:
        """A new lease on one budget."""
        self.leases[event.budget] = Lease(event.fraction, event.expires_at, event.fraction_after)

    def needs(self) -> tuple[Need, Need]:
        """The need of each budget, in the order of Budget."""
        self._limits.start_round()
        self._limits.pool_has_capacity(self._now)  # works out the total limit anew
        was_denied = self._slow_start.denied
        self._slow_start.denied = False
        used = self._limits.threads_in_flight * self._limits.quota / (self._limits.total_limit or 1.0)
        return (
            Need(used, self._limits.backlogged),
            Need(self._slow_start.used_fraction(self._now), was_denied),
        )

    def _record_in_flight(self, event: InFlightElsewhere, now: int) -> None:
        self._engines.others_in_flight[event.engine] = event.threads
        self._engines.others_reported_at[event.engine] = now - event.age

    def _charge_tenants(self, event: TenantsCharged, now: int) -> None:
        """Work that others gave each tenant: else each of many schedulers grants a quantum of its own."""
        queue = self._fair_queue
        works = event.work_by_tenant
        served = {t: works[t] / queue.weights[t] for t in queue.active if t < len(works)}
        least = min(served.values(), default=0.0)
        for tenant, work in served.items():
            charge = (work - least) * queue.weights[tenant]
            deepest = -DEBT_QUANTA_MOST * queue.quantum(tenant)
            deficit = queue.deficits[tenant]
            queue.deficits[tenant] = max(deficit - charge, min(deficit, deepest))

    def _apply_judgement(self, event: EngineJudged, now: int) -> None:
        """What several found of an engine counts where this dispatcher has found nothing later itself."""
        table = self._engines
        found_at = now - event.age
        if event.is_faulty and table.last_contact_at[event.engine] < found_at:
            self._ejection.eject_until(event.engine, now + JUDGEMENT_TICKS)
        if event.slowdown and table.load_factor_at[event.engine] < found_at:
            load_factor = event.slowdown * self._load.usual_load_factor
            table.load_factor[event.engine] += (load_factor - table.load_factor[event.engine]) / 2
            table.load_factor_at[event.engine] = found_at


def join(scheduler: Scheduler) -> FleetDecisions:
    """Has a scheduler decide by the reports of other dispatchers."""
    fleet = FleetDecisions(
        scheduler.estimates,
        scheduler.fair_queue,
        scheduler.load,
        scheduler.limits,
        scheduler.slow_start,
        scheduler.ejection,
    )
    scheduler.join_fleet(fleet)
    return fleet
