"""A fleet in virtual time: the decisions of wickvane.cluster as they are, where sockets do not reach.

Datagrams are delayed, lost, doubled and cut by what the caller sets; their octets are those that the codec
would send. Members stand still, die and come back. What was true is known here, so that a verdict can be
held against it. One process, one thread, everything drawn from one seed.
"""

from heapq import heappop, heappush
from random import Random

import msgspec

from wickvane.cluster.digest import BucketDigest
from wickvane.cluster.member import ALIVE, member_hash
from wickvane.cluster.node import Node
from wickvane.cluster.wire import HEADER_SIZE
from wickvane.units import TICKS_PER_SECOND

EPOCH = 1 << 40  # of the first starts; any later one is higher


def fill(tables):
    """As after a start long ago: each table holds all of `tables`' members, alive, and nothing is left to
    disseminate. The same as if each were applied, but for the time that takes with the square of a fleet."""
    members = [table.local for table in tables]
    ids = [member.id for member in members]
    sums, view_digest = BucketDigest(), 0
    for member in members:
        member.state = ALIVE
        member.view_hash = member_hash(member.name, member.epoch)
        view_digest ^= member.view_hash
        sums.toggle(member)
    for n, table in enumerate(tables):
        order = [n, *range(n), *range(n + 1, len(tables))]
        table.fill({ids[at]: members[at] for at in order}, sums.sums, view_digest)


class Member:
    """One program: its node, and what holds it up."""

    __slots__ = (
        "node",
        "name",
        "address",
        "up",
        "still_until",
        "inbox",
        "wakes",
        "sent",
        "octets",
        "clock",
        "epochs",
    )

    def __init__(self, name, address):
        self.name, self.address, self.node, self.up = name, address, None, False
        self.still_until, self.inbox, self.wakes = 0, [], None
        self.sent = self.octets = self.epochs = 0


class Out:
    """The writer of one member's round."""

    def __init__(self, fleet, n):
        self.fleet, self.n = fleet, n

    def send(self, address, message):
        self.fleet.sent(self.n, address, message)


class Fleet:
    """size: programs, all of which start within `spread`; seeds: how many of them all others ask first;
    loss: of datagrams; settled: all know all at the start; delay: (least, most) tenths of a millisecond on
    the way; buffer: datagrams that are kept for who stands still."""

    def __init__(
        self,
        size,
        seed,
        loss=0.0,
        delay=(3, 30),
        seeds=3,
        spread=TICKS_PER_SECOND,
        period=TICKS_PER_SECOND // 2,
        doubled=0.0,
        configured=None,
        settled=False,
        buffer=500,
    ):
        self.chance, self.seed, self.loss, self.delay = Random(f"{seed}/fleet"), seed, loss, delay
        self.buffer, self.doubled, self.period, self.configured = buffer, doubled, period, configured or size
        self.now, self.heap, self.count, self.events, self.marks = 0, [], 0, [], []
        self.cut = None  # (from, to): whether nothing passes
        self.encode = msgspec.msgpack.Encoder().encode
        self.members = [Member(f"n{n}", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7000") for n in range(size)]
        self.of = {member.address: n for n, member in enumerate(self.members)}
        self.outs = [Out(self, n) for n in range(size)]
        self.seeds = [member.address for member in self.members[:seeds]]
        for n in range(size):
            if settled:
                self.start(n)
            else:
                self.at(self.chance.randrange(max(1, spread)), self.start, n)
        if settled:
            fill([member.node.table for member in self.members])

    def at(self, when, what, *words):
        self.count += 1
        heappush(self.heap, (max(self.now, when), self.count, what, words))

    # Programs

    def start(self, n, epoch=None):
        member = self.members[n]
        member.epochs += 1
        epoch = epoch or EPOCH + self.now + member.epochs
        member.node = Node(
            self.now,
            member.name,
            epoch,
            member.address,
            [s for s in self.seeds if s != member.address],
            self.configured,
            f"{self.seed}/{member.epochs}",
            lambda event, fields: self.told(n, event, fields),
            self.period,
        )
        member.up, member.inbox, member.wakes = True, [], None
        self.wake_at(n, self.now + 1)

    def kill(self, n):
        self.members[n].up, self.members[n].node, self.members[n].inbox = False, None, []

    def leave(self, n):
        self.members[n].node.leave(self.now, self.outs[n])
        self.kill(n)

    def stand_still(self, n, time):
        member = self.members[n]
        member.still_until = max(member.still_until, self.now + time)

    def told(self, n, event, fields):
        self.events.append((self.now, n, event, fields))

    # Time

    def wake_at(self, n, when):
        member = self.members[n]
        when = max(when, self.now + 1)
        if member.wakes is None or when < member.wakes:
            member.wakes = when
            self.at(when, self.wake, n, when)

    def wake(self, n, when):
        member = self.members[n]
        if not member.up or member.wakes != when:
            return
        member.wakes = None
        if self.now < member.still_until:
            self.wake_at(n, member.still_until)
            return
        came, member.inbox = member.inbox, []
        self.wake_at(n, member.node.run_round(self.now, came, self.outs[n]))

    def sent(self, n, address, message):
        member = self.members[n]
        member.sent += 1
        member.octets += len(self.encode(message)) + HEADER_SIZE + 8  # the cluster's name with it
        to = self.of.get(address)
        if to is None or (self.cut is not None and self.cut(n, to)):
            return
        for _ in range(1 + (self.doubled > 0 and self.chance.random() < self.doubled)):
            if self.loss == 0 or self.chance.random() >= self.loss:
                self.at(self.now + self.chance.randint(*self.delay), self.arrives, to, message)

    def arrives(self, n, message):
        member = self.members[n]
        if not member.up:
            return
        if self.now < member.still_until:
            if len(member.inbox) < self.buffer:
                member.inbox.append(message)
                self.wake_at(n, member.still_until)
            return
        member.inbox.append(message)
        self.wake_at(n, self.now + 1)

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, words = heappop(self.heap)
            what(*words)
        self.now = until

    # What is true

    def views(self):
        """The distinct (digest) views of those that run, and how many hold each."""
        found = {}
        for member in self.members:
            if member.up:
                digest = member.node.table.view.digest
                found[digest] = found.get(digest, 0) + 1
        return found

    def equal(self):
        """Whether all that run hold one view, and that one is of just those that run."""
        views = self.views()
        up = sum(member.up for member in self.members)
        return len(views) == 1 and all(len(m.node.table.view) == up for m in self.members if m.up)

    def until_equal(self, by, step=TICKS_PER_SECOND // 5):
        """Seconds from now until all views are equal, or None by then."""
        began = self.now
        while self.now < by:
            self.run(min(by, self.now + step))
            if self.equal():
                return (self.now - began) / TICKS_PER_SECOND
        return None

    def false_failures(self, since=0):
        """Verdicts `failed` about a program that ran then: (at, by whom, about whom)."""
        return [
            (at, self.members[n].name, fields["name"])
            for at, n, event, fields in self.events
            if event == "peers-failed" and at >= since and self.ran(fields["name"], at)
        ]

    def ran(self, name, at):
        lives = [(when, up) for when, who, up in self.marks if who == name and when <= at]
        return lives[-1][1] if lives else True

    def killed(self, n):
        """kill(), and remembered as true."""
        self.marks.append((self.now, self.members[n].name, False))
        self.kill(n)

    def restarted(self, n, epoch=None):
        self.marks.append((self.now, self.members[n].name, True))
        self.start(n, epoch)
