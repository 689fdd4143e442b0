"""Derives verdicts on engines from the reports of several dispatchers. Free of I/O.

- An engine is suspected of a fault if at least QUORUM dispatchers report it as failing, and if they outnumber
  the dispatchers that report it as healthy. So one or two faulty or malicious dispatchers cannot eject an
  engine, and an engine that only a few dispatchers cannot reach is not ejected.
- If more than half of the engines fail for a dispatcher, the fault is on its own network path, so its reports
  of failures do not count. Slowdown is relative to the other engines that the same dispatcher used, so that
  the dispatcher's own load cancels out.
- At most one in MAX_SUSPECTED_DIVISOR engines is suspected at a time; the largest majorities take precedence.
- If the median dispatcher reports that its median engine is slow, the whole pool is slow, and no engine is
  ejected for that.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from wickvane.quotas.engine_reports import ReceivedReports
from wickvane.quotas.wire import EngineReport

QUORUM = 3  # dispatchers, for fleets of any size: two may share a faulty network path
MIN_SLOWDOWN_REPORTS = 3  # for a median
FAILING_RATIO = 0.5  # minimum ratio of failures to attempts of a failing engine
HEALTHY_RATIO = 0.2  # maximum ratio of failures to attempts of a healthy engine
MAX_SUSPECTED_DIVISOR = 4
# Relative to the median engine. Reports are late: reacting to smaller slowdowns would only cause herding of
# the dispatchers.
MIN_SLOWDOWN = 2.0
MIN_POOL_SLOWDOWN = 2.0  # minimum median slowdown of a slow pool


class EngineVerdict(NamedTuple):
    """The verdict on one engine.

    faulty: whether it is suspected of a fault; slowdown: relative to the median engine, 0 if it is not slow;
    age: the median age of the reports, in ticks.
    """

    faulty: bool
    slowdown: float
    age: int


class Judgement(NamedTuple):
    """The verdicts on all engines.

    verdicts: by engine, for faulty or slow engines only; pool_slowdown: None if too few dispatchers reported;
    exempted: engines that are not suspected only because the maximum number already is.
    """

    verdicts: dict[str, EngineVerdict]
    pool_slowdown: float | None
    exempted: list[str]


@dataclass(slots=True)
class _Votes:
    """The reports of all dispatchers on one engine."""

    failing: int = 0
    healthy: int = 0
    slowdowns: list[float] = field(default_factory=list)
    ages: list[int] = field(default_factory=list)

    def slowdown(self) -> float:
        """Returns the median slowdown, or 0 if it is unknown or below MIN_SLOWDOWN."""
        if len(self.slowdowns) < MIN_SLOWDOWN_REPORTS:
            return 0.0
        slowdown = median(self.slowdowns)
        return slowdown if slowdown >= MIN_SLOWDOWN else 0.0


def _has_path_fault(failing: Sequence[bool]) -> bool:
    """Returns whether more than half of the engines fail for one dispatcher."""
    return len(failing) > 1 and 2 * sum(failing) > len(failing)


def _median_slowdown(reports: Sequence[EngineReport], failing: Sequence[bool]) -> float | None:
    """Returns the slowdown of one dispatcher's median engine, or None if fewer than two engines answer."""
    slowdowns = [report[3] for report, fails in zip(reports, failing) if not fails]
    return median(slowdowns) / 10 if len(slowdowns) >= 2 else None


def _count_votes(reports: Sequence[EngineReport], age: int, votes: dict[str, _Votes]) -> float | None:
    """Adds one dispatcher's reports to the votes; returns the slowdown of its median engine."""
    failing = [failures >= FAILING_RATIO * attempts for _, attempts, failures, _ in reports]
    median_slowdown = _median_slowdown(reports, failing)
    has_path_fault = _has_path_fault(failing)
    for (engine, attempts, failures, slowdown), fails in zip(reports, failing):
        if attempts <= 0:
            continue
        engine_votes = votes.get(engine)
        if engine_votes is None:
            engine_votes = votes[engine] = _Votes()
        engine_votes.ages.append(age)
        if fails:
            engine_votes.failing += not has_path_fault
            continue
        engine_votes.healthy += failures <= HEALTHY_RATIO * attempts
        if median_slowdown:
            engine_votes.slowdowns.append(slowdown / 10 / median_slowdown)
    return median_slowdown


def judge_engines(received: Mapping[str, ReceivedReports], engines: Collection[str]) -> Judgement:
    """Returns the verdicts on engines.

    received: reports by dispatcher, including this one; engines: those to which queries may be sent.
    """
    votes: dict[str, _Votes] = {}
    slowdown_by_dispatcher = [_count_votes(reports, age, votes) for reports, age in received.values()]
    median_slowdowns = [slowdown for slowdown in slowdown_by_dispatcher if slowdown is not None]
    pool_slowdown = median(median_slowdowns) if len(median_slowdowns) >= MIN_SLOWDOWN_REPORTS else None
    by_majority = sorted(
        (
            engine
            for engine, engine_votes in votes.items()
            if engine_votes.failing >= QUORUM
            and engine_votes.failing > engine_votes.healthy
            and engine in engines
        ),
        key=lambda engine: (votes[engine].healthy - votes[engine].failing, engine),
    )
    max_suspected = max(1, len(engines) // MAX_SUSPECTED_DIVISOR) if len(engines) > 1 else 0
    suspected = set(by_majority[:max_suspected])
    verdicts = {}
    for engine, engine_votes in votes.items():
        if engine not in engines:
            continue
        slowdown = engine_votes.slowdown()
        if engine in suspected or slowdown:
            verdicts[engine] = EngineVerdict(engine in suspected, slowdown, int(median(engine_votes.ages)))
    return Judgement(verdicts, pool_slowdown, by_majority[max_suspected:])
