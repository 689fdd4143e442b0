"""Journal records, and the codec between them and their stored form.

A stored record is a JSON object whose `what` names its type. The field names and their order must stay as in
the first version, so that its journals can be read and records keep their bytes. Times are ticks of Unix
time.
"""

from dataclasses import dataclass

from wickvane.endpoints.snapshot import Endpoint, SnapshotDelta, endpoint_from_row
from wickvane.errors import WickvaneError


class RecordError(WickvaneError):
    """A stored record is invalid; `reason`: the text of the underlying error."""

    def __init__(self, error: Exception) -> None:
        self.reason = str(error)
        super().__init__(f"{type(error).__name__}: {error}")


@dataclass(slots=True)
class Applied:
    """A generation became the target. rollback_of: the earlier generation with this content, if any."""

    at: int
    generation: int
    digest: str
    author: str
    codes: list[str]
    is_staged: bool
    rollback_of: int | None
    delta: SnapshotDelta  # from the previous target


@dataclass(slots=True)
class Rejected:
    """A document was rejected. generation: the stated one, None if the document states none."""

    at: int
    generation: int | None
    author: str
    digest: str | None
    codes: list[str]
    reasons: list[str]


@dataclass(slots=True)
class Held:
    """A change is held under this generation until it is confirmed."""

    at: int
    generation: int
    digest: str
    checksum: int
    author: str
    codes: list[str]
    reasons: list[str]


@dataclass(slots=True)
class ConfirmationExpired:
    """A held change was not confirmed in time."""

    at: int
    generation: int


@dataclass(slots=True)
class RolloutPaused:
    """An operator paused a staged rollout."""

    at: int
    generation: int
    author: str


@dataclass(slots=True)
class RolloutResumed:
    """An operator resumed a paused rollout."""

    at: int
    generation: int
    author: str


@dataclass(slots=True)
class Published:
    """A rollout step was published to the scheduler. step: its number within the generation."""

    at: int
    step: int
    delta: SnapshotDelta  # from the list that was published before


@dataclass(slots=True)
class StoredGeneration:
    """A generation within a checkpoint, as a delta from the one before it."""

    number: int
    at: int
    author: str
    delta: SnapshotDelta


@dataclass(slots=True)
class ReservedNumber:
    """The generation reserved for a held document: read again, the document gets the same generation."""

    checksum: int
    generation: int


@dataclass(slots=True)
class Checkpoint:
    """The complete state, which replaces all records before it."""

    at: int
    generation: int
    rollback_of: int | None
    step: int
    highest_number: int
    file_checksum: int
    generations: list[StoredGeneration]
    target: SnapshotDelta  # from the last of `generations`
    published: list[Endpoint]
    is_staged: bool
    is_paused: bool
    audit_rows: list[dict]
    reserved: ReservedNumber | None


Record = (
    Applied | Rejected | Held | ConfirmationExpired | RolloutPaused | RolloutResumed | Published | Checkpoint
)

# Fields that the row of a record in the audit log keeps, in their order there.
_AUDIT_FIELDS = ("what", "at", "generation", "digest", "who", "codes", "why", "of", "steps")


def encode_record(record: Record) -> dict:
    """Returns the stored form of a record."""
    if isinstance(record, Checkpoint):
        return _encode_checkpoint(record)
    stored = _encode_fields(record)
    if isinstance(record, (Applied, Published)):
        stored["put"] = _encode_endpoints(record.delta.put)
        stored["drop"] = record.delta.removed
    return stored


def audit_row(record: Record) -> dict:
    """Returns the row of a record for the audit log, in stored form, with counts instead of endpoints."""
    fields = _encode_fields(record)
    if isinstance(record, Applied):
        fields["steps"] = fields.pop("steps")  # moves it after `of`, as in _AUDIT_FIELDS
        fields["put"] = len(record.delta.put)
        fields["drop"] = len(record.delta.removed)
        return fields
    return {field: fields[field] for field in _AUDIT_FIELDS if field in fields}


def _encode_fields(record: Record) -> dict:
    """Returns the stored form of a record without its endpoints."""
    match record:
        case Published():
            return {"what": "at-work", "at": record.at, "step": record.step}
        case Applied():
            return {
                "what": "taken",
                "at": record.at,
                "generation": record.generation,
                "digest": record.digest,
                "who": record.author,
                "codes": record.codes,
                "steps": record.is_staged,
                "of": record.rollback_of,
            }
        case Rejected():
            return {
                "what": "refused",
                "at": record.at,
                "generation": record.generation,
                "who": record.author,
                "digest": record.digest,
                "codes": record.codes,
                "why": record.reasons,
            }
        case Held():
            return {
                "what": "held",
                "at": record.at,
                "generation": record.generation,
                "digest": record.digest,
                "mark": str(record.checksum),
                "who": record.author,
                "codes": record.codes,
                "why": record.reasons,
            }
        case ConfirmationExpired():
            return {"what": "lapsed", "at": record.at, "generation": record.generation}
        case RolloutPaused():
            return _encode_order("stopped", record)
        case RolloutResumed():
            return _encode_order("resumed", record)
    raise TypeError(type(record).__name__)


def _encode_order(what: str, record: RolloutPaused | RolloutResumed) -> dict:
    return {"what": what, "at": record.at, "generation": record.generation, "who": record.author}


def _encode_endpoints(endpoints: list[Endpoint]) -> list[list]:
    return [endpoint.to_row() for endpoint in endpoints]


def _encode_checkpoint(record: Checkpoint) -> dict:
    reserved = record.reserved
    return {
        "what": "whole",
        "at": record.at,
        "generation": record.generation,
        "of": record.rollback_of,
        "step": record.step,
        "numbered": record.highest_number,
        "file_mark": str(record.file_checksum),
        "generations": [
            [
                stored.number,
                stored.at,
                stored.author,
                _encode_endpoints(stored.delta.put),
                stored.delta.removed,
            ]
            for stored in record.generations
        ],
        "target": [_encode_endpoints(record.target.put), record.target.removed],
        "shown": _encode_endpoints(record.published),
        "stepping": record.is_staged,
        "stopped": record.is_paused,
        "logged": record.audit_rows,
        "held_as": reserved and [str(reserved.checksum), reserved.generation],
    }


def decode_record(stored: dict) -> Record:
    """Returns the record of a stored form. Raises RecordError if it is invalid."""
    try:
        decode = _DECODERS.get(stored["what"])
        if decode is None:
            raise ValueError(f"{stored['what']!r} is not a type of record")
        return decode(stored)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise RecordError(error) from error


def _decode_delta(put: list, removed: list) -> SnapshotDelta:
    return SnapshotDelta([endpoint_from_row(row) for row in put], removed)


def _decode_applied(stored: dict) -> Applied:
    return Applied(
        stored["at"],
        stored["generation"],
        stored["digest"],
        stored["who"],
        stored["codes"],
        stored["steps"],
        stored["of"],
        _decode_delta(stored["put"], stored["drop"]),
    )


def _decode_rejected(stored: dict) -> Rejected:
    return Rejected(
        stored["at"],
        stored["generation"],
        stored["who"],
        stored["digest"],
        stored["codes"],
        stored["why"],
    )


def _decode_held(stored: dict) -> Held:
    return Held(
        stored["at"],
        stored["generation"],
        stored["digest"],
        int(stored["mark"]),
        stored["who"],
        stored["codes"],
        stored["why"],
    )


def _decode_expired(stored: dict) -> ConfirmationExpired:
    return ConfirmationExpired(stored["at"], stored["generation"])


def _decode_paused(stored: dict) -> RolloutPaused:
    return RolloutPaused(stored["at"], stored["generation"], stored["who"])


def _decode_resumed(stored: dict) -> RolloutResumed:
    return RolloutResumed(stored["at"], stored["generation"], stored["who"])


def _decode_published(stored: dict) -> Published:
    return Published(stored["at"], stored["step"], _decode_delta(stored["put"], stored["drop"]))


def _decode_checkpoint(stored: dict) -> Checkpoint:
    reserved = stored["held_as"]
    return Checkpoint(
        stored["at"],
        stored["generation"],
        stored["of"],
        stored["step"],
        stored["numbered"],
        int(stored["file_mark"]),
        [
            StoredGeneration(number, at, author, _decode_delta(put, removed))
            for number, at, author, put, removed in stored["generations"]
        ],
        _decode_delta(*stored["target"]),
        [endpoint_from_row(row) for row in stored["shown"]],
        stored["stepping"],
        stored["stopped"],
        stored["logged"],
        ReservedNumber(int(reserved[0]), reserved[1]) if reserved else None,
    )


_DECODERS = {
    "taken": _decode_applied,
    "refused": _decode_rejected,
    "held": _decode_held,
    "lapsed": _decode_expired,
    "stopped": _decode_paused,
    "resumed": _decode_resumed,
    "at-work": _decode_published,
    "whole": _decode_checkpoint,
}
