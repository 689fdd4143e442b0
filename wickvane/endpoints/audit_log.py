"""The bounded history of decisions that `wickvane members log` prints."""

from wickvane.endpoints.records import Record, audit_row

MAX_ROWS = 256


class AuditLog:
    """Keeps the latest MAX_ROWS decisions; rows: oldest first, in their stored form."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[dict] = []

    def append(self, record: Record) -> None:
        """Adds the row of a record and drops the oldest row if there are too many."""
        self.rows = [*self.rows[-MAX_ROWS + 1 :], audit_row(record)]
