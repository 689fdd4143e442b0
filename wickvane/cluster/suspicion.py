"""Suspicion timeouts: how long a suspect has to refute before it is declared failed.

The timeout starts at its maximum and falls to its minimum as other members suspect the member independently
(Lifeguard, Dadgar, Phillips, Currey 2018). It is longer for a member that refuted recently, since such a
member sometimes stalls without having failed, and for all members while this dispatcher's local health is
degraded.
"""

from math import log
from typing import NamedTuple

from wickvane.cluster.local_health import LocalHealth
from wickvane.cluster.member import SUSPECT, Member
from wickvane.cluster.member_table import MemberTable
from wickvane.cluster.membership import MAX_CONFIRMATIONS, RECENT_REFUTATION_PERIOD
from wickvane.units import TICKS_PER_SECOND

MIN_TIMEOUT = 35 * TICKS_PER_SECOND // 10  # ticks, after MAX_CONFIRMATIONS confirmations
MAX_TIMEOUT = 12 * TICKS_PER_SECOND  # without confirmations
MAX_TIMEOUT_DOUBLINGS = 3  # the timeout doubles for each recent refutation
GOSSIP_RATE = 300  # entries that a member can forward per second


class Suspicion(NamedTuple):
    """When this dispatcher began to suspect a member, and the bounds of the timeout, in ticks."""

    since: int
    min_timeout: int
    max_timeout: int


class SuspicionTimers:
    """The running suspicion timeouts."""

    def __init__(self, table: MemberTable, health: LocalHealth):
        self._table = table
        self._health = health
        self._suspicions: dict[Member, Suspicion] = {}

    def start(self, now: int, member: Member, is_failed_elsewhere: bool = False) -> None:
        """Starts the timeout of a suspect, unless it runs already.

        is_failed_elsewhere: another member has declared the suspect failed. The maximum of the timeout then
        falls to its minimum, even if the timeout runs already."""
        suspicion = self._suspicions.get(member)
        if suspicion is not None and not is_failed_elsewhere:
            return
        is_recent = now - member.refuted_at < RECENT_REFUTATION_PERIOD
        factor = 1 << min(MAX_TIMEOUT_DOUBLINGS, member.recent_refutations if is_recent else 0)
        factor *= 1 + self._health.score / 2
        self._suspicions[member] = Suspicion(
            now if suspicion is None else suspicion.since,
            int(MIN_TIMEOUT * factor),
            int((MIN_TIMEOUT if is_failed_elsewhere else MAX_TIMEOUT) * factor),
        )

    def restart(self, now: int, member: Member, timeout: int) -> None:
        """Restarts a suspect's timeout with a fixed duration of `timeout` ticks."""
        self._suspicions[member] = Suspicion(now, timeout, timeout)

    def cancel(self, member: Member) -> None:
        """Cancels a member's timeout after it refuted, left or was declared failed."""
        self._suspicions.pop(member, None)

    def extend_all(self, duration: int) -> None:
        """Extends all timeouts by the time during which this process did not run."""
        for member, suspicion in self._suspicions.items():
            self._suspicions[member] = suspicion._replace(since=suspicion.since + duration)

    def deadline(self, member: Member) -> int:
        """Returns when a member's timeout ends, given the confirmations received up to now."""
        since, min_timeout, max_timeout = self._suspicions[member]
        confirmations = max(0, len(member.suspected_by) - 1)
        # All living members but the suspect and this dispatcher can confirm.
        possible = min(MAX_CONFIRMATIONS, len(self._table.living) - 2)
        progress = log(1 + min(possible, confirmations)) / log(1 + possible) if possible > 0 else 1
        return since + int(max_timeout - (max_timeout - min_timeout) * progress)

    def deadlines(self) -> list[int]:
        """Returns when each running timeout ends."""
        return [self.deadline(member) for member in self._suspicions]

    def pop_expired(self, now: int) -> list[Member]:
        """Removes the timeouts that have ended. Returns their members."""
        if not self._suspicions:
            return []
        for member in [member for member in self._suspicions if member.state != SUSPECT]:
            del self._suspicions[member]  # for example replaced by a later epoch
        # While gossip is queued here, other members' queues are long as well, so that a refutation may be
        # delayed.
        table = self._table
        backlog = len(table.gossip) * table.transmission_limit() * TICKS_PER_SECOND // GOSSIP_RATE
        delay = min(backlog, MAX_TIMEOUT)
        expired = [member for member in self._suspicions if self.deadline(member) + delay <= now]
        for member in expired:
            del self._suspicions[member]
        return expired
