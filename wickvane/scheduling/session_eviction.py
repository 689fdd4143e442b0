"""Decides which client session is closed to make room at the limit of connections. Free of I/O."""

from collections.abc import Collection
from typing import Protocol, TypeVar

from wickvane.units import TICKS_PER_SECOND

MAX_UNREAD_TICKS = TICKS_PER_SECOND  # a client that has read nothing for so long makes room
ACTIVE_FRACTION = 0.5  # of all sessions; below it, clients that have just had an answer are few


class Session(Protocol):
    """What is known of a client session.

    idle: whether it waits for a message; since: when it began to, in ticks; message_since, output_since:
    since when it waits for the rest of a message, or for its client to read; 0 if it does not."""

    idle: bool
    since: int
    message_since: int
    output_since: int

    def eviction_rank(self, recent: int) -> int:
        """Returns the rank of an idle session, the lowest goes first; recent: what began later is recent."""

    def is_active(self, recent: int) -> bool:
        """Returns whether its client has had an answer since `recent`."""

    def is_stalled(self, recent: int) -> bool:
        """Returns whether it has waited since before `recent` for the rest of a message."""


AnySession = TypeVar("AnySession", bound=Session)


def choose_session(
    sessions: Collection[AnySession], now: int, recent: int, is_memory_short: bool
) -> AnySession | None:
    """Returns the session to close, or None if none may be closed; now, recent: in ticks.

    Sessions that have waited longest for the rest of a message go first, then idle ones by their rank, except
    those whose client has just had an answer: before them go those whose client does not read. If memory
    limits the sessions, clients that have just had an answer stay while they are few, since others use what
    is short."""
    stalled = [session for session in sessions if session.is_stalled(recent)]
    if stalled:
        return min(stalled, key=lambda session: session.message_since)
    idle = [session for session in sessions if session.idle]
    inactive = [session for session in idle if not session.is_active(recent)]
    unread = [session for session in sessions if 0 < session.output_since < now - MAX_UNREAD_TICKS]
    if unread and not inactive:
        return min(unread, key=lambda session: session.output_since)
    are_few_active = len(idle) - len(inactive) < ACTIVE_FRACTION * len(sessions)
    candidates = inactive if is_memory_short and are_few_active else idle
    return min(candidates, key=lambda session: (session.eviction_rank(recent), session.since), default=None)
