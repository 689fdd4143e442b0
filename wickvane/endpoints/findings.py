"""Validation findings on a document or on the change that it requests; free of I/O.

A finding's code is for programs and for docs/members.md. Its sentence is for operators: it names the file,
line and engine, as far as known, and the remedy.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from wickvane.errors import WickvaneError


class Severity(IntEnum):
    """The consequence of a finding; the highest severity of a change's findings decides."""

    NOTE = 0  # reported only
    STAGE = 1  # the change is rolled out in steps
    HOLD = 2  # the change waits for an operator's confirmation
    REJECT = 3  # the current list stays


MAX_REASONS = 8  # maximum number of sentences in a record or log event

# Remedy by finding code
REMEDIES = {
    # The file
    "missing": "create the file; until then the current list stays",
    "not-a-file": "replace it by a regular file",
    "unreadable": "allow the dispatcher's user to read it",
    "too-long": "split it into several files, or raise `most` in the extensions document",
    "never-still": "write a temporary file and rename it, so that the file is replaced atomically",
    "too-many-parts": "put fewer files into the directory",
    "part-ignored": "name it *.kdl or *.json if it is a document",
    # Its format
    "length-wrong": "write the complete file; it will be read again",
    "checksum-wrong": "write the complete file, or compute its seal again",
    "seal-missing": "end it with a seal line, or remove `sealed` from the extensions document",
    "not-utf8": "encode it as UTF-8",
    "too-deep": "a document needs at most three levels",
    "no-document": "mend its form; `wickvane members check` tells without applying it",
    "unknown-node": "remove it; a document cannot include other files",
    "value-wrong": "correct the value",
    "generation-wrong": "state an integer from 1 up, once in each file",
    "too-many-engines": "raise `engines` in the extensions document if this number is intended",
    "name-twice": "list each engine once across all files",
    "address-twice": "give each engine its own address",
    "address-missing": "give the engine an address",
    "kind-unknown": "name a type of the settings' host_types",
    "zone-unknown": "name a zone of the settings' zones",
    "weight-wrong": "use a number from 0 (drained by the operator) to 100",
    # Its generation number
    "generation-back": "state a number above the one at work, or roll back by `wickvane members rollback`",
    "generation-same": "state a number above the one at work: two writers have used this one",
    # The change
    "empty": "list at least one engine that takes queries, or let `empty` allow it",
    "share-removed": "confirm it, or remove fewer at a time",
    "capacity-left": "add engines first, or wait for less load",
    "group-without-engine": "leave a permitted engine to each resource group",
    "weight-jump": "move the weight in smaller steps, or let it be stepped",
    "address-taken-over": "nothing: connections of the engine that had it are not used for the new one",
    "not-listed": "nothing, if the coordinator is to list it yet; it acts from then on",
}


class Location(NamedTuple):
    """The file and line in which an engine is listed, None if not known."""

    file: str | None
    line: int | None


UNKNOWN_LOCATION = Location(None, None)


def unknown_location(name: str) -> Location:
    """Returns the location of an engine that is in no file."""
    return UNKNOWN_LOCATION


class Finding(NamedTuple):
    """A problem or note that validation found, with its severity."""

    code: str
    severity: Severity
    text: str
    file: str | None = None
    line: int | None = None
    engine: str | None = None

    def sentence(self) -> str:
        """Returns the finding as a sentence: location, engine, problem, remedy."""
        line = f":{self.line}" if self.line else ""
        location = f"{self.file}{line}: " if self.file else ""
        subject = f"engine {self.engine}: " if self.engine else ""
        return f"{location}{subject}{self.text}; {REMEDIES[self.code]}"


class DocumentError(WickvaneError):
    """A document that cannot be used; `finding` has the reason."""

    def __init__(
        self,
        code: str,
        text: str,
        file: str | None = None,
        line: int | None = None,
        engine: str | None = None,
    ) -> None:
        self.finding = Finding(code, Severity.REJECT, text, file, line, engine)
        super().__init__(self.finding.sentence())


def highest_severity(findings: Iterable[Finding]) -> Severity:
    """Returns the highest severity of the findings, NOTE if there are none."""
    return max((finding.severity for finding in findings), default=Severity.NOTE)


def reasons_of(findings: list[Finding]) -> list[str]:
    """Returns the sentences of the first MAX_REASONS findings, for a record or log event."""
    return [finding.sentence() for finding in findings[:MAX_REASONS]]


def distinct_codes(findings: Iterable[Finding]) -> tuple[str, ...]:
    """Returns each code once, in the order of the findings."""
    return tuple(dict.fromkeys(finding.code for finding in findings))
