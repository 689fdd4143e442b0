"""A slow, plain model of the seven rules beside the module, on generated days."""

from random import Random

import pytest
from bench_free import Gateways, group, site

from wickvane.events import (
    AttemptEnded,
    ClientGone,
    Effect,
    Ending,
    EngineState,
    KeyScope,
    QueryArrived,
    TimerFired,
)
from wickvane.scheduling.outlier_ejection import OutlierEjection
from wickvane.scheduling.retries import KeyOrder, RetryBudget, RetryPolicy
from wickvane.scheduling.scheduler import Scheduler
from wickvane.scheduling.slow_start import SlowStart

TICK = 50


class Broken(AssertionError):
    """A rule that the plain model saw broken."""


class Model(Gateways):
    """Keeps every event as it came and asks of each decision, from the rules' words alone, if it may be."""

    def __init__(self, deployment, seed):
        super().__init__(deployment, seed)
        self.history, self.taken, self.told, self.extras = [], [], {}, []
        self.cold_sent = []

    def must(self, allowed, rule):
        if not allowed:
            raise Broken(rule)

    def note_engine(self, e, state, zone, kind, cell, started):
        self.told[e] = (state, zone, kind, cell, started)
        self.engine(e, state, zone, kind, cell, started)

    def arrive(self, chance):
        resource_group = chance.randrange(len(self.site.groups))
        key = chance.randrange(3) if chance.random() < 0.8 else None
        left = int(self.site.groups[resource_group].timeout * chance.choice([1, 0.9, 0.2]))
        q, self.next_q = self.next_q, self.next_q + 1
        cost = chance.choice([0, 500, 4000, 40_000])
        self.taken.append((q, resource_group, key, self.now, left))
        self.sent[q], self.count[q] = [], 0
        self.history.append([])
        tenant = chance.randrange(2)
        self.round(QueryArrived(q, resource_group, tenant, cost, 10, chance.randrange(4), key, left))

    def may_have_run(self, q):
        return [s for s in self.history[q] if s[2] is None or s[2] < Ending.REJECTED]

    def start_attempt(self, q, engine, wait, start_by):
        _, resource_group, key, came, left = self.taken[q]
        g, now = self.site.groups[resource_group], self.now
        state, zone, kind, cell, started = self.told[engine]
        self.must(q not in self.final and now < came + left, "1 nothing after the end")
        self.must(all(s[2] is not None for s in self.history[q]), "no second submission while one is out")
        self.must(state == EngineState.READY, "3 drains")
        self.must(g.zones is None or zone in g.zones, "6 location")
        self.must(g.kinds is None or kind in g.kinds, "6 kind")
        for _at, e, _ending, sent in self.may_have_run(q):
            self.must(g.effect != Effect.MUTATING, "2 mutating")
            if g.effect == Effect.IDEMPOTENCY_KEY:
                same = [True, self.told[e][1] == zone, self.told[e][3] == cell][g.key_scope]
                self.must(same and now < sent + g.idempotency_window, "2 tokened")
        if g.ordered and key is not None:
            for other, org, okey, _, _ in self.taken[:q]:
                if okey != key or not self.site.groups[org].ordered:
                    continue
                ended = all(s[2] is not None for s in self.history[other])
                self.must(other in self.final and ended, "5 turn")
                for at, _, ending, _ in self.history[other]:
                    if ending in (Ending.NO_ANSWER, Ending.RESET, Ending.CANCELLED):
                        self.must(now >= at + self.site.key_quarantine, "5 rest")
        if self.history[q] and self.site.retry_budget_window:
            since = now - self.site.retry_budget_window
            came = sum(t[3] > since for t in self.taken)
            self.extras.append(now)
            used = sum(at > since for at in self.extras)
            self.must(
                used <= self.site.retry_budget_minimum + self.site.retry_budget_ratio * came, "7 budget"
            )
        if started and now < started + self.site.slow_start_duration:
            mean = (
                sum(t[1] == resource_group for t in self.taken)
                and self.scheduler.estimates.mean_cost[resource_group]
            )
            self.cold_sent.append((now, engine, mean))
            work = sum(
                w for at, e, w in self.cold_sent if e == engine and at > now - self.site.collapse_window
            )
            share = (
                self.site.slow_start_fraction
                + (1 - self.site.slow_start_fraction) * (now - started) / self.site.slow_start_duration
            )
            capacity = 0.85 * self.site.cores[kind] * share * self.site.collapse_window
            part = self.site.collapse_multiple * capacity / self.site.dispatcher_count
            # One query beyond a part of less than one goes by lot: the next test adds up all gateways.
            self.must(work <= part or (part < mean and work == mean), "4 cold")
        may_have_run = self.may_have_run(q)
        window_binds = may_have_run and g.effect == Effect.IDEMPOTENCY_KEY
        window_end = may_have_run[0][3] + g.idempotency_window if window_binds else 1 << 62
        self.must(start_by == window_end, "2 told when its window ends")
        self.history[q].append([None, engine, None, now])
        super().start_attempt(q, engine, wait, start_by)

    def reject(self, q, stay_away):
        g = self.site.groups[self.taken[q][1]]
        ran = self.may_have_run(q)
        self.must(q not in self.final, "1 one answer")
        harmless = g.effect == Effect.READ_ONLY or (
            g.effect == Effect.IDEMPOTENCY_KEY and g.key_scope == KeyScope.ANY_ENGINE
        )
        self.must(not ran or harmless, "2 deferral")
        super().reject(q, stay_away)

    def fail(self, q):
        self.must(q not in self.final, "1 one answer")
        super().fail(q)

    def finish(self, q, ending, chance):
        last = self.history[q][-1]
        last[0], last[2] = self.now, ending
        if ending == Ending.FINISHED and q not in self.final:
            self.final[q] = "finished"
        e = self.out.pop(q)
        work = chance.choice([0, 3000])
        done = q in self.final
        sent = self.now - last[3]
        self.round(AttemptEnded(q, self.count[q] - 1, e, ending, sent, done, work, 0, None))


def generated_site(chance):
    def any_group(effect, **more):
        return group(
            effect=effect,
            timeout=chance.choice([30_000, 80_000]),
            latency_objective=chance.choice([3000, 15_000]),
            threads=chance.choice([1, 2]),
            late_priority_weight=chance.choice([0, 0.4]),
            zones=chance.choice([None, frozenset([0])]),
            kinds=chance.choice([None, frozenset([1])]),
            **more,
        )

    return site(
        [
            any_group(Effect.READ_ONLY),
            any_group(Effect.MUTATING),
            any_group(
                Effect.IDEMPOTENCY_KEY,
                key_scope=chance.randrange(3),
                idempotency_window=chance.choice([8000, 40_000]),
                ordered=True,
            ),
        ],
        tenants=2,
        retry_budget_window=chance.choice([0, 20_000]),
        dispatcher_count=chance.choice([1, 3, 40]),
        can_cancel=chance.random() < 0.5,
        collapse_multiple=chance.choice([1.5, 3.0]),
        slow_start_duration=60_000,
    )


def play(seed, rounds=500):
    chance = Random(seed)
    model = Model(generated_site(chance), seed)
    for e in range(6):
        model.note_engine(e, EngineState.READY, e % 2, e // 2 % 2, e % 3, 0)
    endings = [Ending.FINISHED] * 6 + list(range(8))
    for _ in range(rounds):
        # Now and then the gateway stands still, for longer than some queries have.
        model.round(
            TimerFired(1), after=20_000 if chance.random() < 0.01 else chance.choice([TICK, TICK, 400])
        )
        for _ in range(chance.choice([0, 1, 1, 4])):
            model.arrive(chance)
        if chance.random() < 0.05:
            e = chance.randrange(6)
            state = chance.choice(
                [EngineState.READY, EngineState.READY, EngineState.DRAINING, EngineState.GONE]
            )
            model.note_engine(
                e, state, e % 2, e // 2 % 2, e % 3, model.now if state == EngineState.READY else 0
            )
            if state == EngineState.DRAINING and chance.random() < 0.5:
                model.note_engine(e, EngineState.GONE, e % 2, e // 2 % 2, e % 3, 0)
                for q in [q for q, at in model.out.items() if at == e]:
                    model.finish(q, Ending.RESET, chance)
        for q in [q for q in model.out if chance.random() < 0.12]:
            model.finish(q, chance.choice(endings), chance)
        for q in sorted({q for q in model.cancelled if q in model.out}):
            model.finish(q, Ending.CANCELLED, chance)
        for q, _, _, came, left in model.taken[-200:]:
            if q not in model.final and chance.random() < 0.001:
                model.final[q] = "left"
                model.round(ClientGone(q))
            model.must(q in model.final or model.now <= came + left + 200, "1 in time")
    model.must(all(t[0] in model.final or model.now <= t[3] + t[4] + 200 for t in model.taken), "1 in time")
    return model


@pytest.mark.parametrize("seed", range(12))
def test_module_and_model_agree(seed):
    model = play(seed, 2500)
    assert sum(answer == "finished" for answer in model.final.values()) > 4


@pytest.mark.parametrize("heavy", [0, 1])
def test_many_gateways_neither_push_over_nor_starve_a_cold_engine(heavy):
    chance, cost = Random(7), [1500, 40_000][heavy]
    deployment = site([group(timeout=200_000, latency_objective=150_000)], dispatcher_count=40)
    fleet, sent = [Gateways(deployment, seed) for seed in range(40)], []
    for _ in range(10 if heavy else 1):
        began = fleet[0].now
        for g in fleet:
            g.engine(0, started=began)
            for _ in range(250):
                g.round(TimerFired(1), after=500)
                if chance.random() < 0.2:
                    g.take(cost=cost, left=150_000)
                for q in list(g.out):
                    g.end(q, elapsed=500)
        sent = [at - began for g in fleet for tries in g.sent.values() for at, _ in tries if at >= began]
        for at in sent:
            window = cost * sum(at <= t < at + deployment.collapse_window for t in sent)
            warmth = 0.3 + 0.7 * min(1, at / deployment.slow_start_duration)
            assert window <= 2.5 * 0.85 * 8 * warmth * deployment.collapse_window
        heavy += len(sent)
    assert heavy > 1


BREAKS = {
    "1 in time": (Scheduler, "_sweep", lambda self: None),
    "2 mutating": (
        RetryPolicy,
        "may_retry",
        lambda self, query, now: query.attempts < 5 and now < query.deadline,
    ),
    "2 deferral": (
        Scheduler,
        "_give_up",
        lambda self, query: (self._writer.reject(query.index, 0), self._close(query)),
    ),
    "3 drains": (
        OutlierEjection,
        "usable",
        lambda self, resource_group, now: [
            e for e in range(len(self.engines)) if self._permitted(resource_group, e)
        ],
    ),
    "4 cold": (SlowStart, "admits", lambda self, engine, work, fraction, now: True),
    "5 turn": (KeyOrder, "is_turn_of", lambda self, query, now: True),
    "6": (OutlierEjection, "_permitted", lambda self, resource_group, engine: True),
    "7 budget": (RetryBudget, "is_available", lambda self, now: True),
}


@pytest.mark.parametrize("rule", BREAKS)
def test_model_catches_a_module_that_breaks(rule, monkeypatch):
    monkeypatch.setattr(*BREAKS[rule])
    seen = set()
    for seed in range(12):
        try:
            play(seed)
        except Broken as broken:
            seen.add(str(broken))
    assert any(text.startswith(rule) for text in seen), seen
