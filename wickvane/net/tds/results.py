"""Converts results between the protocols: result pages to TDS tokens, TDS tokens to PostgreSQL messages."""

import struct
from collections.abc import Iterable, Sequence

from wickvane.net.tds.conversion import to_python, to_text
from wickvane.net.tds.encoding import (
    MAX_NVARCHAR_CHARACTERS,
    NVARCHAR_MAX_INFO,
    encode_nvarchar_max,
    nvarchar_info,
)
from wickvane.net.tds.token_encoding import encode_colmetadata
from wickvane.net.tds.tokens import COLMETADATA, DONE_TOKENS, ROW, ROW_TOKENS, Column, Token, row_values

PAGE_COLUMNS = ("column1", "column2", "column3")
MAX_CELL_SIZE = 2 * MAX_NVARCHAR_CHARACTERS  # octets of an nvarchar that is not nvarchar(max)
COLMETADATA_NVARCHAR = encode_colmetadata((name, nvarchar_info()) for name in PAGE_COLUMNS)
COLMETADATA_NVARCHAR_MAX = encode_colmetadata((name, NVARCHAR_MAX_INFO) for name in PAGE_COLUMNS)
ROW_TOKEN = bytes((ROW,))
# Precomputed, since packing each length again takes a large part of the time for a row.
ENCODED_LENGTHS = [struct.pack("<H", size) for size in range(MAX_CELL_SIZE + 1)]

POSTGRES_TEXT_OID = 25
POSTGRES_NULL = struct.pack("!i", -1)
POSTGRES_MAX_NAME_SIZE = 63  # octets
# Table, attribute, type, size, modifier and format of a column.
POSTGRES_TEXT_COLUMN = struct.pack("!IhIhih", 0, 0, POSTGRES_TEXT_OID, -1, -1, 0)


class GatheredTokens(list[Token]):
    """The tokens of a TDS engine's result except its final DONE; rows: the row count of that DONE."""

    rows = 0

    def rows_of_last_result(self) -> int | None:
        """Returns the number of rows of the last statement's result set; None if it has no result set."""
        count = 0
        for token in reversed(self):
            if token.type in ROW_TOKENS:
                count += 1
            elif token.type == COLMETADATA:
                return count
            elif token.type in DONE_TOKENS:
                return None
        return None


def encode_pages(pages: Sequence[bytes]) -> tuple[bytes, int]:
    """Encodes result pages; returns the octets of all tokens except the final DONE, and the number of rows.

    pages: lines of three cells separated by tabs. Raises ValueError if a line has another number of cells."""
    text = b"".join(pages).decode("utf-8", "replace")
    lines = text.split("\n")[:-1]
    has_long_cells = max(map(len, lines), default=0) > MAX_NVARCHAR_CHARACTERS
    encoded = _encode_long_rows(lines) if has_long_cells else _encode_rows(lines)
    return encoded, len(lines)


def _encode_long_rows(lines: list[str]) -> bytes:
    parts = [COLMETADATA_NVARCHAR_MAX]
    for line in lines:
        a, b, c = line.split("\t")
        parts.append(ROW_TOKEN + encode_nvarchar_max(a) + encode_nvarchar_max(b) + encode_nvarchar_max(c))
    return b"".join(parts)


def _encode_rows(lines: list[str]) -> bytes:
    parts = [COLMETADATA_NVARCHAR]
    add = parts.append
    lengths = ENCODED_LENGTHS
    for line in lines:
        a, b, c = (
            line.encode("utf-16-le").split(b"\t\0")
            if line.isascii()
            else [cell.encode("utf-16-le") for cell in line.split("\t")]
        )
        if len(a) + len(b) + len(c) > MAX_CELL_SIZE:
            a = a[:MAX_CELL_SIZE]
            b = b[:MAX_CELL_SIZE]
            c = c[:MAX_CELL_SIZE]
        add(b"\xd1%b%b%b%b%b%b" % (lengths[len(a)], a, lengths[len(b)], b, lengths[len(c)], c))
    return b"".join(parts)


class PostgresRows:
    """Encodes a token stream as PostgreSQL messages with all columns as text.

    count: rows encoded so far. Only the columns of the first result set are described."""

    def __init__(self) -> None:
        self.columns: list[Column] | None = None
        self.count = 0

    def encode(self, tokens: Iterable[Token]) -> bytes:
        """Returns the RowDescription and DataRow messages of further tokens."""
        parts = []
        for token in tokens:
            if token.type in ROW_TOKENS:
                if self.columns is not None:
                    parts.append(self._data_row(token.raw, self.columns))
            elif token.type == COLMETADATA and token.content is not None and self.columns is None:
                self.columns = token.content
                parts.append(_row_description(token.content))
        return b"".join(parts)

    def end(self, tag: bytes) -> bytes:
        """Returns the CommandComplete that follows the last row."""
        body = b"%b %d\0" % (tag, self.count)
        return b"C" + struct.pack("!I", 4 + len(body)) + body

    def _data_row(self, raw: bytes, columns: list[Column]) -> bytes:
        cells = []
        for data, column in zip(row_values(raw, columns), columns):
            text = to_text(to_python(column.info, data))
            if text is None:
                cells.append(POSTGRES_NULL)
            else:
                cell = text.encode("utf-8", "replace").replace(b"\0", b"")
                cells.append(struct.pack("!I", len(cell)) + cell)
        self.count += 1
        body = struct.pack("!H", len(columns)) + b"".join(cells)
        return b"D" + struct.pack("!I", 4 + len(body)) + body


def _row_description(columns: list[Column]) -> bytes:
    names = [column.name.encode()[:POSTGRES_MAX_NAME_SIZE].replace(b"\0", b"") for column in columns]
    described = b"".join(name + b"\0" + POSTGRES_TEXT_COLUMN for name in names)
    return b"T" + struct.pack("!IH", 6 + len(described), len(columns)) + described
