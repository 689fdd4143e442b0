"""A stand-in proxy that only follows xDS, from the published protocol.

It speaks both variants on an aggregated stream, and records what it holds and when each update came.
"""

import asyncio
import time
from collections.abc import Collection, Iterator
from enum import Enum
from typing import Any, NamedTuple

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

TYPE_URL_PREFIX = "type.googleapis.com/envoy.config."
CDS = TYPE_URL_PREFIX + "cluster.v3.Cluster"
EDS = TYPE_URL_PREFIX + "endpoint.v3.ClusterLoadAssignment"
LDS = TYPE_URL_PREFIX + "listener.v3.Listener"
RDS = TYPE_URL_PREFIX + "route.v3.RouteConfiguration"
TYPE_URLS = (CDS, EDS, LDS, RDS)
SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
WRAPPED_RESOURCE = "discovery.v3.Resource"
SUPPORTS_TTL = "xds.config.supports-resource-ttl"
USABLE_HEALTH = (health_check_pb2.HEALTHY, health_check_pb2.UNKNOWN)
NACK_REASON = "this proxy takes nothing"
NEVER_READS_S = 3600
SOTW = "sotw"


class Answer(Enum):
    """What a proxy does with responses."""

    ACK = "ack"
    NACK = "nack"
    NOTHING = "nothing"


class Update(NamedTuple):
    """A response that was received."""

    received_at: float
    type_url: str
    names: list[str]
    removed: list[str]


class ClusterEndpoint(NamedTuple):
    """An endpoint that a proxy sends requests to."""

    name: str
    priority: int
    weight: int


class Proxy:
    """One proxy.

    answer_delay: seconds before it answers; reads: whether it reads responses at all; clusters: the EDS
    resources that it subscribes to, None for those of all clusters.
    """

    def __init__(
        self,
        node: str,
        variant: str = "delta",
        answer: Answer = Answer.ACK,
        answer_delay: float = 0.0,
        reads: bool = True,
        clusters: Collection[str] | None = None,
    ) -> None:
        self.node = node
        self.held: dict[str, dict[str, bytes]] = {url: {} for url in TYPE_URLS}  # bodies by name
        self.updates: list[Update] = []
        self.endpoints: dict[str, list[ClusterEndpoint]] = {}  # by cluster
        self.stopped_sending_at: dict[str, float] = {}  # by endpoint: when no cluster had it any longer
        self.response_count = 0
        self.received_bytes = 0
        self.channel: grpc.aio.Channel | None = None  # set by the owner of its event loop, as is the task
        self.task: asyncio.Future | None = None
        self.end_status: tuple[grpc.StatusCode, str] | None = None
        self._variant = variant
        self._answer = answer
        self._answer_delay = answer_delay
        self._reads = reads
        self._clusters = clusters
        self._versions: dict[str, dict[str, str]] = {url: {} for url in TYPE_URLS}
        self._type_versions = dict.fromkeys(TYPE_URLS, "")
        self._subscribed: dict[str, list[str]] = {}
        self._call: Any = None

    @property
    def _is_sotw(self) -> bool:
        return self._variant == SOTW

    def sends_to(self) -> set[str]:
        """The endpoints that it would send requests to."""
        return {endpoint.name for members in self.endpoints.values() for endpoint in members}

    def endpoint_updates(self) -> int:
        """How many responses about endpoints it has taken."""
        return sum(update.type_url == EDS for update in self.updates)

    # requests

    def _initial_subscriptions(self) -> Iterator[tuple[str, list[str]]]:
        for url in (CDS, LDS):
            yield url, []
        if self._clusters is not None:
            yield EDS, sorted(self._clusters)
        elif self.held[CDS]:
            yield EDS, sorted(self.held[CDS])  # as before the stream was lost
        if self.held[LDS]:
            yield RDS, sorted(self.held[LDS])

    def _request(
        self,
        url: str,
        names: Collection[str] = (),
        nonce: str = "",
        error: str | None = None,
        is_first: bool = False,
    ) -> Any:
        if self._is_sotw:
            request = discovery_pb2.DiscoveryRequest(
                type_url=url,
                version_info=self._type_versions[url],
                resource_names=names,
                response_nonce=nonce,
            )
        else:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, response_nonce=nonce)
            if is_first:
                request.resource_names_subscribe.extend(names)
                request.initial_resource_versions.update(self._versions[url])
        if is_first:
            request.node.id = self.node
            request.node.client_features.append(SUPPORTS_TTL)
        if error:
            request.error_detail.message = error
        return request

    # the stream

    async def run(self, channel: grpc.aio.Channel) -> None:
        """Follows one stream until it ends; the resources stay."""
        self._call = self._open(channel)
        self._subscribed = {CDS: [], LDS: []}
        try:
            # A call that the server has ended already rejects the next write.
            for url, names in self._initial_subscriptions():
                self._subscribed[url] = names
                await self._call.write(self._request(url, names, is_first=True))
            if not self._reads:
                await asyncio.sleep(NEVER_READS_S)
            while (received := await self._call.read()) is not grpc.aio.EOF:
                byte_count, response = received
                self.received_bytes += byte_count
                await self._take(response)
        except (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            pass
        self.end_status = await self._call.code(), await self._call.details()

    def _open(self, channel: grpc.aio.Channel) -> Any:
        if self._is_sotw:
            method = "StreamAggregatedResources"
            response_class = discovery_pb2.DiscoveryResponse
        else:
            method = "DeltaAggregatedResources"
            response_class = discovery_pb2.DeltaDiscoveryResponse
        return channel.stream_stream(
            SERVICE + method,
            request_serializer=lambda request: request.SerializeToString(),
            response_deserializer=lambda data: (len(data), response_class.FromString(data)),
        )()

    async def _take(self, response: Any) -> None:
        url = response.type_url
        if self._answer_delay:
            await asyncio.sleep(self._answer_delay)
        is_rejected = self._answer is Answer.NACK
        names = [] if is_rejected else self._apply(response)
        self.response_count += 1
        removed = list(getattr(response, "removed_resources", ()))
        self.updates.append(Update(time.monotonic(), url, names, removed))
        if self._answer is not Answer.NOTHING:
            error = NACK_REASON if is_rejected else None
            names = self._subscribed.get(url, ())
            await self._call.write(self._request(url, names, response.nonce, error))
        if not is_rejected:
            await self._follow_up(url)

    async def _follow_up(self, url: str) -> None:
        """Subscribes to the endpoints of the clusters and the routes of the listeners that it has by now."""
        for source, target in ((CDS, EDS), (LDS, RDS)):
            names = sorted(self.held[source])
            if url != source or not names or self._clusters is not None and target == EDS:
                continue
            before = self._subscribed.get(target)
            if before is None or (self._is_sotw and before != names):
                self._subscribed[target] = names
                await self._call.write(self._request(target, names, is_first=before is None))

    # responses

    def _apply(self, response: Any) -> list[str]:
        """Takes in a response; the names of its resources."""
        names = self._apply_sotw(response) if self._is_sotw else self._apply_delta(response)
        if response.type_url == EDS:
            self._update_endpoints(names)
        return names

    def _apply_sotw(self, response: discovery_pb2.DiscoveryResponse) -> list[str]:
        url = response.type_url
        self._type_versions[url] = response.version_info
        bodies = [body for resource in response.resources if (body := _body_of(resource)) is not None]
        found = {name_of(url, body): body for body in bodies}
        if url in (CDS, LDS):
            self.held[url].clear()
        self.held[url].update(found)
        return list(found)

    def _apply_delta(self, response: discovery_pb2.DeltaDiscoveryResponse) -> list[str]:
        url = response.type_url
        names = []
        for resource in response.resources:
            if resource.HasField("resource"):
                self.held[url][resource.name] = resource.resource.value
                self._versions[url][resource.name] = resource.version
                names.append(resource.name)
        for name in response.removed_resources:
            self.held[url].pop(name, None)
            self._versions[url].pop(name, None)
            self.endpoints.pop(name, None)
        return names

    def _update_endpoints(self, clusters: Collection[str]) -> None:
        before = self.sends_to()
        for cluster in clusters:
            self.endpoints[cluster] = endpoints_of(self.held[EDS][cluster])
        now = time.monotonic()
        for name in before - self.sends_to():
            self.stopped_sending_at[name] = now


def _body_of(resource: Any) -> bytes | None:
    """The encoded resource, None in a heartbeat."""
    if not resource.type_url.endswith(WRAPPED_RESOURCE):
        return resource.value
    wrapped = discovery_pb2.Resource.FromString(resource.value)
    return wrapped.resource.value if wrapped.HasField("resource") else None


def name_of(url: str, body: bytes) -> str:
    """The name in an encoded resource."""
    if url == EDS:
        return endpoint_pb2.ClusterLoadAssignment.FromString(body).cluster_name
    classes = {CDS: cluster_pb2.Cluster, LDS: listener_pb2.Listener, RDS: route_pb2.RouteConfiguration}
    return classes[url].FromString(body).name


def endpoints_of(body: bytes) -> list[ClusterEndpoint]:
    """The endpoints in an encoded assignment that a proxy sends requests to: none that drains."""
    return [
        ClusterEndpoint(endpoint.endpoint.hostname, locality.priority, endpoint.load_balancing_weight.value)
        for locality in endpoint_pb2.ClusterLoadAssignment.FromString(body).endpoints
        for endpoint in locality.lb_endpoints
        if endpoint.health_status in USABLE_HEALTH
    ]
