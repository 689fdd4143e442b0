"""Converts values of TDS data types to Python values, and these to text or SQL literals."""

import struct
from collections.abc import Callable
from datetime import date, datetime, time, timedelta
from decimal import Decimal
from uuid import UUID

from wickvane.errors import ProtocolError
from wickvane.net.tds.type_info import (
    BIGCHAR,
    BIGVARCHAR,
    BIT,
    BITN,
    COLLATION_SIZE,
    DATE_SIZE,
    DATEN,
    DATETIM4,
    DATETIME,
    DATETIME2N,
    DATETIMEOFFSETN,
    DATETIMN,
    DECIMALN,
    FLT4,
    FLT8,
    FLTN,
    GUID,
    INT1,
    INT2,
    INT4,
    INT8,
    INTN,
    MAX_TIME_SCALE,
    MONEY,
    MONEY4,
    MONEYN,
    NCHAR,
    NTEXT,
    NUMERICN,
    NVARCHAR,
    TEXT,
    TIMEN,
    XML,
    TypeInfo,
    time_size,
)

Value = int | float | Decimal | bool | str | bytes | date | time | datetime | UUID | None

# Code pages of varchar by the low word of the collation's LCID; any other uses DEFAULT_CODE_PAGE.
CODE_PAGES = {
    0x401: "cp1256",
    0x404: "cp950",
    0x405: "cp1250",
    0x408: "cp1253",
    0x40D: "cp1255",
    0x40E: "cp1250",
    0x411: "cp932",
    0x412: "cp949",
    0x415: "cp1250",
    0x419: "cp1251",
    0x41F: "cp1254",
    0x804: "cp936",
}
DEFAULT_CODE_PAGE = "cp1252"
UTF8_COLLATION_FLAG = 0x04  # fUTF8, in the collation's fourth octet
LEGACY_DATETIME_TYPES = frozenset((DATETIM4, DATETIME, DATETIMN))
UNICODE_TYPES = frozenset((NVARCHAR, NCHAR, NTEXT, XML))
LEGACY_EPOCH = datetime(1900, 1, 1)
MAX_DAYS = 3_652_058  # from 0001-01-01 to 9999-12-31
TIME_UNITS_PER_DAY = 864_000_000_000  # of 100 ns
MAX_UTC_OFFSET_MINUTES = 840
MONEY_DIGITS = 4


def to_python(info: TypeInfo, data: bytes | None) -> Value:
    """Converts a value's octets; raises ProtocolError if the value is out of its type's range.

    A datetimeoffset becomes a str, since Python's datetime cannot represent all of its values; values of
    binary types and variants remain bytes."""
    if data is None:
        return None
    convert = _CONVERTERS.get(info.type)
    return data if convert is None else convert(info, data)


def to_text(value: Value) -> str | None:
    """Formats a value in PostgreSQL's text format; returns None for None."""
    if value is None or isinstance(value, str):
        return value
    if isinstance(value, bool):
        return "t" if value else "f"
    if isinstance(value, bytes):
        return "\\x" + value.hex()
    if isinstance(value, datetime):
        return value.isoformat(" ")
    if isinstance(value, Decimal):
        return f"{value:f}"
    return str(value)


def to_literal(value: Value, info: TypeInfo) -> str:
    """Formats a value as an SQL literal; raises ProtocolError for an infinite or NaN float."""
    if value is None:
        return "NULL"
    if isinstance(value, bool):
        return "1" if value else "0"
    if isinstance(value, float):
        return _float_literal(value)
    if isinstance(value, Decimal):
        return f"{value:f}"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, bytes):
        return "0x" + value.hex()
    prefix = "N" if info.type in UNICODE_TYPES else ""
    return prefix + "'" + _literal_text(value, info).replace("'", "''") + "'"


def _float_literal(value: float) -> str:
    if value != value or value in (float("inf"), float("-inf")):
        raise ProtocolError("a float that is no number cannot stand in a statement")
    text = repr(value)
    return text if "e" in text else text + "e0"


def _literal_text(value: str | date | time | datetime | UUID, info: TypeInfo) -> str:
    if isinstance(value, datetime):
        return value.isoformat("T", "milliseconds" if info.type in LEGACY_DATETIME_TYPES else "auto")
    if isinstance(value, (date, time)):
        return value.isoformat()
    return str(value)


def _code_page(collation: bytes) -> str:
    if len(collation) == COLLATION_SIZE and collation[3] & UTF8_COLLATION_FLAG:
        return "utf-8"
    lcid = int.from_bytes(collation[:2], "little") if collation else 0
    return CODE_PAGES.get(lcid, DEFAULT_CODE_PAGE)


def _to_bool(info: TypeInfo, data: bytes) -> bool:
    return data != b"\0"


def _to_int(info: TypeInfo, data: bytes) -> int:
    if len(data) == 1:
        return data[0]  # tinyint is unsigned
    return int.from_bytes(data, "little", signed=True)


def _to_float(info: TypeInfo, data: bytes) -> float:
    return struct.unpack("<f" if len(data) == 4 else "<d", data)[0]


def _to_decimal(info: TypeInfo, data: bytes) -> Decimal:
    sign = 0 if data[0] else 1
    digits = str(int.from_bytes(data[1:], "little"))
    return Decimal((sign, tuple(map(int, digits)), -info.scale))


def _to_money(info: TypeInfo, data: bytes) -> Decimal:
    if len(data) == 4:
        units = int.from_bytes(data, "little", signed=True)
    else:
        high = int.from_bytes(data[:4], "little", signed=True)
        units = (high << 32) + int.from_bytes(data[4:], "little")
    return Decimal(units).scaleb(-MONEY_DIGITS)


def _to_legacy_datetime(info: TypeInfo, data: bytes) -> datetime:
    try:
        if len(data) == 4:
            days, minutes = struct.unpack("<HH", data)
            return LEGACY_EPOCH + timedelta(days=days, minutes=minutes)
        days, ticks = struct.unpack("<iI", data)  # ticks of 1/300 s
        milliseconds = (ticks * 10 + 1) // 3
        return LEGACY_EPOCH + timedelta(days=days, milliseconds=milliseconds)
    except OverflowError:
        raise ProtocolError("a date is out of range") from None


def _to_uuid(info: TypeInfo, data: bytes) -> UUID:
    return UUID(bytes_le=data)


def _time_units(data: bytes, scale: int) -> int:
    """Reads a time of day in units of 100 ns."""
    units = int.from_bytes(data, "little") * 10 ** (MAX_TIME_SCALE - scale)
    if units >= TIME_UNITS_PER_DAY:
        raise ProtocolError("a time is out of range")
    return units


def _days(data: bytes) -> int:
    days = int.from_bytes(data, "little")
    if days > MAX_DAYS:
        raise ProtocolError("a date is out of range")
    return days


def _to_date(info: TypeInfo, data: bytes) -> date:
    return date.min + timedelta(days=_days(data[:DATE_SIZE]))


def _to_time(info: TypeInfo, data: bytes) -> time:
    units = _time_units(data, info.scale)
    return (datetime.min + timedelta(microseconds=units // 10)).time()


def _to_datetime(info: TypeInfo, data: bytes) -> datetime:
    size = time_size(info.scale)
    units = _time_units(data[:size], info.scale)
    days = _days(data[size : size + DATE_SIZE])
    try:
        return datetime.min + timedelta(days=days, microseconds=units // 10)
    except OverflowError:
        raise ProtocolError("a date is out of range") from None


def _to_datetimeoffset_text(info: TypeInfo, data: bytes) -> str:
    utc_datetime = _to_datetime(info, data)
    offset = int.from_bytes(data[time_size(info.scale) + DATE_SIZE :], "little", signed=True)
    minutes = abs(offset)
    if minutes > MAX_UTC_OFFSET_MINUTES:
        raise ProtocolError("an offset from UTC is out of range")
    try:
        local = utc_datetime + timedelta(minutes=offset)
    except OverflowError:
        raise ProtocolError("a date is out of range") from None
    sign = "-" if offset < 0 else "+"
    return f"{local.isoformat(' ')} {sign}{minutes // 60:02}:{minutes % 60:02}"


def _to_unicode(info: TypeInfo, data: bytes) -> str:
    if len(data) % 2:
        raise ProtocolError("a string of two-octet characters has an odd length")
    return data.decode("utf-16-le", "replace")


def _to_varchar(info: TypeInfo, data: bytes) -> str:
    return data.decode(_code_page(info.collation), "replace")


_CONVERTERS: dict[int, Callable[[TypeInfo, bytes], Value]] = {
    **dict.fromkeys((BIT, BITN), _to_bool),
    **dict.fromkeys((INT1, INT2, INT4, INT8, INTN), _to_int),
    **dict.fromkeys((FLT4, FLT8, FLTN), _to_float),
    **dict.fromkeys((DECIMALN, NUMERICN), _to_decimal),
    **dict.fromkeys((MONEY, MONEY4, MONEYN), _to_money),
    **dict.fromkeys(LEGACY_DATETIME_TYPES, _to_legacy_datetime),
    GUID: _to_uuid,
    DATEN: _to_date,
    TIMEN: _to_time,
    DATETIME2N: _to_datetime,
    DATETIMEOFFSETN: _to_datetimeoffset_text,
    **dict.fromkeys(UNICODE_TYPES, _to_unicode),
    **dict.fromkeys((BIGVARCHAR, BIGCHAR, TEXT), _to_varchar),
}
