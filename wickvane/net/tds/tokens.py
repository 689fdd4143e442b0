"""The token stream of TDS 7.4 (MS-TDS 2.2.7), read as it comes and written. No I/O."""

import struct

from wickvane.errors import ProtocolError
from wickvane.net.tds.types import Cursor, More, read_info, read_raw, skip_value

COLMETADATA, ROW, NBCROW, DONE, DONEPROC, DONEINPROC = 0x81, 0xD1, 0xD2, 0xFD, 0xFE, 0xFF
ERROR, INFO, LOGINACK, ENVCHANGE, RETURNSTATUS, RETURNVALUE = 0xAA, 0xAB, 0xAD, 0xE3, 0x79, 0xAC
ORDER, TABNAME, COLINFO, FEATUREEXTACK, SESSIONSTATE = 0xA9, 0xA4, 0xA5, 0xAE, 0xE4
SSPI, OFFSET, FEDAUTHINFO = 0xED, 0x78, 0xEE
DONES = (DONE, DONEPROC, DONEINPROC)
SHORT_TOKENS = {LOGINACK, ENVCHANGE, ORDER, TABNAME, COLINFO, SSPI}
LONG_TOKENS = {SESSIONSTATE, FEDAUTHINFO}
MORE, DONE_ERROR, COUNTED, ATTENTION, SERVER_ERROR = 0x01, 0x02, 0x10, 0x20, 0x100
COLUMNS_MOST, TOKEN_MOST = 4096, 2 << 20
# Of ENVCHANGE
DATABASE, LANGUAGE, PACKET_SIZE, COLLATION_CHANGE, BEGIN, COMMIT, ROLLBACK, RESET_ACK, ROUTING = (
    1,
    2,
    4,
    7,
    8,
    9,
    10,
    18,
    20,
)


class Column:
    """A column of a result, as COLMETADATA describes it."""

    __slots__ = ("name", "info", "flags")

    def __init__(self, name, info, flags):
        self.name, self.info, self.flags = name, info, flags


class Stream:
    """Bytes of a result's messages in, tokens out: (token, raw octets, what it says).

    COLMETADATA      list of Column            ROW, NBCROW       None (see values())
    DONE and kin     (status, command, rows)   ERROR, INFO       (number, state, class, text)
    ENVCHANGE        (type, octets)            others            octets, or None

    Holds one token at most, of TOKEN_MOST octets. Raises ProtocolError and nothing else."""

    def __init__(self):
        self.buffer, self.columns = bytearray(), None

    def feed(self, data):
        """Tokens that are whole by now."""
        self.buffer += data
        at, end = 0, len(self.buffer)
        try:
            while at < end:
                cursor = Cursor(self.buffer, at, end)
                try:
                    token, said = self.one(cursor)
                except More:
                    if end - at > TOKEN_MOST:
                        raise ProtocolError("a token is too long") from None
                    return
                begin, at = at, cursor.at
                yield token, bytes(self.buffer[begin:at]), said
        finally:
            del self.buffer[:at]

    def midway(self):
        return bool(self.buffer)

    def one(self, cursor):
        token = cursor.byte()
        if token == ROW:
            if self.columns is None:
                raise ProtocolError("a row ahead of its columns")
            for column in self.columns:
                skip_value(cursor, column.info)
            return token, None
        if token == NBCROW:
            if self.columns is None:
                raise ProtocolError("a row ahead of its columns")
            bits = cursor.take((len(self.columns) + 7) // 8)
            for n, column in enumerate(self.columns):
                if not bits[n >> 3] >> (n & 7) & 1:
                    skip_value(cursor, column.info)
            return token, None
        if token in DONES:
            return token, (cursor.short(), cursor.short(), cursor.big())
        if token == COLMETADATA:
            columns = read_columns(cursor)
            self.columns = columns if columns is not None else self.columns
            return token, columns
        if token in (ERROR, INFO):
            part = Cursor(cursor.take(cursor.short()))
            try:
                number = int.from_bytes(part.take(4), "little", signed=True)
                state, severity = part.byte(), part.byte()
                return token, (number, state, severity, part.us_varchar())
            except More:
                raise ProtocolError("a message of the server ends inside itself") from None
        if token == ENVCHANGE:
            data = cursor.take(cursor.short())
            if not data:
                raise ProtocolError("a change of the environment is empty")
            return token, (data[0], data[1:])
        if token in SHORT_TOKENS:
            return token, cursor.take(cursor.short())
        if token in LONG_TOKENS:
            size = cursor.long()
            if size > TOKEN_MOST:
                raise ProtocolError("a token is too long")
            return token, cursor.take(size)
        if token == RETURNSTATUS:
            return token, int.from_bytes(cursor.take(4), "little", signed=True)
        if token == RETURNVALUE:
            cursor.short()
            name = cursor.b_varchar()
            cursor.skip(7)
            info = read_info(cursor)
            return token, (name, info, read_raw(cursor, info))
        if token == FEATUREEXTACK:
            while cursor.byte() != 0xFF:
                size = cursor.long()
                if size > TOKEN_MOST:
                    raise ProtocolError("a token is too long")
                cursor.skip(size)
            return token, None
        if token == OFFSET:
            return token, cursor.take(4)
        raise ProtocolError(f"the token {token:#x} is not known")


def read_columns(cursor):
    """Columns of a COLMETADATA behind its token; None where it says that there are none."""
    count = cursor.short()
    if count == 0xFFFF:
        return None
    if count > COLUMNS_MOST:
        raise ProtocolError("there are too many columns")
    columns = []
    for _ in range(count):
        cursor.skip(4)
        flags = cursor.short()
        info = read_info(cursor)
        if info.type in (0x22, 0x23, 0x63):
            for _ in range(cursor.byte()):
                cursor.us_varchar()
        columns.append(Column(cursor.b_varchar(), info, flags))
    return columns


def values(raw, columns):
    """(octets or None) by column of one row's token."""
    cursor = Cursor(raw)
    token = cursor.byte()
    try:
        if token == ROW:
            return [read_raw(cursor, column.info) for column in columns]
        bits = cursor.take((len(columns) + 7) // 8)
        return [
            None if bits[n >> 3] >> (n & 7) & 1 else read_raw(cursor, column.info)
            for n, column in enumerate(columns)
        ]
    except More:
        raise ProtocolError("a row is cut") from None


# Writing


def b_varchar(text):
    data = text[:255].encode("utf-16-le")[:510]
    return bytes((len(data) // 2,)) + data


def us_varchar(text):
    data = text.encode("utf-16-le")[: 65_534 // 2 * 2]
    return struct.pack("<H", len(data) // 2) + data


def told(token, number, state, severity, text, server="wickvane", line=1):
    """An ERROR or INFO."""
    body = struct.pack("<iBB", number, state, severity) + us_varchar(text[:2000]) + b_varchar(server) + b"\0"
    body += struct.pack("<I", line)
    return struct.pack("<BH", token, len(body)) + body


def done(status=0, rows=0, token=DONE, command=0xC1):
    return struct.pack("<BHHQ", token, status, command, rows)


def envchange(type, new, old):
    """For the types whose values are strings; others hand in octets with their lengths."""
    body = bytes((type,)) + (b_varchar(new) if isinstance(new, str) else new)
    body += b_varchar(old) if isinstance(old, str) else old
    return struct.pack("<BH", ENVCHANGE, len(body)) + body


def loginack(version=0x74000004, program="wickvane"):
    body = b"\1" + struct.pack(">I", version) + b_varchar(program) + bytes((15, 0, 0, 0))
    return struct.pack("<BH", LOGINACK, len(body)) + body


def columns_of(named):
    """A COLMETADATA of (name, TYPE_INFO octets)."""
    parts = [struct.pack("<BH", COLMETADATA, len(named))]
    for name, info in named:
        parts.append(struct.pack("<IH", 0, 9) + info + b_varchar(name))  # nullable, may be written
    return b"".join(parts)


def return_status(value=0):
    return struct.pack("<Bi", RETURNSTATUS, value)


def return_value(ordinal, name, info, value):
    return (
        struct.pack("<BH", RETURNVALUE, ordinal)
        + b_varchar(name)
        + b"\1"
        + struct.pack("<IH", 0, 0)
        + info
        + value
    )
