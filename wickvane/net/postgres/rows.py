"""Encodes the pages of an engine's result as messages to a PostgreSQL client."""

from struct import pack

from wickvane.net.lines.pages import COLUMNS, MAX_PAGE_SIZE

# Length fields by value: packing them for each row would be a third of the cost of encoding a result.
LENGTHS = [pack("!I", n) for n in range(MAX_PAGE_SIZE + 17)]

COLUMN_NAMES = (b"column1", b"column2", b"column3")
TEXT_OID = 25  # of the type text
COLUMN_DESCRIPTIONS = b"".join(
    name + b"\0" + pack("!IhIhih", 0, 0, TEXT_OID, -1, -1, 0) for name in COLUMN_NAMES
)
ROW_DESCRIPTION = b"T" + pack("!IH", 6 + len(COLUMN_DESCRIPTIONS), COLUMNS) + COLUMN_DESCRIPTIONS


def result(pages, tag):
    """Returns (bytes, number) of all messages of a result except ReadyForQuery.

    tag: the command tag without the row count. Raises ValueError if a row doesn't have three columns."""
    parts, count = [ROW_DESCRIPTION], 0
    add, lengths = parts.append, LENGTHS
    for page in pages:
        for row in page.split(b"\n")[:-1]:
            a, b, c = row.split(b"\t")
            # The message length counts its own 4 octets, 2 for the number of columns, 4 for each column's
            # length, and the row without its two tabs.
            add(
                b"D%b\0\3%b%b%b%b%b%b"
                % (
                    lengths[16 + len(row)],
                    lengths[len(a)],
                    a,
                    lengths[len(b)],
                    b,
                    lengths[len(c)],
                    c,
                )
            )
            count += 1
    command = b"%b %d\0" % (tag, count)
    parts.append(b"C" + pack("!I", 4 + len(command)) + command)
    return b"".join(parts), count + 2
