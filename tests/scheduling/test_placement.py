"""The choice of an engine by the hash order and the load, also with many dispatchers."""

from collections import Counter
from typing import Any

from bench_free import Gateways, group, site

from wickvane.events import Ending


def test_dispatchers_that_learn_of_engines_in_different_orders_choose_the_same_ones():
    first = Gateways(site([group()]))
    second = Gateways(site([group()]))
    first.engines(5)
    names = [3, 1, 4, 0, 2]
    for engine, name in enumerate(names):
        second.engine(engine, name=name)
    orders = {table_group: first.scheduler.placement.order_of(table_group) for table_group in range(30)}
    assert orders == {
        table_group: [names[engine] for engine in second.scheduler.placement.order_of(table_group)]
        for table_group in range(30)
    }
    assert {order[0] for order in orders.values()} == set(range(5))


def test_limits_of_less_than_one_query_are_pooled_over_all_engines():
    dispatcher = Gateways(site([group()], dispatcher_count=40))
    dispatcher.engines(10)
    dispatcher.scheduler.engines.rejected_at = [dispatcher.now] * 10
    for table_group in range(60):
        dispatcher.take(table_group=table_group)
    # Two threads per core on ten engines with eight cores are 4 for each of forty dispatchers.
    assert len(dispatcher.out) == 4


def test_many_dispatchers_avoid_an_engine_with_slow_answers_and_a_single_one_does_not():
    for dispatcher_count, uses_slow_engine in ((1, True), (40, False)):
        dispatcher = Gateways(site([group()], dispatcher_count=dispatcher_count))
        dispatcher.engines(5)
        slow = dispatcher.scheduler.placement.order_of(1)[0]
        dispatcher.scheduler.engines.load_factor[slow] = 1.4
        dispatcher.scheduler.engines.load_factor_at[slow] = dispatcher.now
        assert (dispatcher.out[dispatcher.take(table_group=1)] == slow) == uses_slow_engine


def one_of_forty(seed: int, **changes: Any) -> Gateways:
    """Returns one of forty dispatchers; its limit for each engine is less than one query."""
    dispatcher = Gateways(site([group()], dispatcher_count=40, **changes), seed)
    dispatcher.engines(14)
    return dispatcher


def one_query(dispatcher: Gateways, after: int = 80_000, ending: Ending = Ending.FINISHED) -> int:
    """Starts and ends a query; returns its engine."""
    dispatcher.now += after
    query = dispatcher.take(table_group=1)
    engine = dispatcher.out[query]
    dispatcher.end(query, ending, elapsed=1)
    return engine


def test_each_of_many_dispatchers_reuses_its_connected_engine_and_together_they_spread():
    dispatchers_by_engine = Counter()
    for seed in range(90):
        dispatcher = one_of_forty(seed)
        chosen = {one_query(dispatcher) for _ in range(8)}
        assert len(chosen) == 1
        dispatchers_by_engine[chosen.pop()] += 1
    assert (
        set(dispatchers_by_engine) == set(one_of_forty(0).scheduler.placement.order_of(1)[:8])
        and min(dispatchers_by_engine.values()) >= 2
    )


def test_a_dispatcher_may_change_its_engine_after_the_connection_was_closed():
    for after, ending in ((80_000, Ending.RESET), (240_001, Ending.FINISHED)):
        moved = 0
        for seed in range(30):
            dispatcher = one_of_forty(seed)
            moved += one_query(dispatcher, ending=ending) != one_query(dispatcher, after)
        assert moved > 10
    dispatcher = one_of_forty(1)
    engine = one_query(dispatcher)
    dispatcher.scheduler.engines.load_factor[engine] = 2.9
    dispatcher.scheduler.engines.load_factor_at[engine] = dispatcher.now
    # One more thread per core than on the other engines is worse than a new connection.
    assert one_query(dispatcher, after=1) != engine


def test_few_dispatchers_consider_three_engines_regardless_of_connections():
    dispatcher = Gateways(site([group()], dispatcher_count=2))
    dispatcher.engines(8)
    queries = [dispatcher.take(table_group=1) for _ in range(3)]
    assert {dispatcher.out[query] for query in queries} == set(dispatcher.scheduler.placement.order_of(1)[:3])


def test_the_memory_for_table_groups_that_statements_name_is_limited():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(2)
    for table_group in range(9000):
        dispatcher.end(dispatcher.take(table_group=table_group), work=1000)
    assert 0 < len(dispatcher.scheduler.placement.orders) <= 4096


def test_bulk_loads_of_one_table_group_prefer_engines_that_run_none_of_them():
    dispatcher = Gateways(site([group(is_bulk_load=True, priority_weight=5.0)]))
    dispatcher.engines(6)
    loads = [dispatcher.take(table_group=3) for _ in range(6)]
    assert sorted(dispatcher.out[query] for query in loads) == list(range(6))
    free_engine = dispatcher.out[loads[2]]
    dispatcher.end(loads[2])
    assert dispatcher.out[dispatcher.take(table_group=3)] == free_engine
    assert (
        dispatcher.out[dispatcher.take(table_group=3)] in dispatcher.scheduler.placement.order_of(3)
        and len(dispatcher.out) == 7
    )


def test_other_queries_stay_on_the_first_engines_of_their_table_group():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(6)
    assert {dispatcher.out[dispatcher.take(table_group=3)] for _ in range(9)} == set(
        dispatcher.scheduler.placement.order_of(3)[:3]
    )


def test_the_pooled_limit_of_many_dispatchers_applies_before_an_overload_is_observed():
    dispatcher = Gateways(site([group()], dispatcher_count=100))
    dispatcher.engines(10)
    queries = [dispatcher.take(table_group=n) for n in range(20)]
    # Two threads per core on ten engines with eight cores are 1.6 for each of a hundred dispatchers.
    assert sum(query in dispatcher.out for query in queries) == 2
