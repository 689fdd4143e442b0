"""Encodes a streamed result for a TDS client: repackets the engine's tokens unchanged. No I/O."""

from collections.abc import Callable, Sequence

from wickvane.net.tds import errors, packets, tokens
from wickvane.net.tds.answers import SPID, error_answer


class ResultWriter:
    """Encodes a streamed result in packets; rows: the number of rows written so far.

    prefix: tokens that precede the result; answer_end: returns the tokens that end an answer, given its
    number of rows."""

    def __init__(self, prefix: bytes, packet_size: int, answer_end: Callable[[int], bytes]) -> None:
        self.rows = 0
        self._prefix = prefix
        self._answer_end = answer_end
        self._writer = packets.PacketWriter(packets.TABULAR_RESULT, packet_size, SPID)

    def more(self, chunk: Sequence[tokens.Token]) -> bytes:
        """Adds tokens; returns the packets that are full."""
        data = self._prefix + b"".join(token.raw for token in chunk)
        self._prefix = b""
        self.rows += sum(token.type in tokens.ROW_TOKENS for token in chunk)
        return self._writer.write(data)

    def end(self) -> bytes:
        """Returns the last packets of a complete result."""
        return self._writer.finish(self._answer_end(self.rows))

    def broken(self) -> bytes:
        """Returns the last packets of an interrupted result."""
        text = "killed: the result broke off; it may have run"
        return self._writer.finish(error_answer(errors.KILLED, text))
