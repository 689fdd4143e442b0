"""Deficit round robin over tenants by estimated cost, which is corrected to the true cost."""

from bench_free import Gateways, group, site

from wickvane.events import Ending, TimerFired


def test_a_charge_is_corrected_to_the_true_cost_and_refunded_if_nothing_ran():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(3)
    query = dispatcher.take(cost=1000)
    charged = dispatcher.scheduler.fair_queue.deficits[0]
    dispatcher.end(query, work=1800)
    assert dispatcher.scheduler.fair_queue.deficits[0] == charged - 800
    query = dispatcher.take(cost=1000)
    charged = dispatcher.scheduler.fair_queue.deficits[0]
    dispatcher.end(query, ending=Ending.NO_CONNECTION)
    # The charge is refunded, and the retry is charged again.
    assert query in dispatcher.out and dispatcher.scheduler.fair_queue.deficits[0] == charged


def test_latency_times_threads_replaces_a_cost_that_is_not_reported():
    dispatcher = Gateways(site([group(threads=2)]))
    dispatcher.engines(3)
    query = dispatcher.take(cost=1000)
    charged = dispatcher.scheduler.fair_queue.deficits[0]
    dispatcher.end(query, elapsed=900)
    assert dispatcher.scheduler.fair_queue.deficits[0] == charged - 800


def test_a_deficit_is_reset_when_a_query_reaches_an_empty_queue():
    dispatcher = Gateways(site([group()]))
    dispatcher.scheduler.fair_queue.deficits[0] = -5e6
    dispatcher.take()
    assert dispatcher.scheduler.fair_queue.deficits[0] == 0


def test_a_visit_that_finds_no_capacity_adds_no_quantum():
    dispatcher = Gateways(site([group()]))
    dispatcher.take()
    for _ in range(20):
        dispatcher.round(TimerFired(1), after=50)
    assert dispatcher.scheduler.fair_queue.deficits[0] == 0


def test_two_tenants_get_equal_cost_with_different_numbers_of_queries():
    dispatcher = Gateways(site([group(timeout=10_000_000, latency_objective=9_000_000)], tenants=2))
    dispatcher.scheduler.estimates.overall_mean_cost = 1000.0
    for _ in range(60):
        dispatcher.take(tenant=0, cost=1000, left=9_000_000)
        dispatcher.take(tenant=1, cost=3000, left=9_000_000)
    dispatcher.engines(1, started=dispatcher.now)  # in slow start, so that the limit applies
    for _ in range(60):
        if dispatcher.out:
            query = next(iter(dispatcher.out))
            dispatcher.end(query, work=1000 + 2000 * (query % 2), after=400)
    sent = [
        sum(
            1000 + 2000 * (query % 2)
            for query in dispatcher.sent
            if dispatcher.sent[query] and query % 2 == tenant
        )
        for tenant in (0, 1)
    ]
    assert abs(sent[0] - sent[1]) <= 9000
