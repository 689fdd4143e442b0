"""Reads and writes PRELOGIN (MS-TDS 2.2.6.5). No I/O."""

import struct

from wickvane.errors import ProtocolError

# Option tokens
VERSION = 0
ENCRYPTION = 1
INSTANCE = 2
THREAD_ID = 3
MARS = 4
TERMINATOR = 0xFF

# Values of ENCRYPTION
ENCRYPT_OFF = 0  # only the login is encrypted
ENCRYPT_ON = 1
ENCRYPT_NOT_SUPPORTED = 2
ENCRYPT_REQUIRED = 3

OPTION_SIZE = 5  # token, offset and length
MAX_OPTIONS = 33


def read_prelogin(body: bytes) -> dict[int, bytes]:
    """Returns the options' octets by option token; raises ProtocolError if the PRELOGIN is invalid."""
    options: dict[int, bytes] = {}
    at = 0
    while True:
        if at >= len(body):
            raise ProtocolError("a PRELOGIN has no end")
        token = body[at]
        if token == TERMINATOR:
            return options
        if at + OPTION_SIZE > len(body) or len(options) >= MAX_OPTIONS:
            raise ProtocolError("a PRELOGIN ends inside an option")
        offset, length = struct.unpack_from(">HH", body, at + 1)
        if offset + length > len(body):
            raise ProtocolError("a PRELOGIN's option lies outside of it")
        options[token] = body[offset : offset + length]
        at += OPTION_SIZE


def encode_prelogin(options: dict[int, bytes]) -> bytes:
    """Encodes a PRELOGIN; options: octets by option token, in the order to write."""
    data_offset = OPTION_SIZE * len(options) + 1
    head = b""
    data = b""
    for token, value in options.items():
        head += struct.pack(">BHH", token, data_offset + len(data), len(value))
        data += value
    return head + bytes((TERMINATOR,)) + data


def read_encryption(options: dict[int, bytes]) -> int:
    """Returns the value of ENCRYPTION, by default ENCRYPT_NOT_SUPPORTED; raises ProtocolError if invalid."""
    value = options.get(ENCRYPTION, bytes((ENCRYPT_NOT_SUPPORTED,)))
    if len(value) != 1 or value[0] > ENCRYPT_REQUIRED:
        raise ProtocolError("a PRELOGIN's encryption cannot be")
    return value[0]
