"""Results between the protocols: an engine's pages as a TDS client gets them, a token stream as a PostgreSQL
one does."""

import struct

from wickvane.net.tds import tokens as t
from wickvane.net.tds.types import NVARCHAR_MAX, nvarchar_info, nvarchar_max, text_of, value_of

CHARACTERS = 4000  # of an ordinary nvarchar; a longer cell makes all of them (max)
NAMES = ("column1", "column2", "column3")
PLAIN, LONG = nvarchar_info(CHARACTERS), NVARCHAR_MAX
PLAIN_COLUMNS, LONG_COLUMNS = (t.columns_of([(name, info) for name in NAMES]) for info in (PLAIN, LONG))
LENGTHS = [struct.pack("<H", n) for n in range(2 * CHARACTERS + 1)]
TEXT = 25


class Tokens(list):
    """A whole result of a TDS engine: (token, octets, what it says), without the final DONE."""

    rows = 0


def of_pages(pages):
    """(octets, rows) of all tokens but the final DONE; ValueError where a row has not three columns."""
    text = b"".join(pages).decode("utf-8", "replace")
    lines = text.split("\n")[:-1]
    parts, add = [], None
    if max(map(len, lines), default=0) > CHARACTERS:
        parts.append(LONG_COLUMNS)
        for line in lines:
            a, b, c = line.split("\t")
            parts.append(b"\xd1" + nvarchar_max(a) + nvarchar_max(b) + nvarchar_max(c))
        return b"".join(parts), len(lines)
    parts.append(PLAIN_COLUMNS)
    add, lengths = parts.append, LENGTHS
    for line in lines:
        a, b, c = (
            line.encode("utf-16-le").split(b"\t\0")
            if line.isascii()
            else [cell.encode("utf-16-le") for cell in line.split("\t")]
        )
        if len(a) + len(b) + len(c) > 2 * CHARACTERS:
            a, b, c = a[: 2 * CHARACTERS], b[: 2 * CHARACTERS], c[: 2 * CHARACTERS]
        add(b"\xd1%b%b%b%b%b%b" % (lengths[len(a)], a, lengths[len(b)], b, lengths[len(c)], c))
    return b"".join(parts), len(lines)


class Rows:
    """PostgreSQL's messages of a token stream, as it comes; all columns as text."""

    def __init__(self):
        self.columns, self.count, self.described = None, 0, False

    def of(self, tokens):
        parts = []
        for token, raw, said in tokens:
            if token == t.COLMETADATA and said is not None and not self.described:
                self.columns, self.described = said, True
                kind = struct.pack("!IhIhih", 0, 0, TEXT, -1, -1, 0)
                names = [column.name.encode()[:63].replace(b"\0", b"") for column in said]
                head = b"".join(name + b"\0" + kind for name in names)
                parts.append(b"T" + struct.pack("!IH", 6 + len(head), len(said)) + head)
            elif token in (t.ROW, t.NBCROW) and self.columns is not None:
                cells = []
                for data, column in zip(t.values(raw, self.columns), self.columns):
                    text = text_of(value_of(column.info, data))
                    if text is None:
                        cells.append(b"\xff\xff\xff\xff")
                    else:
                        cell = text.encode("utf-8", "replace").replace(b"\0", b"")
                        cells.append(struct.pack("!I", len(cell)) + cell)
                body = struct.pack("!H", len(self.columns)) + b"".join(cells)
                parts.append(b"D" + struct.pack("!I", 4 + len(body)) + body)
                self.count += 1
        return b"".join(parts)

    def end(self, tag):
        done = b"%b %d\0" % (tag, self.count)
        return b"C" + struct.pack("!I", 4 + len(done)) + done
