"""The one conversion of clocks: Unix time for what the rules compare, kept by a clock that cannot step."""

import time


class Clock:
    def __init__(self):
        self.zero = (time.time_ns() - time.monotonic_ns()) // 100_000

    def now(self):
        """Whole tenths of a millisecond of Unix time."""
        return time.monotonic_ns() // 100_000 + self.zero
