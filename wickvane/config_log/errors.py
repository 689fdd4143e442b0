"""The errors of the replicated configuration."""

from enum import Enum

from wickvane.errors import WickvaneError


class VoteFileError(WickvaneError):
    """A vote file that cannot be used: it has an unknown version, or is truncated or damaged."""


class InvalidTransitionError(WickvaneError):
    """A transition that a state machine's current state does not allow."""

    def __init__(self, current: Enum, requested: Enum) -> None:
        super().__init__(f"no transition from {current} to {requested} is allowed")
        self.current = current
        self.requested = requested
