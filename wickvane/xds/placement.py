"""Computes the endpoints of each cluster, with their priorities and weights, from the endpoint list and the
settings.

A cluster is one table group for all resource groups that may use the same engines. The first endpoints of the
table group's shared hash order have priority 0 and are weighted by the cores that they may currently use. The
next endpoints of the order have priority 1 and are used if the first ones fail. The order, the number of
first endpoints, slow start and the bound on threads are those of wickvane.scheduling.

An endpoint in slow start counts as the fraction of its capacity that may be used. A cluster takes first
endpoints until their fractions add up to FIRST_ENGINES. The fraction is computed for the last point of a time
grid that all instances share, minus the latency of the slowest proxy, so that the weight that a proxy holds
never exceeds what the engine may currently be sent.

The module does no I/O and uses no xDS messages. Times are ticks.
"""

from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from wickvane.events import Deployment, EngineState, ResourceGroup
from wickvane.scheduling.concurrency import BASE_THREADS_PER_CORE
from wickvane.scheduling.outlier_ejection import INITIAL_EJECTION_TICKS, MAX_EJECTION_TICKS
from wickvane.scheduling.placement import FIRST_ENGINES, hash_place
from wickvane.scheduling.slow_start import ramp_fraction
from wickvane.xds.endpoint_snapshot import Endpoint, EndpointSnapshot

MAX_BACKUP_ENDPOINTS = 3  # with priority 1
MAX_FIRST_ENDPOINTS = 9  # with priority 0, even if more are needed because some are in slow start
SLOW_START_STEPS = 4  # in which a weight rises
WEIGHT_PER_CORE = 100
NO_TABLE_GROUP = 0  # the table group of queries that name none, as in a dispatcher
FULL_UPDATE_THRESHOLD = 32  # if more endpoints change at once, all clusters are recomputed
MAX_EJECTION_PERCENT = 50  # if more endpoints fail at once, the cause is not in single engines
CHOICE_COUNT = 3  # endpoints drawn, of which the one with the fewest requests is chosen
DEFAULT_RETRY_BUDGET = 0.2  # fraction of the requests in progress, if the settings have no retry budget
MAX_CONCURRENCY = 1000
CONCURRENCY_UPDATE_INTERVAL_TICKS = 1_000
MIN_ROUND_TRIP_TICKS = 10
# Fraction of the latency objective above which the median round trip indicates overload, and its tolerance.
ROUND_TRIP_FRACTION = 0.25
ROUND_TRIP_TOLERANCE = 0.1
CAPACITY_SUM_TOLERANCE = 1e-6  # for the comparison of a sum of fractions with FIRST_ENGINES


class PlacedEndpoint(NamedTuple):
    """An endpoint of a cluster."""

    name: str
    address: tuple[str, int]
    zone: str
    priority: int
    weight: int


class CircuitBreakers(NamedTuple):
    """The limits that a proxy itself enforces in one cluster.

    max_requests: maximum number of requests in progress; max_pending: maximum number of requests that wait
    for a connection; retry_budget: retries as a fraction of the requests in progress; base_ejection,
    max_ejection: first and maximum time in ticks for which a failing endpoint is ejected.
    """

    max_requests: int
    max_pending: int
    retry_budget: float
    base_ejection: int
    max_ejection: int


class AdaptiveConcurrency(NamedTuple):
    """A limit on a resource group's requests in progress that takes effect under overload.

    It shrinks while the median round trip exceeds `round_trip` by more than the tolerance, and grows while
    the median is lower.
    """

    max_concurrency: int
    update_interval: int
    round_trip: int
    tolerance: float


class EngineFilter(NamedTuple):
    """Numbers of the zones and engine kinds that a resource group may use, None for all."""

    zones: frozenset[int] | None
    kinds: frozenset[int] | None


def cluster_name(engine_class: str, table_group: int) -> str:
    """The name of a cluster's CDS and EDS resources."""
    return f"{engine_class}/{table_group}"


class HashOrder:
    """All endpoints by name, in each table group's shared hash order."""

    def __init__(self, table_groups: Iterable[int]) -> None:
        self._orders: dict[int, list[tuple]] = {table_group: [] for table_group in table_groups}

    def add(self, names: Sequence[str]) -> None:
        """Adds endpoints; none of them may already be in the order."""
        for table_group, order in self._orders.items():
            places = [(hash_place(name.encode(), table_group), name) for name in names]
            if len(places) > FULL_UPDATE_THRESHOLD:
                order += places
                order.sort()
            else:
                for place in places:
                    insort(order, place)

    def remove(self, name: str) -> None:
        """Removes an endpoint."""
        for table_group, order in self._orders.items():
            position = self._position(table_group, name)
            if position < len(order) and order[position][1] == name:
                del order[position]

    def _position(self, table_group: int, name: str) -> int:
        return bisect_left(self._orders[table_group], (hash_place(name.encode(), table_group), name))

    def positions(self, name: str) -> Iterator[tuple[int, int]]:
        """Yields each table group with the position that the endpoint has or would have in it."""
        for table_group in self._orders:
            yield table_group, self._position(table_group, name)

    def entries(self, table_group: int) -> Sequence[tuple]:
        """The endpoints in a table group's order, as tuples (hash, name)."""
        return self._orders[table_group]


class Placement:
    """The endpoints of each cluster, updated incrementally with the endpoint list.

    proxy_count: number of proxies that share the engines; kinds, zones: their names by number; ack_latency:
    the slowest proxy's latency in ticks; grid: step of the time grid for weights, in ticks.
    """

    def __init__(
        self,
        deployment: Deployment,
        group_names: Sequence[str],
        table_groups: Iterable[int],
        proxy_count: int,
        kinds: Sequence[str] = (),
        zones: Sequence[str] = (),
    ) -> None:
        self.deployment = deployment
        self.table_groups = sorted({NO_TABLE_GROUP, *table_groups})
        # Resource groups that may use the same engines form a class, named after the first of them.
        self.engine_classes: dict[str, EngineFilter] = {}
        self.class_of: dict[str, str] = {}
        self.adaptive_concurrency: dict[str, AdaptiveConcurrency] = {}
        self.clusters: dict[str, tuple[PlacedEndpoint, ...]] = {}
        self.grid = max(1, deployment.slow_start_duration // SLOW_START_STEPS // 2)
        self.ack_latency = 0
        self.updated_at = 0
        self._proxy_count = max(1, proxy_count)
        self._kind_numbers = {kind: number for number, kind in enumerate(kinds)}
        self._zone_numbers = {zone: number for number, zone in enumerate(zones)}
        self._threads_per_request: dict[str, int] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._order = HashOrder(self.table_groups)
        self._slow_start_ends: dict[str, int] = {}  # by name: when its weight stops rising
        self._classify(group_names)

    def _classify(self, group_names: Sequence[str]) -> None:
        class_of_filter: dict[EngineFilter, str] = {}
        for name, group in zip(group_names, self.deployment.groups):
            engine_filter = EngineFilter(group.zones, group.kinds)
            engine_class = class_of_filter.setdefault(engine_filter, name)
            self.engine_classes[engine_class] = engine_filter
            self.class_of[name] = engine_class
            self.adaptive_concurrency[name] = adaptive_concurrency_of(group)
            threads = max(group.threads, self._threads_per_request.get(engine_class, group.threads))
            self._threads_per_request[engine_class] = threads

    def cluster_names(self) -> list[str]:
        """The names of all clusters."""
        return [
            cluster_name(engine_class, table_group)
            for engine_class in self.engine_classes
            for table_group in self.table_groups
        ]

    def endpoints_of(self, cluster: str) -> tuple[PlacedEndpoint, ...]:
        """A cluster's endpoints in their order."""
        return self.clusters.get(cluster, ())

    # the endpoint list

    def update(self, now: int, snapshot: EndpointSnapshot) -> tuple[set[str], set[str]]:
        """Applies the endpoint list.

        Returns the names of clusters whose endpoints have changed, and of those from which a drain removed an
        endpoint.
        """
        before = self._endpoints
        after = snapshot.endpoints
        self.updated_at = max(self.updated_at, now)
        removed = [name for name in before if name not in after]
        added = [name for name in after if name not in before]
        modified = [name for name in after if name in before and _differs(before[name], after[name])]
        drained = {
            name
            for name in removed + modified
            if before[name].is_ready and (name not in after or not after[name].is_ready)
        }
        if len(removed) + len(added) + len(modified) > FULL_UPDATE_THRESHOLD:
            self._replace_endpoints(after, removed, added)
            affected = set(self.table_groups)
        else:
            affected = self._affected_by(removed)
            self._remove(removed)
            self._order.add(added)
            affected |= self._affected_by(modified)
            self._endpoints = dict(after)
            affected |= self._affected_by(added + modified)
        return self._recompute(affected, drained)

    def _replace_endpoints(self, after: dict[str, Endpoint], removed: list[str], added: list[str]) -> None:
        self._remove(removed)
        self._order.add(added)
        self._endpoints = dict(after)

    def _remove(self, names: Iterable[str]) -> None:
        for name in names:
            self._order.remove(name)

    def _affected_by(self, names: Iterable[str]) -> set[int]:
        """Table groups in which these endpoints are early enough in the order for a change to matter."""
        return {
            table_group
            for name in names
            for table_group, position in self._order.positions(name)
            if position < self._scan_length(table_group)
        }

    def _scan_length(self, table_group: int) -> int:
        """How many endpoints of the order, with skipped ones, are examined to fill all classes' clusters."""
        wanted = MAX_FIRST_ENDPOINTS + MAX_BACKUP_ENDPOINTS
        allowed_counts = dict.fromkeys(self.engine_classes, 0)
        unsatisfied = len(allowed_counts)
        entries = self._order.entries(table_group)
        for position, (_, name) in enumerate(entries):
            endpoint = self._endpoints.get(name)
            if endpoint is None or endpoint.state != EngineState.READY:
                continue
            for engine_class in allowed_counts:
                if self._is_allowed(engine_class, endpoint):
                    allowed_counts[engine_class] += 1
                    unsatisfied -= allowed_counts[engine_class] == wanted
            if not unsatisfied:
                return position + 1
        return len(entries) + 1

    def _is_allowed(self, engine_class: str, endpoint: Endpoint) -> bool:
        zones, kinds = self.engine_classes[engine_class]
        if zones is not None and self._zone_numbers.get(endpoint.zone) not in zones:
            return False
        return kinds is None or self._kind_numbers.get(endpoint.kind) in kinds

    # slow start

    def advance_slow_start(self, now: int) -> tuple[set[str], set[str]]:
        """Raises the weights of endpoints in slow start; returns the same as update()."""
        self.updated_at = max(self.updated_at, now)
        warming_up = [name for name in self._slow_start_ends if name in self._endpoints]
        if len(warming_up) > FULL_UPDATE_THRESHOLD:
            affected = set(self.table_groups)
        else:
            affected = self._affected_by(warming_up)
        ended = [name for name, end in self._slow_start_ends.items() if end <= self.updated_at]
        for name in ended:
            del self._slow_start_ends[name]
        return self._recompute(affected, set())

    def next_slow_start_time(self) -> int | None:
        """When weights may next rise, None if no endpoint is in slow start."""
        return (self.updated_at // self.grid + 1) * self.grid if self._slow_start_ends else None

    def _usable_fraction(self, endpoint: Endpoint) -> float:
        """The fraction of the endpoint's capacity that slow start currently allows."""
        if not endpoint.started_at:
            return 1.0
        duration = self.deployment.slow_start_duration
        grid_point = self.updated_at // self.grid * self.grid
        age = grid_point - self.ack_latency - endpoint.started_at
        if age >= duration:
            return 1.0
        self._slow_start_ends[endpoint.name] = endpoint.started_at + duration + self.ack_latency + self.grid
        steps = max(0, int(age * SLOW_START_STEPS / duration))
        return ramp_fraction(
            steps * duration // SLOW_START_STEPS, self.deployment.slow_start_fraction, duration
        )

    def _weight(self, endpoint: Endpoint, usable_fraction: float) -> int:
        return max(1, round(WEIGHT_PER_CORE * self._cores(endpoint) * endpoint.weight * usable_fraction))

    def _cores(self, endpoint: Endpoint) -> int:
        kind = self._kind_numbers.get(endpoint.kind, -1)
        cores = self.deployment.cores
        return cores[kind] if 0 <= kind < len(cores) else 1

    # clusters

    def _recompute(
        self, table_groups: Iterable[int], drained_endpoints: set[str]
    ) -> tuple[set[str], set[str]]:
        changed = set()
        drained = set()
        for table_group in table_groups:
            for engine_class in self.engine_classes:
                name = cluster_name(engine_class, table_group)
                before = self.clusters.get(name)
                after = self._place(engine_class, table_group)
                if before == after:
                    continue
                self.clusters[name] = after
                changed.add(name)
                if before and drained_endpoints and any(e.name in drained_endpoints for e in before):
                    drained.add(name)
        return changed, drained

    def place(self, cluster: str, excluded: Collection[str]) -> tuple[PlacedEndpoint, ...]:
        """The endpoints that a cluster would have without the excluded ones."""
        engine_class, _, table_group = cluster.rpartition("/")
        return self._place(engine_class, int(table_group), excluded)

    def _place(
        self, engine_class: str, table_group: int, excluded: Collection[str] = ()
    ) -> tuple[PlacedEndpoint, ...]:
        """A cluster's endpoints, those of priority 0 first."""
        placed: list[PlacedEndpoint] = []
        first_count = 0
        capacity_sum = 0.0
        for _, name in self._order.entries(table_group):
            endpoint = self._endpoints.get(name)
            # A draining endpoint is omitted instead of marked as draining, since not every client may support
            # that health status. Proxies complete their requests on it and send no new ones.
            if endpoint is None or endpoint.state != EngineState.READY or endpoint.address is None:
                continue
            if name in excluded or not self._is_allowed(engine_class, endpoint):
                continue
            is_backup = (
                capacity_sum > FIRST_ENGINES - CAPACITY_SUM_TOLERANCE or first_count >= MAX_FIRST_ENDPOINTS
            )
            if is_backup and len(placed) - first_count >= MAX_BACKUP_ENDPOINTS:
                break
            usable_fraction = self._usable_fraction(endpoint)
            weight = self._weight(endpoint, usable_fraction)
            placed.append(PlacedEndpoint(name, endpoint.address, endpoint.zone or "", int(is_backup), weight))
            if not is_backup:
                first_count += 1
                capacity_sum += usable_fraction
        return tuple(placed)

    def circuit_breakers(self, engine_class: str) -> CircuitBreakers:
        """The circuit breakers for a class of engines.

        They apply the scheduler's bound on threads to a cluster's first endpoints, divided among all proxies,
        and its retry budget and ejection times. They depend on the settings alone, so that no change of the
        endpoint list changes them.
        """
        deployment = self.deployment
        kinds = self.engine_classes[engine_class].kinds
        cores = [count for kind, count in enumerate(deployment.cores) if kinds is None or kind in kinds]
        threads = BASE_THREADS_PER_CORE * FIRST_ENGINES * max(cores, default=1) / self._proxy_count
        # The minimum is one, since an idle engine may always be sent a query.
        max_requests = max(1, int(threads / self._threads_per_request[engine_class]))
        has_budget = deployment.retry_budget_window
        retry_budget = deployment.retry_budget_ratio if has_budget else DEFAULT_RETRY_BUDGET
        return CircuitBreakers(
            max_requests, max_requests, retry_budget, INITIAL_EJECTION_TICKS, MAX_EJECTION_TICKS
        )


def adaptive_concurrency_of(group: ResourceGroup) -> AdaptiveConcurrency:
    """The limit for a resource group.

    It is derived from the latency objective, because proxies do not know the group's best latency.
    """
    round_trip = max(MIN_ROUND_TRIP_TICKS, int(group.latency_objective * ROUND_TRIP_FRACTION))
    return AdaptiveConcurrency(
        MAX_CONCURRENCY, CONCURRENCY_UPDATE_INTERVAL_TICKS, round_trip, ROUND_TRIP_TOLERANCE
    )


def _differs(before: Endpoint, after: Endpoint) -> bool:
    """Whether two states of an endpoint differ in more than their index and the start of their drain."""
    if before is after:
        return False
    return before._replace(index=0, draining_since=0) != after._replace(index=0, draining_since=0)
