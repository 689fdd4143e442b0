"""The node `peers` of the parts document."""

from typing import NamedTuple

from wickvane import parts
from wickvane.net import shape

SEEDS_MOST = 64


class Part(NamedTuple):
    """listen: address of this dispatcher's socket; advertise: the one at which the others reach it; period:
    between two probes, remember: how long who failed is asked for, in tenths of a millisecond; state: folder
    of what is shown and ordered, None: neither."""

    cluster: str
    listen: tuple
    advertise: tuple
    key_file: str
    seeds: tuple
    seeds_file: str | None
    period: int
    most: int
    remember: int
    state: str | None


def read(node):
    listen = node.value("listen", parts.address, needed=True)
    advertise = node.value("advertise", parts.address, listen)
    if advertise[0] in ("0.0.0.0", "::"):
        raise node.wrong("an address that the others can send to", advertise[0], "advertise")
    seeds = []
    for child in node.children("seed"):
        seeds.append(child.argument(parts.address))
        child.done()
    if len(seeds) > SEEDS_MOST:
        raise node.wrong(f"{SEEDS_MOST} seeds at most")
    return Part(
        node.value("cluster", parts.name, "wickvane"),
        listen,
        advertise,
        node.value("key-file", parts.path, needed=True),
        tuple(seeds),
        node.value("seeds-file", parts.path),
        node.value("period", parts.duration("100ms", "10s"), 5_000),
        node.value("members", parts.whole(2, 16_384), 4_096),
        node.value("remember", parts.duration("1m", "168h"), 24 * 36_000_000),
        node.value("state", parts.path),
    )


class At(shape.Part):
    """One dispatcher among its peers."""

    name, threads = "peers", 1
    CHANGES = {"seeds", "seeds_file", "key_file"}  # while it runs

    def build(self, service, found):
        from wickvane.cluster.shell import Peers

        self.peers = Peers(
            self.terms,
            service.name,
            service.registry.deployment.dispatcher_count,
            service.seed,
            service.log,
            service.counters,
        )

    def open(self, service):
        self.peers.open()

    def start(self, service):
        # Queries do without it: its death would not end the program.
        service.threads.needed(self.peers.run, "peers")

    def check(self, terms):
        for field in Part._fields:
            if field not in self.CHANGES and getattr(terms, field) != getattr(self.terms, field):
                raise parts.Unusable(f"peers: {field}: another value needs a restart")
        from wickvane.cluster.wire import read_keys
        from wickvane.files import FileError

        try:
            return read_keys(terms.key_file)
        except FileError as error:
            raise parts.Unusable(f"peers: key-file: {error}") from None

    def change(self, terms, ready):
        super().change(terms, ready)
        self.peers.change(terms, ready)

    def status(self):
        return self.peers.brief()

    def leave(self, service):
        self.peers.leave()

    def stop(self):
        self.peers.stop()
