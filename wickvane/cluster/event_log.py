"""Log events of the cluster. The latest are kept for the status file, all are counted, and log lines are
limited."""

import time
from collections import Counter, deque

MAX_RECENT_EVENTS = 200
MAX_LINES_PER_PERIOD = 50


class EventLog:
    """Writes events to the dispatcher's log, up to MAX_LINES_PER_PERIOD between two calls of
    take_period()."""

    def __init__(self, log, counters):
        self.recent: deque[dict] = deque(maxlen=MAX_RECENT_EVENTS)
        self._log = log
        self._counters = counters
        self._counts: Counter[str] = Counter()
        self._line_count = 0
        self._dropped_lines = 0

    def record(self, event: str, fields: dict) -> None:
        """Keeps and counts an event, and logs it unless the limit of the period is reached."""
        self.recent.append({"at": time.time(), "event": event, **fields})
        self._counts[event] += 1
        self._line_count += 1
        if self._line_count <= MAX_LINES_PER_PERIOD:
            self._log.line(event, **fields)
        else:
            self._dropped_lines += 1

    def take_period(self) -> tuple[Counter[str], int]:
        """Ends a period. Returns the numbers of its events by name, and the number of dropped log lines."""
        counts = self._counts
        dropped_lines = self._dropped_lines
        self._counts = Counter()
        self._dropped_lines = 0
        self._line_count = 0
        return counts, dropped_lines

    def report(self, event_counts: Counter[str], rejected: Counter[str], dropped_lines: int) -> None:
        """Adds a period's events and rejected messages to the counters, and logs the latter and dropped
        lines."""
        for event, count in event_counts.items():
            self._counters.add(event, count)
        for reason, count in rejected.items():
            self._counters.add(f"peers-refused-{reason}", count)
        if rejected:
            self._log.line("peers-refused", **rejected)
        if dropped_lines:
            self._log.line("peers-log-lines-dropped", count=dropped_lines)

    def log_and_count(self, event: str, **fields) -> None:
        """Logs and counts an event to which the limit on lines does not apply."""
        self._counters.add(event)
        self._log.line(event, **fields)
