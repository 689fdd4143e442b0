"""What shares say, in MessagePack: whole and typed, or not at all. It rides in the datagrams of peers."""

from functools import lru_cache
from typing import Annotated

import msgspec

VERSION = 1
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Threads = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
Figure = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Levels = Annotated[list[tuple[Name, Threads]], msgspec.Meta(max_length=200)]
Works = Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=16)]
Rows = Annotated[list[tuple[Name, Figure, Figure, Figure]], msgspec.Meta(max_length=64)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]  # of peers' mark of it: both know the life itself
Word = tuple[
    Annotated[int, msgspec.Meta(ge=0, le=2)],
    Annotated[int, msgspec.Meta(ge=0, le=7)],
    Whole,
    Annotated[int, msgspec.Meta(ge=0, le=4096)],
    Whole,
]


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """levels: life, stamp, threads by engine; sums: life, key, figure; words of a broker to this very
    receiver: verb, budget, number, units, asked at; opinions: life, stamp, engine with tried, failed, slow in
    tenths; works: life, stamp, work ever by tenant in ms."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)] = VERSION
    levels: Annotated[list[tuple[Life, Whole, Levels]], msgspec.Meta(max_length=64)] = []
    sums: Annotated[list[tuple[Life, Key, Whole]], msgspec.Meta(max_length=128)] = []
    words: Annotated[list[Word], msgspec.Meta(max_length=16)] = []
    opinions: Annotated[list[tuple[Life, Whole, Rows]], msgspec.Meta(max_length=64)] = []
    works: Annotated[list[tuple[Life, Whole, Works]], msgspec.Meta(max_length=64)] = []


WORDS_MOST = 16  # in one datagram
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


@lru_cache(1 << 14)
def size_of(name):
    octets = len(name.encode())
    return 1 + octets + (1 if octets < 32 else 2)


def size(name, *figures):
    """Octets of a row of a name and whole figures."""
    found = size_of(name)
    for n in figures:
        found += 1 if n < 128 else 2 if n < 256 else 3 if n < 1 << 16 else 5 if n < 1 << 32 else 9
    return found


def seal(**parts):
    return ENCODER.encode(Message(**parts))


def unseal(payload):
    """A Message, or None where it is nothing of this version."""
    try:
        return DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
