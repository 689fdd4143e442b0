"""The node `shares` of the parts document."""

from typing import NamedTuple

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net import shape

FENCE = 5_000  # a submission that was decided longer ago does not leave: what it counted on may be another's
SETTLED = 10_000  # a thread that was in use may be so for a while after its part was lent


class Part(NamedTuple):
    """The node's figures."""

    every: int  # between two pages of counts, in tenths of a millisecond
    heeds: frozenset  # what decisions go by: others, charges, opinions
    lends: bool  # whether parts of budgets are lent and borrowed


def read(node):
    heeds = {
        word
        for word, name in (
            ("others", "heeds-others"),
            ("charges", "heeds-charges"),
            ("opinions", "heeds-opinions"),
        )
        if node.value(name, parts.flag, True)
    }
    return Part(
        node.value("every", parts.duration("20ms", "10s"), 1_000),
        frozenset(heeds),
        node.value("lends", parts.flag, True),
    )


def budgets(deployment):
    """Of bounds on engines, and of what cold engines get, as a Broker takes them."""
    return (SETTLED, True, False), (deployment.collapse_window + FENCE, False, True)


class At(shape.Part):
    """What all dispatchers share, on peers."""

    name, threads = "shares", 0

    def build(self, service, found):
        from wickvane.cluster.clock import now
        from wickvane.quotas.deciding import counting

        service.deciding = counting(service.deciding, service.clock.now() - now())

    def join(self, service, found):
        peers = next((part.cluster for part in service.parts if part.name == "peers"), None)
        if peers is None:
            raise ConfigError("the parts document: shares: expected a node peers beside it", 2)
        from wickvane.cluster.clock import now
        from wickvane.quotas.deciding import Out
        from wickvane.quotas.spread import Spread

        box, clock = service.decider.box, service.clock
        out = Out(service.exchange.inbox, clock, box, self.terms.heeds, peers.events.record)
        lent = budgets(service.registry.deployment) if self.terms.lends else ()
        if lent:
            service.links.stale = FENCE
        self.peers = peers
        self.spread = peers.node.delegate = Spread(
            now(), peers.node, lambda: box.take(clock.now()), out, self.terms.every, lent
        )

    def stop(self):
        from wickvane.cluster.clock import now

        with self.peers.lock:
            self.spread.last(now(), self.peers.transport)

    def status(self):
        with self.peers.lock:
            return self.spread.status()
