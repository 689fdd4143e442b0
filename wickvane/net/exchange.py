"""Where the client side and the engine side meet, and the only place. Neither knows of the other.

A session puts a PendingQuery in and waits on it. The decider takes what came in from the inbox and writes
orders into queues, one an engine; the engines' thread takes orders from them and brings endings back. Nothing
in here waits on a peer, and every queue in it has its bound.
"""

from threading import Lock

from wickvane.errors import RequestRejected
from wickvane.events import Ending
from wickvane.net.queues import BoundedQueue, ReadyQueue

FINISHED, DEFERRED, KILLED, LEFT = "finished", "deferred", "killed", "left"
INBOX_MOST = 20_000
STOPS = "57P03"  # the SQLSTATE of what a dispatcher that ends does not take


class PendingQuery:
    """A query between its session and its engines."""

    __slots__ = (
        "id",
        "resource_group",
        "verb",
        "limit",
        "tenant",
        "token",
        "key",
        "cost",
        "memory",
        "table_group",
        "body",
        "tag",
        "arrived",
        "q",
        "count",
        "urgency",
        "attempt",
        "asked_on",
        "answer",
        "pages",
        "ready",
        "stages",
        "why",
        "away",
        "source",
        "client",
    )

    def __init__(self, arrived, limit, **read):
        for name, value in read.items():
            setattr(self, name, value)
        self.arrived, self.limit = arrived, arrived + limit
        self.q, self.count, self.urgency, self.attempt, self.asked_on = -1, 0, -1, None, []
        self.answer, self.pages, self.stages, self.why = None, None, {}, ""
        self.away, self.source = 0, None
        self.client = None  # its session, which tells whether the client is still connected
        self.ready = Lock()
        self.ready.acquire()


class Attempt:
    """One attempt. start_by: when its first byte has to be on its way, or it is not sent any more."""

    __slots__ = (
        "pending",
        "number",
        "engine",
        "queue",
        "at",
        "until",
        "start_by",
        "over",
        "written",
        "pages",
        "told",
        "work",
        "memory",
    )

    def __init__(self, pending, number, engine, queue, at, until, start_by=None):
        self.pending, self.number, self.engine, self.queue = pending, number, engine, queue
        self.at, self.until, self.over, self.written = at, until, False, False
        self.start_by = until if start_by is None else min(until, start_by)
        self.pages, self.told, self.work, self.memory = None, 0, 0, 0


class Exchange:
    """Queries and attempts between sessions, the decider and the engines' thread."""

    def __init__(self, clock, counters):
        self.clock, self.counters, self.lock = clock, counters, Lock()
        self.inbox, self.calls = BoundedQueue(INBOX_MOST), ReadyQueue()
        self.cancels, self.open, self.next_pid, self.groups = {}, set(), 0, []
        self.storm = 0  # the number of the retry storm that lasts, 0 for none
        self.closed = False

    # Clients

    def take(self, pending):
        """A session's query, for the decider; RequestRejected where it is not taken."""
        with self.lock:
            if self.closed:
                raise RequestRejected(STOPS, "the dispatcher stops; it may be sent again")
            if pending.id in self.open:
                # Not of class 53: that would tell that trying again is harmless, and the open one may run.
                raise RequestRejected("55000", "a query with this txn is open")
            self.open.add(pending.id)
        if not self.inbox.put(("taken", pending)):
            with self.lock:
                self.open.discard(pending.id)
            raise RequestRejected("53000", "too much is waiting to be decided on")
        self.counters.add("taken")

    def close(self):
        """Takes no query from here on: each is told that it may be sent again."""
        with self.lock:
            self.closed = True

    def may_start(self, attempt):
        """Whether an attempt may still begin, asked right before its first byte is written. What was true
        when it was decided may not be any more: it waited for a connection, or its client has gone."""
        pending = attempt.pending
        if pending.answer is not None or self.clock.now() >= attempt.start_by:
            return False
        if pending.client is not None and pending.client.has_gone():
            self.counters.add("clients-gone-before-an-attempt")
            self.leave(pending)
            return False
        return True

    def leave(self, pending, answer=LEFT):
        """The client has gone: nothing is owed, and the decider hears of it."""
        if self.settle(pending, answer):
            self.inbox.put(("left", pending), always=True)

    def cancel_key(self, session, secret):
        """A new process id under which a session's query can be cancelled with this secret."""
        with self.lock:
            self.next_pid += 1
            pid = self.next_pid & 0x7FFFFFFF
            self.cancels[pid] = (secret, session)
        return pid

    def drop_key(self, pid):
        """The session of this process id has ended."""
        with self.lock:
            self.cancels.pop(pid, None)

    def cancel(self, pid, secret):
        """Takes back the query of a session, by its key; whether there was one."""
        with self.lock:
            known, session = self.cancels.get(pid, (None, None))
            pending = session.pending if known == secret and session else None
        if pending is not None:
            self.leave(pending)
        return pending is not None

    # Answers: the first one stands.

    def settle(self, pending, answer, pages=None):
        """Gives a query its answer; False where it has one already."""
        with self.lock:
            if pending.answer is not None:
                return False
            pending.answer, pending.pages = answer, pages
        pending.ready.release()
        return True

    def forget(self, pending):
        """The query's id may be used again."""
        with self.lock:
            self.open.discard(pending.id)

    # Engines

    def begin(self, attempt, pipe):
        """The result is too long to be gathered: from here on it is the client's, and there is no other
        try."""
        pending = attempt.pending
        with self.lock:
            if attempt.over or pending.answer is not None:
                return False
            pending.answer, pending.pages = FINISHED, pipe
        pending.ready.release()
        return True

    def end(self, attempt, ending, elapsed=None, pages=None):
        """An attempt's one ending; a whole result goes to the client if none has gone there."""
        pending = attempt.pending
        with self.lock:
            if attempt.over:
                return
            attempt.over, attempt.pages = True, None
            complete = pending.answer is not None
            if ending == Ending.FINISHED and not complete:
                pending.answer, pending.pages, complete = FINISHED, pages, True
            else:
                pages = None
        if elapsed is None:
            elapsed = self.clock.now() - attempt.at
        self.inbox.put(("ended", attempt, ending, elapsed, complete), always=True)
        if pages is not None:
            pending.ready.release()
