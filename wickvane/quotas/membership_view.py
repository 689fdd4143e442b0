"""Adapts cluster membership for the quotas. Free of I/O.

Other modules of this package import nothing from wickvane.cluster, except for the type Member, and for what
the extension and the command use to find the cluster.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from functools import lru_cache
from typing import Any, Protocol

from wickvane.cluster.member import ALIVE, VIEW_STATES, Member, member_hash
from wickvane.cluster.node import Node
from wickvane.cluster.quorum import divisor
from wickvane.quotas.incarnation import Incarnation


class GossipTask(Protocol):
    """A task whose payloads the cluster's datagrams carry."""

    next_at: int

    def run(self, now: int) -> None:
        """Runs the steps that are due."""

    def receive(self, now: int, sender: Incarnation, payload: bytes) -> None:
        """Handles the payload of a datagram."""

    def status(self) -> dict[str, Any]:
        """Returns figures for operators."""


@lru_cache(1 << 14)
def incarnation_hash(incarnation: Incarnation) -> int:
    """Returns the 32-bit hash by which messages identify an incarnation."""
    return member_hash(*incarnation) & 0xFFFFFFFF


class MembershipView:
    """One node's view of the members of the cluster; sends payloads to them."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def attach(self, task: GossipTask) -> None:
        """Makes the node run a task in its rounds and pass received payloads to it."""
        self._node.delegate = _TaskDelegate(task)

    @property
    def now(self) -> int:
        """The time of the node's latest round, in ticks."""
        return self._node.now

    @property
    def own_incarnation(self) -> Incarnation:
        """The incarnation of this dispatcher; its epoch may increase while the process runs."""
        return self._node.table.local.id

    @property
    def max_members(self) -> int:
        """The maximum number of incarnations that the node knows."""
        return self._node.table.capacity

    @property
    def configured_count(self) -> int:
        """The number of dispatchers in the settings."""
        return self._node.configured

    def divisor(self) -> int:
        """Returns the number of dispatchers that may exist, which is at least the configured number."""
        return divisor(self._node.configured, self._node.table)

    def known_incarnations(self) -> Iterable[Incarnation]:
        """Returns all incarnations in the node's table."""
        return self._node.table.members

    def present_incarnations(self) -> set[Incarnation]:
        """Returns the incarnations that are alive, or suspected and not confirmed as failed."""
        return {member.id for member in self._node.table.living if member.state in VIEW_STATES}

    def random_delay(self, bound: int) -> int:
        """Returns a random delay below a bound, so that members do not act at the same time."""
        return self._node.random.randrange(bound)

    def random_members(self, count: int) -> list[Member]:
        """Returns up to `count` random other members, for send()."""
        return self._node.detector.sample_members(count)

    def random_alive(self, count: int) -> list[Incarnation]:
        """Returns those of up to `count` random other members that are alive."""
        return [member.id for member in self.random_members(count) if member.state == ALIVE]

    def send(self, member: Member, payload: bytes) -> None:
        """Sends a payload to a member; it may be lost, and is delivered at most once."""
        self._node.send_payload(member, payload)

    def send_to(self, incarnation: Incarnation, payload: bytes) -> None:
        """Sends a payload to an incarnation; does nothing if the node does not know it."""
        member = self._node.table.members.get(incarnation)
        if member is not None:
            self._node.send_payload(member, payload)

    @contextmanager
    def final_round(self, now: int, writer: Any) -> Iterator[None]:
        """Runs a last round of the node, after which payloads can be sent until the block ends."""
        self._node.run_round(now, [], writer)
        self._node.sender.begin(now, writer)
        yield
        self._node.sender.end()


class _TaskDelegate:
    """Adapts a GossipTask to the delegate interface of the cluster's node."""

    def __init__(self, task: GossipTask) -> None:
        self._task = task

    @property
    def next_at(self) -> int:
        """The time at which the task is due."""
        return self._task.next_at

    def run_round(self, now: int) -> None:
        """Runs the task."""
        self._task.run(now)

    def receive_payload(self, now: int, sender: Member, payload: bytes) -> None:
        """Passes a payload to the task."""
        self._task.receive(now, sender.id, payload)

    def status(self) -> dict[str, Any]:
        """Returns the task's figures for operators."""
        return self._task.status()
