"""The steps by which the leader activates one policy on all dispatchers; performs no I/O.

    VALIDATING       Every reachable dispatcher is asked to validate the policy. Any rejection ends the
                     rollout, with names and reasons, and nothing is written to the log.
    REPLICATING      The proposal is in the log and not committed yet.
    DRAINING_LEASES  The proposal is committed. Voters grant no leases on the old number. The step ends when a
                     majority of them is drained.
    ACTIVATING       The command that activates (or abandons) the policy is in the log.
    ACTIVE, REJECTED, ABANDONED    The rollout has ended.

A new leader resumes from the log, so that an interrupted rollout is completed or abandoned and never left
pending. Times are ticks.
"""

from collections.abc import Callable, Collection, Iterable
from enum import Enum

from wickvane.config_log.errors import InvalidTransitionError
from wickvane.config_log.log_entry import AbandonPolicy, ActivatePolicy, Command, ProposePolicy
from wickvane.config_log.state_machine import PolicyStateMachine, content_digest
from wickvane.units import TICKS_PER_SECOND

# A dispatcher that has not answered after this time counts as unreachable; it receives the policy when it is
# reachable again.
VALIDATION_TIMEOUT = 2 * TICKS_PER_SECOND
# A rollout is abandoned if no majority of voters is drained after this time: too many are unreachable.
DRAIN_TIMEOUT = 60 * TICKS_PER_SECOND


class RolloutStep(Enum):
    """The current step of a rollout."""

    VALIDATING = "validating"
    REPLICATING = "replicating"
    DRAINING_LEASES = "draining leases"
    ACTIVATING = "activating"
    ACTIVE = "active"
    REJECTED = "rejected"
    ABANDONED = "abandoned"


_NEXT_STEPS = {
    RolloutStep.VALIDATING: {RolloutStep.REPLICATING, RolloutStep.REJECTED},
    RolloutStep.REPLICATING: {RolloutStep.DRAINING_LEASES, RolloutStep.REJECTED},
    RolloutStep.DRAINING_LEASES: {RolloutStep.ACTIVATING, RolloutStep.ACTIVE, RolloutStep.ABANDONED},
    RolloutStep.ACTIVATING: {RolloutStep.ACTIVE, RolloutStep.ABANDONED},
    RolloutStep.ACTIVE: set(),
    RolloutStep.REJECTED: set(),
    RolloutStep.ABANDONED: set(),
}


class Rollout:
    """The leader's state of the rollout of one policy."""

    def __init__(
        self, now: int, number: int, text: str, author: str, comment: str, validators: Iterable[str]
    ) -> None:
        """Starts with validation; validators: names of the dispatchers that were asked to validate."""
        self.number = number
        self.text = text
        self.author = author
        self.comment = comment
        self.step = RolloutStep.VALIDATING
        self.started_at = now
        self.step_started_at = now
        self.reason: str | None = None  # why it was rejected or abandoned, or is to be abandoned
        self.awaited_validators = set(validators)
        self.accepted_by: set[str] = set()
        self.rejections: dict[str, str] = {}  # reason by dispatcher name
        self.drained_voters: set[str] = set()

    @classmethod
    def resume(cls, now: int, state_machine: PolicyStateMachine) -> "Rollout | None":
        """Returns the rollout of the pending policy for a new leader, or None if no policy is pending."""
        if state_machine.pending_number is None:
            return None
        record = state_machine.history[state_machine.pending_number]
        rollout = cls(now, record.number, record.text, record.author, record.comment, ())
        rollout.step = RolloutStep.DRAINING_LEASES
        return rollout

    def record_acceptance(self, name: str) -> None:
        """Records that a dispatcher that was asked accepts the policy."""
        if self._register_answer(name):
            self.accepted_by.add(name)

    def record_rejection(self, name: str, reason: str) -> None:
        """Records that a dispatcher that was asked rejects the policy."""
        if self._register_answer(name):
            self.rejections[name] = reason

    def record_drained(self, voter: str, number: int) -> None:
        """Records a voter's report that none of its leases on the number before `number` is valid."""
        if number == self.number:
            self.drained_voters.add(voter)

    def unreachable(self) -> list[str]:
        """Returns the dispatchers that were asked and have not answered.

        They admit no queries until they are reachable again and accept the policy.
        """
        return sorted(self.awaited_validators)

    def abort(self, now: int, reason: str) -> bool:
        """Ends the rollout at an operator's request; returns False if it has ended or is being activated."""
        match self.step:
            case RolloutStep.VALIDATING:
                self._change_step(RolloutStep.REJECTED, now, reason)
            case RolloutStep.REPLICATING | RolloutStep.DRAINING_LEASES:
                self.reason = reason
            case _:
                return False
        return True

    def next_command(
        self, now: int, state_machine: PolicyStateMachine, is_quorum: Callable[[Collection[str]], bool]
    ) -> Command | None:
        """Advances the rollout as far as possible; returns the command to append to the log now, or None.

        is_quorum: returns whether the given voters include a majority of the current voters.
        """
        if self.step is RolloutStep.VALIDATING:
            return self._check_validation(now, state_machine)
        if self.step is RolloutStep.REPLICATING:
            self._check_replication(now, state_machine)
        if self.step is RolloutStep.DRAINING_LEASES:
            return self._check_drained(now, state_machine, is_quorum)
        if self.step is RolloutStep.ACTIVATING and state_machine.pending_number != self.number:
            is_active = state_machine.active_number == self.number
            self._change_step(RolloutStep.ACTIVE if is_active else RolloutStep.ABANDONED, now, self.reason)
        return None

    def _check_validation(self, now: int, state_machine: PolicyStateMachine) -> Command | None:
        if self.rejections:
            reasons = "; ".join(f"{name}: {reason}" for name, reason in sorted(self.rejections.items()))
            self._change_step(RolloutStep.REJECTED, now, reasons)
            return None
        if self.awaited_validators and now < self.step_started_at + VALIDATION_TIMEOUT:
            return None
        if state_machine.pending_number is not None or state_machine.last_number + 1 != self.number:
            self._change_step(
                RolloutStep.REJECTED, now, f"{state_machine.last_number} was proposed meanwhile"
            )
            return None
        self._change_step(RolloutStep.REPLICATING, now)
        return ProposePolicy(self.number, content_digest(self.text), self.text, self.author, self.comment)

    def _check_replication(self, now: int, state_machine: PolicyStateMachine) -> None:
        if state_machine.pending_number == self.number:
            self._change_step(RolloutStep.DRAINING_LEASES, now, self.reason)
        elif state_machine.last_number >= self.number:
            self._change_step(RolloutStep.REJECTED, now, "another was agreed on by that number")

    def _check_drained(
        self, now: int, state_machine: PolicyStateMachine, is_quorum: Callable[[Collection[str]], bool]
    ) -> Command | None:
        if state_machine.pending_number != self.number:
            is_active = state_machine.active_number >= self.number
            self._change_step(RolloutStep.ACTIVE if is_active else RolloutStep.ABANDONED, now, self.reason)
            return None
        if self.reason or now >= self.step_started_at + DRAIN_TIMEOUT:
            self._change_step(
                RolloutStep.ACTIVATING, now, self.reason or "no majority of voters closed in time"
            )
            return AbandonPolicy(self.number, self.reason)
        if is_quorum(self.drained_voters):
            self._change_step(RolloutStep.ACTIVATING, now)
            return ActivatePolicy(self.number)
        return None

    def _register_answer(self, name: str) -> bool:
        if self.step is not RolloutStep.VALIDATING or name not in self.awaited_validators:
            return False
        self.awaited_validators.discard(name)
        return True

    def _change_step(self, step: RolloutStep, now: int, reason: str | None = None) -> None:
        """Changes the step; no other method changes it after the start.

        Raises InvalidTransitionError if the current step does not allow the new one.
        """
        if step not in _NEXT_STEPS[self.step]:
            raise InvalidTransitionError(self.step, step)
        self.step = step
        self.step_started_at = now
        self.reason = reason
