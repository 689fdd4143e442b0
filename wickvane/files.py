"""Reads small files that operators write, up to a maximum size."""

import os

from wickvane.errors import WickvaneError


class FileError(WickvaneError):
    """A file that cannot be used; the message names its path and the reason."""


def read_bounded(path: str | os.PathLike, most: int) -> bytes:
    """A file's bytes.

    Raises:
        FileError: it cannot be read, or has more than `most` bytes.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(most + 1)
    except OSError as error:
        raise FileError(f"{path} cannot be read: {error.strerror}") from None
    if len(data) > most:
        raise FileError(f"{path} is longer than {most} bytes")
    return data
