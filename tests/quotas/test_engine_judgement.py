"""Verdicts on engines need the agreement of several dispatchers."""

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


def reports_of(failing: list[str] = (), slow: list[str] = (), attempted: list[str] = ENGINES) -> Reports:
    """Returns the reports of one dispatcher on the attempted engines."""
    return [
        EngineReport(engine, 20, 20 if engine in failing else 0, 40 if engine in slow else 10)
        for engine in attempted
    ]


def received(*dispatchers: Reports) -> dict[str, ReceivedReports]:
    """Returns the reports of several dispatchers, by dispatcher."""
    return {f"n{n}": ReceivedReports(reports, 100) for n, reports in enumerate(dispatchers)}


def judge(*dispatchers: Reports, engines: list[str] = ENGINES) -> Judgement:
    return judge_engines(received(*dispatchers), engines)


def suspected(judgement: Judgement) -> set[str]:
    return {engine for engine, verdict in judgement.verdicts.items() if verdict.faulty}


def test_a_quorum_suspects_engines_but_at_most_a_quarter_of_them():
    healthy = reports_of(attempted=["e2", "e3"])
    for dispatchers in ([reports_of(["e1"])] + [healthy] * 9, [reports_of(["e1"])] * 2 + [healthy] * 9):
        assert judge(*dispatchers).verdicts == {}
    judgement = judge(*[reports_of(["e1"])] * 3, healthy)
    assert judgement.verdicts == {"e1": (True, 0.0, 100)} and judgement.exempted == []
    three_failing = reports_of(["e1", "e2", "e3"])
    judgement = judge(three_failing, three_failing, three_failing)
    assert sorted(judgement.verdicts) == ["e1", "e2"] and judgement.exempted == ["e3"]
    assert judge(*[reports_of(["e0"])] * 4, engines=["e0"]).verdicts == {}  # There is no other engine.


def test_an_engine_that_no_majority_reports_as_failing_is_not_suspected():
    assert judge(*[reports_of(["e1"])] * 3, reports_of(), reports_of(), reports_of()).verdicts == {}


def test_failures_do_not_count_from_a_dispatcher_for_which_most_engines_fail():
    path_fault = reports_of(ENGINES[:6])
    assert judge(path_fault, path_fault, path_fault).verdicts == {}


def test_slowdown_is_relative_to_the_median_engine_and_a_slow_pool_is_reported():
    judgement = judge(*[reports_of(slow=["e3"])] * 3)
    assert judgement.verdicts == {"e3": (False, 4.0, 100)} and judgement.pool_slowdown == 1.0
    overloaded = [EngineReport(engine, 20, 0, 40) for engine in ENGINES]
    judgement = judge(overloaded, overloaded, overloaded)
    assert judgement.verdicts == {} and judgement.pool_slowdown == 4.0
    # One dispatcher that reports false slowdowns, or is overloaded itself, does not change the median.
    assert judge(reports_of(slow=["e3"]), reports_of(), reports_of()).verdicts == {}


def median_of(values: list[float]) -> float:
    """Returns the median of sorted values, independently of the statistics module."""
    half = len(values) // 2
    return values[half] if len(values) % 2 else (values[half - 1] + values[half]) / 2


class ReferenceVotes:
    """The votes of all dispatchers on one engine, implemented from the docstring of engine_judgement only."""

    def __init__(self, engine: str, dispatchers: list[Reports]) -> None:
        self.failing = 0
        self.healthy = 0
        self.slowdowns: list[float] = []
        for reports in dispatchers:
            self.add(engine, {report.engine: report for report in reports})

    def add(self, engine: str, reports: dict[str, EngineReport]) -> None:
        failing = [
            name for name, report in reports.items() if report.failures >= FAILING_RATIO * report.attempts
        ]
        answering = sorted(report.slowdown for name, report in reports.items() if name not in failing)
        if engine not in reports or reports[engine].attempts == 0:
            return
        if engine in failing:
            self.failing += not (len(reports) > 1 and len(failing) * 2 > len(reports))
            return
        report = reports[engine]
        self.healthy += report.failures <= HEALTHY_RATIO * report.attempts
        if len(answering) >= 2 and median_of(answering):
            self.slowdowns.append(report.slowdown / median_of(answering))
        self.slowdowns.sort()


def reference_judgement(dispatchers: list[Reports], engines: list[str]) -> tuple[set[str], dict[str, float]]:
    """Returns the suspected engines and the slowdown by engine."""
    slowdowns, by_majority = {}, []
    for engine in engines:
        votes = ReferenceVotes(engine, dispatchers)
        if votes.failing >= QUORUM and votes.failing > votes.healthy:
            by_majority.append((votes.healthy - votes.failing, engine))
        if len(votes.slowdowns) >= MIN_SLOWDOWN_REPORTS and median_of(votes.slowdowns) >= MIN_SLOWDOWN:
            slowdowns[engine] = median_of(votes.slowdowns)
    by_majority.sort()
    max_suspected = max(1, len(engines) // MAX_SUSPECTED_DIVISOR) if len(engines) > 1 else 0
    return {engine for _, engine in by_majority[:max_suspected]}, slowdowns


engine_figures = st.tuples(st.integers(0, 30), st.integers(0, 30), st.integers(0, 60))
reports_lists = st.dictionaries(st.sampled_from(ENGINES[:5]), engine_figures, max_size=5).map(
    lambda by_engine: [
        EngineReport(engine, attempts, min(attempts, failures), slowdown)
        for engine, (attempts, failures, slowdown) in by_engine.items()
    ]
)


@settings(max_examples=300, deadline=None)
@given(st.lists(reports_lists, max_size=10))
def test_judge_engines_agrees_with_a_reference_implementation(dispatchers):
    judgement = judge(*dispatchers, engines=ENGINES[:5])
    expected_suspected, slowdowns = reference_judgement(dispatchers, ENGINES[:5])
    assert suspected(judgement) == expected_suspected
    assert {
        engine: verdict.slowdown for engine, verdict in judgement.verdicts.items() if verdict.slowdown
    } == pytest.approx(slowdowns)


@settings(max_examples=200, deadline=None)
@given(st.lists(reports_lists, min_size=1, max_size=10), reports_lists)
def test_a_single_dispatcher_cannot_make_an_engine_suspected_that_no_other_reports_as_failing(
    dispatchers, false_reports
):
    before = suspected(judge(*dispatchers, engines=ENGINES[:5]))
    others = {
        engine
        for reports in dispatchers
        for engine, attempts, failures, _ in reports
        if attempts and failures >= FAILING_RATIO * attempts
    }
    after = suspected(judge(*dispatchers, false_reports, engines=ENGINES[:5]))
    assert after - before <= others
