"""All resources as they are now, by type and name, with their versions; free of I/O.

A version follows from the content: instances that know the same list tell the same, and so does one that
was restarted. Ahead of the digest stands the index of the newest event of the list that the resource follows
from, so that older content can be told from newer where a proxy comes from another instance.

    EPOCH.INDEX.DIGEST      lists that are numbered anew get another epoch; across epochs nothing is older
"""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

from immutables import Map

CDS, EDS, LDS, RDS = range(4)
TYPES = (
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
)
NUMBER = {url: n for n, url in enumerate(TYPES)}
WORDS = ("CDS", "EDS", "LDS", "RDS")
SOURCE_BITS = 29  # of an index: the coordinator's number, below that of watched files
LOG_MOST = 4096  # changes looked up one by one; whoever is further behind looks at all


class Entry(NamedTuple):
    """at: generation of its last change; drained: generation of the last one that took an engine from it."""

    version: str
    body: bytes
    at: int
    drained: int


def digest(body):
    return blake2b(body, digest_size=8).hexdigest()


def version(epoch, index, mark):
    return f"{epoch}.{index}.{mark}"


def read_version(text):
    """(epoch, index, digest) of a version, None of anything else."""
    parts = text.split(".")
    if len(parts) != 3 or not parts[1].isascii() or not parts[1].isdigit() or len(parts[1]) > 19:
        return None
    return parts[0], int(parts[1]), parts[2]


class Catalog:
    """generation: grows by one with each set of changes; index: of the list that all of it follows from;
    parted: it tells of two sources at once, see parts_of()."""

    def __init__(self, epoch="0"):
        self.epoch, self.index, self.generation, self.parted = epoch, 0, 0, False
        self.entries = [Map() for _ in TYPES]
        self.log = [deque() for _ in TYPES]  # (generation, name), of what lies in it
        self.whole_since = [0] * len(TYPES)  # generations up to this are no longer in the log
        self.named = [0] * len(TYPES)  # how often names came or went
        self.wholes = {}

    def parts_of(self, index):
        """What an index says of each source. Where files override what a coordinator lists, one instance may
        be ahead by the file and another by the stream, and neither list is the newer one."""
        return divmod(index, 1 << SOURCE_BITS) if self.parted else (index,)

    def is_behind(self, index):
        """Whether that index knows of something that this one does not."""
        return any(theirs > ours for theirs, ours in zip(self.parts_of(index), self.parts_of(self.index)))

    def joined(self, one, other):
        """The least index that is behind neither of two."""
        if not self.parted:
            return max(one, other)
        (a, b), (c, d) = self.parts_of(one), self.parts_of(other)
        return max(a, c) << SOURCE_BITS | max(b, d)

    def put(self, index, bodies, removed=(), drained=frozenset()):
        """bodies: {type: {name: body}}; removed: (type, name) each; drained: names of EDS that lost an
        engine. Whether anything is other than it was."""
        self.index = max(self.index, index)
        self.wholes.clear()
        generation, any_change = self.generation + 1, False
        for kind, found in bodies.items():
            with self.entries[kind].mutate() as table:
                for name in sorted(found):
                    body = found[name]
                    before = table.get(name)
                    if before is not None and before.body == body:
                        continue
                    self.named[kind] += before is None
                    at = index if kind == EDS else 0  # others follow from the settings alone
                    drains = generation if name in drained else before.drained if before else 0
                    table[name] = Entry(version(self.epoch, at, digest(body)), body, generation, drains)
                    self.noted(kind, generation, name)
                    any_change = True
                self.entries[kind] = table.finish()
        for kind, name in removed:
            if name in self.entries[kind]:
                self.entries[kind] = self.entries[kind].delete(name)
                self.named[kind] += 1
                self.noted(kind, generation, name)
                any_change = True
        self.generation += any_change
        return any_change

    def noted(self, kind, generation, name):
        log = self.log[kind]
        log.append((generation, name))
        while len(log) > LOG_MOST:
            self.whole_since[kind] = log.popleft()[0]

    def changed_since(self, kind, generation):
        """Names that changed after a generation, None where that is too long ago to tell."""
        if generation >= self.generation:
            return ()
        if generation < self.whole_since[kind] or generation == 0:
            return None
        found = set()
        for at, name in reversed(self.log[kind]):
            if at <= generation:
                break
            found.add(name)
        return found

    def whole_version(self, kind, names):
        """Of a whole type in the state of the world, for these names (a frozenset): the list's index and a
        digest of all. Worked out once for all streams that ask for the same."""
        found = self.wholes.get((kind, names))
        if found is None:
            found = self.wholes[kind, names] = self.made_whole(kind, names)
        return found

    def made_whole(self, kind, names):
        entries, newest = self.entries[kind], 0
        made = blake2b(digest_size=8)
        for name in sorted(names):
            entry = entries.get(name)
            if entry is not None:
                _, at, mark = read_version(entry.version)
                newest = max(newest, at)
                made.update(f"{name}={mark}\n".encode())
        # The list as a whole is as new as its newest event, whichever of the resources that touched.
        return version(self.epoch, self.index if kind == EDS else newest, made.hexdigest())
