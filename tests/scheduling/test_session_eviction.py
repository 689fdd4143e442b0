"""Tests of which client session makes room for another one at the limit of connections."""

from dataclasses import dataclass

import pytest

from wickvane.scheduling.session_eviction import MAX_UNREAD_TICKS, choose_session

NOW = 1_000_000
RECENT = NOW - 2_500


@dataclass
class Session:
    """A session as the decision sees it."""

    name: str
    idle: bool = False
    since: int = NOW
    message_since: int = 0
    output_since: int = 0
    queries: int = 1

    def eviction_rank(self, recent):
        return 1 if self.queries else 2 * (self.since > recent)

    def is_active(self, recent):
        return bool(self.queries) and self.since > recent

    def is_stalled(self, recent):
        return not self.idle and 0 < self.message_since < recent


BUSY = Session("busy")
STALLED = Session("stalled", message_since=RECENT - 1)
STALLED_LONGER = Session("stalled longer", message_since=RECENT - 9)
READS_ON = Session("reads on", message_since=RECENT + 1)
SILENT = Session("silent", idle=True, since=RECENT - 1, queries=0)
NEW = Session("new", idle=True, queries=0)
ACTIVE = Session("active", idle=True)
IDLE = Session("idle", idle=True, since=RECENT - 5)
UNREAD = Session("unread", output_since=NOW - MAX_UNREAD_TICKS - 1)
SLOW = Session("slow", output_since=NOW - MAX_UNREAD_TICKS + 1)


@pytest.mark.parametrize(
    "sessions, is_memory_short, expected",
    [
        ([BUSY, STALLED, STALLED_LONGER, SILENT], False, STALLED_LONGER),
        ([BUSY, READS_ON, SILENT, IDLE, UNREAD], False, SILENT),
        ([BUSY, IDLE, ACTIVE, NEW], False, IDLE),
        ([BUSY, ACTIVE, NEW], False, ACTIVE),
        ([BUSY, ACTIVE, NEW], True, NEW),
        ([BUSY, UNREAD, ACTIVE], False, UNREAD),
        ([BUSY, SLOW, ACTIVE], False, ACTIVE),
        ([BUSY, BUSY, ACTIVE], True, None),
        ([ACTIVE, ACTIVE, BUSY], True, ACTIVE),
        ([BUSY, READS_ON, SLOW], False, None),
    ],
)
def test_the_session_that_makes_room(sessions, is_memory_short, expected):
    """Clients that stop half way or do not read kept out, or displaced, those that use their answers."""
    assert choose_session(sessions, NOW, RECENT, is_memory_short) is expected
