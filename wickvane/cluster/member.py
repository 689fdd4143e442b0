"""One member of the cluster: its identity, its state, and what this dispatcher has observed of it."""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

BUCKET_COUNT = 128  # buckets of the digest that two members compare before they exchange entries
MAX_INCARNATION = 1 << 32
NEVER = -(1 << 60)  # a time before any other
REPLAY_WINDOW = 64  # a datagram counter less than this far below the highest is accepted once
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
HASH_CACHE_SIZE = 1 << 14


class MemberState(IntEnum):
    """The state that a dispatcher assumes for a member. Within one incarnation a higher state overrides a
    lower one."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4

    @property
    def label(self) -> str:
        """The name of the state in log events and status files."""
        return self.name.lower()


# Bound once for the hot paths: in Python 3.11 each access through the class takes 0.25 microseconds.
JOINING = MemberState.JOINING
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
FAILED = MemberState.FAILED
LEFT = MemberState.LEFT
DEAD_STATES = frozenset((FAILED, LEFT))
VIEW_STATES = frozenset((ALIVE, SUSPECT))


class MemberId(NamedTuple):
    """Identifies one run of a dispatcher under a name; a restart begins a new epoch."""

    name: str
    epoch: int


@lru_cache(HASH_CACHE_SIZE)
def member_hash(name: str, epoch: int, incarnation: int = -1) -> int:
    """Returns the 64-bit hash that represents a member, or one incarnation of it, in digests."""
    text = f"{name}\0{epoch}\0{incarnation}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


@lru_cache(HASH_CACHE_SIZE)
def bucket_of(name: str) -> int:
    """Returns the digest bucket that holds all members of a name."""
    return blake2b(name.encode(), digest_size=2).digest()[0] % BUCKET_COUNT


@dataclass(slots=True, eq=False)
class Member:
    """A member as this dispatcher knows it; times are ticks of a monotonic clock."""

    name: str
    epoch: int
    address: str
    incarnation: int
    state: MemberState
    reported_by: str  # the name of the member that reported the state; empty if the member itself did
    state_changed_at: int
    bucket: int
    slot: int = 0  # a small number that orders members; reused after a removal
    living_index: int = -1  # the position in the table's list of living members; -1 if not in it
    view_hash: int = 0  # this member's hash in the view's digest, while it is in the view
    last_contact_at: int = NEVER  # when a datagram from this member last arrived
    highest_counter: int = 0  # the highest counter of its datagrams
    received_counters: int = 0  # bit n: whether the datagram n below the highest counter was received
    observed_digest: int = 0  # the digest of its view in its last datagram
    observed_digest_at: int = NEVER
    recent_refutations: int = 0
    refuted_at: int = NEVER
    suspected_by: frozenset[str] = frozenset()  # names of the members that suspect it independently

    @property
    def id(self) -> MemberId:
        """The member's name and epoch."""
        return MemberId(self.name, self.epoch)

    @property
    def is_local(self) -> bool:
        """Whether the member is this dispatcher itself."""
        return self.slot == 0

    def accept_counter(self, counter: int) -> bool:
        """Records a datagram's counter. Returns whether the datagram is new (sliding window of RFC 4303)."""
        distance = self.highest_counter - counter
        if distance < 0:
            shifted = self.received_counters << min(REPLAY_WINDOW, -distance)
            self.received_counters = (shifted | 1) & REPLAY_WINDOW_MASK
            self.highest_counter = counter
            return True
        bit = 1 << distance
        if distance >= REPLAY_WINDOW or self.received_counters & bit:
            return False
        self.received_counters |= bit
        return True

    def to_log_fields(self) -> dict:
        """Returns the member's fields in log events and status files."""
        return {
            "name": self.name,
            "epoch": self.epoch,
            "address": self.address,
            "incarnation": self.incarnation,
            "by": self.reported_by or None,
        }
