"""Stores the state of engines for the decision modules: one list for each value, indexed by engine."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from wickvane.events import FOREVER, EngineState, EngineUpdated

NEVER = -FOREVER


class Lifetime(Enum):
    """The event that resets a column's values."""

    ENTRY = "set by each update of the endpoint list"
    IDENTITY = "reset when another engine takes over the index"
    PROCESS = "reset at each start of a process"


class EngineChange(Enum):
    """What is new in an engine's entry in the endpoint list."""

    ENTRY = "the process is the same"
    PROCESS = "a new process started"
    IDENTITY = "another engine took over the index"


class Column(NamedTuple):
    """A value that is stored for every engine; times are ticks."""

    name: str
    lifetime: Lifetime
    initial: Callable[[], Any]


class EngineIdentity(NamedTuple):
    """An engine as it was listed when an attempt was sent to it.

    The index is valid while the attempt is in flight. Once the engine has left the list, another engine may
    take over its index.
    """

    index: int
    wire_id: bytes
    zone: int
    cell: int


def constant(value: Any) -> Callable[[], Any]:
    """Returns a factory for an immutable initial value."""
    return lambda: value


COLUMNS = (
    Column("wire_id", Lifetime.ENTRY, constant(None)),  # its key in the rendezvous hash order
    Column("state", Lifetime.ENTRY, constant(None)),
    Column("zone", Lifetime.ENTRY, constant(None)),
    Column("kind", Lifetime.ENTRY, constant(None)),
    Column("cell", Lifetime.ENTRY, constant(None)),
    Column("cores", Lifetime.ENTRY, constant(1)),  # according to its kind and weight
    Column("started_at", Lifetime.ENTRY, constant(0)),  # 0 if it started before the dispatcher
    Column("in_flight", Lifetime.IDENTITY, constant(0)),  # threads of this dispatcher's attempts
    Column("bulk_loads", Lifetime.IDENTITY, list),  # table groups of bulk loads in flight
    Column("slow_start_work", Lifetime.IDENTITY, deque),  # (time, work) of attempts sent during slow start
    Column("failure_rate", Lifetime.PROCESS, constant(0.0)),  # exponentially smoothed
    Column("rejected_at", Lifetime.PROCESS, constant(NEVER)),  # time of the last rejection
    Column("last_contact_at", Lifetime.PROCESS, constant(0)),  # time of the last answer or progress report
    Column("last_used_at", Lifetime.PROCESS, constant(NEVER)),  # when an attempt last started or ended
    Column("ejected_until", Lifetime.PROCESS, constant(0)),
    Column("ejection_time", Lifetime.PROCESS, constant(0)),  # duration of the next ejection
    Column("half_open", Lifetime.PROCESS, constant(False)),  # one attempt decides whether it is ejected again
    Column("refuses_connections", Lifetime.PROCESS, constant(False)),
    Column("concurrency_limit", Lifetime.PROCESS, constant(FOREVER)),  # maximum threads in flight
    Column("load_factor", Lifetime.PROCESS, constant(1.0)),  # latency divided by that of an unloaded engine
    Column("load_factor_at", Lifetime.PROCESS, constant(0)),
    Column("admission_draw", Lifetime.PROCESS, constant(1.0)),  # drawn once per collapse window
    Column("admission_draw_until", Lifetime.PROCESS, constant(-1)),
    Column("others_in_flight", Lifetime.PROCESS, constant(0)),  # threads of other dispatchers
    Column("others_reported_at", Lifetime.PROCESS, constant(NEVER)),
)


class EngineTable:
    """Holds each column as an attribute: a list indexed by engine."""

    __slots__ = tuple(column.name for column in COLUMNS)

    def __init__(self) -> None:
        for column in COLUMNS:
            setattr(self, column.name, [])

    def __len__(self) -> int:
        return len(self.wire_id)

    def ready(self) -> list[int]:
        """Returns the engines that are ready according to the endpoint list."""
        # The enumeration member is looked up once because the lookup costs as much as the comparison.
        ready = EngineState.READY
        return [engine for engine, state in enumerate(self.state) if state == ready]

    def identity(self, engine: int) -> EngineIdentity:
        """Returns the identity of the engine that has this index now."""
        return EngineIdentity(engine, self.wire_id[engine], self.zone[engine], self.cell[engine])

    def is_listed_as(self, identity: EngineIdentity) -> bool:
        """Returns whether the identity's index still belongs to the same engine."""
        return self.wire_id[identity.index] == identity.wire_id

    def grow(self, size: int) -> None:
        """Extends every column to at least `size` engines."""
        for column in COLUMNS:
            values = getattr(self, column.name)
            values.extend(column.initial() for _ in range(size - len(values)))

    def update(self, event: EngineUpdated, cores: float, now: int) -> EngineChange:
        """Applies an engine's entry in the endpoint list and returns what has changed."""
        engine = event.engine
        self.grow(engine + 1)
        change = EngineChange.ENTRY
        if self.wire_id[engine] != event.wire_id:
            change = EngineChange.IDENTITY
            self.reset(engine, Lifetime.IDENTITY)
        elif self.started_at[engine] != event.started:
            change = EngineChange.PROCESS
        if change != EngineChange.ENTRY:
            self.reset(engine, Lifetime.PROCESS)
            self.load_factor_at[engine] = now
            self.last_contact_at[engine] = now
        self.wire_id[engine] = event.wire_id
        self.state[engine] = event.state
        self.zone[engine] = event.zone
        self.kind[engine] = event.kind
        self.cell[engine] = event.cell
        self.started_at[engine] = event.started
        self.cores[engine] = cores
        return change

    def reset(self, engine: int, lifetime: Lifetime) -> None:
        """Resets an engine's values in all columns of one lifetime."""
        for column in COLUMNS:
            if column.lifetime is lifetime:
                getattr(self, column.name)[engine] = column.initial()
