"""A decider's observer counts its queries for other dispatchers, and turns their reports into events."""

import pytest
from bench_free import SETTINGS, statement

from wickvane.events import FOREVER, Ending, EngineJudged, EngineState, InFlightElsewhere, TenantsCharged
from wickvane.id_registry import IdRegistry
from wickvane.net.decider import OBSERVED, Decider
from wickvane.net.exchange import Exchange, PendingQuery
from wickvane.net.statement import Reader
from wickvane.quotas.decision_observer import (
    DecisionObserver,
    InFlightReport,
    UsageReport,
    VerdictsReport,
)
from wickvane.quotas.engine_judgement import EngineVerdict
from wickvane.quotas.lease_broker import Quota, QuotaUpdate
from wickvane.quotas.snapshot import DispatcherSnapshot

NOW = 17_000_000_000_000
ENGINE = ("e", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)
READER = Reader(IdRegistry(SETTINGS))


class FixedClock:
    """A clock that does not advance."""

    def now(self) -> int:
        return NOW


class Recorder:
    """A log and counters that record log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def line(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))

    def add(self, name: str, n: int = 1) -> None:
        pass


@pytest.fixture
def decider() -> Decider:
    clock, recorder = FixedClock(), Recorder()
    exchange = Exchange(clock, recorder)
    decider = Decider(exchange, IdRegistry(SETTINGS), 1, clock, recorder, recorder)
    # The cluster's clock is 500 ticks behind the decider's.
    decider.observer = DecisionObserver(decider.scheduler, decider.registry, 500)
    decider.round([("listed", True, [ENGINE])])
    return decider


def accept(decider: Decider, n: int) -> PendingQuery:
    """Submits a query, which the decider accepts and sends to the only engine; returns it."""
    pending = PendingQuery(NOW, **READER.read(statement(n=n).encode()))
    decider.exchange.submit(pending)
    decider.round(decider.exchange.inbox.take(0))
    return pending


def snapshot(decider: Decider) -> DispatcherSnapshot:
    """Returns the snapshot that the cluster's thread takes after a round."""
    decider.observer.round_finished(decider.now)
    return decider.observer.buffer.take(NOW)


def test_a_query_is_counted_when_it_is_accepted_sent_and_finished(decider):
    pending = accept(decider, 1)
    group = decider.registry.group_names[pending.resource_group]
    tenant = decider.observer.tenant_names[pending.tenant]
    accepted = snapshot(decider)
    assert dict(accepted.increments) == {f"taken/{group}/{tenant}": 1, "sent/e": 1}
    assert accepted.threads_by_engine == {"e": 1}
    decider.round([("ended", pending.attempt, Ending.FINISHED, 700, True)])
    ended = snapshot(decider)
    assert dict(ended.increments) == {"done/e": 1, f"finished/{group}/{tenant}": 1}
    assert ended.threads_by_engine == {}
    assert [(outcome.engine, outcome.failed) for outcome in ended.outcomes] == [("e", 0)]
    assert ended.work_by_tenant[tenant] > 0 and ended.requested_work > 0
    assert ended.ready_engines == ["e"]


def test_a_failed_attempt_is_evidence_against_its_engine(decider):
    pending = accept(decider, 1)
    snapshot(decider)
    decider.round([("ended", pending.attempt, Ending.RESET, 700, True)])
    assert snapshot(decider).outcomes == [("e", 1, None)]


def test_rejected_and_failed_queries_are_counted(decider):
    pending = accept(decider, 1)
    group = decider.registry.group_names[pending.resource_group]
    tenant = decider.observer.tenant_names[pending.tenant]
    snapshot(decider)
    decider.reject(pending.index, 0)
    decider.fail(pending.index)
    assert dict(snapshot(decider).increments) == {
        f"deferred/{group}/{tenant}": 1,
        f"killed/{group}/{tenant}": 1,
    }


def test_a_quota_takes_effect_in_the_round_that_receives_it(decider):
    assert snapshot(decider).acknowledged_update == 0
    update = QuotaUpdate(3, [Quota(0.5, NOW + 1_000, 0.25), Quota(2.0, None, 1.0)])
    decider.exchange.inbox.put((OBSERVED, update), always=True)
    decider.round(decider.exchange.inbox.take(0))
    assert snapshot(decider).acknowledged_update == 3
    assert list(decider.observer.fleet.leases.values()) == [(0.5, NOW + 1_500, 0.25), (2.0, FOREVER, 1.0)]


def test_reports_of_other_dispatchers_become_events_with_their_age(decider):
    observer = decider.observer
    engine = decider.registry.engines.index_of["e"]
    in_flight = InFlightReport({"e": 5, "unlisted": 7}, 30, NOW - 20)
    assert list(observer.events_of(in_flight, NOW)) == [InFlightElsewhere(engine, 5, 50)]
    verdicts = VerdictsReport(
        {"e": EngineVerdict(True, 2.5, 40), "unlisted": EngineVerdict(True, 0.0, 1)}, NOW
    )
    assert list(observer.events_of(verdicts, NOW + 10)) == [EngineJudged(engine, True, 2.5, 50)]
    (charged,) = observer.events_of(UsageReport({observer.tenant_names[0]: 3}), NOW)
    assert charged == TenantsCharged([30] + [0] * (len(observer.tenant_names) - 1))
