"""One proxy's aggregated discovery stream (ADS): decides which response is sent next.

It supports both variants of xDS v3 (state of the world, incremental). The rules for the order of responses:

    drains first       a change by which a drain removes an endpoint from the proxy is sent before all others,
                       even while other responses are in flight
    one in flight      one response of each type is in flight at a time; changes are collected meanwhile, so
                       that a slow proxy is sent only the newest state of a flapping list, and no proxy waits
                       for another one
    make before break  clusters are sent first, then their endpoints, listeners and routes; removals are made
                       in the reverse order (wickvane.xds.control_plane)
    resent drains      a drain that is not acknowledged is sent again after one third and after two thirds of
                       the grace period, and logged after two thirds

The module does no I/O. Times are ticks.
"""

from collections.abc import Callable, Collection

from wickvane.units import to_seconds
from wickvane.xds.catalog import Catalog
from wickvane.xds.delta import DeltaSubscription
from wickvane.xds.endpoint_view import EndpointViews
from wickvane.xds.errors import StreamProtocolError
from wickvane.xds.log_events import DrainUnacknowledged, StreamEvent
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest, DiscoveryResponse, Variant
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.sotw import SotwSubscription
from wickvane.xds.subscription import PendingChange, StreamMetrics, Subscription

SEND_ORDER = (ResourceType.CDS, ResourceType.EDS, ResourceType.LDS, ResourceType.RDS)
MAX_NAME_CHARACTERS = 512
MIN_RESPONSE_INTERVAL_TICKS = 500  # between two responses of a type, except drains
MAX_REQUESTS_PER_WINDOW = 20_000
REQUEST_WINDOW_TICKS = 100_000
NAMES_COUNTED_AS_A_REQUEST = 100  # each 100 names in a request count as one additional request
MAX_DRAIN_RESENDS = 2
SUBSCRIPTION_CLASSES = {Variant.SOTW: SotwSubscription, Variant.DELTA: DeltaSubscription}


class RequestLimiter:
    """Limits the rate of a proxy's requests and the length of the names in them."""

    def __init__(self, now: int) -> None:
        self._count = 0
        self._window_start = now

    def check(self, now: int, names: Collection[str]) -> None:
        """Counts a request with these names. Raises StreamProtocolError if it exceeds a limit."""
        if now - self._window_start > REQUEST_WINDOW_TICKS:
            self._count = 0
            self._window_start = now
        self._count += 1 + len(names) // NAMES_COUNTED_AS_A_REQUEST
        if self._count > MAX_REQUESTS_PER_WINDOW:
            raise StreamProtocolError("too many requests")
        if any(len(name) > MAX_NAME_CHARACTERS for name in names):
            raise StreamProtocolError("a resource name is too long")


class DiscoveryStream:
    """One proxy's stream.

    is_visible(node, type, name): whether a node may see a resource; drain_grace: ticks within which the proxy
    must acknowledge a drain; ttl: time to live of endpoints in ticks, 0 for none; views: of proxies that know
    of drains which the catalog lacks.
    """

    def __init__(
        self,
        number: int,
        variant: Variant,
        now: int,
        catalog: Catalog,
        is_visible: Callable[[str | None, ResourceType, str], bool],
        drain_grace: int,
        ttl: int = 0,
        views: EndpointViews | None = None,
    ) -> None:
        self.number = number
        self.variant = variant
        self.node: str | None = None
        self.ttl = ttl
        self.metrics = StreamMetrics()
        self._catalog = catalog
        self._is_visible_to = is_visible
        self._drain_grace = drain_grace
        self._limiter = RequestLimiter(now)
        self._nonce_count = 0
        self._is_node_unknown = False
        self._log_events: list[StreamEvent] = []
        self.subscriptions: list[Subscription] = [
            SUBSCRIPTION_CLASSES[variant](
                resource_type,
                catalog,
                self._is_visible,
                self.metrics,
                self._log_events.append,
                views if resource_type == ResourceType.EDS else None,
            )
            for resource_type in ResourceType
        ]
        self.endpoints = self.subscriptions[ResourceType.EDS]

    def _is_visible(self, resource_type: ResourceType, name: str) -> bool:
        return self._is_visible_to(self.node, resource_type, name)

    def receive(self, now: int, request: DiscoveryRequest | DeltaDiscoveryRequest) -> None:
        """Processes a request of the stream's variant. Raises StreamProtocolError."""
        match request:
            case DiscoveryRequest():
                self._limiter.check(now, request.resource_names)
            case DeltaDiscoveryRequest():
                names = [*request.subscribe, *request.unsubscribe, *request.initial_versions]
                self._limiter.check(now, names)
        self.subscriptions[request.resource_type].receive(now, request)

    def reset_visibility(self, is_node_unknown: bool) -> None:
        """Applies changed node rules; is_node_unknown: no rule matches the node, and the stream must end."""
        self._is_node_unknown = is_node_unknown
        for subscription in self.subscriptions:
            subscription.reset_visibility()

    def next_response(self, now: int) -> DiscoveryResponse | None:
        """The response to send now, None if there is none. Raises StreamProtocolError."""
        if self._is_node_unknown:
            raise StreamProtocolError("this node is no longer known here")
        pending_endpoints = self.endpoints.pending()
        if pending_endpoints.is_drain:
            return self._send_drain(now, pending_endpoints)
        resent_drain = self._resend_drain(now)
        if resent_drain is not None:
            return resent_drain
        for resource_type in SEND_ORDER:
            subscription = self.subscriptions[resource_type]
            if self._must_wait(now, subscription):
                continue
            is_endpoints = subscription is self.endpoints
            change = pending_endpoints if is_endpoints else subscription.pending()
            if change.names or change.removed or subscription.lacks_first_response():
                return subscription.make_response(now, self._next_nonce(), change)
            if subscription.is_subscribed:
                subscription.mark_up_to_date()
        return self._heartbeat(now)

    def _must_wait(self, now: int, subscription: Subscription) -> bool:
        if subscription.in_flight:
            return True
        has_sent = subscription.last_sent_at and subscription.sent_generation
        if has_sent and now < subscription.last_sent_at + MIN_RESPONSE_INTERVAL_TICKS:
            return True
        clusters = self.subscriptions[ResourceType.CDS]
        is_routes = subscription.resource_type == ResourceType.RDS
        return bool(is_routes and clusters.is_subscribed and clusters.in_flight)

    def _next_nonce(self) -> str:
        self._nonce_count += 1
        return f"{self.number}-{self._nonce_count}"

    def _send_drain(self, now: int, pending: PendingChange) -> DiscoveryResponse:
        names = self.endpoints.drained_names(pending)
        is_complete = names == pending.names and not pending.removed
        change = PendingChange(names, (), True)
        return self.endpoints.make_response(now, self._next_nonce(), change, is_complete)

    def _next_resend(self) -> int | None:
        """When a drain must be sent again, None if no drain must be sent again."""
        drain = self.endpoints.unacknowledged_drain
        if drain is None or drain.resends >= MAX_DRAIN_RESENDS:
            return None
        return drain.since + self._drain_grace // 3 * (1 + drain.resends)

    def _resend_drain(self, now: int) -> DiscoveryResponse | None:
        resend_at = self._next_resend()
        if resend_at is None or now < resend_at:
            return None
        drain = self.endpoints.unacknowledged_drain
        drain.resends += 1
        self.metrics.drain_resends += 1
        if drain.resends == MAX_DRAIN_RESENDS:
            self.metrics.late_drains += 1
            seconds = to_seconds(now - drain.since)
            self._log_events.append(DrainUnacknowledged(seconds, self.endpoints.nack_reason))
        names = self.endpoints.in_flight_names()
        if not names:
            return None
        change = PendingChange(names, (), True)
        is_complete = not self.endpoints.needs_full_check
        return self.endpoints.make_response(now, self._next_nonce(), change, is_complete)

    def _heartbeat(self, now: int) -> DiscoveryResponse | None:
        endpoints = self.endpoints
        if not self.ttl or not endpoints.is_subscribed or endpoints.in_flight:
            return None
        if now < endpoints.next_heartbeat(self.ttl):
            return None
        names = endpoints.heartbeat_names()
        if not names:
            return None
        return endpoints.make_heartbeat(now, self._next_nonce(), names)

    def next_response_time(self, now: int) -> int | None:
        """When next_response() may next return a response if no event happens before; None for never.

        It is called after next_response() has returned None.
        """
        times = [
            subscription.last_sent_at + MIN_RESPONSE_INTERVAL_TICKS
            for subscription in self.subscriptions
            if subscription.is_subscribed and not subscription.in_flight
        ]
        resend_at = self._next_resend()
        if resend_at is not None:
            times.append(resend_at)
        if self.ttl and self.endpoints.is_subscribed:
            times.append(self.endpoints.next_heartbeat(self.ttl))
        return min((time for time in times if time > now), default=None)

    def take_log_events(self) -> list[StreamEvent]:
        """Returns the events to log since the last call."""
        events = self._log_events.copy()
        self._log_events.clear()
        return events

    def status(self, now: int) -> dict[str, dict]:
        """The status for operators, by type."""
        return {
            subscription.resource_type.name: subscription.status(now)
            for subscription in self.subscriptions
            if subscription.is_subscribed
        }
