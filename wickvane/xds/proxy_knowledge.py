"""What the proxy of one stream knows of drains, and which view of the endpoints it is therefore sent.

The module does no I/O.
"""

from wickvane.xds.endpoint_view import EndpointView, EndpointViews
from wickvane.xds.resource_version import ResourceVersion
from wickvane.xds.tombstones import Tombstone, parse_tombstones


class ProxyKnowledge:
    """The tombstones that a proxy held when its stream began, compared with the instance's own.

    held_index: the newest index in the versions that it held; view: what it is sent instead of the catalog's
    endpoints, None if the instance lacks no tombstone; excluded: names of endpoints that it is not sent.
    """

    __slots__ = ("_held", "_may_withhold", "_revision", "_views", "excluded", "held_index", "view")

    def __init__(self, views: EndpointViews) -> None:
        self.held_index = 0
        self.view: EndpointView | None = None
        self.excluded: frozenset[str] = frozenset()
        self._views = views
        self._revision = 0
        self._held: frozenset[Tombstone] = frozenset()
        self._may_withhold = False  # the proxy knows of all drains that the instance's list includes

    def record_version(self, version: ResourceVersion) -> None:
        """Records the version of a resource that the proxy holds from an earlier stream."""
        self.held_index = max(self.held_index, version.index)
        if version.tombstones:
            tombstones = parse_tombstones(version.tombstones)
            self._held = self._held | tombstones if self._held else tombstones

    def holds_tombstones(self) -> bool:
        """Whether the proxy held tombstones, so that each change of the list may concern it."""
        return bool(self._held)

    def is_outdated(self) -> bool:
        """Whether the list has changed since the last refresh, and may concern the proxy."""
        return bool(self._held) and self._revision != self._views.revision

    def refresh(self) -> bool:
        """Compares with the instance's list; returns whether the proxy's resources must all be compared."""
        views = self._views
        self._revision = views.revision
        view_before = self.view
        excluded_before = self.excluded
        could_withhold = self._may_withhold
        self.view = views.view(views.lacking(self._held))
        self.excluded = self.view.excluded if self.view else frozenset()
        self._may_withhold = views.published <= self._held
        if self.view and self.view.never_placed and self._may_withhold != could_withhold:
            return True
        # A view that stays knows its own changes.
        return self.view is not view_before and self.excluded != excluded_before

    def forget(self) -> None:
        """Forgets all that the proxy holds, when its stream ends, so that no view is kept for it."""
        self._held = frozenset()
        self.view = None
        self.excluded = frozenset()

    def is_withheld(self, name: str) -> bool:
        """Whether the proxy keeps what it holds of a cluster, because there is no endpoint to send."""
        return self._may_withhold and self.view is not None and name in self.view.never_placed

    def tombstones(self) -> str:
        """The text of the tombstones that the proxy learns of by a response."""
        return self.view.tombstones if self.view is not None else self._views.tombstones
