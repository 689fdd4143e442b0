"""Generations on disk: what was taken, refused and told, in the order in which it was; cut-proof at any byte.

    wickvane-members 1\\n
    records, one behind another: length (4 octets), checksum (16), JSON of so many octets

A record's checksum is BLAKE2b over its octets, keyed by the checksum before it, so that a record holds in its
place only: neither an old piece of the file nor one of another file passes for the next. Whatever does not
hold ends the journal there. A record counts once it is forced to disk; the journal is replaced, by one that
begins with a record that stands for all before it, by one rename.

`Disk` is all that touches the disk, so that tests can end it at each step.
"""

import fcntl
import os
from hashlib import blake2b

import orjson

MAGIC, NAME, LOCK = b"wickvane-members 1\n", "journal.wickvane", "lock"
HEAD, MARK, RECORD_MOST, FILE_MOST = 20, 16, 64 << 20, 256 << 20


class Unreadable(Exception):
    """No journal; says why."""


class InUse(Exception):
    """Another process writes there."""


def record_of(before, plain):
    """(octets, checksum) of a record behind one with the checksum `before`."""
    body = orjson.dumps(plain)
    mark = blake2b(body, digest_size=MARK, key=before).digest()
    return len(body).to_bytes(4, "big") + mark + body, mark


def records(data):
    """(records, octets of those that hold, the last checksum). Raises Unreadable where the beginning is not
    that of a journal."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return [], 0, b""  # cut while it was begun
        raise Unreadable("it does not begin as a journal")
    found, at, before = [], len(MAGIC), b""
    while len(data) - at >= HEAD:
        size = int.from_bytes(data[at : at + 4], "big")
        body = data[at + HEAD : at + HEAD + size]
        mark = data[at + 4 : at + HEAD]
        if (
            size > RECORD_MOST
            or len(body) != size
            or blake2b(body, digest_size=MARK, key=before).digest() != mark
        ):
            break
        try:
            found.append(orjson.loads(body))
        except orjson.JSONDecodeError:
            break
        at, before = at + HEAD + size, mark
    return found, at, before


class Disk:
    """Files as they are."""

    def read(self, path, most):
        with open(path, "rb") as file:
            return file.read(most + 1)

    def append(self, path):
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def write(self, descriptor, data, at):
        while data:
            count = os.pwrite(descriptor, data, at)
            data, at = data[count:], at + count

    def cut(self, descriptor, size):
        os.ftruncate(descriptor, size)

    def force(self, descriptor):
        os.fsync(descriptor)

    def replace(self, fresh, path):
        os.replace(fresh, path)

    def force_folder(self, folder):
        holder = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(holder)
        finally:
            os.close(holder)

    def close(self, descriptor):
        os.close(descriptor)


class Journal:
    """The journal in a folder, for the one process that writes it. Raises InUse, Unreadable or OSError."""

    def __init__(self, folder, disk=None, most=4 << 20):
        self.folder, self.disk, self.most = folder, disk or Disk(), most
        self.path, self.descriptor, self.size, self.mark = os.path.join(folder, NAME), None, 0, b""
        self.broken = False  # what was written last may be there in part
        self.lock = os.open(os.path.join(folder, LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise InUse(f"another process writes the journal in {folder}") from None

    def read(self):
        """All records that hold; what follows them is cut off before the next is written."""
        found, self.size, self.mark = read(self.folder, self.disk)
        return found

    def open(self):
        self.descriptor = self.disk.append(self.path)
        self.disk.cut(self.descriptor, self.size)
        if not self.size:
            self.disk.write(self.descriptor, MAGIC, 0)
            self.size = len(MAGIC)
        self.disk.force(self.descriptor)
        self.disk.force_folder(self.folder)

    def keep(self, plain):
        """The record is on disk when this returns; OSError where it may not be."""
        if self.descriptor is None:
            self.open()
        elif self.broken:
            self.disk.cut(self.descriptor, self.size)
        self.broken = True
        data, mark = record_of(self.mark, plain)
        self.disk.write(self.descriptor, data, self.size)
        self.disk.force(self.descriptor)
        self.size, self.mark, self.broken = self.size + len(data), mark, False

    def full(self):
        return self.size > self.most

    def compact(self, plain):
        """Begins anew with one record that stands for all."""
        data, mark = record_of(b"", plain)
        fresh = self.path + ".fresh"
        descriptor = self.disk.append(fresh)
        try:
            self.disk.cut(descriptor, 0)
            self.disk.write(descriptor, MAGIC + data, 0)
            self.disk.force(descriptor)
            self.disk.replace(fresh, self.path)
        except OSError:
            self.disk.close(descriptor)
            raise
        if self.descriptor is not None:
            self.disk.close(self.descriptor)
        self.descriptor, self.size, self.mark, self.broken = descriptor, len(MAGIC) + len(data), mark, False
        # A state that alone is longer must not be written anew with each record.
        self.most = max(self.most, 2 * self.size)
        self.disk.force_folder(self.folder)

    def close(self):
        if self.descriptor is not None:
            self.disk.close(self.descriptor)
            self.descriptor = None
        os.close(self.lock)


def read(folder, disk=None):
    """(records, octets that hold, last checksum) of the journal in a folder, by whoever may read it."""
    try:
        data = (disk or Disk()).read(os.path.join(folder, NAME), FILE_MOST)
    except FileNotFoundError:
        return [], 0, b""
    if len(data) > FILE_MOST:
        raise Unreadable("it is too long")
    return records(data)
