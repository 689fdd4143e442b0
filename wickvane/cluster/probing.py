"""The probe protocol: pings, acknowledgements, indirect probes, and the verdicts that follow from them."""

from wickvane.cluster.failure_detector import FailureDetector
from wickvane.cluster.gossip import GossipEntry
from wickvane.cluster.member import FAILED, SUSPECT, Member
from wickvane.cluster.membership import Membership
from wickvane.cluster.message_sender import MessageSender
from wickvane.cluster.messages import Message, MessageKind
from wickvane.units import TICKS_PER_SECOND

# While no member answers this dispatcher, it declares a member failed only after suspecting it for this time.
UNANSWERED_FAILURE_DELAY = 60 * TICKS_PER_SECOND
UNANSWERED_RETRY_DELAY = TICKS_PER_SECOND  # the time after which such a suspect is checked again


class Probing:
    """Connects the failure detector with the membership rules and the messages of probes."""

    def __init__(self, membership: Membership, detector: FailureDetector, sender: MessageSender):
        self._membership = membership
        self._table = membership.table
        self._detector = detector
        self._sender = sender

    def apply_entry(self, now: int, entry: GossipEntry, direct: bool = False) -> None:
        """Applies a gossip entry, and starts or cancels the member's suspicion timer accordingly."""
        member = self._membership.apply(now, entry, direct)
        if member is None or member.is_local:
            return
        if member.state == SUSPECT:
            self._detector.suspicions.start(now, member, entry.state == FAILED)
        else:
            self._detector.suspicions.cancel(member)

    def send_ping(self, member: Member, sequence: int) -> None:
        """Sends a ping."""
        self._sender.send(member, MessageKind.PING, sequence)

    def send_ping_request(self, helper: Member, member: Member, sequence: int) -> None:
        """Asks a helper to ping a member."""
        self._sender.send(helper, MessageKind.PING_REQUEST, sequence, subject=member.id)

    def send_nack(self, requester: Member, sequence: int) -> None:
        """Notifies a requester that the member did not acknowledge."""
        if self._table.is_living(requester):
            self._sender.send(requester, MessageKind.NACK, sequence)

    def handle_suspected(self, now: int, member: Member, helpers: list[Member]) -> None:
        """Records the suspicions of this dispatcher and of each helper that got no acknowledgement, and
        notifies the suspect first."""
        suspecting = [self._table.local, *helpers]
        for name in [member.name for member in suspecting]:
            entry = GossipEntry(member.name, member.epoch, member.address, member.incarnation, SUSPECT, name)
            self.apply_entry(now, entry)
        self._sender.send(member, MessageKind.GOSSIP)

    def handle_failed(self, now: int, member: Member) -> None:
        """Declares a suspect failed, or delays that while no member answers: this dispatcher may be cut off
        itself."""
        if member.state != SUSPECT:
            return
        is_recent = now - member.state_changed_at < UNANSWERED_FAILURE_DELAY
        if is_recent and self._detector.is_unanswered(now):
            self._detector.suspicions.restart(now, member, UNANSWERED_RETRY_DELAY)
            return
        self._membership.transition(now, member, member.incarnation, FAILED, self._table.local.name)

    def handle_ping(self, now: int, member: Member, message: Message) -> None:
        """Acknowledges a ping."""
        self._sender.send(member, MessageKind.ACK, message.sequence)

    def handle_ack(self, now: int, member: Member, message: Message) -> None:
        """Ends a probe, or relays the acknowledgement to the member that requested the indirect probe."""
        relayed = self._detector.handle_ack(now, member, message.sequence)
        if relayed is not None and self._table.is_living(relayed.requester):
            self._sender.send(relayed.requester, MessageKind.RELAYED_ACK, relayed.requester_sequence)

    def handle_ping_request(self, now: int, requester: Member, message: Message) -> None:
        """Pings a member on behalf of another."""
        if message.subject is None:
            return
        subject = self._table.members.get(message.subject)
        if subject is None or subject.is_local or not self._table.is_living(subject):
            return
        sequence = self._detector.start_relayed_probe(now, requester, message.sequence, subject)
        if sequence is not None:
            self._sender.send(subject, MessageKind.PING, sequence)

    def handle_nack(self, now: int, helper: Member, message: Message) -> None:
        """Records that a helper got no acknowledgement."""
        self._detector.handle_nack(now, helper, message.sequence)

    def handle_relayed_ack(self, now: int, helper: Member, message: Message) -> None:
        """Ends the probe of a member that acknowledged to a helper."""
        self._detector.handle_relayed_ack(now, message.sequence)
