"""Slow start: an engine that has just started counts for a fraction of its cores, and its work is limited."""

from math import sqrt
from random import Random

from wickvane.events import Deployment
from wickvane.scheduling.engine_table import EngineTable

BUDGET_FRACTION = 0.5  # of the collapse budget that is used, because the engines' true speeds are not known
RANDOM_BUDGET_FRACTION = 0.35  # the same if admission is random
USABLE_CORE_FRACTION = 0.85  # of the cores that count as an engine's capacity in the collapse rule


def ramp_fraction(age: float, slow_start_fraction: float, slow_start_duration: int) -> float:
    """Returns the minimum fraction of its cores that an engine can use, `age` ticks after its start.

    It rises linearly from slow_start_fraction to 1 during slow_start_duration.
    """
    if age >= slow_start_duration:
        return 1.0
    return slow_start_fraction + (1 - slow_start_fraction) * max(0, age) / slow_start_duration


class SlowStart:
    """Limits the work that engines get during slow start."""

    def __init__(self, deployment: Deployment, engines: EngineTable, rng: Random) -> None:
        self.quota = 1.0  # leased fraction of this dispatcher's configured budget
        self.denied = False  # whether work was not admitted since this was last reset
        self.deployment = deployment
        self.engines = engines
        self._rng = rng
        # Maximum work per core that this dispatcher sends to an engine in one collapse window.
        budget = (
            BUDGET_FRACTION * deployment.collapse_multiple * USABLE_CORE_FRACTION * deployment.collapse_window
        )
        self.budget_per_core = budget / deployment.dispatcher_count

    def capacity_fraction(self, engine: int, now: int) -> float:
        """Returns the fraction of its cores that an engine counts for."""
        started_at = self.engines.started_at[engine]
        if not started_at:
            return 1.0
        deployment = self.deployment
        return ramp_fraction(now - started_at, deployment.slow_start_fraction, deployment.slow_start_duration)

    def admits(self, engine: int, work: float, fraction: float, now: int) -> bool:
        """Returns whether an engine in slow start admits this work now; fraction: its capacity_fraction."""
        admitted = self._fits(engine, work, fraction, now)
        self.denied = self.denied or not admitted
        return admitted

    def record(self, engine: int, work: float, now: int) -> None:
        """Records work that was sent to an engine in slow start."""
        self.engines.slow_start_work[engine].append((now, work))

    def used_fraction(self, now: int) -> float:
        """Returns the largest used fraction of the budget of any engine in slow start."""
        window_start = now - self.deployment.collapse_window
        largest = 0.0
        for engine in self.engines.ready():
            fraction = self.capacity_fraction(engine, now)
            if fraction < 1.0:
                sent = self.engines.slow_start_work[engine]
                work = sum(work for at, work in sent if at > window_start)
                largest = max(largest, work / (self.budget_per_core * self.engines.cores[engine] * fraction))
        return largest

    def _fits(self, engine: int, work: float, fraction: float, now: int) -> bool:
        sent = self.engines.slow_start_work[engine]
        while sent and sent[0][0] <= now - self.deployment.collapse_window:
            sent.popleft()
        configured = self.budget_per_core * self.engines.cores[engine] * fraction
        budget = configured * self.quota
        if work <= budget:
            return sum(earlier for _, earlier in sent) + work <= budget
        # The budget of each dispatcher is less than this query. Each dispatcher then admits at most one query
        # per window, at random, and draws at times of its own. Random draws may admit twice the expected
        # number if that number is small, so in that case fewer are admitted.
        self._draw(engine, now)
        dispatcher_count = self.deployment.dispatcher_count
        allowed = configured * dispatcher_count / BUDGET_FRACTION / work
        expected = self.quota * min(RANDOM_BUDGET_FRACTION * allowed, (sqrt(9 + allowed) - 3) ** 2)
        return not sent and self.engines.admission_draw[engine] * dispatcher_count < expected

    def _draw(self, engine: int, now: int) -> None:
        table = self.engines
        if now < table.admission_draw_until[engine]:
            return
        is_first = table.admission_draw_until[engine] < table.started_at[engine]
        window = self.deployment.collapse_window * (self._rng.random() if is_first else 1)
        table.admission_draw_until[engine] = now + int(window)
        table.admission_draw[engine] = 1.0 if is_first else self._rng.random()
