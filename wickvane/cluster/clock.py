"""The clocks of the cluster: a monotonic clock in ticks, and the epoch of a member that starts now."""

import os

from wickvane.net import clock

NANOSECONDS_PER_TICK = 100_000
EPOCH_RANDOM_BYTES = 2


def now() -> int:
    """Returns the ticks of a monotonic clock, which also advances while this process is suspended."""
    return clock.monotonic_ns() // NANOSECONDS_PER_TICK


def new_epoch() -> int:
    """Returns the epoch of a member that starts now: the wall clock in ticks, and random low bits."""
    ticks = clock.wall_ns() // NANOSECONDS_PER_TICK
    return ticks << 8 * EPOCH_RANDOM_BYTES | int.from_bytes(os.urandom(EPOCH_RANDOM_BYTES))
