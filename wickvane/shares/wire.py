"""What shares say, in MessagePack: whole and typed, or not at all. It rides in the datagrams of peers."""

from typing import Annotated

import msgspec

VERSION = 1
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Levels = Annotated[list[tuple[Name, Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]]],
                   msgspec.Meta(max_length=200)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]  # of peers' mark of it: both know the life itself
# version; levels: life, stamp, by engine; sums: life, key, figure
Message = tuple[
    Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)],
    Annotated[list[tuple[Life, Whole, Levels]], msgspec.Meta(max_length=64)],
    Annotated[list[tuple[Life, Key, Whole]], msgspec.Meta(max_length=64)]]
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def seal(levels, sums):
    return ENCODER.encode((VERSION, levels, sums))


def unseal(payload):
    """(levels, sums), or None where it is nothing of this version."""
    try:
        return DECODER.decode(payload)[1:]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
