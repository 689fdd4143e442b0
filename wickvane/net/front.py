"""What the sessions of all client protocols share: reading and writing in time, a query's wait, its one
answer.

A protocol is a subclass: talk() reads its messages and calls query() with a statement's text; the methods
under "What a protocol says" put answers into its words. It waits on its own socket and its own pending query,
nothing else.
"""

import select
import socket
import time
from struct import unpack_from

from wickvane.errors import RequestRejected
from wickvane.net import exchange as ex
from wickvane.net.counters import ANSWERS, FORWARD, NOBODY, REVERSE
from wickvane.net.queues import ResultStream

# Who connects is owed a word or a close within three seconds, so all up to the first whole query has less;
# who has asked once and stays would hold descriptors for good.
FIRST_S, IDLE_S, MESSAGE_S, WRITE_S = 2.5, 5.0, 2.0, 5.0
RECV = 8_192  # at a time: a larger buffer is paid by each of many threads
# How soon a client that vanished while its query is out is noticed; each look costs a thread's waking. It is
# also looked for right before an attempt, so that nothing begins for one that has gone.
PEEK_S = 0.5
FAREWELL_S, FAREWELL_MOST = 0.25, 1 << 20  # for what a client still sends after its last message, in all
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
STREAM_S = 1.0  # between looks for a client while a long result stands still
OVERDUE = 300  # past its limit: a query is answered here if the module's own thread is stuck or lost it
STORM_TEXT = "a retry storm lasts: try again only after the time that a deferral tells, one try at a time"
LAST_DATA_RECV = 52  # offset in struct tcp_info: milliseconds since data last came


class Ended(Exception):
    """The connection is over, with its reason code and what the client is still told."""

    def __init__(self, reason, last=b"", detail=None):
        super().__init__(reason)
        self.reason, self.last, self.detail = reason, last, detail


class Front:
    """One client's connection."""

    idle_s = None  # how long one that asks nothing is kept, where it is not IDLE_S
    peek_s = None  # how often a waiting query's client is looked at, where it is not PEEK_S

    def __init__(self, sock, peer, service, full):
        self.sock, self.peer, self.full = sock, peer, full
        self.exchange, self.reader, self.clock = service.exchange, service.reader, service.clock
        self.log, self.counters, self.stopping = service.log, service.counters, service.stopping
        self.stop_descriptor = service.stop_descriptor
        self.buffer, self.pending, self.pid, self.queries, self.idle = bytearray(), None, 0, 0, True
        self.since, self.sent_away, self.first_by = service.clock.now(), False, time.monotonic() + FIRST_S
        # Octets that came, those of them whose group is known by now, and those that went.
        self.accounts, self.account = service.accounts, None
        self.received = self.claimed = self.sent = self.warned = 0

    def run(self):
        """The session's thread, from the first byte to the close."""
        reason, last, detail = "fault", b"", None
        began = self.clock.now()
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.accounts is not None:
                self.account = self.accounts.client(self.sock)
            self.talk()
        except Ended as end:
            reason, last, detail = end.reason, end.last, end.detail
        except TimeoutError:
            reason = "client-slow"
        except OSError as failure:
            reason, detail = "client-reset", failure.strerror
        except Exception as failure:  # no thread dies unseen, and no trace of ours reaches a client
            detail = f"{type(failure).__name__}: {failure}"
            last = self.internal_error()
        if self.pending:
            self.leave()
        if self.pid:
            self.exchange.remove_cancel_key(self.pid)
        if last:
            self.farewell(last)
        self.sock.close()
        if self.account is not None:
            self.buffer.clear()
            self.claim(NOBODY)
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

    def farewell(self, last):
        """The last words, then reads what still comes, so that no unread byte resets them."""
        try:
            self.sock.settimeout(1.0)
            self.put(last)
            self.sock.shutdown(socket.SHUT_WR)
            # Input left unread would turn the close into a reset, which can overtake the last message.
            until, most = time.monotonic() + FAREWELL_S, self.received + FAREWELL_MOST
            while (left := until - time.monotonic()) > 0 and self.received < most:
                self.sock.settimeout(left)
                data = self.sock.recv(65_536)
                if not data:
                    break
                self.received += len(data)
        except OSError:
            pass

    def rank(self, fresh):
        """The lower, the sooner it makes room in a full house: who has asked nothing goes first, who came
        since `fresh` may be about to ask and goes last."""
        return 1 if self.queries else 2 * (self.since > fresh)

    def send_away(self):
        """From another thread: ends a session that has no query open, to make room."""
        self.sent_away = True
        if self.idle:
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def put(self, data, key=NOBODY, messages=1, what=0):
        """All of it within the socket's time-out; what the machine took of it is counted to the octet."""
        sent, until = 0, None
        try:
            while True:
                sent += self.sock.send(data[sent:] if sent else data)
                if sent == len(data):
                    return
                if until is None:
                    until = time.monotonic() + self.sock.gettimeout()
                self.sock.settimeout(max(0.001, until - time.monotonic()))
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
                    what if sent == len(data) else 0,
                )

    def claim(self, key):
        """What was read up to here and is nobody's yet belongs to this resource group and tenant."""
        more = self.received - len(self.buffer) - self.claimed
        if more and self.account is not None:
            self.claimed += more
            self.accounts.count(self.account, key, self.clock.now(), FORWARD, more, 1)

    # Reading

    def want(self, n, until):
        """Reads until so many bytes are there; raises past `until`."""
        if not self.queries:
            until = min(until, self.first_by)
        while len(self.buffer) < n:
            self.sock.settimeout(max(0.001, until - time.monotonic()))
            data = self.sock.recv(RECV)
            if not data:
                raise Ended(
                    "made-room"
                    if self.sent_away
                    else "client-closed-midway"
                    if self.buffer
                    else "client-closed"
                )
            self.received += len(data)
            self.buffer += self.plain(data)
            if len(self.buffer) < n and time.monotonic() > until:
                raise TimeoutError

    def cut(self, n):
        """The first bytes of what was read."""
        data = bytes(self.buffer[:n])
        del self.buffer[:n]
        return data

    def await_first(self, stop):
        """The first byte of a next message; `stop` is what the client is told where the dispatcher ends. What
        came before that end is read first, since it is owed an answer."""
        self.since = self.clock.now()
        until = time.monotonic() + (self.idle_s or IDLE_S)
        if not self.queries:
            until = min(until, self.first_by)
        readable = self.await_input(until)
        if not readable:
            raise stop if self.stopping.is_set() else Ended("idle")
        self.want(1, until)
        self.sent_away = False  # it asked just as it was to go

    def await_input(self, until):
        """Whether there is something to read before `until` and before the dispatcher ends."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        poll.register(self.stop_descriptor, select.POLLIN)
        ready = dict(poll.poll(max(0, until - time.monotonic()) * 1000))
        return self.sock.fileno() in ready

    # Queries

    def ask(self, text, arrived, **marks):
        """A statement's one answer, from its text to the last byte of it. marks: what a protocol has other
        places for than the comment ahead of the statement."""
        try:
            self.queries += 1
            pending = ex.PendingQuery(arrived, **self.reader.read(text, **marks))
            pending.client_address, pending.session = self.peer, self
            self.claim((pending.resource_group, pending.tenant))
            self.pending = pending
            self.exchange.submit(pending)
        except RequestRejected as rejected:
            self.pending = None
            self.counters.add("statements-unusable")
            self.log.line("statement-unusable", peer=self.peer, sqlstate=rejected.sqlstate, why=rejected.text)
            self.sock.settimeout(WRITE_S)
            self.put(self.rejected(rejected))
            return
        self.wait(pending)
        self.answer(pending)

    def arrived(self):
        """When the last byte came, by the machine's own account: this thread may have woken long after."""
        now = self.clock.now()
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV + 4)
            return now - 10 * min(60_000, unpack_from("I", info, LAST_DATA_RECV)[0])
        except (OSError, ValueError):
            return now

    def wait(self, pending):
        """Until the query has an answer, its client has gone, or its time is long over."""
        due = pending.deadline + OVERDUE
        look_s = self.peek_s or PEEK_S
        while not pending.answer_ready.acquire(
            timeout=max(0.001, min(look_s, (due - self.clock.now()) / 10_000))
        ):
            if self.vanished():
                self.exchange.abandon(pending)
            elif self.clock.now() >= due:
                self.counters.add("overdue")
                self.exchange.abandon(pending, ex.FAILED)

    def has_gone(self):
        """Whether the client has closed or reset its connection, also behind what it sent before. From any
        thread; reads nothing and does not wait."""
        try:
            poll = select.poll()
            poll.register(self.sock, select.POLLRDHUP)
            return any(events & GONE for _, events in poll.poll(0))
        except (OSError, ValueError):
            return True  # its session has closed it

    def answer(self, pending):
        """Writes the answer in the protocol's words."""
        kind, storm = pending.answer, self.exchange.storm_number
        if storm and storm != self.warned:
            # Once a storm and connection, and with an answer: nobody reads before one.
            self.warned = storm
            self.warn()
            self.counters.add("storm-notices")
        if isinstance(pending.result, ResultStream):
            self.stream(pending, pending.result)
            return
        try:
            kind, data, messages = self.answered(pending, kind)
        finally:
            pending.result = None
        try:
            self.sock.settimeout(WRITE_S)
            self.put(data, (pending.resource_group, pending.tenant), messages, ANSWERS[kind])
        except OSError:
            kind = ex.CLIENT_GONE
            self.count_left(pending)
            raise
        finally:
            self.pending = None
            self.done(pending, kind, len(data))

    def stream(self, pending, pipe):
        """A long result as it comes; where it breaks off, the client is told so, and that is its final
        answer."""
        kind, size, key, form = (
            ex.FAILED,
            0,
            (pending.resource_group, pending.tenant),
            self.streaming(pending),
        )
        self.sock.settimeout(WRITE_S)
        try:
            while (chunk := pipe.take(STREAM_S)) is not None:
                if chunk:
                    data = form.more(chunk)
                    size += len(data)
                    if data:
                        self.sock.settimeout(WRITE_S)
                        self.put(data, key, len(chunk))
                elif self.vanished():
                    raise Ended("client-closed")
            self.sock.settimeout(WRITE_S)
            if not pipe.broken:
                kind = ex.FINISHED
            self.put(form.broken() if pipe.broken else form.end(), key, 1, ANSWERS[kind])
        except (OSError, Ended, ValueError):
            kind = ex.CLIENT_GONE
            self.count_left(pending)
            raise
        finally:
            pipe.close()
            pending.result, self.pending = None, None
            self.done(pending, kind, size)

    def leave(self):
        """The connection ended with a query open."""
        pending, self.pending = self.pending, None
        self.exchange.abandon(pending)
        self.count_left(pending)
        self.done(pending, ex.CLIENT_GONE, 0)

    def count_left(self, pending):
        """Tells the flow accounts of a query whose client left."""
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
    def advice(pending):
        """How long a client whose query is deferred is told to stay away, in milliseconds; 0: not told."""
        return -(-pending.retry_after // 10)

    def done(self, pending, kind, size):
        """Counts a query that has its final answer, and logs it."""
        self.counters.add(kind)
        if kind == ex.REJECTED and pending.retry_after:
            self.counters.add("advised")
            self.counters.add("advised-ms", self.advice(pending))
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

    # What a protocol says

    def talk(self):
        """The protocol's part of run()."""
        raise NotImplementedError

    def internal_error(self):
        """What a client is told of a fault of this program."""
        raise NotImplementedError

    def rejected(self, rejected):
        """What a client is told of a query that is not taken."""
        raise NotImplementedError

    def streaming(self, pending):
        """What makes bytes of a long result's tokens: more(tokens), end(), broken()."""
        raise NotImplementedError

    def plain(self, data):
        """What was read from the socket, less what encryption there is."""
        return data

    def answered(self, pending, kind):
        """(final answer, its bytes, its messages): a result that cannot be put into words is killed."""
        raise NotImplementedError

    def warn(self):
        """Puts a notice that a retry storm lasts ahead of the next answer."""
        raise NotImplementedError

    def vanished(self):
        """Whether the client has gone, or wants no answer any more, while its query is out."""
        raise NotImplementedError
