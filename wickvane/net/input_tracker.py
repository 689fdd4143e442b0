"""Knows up to which time all input of the process has been read, whichever thread reads it.

Each connection is read by its own thread, and threads wake in any order: after a pause of the process, a
query may be read before an earlier one, before the CancelRequest that withdraws it, or before the change of
the endpoint list that drains its engine. Decisions that depend on what arrived before a moment therefore wait
until the watermark, as in stream processing, has passed that moment: everything that arrived up to the
watermark has been read and submitted.

The watermark is found without clocks of peers and without waiting for silence. An InputReader is active from
before it reads until everything that it has read is submitted. Input that arrived before a check is hence
either still in the kernel, which poll() shows, or held by an active reader, or submitted.
"""

import select
from threading import Lock

MAX_READ_WAIT_TICKS = 20_000  # after which a reader that has not read its input no longer holds the watermark
MAX_COUNTED_GAP_TICKS = (
    500  # between two checks; a longer one is a pause of the process, when no reader could read
)


class InputReader:
    """A thread that reads input from one descriptor.

    drained_at: a time, in ticks, at which it had read all of its input. accepts_connections: whether its
    input is connections, each of which gets a reader of its own. is_busy: its thread waits for something
    other than input, such as the answer to a query; read_ahead() then reads in its place.
    """

    drained_at = 0
    accepts_connections = False
    is_busy = False

    def read_ahead(self):
        """Reads and submits what has arrived while the reader is busy, in the calling thread.

        Returns False, without reading, if the reader is not busy any more.
        """
        return True


class UntrackedInput:
    """Stands in for an InputTracker in programs that decide on nothing."""

    def add(self, reader, descriptor):
        """Does nothing."""

    def remove(self, reader, descriptor):
        """Does nothing."""

    def activate(self, reader):
        """Does nothing."""

    def deactivate(self, reader):
        """Does nothing."""


class InputTracker:
    """Tracks which readers may have input that is not submitted yet.

    on_progress is called, by a reader's thread, when the watermark may be able to advance.
    """

    def __init__(self, clock, counters, on_progress):
        self.clock, self.counters, self.on_progress = clock, counters, on_progress
        self.epoll, self.lock = select.epoll(), Lock()
        self.readers = {}  # by descriptor
        self.active = set()
        self.watermark, self.took = 0, 0  # in ticks; took: how long it took to read what arrived until then
        # The readers that must read for the watermark to advance to `target`, and those for which it has
        # waited in vain. Readers remove themselves from `awaited`; only the decider's thread replaces it.
        self.awaited, self.target, self.late = set(), 0, set()
        self.waited, self.checked_at = (
            0,
            0,
        )  # ticks for which the target was waited for; time of the last check

    # Called by readers, from any thread

    def add(self, reader, descriptor):
        """Watches a reader, which is active from now on."""
        self.active.add(reader)
        awaited = self.awaited
        if any(one.accepts_connections for one in awaited.copy()):
            awaited.add(reader)  # it may have connected before the target, with a query
        with self.lock:
            self.readers[descriptor] = reader
            self.epoll.register(descriptor, select.EPOLLIN)

    def remove(self, reader, descriptor):
        """Stops watching a reader; must be called before its descriptor is closed."""
        with self.lock:
            if self.readers.get(descriptor) is reader:
                del self.readers[descriptor]
                try:
                    self.epoll.unregister(descriptor)
                except OSError:
                    pass  # the descriptor is closed already
        self.deactivate(reader)

    def activate(self, reader):
        """Notes that a reader is about to read."""
        self.active.add(reader)

    def deactivate(self, reader):
        """Notes that a reader has submitted all that it has read, and is about to wait."""
        self.active.discard(reader)
        awaited = self.awaited
        if reader not in awaited:
            return
        if reader.drained_at >= self.target:
            awaited.discard(reader)
            if awaited:
                return
        self.on_progress()

    # Called by the decider's thread

    def advance(self):
        """Returns the watermark: the time up to which all input has been read and submitted, in ticks.

        What has been submitted must be collected after this call.
        """
        now = self.clock.now()
        self.waited += min(now - self.checked_at, MAX_COUNTED_GAP_TICKS)
        self.checked_at = now
        ready = self.find_ready()
        # Copied after the poll: a reader is active before it takes input away from the poll.
        unread = ready | self.active
        self.late &= unread
        if not unread:
            self.watermark, self.target, self.took = now, now, 0
            return now
        if self.target > self.watermark:
            self.update_awaited(ready, now)
        if self.target <= self.watermark:
            self.target, self.awaited, self.waited = now, unread - self.late, 0
            # Readers that became inactive before they were awaited have not removed themselves.
            self.update_awaited(ready, now)
        return self.watermark

    def find_ready(self):
        """Returns the readers whose input waits in the kernel; for busy ones, it is read here instead."""
        ready = set()
        for descriptor, _ in self.epoll.poll(0):
            reader = self.readers.get(descriptor)
            if reader is not None and not (reader.is_busy and reader.read_ahead()):
                ready.add(reader)
        return ready

    def update_awaited(self, ready, now):
        """Advances the watermark to the target if all input that arrived before the target has been read."""
        for reader in self.awaited.copy():
            if reader not in self.active and (reader not in ready or reader.drained_at >= self.target):
                self.awaited.discard(reader)
        if self.awaited and self.waited > MAX_READ_WAIT_TICKS:
            self.counters.add("input-read-late", len(self.awaited))
            self.late |= self.awaited
            self.awaited = set()
        if not self.awaited:
            self.watermark, self.took = self.target, now - self.target
