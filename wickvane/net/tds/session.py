"""One TDS 7.4 client session: a login, then SQL batches and RPC requests, one at a time."""

from __future__ import annotations

import os
import time
from enum import Enum, auto
from typing import TYPE_CHECKING

from wickvane.errors import ProtocolError, RequestRejected, TlsError
from wickvane.events import Effect
from wickvane.net import exchange as ex
from wickvane.net.client_connection import RECEIVE_SIZE, Ended
from wickvane.net.client_session import MESSAGE_TIMEOUT_S, NO_MEMORY_TEXT, STORM_TEXT, ClientSession
from wickvane.net.counters import NOBODY
from wickvane.net.statement import Reader
from wickvane.net.tds import errors, packets, results, tokens
from wickvane.net.tds.answers import (
    SPID,
    batch_end,
    connection_rate_packets,
    deferral_answer,
    error_answer,
    fatal_error_packets,
    result_packets,
    rpc_end,
)
from wickvane.net.tds.handshake import INITIAL_DATABASE, login_answer, perform_handshake
from wickvane.net.tds.listener import ListenerConfig
from wickvane.net.tds.result_writer import ResultWriter
from wickvane.net.tds.rpc import PreparedStatements, read_rpc_request, statement_to_run
from wickvane.net.tds.session_setup import answer_setup_statement
from wickvane.net.tds.sql_batch import read_sql_batch
from wickvane.net.tds.token_encoding import (
    encode_done,
    encode_envchange,
    encode_message,
    encode_return_status,
)
from wickvane.net.tds.transaction import SessionTransaction, TransactionAnswer
from wickvane.net.tds.transaction_manager import TransactionRequestType, read_transaction_request
from wickvane.scheduling.memory_limits import TLS_SIZE, input_size

if TYPE_CHECKING:
    from wickvane.net.tds.tls import TlsLayer

MAX_MESSAGE_SIZE = 192 << 10  # octets: a statement of 64 KiB in UTF-16, with headers and parameters
MAX_LOGIN_SIZE = 16_384  # octets
TXN_ID_SIZE = 8  # octets
NO_DEADLINE = float("inf")
CLIENT_CHECK_INTERVAL_S = 0.08
RESET_FLAGS = packets.STATUS_RESET_CONNECTION | packets.STATUS_RESET_CONNECTION_SKIP_TRAN
TRANSACTION_ACTIONS = {
    TransactionRequestType.BEGIN: "begin",
    TransactionRequestType.COMMIT: "commit",
    TransactionRequestType.ROLLBACK: "rollback",
}


class SessionState(Enum):
    """The state of a client session."""

    LOGIN = auto()
    READY = auto()  # the client is logged in; a request may be in flight
    ATTENTION_RECEIVED = auto()  # the request in flight is cancelled; the ATTENTION is not acknowledged yet


class SessionEvent(Enum):
    """The events that change a SessionState."""

    LOGIN_ACCEPTED = auto()
    ATTENTION_RECEIVED = auto()
    ATTENTION_INCOMPLETE = auto()
    ATTENTION_ACKNOWLEDGED = auto()


class Session(ClientSession):
    """One client connection by TDS; buffer: that of the assembler, with received octets not read yet."""

    TOO_MANY = fatal_error_packets(errors.TOO_MANY, "too many clients")
    check_interval_s = (
        CLIENT_CHECK_INTERVAL_S  # an ATTENTION may arrive while the session waits for its query
    )

    def __init__(self, sock, peer, service, full, listener: ListenerConfig, reader: Reader) -> None:
        super().__init__(sock, peer, service, full)
        self.listener = listener
        self.reader = reader
        self.idle_s = self.listener.idle_s
        self.assembler = packets.MessageAssembler(MAX_LOGIN_SIZE)
        self.buffer = self.assembler.buffer
        self.tls: TlsLayer | None = None
        self.state = SessionState.LOGIN
        self.packet_size = packets.DEFAULT_PACKET_SIZE
        self.database = INITIAL_DATABASE
        self.query_defaults: dict[str, str] | None = None
        self.prepared = PreparedStatements()
        self.transaction = SessionTransaction()
        # Of the request in flight: tokens that precede its answer, whether it is an RPC, RETURNVALUE tokens.
        self._answer_prefix = b""
        self._is_rpc = False
        self._output_values = b""

    def _change_state(self, event: SessionEvent) -> None:
        """Changes the state."""
        match event:
            case SessionEvent.LOGIN_ACCEPTED:
                self.state = SessionState.READY
            case SessionEvent.ATTENTION_RECEIVED:
                self.state = SessionState.ATTENTION_RECEIVED
            case SessionEvent.ATTENTION_INCOMPLETE | SessionEvent.ATTENTION_ACKNOWLEDGED:
                self.state = SessionState.READY

    @property
    def _is_cancelled(self) -> bool:
        return self.state is SessionState.ATTENTION_RECEIVED

    # Reading and writing, with or without TLS

    def decrypt(self, data: bytes) -> bytes:
        """See ClientSession; decrypts received octets if TLS is on."""
        return data if self.tls is None else self.tls.decrypt(data)

    def put(self, data: bytes, key=NOBODY, messages=1, answer_index=0, timeout_s=None) -> None:
        """See ClientSession; encrypts the data if TLS is on."""
        encrypted = data if self.tls is None else self.tls.encrypt(data)
        super().put(encrypted, key, messages, answer_index, timeout_s)

    def start_tls(self, tls: TlsLayer) -> None:
        """Uses TLS for all further octets, including those received but not read yet."""
        received = bytes(self.buffer)
        self.buffer.clear()
        self.tls = tls
        self.require_memory(self.memory.reserve(self.memory_size()))
        if received:
            self.buffer += tls.decrypt(received)

    def next_message(self, until: float) -> packets.Message:
        """Receives the next message; until: the time.monotonic() by which it must be complete.

        Raises ProtocolError and the errors of ClientSession.fill_buffer()."""
        while (message := self.assembler.next_message()) is None:
            self.fill_buffer(len(self.buffer) + 1, until)
        return message

    def _reply(self, body: bytes) -> None:
        self.put(self._answer_packets(body))

    def _answer_packets(self, body: bytes) -> bytes:
        """Returns the packets of an answer, including the tokens that precede it."""
        data = result_packets(self._answer_prefix + body, self.packet_size, SPID)
        self._answer_prefix = b""
        return data

    # Memory

    def memory_size(self) -> int:
        """See ClientConnection; counts the incomplete message and prepared statements, too."""
        size = super().memory_size() + input_size(self.assembler.size) + self.prepared.size
        return size if self.tls is None else size + TLS_SIZE

    def release_memory(self) -> None:
        """See ClientConnection."""
        self.assembler.discard_message()
        super().release_memory()

    def memory_error(self) -> bytes:
        """See ClientSession."""
        return fatal_error_packets(errors.DEFERRED, NO_MEMORY_TEXT)

    # Lifecycle

    def serve_client(self) -> None:
        """See ClientSession; performs the handshake, then serves requests until the connection ends."""
        try:
            self._log_in()
            self._serve_requests()
        except ProtocolError as error:
            fatal_error = fatal_error_packets(errors.PROTOCOL, str(error))
            raise Ended("message-malformed", fatal_error, str(error)) from None
        except TlsError as error:
            raise Ended("tls-failed", detail=str(error)) from None

    def _log_in(self) -> None:
        login = perform_handshake(self)
        self.database = login.database or INITIAL_DATABASE
        self.packet_size = login.packet_size
        self.query_defaults = self.listener.query_defaults(login.application, self.database, login.user)
        self.assembler.max_message_size = MAX_MESSAGE_SIZE
        # Connection pools connect in advance: a logged-in client has no deadline for its first query.
        self.first_query_deadline = NO_DEADLINE
        self._change_state(SessionEvent.LOGIN_ACCEPTED)
        self.put(login_answer(login, self.database))

    def eviction_rank(self, fresh: int) -> int:
        """See ClientSession; a connection that has not logged in must not displace one that has."""
        if self.queries:
            return 3
        if self.state is not SessionState.LOGIN:
            return 1
        return 2 * (self.since > fresh)

    def _serve_requests(self) -> None:
        stop = Ended("stop", fatal_error_packets(errors.STOPPING, "the dispatcher stops"))
        while True:
            self.account_received(NOBODY)
            message = self.assembler.next_message()
            if message is None:
                self._await_request(stop)
                message = self.next_message(time.monotonic() + MESSAGE_TIMEOUT_S)
            pending = self._serve_message(message)
            del message  # it must not be kept while the query waits
            self.answer_or_pause(pending)

    def _await_request(self, stop: Ended) -> None:
        self.idle = not self.assembler.is_mid_message()
        try:
            if self.idle:
                self.await_message(stop)
        finally:
            self.idle = False

    def _serve_message(self, message: packets.Message) -> ex.PendingQuery | None:
        """Serves a message; returns the query that it has submitted, which is not answered yet, or None."""
        self._answer_prefix = b""
        if message.status & RESET_FLAGS:
            self._answer_prefix = encode_envchange(tokens.ENV_RESET_ACK, b"\0", b"\0")
            self.prepared = PreparedStatements()
            self.transaction.has_effects = False
        match message.type:
            case packets.SQL_BATCH:
                self._is_rpc = False
                self._output_values = b""
                return self._submit_statement(read_sql_batch(message.body))
            case packets.RPC:
                return self._submit_rpc(message.body)
            case packets.ATTENTION:
                # The request is already answered completely; the ATTENTION must still be acknowledged.
                self._reply(encode_done(tokens.DONE_ATTN))
            case packets.TRANSACTION_MANAGER:
                self._serve_transaction_request(message.body)
            case _:
                raise ProtocolError("a packet of this type is not supported as a request")
        return None

    # Requests

    def _submit_rpc(self, body: bytes) -> ex.PendingQuery | None:
        self._is_rpc = True
        self._output_values = b""
        try:
            statement = statement_to_run(read_rpc_request(body), self.prepared)
        except ProtocolError as error:
            self._reply(error_answer(errors.UNUSABLE, str(error)))
            return None
        self.require_memory(self.memory.reserve(self.memory_size()))
        self._output_values = statement.tokens
        if statement.text is not None:
            return self._submit_statement(statement.text)
        done = encode_done(token_type=tokens.DONEPROC)
        self._reply(encode_return_status() + statement.tokens + done)
        return None

    def _submit_statement(self, text: str) -> ex.PendingQuery | None:
        arrived = self.arrival_time()
        setup = answer_setup_statement(text, self.database)
        if setup is None:
            encoded = text.encode("utf-8", "replace")
            return self.submit_query(encoded, arrived, defaults=self._new_query_defaults())
        if setup.database is not None:
            self.database = setup.database
        if setup.transaction:
            answer = self.transaction.apply(setup.transaction)
            self._reply(answer.tokens + self.answer_end(None, answer.status))
        else:
            self._reply(setup.tokens + self.answer_end(setup.rows))
        return None

    def _new_query_defaults(self) -> dict[str, str] | None:
        """Returns the fields for a query without fields of its own, or None if no rule matched the login."""
        return self.query_defaults and self.query_defaults | {"txn": os.urandom(TXN_ID_SIZE).hex()}

    def _serve_transaction_request(self, body: bytes) -> None:
        request = read_transaction_request(body)
        if request.type is TransactionRequestType.SAVE:
            self._reply(error_answer(errors.UNUSABLE, "savepoints are not supported"))
            return
        self._is_rpc = False
        answer = self.transaction.apply(TRANSACTION_ACTIONS[request.type])
        if request.begins_another:
            begun = self.transaction.apply("begin")
            answer = TransactionAnswer(answer.tokens + begun.tokens, answer.status)
        self._reply(answer.tokens + encode_done(answer.status))

    def answer_end(self, rows: int | None, status: int = 0) -> bytes:
        """Returns the tokens that end the answer to the request in flight; rows: None if it has no result."""
        return rpc_end(rows, self._output_values, status) if self._is_rpc else batch_end(rows, status)

    def has_abandoned_query(self) -> bool:
        """See ClientSession; reads what arrived during the query, such as an ATTENTION or a close."""
        if self.is_input_shut or not self.memory.reserve_ahead(self.memory_size()):
            return self.has_disconnected()
        try:
            data = self.sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data:
            return True
        self.received += len(data)
        try:
            self.buffer += self.decrypt(data)
            if len(self.buffer) > MAX_MESSAGE_SIZE:
                return True
            if len(self.buffer) >= packets.HEADER.size and self.buffer[0] == packets.ATTENTION:
                complete = self.assembler.next_message() is not None
                self._change_state(
                    SessionEvent.ATTENTION_RECEIVED if complete else SessionEvent.ATTENTION_INCOMPLETE
                )
        except (ProtocolError, TlsError):
            return True
        return self._is_cancelled

    # Answers

    def encode_answer(self, pending, kind: str) -> tuple[str, bytes, int]:
        """See ClientSession; a query whose result cannot be encoded is answered as failed."""
        effect = self.exchange.resource_groups[pending.resource_group].effect
        if effect != Effect.READ_ONLY and kind in (ex.FINISHED, ex.FAILED):
            self.transaction.has_effects = True
        if self._is_cancelled:
            self._change_state(SessionEvent.ATTENTION_ACKNOWLEDGED)
            return kind, self._answer_packets(encode_done(tokens.DONE_ATTN)), 1
        if kind == ex.FINISHED:
            try:
                return self._result_answer(pending)
            except ValueError:
                kind = ex.FAILED
                data = error_answer(errors.KILLED, "the engine's result cannot be read")
        else:
            data = self._failure_answer(pending, kind)
        return kind, self._answer_packets(data), 2

    def _result_answer(self, pending) -> tuple[str, bytes, int]:
        """Returns the answer with a result, as encode_answer(); raises ValueError if it cannot be read."""
        if isinstance(pending.result, results.GatheredTokens):
            data = b"".join(token.raw for token in pending.result)
            rows = pending.result.rows
        else:
            data, rows = results.encode_pages(pending.result)
        return ex.FINISHED, self._answer_packets(data + self.answer_end(rows)), rows + 2

    def _failure_answer(self, pending, kind: str) -> bytes:
        if kind == ex.REJECTED:
            if self.stopping.is_set():
                text = "deferred: the dispatcher stops; it may be sent again"
                return error_answer(errors.STOPPING, text)
            return deferral_answer(self.retry_after_ms(pending))
        if kind == ex.FAILED:
            reason = f" ({pending.error_text})" if pending.error_text else ""
            text = f"killed: it could not be finished, and may have run{reason}"
            return error_answer(errors.KILLED, text)
        return encode_done(tokens.DONE_ERROR)

    def internal_error(self) -> bytes:
        """See ClientSession."""
        return fatal_error_packets(errors.INTERNAL, "internal error")

    def encode_rejection(self, rejected: RequestRejected) -> bytes:
        """See ClientSession; returns the answer to a rejected request."""
        number = errors.STOPPING if rejected.sqlstate == ex.SHUTDOWN_SQLSTATE else errors.UNUSABLE
        return self._answer_packets(error_answer(number, f"{rejected.sqlstate}: {rejected.text}"))

    @staticmethod
    def too_fast(away: int) -> bytes:
        """Returns the answer to a connection beyond the listener's rate.

        away: the advised delay in milliseconds, 0 if none is advised."""
        return connection_rate_packets(away)

    @staticmethod
    def is_urgent(first: bytes) -> bool:
        """Returns False, since an ATTENTION arrives on the connection of its query."""
        return False

    def add_storm_notice(self) -> None:
        """See ClientSession; sends an INFO before the next answer."""
        text = f"{STORM_TEXT} retry-storm={self.storm_notified}"
        self._answer_prefix += encode_message(tokens.INFO, errors.RETRY_STORM, 1, 0, text)

    def result_writer(self, pending) -> ResultWriter:
        """See ClientSession; returns the writer of a streamed result."""
        prefix = self._answer_prefix
        self._answer_prefix = b""
        return ResultWriter(prefix, self.packet_size, self.answer_end)
