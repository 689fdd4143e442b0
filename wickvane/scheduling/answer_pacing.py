"""Limits how fast one session is answered without an engine's work. Free of I/O.

A client that sends unusable or empty statements, or queries that are rejected at once, is answered within
microseconds, and can keep the interpreter from all other threads. The limit is the generic cell rate
algorithm: BURST requests at once, then one per INTERVAL_TICKS.
"""

from wickvane.units import TICKS_PER_MILLISECOND

INTERVAL_TICKS = 2 * TICKS_PER_MILLISECOND
BURST = 100  # requests, such as the set-up statements of a driver


class AnswerPacing:
    """The pace of one session; times are ticks."""

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0  # when the next request would be due without a burst

    def pause_after(self, now: int) -> int:
        """Returns how long the session pauses after a request that was answered without an engine."""
        self._next_at = max(self._next_at, now) + INTERVAL_TICKS
        return max(0, self._next_at - now - BURST * INTERVAL_TICKS)
