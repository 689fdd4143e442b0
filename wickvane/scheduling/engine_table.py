"""Storage for what the decision module knows of engines: one array a figure, under the dense indices."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from wickvane.events import FOREVER, EngineState, EngineUpdated

NEVER = -FOREVER


class Lifetime(Enum):
    """How long a figure is valid."""

    LISTED = "set by each event of the engine list"
    PROCESS = "reset where another process takes the place"
    RUN = "reset at each start of a process"


class EngineChange(Enum):
    """What is new in an engine's entry in the endpoint list."""

    ENTRY = "the same process"
    PROCESS = "a process started"
    IDENTITY = "another engine has the index"


class Column(NamedTuple):
    """One figure of every engine; times are ticks."""

    name: str
    lifetime: Lifetime
    initial: Callable[[], Any]


def constant(value: Any) -> Callable[[], Any]:
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
    Column("bulk_loads", Lifetime.PROCESS, list),  # table groups of bulk loads in flight
    Column("slow_start_work", Lifetime.PROCESS, deque),  # (when, work) sent while it warmed up
    Column("failure_rate", Lifetime.RUN, constant(0.0)),  # smoothed
    Column("rejected_at", Lifetime.RUN, constant(NEVER)),  # of its last rejection
    Column("last_contact_at", Lifetime.RUN, constant(0)),  # of its last answer or progress
    Column("last_used_at", Lifetime.RUN, constant(NEVER)),  # of the last attempt that started or ended
    Column("ejected_until", Lifetime.RUN, constant(0)),
    Column("ejection_time", Lifetime.RUN, constant(0)),  # of the next ejection
    Column("half_open", Lifetime.RUN, constant(False)),  # one probe decides whether it is ejected again
    Column("refuses_connections", Lifetime.RUN, constant(False)),
    Column("concurrency_limit", Lifetime.RUN, constant(FOREVER)),  # threads in flight that it accepts
    Column("load_factor", Lifetime.RUN, constant(1.0)),  # latency against an unloaded engine's
    Column("load_factor_at", Lifetime.RUN, constant(0)),
    Column("admission_draw", Lifetime.RUN, constant(1.0)),  # drawn once a slow start window
    Column("admission_draw_until", Lifetime.RUN, constant(-1)),
    Column("others_in_flight", Lifetime.RUN, constant(0)),  # threads, as the other dispatchers reported
    Column("others_reported_at", Lifetime.RUN, constant(NEVER)),
)


class EngineTable:
    """The columns as attributes, each a list by engine."""

    __slots__ = tuple(column.name for column in COLUMNS)

    def __init__(self) -> None:
        for column in COLUMNS:
            setattr(self, column.name, [])

    def __len__(self) -> int:
        return len(self.rank)

    def ready(self) -> list[int]:
        """The engines that the endpoint list says are ready."""
        ready = (
            EngineState.READY
        )  # looked up once: a member of an enumeration costs as much as the comparison
        return [engine for engine, state in enumerate(self.state) if state == ready]

    def grow(self, size: int) -> None:
        """Makes room for engines up to index `size` - 1."""
        for column in COLUMNS:
            values = getattr(self, column.name)
            values.extend(column.initial() for _ in range(size - len(values)))

    def update(self, event: EngineUpdated, cores: float, now: int) -> EngineChange:
        """Takes in an engine's entry in the endpoint list."""
        engine = event.engine
        self.grow(engine + 1)
        change = EngineChange.ENTRY
        if self.rank[engine] != event.wire_id:
            change = EngineChange.IDENTITY
            self.reset(engine, Lifetime.PROCESS)
        elif self.started_at[engine] != event.started:
            change = EngineChange.PROCESS
        if change != EngineChange.ENTRY:
            self.reset(engine, Lifetime.RUN)
            self.load_factor_at[engine] = now
            self.last_contact_at[engine] = now
        self.rank[engine] = event.wire_id
        self.state[engine] = event.state
        self.zone[engine] = event.zone
        self.kind[engine] = event.kind
        self.cell[engine] = event.cell
        self.started_at[engine] = event.started
        self.cores[engine] = cores
        return change

    def reset(self, engine: int, lifetime: Lifetime) -> None:
        """Sets all figures of one lifetime to their initial values."""
        for column in COLUMNS:
            if column.lifetime is lifetime:
                getattr(self, column.name)[engine] = column.initial()
