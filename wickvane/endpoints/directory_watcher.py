"""Wakes a thread when something changes in a directory."""

import os
import threading
from collections.abc import Callable

THREAD_STACK_SIZE = 512 * 1024  # octets; watchfiles needs a larger stack than a dispatcher's other threads
DEBOUNCE_MS = 50
STEP_MS = 20
RUST_TIMEOUT_MS = 60_000


class DirectoryWatcher:
    """Sets an event when something changes in one of the directories, using the package watchfiles.

    on_failure: called with the reason if they cannot be watched; changes are then found by polling only.
    """

    def __init__(self, folders: list[str], woken: threading.Event, on_failure: Callable[[str], None]) -> None:
        self.folders = folders
        self._woken = woken
        self._on_failure = on_failure
        self._stopped = threading.Event()

    def start(self) -> None:
        """Starts the watching thread."""
        previous_size = threading.stack_size(THREAD_STACK_SIZE)
        try:
            threading.Thread(target=self._run, name="members-watch", daemon=True).start()
        except RuntimeError as error:  # the machine cannot start another thread
            self._on_failure(str(error))
        finally:
            threading.stack_size(previous_size)

    def stop(self) -> None:
        """Asks the thread to end."""
        self._stopped.set()

    def _run(self) -> None:
        try:
            from watchfiles import watch

            folders = [folder for folder in self.folders if os.path.isdir(folder)]
            for _ in watch(
                *folders,
                watch_filter=None,
                debounce=DEBOUNCE_MS,
                step=STEP_MS,
                stop_event=self._stopped,
                rust_timeout=RUST_TIMEOUT_MS,
                yield_on_timeout=True,
                recursive=False,
                raise_interrupt=False,
            ):
                self._woken.set()
        except Exception as error:  # package missing, no watches left, or a directory was removed
            self._on_failure(f"{type(error).__name__}: {error}")
