"""The pages of an engine's result: text of complete rows, with a tab between columns."""

# Sizes in octets.
MAX_PAGE_SIZE, MAX_RESULT_SIZE, MAX_PAGES, COLUMNS = 6_000, 48_000, 64, 3


def is_page(body):
    """Whether a body has complete rows of three columns, by the number of tabs and line ends.

    Each row's own columns are checked when the rows are encoded for the client."""
    return (
        len(body) <= MAX_PAGE_SIZE
        and (not body or body.endswith(b"\n"))
        and body.count(b"\t") == (COLUMNS - 1) * body.count(b"\n")
    )
