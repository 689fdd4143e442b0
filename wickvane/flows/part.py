"""The node `flows` of the parts document, read into the figures that the exporter works with."""

from typing import NamedTuple

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net import shape

ENTERPRISE = 32_473  # RFC 5612: kept for examples; a site that has a number of its own names it
UDP_HEADS = 48  # of IPv6 and UDP, within the path's MTU
TCP_MESSAGE = 16_384
TCP, UDP, TLS = "tcp", "udp", "tls"
# Full, in IANA's elements alone, and version 9. Only the first is spooled.
IPFIX, PLAIN, NETFLOW9 = "ipfix", "ipfix-plain", "netflow9"


class Credentials(NamedTuple):
    """Paths of the files of TLS, and the name that the collector's certificate must have."""

    authority: str
    certificate: str | None
    key: str | None
    name: str | None


class Collector(NamedTuple):
    """One copy of all records; addresses: the collector and its standbys, in the order they are tried."""

    name: str
    addresses: tuple
    transport: str
    format: str
    message_most: int
    stall: int
    home: int
    tls: Credentials | None


class Export(NamedTuple):
    """Times in tenths of a millisecond, sizes in octets."""

    enterprise: int
    domain: int
    active: int
    idle: int
    table: int
    every: int
    statistics: int
    refresh: int
    queue: int
    policy: str
    window: int
    pace: int
    fixed: bool
    width: int
    spool: str | None
    spool_most: int
    segment: int
    collectors: tuple

    def message_most(self, format):
        return min([c.message_most for c in self.collectors if c.format == format], default=TCP_MESSAGE)


def read_tls(node):
    credentials = Credentials(
        node.value("authority", parts.path, required=True),
        node.value("certificate", parts.path),
        node.value("key", parts.path),
        node.value("name", parts.name),
    )
    node.reject_unknown()
    if credentials.key and not credentials.certificate:
        raise node.error("a certificate beside the key")
    return credentials


def read_collector(node):
    name = node.argument(parts.name)
    addresses = [node.value("address", parts.address, required=True)]
    for standby in node.children("standby"):
        addresses.append(standby.argument(parts.address))
        standby.reject_unknown()
    transport = node.value("transport", parts.choice(TCP, UDP, TLS), TCP)
    format = node.value("format", parts.choice(IPFIX, PLAIN, NETFLOW9), IPFIX)
    if format == NETFLOW9 and transport != UDP:
        raise node.error('transport "udp" with format "netflow9"', transport, "transport")
    mtu = node.value("mtu", parts.integer(1280, 9216), 1500)
    stall = node.value("stall", parts.duration("100ms", "5m"), 50_000)
    home = node.value("home-after", parts.duration("100ms", "24h"), 300_000)
    secret = node.child("tls")
    if (secret is not None) != (transport == TLS):
        raise node.error('a node tls with transport "tls", and only there', transport, "transport")
    tls = read_tls(secret) if secret else None
    node.reject_unknown()
    most = mtu - UDP_HEADS if transport == UDP else TCP_MESSAGE
    return Collector(name, tuple(addresses), transport, format, most, stall, home, tls)


def read(node):
    """An Export from the node; parts.InvalidDocumentError where it cannot be used."""
    collectors, names = [], set()
    for child in node.children("collector"):
        collector = read_collector(child)
        if collector.name in names:
            raise child.error("names that differ", collector.name)
        names.add(collector.name)
        collectors.append(collector)
    if not collectors:
        raise node.error("a node collector")
    if len(collectors) > 8:
        raise node.error("8 collectors at most")
    policy = node.value("when-full", parts.choice("oldest", "newest"), "oldest")
    queue = node.value("queue", parts.size("64KiB", "256MiB"), 1 << 20)
    spool = node.child("spool")
    directory, spool_most, segment = None, 0, queue // 8
    if spool:
        directory = spool.argument(parts.path)
        spool_most = spool.property("size", parts.size("256KiB", "1024GiB"), 64 << 20)
        segment = spool.property("segment", parts.size("16KiB", "64MiB"), 1 << 20)
        spool.reject_unknown()
        if segment > spool_most // 4:
            raise spool.error("a segment of a quarter of the size at most")
    return Export(
        enterprise=node.value("enterprise", parts.integer(1, 0xFFFFFFFE), ENTERPRISE),
        domain=node.value("domain", parts.integer(1, 0xFFFFFFFF), 1),
        active=node.value("active-timeout", parts.duration("100ms", "24h"), 600_000),
        idle=node.value("idle-timeout", parts.duration("100ms", "24h"), 150_000),
        table=node.value("table", parts.integer(16, 1_000_000), 4096),
        every=node.value("collect-every", parts.duration("10ms", "1m"), 2_500),
        statistics=node.value("statistics-every", parts.duration("100ms", "1h"), 100_000),
        refresh=node.value("template-refresh", parts.duration("1s", "24h"), 600_000),
        queue=queue,
        policy=policy,
        window=node.value("again", parts.size("1KiB", "64MiB"), 256 << 10),
        pace=node.value("catch-up", parts.size("1KiB", "1GiB"), 1 << 20),
        fixed=node.value("names", parts.choice("variable", "fixed"), "variable") == "fixed",
        width=node.value("name-width", parts.integer(16, 128), 32),
        spool=directory,
        spool_most=spool_most,
        segment=segment,
        collectors=tuple(collectors),
    )


class At(shape.Part):
    """The exporter and its accounts, in a dispatcher."""

    name, threads = "flows", 1

    def build(self, service, found):
        from wickvane.flows.export import Exporter, Unusable

        registry = service.registry
        try:
            self.exporter = Exporter(
                self.terms,
                service.clock,
                service.log,
                service.counters,
                registry.group_names,
                registry.tenants.index,
                service.seed,
            )
        except Unusable as error:
            raise ConfigError(f"the parts document: {error}", 2) from None
        service.accounts = self.exporter.accounts

    def settled(self, service):
        self.exporter.start()

    def check(self, terms):
        return self.exporter.prepare(terms)

    def change(self, terms, ready):
        super().change(terms, ready)
        self.exporter.change(terms, ready)

    def status(self):
        return self.exporter.accounts.shown()

    def stop(self):
        self.exporter.stop()
