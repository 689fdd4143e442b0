"""Scans and reads the files of a list on disk."""

import os
import pwd
import stat
from typing import NamedTuple

from wickvane.endpoints.findings import DocumentError

DOCUMENT_SUFFIXES = (".kdl", ".json")
READ_SIZE = 1 << 20  # octets
AUTHOR_PREFIX = "file of "


class FileState(NamedTuple):
    """Metadata that changes with the content of a file; size: -1 if the metadata cannot be read."""

    device: int
    inode: int
    size: int
    modified_ns: int
    changed_ns: int
    file_type: int


class DirectoryScan(NamedTuple):
    """The states of documents by file name, and the sorted names of ignored files."""

    states: dict[str, FileState]
    ignored: list[str]


class FileContent(NamedTuple):
    """The content of a file. author: its owner, for the audit log."""

    data: bytes
    state: FileState
    author: str


def _state_of(status: os.stat_result) -> FileState:
    return FileState(
        status.st_dev,
        status.st_ino,
        status.st_size,
        status.st_mtime_ns,
        status.st_ctime_ns,
        stat.S_IFMT(status.st_mode),
    )


def _state_of_error(error: OSError) -> FileState:
    return FileState(0, 0, -1, 0, 0, error.errno or 0)


def scan_file(path: str) -> DirectoryScan:
    """Returns the state of a single file; no states if it does not exist."""
    name = os.path.basename(path)
    try:
        return DirectoryScan({name: _state_of(os.stat(path))}, [])
    except FileNotFoundError:
        return DirectoryScan({}, [])
    except OSError as error:
        return DirectoryScan({name: _state_of_error(error)}, [])


def scan_directory(path: str, max_files: int) -> DirectoryScan:
    """Returns the states of a directory's documents.

    Raises DocumentError if the directory cannot be read or contains too many documents.
    """
    states: dict[str, FileState] = {}
    ignored = []
    try:
        with os.scandir(path) as entries:
            for entry in entries:
                if entry.name.startswith("."):
                    continue
                if not entry.name.endswith(DOCUMENT_SUFFIXES):
                    ignored.append(entry.name)
                    continue
                if len(states) >= max_files:
                    raise DocumentError(
                        "too-many-parts", f"it contains more than {max_files} documents", path
                    )
                states[entry.name] = _state_of_entry(entry)
    except FileNotFoundError:
        return DirectoryScan({}, [])
    except OSError as error:
        code = "not-a-file" if isinstance(error, NotADirectoryError) else "unreadable"
        raise DocumentError(code, f"the directory cannot be read: {error.strerror}", path) from None
    return DirectoryScan(states, sorted(ignored))


def _state_of_entry(entry: os.DirEntry) -> FileState:
    try:
        return _state_of(entry.stat())
    except OSError as error:
        return _state_of_error(error)


def read_file(path: str, file: str, max_size: int) -> FileContent | None:
    """Reads a regular file; returns None if it changed while it was being read.

    file: its name in messages. Never blocks on pipes or devices. Raises DocumentError.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    except FileNotFoundError:
        raise DocumentError("missing", "the file does not exist", file) from None
    except OSError as error:
        raise DocumentError("unreadable", f"it cannot be opened: {error.strerror}", file) from None
    try:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            raise DocumentError("not-a-file", "it is a directory, a pipe or a device", file)
        if before.st_size > max_size:
            raise DocumentError("too-long", f"it has {before.st_size} octets of at most {max_size}", file)
        data = _read_all(descriptor, file, max_size)
        if _state_of(os.fstat(descriptor)) != _state_of(before):
            return None
        return FileContent(data, _state_of(before), _author_of(before.st_uid))
    except OSError as error:
        raise DocumentError("unreadable", f"it cannot be read: {error.strerror}", file) from None
    finally:
        os.close(descriptor)


def _read_all(descriptor: int, file: str, max_size: int) -> bytes:
    chunks = []
    size = 0
    while size <= max_size and (chunk := os.read(descriptor, min(READ_SIZE, max_size + 1 - size))):
        chunks.append(chunk)
        size += len(chunk)
    if size > max_size:
        raise DocumentError("too-long", f"it has more than {max_size} octets", file)
    return b"".join(chunks)


def _author_of(uid: int) -> str:
    try:
        return f"{AUTHOR_PREFIX}{pwd.getpwuid(uid).pw_name}"
    except KeyError:
        return f"{AUTHOR_PREFIX}user {uid}"
