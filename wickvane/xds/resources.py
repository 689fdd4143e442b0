"""Encodes the placement as xDS v3 resources (envoy.config.*.v3); it makes no decisions.

Resources are serialized deterministically, since their versions are derived from the bytes.
"""

from collections.abc import Collection, Iterable

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2, outlier_detection_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.adaptive_concurrency.v3 import adaptive_concurrency_pb2 as concurrency_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as hcm_pb2,
)
from envoy.extensions.load_balancing_policies.least_request.v3 import least_request_pb2
from envoy.extensions.load_balancing_policies.round_robin.v3 import round_robin_pb2
from envoy.extensions.load_balancing_policies.wrr_locality.v3 import wrr_locality_pb2
from envoy.type.matcher.v3 import string_pb2
from google.protobuf import any_pb2
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message

from wickvane.units import TICKS_PER_SECOND
from wickvane.xds.placement import (
    CHOICE_COUNT,
    MAX_EJECTION_PERCENT,
    NO_TABLE_GROUP,
    AdaptiveConcurrency,
    CircuitBreakers,
    PlacedEndpoint,
    Placement,
    cluster_name,
)
from wickvane.xds.resource_types import ResourceType

TABLE_GROUP_HEADER = "x-wickvane-table"  # the table group's number, set by the proxy's client or filter
NANOSECONDS_PER_TICK = 100_000
CONNECT_TIMEOUT_TICKS = 2_500
OUTLIER_INTERVAL_TICKS = 2_500
CONSECUTIVE_5XX = 5
CONSECUTIVE_GATEWAY_FAILURES = 3
ENFORCING_PERCENT = 100
MIN_RETRY_CONCURRENCY = 1
ROUND_TRIP_PERCENTILE = 50
PERCENT = 100


def set_duration(message: Duration, ticks: int) -> None:
    """Writes ticks into a protobuf duration."""
    message.seconds = ticks // TICKS_PER_SECOND
    message.nanos = ticks % TICKS_PER_SECOND * NANOSECONDS_PER_TICK


def _encode(message: Message) -> bytes:
    return message.SerializeToString(deterministic=True)


def _pack(message: Message) -> any_pb2.Any:
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _load_balancing_policy(*messages: Message) -> cluster_pb2.LoadBalancingPolicy:
    """A list of policies, of which a client uses the first that it supports."""
    policy = cluster_pb2.LoadBalancingPolicy()
    for message in messages:
        config = policy.policies.add().typed_extension_config
        config.name = message.DESCRIPTOR.full_name
        config.typed_config.CopyFrom(_pack(message))
    return policy


def _aggregated_source() -> config_source_pb2.ConfigSource:
    """The configuration source of resources that are fetched on the same aggregated stream (ADS)."""
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


class ResourceBuilder:
    """Encodes resources; has_load_reporting: whether proxies should report their load to this service."""

    def __init__(self, has_load_reporting: bool = True) -> None:
        self._has_load_reporting = has_load_reporting

    def belongs_to(
        self, placement: Placement, resource_type: ResourceType, name: str, groups: Collection[str]
    ) -> bool:
        """Whether a resource belongs to one of the resource groups."""
        if resource_type in (ResourceType.LDS, ResourceType.RDS):
            return name in groups
        engine_class = name.partition("/")[0]
        return any(placement.class_of.get(group) == engine_class for group in groups)

    def build_static(self, placement: Placement) -> dict[ResourceType, dict[str, bytes]]:
        """The resources that depend on the settings alone, by type and name."""
        clusters = {}
        for engine_class in placement.engine_classes:
            limits = placement.circuit_breakers(engine_class)
            for table_group in placement.table_groups:
                name = cluster_name(engine_class, table_group)
                clusters[name] = self._build_cluster(name, limits)
        limits_of = placement.adaptive_concurrency
        groups = list(placement.class_of)
        return {
            ResourceType.CDS: clusters,
            ResourceType.LDS: {group: self._build_listener(group, limits_of[group]) for group in groups},
            ResourceType.RDS: {group: self._build_routes(group, placement) for group in groups},
        }

    def _build_cluster(self, name: str, limits: CircuitBreakers) -> bytes:
        cluster = cluster_pb2.Cluster(
            name=name,
            type=cluster_pb2.Cluster.EDS,
            eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_aggregated_source()),
        )
        cluster.load_balancing_policy.CopyFrom(self._cluster_policy())
        set_duration(cluster.connect_timeout, CONNECT_TIMEOUT_TICKS)
        cluster.circuit_breakers.thresholds.append(self._thresholds(limits))
        cluster.outlier_detection.CopyFrom(self._outlier_detection(limits))
        if self._has_load_reporting:
            cluster.lrs_server.self.SetInParent()
        return _encode(cluster)

    @staticmethod
    def _cluster_policy() -> cluster_pb2.LoadBalancingPolicy:
        """Weighted least request; clients without it use round robin, weighted by locality."""
        least_request = least_request_pb2.LeastRequest()
        least_request.choice_count.value = CHOICE_COUNT
        by_locality = wrr_locality_pb2.WrrLocality()
        round_robin = _load_balancing_policy(round_robin_pb2.RoundRobin())
        by_locality.endpoint_picking_policy.CopyFrom(round_robin)
        return _load_balancing_policy(least_request, by_locality)

    @staticmethod
    def _thresholds(limits: CircuitBreakers) -> circuit_breaker_pb2.CircuitBreakers.Thresholds:
        thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds()
        thresholds.max_requests.value = limits.max_requests
        thresholds.max_pending_requests.value = limits.max_pending
        thresholds.retry_budget.budget_percent.value = PERCENT * limits.retry_budget
        thresholds.retry_budget.min_retry_concurrency.value = MIN_RETRY_CONCURRENCY
        return thresholds

    @staticmethod
    def _outlier_detection(limits: CircuitBreakers) -> outlier_detection_pb2.OutlierDetection:
        outlier = outlier_detection_pb2.OutlierDetection()
        outlier.consecutive_5xx.value = CONSECUTIVE_5XX
        outlier.consecutive_gateway_failure.value = CONSECUTIVE_GATEWAY_FAILURES
        outlier.enforcing_consecutive_gateway_failure.value = ENFORCING_PERCENT
        outlier.max_ejection_percent.value = MAX_EJECTION_PERCENT
        set_duration(outlier.base_ejection_time, limits.base_ejection)
        set_duration(outlier.max_ejection_time, limits.max_ejection)
        set_duration(outlier.interval, OUTLIER_INTERVAL_TICKS)
        return outlier

    def build_assignment(self, name: str, endpoints: Iterable[PlacedEndpoint]) -> bytes:
        """Encodes a cluster's load assignment."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
        localities: dict[tuple[int, str, int], list[endpoint_components_pb2.LbEndpoint]] = {}
        for placed in endpoints:
            host, port = placed.address
            endpoint = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
            endpoint.endpoint.address.socket_address.CopyFrom(
                address_pb2.SocketAddress(address=host, port_value=port)
            )
            endpoint.endpoint.hostname = placed.name
            endpoint.load_balancing_weight.value = placed.weight
            # Endpoints of equal weight form a locality, for clients that support only weights of localities.
            key = placed.priority, placed.zone, placed.weight
            localities.setdefault(key, []).append(endpoint)
        for (priority, zone, weight), members in sorted(localities.items()):
            locality = assignment.endpoints.add(
                priority=priority, locality=base_pb2.Locality(zone=zone, sub_zone=f"weight-{weight}")
            )
            locality.lb_endpoints.extend(members)
            locality.load_balancing_weight.value = weight * len(members)
        return _encode(assignment)

    def _build_listener(self, group: str, limit: AdaptiveConcurrency) -> bytes:
        """Encodes a resource group's listener, which has the group's name.

        It is the target `xds:///GROUP` of a gRPC client, and an API listener for proxies that have their own
        listeners.
        """
        manager = hcm_pb2.HttpConnectionManager(
            stat_prefix=group,
            rds=hcm_pb2.Rds(route_config_name=group, config_source=_aggregated_source()),
        )
        gradient = concurrency_pb2.GradientControllerConfig()
        gradient.sample_aggregate_percentile.value = ROUND_TRIP_PERCENTILE
        limits = gradient.concurrency_limit_params
        limits.max_concurrency_limit.value = limit.max_concurrency
        set_duration(limits.concurrency_update_interval, limit.update_interval)
        set_duration(gradient.min_rtt_calc_params.fixed_value, limit.round_trip)
        gradient.min_rtt_calc_params.buffer.value = PERCENT * limit.tolerance
        filter_config = concurrency_pb2.AdaptiveConcurrency(gradient_controller_config=gradient)
        # The filter is optional: a client that does not support it ignores it.
        manager.http_filters.append(
            hcm_pb2.HttpFilter(
                name="adaptive-concurrency", is_optional=True, typed_config=_pack(filter_config)
            )
        )
        manager.http_filters.append(
            hcm_pb2.HttpFilter(name="router", typed_config=_pack(router_pb2.Router()))
        )
        api_listener = api_listener_pb2.ApiListener(api_listener=_pack(manager))
        return _encode(listener_pb2.Listener(name=group, api_listener=api_listener))

    @staticmethod
    def _build_routes(group: str, placement: Placement) -> bytes:
        """Encodes the routes, selected by the table group's header.

        Requests without the header are routed to the cluster of NO_TABLE_GROUP.
        """
        engine_class = placement.class_of[group]
        host = route_components_pb2.VirtualHost(name=group, domains=["*"])
        for table_group in placement.table_groups:
            if table_group == NO_TABLE_GROUP:
                continue
            match = route_components_pb2.RouteMatch(prefix="")
            is_table_group = string_pb2.StringMatcher(exact=str(table_group))
            match.headers.append(
                route_components_pb2.HeaderMatcher(name=TABLE_GROUP_HEADER, string_match=is_table_group)
            )
            host.routes.append(_route(match, cluster_name(engine_class, table_group)))
        default_match = route_components_pb2.RouteMatch(prefix="")
        host.routes.append(_route(default_match, cluster_name(engine_class, NO_TABLE_GROUP)))
        return _encode(route_pb2.RouteConfiguration(name=group, virtual_hosts=[host]))


def _route(match: route_components_pb2.RouteMatch, cluster: str) -> route_components_pb2.Route:
    return route_components_pb2.Route(match=match, route=route_components_pb2.RouteAction(cluster=cluster))
