"""Reads the node `control` of the extensions document. Only this module uses the names in that node."""

from typing import Any, NamedTuple

from wickvane import parts
from wickvane.xds.endpoint_snapshot import DEFAULT_REMOVAL_LIMIT, ExcessAction, RemovalLimit
from wickvane.xds.node_access import NodeAccess, NodeRule

MAX_PATTERN_CHARACTERS = 128
MAX_TABLE_GROUPS = 5000
DEFAULT_TABLE_GROUPS = 100
MAX_PROXIES = 10_000
MAX_STREAMS = 100_000
MAX_STREAMS_PER_NODE = 1000
DEFAULT_STALL_TIMEOUT_TICKS = 100_000
IPV4_LOOPBACK_PREFIX = "127."
IPV6_LOOPBACK_ADDRESS = "::1"


class TlsFiles(NamedTuple):
    """Paths of the files for mutual TLS; authority: the certificate of the certificate authority."""

    authority: str
    certificate: str
    key: str


class ControlSettings(NamedTuple):
    """The settings of the control service.

    table_groups: the highest table group; proxy_count: the maximum number of proxies that share the engines,
    which determines their circuit breakers; ttl: time to live of endpoints in ticks, 0 for none;
    stall_timeout: ticks within which a proxy must read a response.
    """

    listen: tuple[str, int]
    table_groups: int
    proxy_count: int
    epoch: str
    ttl: int
    snapshot_folder: str | None
    removal_limit: RemovalLimit
    access: NodeAccess
    tls: TlsFiles | None
    stall_timeout: int


def read(node: Any) -> ControlSettings:
    """Reads the settings from a node. Raises parts.InvalidDocumentError."""
    listen = node.value("listen", parts.address, required=True)
    tls = _read_tls(node)
    if tls is None and not _is_loopback(listen[0]):
        raise node.error("a node tls, or a loopback address", ":".join(map(str, listen)), "listen")
    rules = _read_node_rules(node)
    removal_limit = _read_removal_limit(node)
    return ControlSettings(
        listen,
        node.value("tables", parts.integer(0, MAX_TABLE_GROUPS), DEFAULT_TABLE_GROUPS),
        node.value("proxies", parts.integer(1, MAX_PROXIES), 1),
        node.value("epoch", parts.name, "0").replace(".", "-"),
        node.value("time-to-live", parts.duration("0ms", "24h"), 0),
        node.value("snapshot", parts.path),
        removal_limit,
        NodeAccess(
            rules,
            node.value("streams", parts.integer(1, MAX_STREAMS), 1000),
            node.value("streams-a-node", parts.integer(1, MAX_STREAMS_PER_NODE), 4),
        ),
        tls,
        node.value("stall", parts.duration("100ms", "10m"), DEFAULT_STALL_TIMEOUT_TICKS),
    )


def _read_pattern(value: Any) -> str:
    is_short_text = isinstance(value, str) and 0 < len(value) <= MAX_PATTERN_CHARACTERS
    if not is_short_text or not value.isprintable():
        raise ValueError
    return value


_PATTERN = parts.ValueType("a pattern of node names (at most 128 characters)", _read_pattern)


def _is_loopback(host: str) -> bool:
    return host.startswith(IPV4_LOOPBACK_PREFIX) or host == IPV6_LOOPBACK_ADDRESS


def _read_tls(node: Any) -> TlsFiles | None:
    child = node.child("tls")
    if not child:
        return None
    paths = [child.value(name, parts.path, required=True) for name in TlsFiles._fields]
    child.reject_unknown()
    return TlsFiles(*paths)


def _read_node_rules(node: Any) -> tuple[NodeRule, ...]:
    rules = []
    for child in node.children("node"):
        groups = []
        for group in child.children("group"):
            groups.append(group.argument(parts.name))
            group.reject_unknown()
        rules.append(NodeRule(child.argument(_PATTERN), tuple(groups) or None))
        child.reject_unknown()
    return tuple(rules)


def _read_removal_limit(node: Any) -> RemovalLimit:
    child = node.child("floor")
    default = DEFAULT_REMOVAL_LIMIT
    if not child:
        return default
    actions = (ExcessAction.HOLD, ExcessAction.REMOVE_IN_STEPS, ExcessAction.REMOVE)
    action_type = parts.choice(*(action.value for action in actions))
    limit = RemovalLimit(
        child.property("share", parts.number(0.01, 1), default.max_share),
        child.property("least", parts.integer(1, 10_000), default.min_count),
        ExcessAction(child.property("past", action_type, default.action.value)),
        child.property("time", parts.duration("1s", "24h"), default.duration),
    )
    child.reject_unknown()
    return limit
