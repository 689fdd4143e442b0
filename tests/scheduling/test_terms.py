"""Priorities of attempts."""

from bench_free import Gateways, group, site


def test_an_ordered_group_has_a_higher_priority_than_other_long_queries():
    dispatcher = Gateways(site([group(), group(priority_weight=6.0), group(ordered=True)]))
    dispatcher.engines(2)
    dispatcher.take(cost=100)
    dispatcher.take(resource_group=1, cost=40_000)
    dispatcher.take(resource_group=2, cost=40_000, key=7)
    assert [priority for _, priority, _ in dispatcher.log] == [3, 1, 2]
