"""Storage for what the decision module knows of engines: one array a figure, under the dense indices."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from wickvane.events import FOREVER

NEVER = -FOREVER


class Lifetime(Enum):
    """How long a figure stands."""

    LISTED = "set by each event of the engine list"
    PROCESS = "reset where another process takes the place"
    RUN = "reset at each start of a process"


class Column(NamedTuple):
    """One figure of every engine; times are tenths of a millisecond."""

    name: str
    lifetime: Lifetime
    initial: Callable[[], Any]


def constant(value):
    """A maker of one initial value that is never changed in place."""
    return lambda: value


COLUMNS = (
    Column("rank", Lifetime.LISTED, constant(None)),  # its own id, for the hash order
    Column("state", Lifetime.LISTED, constant(None)),
    Column("zone", Lifetime.LISTED, constant(None)),
    Column("kind", Lifetime.LISTED, constant(None)),
    Column("cell", Lifetime.LISTED, constant(None)),
    Column("cores", Lifetime.LISTED, constant(1)),  # by kind and weight
    Column("started_at", Lifetime.LISTED, constant(0)),  # 0: it was there from the beginning
    Column("in_flight", Lifetime.PROCESS, constant(0)),  # threads of this dispatcher's attempts
    Column("loads", Lifetime.PROCESS, list),  # table groups of the loads in flight
    Column("slow_start_work", Lifetime.PROCESS, deque),  # (when, work) sent while it warmed up
    Column("failure_rate", Lifetime.RUN, constant(0.0)),  # smoothed
    Column("rejected_at", Lifetime.RUN, constant(NEVER)),  # when it last turned an attempt away
    Column("heard_at", Lifetime.RUN, constant(0)),  # when it last answered or told progress
    Column("used_at", Lifetime.RUN, constant(NEVER)),  # when it was last sent to or heard of
    Column("ejected_until", Lifetime.RUN, constant(0)),
    Column("ejection_time", Lifetime.RUN, constant(0)),  # of the next ejection
    Column("half_open", Lifetime.RUN, constant(False)),  # one probe decides whether it is let back in
    Column("refuses_connections", Lifetime.RUN, constant(False)),
    Column("concurrency_limit", Lifetime.RUN, constant(FOREVER)),  # threads in flight that it takes
    Column("load_factor", Lifetime.RUN, constant(1.0)),  # latency against an unloaded engine's
    Column("load_factor_at", Lifetime.RUN, constant(0)),
    Column("lot", Lifetime.RUN, constant(1.0)),  # drawn once a window of its slow start
    Column("lot_until", Lifetime.RUN, constant(-1)),
    Column("others_in_flight", Lifetime.RUN, constant(0)),  # threads, as the other dispatchers told
    Column("others_told_at", Lifetime.RUN, constant(NEVER)),
)


class EngineTable:
    """The columns as attributes, each a list by engine."""

    __slots__ = tuple(column.name for column in COLUMNS)

    def __init__(self):
        for column in COLUMNS:
            setattr(self, column.name, [])

    def __len__(self):
        return len(self.rank)

    def grow(self, size):
        """Makes room for engines up to index `size` - 1."""
        for column in COLUMNS:
            values = getattr(self, column.name)
            values.extend(column.initial() for _ in range(size - len(values)))

    def reset(self, engine, lifetime):
        """Sets all figures of one lifetime to their initial values."""
        for column in COLUMNS:
            if column.lifetime is lifetime:
                getattr(self, column.name)[engine] = column.initial()
