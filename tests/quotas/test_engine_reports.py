"""Reports on engines: evidence decays, tables are bounded, the latest report of an incarnation counts."""

from wickvane.quotas import wire
from wickvane.quotas.engine_judgement import HEALTHY_RATIO
from wickvane.quotas.engine_reports import (
    EVIDENCE_DECAY,
    MAX_REPORTED_TENTHS,
    REPORT_TTL,
    EngineReports,
    FirstHandEvidence,
)
from wickvane.quotas.wire import EngineReport


def reports_of(*failing: str) -> list[EngineReport]:
    """Returns one dispatcher's reports on eight engines."""
    engines = [f"e{n}" for n in range(8)]
    return [EngineReport(engine, 20, 20 if engine in failing else 0, 10) for engine in engines]


def test_evidence_decays_and_a_success_weighs_as_much_as_a_failure():
    evidence = FirstHandEvidence()
    for n in range(10):
        evidence.record(n * 100, "e1", 0, 2.0)
        evidence.record(n * 100, "e2", 1, None)
    reports = {report.engine: report for report in evidence.reports(1000)}
    assert reports["e2"].failures == reports["e2"].attempts and reports["e1"].failures == 0
    assert 17 <= reports["e1"].slowdown <= 20
    # A success makes the engine healthy at once if the failures are old.
    evidence.record(1000 + EVIDENCE_DECAY, "e2", 0, 1.0)
    reports = {report.engine: report for report in evidence.reports(1000 + EVIDENCE_DECAY)}
    assert reports["e2"].failures <= HEALTHY_RATIO * reports["e2"].attempts
    assert evidence.reports(1000 + 3 * EVIDENCE_DECAY) == [] and evidence.by_engine == {}


def test_tables_are_bounded():
    evidence, received = FirstHandEvidence(max_engines=4), EngineReports(max_incarnations=3)
    for n in range(9):
        evidence.record(1, f"e{n}", 1, 1e9)
        received.store((f"n{n}", 1), 1, reports_of())
    assert len(evidence.by_engine) == 4 and len(received.entries) == 3
    assert all(max(report[1:]) <= MAX_REPORTED_TENTHS for report in evidence.reports(2))
    for _ in range(9):
        updates, free_octets = received.next_page(300)
        entries = [(1 << 31, t + (1 << 60), reports) for _, t, reports in updates]
        data = wire.encode(wire.GossipMessage(engine_reports=entries))
        assert len(data) <= 300 - free_octets + 16
    assert received.next_page(300).updates == []  # All entries were relayed MAX_ENTRY_RELAYS times.


def test_the_latest_report_of_an_incarnation_counts_until_it_expires():
    received = EngineReports()
    assert received.store(("a", 1), 10, reports_of("e1"))
    assert not received.store(("a", 1), 9, reports_of())
    received.store(("a", 2), 20, reports_of("e2"))
    ages = {("a", 1): 300, ("a", 2): 50}
    assert received.by_dispatcher(lambda incarnation, t: ages[incarnation]) == {"a": (reports_of("e2"), 50)}
    assert received.by_dispatcher(lambda incarnation, t: REPORT_TTL + 1) == {}
    assert received.by_dispatcher(lambda incarnation, t: None) == {}
    received.retain({("a", 2)})
    assert list(received.entries) == [("a", 2)]
