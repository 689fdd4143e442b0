"""Rules for retries: when they are allowed, retry budget, replanning, order and quarantine of keys."""

from bisect import bisect_right
from collections import deque
from operator import attrgetter

from wickvane.events import FOREVER, Deployment, Effect, Ending, KeyScope
from wickvane.scheduling.concurrency import LoadTracker
from wickvane.scheduling.deadlines import Deadlines
from wickvane.scheduling.input_watermark import InputWatermark
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

LOST_RUN_TIME_FACTOR = 4.0  # over the expected run time; a longer attempt without progress counts as lost
LOST_OFFSET_TICKS = TICKS_PER_SECOND // 10
MAX_LOST_LOAD_FACTOR = 2.0
MAX_LOST_FRACTION = 0.5  # of the running attempts; if more seem lost at once, all engines are slow
# Replanning is worth the lost work if the attempt's remaining time exceeds this multiple of a new one's run
# time.
RUNAWAY_RUN_TIME_FACTOR = 3.0
RUNAWAY_OFFSET_TICKS = TICKS_PER_SECOND // 2
MIN_FRACTION_DONE = 0.005
# The window of the budget is rounded towards fewer retries: they count a little longer than the window, and
# arrivals a little shorter.
RETRY_WINDOW_EXTRA_TICKS = 2
ARRIVAL_WINDOW_CUT_TICKS = 4


class RetryBudget:
    """Limits retries to a share of the arrivals in a sliding window, plus a minimum."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.arrivals: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_arrival(self, now: int) -> None:
        """Records that a query has arrived."""
        self.arrivals.append(now)

    def record_retry(self, now: int) -> None:
        """Records that a retry starts."""
        self._retries.append(now)

    def is_available(self, now: int) -> bool:
        """Returns whether one more retry is allowed; drops entries that are older than the window."""
        window = self.deployment.retry_budget_window
        while self._retries and self._retries[0] < now - window - RETRY_WINDOW_EXTRA_TICKS:
            self._retries.popleft()
        while self.arrivals and self.arrivals[0] <= now - window + ARRIVAL_WINDOW_CUT_TICKS:
            self.arrivals.popleft()
        limit = self.deployment.retry_budget_minimum + self.deployment.retry_budget_ratio * len(self.arrivals)
        return not window or len(self._retries) + 1 <= limit


class KeyOrder:
    """Runs the queries of one key one at a time.

    After an attempt ended without proof that it no longer runs, its key is quarantined.
    """

    def __init__(self, quarantine: int, load: LoadTracker, watermark: InputWatermark) -> None:
        self.queues: dict[int, list[Query]] = {}
        self._watermark = watermark
        self._quarantine = quarantine
        self._quarantined_until: dict[int, int] = {}
        self._load = load

    def add(self, query: Query) -> float:
        """Queues a query behind those of its key that arrived earlier; returns their total run time in ticks.

        A query that arrived earlier than one that has been sent was read too late for its place.
        """
        if query.key is None:
            return 0
        queue = self.queues.setdefault(query.key, [])
        first = 1 if queue and queue[0].attempts else 0
        place = bisect_right(queue, query.arrived_at, first, key=attrgetter("arrived_at"))
        time_ahead = sum(self._load.expected_run_time(ahead) for ahead in queue[:place])
        queue.insert(place, query)
        return time_ahead

    def remove(self, query: Query) -> None:
        """Removes a query from the queue of its key."""
        if query.key is not None:
            self.queues[query.key].remove(query)
            if not self.queues[query.key]:
                del self.queues[query.key]

    def is_turn_of(self, query: Query, now: int) -> bool:
        """Returns whether the query's key allows an attempt to start."""
        if query.key is None:
            return True
        is_first = self.queues[query.key][0] is query and self._watermark.has_passed(query.arrived_at)
        return is_first and now >= self._quarantined_until.get(query.key, 0)

    def attempt_ended(self, query: Query, ending: Ending, now: int) -> None:
        """Quarantines the key if the attempt may still run."""
        if query.key is not None and ending in (Ending.NO_ANSWER, Ending.RESET, Ending.CANCELLED):
            self._quarantined_until[query.key] = now + self._quarantine

    def end_quarantines(self, now: int) -> None:
        """Removes the quarantines that have ended."""
        self._quarantined_until = {key: at for key, at in self._quarantined_until.items() if now < at}

    def too_late_behind(self, head: Query, deadlines: Deadlines, now: int) -> list[Query]:
        """Returns the queries behind `head` that would be too late if its attempt runs until its deadline.

        The attempt is on an engine that doesn't respond.
        """
        if head.key is None:
            return []
        turn_at: float = head.deadline + self._quarantine
        too_late = []
        for query in self.queues[head.key][1:]:
            if deadlines.turn_is_too_late(query, turn_at, now):
                too_late.append(query)
            else:
                turn_at += self._load.expected_run_time(query)
        return too_late


class RetryPolicy:
    """Decides whether a query may be retried or replanned."""

    def __init__(self, deployment: Deployment, deadlines: Deadlines, load: LoadTracker) -> None:
        self.deployment = deployment
        self.groups = deployment.groups
        self.budget = RetryBudget(deployment)
        self._deadlines = deadlines
        self._load = load

    def start_by(self, query: Query) -> int:
        """Returns the latest start of the next attempt; engines know an idempotency key only for a time."""
        group = self.groups[query.resource_group]
        if query.ran_at is None or group.effect != Effect.IDEMPOTENCY_KEY:
            return FOREVER
        return query.ran_at + group.idempotency_window

    def may_retry(self, query: Query, now: int) -> bool:
        """Returns whether another attempt is harmless and in time; ignores the retry budget."""
        is_harmless = query.ran_at is None or self.groups[query.resource_group].effect != Effect.MUTATING
        if not is_harmless or query.failed_twice or query.attempts >= self.deployment.max_attempts:
            return False
        return now < min(self.start_by(query), self._deadlines.latest_start(query))

    def is_safe_to_reject(self, query: Query, now: int) -> bool:
        """Returns whether the client may retry the query without harm; if not, the query fails.

        After its window, engines no longer know the idempotency key of an attempt that may have run.
        """
        group = self.groups[query.resource_group]
        if query.ran_at is None and not query.in_flight:
            return True
        if group.effect == Effect.IDEMPOTENCY_KEY and group.key_scope == KeyScope.ANY_ENGINE:
            may_have_run_since = query.sent_at if query.ran_at is None else query.ran_at
            return now < may_have_run_since + group.idempotency_window
        return group.effect == Effect.READ_ONLY

    def is_lost(self, query: Query, now: int) -> bool:
        """Returns whether an attempt without progress has run too long: it is lost, hung or badly planned."""
        load_factor = min(max(1.0, self._load.usual_load_factor), MAX_LOST_LOAD_FACTOR)
        expected = load_factor * query.cost / self.groups[query.resource_group].threads
        return (
            not query.fraction_done
            and now - query.sent_at > LOST_RUN_TIME_FACTOR * expected + LOST_OFFSET_TICKS
        )

    def is_runaway(self, query: Query, now: int) -> bool:
        """Returns whether a new attempt would end long before the running one, by the reported progress."""
        fraction = query.fraction_done
        remaining = (now - query.sent_at) * (1 - fraction) / max(fraction, MIN_FRACTION_DONE)
        return (
            remaining > RUNAWAY_RUN_TIME_FACTOR * self._load.expected_run_time(query) + RUNAWAY_OFFSET_TICKS
        )

    def may_replan(self, query: Query, now: int) -> bool:
        """Returns whether a running attempt may be cancelled because it is slow."""
        if query.answered or query.replanned or query.attempts >= self.deployment.max_attempts:
            return False
        is_read_only = self.groups[query.resource_group].effect == Effect.READ_ONLY
        if not (self.deployment.can_cancel and is_read_only and self.budget.is_available(now)):
            return False
        return now + self._load.expected_run_time(query) < query.deadline
