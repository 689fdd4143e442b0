"""Counters and levels that dispatchers share: merged in any order to the same, of known age, bounded."""

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


class CounterWord(NamedTuple):
    """A counter that another incarnation publishes."""

    incarnation: Incarnation
    key: str
    value: int


class LevelsWord(NamedTuple):
    """The time at which another incarnation publishes its levels."""

    incarnation: Incarnation
    timestamp: int


counter_words = st.builds(
    CounterWord, st.sampled_from(INCARNATIONS), st.sampled_from(["x", "y"]), st.integers(1, 20)
)
levels_words = st.builds(LevelsWord, st.sampled_from(INCARNATIONS), st.integers(0, 50))


def merge(counters: FleetCounters, now: int, word: CounterWord | LevelsWord) -> None:
    """An update arrives."""
    if isinstance(word, CounterWord):
        counters.merge_counter(now, *word)
        return
    # One timestamp has one content: an incarnation publishes each once.
    (name, _), timestamp = word
    gauges = {engine: (len(name) + timestamp) % 6 for engine in ("e1", "e2")}
    counters.merge_gauges(now, word.incarnation, timestamp, gauges)


@settings(max_examples=300, deadline=None)
@given(st.lists(counter_words | levels_words, max_size=30), st.randoms(use_true_random=False))
def test_updates_in_any_order_and_any_number_of_times_come_to_the_same(words, chance):
    one, other = FleetCounters(0, OWN), FleetCounters(0, OWN)
    shuffled = words + chance.choices(words, k=len(words)) if words else []
    chance.shuffle(shuffled)
    for counters, order in ((one, words), (other, shuffled)):
        for word in order:
            merge(counters, 100, word)
    assert one.totals() == other.totals()
    assert {x: (v.counters, v.gauges, v.timestamp) for x, v in one.by_incarnation.items()} == {
        x: (v.counters, v.gauges, v.timestamp) for x, v in other.by_incarnation.items()
    }
    # And to what the updates alone say: of each key the highest.
    highest = {}
    for word in words:
        if isinstance(word, CounterWord):
            highest[word[:2]] = max(highest.get(word[:2], 0), word.value)
    for key in ("x", "y"):
        assert one.total(key) == sum(n for (_, k), n in highest.items() if k == key)


def test_an_incarnation_long_missing_is_folded_once_and_a_late_update_of_it_is_rejected():
    counters = FleetCounters(0, OWN)
    counters.increment("x", 3)
    counters.merge_counter(1, ("a", 1), "x", 5)
    counters.merge_gauges(1, ("a", 1), 1, {"e1": 4})
    assert counters.in_flight(2, TICKS_PER_SECOND).threads_by_engine == {"e1": 4}
    counters.update_membership(2, set())
    # Nothing in flight, and still counted.
    assert counters.in_flight(2, TICKS_PER_SECOND).threads_by_engine == {} and counters.total("x") == 8
    counters.update_membership(2 + FOLD_AFTER, set())
    assert ("a", 1) not in counters.by_incarnation and counters.total("x") == 8
    assert not counters.merge_counter(3 + FOLD_AFTER, ("a", 1), "x", 9) and counters.total("x") == 8
    assert counters.rejected["folded"] == 1
    counters.merge_counter(4 + FOLD_AFTER, ("a", 2), "x", 1)  # its next incarnation counts for itself
    assert counters.total("x") == 9


def test_a_late_update_is_as_old_as_it_is_whatever_clock_stamped_it():
    counters = FleetCounters(0, OWN)
    apart = 77 * TICKS_PER_SECOND  # the other's clock against this one
    counters.merge_gauges(10, ("a", 1), 5 + apart, {"e1": 1})
    assert counters.age(10, ("a", 1)) == 0
    assert counters.age(10 + TICKS_PER_SECOND, ("a", 1)) == TICKS_PER_SECOND
    counters.merge_gauges(40 * TICKS_PER_SECOND, ("a", 1), 10 * TICKS_PER_SECOND + apart, {"e1": 2})
    assert 29 * TICKS_PER_SECOND < counters.age(40 * TICKS_PER_SECOND, ("a", 1)) <= 30 * TICKS_PER_SECOND
    assert counters.in_flight(40 * TICKS_PER_SECOND, 2 * TICKS_PER_SECOND) == ({}, 0, 0, 0, 1)
    assert not counters.merge_gauges(
        41 * TICKS_PER_SECOND, ("a", 1), 9 * TICKS_PER_SECOND + apart, {"e1": 3}
    )  # older than what is known


def test_tables_are_bounded_and_what_does_not_fit_is_counted():
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
def test_a_page_fits_its_room_and_is_decoded_as_it_was(chance: Random):
    counters = FleetCounters(0, OWN)
    for n in range(60):
        incarnation = (f"n{n}", 1)
        counters.merge_gauges(
            1 << 50,
            incarnation,
            (1 << 50) - n,
            {"e" * chance.randrange(1, 65): chance.randrange(1 << 20) for _ in range(chance.randrange(12))},
        )
        key = "k" * chance.randrange(1, 120)
        counters.merge_counter(1, incarnation, key, chance.randrange(1, 1 << 40))
    for _ in range(20):
        gauges, values = [
            [(0xFFFFFFFF, *rest) for _, *rest in part] for part in counters.next_page(MAX_PAGE_OCTETS)
        ]
        payload = wire.encode(wire.GossipMessage(gauges=gauges, counters=values))
        assert len(payload) <= MAX_PAGE_OCTETS
        message = wire.decode(payload)
        assert message.gauges == gauges and message.counters == values
