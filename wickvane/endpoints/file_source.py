"""Runs an endpoint list from watched files in a thread: reads files, answers orders, carries out effects.

The decisions are in endpoint_list.py. The sink takes updates like the coordinator's: sink(number, is_full,
entries, readmitted) is called for each update in the order of the numbers, possibly from different threads,
but never concurrently. A lock protects the state; files are read and parsed without it, so that a long file
does not block the coordinator's stream.
"""

import os
import threading
import time
from collections.abc import Callable, Iterable

from wickvane.endpoints.config import WATCH_EVENTS, EndpointsConfig
from wickvane.endpoints.directory_watcher import DirectoryWatcher
from wickvane.endpoints.document_reader import DocumentReader
from wickvane.endpoints.effects import AppendRecord, Effect, PublishUpdate, WriteLogEvent
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.journal_writer import JournalWriter
from wickvane.endpoints.load_average import LoadAverage
from wickvane.endpoints.operator_orders import (
    DONE,
    NOTHING_PENDING,
    ROLLBACK_REJECTED,
    Order,
    OrderKind,
    answer_orders,
)
from wickvane.endpoints.state_folder import orders_folder, write_status
from wickvane.endpoints.status import status_document
from wickvane.endpoints.topology import Topology
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.net.threads import Threads
from wickvane.units import TICKS_PER_SECOND, to_seconds

RESUBMIT_INTERVAL = 2 * TICKS_PER_SECOND  # of a rejected change, since the load may have fallen
MAX_WAIT_S = 1.0
MIN_WAIT_S = 0.005
MAX_START_SETTLE_TIMES = 10  # maximum wait of start() for the first document, in settle times

UpdateSink = Callable[[int, bool, list[tuple], list[str]], None]


class FileSource:
    """An endpoint list that follows watched files.

    sink: takes each update. load: returns the number of threads that the pool's queries occupy. is_busy:
    returns whether queries run on an engine. Both are None if unknown. Raises ConfigError if the state folder
    cannot be used.
    """

    def __init__(
        self,
        config: EndpointsConfig,
        topology: Topology,
        sink: UpdateSink,
        clock: Clock,
        log: Log,
        counters: Counters,
        load: Callable[[], float | None] | None = None,
        is_busy: Callable[[str], bool] | None = None,
        name: str = "",
    ) -> None:
        self.config = config
        self.sink = sink
        self.clock = clock
        self.log = log
        self.counters = counters
        self.name = name
        self.endpoint_list = EndpointList(topology, config.policy)
        self.reader = DocumentReader(config, clock.now, self._report_ignored, counters.add)
        self.journal: JournalWriter | None = None
        self._load = load
        self._is_busy = is_busy
        self._load_average = LoadAverage()
        self._lock = threading.Lock()
        self._woken = threading.Event()
        self._is_stopping = False
        self._submitted_at = 0
        self._has_submitted = False
        self._is_holding_updates = False
        self._watcher: DirectoryWatcher | None = None
        self._written_status: dict | None = None
        if config.state_folder:
            self.journal = JournalWriter(config.state_folder, clock, log, counters)
            self.journal.recover(self.endpoint_list)

    # Start and stop

    def start(self, known: Iterable[tuple] = (), is_published_once: bool = False) -> None:
        """Publishes the recovered list, then the current files, and starts the thread.

        Returns after the first document was submitted, or after MAX_START_SETTLE_TIMES settle times. known:
        events of the coordinator's stream that the configuration contains; is_published_once: all that is to
        be published by then is published as one complete list at the end.
        """
        self._is_holding_updates = is_published_once
        with self._lock:
            self.endpoint_list.start(self.clock.now())
            self._carry_out_effects()
        for event in known:
            self.apply_stream_event(*event)
        self._submit_first_document()
        if is_published_once:
            self._publish_held_updates()
        if self.config.watch == WATCH_EVENTS:
            self._watcher = DirectoryWatcher(self._watched_folders(), self._woken, self._fall_back_to_polling)
            self._watcher.start()
        Threads(self.log, self.counters).needed(self._run, "members")

    def _publish_held_updates(self) -> None:
        with self._lock:
            self._is_holding_updates = False
            if self.endpoint_list.rollout.is_announced:
                self._carry_out_effect(self.endpoint_list.complete_update())

    def _submit_first_document(self) -> None:
        settle_time = self.config.settle_time
        deadline = self.clock.now() + MAX_START_SETTLE_TIMES * settle_time
        self.process_changes()
        while not self._has_submitted and self.clock.now() < deadline and not self._is_stopping:
            time.sleep(to_seconds(settle_time) / 2)
            self.process_changes()

    def _watched_folders(self) -> list[str]:
        path = self.config.path
        folders = {path if self.config.is_directory else os.path.dirname(path) or "."}
        if self.config.state_folder:
            folders.add(orders_folder(self.config.state_folder))
        return sorted(folders)

    def _fall_back_to_polling(self, reason: str) -> None:
        self.counters.add("members-watch-failed")
        self.log.line("members-watch-failed", why=reason, poll=to_seconds(self.config.poll_interval))

    def wake(self) -> None:
        """Makes the thread check the files at once."""
        self._woken.set()

    def stop(self) -> None:
        """Asks the thread to end and closes the journal."""
        self._is_stopping = True
        if self._watcher:
            self._watcher.stop()
        self._woken.set()
        with self._lock:
            if self.journal is not None:
                self.journal.close()
                self.journal = None

    # The thread

    def _run(self) -> None:
        while not self._is_stopping:
            self._woken.wait(self._wait_seconds())
            self._woken.clear()
            try:
                self.process_changes()
            except Exception as error:  # the current list stays, and the next iteration retries
                self.counters.add("faults")
                self.log.line("fault", error=f"{type(error).__name__}: {error}", where="members")

    def _wait_seconds(self) -> float:
        with self._lock:
            wakeup = self.endpoint_list.next_wakeup()
        now = self.clock.now()
        seconds = min(to_seconds(self.config.poll_interval), MAX_WAIT_S)
        for at in (wakeup, self.reader.retry_at):
            if at is not None:
                seconds = min(seconds, max(MIN_WAIT_S, to_seconds(at - now)))
        return seconds

    def process_changes(self) -> None:
        """Samples the load, answers orders, submits changed files, and carries out due effects."""
        now = self.clock.now()
        if self._load is not None:
            self._load_average.add(now, self._load())
        if self.config.state_folder:
            answer_orders(self.config.state_folder, self.carry_out, self._count_unanswered)
        has_changes = self.reader.read_changes(now)
        with self._lock:
            if self._is_stopping:
                return
            now = self.clock.now()
            if has_changes or self._is_resubmission_due(now):
                self._submit(now)
            self.endpoint_list.tick(now, self._is_busy)
            self._carry_out_effects()

    def _is_resubmission_due(self, now: int) -> bool:
        is_rejected = self.endpoint_list.last_rejection is not None
        return is_rejected and now >= self._submitted_at + RESUBMIT_INTERVAL

    def _submit(self, now: int) -> None:
        """Submits the merged files; called under the lock."""
        self._submitted_at = now
        self._has_submitted = True
        merger = self.reader.merger
        snapshot = merger.merge()
        self.endpoint_list.submit(
            now,
            snapshot,
            merger.generation(),
            self.reader.findings(snapshot),
            self.reader.author,
            self._load_average.mean(),
            merger.location_of,
        )

    def apply_stream_event(self, number: int, is_full: bool, entries: list[tuple]) -> None:
        """Applies an event of the coordinator's stream; called only with overrides."""
        with self._lock:
            self.endpoint_list.apply_stream_event(self.clock.now(), number, is_full, entries)
            self._carry_out_effects()

    # Effects

    def _carry_out_effects(self) -> None:
        """Carries out the pending effects in their order; called under the lock."""
        effects = self.endpoint_list.take_effects()
        for effect in effects:
            self._carry_out_effect(effect)
        if effects and self.journal is not None:
            self.journal.compact_if_needed(self.endpoint_list)
        self._write_status()

    def _carry_out_effect(self, effect: Effect) -> None:
        match effect:
            case AppendRecord(record):
                if self.journal is not None:
                    self.journal.append(record)
            case PublishUpdate() if self._is_holding_updates:
                pass  # it is part of the complete list that follows
            case PublishUpdate(number, is_full, entries, readmitted):
                self.counters.add("members-told")
                self.counters.add("members-entries-told", len(entries))
                self.sink(number, is_full, entries, readmitted)
            case WriteLogEvent(event, fields):
                self.counters.add(event)
                self.log.line(event, **fields)

    def _report_ignored(self, file: str) -> None:
        self.log.line("members-part-ignored", file=file)

    # Operators

    def carry_out(self, order: Order) -> str:
        """Carries out an operator's order and returns the answer."""
        with self._lock:
            is_done = self._decide_order(order)
            self._carry_out_effects()
        if is_done:
            return DONE
        return ROLLBACK_REJECTED if order.kind == OrderKind.ROLLBACK else NOTHING_PENDING

    def _decide_order(self, order: Order) -> bool:
        now = self.clock.now()
        match order.kind:
            case OrderKind.PAUSE:
                return self.endpoint_list.pause(now, order.author)
            case OrderKind.CONFIRM:
                return self.endpoint_list.confirm(now, order.generation, order.author)
            case OrderKind.ROLLBACK:
                load = self._load_average.mean()
                return self.endpoint_list.rollback(now, order.generation, order.author, load)

    def _count_unanswered(self) -> None:
        self.counters.add("members-orders-unanswered")

    def status(self) -> dict:
        """Returns the status of the list and its files."""
        with self._lock:
            return status_document(self.endpoint_list) | {
                "files": self.reader.file_count(),
                "broken": self.reader.broken_codes(),
            }

    def _write_status(self) -> None:
        """Writes the status to the state folder if it has changed."""
        if not self.config.state_folder:
            return
        status = status_document(self.endpoint_list)
        if status == self._written_status:
            return
        self._written_status = status
        process = {"name": self.name, "pid": os.getpid(), "at": self.clock.now()}
        try:
            write_status(self.config.state_folder, status | process)
        except OSError:
            self.counters.add("members-status-failed")
