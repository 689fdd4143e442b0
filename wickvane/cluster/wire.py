"""Datagrams between peers: a version octet, a keyed hash of sixteen octets (BLAKE2b, RFC 7693), and a message
in MessagePack as msgspec reads and writes it, whole and typed or not at all.

The key comes from a file of one or two lines: the first signs, both are taken, so that a key is changed
without a stop in three steps (new one second, new one first, old one out). That a datagram was made by who
holds the key is all it shows; who said what is believed among those.
"""

import hmac
from hashlib import blake2b
from typing import Annotated

import msgspec

from wickvane.cluster.protocol import DATAGRAM
from wickvane.files import FileError, read_bounded

VERSION, MAC = 1, 16
KEY_LEAST, KEY_MOST, FILE_MOST = 16, 64, 4096

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
By = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(min_length=3, max_length=56)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Entry = tuple[Name, Whole, Address, Incarnation, Annotated[int, msgspec.Meta(ge=0, le=4)], By]
# cluster, kind, sender, its epoch, its counter, the receiver's epoch, view number, view digest, seq, about
# whom, sums or what a rider says, entries
Message = tuple[
    Name,
    Annotated[int, msgspec.Meta(ge=0, le=8)],
    Name,
    Whole,
    Whole,
    Whole,
    Whole,
    int,
    Whole,
    tuple[Name, Whole] | None,
    Annotated[bytes, msgspec.Meta(max_length=960)],
    Annotated[list[Entry], msgspec.Meta(max_length=40)],
]


class Refused(Exception):
    """reason: a code, by which what is dropped is counted."""

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


def read_keys(path):
    """The keys of a file, the one that signs first; FileError."""
    data = read_bounded(path, FILE_MOST)
    keys = [line.strip() for line in data.splitlines() if line.strip()]
    if not 1 <= len(keys) <= 2:
        raise FileError(f"{path}: expected one or two lines with a key each")
    for key in keys:
        if not KEY_LEAST <= len(key) <= KEY_MOST:
            raise FileError(f"{path}: expected keys of {KEY_LEAST} to {KEY_MOST} octets")
    return keys


class Codec:
    """cluster: a name of its own for those that belong together."""

    def __init__(self, cluster, keys):
        self.cluster, self.keys = cluster, keys
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def seal(self, message):
        """A message, its fields in their order without the cluster, as octets."""
        body = bytes((VERSION,)) + self.encoder.encode((self.cluster, *message))
        return body[:1] + blake2b(body, digest_size=MAC, key=self.keys[0]).digest() + body[1:]

    def open(self, data):
        """The message of a datagram; Refused with its reason. Cheapest checks first: most of a flood ends at
        the hash, and nothing is read of what the key did not sign."""
        if len(data) > DATAGRAM:
            raise Refused("oversized")
        if len(data) <= 1 + MAC:
            raise Refused("short")
        if data[0] != VERSION:
            raise Refused("version")
        body = data[:1] + data[1 + MAC :]
        for key in self.keys:
            if hmac.compare_digest(blake2b(body, digest_size=MAC, key=key).digest(), data[1 : 1 + MAC]):
                break
        else:
            raise Refused("unauthenticated")
        try:
            cluster, *message = self.decoder.decode(memoryview(body)[1:])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise Refused("malformed") from None
        if cluster != self.cluster:
            raise Refused("foreign")
        if not -(1 << 63) <= message[6] < 1 << 64:
            raise Refused("malformed")
        return message
