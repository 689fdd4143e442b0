"""Simulated elections and rollouts give the same messages, saved states and commits as commit c5b2902.

The digests were recorded with that commit, before its modules were renamed. They cover every effect of every
node in order, as the plain tuples of that commit, and so do not depend on the present names of the types.
"""

from collections import Counter
from hashlib import blake2b
from random import Random

import pytest

from config_log.plain_records import plain, plain_effect, plain_entry
from wickvane.config_log.log_entry import ChangeVoters, Command, LogEntry
from wickvane.config_log.messages import CommitEntry, Effect, PersistState, SendMessage
from wickvane.config_log.policy_lease import LeaseHolder, Lessor
from wickvane.config_log.raft_node import RaftNode
from wickvane.config_log.rollout import Rollout, RolloutStep
from wickvane.config_log.state_machine import PolicyStateMachine

NAMES = ("n1", "n2", "n3", "n4", "n5")
ROUND_TICKS = 100
# The hashed names of the steps of a rollout: those of commit c5b2902.
STEP_NAMES = {
    RolloutStep.VALIDATING: "checking",
    RolloutStep.REPLICATING: "agreeing",
    RolloutStep.DRAINING_LEASES: "closing",
    RolloutStep.ACTIVATING: "opening",
    RolloutStep.ACTIVE: "done",
    RolloutStep.REJECTED: "refused",
    RolloutStep.ABANDONED: "abandoned",
}
FINAL_STEPS = (RolloutStep.ACTIVE, RolloutStep.REJECTED, RolloutStep.ABANDONED)

TIMEOUT_SEED = 6  # without faults, aborts and reports of drained voters: rollouts end by DRAIN_TIMEOUT


class Process:
    """One process: its node, its state machine, the leases that it grants and holds, and its disk."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.incarnation = 0
        self.disk = None
        self.node_id = f"{name}/0"
        self.down_until = 0
        self.disk_fails_until = 0
        self.start(0)

    def start(self, now: int, lost_disk: bool = False) -> None:
        self.incarnation += 1
        if lost_disk:
            self.disk = None
            self.node_id = f"{self.name}/{self.incarnation}"
        random = Random(f"{self.simulation.seed}/{self.node_id}/{self.incarnation}")
        initial_voters = [f"{name}/0" for name in NAMES]
        self.node = RaftNode(now, self.node_id, initial_voters, random, self.disk)
        self.state_machine = PolicyStateMachine("first")
        self.lessor = Lessor(now, 0)
        self.holder = LeaseHolder(0)
        self.rollout = None
        self.next_lease_request_at = now
        self.reported_drained = None

    def record(self, now: int, kind: str, *rest: object) -> None:
        self.simulation.record(now, self.node_id, kind, *rest)

    def send(self, now: int, recipient: str, *message: object) -> None:
        self.simulation.send(now, self.node_id, recipient, message)

    def carry_out(self, now: int, effects: list[Effect]) -> None:
        for effect in effects:
            kind, *rest = plain_effect(effect)
            self.record(now, kind, tuple(rest))
            match effect:
                case PersistState(state):
                    if now < self.disk_fails_until:
                        self.node.halt()
                        self.record(now, "muted")
                        return
                    self.disk = state
                case SendMessage(recipient, message):
                    self.send(now, recipient, "raft", message)
                case CommitEntry(index, entry):
                    self.apply(now, index, entry)

    def apply(self, now: int, index: int, entry: LogEntry) -> None:
        changed = self.state_machine.apply(index, entry)
        active, successor = self.state_machine.lease_numbers()
        self.record(now, "applied", index, changed, active, successor)
        self.lessor.activate(active)
        if successor is not None:
            self.lessor.drain(successor)
        self.holder.switch_to(active)

    def propose(self, now: int, command: Command) -> None:
        proposal = self.node.propose(command)
        _, kind, payload = plain_entry(LogEntry(0, command))
        self.record(now, "added", kind, payload, proposal and proposal.index)
        self.carry_out(now, proposal.effects if proposal else [])

    def process(self, now: int, received: list[tuple[str, tuple]]) -> None:
        raft_messages = [(sender, message[1]) for sender, message in received if message[0] == "raft"]
        self.carry_out(now, self.node.process_messages(now, raft_messages))
        for sender, message in received:
            self.handle(now, sender, message)
        self.renew_leases(now)
        if self.node.is_leader:
            self.lead(now)
        else:
            self.rollout = None

    def handle(self, now: int, sender: str, message: tuple) -> None:
        match message:
            case "lease", number, requested_at:
                granted = self.lessor.grant(now, sender, number)
                self.send(now, sender, "leased", number, requested_at, granted)
            case "leased", number, requested_at, True:
                self.holder.record_grant(sender, number, requested_at)
            case ("released",):
                self.lessor.release(sender)
            case "closed", number if self.rollout is not None:
                self.rollout.record_drained(sender, number)
            case "checked", name, None if self.rollout is not None:
                self.rollout.record_acceptance(name)
            case "checked", name, reason if self.rollout is not None:
                self.rollout.record_rejection(name, reason)

    def renew_leases(self, now: int) -> None:
        voters = self.node.voters()
        if now >= self.next_lease_request_at:
            self.next_lease_request_at = now + 5_000
            if self.simulation.random.random() < 0.03:
                for voter in self.holder.release():
                    self.send(now, voter, "released")
            for voter in voters:
                self.send(now, voter, "lease", self.holder.number, now)
            self.record(now, "holds", self.holder.number, self.holder.expires_at(voters))
        if self.simulation.seed != TIMEOUT_SEED:
            self.report_drained(now)

    def report_drained(self, now: int) -> None:
        if self.lessor.is_drained(now) and self.node.leader is not None and now % 1_000 == 0:
            successor = self.lessor.successor
            self.send(now, self.node.leader, "closed", successor)
            if self.reported_drained != successor:
                self.reported_drained = successor
                self.record(now, "closed", successor)

    def lead(self, now: int) -> None:
        self.replace_lost_voters(now)
        if self.rollout is None:
            self.rollout = Rollout.resume(now, self.state_machine)
        if self.rollout is None and self.simulation.random.random() < 0.01:
            self.start_rollout(now)
        if self.rollout is None:
            return
        rollout = self.rollout
        if self.simulation.seed != TIMEOUT_SEED and self.simulation.random.random() < 0.002:
            self.record(now, "abort", rollout.abort(now, "by hand"))
        command = rollout.next_command(now, self.state_machine, self.node.is_quorum)
        step = rollout.step
        self.record(now, STEP_NAMES[step], rollout.number, rollout.reason, rollout.unreachable())
        if command is not None:
            self.propose(now, command)
        if step in FINAL_STEPS:
            self.simulation.counts[STEP_NAMES[step]] += 1
            self.rollout = None

    def start_rollout(self, now: int) -> None:
        random = self.simulation.random
        number = self.state_machine.last_number + 1
        self.rollout = Rollout(now, number, f"text {number}", self.name, "because", NAMES)
        for name in NAMES:
            if random.random() < 0.97:
                reason = "no such group" if random.random() < 0.04 else None
                answered_at = now + random.randrange(100, 15_000)
                self.simulation.deliver_at(answered_at, name, self.node_id, ("checked", name, reason))

    def replace_lost_voters(self, now: int) -> None:
        """Adds the new node id of a process that lost its disk to the voters, then removes the old one."""
        if now % 5_000:
            return
        voters = self.node.voters()
        node_ids = [process.node_id for process in self.simulation.processes.values()]
        added = [node_id for node_id in node_ids if node_id not in voters]
        removed = [node_id for node_id in voters if node_id not in node_ids]
        if added:
            self.propose(now, ChangeVoters((*voters, added[0])))
        elif removed:
            self.propose(now, ChangeVoters(tuple(voter for voter in voters if voter != removed[0])))


class Simulation:
    """A fleet in virtual time with message losses, partitions, restarts, lost disks and failing disks."""

    def __init__(self, seed: int, loss: float) -> None:
        self.seed = seed
        self.loss = loss
        self.random = Random(f"play {seed}")
        self.hash = blake2b(digest_size=16)
        self.counts = Counter()
        self.in_flight = []
        self.message_count = 0
        self.partitioned = ()
        self.processes = {name: Process(self, name) for name in NAMES}

    def record(self, now: int, node_id: str, kind: str, *rest: object) -> None:
        self.counts[kind] += 1
        self.hash.update(f"{now} {node_id} {kind} {plain(rest)!r}\n".encode())

    def deliver_at(self, time: int, sender: str, recipient: str, message: tuple) -> None:
        self.message_count += 1
        self.in_flight.append((time, self.message_count, sender, recipient, message))

    def send(self, now: int, sender: str, recipient: str, message: tuple) -> None:
        copies = 0 if self.random.random() < self.loss else 2 if self.random.random() < 0.02 else 1
        if self.is_partitioned(sender) != self.is_partitioned(recipient):
            copies = 0
        for _ in range(copies):
            max_delay = 3_000 if self.random.random() < 0.02 else 400
            self.deliver_at(now + self.random.randrange(100, max_delay), sender, recipient, message)

    def is_partitioned(self, node_id: str) -> bool:
        return node_id.split("/")[0] in self.partitioned

    def inject_faults(self, now: int) -> None:
        random = self.random
        if random.random() < 0.002:
            self.partitioned = tuple(random.sample(NAMES, random.choice((0, 0, 1, 2))))
            self.record(now, "-", "cut", *self.partitioned)
        for process in self.processes.values():
            if now >= process.down_until:
                self.inject_process_faults(now, process)

    def inject_process_faults(self, now: int, process: Process) -> None:
        random = self.random
        if process.down_until:
            process.down_until = 0
            # With two new node ids at once the remaining voters could lose their majority permanently.
            lost = random.random() < 0.3 and all(
                other.node_id in other.node.voters() for other in self.processes.values()
            )
            process.start(now, lost)
            self.record(now, process.node_id, "restart", lost)
        elif random.random() < 0.0003 or process.node.is_halted and random.random() < 0.05:
            process.down_until = now + random.randrange(1_000, 60_000)
            self.record(now, process.node_id, "down")
        elif random.random() < 0.0004:
            process.disk_fails_until = now + 5_000

    def run(self, until: int) -> "Simulation":
        for now in range(ROUND_TICKS, until, ROUND_TICKS):
            if self.seed != TIMEOUT_SEED:
                self.inject_faults(now)
            due = sorted((sent for sent in self.in_flight if sent[0] <= now), key=lambda sent: sent[:2])
            self.in_flight = [sent for sent in self.in_flight if sent[0] > now]
            for process in self.processes.values():
                if not process.down_until:
                    received = [(sent[2], sent[4]) for sent in due if sent[3] == process.node_id]
                    process.process(now, received)
        return self


COUNTED_KINDS = ("save", "send", "committed", "restart", "muted", "done", "refused", "abandoned")


@pytest.mark.parametrize(("seed", "loss"), [(1, 0.0), (2, 0.02), (3, 0.1), (4, 0.3), (5, 0.05), (6, 0.01)])
def test_simulated_elections_and_rollouts_match_the_digests_of_c5b2902(seed, loss):
    simulation = Simulation(seed, loss).run(4_000_000)
    counts = {kind: simulation.counts[kind] for kind in COUNTED_KINDS}
    assert (simulation.hash.hexdigest(), counts) == DIGESTS[seed]


# by seed: (digest, number of records by kind)
DIGESTS = {
    1: (
        "8258f0f591dd17b3dae7dcb9c07b15ef",
        {
            "save": 947,
            "send": 7419,
            "committed": 5759,
            "restart": 65,
            "muted": 17,
            "done": 74,
            "refused": 60,
            "abandoned": 42,
        },
    ),
    2: (
        "6e9cb8f1e04f9baba17d7598b53e32a0",
        {
            "save": 887,
            "send": 7416,
            "committed": 4887,
            "restart": 68,
            "muted": 24,
            "done": 60,
            "refused": 62,
            "abandoned": 30,
        },
    ),
    3: (
        "4342d0e1cac1e4a211b1db6963e02792",
        {
            "save": 818,
            "send": 6780,
            "committed": 3611,
            "restart": 55,
            "muted": 9,
            "done": 68,
            "refused": 60,
            "abandoned": 36,
        },
    ),
    4: (
        "7ab3cd0f62aa5cacc149e2548280248e",
        {
            "save": 670,
            "send": 5565,
            "committed": 2155,
            "restart": 50,
            "muted": 4,
            "done": 26,
            "refused": 44,
            "abandoned": 26,
        },
    ),
    5: (
        "5b386e10facab511d51c61edcd694700",
        {
            "save": 895,
            "send": 6725,
            "committed": 3885,
            "restart": 60,
            "muted": 9,
            "done": 40,
            "refused": 70,
            "abandoned": 40,
        },
    ),
    6: (
        "64e8a4f92491616d6c2b6648a2fd6042",
        {
            "save": 79,
            "send": 6554,
            "committed": 70,
            "restart": 0,
            "muted": 0,
            "done": 0,
            "refused": 0,
            "abandoned": 12,
        },
    ),
}
