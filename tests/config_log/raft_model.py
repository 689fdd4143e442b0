"""A model of a small cluster for searches, which choose the next message, crash or election."""

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
    """A command that carries a text."""
    return ProposePolicy(1, "digest", text, "author", "comment")


class ModelCluster:
    """Nodes, disks and messages in flight.

    committed: entry by index, of all that any node committed in any of its incarnations; violation: what
    broke Raft's safety, or None; budget: how often each kind of step may yet be taken.
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
        """A copy that goes on on its own."""
        other = copy.copy(self)
        other.disks = dict(self.disks)
        other.committed = dict(self.committed)
        other.leaders = dict(self.leaders)
        other.budget = dict(self.budget)
        other.nodes = {}
        for node_id, node in self.nodes.items():
            twin = copy.copy(node)
            twin.log = node.log.copy()
            twin.votes_received = set(node.votes_received)
            twin.peer_progress = {peer: copy.copy(known) for peer, known in node.peer_progress.items()}
            other.nodes[node_id] = twin
        return other

    def key(self) -> tuple:
        """What tells two states apart."""
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
                            (peer, known.next_index, known.match_index)
                            for peer, known in node.peer_progress.items()
                        )
                    ),
                )
                for node in self.nodes.values()
            ),
            tuple(sorted(self.in_flight, key=repr)),
            tuple(self.budget.items()),
        )

    def carry_out(self, node_id: str, effects: list[Effect]) -> None:
        """Carries out what a node asked for."""
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
        """A node's election timeout; long enough after the last message for all to vote."""
        for node in self.nodes.values():
            node.now += 10 * TICKS_PER_SECOND
        self.carry_out(node_id, self.nodes[node_id].start_pre_vote())

    def propose(self, node_id: str, command: object) -> int | None:
        """The index of what a node appended."""
        proposed = self.nodes[node_id].propose(command)
        self.carry_out(node_id, proposed.effects if proposed else [])
        return proposed and proposed.index

    def send_entries(self, leader: str, peer: str) -> None:
        """A leader's next AppendEntries for a peer."""
        self.carry_out(leader, [self.nodes[leader].append_entries_to(peer)])

    def deliver(self, position: int, keep: bool = False) -> None:
        """A message in flight arrives; keep: and will arrive again."""
        sender, recipient, message = self.in_flight[position]
        if not keep:
            self.drop(position)
        self.carry_out(recipient, self.nodes[recipient].handle_message(sender, message))

    def deliver_all(self) -> None:
        """Delivers in order until nothing is in flight."""
        while self.in_flight:
            self.deliver(0)

    def drop(self, position: int) -> None:
        """A message in flight is lost."""
        self.in_flight = self.in_flight[:position] + self.in_flight[position + 1 :]

    def crash(self, node_id: str, keeps_disk: bool) -> None:
        """A node restarts, with its disk or under its former identity without."""
        saved = self.disks[node_id] if keeps_disk else None
        now = self.nodes[node_id].now
        self.nodes[node_id] = self.module.RaftNode(now, node_id, self.initial_voters, Random(1), saved)

    def successors(self) -> Iterator["ModelCluster"]:
        """Each state that one step leads to."""
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
    """One long random path; the violation that it found, or None."""
    random = Random(seed)
    cluster = ModelCluster(module, max_in_flight=12)
    cluster.budget.update({"election": 8, "proposal": 6, "crash": 4, "duplicate": 10} | budget)
    for _ in range(length):
        # Most messages arrive: paths on which few do lead nowhere.
        if cluster.in_flight and random.random() < 0.75:
            cluster.deliver(random.randrange(len(cluster.in_flight)))
        else:
            following = list(cluster.successors())
            if not following:
                break
            cluster = random.choice(following)
        if cluster.violation:
            return cluster.violation
    return None
