"""Staged rollout: changes the published list towards the target, at once or in steps; free of I/O.

A removed engine drains first: it is published as draining, and removed once no query runs on it or its drain
has timed out. The weight of an engine in slow start rises in steps regardless of the policy. Times are
ticks.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from wickvane.endpoints.capacity import CapacityTotals, age_of
from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.coordinator_overlay import CoordinatorOverlay
from wickvane.endpoints.records import Checkpoint, Published
from wickvane.endpoints.snapshot import (
    Endpoint,
    Snapshot,
    SnapshotDelta,
    changed_names,
    make_snapshot,
    stops_taking_queries,
)
from wickvane.endpoints.topology import Topology
from wickvane.endpoints.validation import EndpointChange, EndpointChanges
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MIN_DRAIN_TIME = TICKS_PER_SECOND  # minimum time before an idle engine is removed
SLOW_START_WEIGHT_FACTOR = 2.0  # maximum factor by which a weight rises in one step during slow start


@dataclass(slots=True)
class RolloutStep:
    """The next changes to publish. is_due: a step was allowed; is_waiting: another step must follow."""

    is_due: bool
    put: list[Endpoint] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    entries: list[tuple] = field(default_factory=list)
    readmitted: list[str] = field(default_factory=list)
    is_waiting: bool = False

    def add(self, name: str, current: Endpoint | None, next_endpoint: Endpoint | None) -> None:
        """Adds the next published state of one engine; next_endpoint: None if it is removed."""
        if next_endpoint is None:
            self.removed.append(name)
            self.entries.append(current._replace(state=EngineState.GONE).to_entry())
        elif next_endpoint != current:
            self.put.append(next_endpoint)
            self.entries.append(next_endpoint.to_entry())
            if current is not None and not current.is_ready and next_endpoint.is_ready:
                self.readmitted.append(name)

    def puts_only(self, names: frozenset[str] | set[str]) -> bool:
        """Returns whether `names` is not empty and the step puts no endpoint of another name."""
        return bool(names) and all(endpoint.name in names for endpoint in self.put)

    def delta(self) -> SnapshotDelta:
        """Returns the step as a delta of the published list."""
        return SnapshotDelta(self.put, self.removed)


class Rollout:
    """The published list and its pending differences from the target.

    published: endpoints by name, as the scheduler knows them. pending: names that may differ from the target.
    draining_until: the tick at which the drain of each removed engine times out, by name. step: number of the
    last step in this generation. next_step_at: 0 if no step is scheduled.
    """

    __slots__ = (
        "draining_until",
        "is_announced",
        "is_paused",
        "is_staged",
        "next_step_at",
        "pending",
        "policy",
        "published",
        "step",
        "topology",
        "totals",
    )

    def __init__(self, topology: Topology, policy: ChangePolicy) -> None:
        self.topology = topology
        self.policy = policy
        self.published: Map = Map()
        self.totals = CapacityTotals(topology)
        self.pending: set[str] = set()
        self.draining_until: dict[str, int] = {}
        self.step = 0
        self.is_staged = False
        self.is_paused = False
        self.is_announced = False  # whether this process has published a list
        self.next_step_at = 0

    # Records

    def apply_target(self, snapshot: Snapshot, is_staged: bool, is_rollback: bool) -> None:
        """Starts the rollout of a new target; the step number continues if it is a rollback."""
        self.pending |= snapshot.changed
        if not is_rollback:
            self.step = 0
        self.is_staged = is_staged
        self.is_paused = False

    def apply_step(self, record: Published) -> None:
        """Applies a published step to the published list."""
        self.step = record.step
        for endpoint in record.delta.put:
            previous = self.published.get(endpoint.name)
            if previous is not None:
                self.totals.remove(previous)
            self.totals.add(endpoint, record.at)
            self.published = self.published.set(endpoint.name, endpoint)
        for name in record.delta.removed:
            self.draining_until.pop(name, None)
            previous = self.published.get(name)
            if previous is not None:
                self.totals.remove(previous)
                self.published = self.published.delete(name)

    def restore(self, record: Checkpoint) -> None:
        """Restores the published list and the state of the rollout from a checkpoint."""
        self.step = record.step
        self.is_staged = record.is_staged
        self.is_paused = record.is_paused
        self.clear_published()
        for endpoint in record.published:
            self.totals.add(endpoint, record.at)
        self.published = Map((endpoint.name, endpoint) for endpoint in record.published)

    def clear_published(self) -> None:
        """Empties the published list."""
        self.published = Map()
        self.totals = CapacityTotals(self.topology)

    def resume_after_recovery(self, now: int, target: Snapshot) -> None:
        """Continues the rollout of a recovered list.

        Draining engines get the full drain timeout again, since the earlier start of their drain was measured
        by another process's clock.
        """
        published = make_snapshot(0, self.published.values())
        self.pending = set(changed_names(published, target))
        self.draining_until = {
            name: now + self.policy.drain_timeout
            for name, endpoint in self.published.items()
            if name not in target.endpoints and not endpoint.is_ready
        }
        if self.pending:
            self.next_step_at = now + self.policy.step_interval

    def entries(self) -> list[tuple]:
        """Returns the published list as entries of an update, sorted by name."""
        return [endpoint.to_entry() for _, endpoint in sorted(self.published.items())]

    # Time

    def next_wakeup(self) -> int | None:
        """Returns the time of the next step or drain timeout, None if there is none."""
        times = list(self.draining_until.values())
        if self.pending and not self.is_paused and self.next_step_at:
            times.append(self.next_step_at)
        return min(times, default=None)

    def finish_drains(self, now: int, is_busy: Callable[[str], bool]) -> None:
        """Ends the drains of engines on which no query runs any more."""
        for name, until in self.draining_until.items():
            drained_since = until - self.policy.drain_timeout
            if now >= drained_since + MIN_DRAIN_TIME and not is_busy(name):
                self.draining_until[name] = now

    # Steps

    def has_steps_left(self) -> bool:
        """Returns whether any change besides drains is pending."""
        return bool(self.pending - set(self.draining_until))

    def changes_to(
        self, target: Snapshot, snapshot: Snapshot, overlay: CoordinatorOverlay
    ) -> EndpointChanges:
        """Returns how the published list would change if `snapshot` replaced the target."""
        changes = {}
        for name in self.pending | changed_names(target, snapshot):
            change = EndpointChange(self.published.get(name), overlay.resolve(name, snapshot))
            if change.current != change.desired:
                changes[name] = change
        return changes

    def plan_step(
        self,
        now: int,
        target: Snapshot,
        overlay: CoordinatorOverlay,
        immediate: frozenset[str] | set[str] = frozenset(),
    ) -> RolloutStep:
        """Returns the next step towards the target that is allowed now.

        immediate: names of engines in an event of the coordinator's stream, which do not wait for a step.
        """
        self._cancel_drains(target, overlay)
        step = RolloutStep(is_due=now >= self.next_step_at and not self.is_paused)
        removals_left = self._allowed_removals()
        for name in sorted(self.pending):
            current = self.published.get(name)
            desired = overlay.resolve(name, target)
            if current == desired:
                self.pending.discard(name)
                continue
            is_immediate = name in immediate
            is_draining = desired is None and name in self.draining_until
            if not (step.is_due or is_immediate or is_draining):
                step.is_waiting = True
                continue
            if stops_taking_queries(current, desired) and not is_immediate:
                if not removals_left:
                    step.is_waiting = True
                    continue
                removals_left -= 1
            next_endpoint = self._next_published(now, name, current, desired, is_immediate)
            step.add(name, current, next_endpoint)
            if _is_reached(next_endpoint, desired):
                self.pending.discard(name)
            elif desired is not None:
                step.is_waiting = True
        return step

    def schedule_next(self, now: int, step: RolloutStep) -> bool:
        """Schedules the step after this one; returns whether a staged rollout has just been completed."""
        if step.is_waiting:
            if step.is_due:
                self.next_step_at = now + self.policy.step_interval
            return False
        self.next_step_at = 0
        was_staged = self.is_staged
        self.is_staged = False
        return was_staged

    def _cancel_drains(self, target: Snapshot, overlay: CoordinatorOverlay) -> None:
        listed = [name for name in self.draining_until if overlay.resolve(name, target) is not None]
        for name in listed:
            del self.draining_until[name]

    def _allowed_removals(self) -> int:
        if not self.is_staged:
            return len(self.pending) + 1
        return max(1, int(self.policy.limits.removed_fraction * self.totals.ready_count))

    def _next_published(
        self, now: int, name: str, current: Endpoint | None, desired: Endpoint | None, is_immediate: bool
    ) -> Endpoint | None:
        """Returns the next published state of an engine towards `desired`; None if it is removed."""
        if desired is None:
            return self._next_of_removed(now, name, current, is_immediate)
        self.draining_until.pop(name, None)
        if current is None:
            return self._first_published(now, desired)
        next_endpoint = _with_known_start(current, desired)
        is_replaced = current.address != desired.address and desired.started_ms <= current.started_ms
        if is_replaced and not self.policy.overrides_coordinator:
            # Another process has taken over the name, so its slow start begins now.
            next_endpoint = next_endpoint._replace(started_ms=now // TICKS_PER_MILLISECOND)
        if current.is_ready and next_endpoint.is_ready:
            return self._with_bounded_weight(now, current, next_endpoint)
        return next_endpoint

    def _next_of_removed(self, now: int, name: str, current: Endpoint, is_immediate: bool) -> Endpoint | None:
        if self.policy.overrides_coordinator or is_immediate:
            return None
        if name in self.draining_until:
            return None if now >= self.draining_until[name] else current
        self.draining_until[name] = now + self.policy.drain_timeout
        return current._replace(state=EngineState.DRAINING, weight=0.0)

    def _first_published(self, now: int, desired: Endpoint) -> Endpoint:
        """Treats an engine with an unknown start time as started now, unless it is in the first list."""
        if desired.started_ms or not self.is_announced or self.policy.overrides_coordinator:
            return desired
        return desired._replace(started_ms=now // TICKS_PER_MILLISECOND)

    def _with_bounded_weight(self, now: int, current: Endpoint, next_endpoint: Endpoint) -> Endpoint:
        if self.is_staged:
            factor = self.policy.limits.weight_factor
            min_weight = current.weight / factor
        elif next_endpoint.started_ms and age_of(next_endpoint, now) < self.topology.slow_start_duration:
            factor = SLOW_START_WEIGHT_FACTOR
            min_weight = 0
        else:
            return next_endpoint
        weight = min(max(next_endpoint.weight, min_weight), current.weight * factor)
        return next_endpoint._replace(weight=weight)


def _with_known_start(current: Endpoint, desired: Endpoint) -> Endpoint:
    return desired._replace(started_ms=max(desired.started_ms, current.started_ms))


def _is_reached(next_endpoint: Endpoint | None, desired: Endpoint | None) -> bool:
    if next_endpoint is None or desired is None:
        return next_endpoint is desired
    return next_endpoint == desired or next_endpoint == _with_known_start(next_endpoint, desired)
