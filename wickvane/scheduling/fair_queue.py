"""Queues by tenant, served by deficit round robin (Shreedhar and Varghese, 1995) in estimated cost.

A tenant is charged the estimated cost when an attempt starts; the charge is corrected to the true cost when
the attempt ends.
"""

from bisect import insort
from collections.abc import Callable
from operator import attrgetter

from wickvane.scheduling.estimates import WorkEstimates
from wickvane.scheduling.placement import NO_CAPACITY, NO_ENGINE
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

QUANTUM_COSTS = 2.0  # quantum of a tenant with weight 1, in mean costs of a query


class FairQueue:
    """Holds the queries that wait for their first attempt."""

    def __init__(self, shares: list[float], estimates: WorkEstimates) -> None:
        self.weights = [share * len(shares) / (sum(shares) or 1) or 1.0 for share in shares]
        self.deficits = [0.0] * len(shares)
        self.active: list[int] = []  # tenants with waiting queries, in the order of their visits
        self._estimates = estimates
        self._queues: list[list[Query]] = [[] for _ in shares]
        self._position = 0  # in `active`
        self._is_visiting = False  # whether the tenant there has received the quantum of this visit

    def __len__(self) -> int:
        return sum(map(len, self._queues))

    def add_tenants_up_to(self, tenant: int) -> None:
        """Adds tenants up to this index; tenants that the settings don't name have weight 1."""
        while tenant >= len(self._queues):
            self._queues.append([])
            self.deficits.append(0.0)
            self.weights.append(1.0)

    def add(self, query: Query) -> None:
        """Adds a query to its tenant's queue, sorted by priority weight per cost.

        When capacity is short, the queries with the lowest weight per cost wait.
        """
        if not self._queues[query.tenant]:
            self.deficits[query.tenant] = 0.0
            self.active.append(query.tenant)
        insort(self._queues[query.tenant], query, key=attrgetter("sort_key"))

    def remove(self, query: Query) -> None:
        """Removes a query from its tenant's queue, if it is there."""
        if query in self._queues[query.tenant]:
            self._queues[query.tenant].remove(query)
            self._deactivate_if_empty(query.tenant)

    def expired(self, now: int) -> list[Query]:
        """Returns the queries that have reached their maximum wait."""
        return [query for tenant in self.active for query in self._queues[tenant] if now >= query.queue_until]

    def quantum(self, tenant: int) -> float:
        """Returns the quantum that a visit adds to a tenant's deficit."""
        return (QUANTUM_COSTS * self._estimates.overall_mean_cost or TICKS_PER_SECOND) * self.weights[tenant]

    def release(self, find_engine: Callable[[Query], int], start: Callable[[Query, int], None]) -> None:
        """Starts attempts until no tenant's next query finds an engine with capacity.

        A visit adds one quantum and lasts while the deficit covers the next query and an engine has capacity
        for it. A visit that ends for lack of capacity continues in the next release, so that waiting doesn't
        increase a deficit.
        """
        blocked = 0
        # By tenant that was visited since an attempt last started: the cost of its next query.
        unaffordable_costs: dict[int, float] = {}
        while self.active and blocked < len(self.active):
            position = (self._position + blocked) % len(self.active)
            tenant = self.active[position]
            query, engine = self._next(tenant, find_engine)
            if query is None or engine == NO_CAPACITY:
                blocked += 1
                continue
            if blocked or not self._is_visiting:
                self._position = position
                blocked = 0
                self._is_visiting = True
                self.deficits[tenant] += self.quantum(tenant)
            if query.cost > self.deficits[tenant]:
                self._position = position + 1
                self._is_visiting = False
                if tenant in unaffordable_costs:
                    self._add_rounds(unaffordable_costs)
                    unaffordable_costs = {}
                unaffordable_costs[tenant] = query.cost
                continue
            unaffordable_costs = {}
            self.deficits[tenant] -= query.cost
            self._queues[tenant].remove(query)
            start(query, engine)
            self._deactivate_if_empty(tenant)

    def _next(self, tenant: int, find_engine: Callable[[Query], int]) -> tuple[Query | None, int]:
        for query in self._queues[tenant]:
            engine = find_engine(query)
            if engine != NO_ENGINE:
                return query, engine
        return None, NO_CAPACITY

    def _add_rounds(self, unaffordable_costs: dict[int, float]) -> None:
        """Adds at once the quanta of all rounds in which no query is released.

        A large negative deficit would otherwise take many rounds.
        """
        rounds = min(
            (cost - self.deficits[tenant]) // self.quantum(tenant)
            for tenant, cost in unaffordable_costs.items()
        )
        for tenant in unaffordable_costs:
            self.deficits[tenant] += max(0, rounds) * self.quantum(tenant)

    def _deactivate_if_empty(self, tenant: int) -> None:
        if self._queues[tenant]:
            return
        position = self.active.index(tenant)
        self._is_visiting = self._is_visiting and position != self._position
        self._position -= position < self._position
        del self.active[position]
