"""Opinions on engines: more than one is believed, none for long; what the decision module makes of them."""

import pytest
from bench_free import Gateways, group, site
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.events import Budget, EngineJudged, LeaseChanged, TenantsCharged
from wickvane.quotas import wire
from wickvane.quotas.charges import ASKED, TOLD_MOST, Charges
from wickvane.quotas.opinions import (
    FADES,
    FAILING,
    FIGURE_MOST,
    GOOD,
    LASTS,
    MOST_DOUBTED,
    QUORUM,
    SLOW_LEAST,
    SPEAKERS,
    Evidence,
    Opinions,
    merge,
)
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.shared import ALL, Shared
from wickvane.units import TICKS_PER_SECOND

ENGINES = [f"e{n}" for n in range(8)]


def rows(bad=(), slow=(), tried=ENGINES):
    return [(e, 20, 20 if e in bad else 0, 40 if e in slow else 10) for e in tried]


def said(*words):
    return {f"n{n}": (word, 100) for n, word in enumerate(words)}


def test_one_voice_sets_nothing_aside_several_do_and_never_more_than_a_quarter():
    few = rows(tried=["e2", "e3"])
    for told in ([rows(["e1"])] + [few] * 9, [rows(["e1"])] * 2 + [few] * 9):
        assert merge(said(*told), ENGINES)[0] == {}
    found, _, spared = merge(said(*[rows(["e1"])] * 3, few), ENGINES)
    assert found == {"e1": (True, 0.0, 100)} and spared == []
    many = rows(["e1", "e2", "e3"])
    found, _, spared = merge(said(many, many, many), ENGINES)
    assert sorted(found) == ["e1", "e2"] and spared == ["e3"]
    assert merge(said(*[rows(["e0"])] * 4), ["e0"])[0] == {}  # nowhere else to go


def test_an_engine_that_only_a_few_cannot_reach_stays():
    assert merge(said(*[rows(["e1"])] * 3, rows(), rows(), rows()), ENGINES)[0] == {}


def test_who_finds_most_engines_failing_judges_its_own_way():
    astray = rows(ENGINES[:6])
    assert merge(said(astray, astray, astray), ENGINES)[0] == {}


def test_slowness_is_against_the_usual_engine_and_a_slow_pool_is_told_as_such():
    found, pool, _ = merge(said(*[rows(slow=["e3"])] * 3), ENGINES)
    assert found == {"e3": (False, 4.0, 100)} and pool == 1.0
    strained = [(e, 20, 0, 40) for e in ENGINES]
    found, pool, _ = merge(said(strained, strained, strained), ENGINES)
    assert found == {} and pool == 4.0
    # One that lies about slowness, or strains itself, moves no median.
    assert merge(said(rows(slow=["e3"]), rows(), rows()), ENGINES)[0] == {}


def test_evidence_fades_and_good_news_weighs_as_bad():
    mine = Evidence()
    for n in range(10):
        mine.met(n * 100, "e1", 0, 2.0)
        mine.met(n * 100, "e2", 1, None)
    told = {row[0]: row[1:] for row in mine.told(1000)}
    assert told["e2"][1] == told["e2"][0] and told["e1"][1] == 0
    assert 17 <= told["e1"][2] <= 20
    mine.met(1000 + FADES, "e2", 0, 1.0)  # good news weighs at once when the bad is old
    told = {row[0]: row[1:] for row in mine.told(1000 + FADES)}
    assert told["e2"][1] <= GOOD * told["e2"][0]
    assert mine.told(1000 + 3 * FADES) == [] and mine.of == {}


def test_tables_are_bounded():
    mine, all_said = Evidence(most=4), Opinions(most=3)
    for n in range(9):
        mine.met(1, f"e{n}", 1, 1e9)
        all_said.says((f"n{n}", 1), 1, rows())
    assert len(mine.of) == 4 and len(all_said.said) == 3
    assert all(max(row[1:]) <= FIGURE_MOST for row in mine.told(2))
    for _ in range(9):
        page, room = all_said.page(300)
        data = wire.seal(opinions=[(1 << 31, t + (1 << 60), rows) for _, t, rows in page])
        assert len(data) <= 300 - room + 16
    assert all_said.page(300)[0] == []  # sent on often enough


def test_an_opinion_is_its_lifes_latest_and_not_an_old_one():
    held = Opinions()
    assert held.says(("a", 1), 10, rows(["e1"])) and not held.says(("a", 1), 9, rows())
    held.says(("a", 2), 20, rows(["e2"]))
    ages = {("a", 1): 300, ("a", 2): 50}
    assert held.heard(lambda life, t: ages[life]) == {"a": (rows(["e2"]), 50)}
    assert held.heard(lambda life, t: LASTS + 1) == {}
    assert held.heard(lambda life, t: None) == {}
    held.over({("a", 2)})
    assert list(held.said) == [("a", 2)]


def plain(words, engines):
    """The same by the words of the module's description alone, one engine after the other."""
    found, spare = {}, []
    for engine in engines:
        bad = good = 0
        slows = []
        for told, _ in words.values():
            of = {row[0]: row[1:] for row in told}
            failing = [e for e, (tried, failed, _) in of.items() if failed >= FAILING * tried]
            middle = sorted(slow for e, (tried, failed, slow) in of.items() if e not in failing)
            if engine not in of or of[engine][0] == 0:
                continue
            tried, failed, slow = of[engine]
            if engine in failing:
                bad += not (len(of) > 1 and len(failing) * 2 > len(of))
                continue
            good += failed <= GOOD * tried
            if len(middle) >= 2:
                half = len(middle) // 2
                usual = middle[half] if len(middle) % 2 else (middle[half - 1] + middle[half]) / 2
                slows += [slow / usual] if usual else []
        if bad >= QUORUM and bad > good:
            spare.append((good - bad, engine))
        slows.sort()
        half = len(slows) // 2
        if len(slows) >= SPEAKERS:
            slow = slows[half] if len(slows) % 2 else (slows[half - 1] + slows[half]) / 2
            if slow >= SLOW_LEAST:
                found[engine] = slow
    spare.sort()
    most = max(1, len(engines) // MOST_DOUBTED) if len(engines) > 1 else 0
    return {e for _, e in spare[:most]}, found


figures = st.tuples(st.integers(0, 30), st.integers(0, 30), st.integers(0, 60))
words = st.dictionaries(st.sampled_from(ENGINES[:5]), figures, max_size=5).map(
    lambda found: [(e, tried, min(tried, failed), slow) for e, (tried, failed, slow) in found.items()]
)


@settings(max_examples=300, deadline=None)
@given(st.lists(words, max_size=10))
def test_a_merge_is_what_a_plain_one_finds(told):
    found, _, _ = merge(said(*told), ENGINES[:5])
    doubted, slow = plain(said(*told), ENGINES[:5])
    assert {e for e, (bad, _, _) in found.items() if bad} == doubted
    assert {e: s for e, (_, s, _) in found.items() if s} == pytest.approx(slow)


@settings(max_examples=200, deadline=None)
@given(st.lists(words, min_size=1, max_size=10), words)
def test_no_single_dispatcher_sets_aside_what_nobody_else_doubts(told, lie):
    before = {e for e, (bad, _, _) in merge(said(*told), ENGINES[:5])[0].items() if bad}
    others = {e for word in told for e, tried, failed, _ in word if tried and failed >= FAILING * tried}
    after = {e for e, (bad, _, _) in merge(said(*told, lie), ENGINES[:5])[0].items() if bad}
    assert after - before <= others


def test_work_of_tenants_is_charged_once_whatever_order_it_is_heard_in():
    one = Charges()
    one.hears(("a", 1), 10, [("t", 500)])
    assert one.take(0) == {}  # nobody knows how much of it is new
    one.hears(("a", 1), 30, [("t", 800)])
    one.hears(("a", 1), 20, [("t", 600)])
    one.hears(("a", 1), 30, [("t", 800)])
    one.hears(("a", 1), 40, [("u", 50)])
    one.hears(("a", 1), 50, [("t", 900), ("u", 60)])
    assert one.take(0) == {"t": 400, "u": 10} and one.take(0) == {}
    one.over(set())
    assert one.works == {} and one.page(300)[0] == []


def test_the_tenants_that_got_most_lately_are_told():
    one, works = Charges(), {f"t{n:02}": 100 * n for n in range(20)}
    one.tells(("me", 1), 1, works, 5)
    one.tells(("me", 1), 2, works | {"t00": 50, "t03": 301}, 9)
    ((_, _, rows),) = one.page(300)[0]
    assert len(rows) == 1 + TOLD_MOST and rows[:3] == [(ASKED, 9), ("t00", 50), ("t03", 301)]


def test_a_dispatchers_traffic_is_weighed_against_the_mean_over_seconds():
    one = Charges()
    assert one.weight() == 1.0
    for n in range(60):
        one.hears(("a", 1), n, [(ASKED, 100 * n)])
        one.hears(("b", 1), n, [(ASKED, 0)])
        assert one.take(200 * n) == {}
    assert one.weight() == pytest.approx(2.0, abs=0.05)
    one.hears(("a", 1), 70, [(ASKED, 6_500)])
    one.take(200 * 60)
    assert one.weight() > 1.0  # one look is no change of traffic


# The decision module


def test_what_several_doubt_gets_nothing_until_word_is_old_or_it_was_met_here():
    g = Gateways(site([group()]), in_fleet=True)
    g.engines(3)
    first = g.scheduler.placement.order_of(1)[0]
    g.now += TICKS_PER_SECOND
    g.round(EngineJudged(first, True, 0.0, 100))
    assert g.out[g.take()] != first
    g.now += TICKS_PER_SECOND + 1
    assert any(g.out[g.take()] == first for _ in range(3))
    g.end(next(q for q, e in g.out.items() if e == first))
    g.round(EngineJudged(first, True, 0.0, 100))  # older than the answer that came here
    assert any(g.out[g.take()] == first for _ in range(3))


def test_what_is_lent_is_used_until_its_end_and_what_a_round_after_it_decides_goes_by_its_own():
    """Also one that stood still past the end, and hears of nothing else first."""
    g = Gateways(
        site([group()], dispatcher_count=4, slow_start_duration=9_000_000, collapse_window=20_000),
        in_fleet=True,
    )
    g.engine(0, started=g.now - 10)
    g.round(LeaseChanged(Budget.SLOW_START, 3.0, g.now + 5_000, 1.0))
    cost = int(
        g.scheduler.slow_start.budget_per_core * 8 * 0.3 / 2
    )  # two of its own part, six of what it has

    def sent():
        for q in [g.take(cost=cost) for _ in range(9)]:
            if q in g.out:
                g.end(q, work=cost, elapsed=10)
        return sum(len(found) for found in g.sent.values())

    assert sent() == 6
    g.now += 20_001  # past its end and the window
    assert sent() - 6 == 2
    g.round(LeaseChanged(Budget.SLOW_START, 0.0, 1 << 62, 0.0))
    g.now += 20_001
    assert sent() - 8 == 0


def test_a_tenant_that_others_serve_more_waits_behind_one_that_they_do_not():
    """Bounded, and only while both wait."""
    g = Gateways(site([group()], tenants=2), in_fleet=True)  # no engine: all wait
    for _ in range(12):
        g.take(tenant=0, cost=1000), g.take(tenant=1, cost=1000)
    before = list(g.scheduler.fair_queue.deficits)
    g.round(TenantsCharged([50_000, 10_000]))
    fall = [b - a for a, b in zip(g.scheduler.fair_queue.deficits, before, strict=True)]
    assert fall[1] == 0 < fall[0] and g.scheduler.fair_queue.deficits[
        0
    ] >= -4.0 * g.scheduler.fair_queue.quantum(0)


# Fleets in virtual time

DAY = """rehearsal {
    length "20s"
    gateways 12
    engines "e" count=8 cores=4 disks=4
    group "lookup" { work "100ms"; promise "600ms"; timeout "2s" }
    clients "a" { group "lookup"; rate 270; until "16s" }
    budget free=3 share=0.1 window="5s"
}"""


def doubts(world, at):
    """What each member doubts at a time, to be read after the run."""
    found = {}
    world.at(
        at,
        lambda: found.update(
            {m.number: {e for e, (bad, _, _) in m.spread.judged[0].items() if bad} for m in world.members}
        ),
    )
    return found


@pytest.mark.parametrize("seed", range(2))
def test_a_liar_and_two_that_cannot_reach_an_engine_set_it_aside_for_nobody(seed):
    world = Shared(scripts.read_text(DAY), seed, liars=[3], blocked=[(5, "e2"), (6, "e2")])
    found = [doubts(world, at * TICKS_PER_SECOND) for at in (4, 8, 12)]
    assert not world.play().breaches
    assert all(held == set() for look in found for held in look.values())


@pytest.mark.parametrize("seed", range(2))
def test_an_engine_that_nobody_reaches_is_tried_less_by_all_and_taken_back_when_it_answers(seed):
    tried = {}
    for heeds in (ALL, ALL - {"opinions"}):
        world = Shared(
            scripts.read_text(DAY), seed, keep_log=True, heeds=heeds, blocked=[(n, "e2") for n in range(12)]
        )
        bad, good = (
            [doubts(world, at * TICKS_PER_SECOND // 2) for at in range(4, 14)],
            doubts(world, 15 * TICKS_PER_SECOND),
        )
        world.at(7 * TICKS_PER_SECOND, lambda world=world: setattr(world, "blocked", frozenset()))
        assert not world.play().breaches
        tried[heeds] = sum(
            events == "submitted" and fields["engine"] == "e2" and at < 7 * TICKS_PER_SECOND
            for at, events, fields in world.lines
        )
        # All come to the same opinion, and to none but that.
        assert max(sum(held == {"e2"} for held in look.values()) for look in bad) == 12
        assert all(held <= {"e2"} for look in bad for held in look.values()) and not any(good.values())
    # Refused connections are soon met by each itself; what is silent costs more, by benchmarks.shares.
    assert tried[ALL] < 0.9 * tried[ALL - {"opinions"}]
