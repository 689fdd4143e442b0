"""Errors of the xDS service."""

from wickvane.errors import WickvaneError


class StreamRejectedError(WickvaneError):
    """A stream is rejected, for example because its node is unknown or there are too many streams."""


class StreamProtocolError(WickvaneError):
    """A stream violates the xDS protocol or exceeds a limit, and is ended."""


class SnapshotError(WickvaneError):
    """A stored endpoint snapshot cannot be read."""
