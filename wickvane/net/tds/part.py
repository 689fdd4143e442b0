"""The node `tds` of the parts document: a listener for TDS clients, and which engines speak it."""

import ipaddress
import re
from typing import NamedTuple

from wickvane import parts
from wickvane.files import FileError
from wickvane.net import shape
from wickvane.net.tds import logins

LIMITS = parts.duration("1ms", "24h")


class Rule(NamedTuple):
    """Which logins stand for which resource group; patterns are regular expressions, None for any."""

    application: str | None
    database: str | None
    user: str | None
    group: str
    tenant: str | None
    limit: str  # milliseconds, as the comment's field has them


class Engines(NamedTuple):
    """A kind of engine that speaks TDS, and how it is logged in to."""

    kind: str
    user: str
    password: str
    database: str
    postgres: bool  # whether it takes what came from PostgreSQL clients too


class Tds(NamedTuple):
    """The node's figures."""

    listen: tuple | None
    connections: int
    idle: int
    encryption: str
    certificate: str | None
    key: str | None
    users: dict | None
    rules: tuple
    engines: tuple
    lines: bool  # whether engines of the line protocol take what came from TDS clients
    acknowledge: int


TEXT = parts.Kind(
    "a text with * for any characters",
    lambda value: value if isinstance(value, str) and 0 < len(value) <= 128 else parts.refuse(),
)


def pattern(node, name):
    value = node.property(name, TEXT)
    return None if value is None else ".*".join(map(re.escape, value.split("*")))


def read(node):
    """A Tds from the node; parts.Unusable where it cannot be used."""
    listen = node.value("listen", parts.address)
    encryption = node.value("encrypt", parts.word("off", "on", "required"), "off")
    certificate, key = node.value("certificate", parts.path), node.value("key", parts.path)
    if encryption != "off" and not certificate:
        raise node.wrong("a certificate where TLS is on")
    path, users = node.value("logins", parts.path), None
    if path:
        try:
            users = logins.read(path)
        except FileError as error:
            raise node.wrong(str(error), path, "logins") from None
    elif listen and not ipaddress.ip_address(listen[0]).is_loopback:
        raise node.wrong("a file of logins where others than this machine can connect")
    rules, engines = [], []
    for child in node.children("rule"):
        rules.append(
            Rule(
                pattern(child, "application"),
                pattern(child, "database"),
                child.property("user", parts.name),
                child.value("group", parts.name, needed=True),
                child.value("tenant", parts.name),
                str(child.value("limit", LIMITS, needed=True) // 10),
            )
        )
        child.done()
    for child in node.children("engines"):
        file, password = child.value("password-file", parts.path), ""
        if file:
            try:
                with open(file) as opened:
                    password = opened.read(1024).strip("\r\n")
            except (OSError, UnicodeDecodeError) as error:
                raise child.wrong(f"a file that can be read ({error})", file, "password-file") from None
        engines.append(
            Engines(
                child.argument(parts.name),
                child.value("user", parts.name, "wickvane"),
                password,
                child.value("database", parts.name, ""),
                child.value("takes-postgres", parts.flag, False),
            )
        )
        child.done()
    if len({e.kind for e in engines}) < len(engines):
        raise node.wrong("each kind of engines once")
    return Tds(
        listen,
        node.value("connections", parts.whole(1, 10_000), 64),
        node.value("idle", parts.duration("1s", "24h"), 600_000),
        encryption,
        certificate,
        key,
        users,
        tuple(rules),
        tuple(engines),
        node.value("lines-take-tds", parts.flag, False),
        node.value("attention-time", parts.duration("10ms", "1m"), 50_000),
    )


class At(shape.Part):
    """The second front, and engines that speak its protocol."""

    name, threads = "tds", 1

    def prepare(self, service, found):
        from wickvane.net.tds import fronts

        service.fronts, service.speaks = fronts.fronts(self.terms, found), fronts.speaks(self.terms)

    def join(self, service, found):
        from wickvane.net.listener import SPARE
        from wickvane.net.tds import fronts

        self.door = fronts.door(self.terms)
        service.links.attention_time = self.terms.acknowledge
        if self.terms.listen:
            # Of the descriptors that clients may hold, some are these clients'.
            service.most_clients = max(8, service.most_clients - self.terms.connections - SPARE)

    def open(self, service):
        if self.terms.listen:
            from wickvane.net.tds.fronts import session

            service.listen(self.terms.listen, self.terms.connections, session(service, self.door))

    def check(self, terms):
        from wickvane.net.tds import fronts

        return fronts.prepare(self.terms, terms)

    def change(self, terms, ready):
        super().change(terms, ready)
        self.door.change(terms, terms.users, ready)
