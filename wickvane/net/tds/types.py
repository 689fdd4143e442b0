"""TDS data types (MS-TDS 2.2.5.4 to 2.2.5.6): their descriptions, and values read, told as text or literals.

A reader that runs past the end of what there is raises More, so that it can be tried again with more; what
can never be read raises ProtocolError. Values are bounded: PLP_MOST octets.
"""

import struct
from datetime import date, datetime, time, timedelta
from decimal import Decimal
from uuid import UUID

from wickvane.errors import ProtocolError

PLP_MOST = 1 << 20  # octets of one value; longer ones are refused
FIXED = {
    0x1F: 0,
    0x30: 1,
    0x32: 1,
    0x34: 2,
    0x38: 4,
    0x3A: 4,
    0x3B: 4,
    0x3C: 8,
    0x3D: 8,
    0x3E: 8,
    0x7A: 4,
    0x7F: 8,
}
INTN, BITN, DECIMALN, NUMERICN, FLTN, MONEYN, DATETIMN, GUID = 0x26, 0x68, 0x6A, 0x6C, 0x6D, 0x6E, 0x6F, 0x24
DATEN, TIMEN, DATETIME2N, DATETIMEOFFSETN = 0x28, 0x29, 0x2A, 0x2B
BYTE_LENGTH = {GUID, INTN, BITN, FLTN, MONEYN, DATETIMN}
BIGVARBINARY, BIGBINARY, BIGVARCHAR, BIGCHAR, NVARCHAR, NCHAR = 0xA5, 0xAD, 0xA7, 0xAF, 0xE7, 0xEF
SHORT_LENGTH = {BIGVARBINARY, BIGBINARY, BIGVARCHAR, BIGCHAR, NVARCHAR, NCHAR}
TEXT_TYPES = {BIGVARCHAR, BIGCHAR, NVARCHAR, NCHAR}
IMAGE, TEXT, NTEXT, XML, VARIANT = 0x22, 0x23, 0x63, 0xF1, 0x62
INT4, INT8, FLT8, BIT = 0x38, 0x7F, 0x3E, 0x32
COLLATION = bytes.fromhex("0904d00034")  # Latin1_General_CI_AS
# Code pages by LCID's low word, for varchar; what is not here is read as cp1252. UTF-8 collations have a
# flag.
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
PLP_NULL, PLP_UNKNOWN = 0xFFFFFFFFFFFFFFFF, 0xFFFFFFFFFFFFFFFE
EPOCH_1900, DAYS_MOST = date(1900, 1, 1), 3_652_058


class More(Exception):
    """What there is ends before the value does."""


class Cursor:
    """A place in bytes that may not be whole yet."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data, at=0, end=None):
        self.data, self.at, self.end = data, at, len(data) if end is None else end

    def take(self, n):
        at = self.at
        if n > self.end - at:
            raise More
        self.at = at + n
        return bytes(self.data[at : at + n])

    def skip(self, n):
        if n > self.end - self.at:
            raise More
        self.at += n

    def byte(self):
        at = self.at
        if at >= self.end:
            raise More
        self.at = at + 1
        return self.data[at]

    def short(self):
        return int.from_bytes(self.take(2), "little")

    def long(self):
        return int.from_bytes(self.take(4), "little")

    def big(self):
        return int.from_bytes(self.take(8), "little")

    def ucs2(self, characters):
        return self.take(2 * characters).decode("utf-16-le", "replace")

    def b_varchar(self):
        return self.ucs2(self.byte())

    def us_varchar(self):
        return self.ucs2(self.short())


class Info:
    """A TYPE_INFO: its type, and of what describes it further, what it takes to read a value."""

    __slots__ = ("type", "size", "precision", "scale", "collation", "raw")

    def __init__(self, type, size=0, precision=0, scale=0, collation=b"", raw=b""):
        self.type, self.size, self.precision, self.scale = type, size, precision, scale
        self.collation, self.raw = collation, raw

    @property
    def plp(self):
        return self.type == XML or self.type in SHORT_LENGTH and self.size == 0xFFFF


def read_info(cursor):
    begin = cursor.at
    type = cursor.byte()
    info = Info(type)
    if type in FIXED:
        info.size = FIXED[type]
    elif type in BYTE_LENGTH:
        info.size = cursor.byte()
        good = {GUID: (16,), INTN: (1, 2, 4, 8), BITN: (1,), FLTN: (4, 8), MONEYN: (4, 8), DATETIMN: (4, 8)}
        if info.size not in good[type]:
            raise ProtocolError("a type's length cannot be")
    elif type in (DECIMALN, NUMERICN):
        info.size, info.precision, info.scale = cursor.byte(), cursor.byte(), cursor.byte()
        if not 1 <= info.precision <= 38 or info.scale > info.precision or info.size not in (5, 9, 13, 17):
            raise ProtocolError("a decimal's precision or scale cannot be")
    elif type == DATEN:
        info.size = 3
    elif type in (TIMEN, DATETIME2N, DATETIMEOFFSETN):
        info.scale = cursor.byte()
        if info.scale > 7:
            raise ProtocolError("a time's scale cannot be")
    elif type in SHORT_LENGTH:
        info.size = cursor.short()
        if type in TEXT_TYPES:
            info.collation = cursor.take(5)
        if info.size != 0xFFFF and info.size > 8000:
            raise ProtocolError("a type's length cannot be")
    elif type in (IMAGE, TEXT, NTEXT):
        info.size = cursor.long()
        if type != IMAGE:
            info.collation = cursor.take(5)
    elif type == XML:
        if cursor.byte():
            cursor.b_varchar()
            cursor.b_varchar()
            cursor.us_varchar()
    elif type == VARIANT:
        info.size = cursor.long()
    else:
        raise ProtocolError(f"the type {type:#x} is not known")
    info.raw = bytes(cursor.data[begin : cursor.at])
    return info


def read_raw(cursor, info):
    """A value's octets, or None."""
    type = info.type
    if type in FIXED:
        return cursor.take(info.size) if info.size else None
    if info.plp:
        return read_plp(cursor)
    if type in SHORT_LENGTH:
        size = cursor.short()
        if size == 0xFFFF:
            return None
        if size > info.size:
            raise ProtocolError("a value is longer than its type")
        return cursor.take(size)
    if type in (IMAGE, TEXT, NTEXT):
        pointer = cursor.byte()
        if not pointer:
            return None
        cursor.skip(pointer + 8)
        size = cursor.long()
        if size > PLP_MOST:
            raise ProtocolError("a value is too long")
        return cursor.take(size)
    if type == VARIANT:
        size = cursor.long()
        if size > 8016:
            raise ProtocolError("a value is too long")
        return cursor.take(size) if size else None
    size = cursor.byte()
    if not size:
        return None
    if type in (DECIMALN, NUMERICN):
        if size not in (5, 9, 13, 17):
            raise ProtocolError("a decimal's length cannot be")
    elif type in (TIMEN, DATETIME2N, DATETIMEOFFSETN):
        if size != time_size(info.scale) + {TIMEN: 0, DATETIME2N: 3, DATETIMEOFFSETN: 5}[type]:
            raise ProtocolError("a time's length cannot be")
    elif size != info.size and not (type == INTN and size in (1, 2, 4, 8)):
        raise ProtocolError("a value's length is not its type's")
    return cursor.take(size)


def read_plp(cursor):
    total = cursor.big()
    if total == PLP_NULL:
        return None
    if total != PLP_UNKNOWN and total > PLP_MOST:
        raise ProtocolError("a value is too long")
    parts, size, count = [], 0, 0
    while chunk := cursor.long():
        size, count = size + chunk, count + 1
        if size > PLP_MOST or count > 65_536:
            raise ProtocolError("a value is too long")
        parts.append(cursor.take(chunk))
    if total != PLP_UNKNOWN and size != total:
        raise ProtocolError("a value's chunks are not as long as it said")
    return b"".join(parts)


def skip_value(cursor, info):
    """As read_raw(), where only its end matters."""
    type = info.type
    if type in FIXED:
        cursor.skip(info.size)
    elif type in SHORT_LENGTH and info.size != 0xFFFF:
        size = cursor.short()
        if size != 0xFFFF:
            if size > info.size:
                raise ProtocolError("a value is longer than its type")
            cursor.skip(size)
    elif type == INTN:
        cursor.skip(cursor.byte())
    else:
        read_raw(cursor, info)


def time_size(scale):
    return 3 if scale <= 2 else 4 if scale <= 4 else 5


def code_page(collation):
    if len(collation) == 5 and collation[3] & 0x04:  # fUTF8 of the flags' high nibble
        return "utf-8"
    lcid = int.from_bytes(collation[:2], "little") if collation else 0
    return CODE_PAGES.get(lcid, "cp1252")


def value_of(info, data):
    """A value of Python's own types: int, float, Decimal, bool, str, bytes, date, time, datetime, UUID, None.

    A datetimeoffset is told as a str, since Python's datetime does not hold all of them."""
    type, size = info.type, len(data) if data is not None else 0
    if data is None:
        return None
    if type in (0x32, BITN):
        return data != b"\0"
    if type == 0x30 or type == INTN and size == 1:
        return data[0]
    if type in (0x34, 0x38, 0x7F, INTN):
        return int.from_bytes(data, "little", signed=True)
    if type in (0x3B, 0x3E, FLTN):
        return struct.unpack("<f" if size == 4 else "<d", data)[0]
    if type in (DECIMALN, NUMERICN):
        digits = int.from_bytes(data[1:], "little")
        return Decimal((0 if data[0] else 1, tuple(map(int, str(digits))), -info.scale))
    if type in (0x3C, 0x7A, MONEYN):
        whole = (
            int.from_bytes(data, "little", signed=True)
            if size == 4
            else (int.from_bytes(data[:4], "little", signed=True) << 32) + int.from_bytes(data[4:], "little")
        )
        return Decimal(whole).scaleb(-4)
    if type in (0x3A, 0x3D, DATETIMN):
        return old_datetime(data)
    if type == GUID:
        return UUID(bytes_le=data)
    if type in (DATEN, TIMEN, DATETIME2N, DATETIMEOFFSETN):
        return new_time(type, info.scale, data)
    if type in (NVARCHAR, NCHAR, NTEXT, XML):
        if size % 2:
            raise ProtocolError("a string of two-octet characters has an odd length")
        return data.decode("utf-16-le", "replace")
    if type in (BIGVARCHAR, BIGCHAR, TEXT):
        return data.decode(code_page(info.collation), "replace")
    return data


def old_datetime(data):
    try:
        if len(data) == 4:
            days, minutes = struct.unpack("<HH", data)
            return datetime(1900, 1, 1) + timedelta(days=days, minutes=minutes)
        days, ticks = struct.unpack("<iI", data)
        milliseconds = (ticks * 10 + 1) // 3
        return datetime(1900, 1, 1) + timedelta(days=days, milliseconds=milliseconds)
    except OverflowError:
        raise ProtocolError("a date is out of range") from None


def new_time(type, scale, data):
    size = time_size(scale) if type != DATEN else 0
    ticks = int.from_bytes(data[:size], "little") * 10 ** (7 - scale)  # of 100 ns
    if ticks >= 864_000_000_000:
        raise ProtocolError("a time is out of range")
    days = int.from_bytes(data[size : size + 3], "little") if type != TIMEN else 0
    if days > DAYS_MOST:
        raise ProtocolError("a date is out of range")
    if type == DATEN:
        return date.min + timedelta(days=days)
    if type == TIMEN:
        return (datetime.min + timedelta(microseconds=ticks // 10)).time()
    try:
        moment = datetime.min + timedelta(days=days, microseconds=ticks // 10)
        if type == DATETIME2N:
            return moment
        offset = int.from_bytes(data[size + 3 :], "little", signed=True)
        if abs(offset) > 840:
            raise ProtocolError("an offset from UTC is out of range")
        sign, offset, local = "-" if offset < 0 else "+", abs(offset), moment + timedelta(minutes=offset)
    except OverflowError:
        raise ProtocolError("a date is out of range") from None
    return f"{local.isoformat(' ')} {sign}{offset // 60:02}:{offset % 60:02}"


def text_of(value):
    """A value as text, as PostgreSQL would show it; None stays."""
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


def literal_of(value, info):
    """A value as a literal of SQL, so that a statement with parameters becomes one without."""
    if value is None:
        return "NULL"
    if isinstance(value, bool):
        return "1" if value else "0"
    if isinstance(value, float):
        if value != value or value in (float("inf"), float("-inf")):
            raise ProtocolError("a float that is no number cannot stand in a statement")
        return repr(value) if "e" in repr(value) else repr(value) + "e0"
    if isinstance(value, (int, Decimal)):
        return f"{value:f}" if isinstance(value, Decimal) else str(value)
    if isinstance(value, bytes):
        return "0x" + value.hex()
    if isinstance(value, datetime):
        text = value.isoformat("T", "milliseconds" if info.type in (0x3A, 0x3D, DATETIMN) else "auto")
    elif isinstance(value, (date, time)):
        text = value.isoformat()
    else:
        text = str(value)
    wide = "N" if info.type in (NVARCHAR, NCHAR, NTEXT, XML) else ""
    return wide + "'" + text.replace("'", "''") + "'"


# What we write ourselves


def nvarchar_info(characters=4000):
    return bytes((NVARCHAR,)) + struct.pack("<H", 2 * characters) + COLLATION


NVARCHAR_MAX = bytes((NVARCHAR,)) + b"\xff\xff" + COLLATION
INT_INFO = bytes((INTN, 4))


def nvarchar(text):
    """A value of nvarchar_info(): text as str, or None."""
    if text is None:
        return b"\xff\xff"
    data = text.encode("utf-16-le")
    return struct.pack("<H", len(data)) + data


def nvarchar_max(text):
    if text is None:
        return struct.pack("<Q", PLP_NULL)
    data = text.encode("utf-16-le")
    return struct.pack("<QI", len(data), len(data)) + data + (b"\0\0\0\0" if data else b"")


def int4(value):
    return b"\0" if value is None else b"\4" + struct.pack("<i", value)
