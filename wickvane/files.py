"""Reading small files that operators write: whole, and never more than a bound."""

from wickvane.errors import WickvaneError


class FileError(WickvaneError):
    """A file that cannot be used, with its path and why."""


def read_bounded(path, most):
    """A file's bytes; FileError where it cannot be read or has more than `most`."""
    try:
        with open(path, "rb") as file:
            data = file.read(most + 1)
    except OSError as error:
        raise FileError(f"{path} cannot be read: {error.strerror}") from None
    if len(data) > most:
        raise FileError(f"{path} is longer than {most} bytes")
    return data
