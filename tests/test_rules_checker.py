"""The rule checker finds each rule that is broken by hand, and nothing in what keeps them."""

import pytest
from rules import Figures, Seen

FIGURES = dict(
    effects={"lookup": "read-only", "load": "tokened", "change": "mutating"},
    kinds={"lookup": {"old"}},
    ordered=("load",),
    budget=(1, 0.1, 5.0),
    cores={"old": 1},
    cold=(0.3, 15.0, 2.0, 3.0),
    work={"lookup": 0.1, "load": 1.0, "change": 1.0},
)


def seen():
    made = Seen(Figures(**FIGURES))
    made.listed(0.0, "e0", "ready", "old")
    return made


def query(
    made,
    id="q",
    group="lookup",
    at=10.0,
    answer="finished",
    took=0.5,
    key=None,
    engine="e0",
    hows=("finished",),
):
    made.taken(at, id, group, 5.0, key)
    now = at
    for how in hows:
        n = made.submitted(now + 0.01, id, engine)
        now += took / len(hows)
        if how != "silent":
            made.ended(now, n, how)
    made.answered(now + 0.01, id, answer)


def test_what_keeps_the_rules_is_no_breach():
    made = seen()
    query(made)
    query(made, "again", hows=("turned-away", "finished"), at=11.0)
    query(made, "one", "load", 12.0, key=7)
    query(made, "two", "load", 13.0, key=7)
    query(made, "three", "change", 14.0, hows=("turned-away", "finished"))
    query(made, "four", "change", 15.0, "killed", hows=("reset",))
    found, counts = made.breaches()
    assert not found and all(counts[rule] for rule in (1, 2, 3, 5, 6, 7))


def broken_1_twice(made):
    query(made)
    made.answered(10.7, "q", "killed")


def broken_1_never(made):
    made.taken(10.0, "q", "lookup", 5.0)


def broken_1_late(made):
    made.taken(10.0, "q", "lookup", 5.0)
    made.answered(15.6, "q", "deferred")


def broken_1_sent_after(made):
    query(made)
    made.submitted(12.0, "q", "e0")


def broken_1_invented(made):
    query(made, hows=("error",))


def broken_2_again(made):
    query(made, group="change", hows=("reset", "finished"))


def broken_2_deferred(made):
    query(made, group="change", hows=("reset",), answer="deferred")


def broken_2_window(made):
    made.taken(10.0, "q", "load", 60.0)
    made.ended(11.0, made.submitted(10.1, "q", "e0"), "reset")
    made.ended(31.0, made.submitted(30.0, "q", "e0"), "finished")
    made.answered(31.1, "q", "finished")


def broken_3(made):
    made.listed(1.0, "e0", "draining", "old")
    query(made)


def broken_4(made):
    made.listed(9.0, "e1", "ready", "old", started=9.0)
    for n in range(80):
        query(made, f"q{n}", at=10.0 + n / 100, engine="e1")


def broken_5(made):
    query(made, "one", "load", 10.0, key=7, took=4.0)
    query(made, "two", "load", 11.0, key=7)


def broken_5_rest(made):
    query(made, "one", "load", 10.0, "killed", key=7, hows=("reset",), took=1.0)
    made.figures.rest = 1.0
    query(made, "two", "load", 11.1, key=7)


def broken_6(made):
    made.listed(0.0, "e9", "ready", "new")
    query(made, engine="e9")


def broken_7(made):
    for n in range(5):
        query(made, f"q{n}", at=10.0 + n / 10, hows=("turned-away", "finished"))


def broken_8(made):
    made.taken(10.0, "q", "lookup", 5.0)
    first = made.submitted(10.1, "q", "e0")
    made.ended(10.9, made.submitted(10.2, "q", "e0"), "finished")
    made.ended(12.0, first, "finished")
    made.answered(11.0, "q", "finished")


@pytest.mark.parametrize(
    "rule, broken",
    [
        (1, broken_1_twice),
        (1, broken_1_never),
        (1, broken_1_late),
        (1, broken_1_sent_after),
        (1, broken_1_invented),
        (2, broken_2_again),
        (2, broken_2_deferred),
        (2, broken_2_window),
        (3, broken_3),
        (4, broken_4),
        (5, broken_5),
        (5, broken_5_rest),
        (6, broken_6),
        (7, broken_7),
        (8, broken_8),
    ],
)
def test_each_rule_broken_by_hand_is_caught(rule, broken):
    made = seen()
    broken(made)
    assert rule in {number for number, _ in made.breaches()[0]}


@pytest.mark.parametrize("later, broken", [(0.01, False), (0.5, True)])
def test_an_end_that_crosses_a_cancel_breaks_nothing_and_one_that_was_known_does(later, broken):
    seen = Seen(Figures({0: "read-only"}, slack=0.06))
    seen.listed(0.0, "e1", "ready", 0)
    seen.taken(0.0, "q", 0, 5.0)
    seen.ended(1.0, seen.submitted(0.1, "q", "e1"), "finished")
    seen.ended(2.0, seen.submitted(1.0 + later, "q", "e1"), "finished")
    seen.answered(2.0, "q", "finished")
    assert [rule for rule, _ in seen.breaches()[0]] == [8] * broken
    seen.given_up(1.0, 0)  # it had been given up as it ended
    assert seen.breaches()[0] == []


def test_who_was_drained_by_hand_may_be_let_in_again_and_ready_alone_ends_no_drain():
    seen = Seen(Figures({"lookup": "read-only"}))
    for n in range(5):
        seen.taken(0.0, n, "lookup", 60.0)
        seen.listed(0.0, f"e{n}", "ready", "old")
        seen.listed(1.0, f"e{n}", "draining", "old")
    seen.listed(5.0, "e1", "back", "old")
    seen.listed(5.0, "e2", "ready", "old")
    seen.listed(5.0, "e3", "back", "old")
    seen.listed(7.0, "e3", "gone", "old")
    for n, at in ((0, 2.0), (1, 9.0), (2, 9.0), (3, 12.0), (4, 4.0)):
        seen.ended(at + 0.1, seen.submitted(at, n, f"e{n}"), "finished")
        seen.answered(at + 0.1, n, "finished")
    found, _ = seen.breaches()
    assert sorted(text.split()[0] for rule, text in found if rule == 3) == ["2", "3", "4"]
