"""An engine's pages: text of whole rows, a tab between columns."""

PAGE_MOST, RESULT_MOST, PAGES_MOST, COLUMNS = 6_000, 48_000, 64, 3


def is_page(body):
    """Whole rows of three columns, by count; row by row it is seen when the rows are made."""
    return (
        len(body) <= PAGE_MOST
        and (not body or body.endswith(b"\n"))
        and body.count(b"\t") == (COLUMNS - 1) * body.count(b"\n")
    )
