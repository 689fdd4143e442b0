"""Encodes the TDS 7.4 tokens that wickvane itself sends (MS-TDS 2.2.7)."""

import struct
from collections.abc import Iterable

from wickvane.net.tds.tokens import COLMETADATA, DONE, ENVCHANGE, LOGINACK, RETURNSTATUS, RETURNVALUE

MAX_B_VARCHAR_CHARACTERS = 255
MAX_US_VARCHAR_SIZE = 65_534  # octets
MAX_MESSAGE_CHARACTERS = 2000
TDS_74 = 0x74000004
TSQL_INTERFACE = b"\1"
PROGRAM_VERSION = bytes((15, 0, 0, 0))
SELECT_COMMAND = 0xC1
COLUMN_FLAGS = 0x09  # nullable, updatable
OUTPUT_PARAMETER = b"\1"


def encode_b_varchar(text: str) -> bytes:
    """Encodes a B_VARCHAR: a string preceded by its length in one octet; longer text is truncated."""
    data = text[:MAX_B_VARCHAR_CHARACTERS].encode("utf-16-le")[: 2 * MAX_B_VARCHAR_CHARACTERS]
    return bytes((len(data) // 2,)) + data


def encode_us_varchar(text: str) -> bytes:
    """Encodes a US_VARCHAR: a string preceded by its length in two octets; longer text is truncated."""
    data = text.encode("utf-16-le")[:MAX_US_VARCHAR_SIZE]
    return struct.pack("<H", len(data) // 2) + data


def encode_message(
    token_type: int,
    number: int,
    state: int,
    severity: int,
    text: str,
    server: str = "wickvane",
    line: int = 1,
) -> bytes:
    """Encodes an ERROR or INFO."""
    body = struct.pack("<iBB", number, state, severity)
    body += encode_us_varchar(text[:MAX_MESSAGE_CHARACTERS])
    body += encode_b_varchar(server)
    body += encode_b_varchar("")  # procedure
    body += struct.pack("<I", line)
    return struct.pack("<BH", token_type, len(body)) + body


def encode_done(
    status: int = 0, row_count: int = 0, token_type: int = DONE, command: int = SELECT_COMMAND
) -> bytes:
    """Encodes a DONE, DONEPROC or DONEINPROC."""
    return struct.pack("<BHHQ", token_type, status, command, row_count)


def encode_envchange(change_type: int, new: str | bytes, old: str | bytes) -> bytes:
    """Encodes an ENVCHANGE; a value is a string, or octets that begin with their length."""
    body = bytes((change_type,))
    body += encode_b_varchar(new) if isinstance(new, str) else new
    body += encode_b_varchar(old) if isinstance(old, str) else old
    return struct.pack("<BH", ENVCHANGE, len(body)) + body


def encode_loginack(version: int = TDS_74, program: str = "wickvane") -> bytes:
    """Encodes a LOGINACK."""
    body = TSQL_INTERFACE + struct.pack(">I", version) + encode_b_varchar(program) + PROGRAM_VERSION
    return struct.pack("<BH", LOGINACK, len(body)) + body


def encode_colmetadata(columns: Iterable[tuple[str, bytes]]) -> bytes:
    """Encodes a COLMETADATA; columns: pairs of a name and TYPE_INFO octets."""
    described = [
        struct.pack("<IH", 0, COLUMN_FLAGS) + info + encode_b_varchar(name) for name, info in columns
    ]
    return struct.pack("<BH", COLMETADATA, len(described)) + b"".join(described)


def encode_return_status(value: int = 0) -> bytes:
    """Encodes a RETURNSTATUS."""
    return struct.pack("<Bi", RETURNSTATUS, value)


def encode_return_value(ordinal: int, name: str, info: bytes, value: bytes) -> bytes:
    """Encodes a RETURNVALUE of an output parameter; info: TYPE_INFO octets; value: the encoded value."""
    head = struct.pack("<BH", RETURNVALUE, ordinal) + encode_b_varchar(name)
    return head + OUTPUT_PARAMETER + struct.pack("<IH", 0, 0) + info + value
