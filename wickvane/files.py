"""Reads small files that operators write, up to a maximum size."""

import os

from wickvane.errors import WickvaneError


class FileError(WickvaneError):
    """A file that cannot be used; the message has its path and the reason."""


def read_bounded(path: str | os.PathLike, max_size: int) -> bytes:
    """Reads a whole file.

    Raises:
        FileError: it cannot be read, or has more than `max_size` bytes.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(max_size + 1)
    except OSError as error:
        raise FileError(f"{path} cannot be read: {error.strerror}") from None
    if len(data) > max_size:
        raise FileError(f"{path} is longer than {max_size} bytes")
    return data
