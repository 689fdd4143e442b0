"""Reads protocol data that may not have been received completely yet."""

from wickvane.errors import WickvaneError


class IncompleteDataError(WickvaneError):
    """The data ends before the end of the item; the read can be repeated when more data has arrived."""


class Cursor:
    """Reads little-endian integers, octets and strings in order; sizes are in octets."""

    __slots__ = ("data", "position", "end")

    def __init__(self, data: bytes | bytearray, position: int = 0, end: int | None = None) -> None:
        self.data = data
        self.position = position
        self.end = len(data) if end is None else end

    def take(self, size: int) -> bytes:
        """Returns the next octets; raises IncompleteDataError if fewer remain."""
        position = self.position
        if size > self.end - position:
            raise IncompleteDataError
        self.position = position + size
        return bytes(self.data[position : position + size])

    def skip(self, size: int) -> None:
        """Skips octets; raises IncompleteDataError if fewer remain."""
        if size > self.end - self.position:
            raise IncompleteDataError
        self.position += size

    def byte(self) -> int:
        """Reads a BYTE."""
        position = self.position
        if position >= self.end:
            raise IncompleteDataError
        self.position = position + 1
        return self.data[position]

    def ushort(self) -> int:
        """Reads a USHORT (2 octets)."""
        return int.from_bytes(self.take(2), "little")

    def ulong(self) -> int:
        """Reads a ULONG (4 octets)."""
        return int.from_bytes(self.take(4), "little")

    def long(self) -> int:
        """Reads a LONG (4 octets, signed)."""
        return int.from_bytes(self.take(4), "little", signed=True)

    def ulonglong(self) -> int:
        """Reads a ULONGLONG (8 octets)."""
        return int.from_bytes(self.take(8), "little")

    def ucs2(self, characters: int) -> str:
        """Reads a string of two-octet characters."""
        return self.take(2 * characters).decode("utf-16-le", "replace")

    def b_varchar(self) -> str:
        """Reads a B_VARCHAR: a string preceded by its length in one octet."""
        return self.ucs2(self.byte())

    def us_varchar(self) -> str:
        """Reads a US_VARCHAR: a string preceded by its length in two octets."""
        return self.ucs2(self.ushort())
