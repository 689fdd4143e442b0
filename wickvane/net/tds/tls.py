"""TLS for a client connection, as a conversion between encrypted and plain octets. No I/O."""

import ssl
from typing import NamedTuple

READ_SIZE = 65_536  # octets


class HandshakeStep(NamedTuple):
    """The result of a handshake step; done: the handshake is complete; data: octets to send to the client."""

    done: bool
    data: bytes


class TlsLayer:
    """The server side of one TLS connection; all methods may raise ssl.SSLError."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)

    def advance_handshake(self) -> HandshakeStep:
        """Advances the handshake as far as the received octets allow."""
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
        """Adds received octets; returns the plain octets that can be decrypted."""
        self._incoming.write(data)
        parts = []
        try:
            while part := self._tls.read(READ_SIZE):
                parts.append(part)
        except ssl.SSLWantReadError:
            pass
        return b"".join(parts)

    def encrypt(self, data: bytes) -> bytes:
        """Encrypts data; returns the octets to send to the client."""
        self._tls.write(data)
        return self._outgoing.read()
