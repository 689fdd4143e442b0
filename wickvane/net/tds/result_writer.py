"""A streamed result for a TDS client: the engine's tokens, unchanged, in packets. No I/O."""

from collections.abc import Callable, Sequence

from wickvane.net.tds import errors, packets, tokens
from wickvane.net.tds.answers import SPID, error_answer


class ResultWriter:
    """The form of a streamed result; rows: their number so far.

    prefix: tokens ahead of the result; answer_end: the tokens that end an answer of so many rows."""

    def __init__(self, prefix: bytes, packet_size: int, answer_end: Callable[[int], bytes]) -> None:
        self.rows = 0
        self._prefix = prefix
        self._answer_end = answer_end
        self._writer = packets.PacketWriter(packets.TABULAR_RESULT, packet_size, SPID)

    def more(self, chunk: Sequence[tokens.Token]) -> bytes:
        """The packets that are full with further tokens."""
        data = self._prefix + b"".join(token.raw for token in chunk)
        self._prefix = b""
        self.rows += sum(token.type in tokens.ROW_TOKENS for token in chunk)
        return self._writer.write(data)

    def end(self) -> bytes:
        """The last packets of a complete result."""
        return self._writer.finish(self._answer_end(self.rows))

    def broken(self) -> bytes:
        """The last packets of a result that broke off."""
        text = "killed: the result broke off; it may have run"
        return self._writer.finish(error_answer(errors.KILLED, text))
