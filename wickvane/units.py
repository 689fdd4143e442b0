"""Units of time: the decision modules count time in whole ticks of a tenth of a millisecond."""

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10


def to_seconds(ticks: float) -> float:
    """Ticks as seconds."""
    return ticks / TICKS_PER_SECOND


def from_seconds(seconds: float) -> int:
    """Seconds as whole ticks, rounded down."""
    return int(seconds * TICKS_PER_SECOND)


def to_milliseconds(ticks: float) -> float:
    """Ticks as milliseconds."""
    return ticks / TICKS_PER_MILLISECOND
