"""Failure detection by probes, without I/O (SWIM, Das, Gupta, Motivala 2002; Lifeguard, Dadgar, Phillips,
Currey 2018).

Once per probe period the next member of a shuffled list is pinged. If it does not acknowledge, some other
members are asked to ping it (indirect probe). If they get no acknowledgement either, the member is suspected.
It is declared failed only if it has not refuted within the suspicion timeout. Each helper that got no
acknowledgement counts as an independent suspicion.

After a stall a dispatcher drops its current probe and extends all suspicion timeouts by the duration of the
stall. If any datagram of a member has arrived since its probe was sent, the member is alive, even if the
acknowledgement is missing.

Times are ticks of a monotonic clock.
"""

from random import Random
from typing import NamedTuple, Protocol

from wickvane.cluster.local_health import LocalHealth
from wickvane.cluster.member import ALIVE, JOINING, SUSPECT, Member
from wickvane.cluster.member_table import MemberTable
from wickvane.cluster.suspicion import SuspicionTimers

HELPER_COUNT = 3  # members that are asked for an indirect probe
INDIRECT_PROBE_AFTER_PERIODS = 0.4  # probe periods after the ping, at which helpers are asked
NACK_AFTER_PERIODS = 0.45  # probe periods after which a helper without an acknowledgement sends a nack
MAX_RELAYED_PROBES = 64  # indirect probes for other members at the same time
# Probe periods without any answer after which other members seem not to receive this dispatcher.
UNANSWERED_PERIODS = 12


class ProbeHandler(Protocol):
    """Sends the detector's messages and handles its verdicts."""

    def send_ping(self, member: Member, sequence: int) -> None:
        """Sends a ping."""

    def send_ping_request(self, helper: Member, member: Member, sequence: int) -> None:
        """Asks a helper to ping a member."""

    def send_nack(self, requester: Member, sequence: int) -> None:
        """Notifies a requester that the member did not acknowledge."""

    def handle_suspected(self, now: int, member: Member, helpers: list[Member]) -> None:
        """Handles a member that acknowledged neither to this dispatcher nor to these helpers."""

    def handle_failed(self, now: int, member: Member) -> None:
        """Handles a suspect that has not refuted in time."""


class Probe(NamedTuple):
    """The probe that is in progress."""

    member: Member
    sequence: int
    sent_at: int
    indirect_at: int | None  # when helpers are asked; None if they were asked already
    deadline: int


class RelayedProbe(NamedTuple):
    """A ping that was sent on behalf of another member."""

    requester: Member
    requester_sequence: int
    member: Member
    deadline: int


class FailureDetector:
    """Probes the members in turn and owns the suspicion timers. period: ticks between two probes."""

    def __init__(self, now: int, table: MemberTable, random: Random, period: int):
        self.table = table
        self.period = period
        self.health = LocalHealth(now)
        self.suspicions = SuspicionTimers(table, self.health)
        self.probe: Probe | None = None
        self.probe_count = 0
        self.missed_count = 0
        self._random = random
        self._probe_order: list[tuple[Member, int]] = []  # each with its epoch when the list was made
        self._probe_order_position = 0
        self._sequence = random.getrandbits(20)
        self._helper_count = 0
        self._nacking_helpers: set[Member] = set()
        self._relayed_probes: dict[int, RelayedProbe] = {}  # by sequence
        self._next_probe_at = now + period
        self._last_answer_at = now  # when a member last answered a message of this dispatcher

    def record_stall(self, now: int, duration: int) -> None:
        """Records that this process ran `duration` ticks late. The answers that it awaits may not have been
        read yet."""
        self.health.record_stall(now)
        self.probe = None
        self._relayed_probes.clear()
        self._next_probe_at = now + self.period
        self.suspicions.extend_all(duration)

    def start_relayed_probe(
        self, now: int, requester: Member, requester_sequence: int, member: Member
    ) -> int | None:
        """Registers a ping on behalf of another member.

        Returns its sequence number, None if MAX_RELAYED_PROBES are in progress."""
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return None
        self._sequence += 1
        deadline = now + int(NACK_AFTER_PERIODS * self.period)
        self._relayed_probes[self._sequence] = RelayedProbe(requester, requester_sequence, member, deadline)
        return self._sequence

    def handle_ack(self, now: int, member: Member, sequence: int) -> RelayedProbe | None:
        """Handles the acknowledgement of a member, sent by itself or relayed by a helper.

        Returns the probe that it ends if that was on behalf of another member, otherwise None."""
        self._last_answer_at = now
        probe = self.probe
        if probe is not None and probe.member is member and probe.sequence == sequence:
            self.probe = None
            self.health.improve()
            return None
        relayed = self._relayed_probes.get(sequence)
        if relayed is None or relayed.member is not member:
            return None
        return self._relayed_probes.pop(sequence)

    def handle_relayed_ack(self, now: int, sequence: int) -> None:
        """Handles a helper's message that the probed member acknowledged."""
        if self.probe is not None:
            self.handle_ack(now, self.probe.member, sequence)

    def handle_nack(self, now: int, helper: Member, sequence: int) -> None:
        """Handles a helper's nack: the helper receives this dispatcher, and suspects the member as well."""
        self._last_answer_at = now
        if self.probe is not None and self.probe.sequence == sequence:
            self._nacking_helpers.add(helper)

    def tick(self, now: int, handler: ProbeHandler) -> None:
        """Performs all actions that are due."""
        if self._relayed_probes:
            self._send_due_nacks(now, handler)
        self._advance_probe(now, handler)
        if self.probe is None and now >= self._next_probe_at:
            self._start_probe(now, handler)
        for member in self.suspicions.pop_expired(now):
            handler.handle_failed(now, member)

    def _send_due_nacks(self, now: int, handler: ProbeHandler) -> None:
        due = [sequence for sequence, relayed in self._relayed_probes.items() if relayed.deadline <= now]
        for sequence in due:
            relayed = self._relayed_probes.pop(sequence)
            handler.send_nack(relayed.requester, relayed.requester_sequence)

    def _advance_probe(self, now: int, handler: ProbeHandler) -> None:
        probe = self.probe
        if probe is None:
            return
        if now >= probe.deadline:
            self._end_probe(now, probe, handler)
        elif probe.indirect_at is not None and now >= probe.indirect_at:
            self.probe = probe._replace(indirect_at=None)
            # The member is pinged again, since a datagram was most likely lost.
            handler.send_ping(probe.member, probe.sequence)
            self._request_indirect_probes(probe, handler)

    def _start_probe(self, now: int, handler: ProbeHandler) -> None:
        multiplier = self.health.multiplier
        self._next_probe_at = now + self.period * multiplier
        member = self._next_probe_target()
        if member is None:
            return
        self._sequence += 1
        self.probe_count += 1
        indirect_at = now + int(INDIRECT_PROBE_AFTER_PERIODS * self.period) * multiplier
        self.probe = Probe(member, self._sequence, now, indirect_at, self._next_probe_at)
        self._helper_count = 0
        self._nacking_helpers = set()
        handler.send_ping(member, self._sequence)

    def _next_probe_target(self) -> Member | None:
        """Returns the next member to probe. All members are probed once before any is probed again, each time
        in another order."""
        for _ in range(2):
            while self._probe_order_position < len(self._probe_order):
                member, epoch = self._probe_order[self._probe_order_position]
                self._probe_order_position += 1
                if self.table.is_living(member) and member.epoch == epoch:
                    return member
            self._probe_order = [
                (member, member.epoch) for member in self.table.living if not member.is_local
            ]
            self._random.shuffle(self._probe_order)
            self._probe_order_position = 0
        return None

    def _request_indirect_probes(self, probe: Probe, handler: ProbeHandler) -> None:
        sample = self.sample_members(HELPER_COUNT + 1)
        helpers = [helper for helper in sample if helper is not probe.member][:HELPER_COUNT]
        self._helper_count = len(helpers)
        for helper in helpers:
            handler.send_ping_request(helper, probe.member, probe.sequence)

    def sample_members(self, count: int) -> list[Member]:
        """Returns up to `count` random living members, without this dispatcher and those that are joining."""
        living = self.table.living
        sample = self._random.sample(living, min(len(living), count + 1))
        return [member for member in sample if not member.is_local and member.state != JOINING][:count]

    def _end_probe(self, now: int, probe: Probe, handler: ProbeHandler) -> None:
        self.probe = None
        member = probe.member
        if not self.table.is_living(member) or member.last_contact_at >= probe.sent_at:
            return
        self.missed_count += 1
        # Helpers from which no nack arrived may not have been reached, so that the fault may be local.
        missing = self._helper_count - len(self._nacking_helpers)
        if missing or not self._helper_count:
            self.health.degrade(missing or 1)
        if member.state in (ALIVE, SUSPECT, JOINING):
            helpers = sorted(self._nacking_helpers, key=lambda helper: helper.slot)
            handler.handle_suspected(now, member, helpers)

    def is_unanswered(self, now: int) -> bool:
        """Returns whether no member has answered this dispatcher for UNANSWERED_PERIODS probe periods,
        although it probes them. The probe period is lengthened by the local health multiplier."""
        timeout = UNANSWERED_PERIODS * self.period * self.health.multiplier
        return now - self._last_answer_at > timeout

    def is_settled(self, now: int) -> bool:
        """Returns whether the last stall of this process is long enough ago."""
        return self.health.is_settled(now, self.period)

    def next_at(self) -> int:
        """Returns when tick() is due next."""
        probe = self.probe
        if probe is None:
            times = [self._next_probe_at]
        else:
            times = [probe.deadline]
            if probe.indirect_at is not None:
                times.append(probe.indirect_at)
        times.extend(relayed.deadline for relayed in self._relayed_probes.values())
        times.extend(self.suspicions.deadlines())
        return min(times)
