"""Reads or skips encoded values of TDS data types in ROW, NBCROW, RETURNVALUE and RPC parameters.

A reader raises IncompleteDataError if the data ends before the value does, so that it can be called again
with more data, and ProtocolError if the value is invalid. MAX_VALUE_SIZE bounds the size of a value.
"""

from collections.abc import Callable

from wickvane.errors import ProtocolError
from wickvane.net.tds.cursor import Cursor
from wickvane.net.tds.type_info import (
    BYTE_LENGTH_SIZES,
    DATE_SIZE,
    DATEN,
    DATETIME2N,
    DATETIMEOFFSETN,
    DECIMAL_SIZES,
    DECIMAL_TYPES,
    FIXED_SIZES,
    INTN,
    LONG_TYPES,
    PLP_SIZE,
    SCALED_TIME_TYPES,
    TIMEN,
    USHORT_LENGTH_TYPES,
    VARIANT,
    XML,
    TypeInfo,
    time_size,
)

MAX_VALUE_SIZE = 1 << 20  # octets
MAX_PLP_CHUNKS = 65_536
MAX_VARIANT_SIZE = 8016  # octets
USHORT_NULL = 0xFFFF
PLP_NULL = 0xFFFFFFFFFFFFFFFF
PLP_UNKNOWN_LENGTH = 0xFFFFFFFFFFFFFFFE
TEXT_TIMESTAMP_SIZE = 8
# Octets that follow the time of day: the date and the offset from UTC.
EXTRA_TIME_SIZES = {TIMEN: 0, DATETIME2N: DATE_SIZE, DATETIMEOFFSETN: DATE_SIZE + 2}


def read_value(cursor: Cursor, info: TypeInfo) -> bytes | None:
    """Returns a value's octets, or None for NULL."""
    return _READERS[info.type](cursor, info)


def skip_value(cursor: Cursor, info: TypeInfo) -> None:
    """Skips a value; raises the same errors as read_value()."""
    value_skipper(info)(cursor, info)


def value_skipper(info: TypeInfo) -> Callable[[Cursor, TypeInfo], object]:
    """Returns the function that skips values of a type, so that one lookup serves many rows."""
    return _SKIPPERS[info.type]


def _read_fixed(cursor: Cursor, info: TypeInfo) -> bytes | None:
    return cursor.take(info.size) if info.size else None


def _skip_fixed(cursor: Cursor, info: TypeInfo) -> None:
    cursor.skip(info.size)


def _read_ushort_length(cursor: Cursor, info: TypeInfo) -> bytes | None:
    if info.size == PLP_SIZE:
        return _read_plp(cursor, info)
    size = cursor.ushort()
    if size == USHORT_NULL:
        return None
    if size > info.size:
        raise ProtocolError("a value is longer than its type")
    return cursor.take(size)


def _skip_ushort_length(cursor: Cursor, info: TypeInfo) -> None:
    if info.size == PLP_SIZE:
        _read_plp(cursor, info)
        return
    size = cursor.ushort()
    if size == USHORT_NULL:
        return
    if size > info.size:
        raise ProtocolError("a value is longer than its type")
    cursor.skip(size)


def _read_plp(cursor: Cursor, info: TypeInfo) -> bytes | None:
    total = cursor.ulonglong()
    if total == PLP_NULL:
        return None
    if total != PLP_UNKNOWN_LENGTH and total > MAX_VALUE_SIZE:
        raise ProtocolError("a value is too long")
    chunks: list[bytes] = []
    size = 0
    while chunk_size := cursor.ulong():
        size += chunk_size
        if size > MAX_VALUE_SIZE or len(chunks) >= MAX_PLP_CHUNKS:
            raise ProtocolError("a value is too long")
        chunks.append(cursor.take(chunk_size))
    if total != PLP_UNKNOWN_LENGTH and size != total:
        raise ProtocolError("a value's chunks are not as long as it said")
    return b"".join(chunks)


def _read_long(cursor: Cursor, info: TypeInfo) -> bytes | None:
    pointer_size = cursor.byte()
    if not pointer_size:
        return None
    cursor.skip(pointer_size + TEXT_TIMESTAMP_SIZE)
    size = cursor.ulong()
    if size > MAX_VALUE_SIZE:
        raise ProtocolError("a value is too long")
    return cursor.take(size)


def _read_variant(cursor: Cursor, info: TypeInfo) -> bytes | None:
    size = cursor.ulong()
    if size > MAX_VARIANT_SIZE:
        raise ProtocolError("a value is too long")
    return cursor.take(size) if size else None


def _read_decimal(cursor: Cursor, info: TypeInfo) -> bytes | None:
    size = cursor.byte()
    if not size:
        return None
    if size not in DECIMAL_SIZES:
        raise ProtocolError("a decimal's length cannot be")
    return cursor.take(size)


def _read_scaled_time(cursor: Cursor, info: TypeInfo) -> bytes | None:
    size = cursor.byte()
    if not size:
        return None
    if size != time_size(info.scale) + EXTRA_TIME_SIZES[info.type]:
        raise ProtocolError("a time's length cannot be")
    return cursor.take(size)


def _read_byte_length(cursor: Cursor, info: TypeInfo) -> bytes | None:
    size = cursor.byte()
    if not size:
        return None
    if size != info.size:
        raise ProtocolError("a value's length is not its type's")
    return cursor.take(size)


def _read_integer(cursor: Cursor, info: TypeInfo) -> bytes | None:
    size = cursor.byte()
    if not size:
        return None
    if size not in BYTE_LENGTH_SIZES[INTN]:
        raise ProtocolError("a value's length is not its type's")
    return cursor.take(size)


def _skip_integer(cursor: Cursor, info: TypeInfo) -> None:
    cursor.skip(cursor.byte())


_READERS: dict[int, Callable[[Cursor, TypeInfo], bytes | None]] = {
    **dict.fromkeys(FIXED_SIZES, _read_fixed),
    **dict.fromkeys(BYTE_LENGTH_SIZES, _read_byte_length),
    INTN: _read_integer,
    DATEN: _read_byte_length,
    **dict.fromkeys(DECIMAL_TYPES, _read_decimal),
    **dict.fromkeys(SCALED_TIME_TYPES, _read_scaled_time),
    **dict.fromkeys(USHORT_LENGTH_TYPES, _read_ushort_length),
    **dict.fromkeys(LONG_TYPES, _read_long),
    XML: _read_plp,
    VARIANT: _read_variant,
}
_SKIPPERS: dict[int, Callable[[Cursor, TypeInfo], object]] = {
    **_READERS,
    **dict.fromkeys(FIXED_SIZES, _skip_fixed),
    **dict.fromkeys(USHORT_LENGTH_TYPES, _skip_ushort_length),
    INTN: _skip_integer,
}
