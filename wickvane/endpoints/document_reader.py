"""Reads the files of a list when they change: keeps the merged snapshot and the findings on the files."""

import os
import time
from collections.abc import Callable

from wickvane.endpoints.change_detector import ChangeDetector
from wickvane.endpoints.config import EndpointsConfig
from wickvane.endpoints.document import parse_document
from wickvane.endpoints.files import DirectoryScan, FileState, read_file, scan_directory, scan_file
from wickvane.endpoints.findings import DocumentError, Finding, Severity
from wickvane.endpoints.merge import DocumentMerger
from wickvane.endpoints.snapshot import Snapshot

MAX_REPORTED_IGNORED_FILES = 8
DEFAULT_AUTHOR = "file"


def yield_thread() -> None:
    """Lets other threads run, which would otherwise wait until a long list is parsed."""
    time.sleep(0)


class DocumentReader:
    """Reads the files of one list.

    retry_at: tick at which files that are still changing are checked again, None if there are none. author:
    of the file that was read last. clock: returns the current tick; on_ignored: called with the name of each
    file in the directory that is not a document; count: adds one to a counter.
    """

    def __init__(
        self,
        config: EndpointsConfig,
        clock: Callable[[], int],
        on_ignored: Callable[[str], None],
        count: Callable[[str], None],
    ) -> None:
        self.merger = DocumentMerger()
        self.retry_at: int | None = None
        self.author = DEFAULT_AUTHOR
        self._config = config
        self._clock = clock
        self._on_ignored = on_ignored
        self._count = count
        self._detector = ChangeDetector(config.settle_time)
        self._ignored: list[str] | None = None
        self._file_findings: dict[str, Finding] = {}
        self._path_finding: Finding | None = None

    def read_changes(self, now: int) -> bool:
        """Reads changed files that have settled; returns whether the list or its findings may differ."""
        try:
            scan = self._scan()
        except DocumentError as error:
            return self._set_path_finding(error.finding)
        self._report_ignored(scan.ignored)
        changes = self._detector.check(now, scan.states)
        self.retry_at = changes.next_check_at
        has_changes = self._set_path_finding(self._check_scan(scan))
        for file in changes.removed:
            self._detector.forget(file)
            self.merger.remove(file)
            self._file_findings.pop(file, None)
            has_changes = True
        for file in changes.to_read:
            has_changes |= self._read(file, scan.states[file])
        return has_changes

    def _scan(self) -> DirectoryScan:
        config = self._config
        if config.is_directory:
            return scan_directory(config.path, config.max_files)
        return scan_file(config.path)

    def _report_ignored(self, ignored: list[str]) -> None:
        if ignored != self._ignored:
            self._ignored = ignored
            for name in ignored[:MAX_REPORTED_IGNORED_FILES]:
                self._on_ignored(name)

    def _check_scan(self, scan: DirectoryScan) -> Finding | None:
        path = self._config.path
        if not scan.states and self.retry_at is None:
            return Finding("missing", Severity.REJECT, "the file does not exist", path)
        if self._detector.never_settles:
            return Finding("never-still", Severity.REJECT, "it keeps changing", path)
        return None

    def _set_path_finding(self, finding: Finding | None) -> bool:
        """Sets the finding on the file or directory itself; returns whether its code has changed."""
        previous = self._path_finding
        self._path_finding = finding
        if finding is None or previous is None:
            is_new = finding is not previous
        else:
            is_new = finding.code != previous.code
        if is_new and finding is not None:
            self._count(f"members-unfit-{finding.code}")
        return is_new

    def _read(self, file: str, state: FileState) -> bool:
        config = self._config
        path = os.path.join(config.path, file) if config.is_directory else config.path
        try:
            content = read_file(path, file, config.max_file_size)
            if content is None:
                self.retry_at = self._clock() + config.settle_time
                return False
            state = content.state
            self.author = content.author
            document = parse_document(
                content.data,
                file,
                config.is_seal_required,
                config.max_engines,
                config.policy.overrides_coordinator,
                yield_thread,
            )
            self._file_findings.pop(file, None)
            self.merger.put(document)
            self._count("members-files-read")
        except DocumentError as error:
            self._file_findings[file] = error.finding
            self._count(f"members-unfit-{error.finding.code}")
        self._detector.accept(file, state)
        return True

    def file_count(self) -> int:
        """Returns the number of files that contain a valid document."""
        return len(self.merger.documents)

    def broken_codes(self) -> list[str]:
        """Returns the sorted codes of the findings on files that cannot be used."""
        return sorted({finding.code for finding in self._read_findings()})

    def _read_findings(self) -> list[Finding]:
        path_findings = [] if self._path_finding is None else [self._path_finding]
        return [*self._file_findings.values(), *path_findings]

    def findings(self, snapshot: Snapshot) -> list[Finding]:
        """Returns the findings on the files and on their merged snapshot."""
        findings = [*self._read_findings(), *self.merger.conflicts()]
        if len(snapshot.endpoints) > self._config.max_engines:
            text = f"the files list {len(snapshot.endpoints)} engines of at most {self._config.max_engines}"
            findings.append(Finding("too-many-engines", Severity.REJECT, text, self._config.path))
        return findings
