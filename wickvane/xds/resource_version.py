"""Resource versions: a text derived from the content, so that all instances produce the same version.

    EPOCH.INDEX.DIGEST[.TOMBSTONES]

INDEX is that of the newest endpoint event from which the resource is derived. It is for operators: each
process numbers its endpoint list anew, so that indices of two versions are not ordered. TOMBSTONES (see
wickvane.xds.tombstones) are in versions of endpoints. They tell an instance to which a proxy reconnects what
the proxy knows to have drained. Equal content has equal EPOCH and DIGEST, whatever the rest.
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
    tombstones: str = ""

    def __str__(self) -> str:
        return with_tombstones(f"{self.epoch}.{self.index}.{self.digest}", self.tombstones)


def with_tombstones(version: str, tombstones: str) -> str:
    """The text of a version that has no tombstones, with the text of tombstones added."""
    return f"{version}.{tombstones}" if tombstones else version


def parse_version(text: str) -> ResourceVersion | None:
    """The parts of a version, None if the text is not a version of this service."""
    parts = text.split(".")
    if len(parts) not in (3, 4):
        return None
    epoch, index, digest = parts[:3]
    if not index.isascii() or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return ResourceVersion(epoch, int(index), digest, "".join(parts[3:]))


def content_of(text: str) -> tuple[str, str] | None:
    """Epoch and digest of a version, which are equal for equal content whatever the rest."""
    version = parse_version(text)
    return version and (version.epoch, version.digest)


def digest_of(body: bytes) -> str:
    """The digest of a resource's encoded body."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
