"""Subscriptions of the incremental (delta) variant: each response lists changed and removed resources."""

from collections.abc import Collection
from typing import Any

from wickvane.xds.catalog import CachedResource
from wickvane.xds.messages import DeltaDiscoveryRequest, SentResponse
from wickvane.xds.resource_types import WILDCARD
from wickvane.xds.resource_version import content_of
from wickvane.xds.subscription import PendingChange, Subscription


class DeltaSubscription(Subscription):
    """One resource type on an incremental stream."""

    def __init__(self, *context: Any) -> None:
        super().__init__(*context)
        self._held_versions: dict[str, str] = {}  # by name: versions that the proxy holds or was sent
        self._unresolved_names: set[str] = set()  # subscribed names without a resource
        self._rejected: dict[str, tuple[str, str] | None] = {}  # by name: content that the proxy rejected

    def receive(self, now: int, request: DeltaDiscoveryRequest) -> None:
        """Processes a request. Raises StreamProtocolError."""
        is_first = not self.is_subscribed
        self.is_subscribed = True
        if is_first:
            self._start(request)
        for name in request.subscribe:
            self._subscribe(name, is_first)
        for name in request.unsubscribe:
            self._unsubscribe(name)
        self._check_count(self._names, "resource names")
        if request.response_nonce:
            self.handle_ack_or_nack(now, request.response_nonce, request.error)
        if is_first or request.subscribe:
            self.needs_full_check = True
        if is_first or request.subscribe or request.unsubscribe:
            self._visible_names = None

    def _start(self, request: DeltaDiscoveryRequest) -> None:
        self._check_count(request.initial_versions, "resource versions")
        self._held_versions = dict(request.initial_versions)
        for version in request.initial_versions.values():
            self._record_held_version(version)
        self._is_wildcard = not request.subscribe

    def _subscribe(self, name: str, is_first: bool) -> None:
        if name == WILDCARD:
            self._is_wildcard = True
            return
        self._names.add(name)
        if name not in self._catalog.resources[self.resource_type]:
            self._unresolved_names.add(name)
        if not is_first:
            # A resource that is subscribed to again must be sent again, even if the proxy holds it (xDS
            # protocol, incremental variant).
            self._held_versions.pop(name, None)

    def _unsubscribe(self, name: str) -> None:
        if name == WILDCARD:
            self._is_wildcard = False
        self._names.discard(name)
        self._unresolved_names.discard(name)
        self._held_versions.pop(name, None)
        self._rejected.pop(name, None)

    def _record_rejected(self, sent: SentResponse) -> None:
        for name, version in zip(sent.names, sent.resource_versions):
            self._rejected[name] = content_of(version)
            self._held_versions.pop(name, None)

    def _clear_rejected(self, sent: SentResponse) -> None:
        for name in sent.names if self._rejected else ():
            self._rejected.pop(name, None)

    def _has_rejected(self) -> bool:
        return bool(self._rejected)

    def _has_new_names(self) -> bool:
        return False  # newly subscribed names set needs_full_check instead

    def _compare_all(self) -> tuple[Collection[str], Collection[str]]:
        return self._differences(self.visible_names(), self._held_versions)

    def _compare(self, changed: Collection[str]) -> tuple[Collection[str], Collection[str]]:
        return self._differences(
            self.visible_names().intersection(changed), changed & self._held_versions.keys()
        )

    def _differences(
        self, candidates: Collection[str], held_names: Collection[str]
    ) -> tuple[Collection[str], Collection[str]]:
        resources = self._catalog.resources[self.resource_type]
        visible = self.visible_names()
        resource_of = self._resource_getter()
        names = [name for name in candidates if self._is_outdated(name, resource_of(name))]
        removed = {name for name in held_names if name not in visible}
        removed |= {name for name in self._unresolved_names if name not in resources}
        return names, removed

    def _is_outdated(self, name: str, resource: CachedResource) -> bool:
        """Whether the proxy does not hold the resource's content and has not rejected it."""
        held = self._held_versions.get(name)
        if held == resource.version:
            return False
        content = content_of(resource.version)
        held_content = held and content_of(held)
        return content not in (held_content, self._rejected.get(name))

    def drained_names(self, pending: PendingChange) -> tuple[str, ...]:
        """The resources from which a drain removed an endpoint; the rest of the change is sent later."""
        resource_of = self._resource_getter()
        return tuple(name for name in pending.names if resource_of(name).drained_at > self.sent_generation)

    def _record_sent(self, nonce: str, change: PendingChange, resource_versions: tuple[str, ...]) -> str:
        self._held_versions.update(zip(change.names, resource_versions))
        for name in change.removed:
            self._held_versions.pop(name, None)
            self._rejected.pop(name, None)
        self._unresolved_names.clear()
        return str(self._catalog.index)

    def _held_names(self) -> Collection[str]:
        return self._held_versions

    def _record_heartbeat(self, nonce: str) -> str:
        return str(self._catalog.index)
