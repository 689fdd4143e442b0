"""Resource versions: a text derived from the content, so that all instances produce the same version.

    EPOCH.INDEX.DIGEST

INDEX is that of the newest endpoint event from which the resource is derived. It precedes the digest, so that
older and newer content can be distinguished when a proxy reconnects from another instance. An endpoint list
that is renumbered needs another epoch; versions of different epochs are not ordered.
"""

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 8
MAX_INDEX_DIGITS = 19


class ResourceVersion(NamedTuple):
    """The parts of a version; str() returns its text."""

    epoch: str
    index: int
    digest: str

    def __str__(self) -> str:
        return f"{self.epoch}.{self.index}.{self.digest}"


def parse_version(text: str) -> ResourceVersion | None:
    """The parts of a version, None if the text is not a version of this service."""
    parts = text.split(".")
    if len(parts) != 3:
        return None
    epoch, index, digest = parts
    if not index.isascii() or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return ResourceVersion(epoch, int(index), digest)


def content_of(text: str) -> tuple[str, str] | None:
    """Epoch and digest of a version, which are equal for equal content whatever the index."""
    version = parse_version(text)
    return version and (version.epoch, version.digest)


def digest_of(body: bytes) -> str:
    """The digest of a resource's encoded body."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
