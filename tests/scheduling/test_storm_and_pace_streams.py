"""The detector of retry storms and the pacing of connections report what commit c5b2902 reported."""

from collections.abc import Iterable
from random import Random

import pytest

from scheduling.command_digest import CommandDigest
from wickvane.scheduling.connection_pacing import ConnectionPacing
from wickvane.scheduling.retry_storm import StormDetector, fingerprint

# Seconds; and for each step of 10 ms: queries, shares of retries, of one source, of answers and of
# rejections.
PHASES = (
    (6, 2, 0.02, 0.0, 1.1, 0.0),
    (6, 5, 0.40, 0.1, 0.5, 0.4),
    (6, 6, 0.80, 0.1, 0.3, 0.6),
    (5, 2, 0.02, 0.0, 1.2, 0.0),
    (4, 4, 0.60, 0.9, 1.0, 0.1),
    (5, 6, 0.03, 0.0, 0.4, 0.4),
    (5, 2, 0.02, 0.0, 1.2, 0.0),
)


def add_events(digest: CommandDigest, now: int, events: Iterable) -> None:
    """Adds events with their fields to the digest."""
    for event, fields in events:
        digest.add(now, event, *sorted(fields.items()))


def storm_stream(seed: int, ratio: float, memory: int) -> CommandDigest:
    """Returns the digest of a seeded sequence of queries, answers, rejections and attempts."""
    rng = Random(seed)
    digest = CommandDigest()
    detector = StormDetector(0, ratio, memory)
    now = 0
    for seconds, arrivals, retries, one_source, answered, rejected in PHASES * 2:
        slow_engine = rng.random() < 0.5
        for _ in range(seconds * 100):
            now += rng.choice([50, 100, 150])
            add_events(digest, now, detector.end_step(now))
            if rng.random() < 0.05:
                detector.record_connection()
            for _ in range(arrivals):
                is_retry = rng.random() < retries
                statement = b"%d" % rng.randrange(60) if is_retry else rng.randbytes(12)
                query_fingerprint = fingerprint(rng.randrange(2), None, None, statement)
                source = 7 if rng.random() < one_source else rng.randrange(100)
                digest.add(now, "arrived", detector.record_arrival(now, query_fingerprint, source, 100))
                if rng.random() < answered:
                    detector.record_answer(rng.random() < 0.1, 100)
                if rng.random() < rejected or is_retry:
                    detector.record_rejection(now, query_fingerprint)
            engine = rng.randrange(8)
            detector.record_attempt(now, engine, 100 * (5 if slow_engine and engine < 2 else 1), 100)
        detector.remove_engine(rng.randrange(8))
    digest.add(now, "state", detector.state.value, detector.usual_retries, *sorted(detector.counts.items()))
    return digest


def pacing_stream(seed: int, max_retry_after: int) -> CommandDigest:
    """Returns the digest of a seeded sequence of connections, with overload at times."""
    rng = Random(seed)
    digest = CommandDigest()
    pacing = ConnectionPacing(0, 5_000, 1.0, max_retry_after, seed)
    cpu = 0.0
    now = 0
    for step in range(4000):
        now += rng.choice([100, 400, 700])
        is_overloaded = step // 300 % 3 == 1
        cpu += rng.uniform(0.03, 0.045) if is_overloaded else 0.005
        lag = rng.choice([0, 700]) if is_overloaded else 3
        add_events(digest, now, pacing.observe(now, lag, cpu))
        for _ in range(rng.randrange(12) if is_overloaded else rng.randrange(3)):
            admitted = pacing.admits(now, rng.random() < 0.05)
            digest.add(now, "connection", admitted, 0 if admitted else pacing.retry_after(now))
    return digest


STORM_DIGESTS = {  # recorded from commit c5b2902
    1: "41d9e3f7d11c0f148a509f6aa66110c4",
    2: "cd30e2dfa18879dc5af674b6ee10420d",
    3: "02fdd1873d8b59345f4764c391491cdc",
}
PACING_DIGESTS = {  # recorded from commit c5b2902
    1: "678f061e252f3121c4d70387903e3645",
    2: "c164200890b039dd5e768b04cf38e3cd",
    3: "84966137d2c0e19bd653717639243f94",
}


@pytest.mark.parametrize("seed, ratio, memory", [(1, 0.1, 100_000), (2, 0.0, 20_000), (3, 0.4, 0)])
def test_storm_events_equal_those_of_commit_c5b2902(seed, ratio, memory):
    digest = storm_stream(seed, ratio, memory)
    assert digest.value() == STORM_DIGESTS[seed]


@pytest.mark.parametrize("seed, max_retry_after", [(1, 20_000), (2, 0), (3, 2_000)])
def test_pacing_events_and_admissions_equal_those_of_commit_c5b2902(seed, max_retry_after):
    digest = pacing_stream(seed, max_retry_after)
    assert digest.value() == PACING_DIGESTS[seed]
