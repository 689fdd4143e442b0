"""One client: PostgreSQL 3.0, simple queries."""

import secrets
import socket
import time
from struct import pack, unpack, unpack_from

from wickvane.net import exchange as ex
from wickvane.net.counters import NOBODY
from wickvane.net.front import MESSAGE_S, STORM_TEXT, WRITE_S, Ended, Front
from wickvane.net.postgres.rows import result
from wickvane.net.statement import is_empty

STARTUP_MOST, MESSAGE_MOST = 8_192, 65_536
PROTOCOL, CANCEL, SSL, GSS = 196_608, 80_877_102, 80_877_103, 80_877_104
EXTENDED = b"PBEDCHF"


def message(kind, body=b""):
    """A message of the protocol: kind, length, body."""
    return kind + pack("!I", 4 + len(body)) + body


def error(sqlstate, text, severity=b"ERROR", away=0, kind=b"E", told=b""):
    """away: milliseconds that the client is told to stay away, in DETAIL in a form for programs and in HINT
    for people; 0 for none (PostgreSQL 15, protocol chapter 55.8). kind: N for a notice."""
    code, text = sqlstate.encode(), text.encode("utf-8", "replace")
    told = b"Dstay-away=%dms\0HTry again in %.1f s.\0" % (away, away / 1000) if away else told
    return message(kind, b"S%b\0V%b\0C%b\0M%b\0%b\0" % (severity, severity, code, text, told))


READY = message(b"Z", b"I")
EMPTY = message(b"I") + READY
PARAMETERS = b"".join(
    message(b"S", name + b"\0" + value + b"\0")
    for name, value in (
        (b"server_version", b"15.0 (wickvane)"),
        (b"server_encoding", b"UTF8"),
        (b"client_encoding", b"UTF8"),
        (b"DateStyle", b"ISO, MDY"),
        (b"TimeZone", b"UTC"),
        (b"integer_datetimes", b"on"),
        (b"standard_conforming_strings", b"on"),
        (b"is_superuser", b"off"),
    )
)


class Session(Front):
    """One client connection by PostgreSQL 3.0."""

    TOO_MANY = error("53300", "too many clients", b"FATAL")

    @staticmethod
    def too_fast(away):
        """What one hears that comes faster than connections are let in; away: milliseconds."""
        return error("53300", "too many new connections", b"FATAL", away)

    @staticmethod
    def is_urgent(first):
        """Whether these first octets are a cancel's."""
        return len(first) >= 8 and unpack_from("!I", first, 4)[0] == CANCEL

    def startup(self):
        """(minor version, body) of the start-up message, past requests for encryption."""
        for _ in range(3):
            self.want(8, self.first_by)
            length, code = unpack_from("!II", self.buffer)
            if not 8 <= length <= STARTUP_MOST:
                raise Ended("startup-unreadable", error("08P01", "invalid startup packet", b"FATAL"))
            self.want(length, self.first_by)
            body = self.cut(length)[8:]
            if code in (SSL, GSS):
                self.put(b"N")
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
        """The start-up, then messages until the session ends."""
        self.greet(*self.startup())
        skipping = False  # past an error in the extended protocol, up to its Sync
        while True:
            kind, body = self.next_message()
            if kind == b"S":
                skipping = False
                self.put(READY)
            elif kind == b"H" or skipping and kind in b"PBEDCFQdcfp":
                continue
            elif kind in EXTENDED:
                skipping = kind != b"F"
                refusal = error("0A000", "only simple queries are spoken, not the extended protocol")
                self.put(refusal + (b"" if skipping else READY))
            else:
                self.simple(kind, body)

    def greet(self, minor, body):
        """Answers the start-up message, and hands out the key for cancelling."""
        if self.full:
            raise Ended("too-many", self.TOO_MANY)
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
        self.pid = self.exchange.add_cancel_key(self, secret)
        self.put(
            greeting
            + message(b"R", pack("!I", 0))
            + PARAMETERS
            + message(b"K", pack("!II", self.pid, secret))
            + READY
        )

    def simple(self, kind, body):
        """A message that is not of the extended protocol."""
        if kind == b"X":
            raise Ended("client-terminated")
        if kind == b"Q":
            # Who sends many commands at once and goes wants none of those left.
            if self.queries and self.has_gone():
                raise Ended("client-closed")
            self.query(body)
        elif kind in b"dcfp":
            raise Ended("message-out-of-place", error("08P01", "message out of place", b"FATAL"))
        else:
            raise Ended("message-unknown", error("08P01", "unknown message type", b"FATAL"))

    def next_message(self):
        """(kind, body) of the next message, read within its time."""
        self.claim(NOBODY)
        self.idle = not self.buffer
        try:
            if self.idle:
                self.await_first(Ended("stop", error("57P03", "the dispatcher stops", b"FATAL")))
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
        """One simple query, from its text to the last byte of its answer."""
        if not body.endswith(b"\0") or body.find(b"\0") != len(body) - 1:
            raise Ended("message-malformed", error("08P01", "invalid string in message", b"FATAL"))
        if is_empty(body[:-1]):
            self.sock.settimeout(WRITE_S)
            self.put(EMPTY)
            return
        self.ask(body[:-1], self.arrived())

    def warn(self):
        """As Front."""
        self.sock.settimeout(WRITE_S)
        self.put(error("01000", STORM_TEXT, b"WARNING", kind=b"N", told=b"Dretry-storm=%d\0" % self.warned))

    def rejected(self, rejected):
        """As Front."""
        return error(rejected.sqlstate, rejected.text) + READY

    def internal_error(self):
        """As Front."""
        return error("XX000", "internal error", b"FATAL")

    def vanished(self):
        """As Front."""
        if self.buffer:
            return self.has_gone()  # commands that wait behind the query hide an end of the connection
        try:
            self.sock.settimeout(0)
            return self.sock.recv(1, socket.MSG_PEEK) in (b"", b"X") or self.has_gone()
        except BlockingIOError:
            return False
        except OSError:
            return True

    def answered(self, pending, kind):
        """As Front."""
        if kind == ex.FINISHED:
            try:
                if not pending.result or not isinstance(pending.result[0], bytes):
                    return kind, *self.of_tokens(pending)
                data, messages = result(pending.result, pending.tag)
                return kind, data + READY, messages + 1
            except ValueError:
                kind, data = ex.FAILED, error("XX000", "the engine's result cannot be read") + READY
        elif kind == ex.REJECTED:
            if self.stopping.is_set():
                data = error("57P03", "deferred: the dispatcher stops; it may be sent again") + READY
            else:
                data = (
                    error(
                        "53000",
                        "deferred: no engine has room in time; it may be sent again",
                        away=self.advice(pending),
                    )
                    + READY
                )
        elif kind == ex.FAILED:
            data = error("58000", "killed: it could not be finished, and may have run") + READY
        else:
            data = error("57014", "canceling statement due to user request") + READY
        return kind, data, 2

    def of_tokens(self, pending):
        """The whole result of an engine that speaks TDS."""
        from wickvane.net.tds.results import PostgresRows

        rows = PostgresRows()
        return rows.encode(pending.result) + rows.end(pending.tag) + READY, rows.count + 3

    def streaming(self, pending):
        """As Front."""
        return RowStream(pending.tag)


class RowStream:
    """How a stream of tokens goes to this client: its rows, all as text."""

    def __init__(self, tag):
        from wickvane.net.tds.results import PostgresRows

        self.tag, self.rows = tag, PostgresRows()
        self.more = self.rows.encode

    def end(self):
        """The words behind the last row."""
        return self.rows.end(self.tag) + READY

    def broken(self):
        """The words where the result breaks off."""
        return error("58000", "killed: the result broke off; it may have run") + READY
