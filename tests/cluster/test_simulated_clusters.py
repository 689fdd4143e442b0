"""Clusters in virtual time: they converge and cause no false failures, whatever faults occur."""

from random import Random

import pytest

from wickvane.cluster.membership import MAX_MEMBERS_PER_NAME
from wickvane.cluster.message_sender import SEND_BURST, SEND_RATE
from wickvane.cluster.quorum import Partition, QuorumState
from wickvane.rehearsal.peers import Fleet
from wickvane.units import TICKS_PER_SECOND


def test_a_cluster_forms_agrees_and_then_sends_little():
    fleet = Fleet(40, 3)
    assert fleet.until_equal(20 * TICKS_PER_SECOND) is not None
    fleet.run(fleet.now + 30 * TICKS_PER_SECOND)
    before = [m.octets for m in fleet.members]
    fleet.run(fleet.now + 10 * TICKS_PER_SECOND)
    assert max(m.octets - octets_before for m, octets_before in zip(fleet.members, before)) < 2_000 * 10
    assessments = [m.node.assess(fleet.now) for m in fleet.members]
    assert {assessment.state for assessment in assessments} == {QuorumState.COMPLETE}
    assert len({assessment.view_number for assessment in assessments}) == 1
    assert not [e for e in fleet.events if e[2] in ("peers-suspect", "peers-failed")]


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_and_stalls_of_two_seconds_cause_no_false_failure(seed):
    fleet = Fleet(30, seed, loss=0.1, doubled=0.1, delay=(3, 600))
    fleet.until_equal(30 * TICKS_PER_SECOND)
    stalling = fleet.chance.sample(range(30), 26)
    end = fleet.now + 40 * TICKS_PER_SECOND

    def stall_again(n: int) -> None:
        fleet.stand_still(n, 2 * TICKS_PER_SECOND)
        if fleet.now + 3 * TICKS_PER_SECOND < end:
            fleet.at(fleet.now + 3 * TICKS_PER_SECOND, stall_again, n)

    for n in stalling:
        fleet.at(fleet.now + fleet.chance.randrange(3 * TICKS_PER_SECOND), stall_again, n)
    fleet.run(end)
    assert fleet.false_failures() == []


@pytest.mark.parametrize("seed", range(3))
def test_both_partitions_are_detected_and_merge_without_a_false_failure(seed):
    fleet = Fleet(21, seed)
    fleet.until_equal(30 * TICKS_PER_SECOND)
    fleet.cut = lambda a, b: (a < 9) != (b < 9)
    fleet.run(fleet.now + 20 * TICKS_PER_SECOND)
    partitions = [m.node.assess(fleet.now).partition for m in fleet.members]
    assert set(partitions[:9]) == {Partition.MINORITY} and set(partitions[9:]) == {Partition.MAJORITY}
    assert {m.node.assess(fleet.now).divisor for m in fleet.members} == {21}
    fleet.cut = None
    healed = fleet.now
    assert fleet.until_equal(fleet.now + 15 * TICKS_PER_SECOND) is not None
    assert fleet.false_failures(healed) == []


@pytest.mark.parametrize("seed", range(2))
def test_a_rolling_restart_of_a_tenth_at_a_time_causes_no_failure(seed):
    """Each member leaves, as on SIGTERM, and restarts with a new epoch at its address one second later."""
    fleet = Fleet(20, seed, loss=0.05, settled=True)
    fleet.run(2 * TICKS_PER_SECOND)
    for n in range(0, 20, 2):
        for m in (n, n + 1):
            fleet.marks.append((fleet.now, fleet.members[m].name, False))
            fleet.leave(m)
        fleet.run(fleet.now + TICKS_PER_SECOND)
        for m in (n, n + 1):
            fleet.restarted(m)
        fleet.run(fleet.now + TICKS_PER_SECOND)
    assert fleet.until_equal(fleet.now + 10 * TICKS_PER_SECOND) is not None
    assert not [event for event in fleet.events if event[2] == "peers-failed"]
    assert {m.node.assess(fleet.now).divisor for m in fleet.members} == {20}


def disturb(fleet: Fleet, random: Random) -> None:
    """Causes one random fault: a kill, a restart, a clock that was set back, a stall, a partition or a
    leave."""
    fault = random.randrange(7)
    n = random.randrange(9)
    if fault == 0 and fleet.members[n].up:
        fleet.killed(n)
    elif fault in (1, 2) and not fleet.members[n].up:
        fleet.restarted(n, epoch=None if fault == 1 else 1 + random.randrange(1000))
    elif fault == 3:
        fleet.stand_still(n, random.randrange(25 * TICKS_PER_SECOND))
    elif fault in (4, 5):
        partition = set(random.sample(range(9), random.randrange(1, 9)))
        if fault == 4:
            fleet.cut = lambda a, b: a in partition and b not in partition
        else:
            fleet.cut = lambda a, b: (a in partition) != (b in partition)
    elif fleet.members[n].up and sum(m.up for m in fleet.members) > 4:
        fleet.marks.append((fleet.now, fleet.members[n].name, False))
        fleet.leave(n)


def history(seed: int) -> Fleet:
    """Runs a fleet with random kills, restarts, stalls, one-way and two-way partitions, datagram loss and
    clocks that are set back. Then ends all faults and restarts all members."""
    random = Random(f"history/{seed}")
    fleet = Fleet(9, seed, loss=0.05)
    fleet.until_equal(20 * TICKS_PER_SECOND)
    for _ in range(14):
        disturb(fleet, random)
        fleet.run(fleet.now + random.randrange(12 * TICKS_PER_SECOND))
    fleet.cut = None
    fleet.loss = 0
    for n in range(9):
        if not fleet.members[n].up:
            fleet.restarted(n)
    return fleet


@pytest.mark.parametrize("seed", range(6))
def test_random_histories_end_in_one_view_of_exactly_the_running_members(seed):
    fleet = history(seed)
    assert fleet.until_equal(fleet.now + 60 * TICKS_PER_SECOND) is not None, (seed, fleet.views())
    settled_at = fleet.now
    fleet.run(fleet.now + 20 * TICKS_PER_SECOND)
    assert fleet.equal() and fleet.false_failures(settled_at) == []
    for member in fleet.members:
        assert member.sent < SEND_BURST + SEND_RATE * fleet.now / TICKS_PER_SECOND
        assert len(member.node.table.members) < 9 * MAX_MEMBERS_PER_NAME
