"""The coordinator's list, overridden by documents; free of I/O.

With overrides, the coordinator's stream lists the engines, and documents override their fields, for example
the weight, or drain them. An engine is draining if either the coordinator or a document drains it.
"""

from collections.abc import Iterable

from wickvane.endpoints.snapshot import DOCUMENT_FIELD_NAMES, Endpoint, Snapshot
from wickvane.events import EngineState

OVERRIDABLE_FIELDS = tuple(field for field in DOCUMENT_FIELD_NAMES if field != "state")


class CoordinatorOverlay:
    """The coordinator's list. is_enabled: documents override it; otherwise they are the complete list."""

    __slots__ = ("endpoints", "event_number", "is_enabled")

    def __init__(self, is_enabled: bool) -> None:
        self.is_enabled = is_enabled
        self.endpoints: dict[str, Endpoint] = {}
        self.event_number = 0

    def apply(self, number: int, is_full: bool, entries: Iterable[tuple]) -> set[str]:
        """Applies an event of the coordinator's stream; returns the names of the engines that it affects."""
        names = set()
        if is_full:
            listed = {entry[0] for entry in entries}
            names.update(name for name in self.endpoints if name not in listed)
            for name in names:
                del self.endpoints[name]
        for name, address, state, zone, kind, cell, started_ms, weight in entries:
            names.add(name)
            if state == EngineState.GONE:
                self.endpoints.pop(name, None)
            else:
                self.endpoints[name] = Endpoint(name, address, zone, kind, cell, started_ms, weight, state)
        self.event_number = max(self.event_number, number)
        return names

    def resolve(self, name: str, snapshot: Snapshot) -> Endpoint | None:
        """Returns the desired endpoint: the coordinator's, with the fields that the snapshot overrides."""
        override = snapshot.endpoints.get(name)
        if not self.is_enabled:
            return override
        listed = self.endpoints.get(name)
        if listed is None or override is None:
            return listed
        stated = {
            field: getattr(override, field) for field in OVERRIDABLE_FIELDS if field in override.stated_fields
        }
        return listed._replace(**stated, state=max(listed.state, override.state))
