"""The errors that several packages raise and catch, on one base class."""


class WickvaneError(Exception):
    """Whatever this program refuses, with a sentence that says why."""


class ConfigError(WickvaneError):
    """The program cannot start as it is configured; exit_code: its exit status."""

    def __init__(self, text, exit_code):
        super().__init__(text)
        self.exit_code = exit_code


class ProtocolError(WickvaneError):
    """Bytes that are not of the protocol, or past a bound; no codec raises anything else for any bytes."""


class RequestRejected(WickvaneError):
    """A query that is not taken, with the SQLSTATE and the words that its client is told."""

    def __init__(self, sqlstate, text):
        super().__init__(text)
        self.sqlstate, self.text = sqlstate, text
