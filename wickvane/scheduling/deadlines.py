"""Computes the deadlines of queries and the Retry-After of rejected clients."""

from random import Random

from wickvane.events import FOREVER, Deployment, Effect
from wickvane.scheduling.concurrency import LoadTracker
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

SWEEP_INTERVAL_TICKS = TICKS_PER_SECOND // 50
ANSWER_MARGIN_TICKS = TICKS_PER_SECOND // 25  # two sweeps, between a query's deadline and its timeout
SHUTDOWN_MARGIN_TICKS = TICKS_PER_SECOND // 4
MAX_CAPACITY_WAIT_FRACTION = 0.2  # of a query's time left, to wait for capacity
# The same to wait for the query's key. It is less than 1 because estimates err and because clients may start
# their timeout before they send the query.
MAX_KEY_WAIT_FRACTION = 0.75
RETRY_EXTRA_COST_FRACTION = 0.25  # added to the cost of a retry in the queue
MIN_COST = 10
WORK_FADE_TICKS = 2 * TICKS_PER_SECOND  # after which finished work no longer counts in the rate of work


class Deadlines:
    """Sets the times of queries and checks which queries can still be answered in time."""

    def __init__(self, deployment: Deployment, load: LoadTracker) -> None:
        self.deployment = deployment
        self.groups = deployment.groups
        self._load = load
        self._shutdown_at = FOREVER  # when this process may be killed

    def set_on_arrival(self, query: Query, time_left: int, is_retry: bool, now: int) -> bool:
        """Sets the query's times and sort key; returns whether it can be answered in time."""
        group = self.groups[query.resource_group]
        # Without the margin the client would time out at the moment at which its query is given up here.
        left = min(time_left - min(ANSWER_MARGIN_TICKS, time_left // 10), self._shutdown_at - now)
        query.deadline = now + left
        # A retry is queued behind first attempts that cost up to a quarter more, because in a retry storm
        # retries would displace them. If retries were queued behind all first attempts, the shortest retries
        # would wait for the longest first attempts.
        density = -group.priority_weight / max(query.cost, MIN_COST)
        query.sort_key = density / (1 + RETRY_EXTRA_COST_FRACTION * is_retry)
        objective = group.latency_objective + int(group.objective_stretch * query.cost / group.threads)
        query.objective_at = min(now + objective, query.deadline)
        # A wait for the key is not a wait for capacity, so it may last as long as the query can still be
        # answered.
        queue_until = now + int(MAX_CAPACITY_WAIT_FRACTION * left) if query.key is None else query.deadline
        query.queue_until = min(self.latest_start(query), queue_until)
        return now < query.queue_until

    def turn_is_too_late(self, query: Query, turn_at: float, now: int) -> bool:
        """Returns whether a query whose key is free at `turn_at` should be rejected now.

        Its client then has time left for a retry elsewhere.
        """
        return turn_at > now + MAX_KEY_WAIT_FRACTION * (query.deadline - now)

    def latest_start(self, query: Query) -> int:
        """Returns the latest time at which an attempt can start and still be useful."""
        is_useless_late = self.groups[query.resource_group].late_priority_weight == 0
        end = query.objective_at if is_useless_late else query.deadline
        # Waiting queries are checked once a sweep, so the wait must end two sweeps early.
        return int(end - max(self._load.expected_run_time(query), 2 * SWEEP_INTERVAL_TICKS))

    def must_answer_now(self, query: Query, now: int) -> bool:
        """Returns whether a running query must get its final answer now."""
        group = self.groups[query.resource_group]
        is_useless = group.effect == Effect.READ_ONLY and group.late_priority_weight == 0
        is_stoppable = is_useless and self.deployment.can_cancel
        return (is_stoppable and now > query.objective_at) or now >= query.deadline

    def start_shutdown(self, time_left: int, now: int) -> None:
        """Limits all later deadlines to a margin before this process may be killed, in `time_left` ticks."""
        self._shutdown_at = now + time_left - SHUTDOWN_MARGIN_TICKS

    def limit_to_shutdown(self, query: Query) -> None:
        """Limits the times of a query that arrived before the shutdown started."""
        query.deadline = min(query.deadline, self._shutdown_at)
        query.objective_at = min(query.objective_at, query.deadline)
        query.queue_until = min(query.queue_until, query.deadline - 2 * SWEEP_INTERVAL_TICKS)


class RetryAfter:
    """Spreads the retries of rejected clients over the time that the queued work takes."""

    def __init__(self, max_retry_after: int, rng: Random) -> None:
        self._max_retry_after = max_retry_after
        self._rng = rng
        self.recent_work = 0.0
        self.recent_work_at = 0
        self._last_retry_at = 0.0

    def record_work(self, work: float, now: int) -> None:
        """Adds work that an attempt finished."""
        self.recent_work = self._work_at(now) + work
        self.recent_work_at = now

    def _work_at(self, now: int) -> float:
        return self.recent_work * max(0.0, 1 - (now - self.recent_work_at) / WORK_FADE_TICKS)

    def next(self, query: Query, queued_cost: float, now: int) -> int:
        """Returns the ticks after which a rejected client should retry; 0 if it gets no Retry-After.

        Retries are due after the queued work, one after another, at the rate of the work finished recently,
        so that clients do not all retry at once.
        """
        if not self._max_retry_after:
            return 0
        rate = self._work_at(now) / WORK_FADE_TICKS
        if rate > 0:
            self._last_retry_at = max(self._last_retry_at, now + queued_cost / rate) + query.cost / rate
            if self._last_retry_at <= now + self._max_retry_after:
                return min(self._max_retry_after, int(self._last_retry_at - now) + 1)
        self._last_retry_at = now + self._max_retry_after
        return int(self._max_retry_after * self._rng.uniform(0.5, 1))
