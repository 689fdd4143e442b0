"""Collects one dispatcher's data for the other dispatchers, and turns their reports into scheduler events.

A decider that has an observer calls its hooks, all in the decider's thread. The cluster's thread reads the
collected data from a SnapshotBuffer. In the other direction, the cluster's thread puts messages into the
decider's inbox (wickvane.quotas.decider_notifier).
"""

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from wickvane.events import (
    FOREVER,
    Ending,
    EngineJudged,
    InFlightElsewhere,
    LeaseChanged,
    TenantsCharged,
)
from wickvane.quotas import fleet_decisions
from wickvane.quotas.engine_judgement import EngineVerdict
from wickvane.quotas.lease_broker import BudgetUse, Quota, QuotaUpdate
from wickvane.quotas.snapshot import AttemptOutcome, SnapshotBuffer
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MEASURE_INTERVAL = TICKS_PER_SECOND // 10  # between two measurements of the use of budgets
FAILURE_ENDINGS = frozenset((Ending.ERROR, Ending.RESET, Ending.NO_CONNECTION, Ending.NO_ANSWER))
# Ticks added to the expected time, as in wickvane.scheduling, so that short pauses have little effect.
SLOWDOWN_ALLOWANCE = 500


class InFlightReport(NamedTuple):
    """Threads in flight of all other dispatchers by engine.

    age: in ticks, at the time `reported_at` by the decider's clock.
    """

    threads_by_engine: dict[str, int]
    age: int
    reported_at: int


class UsageReport(NamedTuple):
    """New work of all other dispatchers by tenant, in milliseconds."""

    work_by_tenant: dict[str, int]


class VerdictsReport(NamedTuple):
    """Verdicts on engines at the time `reported_at` by the decider's clock."""

    verdicts: dict[str, EngineVerdict]
    reported_at: int


ObserverMessage = InFlightReport | UsageReport | VerdictsReport | QuotaUpdate


def newly_ejected_engines(scheduler: Any, known_times: list[int]) -> list[int]:
    """Returns engines that the scheduler has ejected by its own evidence since the last call.

    An engine that does not respond may be ejected before any attempt on it has ended. known_times: the
    ejection times at the last call, which this call updates.
    """
    times = scheduler.engines.ejection_time
    ejected = [
        engine
        for engine, duration in enumerate(times)
        if engine < len(known_times) and duration > known_times[engine]
    ]
    known_times[:] = times
    return ejected


class DecisionObserver:
    """The hooks that one decider calls."""

    def __init__(self, scheduler: Any, registry: Any, clock_offset: int = 0) -> None:
        """clock_offset: the decider's clock minus the cluster's, in ticks."""
        self.scheduler = scheduler
        self.registry = registry
        self.clock_offset = clock_offset
        self.buffer = SnapshotBuffer()
        self.fleet = fleet_decisions.join(scheduler)
        self.tenant_names = list(registry.tenants.index)
        self.measured_at = 0
        self.update_in_use = 0  # number of the latest quota update that the scheduler has received
        self.known_ejection_times: list[int] = []

    # Hooks

    def round_finished(self, now: int) -> None:
        """Records the state after a round of decisions."""
        names = self.registry.engines.names
        scheduler = self.scheduler
        buffer = self.buffer
        buffer.threads_by_engine = {
            names[engine]: threads
            for engine, threads in enumerate(scheduler.engines.in_flight)
            if threads > 0 and names[engine]
        }
        # The scheduler has this update, so all its later decisions use it.
        buffer.acknowledged_update = self.update_in_use
        if now - self.measured_at >= MEASURE_INTERVAL:
            self.measured_at = now
            for engine in newly_ejected_engines(scheduler, self.known_ejection_times):
                buffer.add_outcome(AttemptOutcome(names[engine], 1, None))
            buffer.ready_engines = [names[engine] for engine in scheduler.engines.ready() if names[engine]]
            buffer.set_budget_uses(now, [BudgetUse(*use) for use in self.fleet.needs()])

    def query_accepted(self, now: int, pending: Any) -> None:
        """Counts a query that was accepted."""
        work = pending.cost or int(self.scheduler.estimates.mean_cost[pending.resource_group])
        self.buffer.add_request(now, work)
        self._count_query("taken", pending)

    def attempt_started(self, engine: str) -> None:
        """Counts an attempt that is about to be sent to an engine."""
        self.buffer.increment(f"sent/{engine}")

    def attempt_ended(self, attempt: Any, ending: Ending, elapsed: int) -> None:
        """Records the end of an attempt after `elapsed` ticks."""
        if attempt.queue is None:
            return
        engine = attempt.queue.name
        slowdown = None
        if ending == Ending.FINISHED:
            slowdown = self._count_finished(attempt, elapsed)
        if ending == Ending.FINISHED or ending in FAILURE_ENDINGS:
            self.buffer.add_outcome(AttemptOutcome(engine, int(ending in FAILURE_ENDINGS), slowdown))

    def query_rejected(self, pending: Any) -> None:
        """Counts a query that was rejected; a retry of it is harmless."""
        self._count_query("deferred", pending)

    def query_failed(self, pending: Any) -> None:
        """Counts a query that has failed."""
        self._count_query("killed", pending)

    def _count_finished(self, attempt: Any, elapsed: int) -> float | None:
        """Counts a finished attempt; returns its slowdown, or None if the expected time is unknown."""
        pending = attempt.pending
        threads = self.registry.deployment.groups[pending.resource_group].threads
        self.buffer.increment(f"done/{attempt.queue.name}")
        self._count_query("finished", pending)
        self.buffer.add_work(self._tenant_name(pending), attempt.work or elapsed * threads)
        if not (pending.cost or attempt.work):
            return None
        return elapsed / ((attempt.work or pending.cost) / threads + SLOWDOWN_ALLOWANCE)

    def _tenant_name(self, pending: Any) -> str:
        return self.tenant_names[pending.tenant] if pending.tenant < len(self.tenant_names) else ""

    def _count_query(self, outcome: str, pending: Any) -> None:
        group = self.registry.group_names[pending.resource_group]
        self.buffer.increment(f"{outcome}/{group}/{self._tenant_name(pending)}")

    # Messages

    def events_of(self, message: ObserverMessage, now: int) -> Iterator[NamedTuple]:
        """Returns the scheduler events for a message."""
        match message:
            case InFlightReport(threads_by_engine, age, reported_at):
                return self._in_flight_events(threads_by_engine, age + max(0, now - reported_at))
            case QuotaUpdate(number, quotas):
                self.update_in_use = number
                return self._lease_events(quotas)
            case UsageReport(work_by_tenant):
                return self._usage_events(work_by_tenant)
            case VerdictsReport(verdicts, reported_at):
                return self._verdict_events(verdicts, max(0, now - reported_at))

    def _in_flight_events(self, threads_by_engine: dict[str, int], age: int) -> Iterator[InFlightElsewhere]:
        for name, engine in self.registry.engines.index_of.items():
            if name in self.registry.listed_engines:
                yield InFlightElsewhere(engine, threads_by_engine.get(name, 0), age)

    def _lease_events(self, quotas: Sequence[Quota]) -> Iterator[LeaseChanged]:
        for budget, (fraction, expires_at, fraction_after) in enumerate(quotas):
            # A quota without an expiry lasts until the next update.
            until = FOREVER if expires_at is None else expires_at + self.clock_offset
            yield LeaseChanged(budget, fraction, until, fraction_after)

    def _usage_events(self, work_by_tenant: dict[str, int]) -> Iterator[TenantsCharged]:
        yield TenantsCharged(
            [work_by_tenant.get(name, 0) * TICKS_PER_MILLISECOND for name in self.tenant_names]
        )

    def _verdict_events(self, verdicts: dict[str, EngineVerdict], delay: int) -> Iterator[EngineJudged]:
        for name, (faulty, slowdown, age) in verdicts.items():
            if name in self.registry.listed_engines:
                yield EngineJudged(self.registry.engines.index_of[name], faulty, slowdown, age + delay)
