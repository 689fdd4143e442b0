"""Token decoder: reads the token stream of TDS 7.4 (MS-TDS 2.2.7) incrementally. No I/O."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds.cursor import Cursor, IncompleteDataError
from wickvane.net.tds.type_info import IMAGE, NTEXT, TEXT, TypeInfo, read_type_info
from wickvane.net.tds.values import read_value, value_skipper

# Token types
OFFSET = 0x78
RETURNSTATUS = 0x79
COLMETADATA = 0x81
TABNAME = 0xA4
COLINFO = 0xA5
ORDER = 0xA9
ERROR = 0xAA
INFO = 0xAB
RETURNVALUE = 0xAC
LOGINACK = 0xAD
FEATUREEXTACK = 0xAE
ROW = 0xD1
NBCROW = 0xD2
ENVCHANGE = 0xE3
SESSIONSTATE = 0xE4
SSPI = 0xED
FEDAUTHINFO = 0xEE
DONE = 0xFD
DONEPROC = 0xFE
DONEINPROC = 0xFF
DONE_TOKENS = (DONE, DONEPROC, DONEINPROC)
ROW_TOKENS = (ROW, NBCROW)
USHORT_LENGTH_TOKENS = (LOGINACK, ORDER, TABNAME, COLINFO, SSPI)
ULONG_LENGTH_TOKENS = (SESSIONSTATE, FEDAUTHINFO)

# Status flags of DONE, DONEPROC and DONEINPROC
DONE_MORE = 0x01
DONE_ERROR = 0x02
DONE_COUNT = 0x10
DONE_ATTN = 0x20
DONE_SRVERROR = 0x100

# Types of ENVCHANGE
ENV_DATABASE = 1
ENV_LANGUAGE = 2
ENV_PACKET_SIZE = 4
ENV_COLLATION = 7
ENV_BEGIN_TRANSACTION = 8
ENV_COMMIT_TRANSACTION = 9
ENV_ROLLBACK_TRANSACTION = 10
ENV_RESET_ACK = 18
ENV_ROUTING = 20

MAX_COLUMNS = 4096
MAX_TOKEN_SIZE = 2 << 20  # octets
NO_METADATA = 0xFFFF  # in place of the column count of a COLMETADATA without metadata
FEATURE_TERMINATOR = 0xFF
OFFSET_SIZE = 4
_new_tuple = tuple.__new__
RETURN_VALUE_FLAGS_SIZE = 7  # status, user type and flags


@dataclass(slots=True)
class Column:
    """A column of a result, as COLMETADATA describes it."""

    name: str
    info: TypeInfo
    flags: int


class Done(NamedTuple):
    """The content of a DONE, DONEPROC or DONEINPROC."""

    status: int
    command: int
    row_count: int


class ServerMessage(NamedTuple):
    """The content of an ERROR or INFO; severity is the field that MS-TDS calls Class."""

    number: int
    state: int
    severity: int
    text: str


class EnvironmentChange(NamedTuple):
    """The content of an ENVCHANGE; data: the new and the old value, each preceded by its length."""

    type: int
    data: bytes


class ReturnValue(NamedTuple):
    """The content of a RETURNVALUE."""

    name: str
    info: TypeInfo
    value: bytes | None


Content = list[Column] | Done | ServerMessage | EnvironmentChange | ReturnValue | int | bytes | None


class Token(NamedTuple):
    """A token: its type, its octets, and its content.

    The content of COLMETADATA is a list of Column, or None if it has no metadata; that of ROW and NBCROW is
    None, since row_values() reads them; that of RETURNSTATUS is an int, and that of FEATUREEXTACK is None.
    The content of tokens without a class of their own is their octets."""

    type: int
    raw: bytes
    content: Content


class TokenStreamReader:
    """Decodes tokens from the octets of a message.

    Buffers at most one incomplete token of MAX_TOKEN_SIZE octets. Raises no error except ProtocolError."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.columns: list[Column] | None = None
        self._value_skippers: list[tuple[Callable[[Cursor, TypeInfo], object], TypeInfo]] = []

    def feed(self, data: bytes) -> Iterator[Token]:
        """Adds data; yields the tokens that are now complete; raises ProtocolError for invalid data."""
        buffer = self.buffer
        buffer += data
        position = 0
        end = len(buffer)
        try:
            while position < end:
                cursor = Cursor(buffer, position, end)
                try:
                    token_type = cursor.byte()
                    read_content = _CONTENT_READERS.get(token_type)
                    if read_content is None:
                        raise ProtocolError(f"the token {token_type:#x} is not known")
                    content = read_content(self, cursor)
                except IncompleteDataError:
                    if end - position > MAX_TOKEN_SIZE:
                        raise ProtocolError("a token is too long") from None
                    return
                start = position
                position = cursor.position
                # Bypasses the NamedTuple's constructor, which is slow in a loop over many rows.
                yield _new_tuple(Token, (token_type, bytes(buffer[start:position]), content))
        finally:
            del buffer[:position]

    def is_mid_token(self) -> bool:
        """Returns whether an incomplete token is buffered."""
        return bool(self.buffer)

    def _read_row(self, cursor: Cursor) -> None:
        if self.columns is None:
            raise ProtocolError("a row ahead of its columns")
        for skip, info in self._value_skippers:
            skip(cursor, info)

    def _read_nbcrow(self, cursor: Cursor) -> None:
        if self.columns is None:
            raise ProtocolError("a row ahead of its columns")
        null_bitmap = cursor.take((len(self.columns) + 7) // 8)
        for n, (skip, info) in enumerate(self._value_skippers):
            if not null_bitmap[n >> 3] >> (n & 7) & 1:
                skip(cursor, info)

    def _read_colmetadata(self, cursor: Cursor) -> list[Column] | None:
        columns = _read_columns(cursor)
        if columns is not None:
            self.columns = columns
            self._value_skippers = [(value_skipper(column.info), column.info) for column in columns]
        return columns

    def _read_done(self, cursor: Cursor) -> Done:
        return Done(cursor.ushort(), cursor.ushort(), cursor.ulonglong())

    def _read_message(self, cursor: Cursor) -> ServerMessage:
        body = Cursor(cursor.take(cursor.ushort()))
        try:
            return ServerMessage(body.long(), body.byte(), body.byte(), body.us_varchar())
        except IncompleteDataError:
            raise ProtocolError("a message of the server ends inside itself") from None

    def _read_envchange(self, cursor: Cursor) -> EnvironmentChange:
        data = cursor.take(cursor.ushort())
        if not data:
            raise ProtocolError("a change of the environment is empty")
        return EnvironmentChange(data[0], data[1:])

    def _read_ushort_length(self, cursor: Cursor) -> bytes:
        return cursor.take(cursor.ushort())

    def _read_ulong_length(self, cursor: Cursor) -> bytes:
        return cursor.take(_read_bounded_size(cursor))

    def _read_returnstatus(self, cursor: Cursor) -> int:
        return cursor.long()

    def _read_returnvalue(self, cursor: Cursor) -> ReturnValue:
        cursor.ushort()  # ordinal
        name = cursor.b_varchar()
        cursor.skip(RETURN_VALUE_FLAGS_SIZE)
        info = read_type_info(cursor)
        return ReturnValue(name, info, read_value(cursor, info))

    def _read_featureextack(self, cursor: Cursor) -> None:
        while cursor.byte() != FEATURE_TERMINATOR:
            cursor.skip(_read_bounded_size(cursor))

    def _read_offset(self, cursor: Cursor) -> bytes:
        return cursor.take(OFFSET_SIZE)


_CONTENT_READERS: dict[int, Callable[[TokenStreamReader, Cursor], Content]] = {
    ROW: TokenStreamReader._read_row,
    NBCROW: TokenStreamReader._read_nbcrow,
    COLMETADATA: TokenStreamReader._read_colmetadata,
    **dict.fromkeys(DONE_TOKENS, TokenStreamReader._read_done),
    **dict.fromkeys((ERROR, INFO), TokenStreamReader._read_message),
    ENVCHANGE: TokenStreamReader._read_envchange,
    **dict.fromkeys(USHORT_LENGTH_TOKENS, TokenStreamReader._read_ushort_length),
    **dict.fromkeys(ULONG_LENGTH_TOKENS, TokenStreamReader._read_ulong_length),
    RETURNSTATUS: TokenStreamReader._read_returnstatus,
    RETURNVALUE: TokenStreamReader._read_returnvalue,
    FEATUREEXTACK: TokenStreamReader._read_featureextack,
    OFFSET: TokenStreamReader._read_offset,
}


def row_values(raw: bytes, columns: list[Column]) -> list[bytes | None]:
    """Returns each column's octets from the raw octets of a ROW or NBCROW; None for NULL."""
    cursor = Cursor(raw)
    token_type = cursor.byte()
    try:
        if token_type == ROW:
            return [read_value(cursor, column.info) for column in columns]
        null_bitmap = cursor.take((len(columns) + 7) // 8)
        return [
            None if null_bitmap[n >> 3] >> (n & 7) & 1 else read_value(cursor, column.info)
            for n, column in enumerate(columns)
        ]
    except IncompleteDataError:
        raise ProtocolError("a row is cut") from None


def _read_bounded_size(cursor: Cursor) -> int:
    size = cursor.ulong()
    if size > MAX_TOKEN_SIZE:
        raise ProtocolError("a token is too long")
    return size


def _read_columns(cursor: Cursor) -> list[Column] | None:
    count = cursor.ushort()
    if count == NO_METADATA:
        return None
    if count > MAX_COLUMNS:
        raise ProtocolError("there are too many columns")
    return [_read_column(cursor) for _ in range(count)]


def _read_column(cursor: Cursor) -> Column:
    cursor.ulong()  # user type
    flags = cursor.ushort()
    info = read_type_info(cursor)
    if info.type in (IMAGE, TEXT, NTEXT):
        table_name_parts = cursor.byte()
        for _ in range(table_name_parts):
            cursor.us_varchar()
    return Column(cursor.b_varchar(), info, flags)
