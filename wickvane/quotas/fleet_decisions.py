"""Applies the reports of other dispatchers to one dispatcher's decisions. Free of I/O.

`join` attaches a FleetDecisions to the scheduler as its wickvane.scheduling.fleet_hook.FleetHook. A
dispatcher without the extension `shares` never imports this module.
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

REPORT_RUN_TIMES = 2.0  # number of mean run times for which reported threads in flight count
JUDGEMENT_TICKS = TICKS_PER_SECOND  # time for which a verdict ejects an engine
MAX_DEBT_QUANTA = 4.0  # maximum debt of a tenant from the work of other dispatchers, in quanta


class Lease(NamedTuple):
    """A quota of one budget: `fraction` until `expires_at`, and `fraction_after` from then on."""

    fraction: float
    expires_at: int
    fraction_after: float

    def quota(self, now: int) -> float:
        """Returns the fraction that is valid at the time `now`."""
        return self.fraction if now < self.expires_at else self.fraction_after


FULL_QUOTA = Lease(1.0, FOREVER, 1.0)


class Need(NamedTuple):
    """The use of one budget.

    used: the fraction of the configured quota that is in use; insufficient: whether more would be used if the
    quota allowed it.
    """

    used: float
    insufficient: bool


class FleetDecisions:
    """Applies the reports of other dispatchers to the scheduler's mechanisms."""

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
        self._now = 0  # time of the last round
        self.leases = {Budget.CONCURRENCY: FULL_QUOTA, Budget.SLOW_START: FULL_QUOTA}
        self._report_ticks = 0.0  # maximum age of reported threads in flight that count
        self._handlers = {
            InFlightElsewhere: self._record_in_flight,
            LeaseChanged: lambda event, now: self.replace_lease(event),
            TenantsCharged: self._charge_tenants,
            EngineJudged: self._apply_judgement,
        }

    def handle(self, event: tuple, now: int) -> None:
        """Handles one event of a round."""
        self._handlers[type(event)](event, now)

    def before_decisions(self, now: int) -> None:
        """Applies the leases that are valid now, without those that expired while the process was stalled."""
        self._now = now
        self._limits.quota = self.leases[Budget.CONCURRENCY].quota(now)
        self._slow_start.quota = self.leases[Budget.SLOW_START].quota(now)
        estimates = self._estimates
        run_time = REPORT_RUN_TIMES * estimates.overall_mean_cost * estimates.recent_run_time
        self._report_ticks = run_time / max(1.0, estimates.recent_cost)

    def load_elsewhere(self, engine: int, inferred: float, cores: float, now: int) -> float:
        """Returns the threads in flight per core of other dispatchers on an engine.

        inferred: the estimate from the latency at this dispatcher. Reports are late, and dispatchers that all
        follow the same late report overload the engine that it favours. So a report counts only while it is
        younger than REPORT_RUN_TIMES mean run times of a query, and is averaged with the inferred load.
        """
        if now - self._engines.others_reported_at[engine] >= self._report_ticks:
            return inferred
        return (inferred + self._engines.others_in_flight[engine] / cores) / 2

    def replace_lease(self, event: LeaseChanged) -> None:
        """Replaces the lease on one budget."""
        self.leases[event.budget] = Lease(event.fraction, event.expires_at, event.fraction_after)

    def needs(self) -> tuple[Need, Need]:
        """Returns the use of each budget, in the order of Budget."""
        self._limits.start_round()
        self._limits.pool_has_capacity(self._now)  # Recomputes the total limit.
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
        """Charges each tenant for the work that other dispatchers did for it.

        Only work beyond that of the least served tenant is charged. Without this, each of many schedulers
        would grant the tenant a separate quantum.
        """
        queue = self._fair_queue
        work_by_tenant = event.work_by_tenant
        weighted_work = {
            tenant: work_by_tenant[tenant] / queue.weights[tenant]
            for tenant in queue.active
            if tenant < len(work_by_tenant)
        }
        min_weighted_work = min(weighted_work.values(), default=0.0)
        for tenant, work in weighted_work.items():
            charge = (work - min_weighted_work) * queue.weights[tenant]
            min_deficit = -MAX_DEBT_QUANTA * queue.quantum(tenant)
            deficit = queue.deficits[tenant]
            queue.deficits[tenant] = max(deficit - charge, min(deficit, min_deficit))

    def _apply_judgement(self, event: EngineJudged, now: int) -> None:
        """Applies a verdict on an engine, unless this dispatcher has more recent evidence of its own."""
        table = self._engines
        reported_at = now - event.age
        if event.is_faulty and table.last_contact_at[event.engine] < reported_at:
            self._ejection.eject_until(event.engine, now + JUDGEMENT_TICKS)
        if event.slowdown and table.load_factor_at[event.engine] < reported_at:
            load_factor = event.slowdown * self._load.usual_load_factor
            table.load_factor[event.engine] += (load_factor - table.load_factor[event.engine]) / 2
            table.load_factor_at[event.engine] = reported_at


def join(scheduler: Scheduler) -> FleetDecisions:
    """Makes a scheduler use the reports of other dispatchers; returns the hook that was attached."""
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
