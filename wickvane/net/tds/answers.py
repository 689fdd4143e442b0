"""Encodes answers without a result for TDS clients: errors, and the tokens that end an answer. No I/O."""

from wickvane.net.tds import errors, packets, tokens
from wickvane.net.tds.token_encoding import encode_done, encode_message, encode_return_status

SPID = 51  # the session id in the header of each packet to a client
DEFAULT_SEVERITY = 16
FATAL_SEVERITY = 20
EXECUTE_COMMAND = 0xE0


def error_answer(
    number: int, text: str, severity: int = DEFAULT_SEVERITY, state: int = 1, status: int = 0
) -> bytes:
    """Encodes an ERROR followed by a DONE; status: further status flags of the DONE."""
    message = encode_message(tokens.ERROR, number, state, severity, text)
    return message + encode_done(tokens.DONE_ERROR | status)


def fatal_error_packets(number: int, text: str, state: int = 1) -> bytes:
    """Returns the packets of an error after which the connection is closed."""
    return result_packets(error_answer(number, text, FATAL_SEVERITY, state))


def result_packets(body: bytes, packet_size: int = packets.DEFAULT_PACKET_SIZE, spid: int = 0) -> bytes:
    """Returns the packets of a message of tokens."""
    return packets.encode_packets(packets.TABULAR_RESULT, body, packet_size, spid)


def batch_end(rows: int | None, status: int = 0) -> bytes:
    """Encodes the DONE that ends the answer to a batch; rows: None if the batch has no result."""
    count_flag = tokens.DONE_COUNT if rows is not None else 0
    return encode_done(status | count_flag, rows or 0)


def rpc_end(rows: int | None, output_values: bytes, status: int = 0) -> bytes:
    """Encodes the tokens that end the answer to an RPC request; output_values: its RETURNVALUE tokens."""
    inner = b""
    if rows is not None:
        inner = encode_done(tokens.DONE_MORE | tokens.DONE_COUNT, rows, tokens.DONEINPROC)
    outer = encode_done(status, 0, tokens.DONEPROC, EXECUTE_COMMAND)
    return inner + encode_return_status() + output_values + outer


def deferral_answer(retry_after_ms: int) -> bytes:
    """Encodes the answer to a rejected query; retry_after_ms: 0 if no time is advised."""
    text = "deferred: no engine has room in time; it may be sent again"
    if retry_after_ms:
        text += f" stay-away={retry_after_ms}ms"
    return error_answer(errors.DEFERRED, text, state=errors.error_state(retry_after_ms))


def connection_rate_packets(retry_after_ms: int) -> bytes:
    """Returns the packets for a connection beyond the listener's rate; retry_after_ms: 0 if none."""
    text = "too many new connections"
    if retry_after_ms:
        text += f" stay-away={retry_after_ms}ms"
    return fatal_error_packets(errors.LOGIN_BUSY, text, errors.error_state(retry_after_ms))
