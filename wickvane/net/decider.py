"""The one thread that owns the module: a round for all that came in, its decisions into the exchange."""

import time
import traceback
from heapq import heappop, heappush

from wickvane.events import (
    AttemptEnded,
    ClientGone,
    Ending,
    EngineState,
    QueryArrived,
    ShutdownStarted,
    TimerFired,
)
from wickvane.net.exchange import FAILED, REJECTED, Attempt
from wickvane.net.queues import EngineQueue
from wickvane.scheduling.scheduler import Scheduler

LONGEST_WAIT = 10_000
LATE, SETTLE_S, SETTLES = 250, 0.01, 6
# Queries of one key are written so far apart: where threads are later than that, one may be read too early.
KEY_APART, LAG_FADES = 500, 2
APART = 15  # rounds that follow closer cost more than what comes meanwhile loses by waiting
FAULTS_MOST = 50
OBSERVED = "observed"  # the kind of inbox items that are for the observer


class Decider:
    """Also the writer that the module is handed: what it decides becomes an answer or an order."""

    # An extension's hooks, set before the thread starts: wickvane.quotas.decision_observer.
    observer = None

    def __init__(self, exchange, registry, seed, clock, log, counters, accounts=None, speaks=None):
        self.exchange = exchange
        self.registry = registry
        self.clock = clock
        self.log = log
        self.counters = counters
        self.scheduler = Scheduler(seed, registry.deployment)
        self.queues, self.alarms, self.events = {}, [], []
        self.now, self.longest, self.faults = clock.now(), 0, 0
        self.lag, self.lag_at, self.held, self.accounts = 0, self.now, [], accounts
        self.speaks = speaks or {}  # by kind: what connections to engines of that kind are made by

    def run(self):
        """The thread: waits for something to decide on, for good."""
        while True:
            now = self.clock.now()
            until = min(self.alarms[0][0], now + LONGEST_WAIT) if self.alarms else now + LONGEST_WAIT
            items = self.exchange.inbox.take((until - now) / 10_000)
            apart = self.now + APART - self.clock.now()
            if apart > 0:
                time.sleep(apart / 10_000)
                items.extend(self.exchange.inbox.take(0))
            self.round(self.gather(items))
            if self.observer is not None:
                self.observer.round_finished(self.now)

    def gather(self, items):
        """After a standstill of the whole process, what came meanwhile is read by threads that wake in any
        order: without them all, a key's order could be turned, and engines judged whose answers are in."""
        now = self.clock.now()
        late = max((now - item[1].arrived_at for item in items if item[0] == "taken"), default=0)
        if self.alarms:
            late = max(late, now - self.alarms[0][0])
        for _ in range(SETTLES if late > LATE else 0):
            more = self.exchange.inbox.take(SETTLE_S)
            if not more:
                break
            items.extend(more)
        return items

    def round(self, items):
        """One round of the module for all that came in."""
        # The module is told a time at which all that it hears of had happened.
        began = self.now = max(self.now, self.clock.now())
        # Which thread woke first says nothing of which query came first: the sockets' own stamps do.
        taken = sorted(
            (item[1] for item in items if item[0] == "taken"), key=lambda pending: pending.arrived_at
        )
        for pending in self.in_turn(taken, began):
            self.taken(pending)
        for kind, *rest in items:
            if kind != "taken":
                getattr(self, self.READERS[kind])(*rest)
        while self.alarms and self.alarms[0][0] <= self.now:
            self.events.append(TimerFired(heappop(self.alarms)[1]))
        events, self.events = self.events, []
        if not events:
            return
        self.decide(iter(events))
        over = [
            self.registry.queries.names[q]
            for q in self.registry.answered_queries
            if not self.registry.open_attempts[q]
        ]
        for name in self.registry.release():
            self.close(name)
        for pending in over:
            self.exchange.release_id(pending)
        self.counters.add("rounds")
        self.longest = max(self.longest, self.clock.now() - began)

    def decide(self, events):
        """One event that the module cannot bear must not take all others' answers with it: what follows it in
        the round is told in a further call, and its own query is answered by its session."""
        try:
            self.scheduler.round(self.now, events, self)
            self.faults = 0
        except Exception as error:
            self.faults += 1
            if self.faults > FAULTS_MOST:
                raise
            at = traceback.extract_tb(error.__traceback__)[-1]
            self.counters.add("faults")
            self.log.line("fault", error=f"{type(error).__name__}: {error}", where=f"{at.name}:{at.lineno}")
            self.set_timer(0, self.now + 100)
            rest = list(events)
            if rest:
                self.decide(iter(rest))

    # What came in

    def in_turn(self, taken, now):
        """Holds back what has a key for as long as queries lately took to be read: under more load than the
        core bears, one that came before it may not have been."""
        faded = self.lag - (now - self.lag_at) // LAG_FADES
        self.lag = max([faded] + [now - pending.arrived_at for pending in taken])
        self.lag_at = now
        for pending in taken:
            if pending.key is None or self.lag <= KEY_APART and not self.held:
                yield pending
            else:
                self.held.append(pending)
        self.held.sort(key=lambda pending: pending.arrived_at)
        while self.held and now >= self.held[0].arrived_at + self.lag - KEY_APART:
            pending = self.held.pop(0)
            if pending.answer is None:
                yield pending
            else:
                self.exchange.release_id(pending)
        if self.held:
            self.set_timer(0, max(now + 1, self.held[0].arrived_at + self.lag - KEY_APART))

    def taken(self, pending, again=False):
        """A query of a client."""
        pending.index = self.registry.add_query(pending)
        pending.stage_times["taken"] = self.now
        self.events.append(
            QueryArrived(
                pending.index,
                pending.resource_group,
                pending.tenant,
                pending.cost,
                pending.memory,
                pending.table_group,
                pending.key,
                max(0, pending.deadline - self.now),
                again,
            )
        )
        if self.observer is not None:
            self.observer.query_accepted(self.now, pending)

    def ended(self, attempt, ending, elapsed, complete):
        """The ending of an attempt."""
        pending = attempt.pending
        self.registry.attempt_ended(pending.index, attempt.queue.name)
        self.events.append(
            AttemptEnded(
                pending.index,
                attempt.number,
                attempt.engine,
                ending,
                elapsed,
                complete,
                attempt.work,
                attempt.memory,
                None,
            )
        )
        if complete:
            self.registry.answered_queries.add(pending.index)
        self.counters.add(f"ending-{ENDINGS[ending]}")
        if self.observer is not None:
            self.observer.attempt_ended(attempt, ending, elapsed)

    def left(self, pending):
        """A client that has gone."""
        registry, q = self.registry, pending.index
        if q >= 0 and q in registry.open_attempts and registry.queries.names[q] is pending:
            self.events.append(ClientGone(q))
            registry.answered_queries.add(q)

    def listed(self, whole, entries):
        """A change of the engine list, or all of it."""
        if whole:
            gone = list(self.registry.remove_missing({entry[0] for entry in entries}))
            self.events.extend(gone)
            for event in gone:
                self.change_queue(event.wire_id.decode(), EngineState.GONE, None, 0)
        for name, address, state, zone, kind, cell, started, weight in entries:
            event = self.registry.update_engine(name, state, zone, kind, cell, started, weight)
            if event:
                self.events.append(event)
                self.change_queue(name, state, address, event.started, self.speaks.get(kind))

    def change_queue(self, name, state, address, started, speaks=None):
        """Opens, drains or replaces the queue of an engine."""
        queue = self.queues.get(name)
        if self.accounts is not None:
            self.accounts.engine_state(name, state)
        if state != EngineState.READY:
            if queue:
                queue.put(("drain",), always=True)
                queue.gone = state == EngineState.GONE
        elif queue is None or queue.gone or queue.address != address:
            # Another process must not be reached over the connections of the one before it at that name or
            # address: where its machine has vanished, they stay open and silent.
            if queue:
                queue.put(("close",), always=True)
            self.queues[name] = EngineQueue(name, address, started, speaks, self.exchange.ready_queue)
        elif started and queue.started != started:
            queue.started = started
            queue.put(("restarted", started), always=True)

    def close(self, name):
        """The queue of an engine that is forgotten."""
        queue = self.queues.pop(name, None)
        if queue:
            queue.put(("close",), always=True)

    def observed(self, message):
        """News of other dispatchers."""
        self.events.extend(self.observer.events_of(message, self.now))

    def stop(self, left):
        """The process may be ended in so long."""
        self.events.append(ShutdownStarted(left))

    # By name, so that who lays more over a decider is asked.
    READERS = {kind: kind for kind in ("ended", "left", "listed", "stop", OBSERVED)}

    # What was decided

    def start_attempt(self, q, engine, max_wait, start_by):
        """Writer: an attempt of a query."""
        pending, name = self.registry.queries.names[q], self.registry.engines.names[engine]
        if self.observer is not None:
            self.observer.attempt_started(name)
        until = min(pending.deadline, self.now + max_wait) if max_wait else pending.deadline
        queue = self.queues.get(name)
        pending.attempt = Attempt(pending, pending.attempt_count, engine, queue, self.now, until, start_by)
        pending.attempt_count += 1
        self.registry.attempt_started(q, name)
        pending.stage_times.setdefault("submitted", self.now)
        self.counters.add("submissions")
        if queue is None or not queue.put(("ask", pending.attempt)):
            self.exchange.end_attempt(pending.attempt, Ending.NOT_SENT)

    def reject(self, q, retry_after):
        """Writer: a query is refused, and may be sent again."""
        pending = self.registry.queries.names[q]
        if self.observer is not None:
            self.observer.query_rejected(pending)
        pending.retry_after = retry_after  # ahead of the answer, which its session may send at once
        self.exchange.set_answer(pending, REJECTED)
        self.registry.answered_queries.add(q)

    def fail(self, q):
        """Writer: a query has failed."""
        pending = self.registry.queries.names[q]
        if self.observer is not None:
            self.observer.query_failed(pending)
        self.exchange.set_answer(pending, FAILED)
        self.registry.answered_queries.add(q)

    def cancel_attempt(self, q, number):
        """Writer: an attempt is given up, if it is the one that is out."""
        attempt = self.registry.queries.names[q].attempt
        if attempt is not None and attempt.number == number and not attempt.has_ended and attempt.queue:
            attempt.queue.put(("quit", attempt), always=True)

    def set_terms(self, q, priority, grant):
        """Writer: a query's priority, which an attempt that is out is told too."""
        pending = self.registry.queries.names[q]
        pending.priority = priority
        attempt = pending.attempt
        if attempt is not None and not attempt.has_ended and attempt.queue:
            attempt.queue.put(("terms", attempt))

    def set_timer(self, token, at):
        """Writer: a round is wanted at a time."""
        heappush(self.alarms, (at, token))

    def watch_endpoints(self, enabled):
        """Writer: the stream is always followed."""
        pass  # the stream is always followed

    def log_note(self, text):
        """Writer: a line for the log."""
        self.log.line("note", text=text)


# The names by which counters show endings.
ENDINGS = {
    Ending.FINISHED: "finished",
    Ending.ERROR: "error",
    Ending.NO_ANSWER: "no-answer",
    Ending.RESET: "reset",
    Ending.CANCELLED: "cancelled",
    Ending.REJECTED: "turned-away",
    Ending.NO_CONNECTION: "no-connection",
    Ending.NOT_SENT: "not-sent",
}
