"""Writes the endpoint snapshot to disk in a thread, so that the event loop does not wait for the disk."""

import asyncio
import threading
import time
from collections.abc import Callable

from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.xds.endpoint_snapshot import EndpointSnapshot
from wickvane.xds.errors import SnapshotError
from wickvane.xds.snapshot_store import load_snapshot, save_snapshot

MIN_SAVE_INTERVAL_S = 0.2


class SnapshotWriter:
    """The stored snapshot of one instance.

    folder: None to store nothing; current: returns the snapshot to write.
    """

    def __init__(
        self, folder: str | None, current: Callable[[], EndpointSnapshot], log: Log, counters: Counters
    ) -> None:
        self._folder = folder
        self._current = current
        self._log = log
        self._counters = counters
        self._pending: asyncio.TimerHandle | None = None
        self._saved_at = 0.0
        self._lock = threading.Lock()  # one write at a time

    def schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        """Schedules a write of the snapshot, MIN_SAVE_INTERVAL_S after the previous one at the earliest."""
        if self._folder and self._pending is None:
            pause = MIN_SAVE_INTERVAL_S - (time.monotonic() - self._saved_at)
            self._pending = loop.call_later(max(0.0, pause), self._save_in_thread, loop)

    def _save_in_thread(self, loop: asyncio.AbstractEventLoop) -> None:
        self._pending = None
        self._saved_at = time.monotonic()
        loop.run_in_executor(None, self._save)

    def save_now(self) -> None:
        """Writes the snapshot and returns after it is written."""
        if self._folder:
            self._save()

    def _save(self) -> None:
        """Writes the snapshot that is current when its turn comes, so that no older one replaces a newer."""
        try:
            with self._lock:
                save_snapshot(self._folder, self._current())
        except OSError as error:
            self._counters.add("snapshots-failed")
            self._log.line("snapshot-failed", why=error.strerror)

    def load(self) -> EndpointSnapshot | None:
        """Returns the stored snapshot, None if there is none or it cannot be read."""
        if not self._folder:
            return None
        try:
            return load_snapshot(self._folder)
        except SnapshotError as error:
            self._counters.add("snapshots-unreadable")
            self._log.line("snapshot-unreadable", why=str(error))
            return None
