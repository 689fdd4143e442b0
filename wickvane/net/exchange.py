"""The only connection between the client side and the engine side, which are independent of each other.

A session submits a PendingQuery and waits for its answer. The decider takes messages from the inbox and
writes orders into one queue per engine; the engines' thread takes the orders and reports how each attempt
ended. Nothing in this module waits for a peer, and every queue is bounded.
"""

from collections import OrderedDict
from threading import Lock

from wickvane.errors import RequestRejected
from wickvane.events import Effect, Ending
from wickvane.net.input_tracker import InputTracker
from wickvane.net.memory_budget import MemoryBudget
from wickvane.net.queues import BoundedQueue, ReadyQueue
from wickvane.scheduling.memory_limits import MAX_STREAM_SIZE

FINISHED, REJECTED, FAILED, CLIENT_GONE = "finished", "deferred", "killed", "left"
MAX_INBOX_SIZE = 20_000
MAX_IDS_WITHOUT_RESULT = 2_048
MAX_OPEN_QUERIES = 4_000  # above which no query is submitted ahead of its turn in its session
NO_RESULT_MEMORY_TEXT = "no memory is left for its result"
SHUTDOWN_SQLSTATE = "57P03"  # of queries that a dispatcher rejects while it shuts down


class PendingQuery:
    """A query between its session and its engines.

    Fields besides those that the statement reader gives: arrived_at, deadline: in ticks; index: in the
    IdRegistry, -1 until the decider has taken the query; priority: sent to engines, -1 for none; attempt: the
    last one; tried_connections: those on which an attempt was sent; result: the pages or the stream of the
    answer; stage_times: when each stage in the log line was reached, in ticks; error_text: of the engine's
    error; retry_after: sent to the client, in ticks; answer_ready: held until the query has its answer;
    is_submitted: whether the decider was told of it; is_blocked: whether it was submitted while an earlier
    query of its session was in flight; read_lag: ticks from its arrival until it was read, None if it was
    submitted as soon as it was read; submitted_at: in ticks; is_released: whether its session has ended it.
    """

    __slots__ = (
        "id",
        "resource_group",
        "verb",
        "deadline",
        "tenant",
        "token",
        "key",
        "cost",
        "memory",
        "table_group",
        "body",
        "tag",
        "arrived_at",
        "index",
        "attempt_count",
        "priority",
        "attempt",
        "tried_connections",
        "answer",
        "result",
        "answer_ready",
        "stage_times",
        "error_text",
        "retry_after",
        "client_address",
        "session",
        "is_submitted",
        "is_blocked",
        "read_lag",
        "submitted_at",
        "is_released",
    )

    def __init__(self, arrived_at, limit, **fields):
        for name, value in fields.items():
            setattr(self, name, value)
        self.arrived_at, self.deadline = arrived_at, arrived_at + limit
        self.index, self.attempt_count, self.priority, self.attempt, self.tried_connections = (
            -1,
            0,
            -1,
            None,
            [],
        )
        self.answer, self.result, self.stage_times, self.error_text = None, None, {}, ""
        self.retry_after, self.client_address = 0, None
        self.session = None  # knows whether the client is still connected
        self.is_submitted, self.is_blocked, self.is_released = False, False, False
        self.read_lag, self.submitted_at = None, arrived_at
        self.answer_ready = Lock()
        self.answer_ready.acquire()

    def text_to_send(self):
        """Returns the statement, or None if the query has its answer, so that no attempt may start."""
        text = self.body
        return text if self.answer is None else None

    def release_client(self):
        """Discards what only its session needs: timers keep the query up to its deadline."""
        self.body, self.session, self.is_released = b"", None, True
        self.release_attempt()

    def release_attempt(self):
        """Discards the last attempt if nothing needs it any more, so that no reference cycle remains."""
        attempt = self.attempt
        if self.is_released and (attempt is None or attempt.has_ended):
            self.attempt, self.tried_connections = None, []


class Attempt:
    """One attempt of a query on one engine; times are ticks.

    deadline: when the attempt is abandoned; start_by: it is not sent if its first byte has not been written
    by then; written: whether its first byte has been written; pages: of a result in pages, None before the
    first part of the answer; answered_at: when that part was received, 0 before; work, memory: as the engine
    reports them.
    """

    __slots__ = (
        "pending",
        "number",
        "engine",
        "queue",
        "started_at",
        "deadline",
        "start_by",
        "has_ended",
        "written",
        "pages",
        "answered_at",
        "work",
        "memory",
    )

    def __init__(self, pending, number, engine, queue, started_at, deadline, start_by=None):
        self.pending, self.number, self.engine, self.queue = pending, number, engine, queue
        self.started_at, self.deadline, self.has_ended, self.written = started_at, deadline, False, False
        self.start_by = deadline if start_by is None else min(deadline, start_by)
        self.pages, self.answered_at, self.work, self.memory = None, 0, 0, 0


class Exchange:
    """Passes queries and attempts between sessions, the decider and the engines' thread.

    input: knows what has been read by the threads that submit queries and other messages. memory: the
    MemoryBudget of the process.
    """

    def __init__(self, clock, counters, memory=None):
        self.memory = memory or MemoryBudget(clock, counters)
        self.clock, self.counters, self.lock = clock, counters, Lock()
        self.inbox, self.ready_queue = BoundedQueue(MAX_INBOX_SIZE), ReadyQueue()
        self.input = InputTracker(clock, counters, self.inbox.wake)
        self.cancel_keys, self.open_ids, self.next_pid, self.resource_groups = {}, set(), 0, []
        self.ids_without_result = OrderedDict()  # until when each is rejected, in ticks
        self.storm_number = 0  # of the current retry storm; 0: there is none
        self.closed = False

    # Clients

    def submit(self, pending):
        """Passes a session's query to the decider; raises RequestRejected if it is not accepted."""
        with self.lock:
            if self.closed:
                raise RequestRejected(SHUTDOWN_SQLSTATE, "the dispatcher stops; it may be sent again")
            if pending.id in self.open_ids:
                # Not of class 53, which says that a retry is harmless: the open query may be running.
                raise RequestRejected("55000", "a query with this txn is open")
            if self.ids_without_result.get(pending.id, 0) > pending.arrived_at:
                raise RequestRejected("55000", "a query with this txn may have run; its result is not known")
            self.open_ids.add(pending.id)
        pending.submitted_at = self.clock.now()
        if pending.read_lag is None:
            pending.read_lag = pending.submitted_at - pending.arrived_at
        if not self.inbox.put(("taken", pending)):
            with self.lock:
                self.open_ids.discard(pending.id)
            raise RequestRejected("53000", "too much is waiting to be decided on")
        pending.is_submitted = True
        self.counters.add("taken")

    def submit_blocked(self, pending):
        """As submit, for a query that must not run before its session has answered all earlier queries.

        Beyond MAX_OPEN_QUERIES it is rejected, and may be submitted when its turn comes."""
        if len(self.open_ids) >= MAX_OPEN_QUERIES:
            self.counters.add("read-ahead-full")
            raise RequestRejected("53000", "too many queries wait for earlier ones of their sessions")
        pending.is_blocked = True
        self.submit(pending)

    def unblock(self, pending):
        """Tells the decider that the session has answered all queries before a blocked one."""
        self.inbox.put(("unblocked", pending), always=True)

    def close(self):
        """Rejects all further queries, with an error which says that they may be sent again."""
        with self.lock:
            self.closed = True

    def may_start(self, attempt):
        """Whether an attempt may still start; called right before its first byte is written.

        Since it was decided on, it may have waited too long for a connection, or its client may have
        disconnected.
        """
        pending = attempt.pending
        if pending.answer is not None or self.clock.now() >= attempt.start_by:
            return False
        session = pending.session
        if session is not None and session.has_disconnected():
            self.counters.add("clients-gone-before-an-attempt")
            self.abandon(pending)
            return False
        return True

    def abandon(self, pending, answer=CLIENT_GONE):
        """Ends a query without an engine's answer and notifies the decider, unless it already has an answer.

        answer: CLIENT_GONE if the client has gone, FAILED if the query is overdue.
        """
        if self.set_answer(pending, answer):
            self.inbox.put(("left", pending), always=True)

    def add_cancel_key(self, session, secret):
        """Registers a secret; returns the process id with which it cancels the session's query."""
        with self.lock:
            self.next_pid += 1
            pid = self.next_pid & 0x7FFFFFFF
            self.cancel_keys[pid] = (secret, session)
        return pid

    def remove_cancel_key(self, pid):
        """Removes the cancel key of a session that has ended."""
        with self.lock:
            self.cancel_keys.pop(pid, None)

    def cancel(self, pid, secret, arrived_at):
        """Cancels the query of the session with this cancel key. Returns whether there was one.

        arrived_at: when the request arrived, in ticks; a query that arrived earlier may not have been read.
        """
        with self.lock:
            known_secret, session = self.cancel_keys.get(pid, (None, None))
            if known_secret != secret or session is None:
                return False
            pending = session.pending
            if pending is None:
                session.cancelled_until = arrived_at
        if pending is not None:
            self.abandon(pending)
        return pending is not None

    # Answers: a query keeps its first one.

    def set_answer(self, pending, answer, result=None):
        """Gives a query its answer and wakes its session. Returns False if it already has one."""
        with self.lock:
            if pending.answer is not None:
                return False
            pending.answer, pending.result = answer, result
        pending.answer_ready.release()
        return True

    def release_id(self, pending):
        """Lets clients use the query's id again, unless it must not run twice and its result is not known.

        Such an id is rejected until the query's deadline: a client that left and comes again would otherwise
        repeat it unknowingly."""
        groups = self.resource_groups
        is_mutating = bool(groups) and groups[pending.resource_group].effect == Effect.MUTATING
        with self.lock:
            self.open_ids.discard(pending.id)
            if is_mutating and pending.attempt_count and pending.answer in (CLIENT_GONE, FAILED):
                self.ids_without_result[pending.id] = pending.deadline
                if len(self.ids_without_result) > MAX_IDS_WITHOUT_RESULT:
                    self.ids_without_result.popitem(last=False)

    # Engines

    def reserve_result(self, pending, size):
        """Reserves memory for a query's result so far. Returns False if the query already has its answer.

        Without memory it fails, since its client may not read, or many clients at once."""
        session = pending.session
        if pending.answer is not None:
            return False
        if session is None or session.reserve_result(size):
            return True
        self.counters.add("results-without-memory")
        pending.error_text = NO_RESULT_MEMORY_TEXT
        self.abandon(pending, FAILED)
        return False

    def max_stream_size(self):
        """Returns how many octets of a streamed result wait for its client at most."""
        limits = self.memory.limits
        return limits.stream if limits else MAX_STREAM_SIZE

    def start_streaming(self, attempt, stream):
        """Answers with a result that is too long to be buffered, as it comes; no further attempt is possible.

        Returns False if the attempt has ended or the query already has its answer.
        """
        pending = attempt.pending
        with self.lock:
            if attempt.has_ended or pending.answer is not None:
                return False
            pending.answer, pending.result = FINISHED, stream
        pending.answer_ready.release()
        return True

    def end_attempt(self, attempt, ending, elapsed=None, result=None):
        """Records how an attempt ended, once; a complete result becomes the answer if the query has none.

        elapsed: ticks since the start of the attempt; None: up to now.
        """
        pending = attempt.pending
        with self.lock:
            if attempt.has_ended:
                return
            attempt.has_ended, attempt.pages = True, None
            complete = pending.answer is not None
            if ending == Ending.FINISHED and not complete:
                pending.answer, pending.result, complete = FINISHED, result, True
            else:
                result = None
        if elapsed is None:
            elapsed = self.clock.now() - attempt.started_at
        self.inbox.put(("ended", attempt, ending, elapsed, complete), always=True)
        if result is not None:
            pending.answer_ready.release()
