"""Reads an engine's answer to one batch: result tokens, first error, load report and final DONE. No I/O.

It also tells what the answer proves: whether the result is whole, and whether any statement has run.
"""

import re
from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds import errors, tokens
from wickvane.net.tds.results import GatheredTokens
from wickvane.net.tds.tokens import DONE_TOKENS, Done, ServerMessage, Token
from wickvane.scheduling.memory_limits import tokens_size

MAX_GATHERED_SIZE = 48_000  # octets; a longer result is streamed
DONE_SIZE = 13  # octets of a DONE, DONEPROC or DONEINPROC
LOAD_REPORT = re.compile(r"work=(\d{1,9}(?:\.\d{1,6})?) memory=(\d{1,9}(?:\.\d{1,6})?)\Z")
REPORT_UNIT_WORK = 10  # work units of an attempt per unit of work in a load report
RESULT_TOKENS = frozenset((tokens.COLMETADATA, tokens.ROW, tokens.NBCROW, tokens.ORDER))
FAILED_STATUS = tokens.DONE_ERROR | tokens.DONE_SRVERROR
# ENVCHANGE and INFO that an engine sends without running a statement, when it resets the session or rejects
SESSION_CHANGES = frozenset(
    (tokens.ENV_DATABASE, tokens.ENV_LANGUAGE, tokens.ENV_COLLATION, tokens.ENV_RESET_ACK)
)
SESSION_MESSAGES = frozenset((errors.DATABASE_CHANGED, errors.LANGUAGE_CHANGED, errors.STATEMENT_TERMINATED))


class LoadReport(NamedTuple):
    """An engine's report on a batch: work in tenths of the engine's unit, memory in the engine's unit."""

    work: int
    memory: float


class Chunk(NamedTuple):
    """The result tokens of one packet and their size in octets.

    end_status: the status of the DONE that ends the answer, None if the answer continues."""

    tokens: list[Token]
    size: int
    end_status: int | None


class BatchAnswer:
    """Reads the packets of an answer.

    result: the tokens gathered so far, if the answer is not streamed; size: total octets of all result
    tokens; error: the first ERROR; is_incomplete: whether a part of the result was discarded, so that it must
    not be a query's result; shows_a_run: whether a token proves that a statement of the batch has run."""

    def __init__(self) -> None:
        self.result = GatheredTokens()
        self.size = 0
        self.error: ServerMessage | None = None
        self.load_report: LoadReport | None = None
        self.is_incomplete = False
        self.shows_a_run = False
        self._row_count: int | None = None  # of the final DONE, if it tells one
        self._reader = tokens.TokenStreamReader()
        self._last_octets = b""

    def read_packet(self, body: bytes, attention_sent: bool) -> Chunk:
        """Reads a packet's tokens; raises ProtocolError.

        Only the acknowledgement of an ATTENTION may follow the end of the answer."""
        result_tokens: list[Token] = []
        size = 0
        size_of_dones = 0
        end_status: int | None = None
        for token in self._reader.feed(body):
            if end_status is not None and not attention_sent:
                raise ProtocolError("an answer has tokens after its final DONE")
            token_type = token.type
            if token_type in RESULT_TOKENS:
                result_tokens.append(token)
                size += len(token.raw)
            elif token_type not in DONE_TOKENS:
                self._read_message(token)
            elif _ends_answer(token):
                end_status = self._status_at_end(token.content, end_status)
            else:
                self._read_done(token.content)
                result_tokens.append(token)
                size += len(token.raw)
                size_of_dones += len(token.raw)
        if size > size_of_dones:
            self.shows_a_run = True
        self.size += size
        self._keep_last_octets(body)
        return Chunk(result_tokens, size, end_status)

    def skip_packet(self, body: bytes) -> None:
        """Discards a packet whose tokens are not needed, except what read_end_status() needs."""
        self.is_incomplete = True
        self._keep_last_octets(body)

    def read_end_status(self) -> int:
        """Returns the status of the DONE that ends the last packet; raises ProtocolError."""
        end = self._last_octets
        if len(end) < DONE_SIZE or end[0] not in tokens.DONE_TOKENS:
            raise ProtocolError("an answer has no final DONE")
        return int.from_bytes(end[1:3], "little")

    def discard_result(self) -> None:
        """Discards the tokens gathered so far."""
        self.is_incomplete = True
        self.result.clear()

    def is_long(self) -> bool:
        """Returns whether the result is too long to be gathered."""
        return self.size > MAX_GATHERED_SIZE

    def memory_size(self) -> int:
        """Returns the octets that are counted for the gathered result."""
        return tokens_size(len(self.result), self.size)

    def incomplete_size(self) -> int:
        """Returns the octets of the incomplete token that is buffered."""
        return len(self._reader.buffer)

    def is_mid_token(self) -> bool:
        """Returns whether an incomplete token is buffered."""
        return self._reader.is_mid_token()

    def has_all_rows(self) -> bool:
        """Returns whether the last result set has as many rows as the final DONE tells, if it tells any."""
        rows = self.result.rows_of_last_result()
        return self._row_count is None or rows is None or rows == self._row_count

    def expect_acknowledgement(self) -> None:
        """Prepares to read the acknowledgement of an ATTENTION, which is a separate message."""
        self.result = GatheredTokens()
        self._reader = tokens.TokenStreamReader()

    def _keep_last_octets(self, body: bytes) -> None:
        is_enough = len(body) >= DONE_SIZE
        self._last_octets = body[-DONE_SIZE:] if is_enough else (self._last_octets + body)[-DONE_SIZE:]

    def _status_at_end(self, done: Done, earlier: int | None) -> int:
        """Returns the status of an acknowledgement, else that of the first DONE that ends the answer."""
        if done.status & tokens.DONE_ATTN:
            return done.status
        self._read_done(done)
        if done.status & tokens.DONE_COUNT:
            self._row_count = done.row_count
            self.result.rows = done.row_count
        return done.status if earlier is None else earlier

    def _read_done(self, done: Done) -> None:
        changed_rows = bool(done.status & tokens.DONE_COUNT) and done.row_count > 0
        if changed_rows or not done.status & FAILED_STATUS:
            self.shows_a_run = True

    def _read_message(self, token: Token) -> None:
        content = token.content
        match token.type:
            case tokens.ERROR:
                self._read_error(content)
            case tokens.INFO:
                self._read_info(content)
            case tokens.ENVCHANGE:
                if content.type not in SESSION_CHANGES:
                    self.shows_a_run = True
            case _:
                self.shows_a_run = True

    def _read_error(self, error: ServerMessage) -> None:
        if error.number not in errors.REJECTIONS:
            self.shows_a_run = True
        if self.error is None:
            self.error = error

    def _read_info(self, info: ServerMessage) -> None:
        if info.number == errors.LOAD_REPORT:
            if found := LOAD_REPORT.match(info.text):
                self.load_report = LoadReport(int(float(found[1]) * REPORT_UNIT_WORK), float(found[2]))
                if self.load_report.work > 0:
                    self.shows_a_run = True
        elif info.number not in SESSION_MESSAGES:
            self.shows_a_run = True

    def proves_nothing_ran(self) -> bool:
        """Returns whether the answer is a rejection, and nothing in it shows that a statement has run.

        That is a proof for a batch of one statement only: earlier ones need not leave a trace, as with
        NOCOUNT ON."""
        return self.error is not None and not self.shows_a_run and not self.is_incomplete


def _ends_answer(token: Token) -> bool:
    status = token.content.status
    if status & tokens.DONE_ATTN:
        return True
    return not status & tokens.DONE_MORE and token.type != tokens.DONEINPROC
