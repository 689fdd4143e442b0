"""A digest of commands, to compare streams of commands for exact equality."""

from hashlib import blake2b
from typing import Any


def render(value: Any) -> str:
    """Returns a command's argument as text that does not depend on the names of enumerations and types."""
    if isinstance(value, tuple | list):
        return "(" + ",".join(map(render, value)) + ")"
    if isinstance(value, int) and not isinstance(value, bool):
        return str(int(value))
    return repr(str(value)) if isinstance(value, str) else repr(value)


class CommandDigest:
    """Hashes commands with their arguments and counts them by name."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=16)
        self.counts: dict[str, int] = {}

    def add(self, now: int, command: str, *arguments: Any) -> None:
        """Adds one command to the digest."""
        self._hash.update(f"{now} {command} {render(arguments)}\n".encode())
        self.counts[command] = self.counts.get(command, 0) + 1

    def value(self) -> str:
        """Returns the digest of the commands added so far."""
        return self._hash.hexdigest()
