"""The node `control` of the parts document."""

from typing import NamedTuple

from wickvane import parts
from wickvane.xds import endpoint_snapshot
from wickvane.xds.control_plane import Nodes


class Secrets(NamedTuple):
    """Paths of the files of mutual TLS."""

    authority: str
    certificate: str
    key: str


class Part(NamedTuple):
    """Times in tenths of a millisecond. tables: table groups from 0 up to this; proxies: that share the pool
    at most, from which their bounds follow."""

    listen: tuple
    tables: int
    proxies: int
    epoch: str
    ttl: int
    snapshot: str | None
    floor: endpoint_snapshot.Floor
    nodes: Nodes
    tls: Secrets | None
    stall: int


def read_pattern(value):
    return value if isinstance(value, str) and 0 < len(value) <= 128 and value.isprintable() else refuse()


def refuse():
    raise ValueError


pattern = parts.Kind("a pattern of node names (128 characters at most)", read_pattern)


def read(node):
    listen = node.value("listen", parts.address, needed=True)
    secret, tls = node.child("tls"), None
    if secret:
        tls = Secrets(
            *(secret.value(name, parts.path, needed=True) for name in ("authority", "certificate", "key"))
        )
        secret.done()
    elif not listen[0].startswith("127.") and listen[0] != "::1":
        raise node.wrong(
            "a node tls, or an address of this machine's own", ":".join(map(str, listen)), "listen"
        )
    rules = []
    for child in node.children("node"):
        groups = []
        for group in child.children("group"):
            groups.append(group.argument(parts.name))
            group.done()
        rules.append((child.argument(pattern), tuple(groups) or None))
        child.done()
    floor, guard = endpoint_snapshot.Floor(), node.child("floor")
    if guard:
        floor = endpoint_snapshot.Floor(
            guard.property("share", parts.share(0.01, 1), floor.share),
            guard.property("least", parts.whole(1, 10_000), floor.least),
            guard.property(
                "past",
                parts.word(endpoint_snapshot.HOLD, endpoint_snapshot.STEPS, endpoint_snapshot.TAKE),
                floor.what,
            ),
            guard.property("time", parts.duration("1s", "24h"), floor.time),
        )
        guard.done()
    return Part(
        listen,
        node.value("tables", parts.whole(0, 5000), 100),
        node.value("proxies", parts.whole(1, 10_000), 1),
        node.value("epoch", parts.name, "0").replace(".", "-"),
        node.value("time-to-live", parts.duration("0ms", "24h"), 0),
        node.value("snapshot", parts.path),
        floor,
        Nodes(
            tuple(rules),
            node.value("streams", parts.whole(1, 100_000), 1000),
            node.value("streams-a-node", parts.whole(1, 1000), 4),
        ),
        tls,
        node.value("stall", parts.duration("100ms", "10m"), 100_000),
    )
