"""A proxy that only follows xDS, from the published protocol: aggregated streams of both variants, what it
holds, and when each update came."""

import asyncio
import time

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

BASE = "type.googleapis.com/envoy.config."
CDS, EDS, LDS, RDS = (
    BASE + "cluster.v3.Cluster",
    BASE + "endpoint.v3.ClusterLoadAssignment",
    BASE + "listener.v3.Listener",
    BASE + "route.v3.RouteConfiguration",
)
SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
HEALTHY, UNKNOWN = 1, 0


class Proxy:
    """answers: "ack", "refuse", or "nothing"; late: seconds before it does; reads: whether it reads."""

    def __init__(self, node, variant="delta", answers="ack", late=0.0, reads=True, clusters=None):
        self.node, self.variant, self.answers, self.late, self.reads = node, variant, answers, late, reads
        self.held = {url: {} for url in (CDS, EDS, LDS, RDS)}  # name: body
        self.versions = {url: {} for url in self.held}
        self.whole = dict.fromkeys(self.held, "")
        self.log = []  # (monotonic, type, names, removed)
        self.ends = {}  # cluster: [(engine, priority, weight)] that it would send to
        self.left = {}  # engine: when this proxy last ceased to send to it
        self.named, self.count, self.octets = clusters, 0, 0
        self.call = self.ended = None

    def first(self):
        for url in (CDS, LDS):
            yield url, []
        if self.named is not None:
            yield EDS, sorted(self.named)
        elif self.held[CDS]:
            yield EDS, sorted(self.held[CDS])  # as before the stream was lost
        if self.held[LDS]:
            yield RDS, sorted(self.held[LDS])

    def request(self, url, names=(), nonce="", error=None, begin=False):
        if self.variant == "sotw":
            made = discovery_pb2.DiscoveryRequest(
                type_url=url, version_info=self.whole[url], resource_names=names, response_nonce=nonce
            )
        else:
            made = discovery_pb2.DeltaDiscoveryRequest(type_url=url, response_nonce=nonce)
            if begin:
                made.resource_names_subscribe.extend(names)
                made.initial_resource_versions.update(self.versions[url])
        if begin:
            made.node.id = self.node
            made.node.client_features.append("xds.config.supports-resource-ttl")
        if error:
            made.error_detail.message = error
        return made

    async def run(self, channel):
        """One stream, until it ends; what is held stays."""
        cls = (
            discovery_pb2.DiscoveryResponse
            if self.variant == "sotw"
            else discovery_pb2.DeltaDiscoveryResponse
        )
        name = "StreamAggregatedResources" if self.variant == "sotw" else "DeltaAggregatedResources"
        self.call = channel.stream_stream(
            SERVICE + name,
            request_serializer=lambda request: request.SerializeToString(),
            response_deserializer=lambda data: (len(data), cls.FromString(data)),
        )()
        self.asked = {CDS: [], LDS: []}
        try:
            # A call that the server ended already refuses the next write.
            for url, names in self.first():
                self.asked[url] = names
                await self.call.write(self.request(url, names, begin=True))
            if not self.reads:
                await asyncio.sleep(3600)
            while (got := await self.call.read()) is not grpc.aio.EOF:
                self.octets += got[0]
                await self.take(got[1])
        except (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            pass
        self.ended = await self.call.code(), await self.call.details()

    async def take(self, response):
        url, names = response.type_url, []
        if self.late:
            await asyncio.sleep(self.late)
        if self.answers != "refuse":
            names = self.apply(response)
        self.count += 1
        removed = list(getattr(response, "removed_resources", ()))
        self.log.append((time.monotonic(), url, names, removed))
        error = "this proxy takes nothing" if self.answers == "refuse" else None
        if self.answers != "nothing":
            await self.call.write(self.request(url, self.asked.get(url, ()), response.nonce, error))
        if self.answers == "refuse":
            return
        # Endpoints of the clusters and routes of the listeners that it knows by now.
        for source, target in ((CDS, EDS), (LDS, RDS)):
            wanted = sorted(self.held[source])
            if url != source or not wanted or self.named is not None and target == EDS:
                continue
            before = self.asked.get(target)
            if before is None or self.variant == "sotw" and before != wanted:
                self.asked[target] = wanted
                await self.call.write(
                    self.request(target, wanted, begin=True)
                    if before is None
                    else self.request(target, wanted)
                )

    def apply(self, response):
        url, names = response.type_url, []
        held = self.held[url]
        if self.variant == "sotw":
            self.whole[url] = response.version_info
            found = {}
            for one in response.resources:
                if one.type_url.endswith("discovery.v3.Resource"):
                    inner = discovery_pb2.Resource.FromString(one.value)
                    if not inner.HasField("resource"):
                        continue
                    one = inner.resource
                found[name_of(url, one.value)] = one.value
            if url in (CDS, LDS):
                held.clear()
            held.update(found)
            names = list(found)
        else:
            for one in response.resources:
                if one.HasField("resource"):
                    held[one.name], self.versions[url][one.name] = one.resource.value, one.version
                    names.append(one.name)
            for name in response.removed_resources:
                held.pop(name, None)
                self.versions[url].pop(name, None)
                self.ends.pop(name, None)
        if url == EDS:
            before = self.sends_to()
            for name in names:
                self.ends[name] = ends_of(held[name])
            now = time.monotonic()
            for engine in before - self.sends_to():
                self.left[engine] = now
        return names

    def endpoint_updates(self):
        """How many responses about endpoints it has taken."""
        return sum(url == EDS for _, url, _, _ in self.log)

    def sends_to(self):
        return {engine for ends in self.ends.values() for engine, _, _ in ends}


def name_of(url, body):
    from envoy.config.cluster.v3 import cluster_pb2
    from envoy.config.listener.v3 import listener_pb2
    from envoy.config.route.v3 import route_pb2

    if url == EDS:
        return endpoint_pb2.ClusterLoadAssignment.FromString(body).cluster_name
    return (
        {CDS: cluster_pb2.Cluster, LDS: listener_pb2.Listener, RDS: route_pb2.RouteConfiguration}[url]
        .FromString(body)
        .name
    )


def ends_of(body):
    """What a proxy would send to: none that drains."""
    found = []
    for group in endpoint_pb2.ClusterLoadAssignment.FromString(body).endpoints:
        for end in group.lb_endpoints:
            if end.health_status in (HEALTHY, UNKNOWN):
                found.append((end.endpoint.hostname, group.priority, end.load_balancing_weight.value))
    return found
