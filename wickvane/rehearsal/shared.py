"""The rehearsal's gateways in virtual time with counts that they share: each has a node of peers and what
rides on it, as in the program; datagrams between them are late, lost or cut as is asked for.
"""

from random import Random

from wickvane.cluster.node import Node
from wickvane.events import (
    FOREVER,
    AttemptEnded,
    Ending,
    EngineJudged,
    EngineState,
    InFlightElsewhere,
    LeaseChanged,
    QueryArrived,
    TenantsCharged,
)
from wickvane.quotas.decision_observer import FAILURE_ENDINGS, SLOWDOWN_ALLOWANCE, newly_ejected_engines
from wickvane.quotas.extension import budget_configs
from wickvane.quotas.fleet_decisions import join
from wickvane.quotas.gossip import PAGE_INTERVAL, QuotaGossip
from wickvane.quotas.lease_broker import BudgetUse
from wickvane.quotas.membership_view import MembershipView
from wickvane.quotas.snapshot import DispatcherSnapshot
from wickvane.rehearsal.peers import fill
from wickvane.rehearsal.world import World

EPOCH = 1 << 40
ALL = frozenset(("others", "charges", "opinions", "lends"))
HEADS = 150  # octets of a datagram beside what rides in it, about: peers' own, UDP's and IP's


class Member:
    """A host's place among its peers. Also the writer of its node, and the decider's side of its shares."""

    def __init__(self, world, host, number):
        self.world, self.host, self.number, self.wakes, self.inbox = world, host, number, None, []
        self.sums, self.datagrams, self.octets, self.works, self.met, self.number_told = {}, 0, 0, {}, [], 0
        self.asked = 0
        self.tell, host.tell, self.asides = host.tell, self.passes, []
        self.fleet = join(host.scheduler)
        self.tenants = [name for name, _ in world.script.tenants]
        self.node = Node(
            world.now,
            host.name,
            EPOCH + world.now,
            f"10.0.{number >> 8}.{number & 255}:1",
            (),
            len(world.hosts),
            f"{world.seed}/{number}/{world.now}",
            lambda event, fields: None,
        )
        lent = budget_configs(world.deployment) if "lends" in world.heeds else ()
        view = MembershipView(self.node)
        self.spread = QuotaGossip(world.now, view, self.offered, self, world.every, lent)
        view.attach(self.spread)
        self.wake_at(world.now + 1 + number % 100)

    def passes(self, event):
        """What the host tells its module; ends are evidence, and work of a tenant."""
        if isinstance(event, QueryArrived):
            self.asked += event.cost
        if isinstance(event, AttemptEnded):
            query, slow = self.host.queries[event.query], None
            if event.ending == Ending.FINISHED:
                tenant = self.tenants[query.clients.tenant]
                self.works[tenant] = self.works.get(tenant, 0) + event.work
                threads = self.world.script.groups[query.resource_group].threads
                slow = event.elapsed / (event.work / threads + SLOWDOWN_ALLOWANCE)
            if event.ending == Ending.FINISHED or event.ending in FAILURE_ENDINGS:
                name = self.host.engines[event.engine].name
                self.met.append((name, int(event.ending in FAILURE_ENDINGS), slow))
        self.tell(event)

    def offered(self):
        scheduler, engines = self.host.scheduler, self.host.engines
        self.met += [(engines[e].name, 1, None) for e in newly_ejected_engines(scheduler, self.asides)]
        if self.number in self.world.liars:
            # More than one of them, and fewer than would tell of its own way.
            self.met += [(process.name, 1, None) for n, process in engines.items() if n % 3 == 0] * 20
        sums, self.sums = self.sums, {}
        met, self.met = self.met, []
        return DispatcherSnapshot(
            {engines[e].name: n for e, n in enumerate(scheduler.engines.in_flight) if n > 0 and e in engines},
            list(sums.items()),
            {tenant: int(work) // 10 for tenant, work in self.works.items()},
            self.asked // 10,
            [BudgetUse(*use) for use in self.fleet.needs()],
            met,
            [
                engines[e].name
                for e, state in enumerate(scheduler.engines.state)
                if state == EngineState.READY
            ],
            self.number_told,
        )

    def heeds(self, what):
        return what in self.world.heeds and not self.host.killed

    def update_in_flight(self, in_flight):
        if in_flight.included and self.heeds("others"):
            totals = in_flight.threads_by_engine
            for e, process in self.host.engines.items():
                self.tell(InFlightElsewhere(e, totals.get(process.name, 0), in_flight.mean_age))

    def update_quotas(self, update):
        # At once: the world's next round of this host has it before anything that is decided later.
        self.number_told = update.number
        for what, (part, until, then) in enumerate(update.quotas):
            lease = LeaseChanged(what, part, FOREVER if until is None else until, then)
            self.fleet.replace_lease(lease)

    def charge_tenants(self, works):
        if self.heeds("charges"):
            self.tell(TenantsCharged([works.get(name, 0) * 10 for name in self.tenants]))

    def update_judgement(self, judgement):
        if self.heeds("opinions"):
            for e, process in self.host.engines.items():
                if process.name in judgement.verdicts:
                    self.tell(EngineJudged(e, *judgement.verdicts[process.name]))

    def wake_at(self, when):
        when = max(when, self.world.now + 1)
        if self.wakes is None or when < self.wakes:
            self.wakes = when
            self.world.at(when, self.wake, when)

    def wake(self, when):
        if self.wakes != when or self.host.killed:
            return
        self.wakes = None
        if self.host.paused:
            return self.wake_at(when + 500)
        came, self.inbox = self.inbox, []
        self.wake_at(self.node.run_round(self.world.now, came, self))

    def send(self, address, message):
        self.datagrams += 1
        self.octets += len(message.body) + HEADS
        self.world.datagram(self.number, address, message)

    def arrives(self, message):
        if len(self.inbox) < 500 and not self.host.killed:
            self.inbox.append(message)
            self.wake_at(self.world.now + 1)


class Shared(World):
    """every: between two pages of a member; loss: of datagrams; way: (least, most) tenths of a millisecond;
    cut: (from, to) to whether nothing passes; heeds: what is shared and gone by; uneven: by how much traffic
    lies on few gateways, 0 for evenly, or that by clients; blocked: (gateway, engine) whose connections never
    come up; liars: gateways that call a third of the engines failing."""

    def __init__(
        self,
        script,
        seed,
        keep_log=False,
        every=PAGE_INTERVAL,
        loss=0.0,
        way=(3, 30),
        heeds=ALL,
        uneven=0.0,
        blocked=(),
        liars=(),
        **more,
    ):
        super().__init__(script, seed, keep_log, **more)
        self.blocked, self.liars = frozenset(blocked), frozenset(liars)
        # Each clients' traffic lies on gateways of its own, so that a tenant is heavy at some.
        self.weights = {}
        for clients in script.clients:
            steep = uneven.get(clients.name, 0.0) if isinstance(uneven, dict) else uneven
            weights = [(n + 1) ** -steep for n in range(script.gateways)]
            Random(f"{seed}/uneven/{clients.name}").shuffle(weights)
            self.weights[clients.name] = weights if steep else None
        self.every, self.loss, self.way, self.cut, self.heeds = every, loss, way, None, heeds
        self.luck = Random(f"{seed}/datagrams")
        self.members = [Member(self, host, n) for n, host in enumerate(self.hosts)]
        self.of = {member.node.table.local.address: member for member in self.members}
        fill([member.node.table for member in self.members])

    def front(self, query, alive):
        weights = self.weights[query.clients.name]
        if weights is None or query.key is not None:
            return super().front(query, alive)
        return self.chance("front").choices(alive, [weights[host.number] for host in alive])[0]

    def arrives(self, host, query, submission, process):
        if (host.number, process.name) in self.blocked and not host.killed:
            host.hears(query, submission, process, Ending.NO_CONNECTION, 0, query.resource_group)
        else:
            super().arrives(host, query, submission, process)

    def datagram(self, sender, address, message):
        to = self.of.get(address)
        if to is None or (self.cut is not None and self.cut(sender, to.number)):
            return
        if self.luck.random() >= self.loss:
            self.at(self.now + self.luck.randint(*self.way), to.arrives, message)

    def starts_over(self, old, *words):
        before = list(self.hosts)
        super().starts_over(old, *words)
        for n, host in enumerate(self.hosts):
            if host is not before[n]:
                self.members[n] = Member(self, host, n)
                self.of[self.members[n].node.table.local.address] = self.members[n]
                seed = next(m for m in self.members if not m.host.killed and m.number != n)
                self.members[n].node.anti_entropy.seeds = [seed.node.table.local.address]
