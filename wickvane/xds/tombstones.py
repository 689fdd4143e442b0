"""Tombstones: engine processes that have drained or ended, and their text in the versions of resources.

A tombstone stays true: a process that has drained takes no new requests, and the next process of its engine
has a later start. Tombstones can therefore be compared and merged across instances, restarts and numberings
of the endpoint list, unlike the index of an event, which orders the events of one numbering only.

    ENGINE STARTED [: DOCUMENT], separated by "~"

ENGINE is a digest of the engine's name with a fixed length, STARTED and DOCUMENT are hexadecimal numbers. The
module does no I/O. Times are ticks.
"""

from base64 import urlsafe_b64encode
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

MAX_TOMBSTONES = 4096  # read from one version
ENGINE_DIGEST_BYTES = 6
ENGINE_DIGEST_CHARACTERS = 8
MAX_NUMBER_DIGITS = 16
MAX_CACHED_DIGESTS = 16_384
MAX_CACHED_TEXTS = 16
MAX_CACHED_TEXT_CHARACTERS = 1 << 17
SEPARATOR = "~"
DOCUMENT_SEPARATOR = ":"
HEXADECIMAL = 16
HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")


class Tombstone(NamedTuple):
    """The processes of one engine that have drained or ended.

    engine: digest of its name; started_at: start of the latest of these processes, 0 if unknown;
    document_index: index of the documents that drained it, 0 if the coordinator did. Newer documents may make
    the same process ready again.
    """

    engine: str
    started_at: int
    document_index: int = 0

    def __str__(self) -> str:
        document = f"{DOCUMENT_SEPARATOR}{self.document_index:x}" if self.document_index else ""
        return f"{self.engine}{self.started_at:x}{document}"


@lru_cache(MAX_CACHED_DIGESTS)
def engine_digest(name: str) -> str:
    """The digest of an engine's name."""
    digest = blake2b(name.encode(), digest_size=ENGINE_DIGEST_BYTES).digest()
    return urlsafe_b64encode(digest).decode()


def encode_tombstones(tombstones: Iterable[Tombstone]) -> str:
    """The text of tombstones, which is equal for equal sets."""
    return SEPARATOR.join(sorted(map(str, tombstones)))


def parse_tombstones(text: str) -> frozenset[Tombstone]:
    """The tombstones in a text, at most MAX_TOMBSTONES; parts that are no tombstones are ignored.

    Proxies that reconnect at once hold the same text, and then share the result.
    """
    if len(text) > MAX_CACHED_TEXT_CHARACTERS:
        return _parse_tombstones(text)
    return _parse_cached(text)


def _parse_tombstones(text: str) -> frozenset[Tombstone]:
    parts = text.split(SEPARATOR, MAX_TOMBSTONES)[:MAX_TOMBSTONES]
    tombstones = map(_parse_tombstone, parts)
    return frozenset(tombstone for tombstone in tombstones if tombstone is not None)


_parse_cached = lru_cache(MAX_CACHED_TEXTS)(_parse_tombstones)


def _parse_tombstone(text: str) -> Tombstone | None:
    engine = text[:ENGINE_DIGEST_CHARACTERS]
    started_at, separator, document_index = text[ENGINE_DIGEST_CHARACTERS:].partition(DOCUMENT_SEPARATOR)
    numbers = [started_at, document_index] if separator else [started_at]
    if len(engine) != ENGINE_DIGEST_CHARACTERS or not all(map(_is_number, numbers)):
        return None
    return Tombstone(engine, *(int(number, HEXADECIMAL) for number in numbers))


def _is_number(text: str) -> bool:
    return 0 < len(text) <= MAX_NUMBER_DIGITS and HEXADECIMAL_DIGITS.issuperset(text)
