"""Anti-entropy: joining through seeds, push-pull sync with random members, and reconnecting to failed
members.

Gossip reaches nearly all members. The remaining differences are found when two members compare digests and
exchange the entries of the buckets that differ.
"""

from collections.abc import Iterable, Sequence
from random import Random

from wickvane.cluster.digest import DIGEST_SIZE
from wickvane.cluster.failure_detector import FailureDetector
from wickvane.cluster.gossip import max_entry_size
from wickvane.cluster.member import FAILED, JOINING, Member
from wickvane.cluster.member_table import MemberTable
from wickvane.cluster.message_sender import MessageSender
from wickvane.cluster.messages import MAX_DATAGRAM_SIZE, MAX_HEADER_SIZE, Message, MessageKind
from wickvane.units import TICKS_PER_SECOND

SYNC_INTERVAL = 5 * TICKS_PER_SECOND
RECONNECT_INTERVAL = 2 * TICKS_PER_SECOND
SEED_INTERVAL = 30 * TICKS_PER_SECOND  # between requests to seeds at whose addresses no member is known
MIN_JOIN_BACKOFF = TICKS_PER_SECOND // 2
MAX_JOIN_BACKOFF = 30 * TICKS_PER_SECOND
SEEDS_PER_REQUEST = 3
MAX_SYNC_DATAGRAMS = 6  # datagrams with entries in one exchange
JITTER_FACTORS = (0.75, 1.25)  # bounds of the random factor of an interval


class AntiEntropy:
    """The joins, syncs and reconnects of one dispatcher. seeds: the addresses through which it joins."""

    def __init__(
        self,
        now: int,
        table: MemberTable,
        detector: FailureDetector,
        sender: MessageSender,
        random: Random,
        seeds: Sequence[str],
    ):
        self.seeds = list(seeds)
        self._table = table
        self._detector = detector
        self._sender = sender
        self._random = random
        self._join_backoff = MIN_JOIN_BACKOFF
        self._join_at = now + random.randrange(MIN_JOIN_BACKOFF)
        self._sync_at = now + self._jittered(SYNC_INTERVAL)
        self._reconnect_at = now + self._jittered(RECONNECT_INTERVAL)

    def _jittered(self, interval: int) -> int:
        return int(interval * self._random.uniform(*JITTER_FACTORS))

    def change_seeds(self, now: int, seeds: Sequence[str]) -> None:
        """Replaces the seeds, and sends join requests at once."""
        self.seeds = list(seeds)
        self._join_at = min(self._join_at, now)

    def tick(self, now: int) -> None:
        """Performs all actions that are due."""
        if self.seeds and now >= self._join_at:
            self.request_join(now)
        if now >= self._sync_at:
            self._sync_at = now + self._jittered(SYNC_INTERVAL)
            for member in self._detector.sample_members(1):
                self._sender.send_sync(member)
        if now >= self._reconnect_at:
            self._reconnect_at = now + self._jittered(RECONNECT_INTERVAL)
            self.reconnect()

    def next_at(self) -> int:
        """Returns when tick() is due next."""
        next_at = min(self._sync_at, self._reconnect_at)
        return min(next_at, self._join_at) if self.seeds else next_at

    def request_join(self, now: int) -> None:
        """Sends a sync to seeds at whose addresses no member is known.

        The interval is an exponential backoff until a member is known, and then SEED_INTERVAL, since two
        clusters that formed separately would otherwise never merge."""
        living = self._table.living
        known_addresses = {member.address for member in living}
        unknown_seeds = [seed for seed in self.seeds if seed not in known_addresses]
        knows_no_other = len(living) == 1
        for seed in self._random.sample(unknown_seeds, min(SEEDS_PER_REQUEST, len(unknown_seeds))):
            self._sender.send_sync_to_address(seed)
        if knows_no_other:
            self._join_at = now + self._jittered(self._join_backoff)
            self._join_backoff = min(MAX_JOIN_BACKOFF, 2 * self._join_backoff)
        else:
            self._join_at = now + self._jittered(SEED_INTERVAL)
            self._join_backoff = MIN_JOIN_BACKOFF

    def reconnect(self) -> None:
        """Syncs with a failed member, which may only have been cut off, so that two partitions merge.

        If no member has failed, a dispatcher that has not joined yet syncs with a random living member."""
        table = self._table
        failed = sorted(
            (member for member in table.dead if member.state == FAILED), key=lambda member: member.slot
        )
        if failed:
            self._sender.send_sync(self._random.choice(failed))
        elif len(table.living) > 1 and table.local.state == JOINING:
            others = [member for member in table.living if not member.is_local]
            self._sender.send_sync(self._random.choice(others))

    def handle_sync(self, now: int, member: Member, message: Message) -> None:
        """Handles another member's digest: sends the entries that it may lack, and its own digest if
        requested."""
        table = self._table
        if len(message.body) != DIGEST_SIZE:
            return
        differing = table.digest.differing_buckets(message.body)
        if message.sequence:
            self._sender.send(member, MessageKind.SYNC, body=table.digest.encode())
        if differing:
            self._random.shuffle(differing)
            self._send_entries(member, table.in_buckets(differing))

    def _send_entries(self, receiver: Member, members: Iterable[Member]) -> None:
        """Sends entries in up to MAX_SYNC_DATAGRAMS full datagrams. Later syncs send the rest."""
        batch_size = MAX_DATAGRAM_SIZE - MAX_HEADER_SIZE - max_entry_size(self._table.local)
        remaining_size = batch_size
        batch: list[Member] = []
        batch_count = 0
        for member in members:
            size = max_entry_size(member)
            if size > remaining_size:
                self._sender.send(receiver, MessageKind.ENTRIES, required=batch)
                batch = []
                remaining_size = batch_size
                batch_count += 1
                if batch_count == MAX_SYNC_DATAGRAMS:
                    return
            if not member.is_local:
                batch.append(member)
                remaining_size -= size
        if batch:
            self._sender.send(receiver, MessageKind.ENTRIES, required=batch)
