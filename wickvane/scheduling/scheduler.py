"""One dispatcher's decisions: which query runs on which engine and when, and when it is retried or given up.

wickvane.net (sockets) and wickvane.wirehost (simulator) call it with the events of wickvane.events. Commands
go to the Writer that each round gets. Times are ticks (wickvane.units); work is the time of one thread, in
ticks. docs/design.md explains the mechanisms, each of which is a module of this package.
"""

from collections import Counter, deque
from random import Random
from typing import Any

from wickvane.events import (
    AttemptEnded,
    AttemptProgressed,
    ClientGone,
    Deployment,
    Ending,
    EndpointListLost,
    EngineUpdated,
    InputRead,
    Progress,
    QueryArrived,
    QueryUnblocked,
    ShutdownStarted,
    TimerFired,
    Writer,
)
from wickvane.scheduling.concurrency import ConcurrencyLimits, LoadTracker
from wickvane.scheduling.deadlines import SWEEP_INTERVAL_TICKS, Deadlines, RetryAfter
from wickvane.scheduling.engine_table import EngineChange, EngineTable
from wickvane.scheduling.estimates import TermsPolicy, WorkEstimates
from wickvane.scheduling.fair_queue import FairQueue
from wickvane.scheduling.fleet_hook import FleetHook
from wickvane.scheduling.input_watermark import InputWatermark
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.placement import NO_ENGINE, Placement
from wickvane.scheduling.query import Query
from wickvane.scheduling.retries import MAX_LOST_FRACTION, KeyOrder, RetryPolicy
from wickvane.scheduling.slow_start import SlowStart
from wickvane.units import TICKS_PER_SECOND

IDLE_SWEEP_INTERVAL_TICKS = TICKS_PER_SECOND // 10  # if no query waits
POLL_INTERVAL_TICKS = TICKS_PER_SECOND  # until the endpoint list is requested again after it was lost
ROUND_TIMER = 1  # the token of the only timer
# An attempt on an engine without contact is overdue after this many expected run times plus the offset.
OVERDUE_RUN_TIMES = 3
OVERDUE_OFFSET_TICKS = TICKS_PER_SECOND // 2
MAX_PAUSE_TICKS = 2 * TICKS_PER_SECOND  # an engine process may pause for this long and then continue normally
MIN_WEIGHT = 0.01


class Scheduler:
    """Holds the queries of one dispatcher and the mechanisms that decide on them."""

    def __init__(self, seed: Any, deployment: Deployment) -> None:
        rng = Random(seed)
        self.deployment = deployment
        self.groups = deployment.groups
        self.dispatcher_count = deployment.dispatcher_count
        self.engines = EngineTable()
        self.estimates = WorkEstimates(deployment)
        self.slow_start = SlowStart(deployment, self.engines, rng)
        self.load = LoadTracker(self.engines, self.slow_start, self.estimates)
        self.limits = ConcurrencyLimits(deployment, self.engines, self.slow_start, self.load)
        self.ejection = OutlierEjection(self.groups, self.engines)
        self.placement = Placement(
            deployment, rng, self.estimates, self.slow_start, self.load, self.limits, self.ejection
        )
        self.fair_queue = FairQueue([share for share, _ in deployment.tenants], self.estimates)
        self.deadlines = Deadlines(deployment, self.load)
        self.retries = RetryPolicy(deployment, self.deadlines, self.load)
        self.input = InputWatermark()
        self.keys = KeyOrder(deployment.key_quarantine, self.load, self.input)
        self.retry_after = RetryAfter(deployment.max_retry_after, rng)
        self.terms = TermsPolicy(deployment, self.estimates)
        self.fleet: FleetHook | None = None
        self._queries: dict[int, Query] = {}  # that have no final answer, or have an attempt in flight
        self._running: dict[int, Query] = {}  # that have an attempt in flight
        self._retrying: deque[Query] = deque()  # queries that wait for a retry
        self._blocked: dict[int, Query] = {}  # queries that wait for earlier ones of their client sessions
        self._poll_at = 0 if deployment.subscribes_to_endpoints else None
        self._next_sweep = 0
        self._timer_at: int | None = None
        self._now = 0
        self._writer: Writer | None = None
        self._handlers = {
            QueryArrived: self._add_query,
            AttemptEnded: self._end_attempt,
            ClientGone: self._drop_query,
            TimerFired: lambda event: None,  # the round itself does the work that the timer is for
            AttemptProgressed: self._record_progress,
            EngineUpdated: self._update_engine,
            EndpointListLost: self._schedule_poll,
            ShutdownStarted: self._start_shutdown,
            InputRead: self._advance_input,
            QueryUnblocked: self._unblock_query,
        }

    def join_fleet(self, fleet: FleetHook) -> None:
        """Includes the reports of other dispatchers in the decisions from now on."""
        self.fleet = fleet
        self.placement.fleet = fleet

    def round(self, now: int, events: list, out: Writer) -> None:
        """Handles all events since the last round and decides; writes commands to `out`."""
        self._now = now
        self._writer = out
        self.placement.start_round()
        self.limits.start_round()
        for event in events:
            self._handle(event)
        if self.fleet is not None:
            self.fleet.before_decisions(now)
        self._poll_endpoints()
        is_current = self.input.is_current(now)
        if now >= self._next_sweep:
            self._sweep(is_current)
        if is_current:
            self._release_queries()
            self._release_retries()
        self._set_timer()

    def _handle(self, event: tuple) -> None:
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        else:
            self.fleet.handle(event, self._now)

    def _add_query(self, event: QueryArrived) -> None:
        self.fair_queue.add_tenants_up_to(event.tenant)
        key = event.key if self.groups[event.group].ordered else None
        cost = self.estimates.estimate(event)
        arrived_at = self._now if event.arrived_at is None else event.arrived_at
        query = Query(
            event.query,
            event.group,
            event.tenant,
            event.table_group,
            key,
            cost,
            event.memory,
            arrived_at,
            event.is_blocked,
        )
        is_in_time = self.deadlines.set_on_arrival(query, event.time_left, event.is_retry, self._now)
        self._queries[query.index] = query
        self.retries.budget.record_arrival(self._now)
        turn_at = self._now + self.keys.add(query)
        if not is_in_time or self.deadlines.turn_is_too_late(query, turn_at, self._now):
            self._give_up(query)
        elif query.is_blocked:
            self._blocked[query.index] = query
        else:
            self.fair_queue.add(query)

    def _unblock_query(self, event: QueryUnblocked) -> None:
        query = self._blocked.pop(event.query, None)
        if query is not None:
            query.is_blocked = False
            self.fair_queue.add(query)

    def _advance_input(self, event: InputRead) -> None:
        self.input.advance(event.until, event.took)

    def _drop_query(self, event: ClientGone) -> None:
        query = self._queries.get(event.query)
        if query is not None and not query.answered:
            self._close(query)

    def _give_up(self, query: Query) -> None:
        """Rejects or fails a query, as its final answer."""
        if self.retries.is_safe_to_reject(query, self._now):
            queued_cost = self.estimates.overall_mean_cost * len(self.fair_queue)
            self._writer.reject(query.index, self.retry_after.next(query, queued_cost, self._now))
        else:
            self._writer.fail(query.index)
        self._close(query)

    def _close(self, query: Query) -> None:
        """Marks a query as answered, cancels its attempt or removes it from the queue."""
        query.answered = True
        if query.in_flight:
            if self.deployment.can_cancel:
                self._writer.cancel_attempt(query.index, query.attempts - 1)
            return
        self.fair_queue.remove(query)
        self._forget(query)

    def _forget(self, query: Query) -> None:
        self.keys.remove(query)
        self._queries.pop(query.index, None)
        self._blocked.pop(query.index, None)

    def _start_attempt(self, query: Query, engine: int) -> None:
        query.engine = engine
        query.sent_at = self._now
        query.in_flight = True
        query.fraction_done = 0.0
        query.overdue_counted = False
        query.attempts += 1
        self.placement.attempt_started(query, self._now)
        self._running[query.index] = query
        terms = self.terms.terms(query, self._now)
        if terms is not None:
            query.priority, memory_grant = terms
            self._writer.set_terms(query.index, query.priority, memory_grant)
        self._writer.start_attempt(query.index, engine, 0, self.retries.start_by(query))

    def _end_attempt(self, event: AttemptEnded) -> None:
        query = self._queries.get(event.query)
        if query is None or not query.in_flight:
            return
        query.in_flight = False
        self._running.pop(event.query, None)
        self.placement.attempt_ended(query, event.engine, event.ending, self._now)
        self.ejection.record(query, event.engine, event.ending, self._now)
        work = event.work or event.elapsed * self.groups[query.resource_group].threads
        # Corrects the tenant's charge. An attempt that certainly did not run costs nothing.
        true_cost = work if event.ending < Ending.REJECTED else 0
        self.fair_queue.deficits[query.tenant] += query.cost - true_cost
        if event.ending == Ending.FINISHED:
            self._update_estimates(query, event, work)
        elif event.ending == Ending.REJECTED:
            self.limits.attempt_rejected(event.engine, self._now)
        elif event.ending < Ending.REJECTED and query.ran_at is None:
            query.ran_at = query.sent_at
            query.ran_on = query.sent_to
        self.keys.attempt_ended(query, event.ending, self._now)
        query.answered = query.answered or event.complete or event.ending == Ending.FINISHED
        if query.answered:
            self._forget(query)
        elif not self.retries.may_retry(query, self._now) or self._now >= query.deadline:
            self._give_up(query)
        else:
            self._retrying.append(query)

    def _update_estimates(self, query: Query, event: AttemptEnded, work: float) -> None:
        slowdown = self.load.slowdown(query, event.elapsed, event.work)
        self.limits.attempt_finished(event.engine)
        self.load.observe(event.engine, slowdown, event.report, query.overdue_counted, self._now)
        self.limits.adapt(self._now)
        self.estimates.observe(query.resource_group, event.work)
        self.terms.observe_memory(query, event.memory)
        self.retry_after.record_work(work, self._now)

    def _record_progress(self, event: AttemptProgressed) -> None:
        query = self._queries.get(event.query)
        if query is None or not query.in_flight or query.answered:
            return
        self.engines.last_contact_at[event.engine] = self._now
        if event.metric == Progress.FRACTION_DONE:
            query.fraction_done = event.amount
            if self.retries.is_runaway(query, self._now):
                self._replan([query])

    def _replan(self, queries: list[Query]) -> None:
        """Cancels slow attempts, so that the queries are retried on other engines."""
        for query in queries:
            if self.retries.may_replan(query, self._now):
                self._writer.cancel_attempt(query.index, query.attempts - 1)
                query.replanned = True

    def _update_engine(self, event: EngineUpdated) -> None:
        change = self.engines.update(event, self._cores(event), self._now)
        if change != EngineChange.ENTRY:
            self.ejection.engine_started(event.engine)
        if change == EngineChange.IDENTITY:
            self.placement.engines_changed()
        self.ejection.invalidate()

    def _cores(self, event: EngineUpdated) -> float:
        by_kind = self.deployment.cores
        cores = by_kind[event.kind] if event.kind < len(by_kind) else 1
        if not self.deployment.uses_engine_weights:
            return cores
        return cores * max(MIN_WEIGHT, min(1.0, event.weight))

    def _schedule_poll(self, event: EndpointListLost) -> None:
        self._poll_at = self._now + POLL_INTERVAL_TICKS

    def _poll_endpoints(self) -> None:
        if self._poll_at is not None and self._now >= self._poll_at:
            self._poll_at = None
            self._writer.watch_endpoints(True)

    def _start_shutdown(self, event: ShutdownStarted) -> None:
        self.deadlines.start_shutdown(event.time_left, self._now)
        for query in self._queries.values():
            self.deadlines.limit_to_shutdown(query)

    def _set_timer(self) -> None:
        waiting = self.fair_queue.active or self._retrying or self._blocked
        if not waiting and not self._running and not self._poll_at:
            return
        # A timer that was set while no query waited is too late for one that waits now, and may expire after
        # a deadline.
        at = self._now + (SWEEP_INTERVAL_TICKS if waiting else IDLE_SWEEP_INTERVAL_TICKS)
        deadlines = (query.deadline for query in self._running.values() if not query.answered)
        at = min(at, max(min(deadlines, default=at), self._next_sweep, self._now + 1))
        if self._timer_at is None or self._timer_at <= self._now or self._timer_at > at:
            self._timer_at = at
            self._writer.set_timer(ROUND_TIMER, at)

    def _sweep(self, is_current: bool) -> None:
        """Checks all waiting and running queries.

        is_current: whether the answers that have arrived are known, so that silence can be judged.
        """
        self._next_sweep = self._now + SWEEP_INTERVAL_TICKS
        self.ejection.invalidate()
        self.retries.budget.is_available(self._now)  # drops old entries even if no query is retried
        for query in self.fair_queue.expired(self._now) + self._expired_blocked():
            self._give_up(query)
        self.keys.end_quarantines(self._now)
        self._check_running(is_current)

    def _check_running(self, is_current: bool) -> None:
        """Gives up running queries at their deadlines; replans lost ones and ejects silent engines."""
        lost = []
        overdue: Counter[int] = Counter()
        for query in list(self._running.values()):
            if is_current and self.load.observe_running(query, self._now):
                self.limits.decrease(self._now)
            if query.answered:
                continue
            if self.deadlines.must_answer_now(query, self._now):
                self._give_up(query)
                continue
            if not is_current:
                continue
            if self._is_overdue(query):
                overdue[query.engine] += 1
            if self.retries.is_lost(query, self._now):
                lost.append(query)
        if len(lost) <= MAX_LOST_FRACTION * len(self._running) + 1:
            self._replan(lost)
        for engine in self.ejection.eject_silent(overdue, self._now):
            self._replan([query for query in self._running.values() if query.engine == engine])

    def _expired_blocked(self) -> list[Query]:
        return [query for query in self._blocked.values() if self._now >= query.queue_until]

    def _is_overdue(self, query: Query) -> bool:
        """Returns whether an attempt is overdue on an engine without contact since the attempt started.

        Gives up queries behind it that would be too late if it runs until its deadline.
        """
        elapsed = self._now - query.sent_at
        overdue = elapsed - OVERDUE_RUN_TIMES * self.load.expected_run_time(query)
        if overdue <= OVERDUE_OFFSET_TICKS or self.engines.last_contact_at[query.engine] >= query.sent_at:
            return False
        if overdue > MAX_PAUSE_TICKS:
            # An engine that doesn't respond may block the query, and its key, until the deadline.
            for waiting in self.keys.too_late_behind(query, self.deadlines, self._now):
                self._give_up(waiting)
        return True

    def _find_engine(self, query: Query) -> int:
        if not self.keys.is_turn_of(query, self._now):
            return NO_ENGINE
        return self.placement.choose(query, self._now)

    def _release_queries(self) -> None:
        self.fair_queue.release(self._find_engine, self._start_attempt)
        # Limits apply while queries wait; otherwise the first idle engine would get the entire queue at once.
        self.limits.backlogged = bool(self.fair_queue.active)

    def _release_retries(self) -> None:
        for _ in range(len(self._retrying)):
            query = self._retrying.popleft()
            if query.answered:
                continue
            if not self.retries.may_retry(query, self._now):
                self._give_up(query)
                continue
            is_allowed = self.retries.budget.is_available(self._now)
            engine = self.placement.choose(query, self._now) if is_allowed else NO_ENGINE
            if engine < 0:
                self._retrying.append(query)
                continue
            self.retries.budget.record_retry(self._now)
            self.fair_queue.deficits[query.tenant] -= query.cost
            self._start_attempt(query, engine)
