"""TYPE_INFO of TDS 7.4: the data types' codes and their descriptions (MS-TDS 2.2.5.4 to 2.2.5.6). No I/O."""

from collections.abc import Callable
from dataclasses import dataclass

from wickvane.errors import ProtocolError
from wickvane.net.tds.cursor import Cursor

# Fixed length types
NULLTYPE = 0x1F
INT1 = 0x30
BIT = 0x32
INT2 = 0x34
INT4 = 0x38
DATETIM4 = 0x3A
FLT4 = 0x3B
MONEY = 0x3C
DATETIME = 0x3D
FLT8 = 0x3E
MONEY4 = 0x7A
INT8 = 0x7F
# Types whose values start with a one-octet length
GUID = 0x24
INTN = 0x26
DATEN = 0x28
TIMEN = 0x29
DATETIME2N = 0x2A
DATETIMEOFFSETN = 0x2B
BITN = 0x68
DECIMALN = 0x6A
NUMERICN = 0x6C
FLTN = 0x6D
MONEYN = 0x6E
DATETIMN = 0x6F
# Types whose values start with a two-octet length, or are partially length-prefixed (PLP)
BIGVARBINARY = 0xA5
BIGVARCHAR = 0xA7
BIGBINARY = 0xAD
BIGCHAR = 0xAF
NVARCHAR = 0xE7
NCHAR = 0xEF
# Types whose values start with a four-octet length
IMAGE = 0x22
TEXT = 0x23
VARIANT = 0x62
NTEXT = 0x63
XML = 0xF1

FIXED_SIZES = {
    NULLTYPE: 0,
    INT1: 1,
    BIT: 1,
    INT2: 2,
    INT4: 4,
    DATETIM4: 4,
    FLT4: 4,
    MONEY: 8,
    DATETIME: 8,
    FLT8: 8,
    MONEY4: 4,
    INT8: 8,
}
BYTE_LENGTH_SIZES = {
    GUID: (16,),
    INTN: (1, 2, 4, 8),
    BITN: (1,),
    FLTN: (4, 8),
    MONEYN: (4, 8),
    DATETIMN: (4, 8),
}
DECIMAL_TYPES = frozenset((DECIMALN, NUMERICN))
DECIMAL_SIZES = (5, 9, 13, 17)
MAX_PRECISION = 38
SCALED_TIME_TYPES = frozenset((TIMEN, DATETIME2N, DATETIMEOFFSETN))
MAX_TIME_SCALE = 7
DATE_SIZE = 3
USHORT_LENGTH_TYPES = frozenset((BIGVARBINARY, BIGBINARY, BIGVARCHAR, BIGCHAR, NVARCHAR, NCHAR))
CHARACTER_TYPES = frozenset((BIGVARCHAR, BIGCHAR, NVARCHAR, NCHAR))
LONG_TYPES = frozenset((IMAGE, TEXT, NTEXT))
MAX_SHORT_SIZE = 8000
PLP_SIZE = 0xFFFF  # in place of a size if values are partially length-prefixed
COLLATION_SIZE = 5
COLLATION = bytes.fromhex("0904d00034")  # Latin1_General_CI_AS


@dataclass(slots=True)
class TypeInfo:
    """A decoded TYPE_INFO: the type and the details needed to read a value. raw: the encoded octets."""

    type: int
    size: int = 0
    precision: int = 0
    scale: int = 0
    collation: bytes = b""
    raw: bytes = b""

    @property
    def is_plp(self) -> bool:
        """Whether values are partially length-prefixed."""
        return self.type == XML or self.type in USHORT_LENGTH_TYPES and self.size == PLP_SIZE


def read_type_info(cursor: Cursor) -> TypeInfo:
    """Reads a TYPE_INFO; raises ProtocolError if it is invalid or its type is unknown."""
    start = cursor.position
    info = TypeInfo(cursor.byte())
    read_details = _DETAIL_READERS.get(info.type)
    if read_details is None:
        raise ProtocolError(f"the type {info.type:#x} is not known")
    read_details(cursor, info)
    info.raw = bytes(cursor.data[start : cursor.position])
    return info


def time_size(scale: int) -> int:
    """Returns the size in octets of a time of day with `scale` fractional digits of the second."""
    return 3 if scale <= 2 else 4 if scale <= 4 else 5


def _read_fixed(cursor: Cursor, info: TypeInfo) -> None:
    info.size = FIXED_SIZES[info.type]


def _read_byte_length(cursor: Cursor, info: TypeInfo) -> None:
    info.size = cursor.byte()
    if info.size not in BYTE_LENGTH_SIZES[info.type]:
        raise ProtocolError("a type's length cannot be")


def _read_decimal(cursor: Cursor, info: TypeInfo) -> None:
    info.size = cursor.byte()
    info.precision = cursor.byte()
    info.scale = cursor.byte()
    valid = 1 <= info.precision <= MAX_PRECISION and info.scale <= info.precision
    if not valid or info.size not in DECIMAL_SIZES:
        raise ProtocolError("a decimal's precision or scale cannot be")


def _read_date(cursor: Cursor, info: TypeInfo) -> None:
    info.size = DATE_SIZE


def _read_scaled_time(cursor: Cursor, info: TypeInfo) -> None:
    info.scale = cursor.byte()
    if info.scale > MAX_TIME_SCALE:
        raise ProtocolError("a time's scale cannot be")


def _read_ushort_length(cursor: Cursor, info: TypeInfo) -> None:
    info.size = cursor.ushort()
    if info.type in CHARACTER_TYPES:
        info.collation = cursor.take(COLLATION_SIZE)
    if info.size != PLP_SIZE and info.size > MAX_SHORT_SIZE:
        raise ProtocolError("a type's length cannot be")


def _read_long(cursor: Cursor, info: TypeInfo) -> None:
    info.size = cursor.ulong()
    if info.type != IMAGE:
        info.collation = cursor.take(COLLATION_SIZE)


def _read_xml(cursor: Cursor, info: TypeInfo) -> None:
    has_schema = cursor.byte()
    if has_schema:
        cursor.b_varchar()  # database
        cursor.b_varchar()  # owning schema
        cursor.us_varchar()  # schema collection


def _read_variant(cursor: Cursor, info: TypeInfo) -> None:
    info.size = cursor.ulong()


_DETAIL_READERS: dict[int, Callable[[Cursor, TypeInfo], None]] = {
    **dict.fromkeys(FIXED_SIZES, _read_fixed),
    **dict.fromkeys(BYTE_LENGTH_SIZES, _read_byte_length),
    **dict.fromkeys(DECIMAL_TYPES, _read_decimal),
    DATEN: _read_date,
    **dict.fromkeys(SCALED_TIME_TYPES, _read_scaled_time),
    **dict.fromkeys(USHORT_LENGTH_TYPES, _read_ushort_length),
    **dict.fromkeys(LONG_TYPES, _read_long),
    XML: _read_xml,
    VARIANT: _read_variant,
}
