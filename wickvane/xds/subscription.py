"""The subscription of one stream to one resource type: names, responses sent, ACKs and NACKs.

The two variants of the protocol differ in how requests are read and changes are found, see sotw.py and
delta.py. Rejected content is not sent again until it changes; the proxy continues with the last content that
it accepted. The module does no I/O. Times are ticks.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any, NamedTuple

from wickvane.units import to_milliseconds
from wickvane.xds.catalog import CachedResource, Catalog
from wickvane.xds.endpoint_view import EndpointView, EndpointViews
from wickvane.xds.errors import StreamProtocolError
from wickvane.xds.log_events import ProxyAhead, ProxyAheadResolved, ResponseNacked, StreamEvent
from wickvane.xds.messages import DiscoveryResponse, SentResponse
from wickvane.xds.proxy_knowledge import ProxyKnowledge
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resource_version import parse_version, with_tombstones

MAX_RESOURCE_NAMES = 10_000
MAX_REASON_CHARACTERS = 512
MAX_IN_FLIGHT = 8  # responses of a type that are remembered until they are acknowledged


@dataclass(slots=True)
class StreamMetrics:
    """Counters of one stream; ack_latency: decaying maximum of the latency of ACKs and NACKs, in ticks."""

    sent: int = 0
    acknowledged: int = 0
    nacked: int = 0
    stale: int = 0
    drain_resends: int = 0
    late_drains: int = 0
    ack_latency: int = 0

    def counts(self) -> dict[str, int]:
        """The counts by their names in status and log."""
        return {
            "sent": self.sent,
            "acknowledged": self.acknowledged,
            "refused": self.nacked,
            "stale": self.stale,
            "told-again": self.drain_resends,
            "late": self.late_drains,
        }


@dataclass(slots=True)
class UnacknowledgedDrain:
    """A drain that the proxy has not acknowledged; generation: that of the first response with the drain."""

    generation: int
    since: int
    resends: int = 0


class PendingChange(NamedTuple):
    """A change that a proxy has not been sent: names to send and names to remove.

    is_drain: by one of the resources, a drain removes an endpoint from the proxy.
    """

    names: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    is_drain: bool = False


NO_CHANGE = PendingChange()


class _VisibleNames(NamedTuple):
    name_changes: int
    names: frozenset[str]


class Subscription(ABC):
    """One resource type on one stream."""

    def __init__(
        self,
        resource_type: ResourceType,
        catalog: Catalog,
        is_visible: Callable[[ResourceType, str], bool],
        metrics: StreamMetrics,
        report: Callable[[StreamEvent], None],
        views: EndpointViews | None = None,
    ) -> None:
        self.resource_type = resource_type
        self.is_subscribed = False
        self.sent_generation = 0
        self.last_sent_at = 0
        self.last_nonce = ""
        self.in_flight: list[SentResponse] = []  # oldest first
        self.needs_full_check = False  # compare all resources, not only changed ones
        self.nack_reason: str | None = None
        self.unacknowledged_drain: UnacknowledgedDrain | None = None
        self._catalog = catalog
        self._is_visible = is_visible
        self._metrics = metrics
        self._report = report
        self.knowledge = ProxyKnowledge(views) if views is not None else None  # of endpoint resources only
        self._is_wildcard = False
        self._names: set[str] = set()
        self._acknowledged_generation = -1
        self._acknowledged_version = ""
        self._had_resources = False  # the proxy held resources before this stream
        self._has_response = False
        self._visible_names: _VisibleNames | None = None
        self._heartbeat_at = 0

    # requests

    def _record_held_version(self, text: str) -> None:
        """Records the version of a resource that the proxy holds from an earlier stream."""
        self._had_resources = True
        version = parse_version(text)
        if version is not None and self.knowledge is not None:
            self.knowledge.record_version(version)

    def handle_ack_or_nack(self, now: int, nonce: str, error: str | None) -> None:
        """Processes an ACK, or a NACK with its reason (error).

        All earlier responses in flight count as answered too.
        """
        position = next((n for n, sent in enumerate(self.in_flight) if sent.nonce == nonce), None)
        if position is None:
            return
        sent = self.in_flight[position]
        self.in_flight = self.in_flight[position + 1 :]
        latency = now - sent.sent_at
        self._metrics.ack_latency = max(latency, self._metrics.ack_latency * 7 // 8)
        if error is None:
            self._acknowledge(sent)
        else:
            self._metrics.nacked += 1
            self.nack_reason = error[:MAX_REASON_CHARACTERS]
            self._record_rejected(sent)
            self._report(ResponseNacked(self.resource_type, sent.version, self.nack_reason))

    def _acknowledge(self, sent: SentResponse) -> None:
        self._metrics.acknowledged += 1
        self._acknowledged_generation = sent.generation
        self._acknowledged_version = sent.version
        self.nack_reason = None
        self._clear_rejected(sent)
        drain = self.unacknowledged_drain
        if drain is not None and sent.generation >= drain.generation:
            self.unacknowledged_drain = None

    @abstractmethod
    def _record_rejected(self, sent: SentResponse) -> None:
        """Records rejected content, so that it is not sent again."""

    @abstractmethod
    def _clear_rejected(self, sent: SentResponse) -> None:
        """Removes the record of rejected content after the proxy has accepted a response."""

    @abstractmethod
    def _has_rejected(self) -> bool:
        """Whether content is withheld because the proxy rejected it."""

    @staticmethod
    def _check_count(names: Collection[str], description: str) -> None:
        if len(names) > MAX_RESOURCE_NAMES:
            raise StreamProtocolError(f"too many {description}")

    # pending changes

    def reset_visibility(self) -> None:
        """Applies a change of the set of resources that the node may see."""
        self._visible_names = None
        self.needs_full_check = self.is_subscribed

    def visible_names(self) -> frozenset[str]:
        """Names of existing resources that the node has subscribed to and may see."""
        name_changes = self._catalog.name_changes[self.resource_type]
        if self._visible_names is None or self._visible_names.name_changes != name_changes:
            resources = self._catalog.resources[self.resource_type]
            names = resources if self._is_wildcard else [name for name in self._names if name in resources]
            visible = frozenset(name for name in names if self._is_visible(self.resource_type, name))
            self._visible_names = _VisibleNames(name_changes, visible)
        return self._visible_names.names

    def type_version(self) -> str:
        """The version of all visible resources of the type, with the tombstones that the proxy learns of."""
        names = self.visible_names()
        view = self._view()
        if view is None:
            version = self._catalog.type_version(self.resource_type, names)
        else:
            names = [name for name in names if not self.knowledge.is_withheld(name)]
            version = self._catalog.version_of(self.resource_type, names, view.resource)
        return with_tombstones(version, self._tombstones())

    def _view(self) -> EndpointView | None:
        return self.knowledge.view if self.knowledge is not None else None

    def _tombstones(self) -> str:
        return self.knowledge.tombstones() if self.knowledge is not None else ""

    def is_proxy_ahead(self) -> bool:
        """Whether the proxy knows of drains of endpoints that this instance's list has as ready.

        It is sent all but these endpoints, because the older list must not restore them.
        """
        return self.knowledge is not None and bool(self.knowledge.excluded)

    def refresh_knowledge(self) -> None:
        """Finds out anew what the proxy knows that the instance's list lacks, if the list has changed."""
        knowledge = self.knowledge
        if knowledge is None or not knowledge.is_outdated():
            return
        was_ahead = self.is_proxy_ahead()
        if knowledge.refresh():
            self.needs_full_check = True
        is_ahead = self.is_proxy_ahead()
        if is_ahead and not was_ahead:
            self._report(ProxyAhead(self.resource_type, knowledge.held_index, self._catalog.index))
        elif was_ahead and not is_ahead:
            self._report(ProxyAheadResolved(self._catalog.index))

    def _resource_getter(self) -> Callable[[str], CachedResource]:
        """Returns the function that finds the resource to send by its name."""
        view = self._view()
        return view.resource if view is not None else self._catalog.resources[self.resource_type].__getitem__

    def _changed_names(self) -> Collection[str] | None:
        """The names that changed since the last response; None if all resources must be compared."""
        changed = self._catalog.changed_since(self.resource_type, self.sent_generation)
        view = self._view()
        if changed is None or view is None:
            return changed
        return view.changed_since(self.sent_generation, changed)

    def pending(self) -> PendingChange:
        """The change that the proxy has not been sent yet."""
        if not self.is_subscribed:
            return NO_CHANGE
        self.refresh_knowledge()
        changed = self._changed_names()
        is_unchanged = changed is not None and not changed
        if is_unchanged and not self.needs_full_check and not self._has_new_names():
            return NO_CHANGE
        if changed is None or self.needs_full_check:
            names, removed = self._compare_all()
        else:
            names, removed = self._compare(changed)
        if self._view() is not None:
            names = [name for name in names if not self.knowledge.is_withheld(name)]
        return PendingChange(tuple(sorted(names)), tuple(sorted(removed)), self._takes_endpoint(names))

    @abstractmethod
    def _has_new_names(self) -> bool:
        """Whether names were subscribed to since the last response that needs_full_check does not cover."""

    @abstractmethod
    def _compare_all(self) -> tuple[Collection[str], Collection[str]]:
        """Names to send and names to remove, found by comparing all resources."""

    @abstractmethod
    def _compare(self, changed: Collection[str]) -> tuple[Collection[str], Collection[str]]:
        """Names to send and names to remove, found by comparing only changed resources."""

    def _takes_endpoint(self, names: Collection[str]) -> bool:
        if self.resource_type != ResourceType.EDS or not (self.sent_generation or self._had_resources):
            return False
        resource_of = self._resource_getter()
        return any(resource_of(name).drained_at > self.sent_generation for name in names)

    def lacks_first_response(self) -> bool:
        """Whether the proxy waits for a first response although there is no resource for it."""
        return False

    @abstractmethod
    def drained_names(self, pending: PendingChange) -> tuple[str, ...]:
        """The names of a pending change with a drain that must be sent before all others."""

    def mark_up_to_date(self) -> None:
        """Records that the proxy has all of the catalog's current generation."""
        self.sent_generation = self._catalog.generation
        self.needs_full_check = self.needs_full_check and self._has_rejected()

    # responses

    def make_response(
        self, now: int, nonce: str, change: PendingChange, is_complete: bool = True
    ) -> DiscoveryResponse:
        """Returns the response with a change and records it as in flight.

        is_complete: the response contains the complete change; otherwise the rest is sent later.
        """
        catalog = self._catalog
        resource_of = self._resource_getter()
        resource_versions = tuple(resource_of(name).version for name in change.names)
        if change.is_drain and self.unacknowledged_drain is None:
            self.unacknowledged_drain = UnacknowledgedDrain(catalog.generation, now)
        version = self._record_sent(nonce, change, resource_versions)
        self.sent_generation = catalog.generation
        self.needs_full_check = not is_complete
        self._has_response = True
        self.in_flight.append(
            SentResponse(nonce, now, catalog.generation, version, change.names, resource_versions)
        )
        if len(self.in_flight) > MAX_IN_FLIGHT:
            del self.in_flight[0]
        self.last_sent_at = now
        self._heartbeat_at = now
        self._metrics.sent += 1
        return DiscoveryResponse(
            self.resource_type,
            nonce,
            version,
            change.names,
            change.removed,
            change.is_drain,
            tombstones=self._tombstones(),
            view=self._view(),
        )

    @abstractmethod
    def _record_sent(self, nonce: str, change: PendingChange, resource_versions: tuple[str, ...]) -> str:
        """Records what the proxy will hold, and returns the response's version."""

    def in_flight_names(self) -> tuple[str, ...]:
        """Names of existing resources that are in a response in flight."""
        names = {name for sent in self.in_flight for name in sent.names}
        return tuple(sorted(names & set(self._catalog.resources[self.resource_type])))

    def next_heartbeat(self, ttl: int) -> int:
        """When the resources' time to live must be renewed: one third of it after the last renewal."""
        return self._heartbeat_at + ttl // 3

    def heartbeat_names(self) -> tuple[str, ...]:
        """Names of resources whose time to live must be renewed, none before the first ACK."""
        if self._acknowledged_generation < 0:
            return ()
        return tuple(sorted(self._held_names()))

    @abstractmethod
    def _held_names(self) -> Collection[str]:
        """Names of resources that the proxy holds."""

    def make_heartbeat(self, now: int, nonce: str, names: tuple[str, ...]) -> DiscoveryResponse:
        """Returns a response without bodies, which renews the resources' time to live."""
        self._heartbeat_at = now
        version = self._record_heartbeat(nonce)
        resources = self._catalog.resources[self.resource_type]
        existing = tuple(name for name in names if name in resources)
        return DiscoveryResponse(
            self.resource_type,
            nonce,
            version,
            existing,
            is_heartbeat=True,
            tombstones=self._tombstones(),
            view=self._view(),
        )

    @abstractmethod
    def _record_heartbeat(self, nonce: str) -> str:
        """Records the nonce, and returns the heartbeat's version."""

    # status

    def is_fully_answered(self) -> bool:
        """Whether the proxy has acknowledged or rejected all of the catalog's current generation."""
        if not self.is_subscribed:
            return True
        return not self.in_flight and self.sent_generation >= self._catalog.generation

    def unacknowledged_time(self, now: int) -> int:
        """How long the oldest response in flight has not been answered, in ticks."""
        return now - self.in_flight[0].sent_at if self.in_flight else 0

    def status(self, now: int) -> dict[str, Any]:
        """The status for operators, by the names of the client status."""
        return {
            "version": self._acknowledged_version,
            "synced": self.is_fully_answered() and self.nack_reason is None,
            "refused": self.nack_reason,
            "ahead": self.is_proxy_ahead(),
            "behind_ms": to_milliseconds(self.unacknowledged_time(now)) if self.in_flight else 0.0,
        }
