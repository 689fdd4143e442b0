"""Verdicts on engines: several dispatchers are believed more than one."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas.engine_judgement import (
    FAILING_RATIO,
    HEALTHY_RATIO,
    MAX_SUSPECTED_DIVISOR,
    MIN_SLOWDOWN,
    MIN_SLOWDOWN_REPORTS,
    QUORUM,
    Judgement,
    judge_engines,
)
from wickvane.quotas.engine_reports import ReceivedReports
from wickvane.quotas.wire import EngineReport

ENGINES = [f"e{n}" for n in range(8)]
Reports = list[EngineReport]


def reports_of(failing: list[str] = (), slow: list[str] = (), tried: list[str] = ENGINES) -> Reports:
    """One dispatcher's reports."""
    return [EngineReport(e, 20, 20 if e in failing else 0, 40 if e in slow else 10) for e in tried]


def received(*dispatchers: Reports) -> dict[str, ReceivedReports]:
    """What so many dispatchers reported."""
    return {f"n{n}": ReceivedReports(reports, 100) for n, reports in enumerate(dispatchers)}


def judge(*dispatchers: Reports, engines: list[str] = ENGINES) -> Judgement:
    return judge_engines(received(*dispatchers), engines)


def suspected(judgement: Judgement) -> set[str]:
    return {engine for engine, verdict in judgement.verdicts.items() if verdict.faulty}


def test_one_voice_ejects_nothing_several_do_and_never_more_than_a_quarter():
    few = reports_of(tried=["e2", "e3"])
    for dispatchers in ([reports_of(["e1"])] + [few] * 9, [reports_of(["e1"])] * 2 + [few] * 9):
        assert judge(*dispatchers).verdicts == {}
    found = judge(*[reports_of(["e1"])] * 3, few)
    assert found.verdicts == {"e1": (True, 0.0, 100)} and found.exempted == []
    many = reports_of(["e1", "e2", "e3"])
    found = judge(many, many, many)
    assert sorted(found.verdicts) == ["e1", "e2"] and found.exempted == ["e3"]
    assert judge(*[reports_of(["e0"])] * 4, engines=["e0"]).verdicts == {}  # nowhere else to go


def test_an_engine_that_only_a_few_cannot_reach_stays():
    assert judge(*[reports_of(["e1"])] * 3, reports_of(), reports_of(), reports_of()).verdicts == {}


def test_a_dispatcher_that_finds_most_engines_failing_has_a_fault_on_its_own_path():
    path_fault = reports_of(ENGINES[:6])
    assert judge(path_fault, path_fault, path_fault).verdicts == {}


def test_slowness_is_against_the_median_engine_and_a_slow_pool_is_reported_as_such():
    found = judge(*[reports_of(slow=["e3"])] * 3)
    assert found.verdicts == {"e3": (False, 4.0, 100)} and found.pool_slowdown == 1.0
    strained = [EngineReport(e, 20, 0, 40) for e in ENGINES]
    found = judge(strained, strained, strained)
    assert found.verdicts == {} and found.pool_slowdown == 4.0
    # One that lies about slowness, or strains itself, moves no median.
    assert judge(reports_of(slow=["e3"]), reports_of(), reports_of()).verdicts == {}


def middle_of(figures: list[float]) -> float:
    """The median of sorted figures, computed plainly."""
    half = len(figures) // 2
    return figures[half] if len(figures) % 2 else (figures[half - 1] + figures[half]) / 2


class PlainVotes:
    """What all dispatchers say of one engine, by the words of the module's description alone."""

    def __init__(self, engine: str, dispatchers: list[Reports]) -> None:
        self.failing = 0
        self.healthy = 0
        self.slowdowns: list[float] = []
        for reports in dispatchers:
            self.add(engine, {report.engine: report for report in reports})

    def add(self, engine: str, reports: dict[str, EngineReport]) -> None:
        failing = [e for e, report in reports.items() if report.failures >= FAILING_RATIO * report.attempts]
        answering = sorted(report.slowdown for e, report in reports.items() if e not in failing)
        if engine not in reports or reports[engine].attempts == 0:
            return
        if engine in failing:
            self.failing += not (len(reports) > 1 and len(failing) * 2 > len(reports))
            return
        report = reports[engine]
        self.healthy += report.failures <= HEALTHY_RATIO * report.attempts
        if len(answering) >= 2 and middle_of(answering):
            self.slowdowns.append(report.slowdown / middle_of(answering))
        self.slowdowns.sort()


def plain_judgement(dispatchers: list[Reports], engines: list[str]) -> tuple[set[str], dict[str, float]]:
    """(suspected engines, slowdown by engine), one engine after the other."""
    slowdowns, by_majority = {}, []
    for engine in engines:
        votes = PlainVotes(engine, dispatchers)
        if votes.failing >= QUORUM and votes.failing > votes.healthy:
            by_majority.append((votes.healthy - votes.failing, engine))
        if len(votes.slowdowns) >= MIN_SLOWDOWN_REPORTS and middle_of(votes.slowdowns) >= MIN_SLOWDOWN:
            slowdowns[engine] = middle_of(votes.slowdowns)
    by_majority.sort()
    most = max(1, len(engines) // MAX_SUSPECTED_DIVISOR) if len(engines) > 1 else 0
    return {engine for _, engine in by_majority[:most]}, slowdowns


figures = st.tuples(st.integers(0, 30), st.integers(0, 30), st.integers(0, 60))
reports_lists = st.dictionaries(st.sampled_from(ENGINES[:5]), figures, max_size=5).map(
    lambda found: [EngineReport(e, tried, min(tried, bad), slow) for e, (tried, bad, slow) in found.items()]
)


@settings(max_examples=300, deadline=None)
@given(st.lists(reports_lists, max_size=10))
def test_a_judgement_is_what_a_plain_one_finds(dispatchers):
    judgement = judge(*dispatchers, engines=ENGINES[:5])
    plainly_suspected, slowdowns = plain_judgement(dispatchers, ENGINES[:5])
    assert suspected(judgement) == plainly_suspected
    assert {
        engine: verdict.slowdown for engine, verdict in judgement.verdicts.items() if verdict.slowdown
    } == pytest.approx(slowdowns)


@settings(max_examples=200, deadline=None)
@given(st.lists(reports_lists, min_size=1, max_size=10), reports_lists)
def test_no_single_dispatcher_ejects_what_no_other_finds_failing(dispatchers, lie):
    before = suspected(judge(*dispatchers, engines=ENGINES[:5]))
    others = {
        engine
        for reports in dispatchers
        for engine, attempts, failures, _ in reports
        if attempts and failures >= FAILING_RATIO * attempts
    }
    after = suspected(judge(*dispatchers, lie, engines=ENGINES[:5]))
    assert after - before <= others
