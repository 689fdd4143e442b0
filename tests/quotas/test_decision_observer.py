"""What a dispatcher counts of its own queries for others, and what their news does to its decider."""

import pytest
from bench_free import SETTINGS, statement

from wickvane.events import FOREVER, Ending, EngineState
from wickvane.id_registry import IdRegistry
from wickvane.net.decider import Decider
from wickvane.net.exchange import Exchange, PendingQuery
from wickvane.net.statement import Reader
from wickvane.quotas.deciding import counting

NOW = 17_000_000_000_000
ENGINE = ("e", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)
READER = Reader(IdRegistry(SETTINGS))


class StillClock:
    """A clock that does not advance."""

    def now(self) -> int:
        return NOW


class Recorder:
    """Log and counters that keep what they are given."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def line(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))

    def add(self, name: str, n: int = 1) -> None:
        pass


@pytest.fixture
def decider() -> Decider:
    clock, recorder = StillClock(), Recorder()
    exchange = Exchange(clock, recorder)
    made = counting(Decider, 500)(exchange, IdRegistry(SETTINGS), 1, clock, recorder, recorder)
    made.round([("listed", True, [ENGINE])])
    return made


def accept(decider: Decider, n: int) -> PendingQuery:
    """A query that the decider takes in and sends to the only engine."""
    pending = PendingQuery(NOW, **READER.read(statement(n=n).encode()))
    decider.exchange.take(pending)
    decider.round(decider.exchange.inbox.take(0))
    return pending


def test_a_query_is_counted_when_it_is_taken_sent_and_finished(decider):
    pending = accept(decider, 1)
    group = decider.registry.group_names[pending.resource_group]
    tenant = decider.tenant_names[pending.tenant]
    taken = decider.box.take(NOW)
    assert dict(taken.sums) == {f"taken/{group}/{tenant}": 1, "sent/e": 1}
    assert taken.levels == {"e": 1}
    decider.round([("ended", pending.attempt, Ending.FINISHED, 700, True)])
    ended = decider.box.take(NOW)
    assert dict(ended.sums) == {"done/e": 1, f"finished/{group}/{tenant}": 1}
    assert ended.levels == {}
    assert [(engine, failed) for engine, failed, _ in ended.met] == [("e", 0)]
    assert ended.works[tenant] > 0 and ended.asked > 0 and ended.ready == ["e"]


def test_an_attempt_that_fails_is_evidence_against_its_engine(decider):
    pending = accept(decider, 1)
    decider.box.take(NOW)
    decider.round([("ended", pending.attempt, Ending.RESET, 700, True)])
    assert decider.box.take(NOW).met == [("e", 1, None)]


def test_a_quota_is_in_effect_from_the_round_that_takes_it_in(decider):
    assert decider.box.take(NOW).taken == 0
    decider.round([("parted", 3, [(0.5, NOW + 1_000, 0.25), (2.0, None, 1.0)])])
    assert decider.box.take(NOW).taken == 3
    # The peers' clock is 500 ticks behind the decider's.
    assert decider.fleet.leases == [(0.5, NOW + 1_500, 0.25), (2.0, FOREVER, 1.0)]
