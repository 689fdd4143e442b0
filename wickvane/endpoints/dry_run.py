"""Determines the decision on a document without applying it."""

import os
from collections.abc import Iterable
from typing import NamedTuple

from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.config import DEFAULT_MAX_FILES, EndpointsConfig
from wickvane.endpoints.document import DEFAULT_MAX_ENGINES, parse_document
from wickvane.endpoints.document_reader import DEFAULT_AUTHOR
from wickvane.endpoints.effects import AppendRecord, Effect
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.files import read_file, scan_directory, scan_file
from wickvane.endpoints.findings import DocumentError, Finding, Severity
from wickvane.endpoints.merge import DocumentMerger
from wickvane.endpoints.records import Applied, Held, Rejected

MAX_FILE_SIZE = 64 << 20  # octets, if there is no configuration


class ReadRules(NamedTuple):
    """Limits for reading documents and the change policy, with defaults if there is no configuration."""

    is_seal_required: bool = False
    max_engines: int = DEFAULT_MAX_ENGINES
    max_file_size: int = MAX_FILE_SIZE
    max_files: int = DEFAULT_MAX_FILES
    policy: ChangePolicy = ChangePolicy()


def read_rules_of(config: EndpointsConfig | None) -> ReadRules:
    """Returns the rules of a configuration, or the defaults if there is none."""
    if config is None:
        return ReadRules()
    return ReadRules(
        config.is_seal_required, config.max_engines, config.max_file_size, config.max_files, config.policy
    )


class Outcome(NamedTuple):
    """The decision. what: its name in stored records, or "nothing"; summary: a sentence that describes it."""

    what: str
    summary: str
    generation: int | None = None
    digest: str | None = None
    codes: tuple[str, ...] = ()
    reasons: tuple[str, ...] = ()

    def to_document(self) -> dict:
        """Returns the fields of the JSON output."""
        if self.what == "nothing":
            return {"what": self.what, "said": self.summary, "codes": [], "why": list(self.reasons)}
        return {
            "what": self.what,
            "generation": self.generation,
            "digest": self.digest,
            "said": self.summary,
            "codes": list(self.codes),
            "why": list(self.reasons),
        }


def submit_documents(endpoint_list: EndpointList, path: str, rules: ReadRules, now: int) -> Outcome:
    """Reads a file or directory, submits it to an endpoint list, and returns the decision."""
    merger = DocumentMerger()
    findings = []
    author = DEFAULT_AUTHOR
    is_directory = os.path.isdir(path)
    try:
        scan = scan_directory(path, rules.max_files) if is_directory else scan_file(path)
        findings += [
            Finding("part-ignored", Severity.NOTE, "its name is not that of a document", name)
            for name in scan.ignored
        ]
        if not scan.states:
            raise DocumentError("missing", "the file does not exist", path)
        for file in sorted(scan.states):
            full_path = os.path.join(path, file) if is_directory else path
            try:
                author = _read_into(merger, full_path, file, rules)
            except DocumentError as error:
                findings.append(error.finding)
    except DocumentError as error:
        findings.append(error.finding)
    findings += merger.conflicts()
    endpoint_list.submit(now, merger.merge(), merger.generation(), findings, author, None, merger.location_of)
    return _outcome_of(endpoint_list.take_effects(), findings)


def _read_into(merger: DocumentMerger, path: str, file: str, rules: ReadRules) -> str:
    """Adds a file to the merged documents and returns its author. Raises DocumentError."""
    content = read_file(path, file, rules.max_file_size)
    if content is None:
        raise DocumentError("never-still", "it changed while it was being read", file)
    overrides = rules.policy.overrides_coordinator
    merger.put(parse_document(content.data, file, rules.is_seal_required, rules.max_engines, overrides))
    return content.author


def _outcome_of(effects: Iterable[Effect], findings: list[Finding]) -> Outcome:
    outcome = Outcome("nothing", "it changes nothing")
    for effect in effects:
        if isinstance(effect, AppendRecord) and isinstance(effect.record, (Applied, Held, Rejected)):
            outcome = _outcome_of_record(effect.record)
            break
    notes = [finding.sentence() for finding in findings if finding.severity == Severity.NOTE]
    return outcome._replace(reasons=(*reversed(notes), *outcome.reasons))


def _outcome_of_record(record: Applied | Held | Rejected) -> Outcome:
    codes = tuple(record.codes)
    match record:
        case Applied():
            suffix = " in steps" if record.is_staged else ""
            summary = f"it would be taken as generation {record.generation}{suffix}"
            return Outcome("taken", summary, record.generation, record.digest, codes)
        case Held():
            summary = f"it would be held as generation {record.generation} until it is confirmed"
            reasons = tuple(record.reasons)
            return Outcome("held", summary, record.generation, record.digest, codes, reasons)
        case Rejected():
            reasons = tuple(record.reasons)
            summary = "it would be refused"
            return Outcome("refused", summary, record.generation, record.digest, codes, reasons)
