"""Tests of concurrency limits and load factors."""

from bench_free import Gateways, group, site

from wickvane.events import Ending, TimerFired


def test_the_concurrency_limit_applies_only_under_pressure():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(1)
    for _ in range(30):
        dispatcher.take()
    assert len(dispatcher.out) == 30
    dispatcher.scheduler.engines.rejected_at[0] = dispatcher.now
    dispatcher.take()
    assert len(dispatcher.out) == 30


def test_a_queue_is_not_sent_at_once_to_the_first_unloaded_engine():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(2)
    first = [dispatcher.take() for _ in range(40)]
    dispatcher.end(first[0], ending=Ending.REJECTED, elapsed=3)
    dispatcher.end(first[1], ending=Ending.REJECTED, elapsed=3)
    later = [dispatcher.take(left=200_000) for _ in range(200)]
    assert any(not dispatcher.sent[query] for query in later)
    dispatcher.round(after=15_000)
    assert len(dispatcher.out) < 100


def test_an_engine_that_rejects_queries_gets_fewer_and_slowly_more_with_each_answer():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(2)

    def take_queries(engine):
        """Sends many queries; returns those in flight on the engine and those in flight on others."""
        taken = [dispatcher.take(table_group=1) for _ in range(60)]
        on_engine = [query for query in taken if dispatcher.out.get(query) == engine]
        return on_engine, [query for query in taken if query in dispatcher.out and query not in on_engine]

    first, other = take_queries(0)
    assert len(first) >= 8
    for query in first[4:]:
        dispatcher.end(query, Ending.REJECTED, elapsed=5)
    in_flight = [query for query in dispatcher.out if dispatcher.out[query] == 0]
    assert 1 <= len(in_flight) <= 5 and dispatcher.scheduler.engines.concurrency_limit[0] <= 6
    before = dispatcher.scheduler.engines.concurrency_limit[0]
    for query in in_flight:
        dispatcher.end(query)
    assert before < dispatcher.scheduler.engines.concurrency_limit[0] <= before + len(in_flight)


def test_a_load_factor_lasts_until_all_engines_have_answered_again():
    for interval, is_remembered in ((5_000, True), (500, False)):
        dispatcher = Gateways(site([group()], dispatcher_count=100))
        dispatcher.engines(20)
        load = dispatcher.scheduler.load
        now = dispatcher.now
        for n in range(200):
            now += interval
            load.observe(n % 20, 1.0, None, False, now)
        now += 1
        load.observe(3, 20.0, None, False, now)
        now += 70_000  # more than six seconds, after which a fixed fade would forget it
        assert (load.current(3, now) > 2 * load.usual_load_factor) == is_remembered


def test_an_overdue_attempt_counts_in_the_median_latency_once_and_not_again_when_it_ends():
    dispatcher = Gateways(site([group()], dispatcher_count=1))
    dispatcher.engines(2)
    query = dispatcher.take(cost=1000)
    before = dispatcher.scheduler.load.median_latency
    dispatcher.round(TimerFired(1), after=4000)
    once = dispatcher.scheduler.load.median_latency
    assert once > before
    dispatcher.round(TimerFired(1), after=400)
    assert dispatcher.scheduler.load.median_latency == once
    dispatcher.end(query, elapsed=4400)
    assert dispatcher.scheduler.load.median_latency == once
    fast = dispatcher.take(cost=1000)
    dispatcher.end(fast, elapsed=1000, after=0)
    assert dispatcher.scheduler.load.median_latency < once
