"""Membership: documents, their codes, checks of a change, steps, holds, rollbacks; beside a plain model."""

import json
from random import Random

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.endpoints import checks, document, membership
from wickvane.endpoints import roster as ro
from wickvane.endpoints.findings import CODES, HOLD, NOTE, REFUSE, STEPS, Unfit
from wickvane.endpoints.gather import Gathered
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND

FACTS = checks.Facts(
    {"old": 8, "new": 4},
    frozenset(("a", "b")),
    (("lookup", None, None), ("load", None, frozenset(("new",)))),
    0.3,
    15 * TICKS_PER_SECOND,
)
GOOD = """members generation=7 {
    engine "e1" address="10.0.0.1:5001" zone="a" type="old" weight=1.0 group=2 since-ms=5
    engine "e2" address="10.0.0.2:5001" weight=0  // drained by hand
    engine "e3" address="[::1]:5001" status="Terminating" weight=0.5
}
"""


def member(n, weight=1.0, kind="old", state=EngineState.READY, zone="a", started=0, address=None):
    return ro.Member(
        f"e{n}",
        ("10.0.0.1", address or 1000 + n),
        zone,
        kind,
        0,
        started,
        weight,
        EngineState.DRAINING if weight == 0 else state,
    )


def kdl(engines, generation=None):
    rows = "\n".join(
        f'  engine "{e.name}" address="{e.address[0]}:{e.address[1]}" zone="{e.zone}" '
        f'type="{e.kind}" weight={e.weight}'
        for e in engines
    )
    return f"members{f' generation={generation}' if generation else ''} {{\n{rows}\n}}\n"


class Members:
    """A Membership with what it told carried out, its journal, and its log."""

    def __init__(self, facts=FACTS, records=(), now=1_000_000, load=None, **terms):
        limits = {name: terms.pop(name) for name in list(terms) if name in checks.Limits._fields}
        self.terms = membership.Terms(checks.Limits(**limits), **terms)
        self.it, self.facts, self.now, self.load = membership.Membership(facts, self.terms), facts, now, load
        self.journal, self.told, self.log, self.numbers = list(records), {}, [], []
        for record in self.journal:
            self.it.apply(orjson.loads(orjson.dumps(record)))
        self.it.start(now)
        self.carry()

    def carry(self):
        kept = 0
        for kind, *rest in self.it.effects():
            if kind == "journal":
                self.journal.append(rest[0])
                kept += 1
            elif kind == "log":
                self.log.append((rest[0], rest[1]))
            else:
                number, whole, entries, back = rest
                assert not self.numbers or number > self.numbers[-1]
                self.numbers.append(number)
                if whole:
                    self.told.clear()
                for name, address, state, *_, started, weight in entries:
                    was = self.told.get(name)
                    if was is not None and was[0] != EngineState.READY and state == EngineState.READY:
                        assert name in back
                    if state == EngineState.GONE:
                        del self.told[name]
                    else:
                        self.told[name] = state, weight, address, started

    def offer(self, engines, generation=None, findings=()):
        self.it.candidate(self.now, ro.whole(0, engines), generation, findings, "test", self.load)
        self.carry()
        return self

    def do(self, what, *words):
        done = getattr(self.it, what)(self.now, *words)
        self.carry()
        return done

    def after(self, tenths, busy=None):
        until = self.now + tenths
        while (at := self.it.next_at()) is not None and at <= until:
            self.now = max(self.now + 1, at)
            self.it.tick(self.now, busy)
            self.carry()
        self.now = until
        self.it.tick(self.now, busy)
        self.carry()

    def restart(self):
        return Members(
            self.facts,
            self.journal,
            self.now + 50,
            self.load,
            **self.terms.limits._asdict(),
            **{k: v for k, v in self.terms._asdict().items() if k != "limits"},
        )

    def ready(self):
        return {name for name, (state, *_) in self.told.items() if state == EngineState.READY}

    def codes(self, event):
        return [tuple(fields["codes"]) for name, fields in self.log if name == event]


# Documents


def test_a_document_is_read_as_it_says():
    part = document.read(document.seal(GOOD.encode()), "m.kdl", sealed=True)
    one, two, three = part.members
    assert (part.generation, one) == (7, ro.Member("e1", ("10.0.0.1", 5001), "a", "old", 2, 5, 1.0))
    assert two.state == EngineState.DRAINING and three.state == EngineState.DRAINING and three.weight == 0.5
    assert part.lines == {"e1": 2, "e2": 3, "e3": 4}
    same = {
        "generation": 7,
        "engines": [
            {"name": "e1", "address": "10.0.0.1:5001", "zone": "a", "type": "old", "group": 2, "since_ms": 5},
            {"name": "e2", "address": "10.0.0.2:5001", "weight": 0},
            {"name": "e3", "address": "[::1]:5001", "status": "Terminating", "weight": 0.5},
        ],
    }
    other = document.read(json.dumps(same).encode(), "m.json")
    assert (other.generation, other.members) == (part.generation, part.members)


@pytest.mark.parametrize(
    "text, code",
    [
        ("", "no-document"),
        ("members {", "no-document"),
        ("members {} members {}", "no-document"),
        ("members { engine }", "no-document"),
        ('members { engine "a" "b" }', "no-document"),
        ('include "other.kdl"', "unknown-node"),
        ('members { include "o.kdl" }', "unknown-node"),
        ('members { engine "a" adress="1.2.3.4:1" }', "unknown-node"),
        ("members colour=1 {}", "unknown-node"),
        ('members { engine "a" }', "address-missing"),
        ('members { engine "a" address="x" }', "value-wrong"),
        ('members { engine 5 address="1.2.3.4:1" }', "value-wrong"),
        ('members { engine "" address="1.2.3.4:1" }', "value-wrong"),
        ('members { engine "a" address=5 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=-1 }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#nan }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#inf }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight="1" }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#true }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=101 }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" status="Gone" }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" zone=5 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" group=-1 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" since-ms=#nan }', "value-wrong"),
        ("members generation=0 {}", "generation-wrong"),
        ("members generation=1.5 {}", "generation-wrong"),
        ("members generation=99999999 {}", "generation-wrong"),
        ('members generation="7" {}', "generation-wrong"),
        ('members { engine "a" address="1.2.3.4:1"\n engine "a" address="1.2.3.4:2" }', "name-twice"),
        ("members { a {" * 5_000, "too-deep"),
        ("{" * 100_000, "too-deep"),
        ("members {}\n//! length=3 blake2b=" + "0" * 32, "length-wrong"),
        ("members {}\n//! length=11 blake2b=" + "0" * 32, "checksum-wrong"),
        ("members {}\n//! length=11", "length-wrong"),
    ],
)
def test_each_thing_wrong_with_a_document_has_its_code(text, code):
    with pytest.raises(Unfit) as wrong:
        document.read(text.encode(), "m.kdl")
    finding = wrong.value.finding
    assert finding.code == code and "m.kdl" in finding.sentence() and CODES[code] in finding.sentence()


@pytest.mark.parametrize(
    "text, code",
    [
        (b"[" * 100_000, "too-deep"),
        (b"5", "no-document"),
        (b'{"engines": 5}', "no-document"),
        (b'{"engines": [5]}', "no-document"),
        (b'{"engines": [], "more": 1}', "unknown-node"),
        (b'{"engines": [{"name": "a", "include": 1}]}', "unknown-node"),
        (b'{"engines"\n', "no-document"),
        (b'{"engines": [{"name": "a", "address": "h:1", "weight": 1e999}]}', "no-document"),
        (b'{"engines": [{"name": "a", "address": null}]}', "address-missing"),
        (b"\xff", "not-utf8"),
    ],
)
def test_the_same_for_json(text, code):
    with pytest.raises(Unfit) as wrong:
        document.read(text, "m.json")
    assert wrong.value.finding.code == code


@pytest.mark.parametrize("sealed", [False, True])
@pytest.mark.parametrize("name", ["m.kdl", "m.json"])
def test_no_beginning_of_a_document_is_a_document(sealed, name):
    rows = [{"name": f"e{n}", "address": f"10.0.0.{n}:5"} for n in range(3)]
    text = GOOD if name == "m.kdl" else json.dumps({"engines": rows}, indent=1)
    whole = document.seal(text.encode()) if sealed else text.strip().encode()
    assert document.read(whole, name, sealed).members
    for size in range(len(whole) - (1 if not sealed else 2)):  # the last line's end is no part of it
        with pytest.raises(Unfit):
            document.read(whole[:size], name, sealed)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.sampled_from(["m.kdl", "m.json"]))
def test_arbitrary_octets_are_a_document_or_unfit(data, name):
    for tried in (data, GOOD.encode()[:60] + data, b'{"engines": [' + data):
        try:
            document.read(tried, name)
        except Unfit as wrong:
            assert wrong.finding.code in CODES


# Files of one document, beside reading them all again


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30))
def test_gathered_files_are_as_if_all_were_read_again(seed):
    chance, gathered, files = Random(seed), Gathered(), {}
    for _ in range(30):
        file = f"f{chance.randrange(4)}.kdl"
        if chance.random() < 0.25:
            gathered.drop(file)
            files.pop(file, None)
        else:
            names = chance.sample(range(6), chance.randrange(5))
            found = tuple(
                member(n, weight=chance.choice([0.5, 1.0]), address=2000 + chance.randrange(8)) for n in names
            )
            stated = chance.choice([None, chance.randrange(1, 9)])
            gathered.put(document.Part(file, stated, found, {}))
            files[file] = stated, found
        owners, places = {}, {}
        for name in sorted(files):
            for one in files[name][1]:
                owners.setdefault(one.name, one)
                places.setdefault(one.address, set()).add(one.name)
        count = [one.name for _, found in files.values() for one in found]
        roster = gathered.settle()
        if not gathered.twice:
            assert dict(roster.members) == owners
        assert roster.mark == ro.whole(0, roster.members.values()).mark
        assert {n for n in count if count.count(n) > 1} == gathered.twice
        assert {place for place, there in places.items() if len(there) > 1} == gathered.crowded
        assert gathered.generation() == max((g for g, _ in files.values() if g), default=None)
        codes = {f.code for f in gathered.findings()}
        assert codes == ({"name-twice"} if gathered.twice else set()) | (
            {"address-twice"} if gathered.crowded else set()
        )


# Changes


def fleet(count, **changes):
    return [member(n, **changes) for n in range(count)]


@pytest.mark.parametrize(
    "after, code",
    [
        ([], "empty"),
        (fleet(10, weight=0.0), "empty"),
        (fleet(5), "share-removed"),
        (fleet(6) + [member(n, weight=0.0) for n in range(6, 10)], "share-removed"),
        (fleet(9), "group-without-engine"),
        ([member(n) for n in range(9)] + [member(9, weight=0.0, kind="new")], "group-without-engine"),
        (fleet(9) + [member(9, kind="odd")], "kind-unknown"),
        (fleet(9) + [member(9, zone="x")], "zone-unknown"),
        (
            [member(n, weight=9.0 if n == 1 else 1.0) for n in range(9)] + [member(9, kind="new")],
            "weight-jump",
        ),
        ([member(n) for n in range(1, 9)] + [member(9, kind="new")], "capacity-left"),
        (
            [member(n) for n in range(1, 9)] + [member(9, kind="new"), member(20, address=1000)],
            "address-taken-over",
        ),
    ],
)
def test_each_change_past_a_limit_has_its_code(after, code):
    before = fleet(9) + [member(9, kind="new")]
    members = Members(load=64.0, capacity_past=HOLD, factor_past=HOLD).offer(before)
    assert members.ready() == {f"e{n}" for n in range(10)}
    members.offer(after)
    said = members.codes("members-refused") + members.codes("members-held") + members.codes("members-taken")
    assert any(code in codes for codes in said)
    if code != "address-taken-over":
        assert members.ready() == {f"e{n}" for n in range(10)}  # whole or not at all


def test_weight_zero_drains_and_a_number_above_brings_it_back():
    members = Members().offer(fleet(4), 1)
    members.offer(fleet(3) + [member(3, weight=0.0)], 2)
    assert members.told["e3"][0] == EngineState.DRAINING and members.ready() == {"e0", "e1", "e2"}
    members.after(600 * TICKS_PER_SECOND)
    assert (
        members.told["e3"][0] == EngineState.DRAINING
    )  # listed, and drained for as long as the file says so
    again = members.restart()
    assert again.told["e3"][0] == EngineState.DRAINING
    again.offer(fleet(4), 1)
    assert again.told["e3"][0] == EngineState.DRAINING and again.codes("members-refused") == [
        ("generation-back",)
    ]
    again.offer(fleet(4), 2)
    assert again.codes("members-refused")[-1] == ("generation-same",)
    assert again.offer(fleet(4), 3).ready() == {"e0", "e1", "e2", "e3"}


def test_one_that_is_taken_off_drains_until_nothing_runs_there_or_its_time_is_over():
    members, running = Members(linger=30 * TICKS_PER_SECOND).offer(fleet(4)), {"e3"}
    members.offer(fleet(3))
    assert members.told["e3"][:2] == (EngineState.DRAINING, 0.0)
    members.after(5 * TICKS_PER_SECOND, busy=lambda name: name in running)
    assert "e3" in members.told
    running.clear()
    members.it.tick(members.now, lambda name: name in running)
    members.carry()
    assert "e3" not in members.told
    members.offer(fleet(4)).offer(fleet(3))
    members.after(31 * TICKS_PER_SECOND, busy=lambda name: True)
    assert "e3" not in members.told
    # Listed again, it is no longer the process that was known: it counts as started now.
    started = members.now // 10
    members.offer(fleet(4))
    assert members.told["e3"][0] == EngineState.READY and members.told["e3"][3] == started


def test_nine_tenths_are_held_confirmed_once_and_a_restart_keeps_the_number():
    members = Members().offer(fleet(20))
    members.offer(fleet(2))
    assert len(members.ready()) == 20 and members.codes("members-held") == [("share-removed",)]
    members.offer(fleet(2))
    assert len(members.codes("members-held")) == 1
    held = members.it.held.roster.generation
    again = members.restart().offer(fleet(2))
    assert again.it.held.roster.generation == held and len(again.ready()) == 20
    assert not again.do("confirm", held + 1) and again.do("confirm", held)
    assert again.ready() == {"e0", "e1"} and not again.do("confirm", held)
    assert again.it.generation == held


def test_a_hold_lapses_and_another_document_replaces_it():
    members = Members(hold=10 * TICKS_PER_SECOND).offer(fleet(20))
    members.offer(fleet(2))
    first = members.it.held.roster.generation
    members.offer(fleet(3))
    assert members.it.held.roster.generation != first and not members.do("confirm", first)
    members.offer(fleet(20))
    assert members.it.held is None  # it went back to what is at work
    members.offer(fleet(2))
    members.after(11 * TICKS_PER_SECOND)
    assert members.it.held is None and len(members.ready()) == 20


def test_steps_take_a_share_at_a_time_stop_go_on_and_turn_back_midway():
    members = Members(share=0.25, share_past=STEPS, step=TICKS_PER_SECOND).offer(fleet(20))
    members.offer(fleet(8))
    seen = [len(members.ready())]
    while members.it.stepping:
        members.after(TICKS_PER_SECOND)
        seen.append(len(members.ready()))
    assert seen[:5] == [15, 12, 9, 8, 8][: len(seen[:5])] and seen[-1] == 8
    members.offer(fleet(20)).offer(fleet(8))
    members.after(TICKS_PER_SECOND)
    midway = len(members.ready())
    assert 8 < midway < 20 and members.do("stop")
    members.after(20 * TICKS_PER_SECOND)
    assert len(members.ready()) == midway
    again = members.restart()
    again.after(20 * TICKS_PER_SECOND)
    assert len(again.ready()) == midway and again.it.stopped  # a restart does not go on by itself
    assert again.do("confirm", again.it.generation)
    again.after(20 * TICKS_PER_SECOND)
    assert len(again.ready()) == 8
    again.offer(fleet(20)).offer(fleet(8))
    again.after(TICKS_PER_SECOND)
    full = next(g for g in again.it.history if len(again.it.history[g].roster.members) == 20)
    assert len(again.ready()) < 20 and again.do("rollback", full)
    assert len(again.ready()) == 20 and again.it.of == full
    again.offer(fleet(8))
    assert len(again.ready()) == 20  # the file still has what was rolled back
    assert again.restart().offer(fleet(8)).ready() == again.ready()
    assert len(again.offer(fleet(19)).ready()) == 19


def test_weights_rise_in_steps_and_at_once_where_nothing_says_so():
    members = Members(factor=2.0, factor_past=STEPS, step=TICKS_PER_SECOND).offer(
        [member(n, weight=0.1 if n == 1 else 1.0) for n in range(4)]
    )
    members.offer(fleet(4))
    seen = []
    while members.it.stepping:
        seen.append(members.told["e1"][1])
        members.after(TICKS_PER_SECOND)
    assert seen == [0.2, 0.4, 0.8] and members.told["e1"][1] == 1.0
    calm = Members(factor_past=NOTE).offer([member(n, weight=0.1) for n in range(4)]).offer(fleet(4))
    assert calm.told["e1"][1] == 1.0


def test_the_weight_of_a_cold_engine_is_never_told_at_one_jump():
    members = Members(factor_past=NOTE, step=TICKS_PER_SECOND).offer(fleet(4))
    members.offer(fleet(4) + [member(4, weight=0.1)])
    members.offer(fleet(5))
    assert members.told["e4"][1] == 0.2 and members.told["e4"][3] > 0
    members.after(TICKS_PER_SECOND)
    assert members.told["e4"][1] == 0.4
    members.after(20 * TICKS_PER_SECOND)
    assert members.told["e4"][1] == 1.0


def test_the_first_list_is_warm_and_a_restart_knows_who_is_cold():
    members = Members().offer(fleet(4))
    assert {started for *_, started in members.told.values()} == {0}
    members.offer(fleet(5))
    began = members.told["e4"][3]
    assert began == members.now // 10
    assert members.restart().told["e4"][3] == began


def test_overrides_drain_and_weigh_what_the_stream_lists_and_the_graver_word_counts():
    members = Members(overrides=True)

    def stream(number, *rows, whole=False):
        members.it.streamed(
            members.now,
            number,
            whole,
            [(f"e{n}", ("10.0.0.1", n), state, "a", "old", 0, 0, 1.0) for n, state in rows],
        )
        members.carry()

    def override(n, **stated):
        return ro.Member(
            f"e{n}",
            None,
            **stated,
            given=frozenset({"weight": "weight"}.get(name, name) for name in stated if name != "state"),
        )

    stream(1, *((n, EngineState.READY) for n in range(6)), whole=True)
    members.offer(
        [
            override(1, weight=0.25),
            override(2, weight=0.0, state=EngineState.DRAINING),
            override(9, weight=0.5),
        ]
    )
    assert (
        members.told["e1"][:2] == (EngineState.READY, 0.25) and members.told["e2"][0] == EngineState.DRAINING
    )
    assert ("not-listed",) in members.codes("members-taken")
    kept = len(members.journal)
    stream(2, (1, EngineState.DRAINING))
    assert len(members.journal) == kept  # the stream tells it again after a restart
    assert members.told["e1"][0] == EngineState.DRAINING
    members.offer([override(1, weight=1.0)])
    assert (
        members.told["e1"][0] == EngineState.DRAINING and members.told["e2"][0] == EngineState.READY
    )  # taken out of the file
    stream(3, (9, EngineState.READY), (1, EngineState.GONE))
    assert "e1" not in members.told and members.told["e9"][1] == 1.0
    again = members.restart()
    assert again.told == {}  # the stream says who is there
    again.it.streamed(again.now, 3, True, [("e1", ("10.0.0.1", 1), EngineState.READY, "a", "old", 0, 0, 0.5)])
    again.carry()
    assert again.told["e1"][:2] == (EngineState.READY, 1.0)


# Beside a plain model


class Plain:
    """The rules word by word, on whole lists, without steps; every list worked out anew."""

    def __init__(self):
        self.docs, self.work, self.generation, self.file, self.held, self.highest = {}, {}, 0, None, None, 0
        self.held_as = None

    def ready(self, doc):
        return {name for name, e in doc.items() if e.state == EngineState.READY}

    def offer(self, doc, generation):
        if doc == self.file and (generation is None or generation <= self.generation):
            self.held = None
            return "same"
        if generation is not None and generation <= self.generation:
            return "refused"
        number = generation
        if number is None:
            number = (
                self.held_as[1]
                if self.held_as and self.held_as[0] == doc
                else max(self.highest, self.generation) + 1
            )
        if self.held == (doc, number):
            return "waits"
        before, after = self.ready(self.work), self.ready(doc)
        if not after:
            return "refused"
        if before:
            new = {name for name, e in self.work.items() if e.state == EngineState.READY and e.kind == "new"}
            kept = {name for name, e in doc.items() if e.state == EngineState.READY and e.kind == "new"}
            if new and not kept:
                return "refused"
            if len(before - after) > max(1, int(0.34 * len(before))):
                self.held = self.held_as = doc, number
                self.highest = max(number, self.highest)
                return "held"
        self.take(doc, number)
        return "taken"

    def take(self, doc, number, of=None):
        if of is None:
            self.docs[number], self.file = doc, doc
        self.work, self.generation, self.held, self.held_as = doc, number, None, None
        self.highest = max(self.highest, number)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 1 << 40))
def test_beside_a_plain_model_of_edits_faults_and_restarts(seed):
    chance, plain = Random(seed), Plain()
    members = Members(linger=5 * TICKS_PER_SECOND, factor_past=NOTE, step=TICKS_PER_SECOND)
    drained, number = set(), 0
    for _ in range(40):
        step = chance.random()
        if step < 0.5:
            count = chance.choice([0, 3, 5, 6, 6, 7, 7, 8])
            doc = {
                f"e{n}": member(
                    n, weight=chance.choice([0.0, 1.0, 1.0, 1.0, 1.0]), kind="new" if n > 4 else "old"
                )
                for n in chance.sample(range(9), count)
            }
            generation = chance.choice([None, None, chance.randrange(1, 12)])
            if plain.file is not None and chance.random() < 0.2:
                doc = plain.file
            before = len(members.journal)
            members.offer(doc.values(), generation)
            said = plain.offer(doc, generation)
            wrote = {r["what"] for r in members.journal[before:]} & {"taken", "held"}
            assert wrote == ({said} if said in ("taken", "held") else set()), said
        elif step < 0.6:
            bad = document.Unfit("no-document", "cut", "m.kdl").finding
            members.offer([], None, [bad])
        elif step < 0.7:
            members = members.restart()
            plain.held = None
        elif step < 0.8:
            members.after(chance.choice([TICKS_PER_SECOND, 10 * TICKS_PER_SECOND]))
        elif step < 0.9 and plain.held:
            doc, number = plain.held
            assert members.do("confirm", number)
            plain.take(doc, number)
        elif plain.docs:
            number = chance.choice(list(plain.docs))
            doc = plain.docs[number]
            before, after = plain.ready(plain.work), plain.ready(doc)
            new = {name for name, e in plain.work.items() if e.state == EngineState.READY and e.kind == "new"}
            kept = {name for name, e in doc.items() if e.state == EngineState.READY and e.kind == "new"}
            good = bool(after) and not (new and not kept)
            assert members.do("rollback", number) == good
            if good:
                plain.take(doc, plain.generation, of=number)
        # What is at work is always some whole generation that was taken, and nobody else gets queries.
        assert members.ready() == plain.ready(plain.work)
        assert members.it.generation == plain.generation
        assert {n: e for n, e in members.it.target.members.items()} == plain.work
        drained = {name for name, (state, *_) in members.told.items() if state != EngineState.READY}
        assert not drained & plain.ready(plain.work)
        assert {n for n, e in plain.work.items() if e.state != EngineState.READY} <= drained
    members.after(30 * TICKS_PER_SECOND)
    assert set(members.told) == set(plain.work)


def test_a_record_of_all_is_as_good_as_the_records_before_it():
    chance, members = (
        Random(5),
        Members(share=0.25, share_past=STEPS, factor_past=STEPS, step=TICKS_PER_SECOND),
    )
    for n in range(60):
        count = chance.randrange(3, 20)
        members.offer([member(k, weight=chance.choice([0.1, 1.0])) for k in chance.sample(range(20), count)])
        members.after(chance.choice([0, TICKS_PER_SECOND, 5 * TICKS_PER_SECOND]))
        if n % 7 == 3 and members.it.history:
            members.do("rollback", chance.choice(list(members.it.history)))
        whole = Members(members.facts, [members.it.whole(members.now)], members.now + 50)
        again = members.restart()
        for one in (whole, again):
            assert one.it.target.members == members.it.target.members
            assert one.it.generation == members.it.generation and one.it.of == members.it.of
            assert one.it.shown == members.it.shown and one.it.number == members.it.number
            assert {g: t.roster.members for g, t in one.it.history.items()} == {
                g: t.roster.members for g, t in members.it.history.items()
            }
            assert one.it.file_mark == members.it.file_mark and one.it.logged == members.it.logged


def test_what_a_change_costs_follows_from_the_change():
    members, records = Members(share_past=NOTE).offer(fleet(5000)), 0
    gathered = ro.whole(0, fleet(5000))
    for n in range(20):
        gathered = ro.changed(gathered, 0, [member(n, weight=0.5)])
        members.it.candidate(members.now, gathered, None)
        effects = members.it.effects()
        records += sum(len(orjson.dumps(rest[0])) for kind, *rest in effects if kind == "journal")
        assert all(len(rest[2]) == 1 for kind, *rest in effects if kind == "tell")
        assert len(gathered.touched) == 1
    assert records < 20 * 2000


@pytest.mark.parametrize("severity", [NOTE, STEPS, HOLD, REFUSE])
def test_what_follows_past_a_limit_is_what_the_document_says(severity):
    members = Members(share_past=severity, step=TICKS_PER_SECOND).offer(fleet(10)).offer(fleet(5))
    assert len(members.ready()) == {NOTE: 5, STEPS: 7, HOLD: 10, REFUSE: 10}[severity]


def test_a_rolling_deploy_by_file_in_virtual_time_serves_as_one_by_stream_and_breaks_no_rule():
    from wickvane.rehearsal import script as scripts
    from wickvane.rehearsal.world import play

    served = {}
    for lists in ("stream", "file"):
        day = play(
            scripts.read_text(
                """rehearsal {
            length "30s"; gateways 3; lists "LISTS"
            engines "e" count=9 cores=4 disks=4
            group "lookup" { work "100ms"; promise "600ms"; timeout "2s" }
            clients "a" { group "lookup"; rate 200; retries 2; back-off "200ms" }
            budget free=3 share=0.1 window="5s"
            trouble "deploy" at="5s" for="10s" part=0.7 size=3
            trouble "kill" at="12s" for="2s" part=0.3
        }""".replace("LISTS", lists)
            ),
            1,
            False,
        )
        assert not day.breaches and day.checked[3] > 1000
        served[lists] = day.service()
    assert abs(served["file"] - served["stream"]) < 0.05


def test_a_clock_that_steps_between_runs_ends_no_drain_early_and_holds_none_for_ever():
    members = Members(linger=30 * TICKS_PER_SECOND, share_past=NOTE)
    members.offer(fleet(5)).offer([*fleet(3), member(4, weight=0.0)])
    assert members.told["e3"][0] == members.told["e4"][0] == EngineState.DRAINING
    for step in (-3600 * TICKS_PER_SECOND, 3600 * TICKS_PER_SECOND):
        members.now += step
        again = members.restart()
        assert again.told["e3"][0] == again.told["e4"][0] == EngineState.DRAINING and len(again.ready()) == 3
        again.after(29 * TICKS_PER_SECOND)
        assert again.told["e3"][0] == EngineState.DRAINING
        again.after(2 * TICKS_PER_SECOND)
        assert "e3" not in again.told and again.told["e4"][0] == EngineState.DRAINING
