"""Placement: the engine for a query, by the shared hash order of its table group and the load there."""

from hashlib import blake2b
from random import Random

from wickvane.events import FOREVER, Deployment, Effect, Ending, KeyScope
from wickvane.scheduling.concurrency import MIN_LOAD_FACTOR_FADE_TICKS, ConcurrencyLimits, LoadTracker
from wickvane.scheduling.estimates import WorkEstimates
from wickvane.scheduling.fleet_hook import FleetHook
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.query import Query
from wickvane.scheduling.slow_start import SlowStart

NO_ENGINE = -1  # none may run the query at all
NO_CAPACITY = -2  # none has capacity now
FIRST_ENGINES = 3  # of the hash order, among which the least loaded gets the query
FIRST_OF_MANY = 8  # the same where an engine's limit is less than a query
CONNECTING_LOAD = 1.0  # threads a core that a new connection counts for, where the limit is less than one
CROSS_ZONE_LOAD = 0.5  # threads a core that an engine elsewhere must have less, where crossing is priced
CACHED_ORDERS_MOST = 4096


def hash_place(rank: bytes, table_group: int) -> bytes:
    """An engine's place in a table group's order (rendezvous hashing), the same at every dispatcher."""
    return blake2b(rank + b"/" + str(table_group).encode(), digest_size=8).digest()


class Placement:
    """Chooses engines."""

    def __init__(
        self,
        deployment: Deployment,
        chance: Random,
        estimates: WorkEstimates,
        slow_start: SlowStart,
        load: LoadTracker,
        limits: ConcurrencyLimits,
        ejection: OutlierEjection,
    ) -> None:
        self.fleet: FleetHook | None = None
        self.deployment = deployment
        self.groups = deployment.groups
        self.engines = load.engines
        self._chance = chance
        self._estimates = estimates
        self._slow_start = slow_start
        self._load = load
        self._limits = limits
        self._ejection = ejection
        self._home_zone = deployment.zone if deployment.cross_zone_cost else None
        self._others_share = 1 - 1 / deployment.dispatcher_count
        self.orders: dict[int, list[int]] = {}  # by table group
        self._full_groups: set[int] = set()  # resource groups without capacity in this round

    def start_round(self) -> None:
        """Capacity is looked for anew."""
        self._full_groups.clear()

    def engines_changed(self) -> None:
        """Engines joined, or took over the index of others."""
        self.orders.clear()

    def order_of(self, table_group: int) -> list[int]:
        """All engines in a table group's order."""
        order = self.orders.get(table_group)
        if order is None:
            # Statements may name ever new table groups.
            if len(self.orders) >= CACHED_ORDERS_MOST:
                self.orders.clear()
            places = [hash_place(wire_id, table_group) for wire_id in self.engines.wire_id]
            order = self.orders[table_group] = sorted(range(len(places)), key=places.__getitem__)
        return order

    def choose(self, query: Query, now: int) -> int:
        """The engine for a query, or NO_ENGINE, or NO_CAPACITY."""
        usable = self._ejection.usable(query.resource_group, now)
        if query.resource_group in self._full_groups:
            return NO_CAPACITY
        if self._limits.pool_exhausted(self.groups[query.resource_group].threads, now):
            return NO_CAPACITY if usable else NO_ENGINE
        found, looked_at = self._candidates(query, usable, now)
        if found:
            return self._least_loaded(query, found, now)
        if not looked_at:
            return NO_ENGINE
        # To look over all engines again for each query that waits costs more than it finds.
        self._full_groups.add(query.resource_group)
        return NO_CAPACITY

    def _candidates(self, query: Query, usable: frozenset[int], now: int) -> tuple[list[int], int]:
        """The first engines of the order with capacity, and how many engines were looked at."""
        found: list[int] = []
        looked_at = 0
        excluded = query.engine if query.attempts and len(usable) > 1 else NO_ENGINE
        is_bound = self._is_bound_to_key_scope(query)
        for engine in self.order_of(query.table_group):
            if engine not in usable or engine == excluded:
                continue
            if is_bound and not self._knows_key(query, engine):
                continue
            looked_at += 1
            if looked_at > FIRST_ENGINES and (looked_at > FIRST_OF_MANY or self._limit(engine, now) >= 1):
                if not all(self._bulk_loads_there(query, one) for one in found):
                    break
            if self._has_capacity(query, engine, now):
                found.append(engine)
        return found, looked_at

    def _limit(self, engine: int, now: int) -> float:
        return self._limits.limit(engine, self._slow_start.capacity_fraction(engine, now))

    def _is_bound_to_key_scope(self, query: Query) -> bool:
        """Whether only engines that know the idempotency key of an earlier attempt may run a retry."""
        group = self.groups[query.resource_group]
        has_key = group.effect == Effect.IDEMPOTENCY_KEY and group.key_scope != KeyScope.ANY_ENGINE
        return has_key and query.ran_at is not None

    def _knows_key(self, query: Query, engine: int) -> bool:
        same_zone = self.groups[query.resource_group].key_scope == KeyScope.SAME_ZONE
        scope = self.engines.zone if same_zone else self.engines.cell
        return scope[engine] == scope[query.ran_on]

    def _has_capacity(self, query: Query, engine: int, now: int) -> bool:
        fraction = self._slow_start.capacity_fraction(engine, now)
        if fraction < 1.0:
            work = max(self._estimates.mean_cost[query.resource_group], 1.0)
            if not self._slow_start.admits(engine, work, fraction, now):
                return False
        return self._limits.admits(engine, self.groups[query.resource_group].threads, fraction, now)

    def _least_loaded(self, query: Query, found: list[int], now: int) -> int:
        # With many dispatchers most engines hold none of mine, and ties that all break alike overload the
        # first, unless it was heard from lately: its warm tables are worth staying for then.
        small = self._limit(found[0], now) < self.groups[query.resource_group].threads
        is_blind = small and now - self.engines.load_factor_at[found[0]] > MIN_LOAD_FACTOR_FADE_TICKS // 3

        def sort_key(engine: int) -> tuple[int, float, float]:
            draw = self._chance.random() if is_blind else 0
            return self._bulk_loads_there(query, engine), self._load_of(engine, now), draw

        return min(found, key=sort_key)

    def _bulk_loads_there(self, query: Query, engine: int) -> int:
        # Bulk loads of one table group run one after another on an engine, their keys behind them.
        if not self.groups[query.resource_group].is_bulk_load:
            return 0
        return self.engines.bulk_loads[engine].count(query.table_group)

    def _load_of(self, engine: int, now: int) -> float:
        """Threads a core, those of others by the load factor, with the price of a new connection or zone."""
        table = self.engines
        fraction = self._slow_start.capacity_fraction(engine, now)
        cores = table.cores[engine] * fraction
        elsewhere = max(0.0, self._load.current(engine, now) - 1.0) * self._others_share
        if self.fleet is not None:
            elsewhere = self.fleet.load_elsewhere(engine, elsewhere, cores, now)
        is_far = self._home_zone is not None and table.zone[engine] != self._home_zone
        far = CROSS_ZONE_LOAD if is_far else 0.0
        # Dispatchers that each use every engine would pay a connection for every second query.
        is_new = now - table.last_used_at[engine] > self.deployment.idle_connection_timeout
        connecting = CONNECTING_LOAD if is_new and self._limits.limit(engine, fraction) < 1 else 0.0
        return table.in_flight[engine] / cores + elsewhere + far + connecting

    def attempt_started(self, query: Query, now: int) -> None:
        """An attempt is on its way to the query's engine."""
        engine = query.engine
        group = self.groups[query.resource_group]
        self.engines.last_used_at[engine] = now
        self._limits.add_in_flight(engine, group.threads)
        if group.is_bulk_load:
            self.engines.bulk_loads[engine].append(query.table_group)
        if self._slow_start.capacity_fraction(engine, now) < 1.0:
            work = max(self._estimates.mean_cost[query.resource_group], 1.0)
            self._slow_start.record(engine, work, now)

    def attempt_ended(self, query: Query, engine: int, ending: Ending, now: int) -> None:
        """An attempt has ended."""
        group = self.groups[query.resource_group]
        self._limits.add_in_flight(engine, -group.threads)
        if group.is_bulk_load:
            self.engines.bulk_loads[engine].remove(query.table_group)
        is_connected = ending not in (Ending.NO_CONNECTION, Ending.RESET)
        self.engines.last_used_at[engine] = now if is_connected else -FOREVER
