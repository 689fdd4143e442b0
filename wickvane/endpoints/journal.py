"""The journal of an endpoint list on disk; truncation at any octet keeps all records before it.

    wickvane-members 1\\n
    consecutive records: length of the JSON (4 octets), checksum (16 octets), JSON

A record's checksum is BLAKE2b over its JSON, keyed by the checksum of the record before it, so that a record
is valid only in its position: an old fragment of this file or of another one is not accepted as the next
record. The first invalid record ends the journal. A record is durable once it is synced. Compaction
atomically replaces the journal, by a rename, with one that begins with a checkpoint.

All disk access goes through `Disk`, so that tests can interrupt it at each step.
"""

import fcntl
import os
from hashlib import blake2b
from typing import NamedTuple

import orjson

from wickvane.errors import WickvaneError

MAGIC = b"wickvane-members 1\n"
JOURNAL_NAME = "journal.wickvane"
LOCK_NAME = "lock"
LENGTH_SIZE = 4  # octets
CHECKSUM_SIZE = 16  # octets
HEADER_SIZE = LENGTH_SIZE + CHECKSUM_SIZE
MAX_RECORD_SIZE = 64 << 20  # octets
MAX_FILE_SIZE = 256 << 20  # octets
DEFAULT_COMPACTION_SIZE = 4 << 20  # octets
FILE_MODE = 0o640


class JournalError(WickvaneError):
    """The file is not a journal; the message has the reason."""


class JournalInUseError(WickvaneError):
    """Another process has locked the journal."""


class JournalContent(NamedTuple):
    """Valid records in their stored form, the size of the valid data in octets, and the last checksum."""

    records: list[dict]
    size: int
    checksum: bytes


EMPTY_CONTENT = JournalContent([], 0, b"")


def frame_record(previous_checksum: bytes, stored: dict) -> tuple[bytes, bytes]:
    """Returns the framed record, to follow a record with the previous checksum, and its own checksum."""
    body = orjson.dumps(stored)
    checksum = _checksum_of(body, previous_checksum)
    return len(body).to_bytes(LENGTH_SIZE, "big") + checksum + body, checksum


def _checksum_of(body: bytes, previous_checksum: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_SIZE, key=previous_checksum).digest()


def parse_journal(data: bytes) -> JournalContent:
    """Returns the valid records in a journal's data. Raises JournalError if it lacks the magic number."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return EMPTY_CONTENT  # truncated while the file was being created
        raise JournalError("the file does not start with the journal's magic number")
    records = []
    position = len(MAGIC)
    checksum = b""
    while len(data) - position >= HEADER_SIZE:
        body_start = position + HEADER_SIZE
        body_size = int.from_bytes(data[position : position + LENGTH_SIZE], "big")
        body = data[body_start : body_start + body_size]
        stated_checksum = data[position + LENGTH_SIZE : body_start]
        if body_size > MAX_RECORD_SIZE or len(body) != body_size:
            break
        if _checksum_of(body, checksum) != stated_checksum:
            break
        try:
            records.append(orjson.loads(body))
        except orjson.JSONDecodeError:
            break
        position = body_start + body_size
        checksum = stated_checksum
    return JournalContent(records, position, checksum)


class Disk:
    """The file operations that a journal uses."""

    def read(self, path: str, max_size: int) -> bytes:
        """Reads a file, but at most one octet more than max_size."""
        with open(path, "rb") as file:
            return file.read(max_size + 1)

    def open(self, path: str) -> int:
        """Opens a file, which is created if it does not exist; returns the descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        """Writes all octets at a position."""
        while data:
            count = os.pwrite(descriptor, data, position)
            data = data[count:]
            position += count

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncates a file to a size."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Syncs a file to disk."""
        os.fsync(descriptor)

    def replace(self, source: str, path: str) -> None:
        """Atomically replaces a file by another."""
        os.replace(source, path)

    def sync_folder(self, folder: str) -> None:
        """Syncs the names in a directory to disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor."""
        os.close(descriptor)


class Journal:
    """The journal in a folder, locked by the one process that writes it.

    size, checksum: of the valid records. Raises JournalInUseError, JournalError or OSError.
    """

    def __init__(
        self, folder: str, disk: Disk | None = None, compaction_size: int = DEFAULT_COMPACTION_SIZE
    ) -> None:
        self.folder = folder
        self.disk = disk or Disk()
        self.compaction_size = compaction_size
        self.path = os.path.join(folder, JOURNAL_NAME)
        self.size = 0
        self.checksum = b""
        self._descriptor: int | None = None
        self._has_partial_record = False  # the last write may be incomplete
        self.lock = os.open(os.path.join(folder, LOCK_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise JournalInUseError(f"another process writes the journal in {folder}") from None

    def read(self) -> list[dict]:
        """Returns all valid records; append() first truncates the file after them."""
        content = read_journal(self.folder, self.disk)
        self.size = content.size
        self.checksum = content.checksum
        return content.records

    def append(self, stored: dict) -> None:
        """Writes and syncs a record. Raises OSError if the record may not be on disk."""
        if self._descriptor is None:
            self._open()
        elif self._has_partial_record:
            self.disk.truncate(self._descriptor, self.size)
        self._has_partial_record = True
        data, checksum = frame_record(self.checksum, stored)
        self.disk.write(self._descriptor, data, self.size)
        self.disk.sync(self._descriptor)
        self.size += len(data)
        self.checksum = checksum
        self._has_partial_record = False

    def _open(self) -> None:
        self._descriptor = self.disk.open(self.path)
        self.disk.truncate(self._descriptor, self.size)
        if not self.size:
            self.disk.write(self._descriptor, MAGIC, 0)
            self.size = len(MAGIC)
        self.disk.sync(self._descriptor)
        self.disk.sync_folder(self.folder)

    def needs_compaction(self) -> bool:
        """Returns whether a checkpoint should replace the records."""
        return self.size > self.compaction_size

    def compact(self, checkpoint: dict) -> None:
        """Replaces all records by a checkpoint. Raises OSError if the previous records stay."""
        data, checksum = frame_record(b"", checkpoint)
        temporary_path = self.path + ".fresh"
        descriptor = self.disk.open(temporary_path)
        try:
            self.disk.truncate(descriptor, 0)
            self.disk.write(descriptor, MAGIC + data, 0)
            self.disk.sync(descriptor)
            self.disk.replace(temporary_path, self.path)
        except OSError:
            self.disk.close(descriptor)
            raise
        if self._descriptor is not None:
            self.disk.close(self._descriptor)
        self._descriptor = descriptor
        self.size = len(MAGIC) + len(data)
        self.checksum = checksum
        self._has_partial_record = False
        # Prevents a compaction with every record when the checkpoint alone exceeds the compaction size.
        self.compaction_size = max(self.compaction_size, 2 * self.size)
        self.disk.sync_folder(self.folder)

    def close(self) -> None:
        """Closes the files and releases the lock."""
        if self._descriptor is not None:
            self.disk.close(self._descriptor)
            self._descriptor = None
        os.close(self.lock)


def read_journal(folder: str, disk: Disk | None = None) -> JournalContent:
    """Reads the journal in a folder without its lock. Raises JournalError or OSError."""
    try:
        data = (disk or Disk()).read(os.path.join(folder, JOURNAL_NAME), MAX_FILE_SIZE)
    except FileNotFoundError:
        return EMPTY_CONTENT
    if len(data) > MAX_FILE_SIZE:
        raise JournalError("the file is too long")
    return parse_journal(data)
