"""The one conversion of clocks: Unix time for what the rules compare, kept by a clock that cannot step.

WICKVANE_CLOCK sets this program's clocks apart from the machine's, for tests of several programs:
"apart=5 step=-3@10 rate=1.004" is a time of day five seconds ahead, that steps back by three after ten
seconds, and a second that is shorter by four thousandths.
"""

import os
import time


def apart(text):
    """(wall_ns, monotonic_ns) of a program whose clocks are as `text` says; ValueError if it says none."""
    words = dict(word.split("=", 1) for word in text.split())
    ahead, rate = int(float(words.pop("apart", 0)) * 1e9), float(words.pop("rate", 1))
    by, _, after = words.pop("step", "0@0").partition("@")
    step, zero = int(float(by) * 1e9), time.monotonic_ns()
    at = zero + int(float(after) * 1e9)
    if words or not 0.9 <= rate <= 1.1:
        raise ValueError(f"WICKVANE_CLOCK: {text!r}")

    def monotonic():
        return zero + int((time.monotonic_ns() - zero) * rate)

    def wall():
        return time.time_ns() + ahead + (step if time.monotonic_ns() >= at else 0)

    return wall, monotonic


wall_ns, monotonic_ns = time.time_ns, time.monotonic_ns
if text := os.environ.get("WICKVANE_CLOCK"):
    wall_ns, monotonic_ns = apart(text)


class Clock:
    """Unix time that does not step: taken once, and carried on by the monotonic clock."""

    def __init__(self):
        self.zero = (wall_ns() - monotonic_ns()) // 100_000

    def now(self):
        """Whole tenths of a millisecond of Unix time."""
        return monotonic_ns() // 100_000 + self.zero
