"""The interface of the decision modules: typed events in, typed commands out.

A protocol adapter turns its own messages into events, calls ``Scheduler.round(now, events, writer)`` once for
all events that have arrived, and carries out the commands that the scheduler gives the writer. Times are in
ticks (see wickvane.units); work is the time of one thread, in ticks. Queries and engines are identified by
small indices. The caller may reuse a query's index once the query has its final answer and all its attempts
have ended, and an engine's index once the engine has left the endpoint list and has no attempt in flight.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

from wickvane.units import TICKS_PER_SECOND

FOREVER = 1 << 62  # a time that is never reached


class Ending(IntEnum):
    """How an attempt ended. With REJECTED and all later values it is certain that nothing ran."""

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
    """What happens if a query of a resource group runs twice."""

    READ_ONLY = 0  # no effect: the query is idempotent
    IDEMPOTENCY_KEY = 1  # no second effect on engines that know its idempotency key
    MUTATING = 2  # its effect happens twice: the query is not idempotent


class KeyScope(IntEnum):
    """Which engines know an idempotency key that one of them has seen."""

    ANY_ENGINE = 0
    SAME_ZONE = 1
    SAME_CELL = 2


class Budget(IntEnum):
    """Limits of the whole fleet, of which dispatchers lease quotas to each other."""

    CONCURRENCY = 0  # threads in flight on engines
    SLOW_START = 1  # work sent to engines in slow start


class Progress(IntEnum):
    """What an engine reports about a running attempt."""

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
    time_left: int  # until the client's timeout
    is_retry: bool = False  # of a query that this dispatcher rejected lately; False if that is not tracked
    arrived_at: int | None = None  # when its last octet arrived; None: queries arrive in the order of events
    is_blocked: bool = False  # it must not start before the QueryUnblocked event


class QueryUnblocked(NamedTuple):
    """All earlier queries of the query's client session are answered."""

    query: int


class InputRead(NamedTuple):
    """Events have been given for all input that arrived until this time, whichever thread reads it.

    If such events are given at all, decisions that depend on earlier input wait for them.
    """

    until: int
    took: int  # ticks from then until it was read


class AttemptEnded(NamedTuple):
    """An attempt has ended; there is one such event for each attempt."""

    query: int
    attempt: int
    engine: int
    ending: Ending
    elapsed: int
    complete: bool  # the client has its complete answer
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
    metric: Progress
    amount: float


class EngineUpdated(NamedTuple):
    """An engine was added to the endpoint list, or its entry has changed."""

    engine: int
    wire_id: bytes  # the same at every dispatcher: the key of the shared hash order
    state: EngineState
    zone: int
    kind: int
    cell: int
    started: int  # when its process started; 0: before the dispatcher started
    weight: float


class EndpointListLost(NamedTuple):
    """The endpoint list could not be read."""


class ShutdownStarted(NamedTuple):
    """The process may be killed after `time_left`, with all queries that have no answer by then."""

    time_left: int


class InFlightElsewhere(NamedTuple):
    """Threads in flight on an engine from all other dispatchers, by reports that are `age` old on average."""

    engine: int
    threads: int
    age: int


class LeaseChanged(NamedTuple):
    """A new lease on a fraction of a budget; `fraction_after` may be used once it has expired."""

    budget: Budget
    fraction: float
    expires_at: int
    fraction_after: float


class TenantsCharged(NamedTuple):
    """Work that other dispatchers did for each tenant since the last such event."""

    work_by_tenant: list[int]


class EngineJudged(NamedTuple):
    """What several other dispatchers agreed on about an engine `age` ago."""

    engine: int
    is_faulty: bool  # attempts fail there
    slowdown: float  # its latency divided by that of a typical engine; 0: unknown
    age: int


class ResourceGroup(NamedTuple):
    """The settings of one resource group; times are ticks."""

    effect: int
    key_scope: int  # which engines share idempotency keys
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
    tenants: list[tuple[float, float]]  # share, and the queries per second within it over all dispatchers
    cores: list[int]  # by kind
    memory: list[float]
    dispatcher_count: int
    zone: int
    cross_zone_cost: float  # of an attempt in another zone
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
    max_retry_after: int  # 0: clients get no retry-after time
    reports: list[str]
    idle_connection_timeout: int = 24 * TICKS_PER_SECOND  # of connections to engines
    uses_engine_weights: bool = False  # an engine's weight is the fraction of its capacity that may be used


class Writer(Protocol):
    """Carries out the scheduler's decisions; queries and engines are given by their indices."""

    def start_attempt(self, query: int, engine: int, max_wait: int, start_by: int) -> None:
        """Sends an attempt to an engine.

        max_wait: ticks after which it is abandoned; 0: the client's own timeout. start_by: the attempt must
        not start at this time or later, whatever delays it.
        """

    def reject(self, query: int, retry_after: int) -> None:
        """A final answer: the query is rejected and a retry is harmless, after retry_after ticks."""

    def fail(self, query: int) -> None:
        """A final answer: the query has failed."""

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """Cancels an attempt; its ending is still reported."""

    def set_terms(self, query: int, priority: int, memory_grant: float) -> None:
        """Sets a query's priority and its memory grant in MB (0: none), also for an attempt in flight."""

    def set_timer(self, token: int, at: int) -> None:
        """Requests a round at the time `at`, with a TimerFired event that has the token."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Subscribes to changes of the endpoint list, or ends the subscription."""

    def log_note(self, text: str) -> None:
        """Writes a line to the log."""
