"""The login at a TDS engine: encodes PRELOGIN and LOGIN7 and reads the engine's answers. No I/O."""

from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds import login7, packets, prelogin, tokens

APPLICATION = "wickvane"
MAX_ANSWER_TOKENS = 64


class LoginResult(NamedTuple):
    """An engine's answer to a LOGIN7.

    rejection: the reason for which the login was rejected, None if it was accepted; packet_size: the agreed
    packet size in octets."""

    rejection: str | None
    packet_size: int


def prelogin_request() -> bytes:
    """Returns the packets of a PRELOGIN for a connection without encryption."""
    options = {
        prelogin.VERSION: bytes(6),
        prelogin.ENCRYPTION: bytes((prelogin.ENCRYPT_NOT_SUPPORTED,)),
        prelogin.INSTANCE: b"\0",
        prelogin.THREAD_ID: bytes(4),
        prelogin.MARS: b"\0",
    }
    return packets.encode_packets(packets.PRELOGIN, prelogin.encode_prelogin(options))


def login_request(user: str, password: str, database: str) -> bytes:
    """Returns the packets of a LOGIN7."""
    body = login7.encode_login7(user, password, APPLICATION, database)
    return packets.encode_packets(packets.LOGIN7, body)


def requires_encryption(answer: bytes) -> bool:
    """Returns whether the engine's PRELOGIN requires encryption; raises ProtocolError."""
    encryption = prelogin.read_encryption(prelogin.read_prelogin(answer))
    return encryption in (prelogin.ENCRYPT_ON, prelogin.ENCRYPT_REQUIRED)


def read_login_answer(body: bytes) -> LoginResult:
    """Reads the tokens that answer a LOGIN7; raises ProtocolError."""
    rejection: str | None = "the answer has no LOGINACK"
    packet_size = packets.DEFAULT_PACKET_SIZE
    for count, token in enumerate(tokens.TokenStreamReader().feed(body)):
        if token.type == tokens.LOGINACK:
            rejection = None
        elif token.type == tokens.ERROR:
            return LoginResult(f"{token.content.number}: {token.content.text}", packet_size)
        elif token.type == tokens.ENVCHANGE:
            if token.content.type == tokens.ENV_ROUTING:
                return LoginResult("the engine routes the login to another server", packet_size)
            if token.content.type == tokens.ENV_PACKET_SIZE:
                packet_size = _agreed_packet_size(token.content.data, packet_size)
        if count > MAX_ANSWER_TOKENS:
            raise ProtocolError("the answer to a login has too many tokens")
    return LoginResult(rejection, packet_size)


def _agreed_packet_size(data: bytes, current: int) -> int:
    """Returns the new value of an ENVCHANGE of the packet size, or `current` if it is invalid."""
    if not data:
        return current
    text = data[1 : 1 + 2 * data[0]].decode("utf-16-le", "replace")
    if text.isdigit() and packets.MIN_PACKET_SIZE <= int(text) <= packets.MAX_PACKET_SIZE:
        return int(text)
    return current
