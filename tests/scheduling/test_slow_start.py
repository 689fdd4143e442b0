"""Engines in slow start before a fleet of dispatchers, each of which knows only its own attempts.

Generated fleets run in virtual time; a simple model counts the work of all dispatchers at each engine.
"""

from random import Random

import pytest
from bench_free import Gateways, collapse_budget, group, site

from wickvane.events import TimerFired
from wickvane.scheduling.slow_start import SlowStart

USABLE_CORE_FRACTION = 0.85  # of the cores that count as an engine's capacity
CORES = 8
STEP_TICKS = 500
COLLAPSE_MULTIPLE = 2.5
COLLAPSE_WINDOW = 30_000
SLOW_START_FRACTION = 0.3
SLOW_START_DURATION = 150_000


def budget(age: int, mean_work: int) -> float:
    """Returns how many queries of mean work an engine of this age may get in a window."""
    fraction = SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * min(1.0, age / SLOW_START_DURATION)
    return collapse_budget(
        COLLAPSE_MULTIPLE * USABLE_CORE_FRACTION * CORES * fraction * COLLAPSE_WINDOW / mean_work
    )


class Fleet:
    """Dispatchers with uneven traffic, running engines, and engines that start at different times."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.size = self.rng.choice([2, 5, 12, 20, 30])
        # Some queries are small; others exceed one dispatcher's budget for an engine in slow start.
        self.work = self.rng.choice([1500, 8000, 30_000])
        self.site = site(
            [group(timeout=200_000, latency_objective=150_000)],
            dispatcher_count=self.size,
            collapse_window=COLLAPSE_WINDOW,
            collapse_multiple=COLLAPSE_MULTIPLE,
            slow_start_fraction=SLOW_START_FRACTION,
            slow_start_duration=SLOW_START_DURATION,
        )
        self.dispatchers_made = 0
        self.sent = {}
        self.dispatchers = [self.new_dispatcher() for _ in range(self.size)]
        self.traffic = [self.rng.choice([0.02, 0.1, 0.1, 0.8]) for _ in self.dispatchers]
        self.now = self.began = self.dispatchers[0].now
        self.engines = {engine: 0 for engine in range(3)}  # when each started; 0 if before the test
        for dispatcher in self.dispatchers:
            dispatcher.engines(3)

    def new_dispatcher(self) -> Gateways:
        """Returns a new dispatcher whose attempts are recorded by engine."""
        self.dispatchers_made += 1
        dispatcher = Gateways(self.site, self.dispatchers_made * 1000 + self.rng.randrange(1000))
        start_attempt = dispatcher.start_attempt

        def record(query: int, engine: int, max_wait: int, start_by: int) -> None:
            self.sent.setdefault(engine, []).append(dispatcher.now)
            start_attempt(query, engine, max_wait, start_by)

        dispatcher.start_attempt = record
        return dispatcher

    def start_engine(self, engine: int) -> None:
        """Adds a new engine to the endpoint list of every dispatcher."""
        self.engines[engine] = self.now
        for dispatcher in self.dispatchers:
            dispatcher.engine(engine, started=self.now)

    def restart_dispatcher(self, index: int) -> None:
        """Replaces a dispatcher by a new one, which doesn't know the earlier attempts."""
        dispatcher = self.dispatchers[index] = self.new_dispatcher()
        dispatcher.now = self.now
        for engine, started in self.engines.items():
            dispatcher.engine(engine, started=started)

    def step(self, burst: float) -> None:
        """Plays the arrivals and the ends of one step."""
        self.now += STEP_TICKS
        for dispatcher, rate in zip(self.dispatchers, self.traffic):
            dispatcher.now = self.now
            dispatcher.round(TimerFired(1))
            while self.rng.random() < min(0.95, rate * burst):
                dispatcher.take(cost=self.work, table_group=self.rng.randrange(8), left=150_000)
            for query in [
                query
                for query in dispatcher.out
                if self.rng.random() < STEP_TICKS / max(STEP_TICKS, self.work)
            ]:
                dispatcher.end(query, elapsed=self.work, work=self.work)

    def play(self) -> None:
        """Plays a generated day."""
        for step in range(240):
            if step in (20, 24, 90):
                self.start_engine(len(self.engines))
            if step in (30, 60, 100) and self.rng.random() < 0.7:
                self.restart_dispatcher(self.rng.randrange(self.size))
            self.step(burst=3 if 40 <= step < 80 else 1)

    def worst_share(self) -> float:
        """Returns the largest used fraction of the budget of any engine in slow start in a window."""
        worst = 0.0
        for engine, started in self.engines.items():
            times = self.sent.get(engine, []) if started else []
            for first, at in enumerate(times):
                sent = sum(at <= later < at + COLLAPSE_WINDOW for later in times[first:])
                worst = max(worst, sent / budget(at - started, self.work))
        return worst


@pytest.mark.parametrize("seed", range(16))
def test_no_engine_in_slow_start_gets_more_than_its_budget_from_all_dispatchers(seed):
    fleet = Fleet(seed)
    fleet.play()
    assert any(fleet.sent.get(engine) for engine in fleet.engines if engine >= 3), (
        "no engine in slow start was used"
    )
    assert fleet.worst_share() <= 1.0


def test_without_slow_start_limits_the_same_fleets_exceed_the_budget(monkeypatch):
    monkeypatch.setattr(SlowStart, "admits", lambda self, engine, work, fraction, now: True)
    shares = []
    for seed in range(16):
        fleet = Fleet(seed)
        fleet.play()
        shares.append(fleet.worst_share())
    assert max(shares) > 1.0
