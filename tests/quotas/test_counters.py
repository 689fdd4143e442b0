"""Shared counters and gauges: merging does not depend on order, ages are known, sizes are bounded."""

from random import Random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import wire
from wickvane.quotas.counters import FOLD_AFTER, FleetCounters
from wickvane.quotas.gossip import MAX_PAGE_OCTETS
from wickvane.quotas.incarnation import Incarnation
from wickvane.units import TICKS_PER_SECOND

OWN = ("me", 1)
INCARNATIONS = [("a", 1), ("a", 2), ("b", 1)]


class PublishedCounter(NamedTuple):
    """A counter that another incarnation publishes."""

    incarnation: Incarnation
    key: str
    value: int


class PublishedGauges(NamedTuple):
    """The time at which another incarnation publishes its gauges."""

    incarnation: Incarnation
    timestamp: int


published_counters = st.builds(
    PublishedCounter, st.sampled_from(INCARNATIONS), st.sampled_from(["x", "y"]), st.integers(1, 20)
)
published_gauges = st.builds(PublishedGauges, st.sampled_from(INCARNATIONS), st.integers(0, 50))


def merge(counters: FleetCounters, now: int, update: PublishedCounter | PublishedGauges) -> None:
    """Merges an update that has arrived."""
    if isinstance(update, PublishedCounter):
        counters.merge_counter(now, *update)
        return
    # An incarnation uses each timestamp once, so the gauges are derived from its name and the timestamp.
    (name, _), timestamp = update
    gauges = {engine: (len(name) + timestamp) % 6 for engine in ("e1", "e2")}
    counters.merge_gauges(now, update.incarnation, timestamp, gauges)


@settings(max_examples=300, deadline=None)
@given(st.lists(published_counters | published_gauges, max_size=30), st.randoms(use_true_random=False))
def test_updates_merge_to_the_same_state_in_any_order_and_number(updates, random):
    first, second = FleetCounters(0, OWN), FleetCounters(0, OWN)
    shuffled = updates + random.choices(updates, k=len(updates)) if updates else []
    random.shuffle(shuffled)
    for counters, order in ((first, updates), (second, shuffled)):
        for update in order:
            merge(counters, 100, update)
    assert first.totals() == second.totals()
    assert {
        incarnation: (record.counters, record.gauges, record.timestamp)
        for incarnation, record in first.by_incarnation.items()
    } == {
        incarnation: (record.counters, record.gauges, record.timestamp)
        for incarnation, record in second.by_incarnation.items()
    }
    # The total is the sum of the highest values of each incarnation and key.
    highest = {}
    for update in updates:
        if isinstance(update, PublishedCounter):
            highest[update[:2]] = max(highest.get(update[:2], 0), update.value)
    for key in ("x", "y"):
        assert first.total(key) == sum(n for (_, k), n in highest.items() if k == key)


def test_a_missing_incarnation_is_folded_once_and_its_late_updates_are_rejected():
    counters = FleetCounters(0, OWN)
    counters.increment("x", 3)
    counters.merge_counter(1, ("a", 1), "x", 5)
    counters.merge_gauges(1, ("a", 1), 1, {"e1": 4})
    assert counters.in_flight(2, TICKS_PER_SECOND).threads_by_engine == {"e1": 4}
    counters.update_membership(2, set())
    # The gauges no longer count, but the counters do.
    assert counters.in_flight(2, TICKS_PER_SECOND).threads_by_engine == {} and counters.total("x") == 8
    counters.update_membership(2 + FOLD_AFTER, set())
    assert ("a", 1) not in counters.by_incarnation and counters.total("x") == 8
    assert not counters.merge_counter(3 + FOLD_AFTER, ("a", 1), "x", 9) and counters.total("x") == 8
    assert counters.rejected["folded"] == 1
    # The next incarnation has counters of its own.
    counters.merge_counter(4 + FOLD_AFTER, ("a", 2), "x", 1)
    assert counters.total("x") == 9


def test_the_age_of_a_late_update_does_not_depend_on_the_clock_of_its_writer():
    counters = FleetCounters(0, OWN)
    clock_difference = 77 * TICKS_PER_SECOND  # the other clock minus this one
    counters.merge_gauges(10, ("a", 1), 5 + clock_difference, {"e1": 1})
    assert counters.age(10, ("a", 1)) == 0
    assert counters.age(10 + TICKS_PER_SECOND, ("a", 1)) == TICKS_PER_SECOND
    counters.merge_gauges(
        40 * TICKS_PER_SECOND, ("a", 1), 10 * TICKS_PER_SECOND + clock_difference, {"e1": 2}
    )
    assert 29 * TICKS_PER_SECOND < counters.age(40 * TICKS_PER_SECOND, ("a", 1)) <= 30 * TICKS_PER_SECOND
    assert counters.in_flight(40 * TICKS_PER_SECOND, 2 * TICKS_PER_SECOND) == ({}, 0, 0, 0, 1)
    # This timestamp is older than the known one.
    assert not counters.merge_gauges(
        41 * TICKS_PER_SECOND, ("a", 1), 9 * TICKS_PER_SECOND + clock_difference, {"e1": 3}
    )


def test_tables_are_bounded_and_rejected_entries_are_counted():
    counters = FleetCounters(0, OWN, max_incarnations=3, max_keys=2)
    for n in range(5):
        counters.merge_counter(1, (f"p{n}", 1), "x", 1)
        counters.merge_counter(1, ("p0", 1), f"k{n}", 1)
        counters.increment(f"k{n}")
    assert len(counters.by_incarnation) == 3
    assert max(len(record.counters) for record in counters.by_incarnation.values()) == 2
    assert counters.rejected["full"] == 3 + 4 + 3


@settings(max_examples=100, deadline=None)
@given(st.randoms(use_true_random=False))
def test_a_page_fits_its_maximum_size_and_is_decoded_to_the_same_values(random: Random):
    counters = FleetCounters(0, OWN)
    for n in range(60):
        incarnation = (f"n{n}", 1)
        counters.merge_gauges(
            1 << 50,
            incarnation,
            (1 << 50) - n,
            {"e" * random.randrange(1, 65): random.randrange(1 << 20) for _ in range(random.randrange(12))},
        )
        key = "k" * random.randrange(1, 120)
        counters.merge_counter(1, incarnation, key, random.randrange(1, 1 << 40))
    for _ in range(20):
        gauges, values = [
            [(0xFFFFFFFF, *rest) for _, *rest in part] for part in counters.next_page(MAX_PAGE_OCTETS)
        ]
        payload = wire.encode(wire.GossipMessage(gauges=gauges, counters=values))
        assert len(payload) <= MAX_PAGE_OCTETS
        message = wire.decode(payload)
        assert message.gauges == gauges and message.counters == values
