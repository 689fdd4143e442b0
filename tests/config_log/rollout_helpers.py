"""Committed entries, state machines and quorums for the tests of rollouts."""

from collections.abc import Collection

from wickvane.config_log.log_entry import LogEntry, ProposePolicy
from wickvane.config_log.state_machine import PolicyStateMachine, content_digest


def proposed(number: int, text: str = "x") -> LogEntry:
    """Returns the entry that proposes a policy."""
    return LogEntry(1, ProposePolicy(number, content_digest(text), text, "me", "why"))


def applied(*entries: LogEntry) -> PolicyStateMachine:
    """Returns a state machine that has applied these entries."""
    machine = PolicyStateMachine("first")
    for index, entry in enumerate(entries, 1):
        machine.apply(index, entry)
    return machine


def any_voter_is_quorum(voters: Collection[str]) -> bool:
    """The quorum of a cluster with one voter: any voter is a majority."""
    return bool(voters)


def never_quorum(voters: Collection[str]) -> bool:
    """The quorum of a cluster whose majority is unreachable: no voters are a majority."""
    return False
