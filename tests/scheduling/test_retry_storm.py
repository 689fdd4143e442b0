"""Retry storms are detected, and distinguished from growth, a loop of one client and slow engines."""

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
    gateways {dispatcher_count}
    engines "e" count=6 cores=4 disks=4
    group "lookup" {{ work "100ms"; promise "600ms"; timeout "2s" }}
    group "doomed" {{ work "20s"; spread 0; promise "100ms"; timeout "1s" }}
    clients "a" {{ group "lookup"; rate 120; retries {retries}; back-off "200ms" }}
    {more}
    budget free=3 share=0.1 window="5s"
    watch-storms #true
}}"""


def storm_events(more: str = "", retries: int = 2, dispatcher_count: int = 1, seed: int = 1) -> list[tuple]:
    """Plays a day and returns its storm events as (time in seconds, dispatcher, event, fields)."""
    text = DAY.format(more=more, retries=retries, dispatcher_count=dispatcher_count)
    outcome = world.play(scripts.read_text(text), seed, False)
    assert outcome.breaches == []
    return outcome.world.storms


def begin_events(events: list[tuple]) -> list[tuple[float, str]]:
    """Returns the time and the kind of each state that began."""
    return [(at, fields["kind"]) for at, _, event, fields in events if event == "begins"]


def test_slow_engines_with_clients_that_retry_are_a_storm_that_begins_and_ends():
    events = storm_events('trouble "slow" at="15s" for="8s" size=8', retries=8)
    storms = [at for at, kind in begin_events(events) if kind == StormState.STORM]
    ends = [
        (at, fields)
        for at, _, event, fields in events
        if event == "ends" and fields["kind"] == StormState.STORM
    ]
    assert len(storms) == 1 and 15 < storms[0] < 21 and len(ends) == 1
    assert storms[0] < ends[0][0] < 38
    fields = next(
        fields for at, _, event, fields in events if event == "begins" and fields["kind"] == StormState.STORM
    )
    assert fields["repeats"] > 0.1 and fields["offered"] > fields["done"] and fields["one"] < 0.2


@pytest.mark.parametrize("dispatcher_count", [1, 8])
@pytest.mark.parametrize("seed", range(2))
def test_neither_calm_nor_doubled_traffic_nor_a_deploy_is_a_storm(dispatcher_count, seed):
    assert {kind for _, kind in begin_events(storm_events(dispatcher_count=dispatcher_count, seed=seed))} <= {
        StormState.SLOW,
        StormState.GROWTH,
    }
    doubled = storm_events(
        'clients "new" { group "lookup"; rate 80; since "15s" }', dispatcher_count=dispatcher_count, seed=seed
    )
    assert StormState.STORM not in {kind for _, kind in begin_events(doubled)}
    deploy = storm_events(
        'trouble "deploy" at="10s" for="12s" part=0.5 size=1', dispatcher_count=dispatcher_count, seed=seed
    )
    assert StormState.STORM not in {kind for _, kind in begin_events(deploy)}


def test_traffic_over_capacity_without_retries_is_growth():
    kinds = {
        kind
        for _, kind in begin_events(
            storm_events('clients "new" { group "lookup"; rate 300; since "15s" }', 0)
        )
    }
    assert StormState.GROWTH in kinds and not kinds & {StormState.STORM, StormState.LOOP}


def test_one_client_that_repeats_a_query_without_end_is_a_loop():
    more = 'clients "loop" { group "doomed"; closed 1; think "1ms"; retries 20; back-off "1ms"; since "15s" }'
    kinds = [kind for at, kind in begin_events(storm_events(more)) if at > 15]
    assert StormState.LOOP in kinds and StormState.STORM not in kinds


def test_few_slow_engines_are_no_storm():
    kinds = {
        kind for _, kind in begin_events(storm_events('trouble "slow" at="15s" for="10s" part=0.17 size=6'))
    }
    assert StormState.SLOW in kinds and not kinds & {StormState.STORM, StormState.LOOP}


def test_a_storm_lasts_while_engines_become_slow_a_second_time():
    events = storm_events(
        'trouble "slow" at="12s" for="6s" size=8\n trouble "slow" at="20s" for="6s" size=8', retries=8
    )
    storm = [(at, event) for at, _, event, fields in events if fields["kind"] == StormState.STORM]
    assert storm[0][1] == "begins" and storm[-1][1] == "ends" and storm[-1][0] > 26


# Tests that call the detector directly


def feed(
    detector: StormDetector,
    now: int,
    seconds: float,
    arrivals: int,
    retries: float,
    answered: float,
    rejected: float = 0.0,
) -> list[StormEvent]:
    """Feeds queries to a detector for some seconds and returns its events.

    arrivals: per second, at least 100; retries: the share that repeats one of 40 queries rejected at the
    start; answered, rejected: shares of the queries.
    """
    rng = random.Random(now)
    events = []
    for n in range(40):
        detector.record_rejection(now, fingerprint(0, None, None, b"%d" % n))
    for tick in range(int(seconds * 100)):
        at = now + tick * TICKS_PER_SECOND // 100
        events += detector.end_step(at)
        for _ in range(arrivals // 100):
            is_retry = rng.random() < retries
            n = rng.randrange(40)
            query_fingerprint = fingerprint(0, None, None, b"%d" % n) if is_retry else rng.randbytes(16)
            detector.record_arrival(at, query_fingerprint, n, 100)
            if rng.random() < answered:
                detector.record_answer(False, 100)
            if rng.random() < rejected:
                detector.record_rejection(at, rng.randbytes(16))
    return events


def test_a_storm_deepens_with_more_retries_and_does_not_end_after_one_step_without_it():
    detector = StormDetector(0, 0.1, 100_000)
    assert [event for event, _ in feed(detector, 1, 4, 400, 0.35, 0.5, 0.3)] == [
        "begins"
    ] and detector.state == StormState.STORM
    assert "deepens" in [event for event, _ in feed(detector, 4 * TICKS_PER_SECOND, 4, 400, 0.8, 0.3, 0.6)]
    assert detector.end_step(8 * TICKS_PER_SECOND + STEP_TICKS) == [] and detector.state == StormState.STORM
    feed(detector, 9 * TICKS_PER_SECOND, 2, 400, 0.8, 0.3, 0.6)
    assert [
        fields["kind"]
        for event, fields in feed(detector, 12 * TICKS_PER_SECOND, 6, 400, 0.0, 1.2)
        if event == "ends"
    ][:1] == [StormState.STORM]
    assert detector.state == StormState.CALM


def test_the_usual_share_of_retries_is_not_a_storm():
    """If 15 % of the queries on calm days are retries, 30 % are not a storm."""
    detector = StormDetector(0, 0.1, 100_000)
    for n in range(40):
        feed(detector, n * 4 * TICKS_PER_SECOND, 4, 200, 0.15, 1.1)
    assert detector.state == StormState.CALM and detector.usual_retries > 0.05
    assert (
        not feed(detector, 170 * TICKS_PER_SECOND, 3, 400, 0.3, 0.9, 0.2)
        or detector.state != StormState.STORM
    )


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans(), st.integers(0, 30)), min_size=1, max_size=300))
@settings(max_examples=60, deadline=None)
def test_rejected_queries_are_remembered_as_by_a_plain_table(steps):
    """None is forgotten early; after twice the time only false positives of the Bloom filter are known."""
    detector = StormDetector(0, 0.1, 2 * TICKS_PER_SECOND)
    rejected_at = {}
    now = 1
    forgotten = false_positives = 0
    for ticks, is_rejected, n in steps:
        now += ticks * 100
        query_fingerprint = fingerprint(n % 3, None, None, b"statement %d" % n)
        if is_rejected:
            detector.record_rejection(now, query_fingerprint)
            rejected_at[query_fingerprint] = now
            continue
        is_retry = detector.record_arrival(now, query_fingerprint, 0, 10)
        since = now - rejected_at.get(query_fingerprint, -1e9)
        if since < 2 * TICKS_PER_SECOND:
            assert is_retry
        elif since > 4 * TICKS_PER_SECOND + 400 * 100:
            forgotten = forgotten + 1
            false_positives = false_positives + is_retry
    assert false_positives <= 2 + 0.05 * forgotten


def test_a_fingerprint_prefers_the_token_to_the_key_and_the_key_to_the_statement():
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


def test_the_memory_of_the_detector_is_limited():
    detector = StormDetector(0, 0.1, 60 * TICKS_PER_SECOND)
    rng = random.Random(1)
    for n in range(3 * retry_storm.MAX_FINGERPRINTS):
        query_fingerprint = rng.randbytes(16)
        detector.record_rejection(n, query_fingerprint)
        detector.record_arrival(n, query_fingerprint, n, 1)
    assert detector.rejected_queries.count <= retry_storm.MAX_FINGERPRINTS
    assert len(detector.steps) <= retry_storm.WINDOW_STEPS
    assert all(len(step.sources) <= retry_storm.MAX_SOURCES + 1 for step in detector.steps)


def test_detection_is_the_same_in_processes_with_different_hash_seeds():
    code = (
        "import sys; sys.path[:0] = ['tests', 'client', '.']\n"
        "from scheduling.test_retry_storm import storm_events\n"
        'print(storm_events(\'trouble "slow" at="15s" for="8s" size=8\', 8))\n'
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            cwd=ROOT,
            check=True,
            env={"PYTHONHASHSEED": seed, "PATH": ""},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1 and b"begins" in outputs.pop()


# Tests with a dispatcher on sockets


def test_a_dispatcher_logs_a_storm_and_counts_clients_that_ignore_retry_after():
    text = DAY.format(
        dispatcher_count=1,
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
    begins = [line for line in lines if line["event"] == "storm-begins" and line["kind"] == StormState.STORM]
    assert begins and begins[0]["repeats"] > 0.1 and begins[0]["one"] < 0.5
    shown = served.service.counters.shown()
    assert shown["repeats"] > 50 and shown["advised"] > 50 and shown["advice-ignored"] > 10
    assert shown.get("faults", 0) == 0 and shown["storm-begins-storm"] >= 1


def test_without_the_node_the_detector_is_not_imported_and_the_node_is_validated(tmp_path):
    code = (
        "import sys\nfrom wickvane.net.service import Service\n"
        "print([name for name in sys.modules if 'storm' in name or 'rbloom' in name])"
    )
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, cwd=ROOT, check=True).stdout
    assert output == b"[]\n"
    with pytest.raises(parts.InvalidDocumentError, match='storms > remember "1ms": expected'):
        parts.read_text('storms { remember "1ms" }')
    assert parts.read_text("storms") == {"storms": storms.Part(None)}
    assert parts.read(os.path.join(ROOT, "deploy", "storms.kdl"))["storms"].remember == 600_000
