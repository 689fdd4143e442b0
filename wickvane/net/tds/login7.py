"""Reads and writes LOGIN7 (MS-TDS 2.2.6.4). No I/O."""

import struct
from dataclasses import dataclass, field

from wickvane.errors import ProtocolError
from wickvane.net.tds.packets import DEFAULT_PACKET_SIZE, MAX_PACKET_SIZE, MIN_PACKET_SIZE
from wickvane.net.tds.token_encoding import TDS_74

MIN_TDS_VERSION = 0x72090002  # 7.2
LOGIN_HEAD_SIZE = 94  # octets before the variable data
MIN_DATA_OFFSET = 86  # offset of the variable data of older clients
FIELDS_OFFSET = 36  # offset of the first pair of offset and length
FLAGS2_OFFSET = 25
FLAGS3_OFFSET = 27
INTEGRATED_SECURITY_FLAG = 0x80  # in OptionFlags2
EXTENSION_FLAG = 0x10  # in OptionFlags3
FIELDS = ("host", "user", "password", "application", "server", "extension", "library", "language", "database")
MAX_FIELD_CHARACTERS = 128
MAX_FEATURES = 64
FEATURE_HEAD_SIZE = 5  # id and length of the data
FEATURE_TERMINATOR = 0xFF
PASSWORD_MASK = 0xA5
CLIENT_PROGRAM_VERSION = 7
CLIENT_FLAGS = bytes((0xE0, 0x03, 0, 0))
CLIENT_LCID = 0x409
CLIENT_LIBRARY = "wickvane"


@dataclass(slots=True)
class Login7:
    """The content of a LOGIN7.

    packet_size: clamped to the protocol's bounds; integrated: integrated (SSPI) authentication is requested;
    extension: offset and length of the feature extensions; features: their ids. FIELDS has the names of the
    fields that read_login7() sets."""

    version: int
    packet_size: int
    integrated: bool
    host: str = ""
    user: str = ""
    password: str = ""
    application: str = ""
    server: str = ""
    extension: tuple[int, int] = (0, 0)
    library: str = ""
    language: str = ""
    database: str = ""
    features: list[int] = field(default_factory=list)


def obfuscate_password(password: str) -> bytes:
    """Encodes a password: swaps the 4-bit halves of each octet, then XORs the octet with 0xA5."""
    return bytes(((b << 4 | b >> 4) & 255) ^ PASSWORD_MASK for b in password.encode("utf-16-le"))


def deobfuscate_password(data: bytes) -> str:
    """Reverses obfuscate_password()."""
    plain = bytes(((b ^ PASSWORD_MASK) << 4 | (b ^ PASSWORD_MASK) >> 4) & 255 for b in data)
    return plain.decode("utf-16-le", "replace")


def read_login7(body: bytes) -> Login7:
    """Reads a LOGIN7; raises ProtocolError if it is invalid."""
    if len(body) < LOGIN_HEAD_SIZE:
        raise ProtocolError("a LOGIN7 is cut")
    length, version, packet_size = struct.unpack_from("<III", body)
    if length != len(body):
        raise ProtocolError("a LOGIN7's length is wrong")
    login = Login7(
        version=version,
        packet_size=max(MIN_PACKET_SIZE, min(packet_size or DEFAULT_PACKET_SIZE, MAX_PACKET_SIZE)),
        integrated=bool(body[FLAGS2_OFFSET] & INTEGRATED_SECURITY_FLAG),
    )
    for number, name in enumerate(FIELDS):
        offset, count = struct.unpack_from("<HH", body, FIELDS_OFFSET + 4 * number)
        if name == "extension":
            login.extension = (offset, count)
        else:
            setattr(login, name, _read_text(body, name, offset, count))
    if body[FLAGS3_OFFSET] & EXTENSION_FLAG:
        login.features = _read_feature_ids(body, *login.extension)
    return login


def _read_text(body: bytes, name: str, offset: int, characters: int) -> str:
    if characters and not MIN_DATA_OFFSET <= offset <= len(body) - 2 * characters:
        raise ProtocolError(f"a LOGIN7's {name} lies outside of it")
    if characters > MAX_FIELD_CHARACTERS:
        raise ProtocolError(f"a LOGIN7's {name} is too long")
    data = body[offset : offset + 2 * characters]
    return deobfuscate_password(data) if name == "password" else data.decode("utf-16-le", "replace")


def _read_feature_ids(body: bytes, offset: int, count: int) -> list[int]:
    if count < 4 or offset + 4 > len(body):
        raise ProtocolError("a LOGIN7's extension lies outside of it")
    at = int.from_bytes(body[offset : offset + 4], "little")
    features: list[int] = []
    while at < len(body) and body[at] != FEATURE_TERMINATOR:
        if at + FEATURE_HEAD_SIZE > len(body) or len(features) >= MAX_FEATURES:
            raise ProtocolError("a LOGIN7's features cannot be read")
        features.append(body[at])
        at += FEATURE_HEAD_SIZE + int.from_bytes(body[at + 1 : at + FEATURE_HEAD_SIZE], "little")
    if at >= len(body):
        raise ProtocolError("a LOGIN7's features have no end")
    return features


def encode_login7(
    user: str,
    password: str,
    application: str = "",
    database: str = "",
    packet_size: int = DEFAULT_PACKET_SIZE,
    host: str = "",
    server: str = "",
) -> bytes:
    """Encodes a LOGIN7 with user and password, without feature extensions."""
    values = (
        host.encode("utf-16-le"),
        user.encode("utf-16-le"),
        obfuscate_password(password),
        application.encode("utf-16-le"),
        server.encode("utf-16-le"),
        b"",  # extension
        CLIENT_LIBRARY.encode("utf-16-le"),
        b"",  # language
        database.encode("utf-16-le"),
    )
    fields = b""
    data = b""
    for value in values:
        fields += struct.pack("<HH", LOGIN_HEAD_SIZE + len(data), len(value) // 2)
        data += value
    length = LOGIN_HEAD_SIZE + len(data)
    client_id = bytes(6)
    # The fields for SSPI, attached database file and new password are empty.
    fields += client_id + struct.pack("<HHHHHHI", length, 0, length, 0, length, 0, 0)
    head = struct.pack("<IIIIII", length, TDS_74, packet_size, CLIENT_PROGRAM_VERSION, 0, 0)
    head += CLIENT_FLAGS + struct.pack("<iI", 0, CLIENT_LCID)
    return head + fields + data
