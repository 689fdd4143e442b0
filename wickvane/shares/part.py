"""The node `shares` of the parts document."""

from typing import NamedTuple

from wickvane import parts
from wickvane.net import shape


class Part(NamedTuple):
    every: int  # between two pages of counts, in tenths of a millisecond
    heeds: bool  # whether decisions go by what others hold


def read(node):
    return Part(node.value("every", parts.duration("20ms", "10s"), 1_000),
                node.value("heeds-others", parts.flag, True))


class At(shape.Part):
    """Counts that all dispatchers share, on peers."""

    name, threads = "shares", 0

    def build(self, service, found):
        from wickvane.shares.deciding import counting

        service.deciding = counting(service.deciding)

    def join(self, service, found):
        peers = next((part.peers for part in service.parts if part.name == "peers"), None)
        if peers is None:
            raise shape.Unstartable("the parts document: shares: expected a node peers beside it", 2)
        from wickvane.peers.shell import now
        from wickvane.shares.deciding import BUSY
        from wickvane.shares.spread import Spread

        box, heeds = service.decider.box, self.terms.heeds
        inbox, clock = service.exchange.inbox, service.clock

        def told(totals, age, oldest, counted, left_out):
            at = clock.now()
            if heeds and counted and at - box.busy_at < BUSY:
                inbox.put(("others", totals, age, at))

        self.peers = peers
        self.spread = peers.node.rider = Spread(now(), peers.node, box.take, told, self.terms.every)

    def stop(self):
        from wickvane.peers.shell import now

        with self.peers.lock:
            self.spread.last(now(), self.peers)

    def status(self):
        with self.peers.lock:
            return self.spread.status()
