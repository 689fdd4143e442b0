"""The only thread that uses the scheduler: collects messages, runs rounds and carries out decisions."""

import time
import traceback
from heapq import heappop, heappush

from wickvane.events import (
    AttemptEnded,
    ClientGone,
    Ending,
    EngineState,
    InputRead,
    QueryArrived,
    QueryUnblocked,
    ShutdownStarted,
    TimerFired,
)
from wickvane.net.exchange import FAILED, REJECTED, Attempt
from wickvane.net.queues import EngineQueue
from wickvane.scheduling.input_watermark import MAX_UNREAD_AGE_TICKS
from wickvane.scheduling.scheduler import Scheduler

# Times are in ticks (tenths of a millisecond).
MAX_WAIT = 10_000  # for messages
READ_LAG_DECAY_TIME = 2  # in which the read lag decays by one tick
# Rounds at shorter intervals cost more CPU time than messages gain by not waiting.
MIN_ROUND_INTERVAL = 15
MAX_CONSECUTIVE_FAULTS = 50
OBSERVED = "observed"  # kind of the inbox messages for the observer


class Decider:
    """Runs the scheduler, and is its Writer: a decision becomes a query's answer or an order to an engine."""

    # Set by an extension before the thread starts: a wickvane.quotas.decision_observer.DecisionObserver.
    observer = None

    def __init__(self, exchange, registry, seed, clock, log, counters, accounts=None, protocols=None):
        self.exchange = exchange
        self.registry = registry
        self.clock = clock
        self.log = log
        self.counters = counters
        self.scheduler = Scheduler(seed, registry.deployment)
        # The scheduler waits for a watermark from its first round on.
        self.queues, self.timers, self.events = {}, [], [InputRead(0, 0)]
        self.now, self.longest_round, self.consecutive_faults = clock.now(), 0, 0
        # read_until: the watermark that the scheduler was told; ordered_until: the one for which queries with
        # a key wait; read_lag: the maximum time from the arrival of a query until it was taken; it decays.
        self.read_until, self.ordered_until, self.read_lag, self.read_lag_at = 0, 0, 0, self.now
        self.accounts = accounts
        self.protocols = protocols or {}  # by engine type: makes the connections to engines of that type

    def run(self):
        """The thread: runs a round whenever there are messages or a timer is due; never returns."""
        while True:
            now = self.clock.now()
            wait_until = min(self.timers[0][0], now + MAX_WAIT) if self.timers else now + MAX_WAIT
            messages = self.exchange.inbox.take((wait_until - now) / 10_000)
            pause = self.now + MIN_ROUND_INTERVAL - self.clock.now()
            if pause > 0:
                time.sleep(pause / 10_000)
                messages.extend(self.exchange.inbox.take(0))
            self.round(messages)
            if self.observer is not None:
                self.observer.round_finished(self.now)

    def round(self, messages):
        """Runs one round of the scheduler for these messages and for the timers that are due."""
        read_until = self.find_watermark(messages)
        # Every event of a round happened at or before the round's time.
        began = self.now = max(self.now, read_until, self.clock.now())
        self.read_lag = max(0, self.read_lag - (began - self.read_lag_at) // READ_LAG_DECAY_TIME)
        self.read_lag_at = began
        for kind, *fields in messages:
            getattr(self, self.HANDLERS[kind])(*fields)
        while self.timers and self.timers[0][0] <= self.now:
            self.events.append(TimerFired(heappop(self.timers)[1]))
        if read_until > self.read_until and (self.events or self.ordered_until > self.read_until):
            self.events.append(InputRead(read_until, self.exchange.input.took))
            self.read_until = read_until
        events, self.events = self.events, []
        if not events:
            return
        self.decide(iter(events))
        completed = [
            self.registry.queries.names[query]
            for query in self.registry.answered_queries
            if not self.registry.open_attempts[query]
        ]
        for name in self.registry.release():
            self.close_queue(name)
        for pending in completed:
            self.exchange.release_id(pending)
        self.counters.add("rounds")
        self.longest_round = max(self.longest_round, self.clock.now() - began)

    def find_watermark(self, messages):
        """Returns the watermark, and adds all messages that were submitted before it.

        It is found anew if a query waits for it, or before it is so old that decisions would wait for it.
        """
        tracker = self.exchange.input
        is_awaited = self.ordered_until > self.read_until
        is_old = self.clock.now() - tracker.watermark > MAX_UNREAD_AGE_TICKS // 2
        if is_awaited or is_old or any(has_key(message) for message in messages):
            tracker.advance()
            messages.extend(self.exchange.inbox.take(0))
        return tracker.watermark

    def decide(self, events):
        """Passes events to the scheduler; an event that raises an exception must not affect other queries.

        The events after it are passed in a further call, and the query of the failed event gets its answer
        from its session. Raises the exception once there are more than MAX_CONSECUTIVE_FAULTS.
        """
        try:
            self.scheduler.round(self.now, events, self)
            self.consecutive_faults = 0
        except Exception as error:
            self.consecutive_faults += 1
            if self.consecutive_faults > MAX_CONSECUTIVE_FAULTS:
                raise
            frame = traceback.extract_tb(error.__traceback__)[-1]
            self.counters.add("faults")
            self.log.line(
                "fault", error=f"{type(error).__name__}: {error}", where=f"{frame.name}:{frame.lineno}"
            )
            self.set_timer(0, self.now + 100)
            remaining = list(events)
            if remaining:
                self.decide(iter(remaining))

    # Messages from the inbox

    def taken(self, pending, again=False):
        """Handles a new query of a client. again: whether it repeats an earlier one."""
        if pending.answer is not None:
            self.exchange.release_id(pending)  # cancelled before it was taken
            return
        self.read_lag = max(self.read_lag, pending.read_lag + self.now - pending.submitted_at)
        # The kernel tells the arrival in milliseconds. What was not read at the last watermark came later.
        arrived_at = max(pending.arrived_at, self.read_until + 1)
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
                arrived_at,
                pending.is_blocked,
            )
        )
        if pending.key is not None:
            self.ordered_until = max(self.ordered_until, arrived_at)
            if arrived_at > self.exchange.input.watermark:
                self.set_timer(0, self.now + 1)  # it was read after the watermark was found
        if self.observer is not None:
            self.observer.query_accepted(self.now, pending)

    def unblocked(self, pending):
        """Handles that a session has answered all queries before one that was submitted ahead."""
        if self.is_open(pending):
            self.events.append(QueryUnblocked(pending.index))

    def ended(self, attempt, ending, elapsed, complete):
        """Handles the end of an attempt. complete: whether the query has its answer."""
        pending = attempt.pending
        pending.release_attempt()
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
        """Handles a query that was answered by its session or whose client has gone."""
        if self.is_open(pending):
            self.events.append(ClientGone(pending.index))
            self.registry.answered_queries.add(pending.index)

    def is_open(self, pending):
        """Whether a query was taken and still has its index, which is given to others once it is answered."""
        query = pending.index
        is_in_use = query >= 0 and query in self.registry.open_attempts
        return is_in_use and self.registry.queries.names[query] is pending

    def listed(self, is_complete, entries):
        """Handles a change of the endpoint list, or the complete list."""
        if is_complete:
            gone = list(self.registry.remove_missing({entry[0] for entry in entries}))
            self.events.extend(gone)
            for event in gone:
                self.change_queue(event.wire_id.decode(), EngineState.GONE, None, 0)
        for name, address, state, zone, kind, cell, started, weight in entries:
            if not is_complete and state == EngineState.READY and name not in self.queues:
                self.end_predecessor(name, address)
            event = self.registry.update_engine(name, state, zone, kind, cell, started, weight)
            if event:
                self.events.append(event)
                self.change_queue(name, state, address, event.started, self.protocols.get(kind))

    def end_predecessor(self, name, address):
        """Removes the engine that is listed at a new engine's address: its process has gone.

        Attempts for it would reach the new process, which knows nothing of what the former one ran."""
        for former, queue in list(self.queues.items()):
            if queue.address != address or queue.gone or former not in self.registry.listed_engines:
                continue
            self.counters.add("engines-replaced")
            self.log.line("engine-replaced", engine=former, by=name)
            listed = self.registry.listed_engines[former]
            self.events.append(self.registry.update_engine(former, EngineState.GONE, *listed))
            self.change_queue(former, EngineState.GONE, None, 0)

    def change_queue(self, name, state, address, started, protocol=None):
        """Opens, drains or replaces the queue of an engine whose state or address has changed."""
        queue = self.queues.get(name)
        if self.accounts is not None:
            self.accounts.engine_state(name, state)
        if state != EngineState.READY:
            if queue:
                queue.put(("drain",), always=True)
                queue.gone = state == EngineState.GONE
        elif queue is None or queue.gone or queue.address != address:
            # The connections to a former process with this name or address must not be used for its
            # successor: if the former one's machine has vanished, they stay open without any answer.
            if queue:
                queue.put(("close",), always=True)
            self.queues[name] = EngineQueue(name, address, started, protocol, self.exchange.ready_queue)
        elif started and queue.started != started:
            queue.started = started
            queue.put(("restarted", started), always=True)

    def close_queue(self, name):
        """Closes the queue of an engine that the registry has released."""
        queue = self.queues.pop(name, None)
        if queue:
            queue.put(("close",), always=True)

    def observed(self, message):
        """Handles what other dispatchers have published."""
        self.events.extend(self.observer.events_of(message, self.now))

    def stop(self, time_left):
        """Handles the start of a shutdown; the process may be killed after time_left ticks."""
        self.events.append(ShutdownStarted(time_left))

    # Method names by kind of message; looked up with getattr, so that a subclass may override the methods.
    HANDLERS = {kind: kind for kind in ("taken", "unblocked", "ended", "left", "listed", "stop", OBSERVED)}

    # Decisions: the methods of wickvane.events.Writer

    def start_attempt(self, query, engine, max_wait, start_by):
        """Writer: queues an attempt for its engine."""
        pending, name = self.registry.queries.names[query], self.registry.engines.names[engine]
        if self.observer is not None:
            self.observer.attempt_started(name)
        deadline = min(pending.deadline, self.now + max_wait) if max_wait else pending.deadline
        queue = self.queues.get(name)
        attempt = Attempt(pending, pending.attempt_count, engine, queue, self.now, deadline, start_by)
        pending.attempt = attempt
        pending.attempt_count += 1
        self.registry.attempt_started(query, name)
        pending.stage_times.setdefault("submitted", self.now)
        self.counters.add("submissions")
        if queue is None or not queue.put(("ask", attempt)):
            self.exchange.end_attempt(attempt, Ending.NOT_SENT)

    def reject(self, query, retry_after):
        """Writer: answers that the query is rejected and that a retry is harmless."""
        pending = self.registry.queries.names[query]
        if self.observer is not None:
            self.observer.query_rejected(pending)
        pending.retry_after = retry_after  # set before the answer, which the session may send at once
        self.exchange.set_answer(pending, REJECTED)
        self.registry.answered_queries.add(query)

    def fail(self, query):
        """Writer: answers that the query has failed."""
        pending = self.registry.queries.names[query]
        if self.observer is not None:
            self.observer.query_failed(pending)
        self.exchange.set_answer(pending, FAILED)
        self.registry.answered_queries.add(query)

    def cancel_attempt(self, query, number):
        """Writer: cancels an attempt, if it is the query's last one and has not ended."""
        attempt = self.registry.queries.names[query].attempt
        if attempt is not None and attempt.number == number and not attempt.has_ended and attempt.queue:
            attempt.queue.put(("quit", attempt), always=True)

    def set_terms(self, query, priority, memory_grant):
        """Writer: sets a query's priority, also for an attempt in flight; memory_grant is not used."""
        pending = self.registry.queries.names[query]
        pending.priority = priority
        attempt = pending.attempt
        if attempt is not None and not attempt.has_ended and attempt.queue:
            attempt.queue.put(("terms", attempt))

    def set_timer(self, token, at):
        """Writer: requests a round at the time `at`."""
        heappush(self.timers, (at, token))

    def watch_endpoints(self, enabled):
        """Writer: does nothing, since the endpoint list is always subscribed to."""
        pass  # always subscribed

    def log_note(self, text):
        """Writer: logs a note of the scheduler."""
        self.log.line("note", text=text)


def has_key(message):
    """Whether a message is a query whose order of arrival matters."""
    return message[0] == "taken" and message[1].key is not None


# The names of endings in counters.
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
