"""Probes, indirect probes and suspicion timeouts without messages."""

from random import Random

from cluster.helpers import make_membership, report
from wickvane.cluster.failure_detector import FailureDetector
from wickvane.cluster.member import ALIVE, SUSPECT, Member
from wickvane.cluster.membership import Membership
from wickvane.cluster.suspicion import MAX_TIMEOUT, MIN_TIMEOUT
from wickvane.units import TICKS_PER_SECOND


class RecordingHandler:
    """A ProbeHandler that records the calls of a detector."""

    def __init__(self):
        self.pings: list[tuple[Member, int]] = []
        self.requests: list[tuple[Member, Member, int]] = []
        self.nacks: list[tuple[Member, int]] = []
        self.failed: list[Member] = []
        self.suspected: list[tuple[Member, list[Member]]] = []

    def send_ping(self, member: Member, sequence: int) -> None:
        self.pings.append((member, sequence))

    def send_ping_request(self, helper: Member, member: Member, sequence: int) -> None:
        self.requests.append((helper, member, sequence))

    def send_nack(self, requester: Member, sequence: int) -> None:
        self.nacks.append((requester, sequence))

    def handle_failed(self, now: int, member: Member) -> None:
        self.failed.append(member)

    def handle_suspected(self, now: int, member: Member, helpers: list[Member]) -> None:
        self.suspected.append((member, helpers))


def make_detector(members: int = 4) -> tuple[Membership, FailureDetector, RecordingHandler]:
    """Returns a detector that knows some alive members, and its membership and handler."""
    membership = make_membership()
    for n in range(members):
        membership.apply(0, report(f"p{n}", 1, f"p{n}:1", 0, ALIVE))
    detector = FailureDetector(0, membership.table, Random(1), TICKS_PER_SECOND // 2)
    return membership, detector, RecordingHandler()


def tick_until(detector: FailureDetector, handler: RecordingHandler, now: int, end: int) -> int:
    """Calls tick() every hundred ticks up to and including `end`. Returns the time of the next call."""
    while now <= end:
        detector.tick(now, handler)
        now += 100
    return now


def test_each_member_is_probed_once_per_turn_and_not_suspected_if_it_acknowledges():
    _, detector, handler = make_detector()
    for n in range(1, 9):
        tick_until(detector, handler, n * 5_000, n * 5_000)
        detector.handle_ack(n * 5_000 + 10, *handler.pings[-1])
    slots = [member.slot for member, _ in handler.pings]
    assert sorted(slots[:4]) == sorted(slots[4:]) == [1, 2, 3, 4]
    assert not handler.requests and not handler.suspected


def test_a_member_is_suspected_only_after_indirect_probes_without_acknowledgement():
    _, detector, handler = make_detector()
    tick_until(detector, handler, 5_000, 7_100)
    member, sequence = handler.pings[0]
    assert handler.pings == [(member, sequence)] * 2 and {subject for _, subject, _ in handler.requests} == {
        member
    }
    assert len(handler.requests) == 3 and not handler.suspected
    helpers = [helper for helper, _, _ in handler.requests]
    for helper in helpers[:2]:
        detector.handle_nack(8_000, helper, sequence)
    tick_until(detector, handler, 8_000, 10_000)
    assert handler.suspected[0] == (member, sorted(helpers[:2], key=lambda helper: helper.slot))
    assert detector.health.score == 1  # the fault of the helper without a nack may be local
    # A member from which another datagram arrived is alive, even if its acknowledgement is missing.
    _, detector, handler = make_detector()
    tick_until(detector, handler, 5_000, 7_000)
    handler.pings[0][0].last_contact_at = 7_000
    tick_until(detector, handler, 7_100, 10_000)
    assert not handler.suspected


def test_the_suspicion_timeout_falls_with_each_confirmation_and_grows_after_a_recent_refutation():
    membership, detector, _ = make_detector()
    suspicions = detector.suspicions
    member = membership.apply(0, report("p0", 1, "p0:1", 0, SUSPECT, "me"))
    suspicions.start(0, member)
    deadlines = [suspicions.deadline(member)]
    for reported_by in ("p1", "p2", "p3"):
        membership.apply(1, report("p0", 1, "p0:1", 0, SUSPECT, reported_by))
        deadlines.append(suspicions.deadline(member))
    assert (
        deadlines[0] == MAX_TIMEOUT
        and deadlines[-1] == MIN_TIMEOUT
        and deadlines == sorted(deadlines, reverse=True)
    )
    membership.apply(2, report("p0", 1, "p0:1", 1, ALIVE))
    suspicions.cancel(member)
    membership.apply(3, report("p0", 1, "p0:1", 1, SUSPECT, "me"))
    suspicions.start(3, member)
    assert suspicions.deadline(member) == 3 + 2 * MAX_TIMEOUT


def test_a_stall_causes_no_suspicions_and_extends_suspicion_timeouts():
    membership, detector, handler = make_detector()
    tick_until(detector, handler, 5_000, 6_000)
    member = membership.apply(6_000, report("p0", 1, "p0:1", 0, SUSPECT, "p1"))
    detector.suspicions.start(6_000, member)
    before = detector.suspicions.deadline(member)
    detector.record_stall(6_000 + 200_000, 200_000)
    detector.tick(206_000, handler)
    assert not handler.suspected and not handler.failed
    assert detector.suspicions.deadline(member) == before + 200_000
    assert not detector.is_settled(206_100) and detector.is_settled(240_000)
