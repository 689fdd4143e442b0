"""A model of a small cluster for state-space searches, which choose the next message, crash or election."""

import copy
from collections.abc import Iterator
from random import Random
from types import ModuleType

from wickvane.config_log import raft_node
from wickvane.config_log.log_entry import ProposePolicy
from wickvane.config_log.messages import CommitEntry, Effect, Message, PersistState, SendMessage
from wickvane.units import TICKS_PER_SECOND

VOTERS = ("a", "b", "c")


def proposal(text: str) -> ProposePolicy:
    """Returns a command with this text."""
    return ProposePolicy(1, "digest", text, "author", "comment")


class ModelCluster:
    """Nodes, disks and messages in flight.

    committed: the entries that any node committed in any of its incarnations, by index; leaders: node id by
    term; violation: how Raft's safety was violated, or None; budget: remaining number of steps by kind.
    """

    def __init__(
        self, module: ModuleType = raft_node, voters: tuple[str, ...] = VOTERS, max_in_flight: int = 4
    ) -> None:
        self.module = module
        self.initial_voters = voters
        self.max_in_flight = max_in_flight
        self.disks = dict.fromkeys(voters)
        self.nodes = {voter: module.RaftNode(0, voter, voters, Random(1)) for voter in voters}
        self.in_flight: tuple[tuple[str, str, Message], ...] = ()  # sender, recipient, message
        self.committed = {}
        self.leaders = {}
        self.violation = None
        self.budget = {"election": 3, "proposal": 2, "crash": 1, "lost disk": 0, "duplicate": 1}

    def fork(self) -> "ModelCluster":
        """Returns an independent copy."""
        other = copy.copy(self)
        other.disks = dict(self.disks)
        other.committed = dict(self.committed)
        other.leaders = dict(self.leaders)
        other.budget = dict(self.budget)
        other.nodes = {}
        for node_id, node in self.nodes.items():
            node_copy = copy.copy(node)
            node_copy.log = node.log.copy()
            node_copy.votes_received = set(node.votes_received)
            node_copy.peer_progress = {
                peer: copy.copy(progress) for peer, progress in node.peer_progress.items()
            }
            other.nodes[node_id] = node_copy
        return other

    def key(self) -> tuple:
        """Returns a key that is equal for equivalent states."""
        return (
            tuple(
                (
                    node.current_term,
                    node.voted_for,
                    tuple(node.log.entries),
                    node.commit_index,
                    node.role,
                    node.leader,
                    frozenset(node.votes_received),
                    tuple(
                        sorted(
                            (peer, progress.next_index, progress.match_index)
                            for peer, progress in node.peer_progress.items()
                        )
                    ),
                )
                for node in self.nodes.values()
            ),
            tuple(sorted(self.in_flight, key=repr)),
            tuple(self.budget.items()),
        )

    def carry_out(self, node_id: str, effects: list[Effect]) -> None:
        """Carries out a node's effects."""
        for effect in effects:
            match effect:
                case PersistState(state):
                    self.disks[node_id] = state
                case SendMessage(recipient, message):
                    if recipient in self.nodes and len(self.in_flight) < self.max_in_flight:
                        self.in_flight += ((node_id, recipient, message),)
                case CommitEntry(index, entry):
                    if self.committed.setdefault(index, entry) != entry:
                        self.violation = f"index {index} is {self.committed[index]} and {entry}"
        node = self.nodes[node_id]
        if node.is_leader and self.leaders.setdefault(node.current_term, node_id) != node_id:
            self.violation = f"term {node.current_term} has two leaders"

    def start_election(self, node_id: str) -> None:
        """A node starts an election, long enough after the last message that all nodes may vote."""
        for node in self.nodes.values():
            node.now += 10 * TICKS_PER_SECOND
        self.carry_out(node_id, self.nodes[node_id].start_pre_vote())

    def propose(self, node_id: str, command: object) -> int | None:
        """Returns the index of the entry that a node appended, or None."""
        proposed = self.nodes[node_id].propose(command)
        self.carry_out(node_id, proposed.effects if proposed else [])
        return proposed and proposed.index

    def send_entries(self, leader: str, peer: str) -> None:
        """Sends a leader's next AppendEntries to a peer."""
        self.carry_out(leader, [self.nodes[leader].append_entries_to(peer)])

    def deliver(self, position: int, keep: bool = False) -> None:
        """Delivers a message in flight; keep: it stays in flight and is delivered again later."""
        sender, recipient, message = self.in_flight[position]
        if not keep:
            self.drop(position)
        self.carry_out(recipient, self.nodes[recipient].handle_message(sender, message))

    def deliver_all(self) -> None:
        """Delivers messages in order until none is in flight."""
        while self.in_flight:
            self.deliver(0)

    def drop(self, position: int) -> None:
        """Drops a message in flight."""
        self.in_flight = self.in_flight[:position] + self.in_flight[position + 1 :]

    def crash(self, node_id: str, keeps_disk: bool) -> None:
        """A node restarts under its former id; without keeps_disk it has lost its disk."""
        saved = self.disks[node_id] if keeps_disk else None
        now = self.nodes[node_id].now
        self.nodes[node_id] = self.module.RaftNode(now, node_id, self.initial_voters, Random(1), saved)

    def successors(self) -> Iterator["ModelCluster"]:
        """Yields each state that one step leads to."""
        for node_id in self.nodes:
            yield from self._node_steps(node_id)
        for position in range(len(self.in_flight)):
            other = self.fork()
            other.deliver(position)
            yield other
            if self.budget["duplicate"]:
                other = self._spend("duplicate")
                other.deliver(position, keep=True)
                yield other
            other = self.fork()
            other.drop(position)
            yield other

    def _node_steps(self, node_id: str) -> Iterator["ModelCluster"]:
        node = self.nodes[node_id]
        if self.budget["election"] and not node.is_leader:
            other = self._spend("election")
            other.start_election(node_id)
            yield other
        if self.budget["proposal"] and node.is_leader:
            other = self._spend("proposal")
            other.propose(node_id, proposal(f"{node_id}{node.current_term}"))
            yield other
        for kind, keeps_disk in (("crash", True), ("lost disk", False)):
            if self.budget[kind]:
                other = self._spend(kind)
                other.crash(node_id, keeps_disk)
                yield other

    def _spend(self, kind: str) -> "ModelCluster":
        other = self.fork()
        other.budget[kind] -= 1
        return other


def random_walk(seed: int, module: ModuleType = raft_node, length: int = 120, **budget: int) -> str | None:
    """Takes random steps; returns the first violation or None. budget: maximum number of steps by kind."""
    random = Random(seed)
    cluster = ModelCluster(module, max_in_flight=12)
    cluster.budget.update({"election": 8, "proposal": 6, "crash": 4, "duplicate": 10} | budget)
    for _ in range(length):
        # Most steps deliver a message, because a walk with few deliveries makes no progress.
        if cluster.in_flight and random.random() < 0.75:
            cluster.deliver(random.randrange(len(cluster.in_flight)))
        else:
            successors = list(cluster.successors())
            if not successors:
                break
            cluster = random.choice(successors)
        if cluster.violation:
            return cluster.violation
    return None
