"""Simulates proxies that only follow xDS, behind the scheduler's interface.

benchmarks/control.py compares them with dispatchers. A simulated proxy follows the resources, as far as a
proxy with the published API can: it draws three of a cluster's endpoints with priority 0 and chooses the one
with the fewest requests relative to its weight; endpoints with priority 1 take over as endpoints with
priority 0 are ejected; requests beyond the cluster's limit are rejected at once; an endpoint that fails three
times in a row is ejected. A simulated proxy has no queue and does not retry, because an xDS retry budget
counts the requests in progress, not those sent in a window, and cannot guarantee rule 7 (the retry budget).

The module does no I/O.
"""

from math import sqrt
from random import Random
from typing import Any, NamedTuple

from wickvane.events import (
    FOREVER,
    AttemptEnded,
    ClientGone,
    Deployment,
    Effect,
    Ending,
    EngineUpdated,
    QueryArrived,
)
from wickvane.xds.endpoint_snapshot import DEFAULT_REMOVAL_LIMIT, EndpointSnapshot, apply_event
from wickvane.xds.placement import (
    CHOICE_COUNT,
    MAX_EJECTION_PERCENT,
    AdaptiveConcurrency,
    PlacedEndpoint,
    Placement,
    cluster_name,
)

OVERPROVISIONING_FACTOR = 1.4
CONSECUTIVE_FAILURES = 3
TABLE_GROUP_COUNT = 20
MIN_GRADIENT = 0.5
MAX_GRADIENT = 2.0
PERCENT = 100


class GradientLimit:
    """The adaptive concurrency filter, as its documentation describes it.

    The limit on requests in progress is multiplied by the ratio of the target round trip to the measured one,
    and raised by the square root of the result.
    """

    def __init__(self, settings: AdaptiveConcurrency) -> None:
        self.in_progress = 0
        self._settings = settings
        self._limit = float(settings.max_concurrency)
        self._round_trips: list[int] = []
        self._updated_at = 0

    def is_full(self) -> bool:
        """Whether further requests are rejected."""
        return self.in_progress >= int(self._limit)

    def end_request(self, now: int, round_trip: int) -> None:
        """Records the round trip of a request that has ended."""
        self.in_progress -= 1
        self._round_trips.append(round_trip)
        if now < self._updated_at + self._settings.update_interval:
            return
        self._round_trips.sort()
        median = self._round_trips[len(self._round_trips) // 2]
        self._round_trips = []
        self._updated_at = now
        target = self._settings.round_trip * (1 + self._settings.tolerance)
        gradient = max(MIN_GRADIENT, min(MAX_GRADIENT, target / max(1, median)))
        new_limit = gradient * self._limit + sqrt(gradient * self._limit)
        self._limit = max(1.0, min(self._settings.max_concurrency, new_limit))


class _OpenQuery(NamedTuple):
    resource_group: int
    cluster: str


class SimulatedProxies:
    """One simulated proxy, which replaces a dispatcher's scheduler."""

    def __init__(self, seed: int, deployment: Deployment) -> None:
        self._deployment = deployment
        self._random = Random(seed)
        self._index = 0
        group_names = [f"g{number}" for number in range(len(deployment.groups))]
        self._placement = Placement(
            deployment,
            group_names,
            range(TABLE_GROUP_COUNT),
            deployment.dispatcher_count,
            range(len(deployment.cores)),
            [0],
        )
        self._snapshot = EndpointSnapshot()
        self._names: dict[int, str] = {}  # by engine number
        self._numbers: dict[str, int] = {}
        self._in_progress: dict[str, int] = {}  # by endpoint
        self._open_queries: dict[int, _OpenQuery] = {}
        self._cluster_requests: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._ejected_until: dict[str, int] = {}
        self._gradients = [GradientLimit(self._placement.adaptive_concurrency[name]) for name in group_names]

    def round(self, now: int, events: list[Any], out: Any) -> None:
        """Applies events and writes commands, with the interface of
        wickvane.scheduling.scheduler.Scheduler.round().
        """
        next_time = self._placement.next_slow_start_time()
        if next_time is not None and now >= next_time:
            self._placement.advance_slow_start(now)
        for event in events:
            match event:
                case QueryArrived():
                    self._start_query(now, out, event)
                case AttemptEnded():
                    self._end_attempt(now, out, event)
                case ClientGone() if event.query in self._open_queries:
                    self._cancel(out, event.query)
                case EngineUpdated():
                    self._update_engine(now, event)

    def _cancel(self, out: Any, query: int) -> None:
        resource_group, cluster = self._open_queries.pop(query)
        self._cluster_requests[cluster] -= 1
        self._gradients[resource_group].in_progress -= 1
        out.cancel_attempt(query, 0)

    def _update_engine(self, now: int, event: EngineUpdated) -> None:
        engine, rank, state, _, kind, cell, started, weight = event
        name = rank.decode()
        self._names[engine] = name
        self._numbers[name] = engine
        self._index += 1
        entry = name, (name, 1), state, 0, kind, cell, started / 10, weight
        self._snapshot, _ = apply_event(
            self._snapshot, now, self._index, False, [entry], DEFAULT_REMOVAL_LIMIT
        )
        self._placement.update(now, self._snapshot)

    def _start_query(self, now: int, out: Any, event: QueryArrived) -> None:
        engine_class = self._placement.class_of[f"g{event.group}"]
        cluster = cluster_name(engine_class, event.table_group % TABLE_GROUP_COUNT)
        gradient = self._gradients[event.group]
        max_requests = self._placement.circuit_breakers(engine_class).max_requests
        if self._cluster_requests.get(cluster, 0) >= max_requests or gradient.is_full():
            out.reject(event.query, 0)
            return
        name = self._choose(now, cluster)
        if name is None:
            out.reject(event.query, 0)
            return
        self._cluster_requests[cluster] = self._cluster_requests.get(cluster, 0) + 1
        self._in_progress[name] = self._in_progress.get(name, 0) + 1
        gradient.in_progress += 1
        self._open_queries[event.query] = _OpenQuery(event.group, cluster)
        out.start_attempt(event.query, self._numbers[name], 0, FOREVER)

    def _choose(self, now: int, cluster: str) -> str | None:
        """The endpoint to which a request is sent, None if there is none."""
        placed = self._placement.endpoints_of(cluster)
        ejected = [endpoint for endpoint in placed if self._ejected_until.get(endpoint.name, 0) > now]
        if len(ejected) * PERCENT > MAX_EJECTION_PERCENT * len(placed):
            ejected = []
        first_endpoints = [endpoint for endpoint in placed if not endpoint.priority]
        candidates = [endpoint for endpoint in first_endpoints if endpoint not in ejected]
        backups = [endpoint for endpoint in placed if endpoint.priority and endpoint not in ejected]
        if first_endpoints and backups:
            first_share = OVERPROVISIONING_FACTOR * len(candidates) / len(first_endpoints)
            if self._random.random() >= first_share:
                candidates = backups
        candidates = candidates or backups
        if not candidates:
            return None
        drawn = [self._random.choice(candidates) for _ in range(CHOICE_COUNT)]
        return max(drawn, key=self._weight_per_request).name

    def _weight_per_request(self, endpoint: PlacedEndpoint) -> float:
        return endpoint.weight / (self._in_progress.get(endpoint.name, 0) + 1)

    def _end_attempt(self, now: int, out: Any, event: AttemptEnded) -> None:
        name = self._names[event.engine]
        self._in_progress[name] -= 1
        self._count_failure(now, name, event.ending)
        open_query = self._open_queries.pop(event.query, None)
        if open_query is None:
            return
        self._cluster_requests[open_query.cluster] -= 1
        self._gradients[open_query.resource_group].end_request(now, event.elapsed)
        if event.complete or event.ending == Ending.FINISHED:
            return
        has_not_run = event.ending >= Ending.REJECTED
        group = self._deployment.groups[open_query.resource_group]
        if not has_not_run and group.effect != Effect.READ_ONLY:
            out.fail(event.query)
        else:
            out.reject(event.query, 0)

    def _count_failure(self, now: int, name: str, ending: int) -> None:
        if ending == Ending.FINISHED:
            self._failures[name] = 0
            return
        self._failures[name] = self._failures.get(name, 0) + 1
        if self._failures[name] >= CONSECUTIVE_FAILURES:
            limits = self._placement.circuit_breakers(next(iter(self._placement.engine_classes)))
            times = self._failures[name] - CONSECUTIVE_FAILURES + 1
            self._ejected_until[name] = now + min(limits.max_ejection, limits.base_ejection * times)
