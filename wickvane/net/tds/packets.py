"""TDS packets (MS-TDS 2.2.3): assembles messages from packets and splits messages into packets. No I/O."""

import struct
from collections.abc import Collection
from typing import NamedTuple

from wickvane.errors import ProtocolError

HEADER = struct.Struct(">BBHHBB")  # type, status, length, SPID, packet number, window

# Packet types
SQL_BATCH = 1
RPC = 3
TABULAR_RESULT = 4
ATTENTION = 6
BULK_LOAD = 7
TRANSACTION_MANAGER = 14
LOGIN7 = 16
PRELOGIN = 18
CLIENT_TYPES = frozenset((SQL_BATCH, RPC, ATTENTION, BULK_LOAD, TRANSACTION_MANAGER, LOGIN7, PRELOGIN))

# Status flags
STATUS_EOM = 0x01  # the last packet of its message
STATUS_IGNORE = 0x02
STATUS_RESET_CONNECTION = 0x08
STATUS_RESET_CONNECTION_SKIP_TRAN = 0x10

MIN_PACKET_SIZE = 512  # octets, including the header
DEFAULT_PACKET_SIZE = 4096
MAX_PACKET_SIZE = 32_767
MAX_PACKETS_PER_MESSAGE = 4096  # bounds the number of empty packets


class Message(NamedTuple):
    """A packet, or a complete message; a message has the status of its first packet."""

    type: int
    status: int
    body: bytes


class MessageAssembler:
    """Assembles complete messages from received octets; discards those whose last packet has STATUS_IGNORE.

    Buffers at most one message of max_message_size octets and one packet; types: the accepted packet types.
    next_packet() and next_message() raise ProtocolError for invalid data."""

    def __init__(self, max_message_size: int, types: Collection[int] = CLIENT_TYPES) -> None:
        self.max_message_size = max_message_size
        self.types = types
        self.buffer = bytearray()
        self._body = bytearray()
        self._packet_count = 0
        self._type = 0
        self._status = 0

    def feed(self, data: bytes) -> None:
        """Adds received octets."""
        self.buffer += data

    def is_mid_message(self) -> bool:
        """Returns whether an incomplete message is buffered."""
        return bool(self.buffer or self._packet_count)

    @property
    def size(self) -> int:
        """Octets of the incomplete message, beside those in the buffer."""
        return len(self._body)

    def next_packet(self) -> Message | None:
        """Returns the next packet, or None if it is incomplete."""
        if len(self.buffer) < HEADER.size:
            return None
        packet_type, status, length, _, _, _ = HEADER.unpack_from(self.buffer)
        if packet_type not in self.types:
            raise ProtocolError("a packet's type is not known here")
        if not HEADER.size <= length <= MAX_PACKET_SIZE:
            raise ProtocolError("a packet's length is out of range")
        if len(self.buffer) < length:
            return None
        body = bytes(self.buffer[HEADER.size : length])
        del self.buffer[:length]
        return Message(packet_type, status, body)

    def next_message(self) -> Message | None:
        """Returns the next complete message, or None if there is none.

        An ATTENTION discards a message of which only some packets were received."""
        while (packet := self.next_packet()) is not None:
            if not self._packet_count:
                self._type = packet.type
                self._status = packet.status
            elif packet.type != self._type:
                if packet.type != ATTENTION:
                    raise ProtocolError("a packet of another type inside a message")
                self.discard_message()
                return packet
            self._packet_count += 1
            is_last = bool(packet.status & STATUS_EOM)
            is_only = is_last and self._packet_count == 1
            if not is_only:
                self._body += packet.body
            size = len(packet.body) if is_only else len(self._body)
            if size > self.max_message_size or self._packet_count > MAX_PACKETS_PER_MESSAGE:
                raise ProtocolError("a message is too long")
            if is_last:
                body = packet.body if is_only else bytes(self._body)
                self.discard_message()
                if not packet.status & STATUS_IGNORE:
                    return Message(self._type, self._status, body)
        return None

    def discard_message(self) -> None:
        """Discards the incomplete message."""
        if self._body:
            self._body = bytearray()
        self._packet_count = 0


def encode_packets(
    message_type: int, body: bytes, packet_size: int = DEFAULT_PACKET_SIZE, spid: int = 0, status: int = 0
) -> bytes:
    """Splits a message into packets of at most packet_size octets; status: flags of the first packet."""
    max_body_size = packet_size - HEADER.size
    if len(body) <= max_body_size:
        return HEADER.pack(message_type, STATUS_EOM | status, HEADER.size + len(body), spid, 1, 0) + body
    parts = []
    for number, offset in enumerate(range(0, len(body), max_body_size), 1):
        piece = body[offset : offset + max_body_size]
        flags = STATUS_EOM if offset + max_body_size >= len(body) else 0
        if number == 1:
            flags |= status
        parts.append(HEADER.pack(message_type, flags, HEADER.size + len(piece), spid, number & 255, 0))
        parts.append(piece)
    return b"".join(parts)


class PacketWriter:
    """Writes one message in pieces: returns full packets and buffers the rest until the next piece."""

    def __init__(self, message_type: int, packet_size: int = DEFAULT_PACKET_SIZE, spid: int = 0) -> None:
        self._type = message_type
        self._max_body_size = packet_size - HEADER.size
        self._spid = spid
        self._unsent = bytearray()
        self._number = 0

    def write(self, data: bytes) -> bytes:
        """Adds data; returns the packets that are full."""
        self._unsent += data
        parts = []
        while len(self._unsent) > self._max_body_size:
            parts.append(self._packet(bytes(self._unsent[: self._max_body_size]), 0))
            del self._unsent[: self._max_body_size]
        return b"".join(parts)

    def finish(self, data: bytes = b"") -> bytes:
        """Adds data; returns the remaining packets, the last one with STATUS_EOM."""
        return self.write(data) + self._packet(bytes(self._unsent), STATUS_EOM)

    def _packet(self, body: bytes, status: int) -> bytes:
        self._number = (self._number + 1) & 255
        header = HEADER.pack(self._type, status, HEADER.size + len(body), self._spid, self._number, 0)
        return header + body
