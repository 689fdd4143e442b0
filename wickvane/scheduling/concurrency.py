"""Concurrency limits of engines, and the load factors that decide when the limits apply and change.

An engine's load factor is its latency divided by that of an unloaded engine, so it also reflects the threads
of other dispatchers. Limits follow additive increase / multiplicative decrease (Chiu and Jain, 1989); they
are multiples of BASE_THREADS_PER_CORE.
"""

from collections.abc import Mapping

from wickvane.events import Deployment
from wickvane.scheduling.engine_table import EngineTable
from wickvane.scheduling.estimates import WorkEstimates
from wickvane.scheduling.query import Query
from wickvane.scheduling.slow_start import SlowStart
from wickvane.units import TICKS_PER_SECOND

BASE_THREADS_PER_CORE = 2.0  # initial limit, summed over all dispatchers
PRESSURE_LOAD_FACTOR = 1.5  # an engine's limit applies above it; limits grow if the usual one is below it
OVERLOAD_LOAD_FACTOR = 2.5  # limits decrease if the usual load factor is above it
# An engine is full if its load factor exceeds BASE_THREADS_PER_CORE and this multiple of the usual one.
FULL_LOAD_FACTOR_RATIO = 1.2
MIN_SCALE = 0.75
MAX_SCALE = 2.0
SCALE_DECREASE_FACTOR = 0.85
REJECTION_DECREASE_FACTOR = 0.8  # applied to the threads in flight when an engine rejects an attempt
REJECTION_MEMORY_TICKS = TICKS_PER_SECOND  # how long a rejection makes the engine's limit apply
DECREASE_INTERVAL_TICKS = TICKS_PER_SECOND // 2
OVERDUE_LATENCY_FACTOR = 1.5  # over the median latency; a running attempt that takes longer counts in it
MEDIAN_STEP_FACTOR = 1.2  # by which one answer moves the median latency up or down
BASELINE_STEP_FACTOR = 1.0002  # by which one answer moves the baseline latency up
# Added to the expected latency so that a short pause or a slow handshake is not taken for load.
LATENCY_OFFSET_TICKS = TICKS_PER_SECOND // 20
MIN_LOAD_FACTOR_FADE_TICKS = 6 * TICKS_PER_SECOND  # after which an engine's load factor equals the usual one
# The fade takes at least this many times the time in which every engine answers once.
FADE_ANSWER_CYCLES = 3.0
ANSWER_GAP_GAIN = 0.05
MIN_LOAD_FACTOR_GAIN = 0.3
MAX_RUNNING_LOAD_FACTOR = 8.0


class LoadTracker:
    """Tracks the usual load factor of recent answers and the load factor of each engine."""

    def __init__(self, engines: EngineTable, slow_start: SlowStart, estimates: WorkEstimates) -> None:
        self.engines = engines
        self.groups = estimates.groups
        self._slow_start = slow_start
        self._estimates = estimates
        self.usual_load_factor = 1.0  # median latency divided by baseline latency
        self.median_latency = 1.0  # of recent answers, each divided by its latency on an unloaded engine
        self._baseline_latency = 1.0
        self._answer_gap = 0.0
        self._answered_at = 0
        self._fade_ticks: float = MIN_LOAD_FACTOR_FADE_TICKS

    def expected_run_time(self, query: Query) -> float:
        """Returns the run time of an attempt under the usual load, in ticks."""
        return query.cost / self.groups[query.resource_group].threads * max(1.0, self.usual_load_factor)

    def slowdown(self, query: Query, elapsed: float, work: float = 0) -> float:
        """Returns the elapsed time divided by the query's latency on an unloaded engine.

        work: as the engine reported it; 0 if it did not, so that the estimate is used.
        """
        unloaded = (work or query.cost) / self.groups[query.resource_group].threads + LATENCY_OFFSET_TICKS
        return elapsed / unloaded

    def current(self, engine: int, now: int) -> float:
        """Returns an engine's load factor, which approaches the usual one as it ages."""
        weight = max(0.0, 1 - (now - self.engines.load_factor_at[engine]) / self._fade_ticks)
        return self.usual_load_factor + (self.engines.load_factor[engine] - self.usual_load_factor) * weight

    def observe(self, engine: int, slowdown: float, report: Mapping | None, counted: bool, now: int) -> None:
        """Updates the load factors from a finished attempt.

        report: the engine's load report; counted: whether the median latency includes the attempt already.
        """
        # Latency that slow start causes is not load.
        slowdown *= self._slow_start.capacity_fraction(engine, now)
        # If a load factor faded before the engine answers again, an overload there would never be noticed.
        gap = min(now - self._answered_at, TICKS_PER_SECOND)
        self._answer_gap += ANSWER_GAP_GAIN * (gap - self._answer_gap)
        self._answered_at = now
        self._fade_ticks = max(
            MIN_LOAD_FACTOR_FADE_TICKS, FADE_ANSWER_CYCLES * self._answer_gap * len(self.engines)
        )
        # The median is over recent answers and not over engines, because with many engines most of them
        # answered long ago. It is divided by the baseline because all cost estimates may be too high, or all
        # too low.
        if not counted:
            step = MEDIAN_STEP_FACTOR if slowdown > self.median_latency else 1 / MEDIAN_STEP_FACTOR
            self.median_latency = max(0.1, self.median_latency * step)
        self._baseline_latency = min(
            self._baseline_latency * BASELINE_STEP_FACTOR, max(self.median_latency, 0.5)
        )
        self.usual_load_factor = self.median_latency / self._baseline_latency
        load_factor = max(slowdown / self._baseline_latency, self._reported_load_factor(engine, report))
        # The longer the engine has not answered, the more weight the answer has.
        gap = now - self.engines.load_factor_at[engine]
        gain = min(1.0, max(MIN_LOAD_FACTOR_GAIN, 2 * gap / MIN_LOAD_FACTOR_FADE_TICKS))
        self.engines.load_factor[engine] += (load_factor - self.engines.load_factor[engine]) * gain
        self.engines.load_factor_at[engine] = now

    def _reported_load_factor(self, engine: int, report: Mapping | None) -> float:
        in_flight = report.get("inflight") if report else None
        run_time = self._estimates.recent_run_time
        if in_flight is None or not run_time:
            return 0.0
        threads = in_flight * self._estimates.recent_cost / run_time
        return threads / (BASE_THREADS_PER_CORE * self.engines.cores[engine])

    def observe_running(self, query: Query, now: int) -> bool:
        """Counts an attempt that runs longer than usual; returns whether limits must decrease for it."""
        table = self.engines
        engine = query.engine
        slowdown = min(MAX_RUNNING_LOAD_FACTOR, self.slowdown(query, now - query.sent_at))
        if not query.fraction_done and slowdown > table.load_factor[engine]:
            table.load_factor[engine] = slowdown
            table.load_factor_at[engine] = now
        # Quick answers of idle engines hide the overload of a few engines that answer late or never.
        if query.overdue_counted:
            return False
        slowdown *= self._slow_start.capacity_fraction(engine, now)
        if slowdown <= OVERDUE_LATENCY_FACTOR * max(self.median_latency, self._baseline_latency):
            return False
        query.overdue_counted = True
        self.median_latency *= MEDIAN_STEP_FACTOR
        self.usual_load_factor = self.median_latency / self._baseline_latency
        # If every attempt ends too late, no answer arrives that would decrease the limits.
        no_answers = now - self._answered_at > DECREASE_INTERVAL_TICKS
        return no_answers and self.usual_load_factor > OVERLOAD_LOAD_FACTOR


class ConcurrencyLimits:
    """Counts threads in flight on engines and limits them."""

    def __init__(
        self, deployment: Deployment, engines: EngineTable, slow_start: SlowStart, load: LoadTracker
    ) -> None:
        self.quota = 1.0  # leased fraction of this dispatcher's configured limits
        self.backlogged = False  # whether queries wait that were not placed; if so, limits apply
        self.threads_in_flight = 0
        self.total_limit = 0.0  # sum over all engines, before scaling
        self._dispatcher_count = deployment.dispatcher_count
        self._engines = engines
        self._slow_start = slow_start
        self._load = load
        self._scale = 1.0
        self._decreased_at = 0
        self._largest_limit = 0.0
        self._pooled_limit: float | None = None  # total_limit * _scale; None until it is needed in a round

    def start_round(self) -> None:
        """Discards the total limit, which is computed again when it is next needed."""
        self._pooled_limit = None

    def limit(self, engine: int, fraction: float) -> float:
        """Returns this dispatcher's limit for an engine; fraction: its capacity fraction in slow start."""
        cores = self._engines.cores[engine]
        return BASE_THREADS_PER_CORE * cores * fraction * self.quota / self._dispatcher_count

    def pool_has_capacity(self, now: int) -> bool:
        """Returns whether the pooled limit admits one more attempt; it always admits the first one."""
        if self._pooled_limit is None:
            self._update_pooled_limit(now)
        return self.threads_in_flight <= 0 or self.threads_in_flight < self._pooled_limit

    def pool_exhausted(self, threads: int, now: int) -> bool:
        """Returns whether no engine can admit an attempt of `threads` threads, so that none is examined."""
        return self.backlogged and not self.pool_has_capacity(now) and self._largest_limit < threads

    def _update_pooled_limit(self, now: int) -> None:
        fraction = self._slow_start.capacity_fraction
        limits = [self.limit(engine, fraction(engine, now)) for engine in self._engines.ready()]
        self.total_limit = sum(limits)
        self._largest_limit = max(limits, default=0.0)
        self._pooled_limit = self.total_limit * self._scale

    def admits(self, engine: int, threads: int, fraction: float, now: int) -> bool:
        """Returns whether an engine admits one more attempt of `threads` threads."""
        table = self._engines
        in_flight = table.in_flight[engine]
        limit = self.limit(engine, fraction)
        if limit >= threads:
            if in_flight <= 0:
                return True
            if table.half_open[engine] or in_flight >= table.concurrency_limit[engine]:
                return False
            return in_flight < limit * min(1.0, self._scale) or not self._is_limited(engine, fraction, now)
        # With many dispatchers the limit is less than one query, and one query from each dispatcher would
        # exceed the intended total by far. The limits on all engines are then one pool, and an engine with no
        # query in flight needs capacity in the pool too.
        if in_flight > 0 and (table.half_open[engine] or self._is_limited(engine, fraction, now)):
            return False
        usual = self._load.usual_load_factor
        if self._load.current(engine, now) > max(BASE_THREADS_PER_CORE, FULL_LOAD_FACTOR_RATIO * usual):
            return False
        return self.pool_has_capacity(now)

    def _is_limited(self, engine: int, fraction: float, now: int) -> bool:
        if fraction < 1.0 or self.backlogged:
            return True
        if now - self._engines.rejected_at[engine] < REJECTION_MEMORY_TICKS:
            return True
        return self._load.current(engine, now) > PRESSURE_LOAD_FACTOR

    def add_in_flight(self, engine: int, threads: int) -> None:
        """Adds to the threads in flight on an engine; `threads` is negative if an attempt ended."""
        self._engines.in_flight[engine] += threads
        self.threads_in_flight += threads

    def attempt_finished(self, engine: int) -> None:
        """Increases an engine's concurrency limit, by 1 / limit for each answer."""
        self._engines.concurrency_limit[engine] += 1 / self._engines.concurrency_limit[engine]

    def attempt_rejected(self, engine: int, now: int) -> None:
        """Decreases an engine's concurrency limit, since attempts that it rejects use up retries."""
        self._engines.rejected_at[engine] = now
        self._engines.concurrency_limit[engine] = max(
            1.0, REJECTION_DECREASE_FACTOR * self._engines.in_flight[engine]
        )
        self.decrease(now)

    def adapt(self, now: int) -> None:
        """Increases or decreases the limits on all engines according to the usual load factor."""
        if self._load.usual_load_factor < PRESSURE_LOAD_FACTOR:
            self._scale = min(MAX_SCALE, self._scale + 1 / max(1.0, self.total_limit))
        elif self._load.usual_load_factor > OVERLOAD_LOAD_FACTOR:
            self.decrease(now)

    def decrease(self, now: int) -> None:
        """Decreases the limits on all engines, at most once in DECREASE_INTERVAL_TICKS."""
        if now - self._decreased_at > DECREASE_INTERVAL_TICKS:
            self._scale = max(MIN_SCALE, self._scale * SCALE_DECREASE_FACTOR)
            self._decreased_at = now
