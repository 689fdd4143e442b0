"""Totals of the ready engines of a list, updated with each change; free of I/O."""

from wickvane.endpoints.snapshot import Endpoint
from wickvane.endpoints.topology import GroupPlacement, Topology
from wickvane.events import EngineState
from wickvane.scheduling.slow_start import ramp_fraction
from wickvane.units import TICKS_PER_MILLISECOND


def age_of(endpoint: Endpoint, now: int) -> float:
    """Returns the ticks since the start of an engine's process; started_ms must be known."""
    return now - endpoint.started_ms * TICKS_PER_MILLISECOND


class CapacityTotals:
    """Counts ready engines by kind and zone, sums their cores, and knows which are in slow start."""

    __slots__ = ("cores", "ready_by_placement", "ready_count", "topology", "warming")

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.ready_by_placement: dict[tuple[str | None, str | None], int] = {}
        self.ready_count = 0
        self.cores = 0.0
        self.warming: dict[str, Endpoint] = {}

    def copy(self) -> "CapacityTotals":
        """Returns an independent copy."""
        copied = CapacityTotals(self.topology)
        copied.ready_by_placement = dict(self.ready_by_placement)
        copied.ready_count = self.ready_count
        copied.cores = self.cores
        copied.warming = dict(self.warming)
        return copied

    def cores_of(self, endpoint: Endpoint) -> float:
        """Returns the cores of an engine that its weight allows to use."""
        return self.topology.cores_of(endpoint.kind) * min(1.0, endpoint.weight)

    def add(self, endpoint: Endpoint, now: int) -> None:
        """Adds an engine to the totals if it is ready."""
        if endpoint.state != EngineState.READY:
            return
        placement = endpoint.kind, endpoint.zone
        self.ready_by_placement[placement] = self.ready_by_placement.get(placement, 0) + 1
        self.ready_count += 1
        self.cores += self.cores_of(endpoint)
        if endpoint.started_ms and age_of(endpoint, now) < self.topology.slow_start_duration:
            self.warming[endpoint.name] = endpoint

    def remove(self, endpoint: Endpoint) -> None:
        """Removes an engine that add() counted from the totals."""
        if endpoint.state != EngineState.READY:
            return
        placement = endpoint.kind, endpoint.zone
        self.ready_by_placement[placement] -= 1
        if not self.ready_by_placement[placement]:
            del self.ready_by_placement[placement]
        self.ready_count -= 1
        self.cores -= self.cores_of(endpoint)
        self.warming.pop(endpoint.name, None)

    def warm_cores(self, now: int) -> float:
        """Returns the available cores: an engine in slow start counts by the fraction that it has reached."""
        topology = self.topology
        missing = 0.0
        for name, endpoint in list(self.warming.items()):
            fraction = ramp_fraction(
                age_of(endpoint, now), topology.slow_start_fraction, topology.slow_start_duration
            )
            if fraction >= 1.0:
                del self.warming[name]
            missing += (1 - fraction) * self.cores_of(endpoint)
        return self.cores - missing

    def serves(self, group: GroupPlacement) -> bool:
        """Returns whether any ready engine may serve a resource group."""
        return any(
            (group.zones is None or zone in group.zones) and (group.kinds is None or kind in group.kinds)
            for kind, zone in self.ready_by_placement
        )
