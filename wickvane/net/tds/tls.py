"""TLS for a client connection, as a conversion between encrypted and plain octets. No I/O."""

import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from wickvane.errors import TlsError

READ_SIZE = 65_536  # octets


class HandshakeStep(NamedTuple):
    """The result of a handshake step; done: the handshake is complete; data: octets to send to the client."""

    done: bool
    data: bytes


@contextmanager
def _tls_errors() -> Iterator[None]:
    """Raises TlsError in place of the errors of the TLS library."""
    try:
        yield
    except ssl.SSLError as error:
        raise TlsError(error.reason or type(error).__name__) from None


class TlsLayer:
    """The server side of one TLS connection; all methods may raise TlsError."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        with _tls_errors():
            self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)

    def advance_handshake(self) -> HandshakeStep:
        """Advances the handshake as far as the received octets allow."""
        with _tls_errors():
            try:
                self._tls.do_handshake()
                done = True
            except ssl.SSLWantReadError:
                done = False
        return HandshakeStep(done, self._outgoing.read())

    def receive(self, data: bytes) -> None:
        """Adds received octets of the handshake."""
        with _tls_errors():
            self._incoming.write(data)

    def decrypt(self, data: bytes) -> bytes:
        """Adds received octets; returns the plain octets that can be decrypted."""
        parts = []
        with _tls_errors():
            self._incoming.write(data)
            try:
                while part := self._tls.read(READ_SIZE):
                    parts.append(part)
            except ssl.SSLWantReadError:
                pass
        return b"".join(parts)

    def encrypt(self, data: bytes) -> bytes:
        """Encrypts data; returns the octets to send to the client."""
        with _tls_errors():
            self._tls.write(data)
            return self._outgoing.read()
