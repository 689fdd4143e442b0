"""The journal of an endpoint list on disk; a cut at any octet loses at most the records behind it.

    wickvane-members 1\\n
    records, one behind another: length (4 octets), checksum (16), JSON of so many octets

A record's checksum is BLAKE2b over its octets, keyed by the checksum before it, so that a record is valid in
its position only: neither an old piece of the file nor one of another file passes for the next. The first
invalid record ends the journal. A record counts once it is synced; compaction replaces the journal by one
rename with one that begins with a checkpoint.

`Disk` is all that touches the disk, so that tests can interrupt it at each step.
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
MAX_RECORD_SIZE = 64 << 20
MAX_FILE_SIZE = 256 << 20
DEFAULT_COMPACTION_SIZE = 4 << 20
FILE_MODE = 0o640


class JournalError(WickvaneError):
    """A file that is no journal; says why."""


class JournalInUseError(WickvaneError):
    """Another process writes the journal."""


class JournalContent(NamedTuple):
    """Valid records in their stored form, the octets that they take, and the last checksum."""

    records: list[dict]
    size: int
    checksum: bytes


EMPTY_CONTENT = JournalContent([], 0, b"")


def frame_record(previous_checksum: bytes, stored: dict) -> tuple[bytes, bytes]:
    """(octets, checksum) of a record behind one with the previous checksum."""
    body = orjson.dumps(stored)
    checksum = _checksum_of(body, previous_checksum)
    return len(body).to_bytes(LENGTH_SIZE, "big") + checksum + body, checksum


def _checksum_of(body: bytes, previous_checksum: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_SIZE, key=previous_checksum).digest()


def parse_journal(data: bytes) -> JournalContent:
    """The valid records in a journal's octets. Raises JournalError where they do not begin as a journal."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return EMPTY_CONTENT  # cut while it was begun
        raise JournalError("it does not begin as a journal")
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
    """The file operations of a journal."""

    def read(self, path: str, max_size: int) -> bytes:
        """At most one octet more than max_size."""
        with open(path, "rb") as file:
            return file.read(max_size + 1)

    def open(self, path: str) -> int:
        """A descriptor of a file that is made if need be."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        """Writes all octets at a position."""
        while data:
            count = os.pwrite(descriptor, data, position)
            data = data[count:]
            position += count

    def truncate(self, descriptor: int, size: int) -> None:
        """Cuts a file to a size."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Returns once a file is on disk."""
        os.fsync(descriptor)

    def replace(self, source: str, path: str) -> None:
        """Renames a file over another."""
        os.replace(source, path)

    def sync_folder(self, folder: str) -> None:
        """Returns once a folder's names are on disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor."""
        os.close(descriptor)


class Journal:
    """The journal in a folder, for the one process that writes it.

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
        self._has_partial_record = False  # the last write may be there in part
        self.lock = os.open(os.path.join(folder, LOCK_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise JournalInUseError(f"another process writes the journal in {folder}") from None

    def read(self) -> list[dict]:
        """All valid records; what follows them is cut off before the next is written."""
        content = read_journal(self.folder, self.disk)
        self.size = content.size
        self.checksum = content.checksum
        return content.records

    def append(self, stored: dict) -> None:
        """The record is on disk when this returns. Raises OSError where it may not be."""
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
        """Whether the records should be replaced by a checkpoint."""
        return self.size > self.compaction_size

    def compact(self, checkpoint: dict) -> None:
        """Replaces all records by a checkpoint. Raises OSError where the previous ones stay."""
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
        # A checkpoint that is longer by itself must not be written again with each record.
        self.compaction_size = max(self.compaction_size, 2 * self.size)
        self.disk.sync_folder(self.folder)

    def close(self) -> None:
        """Closes the files and gives the lock up."""
        if self._descriptor is not None:
            self.disk.close(self._descriptor)
            self._descriptor = None
        os.close(self.lock)


def read_journal(folder: str, disk: Disk | None = None) -> JournalContent:
    """The journal in a folder, by any process that may read it. Raises JournalError or OSError."""
    try:
        data = (disk or Disk()).read(os.path.join(folder, JOURNAL_NAME), MAX_FILE_SIZE)
    except FileNotFoundError:
        return EMPTY_CONTENT
    if len(data) > MAX_FILE_SIZE:
        raise JournalError("it is too long")
    return parse_journal(data)
