"""PRELOGIN and LOGIN7 (MS-TDS 2.2.6.5 and 2.2.6.4), both ways. No I/O."""

import struct

from wickvane.errors import ProtocolError
from wickvane.net.tds.packets import SIZE, SIZE_LEAST, SIZE_MOST

VERSION, ENCRYPTION, INSTANCE, THREAD, MARS, TRACE, FEDAUTH, NONCE, END = 0, 1, 2, 3, 4, 5, 6, 7, 255
ENCRYPT_OFF, ENCRYPT_ON, ENCRYPT_NOT_SUPPORTED, ENCRYPT_REQUIRED = range(4)
TDS_74, TDS_LEAST = 0x74000004, 0x72090002
LOGIN_HEAD = 94
FIELDS_AT = 36  # of LOGIN7: pairs of offset and length from here on
NAMES = ("host", "user", "password", "application", "server", "extension", "library", "language", "database")
EXTENSION_FLAG, INTEGRATED_FLAG = 0x10, 0x80
FEATURES_MOST = 64


def read_prelogin(body):
    """{option: octets}."""
    found, at = {}, 0
    while True:
        if at >= len(body):
            raise ProtocolError("a PRELOGIN has no end")
        option = body[at]
        if option == END:
            return found
        if at + 5 > len(body) or len(found) > 32:
            raise ProtocolError("a PRELOGIN ends inside an option")
        offset, length = struct.unpack_from(">HH", body, at + 1)
        if offset + length > len(body):
            raise ProtocolError("a PRELOGIN's option lies outside of it")
        found[option] = body[offset : offset + length]
        at += 5


def prelogin(options):
    """The message of {option: octets}, in that order."""
    offset, head, data = 5 * len(options) + 1, b"", b""
    for option, value in options.items():
        head += struct.pack(">BHH", option, offset + len(data), len(value))
        data += value
    return head + bytes((END,)) + data


def encryption(found):
    value = found.get(ENCRYPTION, b"\2")
    if len(value) != 1 or value[0] > 3:
        raise ProtocolError("a PRELOGIN's encryption cannot be")
    return value[0]


def scrambled(password):
    """A password as LOGIN7 has it: halves of each octet changed about, then 0xA5 over it."""
    return bytes(((b << 4 | b >> 4) & 255) ^ 0xA5 for b in password.encode("utf-16-le"))


def unscrambled(data):
    plain = bytes(((b ^ 0xA5) << 4 | (b ^ 0xA5) >> 4) & 255 for b in data)
    return plain.decode("utf-16-le", "replace")


class Login:
    """What a LOGIN7 says. integrated: it asks for a login by the system, which is not had here."""

    __slots__ = (*NAMES, "version", "packet_size", "integrated", "features")


def read_login(body):
    if len(body) < LOGIN_HEAD:
        raise ProtocolError("a LOGIN7 is cut")
    length, version, size = struct.unpack_from("<III", body)
    if length != len(body):
        raise ProtocolError("a LOGIN7's length is wrong")
    login, flags2, flags3 = Login(), body[25], body[27]
    login.version, login.integrated, login.features = version, bool(flags2 & INTEGRATED_FLAG), []
    login.packet_size = max(SIZE_LEAST, min(size or SIZE, SIZE_MOST))
    for n, name in enumerate(NAMES):
        offset, count = struct.unpack_from("<HH", body, FIELDS_AT + 4 * n)
        if name == "extension":
            login.extension = (offset, count)
            continue
        if count and not LOGIN_HEAD - 8 <= offset <= len(body) - 2 * count:
            raise ProtocolError(f"a LOGIN7's {name} lies outside of it")
        if count > 128:
            raise ProtocolError(f"a LOGIN7's {name} is too long")
        data = body[offset : offset + 2 * count]
        value = unscrambled(data) if name == "password" else data.decode("utf-16-le", "replace")
        setattr(login, name, value)
    if flags3 & EXTENSION_FLAG:
        login.features = read_features(body, *login.extension)
    return login


def read_features(body, offset, count):
    """Ids of the feature extensions; what they hold is not looked at."""
    if count < 4 or offset + 4 > len(body):
        raise ProtocolError("a LOGIN7's extension lies outside of it")
    at, found = int.from_bytes(body[offset : offset + 4], "little"), []
    while at < len(body) and body[at] != 0xFF:
        if at + 5 > len(body) or len(found) >= FEATURES_MOST:
            raise ProtocolError("a LOGIN7's features cannot be read")
        found.append(body[at])
        at += 5 + int.from_bytes(body[at + 1 : at + 5], "little")
    if at >= len(body):
        raise ProtocolError("a LOGIN7's features have no end")
    return found


def login(user, password, application="", database="", packet_size=SIZE, host="", server=""):
    """A LOGIN7 without features, by user and password."""
    texts = (host, user, password, application, server, None, "wickvane", "", database)
    fields, data = b"", b""
    for name, text in zip(NAMES, texts):
        value = b"" if text is None else scrambled(text) if name == "password" else text.encode("utf-16-le")
        fields += struct.pack("<HH", LOGIN_HEAD + len(data), len(value) // 2)
        data += value
    fields += bytes(6) + struct.pack("<HHHHHHI", *[LOGIN_HEAD + len(data), 0] * 3, 0)
    flags = bytes((0xE0, 0x03, 0, 0))
    head = struct.pack("<IIIIII", LOGIN_HEAD + len(data), TDS_74, packet_size, 7, 0, 0) + flags
    head += struct.pack("<iI", 0, 0x409)
    return head + fields + data
