"""The errors of the replicated configuration."""

from enum import Enum

from wickvane.errors import WickvaneError


class VoteFileError(WickvaneError):
    """A vote file that cannot be trusted: another version, cut short, or damaged."""


class InvalidTransitionError(WickvaneError):
    """A state machine was to enter a state that cannot follow its present one."""

    def __init__(self, present: Enum, wanted: Enum) -> None:
        super().__init__(f"{wanted} cannot follow {present}")
        self.present = present
        self.wanted = wanted
