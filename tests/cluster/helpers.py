"""Helpers for several test modules: a membership without a cluster, and strategies that generate gossip."""

from hypothesis import strategies as st

from wickvane.cluster.gossip import GossipEntry
from wickvane.cluster.member import ALIVE, FAILED, JOINING, LEFT, SUSPECT, MemberState
from wickvane.cluster.membership import Membership
from wickvane.cluster.messages import Message, MessageKind
from wickvane.units import TICKS_PER_SECOND

NAMES = ["me", "a", "b", "c"]
ADDRESSES = ["1.0.0.1:1", "1.0.0.2:1", "1.0.0.3:1"]
LOCAL_EPOCH = 50
LOCAL_ADDRESS = "1.0.0.9:1"


def ignore_event(event: str, fields: dict) -> None:
    """Discards a log event."""


def make_membership(capacity: int = 64, tombstone_after: int = 1000 * TICKS_PER_SECOND) -> Membership:
    """Returns a membership that knows no other member."""
    return Membership(0, "me", LOCAL_EPOCH, LOCAL_ADDRESS, capacity, tombstone_after, ignore_event)


def address_of(name: str, epoch: int) -> str:
    """Returns an address that no other member has."""
    return f"{name}-{epoch}:1"


def report(
    name: str,
    epoch: int,
    address: str,
    incarnation: int,
    state: MemberState,
    reported_by: str = "",
) -> GossipEntry:
    """Returns an entry as another member sends it."""
    return GossipEntry(name, epoch, address, incarnation, state, reported_by)


# Tuples of name, epoch, incarnation, state and reporting member.
reports = st.tuples(
    st.sampled_from(NAMES[1:]),
    st.integers(1, 4),
    st.integers(0, 3),
    st.sampled_from([JOINING, ALIVE, SUSPECT, FAILED, LEFT]),
    st.sampled_from(["a", "b", "x"]),
)

PING = Message(MessageKind.PING, "a", 5, 1, 7, 3, 2, 9, None, b"", [report("a", 5, "1.1.1.1:1", 0, ALIVE)])
