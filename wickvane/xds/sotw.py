"""Subscriptions of the state-of-the-world variant: each response has the full new state of the resources that
it names.
"""

from collections.abc import Collection
from typing import Any

from wickvane.xds.messages import DiscoveryRequest, SentResponse
from wickvane.xds.resource_types import WILDCARD
from wickvane.xds.resource_version import content_of
from wickvane.xds.subscription import PendingChange, Subscription


class SotwSubscription(Subscription):
    """One resource type on a state-of-the-world stream."""

    def __init__(self, *context: Any) -> None:
        super().__init__(*context)
        self._new_names: set[str] = set()  # subscribed to since the last response
        self._rejected: tuple[str, str] | None = None  # content of the last rejected response

    def receive(self, now: int, request: DiscoveryRequest) -> None:
        """Processes a request. Raises StreamProtocolError."""
        is_first = not self.is_subscribed
        nonce = request.response_nonce
        if nonce and not is_first and nonce != self.last_nonce:
            # The request answers an older response than the last one, so its resource names are outdated.
            self._metrics.stale += 1
            self.handle_ack_or_nack(now, nonce, request.error)
            return
        self._check_count(request.resource_names, "resource names")
        self._subscribe(now, request, is_first)

    def _subscribe(self, now: int, request: DiscoveryRequest, is_first: bool) -> None:
        names = set(request.resource_names)
        is_wildcard = self.resource_type.allows_wildcard and (
            WILDCARD in names or (not names and (is_first or self._is_wildcard))
        )
        names.discard(WILDCARD)
        names_before = self._names
        was_wildcard = self._is_wildcard
        has_more = bool(is_first or names - names_before or is_wildcard != was_wildcard)
        has_fewer = bool(names_before - names)
        self.is_subscribed = True
        self._is_wildcard = is_wildcard
        self._names = names
        if is_first and request.version:
            self._record_held_version(request.version)
            self._visible_names = None
            if self._holds_current_version(request.version):
                has_more = False
        if request.response_nonce and not is_first:
            self.handle_ack_or_nack(now, request.response_nonce, request.error)
        if has_more or has_fewer:
            self._visible_names = None
        if is_first:
            self.needs_full_check = has_more
        elif is_wildcard and not was_wildcard:
            self.needs_full_check = True
        else:
            self._new_names |= names - names_before
        self._new_names &= names

    def _holds_current_version(self, version: str) -> bool:
        """Whether a reconnected proxy holds all of the current content, which is then not sent again.

        If it does, the current content is recorded as acknowledged.
        """
        self.refresh_knowledge()
        if content_of(version) != content_of(self.type_version()):
            return False
        self._acknowledged_version = version
        self._acknowledged_generation = self._catalog.generation
        self.sent_generation = self._catalog.generation
        self._has_response = True
        return True

    def _record_rejected(self, sent: SentResponse) -> None:
        # It is not known which of the resources were rejected, so all are sent again with the next change.
        self._rejected = content_of(sent.version)
        self.needs_full_check = True

    def _clear_rejected(self, sent: SentResponse) -> None:
        self._rejected = None

    def _has_rejected(self) -> bool:
        return self._rejected is not None

    def _has_new_names(self) -> bool:
        return bool(self._new_names)

    def _compare_all(self) -> tuple[Collection[str], Collection[str]]:
        return self._without_rejected(self.visible_names()), ()

    def _compare(self, changed: Collection[str]) -> tuple[Collection[str], Collection[str]]:
        if self.resource_type.allows_wildcard:
            return self._compare_all()  # responses of these types list all resources
        names = self._new_names.union(changed) & self.visible_names()
        return self._without_rejected(names), ()

    def _without_rejected(self, names: Collection[str]) -> Collection[str]:
        if names and self._rejected is not None and self._rejected == content_of(self.type_version()):
            return ()
        return names

    def lacks_first_response(self) -> bool:
        """Whether the proxy waits for a first response although there is no listener or cluster for it."""
        return (
            self.resource_type.allows_wildcard
            and self.is_subscribed
            and not self._has_response
            and not self._has_rejected()
        )

    def drained_names(self, pending: PendingChange) -> tuple[str, ...]:
        """All names of the change: a response contains the complete change."""
        return pending.names

    def mark_up_to_date(self) -> None:
        """Records that the proxy has all of the catalog's current generation."""
        super().mark_up_to_date()
        self._new_names.clear()

    def _record_sent(self, nonce: str, change: PendingChange, resource_versions: tuple[str, ...]) -> str:
        version = self.type_version()
        self.last_nonce = nonce
        self._new_names.clear()
        return version

    def _held_names(self) -> Collection[str]:
        return self.visible_names()

    def _record_heartbeat(self, nonce: str) -> str:
        self.last_nonce = nonce
        return self.type_version()
