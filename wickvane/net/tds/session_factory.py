"""Creates the client sessions of a TDS listener."""

from wickvane.net.statement import Reader
from wickvane.net.tds.listener import ListenerConfig
from wickvane.net.tds.session import Session


class SessionFactory:
    """Creates the client sessions of one listener; provides the answers to connections rejected without one.

    reader: the statement reader for queries of TDS clients."""

    TOO_MANY = Session.TOO_MANY
    too_fast = staticmethod(Session.too_fast)
    is_urgent = staticmethod(Session.is_urgent)

    def __init__(self, listener: ListenerConfig, reader: Reader) -> None:
        self._listener = listener
        self._reader = reader

    def __call__(self, sock, peer, service, full) -> Session:
        """Creates the session of an accepted connection."""
        return Session(sock, peer, service, full, self._listener, self._reader)
