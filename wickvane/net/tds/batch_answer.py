"""The answer of an engine to one batch: its tokens gathered, its error, its load report, its end. No I/O."""

import re
from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds import errors, tokens
from wickvane.net.tds.results import GatheredTokens
from wickvane.net.tds.tokens import DONE_TOKENS, Done, ServerMessage, Token

MAX_GATHERED_SIZE = 48_000  # octets; a longer result is streamed
DONE_SIZE = 13  # octets of a DONE, DONEPROC or DONEINPROC
LOAD_REPORT = re.compile(r"work=(\d{1,9}(?:\.\d{1,6})?) memory=(\d{1,9}(?:\.\d{1,6})?)\Z")
WORK_UNITS = 10  # units of an attempt's work per unit of a load report
RESULT_TOKENS = frozenset((tokens.COLMETADATA, tokens.ROW, tokens.NBCROW, tokens.ORDER))


class LoadReport(NamedTuple):
    """What an engine reports of a batch: work in tenths of its unit, memory in its unit."""

    work: int
    memory: float


class Chunk(NamedTuple):
    """The result tokens of one packet and their size in octets.

    end_status: the status of the DONE that ends the answer, None where the answer goes on."""

    tokens: list[Token]
    size: int
    end_status: int | None


class BatchAnswer:
    """Reads the packets of an answer.

    result: tokens gathered so far, as long as the answer is not streamed; size: octets of all result tokens;
    error: the first ERROR."""

    def __init__(self) -> None:
        self.result = GatheredTokens()
        self.size = 0
        self.error: ServerMessage | None = None
        self.load_report: LoadReport | None = None
        self._reader = tokens.TokenStreamReader()

    def read_packet(self, body: bytes, attention_sent: bool) -> Chunk:
        """Reads a packet's tokens; raises ProtocolError.

        Behind the end of the answer only the acknowledgement of an attention may follow."""
        result_tokens: list[Token] = []
        size = 0
        end_status: int | None = None
        for token in self._reader.feed(body):
            if end_status is not None and not attention_sent:
                raise ProtocolError("tokens behind the end of an answer")
            token_type = token.type
            if token_type in RESULT_TOKENS:
                result_tokens.append(token)
                size += len(token.raw)
            elif token_type not in DONE_TOKENS:
                self._read_message(token)
            elif _ends_answer(token):
                end_status = self._status_at_end(token.content, end_status)
            else:
                result_tokens.append(token)
                size += len(token.raw)
        self.size += size
        return Chunk(result_tokens, size, end_status)

    def is_long(self) -> bool:
        """Whether the result is too long to be gathered."""
        return self.size > MAX_GATHERED_SIZE

    def is_mid_token(self) -> bool:
        """Whether a token has begun that is not complete."""
        return self._reader.is_mid_token()

    def expect_acknowledgement(self) -> None:
        """Prepares to read the acknowledgement of an attention, which is a message of its own."""
        self.result = GatheredTokens()
        self._reader = tokens.TokenStreamReader()

    def _status_at_end(self, done: Done, earlier: int | None) -> int:
        """The status that counts: an acknowledgement's, else that of the first DONE that ends the answer."""
        if done.status & tokens.DONE_ATTN:
            return done.status
        if done.status & tokens.DONE_COUNT:
            self.result.rows = done.row_count
        return done.status if earlier is None else earlier

    def _read_message(self, token: Token) -> None:
        if token.type == tokens.ERROR:
            if self.error is None:
                self.error = token.content
        elif token.type == tokens.INFO and token.content.number == errors.REPORT:
            if found := LOAD_REPORT.match(token.content.text):
                self.load_report = LoadReport(int(float(found[1]) * WORK_UNITS), float(found[2]))


def _ends_answer(token: Token) -> bool:
    status = token.content.status
    if status & tokens.DONE_ATTN:
        return True
    return not status & tokens.DONE_MORE and token.type != tokens.DONEINPROC


def read_end_status(body: bytes) -> int:
    """The status of the DONE at the end of a message's last packet; raises ProtocolError."""
    end = body[-DONE_SIZE:]
    if len(end) < DONE_SIZE or end[0] not in tokens.DONE_TOKENS:
        raise ProtocolError("an answer without its end")
    return int.from_bytes(end[1:3], "little")
