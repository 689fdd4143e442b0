"""Which engines take a table group's queries, in which order and with what weight: from the endpoint list and
the settings; free of I/O and of xDS messages.

A cluster is a table group for those resource groups that may use the same engines. Its endpoints are the
first of the table group's shared hash order, at priority 0, weighted by the cores that they may use now; the
next ones of the order follow at priority 1, for when those fail. The order, the number of first endpoints,
slow start and the bound on threads are those of wickvane.scheduling.

An engine in slow start counts for a part, so that a cluster takes as many first endpoints as make up
FIRST_ENGINES warm ones. Its part is read at the last point of a grid of time that all instances share, less
the latency of the slowest proxy: what a proxy holds never exceeds what the engine may be sent.

Times are ticks.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from wickvane.events import Deployment, EngineState, ResourceGroup
from wickvane.scheduling.concurrency import BASE_THREADS_PER_CORE
from wickvane.scheduling.outlier_ejection import INITIAL_EJECTION_TICKS, MAX_EJECTION_TICKS
from wickvane.scheduling.placement import FIRST_ENGINES, hash_place
from wickvane.scheduling.slow_start import ramp_fraction
from wickvane.xds.endpoint_snapshot import Endpoint, EndpointSnapshot

MAX_BACKUP_ENDPOINTS = 3  # of priority 1
MAX_FIRST_ENDPOINTS = 9  # of priority 0, however many are in slow start
SLOW_START_STEPS = 4  # in which a weight rises
WEIGHT_OF_CORE = 100
NO_TABLE_GROUP = 0  # queries that name no table group count as this one, as with a dispatcher
FULL_UPDATE_THRESHOLD = 32  # endpoints changed at once, from which all clusters are computed anew
MAX_EJECTION_PERCENT = 50  # more than that failing at once is no fault of single engines
CHOICE_COUNT = 3  # endpoints of which the one with the fewest requests is chosen
DEFAULT_RETRY_BUDGET = 0.2  # of the requests in progress, where the settings have no retry budget
MAX_CONCURRENCY = 1000
CONCURRENCY_UPDATE_INTERVAL = 1_000  # ticks
MIN_ROUND_TRIP = 10  # ticks
# The part of the latency objective at which the median round trip shows overload, and the tolerance over it.
ROUND_TRIP_PART = 0.25
ROUND_TRIP_TOLERANCE = 0.1
WARM_TOLERANCE = 1e-6  # of a sum of parts that is to reach FIRST_ENGINES


class PlacedEndpoint(NamedTuple):
    """An endpoint of a cluster."""

    name: str
    address: tuple[str, int]
    zone: str
    priority: int
    weight: int


class CircuitBreakers(NamedTuple):
    """What a proxy limits by itself in one cluster.

    max_requests: in progress; max_pending: waiting for a connection; retry_budget: share of those in
    progress; base_ejection, max_ejection: ticks for which an endpoint that fails is ejected.
    """

    max_requests: int
    max_pending: int
    retry_budget: float
    base_ejection: int
    max_ejection: int


class AdaptiveConcurrency(NamedTuple):
    """A limit on a resource group's requests in progress that binds under overload: it shrinks while the
    median round trip exceeds the given one by more than the tolerance, and grows while it is under."""

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
        """Adds endpoints that are not in the order."""
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
        """Each table group with the position that the endpoint has or would have."""
        for table_group in self._orders:
            yield table_group, self._position(table_group, name)

    def entries(self, table_group: int) -> Sequence[tuple]:
        """The endpoints in a table group's order: (hash, name) each."""
        return self._orders[table_group]


class Placement:
    """The endpoints of each cluster, kept up to date with the endpoint list.

    proxy_count: that share the engines; kinds, zones: their names by number; ack_latency: ticks, of the
    slowest proxy.
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
        # Resource groups that may use the same engines are one class, by the name of the first of them.
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
        self._slow_start_ends: dict[str, int] = {}  # by name: when its weight no longer rises
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
        """Takes in the endpoint list; clusters whose endpoints have changed, and those of them that lost one
        to a drain."""
        before = self._endpoints
        after = snapshot.endpoints
        self.updated_at = max(self.updated_at, now)
        lost = [name for name in before if name not in after]
        new = [name for name in after if name not in before]
        modified = [name for name in after if name in before and _differs(before[name], after[name])]
        drained = {
            name
            for name in lost + modified
            if before[name].is_ready and (name not in after or not after[name].is_ready)
        }
        if len(lost) + len(new) + len(modified) > FULL_UPDATE_THRESHOLD:
            self._replace_endpoints(after, lost, new)
            affected = set(self.table_groups)
        else:
            affected = self._affected_by(lost)
            self._remove(lost)
            self._order.add(new)
            affected |= self._affected_by(modified)
            self._endpoints = dict(after)
            affected |= self._affected_by(new + modified)
        return self._recompute(affected, drained)

    def _replace_endpoints(self, after: dict[str, Endpoint], lost: list[str], new: list[str]) -> None:
        self._remove(lost)
        self._order.add(new)
        self._endpoints = dict(after)

    def _remove(self, names: Iterable[str]) -> None:
        for name in names:
            self._order.remove(name)

    def _affected_by(self, names: Iterable[str]) -> set[int]:
        """Table groups where a change of these endpoints may matter: where they are early enough."""
        return {
            table_group
            for name in names
            for table_group, position in self._order.positions(name)
            if position < self._reach(table_group)
        }

    def _reach(self, table_group: int) -> int:
        """How many endpoints of the order any class looks at, those that are passed over included."""
        wanted = MAX_FIRST_ENDPOINTS + MAX_BACKUP_ENDPOINTS
        found = dict.fromkeys(self.engine_classes, 0)
        unsatisfied = len(found)
        entries = self._order.entries(table_group)
        for position, (_, name) in enumerate(entries):
            endpoint = self._endpoints.get(name)
            if endpoint is None or endpoint.state != EngineState.READY:
                continue
            for engine_class in found:
                if self._is_allowed(engine_class, endpoint):
                    found[engine_class] += 1
                    unsatisfied -= found[engine_class] == wanted
            if not unsatisfied:
                return position + 1
        return len(entries) + 1

    def _is_allowed(self, engine_class: str, endpoint: Endpoint) -> bool:
        zones, kinds = self.engine_classes[engine_class]
        if zones is not None and self._zone_numbers.get(endpoint.zone) not in zones:
            return False
        return kinds is None or self._kind_numbers.get(endpoint.kind) in kinds

    # slow start

    def step(self, now: int) -> tuple[set[str], set[str]]:
        """Raises the weights of endpoints in slow start; changed clusters as from update()."""
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

    def next_step(self) -> int | None:
        """When weights may rise, None where no endpoint is in slow start."""
        return (self.updated_at // self.grid + 1) * self.grid if self._slow_start_ends else None

    def _usable_part(self, endpoint: Endpoint) -> float:
        """The part of its cores that may be used now, by slow start."""
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

    def _weight(self, endpoint: Endpoint, usable_part: float) -> int:
        return max(1, round(WEIGHT_OF_CORE * self._cores(endpoint) * endpoint.weight * usable_part))

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

    def _place(self, engine_class: str, table_group: int) -> tuple[PlacedEndpoint, ...]:
        """A cluster's endpoints, those of priority 0 first."""
        found: list[PlacedEndpoint] = []
        first_count = 0
        warm_sum = 0.0
        for _, name in self._order.entries(table_group):
            endpoint = self._endpoints.get(name)
            # A draining endpoint is left out, since whether a client knows that health status is uncertain:
            # proxies complete their requests there, and send no new ones.
            if endpoint is None or endpoint.state != EngineState.READY or endpoint.address is None:
                continue
            if not self._is_allowed(engine_class, endpoint):
                continue
            is_backup = warm_sum > FIRST_ENGINES - WARM_TOLERANCE or first_count >= MAX_FIRST_ENDPOINTS
            if is_backup and len(found) - first_count >= MAX_BACKUP_ENDPOINTS:
                break
            usable_part = self._usable_part(endpoint)
            weight = self._weight(endpoint, usable_part)
            found.append(PlacedEndpoint(name, endpoint.address, endpoint.zone or "", int(is_backup), weight))
            if not is_backup:
                first_count += 1
                warm_sum += usable_part
        return tuple(found)

    def circuit_breakers(self, engine_class: str) -> CircuitBreakers:
        """The scheduler's bound on threads for a cluster's first endpoints, shared by all proxies, its retry
        budget, and for how long endpoints that fail are ejected. They follow from the settings alone, so that
        no change of the endpoint list changes them."""
        deployment = self.deployment
        kinds = self.engine_classes[engine_class].kinds
        cores = [count for kind, count in enumerate(deployment.cores) if kinds is None or kind in kinds]
        threads = BASE_THREADS_PER_CORE * FIRST_ENGINES * max(cores, default=1) / self._proxy_count
        # At least one, as an idle engine may always be sent a query.
        max_requests = max(1, int(threads / self._threads_per_request[engine_class]))
        has_budget = deployment.retry_budget_window
        retry_budget = deployment.retry_budget_ratio if has_budget else DEFAULT_RETRY_BUDGET
        return CircuitBreakers(
            max_requests, max_requests, retry_budget, INITIAL_EJECTION_TICKS, MAX_EJECTION_TICKS
        )


def adaptive_concurrency_of(group: ResourceGroup) -> AdaptiveConcurrency:
    """The limit for a resource group, by its latency objective: for proxies that know no best latency."""
    round_trip = max(MIN_ROUND_TRIP, int(group.latency_objective * ROUND_TRIP_PART))
    return AdaptiveConcurrency(MAX_CONCURRENCY, CONCURRENCY_UPDATE_INTERVAL, round_trip, ROUND_TRIP_TOLERANCE)


def _differs(before: Endpoint, after: Endpoint) -> bool:
    """Whether two states of an endpoint differ in more than when they were learnt."""
    if before is after:
        return False
    return before._replace(index=0, draining_since=0) != after._replace(index=0, draining_since=0)
