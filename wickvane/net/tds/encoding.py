"""Encodes the types and values that wickvane itself sends: nvarchar, nvarchar(max) and int."""

import struct

from wickvane.net.tds.type_info import COLLATION, INTN, NVARCHAR
from wickvane.net.tds.values import PLP_NULL

MAX_NVARCHAR_CHARACTERS = 4000
NVARCHAR_MAX_INFO = bytes((NVARCHAR,)) + b"\xff\xff" + COLLATION
INT_INFO = bytes((INTN, 4))
PLP_TERMINATOR = bytes(4)


def nvarchar_info(characters: int = MAX_NVARCHAR_CHARACTERS) -> bytes:
    """Encodes the TYPE_INFO of nvarchar(characters)."""
    return bytes((NVARCHAR,)) + struct.pack("<H", 2 * characters) + COLLATION


def encode_nvarchar(text: str | None) -> bytes:
    """Encodes a value of nvarchar_info(); None is NULL."""
    if text is None:
        return b"\xff\xff"
    data = text.encode("utf-16-le")
    return struct.pack("<H", len(data)) + data


def encode_nvarchar_max(text: str | None) -> bytes:
    """Encodes a value of NVARCHAR_MAX_INFO in one PLP chunk; None is NULL."""
    if text is None:
        return struct.pack("<Q", PLP_NULL)
    data = text.encode("utf-16-le")
    return struct.pack("<QI", len(data), len(data)) + data + (PLP_TERMINATOR if data else b"")


def encode_int(value: int | None) -> bytes:
    """Encodes a value of INT_INFO; None is NULL."""
    return b"\0" if value is None else b"\4" + struct.pack("<i", value)
