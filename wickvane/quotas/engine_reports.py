"""Collects and exchanges reports of each dispatcher's own attempts on engines. Free of I/O.

A dispatcher publishes only its recent first-hand evidence, never the reports of others: for each engine the
number of attempts, the number of failures, and the slowdown of answers relative to the expected time.
Evidence decays, and reports expire. Times are ticks of the local monotonic clock; numbers in a report are in
tenths.
"""

from collections.abc import Callable
from typing import NamedTuple

from wickvane.quotas.gossip_register import GossipRegisters
from wickvane.quotas.incarnation import Incarnation
from wickvane.quotas.wire import EngineReport
from wickvane.units import TICKS_PER_SECOND

EVIDENCE_DECAY = 4 * TICKS_PER_SECOND
REPORT_TTL = 4 * TICKS_PER_SECOND
MIN_ATTEMPTS = 0.5  # decayed count; engines with fewer attempts are not reported
MAX_REPORTED_ENGINES = 64  # per dispatcher; the engines with the most attempts take precedence
MAX_REPORTED_TENTHS = 10_000  # of each number in a report
MAX_SLOWDOWN_WEIGHT = 4.0  # weight of all earlier attempts in the mean slowdown, in attempts


class EngineEvidence(NamedTuple):
    """Decayed counts of attempts and failures, and the mean slowdown, at the time `updated_at`."""

    attempts: float
    failures: float
    slowdown: float
    updated_at: int


class ReceivedReports(NamedTuple):
    """The reports of one dispatcher, and their age in ticks."""

    reports: list[EngineReport]
    age: int


def _undecayed_fraction(now: int, updated_at: int) -> float:
    """Returns the fraction of the evidence that has not decayed."""
    return max(0.0, 1 - (now - updated_at) / EVIDENCE_DECAY)


class FirstHandEvidence:
    """The evidence of this dispatcher's attempts on at most `max_engines`."""

    def __init__(self, max_engines: int = 4096) -> None:
        self.by_engine: dict[str, EngineEvidence] = {}
        self.max_engines = max_engines

    def record(self, now: int, engine: str, failed: int, slowdown: float | None) -> None:
        """Records the end of one attempt.

        failed: 0 or 1; slowdown: elapsed time divided by the expected time, None if that is unknown.
        """
        before = self.by_engine.get(engine)
        if before is None:
            if len(self.by_engine) >= self.max_engines:
                return
            before = EngineEvidence(0.0, 0.0, 1.0, now)
        remaining = _undecayed_fraction(now, before.updated_at)
        attempts = before.attempts * remaining
        mean_slowdown = before.slowdown
        if slowdown is not None:
            weight = 1 / (1 + min(MAX_SLOWDOWN_WEIGHT, attempts))
            mean_slowdown += (min(slowdown, MAX_REPORTED_TENTHS / 10) - mean_slowdown) * weight
        failures = before.failures * remaining + failed
        self.by_engine[engine] = EngineEvidence(attempts + 1, failures, mean_slowdown, now)

    def reports(self, now: int) -> list[EngineReport]:
        """Returns the reports to publish, and drops evidence that has decayed."""
        reports = []
        for engine, evidence in list(self.by_engine.items()):
            remaining = _undecayed_fraction(now, evidence.updated_at)
            attempts = evidence.attempts * remaining
            if remaining <= 0:
                del self.by_engine[engine]
            elif attempts >= MIN_ATTEMPTS:
                failures = evidence.failures * remaining
                reports.append(
                    EngineReport(engine, _tenths(attempts), _tenths(failures), _tenths(evidence.slowdown))
                )
        reports.sort(key=lambda report: (-report.attempts, report.engine))
        return reports[:MAX_REPORTED_ENGINES]


def _tenths(value: float) -> int:
    return int(min(MAX_REPORTED_TENTHS, 10 * value))


class EngineReports(GossipRegisters):
    """The latest reports of each incarnation."""

    def by_dispatcher(self, age_of: Callable[[Incarnation, int], int | None]) -> dict[str, ReceivedReports]:
        """Returns reports that have not expired by the dispatcher's name.

        Of two incarnations of a dispatcher, the one with the more recent reports counts. age_of: returns the
        age of an incarnation's timestamp, or None if it is unknown.
        """
        received: dict[str, ReceivedReports] = {}
        for incarnation, (timestamp, reports) in self.entries.items():
            age = age_of(incarnation, timestamp)
            if age is None or age > REPORT_TTL:
                continue
            name, _ = incarnation
            before = received.get(name)
            if before is None or age < before.age:
                received[name] = ReceivedReports(reports, age)
        return received
