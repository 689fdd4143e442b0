"""Experiments: merged scripts, cells kept once through kills, figures over seeds, baselines, pictures; and
what the rehearsal's model keeps."""

import itertools
import os
import random
import subprocess
import sys
import time

import pytest
from bench_free import until
from hypothesis import given, settings
from hypothesis import strategies as st
from scipy.stats import ttest_1samp
from test_rehearsal import ROOT, SMALL, offer

from wickvane import parts
from wickvane.events import (
    FOREVER,
    AttemptEnded,
    ClientGone,
    Effect,
    Ending,
    EngineState,
    EngineUpdated,
    QueryArrived,
)
from wickvane.rehearsal import baselines, cells, experiment, model, plots, world
from wickvane.rehearsal import script as scripts

QUICK = SMALL.replace("12s", "3s").replace("rate 60", "rate 40")
PLAN = """experiment {{
    script "small.kdl"
    variant "here"
    variant "random"
    seeds {seeds}
    factor "size" {{
        case "two" {{ gateways 2 }}
        case "rough" {{ gateways 1; clients "a" {{ rate 80 }}; trouble "stall" at="1s" for="1s" part=0.5 }}
    }}
}}"""


def planned(tmp_path, text=None, seeds=2):
    (tmp_path / "small.kdl").write_text(QUICK.format(more=""))
    path = tmp_path / "plan.kdl"
    path.write_text(text or PLAN.format(seeds=seeds))
    return str(path)


def test_a_case_is_put_over_the_script_s_own_nodes(tmp_path):
    plan = cells.read(planned(tmp_path))
    assert len({cell.key for cell in plan.cells}) == len(plan.cells) == 8
    by_case = {cell.case: experiment.script_of(cell) for cell in plan.cells}
    two, rough = by_case["two"], by_case["rough"]
    assert (two.gateways, rough.gateways) == (2, 1)
    assert [c.rate for c in two.clients] == [40.0, 4.0] and [c.rate for c in rough.clients] == [80.0, 4.0]
    assert not two.troubles and rough.troubles[0].kind == "stall" and rough.groups == two.groups


@pytest.mark.parametrize(
    "old, new, words",
    [
        ("gateways 2 }", "gateways 0 }", "case two: .*gateways 0: expected"),
        ('"random"', '"best"', 'variant "best": expected one of here, random'),
        ('"small.kdl"', '"none.kdl"', "none.kdl cannot be read"),
        ("seeds 2", "seeds 0", "seeds 0: expected"),
        ('clients "a" {', 'clients "c" {', "case rough: .*group"),
        ('"random"', '"here"', "each variant once"),
        ('"random"', '"commit:no-such"', "no such commit"),
    ],
)
def test_what_is_wrong_with_an_experiment_is_named(tmp_path, old, new, words):
    text = PLAN.format(seeds=2)
    assert old in text
    with pytest.raises(parts.InvalidDocumentError, match=words):
        cells.read(planned(tmp_path, text.replace(old, new)))


def test_a_key_changes_with_all_that_decides_and_with_nothing_else(tmp_path):
    keys = [c.key for c in cells.read(planned(tmp_path)).cells]
    more = PLAN.format(seeds=3).replace('variant "random"', 'variant "random"\n variant "two-choices"')
    again = [c.key for c in cells.read(planned(tmp_path, more)).cells]
    assert set(keys) < set(again)
    other = [c.key for c in cells.read(planned(tmp_path, PLAN.format(seeds=2).replace("80", "81"))).cells]
    assert len(set(keys) & set(other)) == 4


def test_finished_cells_are_kept_once_though_the_file_is_cut_at_any_byte(tmp_path):
    path = tmp_path / "cells.jsonl"
    kept = cells.Kept(path)
    for n in range(3):
        kept.add(f"k{n}", {"service": n})
        kept.add(f"k{n}", {"service": 99})
    kept.file.close()
    whole = path.read_bytes()
    assert whole.count(b"\n") == 3 and b"99" not in whole
    ends = [n + 1 for n, octet in enumerate(whole) if octet == 10]
    for cut in range(len(whole) + 1):
        path.write_bytes(whole[:cut])
        again = cells.Kept(path)
        count = sum(end <= cut for end in ends)
        assert list(again.rows) == [f"k{n}" for n in range(count)]
        for n in range(3):
            again.add(f"k{n}", {"service": n})
        again.file.close()
        assert path.read_bytes() == whole


def test_an_experiment_that_is_killed_goes_on_and_comes_to_the_same(tmp_path):
    path, folder, there = planned(tmp_path, seeds=6), tmp_path / "out", tmp_path / "out" / "cells.jsonl"
    words = [sys.executable, "-m", "wickvane", "rehearse", "experiment", f"--out={folder}", "--jobs=1", path]
    process = subprocess.Popen(words, cwd=ROOT, stdout=subprocess.DEVNULL, start_new_session=True)
    until(lambda: there.exists() and there.read_bytes().count(b"\n") >= 3, 60)
    os.killpg(process.pid, 9)
    process.wait()
    before = there.read_bytes()
    before = before[: before.rfind(b"\n") + 1]
    assert before.count(b"\n") < 24
    again = subprocess.run([*words, "--plots"], cwd=ROOT, capture_output=True, text=True, timeout=120)
    assert again.returncode == 0 and f"{before.count(bytes([10]))} there already" in again.stdout
    after = there.read_bytes()
    assert after.startswith(before) and after.count(b"\n") == 24
    afresh = cells.run(path, tmp_path / "fresh", jobs=2, out=open(os.devnull, "w"))
    assert afresh[2] == experiment.read_rows(after)[0]
    pictures = [line for line in again.stdout.splitlines() if line.endswith(".png")]
    assert len(pictures) == 3
    for picture in pictures:
        with open(picture, "rb") as file:
            assert file.read(8) == b"\x89PNG\r\n\x1a\n"


def test_intervals_and_paired_differences_are_student_s(tmp_path):
    plan = cells.read(planned(tmp_path, seeds=5))
    chance = random.Random(4)
    rows = {
        cell.key: {name: chance.random() for name in experiment.MEASURES} | {"broken": [cell.seed]}
        for cell in plan.cells
    }
    lines = experiment.summed(plan, rows)
    assert [(line["case"], line["variant"], line["seeds"]) for line in lines] == [
        (case, variant, 5) for case in ("two", "rough") for variant in ("here", "random")
    ]
    for case, variant in itertools.product(("two", "rough"), ("here", "random")):
        line = next(line for line in lines if (line["case"], line["variant"]) == (case, variant))
        mine = {c.seed: rows[c.key]["service"] for c in plan.cells if (c.case, c.variant) == (case, variant)}
        first = {c.seed: rows[c.key]["service"] for c in plan.cells if (c.case, c.variant) == (case, "here")}
        for values, told in (
            (list(mine.values()), line["service"]),
            ([mine[s] - first[s] for s in mine], line.get("difference")),
        ):
            if told is not None:
                low, high = ttest_1samp(values, 0).confidence_interval(0.95)
                assert (told[0] - told[1], told[0] + told[1]) == (pytest.approx(low), pytest.approx(high))
        assert line["broken"] == [1, 2, 3, 4, 5] and ("difference" in line) == (variant != "here")
    assert experiment.interval([0.5], 0.95) == (0.5, None)


def test_an_earlier_module_is_played_from_its_text(tmp_path, monkeypatch):
    """Of a commit that turned everything away, as git would show it."""
    text = (
        "class Gateway:\n    def __init__(self, seed, deployment):\n        pass\n"
        "    def round(self, now, events, out):\n"
        "        [out.defer(event[1], 0) for event in events if event[0] == 0]\n"
    )
    monkeypatch.setattr(
        subprocess,
        "run",
        lambda words, **how: subprocess.CompletedProcess(
            words, 0 if words[3] == "abc:wickvane/choice.py" else 128, text.encode()
        ),
    )
    cells.earlier.cache_clear()
    script = scripts.read_text(QUICK.format(more=""))
    outcome = world.play(script, 1, False, cells.gateway_of("commit:abc"))
    assert outcome.counts["deferred"] > 50 and outcome.counts["finished"] == 0
    cells.earlier.cache_clear()
    cells.gateway_of.cache_clear()


# Baselines


class Writer:
    """A writer that keeps what was decided."""

    def __init__(self):
        self.sent, self.deferred, self.killed, self.cancelled = {}, [], [], []

    def start_attempt(self, q, engine, wait, start_by):
        assert q not in self.sent
        self.sent[q] = engine

    def reject(self, q, stay_away):
        self.deferred.append(q)

    def fail(self, q):
        self.killed.append(q)

    def cancel_attempt(self, q, submission):
        self.cancelled.append(q)


@pytest.mark.parametrize("name", baselines.BASELINES)
@given(st.lists(st.tuples(st.sampled_from("taken ended left drain".split()), st.integers(0, 7)), max_size=60))
@settings(max_examples=60, deadline=None)
def test_a_baseline_sends_once_to_what_is_ready_and_answers_what_failed(name, steps):
    deployment = world.deployment(scripts.read_text(SMALL.format(more="")))
    gateway, out = baselines.BASELINES[name](1, deployment), Writer()
    gateway.round(
        0, [EngineUpdated(e, b"e%d" % e, EngineState.READY, 0, 0, 0, 0, 1.0) for e in range(4)], out
    )
    ready, running, q, answered = {0, 1, 2, 3}, {}, 0, set()
    for what, n in steps:
        if what == "taken":
            q += 1
            before = {e: sum(x == e for x in running.values()) for e in ready}
            gateway.round(q, [QueryArrived(q, n % 2, 0, 10, 10, 0, None, 1000)], out)
            if not ready:
                assert out.deferred[-1] == q
                continue
            assert out.sent[q] in ready
            if name == "least-outstanding":
                assert before[out.sent[q]] == min(before.values())
            running[q] = out.sent[q]
        elif what == "drain":
            ready.discard(n % 4)
            gateway.round(q, [EngineUpdated(n % 4, b"e", EngineState.DRAINING, 0, 0, 0, 0, 1.0)], out)
        elif running:
            one = sorted(running)[n % len(running)]
            if what == "left":
                gateway.round(q, [ClientGone(one)], out)
                assert (out.cancelled[-1:] == [one]) or one in answered
                answered.add(one)
            else:
                ending, group = n, gateway.open.get(one)
                gateway.round(q, [AttemptEnded(one, 0, running.pop(one), ending, 5, False, 0, 0, None)], out)
                if group is not None and ending != Ending.FINISHED:
                    proven = ending >= Ending.REJECTED or group.effect == Effect.READ_ONLY
                    assert (out.deferred if proven else out.killed)[-1] == one
    assert [gateway.out[e] for e in range(4)] == [sum(x == e for x in running.values()) for e in range(4)]


def test_the_module_keeps_what_baselines_break(tmp_path):
    """On a day with a deploy and a storm: rules 1 to 3 hold for all, key order for the module alone."""
    deploy = 'trouble "deploy" at="3s" for="3s" part=0.75 size=3'
    storm = 'trouble "storm" at="6s" for="3s" size=6'
    script = scripts.read_text(SMALL.format(more=f"{deploy}\n {storm}"))
    broken = {}
    for variant in experiment.VARIANTS:
        row = experiment.figures(world.play(script, 2, False, cells.gateway_of(variant)))
        broken[variant] = row["broken"]
        assert 0 <= row["service"] <= 1 and len(row["course"]) == 13 and row["load"]
        used = [part for part in row["margins"]["cold"] if part is not None]
        assert used and (max(used) > 1) == (4 in row["broken"])
    assert broken["here"] == [] and all(5 in broken[name] for name in baselines.BASELINES)
    assert not any({1, 2, 3} & set(rules) for rules in broken.values())


def test_courses_are_the_mean_over_seeds_of_what_is_there():
    assert plots.mean_course([[1.0, None, 3.0], [2.0, None]]) == [1.5, None, 3.0]


# The model


@given(st.integers(0, 10_000))
@settings(max_examples=60, deadline=None)
def test_work_is_conserved_and_no_engine_does_more_than_its_cores(seed):
    """What was done, summed from the rates between all events, is what the ended and the given up took."""
    chance = random.Random(seed)
    made = model.Engine(model.Kind(cores=4, knee=1.2, memory=500.0))
    now, done, begun, left = 0.0, 0.0, {}, 0.0
    for mark in range(40):
        step = chance.expovariate(1 / 30)
        while True:
            end = made.next_end()
            to = min(now + step, end) if end is not None else now + step
            running = list(made.running.values())
            rates = sum(query.rate for query in running)
            assert sum(q.rate * (1 - q.reading) for q in running) <= made.kind.cores + 1e-6
            assert sum(q.rate * q.reading for q in running) <= made.kind.disks + 1e-6
            done += rates * (to - now)
            step, now = step - (to - now), to
            for query in made.ended(now):
                left += query.left
            if step <= 1e-9:
                break
        if chance.random() < 0.2 and made.running:
            gone = chance.choice(sorted(made.running))
            made.advance(now)
            left += made.running[gone].left
            made.cancel(now, gone)
        if (
            offer(
                made,
                now,
                mark,
                chance.uniform(5, 300),
                chance.randrange(1, 5),
                chance.random() * 0.9,
                need=chance.uniform(5, 100),
                table=chance.randrange(6),
            )
            == "in"
        ):
            held = made.running.get(mark) or next(q for _, _, q in made.waiting if q.mark == mark)
            begun[mark] = held.left
    made.advance(now)
    left += sum(q.left for q in made.running.values()) + sum(q.left for _, _, q in made.waiting)
    assert done == pytest.approx(sum(begun.values()) - left, rel=1e-6, abs=1e-3)


def test_a_lone_query_takes_its_own_time_and_doubled_speed_halves_it():
    for factor in (1, 2, 0.5):
        made = model.Engine(model.Kind())
        made.slow(0.0, factor)
        offer(made, 0.0, "a", 120.0, threads=3)
        assert made.next_end() == pytest.approx(40.0 * factor)


def test_a_repeat_is_not_known_to_the_process_that_comes_after_a_restart():
    for wait, fresh, got in ((11_000, False, "repeat"), (13_000, False, "in"), (11_000, True, "in")):
        made = model.Engine(model.Kind(repeat_ms=12_000.0))
        offer(made, 0.0, 1, 10.0, token=7)
        end = made.next_end()
        assert [query.mark for query in made.ended(end)] == [1]
        if fresh:
            made = model.Engine(model.Kind(repeat_ms=12_000.0), end)
        assert offer(made, end + wait, 2, 10.0, token=7) == got


class Sender:
    """A gateway that sends all to the first engine, and kills what did not end well there."""

    def __init__(self, seed, deployment):
        self.heard = []

    def round(self, now, events, out):
        for event in events:
            if isinstance(event, QueryArrived):
                out.start_attempt(event.query, 0, 0, FOREVER)
            elif isinstance(event, AttemptEnded):
                self.heard.append((event.query, event.ending))
                if not event.complete:
                    out.fail(event.query)


def test_an_end_a_cancel_a_death_and_the_time_s_end_in_one_tick_are_one_ending():
    """The gateway's own limit first, then what the engine did first, a cancel last; in whatever order they
    were made."""
    text = """rehearsal {
        length "1s"; latency "0ms"; list-delay "0ms"
        engines "e" count=1 cores=1 warm-sets=0
        group "g" { work "100ms"; spread 0; timeout "300ms" }
        clients "c" { group "g"; rate 1; arrivals "even" }
    }"""
    seen = set()
    for order in itertools.chain(*(itertools.permutations(range(4), size) for size in (1, 2, 3, 4))):
        played = world.World(scripts.read_text(text), 1, False, Sender)
        host, process = played.hosts[0], played.processes[0]
        doing = [
            lambda p=played, h=host: h.cancel_attempt(1, 0),
            lambda p=played, e=process: p.ends(e),
            lambda p=played, e=process: e.look(e.model.version),
            lambda p=played, h=host, e=process: h.expires(h.queries[1], 0, e),
        ]
        for n in order:
            played.at(1011, doing[n])  # a round, and its work
        outcome = played.play()
        assert len(host.scheduler.heard) == 1, order
        assert [b for b in outcome.breaches if b[0] in (1, 2)] == []
        ending = host.scheduler.heard[0][1]
        told = [n for n in order if n in (1, 2)]
        # Cancelled first, it has left the engine: neither an end nor a death is heard of it any more.
        left = 0 in order and order.index(0) < min(map(order.index, told), default=9)
        assert ending == (
            Ending.NO_ANSWER
            if 3 in order
            else Ending.CANCELLED
            if left or not told
            else Ending.RESET
            if told[0] == 1
            else Ending.FINISHED
        ), order
        seen.add(ending)
    assert seen == {Ending.FINISHED, Ending.RESET, Ending.CANCELLED, Ending.NO_ANSWER}


@pytest.mark.parametrize("seed", range(3))
def test_a_third_is_deployed_while_all_are_slow_and_engines_stall_during_their_drain(seed):
    script = scripts.read_text(
        SMALL.format(
            more="""
        trouble "deploy" at="2s" for="4s" part=0.34 size=1
        trouble "slow" at="2s" for="5s" size=2
        trouble "drain" at="3s" for="2s" part=0.3
        trouble "stall" at="3s" for="1500ms" part=0.6"""
        )
    )
    outcome = world.play(script, seed, False)
    assert outcome.breaches == [] and outcome.checked[3] > 300 and outcome.counts["finished"] > 500


@pytest.mark.parametrize("name", sorted(os.listdir(os.path.join(ROOT, "deploy", "rehearsals"))))
def test_the_scripts_hold(name):
    path = os.path.join(ROOT, "deploy", "rehearsals", name)
    if scripts.is_experiment(path):
        assert len(cells.read(path).cells) == 150
    else:
        began = time.monotonic()
        assert world.play(scripts.read(path), 1, False).failures() == []
        assert time.monotonic() - began < 120
