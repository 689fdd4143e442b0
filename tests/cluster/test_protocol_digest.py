"""The protocol's datagrams and views in virtual time equal the digests recorded from commit c5b2902.

Each history runs joins, kills, restarts, partitions, stalls, graceful leaves and operators' orders from one
seed. Its digest covers each datagram in the order of sending (time, sender, receiver, bytes of the message),
each log event, and the status of each member that runs at the end. Any change of a random number, timer, byte
or view changes the digest.
"""

import json
from collections.abc import Callable
from hashlib import blake2b
from random import Random

import pytest

from wickvane.cluster.status import full_status
from wickvane.rehearsal.peers import Fleet
from wickvane.units import TICKS_PER_SECOND


class RecordingFleet(Fleet):
    """A fleet that hashes the datagrams of its members."""

    def __init__(self, *arguments, **options):
        self.hash = blake2b(digest_size=16)
        self.datagram_count = 0
        super().__init__(*arguments, **options)

    def sent(self, n: int, address: str, message) -> None:
        self.datagram_count += 1
        self.hash.update(f"{self.now} {n} {address} ".encode() + self.encode(message))
        super().sent(n, address, message)

    def result(self) -> tuple[int, str]:
        """Returns the number of datagrams, and the digest of all datagrams, events and final statuses."""
        self.hash.update(json.dumps(self.events, sort_keys=True, default=str).encode())
        for member in self.members:
            if member.up:
                self.hash.update(json.dumps(full_status(member.node, self.now), sort_keys=True).encode())
        return self.datagram_count, self.hash.hexdigest()


class PayloadDelegate:
    """Sends a payload to a random member four times a second, and hashes the received payloads."""

    def __init__(self, fleet: RecordingFleet, n: int):
        self.fleet = fleet
        self.n = n
        self.node = fleet.members[n].node
        self.next_at = fleet.now + TICKS_PER_SECOND // 4

    def run_round(self, now: int) -> None:
        if now < self.next_at:
            return
        self.next_at = now + TICKS_PER_SECOND // 4
        for receiver in self.node.detector.sample_members(1):
            self.node.send_payload(receiver, f"{self.n} at {now}".encode())

    def receive_payload(self, now: int, sender, payload: bytes) -> None:
        self.fleet.hash.update(f"{now} {self.n} carried ".encode() + payload)


def joins_and_losses(seed: int) -> RecordingFleet:
    """A cluster forms while datagrams are delayed, and a tenth of them are lost and another tenth are sent
    twice."""
    fleet = RecordingFleet(16, seed, loss=0.1, doubled=0.1, delay=(3, 600))
    fleet.run(25 * TICKS_PER_SECOND)
    return fleet


def partition(seed: int) -> RecordingFleet:
    """A cluster is split in two, then in three across the first split, and finally merges."""
    fleet = RecordingFleet(15, seed)
    fleet.run(10 * TICKS_PER_SECOND)
    fleet.cut = lambda sender, receiver: (sender < 6) != (receiver < 6)
    fleet.run(30 * TICKS_PER_SECOND)
    fleet.cut = lambda sender, receiver: sender % 3 != receiver % 3
    fleet.run(45 * TICKS_PER_SECOND)
    fleet.cut = None
    fleet.run(65 * TICKS_PER_SECOND)
    return fleet


def disturb(fleet: RecordingFleet, random: Random) -> None:
    """Causes one random fault, restart or order."""
    action = random.randrange(8)
    n = random.randrange(11)
    up = fleet.members[n].up
    if action <= 1 and up:
        fleet.killed(n)
    elif action in (2, 3) and not up:
        fleet.restarted(n, epoch=None if action == 2 else 1 + random.randrange(1000))
    elif action == 4:
        fleet.stand_still(n, random.randrange(25 * TICKS_PER_SECOND))
    elif action == 5:
        fleet.cut = lambda sender, receiver: sender == n
    elif action == 6 and up and sum(member.up for member in fleet.members) > 5:
        fleet.leave(n)
    elif up:
        fleet.members[n].node.forget(fleet.now, f"n{random.randrange(11)}")
        fleet.cut = None


def kills_and_restarts(seed: int) -> RecordingFleet:
    """A history of kills, restarts with clocks that were set back, stalls, one-way partitions, leaves and
    forgotten members."""
    random = Random(f"digest/{seed}")
    fleet = RecordingFleet(11, seed, loss=0.05, configured=9)
    fleet.run(8 * TICKS_PER_SECOND)
    for _ in range(16):
        disturb(fleet, random)
        fleet.run(fleet.now + random.randrange(9 * TICKS_PER_SECOND))
        for member in fleet.members:
            if member.up:
                member.node.log_assessment(fleet.now)
    fleet.cut = None
    fleet.loss = 0
    for n, member in enumerate(fleet.members):
        if not member.up:
            fleet.restarted(n)
    fleet.run(fleet.now + 20 * TICKS_PER_SECOND)
    return fleet


def payloads(seed: int) -> RecordingFleet:
    """Members that know each other from the start exchange payloads. One leaves, and two are killed."""
    fleet = RecordingFleet(12, seed, loss=0.05, settled=True)
    for n, member in enumerate(fleet.members):
        member.node.delegate = PayloadDelegate(fleet, n)
    fleet.run(5 * TICKS_PER_SECOND)
    fleet.members[3].node.leave(fleet.now, fleet.outs[3])
    fleet.run(8 * TICKS_PER_SECOND)
    fleet.killed(5)
    fleet.killed(6)
    fleet.run(25 * TICKS_PER_SECOND)
    fleet.restarted(5)
    fleet.run(35 * TICKS_PER_SECOND)
    return fleet


def large_fleet(seed: int) -> RecordingFleet:
    """Many members restart with new epochs, which causes more gossip than one datagram can contain."""
    fleet = RecordingFleet(90, seed, settled=True)
    fleet.run(TICKS_PER_SECOND)
    for n in range(0, 90, 2):
        fleet.killed(n)
        fleet.restarted(n)
    fleet.run(4 * TICKS_PER_SECOND)
    return fleet


# The digests of commit c5b2902.
RECORDED: list[tuple[Callable[[int], RecordingFleet], int, int, str]] = [
    (joins_and_losses, 0, 3514, "c208465f654901e10adb980b0ec087be"),
    (joins_and_losses, 1, 4026, "75e35be6ecfc39f325d91e01a6a6dedb"),
    (joins_and_losses, 2, 3571, "1f647ffa1850a694c54f7f572387312b"),
    (partition, 0, 6403, "9869f842b60a41d59ea759e28f849b3d"),
    (partition, 1, 6452, "85e34185a80c8cda6d109836e55ef8ee"),
    (partition, 2, 6533, "cb142d99c9ff897b73022ab6765fdd9e"),
    (kills_and_restarts, 0, 9096, "a4054a46fa09b3763a10bcb643a32c8a"),
    (kills_and_restarts, 1, 7982, "c43c3202e26ebefc2359137a5d0a7922"),
    (kills_and_restarts, 2, 6725, "7305345c99362906f48a37e4b11d2583"),
    (kills_and_restarts, 3, 9734, "9b0d4fd671a299e8ccb08cc2fb367b50"),
    (kills_and_restarts, 4, 8586, "cb34734d2236a22edf5da1a4346e2a00"),
    (kills_and_restarts, 5, 9037, "fbceb8df66285facb237be1296089fda"),
    (kills_and_restarts, 6, 8216, "749190d4d3aa69fcf96349b61483e6c7"),
    (kills_and_restarts, 7, 6233, "3d6169c43399216d19f437df130d2a30"),
    (payloads, 0, 4400, "b7a86cdfaa349ca17d61ab085d2a6c94"),
    (payloads, 1, 4475, "33c374b7792cd322379bf967aab82a21"),
    (large_fleet, 0, 5364, "3b08ea6b6ab1748747c5fb00aa346b03"),
    (large_fleet, 1, 5350, "54795b6279b496c6c98346567c1b565e"),
]


@pytest.mark.parametrize("history, seed, datagram_count, digest", RECORDED)
def test_datagrams_events_and_views_equal_those_of_c5b2902(history, seed, datagram_count, digest):
    assert history(seed).result() == (datagram_count, digest)
