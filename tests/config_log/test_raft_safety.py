"""Raft's safety: a search of the interleavings of a small cluster, with faults.

Messages are lost and duplicated, and nodes crash and keep or lose their disks. A mutation of each guard must
cause a violation.
"""

from random import Random
from types import ModuleType

import pytest

from config_log.mutation import mutated
from config_log.raft_model import VOTERS, ModelCluster, proposal, random_walk
from wickvane.config_log import raft_node, replicated_log
from wickvane.config_log.log_entry import ChangeVoters, NoOp
from wickvane.config_log.messages import RequestVote
from wickvane.config_log.raft_node import RaftNode


def test_no_interleaving_of_three_voters_commits_two_entries_at_one_index():
    seen = set()
    frontier = [ModelCluster()]
    states = 0
    while frontier and states < 15_000:
        next_frontier = []
        for cluster in frontier:
            for successor in cluster.successors():
                assert not successor.violation, successor.violation
                if (key := hash(successor.key())) not in seen:
                    seen.add(key)
                    states += 1
                    next_frontier.append(successor)
        frontier = next_frontier
    print(f"{states} states")
    assert states >= 15_000


def test_long_random_walks_never_commit_two_entries_at_one_index():
    for seed in range(300):
        assert random_walk(seed) is None
    cluster = ModelCluster()
    cluster.start_election("a")
    cluster.deliver_all()
    cluster.propose("a", proposal("x"))
    cluster.deliver_all()
    committed = [entry.command for _, entry in sorted(cluster.committed.items())]
    assert committed == [NoOp(), proposal("x")]


# By name: the module, the guard's source, and its mutation.
MUTATIONS = {
    "votes twice in a term": (raft_node, "            and self.voted_for in (None, sender)\n", ""),
    "votes for an older log": (raft_node, "            and up_to_date\n", ""),
    "sends a vote before it is persisted": (
        raft_node,
        "            self._reset_election_timer()\n            effects.append(self._persist_state())\n",
        "            self._reset_election_timer()\n",
    ),
    "keeps conflicting entries": (
        replicated_log,
        "            self._truncate_from(index)\n            self.append(entry)\n",
        "            self.append(entry)\n",
    ),
    "appends after a gap or a conflict": (
        replicated_log,
        "return index <= len(self.entries) and self.term_at(index) == term",
        "return index <= len(self.entries)",
    ),
    "a minority commits": (
        raft_node,
        "return 2 * sum(voter in node_ids for voter in voters) > len(voters)",
        "return 2 * sum(voter in node_ids for voter in voters) >= len(voters) - 1",
    ),
}


def mutated_raft_node(module: ModuleType, before: str, after: str) -> ModuleType:
    """Returns raft_node with a mutation of its own source, or of the log that it uses."""
    if module is raft_node:
        return mutated(raft_node, before, after)
    log_class = mutated(module, before, after).ReplicatedLog
    limit = "MAX_ENTRIES_PER_MESSAGE = 16"
    return mutated(raft_node, limit, limit, ReplicatedLog=log_class)


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_of_each_guard_is_caught(name):
    module = mutated_raft_node(*MUTATIONS[name])
    assert any(random_walk(seed, module) for seed in range(3000))


class Figure8:
    """Figure 8 of the Raft paper: a leader of term 3 replicates its own entry of term 1, then crashes.

    No other node had that entry. Another leader then replaces it by one that it appended in term 2. Each
    message carries one entry, so that the entries of terms 1 and 3 arrive separately.
    """

    def __init__(self, module: ModuleType) -> None:
        module.MAX_ENTRIES_PER_MESSAGE = 1
        self.cluster = ModelCluster(module, max_in_flight=12)

    def exchange(self, node_id: str, other: str, limit: int, until_leader: bool = False) -> None:
        """Delivers at most `limit` messages between two nodes, and drops all others."""
        cluster = self.cluster
        for _ in range(limit):
            positions = [n for n, sent in enumerate(cluster.in_flight) if {*sent[:2]} == {node_id, other}]
            if not positions or until_leader and cluster.nodes[node_id].is_leader:
                break
            cluster.deliver(positions[0])
        cluster.in_flight = ()

    def elect(self, node_id: str, other: str) -> None:
        """Restarts two nodes, of which the first becomes leader by the second one's vote."""
        self.cluster.crash(node_id, keeps_disk=True)
        self.cluster.crash(other, keeps_disk=True)
        for _ in range(2):  # the first election may only inform it of a later term
            if not self.cluster.nodes[node_id].is_leader:
                self.cluster.start_election(node_id)
                self.exchange(node_id, other, 40, until_leader=True)
        assert self.cluster.nodes[node_id].is_leader

    def run(self) -> ModelCluster:
        self.elect("a", "b")
        self.elect("c", "b")
        self.elect("a", "b")
        self.cluster.send_entries("a", "b")
        self.exchange("a", "b", 4)  # rejected, then the entry of term 1 and its response
        assert self.cluster.nodes["b"].log and len(self.cluster.nodes["b"].log) == 1
        self.elect("c", "b")
        self.cluster.send_entries("c", "b")
        self.exchange("c", "b", 8)
        return self.cluster


def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term():
    one_entry = mutated(raft_node, "MAX_ENTRIES_PER_MESSAGE = 16", "MAX_ENTRIES_PER_MESSAGE = 1")
    assert not Figure8(one_entry).run().violation
    guard = "if self.log.term_at(index) == self.current_term and self.is_quorum"
    assert Figure8(mutated(raft_node, guard, "if self.is_quorum")).run().violation


def test_a_node_that_lost_its_disk_could_vote_twice_and_needs_a_new_id():
    assert any(random_walk(seed, **{"lost disk": 2}) for seed in range(3000))
    # Under a new id it replicates the log, grants no votes, and is added by an entry.
    cluster = ModelCluster(max_in_flight=12)
    cluster.start_election("a")
    cluster.deliver_all()
    del cluster.nodes["c"]
    cluster.nodes["d"] = RaftNode(0, "d", VOTERS, Random(1))
    cluster.disks["d"] = None
    cluster.carry_out("d", cluster.nodes["d"].handle_message("b", RequestVote(1, 9, 9, pre_vote=False)))
    assert cluster.in_flight[-1][2].vote_granted is False
    cluster.in_flight = ()
    cluster.propose("a", ChangeVoters(("a", "b", "d", "c")))
    for _ in range(40):
        if not cluster.in_flight:
            break
        cluster.deliver(0)
    assert cluster.nodes["d"].voters() == ("a", "b", "d", "c") and cluster.nodes["d"].commit_index
    assert cluster.nodes["a"].propose(ChangeVoters(("a",))) is None  # one voter at a time
