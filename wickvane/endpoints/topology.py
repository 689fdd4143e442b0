"""The engine kinds, zones and resource groups of the settings, by name; free of I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from wickvane.id_registry import IdRegistry


class GroupPlacement(NamedTuple):
    """The zones and kinds that a resource group may use; None: all."""

    name: str
    zones: frozenset[str] | None
    kinds: frozenset[str] | None


class Topology(NamedTuple):
    """cores: by kind; zones: None if documents may name any zone; slow_start_duration: ticks."""

    cores: dict[str, int]
    zones: frozenset[str] | None
    groups: tuple[GroupPlacement, ...]
    slow_start_fraction: float
    slow_start_duration: int
    default_cores: int = 1

    def cores_of(self, kind: str | None) -> int:
        """Returns the cores of an engine of a kind."""
        return self.cores.get(kind, self.default_cores)


def topology_of(registry: IdRegistry) -> Topology:
    """Returns the topology in a registry of the settings into which no endpoint list was read yet."""
    deployment = registry.deployment
    kinds = list(registry.kinds.index)
    zones = list(registry.zones.index)
    groups = tuple(
        GroupPlacement(name, _names_of(group.zones, zones), _names_of(group.kinds, kinds))
        for name, group in zip(registry.group_names, deployment.groups)
    )
    return Topology(
        dict(zip(kinds, deployment.cores)),
        frozenset(zones) or None,
        groups,
        deployment.slow_start_fraction,
        deployment.slow_start_duration,
    )


def _names_of(indices: Iterable[int] | None, names: list[str]) -> frozenset[str] | None:
    if indices is None:
        return None
    return frozenset(names[index] for index in indices if index < len(names))
