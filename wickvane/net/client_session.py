"""The part of a client session that all client protocols share: it reads and writes within time limits, waits
for a query's answer and sends exactly one.

Each protocol is a subclass: serve_client() reads its messages and calls serve_query() with the text of each
statement; the methods under "Implemented by each protocol" encode the answers. A session waits only for its
own socket and its own pending query.
"""

import select
import socket
import time
from struct import error as StructError
from struct import unpack_from
from threading import Lock

from wickvane.errors import RequestRejected
from wickvane.net import exchange as ex
from wickvane.net.counters import ANSWERS, FORWARD, NOBODY, REVERSE
from wickvane.net.input_tracker import InputReader
from wickvane.net.queues import ResultStream

# A new connection must get an answer or a close within 3 s, so the time up to its first whole query has a
# lower limit. Without the idle timeout, clients that stay connected would hold descriptors forever.
FIRST_QUERY_TIMEOUT_S, IDLE_TIMEOUT_S, MESSAGE_TIMEOUT_S, WRITE_TIMEOUT_S = 2.5, 5.0, 2.0, 5.0
LAST_WRITE_TIMEOUT_S = 1.0
RECEIVE_SIZE = 8_192  # octets per recv(): the buffer is allocated in each of many threads
# How soon a disconnect during a query in flight is noticed; each check costs a thread wakeup. The exchange
# checks again right before each attempt, so that no attempt starts for a client that has disconnected.
CLIENT_CHECK_INTERVAL_S = 0.5
# Limits for all input that is read and discarded after the last message to a client.
DISCARD_INPUT_S, MAX_DISCARDED_OCTETS = 0.25, 1 << 20
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
STREAM_CHECK_INTERVAL_S = 1.0  # between checks of the client while a streamed result makes no progress
# This long after a query's deadline, its session answers it: the decider's thread is stuck or has lost it.
OVERDUE_TICKS = 300
STORM_TEXT = "a retry storm lasts: try again only after the time that a deferral tells, one try at a time"
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


class ClientSession(InputReader):
    """One client's connection, served by a thread of its own.

    full: whether the connection limit has been reached; idle: whether the session waits for a message
    and can be evicted. The session is busy, as an InputReader, while its query is in flight and while the
    client does not read what is sent."""

    idle_s = None  # the idle timeout, if it isn't IDLE_TIMEOUT_S
    octets_ahead = 0  # received octets of messages that were read ahead of their turn
    check_interval_s = None  # between checks of the client during a query, if not CLIENT_CHECK_INTERVAL_S

    def __init__(self, sock, peer, service, full):
        self.sock, self.peer, self.full = sock, peer, full
        self.exchange, self.reader, self.clock = service.exchange, service.reader, service.clock
        self.log, self.counters, self.stopping = service.log, service.counters, service.stopping
        self.stop_descriptor = service.stop_descriptor
        self.buffer, self.pending, self.pid, self.queries, self.idle = bytearray(), None, 0, 0, True
        # since: when the session began or last started to wait for a message, in ticks.
        self.since, self.is_evicted, self.first_query_deadline = (
            service.clock.now(),
            False,
            time.monotonic() + FIRST_QUERY_TIMEOUT_S,
        )
        self.accounts, self.account = service.accounts, None
        self.input, self.input_lock = service.exchange.input, Lock()  # input_lock: of is_busy and read-ahead
        self.has_unread = False  # whether the last recv() left input in the kernel, or poll() showed some
        self.input_poll, self.message_poll = select.poll(), select.poll()
        self.input_poll.register(sock, select.POLLIN)
        self.message_poll.register(sock, select.POLLIN)
        self.message_poll.register(self.stop_descriptor, select.POLLIN)
        self.cancelled_until = 0  # queries that arrived until then were cancelled before they were read
        # Octets received, those of them already counted for a resource group and tenant, and octets sent; the
        # number of the last retry storm that the client was notified of.
        self.received = self.accounted = self.sent = self.storm_notified = 0

    def run(self):
        """Serves the connection from its first byte to the close; the body of the session's thread."""
        reason, last, detail = "fault", b"", None
        began = self.clock.now()
        try:
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.accounts is not None:
                self.account = self.accounts.client(self.sock)
            self.serve_client()
        except Ended as end:
            reason, last, detail = end.reason, end.last, end.detail
        except TimeoutError:
            reason = "client-slow"
        except OSError as failure:
            reason, detail = "client-reset", failure.strerror
        except Exception as failure:  # the fault is logged, and the client gets no traceback
            detail = f"{type(failure).__name__}: {failure}"
            last = self.internal_error()
        # What arrives from now on is not served: the watermark must not wait for it.
        self.input.remove(self, self.sock.fileno())
        if self.pending:
            self.abandon_query()
        self.abandon_queries_ahead()
        if self.pid:
            self.exchange.remove_cancel_key(self.pid)
        if last:
            self.send_last_message(last)
        self.sock.close()
        if self.account is not None:
            self.buffer.clear()
            self.account_received(NOBODY)
            self.accounts.closed(self.account, self.clock.now(), reason == "stop")
        self.counters.add_octets("client", self.received, self.sent)
        self.counters.add(f"client-connections-ended-{reason}")
        self.log.line(
            "client-connection-ended",
            peer=self.peer,
            reason=reason,
            detail=detail,
            queries=self.queries,
            lived=(self.clock.now() - began) / 10_000,
        )

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
        except OSError:
            pass

    def eviction_rank(self, recent):
        """Returns the rank in the order of eviction at the connection limit; the lowest rank goes first.

        Sessions without a query so far go first, unless they began after `recent` (ticks): those may be about
        to send one and go last."""
        return 1 if self.queries else 2 * (self.since > recent)

    def evict(self):
        """Ends the session, if it is idle, to make room for another connection; called by other threads."""
        self.is_evicted = True
        if self.idle:
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def put(self, data, key=NOBODY, messages=1, answer_index=0, timeout_s=None):
        """Sends all data within `timeout_s`, by default WRITE_TIMEOUT_S; raises TimeoutError.

        Each octet that the kernel accepted is counted.

        key: the resource group and tenant that the data is counted for; answer_index: one of the values of
        counters.ANSWERS, counted if all data is sent; 0 for none."""
        sent = 0
        try:
            sent = self.send_available(data)
            until = None
            while sent < len(data):
                until = until or time.monotonic() + (timeout_s or WRITE_TIMEOUT_S)
                self.await_output(until)
                sent += self.send_available(data[sent:])
        finally:
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

    def account_received(self, key):
        """Counts the octets consumed so far and not counted yet for this resource group and tenant."""
        octets = self.received - len(self.buffer) - self.octets_ahead - self.accounted
        if octets and self.account is not None:
            self.accounted += octets
            self.accounts.count(self.account, key, self.clock.now(), FORWARD, octets, 1)

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
            if not poll_until(poll, until):
                raise TimeoutError
        finally:
            if becomes_busy:
                self.end_busy()

    # Reading

    def fill_buffer(self, n, until):
        """Reads until the buffer holds n octets.

        Raises TimeoutError if the octets had not arrived at `until` (time.monotonic()), and Ended if the
        client closes the connection."""
        if not self.queries:
            until = min(until, self.first_query_deadline)
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
        if data is None:
            return
        if not data:
            raise Ended(
                "made-room" if self.is_evicted else "client-closed-midway" if self.buffer else "client-closed"
            )
        self.received += len(data)
        self.buffer += self.decrypt(data)

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

    def await_input(self, poll, until):
        """Waits for one of the poll's descriptors, or `until`; returns whether the client has sent something.

        Everything that was read so far must have been submitted."""
        self.input.deactivate(self)
        try:
            ready = poll_until(poll, until)
        finally:
            self.input.activate(self)
        self.has_unread = bool(ready) and (len(ready) > 1 or ready[0][0] != self.stop_descriptor)
        return self.has_unread

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

    def submit_ahead(self):
        """Submits the queries in the buffer whose order matters to other sessions; none in this class."""

    def abandon_queries_ahead(self):
        """Abandons the queries that were submitted ahead of their turn."""

    def take(self, n):
        """Removes the first n octets from the buffer and returns them."""
        data = bytes(self.buffer[:n])
        del self.buffer[:n]
        return data

    def await_message(self, stop):
        """Waits for the first byte of the next message.

        Raises Ended after the idle timeout, and `stop` if the dispatcher shuts down; input that arrived
        before the shutdown is read first, since it must be answered."""
        self.since = self.clock.now()
        until = time.monotonic() + (self.idle_s or IDLE_TIMEOUT_S)
        if not self.queries:
            until = min(until, self.first_query_deadline)
        if not self.await_input(self.message_poll, until):
            raise stop if self.stopping.is_set() else Ended("idle")
        self.fill_buffer(1, until)
        self.is_evicted = False  # a message arrived during the eviction

    # Queries

    def serve_query(self, text, arrived, pending=None, **reader_options):
        """Runs a statement and sends its one answer.

        arrived: in ticks; pending: the query, if it was read ahead; reader_options: for Reader.read(), from
        protocols that can supply the fields of a query without a statement comment."""
        try:
            self.queries += 1
            pending = pending or self.read_query(text, arrived, **reader_options)
            self.account_received((pending.resource_group, pending.tenant))
            self.pending = pending
            self.begin_query(pending)
        except RequestRejected as rejected:
            self.pending = None
            self.counters.add("statements-unusable")
            self.log.line("statement-unusable", peer=self.peer, sqlstate=rejected.sqlstate, why=rejected.text)
            self.put(self.encode_rejection(rejected))
            return
        self.begin_busy()
        try:
            self.await_answer(pending)
            self.send_answer(pending)
        finally:
            self.end_busy()

    def read_query(self, text, arrived, **reader_options):
        """Returns the query of a statement; raises RequestRejected."""
        pending = ex.PendingQuery(arrived, **self.reader.read(text, **reader_options))
        pending.client_address, pending.session = self.peer, self
        return pending

    def begin_query(self, pending):
        """Submits a query whose turn in the session has come; raises RequestRejected."""
        if pending.is_submitted:
            self.exchange.unblock(pending)
            return
        # A query that the client sent after the request must not be taken for the one it cancelled.
        if pending.arrived_at <= self.cancelled_until - MAX_JIFFY_TICKS:
            self.exchange.set_answer(pending, ex.CLIENT_GONE)
        self.cancelled_until = 0
        self.exchange.submit(pending)

    def arrival_time(self):
        """Returns when the kernel received the last byte, in ticks; this thread may have woken long after."""
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
        return before - 10 * min(60_000, age)

    def await_answer(self, pending):
        """Waits for the query's answer; abandons the query if its client does or if it is overdue."""
        due = pending.deadline + OVERDUE_TICKS
        interval_s = self.check_interval_s or CLIENT_CHECK_INTERVAL_S
        while not pending.answer_ready.acquire(
            timeout=max(0.001, min(interval_s, (due - self.clock.now()) / 10_000))
        ):
            if self.has_abandoned_query():
                self.exchange.abandon(pending)
            elif self.clock.now() >= due:
                self.counters.add("overdue")
                self.exchange.abandon(pending, ex.FAILED)

    def has_disconnected(self):
        """Whether the client has closed or reset its connection, even if unread input precedes the close.

        Any thread may call it; it reads nothing and doesn't block."""
        try:
            poll = select.poll()
            poll.register(self.sock, select.POLLRDHUP)
            return any(events & DISCONNECT_EVENTS for _, events in poll.poll(0))
        except (OSError, ValueError):
            return True  # the session has closed the socket

    def send_answer(self, pending):
        """Sends the answer as the protocol encodes it, and records it."""
        kind, storm = pending.answer, self.exchange.storm_number
        if storm and storm != self.storm_notified:
            # Once per storm and connection, and with an answer, since no client reads before it awaits one.
            self.storm_notified = storm
            self.add_storm_notice()
            self.counters.add("storm-notices")
        if isinstance(pending.result, ResultStream):
            self.send_result_stream(pending, pending.result)
            return
        try:
            kind, data, messages = self.encode_answer(pending, kind)
        finally:
            pending.result = None
        try:
            self.put(data, (pending.resource_group, pending.tenant), messages, ANSWERS[kind])
        except OSError:
            kind = ex.CLIENT_GONE
            self.account_client_gone(pending)
            raise
        finally:
            self.pending = None
            self.record_answer(pending, kind, len(data))

    def send_result_stream(self, pending, result):
        """Sends a long result as it arrives; if it breaks off, the final answer is an error."""
        kind, size, key, writer = (
            ex.FAILED,
            0,
            (pending.resource_group, pending.tenant),
            self.result_writer(pending),
        )
        try:
            while (chunk := result.take(STREAM_CHECK_INTERVAL_S)) is not None:
                if chunk:
                    data = writer.more(chunk)
                    size += len(data)
                    if data:
                        self.put(data, key, len(chunk))
                elif self.has_abandoned_query():
                    raise Ended("client-closed")
            if not result.broken:
                kind = ex.FINISHED
            self.put(writer.broken() if result.broken else writer.end(), key, 1, ANSWERS[kind])
        except (OSError, Ended, ValueError):
            kind = ex.CLIENT_GONE
            self.account_client_gone(pending)
            raise
        finally:
            result.close()
            pending.result, self.pending = None, None
            self.record_answer(pending, kind, size)

    def abandon_query(self):
        """Abandons the query in flight of a connection that has ended."""
        pending, self.pending = self.pending, None
        self.exchange.abandon(pending)
        self.account_client_gone(pending)
        self.record_answer(pending, ex.CLIENT_GONE, 0)

    def account_client_gone(self, pending):
        """Counts a query whose client has disconnected in the flow accounts."""
        if self.account is not None:
            self.accounts.count(
                self.account,
                (pending.resource_group, pending.tenant),
                self.clock.now(),
                REVERSE,
                0,
                0,
                ANSWERS[ex.CLIENT_GONE],
            )

    @staticmethod
    def retry_after_ms(pending):
        """Returns how long the client of a rejected query should wait before a retry; 0 for no advice."""
        return -(-pending.retry_after // 10)

    def record_answer(self, pending, kind, size):
        """Counts and logs a query that has its final answer; size: of the answer, in octets."""
        self.counters.add(kind)
        if kind == ex.REJECTED and pending.retry_after:
            self.counters.add("advised")
            self.counters.add("advised-ms", self.retry_after_ms(pending))
        self.counters.add("bytes-answered", size)
        now, begin, last = self.clock.now(), pending.arrived_at, pending.attempt
        self.log.line(
            "query",
            txn=pending.id,
            resource_group=pending.verb,
            answer=kind,
            submissions=pending.attempt_count,
            engine=last.queue.name if last and last.queue else None,
            table_group=pending.table_group,
            cost=pending.cost / 10,
            took=(now - begin) / 10,
            limit=(pending.deadline - begin) / 10,
            **{stage: (at - begin) / 10 for stage, at in pending.stage_times.items()},
        )

    # Implemented by each protocol

    def serve_client(self):
        """Reads and serves the client's messages until Ended or an OSError is raised."""
        raise NotImplementedError

    def internal_error(self):
        """Returns the message to a client whose session ends by an internal error."""
        raise NotImplementedError

    def encode_rejection(self, rejected):
        """Returns the answer to a query that was rejected instead of submitted."""
        raise NotImplementedError

    def result_writer(self, pending):
        """Returns the encoder of a streamed result, with methods more(tokens), end() and broken()."""
        raise NotImplementedError

    def decrypt(self, data):
        """Returns the plaintext of what was read from the socket."""
        return data

    def encode_answer(self, pending, kind):
        """Returns the final answer, its bytes and its number of messages.

        The final answer is FAILED instead of FINISHED if the result can't be encoded."""
        raise NotImplementedError

    def add_storm_notice(self):
        """Puts a notice of the current retry storm ahead of the next answer."""
        raise NotImplementedError

    def has_abandoned_query(self):
        """Whether the client has disconnected or cancelled its query in flight."""
        raise NotImplementedError
