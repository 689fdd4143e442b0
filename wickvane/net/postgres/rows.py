"""The rows that a PostgreSQL client gets of an engine's pages."""

from struct import pack

from wickvane.net.lines.pages import COLUMNS, MAX_PAGE_SIZE

# Packing them anew is a third of a result's cost.
LENGTHS = [pack("!I", n) for n in range(MAX_PAGE_SIZE + 17)]

NAMES = (b"column1", b"column2", b"column3")
TEXT = 25
DESCRIPTION = b"".join(name + b"\0" + pack("!IhIhih", 0, 0, TEXT, -1, -1, 0) for name in NAMES)
ROW_DESCRIPTION = b"T" + pack("!IH", 6 + len(DESCRIPTION), COLUMNS) + DESCRIPTION


def result(pages, tag):
    """(bytes, count) of all messages but ReadyForQuery; ValueError where a row has not three columns."""
    parts, count = [ROW_DESCRIPTION], 0
    add, lengths = parts.append, LENGTHS
    for page in pages:
        for row in page.split(b"\n")[:-1]:
            a, b, c = row.split(b"\t")
            # Four bytes and the column count, three lengths of four, and the row less its two tabs.
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
    done = b"%b %d\0" % (tag, count)
    parts.append(b"C" + pack("!I", 4 + len(done)) + done)
    return b"".join(parts), count + 2
