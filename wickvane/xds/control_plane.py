"""The control plane of one instance: turns endpoint events into responses for all its discovery streams.

The module does no I/O. The caller reads from `ready_streams` the streams that may have a response to send.
Times are ticks.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from wickvane.units import to_milliseconds
from wickvane.xds.catalog import Catalog
from wickvane.xds.endpoint_snapshot import (
    DEFAULT_REMOVAL_LIMIT,
    DocumentSource,
    EndpointSnapshot,
    RemovalLimit,
    apply_event,
    as_baseline,
    next_removal_time,
    remove_overdue,
)
from wickvane.xds.endpoint_view import EndpointState, EndpointViews
from wickvane.xds.errors import StreamRejectedError
from wickvane.xds.load_reports import LoadKey, LoadReports
from wickvane.xds.log_events import LogEvent, OnStream, SnapshotRestored
from wickvane.xds.messages import DiscoveryResponse, Variant
from wickvane.xds.node_access import DEFAULT_NODE_ACCESS, MAX_NODE_CHARACTERS, NodeAccess
from wickvane.xds.placement import Placement
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resources import ResourceBuilder
from wickvane.xds.stream import DiscoveryStream

# Obsolete resources are removed after this time even if a stream has not acknowledged routes without them.
MAX_RETIREMENT_TICKS = 50_000
RETIREMENT_POLL_TICKS = 1_000
# A slower proxy does not delay slow start any further; the TTL of its endpoints expires instead.
MAX_ACK_LATENCY_TICKS = 100_000
ACK_LATENCY_DECAY_TICKS = 600_000


@dataclass(slots=True)
class ControlPlaneCounters:
    """Counters of an instance since its start."""

    endpoint_events: int = 0
    updates: int = 0
    drains: int = 0
    streams: int = 0
    streams_rejected: int = 0
    load_reports: int = 0

    def counts(self) -> dict[str, int]:
        """The counts by their names in the log."""
        return {
            "list-events": self.endpoint_events,
            "updates": self.updates,
            "drains": self.drains,
            "streams": self.streams,
            "streams-refused": self.streams_rejected,
            "loads": self.load_reports,
        }


@dataclass(slots=True)
class AckLatency:
    """The latency of the slowest proxy, which decays after that proxy becomes faster or disconnects."""

    latency: int = 0
    measured_at: int = 0

    def observe(self, now: int, slowest: int) -> float:
        """Records the latency of the slowest stream, and returns the latency to assume, in ticks."""
        decayed = self.latency * max(0.0, 1 - (now - self.measured_at) / ACK_LATENCY_DECAY_TICKS)
        bounded = min(MAX_ACK_LATENCY_TICKS, slowest)
        if slowest >= decayed:
            self.latency = bounded
            self.measured_at = now
        return max(bounded, decayed)


class Retirement(NamedTuple):
    """Obsolete resources, which are removed when no routes name them any longer, or at `until`."""

    until: int
    resources: list[tuple[ResourceType, str]]


class ControlPlane:
    """The discovery decisions of one instance.

    resource_builder: encodes the placement as resources; drain_grace: ticks within which proxies must
    acknowledge a drain; ttl: time to live of endpoints in ticks, 0 for none; epoch: content of different
    epochs counts as different.
    """

    def __init__(
        self,
        placement: Placement,
        resource_builder: ResourceBuilder,
        drain_grace: int,
        access: NodeAccess = DEFAULT_NODE_ACCESS,
        removal_limit: RemovalLimit = DEFAULT_REMOVAL_LIMIT,
        ttl: int = 0,
        epoch: str = "0",
    ) -> None:
        self.placement = placement
        self.removal_limit = removal_limit
        self.snapshot = EndpointSnapshot()
        self.catalog = Catalog(epoch)
        self.views = EndpointViews(self.catalog)
        self.streams: dict[int, DiscoveryStream] = {}
        self.ready_streams: set[int] = set()
        self.is_serving = False  # resources have been published
        self.retirement: Retirement | None = None
        self._documents: DocumentSource | None = None
        self._resource_builder = resource_builder
        self._drain_grace = drain_grace
        self._access = access
        self._ttl = ttl
        self._last_stream = 0
        self._log_events: list[LogEvent] = []
        self._counters = ControlPlaneCounters()
        self._ack_latency = AckLatency()
        self._load_reports = LoadReports()

    # endpoints

    def apply_endpoint_event(
        self,
        now: int,
        index: int,
        is_complete: bool,
        entries: Iterable[tuple],
        readmitted: Collection[str] = (),
        documents: DocumentSource | None = None,
    ) -> None:
        """Applies an event of the endpoint list (see wickvane.xds.endpoint_snapshot.apply_event)."""
        self._counters.endpoint_events += 1
        self._documents = documents
        snapshot, events = apply_event(
            self.snapshot, now, index, is_complete, entries, self.removal_limit, readmitted, documents
        )
        self._log_events += events
        self._apply_snapshot(now, snapshot)

    def restore(self, now: int, snapshot: EndpointSnapshot) -> None:
        """Applies a stored snapshot; must be called before any event is applied."""
        if snapshot.index > self.snapshot.index:
            self._log_events.append(SnapshotRestored(snapshot.index, len(snapshot.endpoints)))
            self._apply_snapshot(now, as_baseline(snapshot))

    def _apply_snapshot(self, now: int, snapshot: EndpointSnapshot) -> None:
        self.snapshot = snapshot
        self._publish(*self.placement.update(now, snapshot))

    def _publish(self, changed: Collection[str], drained: Collection[str]) -> None:
        """Encodes the endpoints of changed clusters and updates the catalog.

        drained: the clusters from which a drain removed an endpoint.
        """
        if not self.is_serving and not self.snapshot.ready():
            return  # an instance that has just started must not send an empty list
        bodies = {}
        if not self.is_serving:
            self.is_serving = True
            changed = self.placement.cluster_names()
            bodies = self._resource_builder.build_static(self.placement)
        bodies[ResourceType.EDS] = self._build_assignments(self._resource_builder, self.placement, changed)
        # The index of endpoint resources is the list's index, even if only weights have changed.
        if self.catalog.update(self.snapshot.index, bodies, drained=drained):
            self._counters.updates += 1
            self._counters.drains += bool(drained)
            self.ready_streams.update(self.streams)
        self._update_views()

    def _update_views(self) -> None:
        """Passes the endpoint list to the views, and wakes the streams that they concern."""
        state = EndpointState(
            self.snapshot, self._documents, self.placement, self._resource_builder.build_assignment
        )
        if self.views.update(state):
            self.ready_streams.update(self.streams)
        else:
            # Streams whose proxies are ahead of this instance are checked again, even if nothing has changed.
            self.ready_streams.update(
                number
                for number, stream in self.streams.items()
                if stream.endpoints.knowledge.holds_tombstones()
            )

    @staticmethod
    def _build_assignments(
        builder: ResourceBuilder, placement: Placement, clusters: Iterable[str]
    ) -> dict[str, bytes]:
        return {name: builder.build_assignment(name, placement.endpoints_of(name)) for name in clusters}

    def tick(self, now: int) -> int | None:
        """Does the work that is due by time alone.

        Returns when to call it again; None if nothing becomes due before the next event.
        """
        snapshot, events = remove_overdue(self.snapshot, now)
        if events:
            self._log_events += events
            self._apply_snapshot(now, snapshot)
        next_time = self.placement.next_slow_start_time()
        if next_time is not None and now >= next_time:
            self.placement.ack_latency = self._ack_latency_on_grid(now)
            self._publish(*self.placement.advance_slow_start(now))
        if self.retirement is not None:
            self._retire(now)
        times = [self.placement.next_slow_start_time(), next_removal_time(self.snapshot)]
        if self.retirement is not None:
            times.append(now + RETIREMENT_POLL_TICKS)
        return min((time for time in times if time is not None), default=None)

    def _ack_latency_on_grid(self, now: int) -> int:
        """The slowest proxy's latency, from its ACKs and from responses that it has not acknowledged.

        It is rounded up to a multiple of the placement's grid (to 0 below half a step), so that a small
        change of the latency changes no weight.
        """
        latencies = [
            max(stream.metrics.ack_latency, stream.endpoints.unacknowledged_time(now))
            for stream in self.streams.values()
        ]
        latency = self._ack_latency.observe(now, max(latencies, default=0))
        grid = self.placement.grid
        return 0 if latency < grid / 2 else int(-(-latency // grid) * grid)

    # changes of settings at run time

    def change_settings(self, now: int, placement: Placement, resource_builder: ResourceBuilder) -> None:
        """Applies changed table groups or resource groups.

        New resources are published at once; obsolete ones are removed after no routes name them (make before
        break).
        """
        placement.ack_latency = self.placement.ack_latency
        placement.update(now, self.snapshot)
        before = {
            (resource_type, name)
            for resource_type in ResourceType
            for name in self.catalog.resources[resource_type]
        }
        self.placement = placement
        self._resource_builder = resource_builder
        bodies = resource_builder.build_static(placement)
        bodies[ResourceType.EDS] = self._build_assignments(
            resource_builder, placement, placement.cluster_names()
        )
        after = {(resource_type, name) for resource_type, by_name in bodies.items() for name in by_name}
        self._retire(now, must_finish=True)
        obsolete = sorted(before - after)
        if obsolete:
            self.retirement = Retirement(now + MAX_RETIREMENT_TICKS, obsolete)
        self.catalog.update(self.snapshot.index, bodies)
        self._update_views()
        self.ready_streams.update(self.streams)

    def change_access(self, access: NodeAccess) -> None:
        """Applies changed node rules, to open streams too.

        Resources that a node may no longer see are removed from it, and streams of nodes that are no longer
        known are ended.
        """
        self._access = access
        for stream in self.streams.values():
            if stream.node is not None:
                stream.reset_visibility(is_node_unknown=not access.is_known(stream.node))
        self.ready_streams.update(self.streams)

    def _retire(self, now: int, must_finish: bool = False) -> None:
        """Removes obsolete resources if all routes without them have been answered or their time is over."""
        if self.retirement is None:
            return
        routes = (stream.subscriptions[ResourceType.RDS] for stream in self.streams.values())
        is_due = must_finish or now >= self.retirement.until
        if is_due or all(subscription.is_fully_answered() for subscription in routes):
            obsolete = self.retirement.resources
            self.retirement = None
            self.catalog.update(self.snapshot.index, {}, obsolete)
            self._update_views()
            self.ready_streams.update(self.streams)

    # streams

    def open_stream(self, now: int, variant: Variant) -> int:
        """Opens a stream and returns its number. Raises StreamRejectedError."""
        if len(self.streams) >= self._access.max_streams:
            self._counters.streams_rejected += 1
            raise StreamRejectedError("too many streams")
        self._last_stream += 1
        self._counters.streams += 1
        number = self._last_stream
        self.streams[number] = DiscoveryStream(
            number, variant, now, self.catalog, self._is_visible, self._drain_grace, self._ttl, self.views
        )
        return number

    def identify(self, number: int, node: str) -> None:
        """Sets or checks the node of a stream, as a request names it. Raises StreamRejectedError."""
        stream = self.streams[number]
        if stream.node is not None:
            if node and node != stream.node:
                raise StreamRejectedError("the stream's requests name different nodes")
            return
        if not node or len(node) > MAX_NODE_CHARACTERS:
            raise StreamRejectedError("the node's name is missing or too long")
        if not self._access.is_known(node):
            raise StreamRejectedError(f"node {node} is not known here")
        open_count = sum(other.node == node for other in self.streams.values())
        if open_count >= self._access.max_streams_per_node:
            raise StreamRejectedError(f"node {node} has too many streams")
        stream.node = node

    def _is_visible(self, node: str | None, resource_type: ResourceType, name: str) -> bool:
        groups = self._access.groups_of(node)
        return groups is None or self._resource_builder.belongs_to(
            self.placement, resource_type, name, groups
        )

    def close_stream(self, number: int) -> None:
        """Removes a stream."""
        stream = self.streams.pop(number, None)
        self.ready_streams.discard(number)
        if stream is not None:
            stream.endpoints.knowledge.forget()
            self._log_events += [OnStream(event, stream.node, None) for event in stream.take_log_events()]

    def next_response(self, number: int, now: int) -> DiscoveryResponse | None:
        """The response to send on a stream now, None if there is none. Raises StreamProtocolError."""
        stream = self.streams[number]
        response = stream.next_response(now)
        for event in stream.take_log_events():
            self._log_events.append(OnStream(event, stream.node, number))
        return response

    # load reports, log and status

    def report_load(self, now: int, key: LoadKey, succeeded: int, failed: int, in_progress: int) -> None:
        """Records a load report: requests that ended since the last report, and those in progress."""
        self._load_reports.record(now, key, succeeded, failed, in_progress)
        self._counters.load_reports += 1

    def requests_in_progress(self, now: int) -> float | None:
        """Requests in progress at all endpoints, None if no proxy reports."""
        return self._load_reports.requests_in_progress(now)

    def take_log_events(self) -> list[LogEvent]:
        """Returns the events to log since the last call."""
        events = self._log_events
        self._log_events = []
        return events

    def status(self, now: int) -> dict[str, Any]:
        """The status for operators, by the names of the log and of the client status."""
        return {
            "index": self.snapshot.index,
            "old": self.snapshot.is_restored,
            "served": self.is_serving,
            "generation": self.catalog.generation,
            "engines": len(self.snapshot.endpoints),
            "ready": len(self.snapshot.ready()),
            "missing": len(self.snapshot.missing),
            "lateness_ms": to_milliseconds(self._ack_latency.latency),
            "counts": self._counters.counts(),
            "nodes": [
                self._stream_status(now, stream)
                for stream in self.streams.values()
                if stream.node is not None
            ],
        }

    @staticmethod
    def _stream_status(now: int, stream: DiscoveryStream) -> dict[str, Any]:
        return {
            "node": stream.node,
            "stream": stream.number,
            "variant": stream.variant.value,
            "types": stream.status(now),
            "lag_ms": to_milliseconds(stream.metrics.ack_latency),
            **stream.metrics.counts(),
        }
