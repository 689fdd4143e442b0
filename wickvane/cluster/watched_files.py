"""Detects changes of files by modification time, size and inode."""

import os
from collections.abc import Iterable

FileStamp = tuple[int, int, int]


class WatchedFiles:
    """Files and their stamps at the last check."""

    def __init__(self, paths: Iterable[str]):
        self._stamps = {path: _read_stamp(path) for path in paths}

    def take_changed(self) -> list[str]:
        """Returns the paths of the files that changed since the last call."""
        changed = []
        for path, before in self._stamps.items():
            stamp = _read_stamp(path)
            if stamp != before:
                self._stamps[path] = stamp
                changed.append(path)
        return changed


def _read_stamp(path: str) -> FileStamp | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
