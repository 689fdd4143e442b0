"""How long those deferred are told to stay away: the pace at which work is done, and what a driver reads
of it."""

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
from wickvane.scheduling.deadlines import WORK_MEMORY
from wickvane.scheduling.scheduler import Scheduler

STORM = SMALL.replace("retries 1", 'retries 6; back-off "100ms"; heeds #{heeds}').replace("12s", "20s")


def new_scheduler(longest: int = 50_000) -> Scheduler:
    deployment = world.deployment(scripts.read_text(SMALL.format(more="")))
    return Scheduler(3, deployment._replace(max_retry_after=longest))


class RejectionRecorder:
    """A writer that keeps the Retry-After of rejected queries."""

    def __init__(self) -> None:
        self.retry_afters: list[int] = []

    def reject(self, query: int, retry_after: int) -> None:
        """Keeps it."""
        self.retry_afters.append(retry_after)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


def reject_queries(made: Scheduler, now: int, out: RejectionRecorder, count: int, cost: int = 1000) -> None:
    """So many queries that no engine can run: none is listed, and their time is nearly over."""
    for n in range(count):
        made.round(now, [QueryArrived(n, 0, 0, cost, 10, 0, None, 300)], out)
    for later in range(now, now + 400, 100):
        made.round(later, [], out)


def test_retries_are_spread_one_behind_another_at_the_rate_of_the_work_done():
    made = new_scheduler()
    out = RejectionRecorder()
    # four cores' worth, just now
    made.retry_after.recent_work = 4.0 * WORK_MEMORY
    made.retry_after.recent_work_at = 10_000
    reject_queries(made, 10_000, out, 20)
    assert len(out.retry_afters) == 20 and min(out.retry_afters) > 0
    gaps = [b - a for a, b in zip(out.retry_afters, out.retry_afters[1:])]
    # 100 ms of work each at the pace of four cores, which fades while nothing is finished.
    assert all(240 <= gap <= 400 for gap in gaps), gaps


@pytest.mark.parametrize("pace", [0.0, 0.001])
def test_no_retry_after_is_over_the_setting_and_none_are_equal_where_nothing_is_done(pace):
    made = new_scheduler(20_000)
    out = RejectionRecorder()
    made.retry_after.recent_work = pace * WORK_MEMORY
    made.retry_after.recent_work_at = 10_000
    reject_queries(made, 10_000, out, 60)
    assert len(out.retry_afters) == 60 and max(out.retry_afters) <= 20_000
    assert len(set(out.retry_afters)) > 50 and min(out.retry_afters) >= 10_000


def test_no_retry_after_is_named_where_the_setting_is_0():
    made = new_scheduler(0)
    out = RejectionRecorder()
    reject_queries(made, 10_000, out, 10)
    assert out.retry_afters == [0] * 10


def test_a_pace_is_the_work_finished_lately_as_a_plain_reckoning_has_it():
    chance = random.Random(2)
    made = new_scheduler()
    out = RejectionRecorder()
    now = 0
    plain = 0.0
    made.round(0, [EngineUpdated(0, b"e", EngineState.READY, 0, 0, 0, 0, 1.0)], out)
    before = 0
    for q in range(200):
        now += chance.randrange(1, 2000)
        work = chance.randrange(1, 5000)
        made.round(now, [QueryArrived(q, 0, 0, 100, 10, 0, None, 30_000)], out)
        made.round(now, [AttemptEnded(q, 0, 0, Ending.FINISHED, 5, True, work, 0, None)], out)
        plain = plain * max(0.0, 1 - (now - before) / WORK_MEMORY) + work
        before = now
        assert made.retry_after.recent_work == pytest.approx(plain)


def error_of(dispatcher: TdsDispatcher, **fields: Any) -> psycopg.Error:
    host, _, port = dispatcher.found["listen"].rpartition(":")
    with psycopg.connect(
        host=host, port=int(port), sslmode="disable", user="a", dbname="b", autocommit=True
    ) as connection:
        with pytest.raises(psycopg.Error) as wrong:
            connection.execute(statement(**fields))
    return wrong.value


def test_a_postgres_driver_reads_the_advice_in_detail_and_hint_and_no_answer_waits_for_it():
    # Engines that turn all away: the query is deferred as soon as the module gives it up.
    engines = [Engine(lambda txn, words: b"%b SHED - 0\r\n\r\n" % txn) for _ in range(2)]
    dispatcher = TdsDispatcher(*engines, limits={"retry_after": True, "max_retry_after_ms": 4000.0})
    began = time.monotonic()
    error = error_of(dispatcher, limit=600)
    assert time.monotonic() - began < 2
    assert error.sqlstate == "53000" and error.diag.message_hint.startswith("Try again in ")
    name, _, value = error.diag.message_detail.partition("=")
    assert name == "stay-away" and 2000 <= int(value.removesuffix("ms")) <= 4000
    plain = TdsDispatcher(*engines)
    error = error_of(plain, limit=600, n=2)
    assert error.sqlstate == "53000" and error.diag.message_detail is None and error.diag.message_hint is None


def test_a_tds_driver_reads_it_in_the_error_s_text_and_state():
    engine = TdsEngine()
    engine.refuses = (40613, 1, 20, "moving")
    dispatcher = TdsDispatcher(engine, limits={"retry_after": True, "max_retry_after_ms": 4000.0})
    with dispatcher.connect() as client, client.cursor() as cursor:
        with pytest.raises(Exception) as wrong:
            cursor.execute(statement(limit=600))
    said = str(wrong.value)
    assert "stay-away=" in said
    away = int(said.partition("stay-away=")[2].partition("ms")[0])
    assert 2000 <= away <= 4000
    assert [errors.error_state(ms) for ms in (0, 1, 100, 101, 25_300, 10**6)] == [1, 3, 3, 4, 255, 255]


@pytest.mark.parametrize("heeds", ["true", "false"])
def test_rules_hold_in_a_storm_whether_advice_is_heeded_or_not(heeds):
    text = STORM.replace("#{heeds}", "#" + heeds).format(
        more="""
        longest-advice "5s"
        trouble "slow" at="4s" for="6s" size=10
        trouble "storm" at="4s" for="6s" size=2"""
    )
    outcome = world.play(scripts.read_text(text), 1, False)
    assert outcome.breaches == [] and outcome.counts["deferred"] > 100
