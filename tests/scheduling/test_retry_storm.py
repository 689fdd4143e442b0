"""Retry storms are seen as they begin, and told from growth, one client's loop and a slow engine."""

import os
import random
import subprocess
import sys

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rehearsal import ROOT, Served

from wickvane import parts
from wickvane.net import storms
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal import world
from wickvane.rehearsal.load import Load
from wickvane.scheduling import retry_storm
from wickvane.scheduling.retry_storm import STEP_TICKS, StormDetector, StormEvent, StormState, fingerprint
from wickvane.units import TICKS_PER_SECOND

DAY = """rehearsal {{
    length "40s"
    gateways {gateways}
    engines "e" count=6 cores=4 disks=4
    group "lookup" {{ work "100ms"; promise "600ms"; timeout "2s" }}
    group "doomed" {{ work "20s"; spread 0; promise "100ms"; timeout "1s" }}
    clients "a" {{ group "lookup"; rate 120; retries {retries}; back-off "200ms" }}
    {more}
    budget free=3 share=0.1 window="5s"
    watch-storms #true
}}"""


def storm_events(more: str = "", retries: int = 2, gateways: int = 1, seed: int = 1) -> list[tuple]:
    text = DAY.format(more=more, retries=retries, gateways=gateways)
    outcome = world.play(scripts.read_text(text), seed, False)
    assert outcome.breaches == []
    return outcome.world.storms


def begun(lines: list[tuple]) -> list[tuple[float, str]]:
    return [(at, fields["kind"]) for at, _, event, fields in lines if event == "begins"]


def test_a_shared_slowness_with_clients_that_try_again_is_a_storm_that_begins_and_ends():
    lines = storm_events('trouble "slow" at="15s" for="8s" size=8', retries=8)
    storms = [at for at, kind in begun(lines) if kind == StormState.STORM]
    ends = [
        (at, fields)
        for at, _, event, fields in lines
        if event == "ends" and fields["kind"] == StormState.STORM
    ]
    assert len(storms) == 1 and 15 < storms[0] < 21 and len(ends) == 1
    assert storms[0] < ends[0][0] < 38
    fields = next(
        fields for at, _, event, fields in lines if event == "begins" and fields["kind"] == StormState.STORM
    )
    assert fields["repeats"] > 0.1 and fields["offered"] > fields["done"] and fields["one"] < 0.2


@pytest.mark.parametrize("gateways", [1, 8])
@pytest.mark.parametrize("seed", range(2))
def test_neither_a_calm_day_nor_one_that_doubles_nor_a_deploy_is_a_storm(gateways, seed):
    assert {kind for _, kind in begun(storm_events(gateways=gateways, seed=seed))} <= {
        StormState.SLOW,
        StormState.GROWTH,
    }
    doubled = storm_events(
        'clients "new" { group "lookup"; rate 80; since "15s" }', gateways=gateways, seed=seed
    )
    assert StormState.STORM not in {kind for _, kind in begun(doubled)}
    cold = storm_events('trouble "deploy" at="10s" for="12s" part=0.5 size=1', gateways=gateways, seed=seed)
    assert StormState.STORM not in {kind for _, kind in begun(cold)}


def test_traffic_past_the_pool_that_does_not_repeat_is_growth():
    kinds = {
        kind for _, kind in begun(storm_events('clients "new" { group "lookup"; rate 300; since "15s" }', 0))
    }
    assert StormState.GROWTH in kinds and not kinds & {StormState.STORM, StormState.LOOP}


def test_one_client_that_asks_the_same_again_and_again_is_a_loop():
    more = 'clients "loop" { group "doomed"; closed 1; think "1ms"; retries 20; back-off "1ms"; since "15s" }'
    kinds = [kind for at, kind in begun(storm_events(more)) if at > 15]
    assert StormState.LOOP in kinds and StormState.STORM not in kinds


def test_few_slow_engines_are_no_storm():
    kinds = {kind for _, kind in begun(storm_events('trouble "slow" at="15s" for="10s" part=0.17 size=6'))}
    assert StormState.SLOW in kinds and not kinds & {StormState.STORM, StormState.LOOP}


def test_a_second_slowness_while_the_first_storm_drains_is_seen():
    lines = storm_events(
        'trouble "slow" at="12s" for="6s" size=8\n trouble "slow" at="20s" for="6s" size=8', retries=8
    )
    held = [(at, event) for at, _, event, fields in lines if fields["kind"] == StormState.STORM]
    assert held[0][1] == "begins" and held[-1][1] == "ends" and held[-1][0] > 26


# By hand


def feed(
    made: StormDetector,
    now: int,
    seconds: float,
    taken: int,
    repeats: float,
    done: float,
    deferred: float = 0.0,
) -> list[StormEvent]:
    """So many queries a second, a part of them repeats of marks that were deferred at the start."""
    chance = random.Random(now)
    found = []
    for n in range(40):
        made.record_rejection(now, fingerprint(0, None, None, b"%d" % n))
    for tick in range(int(seconds * 100)):
        at = now + tick * TICKS_PER_SECOND // 100
        found += made.end_step(at)
        for _ in range(taken // 100):
            again = chance.random() < repeats
            n = chance.randrange(40)
            mark = fingerprint(0, None, None, b"%d" % n) if again else chance.randbytes(16)
            made.record_arrival(at, mark, n, 100)
            if chance.random() < done:
                made.record_answer(False, 100)
            if chance.random() < deferred:
                made.record_rejection(at, chance.randbytes(16))
    return found


def test_a_storm_deepens_with_its_repeats_and_a_flicker_does_not_end_it():
    made = StormDetector(0, 0.1, 100_000)
    assert [event for event, _ in feed(made, 1, 4, 400, 0.35, 0.5, 0.3)] == [
        "begins"
    ] and made.state == StormState.STORM
    assert "deepens" in [event for event, _ in feed(made, 4 * TICKS_PER_SECOND, 4, 400, 0.8, 0.3, 0.6)]
    assert made.end_step(8 * TICKS_PER_SECOND + STEP_TICKS) == [] and made.state == StormState.STORM
    feed(made, 9 * TICKS_PER_SECOND, 2, 400, 0.8, 0.3, 0.6)
    assert [
        fields["kind"]
        for event, fields in feed(made, 12 * TICKS_PER_SECOND, 6, 400, 0.0, 1.2)
        if event == "ends"
    ][:1] == [StormState.STORM]
    assert made.state == StormState.CALM


def test_what_is_usual_is_not_an_alarm():
    """A pool where a third is repeats on every calm day: more than that is wanted for a storm."""
    made = StormDetector(0, 0.1, 100_000)
    for n in range(40):
        feed(made, n * 4 * TICKS_PER_SECOND, 4, 200, 0.15, 1.1)
    assert made.state == StormState.CALM and made.usual_retries > 0.05
    assert not feed(made, 170 * TICKS_PER_SECOND, 3, 400, 0.3, 0.9, 0.2) or made.state != StormState.STORM


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans(), st.integers(0, 30)), min_size=1, max_size=300))
@settings(max_examples=60, deadline=None)
def test_what_was_deferred_is_known_for_its_time_as_a_plain_table_has_it(steps):
    """None that is due is forgotten; past twice the time none is known, but by the filter's small chance."""
    made = StormDetector(0, 0.1, 2 * TICKS_PER_SECOND)
    table = {}
    now = 1
    strangers = wrong = 0
    for ticks, defers, n in steps:
        now += ticks * 100
        mark = fingerprint(n % 3, None, None, b"statement %d" % n)
        if defers:
            made.record_rejection(now, mark)
            table[mark] = now
            continue
        again = made.record_arrival(now, mark, 0, 10)
        since = now - table.get(mark, -1e9)
        if since < 2 * TICKS_PER_SECOND:
            assert again
        elif since > 4 * TICKS_PER_SECOND + 400 * 100:
            strangers = strangers + 1
            wrong = wrong + again
    assert wrong <= 2 + 0.05 * strangers


def test_marks_know_a_token_ahead_of_a_key_ahead_of_a_statement():
    assert (
        fingerprint(1, b"t", b"k", b"a")
        == fingerprint(1, b"t", b"x", b"b")
        != fingerprint(2, b"t", b"k", b"a")
    )
    assert (
        fingerprint(1, None, b"k", b"a")
        == fingerprint(1, None, b"k", b"b")
        != fingerprint(1, b"k", None, b"a")
    )
    assert fingerprint(1, None, None, b"a") != fingerprint(1, None, None, b"b")


def test_memory_is_bounded_whatever_comes():
    made = StormDetector(0, 0.1, 60 * TICKS_PER_SECOND)
    chance = random.Random(1)
    for n in range(3 * retry_storm.MAX_FINGERPRINTS):
        mark = chance.randbytes(16)
        made.record_rejection(n, mark)
        made.record_arrival(n, mark, n, 1)
    assert made.rejected_queries.count <= retry_storm.MAX_FINGERPRINTS
    assert len(made.steps) <= retry_storm.WINDOW_STEPS
    assert all(len(step.sources) <= retry_storm.MAX_SOURCES + 1 for step in made.steps)


def test_it_judges_the_same_in_other_processes_and_hash_seeds():
    code = (
        "import sys; sys.path[:0] = ['tests', 'client', '.']\n"
        "from scheduling.test_retry_storm import storm_events\n"
        'print(storm_events(\'trouble "slow" at="15s" for="8s" size=8\', 8))\n'
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            cwd=ROOT,
            check=True,
            env={"PYTHONHASHSEED": seed, "PATH": ""},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(said) == 1 and b"begins" in said.pop()


# On sockets


def test_a_dispatcher_logs_a_storm_and_counts_clients_that_ignore_retry_after():
    text = DAY.format(
        gateways=1,
        retries=12,
        more='longest-advice "2s"\n list-delay "100ms"\ntrouble "slow" at="3s" for="4s" size=14',
    ).replace('"40s"', '"10s"')
    served = Served(text, watch=storms.Part(None))
    script = scripts.read_text(text)
    Load(script, 1, served.address, 128).run()
    served.end()
    served.service.log.close()
    served.service.writer.join(5)
    lines = [orjson.loads(line) for line in os.pread(served.log.fileno(), 1 << 24, 0).splitlines()]
    begun = [line for line in lines if line["event"] == "storm-begins" and line["kind"] == StormState.STORM]
    assert begun and begun[0]["repeats"] > 0.1 and begun[0]["one"] < 0.5
    shown = served.service.counters.shown()
    assert shown["repeats"] > 50 and shown["advised"] > 50 and shown["advice-ignored"] > 10
    assert shown.get("faults", 0) == 0 and shown["storm-begins-storm"] >= 1


def test_without_the_node_nothing_of_the_watch_is_imported_and_a_change_needs_a_restart(tmp_path):
    code = (
        "import sys\nfrom wickvane.net.service import Service\n"
        "print([name for name in sys.modules if 'storm' in name or 'rbloom' in name])"
    )
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, cwd=ROOT, check=True).stdout
    assert said == b"[]\n"
    with pytest.raises(parts.InvalidDocumentError, match='storms > remember "1ms": expected'):
        parts.read_text('storms { remember "1ms" }')
    assert parts.read_text("storms") == {"storms": storms.Part(None)}
    assert parts.read(os.path.join(ROOT, "deploy", "storms.kdl"))["storms"].remember == 600_000
