"""Passes a decider's data for the other dispatchers from the decider's thread to the cluster's thread."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from threading import Lock
from typing import NamedTuple

from wickvane.quotas.lease_broker import BudgetUse
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

# Time without a query after which a dispatcher is idle: the load of others then affects no decision.
IDLE_AFTER = TICKS_PER_SECOND
USE_TTL = TICKS_PER_SECOND  # age at which recorded budget uses expire and count as NO_USE
MAX_OUTCOMES = 1024  # buffered for the next snapshot
NO_USE = (BudgetUse(0.0, False),) * 2


class AttemptOutcome(NamedTuple):
    """The outcome of one attempt.

    failed: 0 or 1; slowdown: elapsed time divided by the expected time, None if that is unknown.
    """

    engine: str
    failed: int
    slowdown: float | None


@dataclass(slots=True)
class DispatcherSnapshot:
    """A decider's data for the other dispatchers.

    threads_by_engine: threads in flight; increments: of counters, since the last snapshot; work_by_tenant:
    finished work; requested_work: work of accepted queries; both are totals in milliseconds; budget_uses: by
    budget; outcomes: of attempts, since the last snapshot; ready_engines: those to which queries may be sent;
    acknowledged_update: number of the quota update that decisions use.
    """

    threads_by_engine: dict[str, int] = field(default_factory=dict)
    increments: Sequence[tuple[str, int]] = ()
    work_by_tenant: dict[str, int] = field(default_factory=dict)
    requested_work: int = 0
    budget_uses: Sequence[BudgetUse] = NO_USE
    outcomes: Sequence[AttemptOutcome] = ()
    ready_engines: Sequence[str] = ()
    acknowledged_update: int = 0


class SnapshotBuffer:
    """Collects data in the decider's thread, from which the cluster's thread takes snapshots."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._increments: dict[str, int] = {}
        self._work_by_tenant: dict[str, int] = {}  # in ticks
        self._outcomes: list[AttemptOutcome] = []
        self._requested_work = 0
        self._budget_uses: Sequence[BudgetUse] = NO_USE
        self._uses_updated_at = -USE_TTL
        self._last_query_at = -IDLE_AFTER
        self.threads_by_engine: dict[str, int] = {}
        self.ready_engines: Sequence[str] = ()
        self.acknowledged_update = 0

    def increment(self, key: str) -> None:
        """Adds one to a counter."""
        with self._lock:
            self._increments[key] = self._increments.get(key, 0) + 1

    def add_request(self, now: int, work: int) -> None:
        """Adds the work of an accepted query, in ticks."""
        self._last_query_at = now
        self._requested_work += work

    def add_work(self, tenant: str, work: int) -> None:
        """Adds the work of a tenant's finished query, in ticks."""
        with self._lock:
            self._work_by_tenant[tenant] = self._work_by_tenant.get(tenant, 0) + work

    def add_outcome(self, outcome: AttemptOutcome) -> None:
        """Adds the outcome of an attempt; drops it if MAX_OUTCOMES are buffered."""
        with self._lock:
            if outcome.engine and len(self._outcomes) < MAX_OUTCOMES:
                self._outcomes.append(outcome)

    def set_budget_uses(self, now: int, uses: Sequence[BudgetUse]) -> None:
        """Sets the use of each budget."""
        self._budget_uses = uses
        self._uses_updated_at = now

    def is_idle(self, now: int) -> bool:
        """Returns whether no query was accepted for IDLE_AFTER."""
        return now - self._last_query_at >= IDLE_AFTER

    def take(self, now: int) -> DispatcherSnapshot:
        """Returns the data collected since the last call; now: by the decider's clock."""
        with self._lock:
            increments = self._increments
            self._increments = {}
            outcomes = self._outcomes
            self._outcomes = []
            uses_are_recent = now - self._uses_updated_at < USE_TTL
            return DispatcherSnapshot(
                threads_by_engine=self.threads_by_engine,
                increments=list(increments.items()),
                work_by_tenant={
                    tenant: int(work) // TICKS_PER_MILLISECOND
                    for tenant, work in self._work_by_tenant.items()
                },
                requested_work=self._requested_work // TICKS_PER_MILLISECOND,
                budget_uses=self._budget_uses if uses_are_recent else NO_USE,
                outcomes=outcomes,
                ready_engines=self.ready_engines,
                acknowledged_update=self.acknowledged_update,
            )
