"""Dissemination: selects the member states that the next datagram carries, and counts how often each was
sent.

A changed state is sent a number of times that grows with the logarithm of the cluster's size, and the states
that were sent the fewest times go first (SWIM, Das, Gupta, Motivala 2002, section 4.1). The few members that
receive none of these datagrams get the state by anti-entropy.
"""

from collections.abc import Sequence
from itertools import islice
from typing import Annotated, NamedTuple

import msgspec

from wickvane.cluster.member import MAX_INCARNATION, Member, MemberState

TRANSMISSIONS_PER_DECADE = 4  # transmissions of an entry for each decimal digit of the number of members
MAX_TRANSMISSIONS = 32  # more than transmission_limit() can return
MAX_ENTRIES_PER_DATAGRAM = 30  # also if more would fit
MAX_ENTRY_OVERHEAD = 24  # octets of an entry without its texts

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Epoch = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class GossipEntry(NamedTuple):
    """The state of one member as it is sent, with the bounds of its fields."""

    name: Name
    epoch: Epoch
    address: Annotated[str, msgspec.Meta(min_length=3, max_length=56)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, lt=MAX_INCARNATION)]
    state: MemberState
    reported_by: Annotated[str, msgspec.Meta(max_length=64)]


def entry_of(member: Member) -> GossipEntry:
    """Returns a member's state as an entry."""
    return GossipEntry(
        member.name,
        member.epoch,
        member.address,
        member.incarnation,
        member.state,
        member.reported_by,
    )


def max_entry_size(member: Member) -> int:
    """Returns the maximum size of a member's entry in a datagram, in octets."""
    texts = len(member.name.encode()) + len(member.address) + len(member.reported_by.encode())
    return texts + MAX_ENTRY_OVERHEAD


class GossipQueue:
    """The members whose states are still to be disseminated, by how often each was sent."""

    def __init__(self):
        self.transmissions: dict[Member, int] = {}
        # Indexed by the number of transmissions: the members in the order in which they reached it.
        self._by_transmissions: list[dict[Member, None]] = [{} for _ in range(MAX_TRANSMISSIONS)]

    def __len__(self) -> int:
        return len(self.transmissions)

    def clear(self) -> None:
        """Drops all entries."""
        self.transmissions.clear()
        for members in self._by_transmissions:
            members.clear()

    def enqueue(self, member: Member, transmissions: int = 0) -> None:
        """Queues a member's state, which was sent `transmissions` times already."""
        self.remove(member)
        self.transmissions[member] = transmissions
        self._by_transmissions[transmissions][member] = None

    def remove(self, member: Member) -> None:
        """Ends the dissemination of a member's state."""
        before = self.transmissions.pop(member, None)
        if before is not None:
            del self._by_transmissions[before][member]

    def take(
        self, max_size: int, transmission_limit: int, required: Sequence[Member] = ()
    ) -> list[GossipEntry]:
        """Returns entries for one datagram that have up to `max_size` octets together.

        Those of `required` come first, then the states that were sent the fewest times. Each is counted as
        sent; the dissemination of those that reached the limit ends."""
        entries = []
        for member in self._candidates(required):
            size = max_entry_size(member)
            if size > max_size:
                break
            max_size -= size
            entries.append(entry_of(member))
            count = self.transmissions.get(member)
            if count is None:
                continue
            if count + 1 < transmission_limit:
                self.enqueue(member, count + 1)
            else:
                self.remove(member)
        return entries

    def _candidates(self, required: Sequence[Member]) -> Sequence[Member]:
        if not self.transmissions:
            return required[:MAX_ENTRIES_PER_DATAGRAM]
        members = list(required)
        for queued in self._by_transmissions:
            if len(members) >= MAX_ENTRIES_PER_DATAGRAM:
                break
            if queued:
                members.extend(
                    member for member in islice(queued, MAX_ENTRIES_PER_DATAGRAM) if member not in required
                )
        return members[:MAX_ENTRIES_PER_DATAGRAM]
