"""The configuration that all sessions of the TDS listener share: encryption, logins and query rules."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from wickvane.net.tds.authentication import Authenticator
from wickvane.units import TICKS_PER_SECOND

if TYPE_CHECKING:
    import ssl


class ListenerConfig:
    """The values of the extensions document that client sessions need; a reload replaces all of them."""

    def __init__(self, document) -> None:
        self.authenticator = Authenticator(document.users)
        self.update(document, load_tls_context(document))

    def update(self, document, tls_context: ssl.SSLContext | None) -> None:
        """Applies a new document; sessions that are already logged in continue."""
        self.encryption = document.encryption
        self.rules = document.rules
        self.tls_context = tls_context
        self.idle_s = document.idle / TICKS_PER_SECOND
        if document.users is not self.authenticator.users:
            self.authenticator.replace_users(document.users)

    def query_defaults(self, application: str, database: str, user: str) -> dict[str, str] | None:
        """Returns the fields for a login's queries from the first matching rule; None if no rule matches."""
        for rule in self.rules:
            if (
                (rule.application is None or re.fullmatch(rule.application, application, re.I))
                and (rule.database is None or re.fullmatch(rule.database, database, re.I))
                and (rule.user is None or rule.user == user)
            ):
                fields = {"verb": rule.group, "limit": rule.limit}
                return fields | ({"team": rule.tenant} if rule.tenant else {})
        return None


def load_tls_context(document) -> ssl.SSLContext | None:
    """Returns a TLS context with the current content of the files, or None if TLS is off.

    Raises OSError or ValueError if the files cannot be used."""
    if document.encryption == "off":
        return None
    import ssl  # loads OpenSSL, which listeners without TLS do not need

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    # In TDS 7 the TLS handshake must end with a message of the server; TLS 1.3 does not guarantee this.
    context.maximum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(document.certificate, document.key)
    return context
