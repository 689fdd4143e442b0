"""The load reporting service (LRS) on loopback."""

import queue

import grpc
from bench_free import until
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from xds_service.service_rig import RunningService

METHOD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"


def request_with(locality: load_report_pb2.UpstreamLocalityStats) -> lrs_pb2.LoadStatsRequest:
    """A load report on one cluster."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = "edge-1"
    cluster = load_report_pb2.ClusterStats(cluster_name="lookup/1", upstream_locality_stats=[locality])
    request.cluster_stats.append(cluster)
    return request


def test_load_reports_of_endpoints_and_of_localities_are_counted():
    by_endpoint = load_report_pb2.UpstreamLocalityStats()
    for port, in_progress in ((1, 3), (2, 4)):
        stats = by_endpoint.upstream_endpoint_stats.add(total_requests_in_progress=in_progress)
        stats.address.socket_address.address = "10.0.0.1"
        stats.address.socket_address.port_value = port
    by_locality = load_report_pb2.UpstreamLocalityStats(total_requests_in_progress=5)
    service = RunningService()
    requests: queue.Queue = queue.Queue()
    with grpc.insecure_channel(f"127.0.0.1:{service.port}") as channel:
        call = channel.stream_stream(
            METHOD,
            request_serializer=lrs_pb2.LoadStatsRequest.SerializeToString,
            response_deserializer=lrs_pb2.LoadStatsResponse.FromString,
        )
        responses = call(iter(requests.get, None), timeout=20)
        requests.put(request_with(by_endpoint))
        first = next(responses)
        assert first.send_all_clusters and first.report_endpoint_granularity
        assert first.load_reporting_interval.seconds == 10
        control_plane = service.server.control_plane
        until(lambda: control_plane.requests_in_progress(service.server.clock.now()) == 7.0)
        requests.put(request_with(by_locality))
        until(lambda: control_plane.requests_in_progress(service.server.clock.now()) == 12.0)
        assert control_plane.status(0)["counts"]["loads"] == 3
        requests.put(None)
    service.stop()
