"""A voter's disk: one file that holds its mark, term, vote and log, whole or not at all.

Written beside and renamed, with both on disk before save() returns; a checksum over all. What cannot be read
whole is no vote that can be trusted: the voter then gets a new mark, and so never votes twice in a term.
"""

import os
from hashlib import blake2b

import msgspec

from wickvane.config_log.agreement import Entry

MAGIC, SUM = b"wickvane-vote 1\n", 16
FILE, MOST = "vote", 64 << 20


class Record(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """What a voter has on disk."""

    mark: str
    term: int
    voted: str | None
    log: list[tuple[int, int, object]]


DECODER = msgspec.msgpack.Decoder(Record)


class Store:
    """folder: of this process alone. fresh: whether its mark is new, so that it is no voter until it is let
    in, unless the log begins with it. lost: why an older file could not be used, or None."""

    def __init__(self, folder, name):
        self.path, self.lost = os.path.join(folder, FILE), None
        os.makedirs(folder, 0o700, exist_ok=True)
        found = self.read()
        self.fresh = found is None
        if self.fresh:
            self.mark, self.record = f"{name}/{os.urandom(8).hex()}", (0, None, ())
            self.save(self.record)
        else:
            self.mark, self.record = (
                found.mark,
                (
                    found.term,
                    found.voted,
                    tuple(Entry(term, kind, frozen(what)) for term, kind, what in found.log),
                ),
            )

    def read(self):
        try:
            with open(self.path, "rb") as file:
                data = file.read(MOST)
        except FileNotFoundError:
            return None
        body = data[len(MAGIC) + SUM :]
        if data[: len(MAGIC)] != MAGIC:
            self.lost = "another version, or cut short"
        elif blake2b(body, digest_size=SUM).digest() != data[len(MAGIC) : len(MAGIC) + SUM]:
            self.lost = "the checksum differs"
        else:
            try:
                return DECODER.decode(body)
            except msgspec.MsgspecError as error:
                self.lost = str(error)
        return None

    def save(self, record):
        """record: (term, voted, log); OSError where the disk refuses, and what was there stays."""
        body = msgspec.msgpack.encode((self.mark, *record))
        fresh = f"{self.path}.new"
        with open(fresh, "wb") as file:
            file.write(MAGIC + blake2b(body, digest_size=SUM).digest() + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, self.path)
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.record = record


def frozen(what):
    """Lists of a decoded entry as the tuples that they were."""
    return tuple(map(frozen, what)) if isinstance(what, list) else what
