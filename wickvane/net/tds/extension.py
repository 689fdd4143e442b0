"""The node `tds` of the extension document: a listener for TDS clients, and which engines speak TDS.

The node's names and those of the fields here are the document's.
"""

import ipaddress
import re
from typing import NamedTuple

from wickvane import parts
from wickvane.files import FileError
from wickvane.net import shape
from wickvane.net.tds import authentication

MAX_PASSWORD_SIZE = 1024  # characters of a password file's content
MAX_PATTERN_CHARACTERS = 128
TICKS_PER_LIMIT_UNIT = 10  # the limit field is in milliseconds
MAX_CONNECTIONS = 10_000
DEFAULT_CONNECTIONS = 64
DEFAULT_IDLE = 600_000  # ticks
DEFAULT_ATTENTION_TIME = 50_000  # ticks
MIN_CLIENT_DESCRIPTORS = 8
LIMIT = parts.duration("1ms", "24h")
TDS_CLIENTS = 1  # place among the client protocols of service.fronts; PostgreSQL is 0
NEEDS_RESTART = ("listen", "connections", "engines", "lines", "acknowledge")


class Rule(NamedTuple):
    """Which resource group the queries of a login get; patterns are regular expressions, None matches all."""

    application: str | None
    database: str | None
    user: str | None
    group: str
    tenant: str | None
    limit: str  # milliseconds, as in the field ahead of a statement


class Engines(NamedTuple):
    """A type of engine that speaks TDS, and the login at it."""

    kind: str
    user: str
    password: str
    database: str
    postgres: bool  # whether PostgreSQL clients' queries may use it


class Tds(NamedTuple):
    """The node's values; times in ticks."""

    listen: tuple | None
    connections: int
    idle: int
    encryption: str
    certificate: str | None
    key: str | None
    users: dict | None
    rules: tuple
    engines: tuple
    lines: bool  # whether TDS clients' queries may use engines of the line protocol
    acknowledge: int


PATTERN_TEXT = parts.ValueType(
    "a text with * for any characters",
    lambda value: (
        value if isinstance(value, str) and 0 < len(value) <= MAX_PATTERN_CHARACTERS else parts.reject_value()
    ),
)


def read(node: parts.Node) -> Tds:
    """Reads the node; raises parts.InvalidDocumentError where a value cannot be used."""
    listen = node.value("listen", parts.address)
    encryption = node.value("encrypt", parts.choice("off", "on", "required"), "off")
    certificate = node.value("certificate", parts.path)
    key = node.value("key", parts.path)
    if encryption != "off" and not certificate:
        raise node.error("a certificate where TLS is on")
    users = _read_users(node, listen)
    rules = tuple(_read_rule(child) for child in node.children("rule"))
    engines = tuple(_read_engines(child) for child in node.children("engines"))
    if len({each.kind for each in engines}) < len(engines):
        raise node.error("each kind of engines once")
    return Tds(
        listen=listen,
        connections=node.value("connections", parts.integer(1, MAX_CONNECTIONS), DEFAULT_CONNECTIONS),
        idle=node.value("idle", parts.duration("1s", "24h"), DEFAULT_IDLE),
        encryption=encryption,
        certificate=certificate,
        key=key,
        users=users,
        rules=rules,
        engines=engines,
        lines=node.value("lines-take-tds", parts.flag, False),
        acknowledge=node.value("attention-time", parts.duration("10ms", "1m"), DEFAULT_ATTENTION_TIME),
    )


def _read_users(node: parts.Node, listen: tuple | None) -> dict[str, str] | None:
    path = node.value("logins", parts.path)
    if path:
        try:
            return authentication.read_password_file(path)
        except FileError as error:
            raise node.error(str(error), path, "logins") from None
    if listen and not ipaddress.ip_address(listen[0]).is_loopback:
        raise node.error("a file of logins where others than this machine can connect")
    return None


def _read_rule(node: parts.Node) -> Rule:
    rule = Rule(
        application=_read_pattern(node, "application"),
        database=_read_pattern(node, "database"),
        user=node.property("user", parts.name),
        group=node.value("group", parts.name, required=True),
        tenant=node.value("tenant", parts.name),
        limit=str(node.value("limit", LIMIT, required=True) // TICKS_PER_LIMIT_UNIT),
    )
    node.reject_unknown()
    return rule


def _read_pattern(node: parts.Node, name: str) -> str | None:
    value = node.property(name, PATTERN_TEXT)
    return None if value is None else ".*".join(map(re.escape, value.split("*")))


def _read_engines(node: parts.Node) -> Engines:
    password = _read_engine_password(node)
    engines = Engines(
        kind=node.argument(parts.name),
        user=node.value("user", parts.name, "wickvane"),
        password=password,
        database=node.value("database", parts.name, ""),
        postgres=node.value("takes-postgres", parts.flag, False),
    )
    node.reject_unknown()
    return engines


def _read_engine_password(node: parts.Node) -> str:
    path = node.value("password-file", parts.path)
    if not path:
        return ""
    try:
        with open(path) as file:
            return file.read(MAX_PASSWORD_SIZE).strip("\r\n")
    except (OSError, UnicodeDecodeError) as error:
        raise node.error(f"a file that can be read ({error})", path, "password-file") from None


class At(shape.Part):
    """The TDS listener and engines by TDS in a running dispatcher.

    Modules of the package are imported in the steps, so that reading a document imports none of them."""

    name = "tds"
    threads = 1

    def prepare(self, service, found: dict) -> None:
        """As shape.Part: the engine types of each client protocol."""
        from wickvane.net.tds import engine_types

        service.fronts = engine_types.engine_types_by_protocol(self.terms, found)
        service.speaks = engine_types.engine_protocols(self.terms)

    def join(self, service, found: dict) -> None:
        """As shape.Part: the listener's logins and certificates."""
        from wickvane.net.listener import SPARE
        from wickvane.net.tds.engine_types import document_error
        from wickvane.net.tds.listener import ListenerConfig

        try:
            self.listener = ListenerConfig(self.terms)
        except (OSError, ValueError) as error:
            raise document_error(f"certificate: its files cannot be used: {error}") from None
        service.links.attention_timeout = self.terms.acknowledge
        if self.terms.listen:
            # TDS clients take their descriptors from those that clients may hold.
            reserved = self.terms.connections + SPARE
            service.most_clients = max(MIN_CLIENT_DESCRIPTORS, service.most_clients - reserved)

    def open(self, service) -> None:
        """As shape.Part: the listening socket."""
        if self.terms.listen:
            from wickvane.net.statement import Reader
            from wickvane.net.tds.session_factory import SessionFactory

            factory = SessionFactory(self.listener, Reader(service.registry, TDS_CLIENTS))
            service.listen(self.terms.listen, self.terms.connections, factory)

    def check(self, terms: Tds):
        """As shape.Part: the TLS context of a changed document, for change()."""
        from wickvane.net.tds.listener import load_tls_context

        for name in NEEDS_RESTART:
            if getattr(self.terms, name) != getattr(terms, name):
                raise parts.InvalidDocumentError(f"tds: {name}: another value needs a restart")
        try:
            return load_tls_context(terms)
        except (OSError, ValueError) as error:
            raise parts.InvalidDocumentError(f"tds: certificate: its files cannot be used: {error}") from None

    def change(self, terms: Tds, ready) -> None:
        """As shape.Part: new rules, logins and certificates."""
        super().change(terms, ready)
        self.listener.update(terms, ready)
