"""Resource versions: text that follows from the content, so that all instances give the same one.

    EPOCH.INDEX.DIGEST

The index of the newest endpoint event that the resource follows from is ahead of the digest, so that older
content can be told from newer where a proxy comes from another instance. Endpoint lists that are numbered
anew get another epoch; versions of different epochs are not ordered.
"""

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 8
MAX_INDEX_DIGITS = 19


class ResourceVersion(NamedTuple):
    """The parts of a version; str() writes it."""

    epoch: str
    index: int
    digest: str

    def __str__(self) -> str:
        return f"{self.epoch}.{self.index}.{self.digest}"


def parse_version(text: str) -> ResourceVersion | None:
    """The parts of a version of this service, None of any other text."""
    parts = text.split(".")
    if len(parts) != 3:
        return None
    epoch, index, digest = parts
    if not index.isascii() or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return ResourceVersion(epoch, int(index), digest)


def content_of(text: str) -> tuple[str, str] | None:
    """Epoch and digest: what two versions of the same content share, whatever their index."""
    version = parse_version(text)
    return version and (version.epoch, version.digest)


def digest_of(body: bytes) -> str:
    """The digest of a resource's encoded body."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
