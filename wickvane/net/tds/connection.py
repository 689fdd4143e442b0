"""One connection to an engine that speaks TDS: a login, then one batch at a time, cancelled by ATTENTION.

It has the interface of a connection of the line protocol: the engine pool's I/O loop hands in orders; a
thread of its own dials, logs in and reads, since it may wait for the client of a streamed result, which the
I/O loop must not. Each attempt gets one ending. What proves that nothing ran:

    connection refused or timed out, login rejected, routed elsewhere    no connection   proven
    given up or lost before the first packet was sent                    not sent        proven
    lost before the last byte of the batch was sent                      no connection   proven
    ERROR of a number in errors.REJECTED_BEFORE_RUNNING                  rejected        proven
    any other ERROR, whatever its severity                               error           no
    reset, closed, malformed or no end after all of it was sent          reset           no
    attention acknowledged                                               cancelled       no
"""

import socket
import struct
from enum import Enum, auto

from wickvane.errors import ProtocolError
from wickvane.events import Ending
from wickvane.net.lines import connection as lines
from wickvane.net.queues import ResultStream
from wickvane.net.tds import engine_login, errors, packets, tokens
from wickvane.net.tds.batch_answer import BatchAnswer, Chunk, read_end_status
from wickvane.net.tds.results import GatheredTokens
from wickvane.net.tds.sql_batch import encode_sql_batch

STREAM_BUFFER_SIZE = 256 << 10  # octets between the engine's thread and the client's
RECEIVE_SIZE = 32_768  # octets
READ_TIMEOUT_S = 5
MAX_READ_TIMEOUTS_MIDWAY = 2
MAX_LOGIN_ANSWER_SIZE = 65_536  # octets
UNBOUNDED = 1 << 62  # a result has no bound: its packets are taken out one by one
MAX_LOGGED_ERROR_CHARACTERS = 400
ENGINE_MESSAGE_TYPES = frozenset((packets.TABULAR_RESULT, packets.PRELOGIN))


class BatchState(Enum):
    """Where the batch on a connection is."""

    IDLE = auto()  # none is out
    RUNNING = auto()  # sent; its result is gathered
    STREAMING = auto()  # its result is passed on while it is read
    ATTENTION_SENT = auto()  # cancelled; the acknowledgement is awaited


class BatchEvent(Enum):
    """What changes a BatchState."""

    BATCH_ENCODED = auto()
    STREAM_BEGUN = auto()
    ATTENTION_ENCODED = auto()
    ANSWER_COMPLETE = auto()


class Connection(lines.Connection):
    """One connection to an engine by TDS, with a thread of its own."""

    READ_EVENTS = 0  # its own thread reads, not the I/O loop
    # MS-TDS 2.2.1.3: a batch is complete with the packet that has the EOM bit
    RUNS_ONLY_COMPLETE_REQUESTS = True

    def __init__(self, pool) -> None:
        super().__init__(pool)
        self.engines = pool.queue.speaks
        self.packet_size = packets.DEFAULT_PACKET_SIZE
        self.assembler = packets.MessageAssembler(UNBOUNDED, ENGINE_MESSAGE_TYPES)
        self.state = BatchState.IDLE
        self.attention_deadline = 0  # ticks; by then an attention must be acknowledged
        self.attempt = None
        self.answer_reader: BatchAnswer | None = None
        self.stream: ResultStream | None = None

    def _change_state(self, event: BatchEvent) -> None:
        """All transitions. Under the lock."""
        match event:
            case BatchEvent.BATCH_ENCODED:
                self.state = BatchState.RUNNING
            case BatchEvent.STREAM_BEGUN:
                if self.state is BatchState.RUNNING:
                    self.state = BatchState.STREAMING
            case BatchEvent.ATTENTION_ENCODED:
                self.state = BatchState.ATTENTION_SENT
            case BatchEvent.ANSWER_COMPLETE:
                self.state = BatchState.IDLE

    @property
    def attention_sent(self) -> bool:
        """Whether the acknowledgement of an attention is awaited."""
        return self.state is BatchState.ATTENTION_SENT

    def accepts(self, attempt, now: int) -> bool:
        """As lines.Connection: one batch at a time."""
        with self.lock:
            usable = not self.dead and not self.retired
            unused = not self.open_attempts and self.state is BatchState.IDLE
            return usable and unused and now - self.last_used_at < self.pool.idle_timeout

    # Orders

    def encode_ask(self, attempt) -> bytes | None:
        """The packets of an attempt's batch; None where it is not sent any more."""
        fields = self.request_fields(attempt)
        if not fields:
            return None
        pending = attempt.pending
        text = (b"/* id=%b,%b */ %b" % (pending.id, fields, pending.body)).decode("utf-8", "replace")
        self.attempt = attempt
        self.answer_reader = BatchAnswer()
        self.stream = None
        self._change_state(BatchEvent.BATCH_ENCODED)
        # Temporary tables and options that the last query left in the engine's session must not be seen.
        status = packets.STATUS_RESET_CONNECTION if self.sent_queries else 0
        return packets.encode_packets(packets.SQL_BATCH, encode_sql_batch(text), self.packet_size, 0, status)

    def encode_attention(self, attempt, ending: Ending) -> bytes | None:
        """The ATTENTION that cancels an attempt; None where it is not running or is cancelled already."""
        if self.attempt is not attempt or self.state in (BatchState.IDLE, BatchState.ATTENTION_SENT):
            return None
        self._change_state(BatchEvent.ATTENTION_ENCODED)
        self.attention_deadline = self.pool.clock.now() + self.pool.io_loop.attention_timeout
        self.pool.io_loop.request_check(self)
        return packets.encode_packets(packets.ATTENTION, b"")

    def encode_priority(self, attempt) -> None:
        """Nothing: TDS cannot change the priority of a batch that is out."""
        return None

    ENCODERS = {"ask": encode_ask, "attention": encode_attention, "terms": encode_priority}

    def cancel_written(self, attempt, ending: Ending, at_once: bool) -> None:
        """Cancels a batch by ATTENTION; a streamed result is left to its client.

        The attempt ends with the acknowledgement or the connection, since until then the engine works on it;
        at_once: it ends now, as its client's own time limit requires."""
        if self.stream is not None:
            return
        self.put("attention", attempt, ending)
        if at_once:
            self.end_attempt(attempt, ending)

    def end_attempt(self, attempt, ending: Ending, pages=None) -> None:
        """The one end of an attempt on this connection."""
        with self.lock:
            if self.open_attempts.get(attempt.pending.id) is not attempt:
                return
            del self.open_attempts[attempt.pending.id]
            self.last_used_at = self.pool.clock.now()
        elapsed = attempt.answered_at - attempt.started_at if attempt.answered_at else None
        self.pool.exchange.end_attempt(attempt, ending, elapsed, pages)
        self.pool.io_loop.request_check(self)

    def is_idle(self) -> bool:
        """As lines.Connection."""
        return super().is_idle() and self.state is BatchState.IDLE

    def expired_timeout(self, now: int) -> tuple[str, str | None] | None:
        """As lines.Connection; an attention has a time within which it must be acknowledged."""
        if self.attention_sent and now > self.attention_deadline:
            return "attention-unanswered", None
        return super().expired_timeout(now) if self.up else None

    def next_check_time(self, now: int) -> int:
        """As lines.Connection."""
        return (
            now + lines.CHECK_PERIOD if self.attention_sent or not self.up else super().next_check_time(now)
        )

    # Dialling and login

    def start(self) -> None:
        """Starts the thread that dials, logs in and reads."""
        if not self.pool.io_loop.threads.spare(self._run, "engine-reader"):
            self.fail("no-thread")

    def release(self) -> None:
        """Nothing: its own thread closes the socket."""

    def _run(self) -> None:
        self.run_guarded(self._connect_and_read)
        self.close_socket()

    def dial(self) -> socket.socket:
        """Connects to the engine; raises OSError."""
        sock = socket.create_connection(self.pool.address, timeout=self.pool.connect_timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.accounts is not None:
            self.account = self.accounts.engine(sock, self.pool.queue.name)
        return sock

    def _connect_and_read(self) -> None:
        sock = self.dial()
        with self.lock:
            self.sock = sock  # so that ending the connection from elsewhere ends the login too
        if self.dead:
            return
        rejection = self._log_in(sock)
        if rejection is not None:
            self.fail("login-refused", rejection)
        elif self.mark_up(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", READ_TIMEOUT_S, 0))
            self._read()

    def _log_in(self, sock: socket.socket) -> str | None:
        """Why the engine does not accept the login, or None."""
        if engine_login.requires_encryption(self._exchange(sock, engine_login.prelogin_request())):
            return "it takes encrypted logins only"
        engines = self.engines
        request = engine_login.login_request(engines.user, engines.password, engines.database)
        result = engine_login.read_login_answer(self._exchange(sock, request))
        self.packet_size = result.packet_size
        return result.rejection

    def _exchange(self, sock: socket.socket, message: bytes) -> bytes:
        """Sends a message of the login; returns the body of its answer."""
        sock.sendall(message)
        self.count_sent(lines.NOBODY, len(message), 1)
        self.assembler.max_message_size = MAX_LOGIN_ANSWER_SIZE
        while (answer := self.assembler.next_message()) is None:
            data = sock.recv(RECEIVE_SIZE)
            if not data:
                raise ConnectionResetError("closed at the login")
            self.received += len(data)
            self.assembler.feed(data)
        return answer.body

    # Reading

    def _read(self) -> None:
        timeouts_midway = 0
        while not self.dead:
            try:
                data = self.sock.recv(RECEIVE_SIZE)
            except BlockingIOError:
                # The scheduler judges silence; half a packet or token is an answer that stopped.
                timeouts_midway = timeouts_midway + 1 if self._is_midway() else 0
                if timeouts_midway >= MAX_READ_TIMEOUTS_MIDWAY:
                    raise ProtocolError("an answer stopped midway") from None
                continue
            if not data:
                self.fail("peer-closed")
                return
            timeouts_midway = 0
            self._receive(data)

    def _is_midway(self) -> bool:
        answer = self.answer_reader
        return bool(self.assembler.buffer) or answer is not None and answer.is_mid_token()

    def _receive(self, data: bytes) -> None:
        self.received += len(data)
        attempt = self.attempt
        key = (attempt.pending.resource_group, attempt.pending.tenant) if attempt else lines.NOBODY
        self.count_received(key, len(data))
        self.assembler.feed(data)
        while not self.dead and (packet := self.assembler.next_packet()) is not None:
            self._process_packet(packet)

    def _process_packet(self, packet: packets.Message) -> None:
        answer = self.answer_reader
        if packet.type != packets.TABULAR_RESULT or answer is None or self.state is BatchState.IDLE:
            raise ProtocolError("an answer to nothing")
        is_last = bool(packet.status & packets.STATUS_EOM)
        if self.attention_sent and (self.stream is not None or answer.is_long()):
            # An engine may go on for long with a cancelled result: of it only the end is read.
            if is_last:
                self._finish(read_end_status(packet.body))
            return
        chunk = answer.read_packet(packet.body, self.attention_sent)
        if answer.load_report is not None:
            self.attempt.work = answer.load_report.work
            self.attempt.memory = answer.load_report.memory
        self._pass_on(answer, chunk)
        if is_last:
            if answer.is_mid_token() or chunk.end_status is None:
                raise ProtocolError("an answer without its end")
            self._finish(chunk.end_status)

    def _pass_on(self, answer: BatchAnswer, chunk: Chunk) -> None:
        """Gathers a chunk of the result, or hands it to the stream."""
        if self.stream is not None:
            if chunk.tokens and not self.stream.put(chunk.tokens, chunk.size):
                self.put("attention", self.attempt, Ending.CANCELLED)  # the client has gone
            return
        answer.result.extend(chunk.tokens)
        if answer.is_long():
            if answer.error is None and not self.attention_sent:
                self._begin_stream(answer)
            else:
                answer.result.clear()  # cancelled or failed: nobody reads it

    def _begin_stream(self, answer: BatchAnswer) -> None:
        attempt = self.attempt
        stream = ResultStream(STREAM_BUFFER_SIZE)
        stream.put(list(answer.result), 0)
        answer.result = GatheredTokens()
        with self.lock:
            is_open = self.open_attempts.get(attempt.pending.id) is attempt
            begins = is_open and self.pool.exchange.start_streaming(attempt, stream)
            if begins:
                self.stream = stream
                self._change_state(BatchEvent.STREAM_BEGUN)
        if not begins:
            answer.size = 0

    def _finish(self, status: int) -> None:
        """The answer has ended; status: of its last DONE."""
        attempt = self.attempt
        answer = self.answer_reader
        stream = self.stream
        acknowledged = bool(status & tokens.DONE_ATTN)
        # An attention that crossed the end of the answer is still to be acknowledged.
        awaits_acknowledgement = self.attention_sent and not acknowledged
        ending = self._ending(attempt, answer, acknowledged)
        attempt.answered_at = self.pool.clock.now()
        result = answer.result
        with self.lock:
            if awaits_acknowledgement:
                answer.expect_acknowledgement()
            else:
                self._change_state(BatchEvent.ANSWER_COMPLETE)
                self.attempt = None
                self.answer_reader = None
                self.stream = None
        if stream is not None:
            stream.end(awaits_acknowledgement or ending != Ending.FINISHED)
            ending = Ending.CANCELLED if awaits_acknowledgement else ending
        is_gathered = ending == Ending.FINISHED and stream is None
        self.end_attempt(attempt, ending, result if is_gathered else None)
        if answer.error is not None and answer.error.severity >= errors.FATAL:
            self.fail("engine-error", attempt.pending.error_text)

    def _ending(self, attempt, answer: BatchAnswer, acknowledged: bool) -> Ending:
        if acknowledged:
            return Ending.CANCELLED
        if answer.error is None:
            return Ending.FINISHED
        number, _, severity, text = answer.error
        attempt.pending.error_text = f"{number}: {text[:MAX_LOGGED_ERROR_CHARACTERS]}"
        return errors.ending_of(number, severity)

    def fail(self, reason: str, detail: str | None = None) -> None:
        """As lines.Connection; a stream breaks off."""
        stream = self.stream
        super().fail(reason, detail)
        if stream is not None:
            stream.end(True)
