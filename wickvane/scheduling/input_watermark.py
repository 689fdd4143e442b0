"""Lets decisions wait until the input that may change them has been read.

A dispatcher reads its connections in several threads. After a pause of the process they wake in any order, so
that a query may be known before an earlier one with the same key, before its cancellation or before the news
that its engine drains. The watermark (see Akidau et al., The Dataflow Model, 2015) is the time up to which
everything that arrived has been handled as events.
"""

from wickvane.events import FOREVER
from wickvane.units import TICKS_PER_SECOND

# A client that cancels or leaves gets no further attempt from a tenth of a second on; half of it is left for
# the attempt's way to its engine.
MAX_UNREAD_AGE_TICKS = TICKS_PER_SECOND // 20
MAX_ROUND_TICKS = TICKS_PER_SECOND // 200  # from the time at which the watermark was found until the decision


class InputWatermark:
    """The time up to which all input has been read; FOREVER if events are given in the order of arrival."""

    def __init__(self) -> None:
        self.read_until = FOREVER
        self._found_at = FOREVER

    def advance(self, until: int, took: int) -> None:
        """Moves the watermark; took: how long it took to read all input that had arrived by then."""
        self.read_until = until
        self._found_at = until + took

    def has_passed(self, arrived_at: int) -> bool:
        """Returns whether everything that arrived up to this time is known."""
        return arrived_at <= self.read_until

    def is_current(self, now: int) -> bool:
        """Returns whether decisions may be made now.

        Under overload, reading may take longer than MAX_UNREAD_AGE_TICKS; then they are made in the round in
        which the watermark was found.
        """
        is_just_found = now - self._found_at <= MAX_ROUND_TICKS
        return is_just_found or now - self.read_until <= MAX_UNREAD_AGE_TICKS
