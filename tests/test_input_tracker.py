"""The watermark of what the process has read, with readers that the tests move step by step."""

import socket

import pytest

from wickvane.net.input_tracker import MAX_READ_WAIT_TICKS, InputReader, InputTracker


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.time = 1_000

    def now(self):
        return self.time


class Counts(dict):
    """Counters."""

    def add(self, name, n=1):
        self[name] = self.get(name, 0) + n


class Reader(InputReader):
    """A reader of one end of a socket pair; each step of its thread is a method."""

    def __init__(self, tracker):
        self.tracker = tracker
        self.sock, self.peer = socket.socketpair()
        self.sock.setblocking(False)
        self.was_read_ahead = 0
        tracker.add(self, self.sock.fileno())

    def wait(self):
        self.tracker.deactivate(self)

    def wake(self):
        self.tracker.activate(self)

    def read(self):
        self.drained_at = self.tracker.clock.now()
        return self.sock.recv(100)

    def read_ahead(self):
        if self.is_busy:
            self.was_read_ahead += 1
            self.read()
        return self.is_busy


class Accepting(Reader):
    """A listener: its input is new readers."""

    accepts_connections = True


@pytest.fixture
def tracker():
    tracker = InputTracker(ManualClock(), Counts(), lambda: progress.append(1))
    progress = tracker.progress = []
    return tracker


def advance(tracker, at):
    tracker.clock.time = at
    return tracker.advance()


def waiting_reader(tracker, kind=Reader):
    reader = kind(tracker)
    reader.wait()
    return reader


def test_the_watermark_is_the_present_if_all_input_is_read(tracker):
    waiting_reader(tracker)
    assert advance(tracker, 2_000) == 2_000
    assert advance(tracker, 3_000) == 3_000


def test_the_watermark_waits_for_input_in_the_kernel_and_for_input_that_is_not_submitted(tracker):
    # Guards against decisions without a query that arrived earlier but is read later.
    reader = waiting_reader(tracker)
    assert advance(tracker, 2_000) == 2_000
    reader.peer.send(b"query")
    assert advance(tracker, 3_000) == 2_000
    tracker.clock.time = 3_100
    reader.wake()
    reader.read()
    assert advance(tracker, 3_200) == 2_000
    assert not tracker.progress
    reader.wait()
    assert tracker.progress == [1]
    assert advance(tracker, 3_300) == 3_300


def test_input_that_arrives_later_does_not_hold_back_the_watermark(tracker):
    # Guards against queries that wait forever because some connection always has new input.
    busy_sender = waiting_reader(tracker)
    busy_sender.peer.send(b"1")
    assert advance(tracker, 2_000) == 0
    target = 2_000
    for at in range(3_000, 9_000, 1_000):
        tracker.clock.time = at
        busy_sender.wake()
        busy_sender.read()
        busy_sender.wait()
        busy_sender.peer.send(b"next")
        assert advance(tracker, at + 500) == target
        target = at + 500


def test_the_watermark_waits_for_connections_that_are_accepted_while_it_waits(tracker):
    # Guards against a query on a new connection that is overtaken by a later one on an open connection.
    listener = waiting_reader(tracker, Accepting)
    listener.peer.send(b"connection")
    assert advance(tracker, 2_000) == 0
    tracker.clock.time = 2_100
    listener.wake()
    session = Reader(tracker)
    session.peer.send(b"query")
    listener.read()
    listener.wait()
    assert advance(tracker, 2_200) == 0
    session.read()
    session.wait()
    assert advance(tracker, 2_300) == 2_300


def test_a_busy_reader_is_read_ahead_and_delays_nothing(tracker):
    # Guards against queries that wait for the answer to a slow query of another session.
    reader = waiting_reader(tracker)
    reader.is_busy = True
    reader.peer.send(b"pipelined")
    assert advance(tracker, 2_000) == 2_000 and reader.was_read_ahead == 1
    assert advance(tracker, 3_000) == 3_000 and reader.was_read_ahead == 1


def test_a_reader_that_becomes_inactive_before_it_is_awaited_is_not_awaited(tracker):
    reader = waiting_reader(tracker)
    reader.peer.send(b"query")

    def read_during_the_poll():
        ready = InputTracker.find_ready(tracker)
        tracker.clock.time += 1
        reader.wake()
        reader.read()
        reader.wait()
        return ready

    tracker.find_ready = read_during_the_poll
    assert advance(tracker, 2_000) == 2_000 and not tracker.awaited


def test_a_reader_that_never_reads_is_counted_and_no_longer_waited_for(tracker):
    # Guards against a thread that hangs and stops the whole dispatcher.
    hung, other = Reader(tracker), waiting_reader(tracker)
    for at in range(2_000, 2_001 + MAX_READ_WAIT_TICKS, 500):
        assert advance(tracker, at) == 0
    at += 1
    assert advance(tracker, at) == at
    assert tracker.counters == {"input-read-late": 1}
    assert advance(tracker, at + 10) == at + 10
    other.peer.send(b"query")
    assert advance(tracker, at + 20) == at + 10
    hung.wait()
    other.wake()
    other.read()
    other.wait()
    assert advance(tracker, at + 30) == at + 30
    hung.wake()
    assert advance(tracker, at + 40) == at + 30  # it counts again once it has read


def test_a_reader_is_not_late_because_the_process_was_suspended(tracker):
    # Guards against queries out of order after a pause that began while the watermark was being found.
    reader = waiting_reader(tracker)
    reader.peer.send(b"query")
    assert advance(tracker, 2_000) == 0
    at = 2_000 + 2 * MAX_READ_WAIT_TICKS
    assert advance(tracker, at) == 0 and not tracker.counters
    reader.wake()
    reader.read()
    reader.wait()
    assert advance(tracker, at + 10) == at + 10


def test_a_reader_that_has_ended_is_not_waited_for(tracker):
    reader = waiting_reader(tracker)
    reader.peer.send(b"query")
    assert advance(tracker, 2_000) == 0
    tracker.remove(reader, reader.sock.fileno())
    reader.sock.close()
    assert advance(tracker, 3_000) == 3_000
