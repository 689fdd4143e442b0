"""The node `tds` of the extensions document: a listener for TDS clients, and the engine types that speak TDS.

The node names and field names here belong to the document's format. The fields listed in NEEDS_RESTART are
compared by name, and these names appear in error messages.
"""

import ipaddress
import re
from typing import NamedTuple

from wickvane import parts
from wickvane.files import FileError
from wickvane.net import shape
from wickvane.net.tds import authentication

MAX_PASSWORD_SIZE = 1024  # characters read from a password file
MAX_PATTERN_CHARACTERS = 128
TICKS_PER_LIMIT_UNIT = 10  # a rule's limit is in milliseconds
MAX_CONNECTIONS = 10_000
DEFAULT_CONNECTIONS = 64
DEFAULT_IDLE = 600_000  # ticks
DEFAULT_ATTENTION_TIME = 50_000  # ticks
MIN_CLIENT_DESCRIPTORS = 8
LIMIT_DURATION = parts.duration("1ms", "24h")
TDS_PROTOCOL_INDEX = 1  # index in service.fronts; that of PostgreSQL clients is 0
NEEDS_RESTART = ("listen", "connections", "engines", "lines", "acknowledge")


class Rule(NamedTuple):
    """The resource group, tenant and time limit for the queries of matching logins.

    application and database are regular expressions; None matches every login."""

    application: str | None
    database: str | None
    user: str | None
    group: str
    tenant: str | None
    limit: str  # milliseconds, as in the fields of a statement's comment


class EngineType(NamedTuple):
    """An engine type that speaks TDS, and the login at its engines."""

    kind: str
    user: str
    password: str
    database: str
    postgres: bool  # whether queries of PostgreSQL clients may use it


class Tds(NamedTuple):
    """The values of the node; times are in ticks."""

    listen: tuple | None
    connections: int
    idle: int
    encryption: str
    certificate: str | None
    key: str | None
    users: dict | None
    rules: tuple
    engines: tuple
    lines: bool  # whether queries of TDS clients may use engines of the line protocol
    acknowledge: int


PATTERN_TEXT = parts.ValueType(
    "a text in which * matches any characters",
    lambda value: (
        value if isinstance(value, str) and 0 < len(value) <= MAX_PATTERN_CHARACTERS else parts.reject_value()
    ),
)


def read(node: parts.Node) -> Tds:
    """Reads the node; raises parts.InvalidDocumentError if a value is invalid."""
    listen = node.value("listen", parts.address)
    encryption = node.value("encrypt", parts.choice("off", "on", "required"), "off")
    certificate = node.value("certificate", parts.path)
    key = node.value("key", parts.path)
    if encryption != "off" and not certificate:
        raise node.error("a certificate if encrypt is not off")
    users = _read_users(node, listen)
    rules = tuple(_read_rule(child) for child in node.children("rule"))
    engines = tuple(_read_engines(child) for child in node.children("engines"))
    if len({engine_type.kind for engine_type in engines}) < len(engines):
        raise node.error("a unique kind for each engines node")
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
        raise node.error("a logins file if listen is not a loopback address")
    return None


def _read_rule(node: parts.Node) -> Rule:
    rule = Rule(
        application=_read_pattern(node, "application"),
        database=_read_pattern(node, "database"),
        user=node.property("user", parts.name),
        group=node.value("group", parts.name, required=True),
        tenant=node.value("tenant", parts.name),
        limit=str(node.value("limit", LIMIT_DURATION, required=True) // TICKS_PER_LIMIT_UNIT),
    )
    node.reject_unknown()
    return rule


def _read_pattern(node: parts.Node, name: str) -> str | None:
    value = node.property(name, PATTERN_TEXT)
    return None if value is None else ".*".join(map(re.escape, value.split("*")))


def _read_engines(node: parts.Node) -> EngineType:
    password = _read_engine_password(node)
    engines = EngineType(
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
        raise node.error(f"a readable file ({error})", path, "password-file") from None


class At(shape.Part):
    """The TDS listener and the TDS engines of a running dispatcher.

    The methods import the package's modules, so that reading a document imports none of them."""

    name = "tds"
    threads = 1

    def prepare(self, service, found: dict) -> None:
        """See shape.Part; sets the engine types that each client protocol may use."""
        from wickvane.net.tds import engine_types

        service.fronts = engine_types.engine_types_by_protocol(self.terms, found)
        service.protocols = engine_types.engine_protocols(self.terms)

    def join(self, service, found: dict) -> None:
        """See shape.Part; loads the listener's logins and certificates."""
        from wickvane.net.listener import SPARE
        from wickvane.net.tds.engine_types import document_error
        from wickvane.net.tds.listener import ListenerConfig

        try:
            self.listener = ListenerConfig(self.terms)
        except (OSError, ValueError) as error:
            raise document_error(f"certificate: its files cannot be used: {error}") from None
        service.links.attention_timeout = self.terms.acknowledge
        if self.terms.listen:
            # The descriptors for TDS clients are taken from the number that all clients may use.
            reserved = self.terms.connections + SPARE
            service.max_clients = max(MIN_CLIENT_DESCRIPTORS, service.max_clients - reserved)

    def open(self, service) -> None:
        """See shape.Part; opens the listening socket."""
        if self.terms.listen:
            from wickvane.net.statement import Reader
            from wickvane.net.tds.session_factory import SessionFactory

            factory = SessionFactory(self.listener, Reader(service.registry, TDS_PROTOCOL_INDEX))
            service.listen(self.terms.listen, self.terms.connections, factory)

    def check(self, terms: Tds):
        """See shape.Part; returns the TLS context of a changed document, for change()."""
        from wickvane.net.tds.listener import load_tls_context

        for name in NEEDS_RESTART:
            if getattr(self.terms, name) != getattr(terms, name):
                raise parts.InvalidDocumentError(f"tds: {name}: another value needs a restart")
        try:
            return load_tls_context(terms)
        except (OSError, ValueError) as error:
            raise parts.InvalidDocumentError(f"tds: certificate: its files cannot be used: {error}") from None

    def change(self, terms: Tds, ready) -> None:
        """See shape.Part; applies new rules, logins and certificates."""
        super().change(terms, ready)
        self.listener.update(terms, ready)
