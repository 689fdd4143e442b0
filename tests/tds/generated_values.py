"""Generates encoded values of each TDS data type, and damages them."""

import struct
from random import Random

from wickvane.net.tds import type_info

TYPE_INFOS = (
    [bytes((code,)) for code in (0x1F, 0x30, 0x32, 0x34, 0x38, 0x3A, 0x3B, 0x3C, 0x3D, 0x3E, 0x7A, 0x7F)]
    + [bytes((0x26, size)) for size in (1, 2, 4, 8)]
    + [b"\x68\x01", b"\x24\x10", b"\x6d\x04", b"\x6d\x08", b"\x6e\x04", b"\x6e\x08", b"\x6f\x04", b"\x6f\x08"]
    + [bytes((0x6A, 17, 38, 4)), bytes((0x6C, 5, 9, 2)), bytes((0x6A, 9, 19, 0)), b"\x28"]
    + [bytes((code, scale)) for code in (0x29, 0x2A, 0x2B) for scale in (0, 3, 7)]
    + [bytes((code, 40, 0)) for code in (0xA5, 0xAD)]
    + [bytes((code, 40, 0)) + type_info.COLLATION for code in (0xA7, 0xAF, 0xE7, 0xEF)]
    + [bytes((code, 40, 0)) + b"\x19\x04\xd0\x00\x34" for code in (0xA7, 0xAF)]
    + [b"\xa7\x28\x00\x09\x04\xd0\x04\x34", b"\xa5\xff\xff"]
    + [bytes((code, 255, 255)) + type_info.COLLATION for code in (0xA7, 0xE7)]
    + [b"\x22\xff\xff\xff\x7f", b"\x23\xff\xff\xff\x7f" + type_info.COLLATION]
    + [b"\x63\xff\xff\xff\x7f" + type_info.COLLATION, b"\xf1\x00", b"\xf1\x01\x01a\x00\x00\x00\x00"]
    + [b"\x62\x50\x1f\x00\x00"]
)
FIXED_SIZES = {
    **{0x1F: 0, 0x30: 1, 0x32: 1, 0x34: 2, 0x38: 4, 0x3A: 4, 0x3B: 4, 0x7A: 4},
    **dict.fromkeys((0x3C, 0x3D, 0x3E, 0x7F), 8),
}
TIME_TYPES = (0x28, 0x29, 0x2A, 0x2B)
DECIMAL_LENGTHS = {0x6A: (5, 9, 13, 17), 0x6C: (5, 9, 13, 17)}


def random_octets(rng: Random, size: int) -> bytes:
    return bytes(rng.randrange(256) for _ in range(size))


def random_text(rng: Random) -> str:
    return "".join(rng.choice("abc'é中 \\\"\U0001f600") for _ in range(rng.randrange(12)))


def encoded_plp(rng: Random, _info: bytes) -> bytes:
    if rng.random() < 0.1:
        return b"\xff" * 8
    chunks = [random_octets(rng, 2 * rng.randrange(1, 9)) for _ in range(rng.randrange(3))]
    total = sum(map(len, chunks)) if rng.random() < 0.6 else 0xFFFFFFFFFFFFFFFE
    return struct.pack("<Q", total) + b"".join(struct.pack("<I", len(c)) + c for c in chunks) + bytes(4)


def encoded_short_length(rng: Random, _info: bytes) -> bytes:
    size = rng.choice((0xFFFF, 0, 2, 40, 8, 6, 2))
    if rng.random() < 0.01:
        size = rng.choice((42, 7))
    return struct.pack("<H", size) + (random_octets(rng, size) if size != 0xFFFF else b"")


def encoded_text(rng: Random, _info: bytes) -> bytes:
    if rng.random() < 0.1:
        return b"\0"
    data = random_octets(rng, rng.randrange(20))
    return b"\x10" + bytes(24) + struct.pack("<I", len(data)) + data


def encoded_variant(rng: Random, _info: bytes) -> bytes:
    data = random_octets(rng, rng.randrange(20))
    return struct.pack("<I", len(data)) + data


def encoded_time(rng: Random, info: bytes) -> bytes:
    scale = info[1] if len(info) > 1 else 0
    time_size = 3 if scale <= 2 else 4 if scale <= 4 else 5
    size = {0x28: 3, 0x29: time_size, 0x2A: time_size + 3, 0x2B: time_size + 5}[info[0]]
    data = bytearray(random_octets(rng, size))
    if rng.random() < 0.9:
        data[time_size - 1] = rng.randrange({0: 2, 3: 5, 7: 201}[scale])
        data[size - 1] = rng.choice((0, 1, 255, 254) if info[0] == 0x2B else (0, 1, 0x20))
    return bytes((size,)) + bytes(data)


def encoded_byte_length(rng: Random, info: bytes) -> bytes:
    size = rng.choice(DECIMAL_LENGTHS.get(info[0], info[1:2]))
    if rng.random() < 0.002:
        size += 1
    return bytes((size,)) + random_octets(rng, size)


def encoded_value(rng: Random, info: bytes) -> bytes:
    """Returns an encoded value, usually valid, for a type's TYPE_INFO."""
    code = info[0]
    if code in FIXED_SIZES:
        return random_octets(rng, FIXED_SIZES[code])
    if code == 0xF1 or info[1:3] == b"\xff\xff" and code > 0xA0:
        return encoded_plp(rng, info)
    if code > 0xA0:
        return encoded_short_length(rng, info)
    if code in ENCODERS:
        return ENCODERS[code](rng, info)
    if rng.random() < 0.1:
        return b"\0"
    encode = encoded_time if code in TIME_TYPES else encoded_byte_length
    return encode(rng, info)


ENCODERS = {0x22: encoded_text, 0x23: encoded_text, 0x63: encoded_text, 0x62: encoded_variant}


def damaged(rng: Random, data: bytes) -> bytes:
    """Returns the data with a few octets changed, in some cases also truncated."""
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        if changed:
            changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed[: rng.randrange(len(changed) + 1)] if rng.random() < 0.3 else changed)
