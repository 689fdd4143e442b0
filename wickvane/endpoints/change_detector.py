"""Detects files that have changed and then stayed unchanged for the settle time; free of I/O.

File system notifications only report that something changed in a directory. The changed files are always
found by comparing file states, so that a lost notification (network mounts, replaced directories) delays a
change by at most one poll.
"""

from typing import NamedTuple

from wickvane.endpoints.files import FileState
from wickvane.units import TICKS_PER_SECOND

MAX_UNSETTLED_TIME = 5 * TICKS_PER_SECOND  # after this time, files that keep changing are reported


class FileChanges(NamedTuple):
    """Files to read and files that were removed, both sorted; next_check_at: None if nothing is pending."""

    to_read: list[str]
    removed: list[str]
    next_check_at: int | None


class ChangeDetector:
    """Detects changes of all files of a list together, since related files may be written one after another.

    settle_time: ticks for which all files must have stayed unchanged. never_settles: whether files have kept
    changing for longer than MAX_UNSETTLED_TIME.
    """

    def __init__(self, settle_time: int) -> None:
        self.settle_time = settle_time
        self.never_settles = False
        self._accepted: dict[str, FileState] = {}
        self._last_seen: dict[str, FileState] | None = None
        self._last_change_at = 0
        self._unsettled_since = 0

    def check(self, now: int, states: dict[str, FileState]) -> FileChanges:
        """Returns which files to read or forget, given the file states found at `now`."""
        if states != self._last_seen:
            if self._last_seen is None or self._last_seen == self._accepted:
                self._unsettled_since = now
            self._last_seen = states
            self._last_change_at = now
        if states == self._accepted:
            self.never_settles = False
            return FileChanges([], [], None)
        settled_at = self._last_change_at + self.settle_time
        if now < settled_at:
            self.never_settles = now - self._unsettled_since > MAX_UNSETTLED_TIME
            return FileChanges([], [], settled_at)
        self.never_settles = False
        return FileChanges(
            sorted(name for name, state in states.items() if self._accepted.get(name) != state),
            sorted(name for name in self._accepted if name not in states),
            None,
        )

    def accept(self, file: str, state: FileState) -> None:
        """Marks a file as read; check() returns it again once its state differs from this one."""
        self._accepted[file] = state

    def forget(self, file: str) -> None:
        """Forgets a file that was removed."""
        self._accepted.pop(file, None)
