"""Stores the backlog's segments as IPFIX files (RFC 5655): a message of templates, then data messages.

Each data message begins with a record of its own MD5. A file truncated at any byte is read up to its last
complete message. A file corrupted in the middle is read except for the corrupt messages, as long as the
length fields still lead from one message to the next. Messages are written to the file before any of them is
sent to a collector, so SIGKILL loses nothing that was written to the spool. The cursor of each collector is a
small file of its own. If it is missing or corrupt, everything is sent again; collectors detect that by flow
id and part.
"""

import fcntl
import os
import re
import struct
from zlib import crc32

from wickvane.errors import ProtocolError
from wickvane.flows.elements import ELEMENTS
from wickvane.flows.ipfix import HEADER, SET_HEADER, VERSION, Reader, checksum_holds, message
from wickvane.flows.send_window import CORRUPT, UNCOUNTED, Segment

SEGMENT_NAME = re.compile(r"flows-(\d{20})-([0-9a-f]{8})\.ipfix\Z")
CURSOR = struct.Struct("!4sQI")
CURSOR_MAGIC = b"WVC1"
RESOURCE_GROUP_NUMBER = ELEMENTS["resourceGroup"].number
MAX_OPEN_SEGMENTS = 4  # descriptors kept open for reading


class SpoolError(Exception):
    """The directory cannot be used as a spool; the text says why."""


class Generation:
    """A segment's template sets, as they are written in its file, and its observation domain."""

    def __init__(self, sets, domain):
        self.sets, self.domain, self.checksum = sets, domain, crc32(sets)

    def __eq__(self, other):
        return self.checksum == other.checksum and self.domain == other.domain

    def __hash__(self):
        return hash((self.checksum, self.domain))


class Spool:
    """Spool files in a directory that this process locks for itself. Raises SpoolError."""

    def __init__(self, directory):
        self.directory, self.file, self.reading = directory, -1, {}
        try:
            os.makedirs(directory, mode=0o750, exist_ok=True)
            self.lock = os.open(os.path.join(directory, "lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o640)
        except OSError as error:
            raise SpoolError(f"the spool {directory} cannot be used: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise SpoolError(f"the spool {directory} is in use by another process") from None

    def path(self, name):
        return os.path.join(self.directory, name)

    # Reading back

    def recover(self):
        """Reads back the spool; returns (segments by index, next index, next sequence number, faults).

        An incomplete tail is truncated from its file; a file that cannot be read at all is renamed.
        faults: (file, what, corrupt messages, octets truncated)."""
        segments, next_index, sequence, faults = [], 0, 0, []
        for name in sorted(os.listdir(self.directory)):
            match = SEGMENT_NAME.match(name)
            if not match:
                continue
            try:
                segment, next_sequence, corrupt, truncated = self.recover_segment(
                    name, int(match[1]), int(match[2], 16)
                )
            except (OSError, ProtocolError) as error:
                faults.append((name, str(error), 0, 0))
                self.rename_unreadable(name)
                continue
            if corrupt or truncated:
                faults.append((name, "cut" if truncated else "spoilt", corrupt, truncated))
            if segment.first < next_index:
                faults.append((name, "it overlaps the file before it", len(segment), 0))
                self.rename_unreadable(name)
                continue
            next_index, sequence = segment.next, next_sequence
            if len(segment):
                segments.append(segment)
            else:
                self.remove(name)
        return segments, next_index, sequence, faults

    def recover_segment(self, name, first, checksum):
        path = self.path(name)
        with open(path, "rb") as file:
            data = file.read()
        if len(data) < HEADER.size:
            raise ProtocolError("its header is incomplete")
        version, length, _, sequence, domain = HEADER.unpack_from(data)
        sets = data[HEADER.size : length]
        if version != VERSION or not HEADER.size <= length <= len(data) or crc32(sets) != checksum:
            raise ProtocolError("its templates are incomplete or corrupt")
        segment = Segment(first, Generation(sets, domain), length, name)
        offset, corrupt, last = length, 0, b""
        while len(data) - offset >= HEADER.size:
            version, size = SET_HEADER.unpack_from(data, offset)
            if version != VERSION or size < HEADER.size or offset + size > len(data):
                break
            message_data = data[offset : offset + size]
            is_valid = checksum_holds(message_data)
            if is_valid:
                last = message_data
            else:
                corrupt += 1
            # A corrupt message keeps its index, so that the indices after it do not change.
            segment.add(size, UNCOUNTED if is_valid else CORRUPT)
            offset += size
        if last:
            sequence = HEADER.unpack_from(last)[3] + records_in(data[:length], last)[0]
        truncated = len(data) - offset
        if truncated:
            os.truncate(path, offset)
        return segment, sequence & 0xFFFFFFFF, corrupt, truncated

    def rename_unreadable(self, name):
        """Renames a file that cannot be read, so that it is not read again."""
        try:
            os.replace(self.path(name), self.path(name + ".unreadable"))
        except OSError:
            pass

    # Writing

    def begin(self, first, generation, sequence, seconds):
        """Starts a new segment file with its templates and returns the segment. Raises OSError."""
        self.end()
        name = f"flows-{first:020}-{generation.checksum:08x}.ipfix"
        header = message(generation.domain, sequence, seconds, generation.sets)
        file = os.open(self.path(name), os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o640)
        try:
            write(file, header)
        except OSError:
            os.close(file)
            self.remove(name)
            raise
        self.file = file
        return Segment(first, generation, len(header), name)

    def write(self, segment, data):
        """Writes the whole message, or truncates what was partly written and raises OSError."""
        try:
            write(self.file, data)
        except OSError:
            try:
                os.ftruncate(self.file, segment.base + segment.size)
                os.lseek(self.file, 0, os.SEEK_END)
            except OSError:
                pass
            raise

    def end(self):
        """Closes the file being written, after fsync, so that it survives a crash of the machine."""
        if self.file >= 0:
            file, self.file = self.file, -1
            try:
                os.fsync(file)
            except OSError:
                pass
            os.close(file)

    # Reading by connections

    def read(self, segment, index):
        """Returns a message's octets. Raises OSError."""
        file = self.reading.get(segment.file_name)
        if file is None:
            while len(self.reading) >= MAX_OPEN_SEGMENTS:
                os.close(self.reading.pop(next(iter(self.reading))))
            file = self.reading[segment.file_name] = os.open(
                self.path(segment.file_name), os.O_RDONLY | os.O_CLOEXEC
            )
        offset, size = segment.span(index)
        data = os.pread(file, size, offset)
        if len(data) != size:
            raise OSError(5, "a spool file was truncated")
        return data

    def remove(self, name):
        """Removes a segment file."""
        if name in self.reading:
            os.close(self.reading.pop(name))
        try:
            os.unlink(self.path(name))
        except OSError:
            pass

    def cursor(self, collector):
        """Returns the saved index of a collector, or None if there is no valid cursor file."""
        try:
            with open(self.path(f"{collector}.cursor"), "rb") as file:
                data = file.read(CURSOR.size + 1)
            magic, index, checksum = CURSOR.unpack(data)
            return index if magic == CURSOR_MAGIC and checksum == crc32(data[:-4]) else None
        except (OSError, struct.error):
            return None

    def save_cursor(self, collector, index):
        """Saves a collector's index atomically. Raises OSError."""
        header = CURSOR_MAGIC + struct.pack("!Q", index)
        path = self.path(f"{collector}.cursor")
        with open(path + ".new", "wb") as file:
            file.write(header + struct.pack("!I", crc32(header)))
        os.replace(path + ".new", path)

    def close(self):
        """Closes all files and releases the directory."""
        self.end()
        for file in self.reading.values():
            os.close(file)
        self.reading = {}
        os.close(self.lock)


def records_in(header, data):
    """Returns (data records, {resource group: flow records}) of a message.

    header: the message with its templates."""
    reader, groups, count = Reader(0), {}, 0
    group = None
    for event in reader.message(header):
        if event[0] == "template" and group is None:
            # The resource group is our element 3 under any enterprise number.
            group = next(
                (name for name in event[3] if isinstance(name, tuple) and name[1] == RESOURCE_GROUP_NUMBER),
                None,
            )
    for event in reader.message(data):
        if event[0] == "record":
            name = event[3].get(group, b"").decode("utf-8", "replace")
            groups[name] = groups.get(name, 0) + 1
        elif event[0] == "end":
            count = event[3] or 0
    return count, groups


def write(file, data):
    while data:
        data = data[os.write(file, data) :]
