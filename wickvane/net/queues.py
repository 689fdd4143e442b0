"""The bounded queues between a dispatcher's threads. Nothing in this module waits for a peer."""

import os
from collections import deque
from threading import Condition, Lock

MAX_ORDERS = 4_000  # waiting for one engine


class BoundedQueue:
    """A queue between threads, which is emptied as a whole. `put` returns False if it is full."""

    def __init__(self, max_size):
        self.items, self.max_size, self.not_empty = deque(), max_size, Condition(Lock())
        self.is_woken = False  # whether take() shall return although there are no items

    def put(self, item, always=False):
        """Appends an item. Returns False, without appending, if the queue is full and not `always`."""
        with self.not_empty:
            if len(self.items) >= self.max_size and not always:
                return False
            self.items.append(item)
            self.not_empty.notify()
        return True

    def wake(self):
        """Ends the wait of the present or next take()."""
        with self.not_empty:
            self.is_woken = True
            self.not_empty.notify()

    def take(self, seconds):
        """Removes and returns all items; if there are none, waits for one, wake() or `seconds`."""
        with self.not_empty:
            if not self.items and not self.is_woken and seconds > 0:
                self.not_empty.wait(seconds)
            self.is_woken = False
            items, self.items = self.items, deque()
        return items


class WakeupPipe:
    """Wakes the one thread that waits for descriptors, the pipe's among them; free while it is awake.

    The waiting thread sets `asleep` before it looks for items one last time. A caller of wake() stores its
    item before it reads `asleep`. So either the thread sees the item or the caller sees `asleep`.
    """

    def __init__(self):
        self.read_end, self.write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.asleep = False

    def wake(self):
        """Wakes the waiting thread, if it sleeps."""
        if self.asleep:
            self.asleep = False
            try:
                os.write(self.write_end, b"\0")
            except BlockingIOError:
                pass  # the pipe is full of unread bytes, which wake the thread as well

    def drain(self):
        """Empties the pipe, so that it becomes readable only at the next wake()."""
        try:
            os.read(self.read_end, 512)
        except BlockingIOError:
            pass


class ReadyQueue:
    """The work of the engines' thread: engine queues that have orders, and connections to be checked."""

    def __init__(self):
        self.items, self.wakeup_pipe = deque(), WakeupPipe()

    def put(self, item):
        """Adds an item, from any thread, and wakes the engines' thread."""
        self.items.append(item)
        self.wakeup_pipe.wake()


class EngineQueue(BoundedQueue):
    """The orders for one engine process, and its address.

    No thread waits for this queue: it puts itself into ready_queue when it becomes non-empty. protocol: makes
    the engine's connections; None for the line protocol. link: the ConnectionPool that serves the queue, once
    there is one.
    """

    def __init__(self, name, address, started, protocol=None, ready_queue=None):
        super().__init__(MAX_ORDERS)
        self.name, self.address, self.started, self.protocol = name, address, started, protocol
        self.ready_queue, self.link = ready_queue, None
        self.gone = False  # whether the engine has left the endpoint list

    def put(self, item, always=False):
        """As BoundedQueue.put; queues itself in ready_queue if it was empty."""
        with self.not_empty:
            if len(self.items) >= self.max_size and not always:
                return False
            self.items.append(item)
            was_empty = len(self.items) == 1
        if was_empty and self.ready_queue is not None:
            self.ready_queue.put(self)
        return True


class ResultStream:
    """A long result on its way from an engine's thread to a client's, in bounded memory.

    The engine's thread waits while the client reads nothing, so that the engine is not read from either.
    reserved_size: octets that are reserved for it.
    """

    def __init__(self, max_size, reserved_size=0):
        self.reserved_size = reserved_size
        self.max_size, self.size, self.chunks, self.changed = max_size, 0, deque(), Condition(Lock())
        self.ended, self.broken, self.closed = False, False, False

    def put(self, chunk, size):
        """Appends a chunk, once there is room for it. Returns False if the reader has closed the stream."""
        with self.changed:
            while self.size >= self.max_size and not self.closed:
                self.changed.wait(1.0)
            if self.closed:
                return False
            self.chunks.append((chunk, size))
            self.size += size
            self.changed.notify_all()
        return True

    def end(self, broken):
        """Marks the end of the result. broken: whether the result is incomplete."""
        with self.changed:
            self.ended, self.broken = True, broken
            self.changed.notify_all()

    def take(self, seconds):
        """Returns the next chunk, None at the end, or an empty chunk if none arrives within `seconds`."""
        with self.changed:
            if not self.chunks and not self.ended:
                self.changed.wait(seconds)
            if self.chunks:
                chunk, size = self.chunks.popleft()
                self.size -= size
                self.changed.notify_all()
                return chunk
            return None if self.ended else []

    def close(self):
        """Closes the stream for its reader; further chunks are dropped."""
        with self.changed:
            self.closed = True
            self.chunks.clear()
            self.changed.notify_all()
