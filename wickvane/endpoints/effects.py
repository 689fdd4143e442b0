"""Effects of decisions on an endpoint list; they must be carried out in their order."""

from dataclasses import dataclass

from wickvane.endpoints.records import Record

# Widths of the rollout step and of the stream event in an update's number, below the generation.
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

    It grows with each update of one process. The parts of generation and rollout step are the same at
    instances whose documents state the same generation; each process numbers the stream's events anew.
    """
    file_part = generation << STEP_BITS | min(step, (1 << STEP_BITS) - 1)
    return file_part << STREAM_BITS | stream_event % (1 << STREAM_BITS)


def document_index_of(update_number: int) -> int:
    """The part of an update's number that is from the documents: generation and rollout step."""
    return update_number >> STREAM_BITS


Effect = AppendRecord | PublishUpdate | WriteLogEvent
