"""SQLBatch (MS-TDS 2.2.6.7) and the ALL_HEADERS that precede each request (2.2.5.3). No I/O."""

import struct

from wickvane.errors import ProtocolError

ALL_HEADERS_LENGTH_SIZE = 4  # octets
MIN_HEADER_SIZE = 6  # length and type
TRANSACTION_DESCRIPTOR_HEADER = 2
TRANSACTION_DESCRIPTOR_HEADER_SIZE = 18
NO_TRANSACTION = bytes(8)


def skip_all_headers(body: bytes) -> int:
    """Returns the offset of a request's content after its ALL_HEADERS; raises ProtocolError."""
    if len(body) < ALL_HEADERS_LENGTH_SIZE:
        raise ProtocolError("a request has no headers")
    total = int.from_bytes(body[:ALL_HEADERS_LENGTH_SIZE], "little")
    if not ALL_HEADERS_LENGTH_SIZE <= total <= len(body):
        raise ProtocolError("a request's headers are longer than it")
    offset = ALL_HEADERS_LENGTH_SIZE
    while offset < total:
        size = int.from_bytes(body[offset : offset + 4], "little")
        if size < MIN_HEADER_SIZE or offset + size > total:
            raise ProtocolError("a request's header has a wrong length")
        offset += size
    return total


def read_sql_batch(body: bytes) -> str:
    """Decodes the text of an SQLBatch; raises ProtocolError."""
    data = body[skip_all_headers(body) :]
    if len(data) % 2:
        raise ProtocolError("a batch has an odd length")
    return data.decode("utf-16-le", "replace")


def encode_sql_batch(text: str, transaction_descriptor: bytes = NO_TRANSACTION) -> bytes:
    """Encodes an SQLBatch with a transaction descriptor header and one outstanding request."""
    header_size = TRANSACTION_DESCRIPTOR_HEADER_SIZE
    headers = struct.pack("<IIH", 4 + header_size, header_size, TRANSACTION_DESCRIPTOR_HEADER)
    headers += transaction_descriptor + struct.pack("<I", 1)
    return headers + text.encode("utf-16-le")
