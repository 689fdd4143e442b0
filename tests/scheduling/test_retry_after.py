"""Retry-After of rejected queries: how it follows the rate of finished work, and how drivers receive it."""

import random
import time
from collections.abc import Callable
from typing import Any

import psycopg
import pytest
from bench_free import Engine, statement
from standins.tds_engine import TdsEngine
from tds.helpers import Dispatcher as TdsDispatcher
from test_rehearsal import SMALL

from wickvane.events import AttemptEnded, Ending, EngineState, EngineUpdated, QueryArrived
from wickvane.net.tds import errors
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal import world
from wickvane.scheduling.deadlines import WORK_FADE_TICKS
from wickvane.scheduling.scheduler import Scheduler

STORM = SMALL.replace("retries 1", 'retries 6; back-off "100ms"; heeds #{heeds}').replace("12s", "20s")


def new_scheduler(max_retry_after: int = 50_000) -> Scheduler:
    deployment = world.deployment(scripts.read_text(SMALL.format(more="")))
    return Scheduler(3, deployment._replace(max_retry_after=max_retry_after))


class RejectionRecorder:
    """A writer that records the Retry-After of rejected queries."""

    def __init__(self) -> None:
        self.retry_afters: list[int] = []

    def reject(self, query: int, retry_after: int) -> None:
        """Records the Retry-After."""
        self.retry_afters.append(retry_after)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


def reject_queries(
    scheduler: Scheduler, now: int, out: RejectionRecorder, count: int, cost: int = 1000
) -> None:
    """Adds `count` queries that are rejected: no engine is listed, and little time is left."""
    for n in range(count):
        scheduler.round(now, [QueryArrived(n, 0, 0, cost, 10, 0, None, 300)], out)
    for later in range(now, now + 400, 100):
        scheduler.round(later, [], out)


def test_retries_are_spread_one_after_another_at_the_rate_of_finished_work():
    scheduler = new_scheduler()
    out = RejectionRecorder()
    # Work finished at the rate of four cores.
    scheduler.retry_after.recent_work = 4.0 * WORK_FADE_TICKS
    scheduler.retry_after.recent_work_at = 10_000
    reject_queries(scheduler, 10_000, out, 20)
    assert len(out.retry_afters) == 20 and min(out.retry_afters) > 0
    gaps = [b - a for a, b in zip(out.retry_afters, out.retry_afters[1:])]
    # Each query is 100 ms of work. The rate of four cores falls while no work is finished.
    assert all(240 <= gap <= 400 for gap in gaps), gaps


@pytest.mark.parametrize("rate", [0.0, 0.001])
def test_retry_after_stays_within_the_setting_and_varies_if_no_work_is_finished(rate):
    scheduler = new_scheduler(20_000)
    out = RejectionRecorder()
    scheduler.retry_after.recent_work = rate * WORK_FADE_TICKS
    scheduler.retry_after.recent_work_at = 10_000
    reject_queries(scheduler, 10_000, out, 60)
    assert len(out.retry_afters) == 60 and max(out.retry_afters) <= 20_000
    assert len(set(out.retry_afters)) > 50 and min(out.retry_afters) >= 10_000


def test_rejections_have_no_retry_after_if_the_setting_is_0():
    scheduler = new_scheduler(0)
    out = RejectionRecorder()
    reject_queries(scheduler, 10_000, out, 10)
    assert out.retry_afters == [0] * 10


def test_the_recently_finished_work_equals_that_of_a_plain_model():
    rng = random.Random(2)
    scheduler = new_scheduler()
    out = RejectionRecorder()
    now = 0
    expected = 0.0
    scheduler.round(0, [EngineUpdated(0, b"e", EngineState.READY, 0, 0, 0, 0, 1.0)], out)
    before = 0
    for query in range(200):
        now += rng.randrange(1, 2000)
        work = rng.randrange(1, 5000)
        scheduler.round(now, [QueryArrived(query, 0, 0, 100, 10, 0, None, 30_000)], out)
        scheduler.round(now, [AttemptEnded(query, 0, 0, Ending.FINISHED, 5, True, work, 0, None)], out)
        expected = expected * max(0.0, 1 - (now - before) / WORK_FADE_TICKS) + work
        before = now
        assert scheduler.retry_after.recent_work == pytest.approx(expected)


def error_of(dispatcher: TdsDispatcher, **fields: Any) -> psycopg.Error:
    """Returns the error that a PostgreSQL driver raises for a statement with these fields."""
    host, _, port = dispatcher.found["listen"].rpartition(":")
    with psycopg.connect(
        host=host, port=int(port), sslmode="disable", user="a", dbname="b", autocommit=True
    ) as connection:
        with pytest.raises(psycopg.Error) as caught:
            connection.execute(statement(**fields))
    return caught.value


def test_a_postgres_driver_reads_retry_after_in_detail_and_hint_without_delay_of_the_answer():
    # The engines reject every attempt, so the query is rejected as soon as the scheduler gives it up.
    engines = [Engine(lambda txn, words: b"%b SHED - 0\r\n\r\n" % txn) for _ in range(2)]
    dispatcher = TdsDispatcher(*engines, limits={"retry_after": True, "max_retry_after_ms": 4000.0})
    started_at = time.monotonic()
    error = error_of(dispatcher, limit=600)
    assert time.monotonic() - started_at < 2
    assert error.sqlstate == "53000" and error.diag.message_hint.startswith("Try again in ")
    name, _, value = error.diag.message_detail.partition("=")
    assert name == "stay-away" and 2000 <= int(value.removesuffix("ms")) <= 4000
    without_retry_after = TdsDispatcher(*engines)
    error = error_of(without_retry_after, limit=600, n=2)
    assert error.sqlstate == "53000" and error.diag.message_detail is None and error.diag.message_hint is None


def test_a_tds_driver_reads_retry_after_in_the_text_and_state_of_the_error():
    engine = TdsEngine()
    engine.refuses = (40613, 1, 20, "moving")
    dispatcher = TdsDispatcher(engine, limits={"retry_after": True, "max_retry_after_ms": 4000.0})
    with dispatcher.connect() as client, client.cursor() as cursor:
        with pytest.raises(Exception) as caught:
            cursor.execute(statement(limit=600))
    message = str(caught.value)
    assert "stay-away=" in message
    retry_after_ms = int(message.partition("stay-away=")[2].partition("ms")[0])
    assert 2000 <= retry_after_ms <= 4000
    assert [errors.error_state(ms) for ms in (0, 1, 100, 101, 25_300, 10**6)] == [1, 3, 3, 4, 255, 255]


@pytest.mark.parametrize("heeds", ["true", "false"])
def test_the_rules_hold_in_a_storm_whether_clients_follow_retry_after_or_not(heeds):
    text = STORM.replace("#{heeds}", "#" + heeds).format(
        more="""
        longest-advice "5s"
        trouble "slow" at="4s" for="6s" size=10
        trouble "storm" at="4s" for="6s" size=2"""
    )
    outcome = world.play(scripts.read_text(text), 1, False)
    assert outcome.breaches == [] and outcome.counts["deferred"] > 100
