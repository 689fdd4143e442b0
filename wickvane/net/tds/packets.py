"""TDS packets (MS-TDS 2.2.3): cut from a stream and put together to messages, and back. No I/O."""

import struct

from wickvane.errors import ProtocolError

HEAD = struct.Struct(">BBHHBB")  # type, status, length, SPID, packet number, window
BATCH, RPC, RESULT, ATTENTION, BULK, TRANSACTION, LOGIN, PRELOGIN = 1, 3, 4, 6, 7, 14, 16, 18
LAST, IGNORE, RESET, RESET_KEEP = 1, 2, 8, 16
SIZE_LEAST, SIZE, SIZE_MOST = 512, 4096, 32_767
FROM_CLIENT = frozenset((BATCH, RPC, ATTENTION, BULK, TRANSACTION, LOGIN, PRELOGIN))
SPLIT_MOST = 4096  # packets of one message: against a message made of empty ones


class Assembler:
    """Bytes in, whole messages out as (type, status of the first packet, body); `most` octets a message.

    Holds one message and one packet at most. A message whose last packet says IGNORE is dropped."""

    def __init__(self, most, types=FROM_CLIENT):
        self.most, self.types = most, types
        self.buffer, self.kind, self.status, self.parts, self.size, self.count = bytearray(), 0, 0, [], 0, 0

    def feed(self, data):
        self.buffer += data

    def midway(self):
        return bool(self.buffer or self.parts)

    def packet(self):
        """(type, status, body) of the next packet, None while it is not whole."""
        if len(self.buffer) < HEAD.size:
            return None
        kind, status, length, _, _, _ = HEAD.unpack_from(self.buffer)
        if kind not in self.types:
            raise ProtocolError("a packet's type is not known here")
        if not HEAD.size <= length <= SIZE_MOST:
            raise ProtocolError("a packet's length is out of range")
        if len(self.buffer) < length:
            return None
        body = bytes(self.buffer[HEAD.size : length])
        del self.buffer[:length]
        return kind, status, body

    def message(self):
        """The next whole message, None while there is none."""
        while (found := self.packet()) is not None:
            kind, status, body = found
            if not self.parts:
                self.kind, self.status = kind, status
            elif kind != self.kind:
                if kind == ATTENTION:
                    # It gives up the message that was being sent.
                    self.parts, self.size, self.count = [], 0, 0
                    return kind, status, body
                raise ProtocolError("a packet of another type inside a message")
            self.parts.append(body)
            self.size, self.count = self.size + len(body), self.count + 1
            if self.size > self.most or self.count > SPLIT_MOST:
                raise ProtocolError("a message is too long")
            if status & LAST:
                whole, first = b"".join(self.parts), self.status
                self.parts, self.size, self.count = [], 0, 0
                if not status & IGNORE:
                    return self.kind, first, whole
        return None


def frame(kind, body, size=SIZE, spid=0, status=0):
    """A message as packets of `size` octets at most; status is that of the first (RESET and its like)."""
    room = size - HEAD.size
    if len(body) <= room:
        return HEAD.pack(kind, LAST | status, HEAD.size + len(body), spid, 1, 0) + body
    parts = []
    for n, at in enumerate(range(0, len(body), room), 1):
        piece = body[at : at + room]
        flags = (LAST if at + room >= len(body) else 0) | (status if n == 1 else 0)
        parts.append(HEAD.pack(kind, flags, HEAD.size + len(piece), spid, n & 255, 0))
        parts.append(piece)
    return b"".join(parts)


class Framer:
    """A message that is written in pieces as it comes: whole packets go out, the rest waits for more."""

    def __init__(self, kind, size=SIZE, spid=0):
        self.kind, self.room, self.spid, self.held, self.number = kind, size - HEAD.size, spid, bytearray(), 0

    def more(self, data):
        self.held += data
        parts = []
        while len(self.held) > self.room:
            parts.append(self.one(bytes(self.held[: self.room]), 0))
            del self.held[: self.room]
        return b"".join(parts)

    def one(self, body, status):
        self.number = self.number + 1 & 255
        return HEAD.pack(self.kind, status, HEAD.size + len(body), self.spid, self.number, 0) + body

    def end(self, data=b""):
        return self.more(data) + self.one(bytes(self.held), LAST)
