"""One dispatcher in the cluster: which messages it sends, to which members and when, without I/O.

run_round() is called with the received messages and a transport for the messages to send. It calls the
membership rules, the failure detection, the anti-entropy and the delegate, which have their own modules, in a
fixed order.

Times are ticks of a monotonic clock.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random
from typing import Protocol

from wickvane.cluster.anti_entropy import AntiEntropy
from wickvane.cluster.failure_detector import UNANSWERED_PERIODS, FailureDetector
from wickvane.cluster.member import FAILED, LEFT, Member
from wickvane.cluster.membership import LogEvent, Membership
from wickvane.cluster.message_receiver import MessageReceiver
from wickvane.cluster.message_sender import MessageSender, Transport
from wickvane.cluster.messages import Message, MessageKind
from wickvane.cluster.probing import Probing
from wickvane.cluster.quorum import Assessment, count_members, divisor, find_partition, find_quorum_state
from wickvane.units import TICKS_PER_SECOND

DEFAULT_PROBE_PERIOD = TICKS_PER_SECOND // 2
DEFAULT_CAPACITY = 4096  # members
DEFAULT_TOMBSTONE_AFTER = 24 * 3600 * TICKS_PER_SECOND
STALL_THRESHOLD = 3_000  # ticks by which a round must be late to count as a stall of the process
GOSSIP_INTERVAL = TICKS_PER_SECOND // 5
GOSSIP_FANOUT = 3  # members
EXPIRY_INTERVAL = TICKS_PER_SECOND
MAX_VIEW_AGE = 4 * TICKS_PER_SECOND  # older observed views are ignored
LEAVE_FANOUT = 8  # members that are notified directly when this one leaves


class Delegate(Protocol):
    """Exchanges its own payloads in the cluster's datagrams. next_at: when its next round is due."""

    next_at: int

    def run_round(self, now: int) -> None:
        """Runs the delegate. Called at the end of each round, also after this dispatcher has left."""

    def receive_payload(self, now: int, sender: Member, payload: bytes) -> None:
        """Handles a payload from a member. Each arrives at most once, and may be lost."""

    def status(self) -> dict:
        """Returns the delegate's fields for the status file."""


class Node:
    """One dispatcher as a member of the cluster.

    seeds: the addresses through which it joins. configured: the configured number of dispatchers. log_event:
    called with the name and fields of each event. period: ticks between two probes. capacity: the maximum
    number of known members. tombstone_after: ticks after which a dead member is removed."""

    def __init__(
        self,
        now: int,
        name: str,
        epoch: int,
        address: str,
        seeds: Sequence[str],
        configured: int,
        random_seed: int | str,
        log_event: LogEvent,
        period: int = DEFAULT_PROBE_PERIOD,
        capacity: int = DEFAULT_CAPACITY,
        tombstone_after: int = DEFAULT_TOMBSTONE_AFTER,
    ):
        self.now = now
        self.random = Random(f"{random_seed}/peers/{name}")
        self.configured = configured
        self.delegate: Delegate | None = None
        self.rejected: Counter[str] = Counter()  # the numbers of rejected messages by reason
        self.next_round_at = now + period
        self.membership = Membership(now, name, epoch, address, capacity, tombstone_after, log_event)
        self.table = self.membership.table
        self.detector = FailureDetector(now, self.table, self.random, period)
        self.sender = MessageSender(now, self.table, self.rejected)
        self.anti_entropy = AntiEntropy(now, self.table, self.detector, self.sender, self.random, seeds)
        self.probing = Probing(self.membership, self.detector, self.sender)
        self.receiver = MessageReceiver(
            now, self.membership, self.probing, self.sender, self._handlers(), self.rejected
        )
        self._log_event = log_event
        self._gossip_at = now + GOSSIP_INTERVAL
        self._expiry_at = now + EXPIRY_INTERVAL
        self._has_left = False
        self._logged_assessment: Assessment | None = None

    def _handlers(self) -> dict:
        probing = self.probing
        return {
            MessageKind.PING: probing.handle_ping,
            MessageKind.ACK: probing.handle_ack,
            MessageKind.PING_REQUEST: probing.handle_ping_request,
            MessageKind.NACK: probing.handle_nack,
            MessageKind.RELAYED_ACK: probing.handle_relayed_ack,
            MessageKind.SYNC: self.anti_entropy.handle_sync,
            MessageKind.PAYLOAD: self._handle_payload,
        }

    def run_round(self, now: int, messages: Iterable[Message], transport: Transport) -> int:
        """Handles the received messages, then performs all actions that are due. Returns when the next round
        is due."""
        stall = now - self.next_round_at
        self.now = now
        self.sender.begin(now, transport)
        if stall > STALL_THRESHOLD:
            # The stall is recorded before any verdict, since the acknowledgements may be among the messages.
            self.detector.record_stall(now, stall)
            self._log_event("peers-stood-still", {"ms": stall // 10})
        for message in messages:
            self.receiver.receive(now, message)
        if not self._has_left:
            self.detector.tick(now, self.probing)
            self._run_due_tasks(now)
        if self.delegate is not None:
            self.delegate.run_round(now)
        self.sender.end()
        self.next_round_at = self._find_next_round()
        return self.next_round_at

    def _run_due_tasks(self, now: int) -> None:
        if now >= self._expiry_at:
            self._expiry_at = now + EXPIRY_INTERVAL
            self.membership.expire(now)
        self.anti_entropy.tick(now)
        if self.table.gossip and now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_INTERVAL
            for member in self.detector.sample_members(GOSSIP_FANOUT):
                self.sender.send(member, MessageKind.GOSSIP)

    def _find_next_round(self) -> int:
        delegate = self.delegate
        if self._has_left:
            # Only messages are answered after leaving. The times of all other actions stay in the past.
            next_at = self.now + TICKS_PER_SECOND if delegate is None else delegate.next_at
            return max(self.now + 1, next_at)
        times = [self.detector.next_at(), self.anti_entropy.next_at(), self._expiry_at]
        if self.table.gossip and len(self.table.living) > 1:
            times.append(self._gossip_at)
        if delegate is not None:
            times.append(delegate.next_at)
        return max(self.now + 1, min(times))

    def send_payload(self, member: Member, payload: bytes) -> None:
        """Sends a delegate's payload to a member."""
        self.sender.send(member, MessageKind.PAYLOAD, body=payload)

    def _handle_payload(self, now: int, member: Member, message: Message) -> None:
        if self.delegate is not None:
            self.delegate.receive_payload(now, member, message.body)

    def leave(self, now: int, transport: Transport) -> None:
        """Leaves the cluster. Some members are notified at once, and gossip informs the others."""
        self.now = now
        local = self.table.local
        if local.state == LEFT:
            return
        self.sender.begin(now, transport)
        receivers = self.detector.sample_members(LEAVE_FANOUT)
        self.membership.transition(now, local, local.incarnation, LEFT, "")
        for member in receivers:
            self.sender.send(member, MessageKind.GOSSIP)
        self._has_left = True
        self.sender.end()

    def forget(self, now: int, name: str) -> int:
        """Marks the failed members of a name as left, by an operator's order. Returns their number."""
        self.now = now
        failed = [member for member in self.table.by_name.get(name, ()) if member.state == FAILED]
        for member in failed:
            self.membership.transition(now, member, member.incarnation, LEFT, self.table.local.name)
        return len(failed)

    def change_seeds(self, now: int, seeds: Sequence[str]) -> None:
        """Replaces the seeds, and sends join requests at once."""
        self.anti_entropy.change_seeds(now, seeds)

    def is_unreachable(self, now: int) -> bool:
        """Returns whether this dispatcher receives datagrams of others, but none of them receives its own."""
        timeout = UNANSWERED_PERIODS * self.detector.period
        return self.detector.is_unanswered(now) and now - self.receiver.last_received_at < timeout

    def assess(self, now: int) -> Assessment:
        """Returns the conclusions from the current view."""
        table = self.table
        member_counts = count_members(table)
        agreed = table.view.is_agreed(now, MAX_VIEW_AGE)
        settled = self.detector.is_settled(now)
        counts = (self.configured, member_counts.reachable, member_counts.suspected, member_counts.failed)
        name_taken = self.membership.is_name_taken()
        state, reasons = find_quorum_state(*counts, agreed, self.is_unreachable(now), name_taken, settled)
        return Assessment(
            state,
            find_partition(*counts, settled),
            reasons,
            table.view.number,
            agreed,
            divisor(self.configured, table),
        )

    def log_assessment(self, now: int) -> Assessment:
        """Returns the assessment, and logs it if the quorum state or the partition has changed since the last
        call."""
        assessment = self.assess(now)
        before = self._logged_assessment
        if before is None or assessment[:2] != before[:2]:
            self._logged_assessment = assessment
            fields = {
                "standing": assessment.state.value,
                "part": assessment.partition.value,
                "reasons": assessment.reasons,
                "was": before and before.state.value,
                "view": assessment.view_number,
                "divisor": assessment.divisor,
            }
            self._log_event("peers-standing", fields)
        return assessment
