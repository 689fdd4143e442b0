"""The backlog's segments as files: IPFIX files (RFC 5655), each a message of templates and then data
messages.

Each data message begins with a record of its own MD5. A file that was cut at any byte is read up to its last
whole message, and one that was spoilt in the middle is read but for the spoilt messages, as long as the
lengths still lead from one to the next. All that is written goes out before a collector is handed any of it,
so that SIGKILL loses nothing that was taken into the spool. Where each outlet stands is a small file of its
own; one that is missing or broken means that all is sent again, which collectors can tell by flow id and
part.
"""

import fcntl
import os
import re
import struct
from zlib import crc32

from wickvane.errors import ProtocolError
from wickvane.flows.elements import ELEMENTS
from wickvane.flows.ipfix import HEAD, SET_HEAD, VERSION, Reader, checksum_holds, message
from wickvane.flows.outlet import SPOILT, UNCOUNTED, Segment

SEGMENT = re.compile(r"flows-(\d{20})-([0-9a-f]{8})\.ipfix\Z")
CURSOR = struct.Struct("!4sQI")
CURSOR_MARK = b"WVC1"
GROUP = ELEMENTS["resourceGroup"].number
SEGMENTS_OPEN = 4  # descriptors held for reading


class Unusable(Exception):
    """The directory cannot be a spool; the text says why."""


class Generation:
    """A segment's templates, as they stand in its file."""

    def __init__(self, sets, domain):
        self.sets, self.domain, self.mark = sets, domain, crc32(sets)

    def __eq__(self, other):
        return self.mark == other.mark and self.domain == other.domain

    def __hash__(self):
        return hash((self.mark, self.domain))


class Spool:
    """Files in a directory that is this process's alone."""

    def __init__(self, directory):
        self.directory, self.file, self.reading = directory, -1, {}
        try:
            os.makedirs(directory, mode=0o750, exist_ok=True)
            self.lock = os.open(os.path.join(directory, "lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o640)
        except OSError as error:
            raise Unusable(f"the spool {directory} cannot be used: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise Unusable(f"the spool {directory} is another process's") from None

    def path(self, name):
        return os.path.join(self.directory, name)

    # Reading back

    def recover(self):
        """(segments, next index, next sequence, faults): what lies here, in the order of its indices. A tail
        that was cut off is cut from the file; a file of which nothing can be read is set aside under another
        name. faults: (file, what, messages spoilt, octets cut)."""
        segments, following, sequence, faults = [], 0, 0, []
        for name in sorted(os.listdir(self.directory)):
            found = SEGMENT.match(name)
            if not found:
                continue
            try:
                segment, after, spoilt, cut = self.recover_segment(name, int(found[1]), int(found[2], 16))
            except (OSError, ProtocolError) as error:
                faults.append((name, str(error), 0, 0))
                self.set_aside(name)
                continue
            if spoilt or cut:
                faults.append((name, "cut" if cut else "spoilt", spoilt, cut))
            if segment.first < following:
                faults.append((name, "it overlaps the file before it", len(segment), 0))
                self.set_aside(name)
                continue
            following, sequence = segment.next, after
            if len(segment):
                segments.append(segment)
            else:
                self.remove(name)
        return segments, following, sequence, faults

    def recover_segment(self, name, first, mark):
        path = self.path(name)
        with open(path, "rb") as file:
            data = file.read()
        if len(data) < HEAD.size:
            raise ProtocolError("its head is cut")
        version, length, _, sequence, domain = HEAD.unpack_from(data)
        sets = data[HEAD.size : length]
        if version != VERSION or not HEAD.size <= length <= len(data) or crc32(sets) != mark:
            raise ProtocolError("its templates are cut or spoilt")
        segment = Segment(first, Generation(sets, domain), length, name)
        at, spoilt, last = length, 0, b""
        while len(data) - at >= HEAD.size:
            version, size = SET_HEAD.unpack_from(data, at)
            if version != VERSION or size < HEAD.size or at + size > len(data):
                break
            whole = data[at : at + size]
            good = checksum_holds(whole)
            if good:
                last = whole
            else:
                spoilt += 1
            # One that is spoilt keeps its place, so that the indices behind it stay.
            segment.add(size, UNCOUNTED if good else SPOILT)
            at += size
        if last:
            sequence = HEAD.unpack_from(last)[3] + records_in(data[:length], last)[0]
        cut = len(data) - at
        if cut:
            os.truncate(path, at)
        return segment, sequence & 0xFFFFFFFF, spoilt, cut

    def set_aside(self, name):
        try:
            os.replace(self.path(name), self.path(name + ".unreadable"))
        except OSError:
            pass

    # Writing

    def begin(self, first, generation, sequence, seconds):
        """A new file, with its templates written."""
        self.end()
        name = f"flows-{first:020}-{generation.mark:08x}.ipfix"
        head = message(generation.domain, sequence, seconds, generation.sets)
        file = os.open(self.path(name), os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o640)
        try:
            write(file, head)
        except OSError:
            os.close(file)
            self.remove(name)
            raise
        self.file = file
        return Segment(first, generation, len(head), name)

    def write(self, segment, data):
        """The whole message or none of it: what was half written is cut off again."""
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
        """Ends the file that is being written; it is made to last against a machine's end too."""
        if self.file >= 0:
            file, self.file = self.file, -1
            try:
                os.fsync(file)
            except OSError:
                pass
            os.close(file)

    # For outlets

    def read(self, segment, index):
        file = self.reading.get(segment.place)
        if file is None:
            while len(self.reading) >= SEGMENTS_OPEN:
                os.close(self.reading.pop(next(iter(self.reading))))
            file = self.reading[segment.place] = os.open(self.path(segment.place), os.O_RDONLY | os.O_CLOEXEC)
        offset, size = segment.span(index)
        data = os.pread(file, size, offset)
        if len(data) != size:
            raise OSError(5, "a spool file is shorter than it was")
        return data

    def remove(self, name):
        if name in self.reading:
            os.close(self.reading.pop(name))
        try:
            os.unlink(self.path(name))
        except OSError:
            pass

    def cursor(self, outlet):
        """Where an outlet stood, or None."""
        try:
            with open(self.path(f"{outlet}.cursor"), "rb") as file:
                data = file.read(CURSOR.size + 1)
            mark, index, check = CURSOR.unpack(data)
            return index if mark == CURSOR_MARK and check == crc32(data[:-4]) else None
        except (OSError, struct.error):
            return None

    def keep_cursor(self, outlet, index):
        head = CURSOR_MARK + struct.pack("!Q", index)
        path = self.path(f"{outlet}.cursor")
        with open(path + ".new", "wb") as file:
            file.write(head + struct.pack("!I", crc32(head)))
        os.replace(path + ".new", path)

    def close(self):
        self.end()
        for file in self.reading.values():
            os.close(file)
        self.reading = {}
        os.close(self.lock)


def records_in(head, data):
    """(data records, {resource group: flow records}) of a message, read with the templates of `head`."""
    reader, groups, count = Reader(0), {}, 0
    group = None
    for event in reader.message(head):
        if event[0] == "template" and group is None:
            # The name's own place: whatever the enterprise number, it is our element 3.
            group = next((name for name in event[3] if isinstance(name, tuple) and name[1] == GROUP), None)
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
