"""What all sessions of the TDS listener share: its encryption, its logins and the rules for their queries."""

import re
import ssl

from wickvane.net.tds.authentication import Authenticator
from wickvane.units import TICKS_PER_SECOND


class ListenerConfig:
    """The part of the extension document that sessions need; replaced as a whole by a new document."""

    def __init__(self, document) -> None:
        self.authenticator = Authenticator(document.users)
        self.update(document, load_tls_context(document))

    def update(self, document, tls_context: ssl.SSLContext | None) -> None:
        """Takes a new document; sessions that are logged in go on."""
        self.encryption = document.encryption
        self.rules = document.rules
        self.tls_context = tls_context
        self.idle_s = document.idle / TICKS_PER_SECOND
        if document.users is not self.authenticator.users:
            self.authenticator.replace_users(document.users)

    def query_defaults(self, application: str, database: str, user: str) -> dict[str, str] | None:
        """The fields of a login's queries, from the first rule that matches it; None without one."""
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
    """The TLS context from the files as they are now; None without TLS.

    Raises OSError or ValueError where the files cannot be used."""
    if document.encryption == "off":
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    # Within TDS 7 the handshake ends with the server's last message, which TLS 1.3 does not guarantee.
    context.maximum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(document.certificate, document.key)
    return context
