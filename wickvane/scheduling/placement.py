"""Chooses the engine for a query by the rendezvous hash order of its table group and by the engines' load."""

from random import Random

from wickvane.digest import blake2b
from wickvane.events import FOREVER, Deployment, Effect, Ending, KeyScope
from wickvane.scheduling.concurrency import MIN_LOAD_FACTOR_FADE_TICKS, ConcurrencyLimits, LoadTracker
from wickvane.scheduling.estimates import WorkEstimates
from wickvane.scheduling.fleet_hook import FleetHook
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.query import Query
from wickvane.scheduling.slow_start import SlowStart

NO_ENGINE = -1  # no engine may run the query
NO_CAPACITY = -2  # no engine has capacity now
FIRST_ENGINES = 3  # how many engines of the hash order are considered; the least loaded gets the query
FIRST_ENGINES_SMALL_LIMIT = 8  # the same if an engine's limit is less than one thread
NEW_CONNECTION_LOAD = 1.0  # threads per core that a new connection counts for if the limit is less than one
CROSS_ZONE_LOAD = 0.5  # threads per core that another zone counts for if cross-zone traffic has a cost
MAX_CACHED_ORDERS = 4096


def hash_place(wire_id: bytes, table_group: int) -> bytes:
    """Returns the sort key of an engine in a table group's rendezvous hash order.

    It is the same at every dispatcher.
    """
    return blake2b(wire_id + b"/" + str(table_group).encode(), digest_size=8).digest()


class Placement:
    """Chooses engines for attempts and records attempts in flight."""

    def __init__(
        self,
        deployment: Deployment,
        rng: Random,
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
        self._rng = rng
        self._estimates = estimates
        self._slow_start = slow_start
        self._load = load
        self._limits = limits
        self._ejection = ejection
        self._home_zone = deployment.zone if deployment.cross_zone_cost else None
        self._others_fraction = 1 - 1 / deployment.dispatcher_count
        self.orders: dict[int, list[int]] = {}  # by table group
        self._full_groups: set[int] = set()  # resource groups for which no engine has capacity in this round

    def start_round(self) -> None:
        """Clears the set of resource groups for which no engine had capacity."""
        self._full_groups.clear()

    def engines_changed(self) -> None:
        """Discards the hash orders after engines were added or replaced."""
        self.orders.clear()

    def order_of(self, table_group: int) -> list[int]:
        """Returns all engines in a table group's hash order."""
        order = self.orders.get(table_group)
        if order is None:
            # Statements may name an unbounded number of table groups.
            if len(self.orders) >= MAX_CACHED_ORDERS:
                self.orders.clear()
            places = [hash_place(wire_id, table_group) for wire_id in self.engines.wire_id]
            order = self.orders[table_group] = sorted(range(len(places)), key=places.__getitem__)
        return order

    def choose(self, query: Query, now: int) -> int:
        """Returns the engine for a query, or NO_ENGINE, or NO_CAPACITY."""
        usable = self._ejection.usable(query.resource_group, now)
        if query.resource_group in self._full_groups:
            return NO_CAPACITY
        if self._limits.pool_exhausted(self.groups[query.resource_group].threads, now):
            return NO_CAPACITY if usable else NO_ENGINE
        found, examined = self._candidates(query, usable, now)
        if found:
            return self._least_loaded(query, found, now)
        if not examined:
            return NO_ENGINE
        # Searching all engines again for each waiting query costs more than the capacity that it would find.
        self._full_groups.add(query.resource_group)
        return NO_CAPACITY

    def _candidates(self, query: Query, usable: frozenset[int], now: int) -> tuple[list[int], int]:
        """Returns the first engines of the order that have capacity, and the number of engines examined."""
        found: list[int] = []
        examined = 0
        excluded = self._last_engine(query) if query.attempts and len(usable) > 1 else NO_ENGINE
        is_bound = self._is_bound_to_key_scope(query)
        for engine in self.order_of(query.table_group):
            if engine not in usable or engine == excluded:
                continue
            if is_bound and not self._knows_key(query, engine):
                continue
            examined += 1
            if examined > FIRST_ENGINES and (
                examined > FIRST_ENGINES_SMALL_LIMIT or self._limit(engine, now) >= 1
            ):
                if not all(self._bulk_loads_on(query, one) for one in found):
                    break
            if self._has_capacity(query, engine, now):
                found.append(engine)
        return found, examined

    def _last_engine(self, query: Query) -> int:
        """Returns the engine of the last attempt, or NO_ENGINE if another engine took over its index."""
        return query.engine if self.engines.is_listed_as(query.sent_to) else NO_ENGINE

    def _limit(self, engine: int, now: int) -> float:
        return self._limits.limit(engine, self._slow_start.capacity_fraction(engine, now))

    def _is_bound_to_key_scope(self, query: Query) -> bool:
        """Returns whether a retry may run only on engines that know the earlier attempt's idempotency key."""
        group = self.groups[query.resource_group]
        has_key = group.effect == Effect.IDEMPOTENCY_KEY and group.key_scope != KeyScope.ANY_ENGINE
        return has_key and query.ran_at is not None

    def _knows_key(self, query: Query, engine: int) -> bool:
        if self.groups[query.resource_group].key_scope == KeyScope.SAME_ZONE:
            return self.engines.zone[engine] == query.ran_on.zone
        return self.engines.cell[engine] == query.ran_on.cell

    def _has_capacity(self, query: Query, engine: int, now: int) -> bool:
        fraction = self._slow_start.capacity_fraction(engine, now)
        if fraction < 1.0:
            work = max(self._estimates.mean_cost[query.resource_group], 1.0)
            if not self._slow_start.admits(engine, work, fraction, now):
                return False
        return self._limits.admits(engine, self.groups[query.resource_group].threads, fraction, now)

    def _least_loaded(self, query: Query, found: list[int], now: int) -> int:
        # With many dispatchers most engines have no attempt of this one in flight. If all dispatchers broke
        # such ties alike, they would overload the first engine, so ties are broken at random. If the first
        # engine answered recently, it is kept because it has the tables in its cache.
        has_small_limit = self._limit(found[0], now) < self.groups[query.resource_group].threads
        is_random = (
            has_small_limit and now - self.engines.load_factor_at[found[0]] > MIN_LOAD_FACTOR_FADE_TICKS // 3
        )

        def sort_key(engine: int) -> tuple[int, float, float]:
            tie_break = self._rng.random() if is_random else 0
            return self._bulk_loads_on(query, engine), self._threads_per_core(engine, now), tie_break

        return min(found, key=sort_key)

    def _bulk_loads_on(self, query: Query, engine: int) -> int:
        # An engine runs the bulk loads of one table group one after another, and the queries with the same
        # key wait for them.
        if not self.groups[query.resource_group].is_bulk_load:
            return 0
        return self.engines.bulk_loads[engine].count(query.table_group)

    def _threads_per_core(self, engine: int, now: int) -> float:
        """Returns the threads per core on an engine, including those of other dispatchers.

        Other dispatchers' threads are derived from the load factor, or taken from their reports. A new
        connection and another zone count as additional threads per core.
        """
        table = self.engines
        fraction = self._slow_start.capacity_fraction(engine, now)
        cores = table.cores[engine] * fraction
        elsewhere = max(0.0, self._load.current(engine, now) - 1.0) * self._others_fraction
        if self.fleet is not None:
            elsewhere = self.fleet.load_elsewhere(engine, elsewhere, cores, now)
        is_other_zone = self._home_zone is not None and table.zone[engine] != self._home_zone
        cross_zone = CROSS_ZONE_LOAD if is_other_zone else 0.0
        # If each dispatcher used every engine, every second query would need a new connection.
        needs_connection = now - table.last_used_at[engine] > self.deployment.idle_connection_timeout
        connecting = (
            NEW_CONNECTION_LOAD if needs_connection and self._limits.limit(engine, fraction) < 1 else 0.0
        )
        return table.in_flight[engine] / cores + elsewhere + cross_zone + connecting

    def attempt_started(self, query: Query, now: int) -> None:
        """Records an attempt that starts on the query's engine."""
        engine = query.engine
        group = self.groups[query.resource_group]
        query.sent_to = self.engines.identity(engine)
        self.engines.last_used_at[engine] = now
        self._limits.add_in_flight(engine, group.threads)
        if group.is_bulk_load:
            self.engines.bulk_loads[engine].append(query.table_group)
        if self._slow_start.capacity_fraction(engine, now) < 1.0:
            work = max(self._estimates.mean_cost[query.resource_group], 1.0)
            self._slow_start.record(engine, work, now)

    def attempt_ended(self, query: Query, engine: int, ending: Ending, now: int) -> None:
        """Records that an attempt has ended."""
        group = self.groups[query.resource_group]
        self._limits.add_in_flight(engine, -group.threads)
        if group.is_bulk_load:
            self.engines.bulk_loads[engine].remove(query.table_group)
        is_connected = ending not in (Ending.NO_CONNECTION, Ending.RESET)
        self.engines.last_used_at[engine] = now if is_connected else -FOREVER
