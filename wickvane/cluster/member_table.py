"""Storage of the members that a dispatcher knows: indexes, tombstones and the data derived from them.

Each addition and removal also updates the digest, the view and the gossip queue. The number of members is
bounded by `capacity`, that of tombstones by MAX_TOMBSTONES.
"""

from collections import OrderedDict
from collections.abc import Iterable

from wickvane.cluster.digest import BucketDigest
from wickvane.cluster.gossip import TRANSMISSIONS_PER_DECADE, GossipEntry, GossipQueue
from wickvane.cluster.member import (
    ALIVE,
    DEAD_STATES,
    JOINING,
    Member,
    MemberId,
    bucket_of,
)
from wickvane.cluster.view import MembershipView

MAX_TOMBSTONES = 4096


class MemberTable:
    """All members by id and by name. local: this dispatcher itself, which has slot 0 and is never removed."""

    def __init__(self, now: int, name: str, epoch: int, address: str, capacity: int):
        self.capacity = capacity
        self.members: dict[MemberId, Member] = {}
        self.by_name: dict[str, list[Member]] = {}
        self.living: list[Member] = []  # joining, alive or suspect members, and this dispatcher itself
        self.dead: set[Member] = set()
        # By name: all members of the name with this epoch or an earlier one have ended.
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        self.digest = BucketDigest()
        self.view = MembershipView(self.by_name)
        self.gossip = GossipQueue()
        self._free_slots: list[int] = []
        self._slot_count = 0
        self.local = self.add(now, GossipEntry(name, epoch, address, 0, JOINING, ""))

    def __len__(self) -> int:
        return len(self.members)

    def add(self, now: int, entry: GossipEntry) -> Member:
        """Adds a member, and queues its state for dissemination."""
        member = Member(
            name=entry.name,
            epoch=entry.epoch,
            address=entry.address,
            incarnation=entry.incarnation,
            state=entry.state,
            reported_by=entry.reported_by,
            state_changed_at=now,
            bucket=bucket_of(entry.name),
            slot=self._allocate_slot(),
        )
        self.members[member.id] = member
        self.by_name.setdefault(member.name, []).append(member)
        self.index_state(member)
        self.digest.toggle(member)
        self.gossip.enqueue(member)
        self.view.refresh(member.name)
        return member

    def _allocate_slot(self) -> int:
        if self._free_slots:
            return self._free_slots.pop()
        self._slot_count += 1
        return self._slot_count - 1

    def remove(self, member: Member) -> None:
        """Removes a member. A tombstone prevents outdated gossip from adding it again."""
        self.digest.toggle(member)
        # A joining member in its first incarnation cannot have been reported as dead before.
        if member.state in DEAD_STATES or member.incarnation:
            self._add_tombstone(member)
        if member.living_index >= 0:
            self._remove_living(member)
        self.dead.discard(member)
        del self.members[member.id]
        self.by_name[member.name].remove(member)
        self.gossip.remove(member)
        self._free_slots.append(member.slot)
        self.view.refresh(member.name)
        if not self.by_name[member.name]:
            del self.by_name[member.name]

    def _add_tombstone(self, member: Member) -> None:
        epoch = max(member.epoch, self.tombstones.pop(member.name, 0))
        self.tombstones[member.name] = epoch
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

    def change_local_epoch(self, epoch: int) -> None:
        """Gives this dispatcher a new epoch in its first incarnation."""
        local = self.local
        del self.members[local.id]
        self.digest.toggle(local)
        local.epoch = epoch
        local.incarnation = 0
        self.members[local.id] = local
        self.digest.toggle(local)

    def index_state(self, member: Member) -> None:
        """Moves a member to the living or the dead members by its state. This dispatcher itself always counts
        as living."""
        if member.state in DEAD_STATES and not member.is_local:
            if member.living_index >= 0:
                self._remove_living(member)
            self.dead.add(member)
        elif member.living_index < 0:
            self.dead.discard(member)
            member.living_index = len(self.living)
            self.living.append(member)

    def _remove_living(self, member: Member) -> None:
        """Removes a member from the list of living members in constant time, by moving the last one to its
        position."""
        last = self.living.pop()
        if last is not member:
            self.living[member.living_index] = last
            last.living_index = member.living_index
        member.living_index = -1

    def is_living(self, member: Member) -> bool:
        """Returns whether a member is in the table and not dead."""
        return member.living_index >= 0

    def transmission_limit(self) -> int:
        """Returns how often a state is sent. All but a few in ten thousand members then receive it."""
        return TRANSMISSIONS_PER_DECADE * max(1, len(str(len(self.living))))

    def in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Returns the members in digest buckets."""
        wanted = set(buckets)
        return [member for member in self.members.values() if member.bucket in wanted]

    def fill(self, alive: dict[MemberId, Member], sums: list[int], view_digest: int) -> None:
        """Replaces the contents by copies of members that are alive and in a view, one of each name, this
        dispatcher first. No state remains to be disseminated. Used by simulations of large clusters."""
        members = [
            Member(
                name=member.name,
                epoch=member.epoch,
                address=member.address,
                incarnation=0,
                state=ALIVE,
                reported_by="",
                state_changed_at=0,
                bucket=member.bucket,
                slot=slot,
                living_index=slot,
                view_hash=member.view_hash,
            )
            for slot, member in enumerate(alive.values())
        ]
        self.local = members[0]
        self.members = dict(zip(alive, members))
        self.by_name.clear()
        self.by_name.update((member.name, [member]) for member in members)
        self.living = members
        self._slot_count = len(members)
        self.digest.fill(sums)
        self.view.fill(members, view_digest, len(members) + 1)
        self.gossip.clear()
