"""Effects of decisions on an endpoint list; they must be carried out in their order."""

from dataclasses import dataclass

from wickvane.endpoints.records import Record

# Widths of the rollout step and of the stream event in an update's number, below the generation;
# wickvane.xds.catalog splits the number again.
STEP_BITS = 14
STREAM_BITS = 29


@dataclass(slots=True)
class AppendRecord:
    """A journal record, which must be on disk before the next effects are carried out."""

    record: Record


@dataclass(slots=True)
class PublishUpdate:
    """An update for the scheduler.

    number: grows with each update. is_full: whether the entries are the complete list. readmitted: names of
    engines that were draining and may take queries again.
    """

    number: int
    is_full: bool
    entries: list[tuple]
    readmitted: list[str]


@dataclass(slots=True)
class WriteLogEvent:
    """A log event and its fields."""

    event: str
    fields: dict[str, object]


def make_update_number(generation: int, step: int, stream_event: int) -> int:
    """Returns the number of an update.

    It grows with each update, and is the same at instances that have the same generation, rollout step and
    event of the coordinator's stream.
    """
    file_part = generation << STEP_BITS | min(step, (1 << STEP_BITS) - 1)
    return file_part << STREAM_BITS | stream_event % (1 << STREAM_BITS)


Effect = AppendRecord | PublishUpdate | WriteLogEvent
