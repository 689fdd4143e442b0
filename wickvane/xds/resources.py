"""xDS v3 resources of what wickvane.xds.placement has worked out: a codec, which decides nothing.

From the published API (envoy.config.*.v3). Serialized deterministically, since versions follow from the
octets.
"""

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

from wickvane.xds.catalog import CDS, LDS, RDS
from wickvane.xds.placement import CHOICES, EJECT_SHARE, NO_TABLE, cluster_name

TABLE_HEADER = "x-wickvane-table"  # the table group's number, which the proxy's client or filter sets


def octets(message):
    return message.SerializeToString(deterministic=True)


def packed(message):
    found = any_pb2.Any()
    found.Pack(message, deterministic=True)
    return found


def seconds(message, tenths):
    message.seconds, message.nanos = tenths // 10_000, tenths % 10_000 * 100_000


def policy(*messages):
    found = cluster_pb2.LoadBalancingPolicy()
    for message in messages:
        config = found.policies.add().typed_extension_config
        config.name = message.DESCRIPTOR.full_name
        config.typed_config.CopyFrom(packed(message))
    return found


def ads():
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


class Make:
    """zone: the locality's region; lrs: whether proxies are asked to report loads to this service."""

    def __init__(self, lrs=True):
        self.lrs = lrs

    def is_for(self, placement, kind, name, groups):
        """Whether a resource belongs to one of these resource groups."""
        if kind in (LDS, RDS):
            return name in groups
        klass = name.partition("/")[0]
        return any(placement.class_of.get(group) == klass for group in groups)

    def settled(self, placement):
        """What follows from the settings alone: {type: {name: body}}."""
        clusters = {
            cluster_name(klass, table): self.cluster(cluster_name(klass, table), limits)
            for klass in placement.allowed
            for limits in (placement.limits(klass),)
            for table in placement.tables
        }
        groups = list(placement.class_of)
        return {
            CDS: clusters,
            LDS: {group: self.listener(group, placement.paces[group]) for group in groups},
            RDS: {group: self.routes(group, placement) for group in groups},
        }

    def cluster(self, name, limits):
        made = cluster_pb2.Cluster(
            name=name,
            type=cluster_pb2.Cluster.EDS,
            eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ads()),
        )
        # A client takes the first that it knows: least requests by weight, else by weight of localities.
        least = least_request_pb2.LeastRequest()
        least.choice_count.value = CHOICES
        by_locality = wrr_locality_pb2.WrrLocality()
        by_locality.endpoint_picking_policy.CopyFrom(policy(round_robin_pb2.RoundRobin()))
        made.load_balancing_policy.CopyFrom(policy(least, by_locality))
        seconds(made.connect_timeout, 2_500)
        thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds()
        thresholds.max_requests.value = limits.requests
        thresholds.max_pending_requests.value = limits.pending
        thresholds.retry_budget.budget_percent.value = 100 * limits.retry_share
        thresholds.retry_budget.min_retry_concurrency.value = 1
        made.circuit_breakers.thresholds.append(thresholds)
        outlier = outlier_detection_pb2.OutlierDetection()
        outlier.consecutive_5xx.value = 5
        outlier.consecutive_gateway_failure.value = 3
        outlier.enforcing_consecutive_gateway_failure.value = 100
        outlier.max_ejection_percent.value = EJECT_SHARE
        seconds(outlier.base_ejection_time, limits.eject)
        seconds(outlier.max_ejection_time, limits.eject_most)
        seconds(outlier.interval, 2_500)
        made.outlier_detection.CopyFrom(outlier)
        if self.lrs:
            made.lrs_server.self.SetInParent()
        return octets(made)

    def assignment(self, name, places):
        """A cluster's engines."""
        made = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
        found = {}
        for place in places:
            host, port = place.address
            end = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
            end.endpoint.address.socket_address.CopyFrom(
                address_pb2.SocketAddress(address=host, port_value=port)
            )
            end.endpoint.hostname = place.name
            end.load_balancing_weight.value = place.weight
            # Engines of one weight are a locality: clients that know weights of localities alone heed it too.
            found.setdefault((place.priority, place.zone, place.weight), []).append(end)
        for (priority, zone, weight), ends in sorted(found.items()):
            group = made.endpoints.add(
                priority=priority, locality=base_pb2.Locality(zone=zone, sub_zone=f"weight-{weight}")
            )
            group.lb_endpoints.extend(ends)
            group.load_balancing_weight.value = sum(end.load_balancing_weight.value for end in ends)
        return octets(made)

    def listener(self, group, pace):
        """One a resource group, by its name: `xds:///GROUP` for a client of gRPC, an API listener for what
        brings a listener of its own."""
        manager = hcm_pb2.HttpConnectionManager(
            stat_prefix=group, rds=hcm_pb2.Rds(route_config_name=group, config_source=ads())
        )
        gradient = concurrency_pb2.GradientControllerConfig()
        gradient.sample_aggregate_percentile.value = 50
        gradient.concurrency_limit_params.max_concurrency_limit.value = pace.most
        seconds(gradient.concurrency_limit_params.concurrency_update_interval, pace.every)
        seconds(gradient.min_rtt_calc_params.fixed_value, pace.round_trip)
        gradient.min_rtt_calc_params.buffer.value = 100 * pace.buffer
        # A client that has no such filter goes without it.
        manager.http_filters.append(
            hcm_pb2.HttpFilter(
                name="adaptive-concurrency",
                is_optional=True,
                typed_config=packed(concurrency_pb2.AdaptiveConcurrency(gradient_controller_config=gradient)),
            )
        )
        manager.http_filters.append(
            hcm_pb2.HttpFilter(name="router", typed_config=packed(router_pb2.Router()))
        )
        return octets(
            listener_pb2.Listener(
                name=group, api_listener=api_listener_pb2.ApiListener(api_listener=packed(manager))
            )
        )

    def routes(self, group, placement):
        klass = placement.class_of[group]
        host = route_components_pb2.VirtualHost(name=group, domains=["*"])
        for table in placement.tables:
            if table == NO_TABLE:
                continue
            match = route_components_pb2.RouteMatch(prefix="")
            match.headers.append(
                route_components_pb2.HeaderMatcher(
                    name=TABLE_HEADER, string_match=string_pb2.StringMatcher(exact=str(table))
                )
            )
            host.routes.append(
                route_components_pb2.Route(
                    match=match, route=route_components_pb2.RouteAction(cluster=cluster_name(klass, table))
                )
            )
        host.routes.append(
            route_components_pb2.Route(
                match=route_components_pb2.RouteMatch(prefix=""),
                route=route_components_pb2.RouteAction(cluster=cluster_name(klass, NO_TABLE)),
            )
        )
        return octets(route_pb2.RouteConfiguration(name=group, virtual_hosts=[host]))
