"""What crosses the border of wickvane.scheduler: event codes, endings, and the writer it is handed.

Any protocol can stand on the other side. It turns its own messages into plain event tuples
(code, fields ...), calls ``Scheduler.round(now, events, out)`` once for all that came in, and carries
out what is written into ``out``. Times are whole tenths of a millisecond, queries and engines are
small indices that the caller may use again once a query has ended with every submission's ending
told, or an engine is gone with none of its submissions open.

Event tuples, with the fields that follow the code:

TAKEN     q, rg, tenant, cost, memory, coord, key, left, again
          again: it is known to repeat what was lately deferred here; left out where nobody looks
          cost: estimated work of all threads (0: none told); memory in MB (0: none told);
          coord: its table group; key: a number, or None; left: time until the client gives up
ENDED     q, submission, engine, ending, elapsed, complete, work, memory, report
          work and memory 0 where not told; report: {name: figure} or None
LEFT      q: the client has gone, nothing is owed
DUE       token
PROGRESS  q, submission, engine, what, amount
ENGINE    engine, rank, state, zone, kind, cell, started, weight
          rank: the wire id's own bytes, the same at every gateway, for the shared hash order
LIST_LOST the list of engines could not be had
OTHERS    engine, threads, age: what all other gateways together hold of it, as was last heard, and how long
          ago that was in the mean; never told where gateways do not tell each other
PART      what, part, until, then: of BOUNDS on engines or of what COLD ones get in a window, this gateway may
          use `part` times its configured part until the time `until`, and `then` times it from there on
CHARGED   works: by tenant, the work that other gateways gave it since the last such event
JUDGED    engine, bad, slow, age: what several others found of it lately; bad: it fails them; slow: by how
          much more than the usual engine (0: not told)
STOPPING  left: time until the process that holds this gateway may be ended, with all that it has not answered
"""

from typing import NamedTuple, Protocol

TAKEN, ENDED, LEFT, DUE, PROGRESS, ENGINE, LIST_LOST, STOPPING, OTHERS, PART, CHARGED, JUDGED = range(12)

# How a submission ended. From TURNED_AWAY on it is proven that nothing ran.
FINISHED, ERROR, NO_ANSWER, RESET, CANCELLED, TURNED_AWAY, NO_CONNECTION, NOT_SENT = range(8)

READY, DRAINING, GONE = range(3)
READ_ONLY, TOKENED, MUTATING = range(3)
ANY_ENGINE, SAME_ZONE, SAME_CELL = range(3)
BOUNDS, COLD = range(2)
FOREVER = 1 << 62  # a time that never comes
SHARE_DONE, SPILLS, WAITS = 1, 2, 3


class ResourceGroup(NamedTuple):
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
    # wait 0: until the client gives up. It must not begin at start_by or later, whatever holds it up.
    def submit(self, q: int, engine: int, wait: int, start_by: int) -> None: ...

    def defer(self, q: int, stay_away: int) -> None: ...

    def kill(self, q: int) -> None: ...

    def cancel(self, q: int, submission: int) -> None: ...

    def terms(self, q: int, priority: int, grant: float) -> None: ...

    def alarm(self, token: int, at: int) -> None: ...

    def watch_list(self, on: bool) -> None: ...

    def note(self, text: str) -> None: ...
