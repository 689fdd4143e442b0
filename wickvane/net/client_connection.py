"""A client's connection: reading and writing within time limits, and what the input tracker needs to know."""

import select
import socket
import time
from struct import error as StructError
from struct import unpack_from
from threading import Lock

from wickvane.net.counters import FORWARD, NOBODY, REVERSE
from wickvane.net.input_tracker import InputReader
from wickvane.scheduling.memory_limits import input_size

WRITE_TIMEOUT_S, LAST_WRITE_TIMEOUT_S = 5.0, 1.0
RECEIVE_SIZE = 8_192  # octets per recv(): the buffer is allocated in each of many threads
# Limits for all input that is read and discarded after the last message to a client.
DISCARD_INPUT_S, MAX_DISCARDED_OCTETS = 0.25, 1 << 20
END_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL
DISCONNECT_EVENTS = select.POLLRDHUP | END_EVENTS
LAST_DATA_RECV_OFFSET = 52  # of tcpi_last_data_recv in struct tcp_info: milliseconds since data last arrived
MAX_JIFFY_TICKS = 100  # the error of a time of arrival, which the kernel counts in jiffies
MAX_CLOCK_GAP_TICKS = 20  # between two readings of the clock; more if the process was suspended between them
MAX_CLOCK_READINGS = 8


def poll_until(poll, until):
    """Waits for an event of the poll, or `until` (time.monotonic()); returns the events."""
    return poll.poll(max(0, until - time.monotonic()) * 1000)


class Ended(Exception):
    """Raised to end a session.

    reason: the code that is logged and counted; last: the last message to the client; detail: for the log."""

    def __init__(self, reason, last=b"", detail=None):
        super().__init__(reason)
        self.reason, self.last, self.detail = reason, last, detail


class ClientConnection(InputReader):
    """A connection that one thread reads and writes, without blocking for longer than the given times.

    buffer: octets received and not consumed; received, sent: numbers of octets; accounted: of those received,
    how many are counted for a resource group and tenant; queries: served so far; is_evicted: whether it is
    closed to make room. It is busy, as an InputReader, while the client does not read what is sent.
    """

    TOO_MANY = b""  # the message to a client that must leave since there are too many
    octets_ahead = 0  # received octets of messages that were read ahead of their turn
    query_size = 0  # octets that are counted for the text of the query in flight
    stream_size = 0  # octets that are reserved for a streamed result, beside what of it is being sent
    first_query_deadline = float("inf")  # time.monotonic() by which the first query must be complete

    def __init__(self, sock, service):
        self.sock, self.clock, self.stop_descriptor = sock, service.clock, service.stop_descriptor
        self.accounts, self.account = service.accounts, None
        self.input, self.input_lock = service.exchange.input, Lock()  # input_lock: of is_busy and read-ahead
        self.buffer, self.queries, self.is_evicted = bytearray(), 0, False
        self.received = self.accounted = self.sent = 0
        self.last_arrival = 0  # in ticks
        self.is_input_shut = False  # whether the input was ended by shut_down()
        self.has_ended = False  # whether nothing that arrives is served any more
        # Reserved for input and queries, and for results; is_out_of_memory: whether one of them was evicted.
        self.memory = service.memory.lease(self.evict_input)
        self.result_memory = service.memory.lease(self.evict_output)
        self.is_out_of_memory = False
        # Since when the rest of a message is awaited, in ticks; 0 if it is not. Whether that wait was ended.
        self.message_since, self.is_stalled_out = 0, False
        self.output_since = 0  # since when the client has not read what is sent, in ticks; 0 if it has
        self.has_unread = False  # whether the last recv() left input in the kernel, or poll() showed some
        self.input_poll = select.poll()
        self.input_poll.register(sock, select.POLLIN)

    # Writing

    def put(self, data, key=NOBODY, messages=1, answer_index=0, timeout_s=None):
        """Sends all data within `timeout_s`, by default WRITE_TIMEOUT_S; raises TimeoutError.

        Each octet that the kernel accepted is counted. Raises Ended if there is no memory for the rest.

        key: the resource group and tenant that the data is counted for; answer_index: one of the values of
        counters.ANSWERS, counted if all data is sent; 0 for none."""
        sent = 0
        try:
            sent = self.send_available(data)
            if sent < len(data):
                if not self.result_memory.reserve(self.stream_size + len(data)):
                    raise Ended("out-of-memory")  # no error that allows a retry: the query may have run
                rest = memoryview(data)
                until = time.monotonic() + (timeout_s or WRITE_TIMEOUT_S)
                self.output_since = self.clock.now()
            while sent < len(data):
                self.await_output(until)
                sent += self.send_available(rest[sent:])
        finally:
            self.output_since = 0
            self.sent += sent
            if self.account is not None and sent:
                self.accounts.count(
                    self.account,
                    key,
                    self.clock.now(),
                    REVERSE,
                    sent,
                    messages,
                    answer_index if sent == len(data) else 0,
                )

    def send_available(self, data):
        """Sends as much as the kernel accepts now; returns the number of octets."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0

    def await_output(self, until):
        """Waits until the client has read some of what was sent; raises TimeoutError."""
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        becomes_busy = not self.is_busy
        if becomes_busy:
            self.begin_busy()
        try:
            self.result_memory.begin_wait()
            is_ready = poll_until(poll, until)
            self.result_memory.end_wait()
            if self.is_out_of_memory or self.is_stalled_out:
                raise Ended("out-of-memory" if self.is_out_of_memory else "made-room")
            if not is_ready:
                raise TimeoutError
        finally:
            if becomes_busy:
                self.end_busy()

    def send_last_message(self, last):
        """Sends the last message, then discards input until the client closes or a limit is reached."""
        try:
            self.put(last, timeout_s=LAST_WRITE_TIMEOUT_S)
            self.sock.shutdown(socket.SHUT_WR)
            # A close with unread input sends a reset, which can reach the client before the last message.
            until, limit = time.monotonic() + DISCARD_INPUT_S, self.received + MAX_DISCARDED_OCTETS
            while self.received < limit and poll_until(self.input_poll, until):
                data = self.sock.recv(65_536)
                if not data:
                    break
                self.received += len(data)
        except (OSError, Ended):
            pass

    # Reading

    def fill_buffer(self, n, until):
        """Reads until the buffer holds n octets.

        Raises TimeoutError if the octets had not arrived at `until` (time.monotonic()), and Ended if the
        client closes the connection."""
        if not self.queries:
            until = min(until, self.first_query_deadline)
        if len(self.buffer) < n and not self.message_since:
            self.message_since = self.clock.now()
        while len(self.buffer) < n:
            is_late = time.monotonic() > until
            self.receive(until)
            # After a pause of the process, the rest may have arrived in time.
            if is_late and len(self.buffer) < n and not self.has_unread:
                raise TimeoutError

    def receive(self, until):
        """Waits for input and appends it to the buffer; raises TimeoutError and Ended as fill_buffer()."""
        if not self.has_unread and not self.await_input(self.input_poll, until):
            raise TimeoutError
        data = self.receive_available()
        self.require_memory(not self.is_out_of_memory)
        if self.is_stalled_out:
            raise Ended("made-room", self.TOO_MANY)
        if data is None:
            return
        if not data:
            raise Ended(
                "made-room" if self.is_evicted else "client-closed-midway" if self.buffer else "client-closed"
            )
        self.received += len(data)
        self.buffer += self.decrypt(data)
        self.require_memory(self.memory.reserve(self.memory_size()))

    def receive_available(self):
        """Returns received octets without waiting, none at the end of the input, or None if there are none.

        A read that is shorter than requested has emptied the kernel's buffer."""
        read_at = self.clock.now()
        try:
            data = self.sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            data = None
        self.has_unread = data is not None and len(data) == RECEIVE_SIZE
        if not self.has_unread:
            self.drained_at = read_at
        return data

    def take(self, n):
        """Removes the first n octets from the buffer and returns them."""
        data = bytes(self.buffer[:n])
        del self.buffer[:n]
        return data

    def await_input(self, poll, until):
        """Waits for one of the poll's descriptors, or `until`; returns whether the client has sent something.

        Everything that was read so far must have been submitted."""
        self.input.deactivate(self)
        self.memory.begin_wait()
        try:
            ready = poll_until(poll, until)
        finally:
            self.memory.end_wait()
            self.input.activate(self)
        self.has_unread = bool(ready) and (len(ready) > 1 or ready[0][0] != self.stop_descriptor)
        return self.has_unread

    def arrival_time(self):
        """Returns when the last octet arrived, in ticks, but never an earlier time than before.

        The kernel's times err by a jiffy. If they put a query before one that its client sent earlier on this
        connection, each would wait for the other: one for its key, one for its turn."""
        self.last_arrival = max(self.last_arrival, self.kernel_arrival_time())
        return self.last_arrival

    def kernel_arrival_time(self):
        """Returns when the kernel received the last octet, in ticks; the thread may have woken long after."""
        now = self.clock.now()
        for _ in range(MAX_CLOCK_READINGS):
            try:
                info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
                age = unpack_from("I", info, LAST_DATA_RECV_OFFSET)[0]
            except (OSError, ValueError, StructError):
                return now
            before, now = now, self.clock.now()
            if now - before <= MAX_CLOCK_GAP_TICKS:
                break  # else the process may have been suspended between the two readings
        age_ticks = 10 * min(60_000, age)
        # An age of a jiffy may be none at all; then the times of reading tell the order better.
        return before if age_ticks <= MAX_JIFFY_TICKS else before - age_ticks

    def has_disconnected(self):
        """Whether the client has closed or reset its connection, even if unread input precedes the close.

        Any thread may call it; it reads nothing and doesn't block."""
        try:
            poll = select.poll()
            poll.register(self.sock, select.POLLRDHUP)
            # POLLRDHUP does not tell who has ended the input.
            disconnect_events = END_EVENTS if self.is_input_shut else DISCONNECT_EVENTS
            return any(events & disconnect_events for _, events in poll.poll(0))
        except (OSError, ValueError):
            return True  # the session has closed the socket

    def account_received(self, key):
        """Counts the octets consumed so far and not counted yet for this resource group and tenant."""
        octets = self.received - len(self.buffer) - self.octets_ahead - self.accounted
        if octets and self.account is not None:
            self.accounted += octets
            self.accounts.count(self.account, key, self.clock.now(), FORWARD, octets, 1)

    # Memory

    def memory_size(self):
        """Returns the octets that are counted for input and queries of the connection."""
        return input_size(len(self.buffer)) + self.octets_ahead + self.query_size

    def require_memory(self, is_available):
        """Raises Ended, with an error for the client, if there is no memory for what the connection needs."""
        if not is_available:
            raise Ended("out-of-memory", self.memory_error())

    def evict_input(self):
        """Ends the wait for the rest of a message, whose memory is needed; called by other threads."""
        self.is_out_of_memory = True
        self.shut_down(socket.SHUT_RD)

    def evict_output(self):
        """Ends the wait for a client that does not read; called by other threads."""
        self.is_out_of_memory = True
        self.shut_down(socket.SHUT_RDWR)

    def shut_down(self, direction):
        """Shuts the connection down in one or both directions, which ends a wait for it."""
        self.is_input_shut = True
        try:
            self.sock.shutdown(direction)
        except OSError:
            pass  # it is closed already

    def release_memory(self):
        """Discards the input that was not processed, and gives up what was reserved."""
        self.buffer.clear()
        self.memory.close()
        self.result_memory.close()

    # While the thread waits for something other than input

    def begin_busy(self):
        """From now on the decider's thread may read ahead for the session, see InputReader."""
        with self.input_lock:
            self.submit_ahead()
            self.is_busy = True
        self.input.deactivate(self)

    def end_busy(self):
        """The session reads its own input again."""
        self.input.activate(self)
        with self.input_lock:
            self.is_busy = False

    def end_reading(self):
        """Nothing is read for the session any more, by its own thread or ahead by the decider's."""
        with self.input_lock:
            self.is_busy = self.has_ended = True
        self.input.remove(self, self.sock.fileno())

    # Implemented by subclasses

    def memory_error(self):
        """Returns the message to a client whose connection ends for want of memory; none in this class."""
        return b""

    def submit_ahead(self):
        """Submits the queries in the buffer whose order matters to other sessions; none in this class."""

    def decrypt(self, data):
        """Returns the plaintext of what was read from the socket."""
        return data
