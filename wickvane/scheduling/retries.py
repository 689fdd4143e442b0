"""Retries: which attempt may follow another, the retry budget, replanning, key order and quarantine."""

from collections import deque

from wickvane.events import FOREVER, Deployment, Effect, Ending, KeyScope
from wickvane.scheduling.concurrency import LoadTracker
from wickvane.scheduling.deadlines import Deadlines
from wickvane.scheduling.outlier_ejection import FAILED_TWICE
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

LOST_FACTOR = 4.0  # run time over the expected one, without progress, of an attempt taken for lost
LOST_OFFSET = TICKS_PER_SECOND // 10
LOST_LOAD_FACTOR_MOST = 2.0
LOST_SHARE_MOST = 0.5  # of the running attempts: more at once are a slowness shared by all
RUNAWAY_FACTOR = 3.0  # time still to run over a new attempt's, from which replanning is worth the lost work
RUNAWAY_OFFSET = TICKS_PER_SECOND // 2
FRACTION_LEAST = 0.005
# The ends of the budget's window are cut against this dispatcher: retries count longer than arrivals.
RETRIES_LONGER = 2
ARRIVALS_SHORTER = 4


class RetryBudget:
    """Bounds retries by the arrivals of a sliding window."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.arrivals: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_arrival(self, now: int) -> None:
        """A query has arrived."""
        self.arrivals.append(now)

    def record_retry(self, now: int) -> None:
        """A retry is on its way."""
        self._retries.append(now)

    def is_available(self, now: int) -> bool:
        """Whether one more retry is allowed; drops what is past the window."""
        window = self.deployment.retry_budget_window
        while self._retries and self._retries[0] < now - window - RETRIES_LONGER:
            self._retries.popleft()
        while self.arrivals and self.arrivals[0] <= now - window + ARRIVALS_SHORTER:
            self.arrivals.popleft()
        most = self.deployment.retry_budget_minimum + self.deployment.retry_budget_ratio * len(self.arrivals)
        return not window or len(self._retries) + 1 <= most


class KeyOrder:
    """Queries of one key run one at a time; after an ending that proves nothing the key is quarantined."""

    def __init__(self, quarantine: int, load: LoadTracker) -> None:
        self.queues: dict[int, deque[Query]] = {}
        self._quarantine = quarantine
        self._quarantined_until: dict[int, int] = {}
        self._load = load

    def add(self, query: Query) -> float:
        """Queues a query behind those of its key; the time that these run, in ticks."""
        if query.key is None:
            return 0
        queue = self.queues.setdefault(query.key, deque())
        time_ahead = sum(self._load.expected_run_time(ahead) for ahead in queue)
        queue.append(query)
        return time_ahead

    def remove(self, query: Query) -> None:
        """A query needs its key no longer."""
        if query.key is not None:
            self.queues[query.key].remove(query)
            if not self.queues[query.key]:
                del self.queues[query.key]

    def is_turn_of(self, query: Query, now: int) -> bool:
        """Whether an attempt of the query may start as far as its key goes."""
        if query.key is None:
            return True
        return self.queues[query.key][0] is query and now >= self._quarantined_until.get(query.key, 0)

    def attempt_ended(self, query: Query, ending: Ending, now: int) -> None:
        """Quarantines the key where the attempt may run on."""
        if query.key is not None and ending in (Ending.NO_ANSWER, Ending.RESET, Ending.CANCELLED):
            self._quarantined_until[query.key] = now + self._quarantine

    def end_quarantines(self, now: int) -> None:
        """Drops the quarantines that are over."""
        self._quarantined_until = {key: at for key, at in self._quarantined_until.items() if now < at}

    def too_late_behind(self, head: Query, deadlines: Deadlines, now: int) -> list[Query]:
        """Queries that are in time only if an attempt on a silent engine ends well before its deadline."""
        if head.key is None:
            return []
        turn_at: float = head.deadline + self._quarantine
        too_late = []
        for query in list(self.queues[head.key])[1:]:
            if deadlines.turn_is_too_late(query, turn_at, now):
                too_late.append(query)
            else:
                turn_at += self._load.expected_run_time(query)
        return too_late


class RetryPolicy:
    """Which attempt may follow another."""

    def __init__(self, deployment: Deployment, deadlines: Deadlines, load: LoadTracker) -> None:
        self.deployment = deployment
        self.groups = deployment.groups
        self.budget = RetryBudget(deployment)
        self._deadlines = deadlines
        self._load = load

    def start_by(self, query: Query) -> int:
        """When the next attempt has to start: an idempotency key is known for its window only."""
        group = self.groups[query.resource_group]
        if query.ran_at is None or group.effect != Effect.IDEMPOTENCY_KEY:
            return FOREVER
        return query.ran_at + group.idempotency_window

    def may_retry(self, query: Query, now: int) -> bool:
        """Whether another attempt is harmless and in time, whatever the budget."""
        harmless = query.ran_at is None or self.groups[query.resource_group].effect != Effect.MUTATING
        if not harmless or query.failed_on == FAILED_TWICE or query.attempts >= self.deployment.max_attempts:
            return False
        return now < min(self.start_by(query), self._deadlines.latest_start(query))

    def is_safe_to_reject(self, query: Query) -> bool:
        """Whether the client may retry a query without harm; else it has failed."""
        group = self.groups[query.resource_group]
        if query.ran_at is None and not query.in_flight:
            return True
        has_key = group.effect == Effect.IDEMPOTENCY_KEY and group.key_scope == KeyScope.ANY_ENGINE
        return group.effect == Effect.READ_ONLY or has_key

    def is_lost(self, query: Query, now: int) -> bool:
        """Whether an attempt without progress runs so long that it is lost, hung or badly planned."""
        load_factor = min(max(1.0, self._load.usual_load_factor), LOST_LOAD_FACTOR_MOST)
        expected = load_factor * query.cost / self.groups[query.resource_group].threads
        return not query.fraction_done and now - query.sent_at > LOST_FACTOR * expected + LOST_OFFSET

    def is_runaway(self, query: Query, now: int) -> bool:
        """Whether a new attempt would end long before the running one, by the progress that it reports."""
        fraction = query.fraction_done
        remaining = (now - query.sent_at) * (1 - fraction) / max(fraction, FRACTION_LEAST)
        return remaining > RUNAWAY_FACTOR * self._load.expected_run_time(query) + RUNAWAY_OFFSET

    def may_replan(self, query: Query, now: int) -> bool:
        """Whether a running attempt may be cancelled for being slow."""
        if query.answered or query.replanned or query.attempts >= self.deployment.max_attempts:
            return False
        is_read_only = self.groups[query.resource_group].effect == Effect.READ_ONLY
        if not (self.deployment.can_cancel and is_read_only and self.budget.is_available(now)):
            return False
        return now + self._load.expected_run_time(query) < query.deadline
