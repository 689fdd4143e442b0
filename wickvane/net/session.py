"""One client: PostgreSQL 3.0, simple queries. It waits on its own socket and its own ticket, nothing else."""

import secrets
import socket
import time
from struct import pack, unpack, unpack_from

from wickvane.net import exchange as ex
from wickvane.net.rows import result
from wickvane.net.statement import Unusable, is_empty

STARTUP_MOST, MESSAGE_MOST = 8_192, 65_536
# Who connects is owed a word or a close within three seconds, so all up to the first whole query has less;
# who has asked once and stays would hold descriptors for good.
FIRST_S, IDLE_S, MESSAGE_S, WRITE_S = 2.5, 5.0, 2.0, 5.0
RECV = 8_192  # at a time: a larger buffer is paid by each of many threads
PEEK_S = 0.5  # how soon a client that vanished while it waits is noticed; each look costs a thread's waking
FAREWELL_S = 0.25
OVERDUE = 300  # past its limit: a query is answered here if the module's own thread is stuck or lost it
PROTOCOL, CANCEL, SSL, GSS = 196_608, 80_877_102, 80_877_103, 80_877_104
EXTENDED = b"PBEDCHF"
LAST_DATA_RECV = 52  # offset in struct tcp_info: milliseconds since data last came


def message(kind, body=b""):
    return kind + pack("!I", 4 + len(body)) + body


def error(sqlstate, text, severity=b"ERROR"):
    code, text = sqlstate.encode(), text.encode("utf-8", "replace")
    return message(b"E", b"S%b\0V%b\0C%b\0M%b\0\0" % (severity, severity, code, text))


READY = message(b"Z", b"I")
EMPTY = message(b"I") + READY
PARAMETERS = b"".join(message(b"S", name + b"\0" + value + b"\0") for name, value in (
    (b"server_version", b"15.0 (wickvane)"), (b"server_encoding", b"UTF8"), (b"client_encoding", b"UTF8"),
    (b"DateStyle", b"ISO, MDY"), (b"TimeZone", b"UTC"), (b"integer_datetimes", b"on"),
    (b"standard_conforming_strings", b"on"), (b"is_superuser", b"off"),
))


class Ended(Exception):
    """The connection is over, with its reason code and what the client is still told."""

    def __init__(self, reason, last=b"", detail=None):
        super().__init__(reason)
        self.reason, self.last, self.detail = reason, last, detail


class Session:
    def __init__(self, sock, peer, service, full):
        self.sock, self.peer, self.full = sock, peer, full
        self.exchange, self.reader, self.clock = service.exchange, service.reader, service.clock
        self.log, self.counters, self.stopping = service.log, service.counters, service.stopping
        self.buffer, self.ticket, self.pid, self.queries, self.idle = bytearray(), None, 0, 0, True
        self.since, self.sent_away, self.first_by = service.clock.now(), False, time.monotonic() + FIRST_S

    def run(self):
        reason, last, detail = "fault", b"", None
        began = self.clock.now()
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.talk()
        except Ended as end:
            reason, last, detail = end.reason, end.last, end.detail
        except TimeoutError:
            reason = "client-slow"
        except OSError as failure:
            reason, detail = "client-reset", failure.strerror
        except Exception as failure:  # no thread dies unseen, and no trace of ours reaches a client
            detail = f"{type(failure).__name__}: {failure}"
            last = error("XX000", "internal error", b"FATAL")
        if self.ticket:
            self.leave()
        if self.pid:
            self.exchange.drop_key(self.pid)
        if last:
            self.farewell(last)
        self.sock.close()
        self.counters.add(f"client-connections-ended-{reason}")
        self.log.line("client-connection-ended", peer=self.peer, reason=reason, detail=detail,
                      queries=self.queries, lived=(self.clock.now() - began) / 10_000)

    def farewell(self, last):
        try:
            self.sock.settimeout(1.0)
            self.sock.sendall(last)
            self.sock.shutdown(socket.SHUT_WR)
            # Input left unread would turn the close into a reset, which can overtake the last message.
            self.sock.settimeout(FAREWELL_S)
            for _ in range(16):
                if not self.sock.recv(65_536):
                    break
        except OSError:
            pass

    def send_away(self):
        self.sent_away = True
        self.close()

    def close(self):
        """From another thread: ends a session that has no query open."""
        if self.idle:
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    # Reading

    def want(self, n, until):
        if not self.queries:
            until = min(until, self.first_by)
        while len(self.buffer) < n:
            self.sock.settimeout(max(0.001, until - time.monotonic()))
            data = self.sock.recv(RECV)
            if not data:
                raise Ended("made-room" if self.sent_away else
                            "client-closed-midway" if self.buffer else "client-closed")
            self.buffer += data
            if len(self.buffer) < n and time.monotonic() > until:
                raise TimeoutError

    def cut(self, n):
        data = bytes(self.buffer[:n])
        del self.buffer[:n]
        return data

    def startup(self):
        for _ in range(3):
            self.want(8, self.first_by)
            length, code = unpack_from("!II", self.buffer)
            if not 8 <= length <= STARTUP_MOST:
                raise Ended("startup-unreadable", error("08P01", "invalid startup packet", b"FATAL"))
            self.want(length, self.first_by)
            body = self.cut(length)[8:]
            if code in (SSL, GSS):
                self.sock.sendall(b"N")
                continue
            if code == CANCEL:
                if len(body) != 8:
                    raise Ended("startup-unreadable")
                known = self.exchange.cancel(*unpack("!II", body))
                raise Ended("cancel-request" if known else "cancel-request-for-nothing")
            if code >> 16 != 3:
                raise Ended("protocol-version", error("0A000", "only protocol 3.0 is spoken", b"FATAL"))
            return code & 0xFFFF, body
        raise Ended("startup-unreadable", error("08P01", "invalid startup packet", b"FATAL"))

    def talk(self):
        minor, body = self.startup()
        if self.full:
            raise Ended("too-many", error("53300", "too many clients", b"FATAL"))
        words = body.split(b"\0")
        if not body.endswith(b"\0\0") or len(words) % 2:
            raise Ended("startup-unreadable", error("08P01", "invalid startup packet", b"FATAL"))
        options = dict(zip(words[0:-2:2], words[1:-2:2]))
        if not options.get(b"user"):
            raise Ended("no-user", error("28000", "no user name in the startup packet", b"FATAL"))
        unknown = [name for name in options if name.startswith(b"_pq_.")]
        greeting = b""
        if minor or unknown:
            names = b"".join(name + b"\0" for name in unknown)
            greeting = message(b"v", pack("!II", 0, len(unknown)) + names)
        secret = secrets.randbits(32)
        self.pid = self.exchange.cancel_key(self, secret)
        self.sock.sendall(greeting + message(b"R", pack("!I", 0)) + PARAMETERS
                          + message(b"K", pack("!II", self.pid, secret)) + READY)
        skipping = False
        while True:
            kind, body = self.next_message()
            if kind == b"X":
                raise Ended("client-terminated")
            elif kind == b"S":
                skipping = False
                self.sock.sendall(READY)
            elif kind == b"H" or skipping and kind in b"PBEDCFQdcfp":
                continue
            elif kind == b"Q":
                self.query(body)
            elif kind in EXTENDED:
                skipping = kind != b"F"
                self.sock.sendall(error("0A000", "only simple queries are spoken, not the extended protocol")
                                  + (b"" if skipping else READY))
            elif kind in b"dcfp":
                raise Ended("message-out-of-place", error("08P01", "message out of place", b"FATAL"))
            else:
                raise Ended("message-unknown", error("08P01", "unknown message type", b"FATAL"))

    def await_message(self):
        stop = Ended("stop", error("57P01", "the dispatcher stops", b"FATAL"))
        if self.stopping.is_set():
            raise stop
        self.since = self.clock.now()
        try:
            self.want(1, time.monotonic() + IDLE_S)
        except TimeoutError:
            raise Ended("idle") from None
        except Ended as end:
            raise (stop if self.stopping.is_set() else end) from None
        self.sent_away = False  # it asked just as it was to go

    def next_message(self):
        self.idle = not self.buffer
        try:
            if self.idle:
                self.await_message()
        finally:
            self.idle = False
        until = time.monotonic() + MESSAGE_S
        self.want(5, until)
        length = unpack_from("!I", self.buffer, 1)[0]
        if length < 4:
            raise Ended("message-malformed", error("08P01", "invalid message length", b"FATAL"))
        if length > MESSAGE_MOST:
            raise Ended("message-too-long", error("54000", "the message is too long", b"FATAL"))
        self.want(1 + length, until)
        data = self.cut(1 + length)
        return data[:1], data[5:]

    # Queries

    def query(self, body):
        if not body.endswith(b"\0") or body.find(b"\0") != len(body) - 1:
            raise Ended("message-malformed", error("08P01", "invalid string in message", b"FATAL"))
        arrived = self.arrived()
        try:
            if is_empty(body[:-1]):
                self.sock.settimeout(WRITE_S)
                self.sock.sendall(EMPTY)
                return
            self.queries += 1
            ticket = ex.Ticket(arrived, **self.reader.read(body[:-1]))
            self.ticket = ticket
            try:
                self.exchange.take(ticket)
            except ex.NotTaken as refused:
                self.ticket = None
                raise Unusable(refused.sqlstate, refused.text) from None
        except Unusable as unusable:
            self.counters.add("statements-unusable")
            self.log.line("statement-unusable", peer=self.peer, sqlstate=unusable.sqlstate, why=unusable.text)
            self.sock.settimeout(WRITE_S)
            self.sock.sendall(error(unusable.sqlstate, unusable.text) + READY)
            return
        self.wait(ticket)
        self.answer(ticket)

    def arrived(self):
        """When the last byte came, by the machine's own account: this thread may have woken long after."""
        now = self.clock.now()
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV + 4)
            return now - 10 * min(60_000, unpack_from("I", info, LAST_DATA_RECV)[0])
        except (OSError, ValueError):
            return now

    def wait(self, ticket):
        due = ticket.limit + OVERDUE
        while not ticket.ready.acquire(timeout=max(0.001, min(PEEK_S, (due - self.clock.now()) / 10_000))):
            if self.vanished():
                self.exchange.leave(ticket)
            elif self.clock.now() >= due:
                self.counters.add("overdue")
                self.exchange.leave(ticket, ex.KILLED)

    def vanished(self):
        if self.buffer:
            return False
        try:
            self.sock.settimeout(0)
            return self.sock.recv(1, socket.MSG_PEEK) in (b"", b"X")
        except BlockingIOError:
            return False
        except OSError:
            return True

    def answer(self, ticket):
        kind = ticket.answer
        if kind == ex.FINISHED:
            try:
                data = result(ticket.pages, ticket.tag) + READY
            except ValueError:
                kind, data = ex.KILLED, error("XX000", "the engine's result cannot be read") + READY
        elif kind == ex.DEFERRED:
            if self.stopping.is_set():
                data = error("57P03", "deferred: the dispatcher stops; it may be sent again") + READY
            else:
                data = error("53000", "deferred: no engine has room in time; it may be sent again") + READY
        elif kind == ex.KILLED:
            data = error("58000", "killed: it could not be finished, and may have run") + READY
        else:
            data = error("57014", "canceling statement due to user request") + READY
        ticket.pages = None
        try:
            self.sock.settimeout(WRITE_S)
            self.sock.sendall(data)
        except OSError:
            kind = ex.LEFT
            raise
        finally:
            self.ticket = None
            self.done(ticket, kind, len(data))

    def leave(self):
        ticket, self.ticket = self.ticket, None
        self.exchange.leave(ticket)
        self.done(ticket, ex.LEFT, 0)

    def done(self, ticket, kind, size):
        self.counters.add(kind)
        self.counters.add("bytes-answered", size)
        now, begin, last = self.clock.now(), ticket.arrived, ticket.submission
        self.log.line(
            "query", txn=ticket.id, rg=ticket.verb, answer=kind, submissions=ticket.count,
            engine=last.lane.name if last and last.lane else None, coord=ticket.coord,
            cost=ticket.cost / 10, took=(now - begin) / 10, limit=(ticket.limit - begin) / 10,
            **{stage: (at - begin) / 10 for stage, at in ticket.stages.items()},
        )
