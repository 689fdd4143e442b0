"""Guards of the protocol: each scenario holds as the program is, and no longer where its guard is removed."""

import pytest

from wickvane.cluster.anti_entropy import AntiEntropy
from wickvane.cluster.failure_detector import FailureDetector
from wickvane.cluster.member import LEFT
from wickvane.cluster.membership import Membership
from wickvane.cluster.message_receiver import MessageReceiver
from wickvane.cluster.quorum import QuorumState
from wickvane.rehearsal.peers import Fleet
from wickvane.units import TICKS_PER_SECOND


def a_suspicion_slept_through() -> bool:
    """One suspects another, then stalls past the suspicion timeout, and the kernel keeps nothing."""
    f = Fleet(5, 0, settled=True, buffer=0)
    f.run(TICKS_PER_SECOND)
    f.stand_still(1, 25 * TICKS_PER_SECOND // 10)
    while not any(event == "peers-suspect" and n == 0 for _, n, event, _ in f.events):
        f.run(f.now + 500)
    f.stand_still(0, 5 * TICKS_PER_SECOND)
    f.run(f.now + 30 * TICKS_PER_SECOND)
    return not [v for v in f.false_failures() if v[1] == "n0"]


def a_healed_partition() -> bool:
    f = Fleet(40, 1, settled=True, seeds=0)
    f.run(TICKS_PER_SECOND)
    f.cut = lambda a, b: (a < 20) != (b < 20)
    f.run(f.now + 15 * TICKS_PER_SECOND)
    f.cut = None
    healed = f.now
    return f.until_equal(f.now + 20 * TICKS_PER_SECOND) is not None and not f.false_failures(healed)


def a_member_that_nobody_hears() -> bool:
    f = Fleet(5, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.cut = lambda a, b: a == 2
    f.run(f.now + 50 * TICKS_PER_SECOND)
    judged = [v for v in f.false_failures() if v[1] == "n2"]
    return not judged and f.members[2].node.assess(f.now).state == QuorumState.ISOLATED


def stalls() -> bool:
    f = Fleet(30, 1, loss=0.1, settled=True)

    def stall_again(n: int) -> None:
        f.stand_still(n, 2 * TICKS_PER_SECOND)
        f.at(f.now + 3 * TICKS_PER_SECOND, stall_again, n)

    for n in range(27):
        f.at(f.chance.randrange(3 * TICKS_PER_SECOND), stall_again, n)
    f.run(60 * TICKS_PER_SECOND)
    return not f.false_failures()


def a_clock_that_went_back() -> bool:
    f = Fleet(5, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.killed(2)
    f.run(f.now + TICKS_PER_SECOND)
    f.restarted(2, epoch=7)
    return f.until_equal(f.now + 20 * TICKS_PER_SECOND) is not None


def a_restart_at_once() -> bool:
    f = Fleet(9, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.killed(2)
    f.run(f.now + TICKS_PER_SECOND // 10)
    f.restarted(2)
    return f.until_equal(f.now + 3 * TICKS_PER_SECOND) is not None


def do_nothing(*_, **__) -> None:
    return None


TRANSITION = Membership.transition


def transition_without_retirement(self, now, member, incarnation, state, reported_by) -> None:
    """Membership.transition, but for others that leave."""
    if state != LEFT or member.is_local:
        TRANSITION(self, now, member, incarnation, state, reported_by)


GUARDS = [
    (a_suspicion_slept_through, FailureDetector, "record_stall", do_nothing),
    (a_suspicion_slept_through, "wickvane.cluster.node", "STALL_THRESHOLD", 1 << 60),
    (a_healed_partition, Membership, "accepts_failure", lambda self, now, member: True),
    (a_healed_partition, AntiEntropy, "reconnect", do_nothing),
    (a_member_that_nobody_hears, FailureDetector, "is_unanswered", lambda self, now: False),
    (stalls, "wickvane.cluster.suspicion", "MIN_TIMEOUT", TICKS_PER_SECOND // 2),
    (
        a_clock_that_went_back,
        MessageReceiver,
        "notify_ended",
        lambda self, now, entry: self.reject("former-life"),
    ),
    (a_clock_that_went_back, Membership, "start_new_epoch", do_nothing),
    (a_restart_at_once, Membership, "transition", transition_without_retirement),
]


@pytest.mark.parametrize("scenario", dict.fromkeys(guard[0] for guard in GUARDS))
def test_each_scenario_holds(scenario):
    assert scenario()


@pytest.mark.parametrize("scenario, where, name, instead", GUARDS)
def test_each_guard_is_missed_when_it_is_removed(scenario, where, name, instead, monkeypatch):
    if isinstance(where, str):
        monkeypatch.setattr(f"{where}.{name}", instead)
    else:
        monkeypatch.setattr(where, name, instead)
    assert not scenario()
