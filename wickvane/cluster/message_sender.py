"""Sending: every message has the sender's identity, view and counter, and as many gossip entries as fit.

A token bucket limits the sending rate, independently of the size of the cluster and of the messages received.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from wickvane.cluster.gossip import GossipEntry
from wickvane.cluster.member import FAILED, SUSPECT, Member, MemberId
from wickvane.cluster.member_table import MemberTable
from wickvane.cluster.messages import MAX_DATAGRAM_SIZE, MAX_HEADER_SIZE, Message, MessageKind
from wickvane.units import TICKS_PER_SECOND

SEND_RATE = 100  # datagrams per second
SEND_BURST = 200  # datagrams
MAX_FOREIGN_ENTRY_SIZE = 200  # octets of an entry for a member that is not in the table


class Transport(Protocol):
    """Delivers messages. It raises no error: a message that cannot be sent is lost."""

    def send(self, address: str, message: Message) -> None:
        """Sends a message to an address."""


class MessageSender:
    """Builds messages and passes them to the transport of the current round. rejected: counts by reason."""

    def __init__(self, now: int, table: MemberTable, rejected: Counter):
        self._table = table
        self._rejected = rejected
        self._counter = 0
        self._tokens = float(SEND_BURST)
        self._tokens_at = now
        self._now = now
        self._transport: Transport | None = None

    def begin(self, now: int, transport: Transport) -> None:
        """Makes `transport` send all messages until end() is called."""
        self._now = now
        self._transport = transport

    def end(self) -> None:
        """Releases the transport. No message may be sent until the next begin()."""
        self._transport = None

    def send_sync(self, member: Member) -> None:
        """Sends the digest of the table to a member, and requests the member's digest."""
        self.send(member, MessageKind.SYNC, 1, body=self._table.digest.encode())

    def send_sync_to_address(self, address: str) -> None:
        """Sends the digest to an address, and requests the digest of the member there."""
        self.send_to_address(address, 0, MessageKind.SYNC, 1, body=self._table.digest.encode())

    def send(
        self,
        member: Member,
        kind: MessageKind,
        sequence: int = 0,
        subject: MemberId | None = None,
        body: bytes = b"",
        required: Sequence[Member] = (),
    ) -> None:
        """Sends a message to a member, with the entries of `required` and further ones that fit.

        A suspected or failed member also receives its own entry, so that it can refute."""
        if member.state in (SUSPECT, FAILED):
            required = [member, *required]
        self.send_to_address(member.address, member.epoch, kind, sequence, subject, body, required)

    def send_to_address(
        self,
        address: str,
        receiver_epoch: int,
        kind: MessageKind,
        sequence: int = 0,
        subject: MemberId | None = None,
        body: bytes = b"",
        required: Sequence[Member] = (),
        foreign_entries: Sequence[GossipEntry] = (),
    ) -> None:
        """Sends a message to an address. foreign_entries: entries of members that are not in the table."""
        if not self._take_token():
            self._rejected["sent-too-much"] += 1
            return
        table = self._table
        local = table.local
        self._counter += 1
        max_entries_size = (
            MAX_DATAGRAM_SIZE - MAX_HEADER_SIZE - len(body) - MAX_FOREIGN_ENTRY_SIZE * len(foreign_entries)
        )
        members = [local, *(member for member in required if member is not local)]
        entries = table.gossip.take(max_entries_size, table.transmission_limit(), members)
        entries[1:1] = foreign_entries
        message = Message(
            kind,
            local.name,
            local.epoch,
            self._counter,
            receiver_epoch,
            table.view.number,
            table.view.digest,
            sequence,
            subject,
            body,
            entries,
        )
        self._transport.send(address, message)

    def _take_token(self) -> bool:
        earned = (self._now - self._tokens_at) * SEND_RATE / TICKS_PER_SECOND
        self._tokens = min(SEND_BURST, self._tokens + earned)
        self._tokens_at = self._now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
