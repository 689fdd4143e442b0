"""Guards of the protocol: each scenario succeeds with the guard and fails if the guard is removed."""

import pytest

from wickvane.cluster.anti_entropy import AntiEntropy
from wickvane.cluster.failure_detector import FailureDetector
from wickvane.cluster.member import LEFT
from wickvane.cluster.membership import Membership
from wickvane.cluster.message_receiver import MessageReceiver
from wickvane.cluster.quorum import QuorumState
from wickvane.rehearsal.peers import Fleet
from wickvane.units import TICKS_PER_SECOND


def suspicion_expires_during_stall() -> bool:
    """A member suspects another and stalls past the suspicion timeout, while the kernel buffers no
    datagrams."""
    fleet = Fleet(5, 0, settled=True, buffer=0)
    fleet.run(TICKS_PER_SECOND)
    fleet.stand_still(1, 25 * TICKS_PER_SECOND // 10)
    while not any(event == "peers-suspect" and n == 0 for _, n, event, _ in fleet.events):
        fleet.run(fleet.now + 500)
    fleet.stand_still(0, 5 * TICKS_PER_SECOND)
    fleet.run(fleet.now + 30 * TICKS_PER_SECOND)
    return not [failure for failure in fleet.false_failures() if failure[1] == "n0"]


def partition_heals() -> bool:
    """Two halves of a cluster merge after a partition, without a false failure."""
    fleet = Fleet(40, 1, settled=True, seeds=0)
    fleet.run(TICKS_PER_SECOND)
    fleet.cut = lambda a, b: (a < 20) != (b < 20)
    fleet.run(fleet.now + 15 * TICKS_PER_SECOND)
    fleet.cut = None
    healed = fleet.now
    return fleet.until_equal(fleet.now + 20 * TICKS_PER_SECOND) is not None and not fleet.false_failures(
        healed
    )


def member_without_outgoing_datagrams() -> bool:
    """A member whose datagrams are all lost declares no other member failed, and its state is ISOLATED."""
    fleet = Fleet(5, 1, settled=True)
    fleet.run(TICKS_PER_SECOND)
    fleet.cut = lambda a, b: a == 2
    fleet.run(fleet.now + 50 * TICKS_PER_SECOND)
    false_failures = [failure for failure in fleet.false_failures() if failure[1] == "n2"]
    return not false_failures and fleet.members[2].node.assess(fleet.now).state == QuorumState.ISOLATED


def repeated_stalls() -> bool:
    """Most members stall for two seconds repeatedly; none is declared failed."""
    fleet = Fleet(30, 1, loss=0.1, settled=True)

    def stall_again(n: int) -> None:
        fleet.stand_still(n, 2 * TICKS_PER_SECOND)
        fleet.at(fleet.now + 3 * TICKS_PER_SECOND, stall_again, n)

    for n in range(27):
        fleet.at(fleet.chance.randrange(3 * TICKS_PER_SECOND), stall_again, n)
    fleet.run(60 * TICKS_PER_SECOND)
    return not fleet.false_failures()


def restart_after_clock_went_back() -> bool:
    """A member that restarts with an earlier epoch, since its clock was set back, rejoins."""
    fleet = Fleet(5, 1, settled=True)
    fleet.run(TICKS_PER_SECOND)
    fleet.killed(2)
    fleet.run(fleet.now + TICKS_PER_SECOND)
    fleet.restarted(2, epoch=7)
    return fleet.until_equal(fleet.now + 20 * TICKS_PER_SECOND) is not None


def immediate_restart() -> bool:
    """The new run of a member that restarts within a tenth of a second replaces the former one at once."""
    fleet = Fleet(9, 1, settled=True)
    fleet.run(TICKS_PER_SECOND)
    fleet.killed(2)
    fleet.run(fleet.now + TICKS_PER_SECOND // 10)
    fleet.restarted(2)
    return fleet.until_equal(fleet.now + 3 * TICKS_PER_SECOND) is not None


def do_nothing(*_, **__) -> None:
    return None


TRANSITION = Membership.transition


def transition_without_retirement(self, now, member, incarnation, state, reported_by) -> None:
    """Does the same as Membership.transition, but ignores that other members leave."""
    if state != LEFT or member.is_local:
        TRANSITION(self, now, member, incarnation, state, reported_by)


GUARDS = [
    (suspicion_expires_during_stall, FailureDetector, "record_stall", do_nothing),
    (suspicion_expires_during_stall, "wickvane.cluster.node", "STALL_THRESHOLD", 1 << 60),
    (partition_heals, Membership, "accepts_failure", lambda self, now, member: True),
    (partition_heals, AntiEntropy, "reconnect", do_nothing),
    (member_without_outgoing_datagrams, FailureDetector, "is_unanswered", lambda self, now: False),
    (repeated_stalls, "wickvane.cluster.suspicion", "MIN_TIMEOUT", TICKS_PER_SECOND // 2),
    (
        restart_after_clock_went_back,
        MessageReceiver,
        "notify_ended",
        lambda self, now, entry: self.reject("former-life"),
    ),
    (restart_after_clock_went_back, Membership, "start_new_epoch", do_nothing),
    (immediate_restart, Membership, "transition", transition_without_retirement),
]


@pytest.mark.parametrize("scenario", dict.fromkeys(guard[0] for guard in GUARDS))
def test_each_scenario_succeeds_with_its_guards(scenario):
    assert scenario()


@pytest.mark.parametrize("scenario, owner, name, replacement", GUARDS)
def test_the_scenario_fails_without_the_guard(scenario, owner, name, replacement, monkeypatch):
    if isinstance(owner, str):
        monkeypatch.setattr(f"{owner}.{name}", replacement)
    else:
        monkeypatch.setattr(owner, name, replacement)
    assert not scenario()
