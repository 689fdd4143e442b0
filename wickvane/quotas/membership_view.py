"""What the quotas use of cluster membership: all names of wickvane.cluster that this package needs are here,
except for those that the extension and the command use to find the cluster. Free of I/O.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from functools import lru_cache
from typing import Any, Protocol

from wickvane.cluster.membership import ALIVE, SUSPECT, mark
from wickvane.cluster.standing import divisor
from wickvane.quotas.incarnation import Incarnation


class GossipTask(Protocol):
    """What is carried by the cluster's datagrams."""

    next_at: int

    def run(self, now: int) -> None:
        """Does what is due."""

    def receive(self, now: int, sender: Incarnation, payload: bytes) -> None:
        """Takes in the payload of a datagram."""

    def status(self) -> dict[str, Any]:
        """Figures for operators."""


@lru_cache(1 << 14)
def mark_of(incarnation: Incarnation) -> int:
    """The 32 bits by which messages identify an incarnation."""
    return mark(*incarnation) & 0xFFFFFFFF


class MembershipView:
    """The members of the cluster as one of its nodes believes them, and the way to send to them."""

    def __init__(self, node: Any) -> None:
        self._node = node

    def attach(self, task: GossipTask) -> None:
        """Lets the node call a task in its rounds, and hand it what arrives for it."""
        self._node.rider = _ClusterRider(self, task)

    @property
    def now(self) -> int:
        """The time of the node's latest round."""
        return self._node.now

    @property
    def own_incarnation(self) -> Incarnation:
        """The incarnation of this dispatcher, which may take a later epoch."""
        return self.incarnation_of(0)

    @property
    def max_members(self) -> int:
        """How many incarnations the node knows at most."""
        return self._node.table.most

    @property
    def configured_count(self) -> int:
        """Dispatchers in the settings."""
        return self._node.configured

    def divisor(self) -> int:
        """The number of dispatchers that may exist, at least the configured one."""
        return divisor(self._node.configured, self._node.table)

    def incarnation_of(self, row: int) -> Incarnation:
        """The incarnation at a row of the node's table."""
        table = self._node.table
        return table.name[row], table.epoch[row]

    def known_incarnations(self) -> Iterable[Incarnation]:
        """All incarnations in the node's table."""
        return self._node.table.rows

    def present_incarnations(self) -> set[Incarnation]:
        """Those that are alive, or suspected and not confirmed as failed."""
        table = self._node.table
        return {self.incarnation_of(row) for row in table.living if table.state[row] in (ALIVE, SUSPECT)}

    def random_delay(self, bound: int) -> int:
        """A random time below a bound, so that members do not act in step."""
        return self._node.chance.randrange(bound)

    def random_rows(self, count: int) -> list[int]:
        """Up to `count` random other members, for send()."""
        return self._node.detector.some(count)

    def random_alive(self, count: int) -> list[Incarnation]:
        """Of up to `count` random other members, those that are alive."""
        state = self._node.table.state
        return [self.incarnation_of(row) for row in self.random_rows(count) if state[row] == ALIVE]

    def send(self, row: int, payload: bytes) -> None:
        """Sends to a member: may be lost, is delivered once at most."""
        self._node.carry(row, payload)

    def send_to(self, incarnation: Incarnation, payload: bytes) -> None:
        """Sends to an incarnation; nothing where the node does not know it."""
        row = self._node.table.rows.get(incarnation)
        if row is not None:
            self._node.carry(row, payload)

    @contextmanager
    def final_round(self, now: int, writer: Any) -> Iterator[None]:
        """A last round of the node, after which more can be sent until the block ends."""
        self._node.round(now, [], writer)
        self._node.out = writer
        yield
        self._node.out = None


class _ClusterRider:
    """A GossipTask by the names that the cluster's node calls."""

    def __init__(self, view: MembershipView, task: GossipTask) -> None:
        self._view = view
        self._task = task

    @property
    def next_at(self) -> int:
        """When the task wants to run."""
        return self._task.next_at

    def round(self, now: int) -> None:
        """Runs the task."""
        self._task.run(now)

    def came(self, now: int, row: int, payload: bytes) -> None:
        """Hands a payload to the task."""
        self._task.receive(now, self._view.incarnation_of(row), payload)

    def status(self) -> dict[str, Any]:
        """The task's figures."""
        return self._task.status()
