"""A model of leases for state-space searches: three voters, two holders, each with a clock.

Policy number 2 replaces number 1.
"""

import copy
from collections.abc import Callable, Iterator
from types import ModuleType

from config_log.raft_model import VOTERS
from wickvane.config_log import policy_lease

HOLDERS = ("x", "y")
DURATION = 3  # ticks
DRIFT = 0
STARTED_AT = 100
OLD_NUMBER = 1
NEW_NUMBER = 2


class LeaseModel:
    """The state of all voters, holders and messages.

    violation: states that the old number was valid after the new one; None if that has not happened.
    """

    def __init__(self, module: ModuleType = policy_lease) -> None:
        self.module = module
        self.time = 0
        self.clocks = dict.fromkeys((*VOTERS, *HOLDERS), STARTED_AT)
        self.lessors = {
            voter: module.Lessor(STARTED_AT - 50, OLD_NUMBER, None, DURATION, DRIFT) for voter in VOTERS
        }
        self.holders = {name: module.LeaseHolder(OLD_NUMBER, DURATION) for name in HOLDERS}
        self.disks = dict.fromkeys(VOTERS, (OLD_NUMBER, None))  # number and successor by voter
        self.reported_drained = set()
        self.is_activated = False
        self.numbers_used = set()
        self.violation = None
        # "request" or "grant", holder, voter, number, time of the request on the holder's clock
        self.in_flight: tuple[tuple[str, str, str, int, int], ...] = ()
        self.slow_ticks_left = 1
        self.crashes_left = 1

    def fork(self) -> "LeaseModel":
        """Returns an independent copy."""
        other = copy.copy(self)
        other.clocks = dict(self.clocks)
        other.disks = dict(self.disks)
        other.reported_drained = set(self.reported_drained)
        other.numbers_used = set(self.numbers_used)
        other.lessors = {voter: copy.copy(lessor) for voter, lessor in self.lessors.items()}
        other.holders = {name: copy.copy(holder) for name, holder in self.holders.items()}
        for lessor in other.lessors.values():
            lessor.expires_at = dict(lessor.expires_at)
        for holder in other.holders.values():
            holder.grants_expire_at = dict(holder.grants_expire_at)
        return other

    def check(self) -> "LeaseModel":
        """Records which numbers are valid now, and a violation if there is one; returns the model."""
        valid = {
            holder.number
            for name, holder in self.holders.items()
            if holder.is_valid(self.clocks[name], VOTERS)
        }
        self.numbers_used |= valid
        if OLD_NUMBER in valid and NEW_NUMBER in self.numbers_used:
            self.violation = "the old number is valid after the new"
        return self

    def key(self) -> tuple:
        """Returns a key that is equal for equivalent states; expiry times are relative to the clocks."""
        clocks = self.clocks
        return (
            self.time,
            tuple(
                (
                    lessor.active_number,
                    lessor.successor,
                    tuple(
                        sorted((name, expiry - clocks[voter]) for name, expiry in lessor.expires_at.items())
                    ),
                    max(0, lessor.earlier_leases_expire_at - clocks[voter]),
                )
                for voter, lessor in self.lessors.items()
            ),
            tuple(
                (
                    holder.number,
                    tuple(
                        sorted(
                            (voter, expiry - clocks[name])
                            for voter, expiry in holder.grants_expire_at.items()
                        )
                    ),
                )
                for name, holder in self.holders.items()
            ),
            tuple(sorted((*sent[:4], sent[4] - clocks[sent[1]]) for sent in self.in_flight)),
            frozenset(self.reported_drained),
            self.is_activated,
            frozenset(self.numbers_used),
            self.slow_ticks_left,
            self.crashes_left,
        )

    def lease(self, name: str, voters: list[str]) -> None:
        """A holder requests leases, and the voters answer immediately."""
        holder = self.holders[name]
        for voter in voters:
            if self.lessors[voter].grant(self.clocks[voter], name, holder.number):
                holder.record_grant(voter, holder.number, self.clocks[name])

    def drain(self, voter: str) -> None:
        """A voter receives the successor and saves it."""
        self.lessors[voter].drain(NEW_NUMBER)
        self.disks[voter] = (OLD_NUMBER, NEW_NUMBER)

    def activate(self, voter: str) -> None:
        """A voter applies the activation of the successor and saves it."""
        self.lessors[voter].activate(NEW_NUMBER)
        self.disks[voter] = (NEW_NUMBER, None)

    def crash(self, voter: str) -> None:
        """A voter restarts with the state on its disk."""
        now = self.clocks[voter]
        self.lessors[voter] = self.module.Lessor(now, *self.disks[voter], DURATION, DRIFT)

    def successors(self) -> Iterator["LeaseModel"]:
        """Yields each state that one step leads to."""
        if self.time < 7:
            yield from self._clock_steps()
        for name in self.holders:
            yield from self._holder_steps(name)
        for position in range(len(self.in_flight)):
            other = self.fork()
            other.deliver(position)
            yield other.check()
        for voter in self.lessors:
            yield from self._voter_steps(voter)
        if len(self.reported_drained) >= 2 and not self.is_activated:
            other = self.fork()
            other.is_activated = True
            yield other

    def deliver(self, position: int) -> None:
        """Delivers a request or a grant."""
        kind, name, voter, number, requested_at = self.in_flight[position]
        self.in_flight = self.in_flight[:position] + self.in_flight[position + 1 :]
        if kind == "grant":
            self.holders[name].record_grant(voter, number, requested_at)
        elif self.lessors[voter].grant(self.clocks[voter], name, number):
            self.in_flight += (("grant", name, voter, number, requested_at),)

    def _clock_steps(self) -> Iterator["LeaseModel"]:
        """Yields the states after a tick of all clocks, or of all clocks but one."""
        for slow in (None, "x", "a") if self.slow_ticks_left else (None,):
            other = self.fork()
            other.time += 1
            other.slow_ticks_left -= slow is not None
            for name in other.clocks:
                other.clocks[name] += name != slow
            yield other.check()

    def _holder_steps(self, name: str) -> Iterator["LeaseModel"]:
        number = self.holders[name].number
        if len(self.in_flight) < 3:
            for voter in VOTERS:
                other = self.fork()
                other.in_flight += (("request", name, voter, number, other.clocks[name]),)
                yield other
        if self.is_activated and number == OLD_NUMBER:
            other = self.fork()
            other.holders[name].switch_to(NEW_NUMBER)
            yield other.check()

    def _voter_steps(self, voter: str) -> Iterator["LeaseModel"]:
        lessor = self.lessors[voter]
        if lessor.successor is None and lessor.active_number == OLD_NUMBER and not self.is_activated:
            other = self.fork()
            other.drain(voter)
            yield other
        if lessor.is_drained(self.clocks[voter]) and voter not in self.reported_drained:
            other = self.fork()
            other.reported_drained.add(voter)
            yield other
        if self.is_activated and lessor.active_number == OLD_NUMBER:
            other = self.fork()
            other.activate(voter)
            yield other
        if self.crashes_left:
            other = self.fork()
            other.crashes_left -= 1
            other.crash(voter)
            yield other


def search(max_states: int) -> tuple[str | None, int]:
    """Searches breadth-first; returns (violation or None, number of states)."""
    seen = set()
    frontier = [LeaseModel()]
    states = 0
    while frontier and states < max_states:
        next_frontier = []
        for model in frontier:
            for successor in model.successors():
                if successor.violation:
                    return successor.violation, states
                if (key := hash(successor.key())) not in seen:
                    seen.add(key)
                    states += 1
                    next_frontier.append(successor)
        frontier = next_frontier
    return None, states


def replay(module: ModuleType, script: str) -> str | None:
    """Returns the violation after a script's steps, or None; a step that a guard forbids is skipped."""
    model = LeaseModel(module)
    for step in script.split(","):
        word, *names = step.split()
        _take_step(model, word, names)
        model.check()
    return model.violation


def _take_step(model: LeaseModel, word: str, names: list[str]) -> None:
    match word:
        case "tick":
            model.clocks = {name: time + 1 for name, time in model.clocks.items()}
        case "lease":
            model.lease(names[0], names[1:])
        case "drain":
            _for_each(names, model.drain)
        case "crash":
            _for_each(names, model.crash)
        case "commit":
            drained = [voter for voter in names if model.lessors[voter].is_drained(model.clocks[voter])]
            model.is_activated = len(drained) >= 2
        case "activate":
            if model.is_activated:
                # These voters activate the new number, and the second holder switches to it.
                model.holders["y"].switch_to(NEW_NUMBER)
                _for_each(names, model.activate)
        case _:
            raise ValueError(word)


def _for_each(voters: list[str], step: Callable[[str], None]) -> None:
    for voter in voters:
        step(voter)
