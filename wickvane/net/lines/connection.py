"""A connection to an engine: the requests on it, and each attempt's one ending.

The keeper (links.py) hands in orders and tells when there is something to read, or room for what the engine
did not take at once; nothing it calls here waits.
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
from wickvane.net.lines.pages import PAGES_MOST, RESULT_MOST, is_page

LINE_MOST, BODY_MOST, PAST_MOST = 512, 6_000, 128
WRITE_TIME = 10_000  # an engine that takes nothing for so long
# An engine writes an answer at once and has a further page at hand: one that stops midway, or a page that
# does not come, leaves a connection that nothing more is to be had from, however long it stays open.
STALL_TIME, PAGE_TIME, LOOK = 5_000, 10_000, 500
RECV = 16_384
WRITES = select.EPOLLOUT
# What this program or its machine ended is no engine's fault; where nothing was sent, nothing ran.
OUR_DOING = frozenset(("stop", "engine-restarted", "engine-gone", "no-thread", "no-descriptor", "made-room"))
OURS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))

NUMBER = re.compile(rb"\d{1,15}(\.\d{0,15})?\Z")


def figure(value, most):
    """A number from 0 to `most`; ProtocolError."""
    if not NUMBER.match(value) or float(value) > most:
        raise ProtocolError("a figure is no number, or out of range")
    return float(value)


def page_number(value):
    """A page's number; ProtocolError."""
    if not value.isdigit() or len(value) > 3 or int(value) > PAGES_MOST:
        raise ProtocolError("a page's number cannot be, or is out of range")
    return int(value)


def parse(buffer):
    """One answer off the front of the buffer: (id, word, fields, body), or None while it is not whole."""
    end = buffer.find(b"\r\n", 0, LINE_MOST + 2)
    if end < 0:
        if len(buffer) > LINE_MOST:
            raise ProtocolError("a line is too long")
        return None
    words = bytes(buffer[:end]).split(b" ")
    if len(words) != 4 or not all(words) or not words[3].isdigit() or len(words[3]) > 5:
        raise ProtocolError("a line has not the form of an answer")
    length = int(words[3])
    if length > BODY_MOST:
        raise ProtocolError("a page is too long")
    whole = end + 2 + length + 2
    if len(buffer) < whole:
        return None
    if buffer[whole - 2 : whole] != b"\r\n":
        raise ProtocolError("a length is wrong")
    fields = {}
    if words[2] != b"-":
        for part in words[2].split(b","):
            name, equals, value = part.partition(b"=")
            if not equals:
                raise ProtocolError("fields cannot be read")
            fields[name] = value
    body = bytes(buffer[end + 2 : whole - 2])
    del buffer[:whole]
    return words[0], words[1], fields, body


def is_number(family, host):
    """Whether a host is an address, and no name to look up."""
    try:
        return bool(socket.inet_pton(family, host))
    except OSError:
        return False


REFUSALS = {b"SHED": Ending.REJECTED, b"LATE": Ending.NOT_SENT}  # answers that prove that nothing ran


class Connection:
    """One connection to an engine by the line protocol, and the attempts that are open on it."""

    # Whether what is asked runs only once the last byte of it has come: a peer may act on a line's beginning.
    RUNS_WHOLE = False
    READS = select.EPOLLIN  # what the keeper watches it for, once it is up

    def __init__(self, link):
        self.link, self.lock = link, Lock()
        self.open, self.past, self.outbox, self.rest = {}, {}, deque(), None
        self.sock, self.dead, self.up, self.retired = None, False, False, False
        self.found = None  # an engine's address, where the list has its name
        self.stalled, self.links_stop, self.started = 0, False, False
        self.made = self.used = link.clock.now()
        self.asked, self.buffer, self.midway = 0, bytearray(), 0
        # When the keeper looks at it next, and whether it is called to.
        self.look_at, self.called = None, False
        # Octets that came, those of them whose query is known by now, and those that went.
        self.accounts, self.account = link.links.accounts, None
        self.received = self.claimed = self.sent = 0

    def start(self):
        """From the keeper's thread: begins to connect; its end is an event of the descriptor."""
        self.guard(self.dial)

    def release(self):
        """From the keeper's thread, which reads it: it has failed, or the program ends."""
        self.let_go()

    def let_go(self):
        """Who reads it has done so for the last time, and closes it: nobody else may, or a descriptor given
        anew would be read from for the one before. All writing is under the lock."""
        with self.lock:
            sock, self.sock = self.sock, None
        if sock is None:
            return
        self.link.links.unwatch(self, sock.fileno())
        sock.close()
        if self.account is not None:
            self.claim(NOBODY, self.received - self.claimed)
            self.accounts.closed(self.account, self.link.clock.now(), self.links_stop)
        if self.received or self.sent:
            self.link.counters.add_octets("engine", self.received, self.sent)

    def count_sent(self, key, octets, messages, what=0):
        """Counts octets that went out, for whom they were."""
        self.sent += octets
        if self.account is not None:
            self.accounts.count(self.account, key, self.link.clock.now(), FORWARD, octets, messages, what)

    def claim(self, key, octets):
        """Counts octets that came in, for whom they were."""
        self.claimed += octets
        if octets and self.account is not None:
            self.accounts.count(self.account, key, self.link.clock.now(), REVERSE, octets, 1)

    def guard(self, work):
        """Does some work; whatever it raises ends this connection alone."""
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
        except Exception as error:  # a fault of ours must not leave its submissions without an ending
            self.fail("fault", f"{type(error).__name__}: {error}")

    def takes(self, attempt, now):
        """Whether an attempt may go out here."""
        with self.lock:
            return (
                not self.dead
                and not self.retired
                and len(self.open) < self.link.streams
                and attempt.pending.id not in self.open
                and attempt.pending.id not in self.past
                and self not in attempt.pending.tried_connections
                and (self.open or now - self.used < self.link.idle_time)
            )

    def put(self, *order):
        """From any thread: written at once where the engine takes it, else by a thread that may wait. False
        for a query of which not a byte has gone out, since the connection is dead."""
        with self.lock:
            if self.dead:
                return False
            if order[0] == "ask":
                self.open[order[1].pending.id] = order[1]
                order[1].pending.tried_connections.append(self)
                self.used = self.link.clock.now()
            self.outbox.append(order)
            failure, dropped = self.flush() if self.up and not self.rest else (None, ())
            unsent = failure and order[0] == "ask" and not order[1].written
            if unsent:
                del self.open[order[1].pending.id]
        for attempt, ending in dropped:
            self.drop(attempt, ending)
        if failure:
            self.fail("reset", failure.strerror)
        return not unsent

    # Writing

    def flush(self):
        """Under the lock: (failure, submissions that are over with it). What the engine does not take at once
        is left to the keeper, and all that follows waits behind it."""
        dropped = []
        while self.outbox:
            kind, *more = self.outbox.popleft()
            if kind == "ask" and not self.link.exchange.may_start(more[0]):
                dropped.append((more[0], Ending.NOT_SENT))
                continue
            try:
                data = self.FORMS[kind](self, *more)
                if not data:
                    continue
                sent = self.send(data)
            except OSError as failure:
                return failure, dropped
            pending, what = more[-1] if kind == "line" else more[0].pending, 0
            if kind == "ask":
                more[0].written = True
                self.asked += 1
                what = FURTHER if more[0].number else FIRST
            key = pending.resource_group, pending.tenant
            self.count_sent(key, sent, 1, what)
            # Not before a QUIT is written: the module may submit anew as soon as it hears of the end.
            over = tuple(more) if kind == "quit" else None
            if sent < len(data):
                self.rest = (data[sent:], over, key, more[0] if kind == "ask" else None)
                self.stalled = self.link.clock.now()
                self.link.links.call(self)
                break
            if over:
                dropped.append(over)
        return None, dropped

    def write_rest(self):
        """From the keeper's thread: the engine may take more of what it did not take at once."""
        with self.lock:
            if self.dead or not self.rest:
                return
            data, over, key, asked = self.rest
            sent = self.send(data)
            self.count_sent(key, sent, 0)
            if sent:
                self.stalled = self.link.clock.now()
            self.rest = (data[sent:], over, key, asked) if sent < len(data) else None
            failure, dropped = (None, []) if self.rest else self.flush()
        if over and sent == len(data):
            self.drop(*over)
        for attempt, ending in dropped:
            self.drop(attempt, ending)
        if failure:
            raise failure
        if not self.rest:
            self.link.links.watch(self, self.READS)

    def check_idle_close(self):
        """Raises where the engine has closed the connection while nothing was open on it: what is written
        after that is lost without proof that it never ran."""
        if len(self.open) > 1 or not self.asked:
            return
        try:
            closed = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return
        if closed:
            raise ConnectionResetError(errno.ECONNRESET, "closed by the engine while idle")

    def send(self, data):
        """How many bytes the engine took at once."""
        try:
            return self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0

    def fields(self, attempt):
        """What an engine is told of a query beside its id and statement, as it leaves; None for one that does
        not any more."""
        if attempt.has_ended or self.open.get(attempt.pending.id) is not attempt:
            return None
        pending, now = attempt.pending, self.link.clock.now()
        pending.stage_times.setdefault("asked", now)
        token = b",uniq=" + pending.token if pending.token else b""
        urgency = b",urgency=%d" % pending.priority if pending.priority >= 0 else b""
        return b"queue=%b,budget=%d%b%b" % (
            pending.verb,
            max(1, (attempt.deadline - now) // 10),
            token,
            urgency,
        )

    def ask(self, attempt):
        """The bytes of an attempt; None where it does not leave any more."""
        self.check_idle_close()
        fields, pending = self.fields(attempt), attempt.pending
        return fields and b"ASK %b %b %d\r\n%b\r\n" % (pending.id, fields, len(pending.body), pending.body)

    def quit(self, attempt, ending):
        """The bytes that give an attempt up."""
        if attempt.has_ended or self.open.get(attempt.pending.id) is not attempt:
            return None
        return (b"FREE %b\r\n" if attempt.pages else b"QUIT %b\r\n") % attempt.pending.id

    def terms(self, attempt):
        """The bytes of a new priority."""
        if attempt.has_ended or not attempt.written or self.open.get(attempt.pending.id) is not attempt:
            return None
        return b"PRIO %b %d\r\n" % (attempt.pending.id, attempt.pending.priority)

    def line(self, data, pending):
        """Bytes that are ready as they are."""
        return data

    FORMS = {"ask": ask, "quit": quit, "terms": terms, "line": line}

    def give_up(self, attempt, ending, at_once):
        """What is not written yet is taken back, which proves that it never ran."""
        with self.lock:
            if self.dead or self.open.get(attempt.pending.id) is not attempt:
                return
            unwritten = not attempt.written
            if unwritten:
                del self.open[attempt.pending.id]
        if unwritten:
            self.link.exchange.end_attempt(attempt, Ending.NOT_SENT)
        else:
            self.call_off(attempt, ending, at_once)

    def call_off(self, attempt, ending, at_once):
        """What is out is given up, by the protocol's own words."""
        if at_once:
            data = (b"FREE %b\r\n" if attempt.pages else b"QUIT %b\r\n") % attempt.pending.id
            self.drop(attempt, ending)
            self.put("line", data, attempt.pending)
        else:
            self.put("quit", attempt, ending)

    def drop(self, attempt, ending, pages=None):
        """The one end of an attempt on this connection."""
        with self.lock:
            if self.open.get(attempt.pending.id) is not attempt:
                return
            del self.open[attempt.pending.id]
            self.past[attempt.pending.id] = True
            # Whatever is still to come of it, or never will, is no concern of the next one.
            self.retired = self.retired or ending in (Ending.NO_ANSWER, Ending.CANCELLED)
            if len(self.past) > PAST_MOST:
                del self.past[next(iter(self.past))]
            self.used, idles = self.link.clock.now(), not self.open
        elapsed = attempt.answered_at - attempt.started_at if attempt.answered_at else None
        self.link.exchange.end_attempt(attempt, ending, elapsed, pages)
        if idles:
            self.link.links.call(self)

    # Reading

    def dial(self):
        """Begins to connect; a name is looked up by a thread of its own."""
        host = self.link.address[0]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        if not is_number(family, host):
            # A look-up waits on a name server, which the keeper does for nobody.
            if not self.link.links.threads.try_start(self.look_up, "engine-name"):
                self.fail("no-thread")
            return
        self.connect(family, self.link.address)

    def look_up(self):
        """That thread: finds the address, and calls."""
        try:
            host, port = self.link.address
            self.found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
        except OSError as error:
            self.fail("connect-refused", error.strerror)
        self.link.links.call(self)

    def connect(self, family, address):
        """Begins to connect to an address, without waiting."""
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
        if code in OURS:
            return self.fail("no-descriptor", os.strerror(code))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        self.link.links.watch(self, WRITES)
        self.link.links.look_at(self)
        return None

    def come_up(self, sock):
        """Queries may go out on it: what waited does."""
        sock.settimeout(None)
        with self.lock:
            self.sock, self.up, dead = sock, True, self.dead
            failure, dropped = (None, ()) if dead else self.flush()
        for attempt, ending in dropped:
            self.drop(attempt, ending)
        if failure:
            raise failure
        return not dead

    # Reading

    def ready(self):
        """From the keeper's thread: the descriptor has something."""
        if self.dead:
            return
        if not self.up:
            self.connected()
            return
        try:
            data = self.sock.recv(RECV, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        if not data:
            self.fail("peer-closed")
            return
        self.buffer += data
        self.received += len(data)
        self.read_answers()

    def connected(self):
        """The connection came up, or failed to."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        if self.accounts is not None:
            self.account = self.accounts.engine(self.sock, self.link.queue.name)
        if self.come_up(self.sock):
            self.link.links.watch(self, self.READS)

    def read_answers(self):
        """Takes all whole answers off the buffer, and notes since when one is not whole."""
        before = len(self.buffer)
        whole = False
        while not self.dead and (answer := parse(self.buffer)):
            size, before = before - len(self.buffer), len(self.buffer)
            self.answer(*answer, size)
            whole = True
        # Counted from the first octet of an answer that is not whole: else one octet now and then would
        # keep it from ever standing still.
        if not self.buffer:
            self.midway = 0
        elif whole or not self.midway:
            first, self.midway = not self.midway, self.link.clock.now()
            if first:
                self.link.links.call(self)

    def answer(self, txn, word, fields, body, size):
        """One whole answer of the engine."""
        with self.lock:
            attempt = self.open.get(txn)
        self.claim((attempt.pending.resource_group, attempt.pending.tenant) if attempt else NOBODY, size)
        if attempt is None or not attempt.written or attempt.pages and word == b"HIT":
            # A second copy, what crossed our giving up, or what was never asked here: it can be told from all
            # else, so it costs nobody anything.
            self.link.counters.add("answers-surplus")
            return
        if word == b"HIT":
            self.first_page(attempt, txn, fields, body)
        elif word == b"PART" and attempt.pages is not None:
            self.further_page(attempt, txn, fields, body)
        elif word == b"FAULT":
            self.drop(attempt, Ending.ERROR)
        elif word in REFUSALS and attempt.pages is None:
            self.drop(attempt, REFUSALS[word])
        else:
            raise ProtocolError("an answer that does not fit what was asked")

    def first_page(self, attempt, txn, fields, body):
        """A result begins; its further pages are asked for."""
        sheets = page_number(fields.get(b"sheets", b"1"))
        if not sheets or not is_page(body):
            raise ProtocolError("a result has no page that can be read")
        attempt.answered_at = self.link.clock.now()
        attempt.work = int(figure(fields.get(b"toil", b"0"), 1e9) * 10)
        attempt.memory = figure(fields.get(b"room", b"0"), 1e9)
        attempt.pages = [body] + [None] * (sheets - 1)
        attempt.pending.stage_times["hit"] = attempt.answered_at
        if sheets > 1:
            self.put(
                "line", b"".join(b"NEXT %b %d\r\n" % (txn, n) for n in range(1, sheets)), attempt.pending
            )
            self.link.links.call(self)
        else:
            self.drop(attempt, Ending.FINISHED, attempt.pages)

    def further_page(self, attempt, txn, fields, body):
        """A page that was asked for; with the last one the result is whole."""
        n = page_number(fields.get(b"sheet", b""))
        if not 0 < n < len(attempt.pages) or not is_page(body):
            raise ProtocolError("a page is out of range or cannot be read")
        if attempt.pages[n] is not None:
            self.link.counters.add("answers-surplus")
            return
        attempt.pages[n] = body
        if None in attempt.pages:
            return
        if sum(map(len, attempt.pages)) > RESULT_MOST:
            raise ProtocolError("a result is too long")
        self.drop(attempt, Ending.FINISHED, attempt.pages)
        self.put("line", b"FREE %b\r\n" % txn, attempt.pending)

    # The end

    def look(self, now):
        """From the keeper's thread: ends what had its time. When to look again; None for a dead one."""
        if self.sock is None and self.found and not self.dead:
            family, *_, address = self.found
            self.found = None
            self.guard(lambda: self.connect(family, address))
        if not self.dead and (why := self.overdue(now)):
            self.fail(*why)
        if self.idles() and (self.link.closing or self.retired or now - self.used >= self.link.idle_time):
            self.fail("engine-gone" if self.link.closing else "retired" if self.retired else "idle")
        if self.dead:
            return None
        if self.idles():
            return self.used + self.link.idle_time
        return self.due(now)

    def idles(self):
        """Whether it lives with nothing open."""
        return not self.dead and not self.open

    def overdue(self, now):
        """Why the connection has had its time, as (reason code, detail), or None."""
        if self.rest and now - self.stalled > WRITE_TIME:
            return "write-stalled", None
        if not self.up and now >= self.made + self.link.connect_s * 10_000:
            return "connect-timeout", "timed out"
        if self.midway and now - self.midway > STALL_TIME:
            return "malformed", "an answer stopped midway"
        if any(
            attempt.answered_at and now - attempt.answered_at > PAGE_TIME
            for attempt in list(self.open.values())
        ):
            return "page-missing", None
        return None

    def due(self, now):
        """When something of it has to be looked at next."""
        if not self.up:
            return self.made + int(self.link.connect_s * 10_000)
        if self.rest:
            # TDS has a thread that reads; both have the keeper write.
            self.link.links.watch(self, self.READS | WRITES)
            return now + LOOK
        if self.midway or any(attempt.answered_at for attempt in list(self.open.values())):
            return now + LOOK
        return now + self.link.idle_time

    def fail(self, reason, detail=None):
        """Ends the connection, and each attempt on it with what is proven."""
        with self.lock:
            if self.dead:
                return
            self.dead, self.links_stop = True, reason == "stop"
            subs, self.open = list(self.open.values()), {}
            count = len(subs)
            self.outbox.clear()
            # A query whose last bytes never left us cannot have begun where only whole ones do. What the peer
            # broke counts against it like a connection that cannot be had.
            lost = Ending.NOT_SENT if reason in OUR_DOING else Ending.NO_CONNECTION
            half = self.rest[3] if self.RUNS_WHOLE and self.rest else None
            if self.sock:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        link, unwritten = (
            self.link,
            Ending.NOT_SENT if self.up or reason in OUR_DOING else Ending.NO_CONNECTION,
        )
        for attempt in subs:
            link.exchange.end_attempt(
                attempt, lost if attempt is half else Ending.RESET if attempt.written else unwritten
            )
        link.ended(self)
        link.counters.add(f"engine-connections-ended-{reason}")
        link.log.line(
            "engine-connection-ended",
            engine=link.queue.name,
            reason=reason,
            detail=detail,
            asked=self.asked,
            open=count,
            lived=(link.clock.now() - self.made) / 10_000,
        )
        link.links.call(self)

    def end_idle(self, reason):
        """From the keeper's thread, which alone hands in queries: whether it idled, and is ended."""
        idles = self.idles()
        if idles:
            self.fail(reason)
        return idles
