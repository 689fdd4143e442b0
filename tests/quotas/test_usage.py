"""Tenants' work that other dispatchers publish, and the traffic weight that is computed from it."""

import pytest

from wickvane.quotas.usage import MAX_PUBLISHED_TENANTS, REQUESTED_WORK_KEY, TenantUsage


def test_tenants_work_is_charged_once_in_any_order_of_arrival():
    usage = TenantUsage()
    usage.merge(("a", 1), 10, [("t", 500)])
    assert usage.take_new_work(0) == {}  # It is unknown how much of this work is new.
    usage.merge(("a", 1), 30, [("t", 800)])
    usage.merge(("a", 1), 20, [("t", 600)])
    usage.merge(("a", 1), 30, [("t", 800)])
    usage.merge(("a", 1), 40, [("u", 50)])
    usage.merge(("a", 1), 50, [("t", 900), ("u", 60)])
    assert usage.take_new_work(0) == {"t": 400, "u": 10} and usage.take_new_work(0) == {}
    usage.retain(set())
    assert usage.work_by_incarnation == {} and usage.next_page(300).updates == []


def test_the_tenants_with_the_most_recent_work_are_published():
    usage, work = TenantUsage(), {f"t{n:02}": 100 * n for n in range(20)}
    usage.publish(("me", 1), 1, work, 5)
    usage.publish(("me", 1), 2, work | {"t00": 50, "t03": 301}, 9)
    ((_, _, rows),) = usage.next_page(300).updates
    assert len(rows) == 1 + MAX_PUBLISHED_TENANTS
    assert rows[:3] == [(REQUESTED_WORK_KEY, 9), ("t00", 50), ("t03", 301)]


def test_the_traffic_weight_is_relative_to_the_smoothed_mean_of_all():
    usage = TenantUsage()
    assert usage.traffic_weight() == 1.0
    for n in range(60):
        usage.merge(("a", 1), n, [(REQUESTED_WORK_KEY, 100 * n)])
        usage.merge(("b", 1), n, [(REQUESTED_WORK_KEY, 0)])
        assert usage.take_new_work(200 * n) == {}
    assert usage.traffic_weight() == pytest.approx(2.0, abs=0.05)
    usage.merge(("a", 1), 70, [(REQUESTED_WORK_KEY, 6_500)])
    usage.take_new_work(200 * 60)
    assert usage.traffic_weight() > 1.0  # One sample has little weight.
