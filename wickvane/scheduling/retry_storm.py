"""Detects when a retry storm begins, deepens and ends at one dispatcher; free of I/O.

A retry storm is a metastable failure (Bronson et al., HotOS 2021; Huang et al., OSDI 2022). It is recognised
by what sustains it: more work arrives than is finished, and much of it is retries of recently rejected
queries. It is distinguished from growth (more work arrives, but not as retries), from a loop (most retries
come from one client) and from slow engines (a minority is slow, and few queries are rejected).

Thresholds come from settings or observations where possible: retries are compared with twice their usual
share plus the retry budget, arriving work with finished work, and engines with their own best latency. Memory
is limited by two Bloom filters, a window of steps, and MAX_SOURCES sources per step.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt
from typing import Any, NamedTuple

from wickvane.digest import blake2b
from wickvane.units import TICKS_PER_SECOND, to_seconds

STEP_TICKS = TICKS_PER_SECOND // 2
WINDOW_STEPS = 4
MAX_SOURCES = 64  # counted separately in one step; all others are counted together
MAX_FINGERPRINTS = 50_000  # in one filter
FALSE_POSITIVE_RATE = 0.01
USUAL_RETRIES_GAIN = 0.02  # weight of one calm step
SLOW_FACTOR = 2.0  # an engine is slow if its recent latency exceeds its best latency by this factor
MAX_SLOW_SHARE = 0.5  # of the engines; if more are slow, they have a common cause
MIN_CALM_STEPS = 3  # consecutive steps in which a state is not seen before it ends
DEEPENING_FACTOR = 1.5  # a storm deepens when its depth has grown by this factor
STANDARD_ERRORS = 2.0  # by which the share of retries must exceed its threshold
MIN_ARRIVALS = 10  # in the window; with fewer the state is calm
LATENCY_RATIO_GAIN = 0.3  # weight of one answer in an engine's recent latency
BEST_RATIO_STEP_FACTOR = 1.001  # by which an engine's best latency ratio rises with each answer
MIN_BEST_RATIO = 0.05
MAX_ONE_SOURCE_SHARE = 0.5  # of the retries; if one client sends more, they are its loop


class StormState(StrEnum):
    """The state that the window indicates; the values are written to log events."""

    CALM = "calm"
    GROWTH = "growth"
    LOOP = "one-client"
    SLOW = "slow-engine"
    STORM = "storm"


class StormEvent(NamedTuple):
    """A log event: `begins`, `deepens` or `ends`, with its log fields."""

    name: str
    fields: dict[str, Any]


def fingerprint(tenant: int, token: bytes | None, key: bytes | None, body: bytes) -> bytes:
    """Returns the hash by which a retry of a query is recognised.

    It covers the tenant and the idempotency token; without a token the key, and without both the statement.
    """
    kind, name = (b"t", token) if token else (b"k", key) if key else (b"s", body)
    return blake2b(b"%d/%b/" % (tenant, kind) + name, digest_size=16).digest()


def _filter_hash(query_fingerprint: bytes) -> int:
    """Returns the signed 128-bit hash that the Bloom filter needs; it is the same in every process."""
    return int.from_bytes(query_fingerprint, "big", signed=True)


def depth_of(statistics: dict[str, float]) -> float:
    """Returns the depth of a storm: the number of retries divided by that of first attempts."""
    return statistics["repeats"] / (1 - min(0.99, statistics["repeats"]))


class RejectedQueries:
    """Remembers fingerprints of rejected queries, each for `memory` to 2 * `memory` ticks."""

    def __init__(self, memory: int) -> None:
        self._memory = memory
        self._swap_at = 0
        self._current = self._new_filter()
        self._previous = self._new_filter()
        self.count = 0  # in the current filter

    @staticmethod
    def _new_filter() -> Any:
        from rbloom import Bloom

        return Bloom(MAX_FINGERPRINTS, FALSE_POSITIVE_RATE, _filter_hash)

    def add(self, now: int, query_fingerprint: bytes) -> None:
        """Adds a fingerprint."""
        self._drop_old(now)
        # A full filter has many false positives, so it is replaced early.
        if self.count >= MAX_FINGERPRINTS:
            self._swap_at = 0
            self._drop_old(now)
        self._current.add(query_fingerprint)
        self.count += 1

    def has(self, now: int, query_fingerprint: bytes) -> bool:
        """Returns whether a fingerprint is known."""
        self._drop_old(now)
        return query_fingerprint in self._current or query_fingerprint in self._previous

    def _drop_old(self, now: int) -> None:
        if now < self._swap_at:
            return
        if now >= self._swap_at + self._memory and self._swap_at:
            self._current = self._new_filter()
        self._previous = self._current
        self._current = self._new_filter()
        self.count = 0
        self._swap_at = now + self._memory


@dataclass(slots=True)
class Step:
    """Counters of one step; work is in ticks of one thread."""

    arrived: int = 0
    retries: int = 0
    arrived_work: float = 0.0
    finished: int = 0
    finished_late: int = 0
    finished_work: float = 0.0
    rejected: int = 0
    connections: int = 0
    sources: Counter = field(default_factory=Counter)  # number of retries by source


class StormDetector:
    """Detects retry storms from the events of one dispatcher.

    retry_budget_ratio: from the settings; memory: the longest time in ticks after which a client retries,
    which is the longest timeout plus the longest Retry-After.
    """

    def __init__(self, now: int, retry_budget_ratio: float, memory: int) -> None:
        self._retry_budget_ratio = retry_budget_ratio
        self.rejected_queries = RejectedQueries(max(TICKS_PER_SECOND, memory))
        self.steps = deque([Step()], maxlen=WINDOW_STEPS)
        self._step_ends_at = now + STEP_TICKS
        self.state = StormState.CALM
        self._state_since = now
        self._steps_unseen = 0  # consecutive steps in which the current state was not seen
        self._depth = 0.0
        self._last_seen = StormState.CALM  # a storm is reported when two consecutive steps indicate it
        self.usual_retries = 0.0
        # By engine: the best and the recent ratio of latency to its estimate, and the time of the last
        # answer.
        self._best_ratio: dict[str, float] = {}
        self._recent_ratio: dict[str, float] = {}
        self._answered_at: dict[str, int] = {}
        self.counts: Counter = Counter()

    def record_arrival(self, now: int, query_fingerprint: bytes, source: Any, cost: float) -> bool:
        """Records a query from a client (`source`); returns whether it retries a recently rejected query."""
        step = self.steps[-1]
        is_retry = self.rejected_queries.has(now, query_fingerprint)
        step.arrived += 1
        step.arrived_work += cost
        if is_retry:
            step.retries += 1
            self.counts["repeats"] += 1
            if len(step.sources) >= MAX_SOURCES and source not in step.sources:
                source = None
            step.sources[source] += 1
        return is_retry

    def record_rejection(self, now: int, query_fingerprint: bytes) -> None:
        """Records that a query was rejected."""
        self.steps[-1].rejected += 1
        self.rejected_queries.add(now, query_fingerprint)

    def record_answer(self, is_late: bool, work: float) -> None:
        """Records that a query was answered with its result."""
        step = self.steps[-1]
        step.finished += 1
        step.finished_late += is_late
        step.finished_work += work

    def record_connection(self) -> None:
        """Records that a client connected."""
        self.steps[-1].connections += 1

    def record_attempt(self, now: int, engine: str, elapsed: float, expected: float) -> None:
        """Records the latency of an attempt that finished on an engine."""
        ratio = elapsed / max(1, expected)
        recent = self._recent_ratio.get(engine)
        self._recent_ratio[engine] = (
            ratio if recent is None else (1 - LATENCY_RATIO_GAIN) * recent + LATENCY_RATIO_GAIN * ratio
        )
        best = self._best_ratio.get(engine, ratio)
        self._best_ratio[engine] = min(best * BEST_RATIO_STEP_FACTOR, max(ratio, MIN_BEST_RATIO))
        self._answered_at[engine] = now

    def remove_engine(self, engine: str) -> None:
        """Removes the latencies of an engine that has left the endpoint list."""
        for table in (self._best_ratio, self._recent_ratio, self._answered_at):
            table.pop(engine, None)

    def statistics(self, now: int) -> dict[str, float]:
        """Returns the statistics of the window under the names of log fields.

        They are shares, rates of work in cores, and connections per second.
        """
        steps = self.steps
        ticks = len(steps) * STEP_TICKS
        arrived = sum(step.arrived for step in steps)
        retries = sum(step.retries for step in steps)
        finished = sum(step.finished for step in steps)
        return {
            "taken": arrived,
            "repeats": retries / arrived if arrived else 0.0,
            "offered": sum(step.arrived_work for step in steps) / ticks,
            "done": sum(step.finished_work for step in steps) / ticks,
            "deferred": sum(step.rejected for step in steps) / arrived if arrived else 0.0,
            "late": sum(step.finished_late for step in steps) / finished if finished else 0.0,
            "connections": sum(step.connections for step in steps) * TICKS_PER_SECOND / ticks,
            "one": self._largest_source() / retries if retries else 0.0,
            "slow": self._slow_share(now, 2 * ticks),
        }

    def _largest_source(self) -> int:
        sources: Counter = Counter()
        for step in self.steps:
            sources.update(step.sources)
        return max((count for source, count in sources.items() if source is not None), default=0)

    def _slow_share(self, now: int, ticks: int) -> float:
        """Returns the share of slow engines among those that answered in the last `ticks` ticks."""
        recent = [engine for engine, at in self._answered_at.items() if now - at <= ticks]
        slow = [
            engine for engine in recent if self._recent_ratio[engine] > SLOW_FACTOR * self._best_ratio[engine]
        ]
        return len(slow) / len(recent) if recent else 0.0

    def end_step(self, now: int) -> list[StormEvent]:
        """Ends the current step if its time is over; returns the resulting log events."""
        if now < self._step_ends_at:
            return []
        statistics = self.statistics(now)
        seen = self._classify(statistics)
        if seen == StormState.CALM:
            self.usual_retries += USUAL_RETRIES_GAIN * (statistics["repeats"] - self.usual_retries)
        events = self._update_state(now, seen, statistics)
        self._last_seen = seen
        self._step_ends_at = now + STEP_TICKS - (now - self._step_ends_at) % STEP_TICKS
        self.steps.append(Step())
        return events

    def _update_state(self, now: int, seen: StormState, statistics: dict[str, float]) -> list[StormEvent]:
        if seen == self.state:
            self._steps_unseen = 0
            if seen == StormState.STORM and depth_of(statistics) > DEEPENING_FACTOR * self._depth:
                self._depth = depth_of(statistics)
                return [StormEvent("deepens", self._fields(now, statistics))]
            return []
        if seen == StormState.STORM:
            is_certain = self._last_seen == StormState.STORM
        else:
            is_replaceable = self.state not in (StormState.LOOP, StormState.STORM)
            is_certain = seen != StormState.CALM and is_replaceable
        if not is_certain:
            # A state ends only after several consecutive steps without it, so that it doesn't flicker.
            self._steps_unseen += 1
            is_certain = self._steps_unseen >= MIN_CALM_STEPS
        return self._change_state(now, seen, statistics) if is_certain else []

    def _classify(self, statistics: dict[str, float]) -> StormState:
        """Returns the state that the window's statistics indicate, regardless of the current state."""
        if statistics["taken"] < MIN_ARRIVALS:
            return StormState.CALM
        is_harmful = (
            statistics["deferred"] > self._retry_budget_ratio or statistics["late"] > self._retry_budget_ratio
        )
        is_overloaded = statistics["offered"] > statistics["done"] and is_harmful
        # With many dispatchers each one gets few queries in a window, so the threshold allows for random
        # variation.
        share = min(0.9, 2 * self.usual_retries + self._retry_budget_ratio)
        error = sqrt(share * (1 - share) / statistics["taken"])
        has_many_retries = statistics["repeats"] > share + STANDARD_ERRORS * error
        if has_many_retries and statistics["one"] > MAX_ONE_SOURCE_SHARE:
            return StormState.LOOP
        if has_many_retries and is_overloaded:
            return StormState.STORM
        if 0 < statistics["slow"] < MAX_SLOW_SHARE and statistics["deferred"] <= self._retry_budget_ratio:
            return StormState.SLOW
        return StormState.GROWTH if is_overloaded else StormState.CALM

    def _change_state(self, now: int, state: StormState, statistics: dict[str, float]) -> list[StormEvent]:
        events = []
        if self.state != StormState.CALM:
            events.append(StormEvent("ends", self._fields(now, statistics)))
        self.state = state
        self._state_since = now
        self._steps_unseen = 0
        self._depth = depth_of(statistics)
        if state != StormState.CALM:
            events.append(StormEvent("begins", self._fields(now, statistics)))
            self.counts[state] += 1
        return events

    def _fields(self, now: int, statistics: dict[str, float]) -> dict[str, Any]:
        rounded = {name: round(value, 3) for name, value in statistics.items()}
        return {"kind": self.state.value, "for": to_seconds(now - self._state_since), **rounded}
