"""One dispatcher in the cluster: what it sends to whom and when, free of I/O.

run_round() is called with the messages that arrived and a transport for those that leave. Membership rules,
failure detection, anti-entropy and quorum state are modules of their own; here is the order of the steps.

Times are ticks of a clock that does not step.
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
STALL_THRESHOLD = 3_000  # ticks past its moment, after which a round was held up by the machine
GOSSIP_INTERVAL = TICKS_PER_SECOND // 5
GOSSIP_FANOUT = 3  # members
EXPIRY_INTERVAL = TICKS_PER_SECOND
MAX_VIEW_AGE = 4 * TICKS_PER_SECOND  # of an observed view that still counts
LEAVE_FANOUT = 8  # members that this one notifies directly when it leaves


class Delegate(Protocol):
    """What sends payloads of its own by the cluster's datagrams. next_at: when its round is due."""

    next_at: int

    def run_round(self, now: int) -> None:
        """Called at the end of each round, also after this dispatcher has left."""

    def receive_payload(self, now: int, sender: Member, payload: bytes) -> None:
        """A member's payload: each arrives once at most, and may be lost."""

    def status(self) -> dict:
        """Its part of the status file."""


class Node:
    """One dispatcher's part in the cluster.

    seeds: addresses that are asked first. configured: the configured number of dispatchers. log_event: called
    with the name and fields of an event. period, tombstone_after: in ticks."""

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
        self.rejected: Counter[str] = Counter()  # messages without effect, by reason
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
        """Handles the messages that arrived, then all that is due; when the next round is due."""
        stall = now - self.next_round_at
        self.now = now
        self.sender.begin(now, transport)
        if stall > STALL_THRESHOLD:
            # Before any verdict: the acknowledgements may be among the messages.
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
            # Only messages are answered: the times of what is no longer done are in the past.
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
        """Leaves the cluster: notifies some members at once, from which the rest learn it by gossip."""
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
        """By an operator's order: the failed members of a name have left for good; how many there were."""
        self.now = now
        failed = [member for member in self.table.by_name.get(name, ()) if member.state == FAILED]
        for member in failed:
            self.membership.transition(now, member, member.incarnation, LEFT, self.table.local.name)
        return len(failed)

    def change_seeds(self, now: int, seeds: Sequence[str]) -> None:
        """Takes other seeds, and asks them at once."""
        self.anti_entropy.change_seeds(now, seeds)

    def is_unreachable(self, now: int) -> bool:
        """Whether this dispatcher receives others, and none of them receives it."""
        timeout = UNANSWERED_PERIODS * self.detector.period
        return self.detector.is_unanswered(now) and now - self.receiver.last_received_at < timeout

    def assess(self, now: int) -> Assessment:
        """What follows from what is believed now."""
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
        """The assessment, logged where the quorum state or the partition changed; called now and then."""
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
