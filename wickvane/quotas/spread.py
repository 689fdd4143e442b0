"""How what is shared goes round: a rider on the datagrams of peers, free of I/O.

Every EVERY a page of counts to a few members, the latest levels first, so that what is said of one life
reaches all in a few steps, whatever the size of the fleet; every OPINE opinions likewise; a broker's words go
to whom they are for, and come once at most.
"""

from functools import lru_cache

from wickvane.cluster.member import ALIVE, VIEW_STATES, member_hash
from wickvane.cluster.quorum import divisor
from wickvane.quotas import wire
from wickvane.quotas.broker import Broker
from wickvane.quotas.charges import Charges
from wickvane.quotas.counts import Counts
from wickvane.quotas.opinions import Evidence, Opinions, merge
from wickvane.units import TICKS_PER_SECOND

EVERY, FANOUT, OVER_EVERY = TICKS_PER_SECOND // 10, 3, TICKS_PER_SECOND
LOOK, OPINE = TICKS_PER_SECOND // 5, TICKS_PER_SECOND // 2
LAST_TOLD = 8
ROOM = 860  # octets of a datagram that are a rider's, beside its sender's own entry
WORKS_ROOM, FRAMES = 300, 16  # of them, for what was given to tenants; and for what frames it all
LASTS = 2 * TICKS_PER_SECOND  # levels older than that are not counted
NOTHING = ((0.0, False),) * 2  # is needed of any budget
CANDIDATES = 8  # members by lot, of which those with least at work are asked for parts


@lru_cache(1 << 14)
def short_of(life):
    return member_hash(*life) & 0xFFFFFFFF


def short(rows):
    return [(short_of(life), *rest) for life, *rest in rows]


class Offer:
    """What a dispatcher's decider has for the others. levels: threads by engine; sums: [(key, counted
    since)]; works, asked: {tenant: work given ever} and asked for, in ms; needs: by budget (part in use,
    whether more would be used); met: [(engine, failed, slow)] since; ready: engines that may be sent to;
    taken: the number of the parts that it goes by."""

    __slots__ = ("levels", "sums", "works", "asked", "needs", "met", "ready", "taken")

    def __init__(self, levels=None, sums=(), works=None, asked=0, needs=NOTHING, met=(), ready=(), taken=0):
        self.levels, self.sums, self.works, self.needs = levels or {}, sums, works or {}, needs
        self.asked = asked
        self.met, self.ready, self.taken = met, ready, taken


class Spread:
    """node: the peers' node. offered(): this dispatcher's Offer, or None. out: the decider's side, told
    others(totals, mean age, oldest age, counted, left out), charged(works by tenant), parts(number, figures)
    and judged(found, the pool's slowness, spared). budgets: as a Broker's; none: nothing is lent."""

    def __init__(self, now, node, offered, out, every=EVERY, budgets=()):
        self.node, self.offered, self.out, self.every = node, offered, out, every
        self.counts = Counts(now, self.life(), node.table.capacity)
        self.broker = Broker(now, budgets, node.configured) if budgets else None
        self.evidence, self.opinions = Evidence(), Opinions(node.table.capacity)
        self.charges = Charges(node.table.capacity)
        self.next_at = now + node.random.randrange(every)
        self.over_at, self.malformed, self.named = now, 0, {}
        self.look_at, self.opine_at = now, now + node.random.randrange(OPINE)
        self.judged = {}, None, []
        if self.broker:
            self.tell_parts(now)

    def life(self):
        return self.node.table.local.id

    def receive_payload(self, now, sender, payload):
        found = wire.unseal(payload)
        if found is None:
            self.malformed += 1
            return
        for short, t, levels in found.levels:
            if (life := self.named.get(short)) is not None:
                self.counts.levels(now, life, t, levels)
        for short, key, n in found.sums:
            if (life := self.named.get(short)) is not None:
                self.counts.sum(now, life, key, n)
        for short, t, rows in found.opinions:
            if (life := self.named.get(short)) is not None and life != self.counts.life:
                self.opinions.says(life, t, rows)
        for short, t, works in found.works:
            if (life := self.named.get(short)) is not None and life != self.counts.life:
                self.charges.hears(life, t, works)
        if found.words and self.broker:
            for word in found.words:
                self.broker.came(now, sender.id, word)

    def run_round(self, now):
        if self.broker and self.broker.out:
            self.say_words()
        if now < self.next_at:
            return
        self.next_at = now + self.every
        counts = self.counts
        counts.renamed(self.life())
        offer = self.offered()
        if offer is not None:
            for key, n in offer.sums:
                counts.count(key, n)
            counts.hold(now, offer.levels)
            for met in offer.met:
                self.evidence.met(now, *met)
        if now >= self.over_at:
            self.over_at = now + OVER_EVERY
            living = {member.id for member in self.node.table.living if member.state in VIEW_STATES}
            counts.over(now, living)
            self.opinions.over(living)
            self.charges.over(living)
            self.name()
        self.tell(FANOUT)
        self.out.others(*counts.held(now, LASTS))
        if offer is not None:
            self.look(now, offer)

    def look(self, now, offer):
        if self.broker:
            if now >= self.look_at:
                self.look_at = now + LOOK
                self.broker.look(now, offer.needs, self.owners(), self.charges.weight())
            self.broker.took(offer.taken)
            self.tell_parts(now)
            self.say_words()
        if now >= self.opine_at:
            self.opine_at = now + OPINE
            self.opinions.says(self.life(), now, self.evidence.told(now))
            self.charges.tells(self.life(), now, offer.works, offer.asked)
            for member in self.node.detector.sample_members(FANOUT):
                works, room = self.charges.page(WORKS_ROOM)
                said, _ = self.opinions.page(ROOM - FRAMES - WORKS_ROOM + room)
                if works or said:
                    self.node.send_payload(member, wire.seal(opinions=short(said), works=short(works)))
            if charges := self.charges.take(offer.asked):
                self.out.charged(charges)
            me = self.life()
            said = self.opinions.heard(
                lambda life, t: now - t if life == me else self.counts.since(now, life, t)
            )
            self.judged = merge(said, frozenset(offer.ready))
            self.out.judged(*self.judged)

    # Budgets

    def owners(self):
        """Whom to ask for parts: of some by lot, those with least at work, as was last heard."""
        lives = self.counts.lives
        members = self.node.detector.sample_members(CANDIDATES)
        found = [member.id for member in members if member.state == ALIVE]
        return sorted(found, key=lambda life: sum(lives[life].levels.values()) if life in lives else 0)

    def tell_parts(self, now):
        found = self.broker.tell(now, divisor(self.node.configured, self.node.table))
        if found:
            self.out.parts(*found)

    def say_words(self):
        by = {}
        for life, word in self.broker.sent():
            by.setdefault(life, []).append(word)
        for life, words in by.items():
            member = self.node.table.members.get(life)
            if member is not None:
                for at in range(0, len(words), wire.WORDS_MOST):
                    self.node.send_payload(member, wire.seal(words=words[at : at + wire.WORDS_MOST]))

    # Counts

    def tell(self, many):
        for member in self.node.detector.sample_members(many):
            levels, sums = self.counts.page(ROOM)
            self.node.send_payload(member, wire.seal(levels=short(levels), sums=short(sums)))

    def last(self, now, out):
        """The end: what was counted until now, to a few more at once, and what others lent is given back."""
        self.next_at = now
        self.node.run_round(now, [], out)
        self.node.sender.begin(now, out)
        if self.broker:
            self.broker.end(now)
            self.say_words()
        self.tell(LAST_TOLD)
        self.node.sender.end()

    def name(self):
        """Lives by what stands for them in datagrams; two that share it are both left out."""
        named, twice = {}, set()
        for life in {*self.node.table.members, *self.counts.lives}:
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
        found, pool, spared = self.judged
        return {
            "lives": len(counts.lives),
            "counted": counted,
            "left_out": out,
            "age_ms": mean // 10,
            "oldest_ms": oldest // 10,
            "held_by_others": dict(sorted(held.items())),
            "folded_lives": len(counts.floors),
            "refused": dict(counts.refused),
            "malformed": self.malformed,
            "traffic": round(self.charges.weight(), 2),
            "budgets": self.broker.status(now) if self.broker else {},
            "opinions": {
                "of": len(self.opinions.said),
                "pool_slow": pool and round(pool, 2),
                "doubted": sorted(e for e, (bad, _, _) in found.items() if bad),
                "spared": sorted(spared),
                "slow": {engine: round(slow, 2) for engine, (_, slow, _) in sorted(found.items()) if slow},
            },
            "totals": dict(sorted(counts.totals().items())),
        }
