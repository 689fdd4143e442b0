"""Recovers an endpoint list from its journal, and writes the journal while tolerating disk faults."""

import os

from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.journal import Journal, JournalError, JournalInUseError
from wickvane.endpoints.operator_orders import remove_stale_files
from wickvane.endpoints.records import Record, RecordError, encode_record
from wickvane.endpoints.state_folder import open_journal, recover_records
from wickvane.errors import ConfigError
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.log import Log

EXIT_CODE = 2


class JournalWriter:
    """The journal of a running process.

    Changes of the list take effect even if they cannot be written, since a drain must not wait for a disk.
    The journal is then replaced by a checkpoint as soon as the disk can be written again.
    """

    def __init__(self, folder: str, clock: Clock, log: Log, counters: Counters) -> None:
        """Opens and locks the journal. Raises ConfigError."""
        self._folder = folder
        self._clock = clock
        self._log = log
        self._counters = counters
        self._is_incomplete = False
        try:
            self.journal: Journal = open_journal(folder)
            remove_stale_files(folder)
        except JournalInUseError as error:
            raise ConfigError(f"members: {error}", EXIT_CODE) from None
        except OSError as error:
            raise self._folder_error(error) from None

    def recover(self, endpoint_list: EndpointList) -> None:
        """Applies the journal's records to a new list. Raises ConfigError."""
        try:
            records = self.journal.read()
        except OSError as error:
            raise self._folder_error(error) from None
        except JournalError as error:
            self._preserve_unreadable(error)
            records = []
        try:
            recover_records(endpoint_list, records)
        except RecordError as error:
            raise ConfigError(
                f"members: the journal in {self._folder} has an invalid record: {error}", EXIT_CODE
            ) from None

    def _folder_error(self, error: OSError) -> ConfigError:
        return ConfigError(f"members: {self._folder} cannot be used: {error.strerror}", EXIT_CODE)

    def _preserve_unreadable(self, error: JournalError) -> None:
        """Renames a file that is not a journal, so that operators can inspect it."""
        self._is_incomplete = True
        self._counters.add("members-journal-unreadable")
        self._log.line("members-journal-unreadable", why=str(error))
        os.replace(self.journal.path, f"{self.journal.path}.unreadable-{self._clock.now()}")

    def append(self, record: Record) -> None:
        """Writes a record, unless earlier records are missing from the journal."""
        if self._is_incomplete:
            return
        try:
            self.journal.append(encode_record(record))
        except OSError as error:
            self._report_failure(error)

    def compact_if_needed(self, endpoint_list: EndpointList) -> None:
        """Replaces the journal by a checkpoint if records are missing or it is too long."""
        if not self._is_incomplete and not self.journal.needs_compaction():
            return
        try:
            self.journal.compact(encode_record(endpoint_list.checkpoint(self._clock.now())))
            self._is_incomplete = False
        except OSError as error:
            self._report_failure(error)

    def _report_failure(self, error: OSError) -> None:
        self._is_incomplete = True
        self._counters.add("members-journal-failed")
        self._log.line("members-journal-failed", why=error.strerror)

    def close(self) -> None:
        """Closes the journal and releases its lock."""
        self.journal.close()
