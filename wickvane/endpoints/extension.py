"""The extension `members`: an endpoint list from watched files, in a dispatcher."""

from typing import TYPE_CHECKING

from wickvane import parts
from wickvane.endpoints.config import EndpointsConfig, read_config
from wickvane.net import shape

if TYPE_CHECKING:
    from wickvane.net.service import Service


def read(node: parts.Node) -> EndpointsConfig:
    """The configuration in a node of the extensions document. Raises parts.InvalidDocumentError."""
    return read_config(node)


class At(shape.Part):
    """The running extension."""

    name = "members"
    threads = 1

    def prepare(self, service: "Service", found: dict) -> None:
        """Takes the place of the coordinator's list in the service."""
        service.lister = self

    def join(self, service: "Service", found: dict) -> None:
        """Makes the source, recovered from its journal. Raises ConfigError."""
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
        """Takes in an event of the coordinator's stream."""
        self.source.apply_stream_event(number, is_full, entries)

    def start(self, service: "Service") -> None:
        """Publishes the list, and starts to watch; the coordinator's stream goes on from what is known."""
        coordinator = service.coordinator
        number, events = service.known
        self.source.start(events if coordinator else ())
        if coordinator:
            coordinator.last = max(number, *(event[0] for event in events), 0)

    def change(self, terms: EndpointsConfig, ready: object) -> None:
        """At a reload: the files are read again at once."""
        self.source.wake()

    def status(self) -> dict:
        """The status of the list and its files."""
        return self.source.status()

    def stop(self) -> None:
        """Stops the thread and closes the journal."""
        self.source.stop()
