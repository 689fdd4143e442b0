"""What crosses the border of wickvane.scheduling: typed events, endings, and the writer it is handed.

Any protocol can stand on the other side. It turns its own messages into events, calls
``Scheduler.round(now, events, out)`` once for all that came in, and carries out what is written into ``out``.
Times are whole tenths of a millisecond, queries and engines are small indices that the caller may use again
once a query has ended with every attempt's ending told, or an engine is gone with none of its attempts open.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

FOREVER = 1 << 62  # a time that never comes


class Ending(IntEnum):
    """How an attempt ended. From REJECTED on it is proven that nothing ran."""

    FINISHED = 0
    ERROR = 1
    NO_ANSWER = 2
    RESET = 3
    CANCELLED = 4
    REJECTED = 5
    NO_CONNECTION = 6
    NOT_SENT = 7


class EngineState(IntEnum):
    """What the engine list says of an engine."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Effect(IntEnum):
    """What running a query of a resource group twice would do."""

    READ_ONLY = 0  # nothing: it is safe to repeat
    IDEMPOTENCY_KEY = 1  # nothing where its idempotency key is known
    MUTATING = 2  # its effect, twice


class KeyScope(IntEnum):
    """Which engines know an idempotency key that another has seen."""

    ANY_ENGINE = 0
    SAME_ZONE = 1
    SAME_CELL = 2


class Budget(IntEnum):
    """What may be leased between dispatchers."""

    CONCURRENCY = 0  # threads in flight on engines
    SLOW_START = 1  # work that engines get while they warm up


class Progress(IntEnum):
    """What a running attempt tells of itself."""

    FRACTION_DONE = 1
    SPILLS = 2
    WAITS = 3


class QueryArrived(NamedTuple):
    """A query that a client is promised an answer to."""

    query: int
    group: int
    tenant: int
    cost: int  # estimated work of all threads; 0: none told
    memory: float  # in MB; 0: none told
    table_group: int
    key: int | None
    time_left: int  # until the client gives up
    is_retry: bool = False  # of what was lately deferred here, as far as anybody looks


class AttemptEnded(NamedTuple):
    """The one ending of an attempt."""

    query: int
    attempt: int
    engine: int
    ending: Ending
    elapsed: int
    complete: bool  # the client has its whole answer
    work: int  # 0: not told
    memory: float  # 0: not told
    report: dict[str, float] | None  # the engine's load


class ClientGone(NamedTuple):
    """The client has gone; nothing is owed."""

    query: int


class TimerFired(NamedTuple):
    """An alarm that was set by the writer."""

    token: int


class AttemptProgressed(NamedTuple):
    """A note of a running attempt."""

    query: int
    attempt: int
    engine: int
    what: Progress
    amount: float


class EngineUpdated(NamedTuple):
    """An engine is new, or its entry in the list has changed."""

    engine: int
    rank: bytes  # the wire id, the same at every dispatcher, for the shared hash order
    state: EngineState
    zone: int
    kind: int
    cell: int
    started: int  # 0: it was there from the beginning
    weight: float


class EndpointListLost(NamedTuple):
    """The list of engines could not be had."""


class ShutdownStarted(NamedTuple):
    """This process may be ended in `time_left`, with all that it has not answered."""

    time_left: int


class InFlightElsewhere(NamedTuple):
    """Threads that all other dispatchers hold on an engine, as was last heard, `age` ago in the mean."""

    engine: int
    threads: int
    age: int


class LeaseChanged(NamedTuple):
    """Of a budget, `part` times what is configured may be used until `until`, `then` times from there on."""

    budget: Budget
    part: float
    until: int
    then: float


class TenantsCharged(NamedTuple):
    """By tenant, the work that other dispatchers gave it since the last such event."""

    works: list[int]


class EngineJudged(NamedTuple):
    """What several other dispatchers found of an engine, `age` ago."""

    engine: int
    bad: bool  # it fails their attempts
    slow: float  # by how much more than the usual engine; 0: not told
    age: int


class ResourceGroup(NamedTuple):
    """What the settings say of one class of queries; times are tenths of a millisecond."""

    effect: int
    key_scope: int  # the engines that know a tokened query again
    idempotency_window: int
    latency_objective: int
    objective_stretch: float
    timeout: int
    priority_weight: float
    late_priority_weight: float
    ordered: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    threads: int
    is_bulk_load: bool
    yields_to_bulk_loads: bool


class Deployment(NamedTuple):
    """What the settings say of the whole, for one dispatcher."""

    groups: list[ResourceGroup]
    tenants: list[tuple[float, float]]  # share, queries a second within it over all gateways
    cores: list[int]  # by kind
    memory: list[float]
    dispatcher_count: int
    zone: int
    cross_zone_cost: float  # the price of a submission to another location
    max_attempts: int
    can_cancel: bool
    memory_grants: bool
    priorities: bool
    max_memory_grant: float
    progress_interval: int
    subscribes_to_endpoints: bool
    poll_deadline: int
    key_quarantine: int
    retry_budget_minimum: float
    retry_budget_ratio: float
    retry_budget_window: int  # 0: no budget
    slow_start_fraction: float
    slow_start_duration: int
    collapse_multiple: float
    collapse_window: int
    max_retry_after: int  # how long a client may be asked to stay away; 0: it is not told, and stay_away is 0
    reports: list[str]
    idle_connection_timeout: int = (
        240_000  # how long a connection to an engine is kept that nothing is asked on
    )
    uses_engine_weights: bool = False  # an engine's weight tells the part of it that may be used, 1 being all


class Writer(Protocol):
    """Takes the scheduler's decisions; queries and engines by their indices."""

    def start_attempt(self, query: int, engine: int, max_wait: int, start_by: int) -> None:
        """An attempt on an engine.

        max_wait: ticks until it is given up, 0 for until the client gives up. It must not begin at the
        time start_by or later, whatever holds it up.
        """

    def reject(self, query: int, retry_after: int) -> None:
        """A final answer: rejected, a retry is harmless; the client is told to wait for retry_after ticks."""

    def fail(self, query: int) -> None:
        """A final answer: failed."""

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """Cancels an attempt; its ending is still reported."""

    def set_terms(self, query: int, priority: int, memory_grant: float) -> None:
        """A query's priority and its memory grant in MB (0: none), also for an attempt in flight."""

    def set_timer(self, token: int, at: int) -> None:
        """A round is wanted at a time; TimerFired brings the token back."""

    def watch_endpoints(self, on: bool) -> None:
        """Whether changes of the endpoint list are wanted, where they have to be subscribed to."""

    def log_note(self, text: str) -> None:
        """A line for the log."""
