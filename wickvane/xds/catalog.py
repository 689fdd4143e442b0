"""All resources as they are now, by type and name, with their versions; free of I/O."""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from immutables import Map

from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resource_version import DIGEST_BYTES, ResourceVersion, digest_of, parse_version

STREAM_INDEX_BITS = 29  # of an index: the coordinator's number, below that of watched files
MAX_CHANGE_LOG = 4096  # changes a type; a stream that is further behind compares all resources


class CachedResource(NamedTuple):
    """A resource as it is now.

    changed_at: generation of its last change; drained_at: of the last one that took an endpoint from it.
    """

    version: str
    body: bytes
    changed_at: int
    drained_at: int


class _Change(NamedTuple):
    generation: int
    name: str


class Catalog:
    """The resources of all types.

    generation: grows by one with each set of changes; index: of the endpoint event that all of it follows
    from; has_two_sources: the index combines those of a coordinator and of watched files.
    """

    def __init__(self, epoch: str = "0") -> None:
        self.epoch = epoch
        self.index = 0
        self.generation = 0
        self.has_two_sources = False
        self.resources: list[Map] = [Map() for _ in ResourceType]
        self.name_changes = [0 for _ in ResourceType]  # how often names came or went
        self._change_logs: list[deque[_Change]] = [deque() for _ in ResourceType]
        self._forgotten_generations = [0 for _ in ResourceType]  # up to this, changes are not in the log
        self._type_versions: dict[tuple[ResourceType, frozenset[str]], str] = {}

    def _source_indexes(self, index: int) -> tuple[int, ...]:
        """The index of each source. Where files override what a coordinator lists, one instance may be ahead
        by the file and another by the stream, and neither list is the newer one."""
        return divmod(index, 1 << STREAM_INDEX_BITS) if self.has_two_sources else (index,)

    def is_behind(self, index: int) -> bool:
        """Whether a list of that index knows of an event that this one does not."""
        theirs = self._source_indexes(index)
        ours = self._source_indexes(self.index)
        return any(their_index > our_index for their_index, our_index in zip(theirs, ours))

    def merged_index(self, one: int, other: int) -> int:
        """The least index that is behind neither of two."""
        if not self.has_two_sources:
            return max(one, other)
        one_file, one_stream = self._source_indexes(one)
        other_file, other_stream = self._source_indexes(other)
        return max(one_file, other_file) << STREAM_INDEX_BITS | max(one_stream, other_stream)

    def update(
        self,
        index: int,
        bodies: Mapping[ResourceType, Mapping[str, bytes]],
        removed: Iterable[tuple[ResourceType, str]] = (),
        drained: Collection[str] = frozenset(),
    ) -> bool:
        """Takes in encoded resources; whether anything differs from before.

        drained: names of EDS resources that lost an endpoint to a drain.
        """
        self.index = max(self.index, index)
        self._type_versions.clear()
        generation = self.generation + 1
        has_changed = False
        for resource_type, found in bodies.items():
            resource_index = index if resource_type == ResourceType.EDS else 0  # others follow from settings
            if self._update_type(resource_type, resource_index, generation, found, drained):
                has_changed = True
        for resource_type, name in removed:
            if name in self.resources[resource_type]:
                self.resources[resource_type] = self.resources[resource_type].delete(name)
                self.name_changes[resource_type] += 1
                self._log_change(resource_type, generation, name)
                has_changed = True
        self.generation += has_changed
        return has_changed

    def _update_type(
        self,
        resource_type: ResourceType,
        index: int,
        generation: int,
        bodies: Mapping[str, bytes],
        drained: Collection[str],
    ) -> bool:
        has_changed = False
        table = self.resources[resource_type].mutate()
        for name in sorted(bodies):
            body = bodies[name]
            before = table.get(name)
            if before is not None and before.body == body:
                continue
            self.name_changes[resource_type] += before is None
            version = str(ResourceVersion(self.epoch, index, digest_of(body)))
            if name in drained:
                drained_at = generation
            else:
                drained_at = before.drained_at if before else 0
            table[name] = CachedResource(version, body, generation, drained_at)
            self._log_change(resource_type, generation, name)
            has_changed = True
        self.resources[resource_type] = table.finish()
        return has_changed

    def _log_change(self, resource_type: ResourceType, generation: int, name: str) -> None:
        log = self._change_logs[resource_type]
        log.append(_Change(generation, name))
        while len(log) > MAX_CHANGE_LOG:
            self._forgotten_generations[resource_type] = log.popleft().generation

    def changed_since(self, resource_type: ResourceType, generation: int) -> Collection[str] | None:
        """Names that changed after a generation, None where that is too long ago to tell."""
        if generation >= self.generation:
            return ()
        if generation < self._forgotten_generations[resource_type] or generation == 0:
            return None
        found = set()
        for change in reversed(self._change_logs[resource_type]):
            if change.generation <= generation:
                break
            found.add(change.name)
        return found

    def type_version(self, resource_type: ResourceType, names: frozenset[str]) -> str:
        """The version of a state-of-the-world response with these names: the newest index, and a digest of
        all. Computed once for all streams that subscribe to the same."""
        key = resource_type, names
        found = self._type_versions.get(key)
        if found is None:
            found = self._compute_type_version(resource_type, names)
            self._type_versions[key] = found
        return found

    def _compute_type_version(self, resource_type: ResourceType, names: frozenset[str]) -> str:
        resources = self.resources[resource_type]
        newest_index = 0
        content = blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(names):
            resource = resources.get(name)
            if resource is not None:
                version = parse_version(resource.version)
                newest_index = max(newest_index, version.index)
                content.update(f"{name}={version.digest}\n".encode())
        # An endpoint list is as new as its newest event, whichever of the resources that changed.
        index = self.index if resource_type == ResourceType.EDS else newest_index
        return str(ResourceVersion(self.epoch, index, content.hexdigest()))
