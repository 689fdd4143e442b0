"""The base class of all errors, and the errors that several packages raise and catch."""


class WickvaneError(Exception):
    """The base of all errors that this program raises; the message says what is wrong."""


class ConfigError(WickvaneError):
    """A configuration that cannot be used; exit_code: the exit status of the program."""

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


class ProtocolError(WickvaneError):
    """Bytes that violate the protocol or exceed a limit; codecs raise no other error, whatever they read."""


class TlsError(WickvaneError):
    """A TLS connection failed; the message is the reason that the TLS library gives."""


class RequestRejected(WickvaneError):
    """A query that is not admitted; sqlstate and text are the error that is sent to its client."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate
        self.text = text
