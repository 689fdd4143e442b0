"""The gRPC services that proxies call: aggregated discovery (ADS), load reporting (LRS) and client status
discovery (CSDS).

Each discovery stream has one task that reads and one that writes, so that a slow proxy blocks only the writer
of its own stream.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2
from google.protobuf import duration_pb2
from google.protobuf.message import DecodeError

from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.units import to_seconds
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.encoder import ResponseEncoder
from wickvane.xds.errors import StreamProtocolError, StreamRejectedError
from wickvane.xds.load_reports import LoadKey
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest, DiscoveryResponse, Variant
from wickvane.xds.resource_types import RESOURCE_TYPE_BY_URL, ResourceType
from wickvane.xds.stream import DiscoveryStream
from wickvane.xds.tls import check_identity

FIRST_REQUEST_TIMEOUT_S = 10.0
MIN_WAIT_S = 0.0005
LOAD_REPORT_INTERVAL_S = 10
SUPPORTS_TTL = "xds.config.supports-resource-ttl"  # client feature
MAX_NODE_CHARACTERS = 256
MAX_CLUSTER_CHARACTERS = 512
MAX_ENDPOINT_CHARACTERS = 128
NO_ENDPOINT = ""  # in load statistics of a whole locality
STREAM_METADATA = ("stream", "variant", "lag_ms", "sent", "acknowledged", "refused", "told-again", "late")

Context = grpc.aio.ServicerContext


class EndReason(Enum):
    """Why a discovery stream has ended; values: the words in the log."""

    CLOSED = "closed"
    REJECTED = "refused"
    STALLED = "stalled"
    LOST = "lost"


@dataclass(slots=True)
class ServiceContext:
    """The objects that the services share; log_events: writes the control plane's events to the log."""

    control_plane: ControlPlane
    clock: Clock
    log: Log
    counters: Counters
    log_events: Callable[[], None]
    has_mutual_tls: bool

    def check_identity(self, context: Context, node: str) -> None:
        """With mutual TLS, checks that the certificate is the node's. Raises StreamRejectedError."""
        if self.has_mutual_tls:
            check_identity(context, node)


def _unchanged_bytes(data: bytes) -> bytes:
    return data


class DiscoveryService:
    """The aggregated discovery service (ADS).

    stall_timeout: seconds within which a proxy must read a response.
    """

    def __init__(self, service: ServiceContext, stall_timeout: float) -> None:
        self._service = service
        self._control_plane = service.control_plane
        self._clock = service.clock
        self._stall_timeout = stall_timeout
        self._encoder = ResponseEncoder(service.control_plane.catalog)
        self._wake_events: dict[int, asyncio.Event] = {}

    def handler(self) -> grpc.GenericRpcHandler:
        """The RPC handlers to register with the gRPC server."""
        return grpc.method_handlers_generic_handler(
            "envoy.service.discovery.v3.AggregatedDiscoveryService",
            {
                "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self._serve_sotw, discovery_pb2.DiscoveryRequest.FromString, _unchanged_bytes
                ),
                "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self._serve_delta, discovery_pb2.DeltaDiscoveryRequest.FromString, _unchanged_bytes
                ),
            },
        )

    def wake_ready_streams(self) -> None:
        """Wakes the streams that may have a response to send."""
        ready = self._control_plane.ready_streams
        for number in sorted(ready):
            if number in self._wake_events:
                self._wake_events[number].set()
        ready.clear()

    async def _serve_sotw(self, requests: AsyncIterator[Any], context: Context) -> None:
        await self._serve(Variant.SOTW, requests, context)

    async def _serve_delta(self, requests: AsyncIterator[Any], context: Context) -> None:
        await self._serve(Variant.DELTA, requests, context)

    async def _serve(self, variant: Variant, requests: AsyncIterator[Any], context: Context) -> None:
        """Serves one stream from its first request to its end."""
        reason = EndReason.CLOSED
        number = None
        try:
            number = self._control_plane.open_stream(self._clock.now(), variant)
            await self._run(number, variant, requests, context)
        except StreamRejectedError as error:
            reason = EndReason.REJECTED
            await self._reject(context, grpc.StatusCode.PERMISSION_DENIED, error)
        except StreamProtocolError as error:
            reason = EndReason.REJECTED
            await self._reject(context, grpc.StatusCode.RESOURCE_EXHAUSTED, error)
        except TimeoutError:
            reason = EndReason.STALLED
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED,
                "the proxy neither sent requests nor read responses in time",
            )
        except asyncio.CancelledError:
            reason = EndReason.LOST
            raise
        except (grpc.RpcError, grpc.aio.UsageError, DecodeError):
            reason = EndReason.LOST
        finally:
            self._wake_events.pop(number, None)
            if number is not None:
                self._close(number, variant, reason)

    async def _run(
        self, number: int, variant: Variant, requests: AsyncIterator[Any], context: Context
    ) -> None:
        wake_event = asyncio.Event()
        self._wake_events[number] = wake_event
        first_request = await asyncio.wait_for(anext(requests, None), FIRST_REQUEST_TIMEOUT_S)
        if first_request is None:
            return
        self._control_plane.identify(number, first_request.node.id)
        self._service.check_identity(context, first_request.node.id)
        stream = self._control_plane.streams[number]
        if variant is Variant.SOTW and SUPPORTS_TTL not in first_request.node.client_features:
            stream.ttl = 0
        self._receive(stream, first_request)
        reader = asyncio.ensure_future(self._read(stream, requests, wake_event))
        try:
            await self._write(stream, context, wake_event, reader)
        finally:
            reader.cancel()

    async def _reject(self, context: Context, code: grpc.StatusCode, error: Exception) -> None:
        self._service.log.line("proxy-refused", why=str(error), peer=context.peer())
        await context.abort(code, str(error))

    def _close(self, number: int, variant: Variant, reason: EndReason) -> None:
        stream = self._control_plane.streams.get(number)
        self._service.log.line(
            "proxy-connection-ended",
            reason=reason.value,
            stream=number,
            node=stream and stream.node,
            variant=variant.value,
            **(stream.metrics.counts() if stream else {}),
        )
        self._control_plane.close_stream(number)
        self._service.counters.add(f"proxy-connections-ended-{reason.value}")

    def _receive(self, stream: DiscoveryStream, request: Any) -> None:
        resource_type = RESOURCE_TYPE_BY_URL.get(request.type_url)
        if resource_type is not None:  # requests for types that are not served are ignored
            decode = decode_sotw if stream.variant is Variant.SOTW else decode_delta
            stream.receive(self._clock.now(), decode(resource_type, request))

    async def _read(
        self, stream: DiscoveryStream, requests: AsyncIterator[Any], wake_event: asyncio.Event
    ) -> None:
        try:
            async for request in requests:
                if request.node.id:
                    self._control_plane.identify(stream.number, request.node.id)
                self._receive(stream, request)
                wake_event.set()
        finally:
            wake_event.set()

    async def _write(
        self, stream: DiscoveryStream, context: Context, wake_event: asyncio.Event, reader: asyncio.Future
    ) -> None:
        while True:
            wake_event.clear()
            if reader.done():
                await reader  # raises the error that ended it, if any
                return
            now = self._clock.now()
            response = self._control_plane.next_response(stream.number, now)
            self._service.log_events()
            if response is None:
                await self._wait(stream, now, wake_event)
                continue
            data = self._encoder.encode(stream.variant, response, stream.ttl)
            self._count(response, len(data))
            await asyncio.wait_for(context.write(data), self._stall_timeout)

    @staticmethod
    async def _wait(stream: DiscoveryStream, now: int, wake_event: asyncio.Event) -> None:
        """Waits until the stream may have a response to send."""
        next_time = stream.next_response_time(now)
        timeout = None if next_time is None else max(MIN_WAIT_S, to_seconds(next_time - now))
        try:
            await asyncio.wait_for(wake_event.wait(), timeout)
        except TimeoutError:
            pass

    def _count(self, response: DiscoveryResponse, byte_count: int) -> None:
        counters = self._service.counters
        counters.add(f"sent-{response.resource_type.name}")
        counters.add("octets-sent", byte_count)
        if response.is_drain:
            counters.add("drains-sent")
        if response.is_heartbeat:
            counters.add("heartbeats-sent")


def _error_of(request: Any) -> str | None:
    return request.error_detail.message if request.HasField("error_detail") else None


def decode_sotw(resource_type: ResourceType, request: discovery_pb2.DiscoveryRequest) -> DiscoveryRequest:
    """Converts a state-of-the-world request from protobuf."""
    return DiscoveryRequest(
        resource_type,
        request.version_info,
        request.response_nonce,
        request.resource_names,
        _error_of(request),
    )


def decode_delta(
    resource_type: ResourceType, request: discovery_pb2.DeltaDiscoveryRequest
) -> DeltaDiscoveryRequest:
    """Converts an incremental request from protobuf."""
    return DeltaDiscoveryRequest(
        resource_type,
        request.response_nonce,
        request.resource_names_subscribe,
        request.resource_names_unsubscribe,
        request.initial_resource_versions,
        _error_of(request),
    )


class LoadReportingService:
    """The load reporting service (LRS)."""

    def __init__(self, service: ServiceContext) -> None:
        self._service = service

    def handler(self) -> grpc.GenericRpcHandler:
        """The RPC handlers to register with the gRPC server."""
        return grpc.method_handlers_generic_handler(
            "envoy.service.load_stats.v3.LoadReportingService",
            {
                "StreamLoadStats": grpc.stream_stream_rpc_method_handler(
                    self._serve,
                    lrs_pb2.LoadStatsRequest.FromString,
                    lrs_pb2.LoadStatsResponse.SerializeToString,
                )
            },
        )

    async def _serve(self, requests: AsyncIterator[lrs_pb2.LoadStatsRequest], context: Context) -> None:
        node = None
        async for request in requests:
            if node is None:
                node = request.node.id[:MAX_NODE_CHARACTERS]
                await self._start(node, context)
            for cluster in request.cluster_stats:
                self._report(node, cluster)

    async def _start(self, node: str, context: Context) -> None:
        try:
            self._service.check_identity(context, node)
        except StreamRejectedError as error:
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        await context.write(
            lrs_pb2.LoadStatsResponse(
                send_all_clusters=True,
                report_endpoint_granularity=True,
                load_reporting_interval=duration_pb2.Duration(seconds=LOAD_REPORT_INTERVAL_S),
            )
        )

    def _report(self, node: str, cluster: Any) -> None:
        now = self._service.clock.now()
        cluster_name = cluster.cluster_name[:MAX_CLUSTER_CHARACTERS]
        for locality in cluster.upstream_locality_stats:
            for endpoint, stats in _endpoint_stats(locality):
                self._service.control_plane.report_load(
                    now,
                    LoadKey(node, cluster_name, endpoint[:MAX_ENDPOINT_CHARACTERS]),
                    stats.total_successful_requests,
                    stats.total_error_requests,
                    stats.total_requests_in_progress,
                )


def _endpoint_stats(locality: Any) -> list[tuple[str, Any]]:
    """The statistics of each endpoint by address, or those of the whole locality if there are none."""
    statistics = []
    for stats in locality.upstream_endpoint_stats:
        address = stats.address.socket_address
        statistics.append((f"{address.address}:{address.port_value}", stats))
    if not statistics:
        statistics.append((NO_ENDPOINT, locality))
    return statistics


class ClientStatusService:
    """The client status discovery service (CSDS); endpoint_source: watched files, None if there are none."""

    def __init__(self, service: ServiceContext, endpoint_source: Any = None) -> None:
        self._service = service
        self._endpoint_source = endpoint_source

    def handler(self) -> grpc.GenericRpcHandler:
        """The RPC handlers to register with the gRPC server."""
        return grpc.method_handlers_generic_handler(
            "envoy.service.status.v3.ClientStatusDiscoveryService",
            {
                "FetchClientStatus": grpc.unary_unary_rpc_method_handler(
                    self._fetch,
                    csds_pb2.ClientStatusRequest.FromString,
                    csds_pb2.ClientStatusResponse.SerializeToString,
                )
            },
        )

    async def _fetch(
        self, request: csds_pb2.ClientStatusRequest, context: Context
    ) -> csds_pb2.ClientStatusResponse:
        response = csds_pb2.ClientStatusResponse()
        snapshot = self._service.control_plane.snapshot
        for status in self._service.control_plane.status(self._service.clock.now())["nodes"]:
            config = response.config.add(node=base_pb2.Node(id=status["node"]))
            metadata = config.node.metadata
            metadata.update({name: status[name] for name in STREAM_METADATA})
            metadata.update({"index": snapshot.index, "old": snapshot.is_restored})
            if self._endpoint_source:
                generations = self._endpoint_source.endpoint_list.generations
                metadata.update({"generation": generations.number, "digest": generations.target.digest})
            for type_name, type_status in status["types"].items():
                _add_type_status(config, ResourceType[type_name], type_status)
        return response


def _add_type_status(
    config: csds_pb2.ClientConfig, resource_type: ResourceType, status: dict[str, Any]
) -> None:
    xds_config = config.generic_xds_configs.add(
        type_url=resource_type.type_url, version_info=status["version"]
    )
    if status["synced"]:
        xds_config.config_status = csds_pb2.SYNCED
    elif status["refused"]:
        xds_config.config_status = csds_pb2.ERROR
    else:
        xds_config.config_status = csds_pb2.STALE
    if status["refused"]:
        xds_config.error_state.details = status["refused"]
