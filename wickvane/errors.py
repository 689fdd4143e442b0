"""The base class of all errors, and the errors that several packages raise and catch."""


class WickvaneError(Exception):
    """The base of all errors that this program raises, each with a sentence that says what was wrong."""


class ConfigError(WickvaneError):
    """The configuration cannot be used; exit_code: the exit status of the program."""

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


class ProtocolError(WickvaneError):
    """Bytes that are not of the protocol, or exceed a limit; codecs raise nothing else for any bytes."""


class RequestRejected(WickvaneError):
    """A query that is not admitted; sqlstate and text are the error that its client gets."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate
        self.text = text
