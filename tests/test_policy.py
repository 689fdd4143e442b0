"""Policies by the agreed log: the same at all, no number twice, half-made changes taken over; the vote."""

import json
import os
import subprocess
import sys
from random import Random

import pytest
from bench_free import SETTINGS as LINES
from bench_free import group, site
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rehearsal import ROOT

from wickvane import parts
from wickvane.config_log import course as steps
from wickvane.config_log import document
from wickvane.config_log.agreement import ABANDON, NOTHING, POLICY, START, VOTERS, Entry, Voter
from wickvane.config_log.course import Change, Course, digest_of
from wickvane.config_log.store import Store
from wickvane.scheduling.scheduler import Scheduler


def stated(number, text="x"):
    return Entry(1, POLICY, (number, digest_of(text), text, "me", "why"))


def of(*entries):
    made = Course("first")
    for place, entry in enumerate(entries, 1):
        made.apply(place, entry)
    return made


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just(POLICY), st.integers(0, 4), st.sampled_from("ab")),
            st.tuples(st.just(START), st.integers(0, 4), st.none()),
            st.tuples(st.just(ABANDON), st.integers(0, 4), st.none()),
            st.tuples(st.just(NOTHING), st.none(), st.none()),
        ),
        max_size=30,
    )
)
def test_a_number_has_one_content_for_good_and_never_acts_again(words):
    entries = [
        stated(n, text) if kind == POLICY else Entry(1, kind, (n, "why") if kind == ABANDON else n)
        for kind, n, text in words
    ]
    made, contents, worked = Course("first"), {0: digest_of("first")}, [0]
    for place, entry in enumerate(entries, 1):
        made.apply(place, entry)
        assert not made.apply(place, entry)  # told twice
        for number, found in made.history.items():
            assert contents.setdefault(number, found.digest) == found.digest
        if made.at_work != worked[-1]:
            worked.append(made.at_work)
        assert made.follows is None or made.follows == made.last > made.at_work
    assert worked == sorted(set(worked))
    assert vars(of(*entries)) == vars(made)


class One:
    """A voter whose majority is itself, or never."""

    def __init__(self, agrees=True):
        self.agrees = agrees

    def majority(self, marks):
        return self.agrees and bool(marks)


def test_a_change_is_checked_agreed_closed_and_opened():
    course, change = of(), Change(0, 1, "x", "me", "why", ["a", "b"])
    change.checked(1, "a", None)
    assert change.due(1, One(), course) is None and change.down() == ["b"]
    kind, what = change.due(steps.CHECK_FOR, One(), course)  # who is down does not hold it up
    assert kind == POLICY and course.apply(1, Entry(1, kind, what)) and course.lending() == (0, 1)
    assert change.due(steps.CHECK_FOR, One(), course) is None and change.step == steps.CLOSING
    change.is_closed("m", 7)
    assert change.due(steps.CHECK_FOR, One(), course) is None
    change.is_closed("m", 1)
    assert change.due(steps.CHECK_FOR, One(), course) == (START, 1) and not change.abort(0, "late")
    course.apply(2, Entry(1, START, 1))
    change.due(steps.CHECK_FOR, One(), course)
    assert change.step == steps.DONE and course.lending() == (1, None)
    assert course.history[0].ended == "followed by 1"


def test_any_that_cannot_ends_it_by_name_and_reason_and_nothing_stands_in_the_log():
    change = Change(0, 1, "x", "me", "why", ["a", "b"])
    change.checked(1, "b", "no group loads here")
    change.checked(1, "z", "never asked")
    assert change.due(1, One(), of()) is None
    assert change.step == steps.REFUSED and change.reason == "b: no group loads here"


def test_of_two_proposed_at_once_one_is_agreed_on():
    course = of(stated(1, "other"))
    change = Change(0, 1, "x", "me", "why", [])
    assert change.due(0, One(), course) is None and change.step == steps.REFUSED
    late = Change(0, 1, "x", "me", "why", [])
    late.due(0, One(), of())
    late.due(1, One(), of(stated(1, "other"), Entry(1, START, 1)))
    assert late.step == steps.REFUSED


@pytest.mark.parametrize("closes", [True, False])
def test_whoever_leads_next_finishes_it_or_abandons_it(closes):
    assert Change.taken_over(5, of()) is None
    course = of(stated(1))
    change = Change.taken_over(5, course)
    assert change.step == steps.CLOSING and change.due(6, One(), course) is None
    if closes:
        change.is_closed("m", 1)
        assert change.due(7, One(), course) == (START, 1)
    else:
        kind, what = change.due(5 + steps.CLOSE_MOST, One(False), course)
        assert kind == ABANDON and what[0] == 1
        course.apply(2, Entry(1, kind, what))
        change.due(5 + steps.CLOSE_MOST, One(False), course)
        assert change.step == steps.ABANDONED and course.lending() == (0, None) and course.last == 1


def test_by_hand_it_is_abandoned_until_it_opens():
    course, change = of(stated(1)), Change.taken_over(0, of(stated(1)))
    assert change.abort(1, "by hand") and change.due(1, One(), course) == (ABANDON, (1, "by hand"))
    early = Change(0, 1, "x", "me", "why", ["a"])
    assert early.abort(1, "by hand") and early.step == steps.REFUSED


# The file


LOG = (Entry(1, NOTHING), stated(1, "group { }\n"), Entry(2, VOTERS, ("a/1", "b/2")), Entry(2, START, 1))


def test_what_is_saved_is_read_back_as_it_was(tmp_path):
    first = Store(tmp_path, "n1")
    assert first.fresh and first.mark.startswith("n1/")
    first.save((3, "n2/ff", LOG))
    again = Store(tmp_path, "n1")
    assert not again.fresh and again.mark == first.mark and again.record == (3, "n2/ff", LOG)
    voter = Voter(0, again.mark, ["a"], Random(1), again.record)
    assert voter.voters() == ("a/1", "b/2") and voter.last() == (2, 4)


def test_a_file_cut_or_spoilt_at_any_octet_is_no_vote_and_makes_a_new_mark(tmp_path):
    first = Store(tmp_path, "n1")
    first.save((3, "n2/ff", LOG))
    path = os.path.join(tmp_path, "vote")
    with open(path, "rb") as file:
        whole = file.read()
    for at in range(len(whole)):
        for data in (whole[:at], whole[:at] + bytes((whole[at] ^ 1,)) + whole[at + 1 :]):
            with open(path, "wb") as file:
                file.write(data)
            found = Store(tmp_path, "n1")
            assert found.fresh and found.lost and found.mark != first.mark and found.record == (0, None, ())


def test_a_disk_that_refuses_leaves_what_was_there_and_a_half_written_one_is_not_read(tmp_path, monkeypatch):
    first = Store(tmp_path, "n1")
    first.save((3, "n2/ff", LOG))

    def refuses(*words):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", refuses)
    with pytest.raises(OSError, match="No space"):
        first.save((4, None, ()))
    monkeypatch.undo()
    assert os.path.exists(os.path.join(tmp_path, "vote.new"))
    assert Store(tmp_path, "n1").record == (3, "n2/ff", LOG)


# The document


GROUPS, TENANTS = ("lookup", "load"), ("acme", "beta")
SETTINGS = site([group(), group(priority_weight=5.0)], tenants=2, retry_budget_window=50_000)


def read(text):
    return document.read(text, GROUPS, TENANTS, SETTINGS)


def test_what_a_document_names_is_changed_and_the_rest_stays():
    found = read("""policy {
        group "lookup" { target "500ms"; timeout "5s"; value 2.0 }
        tenant "acme" share=0.25
        further free=2 share=0.05
        cold multiple=2.0
    }""")
    made = document.applied(found, SETTINGS, GROUPS, TENANTS)
    assert document.differences(SETTINGS, made, GROUPS, TENANTS) == [
        ("group lookup target", 15_000, 5_000),
        ("group lookup timeout", 75_000, 50_000),
        ("group lookup value", 1.0, 2.0),
        ("tenant acme share", 0.5, 0.25),
        ("further free", 3.0, 2.0),
        ("further share", 0.1, 0.05),
        ("cold multiple", 2.5, 2.0),
    ]
    assert document.applied(read("policy"), SETTINGS, GROUPS, TENANTS) == SETTINGS
    Scheduler(1, made)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('policy { group "lookup" { timeout "9s" } }', "settings' 7500ms (rule 1)"),
        ('policy { group "lookup" { target "6s"; timeout "5s" } }', "a target within the timeout"),
        ('policy { group "other" { value 1.0 } }', "a resource group of the settings: lookup, load"),
        ('policy { group "lookup" { effect "read-only" } }', "expected late, target, timeout, value"),
        ('policy { group "lookup"; group "lookup" }', "each by one node"),
        ('policy { tenant "acme" }', "a property share"),
        ('policy { tenant "acme" share=0.6; tenant "beta" share=0.6 }', "shares of at most 1 together"),
        ("policy { further free=4 }", "settings' 3 (rule 7)"),
        ("policy { further share=0.2 }", "settings' 0.1 (rule 7)"),
        ("policy { cold multiple=3.0 }", "settings' 2.5 (rule 4)"),
        ("policy { key-rest 0 }", "key-rest: expected cold, further, group, tenant"),
        ("policy 3", "no value of its own"),
        ("other", "one node policy"),
        ("policy {", "no KDL 2"),
        ("/" * 65_537, "longer than 65536"),
    ],
)
def test_a_document_that_cannot_be_used_says_what_was_expected(text, words):
    with pytest.raises(parts.Unusable) as error:
        read(text)
    assert words in str(error.value)


def test_who_does_not_know_which_is_at_work_goes_by_the_stricter_on_every_bound():
    one = document.applied(
        read('policy { group "load" { value 9.0; timeout "5s" }; further free=1 }'), SETTINGS, GROUPS, TENANTS
    )
    other = document.applied(
        read('policy { group "load" { timeout "6s" }; cold multiple=1.5 }'), SETTINGS, GROUPS, TENANTS
    )
    found = document.least(one, other)
    assert found == document.least(other, one)
    assert (found.groups[1].priority_weight, found.groups[1].timeout) == (5.0, 50_000)
    assert (found.retry_budget_minimum, found.collapse_multiple) == (1.0, 1.5)


def test_the_command_tells_what_would_change_and_what_cannot_be_taken(tmp_path):
    def check(text, *more):
        (tmp_path / "policy.kdl").write_text(text)
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "wickvane",
                "policy",
                "check",
                *more,
                f"--config={tmp_path / 'config.json'}",
                str(tmp_path / "policy.kdl"),
            ],
            capture_output=True,
            text=True,
            cwd=ROOT,
        )

    (tmp_path / "config.json").write_text(json.dumps({"settings": LINES}))
    good = check('policy { group "lookup" { target "1s"; value 3 } }')
    assert good.returncode == 0 and good.stdout.splitlines()[1:] == [
        "  group lookup target: 1500ms to 1000ms",
        "  group lookup value: 1 to 3",
    ]
    found = json.loads(check('policy { group "lookup" { value 3 } }', "--json").stdout)
    assert found["changes"] == [{"what": "group lookup value", "before": 1.0, "after": 3.0}]
    bad = check('policy { group "nowhere" { value 3 } }')
    assert bad.returncode == 2 and "line 1: policy > group" in bad.stderr and not bad.stdout
    assert check("policy", "--json", "--wrong").returncode == 2
