"""Receiving: rejects replayed messages and those from or for a former epoch, applies gossip, and calls
handlers.

Every message has its sender's name, epoch and a counter, and the epoch of its receiver.
"""

from collections import Counter
from collections.abc import Callable

from wickvane.cluster.gossip import GossipEntry
from wickvane.cluster.member import ALIVE, JOINING, LEFT, Member
from wickvane.cluster.membership import Membership
from wickvane.cluster.message_sender import MessageSender
from wickvane.cluster.messages import Message, MessageKind
from wickvane.cluster.probing import Probing
from wickvane.units import TICKS_PER_SECOND

NOTIFY_INTERVAL = TICKS_PER_SECOND // 5  # minimum time between notifications about former epochs

MessageHandler = Callable[[int, Member, Message], None]


class MessageReceiver:
    """Handles received messages.

    handlers: by kind; of a kind without a handler only the entries are applied. rejected: counts by
    reason."""

    def __init__(
        self,
        now: int,
        membership: Membership,
        probing: Probing,
        sender: MessageSender,
        handlers: dict[MessageKind, MessageHandler],
        rejected: Counter,
    ):
        self.last_received_at = now  # from any member
        self._membership = membership
        self._table = membership.table
        self._probing = probing
        self._sender = sender
        self._handlers = handlers
        self._rejected = rejected
        self._notify_at = now

    def receive(self, now: int, message: Message) -> None:
        """Handles one message."""
        if not self._is_addressed(now, message):
            return
        table = self._table
        member = table.members.get((message.sender, message.sender_epoch))
        if member is not None:
            if not member.accept_counter(message.counter):
                self.reject("replayed")
                return
            if member.state == LEFT:
                self._receive_after_leave(now, member, message)
                return
        self._probing.apply_entry(now, message.entries[0], direct=True)
        if member is None:
            member = self._find_new_sender(now, message)
            if member is None:
                return
        member.last_contact_at = now
        self.last_received_at = now
        if message.receiver_epoch:
            self._confirm_joined(now)
        table.view.observe(now, member, message.view_number, message.view_digest)
        for entry in message.entries[1:]:
            self._probing.apply_entry(now, entry)
        if table.local.state != LEFT or message.kind == MessageKind.PING:
            self._dispatch(now, member, message)

    def _is_addressed(self, now: int, message: Message) -> bool:
        """Returns whether a message is from another member, begins with its entry, and is for this epoch."""
        local = self._table.local
        sender = (message.sender, message.sender_epoch)
        if sender == (local.name, local.epoch):
            self.reject("own")
            return False
        if not message.entries or message.entries[0][:2] != sender:
            self.reject("nameless")
            return False
        is_join_request = message.receiver_epoch == 0 and message.kind == MessageKind.SYNC
        if message.receiver_epoch == local.epoch or is_join_request:
            return True
        # A message for a former epoch of this dispatcher has no effect, but its sender is sent the current
        # epoch.
        if message.receiver_epoch < local.epoch and now >= self._notify_at:
            self._notify_at = now + NOTIFY_INTERVAL
            self._sender.send_sync_to_address(message.entries[0].address)
        self.reject("former-receiver")
        return False

    def _receive_after_leave(self, now: int, member: Member, message: Message) -> None:
        """Handles a message from a member that has left. It may still send payloads while it shuts down."""
        if message.kind == MessageKind.PAYLOAD and message.entries[0].state == LEFT:
            self._dispatch(now, member, message)
        else:
            self.notify_ended(now, message.entries[0])

    def _find_new_sender(self, now: int, message: Message) -> Member | None:
        """Returns the member that the sender's entry added, None if it was not accepted."""
        member = self._table.members.get((message.sender, message.sender_epoch))
        if member is None and message.sender_epoch > self._table.tombstones.get(message.sender, 0):
            self.reject("full")
            return None
        if member is None or member.state == LEFT:
            self.notify_ended(now, message.entries[0])
            return None
        member.accept_counter(message.counter)
        return member

    def notify_ended(self, now: int, entry: GossipEntry) -> None:
        """Notifies a sender that it counts as left here, so that it starts a new epoch.

        This occurs after an operator marked it as left, or after its clock was set back, so that a former run
        at its address has a later epoch."""
        self.reject("former-life")
        if entry.state == LEFT or now < self._notify_at:
            return
        self._notify_at = now + NOTIFY_INTERVAL
        table = self._table
        same_name_members = table.by_name.get(entry.name, ())
        epochs = [member.epoch for member in same_name_members if member.address == entry.address]
        last_epoch = max(entry.epoch, table.tombstones.get(entry.name, 0), *epochs)
        ended = GossipEntry(entry.name, last_epoch, entry.address, 0, LEFT, table.local.name)
        self._sender.send_to_address(entry.address, entry.epoch, MessageKind.GOSSIP, foreign_entries=[ended])

    def _confirm_joined(self, now: int) -> None:
        """Marks this dispatcher as joined after a message for its epoch, which shows that a member knows
        it."""
        local = self._table.local
        if local.state == JOINING:
            self._membership.transition(now, local, local.incarnation, ALIVE, "")
            self._membership.log_event("peers-joined", {"epoch": local.epoch})

    def _dispatch(self, now: int, member: Member, message: Message) -> None:
        handler = self._handlers.get(message.kind)
        if handler is not None:
            handler(now, member, message)

    def reject(self, reason: str) -> None:
        """Counts a rejected message."""
        self._rejected[reason] += 1
