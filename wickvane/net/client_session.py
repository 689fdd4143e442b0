"""The part of a client session that all client protocols share: it waits for messages, submits queries, waits
for a query's answer and sends exactly one.

Each protocol is a subclass: serve_client() reads its messages, calls submit_query() with the text of each
statement, and answer_or_pause(); the methods under "Implemented by each protocol" encode the answers. A
session waits only for its own socket and its own pending query.
"""

import select
import socket
import time

from wickvane.errors import RequestRejected
from wickvane.net import exchange as ex
from wickvane.net.client_connection import MAX_JIFFY_TICKS, ClientConnection, Ended
from wickvane.net.counters import ANSWERS, NOBODY, REVERSE
from wickvane.net.queues import ResultStream
from wickvane.scheduling.answer_pacing import AnswerPacing
from wickvane.scheduling.memory_limits import query_size
from wickvane.units import TICKS_PER_SECOND

# A new connection must get an answer or a close within 3 s, so the time up to its first whole query has a
# lower limit. Without the idle timeout, clients that stay connected would hold descriptors forever.
FIRST_QUERY_TIMEOUT_S, IDLE_TIMEOUT_S, MESSAGE_TIMEOUT_S = 2.5, 5.0, 2.0
# How soon a disconnect during a query in flight is noticed; each check costs a thread wakeup. The exchange
# checks again right before each attempt, so that no attempt starts for a client that has disconnected.
CLIENT_CHECK_INTERVAL_S = 0.5
STREAM_CHECK_INTERVAL_S = 1.0  # between checks of the client while a streamed result makes no progress
# This long after a query's deadline, its session answers it: the decider's thread is stuck or has lost it.
OVERDUE_TICKS = 300
NO_MEMORY_SQLSTATE = "53200"
NO_MEMORY_TEXT = "the memory for requests is used up; it may be sent again"
STORM_TEXT = "a retry storm lasts: try again only after the time that a deferral tells, one try at a time"


class ClientSession(ClientConnection):
    """One client's connection, served by a thread of its own.

    full: whether the connection limit has been reached; idle: whether the session waits for a message
    and can be evicted. The session is busy, as an InputReader, while its query is in flight."""

    idle_s = None  # the idle timeout, if it isn't IDLE_TIMEOUT_S
    check_interval_s = None  # between checks of the client during a query, if not CLIENT_CHECK_INTERVAL_S

    def __init__(self, sock, peer, service, full):
        super().__init__(sock, service)
        self.peer, self.full = peer, full
        self.exchange, self.reader = service.exchange, service.reader
        self.log, self.counters, self.stopping = service.log, service.counters, service.stopping
        self.pending, self.pid, self.idle = None, 0, True
        # since: when the session began or last started to wait for a message, in ticks.
        self.since = service.clock.now()
        self.first_query_deadline = time.monotonic() + FIRST_QUERY_TIMEOUT_S
        self.message_poll = select.poll()
        self.message_poll.register(sock, select.POLLIN)
        self.message_poll.register(self.stop_descriptor, select.POLLIN)
        self.pacing = AnswerPacing()
        self.cancelled_until = 0  # queries that arrived until then were cancelled before they were read
        self.storm_notified = 0  # the number of the last retry storm that the client was notified of

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
        self.end_reading()
        self.release_memory()
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

    def eviction_rank(self, recent):
        """Returns the rank in the order of eviction at the connection limit; the lowest rank goes first.

        Sessions without a query so far go first, unless they began after `recent` (ticks): those may be about
        to send one and go last."""
        return 1 if self.queries else 2 * (self.since > recent)

    def evict(self):
        """Ends the session, if it waits for its client, to make room for another; called by other threads."""
        self.is_evicted = True
        if self.idle:
            self.shut_down(socket.SHUT_RD)
        elif self.message_since:
            self.is_stalled_out = True
            self.shut_down(socket.SHUT_RD)
        elif self.output_since:
            self.is_stalled_out = True
            self.shut_down(socket.SHUT_RDWR)

    def is_active(self, recent):
        """Whether the session has had an answer since `recent` (ticks); newcomers must not displace it."""
        return bool(self.queries) and self.since > recent

    def is_stalled(self, recent):
        """Whether the session has waited since before `recent` (ticks) for the rest of a message."""
        return not self.idle and 0 < self.message_since < recent

    # Reading

    def abandon_queries_ahead(self):
        """Abandons the queries that were submitted ahead of their turn."""

    def await_message(self, stop):
        """Waits for the first byte of the next message.

        Raises Ended after the idle timeout, and `stop` if the dispatcher shuts down; input that arrived
        before the shutdown is read first, since it must be answered."""
        self.since = self.clock.now()
        self.message_since = 0
        until = time.monotonic() + (self.idle_s or IDLE_TIMEOUT_S)
        if not self.queries:
            until = min(until, self.first_query_deadline)
        if not self.await_input(self.message_poll, until):
            raise stop if self.stopping.is_set() else Ended("idle")
        self.fill_buffer(1, until)
        self.is_evicted = False  # a message arrived during the eviction

    # Queries

    def submit_query(self, text, arrived, pending=None, read_lag=None, **reader_options):
        """Submits a statement and returns its query, or answers that it is rejected and returns None.

        arrived: in ticks; pending: the query, if it was submitted ahead; read_lag: ticks from its arrival
        until it was read, if that was ahead of its turn; reader_options: for Reader.read(), from protocols
        that can supply the fields of a query without a statement comment."""
        try:
            self.queries += 1
            pending = pending or self.read_query(text, arrived, read_lag, **reader_options)
            self.account_received((pending.resource_group, pending.tenant))
            self.reserve_query_memory(pending)
            self.pending = pending
            self.begin_query(pending)
        except RequestRejected as rejected:
            self.pending = None
            self.counters.add("statements-unusable")
            self.log.line("statement-unusable", peer=self.peer, sqlstate=rejected.sqlstate, why=rejected.text)
            self.release_query_memory()
            self.put(self.encode_rejection(rejected))
            return None
        return pending

    def answer_query(self, pending):
        """Waits for the answer to a submitted query, and sends it.

        It is called when nothing holds the query's message any more, since the wait may be long."""
        self.begin_busy()
        try:
            self.await_answer(pending)
            self.send_answer(pending)
        finally:
            self.end_busy()
            pending.release_client()
            self.release_query_memory()

    def answer_or_pause(self, pending):
        """Answers the query of a message, None if it had none; pauses if too many need no engine."""
        self.message_since = 0
        if pending is not None:
            self.answer_query(pending)
            if pending.attempt_count:
                return
        pause = self.pacing.pause_after(self.clock.now())
        if pause:
            self.counters.add("sessions-paced")
            self.begin_busy()
            self.stopping.wait(pause / TICKS_PER_SECOND)
            self.end_busy()

    def reserve_query_memory(self, pending):
        """Reserves what the query needs until it has its answer; raises RequestRejected if it is refused.

        One that was submitted ahead is not: its memory was reserved then, and its key waits for it."""
        self.memory.since = 0  # the message is complete: the session does not wait for its client any more
        self.query_size = query_size(len(pending.body))
        if not self.memory.reserve(self.memory_size()) and not pending.is_submitted:
            raise RequestRejected(NO_MEMORY_SQLSTATE, NO_MEMORY_TEXT)

    def release_query_memory(self):
        """Gives up what was reserved for the query and its result."""
        self.query_size = self.stream_size = 0
        self.memory.reserve(self.memory_size())
        self.result_memory.release()

    def reserve_result(self, size):
        """Reserves memory for the result of the query in flight, from any thread; False if there is none."""
        return self.result_memory.reserve(size)

    def read_query(self, text, arrived, read_lag=None, **reader_options):
        """Returns the query of a statement; raises RequestRejected."""
        pending = ex.PendingQuery(arrived, **self.reader.read(text, **reader_options))
        pending.client_address, pending.session, pending.read_lag = self.peer, self, read_lag
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
        except (OSError, Ended):
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
        self.stream_size = result.reserved_size
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
        pending.release_client()

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

    def memory_error(self):
        """Returns the message to a client whose session ends for want of memory."""
        raise NotImplementedError

    def encode_rejection(self, rejected):
        """Returns the answer to a query that was rejected instead of submitted."""
        raise NotImplementedError

    def result_writer(self, pending):
        """Returns the encoder of a streamed result, with methods more(tokens), end() and broken()."""
        raise NotImplementedError

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
