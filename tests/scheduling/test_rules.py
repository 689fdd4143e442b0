"""The scheduler is checked by a simple model of the seven rules, on generated days."""

from random import Random

import pytest
from bench_free import Gateways, group, site

from scheduling.rules_model import RuleBrokenError, play
from wickvane.events import TimerFired
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.placement import Placement
from wickvane.scheduling.retries import KeyOrder, RetryBudget, RetryPolicy
from wickvane.scheduling.scheduler import Scheduler
from wickvane.scheduling.slow_start import SlowStart


@pytest.mark.parametrize("seed", range(12))
def test_the_scheduler_follows_the_rules_of_the_model(seed):
    model = play(seed, 2500)
    assert sum(answer == "finished" for answer in model.final.values()) > 4


@pytest.mark.parametrize("heavy", [0, 1])
def test_many_dispatchers_neither_overload_nor_starve_an_engine_in_slow_start(heavy):
    rng = Random(7)
    cost = [1500, 40_000][heavy]
    deployment = site([group(timeout=200_000, latency_objective=150_000)], dispatcher_count=40)
    fleet = [Gateways(deployment, seed) for seed in range(40)]
    for _ in range(10 if heavy else 1):
        started_at = fleet[0].now
        for dispatcher in fleet:
            dispatcher.engine(0, started=started_at)
            for _ in range(250):
                dispatcher.round(TimerFired(1), after=500)
                if rng.random() < 0.2:
                    dispatcher.take(cost=cost, left=150_000)
                for query in list(dispatcher.out):
                    dispatcher.end(query, elapsed=500)
        attempts = [attempt for one in fleet for sent in one.sent.values() for attempt in sent]
        sent_at = [at - started_at for at, _ in attempts if at >= started_at]
        for at in sent_at:
            window = cost * sum(at <= t < at + deployment.collapse_window for t in sent_at)
            fraction = 0.3 + 0.7 * min(1, at / deployment.slow_start_duration)
            assert window <= 2.5 * 0.85 * 8 * fraction * deployment.collapse_window
        heavy += len(sent_at)
    assert heavy > 1


BROKEN_RULES = {
    "1 in time": (Scheduler, "_sweep", lambda self, is_current: None),
    "2 mutating": (
        RetryPolicy,
        "may_retry",
        lambda self, query, now: query.attempts < 5 and now < query.deadline,
    ),
    "2 idempotency key": (
        Placement,
        "_knows_key",
        lambda self, query, engine: self.engines.zone[engine] == self.engines.zone[query.ran_on.index],
    ),
    "2 rejection": (
        Scheduler,
        "_give_up",
        lambda self, query: (self._writer.reject(query.index, 0), self._close(query)),
    ),
    "3 draining": (
        OutlierEjection,
        "usable",
        lambda self, resource_group, now: [
            engine for engine in range(len(self.engines)) if self._permitted(resource_group, engine)
        ],
    ),
    "4 slow start": (SlowStart, "admits", lambda self, engine, work, fraction, now: True),
    "5 key order": (KeyOrder, "is_turn_of", lambda self, query, now: True),
    "6": (OutlierEjection, "_permitted", lambda self, resource_group, engine: True),
    "7 budget": (RetryBudget, "is_available", lambda self, now: True),
}


@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_the_model_detects_a_scheduler_that_breaks_a_rule(rule, monkeypatch):
    monkeypatch.setattr(*BROKEN_RULES[rule])
    broken_rules = set()
    for seed in range(12):
        try:
            play(seed)
        except RuleBrokenError as broken:
            broken_rules.add(str(broken))
    assert any(text.startswith(rule) for text in broken_rules), broken_rules
