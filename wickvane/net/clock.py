"""Unix time for all comparisons of times, kept by the monotonic clock so that it never steps.

The environment variable WICKVANE_CLOCK offsets this process's clocks from the machine's, for tests with
several processes. "apart=5 step=-3@10 rate=1.004" means: the wall clock is five seconds ahead and steps back
by three seconds after ten seconds, and the monotonic clock runs faster by a factor of 1.004.
"""

import os
import time


def skewed_clocks(text):
    """Returns (wall_ns, monotonic_ns), functions for a WICKVANE_CLOCK text; raises ValueError if invalid."""
    words = dict(word.split("=", 1) for word in text.split())
    offset, rate = int(float(words.pop("apart", 0)) * 1e9), float(words.pop("rate", 1))
    step_s, _, delay_s = words.pop("step", "0@0").partition("@")
    step, started_at = int(float(step_s) * 1e9), time.monotonic_ns()
    step_at = started_at + int(float(delay_s) * 1e9)
    if words or not 0.9 <= rate <= 1.1:
        raise ValueError(f"WICKVANE_CLOCK: {text!r}")

    def monotonic():
        return started_at + int((time.monotonic_ns() - started_at) * rate)

    def wall():
        return time.time_ns() + offset + (step if time.monotonic_ns() >= step_at else 0)

    return wall, monotonic


wall_ns, monotonic_ns = time.time_ns, time.monotonic_ns
if text := os.environ.get("WICKVANE_CLOCK"):
    wall_ns, monotonic_ns = skewed_clocks(text)


class Clock:
    """Unix time that does not step: the wall clock is read once, the monotonic clock counts from there."""

    def __init__(self):
        self.zero = (wall_ns() - monotonic_ns()) // 100_000

    def now(self):
        """Unix time in ticks (tenths of a millisecond), as an int."""
        return monotonic_ns() // 100_000 + self.zero
