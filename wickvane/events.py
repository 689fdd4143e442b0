"""The border of the decision modules: typed events in, typed commands out.

A protocol adapter turns its own messages into events, calls ``Scheduler.round(now, events, writer)`` once for
all that have arrived, and carries out the commands that the scheduler gives the writer. Times are ticks (see
wickvane.units); work is the time of one thread, in ticks. Queries and engines go by small indices; the caller
may reuse one after the query has its final answer and every attempt has ended, or after the engine has left
the endpoint list and no attempt is in flight there.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

from wickvane.units import TICKS_PER_SECOND

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
    """The state of an engine in the endpoint list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Effect(IntEnum):
    """What running a query of a resource group twice would do."""

    READ_ONLY = 0  # nothing: idempotent
    IDEMPOTENCY_KEY = 1  # nothing at engines that know its idempotency key
    MUTATING = 2  # its effect twice: not idempotent


class KeyScope(IntEnum):
    """Which engines know an idempotency key that one of them has seen."""

    ANY_ENGINE = 0
    SAME_ZONE = 1
    SAME_CELL = 2


class Budget(IntEnum):
    """Limits of the whole fleet, quotas of which dispatchers lease to each other."""

    CONCURRENCY = 0  # threads in flight on engines
    SLOW_START = 1  # work sent to engines that warm up


class Progress(IntEnum):
    """What an engine reports of a running attempt."""

    FRACTION_DONE = 1
    SPILLS = 2
    WAITS = 3


class QueryArrived(NamedTuple):
    """A query was admitted: its client gets exactly one final answer."""

    query: int
    group: int
    tenant: int
    cost: int  # estimated work of all threads; 0: unknown
    memory: float  # in MB; 0: unknown
    table_group: int
    key: int | None
    time_left: int  # until the client times out
    is_retry: bool = False  # of a query that was rejected here lately, where this is tracked


class AttemptEnded(NamedTuple):
    """An attempt has ended; there is one such event for each attempt."""

    query: int
    attempt: int
    engine: int
    ending: Ending
    elapsed: int
    complete: bool  # the client has its whole answer
    work: int  # 0: not reported
    memory: float  # in MB; 0: not reported
    report: dict[str, float] | None  # the engine's load report


class ClientGone(NamedTuple):
    """The client has disconnected or cancelled; no answer is needed."""

    query: int


class TimerFired(NamedTuple):
    """A timer that was set by Writer.set_timer has expired."""

    token: int


class AttemptProgressed(NamedTuple):
    """A progress report of a running attempt."""

    query: int
    attempt: int
    engine: int
    what: Progress
    amount: float


class EngineUpdated(NamedTuple):
    """An engine is new in the endpoint list, or its entry has changed."""

    engine: int
    rank: bytes  # its id on the wire, the same at every dispatcher: the input of the shared hash order
    state: EngineState
    zone: int
    kind: int
    cell: int
    started: int  # when its process started; 0: before the dispatcher
    weight: float


class EndpointListLost(NamedTuple):
    """The endpoint list could not be read."""


class ShutdownStarted(NamedTuple):
    """The process may be killed in `time_left`, and with it every query without an answer."""

    time_left: int


class InFlightElsewhere(NamedTuple):
    """Threads in flight on an engine from all other dispatchers, as last heard, `age` ago in the mean."""

    engine: int
    threads: int
    age: int


class LeaseChanged(NamedTuple):
    """A new lease: `part` of the configured budget may be used until `until`, `then` of it afterwards."""

    budget: Budget
    part: float
    until: int
    then: float


class TenantsCharged(NamedTuple):
    """Work that other dispatchers gave each tenant since the last such event."""

    works: list[int]


class EngineJudged(NamedTuple):
    """What several other dispatchers agree on about an engine, `age` ago."""

    engine: int
    bad: bool  # attempts fail there
    slow: float  # its latency over the usual engine's; 0: unknown
    age: int


class ResourceGroup(NamedTuple):
    """The settings of one class of queries; times are ticks."""

    effect: int
    key_scope: int  # the engines that share idempotency keys
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
    """The settings of the whole deployment, for one dispatcher; times are ticks."""

    groups: list[ResourceGroup]
    tenants: list[tuple[float, float]]  # share, queries a second within it over all dispatchers
    cores: list[int]  # by kind
    memory: list[float]
    dispatcher_count: int
    zone: int
    cross_zone_cost: float  # the price of an attempt in another zone
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
    max_retry_after: int  # 0: clients get no Retry-After
    reports: list[str]
    idle_connection_timeout: int = 24 * TICKS_PER_SECOND  # of connections to engines
    uses_engine_weights: bool = False  # an engine's weight is the part of its capacity that may be used


class Writer(Protocol):
    """Takes the scheduler's decisions; queries and engines by their indices."""

    def start_attempt(self, query: int, engine: int, max_wait: int, start_by: int) -> None:
        """Sends an attempt to an engine.

        max_wait: ticks after which it is abandoned, 0 for the client's own timeout. It must not begin at
        the time start_by or later, whatever delays it.
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
        """Asks for a round at a time; TimerFired carries the token."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Subscribes to changes of the endpoint list, or ends the subscription."""

    def log_note(self, text: str) -> None:
        """A line for the log."""
