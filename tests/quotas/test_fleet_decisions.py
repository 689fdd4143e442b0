"""The effect of other dispatchers' load, leases, work and verdicts on decisions."""

from random import Random

import pytest
from bench_free import Gateways, group, site

from wickvane.events import (
    Budget,
    EngineJudged,
    InFlightElsewhere,
    LeaseChanged,
    TenantsCharged,
    TimerFired,
)
from wickvane.units import TICKS_PER_SECOND


def play_day(seed: int, events: list, in_fleet: bool = True) -> list:
    """Returns all decisions of one dispatcher over a generated day; events: added in every 50 ms step."""
    random, g = Random(seed), Gateways(site([group(), group(threads=2)]), seed, in_fleet)
    g.engines(6)
    decisions = []
    for step in range(400):
        g.now += 500
        g.round(*events)
        if random.random() < 0.8:
            g.take(
                resource_group=random.randrange(2),
                cost=random.choice([500, 1000, 4000]),
                table_group=random.randrange(9),
            )
        for query in sorted(g.out):
            if random.random() < 0.3:
                g.end(query, work=1200)
        g.let_pass(g.now)
        decisions.append((sorted(g.out.items()), dict(g.final), step))
    return decisions


@pytest.mark.parametrize("seed", range(4))
def test_without_recent_reports_every_decision_is_that_of_a_single_dispatcher(seed):
    expired = [InFlightElsewhere(e, 40 * (e % 2), 60 * TICKS_PER_SECOND) for e in range(6)]
    recent = [InFlightElsewhere(e, 40 * (e % 2), 10) for e in range(6)]
    assert (
        play_day(seed, [TimerFired(1)], in_fleet=False) == play_day(seed, expired) != play_day(seed, recent)
    )


def test_an_engine_that_other_dispatchers_load_is_not_chosen_first():
    g = Gateways(site([group()], dispatcher_count=30), in_fleet=True)
    g.engines(3)
    first = g.scheduler.placement.order_of(0)[0]
    g.end(g.take(cost=1000), work=1000)
    g.round(*[InFlightElsewhere(e, 24 if e == first else 0, 10) for e in range(3)])
    query = g.take(cost=1000)
    assert g.out[query] != first


def test_a_suspected_engine_gets_no_query_until_the_verdict_expires_or_is_superseded():
    g = Gateways(site([group()]), in_fleet=True)
    g.engines(3)
    first = g.scheduler.placement.order_of(1)[0]
    g.now += TICKS_PER_SECOND
    g.round(EngineJudged(first, True, 0.0, 100))
    assert g.out[g.take()] != first
    g.now += TICKS_PER_SECOND + 1
    assert any(g.out[g.take()] == first for _ in range(3))
    g.end(next(query for query, e in g.out.items() if e == first))
    # This verdict is older than the answer that this dispatcher received.
    g.round(EngineJudged(first, True, 0.0, 100))
    assert any(g.out[g.take()] == first for _ in range(3))


def test_a_lease_is_used_until_it_expires_and_the_own_quota_from_then_on():
    """This also holds if the process was stalled past the expiry and gets no other event first."""
    g = Gateways(
        site([group()], dispatcher_count=4, slow_start_duration=9_000_000, collapse_window=20_000),
        in_fleet=True,
    )
    g.engine(0, started=g.now - 10)
    g.round(LeaseChanged(Budget.SLOW_START, 3.0, g.now + 5_000, 1.0))
    # The own quota allows two such queries, the leased quota six.
    cost = int(g.scheduler.slow_start.budget_per_core * 8 * 0.3 / 2)

    def count_sent():
        for query in [g.take(cost=cost) for _ in range(9)]:
            if query in g.out:
                g.end(query, work=cost, elapsed=10)
        return sum(len(attempts) for attempts in g.sent.values())

    assert count_sent() == 6
    g.now += 20_001  # past the expiry of the lease and the rate window
    assert count_sent() - 6 == 2
    g.round(LeaseChanged(Budget.SLOW_START, 0.0, 1 << 62, 0.0))
    g.now += 20_001
    assert count_sent() - 8 == 0


def test_a_tenant_that_other_dispatchers_served_more_than_another_is_charged():
    """The charge is bounded, and applies only while queries of both tenants wait."""
    g = Gateways(site([group()], tenants=2), in_fleet=True)  # Without an engine, all queries wait.
    for _ in range(12):
        g.take(tenant=0, cost=1000), g.take(tenant=1, cost=1000)
    queue = g.scheduler.fair_queue
    before = list(queue.deficits)
    g.round(TenantsCharged([50_000, 10_000]))
    charges = [old - new for new, old in zip(queue.deficits, before, strict=True)]
    assert charges[1] == 0 < charges[0] and queue.deficits[0] >= -4.0 * queue.quantum(0)
