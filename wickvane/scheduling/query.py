"""The record of one query, from its arrival to its final answer."""

from dataclasses import dataclass

from wickvane.scheduling.engine_table import EngineIdentity


@dataclass(slots=True, eq=False)
class Query:
    """A query, written only by the decision modules; times are ticks."""

    index: int  # assigned by the caller
    resource_group: int
    tenant: int
    table_group: int
    key: int | None  # queries with the same key run one at a time, in order; None if the group is not ordered
    cost: float  # estimated work, summed over all threads
    estimated_memory: float  # in MB; 0 if there is no estimate
    arrived_at: int  # the order of arrival counts among queries with the same key
    is_blocked: bool  # whether an earlier query of its client session has no answer yet
    deadline: int = 0  # when it must have its final answer at the latest
    objective_at: int = 0  # the latency objective: when it should have its answer
    queue_until: int = 0  # until when it may wait in the queue
    sort_key: float = 0.0  # negative priority weight per cost, by which a tenant's queue is sorted
    answered: bool = False  # whether it has its final answer
    in_flight: bool = False
    attempts: int = 0
    engine: int = -1  # of the last attempt; another engine may have this index once the attempt has ended
    sent_to: EngineIdentity | None = (
        None  # the engine of the last attempt, as it was when the attempt started
    )
    sent_at: int = 0  # when the last attempt started
    fraction_done: float = 0.0  # reported progress of the running attempt; 0 if none was reported
    overdue_counted: bool = False  # whether the running attempt already counts in the median latency
    ran_at: int | None = None  # when the first attempt that may have run started; None if none ran
    ran_on: EngineIdentity | None = None  # the engine of that attempt
    failed_on: EngineIdentity | None = None  # the first engine that answered with an error
    failed_twice: bool = False  # whether a second engine answered with an error too
    replanned: bool = False  # whether an attempt was cancelled because it was slow
    priority: int = -1  # as last sent to the engine
