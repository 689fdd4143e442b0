"""The queues between the dispatcher's threads, each with its bound. Nothing in here waits on a peer."""

import os
from collections import deque
from threading import Condition, Lock

ORDERS_MOST = 4_000  # that wait for one engine


class BoundedQueue:
    """Between threads; at its bound `put` says no. Emptied as a whole."""

    def __init__(self, most):
        self.items, self.most, self.more = deque(), most, Condition(Lock())

    def put(self, item, always=False):
        """False at the bound, unless `always`."""
        with self.more:
            if len(self.items) >= self.most and not always:
                return False
            self.items.append(item)
            self.more.notify()
        return True

    def take(self, seconds):
        """All that is held, waited for so long where nothing is."""
        with self.more:
            if not self.items and seconds > 0:
                self.more.wait(seconds)
            items, self.items = self.items, deque()
        return items


class WakeupPipe:
    """Wakes the one thread that waits on descriptors, this one's among them; costs nothing while it is awake.

    That thread says that it is about to sleep before it looks for what came last, and who rings has put down
    what it rings for: one of the two sees the other's."""

    def __init__(self):
        self.heard, self.rung = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.asleep = False

    def ring(self):
        """Wakes the thread that waits, if it does."""
        if self.asleep:
            self.asleep = False
            try:
                os.write(self.rung, b"\0")
            except BlockingIOError:
                pass  # full of rings that nobody heard yet

    def hear(self):
        """Empties the pipe, so that the next ring is heard."""
        try:
            os.read(self.heard, 512)
        except BlockingIOError:
            pass


class ReadyQueue:
    """What the engines' thread has to see to: queues with orders, connections that want a look."""

    def __init__(self):
        self.items, self.bell = deque(), WakeupPipe()

    def put(self, item):
        """Something to see to, from any thread."""
        self.items.append(item)
        self.bell.ring()


class EngineQueue(BoundedQueue):
    """The orders for one engine process, and where it listens. speaks: None for the line protocol, else what
    its connections are made by. Nobody waits on it: it calls when it begins to hold something."""

    def __init__(self, name, address, started, speaks=None, calls=None):
        super().__init__(ORDERS_MOST)
        self.name, self.address, self.started, self.speaks = name, address, started, speaks
        self.calls, self.link = calls, None
        self.gone = False  # the engine has left the list

    def put(self, item, always=False):
        """As BoundedQueue, but calls where nothing was held."""
        with self.more:
            if len(self.items) >= self.most and not always:
                return False
            self.items.append(item)
            first = len(self.items) == 1
        if first and self.calls is not None:
            self.calls.put(self)
        return True


class ResultStream:
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
        """Nothing more comes; broken: the result is not whole."""
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
        """Nobody reads any more."""
        with self.more:
            self.closed = True
            self.chunks.clear()
            self.more.notify_all()
