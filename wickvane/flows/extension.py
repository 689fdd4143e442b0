"""The node `flows` of the extensions document: its settings, and the extension that runs the exporter."""

from typing import NamedTuple

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net import shape

DEFAULT_ENTERPRISE = 32_473  # reserved for examples by RFC 5612; a site with its own number sets it
UDP_HEADERS_SIZE = 48  # octets of IPv6 and UDP headers, within the path's MTU
MAX_TCP_MESSAGE_SIZE = 16_384
TCP, UDP, TLS = "tcp", "udp", "tls"
# All elements, IANA's elements only, and NetFlow version 9. Only IPFIX is spooled.
IPFIX, PLAIN, NETFLOW9 = "ipfix", "ipfix-plain", "netflow9"


class Credentials(NamedTuple):
    """Paths of the TLS files, and the name that the collector's certificate must have."""

    authority: str
    certificate: str | None
    key: str | None
    name: str | None


class Collector(NamedTuple):
    """A collector, which receives all records. addresses: the primary and its standbys, in dialling order."""

    name: str
    addresses: tuple
    transport: str
    format: str
    max_message_size: int
    stall_timeout: int
    return_after: int
    tls: Credentials | None


class ExportSettings(NamedTuple):
    """Settings of the export. Times in ticks (tenths of a millisecond), sizes in octets."""

    enterprise: int
    domain: int
    active_timeout: int
    idle_timeout: int
    max_flows: int
    collect_interval: int
    statistics_interval: int
    template_refresh: int
    queue_size: int
    policy: str
    resend_size: int
    catch_up_rate: int
    fixed_width_names: bool
    name_width: int
    spool: str | None
    max_spool_size: int
    segment_size: int
    collectors: tuple

    def max_message_size(self, format):
        """Returns the maximum octets of a message that all collectors of a format accept."""
        return min(
            [c.max_message_size for c in self.collectors if c.format == format], default=MAX_TCP_MESSAGE_SIZE
        )


def read_tls(node):
    credentials = Credentials(
        node.value("authority", parts.path, required=True),
        node.value("certificate", parts.path),
        node.value("key", parts.path),
        node.value("name", parts.name),
    )
    node.reject_unknown()
    if credentials.key and not credentials.certificate:
        raise node.error("a certificate to go with the key")
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
    stall_timeout = node.value("stall", parts.duration("100ms", "5m"), 50_000)
    return_after = node.value("home-after", parts.duration("100ms", "24h"), 300_000)
    tls_node = node.child("tls")
    if (tls_node is not None) != (transport == TLS):
        raise node.error('a node tls with transport "tls", and only there', transport, "transport")
    tls = read_tls(tls_node) if tls_node else None
    node.reject_unknown()
    max_message_size = mtu - UDP_HEADERS_SIZE if transport == UDP else MAX_TCP_MESSAGE_SIZE
    return Collector(
        name, tuple(addresses), transport, format, max_message_size, stall_timeout, return_after, tls
    )


def read(node):
    """Reads ExportSettings from the node; raises parts.InvalidDocumentError if it is invalid."""
    collectors, names = [], set()
    for child in node.children("collector"):
        collector = read_collector(child)
        if collector.name in names:
            raise child.error("a unique name", collector.name)
        names.add(collector.name)
        collectors.append(collector)
    if not collectors:
        raise node.error("a node collector")
    if len(collectors) > 8:
        raise node.error("at most 8 collectors")
    policy = node.value("when-full", parts.choice("oldest", "newest"), "oldest")
    queue_size = node.value("queue", parts.size("64KiB", "256MiB"), 1 << 20)
    spool = node.child("spool")
    directory, max_spool_size, segment_size = None, 0, queue_size // 8
    if spool:
        directory = spool.argument(parts.path)
        max_spool_size = spool.property("size", parts.size("256KiB", "1024GiB"), 64 << 20)
        segment_size = spool.property("segment", parts.size("16KiB", "64MiB"), 1 << 20)
        spool.reject_unknown()
        if segment_size > max_spool_size // 4:
            raise spool.error("a segment of at most a quarter of the size")
    return ExportSettings(
        enterprise=node.value("enterprise", parts.integer(1, 0xFFFFFFFE), DEFAULT_ENTERPRISE),
        domain=node.value("domain", parts.integer(1, 0xFFFFFFFF), 1),
        active_timeout=node.value("active-timeout", parts.duration("100ms", "24h"), 600_000),
        idle_timeout=node.value("idle-timeout", parts.duration("100ms", "24h"), 150_000),
        max_flows=node.value("table", parts.integer(16, 1_000_000), 4096),
        collect_interval=node.value("collect-every", parts.duration("10ms", "1m"), 2_500),
        statistics_interval=node.value("statistics-every", parts.duration("100ms", "1h"), 100_000),
        template_refresh=node.value("template-refresh", parts.duration("1s", "24h"), 600_000),
        queue_size=queue_size,
        policy=policy,
        resend_size=node.value("again", parts.size("1KiB", "64MiB"), 256 << 10),
        catch_up_rate=node.value("catch-up", parts.size("1KiB", "1GiB"), 1 << 20),
        fixed_width_names=node.value("names", parts.choice("variable", "fixed"), "variable") == "fixed",
        name_width=node.value("name-width", parts.integer(16, 128), 32),
        spool=directory,
        max_spool_size=max_spool_size,
        segment_size=segment_size,
        collectors=tuple(collectors),
    )


class At(shape.Part):
    """Runs the exporter and its flow accounts in a dispatcher."""

    name, threads = "flows", 1

    def build(self, service, found):
        from wickvane.flows.export import Exporter, InvalidExportError

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
        except InvalidExportError as error:
            raise ConfigError(f"the extensions document: {error}", 2) from None
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
