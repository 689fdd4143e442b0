"""TLS of a client connection as a transformation of octets. No I/O."""

import ssl
from typing import NamedTuple

READ_SIZE = 65_536  # octets


class HandshakeStep(NamedTuple):
    """done: the handshake is complete; data: octets for the client."""

    done: bool
    data: bytes


class TlsLayer:
    """The server's side of one TLS connection; all methods raise ssl.SSLError."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)

    def advance_handshake(self) -> HandshakeStep:
        """Goes on with the handshake as far as the octets received allow."""
        try:
            self._tls.do_handshake()
            done = True
        except ssl.SSLWantReadError:
            done = False
        return HandshakeStep(done, self._outgoing.read())

    def receive(self, data: bytes) -> None:
        """Adds received octets of the handshake."""
        self._incoming.write(data)

    def decrypt(self, data: bytes) -> bytes:
        """The plain octets that are complete with this data."""
        self._incoming.write(data)
        parts = []
        try:
            while part := self._tls.read(READ_SIZE):
                parts.append(part)
        except ssl.SSLWantReadError:
            pass
        return b"".join(parts)

    def encrypt(self, data: bytes) -> bytes:
        """Octets for the client."""
        self._tls.write(data)
        return self._outgoing.read()
