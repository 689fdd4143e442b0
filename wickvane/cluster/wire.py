"""The datagram codec: a version octet, a keyed hash of sixteen octets (BLAKE2b, RFC 7693), and a MessagePack
array of the cluster's name and the fields of a message. A datagram with a field of another type is rejected.

The key file has one or two lines. The first key signs and both are accepted, so that a key can be replaced
without downtime in three steps: add the new key as the second, make it the first, remove the old one. The
hash only proves that the sender has the key; the name of the member that sent a datagram is not verified.
"""

import hmac
from hashlib import blake2b
from pathlib import Path
from typing import get_type_hints

import msgspec

from wickvane.cluster.gossip import Name
from wickvane.cluster.messages import MAX_DATAGRAM_SIZE, Message
from wickvane.errors import ProtocolError
from wickvane.files import FileError, read_bounded

VERSION = 1
HASH_SIZE = 16  # octets
HEADER_SIZE = 1 + HASH_SIZE  # octets
MIN_KEY_SIZE = 16  # octets
MAX_KEY_SIZE = 64  # octets
MAX_KEY_FILE_SIZE = 4096  # octets

_ENVELOPE = tuple[(Name, *get_type_hints(Message, include_extras=True).values())]


class DatagramError(ProtocolError):
    """A datagram that is rejected. reason: the code under which it is counted."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


def read_keys(path: str | Path) -> list[bytes]:
    """Returns the keys of a file, the signing key first. Raises FileError."""
    data = read_bounded(path, MAX_KEY_FILE_SIZE)
    keys = [line.strip() for line in data.splitlines() if line.strip()]
    if not 1 <= len(keys) <= 2:
        raise FileError(f"{path}: expected one or two lines with a key each")
    for key in keys:
        if not MIN_KEY_SIZE <= len(key) <= MAX_KEY_SIZE:
            raise FileError(f"{path}: expected keys of {MIN_KEY_SIZE} to {MAX_KEY_SIZE} octets")
    return keys


class Codec:
    """Signs and verifies datagrams. cluster: the name that all members of one cluster share."""

    def __init__(self, cluster: str, keys: list[bytes]):
        self.cluster = cluster
        self.keys = keys
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_ENVELOPE)

    def seal(self, message: Message) -> bytes:
        """Returns a message's datagram, signed with the first key."""
        body = bytes((VERSION,)) + self._encoder.encode((self.cluster, *message))
        return body[:1] + _keyed_hash(body, self.keys[0]) + body[1:]

    def open(self, data: bytes) -> Message:
        """Returns the message of a datagram. Raises DatagramError.

        The cheapest checks come first: during a flood most datagrams are rejected by their hash at the
        latest, and a datagram that no accepted key signed is never parsed."""
        if len(data) > MAX_DATAGRAM_SIZE:
            raise DatagramError("oversized")
        if len(data) <= HEADER_SIZE:
            raise DatagramError("short")
        if data[0] != VERSION:
            raise DatagramError("version")
        body = data[:1] + data[HEADER_SIZE:]
        signature = data[1:HEADER_SIZE]
        if not any(hmac.compare_digest(_keyed_hash(body, key), signature) for key in self.keys):
            raise DatagramError("unauthenticated")
        return self._parse(memoryview(body)[1:])

    def _parse(self, body: memoryview) -> Message:
        try:
            cluster, *fields = self._decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise DatagramError("malformed") from None
        if cluster != self.cluster:
            raise DatagramError("foreign")
        message = Message(*fields)
        if not -(1 << 63) <= message.view_digest < 1 << 64:
            raise DatagramError("malformed")
        return message


def _keyed_hash(body: bytes, key: bytes) -> bytes:
    return blake2b(body, digest_size=HASH_SIZE, key=key).digest()
