"""The node `members` of the extensions document, as plain values.

This module maps the names in the document to the names that the code uses.
"""

from typing import NamedTuple

from wickvane import parts
from wickvane.endpoints.change_policy import ChangeLimits, ChangePolicy
from wickvane.endpoints.document import DEFAULT_MAX_ENGINES
from wickvane.endpoints.findings import Severity

WATCH_EVENTS = "events"
WATCH_POLL = "poll"
DEFAULT_POLL_INTERVAL = 2_500  # ticks
DEFAULT_SETTLE_TIME = 1_000  # ticks
DEFAULT_MAX_FILE_SIZE = 16 << 20  # octets
DEFAULT_MAX_FILES = 1_000

SEVERITIES_BY_NAME = {
    "note": Severity.NOTE,
    "steps": Severity.STAGE,
    "hold": Severity.HOLD,
    "refuse": Severity.REJECT,
}


class EndpointsConfig(NamedTuple):
    """The source of the list and the policy for its changes. Durations are ticks.

    path: of the file, or of the directory of files. state_folder: the folder of the journal, None if no
    journal is kept. settle_time: time for which a file must have been unchanged before it is read.
    max_file_size: octets.
    """

    path: str
    is_directory: bool
    state_folder: str | None
    is_seal_required: bool
    watch: str
    poll_interval: int
    settle_time: int
    max_file_size: int
    max_engines: int
    max_files: int
    policy: ChangePolicy


class _LimitNode(NamedTuple):
    """A node in `limits`. value_field, value_type: None if the node has no value."""

    name: str
    severity_field: str
    value_field: str | None = None
    value_type: parts.ValueType | None = None


_LIMIT_NODES = (
    _LimitNode("share-removed", "removed_fraction_severity", "removed_fraction", parts.number(0.001, 1)),
    _LimitNode("capacity-left", "load_fraction_severity", "load_fraction", parts.number(0.01, 100)),
    _LimitNode("weight-jump", "weight_factor_severity", "weight_factor", parts.number(1.01, 1000)),
    _LimitNode("group-without-engine", "last_of_group_severity"),
    _LimitNode("empty", "empty_severity"),
)
_SEVERITY_NAME = parts.choice(*SEVERITIES_BY_NAME)


def read_config(node: parts.Node) -> EndpointsConfig:
    """Returns the configuration in a node. Raises parts.InvalidDocumentError."""
    file = node.value("file", parts.path)
    directory = node.value("directory", parts.path)
    if (file is None) == (directory is None):
        raise node.error("expected either a node file or a node directory, with a path")
    policy = _read_policy(node)
    return EndpointsConfig(
        path=directory or file,
        is_directory=directory is not None,
        state_folder=node.value("state", parts.path),
        is_seal_required=node.value("sealed", parts.flag, False),
        watch=node.value("watch", parts.choice(WATCH_EVENTS, WATCH_POLL), WATCH_EVENTS),
        poll_interval=node.value("poll", parts.duration("50ms", "10s"), DEFAULT_POLL_INTERVAL),
        settle_time=node.value("still", parts.duration("10ms", "10s"), DEFAULT_SETTLE_TIME),
        max_file_size=node.value("most", parts.size("1KiB", "64MiB"), DEFAULT_MAX_FILE_SIZE),
        max_engines=node.value("engines", parts.integer(1, 100_000), DEFAULT_MAX_ENGINES),
        max_files=node.value("parts", parts.integer(1, 10_000), DEFAULT_MAX_FILES),
        policy=policy,
    )


def _read_policy(node: parts.Node) -> ChangePolicy:
    defaults = ChangePolicy()
    return ChangePolicy(
        limits=_read_limits(node),
        step_interval=node.value("step", parts.duration("10ms", "1h"), defaults.step_interval),
        confirmation_timeout=node.value("hold", parts.duration("1s", "168h"), defaults.confirmation_timeout),
        drain_timeout=node.value("linger", parts.duration("1s", "24h"), defaults.drain_timeout),
        overrides_coordinator=node.value("overrides", parts.flag, False),
    )


def _read_limits(node: parts.Node) -> ChangeLimits:
    limits = ChangeLimits()
    limits_node = node.child("limits")
    if limits_node is None:
        return limits
    for limit in _LIMIT_NODES:
        child = limits_node.child(limit.name)
        if child is None:
            continue
        if limit.value_type is not None:
            limits = limits._replace(**{limit.value_field: child.argument(limit.value_type)})
        severity_name = child.property("past", _SEVERITY_NAME)
        if severity_name is not None:
            limits = limits._replace(**{limit.severity_field: SEVERITIES_BY_NAME[severity_name]})
        child.reject_unknown()
    limits_node.reject_unknown()
    return limits
