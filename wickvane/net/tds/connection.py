"""One connection to an engine that speaks TDS: a login, then a query at a time, given up by attention.

It stands where a connection of the line protocol does: the keeper hands in orders, a thread of its own
dials, logs in and reads (a stream waits for its client, which the keeper must not), and each attempt gets
its one ending. What proves that nothing ran:

    refused, not up in time, login refused, routed elsewhere    no connection   proven
    given up or lost before the first packet left               not sent        proven
    lost while the last byte of the batch had not left us       no connection   proven: only whole ones run
    ERROR of a number in errors.TURNED_AWAY                     turned away     proven
    any other ERROR, whatever its severity                      error           no
    reset, closed, malformed, no end, once all of it has left   reset           no
    attention acknowledged                                      cancelled       no
"""

import re
import socket
from struct import pack

from wickvane.errors import ProtocolError
from wickvane.events import Ending
from wickvane.net.lines import connection as lines
from wickvane.net.queues import ResultStream
from wickvane.net.tds import errors, login7, packets, prelogin, statements, tokens
from wickvane.net.tds.results import GatheredTokens

RESULT_MOST = 48_000  # octets gathered whole; what is longer streams
PIPE_MOST = 256 << 10
LOGIN_TOKENS_MOST, RECV, DONE_SIZE = 64, 32_768, 13
READ_S, STALLS = 5, 2
RECEIVED = frozenset((packets.TABULAR_RESULT, packets.PRELOGIN))
MESSAGE_MOST = 1 << 62  # a result has no bound of its own: each packet is taken out of it as it comes
WORK = re.compile(r"work=(\d{1,9}(?:\.\d{1,6})?) memory=(\d{1,9}(?:\.\d{1,6})?)\Z")


class Connection(lines.Connection):
    """One connection to an engine by TDS, with a thread of its own."""

    READS = 0  # its own thread does
    RUNS_WHOLE = True  # [MS-TDS] 2.2.1.3: a batch is whole with the packet that has the end-of-message bit

    def __init__(self, link):
        super().__init__(link)
        self.engines = link.queue.speaks
        self.size, self.stream, self.assembler = (
            packets.DEFAULT_PACKET_SIZE,
            None,
            packets.MessageAssembler(MESSAGE_MOST, RECEIVED),
        )
        # busy: a batch is out whose end has not come; attending: when its attention must be acknowledged.
        self.busy, self.attending, self.attempt = False, 0, None
        self.result, self.gathered, self.pipe, self.error = GatheredTokens(), 0, None, None

    def takes(self, attempt, now):
        with self.lock:
            return (
                not self.dead
                and not self.retired
                and not self.open
                and not self.busy
                and now - self.used < self.link.idle_time
            )

    # Orders

    def ask(self, attempt):
        fields, pending = self.fields(attempt), attempt.pending
        if not fields:
            return None
        text = (b"/* id=%b,%b */ %b" % (pending.id, fields, pending.body)).decode("utf-8", "replace")
        self.busy, self.attempt, self.attending = True, attempt, 0
        self.result, self.gathered, self.pipe, self.error = GatheredTokens(), 0, None, None
        self.stream = tokens.TokenStreamReader()
        # What the last query left in the session (temporary tables, options) is no matter of this one.
        status = packets.STATUS_RESET_CONNECTION if self.asked else 0
        return packets.encode_packets(packets.SQL_BATCH, statements.batch(text), self.size, 0, status)

    def attention(self, attempt, ending):
        if not self.busy or self.attempt is not attempt or self.attending:
            return None
        self.attending = self.link.clock.now() + self.link.links.attention_time
        self.link.links.call(self)
        return packets.encode_packets(packets.ATTENTION, b"")

    def terms(self, attempt):
        return None  # priorities are not said in TDS once a batch is out

    FORMS = {"ask": ask, "attention": attention, "terms": terms}

    def call_off(self, attempt, ending, at_once):
        """A batch that is out is given up by attention; its ending is the acknowledgement's, or the
        connection's, since until then its threads are at work. Only at the client's own limit is it told at
        once. A stream is its client's."""
        if self.pipe is not None:
            return
        self.put("attention", attempt, ending)
        if at_once:
            self.drop(attempt, ending)

    def drop(self, attempt, ending, pages=None):
        with self.lock:
            if self.open.get(attempt.pending.id) is not attempt:
                return
            del self.open[attempt.pending.id]
            self.used = self.link.clock.now()
        self.link.exchange.end(attempt, ending, attempt.told - attempt.at if attempt.told else None, pages)
        self.link.links.call(self)

    def idles(self):
        return super().idles() and not self.busy

    def overdue(self, now):
        if self.attending and now > self.attending and self.busy:
            return "attention-unanswered", None
        return super().overdue(now) if self.up else None

    def due(self, now):
        return now + lines.LOOK if self.attending or not self.up else super().due(now)

    # The start

    def start(self):
        if not self.link.links.threads.spare(self.work_out, "engine-reader"):
            self.fail("no-thread")

    def work_out(self):
        self.guard(self.work)
        self.let_go()

    def release(self):
        pass  # its own thread reads

    def dial(self):
        sock = socket.create_connection(self.link.address, timeout=self.link.connect_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.accounts is not None:
            self.account = self.accounts.engine(sock, self.link.queue.name)
        return sock

    def work(self):
        sock = self.dial()
        with self.lock:
            self.sock = sock  # so that a connection that is ended meanwhile is closed under its login
        if self.dead:
            return
        refused = self.log_in(sock)
        if refused:
            self.fail("login-refused", refused)
        elif self.come_up(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, pack("ll", READ_S, 0))
            self.read()

    def exchange_of(self, sock, message):
        """A message of the start and its answer's body."""
        sock.sendall(message)
        self.count_sent(lines.NOBODY, len(message), 1)
        self.assembler.max_message_size = 65_536
        while (found := self.assembler.next_message()) is None:
            data = sock.recv(RECV)
            if not data:
                raise ConnectionResetError("closed at the login")
            self.received += len(data)
            self.assembler.feed(data)
        return found[2]

    def log_in(self, sock):
        """Why the engine does not take us, or None."""
        encryption = bytes((prelogin.ENCRYPT_NOT_SUPPORTED,))
        answer = prelogin.read_prelogin(
            self.exchange_of(
                sock,
                packets.encode_packets(
                    packets.PRELOGIN,
                    prelogin.encode_prelogin(
                        {
                            prelogin.VERSION: bytes(6),
                            prelogin.ENCRYPTION: encryption,
                            prelogin.INSTANCE: b"\0",
                            prelogin.THREAD_ID: bytes(4),
                            prelogin.MARS: b"\0",
                        }
                    ),
                ),
            )
        )
        if prelogin.encryption_of(answer) in (prelogin.ENCRYPT_ON, prelogin.ENCRYPT_REQUIRED):
            return "it takes encrypted logins only"
        engines = self.engines
        body = self.exchange_of(
            sock,
            packets.encode_packets(
                packets.LOGIN7,
                login7.encode_login7(engines.user, engines.password, "wickvane", engines.database),
            ),
        )
        welcome, why = False, "no login was acknowledged"
        for count, (token, _, said) in enumerate(tokens.TokenStreamReader().feed(body)):
            if token == tokens.LOGINACK:
                welcome = True
            elif token == tokens.ERROR:
                welcome, why = False, f"{said[0]}: {said[3]}"
                break
            elif token == tokens.ENVCHANGE and said[0] == tokens.ENV_ROUTING:
                return "it routes elsewhere"
            elif token == tokens.ENVCHANGE and said[0] == tokens.ENV_PACKET_SIZE and said[1]:
                size = said[1][1 : 1 + 2 * said[1][0]].decode("utf-16-le", "replace")
                if size.isdigit() and packets.MIN_PACKET_SIZE <= int(size) <= packets.MAX_PACKET_SIZE:
                    self.size = int(size)
            if count > LOGIN_TOKENS_MOST:
                raise ProtocolError("a login's answer is too long")
        return None if welcome else why

    # Reading

    def read(self):
        stalls = 0
        while not self.dead:
            try:
                data = self.sock.recv(RECV)
            except BlockingIOError:
                # Silence is judged by the module; half a packet or token is an answer that stopped.
                half = self.assembler.buffer or self.stream and self.stream.is_mid_token()
                stalls = stalls + 1 if half else 0
                if stalls >= STALLS:
                    raise ProtocolError("an answer stopped midway") from None
                continue
            if not data:
                return self.fail("peer-closed")
            stalls = 0
            self.received += len(data)
            attempt = self.attempt
            self.claim(
                (attempt.pending.resource_group, attempt.pending.tenant) if attempt else lines.NOBODY,
                len(data),
            )
            self.assembler.feed(data)
            while (found := self.assembler.next_packet()) is not None:
                kind, status, body = found
                if kind != packets.TABULAR_RESULT or self.stream is None or not self.busy:
                    raise ProtocolError("an answer to nothing")
                if self.attending and (self.pipe is not None or self.gathered > RESULT_MOST):
                    self.discard(body, status & packets.STATUS_EOM)
                else:
                    self.process_tokens(body, status & packets.STATUS_EOM)
                if self.dead:
                    return

    def process_tokens(self, body, last):
        attempt, ended, chunk, size = self.attempt, None, [], 0
        for item in self.stream.feed(body):
            token, raw, said = item
            if ended is not None and not self.attending:
                raise ProtocolError("tokens behind the end of an answer")
            if token in tokens.DONE_TOKENS:
                status, _, rows = said
                if status & tokens.DONE_ATTN:
                    ended = status
                elif not status & tokens.DONE_MORE and token != tokens.DONEINPROC:
                    ended = ended if ended is not None else status
                    self.result.rows = rows if status & tokens.DONE_COUNT else self.result.rows
                else:
                    chunk.append(item)
                    size += len(raw)
            elif token == tokens.INFO and said[0] == errors.REPORT:
                if found := WORK.match(said[3]):
                    attempt.work, attempt.memory = int(float(found[1]) * 10), float(found[2])
            elif token == tokens.ERROR:
                self.error = self.error or said
            elif token in (tokens.COLMETADATA, tokens.ROW, tokens.NBCROW, tokens.ORDER):
                chunk.append(item)
                size += len(raw)
        self.gathered += size
        if self.pipe is not None:
            if chunk and not self.pipe.put(chunk, size):
                self.put("attention", attempt, Ending.CANCELLED)  # the client has gone
        else:
            self.result.extend(chunk)
            if self.gathered > RESULT_MOST and not self.error and not self.attending:
                self.begin_stream(attempt)
            elif self.gathered > RESULT_MOST:
                self.result.clear()  # given up, or an error's: nobody reads it
        if last:
            if self.stream.is_mid_token() or ended is None:
                raise ProtocolError("an answer without its end")
            self.finish(attempt, ended)

    def discard(self, body, last):
        """The rest of a long result that was given up: an engine may go on for long, and none of it is worth
        the reading. Its acknowledgement is the last token of a last packet."""
        if not last:
            return
        end = body[-DONE_SIZE:]
        if len(end) < DONE_SIZE or end[0] not in tokens.DONE_TOKENS:
            raise ProtocolError("an answer without its end")
        self.finish(self.attempt, int.from_bytes(end[1:3], "little"))

    def begin_stream(self, attempt):
        pipe = ResultStream(PIPE_MOST)
        pipe.put(list(self.result), 0)
        self.result = GatheredTokens()
        with self.lock:
            begins = self.open.get(attempt.pending.id) is attempt and self.link.exchange.begin(attempt, pipe)
            if begins:
                self.pipe = pipe
        if not begins:
            self.gathered = 0

    def finish(self, attempt, status):
        acknowledged = bool(status & tokens.DONE_ATTN)
        # An attention that crossed the end of the answer is still to be acknowledged.
        waits = self.attending and not acknowledged
        ending = Ending.CANCELLED if acknowledged else Ending.FINISHED
        if self.error and not acknowledged:
            number, _, severity, text = self.error
            ending = errors.ending_of(number, severity)
            attempt.pending.why = f"{number}: {text[:400]}"
        attempt.told = self.link.clock.now()
        result, pipe, fatal = self.result, self.pipe, self.error and self.error[2] >= errors.FATAL
        with self.lock:
            if not waits:
                self.busy, self.attending, self.attempt = False, 0, None
            self.result, self.stream = GatheredTokens(), tokens.TokenStreamReader() if waits else None
            # What waits for its acknowledgement alone still discards, whatever comes ahead of it.
            self.pipe = self.pipe if waits else None
        if pipe is not None:
            pipe.end(waits or ending != Ending.FINISHED)
            ending = Ending.CANCELLED if waits else ending
        self.drop(attempt, ending, result if ending == Ending.FINISHED and pipe is None else None)
        if fatal:
            self.fail("engine-error", attempt.pending.why)

    def fail(self, reason, detail=None):
        pipe = self.pipe
        super().fail(reason, detail)
        if pipe is not None:
            pipe.end(True)
