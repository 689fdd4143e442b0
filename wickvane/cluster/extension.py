"""The node `peers` of the extensions document: its configuration, and the cluster service in a dispatcher."""

from typing import NamedTuple

from wickvane import parts
from wickvane.net import shape

MAX_SEED_NODES = 64
DEFAULT_CLUSTER = "wickvane"
DEFAULT_PROBE_PERIOD = 5_000  # ticks
DEFAULT_CAPACITY = 4_096  # members
DEFAULT_TOMBSTONE_AFTER = 24 * 36_000_000  # ticks
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")


class ClusterConfig(NamedTuple):
    """The values of the node `peers`, with times in ticks.

    listen: the address of the socket. advertise: the address at which other members reach it. probe_period:
    time between two probes. capacity: the maximum number of known members. tombstone_after: how long a failed
    member is kept. state_folder: the folder of the status file and orders, None for neither."""

    cluster: str
    listen: tuple[str, int]
    advertise: tuple[str, int]
    key_file: str
    seeds: tuple[tuple[str, int], ...]
    seeds_file: str | None
    probe_period: int
    capacity: int
    tombstone_after: int
    state_folder: str | None


# The fields that cannot change without a restart, with their names in error messages.
RESTART_FIELDS = {
    "cluster": "cluster",
    "listen": "listen",
    "advertise": "advertise",
    "probe_period": "period",
    "capacity": "most",
    "tombstone_after": "remember",
    "state_folder": "state",
}


def read(node: parts.Node) -> ClusterConfig:
    """Returns the configuration of a node. Raises parts.InvalidDocumentError."""
    listen = node.value("listen", parts.address, required=True)
    advertise = node.value("advertise", parts.address, listen)
    if advertise[0] in UNSPECIFIED_HOSTS:
        raise node.error("an address that the others can send to", advertise[0], "advertise")
    return ClusterConfig(
        cluster=node.value("cluster", parts.name, DEFAULT_CLUSTER),
        listen=listen,
        advertise=advertise,
        key_file=node.value("key-file", parts.path, required=True),
        seeds=_read_seeds(node),
        seeds_file=node.value("seeds-file", parts.path),
        probe_period=node.value("period", parts.duration("100ms", "10s"), DEFAULT_PROBE_PERIOD),
        capacity=node.value("members", parts.integer(2, 16_384), DEFAULT_CAPACITY),
        tombstone_after=node.value("remember", parts.duration("1m", "168h"), DEFAULT_TOMBSTONE_AFTER),
        state_folder=node.value("state", parts.path),
    )


def _read_seeds(node: parts.Node) -> tuple[tuple[str, int], ...]:
    seeds = []
    for child in node.children("seed"):
        seeds.append(child.argument(parts.address))
        child.reject_unknown()
    if len(seeds) > MAX_SEED_NODES:
        raise node.error(f"at most {MAX_SEED_NODES} seeds")
    return tuple(seeds)


class At(shape.Part):
    """The cluster service in one dispatcher."""

    name = "peers"
    threads = 1

    def build(self, service, found) -> None:
        """Creates the cluster service."""
        from wickvane.cluster.service import ClusterService

        self.cluster = ClusterService(
            self.terms,
            service.name,
            service.registry.deployment.dispatcher_count,
            service.seed,
            service.log,
            service.counters,
        )

    def open(self, service) -> None:
        """Binds the address and prepares the state folder."""
        self.cluster.open()

    def start(self, service) -> None:
        """Starts the thread. Queries do not depend on it, so that its end does not end the dispatcher."""
        service.threads.needed(self.cluster.run, "peers")

    def check(self, terms: ClusterConfig) -> list[bytes]:
        """Returns the keys of a new configuration. Raises parts.InvalidDocumentError if it is invalid or
        needs a restart."""
        for field, logged_name in RESTART_FIELDS.items():
            if getattr(terms, field) != getattr(self.terms, field):
                raise parts.InvalidDocumentError(f"peers: {logged_name}: another value needs a restart")
        from wickvane.cluster.wire import read_keys
        from wickvane.files import FileError

        try:
            return read_keys(terms.key_file)
        except FileError as error:
            raise parts.InvalidDocumentError(f"peers: key-file: {error}") from None

    def change(self, terms: ClusterConfig, ready: list[bytes]) -> None:
        """Applies a new configuration with its keys."""
        super().change(terms, ready)
        self.cluster.change(terms, ready)

    def status(self) -> dict:
        """Returns the figures for the counters log line."""
        return self.cluster.status()

    def leave(self, service) -> None:
        """Leaves the cluster."""
        self.cluster.leave()

    def stop(self) -> None:
        """Stops the cluster service."""
        self.cluster.stop()
