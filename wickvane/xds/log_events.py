"""The events that the decisions report for the log.

Only this module defines their names and fields in the log.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from wickvane.xds.resource_types import ResourceType

MAX_LOGGED_NAMES = 20


@dataclass(frozen=True, slots=True)
class StaleEventIgnored:
    """An endpoint event is not newer than the snapshot and was ignored."""

    index: int
    snapshot_index: int


@dataclass(frozen=True, slots=True)
class EndpointNotReadmitted:
    """A drained endpoint is listed as ready again without a later process start, and was not readmitted."""

    name: str
    index: int


@dataclass(frozen=True, slots=True)
class RemovalLimited:
    """A complete list omits more ready endpoints than the limit allows."""

    index: int
    missing_count: int
    ready_count: int
    kept_count: int
    action: str


@dataclass(frozen=True, slots=True)
class MissingEndpointsRemoved:
    """Endpoints missing from a complete list were removed after the time for which they were kept."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """The endpoints were restored from a stored snapshot."""

    index: int
    endpoint_count: int


@dataclass(frozen=True, slots=True)
class ProxyAhead:
    """A proxy holds content of an endpoint list that is newer than this instance's list."""

    resource_type: ResourceType
    held_index: int
    index: int


@dataclass(frozen=True, slots=True)
class ProxyAheadResolved:
    """This instance has caught up with the endpoint list whose content a proxy holds."""

    index: int


@dataclass(frozen=True, slots=True)
class ResponseNacked:
    """A proxy has rejected a response (NACK)."""

    resource_type: ResourceType
    version: str
    reason: str


@dataclass(frozen=True, slots=True)
class DrainUnacknowledged:
    """A proxy has not acknowledged a drain in time."""

    seconds: float
    nack_reason: str | None


StreamEvent = ProxyAhead | ProxyAheadResolved | ResponseNacked | DrainUnacknowledged


@dataclass(frozen=True, slots=True)
class OnStream:
    """An event of one discovery stream; stream: number of the stream, None after it is closed."""

    event: StreamEvent
    node: str | None
    stream: int | None


SnapshotEvent = StaleEventIgnored | EndpointNotReadmitted | RemovalLimited | MissingEndpointsRemoved
LogEvent = SnapshotEvent | SnapshotRestored | StreamEvent | OnStream


class LogRecord(NamedTuple):
    """An event as it is written to the log."""

    name: str
    fields: dict[str, Any]


def to_log_record(event: LogEvent) -> LogRecord:
    """The name and fields of an event in the log."""
    match event:
        case OnStream():
            name, fields = _stream_record(event.event)
            fields["node"] = event.node
            if event.stream is not None:
                fields["stream"] = event.stream
            return LogRecord(name, fields)
        case StaleEventIgnored():
            return LogRecord("list-older", {"index": event.index, "held": event.snapshot_index})
        case EndpointNotReadmitted():
            return LogRecord("engine-not-taken-back", {"engine": event.name, "index": event.index})
        case RemovalLimited():
            return LogRecord("list-past-floor", _removal_fields(event))
        case MissingEndpointsRemoved():
            names = list(event.names[:MAX_LOGGED_NAMES])
            return LogRecord("missing-let-go", {"engines": names, "count": len(event.names)})
        case SnapshotRestored():
            return LogRecord("list-from-snapshot", {"index": event.index, "engines": event.endpoint_count})
        case _:
            return _stream_record(event)


def _removal_fields(event: RemovalLimited) -> dict[str, Any]:
    return {
        "index": event.index,
        "missing": event.missing_count,
        "ready": event.ready_count,
        "kept": event.kept_count,
        "what": event.action,
    }


def _stream_record(event: StreamEvent) -> LogRecord:
    match event:
        case ProxyAhead():
            fields = {"type": event.resource_type.name, "holds": event.held_index, "index": event.index}
            return LogRecord("proxy-ahead", fields)
        case ProxyAheadResolved():
            return LogRecord("proxy-caught-up-with", {"index": event.index})
        case ResponseNacked():
            fields = {
                "type": event.resource_type.name,
                "version": event.version,
                "why": event.reason,
            }
            return LogRecord("refused", fields)
        case DrainUnacknowledged():
            fields = {"for": event.seconds, "refuses": event.nack_reason}
            return LogRecord("drain-unacknowledged", fields)
    raise TypeError(f"not a log event: {event!r}")
