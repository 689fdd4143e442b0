"""How counts go round: a rider on the datagrams of peers, free of I/O. Every EVERY, a page to a few members,
the latest levels first: what is said of one life reaches all in a few steps, whatever the size of the fleet.
"""

from wickvane.peers.membership import ALIVE, SUSPECT, mark
from wickvane.shares import wire
from wickvane.shares.counts import SECOND, Counts

EVERY, FANOUT, OVER_EVERY = SECOND // 10, 3, SECOND
LAST_TOLD = 8
ROOM = 720  # octets of a datagram that are a rider's, beside its sender's own entry
LASTS = 2 * SECOND  # levels older than that are not counted


def short_of(life):
    return mark(*life) & 0xFFFFFFFF


class Spread:
    """node: the peers' node. offered(): (levels by engine, [(key, n)] counted since) of this dispatcher, or
    None; told(totals, mean age, oldest age, counted, left_out): what
    all others hold."""

    def __init__(self, now, node, offered, told, every=EVERY):
        self.node, self.offered, self.told, self.every = node, offered, told, every
        self.counts = Counts(now, self.life(), node.table.most)
        self.next_at = now + node.chance.randrange(every)
        self.over_at, self.malformed, self.named = now, 0, {}

    def life(self):
        return self.node.table.name[0], self.node.table.epoch[0]

    def came(self, now, row, payload):
        found = wire.unseal(payload)
        if found is None:
            self.malformed += 1
            return
        for short, t, levels in found[0]:
            if (life := self.named.get(short)) is not None:
                self.counts.levels(now, life, t, levels)
        for short, key, n in found[1]:
            if (life := self.named.get(short)) is not None:
                self.counts.sum(now, life, key, n)

    def round(self, now):
        if now < self.next_at:
            return
        self.next_at = now + self.every
        counts, table = self.counts, self.node.table
        counts.renamed(self.life())
        offered = self.offered()
        if offered is not None:
            for key, n in offered[1]:
                counts.count(key, n)
            counts.hold(now, offered[0])
        if now >= self.over_at:
            self.over_at = now + OVER_EVERY
            counts.over(now, {(table.name[row], table.epoch[row]) for row in table.living
                              if table.state[row] in (ALIVE, SUSPECT)})
            self.name()
        self.tell(FANOUT)
        self.told(*counts.held(now, LASTS))

    def tell(self, many):
        for row in self.node.detector.some(many):
            levels, sums = self.counts.page(ROOM)
            self.node.carry(row, wire.seal([(short_of(life), *rest) for life, *rest in levels],
                                           [(short_of(life), *rest) for life, *rest in sums]))

    def last(self, now, out):
        """The end: what was counted until now, to a few more at once."""
        self.next_at = now
        self.node.round(now, [], out)
        self.node.out = out
        self.tell(LAST_TOLD)
        self.node.out = None

    def name(self):
        """Lives by what stands for them in datagrams; two that share it are both left out."""
        named, twice = {}, set()
        for life in {*self.node.table.rows, *self.counts.lives}:
            short = short_of(life)
            if named.setdefault(short, life) != life:
                twice.add(short)
        for short in twice:
            del named[short]
        self.named = named

    def status(self):
        """Plain figures: what the fleet counts, how old and how whole it is; times in milliseconds."""
        counts, now = self.counts, self.node.now
        held, mean, oldest, counted, out = counts.held(now, LASTS)
        return {"lives": len(counts.lives), "counted": counted, "left_out": out, "age_ms": mean // 10,
                "oldest_ms": oldest // 10,
                "held_by_others": dict(sorted(held.items())), "folded_lives": len(counts.floors),
                "refused": dict(counts.refused), "malformed": self.malformed,
                "totals": dict(sorted(counts.totals().items()))}
