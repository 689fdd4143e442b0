"""One connection to an engine that speaks TDS: a login, then one batch at a time, cancelled by ATTENTION.

It has the interface of a line protocol connection: the engine pool's I/O loop sends its messages. A thread
of its own connects, logs in and reads, since reading may wait for the client of a streamed result, and
the I/O loop must not wait for a client. Each attempt gets exactly one ending. The last column says whether
that ending proves that nothing ran:

    connection refused or timed out, login rejected, routed elsewhere    no connection   proven
    cancelled or lost before the first packet was sent                   not sent        proven
    lost before the last byte of the batch was sent                      no connection   proven
    ERROR in errors.REJECTIONS to a batch of one statement, and no
    token that shows that it ran                                         rejected        proven
    any other ERROR, or a final DONE that tells of one                   error           no
    reset, closed, malformed or incomplete after all of it was sent      reset           no
    ATTENTION acknowledged                                               cancelled       no
    complete answer after an ATTENTION, of which a part was discarded
    or not sent                                                          cancelled       no
"""

import socket
import struct
from enum import Enum, auto

from wickvane.errors import ProtocolError
from wickvane.events import Ending
from wickvane.net.lines import connection as lines
from wickvane.net.queues import ResultStream
from wickvane.net.tds import engine_login, errors, packets, tokens
from wickvane.net.tds.batch_answer import FAILED_STATUS, BatchAnswer, Chunk
from wickvane.net.tds.batch_text import is_single_statement
from wickvane.net.tds.sql_batch import encode_sql_batch
from wickvane.scheduling.memory_limits import tokens_size

RECEIVE_SIZE = 32_768  # octets
READ_TIMEOUT_S = 5
MAX_READ_TIMEOUTS_MID_ANSWER = 2
MAX_LOGIN_ANSWER_SIZE = 65_536  # octets
NO_SIZE_LIMIT = 1 << 62  # a result may have any size, since its packets are processed one by one
MAX_LOGGED_ERROR_CHARACTERS = 400
ENGINE_MESSAGE_TYPES = frozenset((packets.TABULAR_RESULT, packets.PRELOGIN))


class BatchState(Enum):
    """The state of the batch on a connection."""

    IDLE = auto()  # no batch is in flight
    RUNNING = auto()  # the batch is sent and its result is gathered
    STREAMING = auto()  # the result is forwarded to the client while it is read
    ATTENTION_SENT = auto()  # the batch is cancelled; the acknowledgement is pending


class BatchEvent(Enum):
    """The events that change a BatchState."""

    BATCH_ENCODED = auto()
    STREAM_STARTED = auto()
    ATTENTION_ENCODED = auto()
    ANSWER_COMPLETE = auto()


class Connection(lines.Connection):
    """One TDS connection to an engine, with a thread of its own."""

    READ_EVENTS = 0  # the I/O loop does not read; the connection's own thread does
    # MS-TDS 2.2.1.3: an engine runs a batch only after the packet with the EOM bit
    RUNS_ONLY_COMPLETE_REQUESTS = True

    def __init__(self, pool) -> None:
        super().__init__(pool)
        self.engines = pool.queue.protocol
        self.packet_size = packets.DEFAULT_PACKET_SIZE
        self.assembler = packets.MessageAssembler(NO_SIZE_LIMIT, ENGINE_MESSAGE_TYPES)
        self.state = BatchState.IDLE
        self.attention_deadline = 0  # ticks; the time by which an ATTENTION must be acknowledged
        self.attempt = None
        self.answer_reader: BatchAnswer | None = None
        self.stream: ResultStream | None = None

    def _change_state(self, event: BatchEvent) -> None:
        """Changes the state. The caller must hold the lock."""
        match event:
            case BatchEvent.BATCH_ENCODED:
                self.state = BatchState.RUNNING
            case BatchEvent.STREAM_STARTED:
                self.state = BatchState.STREAMING
            case BatchEvent.ATTENTION_ENCODED:
                self.state = BatchState.ATTENTION_SENT
            case BatchEvent.ANSWER_COMPLETE:
                self.state = BatchState.IDLE

    @property
    def attention_sent(self) -> bool:
        """Whether an ATTENTION was sent and is not acknowledged yet."""
        return self.state is BatchState.ATTENTION_SENT

    def accepts(self, attempt, now: int) -> bool:
        """See lines.Connection; accepts one batch at a time."""
        with self.lock:
            usable = not self.dead and not self.retired
            unused = not self.open_attempts and self.state is BatchState.IDLE
            return usable and unused and now - self.last_used_at < self.pool.idle_timeout

    # Messages to the engine

    def encode_ask(self, attempt) -> bytes | None:
        """Returns the packets of an attempt's batch, or None if the attempt must not be sent any more."""
        fields = self.request_fields(attempt)
        statement = attempt.pending.text_to_send()
        if not fields or not statement:
            return None
        text = (b"/* id=%b,%b */ %b" % (attempt.pending.id, fields, statement)).decode("utf-8", "replace")
        self.attempt = attempt
        self.answer_reader = BatchAnswer()
        self.stream = None
        self._change_state(BatchEvent.BATCH_ENCODED)
        # Resets the engine's session, so that a query sees no temporary tables or options of earlier ones.
        status = packets.STATUS_RESET_CONNECTION if self.sent_queries else 0
        return packets.encode_packets(packets.SQL_BATCH, encode_sql_batch(text), self.packet_size, 0, status)

    def encode_attention(self, attempt, ending: Ending) -> bytes | None:
        """Returns the ATTENTION that cancels an attempt; None if it is not running or already cancelled.

        A streamed result is cancelled only after its client has closed the stream."""
        if self.attempt is not attempt or self.state in (BatchState.IDLE, BatchState.ATTENTION_SENT):
            return None
        if self.stream is not None and not self.stream.closed:
            return None
        self._change_state(BatchEvent.ATTENTION_ENCODED)
        self.attention_deadline = self.pool.clock.now() + self.pool.io_loop.attention_timeout
        self.pool.io_loop.request_check(self)
        return packets.encode_packets(packets.ATTENTION, b"")

    def encode_priority(self, attempt) -> None:
        """Sends nothing: TDS cannot change the priority of a batch that is in flight."""
        return None

    ENCODERS = {"ask": encode_ask, "attention": encode_attention, "terms": encode_priority}

    def cancel_written(self, attempt, ending: Ending, at_once: bool) -> None:
        """Cancels a batch by ATTENTION, unless its result is streamed, which only its client cancels.

        The attempt ends with the acknowledgement or with the connection, since the engine works on it until
        then. at_once: the attempt ends immediately, as required when the client's time limit has expired."""
        self.put("attention", attempt, ending)
        if at_once:
            self._end_unless_streamed(attempt, ending)

    def _end_unless_streamed(self, attempt, ending: Ending) -> None:
        with self.lock:
            is_open = self.open_attempts.get(attempt.pending.id) is attempt
            if not is_open or self.stream is not None:
                return
            self._close_attempt(attempt)
        self._report_ending(attempt, ending)

    def end_attempt(self, attempt, ending: Ending, pages=None) -> None:
        """Ends an attempt on this connection; does nothing if it has already ended."""
        with self.lock:
            if self.open_attempts.get(attempt.pending.id) is not attempt:
                return
            self._close_attempt(attempt)
        self._report_ending(attempt, ending, pages)

    def _close_attempt(self, attempt) -> None:
        """Notes that an attempt is not open any more. The caller must hold the lock."""
        del self.open_attempts[attempt.pending.id]
        self.last_used_at = self.pool.clock.now()

    def _report_ending(self, attempt, ending: Ending, pages=None) -> None:
        elapsed = attempt.answered_at - attempt.started_at if attempt.answered_at else None
        self.pool.exchange.end_attempt(attempt, ending, elapsed, pages)
        self.pool.io_loop.request_check(self)

    def is_idle(self) -> bool:
        """See lines.Connection; a connection is not idle while a batch is in flight."""
        return super().is_idle() and self.state is BatchState.IDLE

    def expired_timeout(self, now: int) -> tuple[str, str | None] | None:
        """See lines.Connection; also returns a reason if an ATTENTION is not acknowledged in time."""
        if self.attention_sent and now > self.attention_deadline:
            return "attention-unanswered", None
        return super().expired_timeout(now) if self.up else None

    def next_check_time(self, now: int) -> int:
        """See lines.Connection; checks more often during a login and while an ATTENTION is pending."""
        return (
            now + lines.CHECK_PERIOD if self.attention_sent or not self.up else super().next_check_time(now)
        )

    # Connecting and login

    def start(self) -> None:
        """Starts the thread that connects, logs in and reads."""
        if not self.pool.io_loop.threads.try_start(self._run, "engine-reader"):
            self.fail("no-thread")

    def release(self) -> None:
        """Does nothing, since the connection's own thread closes the socket."""

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
            self.sock = sock  # so that another thread that ends the connection also ends the login
        if self.dead:
            return
        rejection = self._log_in(sock)
        if rejection is not None:
            self.fail("login-refused", rejection)
        elif self.mark_up(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", READ_TIMEOUT_S, 0))
            self._read()

    def _log_in(self, sock: socket.socket) -> str | None:
        """Logs in; returns the reason for which the engine rejects the login, or None."""
        if engine_login.requires_encryption(self._exchange(sock, engine_login.prelogin_request())):
            return "the engine accepts only encrypted logins"
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
                raise ConnectionResetError("the engine closed the connection during the login")
            self.received += len(data)
            self.assembler.feed(data)
        return answer.body

    # Reading

    def _read(self) -> None:
        consecutive_timeouts = 0
        while not self.dead:
            try:
                data = self.sock.recv(RECEIVE_SIZE)
            except BlockingIOError:
                # The scheduler detects silent engines; this limit is for incomplete packets and tokens.
                consecutive_timeouts = consecutive_timeouts + 1 if self._is_mid_answer() else 0
                if consecutive_timeouts >= MAX_READ_TIMEOUTS_MID_ANSWER:
                    raise ProtocolError("an answer stopped inside a packet or token") from None
                continue
            if not data:
                self.fail("peer-closed")
                return
            consecutive_timeouts = 0
            self._receive(data)

    def _is_mid_answer(self) -> bool:
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
        answer = self.answer_reader
        self.reserve_memory(len(self.assembler.buffer) + (answer.incomplete_size() if answer else 0))

    def _process_packet(self, packet: packets.Message) -> None:
        answer = self.answer_reader
        if packet.type != packets.TABULAR_RESULT or answer is None or self.state is BatchState.IDLE:
            raise ProtocolError("the engine sent an answer while no batch was in flight")
        is_last = bool(packet.status & packets.STATUS_EOM)
        if self.attention_sent and (self.stream is not None or answer.is_long()):
            # An engine may continue a cancelled result for a long time; only the final DONE is read.
            answer.skip_packet(packet.body)
            if is_last:
                self._finish(answer.read_end_status())
            return
        chunk = answer.read_packet(packet.body, self.attention_sent)
        if answer.load_report is not None:
            self.attempt.work = answer.load_report.work
            self.attempt.memory = answer.load_report.memory
        self._forward_result(answer, chunk)
        if is_last:
            if answer.is_mid_token() or chunk.end_status is None:
                raise ProtocolError("an answer has no final DONE")
            self._finish(chunk.end_status)

    def _forward_result(self, answer: BatchAnswer, chunk: Chunk) -> None:
        """Gathers a chunk of the result, or forwards it to the stream."""
        if self.stream is not None:
            size = tokens_size(len(chunk.tokens), chunk.size)
            if chunk.tokens and not self.stream.put(chunk.tokens, size):
                self.put("attention", self.attempt, Ending.CANCELLED)  # the client has disconnected
            return
        answer.result.extend(chunk.tokens)
        if answer.result and not self.pool.exchange.reserve_result(
            self.attempt.pending, answer.memory_size()
        ):
            answer.discard_result()
            return
        if answer.is_long() and not self._start_stream(answer):
            answer.discard_result()  # the batch was cancelled or failed, so that the result is not needed

    def _start_stream(self, answer: BatchAnswer) -> bool:
        """Streams the result, with what was gathered of it, if it is needed; returns whether it is."""
        if answer.error is not None or answer.is_incomplete:
            return False
        attempt = self.attempt
        exchange = self.pool.exchange
        stream_size = exchange.max_stream_size()
        reserved_size = stream_size + answer.memory_size()
        if not exchange.reserve_result(attempt.pending, reserved_size):
            return False
        stream = ResultStream(stream_size, reserved_size)
        stream.put(list(answer.result), 0)
        with self.lock:
            is_open = self.open_attempts.get(attempt.pending.id) is attempt
            if not is_open or self.state is not BatchState.RUNNING:
                return False
            if not exchange.start_streaming(attempt, stream):
                return False
            self.stream = stream
            self._change_state(BatchEvent.STREAM_STARTED)
        answer.result.clear()
        return True

    def _finish(self, status: int) -> None:
        """Processes the end of an answer; status: the status of its final DONE."""
        attempt = self.attempt
        answer = self.answer_reader
        stream = self.stream
        attempt.answered_at = self.pool.clock.now()
        with self.lock:
            # The ATTENTION crossed the end of the answer and is acknowledged after it.
            awaits_acknowledgement = self.attention_sent and not status & tokens.DONE_ATTN
            if not awaits_acknowledgement:
                self._change_state(BatchEvent.ANSWER_COMPLETE)
                self.attempt = None
                self.answer_reader = None
                self.stream = None
        ending = self._ending(attempt, answer, status, awaits_acknowledgement)
        result = answer.result
        if awaits_acknowledgement:
            answer.expect_acknowledgement()
        if stream is not None:
            stream.end(awaits_acknowledgement or ending != Ending.FINISHED)
            ending = Ending.CANCELLED if awaits_acknowledgement else ending
        is_gathered = ending == Ending.FINISHED and stream is None
        self.end_attempt(attempt, ending, result if is_gathered else None)
        if answer.error is not None and answer.error.severity >= errors.MIN_FATAL_SEVERITY:
            self.fail("engine-error", attempt.pending.error_text)

    def _ending(self, attempt, answer: BatchAnswer, status: int, is_cancelled: bool) -> Ending:
        """Returns the ending that a complete answer proves.

        status: of the final DONE; is_cancelled: whether an ATTENTION is sent and not acknowledged yet."""
        if status & tokens.DONE_ATTN:
            return Ending.CANCELLED
        if answer.error is not None:
            number, _, _, text = answer.error
            attempt.pending.error_text = f"{number}: {text[:MAX_LOGGED_ERROR_CHARACTERS]}"
            return self._ending_of_error(attempt, answer)
        is_failed = bool(status & FAILED_STATUS)
        # After an ATTENTION, an engine may end the batch early with an ordinary DONE.
        is_cut_short = is_cancelled and (is_failed or not answer.has_all_rows())
        if answer.is_incomplete or is_cut_short:
            return Ending.CANCELLED
        return Ending.ERROR if is_failed else Ending.FINISHED

    def _ending_of_error(self, attempt, answer: BatchAnswer) -> Ending:
        text = attempt.pending.body.decode("utf-8", "replace")
        is_rejected = answer.proves_nothing_ran() and is_single_statement(text)
        return Ending.REJECTED if is_rejected else Ending.ERROR

    def fail(self, reason: str, detail: str | None = None) -> None:
        """See lines.Connection; also ends the stream of an incomplete result."""
        stream = self.stream
        super().fail(reason, detail)
        if stream is not None:
            stream.end(True)
