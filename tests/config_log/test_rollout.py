"""The steps of rollouts, their rejection and abandonment, and their resumption by a new leader."""

import pytest

from config_log.rollout_helpers import any_voter_is_quorum, applied, never_quorum, proposed
from wickvane.config_log.log_entry import AbandonPolicy, ActivatePolicy, LogEntry, ProposePolicy
from wickvane.config_log.rollout import DRAIN_TIMEOUT, VALIDATION_TIMEOUT, Rollout, RolloutStep


def test_a_rollout_is_validated_replicated_drained_and_activated():
    machine = applied()
    rollout = Rollout(0, 1, "x", "me", "why", ["a", "b"])
    rollout.record_acceptance("a")
    assert rollout.next_command(1, machine, any_voter_is_quorum) is None and rollout.unreachable() == ["b"]
    now = VALIDATION_TIMEOUT  # an unreachable dispatcher delays the rollout no longer
    command = rollout.next_command(now, machine, any_voter_is_quorum)
    assert isinstance(command, ProposePolicy)
    assert machine.apply(1, LogEntry(1, command)) and machine.lease_numbers() == (0, 1)
    assert rollout.next_command(now, machine, any_voter_is_quorum) is None
    assert rollout.step is RolloutStep.DRAINING_LEASES
    rollout.record_drained("m", 7)
    assert rollout.next_command(now, machine, any_voter_is_quorum) is None
    rollout.record_drained("m", 1)
    assert rollout.next_command(now, machine, any_voter_is_quorum) == ActivatePolicy(1)
    assert not rollout.abort(0, "late")
    machine.apply(2, LogEntry(1, ActivatePolicy(1)))
    rollout.next_command(now, machine, any_voter_is_quorum)
    assert rollout.step is RolloutStep.ACTIVE and machine.lease_numbers() == (1, None)
    assert machine.history[0].end_reason == "followed by 1"


def test_any_rejection_ends_the_rollout_with_name_and_reason_and_without_a_proposal():
    rollout = Rollout(0, 1, "x", "me", "why", ["a", "b"])
    rollout.record_rejection("b", "no group loads here")
    rollout.record_rejection("z", "never asked")
    assert rollout.next_command(1, applied(), any_voter_is_quorum) is None
    assert rollout.step is RolloutStep.REJECTED and rollout.reason == "b: no group loads here"


def test_of_two_concurrent_proposals_one_is_committed():
    machine = applied(proposed(1, "other"))
    rollout = Rollout(0, 1, "x", "me", "why", [])
    assert rollout.next_command(0, machine, any_voter_is_quorum) is None
    assert rollout.step is RolloutStep.REJECTED
    late = Rollout(0, 1, "x", "me", "why", [])
    late.next_command(0, applied(), any_voter_is_quorum)
    overtaken = applied(proposed(1, "other"), LogEntry(1, ActivatePolicy(1)))
    late.next_command(1, overtaken, any_voter_is_quorum)
    assert late.step is RolloutStep.REJECTED


@pytest.mark.parametrize("drains", [True, False])
def test_a_new_leader_completes_or_abandons_a_pending_rollout(drains):
    assert Rollout.resume(5, applied()) is None
    machine = applied(proposed(1))
    rollout = Rollout.resume(5, machine)
    assert rollout.step is RolloutStep.DRAINING_LEASES
    assert rollout.next_command(6, machine, any_voter_is_quorum) is None
    if drains:
        rollout.record_drained("m", 1)
        assert rollout.next_command(7, machine, any_voter_is_quorum) == ActivatePolicy(1)
    else:
        command = rollout.next_command(5 + DRAIN_TIMEOUT, machine, never_quorum)
        assert isinstance(command, AbandonPolicy) and command.number == 1
        machine.apply(2, LogEntry(1, command))
        rollout.next_command(5 + DRAIN_TIMEOUT, machine, any_voter_is_quorum)
        assert rollout.step is RolloutStep.ABANDONED
        assert machine.lease_numbers() == (0, None) and machine.last_number == 1


def test_an_operator_can_abort_a_rollout_until_activation():
    machine = applied(proposed(1))
    rollout = Rollout.resume(0, applied(proposed(1)))
    assert rollout.abort(1, "by hand")
    assert rollout.next_command(1, machine, any_voter_is_quorum) == AbandonPolicy(1, "by hand")
    early = Rollout(0, 1, "x", "me", "why", ["a"])
    assert early.abort(1, "by hand") and early.step is RolloutStep.REJECTED
