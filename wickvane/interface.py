"""What crosses the border of wickvane.scheduler: typed events, endings, and the writer it is handed.

Any protocol can stand on the other side. It turns its own messages into events, calls
``Scheduler.round(now, events, out)`` once for all that came in, and carries out what is written into ``out``.
Times are whole tenths of a millisecond, queries and engines are small indices that the caller may use again
once a query has ended with every attempt's ending told, or an engine is gone with none of its attempts open.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

FOREVER = 1 << 62  # a time that never comes


class Ending(IntEnum):
    """How an attempt ended. From TURNED_AWAY on it is proven that nothing ran."""

    FINISHED = 0
    ERROR = 1
    NO_ANSWER = 2
    RESET = 3
    CANCELLED = 4
    TURNED_AWAY = 5
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
    TOKENED = 1  # nothing where its idempotency key is known
    MUTATING = 2  # its effect, twice


class KeyScope(IntEnum):
    """Which engines know an idempotency key that another has seen."""

    ANY_ENGINE = 0
    SAME_ZONE = 1
    SAME_CELL = 2


class Budget(IntEnum):
    """What may be leased between dispatchers."""

    BOUNDS = 0  # threads in flight on engines
    COLD = 1  # work that engines get while they warm up


class Progress(IntEnum):
    """What a running attempt tells of itself."""

    SHARE_DONE = 1
    SPILLS = 2
    WAITS = 3


FINISHED, ERROR, NO_ANSWER, RESET, CANCELLED, TURNED_AWAY, NO_CONNECTION, NOT_SENT = Ending
READY, DRAINING, GONE = EngineState
READ_ONLY, TOKENED, MUTATING = Effect
ANY_ENGINE, SAME_ZONE, SAME_CELL = KeyScope
BOUNDS, COLD = Budget
SHARE_DONE, SPILLS, WAITS = Progress


class Taken(NamedTuple):
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


class Ended(NamedTuple):
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


class Left(NamedTuple):
    """The client has gone; nothing is owed."""

    query: int


class Due(NamedTuple):
    """An alarm that was set by the writer."""

    token: int


class Progressed(NamedTuple):
    """A note of a running attempt."""

    query: int
    attempt: int
    engine: int
    what: Progress
    amount: float


class EngineListed(NamedTuple):
    """An engine is new, or its entry in the list has changed."""

    engine: int
    rank: bytes  # the wire id, the same at every dispatcher, for the shared hash order
    state: EngineState
    zone: int
    kind: int
    cell: int
    started: int  # 0: it was there from the beginning
    weight: float


class ListLost(NamedTuple):
    """The list of engines could not be had."""


class Stopping(NamedTuple):
    """This process may be ended in `time_left`, with all that it has not answered."""

    time_left: int


class InFlightElsewhere(NamedTuple):
    """Threads that all other dispatchers hold on an engine, as was last heard, `age` ago in the mean."""

    engine: int
    threads: int
    age: int


class Leased(NamedTuple):
    """Of a budget, `part` times what is configured may be used until `until`, `then` times from there on."""

    budget: Budget
    part: float
    until: int
    then: float


class Charged(NamedTuple):
    """By tenant, the work that other dispatchers gave it since the last such event."""

    works: list[int]


class Judged(NamedTuple):
    """What several other dispatchers found of an engine, `age` ago."""

    engine: int
    bad: bool  # it fails their attempts
    slow: float  # by how much more than the usual engine; 0: not told
    age: int


class ResourceGroup(NamedTuple):
    """What the settings say of one class of queries; times are tenths of a millisecond."""

    effect: int
    drops_repeats: int  # the engines that know a tokened query again
    repeat_window: int
    promise: int
    stretch: float
    timeout: int
    value: float
    late_value: float
    ordered: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    threads: int
    loads: bool
    stands_behind_loads: bool


class Deployment(NamedTuple):
    """What the settings say of the whole, for one dispatcher."""

    groups: list[ResourceGroup]
    tenants: list[tuple[float, float]]  # share, queries a second within it over all gateways
    cores: list[int]  # by kind
    memory: list[float]
    gateways: int
    zone: int
    crossing: float  # the price of a submission to another location
    most_submissions: int
    may_cancel: bool
    grants: bool
    priorities: bool
    most_grant: float
    note_period: int
    asks_for_list: bool
    ask_within: int
    key_rest: int
    extra_free: float
    extra_share: float
    extra_window: int  # 0: no budget
    cold_from: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    longest_advice: int  # how long a client may be asked to stay away; 0: it is not told, and stay_away is 0
    reports: list[str]
    kept_open: int = 240_000  # how long a connection to an engine is kept that nothing is asked on
    weighs: bool = False  # an engine's weight tells the part of it that may be used, 1 being all


class Writer(Protocol):
    """Takes the scheduler's decisions; queries and engines by their indices."""

    def submit(self, q: int, engine: int, wait: int, start_by: int) -> None:
        """An attempt. wait: how long at most, 0 for until the client gives up. It must not begin at start_by
        or later, whatever holds it up."""

    def defer(self, q: int, stay_away: int) -> None:
        """A final answer: refused, trying again is harmless; stay_away: how long the client is told to."""

    def kill(self, q: int) -> None:
        """A final answer: failed."""

    def cancel(self, q: int, attempt: int) -> None:
        """An attempt is given up; its ending is still told."""

    def terms(self, q: int, priority: int, grant: float) -> None:
        """A query's priority, and its memory grant in MB (0: none), also for an attempt that is out."""

    def alarm(self, token: int, at: int) -> None:
        """A round is wanted at a time; Due brings the token back."""

    def watch_list(self, on: bool) -> None:
        """Whether changes of the engine list are wanted, where they have to be asked for."""

    def note(self, text: str) -> None:
        """A line for whoever reads logs."""
