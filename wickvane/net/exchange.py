"""Where the client side and the engine side meet, and the only place. Neither knows of the other.

A session puts a Ticket in and waits on it. The decider takes what came in from the inbox and writes orders
into lanes, one an engine; the keeper takes orders from the lanes and brings endings back. Nothing in here
waits on a peer, and every line in it has its bound.
"""

import os
from collections import deque
from threading import Condition, Lock

from wickvane import interface as i

FINISHED, DEFERRED, KILLED, LEFT = "finished", "deferred", "killed", "left"
INBOX_MOST, LANE_MOST = 20_000, 4_000
STOPS = "57P03"  # the SQLSTATE of what a dispatcher that ends does not take


class NotTaken(Exception):
    def __init__(self, sqlstate, text):
        super().__init__(text)
        self.sqlstate, self.text = sqlstate, text


class Line:
    """A bounded line between threads, emptied as a whole."""

    def __init__(self, most):
        self.items, self.most, self.more = deque(), most, Condition(Lock())

    def put(self, item, always=False):
        with self.more:
            if len(self.items) >= self.most and not always:
                return False
            self.items.append(item)
            self.more.notify()
        return True

    def take(self, seconds):
        with self.more:
            if not self.items and seconds > 0:
                self.more.wait(seconds)
            items, self.items = self.items, deque()
        return items


class Ticket:
    """A query between its session and its engines."""

    __slots__ = (
        "id", "rg", "verb", "limit", "tenant", "token", "key", "cost", "memory", "coord", "body", "tag",
        "arrived", "q", "count", "urgency", "submission", "asked_on", "answer", "pages", "ready", "stages",
        "why", "away", "source", "client",
    )

    def __init__(self, arrived, limit, **read):
        for name, value in read.items():
            setattr(self, name, value)
        self.arrived, self.limit = arrived, arrived + limit
        self.q, self.count, self.urgency, self.submission, self.asked_on = -1, 0, -1, None, []
        self.answer, self.pages, self.stages, self.why = None, None, {}, ""
        self.away, self.source = 0, None
        self.client = None  # its session, which tells whether the client is still connected
        self.ready = Lock()
        self.ready.acquire()


class Submission:
    """One attempt. start_by: when its first byte has to be on its way, or it is not sent any more."""

    __slots__ = ("ticket", "number", "engine", "lane", "at", "until", "start_by", "over", "written", "pages",
                 "told", "work", "memory")

    def __init__(self, ticket, number, engine, lane, at, until, start_by=None):
        self.ticket, self.number, self.engine, self.lane = ticket, number, engine, lane
        self.at, self.until, self.over, self.written = at, until, False, False
        self.start_by = until if start_by is None else min(until, start_by)
        self.pages, self.told, self.work, self.memory = None, 0, 0, 0


class Bell:
    """Wakes the one thread that waits on descriptors, this one's among them; costs nothing while it is awake.

    That thread says that it is about to sleep before it looks for what came last, and who rings has put down
    what it rings for: one of the two sees the other's."""

    def __init__(self):
        self.heard, self.rung = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.asleep = False

    def ring(self):
        if self.asleep:
            self.asleep = False
            try:
                os.write(self.rung, b"\0")
            except BlockingIOError:
                pass  # full of rings that nobody heard yet

    def hear(self):
        try:
            os.read(self.heard, 512)
        except BlockingIOError:
            pass


class Calls:
    """Whom the keeper of engines has to see to: lanes with orders, connections that want a look."""

    def __init__(self):
        self.items, self.bell = deque(), Bell()

    def put(self, item):
        self.items.append(item)
        self.bell.ring()


class Lane(Line):
    """The orders for one engine process, and where it listens. speaks: None for the line protocol, else what
    its connections are made by. Nobody waits on a lane: it calls when it begins to hold something."""

    def __init__(self, name, address, started, speaks=None, calls=None):
        super().__init__(LANE_MOST)
        self.name, self.address, self.started, self.speaks = name, address, started, speaks
        self.calls, self.link = calls, None
        self.gone = False  # the engine has left the list

    def put(self, item, always=False):
        with self.more:
            if len(self.items) >= self.most and not always:
                return False
            self.items.append(item)
            first = len(self.items) == 1
        if first and self.calls is not None:
            self.calls.put(self)
        return True


class Pipe:
    """A long result on its way from an engine's thread to a client's, in bounded memory: the engine's waits
    while the client takes nothing, so that its engine is not read from either."""

    def __init__(self, most):
        self.most, self.size, self.chunks, self.more = most, 0, deque(), Condition(Lock())
        self.ended, self.broken, self.closed = False, False, False

    def put(self, chunk, size):
        """False once nobody reads any more."""
        with self.more:
            while self.size >= self.most and not self.closed:
                self.more.wait(1.0)
            if self.closed:
                return False
            self.chunks.append((chunk, size))
            self.size += size
            self.more.notify_all()
        return True

    def end(self, broken):
        with self.more:
            self.ended, self.broken = True, broken
            self.more.notify_all()

    def take(self, seconds):
        """The next chunk, None at the end, an empty one where none came in time."""
        with self.more:
            if not self.chunks and not self.ended:
                self.more.wait(seconds)
            if self.chunks:
                chunk, size = self.chunks.popleft()
                self.size -= size
                self.more.notify_all()
                return chunk
            return None if self.ended else []

    def close(self):
        with self.more:
            self.closed = True
            self.chunks.clear()
            self.more.notify_all()


class Exchange:
    def __init__(self, clock, counters):
        self.clock, self.counters, self.lock = clock, counters, Lock()
        self.inbox, self.calls = Line(INBOX_MOST), Calls()
        self.cancels, self.open, self.next_pid, self.groups = {}, set(), 0, []
        self.storm = 0  # the number of the retry storm that lasts, 0 for none
        self.closed = False

    # Clients

    def take(self, ticket):
        with self.lock:
            if self.closed:
                raise NotTaken(STOPS, "the dispatcher stops; it may be sent again")
            if ticket.id in self.open:
                # Not of class 53: that would tell that trying again is harmless, and the open one may run.
                raise NotTaken("55000", "a query with this txn is open")
            self.open.add(ticket.id)
        if not self.inbox.put(("taken", ticket)):
            with self.lock:
                self.open.discard(ticket.id)
            raise NotTaken("53000", "too much is waiting to be decided on")
        self.counters.add("taken")

    def close(self):
        """Takes no query from here on: each is told that it may be sent again."""
        with self.lock:
            self.closed = True

    def may_start(self, submission):
        """Whether an attempt may still begin, asked right before its first byte is written. What was true
        when it was decided may not be any more: it waited for a connection, or its client has gone."""
        ticket = submission.ticket
        if ticket.answer is not None or self.clock.now() >= submission.start_by:
            return False
        if ticket.client is not None and ticket.client.has_gone():
            self.counters.add("clients-gone-before-an-attempt")
            self.leave(ticket)
            return False
        return True

    def leave(self, ticket, answer=LEFT):
        if self.settle(ticket, answer):
            self.inbox.put(("left", ticket), always=True)

    def cancel_key(self, session, secret):
        with self.lock:
            self.next_pid += 1
            pid = self.next_pid & 0x7FFFFFFF
            self.cancels[pid] = (secret, session)
        return pid

    def drop_key(self, pid):
        with self.lock:
            self.cancels.pop(pid, None)

    def cancel(self, pid, secret):
        with self.lock:
            known, session = self.cancels.get(pid, (None, None))
            ticket = session.ticket if known == secret and session else None
        if ticket is not None:
            self.leave(ticket)
        return ticket is not None

    # Answers: the first one stands.

    def settle(self, ticket, answer, pages=None):
        with self.lock:
            if ticket.answer is not None:
                return False
            ticket.answer, ticket.pages = answer, pages
        ticket.ready.release()
        return True

    def forget(self, ticket):
        with self.lock:
            self.open.discard(ticket.id)

    # Engines

    def begin(self, submission, pipe):
        """The result is too long to be gathered: from here on it is the client's, and there is no other
        try."""
        ticket = submission.ticket
        with self.lock:
            if submission.over or ticket.answer is not None:
                return False
            ticket.answer, ticket.pages = FINISHED, pipe
        ticket.ready.release()
        return True

    def end(self, submission, ending, elapsed=None, pages=None):
        """A submission's one ending; a whole result goes to the client if none has gone there."""
        ticket = submission.ticket
        with self.lock:
            if submission.over:
                return
            submission.over, submission.pages = True, None
            complete = ticket.answer is not None
            if ending == i.FINISHED and not complete:
                ticket.answer, ticket.pages, complete = FINISHED, pages, True
            else:
                pages = None
        if elapsed is None:
            elapsed = self.clock.now() - submission.at
        self.inbox.put(("ended", submission, ending, elapsed, complete), always=True)
        if pages is not None:
            ticket.ready.release()
