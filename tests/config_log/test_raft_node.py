"""A cluster that runs on its own timers in virtual time."""

from random import Random

from config_log.plain_records import plain_message
from config_log.raft_model import VOTERS
from wickvane.config_log.log_entry import ProposePolicy
from wickvane.config_log.messages import AppendEntries, CommitEntry, Message, SendMessage
from wickvane.config_log.raft_node import RaftNode


class TimedCluster:
    """Three nodes; each message is delivered after 10 to 40 ms."""

    def __init__(self) -> None:
        self.random = Random(5)
        self.nodes = {node_id: RaftNode(0, node_id, VOTERS, Random(node_id)) for node_id in VOTERS}
        self.in_flight: list[tuple[int, str, str, Message]] = []  # arrival, sender, recipient, message
        self.committed = {node_id: {} for node_id in VOTERS}
        self.down = set()
        self.now = 0

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += 100
            arrived = [sent for sent in self.in_flight if sent[0] <= self.now]
            self.in_flight = [sent for sent in self.in_flight if sent[0] > self.now]
            for node_id in VOTERS:
                if node_id not in self.down:
                    received = [(sent[1], sent[3]) for sent in arrived if sent[2] == node_id]
                    self.process(node_id, received)

    def process(self, node_id: str, received: list[tuple[str, Message]]) -> None:
        for effect in self.nodes[node_id].process_messages(self.now, received):
            match effect:
                case SendMessage(recipient, message):
                    arrival = self.now + self.random.randrange(100, 400)
                    self.in_flight.append((arrival, node_id, recipient, message))
                case CommitEntry(index, entry):
                    self.committed[node_id][index] = entry

    def leader(self) -> str:
        (leader,) = [
            node_id for node_id, node in self.nodes.items() if node.is_leader and node_id not in self.down
        ]
        return leader


def policy(number: int) -> ProposePolicy:
    return ProposePolicy(number, "digest", "text", "author", "comment")


def test_three_voters_elect_a_leader_replicate_and_elect_again_when_it_stops():
    """A leader is elected within seconds, all nodes commit the same, and a stopped leader is replaced."""
    cluster = TimedCluster()
    cluster.run(80_000)
    first = cluster.leader()
    assert cluster.nodes[first].propose(policy(7))
    cluster.run(cluster.now + 20_000)
    committed = cluster.committed
    assert all(entries == committed[first] and len(entries) == 2 for entries in committed.values())
    cluster.down.add(first)
    cluster.run(cluster.now + 100_000)
    second = cluster.leader()
    assert cluster.nodes[second].propose(policy(8))
    cluster.run(cluster.now + 20_000)
    cluster.down.clear()
    cluster.run(cluster.now + 40_000)
    assert not cluster.nodes[first].is_leader and committed[first] == committed[second]
    proposed = [entry.command for entry in committed[second].values()]
    assert [command for command in proposed if isinstance(command, ProposePolicy)] == [policy(7), policy(8)]
    kinds = {plain_message(message)[0] for *_, message in cluster.in_flight}
    assert cluster.in_flight and kinds <= set(range(4))
    assert plain_message(AppendEntries(1, 0, 0, (), 0))[0] == 2
