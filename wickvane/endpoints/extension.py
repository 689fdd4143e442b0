"""The extension `members` of a dispatcher: an endpoint list from watched files."""

from typing import TYPE_CHECKING

from wickvane import parts
from wickvane.endpoints.config import EndpointsConfig, read_config
from wickvane.net import shape

if TYPE_CHECKING:
    from wickvane.net.service import Service


def read(node: parts.Node) -> EndpointsConfig:
    """Returns the configuration in a node of the extensions document. Raises parts.InvalidDocumentError."""
    return read_config(node)


class At(shape.Part):
    """The running extension."""

    name = "members"
    threads = 1

    def prepare(self, service: "Service", found: dict) -> None:
        """Replaces the coordinator's list in the service."""
        service.lister = self

    def join(self, service: "Service", found: dict) -> None:
        """Creates the source and recovers it from its journal. Raises ConfigError."""
        from wickvane.endpoints.file_source import FileSource
        from wickvane.endpoints.topology import topology_of

        scheduler = service.decider.scheduler
        attempts_in_flight = service.registry.attempts_in_flight
        self.source = FileSource(
            self.terms,
            topology_of(service.registry),
            service.listed,
            service.clock,
            service.log,
            service.counters,
            lambda: scheduler.limits.threads_in_flight * scheduler.dispatcher_count,
            lambda name: attempts_in_flight.get(name, 0) > 0,
            service.name,
        )

    def streamed(self, number: int, is_full: bool, entries: list[tuple]) -> None:
        """Applies an event of the coordinator's stream."""
        self.source.apply_stream_event(number, is_full, entries)

    def start(self, service: "Service") -> None:
        """Publishes the list and starts watching; the stream continues after the known events."""
        coordinator = service.coordinator
        number, events = service.known
        self.source.start(events if coordinator else ())
        if coordinator:
            coordinator.last = max(number, *(event[0] for event in events), 0)

    def change(self, terms: EndpointsConfig, ready: object) -> None:
        """Checks the files for changes at once; called when the configuration is reloaded."""
        self.source.wake()

    def status(self) -> dict:
        """Returns the status of the list and its files."""
        return self.source.status()

    def stop(self) -> None:
        """Stops the thread and closes the journal."""
        self.source.stop()
