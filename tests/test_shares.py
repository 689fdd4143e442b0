"""Counts that dispatchers share: merged in any order with the same result, of known age, bounded; what the
decision module makes of them; whole fleets in virtual time."""

from random import Random

import pytest
from bench_free import Gateways, group, site
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.events import InFlightElsewhere, TimerFired
from wickvane.quotas import wire
from wickvane.quotas.counts import FOLD_AFTER, Counts
from wickvane.quotas.spread import ROOM
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.shared import Shared
from wickvane.units import TICKS_PER_SECOND

ME = ("me", 1)
LIVES = [("a", 1), ("a", 2), ("b", 1)]
sums = st.tuples(st.just("sum"), st.sampled_from(LIVES), st.sampled_from(["x", "y"]), st.integers(1, 20))
levels = st.tuples(
    st.just("levels"),
    st.sampled_from(LIVES),
    st.integers(0, 50),
    st.dictionaries(st.sampled_from(["e1", "e2"]), st.integers(0, 5)),
)


def hear(counts, now, word):
    if word[0] == "sum":
        counts.sum(now, word[1], word[2], word[3])
    else:
        # One stamp has one content: a life says each once.
        counts.levels(
            now,
            word[1],
            word[2],
            {e: (n + word[2]) % 6 for e, n in dict.fromkeys(("e1", "e2"), len(word[1][0])).items()},
        )


@settings(max_examples=300, deadline=None)
@given(st.lists(sums | levels, max_size=30), st.randoms(use_true_random=False))
def test_words_in_any_order_and_any_number_of_times_come_to_the_same(said, chance):
    one, other = Counts(0, ME), Counts(0, ME)
    again = said + chance.choices(said, k=len(said)) if said else []
    chance.shuffle(again)
    for counts, order in ((one, said), (other, again)):
        for word in order:
            hear(counts, 100, word)
    assert one.totals() == other.totals()
    assert {x: (v.sums, v.levels, v.t) for x, v in one.lives.items()} == {
        x: (v.sums, v.levels, v.t) for x, v in other.lives.items()
    }
    # And to what the words alone say: of each key the highest.
    highest = {}
    for word in said:
        if word[0] == "sum":
            highest[word[1:3]] = max(highest.get(word[1:3], 0), word[3])
    for key in ("x", "y"):
        assert one.total(key) == sum(n for (_, k), n in highest.items() if k == key)


def test_a_life_long_gone_is_folded_once_and_not_counted_again_when_it_comes_late():
    counts = Counts(0, ME)
    counts.count("x", 3)
    counts.sum(1, ("a", 1), "x", 5)
    counts.levels(1, ("a", 1), 1, {"e1": 4})
    assert counts.held(2, TICKS_PER_SECOND)[0] == {"e1": 4}
    counts.over(2, set())
    assert (
        counts.held(2, TICKS_PER_SECOND)[0] == {} and counts.total("x") == 8
    )  # nothing at work, and still counted
    counts.over(2 + FOLD_AFTER, set())
    assert ("a", 1) not in counts.lives and counts.total("x") == 8
    assert not counts.sum(3 + FOLD_AFTER, ("a", 1), "x", 9) and counts.total("x") == 8
    assert counts.refused["folded"] == 1
    counts.sum(4 + FOLD_AFTER, ("a", 2), "x", 1)  # its next life counts for itself
    assert counts.total("x") == 9


def test_a_word_that_comes_late_is_as_old_as_it_is_whatever_clock_stamped_it():
    counts = Counts(0, ME)
    apart = 77 * TICKS_PER_SECOND  # the other's clock against this one
    counts.levels(10, ("a", 1), 5 + apart, {"e1": 1})
    assert counts.age(10, ("a", 1)) == 0 and counts.age(10 + TICKS_PER_SECOND, ("a", 1)) == TICKS_PER_SECOND
    counts.levels(40 * TICKS_PER_SECOND, ("a", 1), 10 * TICKS_PER_SECOND + apart, {"e1": 2})
    assert 29 * TICKS_PER_SECOND < counts.age(40 * TICKS_PER_SECOND, ("a", 1)) <= 30 * TICKS_PER_SECOND
    assert counts.held(40 * TICKS_PER_SECOND, 2 * TICKS_PER_SECOND) == ({}, 0, 0, 0, 1)
    assert not counts.levels(
        41 * TICKS_PER_SECOND, ("a", 1), 9 * TICKS_PER_SECOND + apart, {"e1": 3}
    )  # older than what is known


def test_tables_are_bounded_and_what_does_not_fit_is_counted():
    counts = Counts(0, ME, most=3, keys=2)
    for n in range(5):
        counts.sum(1, (f"p{n}", 1), "x", 1)
        counts.sum(1, ("p0", 1), f"k{n}", 1)
        counts.count(f"k{n}")
    assert len(counts.lives) == 3 and max(len(life.sums) for life in counts.lives.values()) == 2
    assert counts.refused["full"] == 3 + 4 + 3


@settings(max_examples=100, deadline=None)
@given(st.randoms(use_true_random=False))
def test_a_page_fits_its_room_and_is_read_as_it_was(chance):
    counts = Counts(0, ME)
    for n in range(60):
        life = (f"n{n}", 1)
        counts.levels(
            1 << 50,
            life,
            (1 << 50) - n,
            {"e" * chance.randrange(1, 65): chance.randrange(1 << 20) for _ in range(chance.randrange(12))},
        )
        counts.sum(1, life, "k" * chance.randrange(1, 120), chance.randrange(1, 1 << 40))
    for _ in range(20):
        levels, sums = [[(0xFFFFFFFF, *rest) for _, *rest in part] for part in counts.page(ROOM)]
        payload = wire.seal(levels=levels, sums=sums)
        assert len(payload) <= ROOM
        read = wire.unseal(payload)
        assert read.levels == levels and read.sums == sums


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_hostile_octets_are_nothing(data):
    found = wire.unseal(data)
    assert found is None or wire.ENCODER.encode(found)


# The decision module


def day(seed, told, in_fleet=True):
    """All decisions of one gateway over a generated day; told: events that come each 50 ms besides."""
    chance, g = Random(seed), Gateways(site([group(), group(threads=2)]), seed, in_fleet)
    g.engines(6)
    said = []
    for step in range(400):
        g.now += 500
        g.round(*told)
        if chance.random() < 0.8:
            g.take(
                resource_group=chance.randrange(2),
                cost=chance.choice([500, 1000, 4000]),
                table_group=chance.randrange(9),
            )
        for q in sorted(g.out):
            if chance.random() < 0.3:
                g.end(q, work=1200)
        g.let_pass(g.now)
        said.append((sorted(g.out.items()), dict(g.final), step))
    return said


@pytest.mark.parametrize("seed", range(4))
def test_with_nothing_heard_or_only_what_is_old_every_decision_is_as_without(seed):
    old = [InFlightElsewhere(e, 40 * (e % 2), 60 * TICKS_PER_SECOND) for e in range(6)]
    fresh = [InFlightElsewhere(e, 40 * (e % 2), 10) for e in range(6)]
    assert day(seed, [TimerFired(1)], in_fleet=False) == day(seed, old) != day(seed, fresh)


def test_an_engine_that_others_crowd_gets_the_next_query_last():
    g = Gateways(site([group()], dispatcher_count=30), in_fleet=True)
    g.engines(3)
    first = g.scheduler.placement.order_of(0)[0]
    g.end(g.take(cost=1000), work=1000)
    g.round(*[InFlightElsewhere(e, 24 if e == first else 0, 10) for e in range(3)])
    q = g.take(cost=1000)
    assert g.out[q] != first


# Fleets in virtual time

DAY = """rehearsal {
    length "12s"
    gateways 12
    engines "e" count=6 cores=4 disks=4
    group "lookup" { work "100ms"; promise "600ms"; timeout "2s" }
    clients "a" { group "lookup"; rate 140; until "8s" }
    budget free=3 share=0.1 window="5s"
}"""


@pytest.mark.parametrize("seed", range(3))
def test_what_is_held_is_what_engines_hold_and_no_older_than_told(seed):
    world = Shared(scripts.read_text(DAY), seed, loss=0.1)
    looks = []

    def look():
        for member in world.members:
            held, mean, oldest, counted, out = member.spread.counts.held(world.now, 2 * TICKS_PER_SECOND)
            looks.append((mean, oldest, counted, sum(held.values())))
        true.append(sum(host.scheduler.limits.threads_in_flight for host in world.hosts))
        world.at(world.now + TICKS_PER_SECOND // 4, look)

    true = []
    world.at(2 * TICKS_PER_SECOND, look)
    world.play()
    half = [row for row in looks if row[2] == 11]
    assert len(half) > 0.9 * len(looks)
    means = sorted(row[0] for row in half)
    assert means[len(means) // 2] < 2_500  # a quarter of a second, by pages of 100 ms
    assert abs(sum(row[3] for row in looks) / len(looks) / (sum(true) / len(true)) - 11 / 12) < 0.15


@pytest.mark.parametrize("seed", range(3))
def test_sums_are_exact_in_the_end_through_loss_and_a_cut(seed):
    world = Shared(scripts.read_text(DAY), seed, loss=0.2)
    asked = [0] * 12
    for member in world.members:
        plain = member.host.take

        def take(query, member=member, plain=plain):
            asked[member.number] += 1
            member.sums["taken"] = member.sums.get("taken", 0) + 1
            plain(query)

        member.host.take = take
    world.at(2 * TICKS_PER_SECOND, lambda: setattr(world, "cut", lambda a, b: (a < 5) != (b < 5)))
    world.at(8 * TICKS_PER_SECOND, lambda: setattr(world, "cut", None))
    outcome = world.play()
    assert not outcome.breaches and sum(asked) > 500
    assert {member.spread.counts.total("taken") for member in world.members} == {sum(asked)}
