"""An xDS client in memory, and a control plane whose resources are JSON instead of protobuf."""

from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

import orjson
from bench_free import group, site

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds.catalog import CachedResource
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.encoder import sent_resource
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest, DiscoveryResponse, Variant
from wickvane.xds.placement import PlacedEndpoint, Placement
from wickvane.xds.resource_types import ResourceType

TABLES = (1, 2, 3)
CDS, EDS, LDS, RDS = ResourceType
SOTW, DELTA = Variant
STEP = 600  # ticks between two responses, longer than MIN_RESPONSE_INTERVAL_TICKS


def entry(
    name: str,
    state: EngineState = EngineState.READY,
    started: float = 0,
    kind: str = "old",
    zone: str = "dc",
    port: int | None = None,
) -> tuple:
    """An entry of the endpoint list; started: start of its process in milliseconds."""
    return name, ("127.0.0.1", port or 1000 + int(name[1:])), state, zone, kind, 0, started, 1.0


class JsonResources:
    """Encodes resources as JSON instead of protobuf."""

    def build_static(self, placement: Placement) -> dict[ResourceType, dict[str, bytes]]:
        return {
            CDS: {name: b"c" for name in placement.cluster_names()},
            LDS: {name: b"l" for name in placement.class_of},
            RDS: {name: b"r" for name in placement.class_of},
        }

    def build_assignment(self, name: str, endpoints: Iterable[PlacedEndpoint]) -> bytes:
        return orjson.dumps([[placed.name, placed.priority, placed.weight] for placed in endpoints])

    def belongs_to(
        self, placement: Placement, resource_type: ResourceType, name: str, groups: Collection[str]
    ) -> bool:
        return name in groups if resource_type in (LDS, RDS) else name.partition("/")[0] in groups


def build_placement(groups: list | None = None, **settings: Any) -> Placement:
    """Creates a placement with these resource groups, by default with one."""
    deployment = site(groups or [group()], **settings)
    names = [f"g{number}" for number in range(len(deployment.groups))]
    return Placement(deployment, names, TABLES, 2, ["old", "new"], ["dc", "far"])


def build_control_plane(**settings: Any) -> ControlPlane:
    """Creates a control plane with a drain grace period of two seconds."""
    return ControlPlane(build_placement(), JsonResources(), 2 * TICKS_PER_SECOND, **settings)


class Received(NamedTuple):
    """A response that is not answered yet; index: index of the endpoint list from which it is derived."""

    response: DiscoveryResponse
    resources: dict[str, CachedResource]
    index: int


class InMemoryProxy:
    """An xDS client that stores the resources that it was sent, by type."""

    def __init__(self, variant: Variant, name: str) -> None:
        self.variant = variant
        self.name = name
        self.held: list[dict[str, bytes]] = [{} for _ in ResourceType]
        self.versions: list[dict[str, str]] = [{} for _ in ResourceType]
        self.type_versions = ["" for _ in ResourceType]
        self.control_plane: ControlPlane | None = None
        self.number: int | None = None
        self.unanswered: list[Received] = []
        self.newest_index = 0  # of the newest list from which an accepted response is derived

    def connect(self, control_plane: ControlPlane, now: int) -> None:
        """Opens a stream and subscribes to all resources, with the versions that it holds."""
        self.disconnect(now)
        self.control_plane = control_plane
        self.number = control_plane.open_stream(now, self.variant)
        self.unanswered = []
        control_plane.identify(self.number, self.name)
        for resource_type in ResourceType:
            names = self._subscribed_names(resource_type)
            versions = self.versions[resource_type]
            self._send(now, resource_type, "", names, versions, None)

    @staticmethod
    def _subscribed_names(resource_type: ResourceType) -> list[str]:
        if resource_type == EDS:
            return [f"g0/{table}" for table in (0, *TABLES)]
        return ["g0"] if resource_type == RDS else []

    def _send(
        self,
        now: int,
        resource_type: ResourceType,
        nonce: str,
        names: list[str],
        versions: dict[str, str],
        error: str | None,
    ) -> None:
        """Sends a request; names, versions: those of the first request (incremental variant only)."""
        if self.variant is SOTW:
            version = self.type_versions[resource_type]
            request = DiscoveryRequest(
                resource_type, version, nonce, self._subscribed_names(resource_type), error
            )
        else:
            request = DeltaDiscoveryRequest(resource_type, nonce, names, [], versions, error)
        self.control_plane.streams[self.number].receive(now, request)

    def disconnect(self, now: int) -> None:
        """Closes the stream if one is open."""
        if self.control_plane is not None and self.number in self.control_plane.streams:
            self.control_plane.close_stream(self.number)
        self.control_plane = None

    def receive(self, now: int) -> bool:
        """Receives the next response without answering it, and returns whether there was one."""
        response = self.control_plane.next_response(self.number, now)
        if response is None:
            return False
        catalog = self.control_plane.catalog
        received = {name: sent_resource(catalog, response, name) for name in response.names}
        self.unanswered.append(Received(response, received, self.control_plane.snapshot.index))
        return True

    def answer(self, now: int, reject: bool) -> None:
        """Applies and acknowledges the oldest unanswered response, or rejects it."""
        if not self.unanswered:
            return
        received = self.unanswered.pop(0)
        if not reject and not received.response.is_heartbeat:
            self._apply(received)
        error = "no" if reject else None
        response = received.response
        self._send(now, response.resource_type, response.nonce, [], {}, error)

    def _apply(self, received: Received) -> None:
        response = received.response
        resource_type = response.resource_type
        if self.variant is SOTW and resource_type in (CDS, LDS):
            self.held[resource_type].clear()
        for name, resource in received.resources.items():
            self.held[resource_type][name] = resource.body
            self.versions[resource_type][name] = resource.version
        for name in response.removed:
            self.held[resource_type].pop(name, None)
            self.versions[resource_type].pop(name, None)
        self.type_versions[resource_type] = response.version
        if resource_type == EDS:
            self.newest_index = max(self.newest_index, received.index)

    def sends_to(self) -> set[str]:
        """The endpoints to which the proxy sends requests."""
        return {row[0] for body in self.held[EDS].values() for row in orjson.loads(body) if row[2]}


def settle(proxy: InMemoryProxy, now: int, times: int = 30) -> int:
    """Lets a proxy receive and acknowledge responses, and returns the time afterwards."""
    for step in range(times):
        if proxy.receive(now + STEP * step):
            proxy.answer(now + STEP * step, False)
    return now + STEP * times
