"""The current resources by type and name, with their versions. The module does no I/O."""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from immutables import Map

from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resource_version import DIGEST_BYTES, ResourceVersion, digest_of, parse_version

MAX_LOGGED_CHANGES = 4096  # for each type; a stream that is further behind compares all resources


class CachedResource(NamedTuple):
    """The current state of a resource.

    changed_at: generation of its last change; drained_at: generation of the last change that removed an
    endpoint from it because of a drain.
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

    generation: grows by one with each set of changes; index: index of the newest endpoint event that the
    resources are derived from.
    """

    def __init__(self, epoch: str = "0") -> None:
        self.epoch = epoch
        self.index = 0
        self.generation = 0
        self.resources: list[Map] = [Map() for _ in ResourceType]
        self.name_changes = [0 for _ in ResourceType]  # how often names were added or removed
        self._change_logs: list[deque[_Change]] = [deque() for _ in ResourceType]
        self._truncated_generations = [0 for _ in ResourceType]  # newest generation dropped from the log
        self._type_versions: dict[tuple[ResourceType, frozenset[str]], str] = {}

    def update(
        self,
        index: int,
        bodies: Mapping[ResourceType, Mapping[str, bytes]],
        removed: Iterable[tuple[ResourceType, str]] = (),
        drained: Collection[str] = frozenset(),
    ) -> bool:
        """Stores encoded resources, deletes removed ones, and returns whether anything has changed.

        drained: names of EDS resources from which a drain removed an endpoint.
        """
        self.index = index
        self._type_versions.clear()
        generation = self.generation + 1
        has_changed = False
        for resource_type, bodies_by_name in bodies.items():
            # Resources of the other types are derived from the settings alone.
            resource_index = index if resource_type == ResourceType.EDS else 0
            if self._update_type(resource_type, resource_index, generation, bodies_by_name, drained):
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
        while len(log) > MAX_LOGGED_CHANGES:
            self._truncated_generations[resource_type] = log.popleft().generation

    def changed_since(self, resource_type: ResourceType, generation: int) -> Collection[str] | None:
        """The names that changed after a generation; None if the log no longer reaches back that far."""
        if generation >= self.generation:
            return ()
        if generation < self._truncated_generations[resource_type] or generation == 0:
            return None
        names = set()
        for change in reversed(self._change_logs[resource_type]):
            if change.generation <= generation:
                break
            names.add(change.name)
        return names

    def type_version(self, resource_type: ResourceType, names: frozenset[str]) -> str:
        """The version of a state-of-the-world response with these names: the newest index and a digest of all
        their contents.

        It is computed once for all streams that subscribe to the same names.
        """
        key = resource_type, names
        version = self._type_versions.get(key)
        if version is None:
            version = self._compute_type_version(resource_type, names)
            self._type_versions[key] = version
        return version

    def _compute_type_version(self, resource_type: ResourceType, names: frozenset[str]) -> str:
        resources = self.resources[resource_type]
        existing = [name for name in names if name in resources]
        return self.version_of(resource_type, existing, resources.__getitem__)

    def version_of(
        self,
        resource_type: ResourceType,
        names: Collection[str],
        resource_of: Callable[[str], CachedResource],
    ) -> str:
        """The version of a state-of-the-world response with these resources; it is computed at each call."""
        newest_index = 0
        content = blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(names):
            version = parse_version(resource_of(name).version)
            newest_index = max(newest_index, version.index)
            content.update(f"{name}={version.digest}\n".encode())
        # The index of an endpoint list is that of its newest event, whichever resources that event changed.
        index = self.index if resource_type == ResourceType.EDS else newest_index
        return str(ResourceVersion(self.epoch, index, content.hexdigest()))
