"""A connection to an engine by the line protocol, and the one ending of each attempt on it.

The I/O loop (links.py) passes in orders, and calls when the socket is readable or can be written to after a
partial write; nothing that it calls here waits.
"""

import errno
import os
import re
import select
import socket
from collections import deque
from threading import Lock

from wickvane.errors import ProtocolError
from wickvane.events import Ending
from wickvane.net.counters import FIRST, FORWARD, FURTHER, NOBODY, REVERSE
from wickvane.net.lines.pages import MAX_PAGES, MAX_RESULT_SIZE, is_page

MAX_LINE_SIZE, MAX_BODY_SIZE, MAX_ENDED_IDS = 512, 6_000, 128  # sizes in octets
WRITE_TIMEOUT = 10_000  # ticks within which an engine must take more of what is to be sent
# An engine writes each answer at once and has the further pages ready. After a partial answer, or a page that
# is not sent, nothing more can be expected from the connection, however long it stays open. In ticks.
PARTIAL_ANSWER_TIMEOUT, PAGE_TIMEOUT, CHECK_PERIOD = 5_000, 10_000, 500
RECEIVE_SIZE = 16_384  # octets
WRITE_EVENTS = select.EPOLLOUT
# Reasons and OS errors that come from this dispatcher or its machine: they are no fault of the engine, and a
# query of which nothing was sent did not run.
LOCAL_REASONS = frozenset(
    ("stop", "engine-restarted", "engine-gone", "no-thread", "no-descriptor", "made-room", "out-of-memory")
)
LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))

NUMBER_PATTERN = re.compile(rb"\d{1,15}(\.\d{0,15})?\Z")


def parse_number(value, maximum):
    """A number from 0 to `maximum`; raises ProtocolError."""
    if not NUMBER_PATTERN.match(value) or float(value) > maximum:
        raise ProtocolError("a field is not a number, or is out of range")
    return float(value)


def parse_page_number(value):
    """A number or count of pages; raises ProtocolError."""
    if not value.isdigit() or len(value) > 3 or int(value) > MAX_PAGES:
        raise ProtocolError("a page number is invalid or out of range")
    return int(value)


def parse_answer(buffer):
    """Removes one answer from the front of the buffer and returns it as (id, word, fields, body).

    Returns None while the answer is incomplete; raises ProtocolError."""
    line_end = buffer.find(b"\r\n", 0, MAX_LINE_SIZE + 2)
    if line_end < 0:
        if len(buffer) > MAX_LINE_SIZE:
            raise ProtocolError("a line is too long")
        return None
    words = bytes(buffer[:line_end]).split(b" ")
    if len(words) != 4 or not all(words) or not words[3].isdigit() or len(words[3]) > 5:
        raise ProtocolError("a line does not have the form of an answer")
    length = int(words[3])
    if length > MAX_BODY_SIZE:
        raise ProtocolError("a page is too long")
    size = line_end + 2 + length + 2
    if len(buffer) < size:
        return None
    if buffer[size - 2 : size] != b"\r\n":
        raise ProtocolError("the length of a body is wrong")
    fields = {}
    if words[2] != b"-":
        for field in words[2].split(b","):
            name, equals, value = field.partition(b"=")
            if not equals:
                raise ProtocolError("a field of an answer has no value")
            fields[name] = value
    body = bytes(buffer[line_end + 2 : size - 2])
    del buffer[:size]
    return words[0], words[1], fields, body


def is_ip_address(family, host):
    """Whether a host is an IP address, not a name that has to be resolved."""
    try:
        return bool(socket.inet_pton(family, host))
    except OSError:
        return False


REJECTIONS = {b"SHED": Ending.REJECTED, b"LATE": Ending.NOT_SENT}  # answers that prove that nothing ran


class Connection:
    """One connection to an engine by the line protocol, and the attempts that are open on it.

    Times are ticks."""

    # Whether a request runs only after its last byte was received; else an engine may act on a part of it.
    RUNS_ONLY_COMPLETE_REQUESTS = False
    READ_EVENTS = select.EPOLLIN  # events that the I/O loop watches once the connection is up

    def __init__(self, pool):
        self.pool, self.lock = pool, Lock()
        # Attempts by query id; ids of queries whose attempt ended here; orders; the unsent rest of an order.
        self.open_attempts, self.ended_ids, self.outbox, self.send_buffer = {}, {}, deque(), None
        self.sock, self.dead, self.up, self.retired = None, False, False, False
        self.resolved_address = None  # of getaddrinfo(), if the endpoint list has a host name
        self.write_progress_at, self.ended_by_stop, self.started = 0, False, False
        self.created_at = self.last_used_at = pool.clock.now()
        # partial_since: when the first octet of an incomplete answer was received, 0 if there is none.
        self.sent_queries, self.receive_buffer, self.partial_since = 0, bytearray(), 0
        # The time of the connection's timer in the I/O loop, and whether a check was requested.
        self.next_check_at, self.check_requested = None, False
        self.accounts, self.account = pool.io_loop.accounts, None
        self.memory = pool.exchange.memory.lease(None)  # it is never evicted
        # Octets received; those of them already counted for a query; octets sent.
        self.received = self.received_counted = self.sent = 0

    def start(self):
        """In the I/O loop's thread: begins to connect. The result is an event of the descriptor."""
        self.run_guarded(self.dial)

    def release(self):
        """In the I/O loop's thread, which reads the socket: closes it after a failure or at the stop."""
        self.close_socket()

    def close_socket(self):
        """Closes the socket. Only the thread that reads it may call this, after its last read.

        If another thread closed it, the reader could read from a new connection with the same descriptor.
        Writers need no such rule, as all writing is under the lock."""
        with self.lock:
            sock, self.sock = self.sock, None
        if sock is None:
            return
        self.pool.io_loop.unwatch(self, sock.fileno())
        sock.close()
        if self.account is not None:
            self.count_received(NOBODY, self.received - self.received_counted)
            self.accounts.closed(self.account, self.pool.clock.now(), self.ended_by_stop)
        if self.received or self.sent:
            self.pool.counters.add_octets("engine", self.received, self.sent)

    def count_sent(self, key, octets, messages, attempt_kind=0):
        """Counts octets sent for a key of resource group and tenant; attempt_kind: FIRST, FURTHER or 0."""
        self.sent += octets
        if self.account is not None:
            self.accounts.count(
                self.account, key, self.pool.clock.now(), FORWARD, octets, messages, attempt_kind
            )

    def count_received(self, key, octets):
        """Counts octets received for a key of resource group and tenant."""
        self.received_counted += octets
        if octets and self.account is not None:
            self.accounts.count(self.account, key, self.pool.clock.now(), REVERSE, octets, 1)

    def run_guarded(self, work):
        """Calls a function; an exception that it raises ends this connection only."""
        try:
            work()
        except ProtocolError as error:
            self.fail("malformed", str(error))
        except OSError as error:
            self.fail(
                "reset"
                if self.up
                else "connect-timeout"
                if isinstance(error, TimeoutError)
                else "connect-refused",
                error.strerror,
            )
        except Exception as error:  # a fault of the dispatcher must not leave attempts without an ending
            self.fail("fault", f"{type(error).__name__}: {error}")

    def accepts(self, attempt, now):
        """Whether an attempt may be sent on this connection."""
        with self.lock:
            return (
                not self.dead
                and not self.retired
                and len(self.open_attempts) < self.pool.max_open_attempts
                and attempt.pending.id not in self.open_attempts
                and attempt.pending.id not in self.ended_ids
                and self not in attempt.pending.tried_connections
                and (self.open_attempts or now - self.last_used_at < self.pool.idle_timeout)
            )

    def put(self, *order):
        """From any thread: queues an order and sends what the engine takes at once.

        The I/O loop sends the rest. Returns False for a query of which no byte was sent, because the
        connection is dead."""
        with self.lock:
            if self.dead:
                return False
            if order[0] == "ask":
                self.open_attempts[order[1].pending.id] = order[1]
                order[1].pending.tried_connections.append(self)
                self.last_used_at = self.pool.clock.now()
            self.outbox.append(order)
            failure, ended = self.flush() if self.up and not self.send_buffer else (None, ())
            unsent = failure and order[0] == "ask" and not order[1].written
            if unsent:
                del self.open_attempts[order[1].pending.id]
        for attempt, ending in ended:
            self.end_attempt(attempt, ending)
        if failure:
            self.fail("reset", failure.strerror)
        return not unsent

    # Writing

    def flush(self):
        """Under the lock: sends the queued orders; returns (failure, list of (attempt, ending)).

        The list has the attempts that end with this call. What the engine does not take at once goes to the
        send buffer. The I/O loop sends it, and all later orders wait for that."""
        ended = []
        while self.outbox:
            kind, *arguments = self.outbox.popleft()
            if kind == "ask" and not self.pool.exchange.may_start(arguments[0]):
                ended.append((arguments[0], Ending.NOT_SENT))
                continue
            try:
                data = self.ENCODERS[kind](self, *arguments)
                if not data:
                    if kind == "ask":
                        ended.append((arguments[0], Ending.NOT_SENT))  # unless it has ended already
                    continue
                sent = self.send(data)
            except OSError as failure:
                return failure, ended
            pending, attempt_kind = arguments[-1] if kind == "bytes" else arguments[0].pending, 0
            if kind == "ask":
                arguments[0].written = True
                self.sent_queries += 1
                attempt_kind = FURTHER if arguments[0].number else FIRST
            key = pending.resource_group, pending.tenant
            self.count_sent(key, sent, 1, attempt_kind)
            # The attempt ends only after its QUIT has been written: the scheduler may start another attempt
            # as soon as the ending is reported.
            ends_when_sent = tuple(arguments) if kind == "quit" else None
            if sent < len(data):
                self.send_buffer = (data[sent:], ends_when_sent, key, arguments[0] if kind == "ask" else None)
                self.write_progress_at = self.pool.clock.now()
                self.pool.io_loop.request_check(self)
                break
            if ends_when_sent:
                ended.append(ends_when_sent)
        return None, ended

    def flush_send_buffer(self):
        """In the I/O loop's thread: sends more of the send buffer; raises OSError."""
        with self.lock:
            if self.dead or not self.send_buffer:
                return
            data, ends_when_sent, key, asked = self.send_buffer
            sent = self.send(data)
            self.count_sent(key, sent, 0)
            if sent:
                self.write_progress_at = self.pool.clock.now()
            self.send_buffer = (data[sent:], ends_when_sent, key, asked) if sent < len(data) else None
            failure, ended = (None, []) if self.send_buffer else self.flush()
        if ends_when_sent and sent == len(data):
            self.end_attempt(*ends_when_sent)
        for attempt, ending in ended:
            self.end_attempt(attempt, ending)
        if failure:
            raise failure
        if not self.send_buffer:
            self.pool.io_loop.watch(self, self.READ_EVENTS)

    def check_idle_close(self):
        """Raises ConnectionResetError if the engine has closed the connection while it was idle.

        What is written after that is lost, without a proof that it did not run."""
        if len(self.open_attempts) > 1 or not self.sent_queries:
            return
        try:
            closed = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return
        if closed:
            raise ConnectionResetError(errno.ECONNRESET, "closed by the engine while idle")

    def send(self, data):
        """Sends without waiting; returns how many bytes the engine took."""
        try:
            return self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0

    def request_fields(self, attempt):
        """The fields of a query's request besides id and statement; None if it is not sent any more."""
        if attempt.has_ended or self.open_attempts.get(attempt.pending.id) is not attempt:
            return None
        pending, now = attempt.pending, self.pool.clock.now()
        pending.stage_times.setdefault("asked", now)
        token = b",uniq=" + pending.token if pending.token else b""
        urgency = b",urgency=%d" % pending.priority if pending.priority >= 0 else b""
        return b"queue=%b,budget=%d%b%b" % (
            pending.verb,
            max(1, (attempt.deadline - now) // 10),
            token,
            urgency,
        )

    def encode_ask(self, attempt):
        """The bytes of an attempt; None if it is not sent any more."""
        self.check_idle_close()
        fields, text = self.request_fields(attempt), attempt.pending.text_to_send()
        return fields and text and b"ASK %b %b %d\r\n%b\r\n" % (attempt.pending.id, fields, len(text), text)

    def encode_quit(self, attempt, ending):
        """The bytes that cancel an attempt; None if it has ended."""
        if attempt.has_ended or self.open_attempts.get(attempt.pending.id) is not attempt:
            return None
        return (b"FREE %b\r\n" if attempt.pages else b"QUIT %b\r\n") % attempt.pending.id

    def encode_priority(self, attempt):
        """The bytes of a new priority; None if the attempt has not been sent or has ended."""
        if (
            attempt.has_ended
            or not attempt.written
            or self.open_attempts.get(attempt.pending.id) is not attempt
        ):
            return None
        return b"PRIO %b %d\r\n" % (attempt.pending.id, attempt.pending.priority)

    def encoded_bytes(self, data, pending):
        """Bytes that are encoded already."""
        return data

    ENCODERS = {"ask": encode_ask, "quit": encode_quit, "terms": encode_priority, "bytes": encoded_bytes}

    def cancel_attempt(self, attempt, ending, at_once):
        """Cancels an attempt. One that is not written yet is withdrawn, which proves that it never ran."""
        with self.lock:
            if self.dead or self.open_attempts.get(attempt.pending.id) is not attempt:
                return
            unwritten = not attempt.written
            if unwritten:
                del self.open_attempts[attempt.pending.id]
        if unwritten:
            self.pool.exchange.end_attempt(attempt, Ending.NOT_SENT)
        else:
            self.cancel_written(attempt, ending, at_once)

    def cancel_written(self, attempt, ending, at_once):
        """Cancels an attempt that has been written, by a request of the protocol.

        at_once: the attempt ends now, not when the request has been sent."""
        if at_once:
            data = (b"FREE %b\r\n" if attempt.pages else b"QUIT %b\r\n") % attempt.pending.id
            self.end_attempt(attempt, ending)
            self.put("bytes", data, attempt.pending)
        else:
            self.put("quit", attempt, ending)

    def end_attempt(self, attempt, ending, pages=None):
        """Ends an attempt that is open on this connection, once."""
        with self.lock:
            if self.open_attempts.get(attempt.pending.id) is not attempt:
                return
            del self.open_attempts[attempt.pending.id]
            self.ended_ids[attempt.pending.id] = True
            # The unread answer of an abandoned attempt may still come or never come. A retired connection
            # takes no further attempt, so that none is affected by it.
            self.retired = self.retired or ending in (Ending.NO_ANSWER, Ending.CANCELLED)
            if len(self.ended_ids) > MAX_ENDED_IDS:
                del self.ended_ids[next(iter(self.ended_ids))]
            self.last_used_at, is_idle = self.pool.clock.now(), not self.open_attempts
        elapsed = attempt.answered_at - attempt.started_at if attempt.answered_at else None
        self.pool.exchange.end_attempt(attempt, ending, elapsed, pages)
        if is_idle:
            self.pool.io_loop.request_check(self)

    # Connecting

    def dial(self):
        """Begins to connect; a host name is resolved in a thread of its own."""
        host = self.pool.address[0]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        if not is_ip_address(family, host):
            # Resolving a name waits for a name server, which the I/O loop must not do.
            if not self.pool.io_loop.threads.try_start(self.resolve_address, "engine-name"):
                self.fail("no-thread")
            return
        self.connect(family, self.pool.address)

    def resolve_address(self):
        """In a thread of its own: resolves the host name and requests a check, which connects."""
        try:
            host, port = self.pool.address
            self.resolved_address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
        except OSError as error:
            self.fail("connect-refused", error.strerror)
        self.pool.io_loop.request_check(self)

    def connect(self, family, address):
        """Begins to connect to an address, without waiting; raises OSError."""
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            return self.fail("no-descriptor", error.strerror)
        with self.lock:
            if self.dead:
                sock.close()
                return None
            self.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in LOCAL_ERRNOS:
            return self.fail("no-descriptor", os.strerror(code))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        self.pool.io_loop.watch(self, WRITE_EVENTS)
        self.pool.io_loop.check_connection(self)
        return None

    def mark_up(self, sock):
        """Marks the connection as up and sends the orders that waited; returns False if it is dead already.

        Raises OSError."""
        sock.settimeout(None)
        with self.lock:
            self.sock, self.up, dead = sock, True, self.dead
            failure, ended = (None, ()) if dead else self.flush()
        for attempt, ending in ended:
            self.end_attempt(attempt, ending)
        if failure:
            raise failure
        return not dead

    # Reading

    def handle_ready(self):
        """In the I/O loop's thread: handles an event of the descriptor that is not for sending."""
        if self.dead:
            return
        if not self.up:
            self.finish_connecting()
            return
        try:
            data = self.sock.recv(RECEIVE_SIZE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        if not data:
            self.fail("peer-closed")
            return
        self.receive_buffer += data
        self.received += len(data)
        self.read_answers()
        self.reserve_memory(len(self.receive_buffer))

    def reserve_memory(self, size):
        """Reserves what an incomplete answer takes, in octets; ends the connection if there is no memory."""
        if not self.dead and not self.memory.reserve(size):
            self.fail("out-of-memory")

    def finish_connecting(self):
        """Handles the result of connecting; raises OSError if it failed."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        if self.accounts is not None:
            self.account = self.accounts.engine(self.sock, self.pool.queue.name)
        if self.mark_up(self.sock):
            self.pool.io_loop.watch(self, self.READ_EVENTS)

    def read_answers(self):
        """Takes all complete answers from the buffer, and notes since when the buffer has a partial one."""
        size_before = len(self.receive_buffer)
        has_complete_answer = False
        while not self.dead and (answer := parse_answer(self.receive_buffer)):
            size, size_before = size_before - len(self.receive_buffer), len(self.receive_buffer)
            self.process_answer(*answer, size)
            has_complete_answer = True
        # The time runs from the first octet of a partial answer: if each octet restarted it, an engine that
        # sends one octet now and then would never time out.
        if not self.receive_buffer:
            self.partial_since = 0
        elif has_complete_answer or not self.partial_since:
            is_first, self.partial_since = not self.partial_since, self.pool.clock.now()
            if is_first:
                self.pool.io_loop.request_check(self)

    def process_answer(self, query_id, word, fields, body, size):
        """Processes one complete answer of the engine; size: of all of it, in octets."""
        with self.lock:
            attempt = self.open_attempts.get(query_id)
        self.count_received(
            (attempt.pending.resource_group, attempt.pending.tenant) if attempt else NOBODY, size
        )
        if attempt is None or not attempt.written or attempt.pages and word == b"HIT":
            # A duplicate, an answer that crossed a cancellation, or one to a query that was never sent here.
            # It cannot be mistaken for another answer, so it is only counted.
            self.pool.counters.add("answers-surplus")
            return
        if word == b"HIT":
            self.process_first_page(attempt, query_id, fields, body)
        elif word == b"PART" and attempt.pages is not None:
            self.process_further_page(attempt, query_id, fields, body)
        elif word == b"FAULT":
            self.end_attempt(attempt, Ending.ERROR)
        elif word in REJECTIONS and attempt.pages is None:
            self.end_attempt(attempt, REJECTIONS[word])
        else:
            raise ProtocolError("an answer does not fit the request")

    def process_first_page(self, attempt, query_id, fields, body):
        """Stores the first page of a result and requests the further ones; raises ProtocolError."""
        page_count = parse_page_number(fields.get(b"sheets", b"1"))
        if not page_count or not is_page(body):
            raise ProtocolError("the first page of a result is invalid")
        attempt.answered_at = self.pool.clock.now()
        attempt.work = int(parse_number(fields.get(b"toil", b"0"), 1e9) * 10)
        attempt.memory = parse_number(fields.get(b"room", b"0"), 1e9)
        attempt.pages = [body] + [None] * (page_count - 1)
        attempt.pending.stage_times["hit"] = attempt.answered_at
        if not self.pool.exchange.reserve_result(attempt.pending, len(body)):
            self.discard_result(attempt)
        elif page_count > 1:
            self.put(
                "bytes",
                b"".join(b"NEXT %b %d\r\n" % (query_id, number) for number in range(1, page_count)),
                attempt.pending,
            )
            self.pool.io_loop.request_check(self)
        else:
            self.end_attempt(attempt, Ending.FINISHED, attempt.pages)

    def discard_result(self, attempt):
        """Ends an attempt whose query has its answer already, for instance for want of memory."""
        self.end_attempt(attempt, Ending.FINISHED)
        self.put("bytes", b"FREE %b\r\n" % attempt.pending.id, attempt.pending)

    def process_further_page(self, attempt, query_id, fields, body):
        """Stores a requested page; the last missing one completes the result. Raises ProtocolError."""
        number = parse_page_number(fields.get(b"sheet", b""))
        if not 0 < number < len(attempt.pages) or not is_page(body):
            raise ProtocolError("a page is out of range or invalid")
        if attempt.pages[number] is not None:
            self.pool.counters.add("answers-surplus")
            return
        attempt.pages[number] = body
        size = sum(len(page) for page in attempt.pages if page is not None)
        if not self.pool.exchange.reserve_result(attempt.pending, size):
            self.discard_result(attempt)
            return
        if None in attempt.pages:
            return
        if size > MAX_RESULT_SIZE:
            raise ProtocolError("a result is too long")
        self.end_attempt(attempt, Ending.FINISHED, attempt.pages)
        self.put("bytes", b"FREE %b\r\n" % query_id, attempt.pending)

    # Timers and the end

    def check_timers(self, now):
        """In the I/O loop's thread: ends the connection if a time limit has passed.

        Returns when to check next; None if the connection is dead."""
        if self.sock is None and self.resolved_address and not self.dead:
            family, *_, address = self.resolved_address
            self.resolved_address = None
            self.run_guarded(lambda: self.connect(family, address))
        if not self.dead and (timeout := self.expired_timeout(now)):
            self.fail(*timeout)
        if self.is_idle() and (
            self.pool.closing or self.retired or now - self.last_used_at >= self.pool.idle_timeout
        ):
            self.fail("engine-gone" if self.pool.closing else "retired" if self.retired else "idle")
        if self.dead:
            return None
        if self.is_idle():
            return self.last_used_at + self.pool.idle_timeout
        return self.next_check_time(now)

    def is_idle(self):
        """Whether the connection is not dead and no attempt is open on it."""
        return not self.dead and not self.open_attempts

    def expired_timeout(self, now):
        """The time limit that has passed, as (reason code, detail), or None."""
        if self.send_buffer and now - self.write_progress_at > WRITE_TIMEOUT:
            return "write-stalled", None
        if not self.up and now >= self.created_at + self.pool.connect_timeout_s * 10_000:
            return "connect-timeout", "timed out"
        if self.partial_since and now - self.partial_since > PARTIAL_ANSWER_TIMEOUT:
            return "malformed", "an answer stopped midway"
        if any(
            attempt.answered_at and now - attempt.answered_at > PAGE_TIMEOUT
            for attempt in list(self.open_attempts.values())
        ):
            return "page-missing", None
        return None

    def next_check_time(self, now):
        """When to check the timers of a connection in use next."""
        if not self.up:
            return self.created_at + int(self.pool.connect_timeout_s * 10_000)
        if self.send_buffer:
            # The I/O loop also writes for TDS connections, whose own threads read.
            self.pool.io_loop.watch(self, self.READ_EVENTS | WRITE_EVENTS)
            return now + CHECK_PERIOD
        if self.partial_since or any(attempt.answered_at for attempt in list(self.open_attempts.values())):
            return now + CHECK_PERIOD
        return now + self.pool.idle_timeout

    def fail(self, reason, detail=None):
        """From any thread: ends the connection, and each attempt on it with the ending that is proven."""
        with self.lock:
            if self.dead:
                return
            self.dead, self.ended_by_stop = True, reason == "stop"
            attempts, self.open_attempts = list(self.open_attempts.values()), {}
            count = len(attempts)
            self.outbox.clear()
            # If engines run complete requests only, a query whose last bytes were not sent cannot have begun.
            # A connection that the engine broke counts against it like one that could not be opened.
            partly_sent_ending = Ending.NOT_SENT if reason in LOCAL_REASONS else Ending.NO_CONNECTION
            partly_sent = (
                self.send_buffer[3] if self.RUNS_ONLY_COMPLETE_REQUESTS and self.send_buffer else None
            )
            if self.sock:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        pool, unwritten_ending = (
            self.pool,
            Ending.NOT_SENT if self.up or reason in LOCAL_REASONS else Ending.NO_CONNECTION,
        )
        for attempt in attempts:
            pool.exchange.end_attempt(
                attempt,
                partly_sent_ending
                if attempt is partly_sent
                else Ending.RESET
                if attempt.written
                else unwritten_ending,
            )
        self.memory.release()
        pool.remove(self)
        pool.counters.add(f"engine-connections-ended-{reason}")
        pool.log.line(
            "engine-connection-ended",
            engine=pool.queue.name,
            reason=reason,
            detail=detail,
            asked=self.sent_queries,
            open=count,
            lived=(pool.clock.now() - self.created_at) / 10_000,
        )
        pool.io_loop.request_check(self)

    def close_if_idle(self, reason):
        """In the I/O loop's thread, the only one that adds queries: ends the connection if it is idle.

        Returns whether it was idle."""
        is_idle = self.is_idle()
        if is_idle:
            self.fail(reason)
        return is_idle
