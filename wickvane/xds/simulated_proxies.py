"""What a proxy makes of placement decisions alone, behind the dispatchers' own border, free of I/O: for the
rehearsal, to tell how near a proxy that only follows xDS comes to a dispatcher, and what is lost.

It does what the resources say and a proxy of the published API can do: of a cluster's first engines the one
with least requests over its weight, of three drawn; those of priority 1 in the measure in which first ones
are ejected (overprovisioning 1.4); a bound on requests a cluster, past which it answers at once; engines that
fail three times in a row are left alone. It has no queue, and tries nothing again: a retry budget counts what
is out, not what was sent in a window, and cannot keep rule 7.
"""

from math import sqrt
from random import Random

from wickvane.events import AttemptEnded, ClientGone, Effect, Ending, EngineUpdated, QueryArrived
from wickvane.xds import endpoint_snapshot
from wickvane.xds.placement import CHOICES, EJECT_SHARE, Placement, cluster_name

OVER, ROW = 1.4, 3


class Gradient:
    """The adaptive concurrency filter as its page says: a limit on what is out that moves by the round trip
    that is wanted over the one that is seen, and by its own root."""

    def __init__(self, pace):
        self.pace, self.limit, self.out, self.seen, self.at = pace, float(pace.most), 0, [], 0

    def full(self):
        return self.out >= int(self.limit)

    def ended(self, now, elapsed):
        self.out -= 1
        self.seen.append(elapsed)
        if now < self.at + self.pace.every:
            return
        self.seen.sort()
        usual, self.seen, self.at = self.seen[len(self.seen) // 2], [], now
        step = max(0.5, min(2.0, self.pace.round_trip * (1 + self.pace.buffer) / max(1, usual)))
        self.limit = max(1.0, min(self.pace.most, step * self.limit + sqrt(step * self.limit)))


class SimulatedProxies:
    """A gateway in name; tables: how many table groups there are."""

    tables = 20

    def __init__(self, seed, site):
        self.site, self.chance, self.index = site, Random(seed), 0
        names = [f"g{n}" for n in range(len(site.groups))]
        kinds = range(len(site.cores))
        self.placement = Placement(site, names, range(self.tables), site.dispatcher_count, kinds, [0])
        self.fleet, self.names, self.numbers = endpoint_snapshot.Fleet(), {}, {}
        self.out, self.open, self.active = {}, {}, {}  # by engine; by query; by cluster
        self.failed, self.ejected = {}, {}
        self.gradients = [Gradient(self.placement.pace(group)) for group in site.groups]

    def round(self, now, events, out):
        step = self.placement.next_step()
        if step is not None and now >= step:
            self.placement.step(now)
        for event in events:
            if isinstance(event, QueryArrived):
                self.taken(now, out, *event)
            elif isinstance(event, AttemptEnded):
                self.ended(now, out, *event)
            elif isinstance(event, ClientGone) and event.query in self.open:
                resource_group, cluster = self.open.pop(event.query)
                self.active[cluster] -= 1
                self.gradients[resource_group].out -= 1
                out.cancel_attempt(event.query, 0)
            elif isinstance(event, EngineUpdated):
                self.engine(now, *event)

    def engine(self, now, e, rank, state, zone, kind, cell, started, weight):
        name = rank.decode()
        self.names[e], self.numbers[name], self.index = name, e, self.index + 1
        row = name, (name, 1), state, 0, kind, cell, started / 10, weight
        self.fleet, _ = endpoint_snapshot.changed(
            self.fleet, now, self.index, False, [row], endpoint_snapshot.FLOOR
        )
        self.placement.list(now, self.fleet)

    def taken(self, now, out, q, resource_group, tenant, cost, memory, table_group, key, left, again=False):
        klass = self.placement.class_of[f"g{resource_group}"]
        cluster = cluster_name(klass, table_group % self.tables)
        gradient = self.gradients[resource_group]
        if self.active.get(cluster, 0) >= self.placement.limits(klass).requests or gradient.full():
            return out.reject(q, 0)
        name = self.chosen(now, cluster)
        if name is None:
            return out.reject(q, 0)
        self.active[cluster] = self.active.get(cluster, 0) + 1
        self.out[name] = self.out.get(name, 0) + 1
        gradient.out += 1
        self.open[q] = resource_group, cluster
        out.start_attempt(q, self.numbers[name], 0)

    def chosen(self, now, cluster):
        places = self.placement.cache.get(cluster, ())
        away = [p for p in places if self.ejected.get(p.name, 0) > now]
        if len(away) * 100 > EJECT_SHARE * len(places):
            away = []
        first = [p for p in places if not p.priority]
        fit = [p for p in first if p not in away]
        later = [p for p in places if p.priority and p not in away]
        if first and later and self.chance.random() >= OVER * len(fit) / len(first):
            fit = later
        fit = fit or later
        if not fit:
            return None
        drawn = [self.chance.choice(fit) for _ in range(CHOICES)]
        return max(drawn, key=lambda p: p.weight / (self.out.get(p.name, 0) + 1)).name

    def ended(self, now, out, q, submission, e, ending, elapsed, complete, work, memory, report):
        name = self.names[e]
        self.out[name] -= 1
        resource_group, cluster = self.open.pop(q, (None, None))
        if ending == Ending.FINISHED:
            self.failed[name] = 0
        else:
            self.failed[name] = self.failed.get(name, 0) + 1
            if self.failed[name] >= ROW:
                limits = self.placement.limits(next(iter(self.placement.allowed)))
                longer = limits.eject * (self.failed[name] - ROW + 1)
                self.ejected[name] = now + min(limits.eject_most, longer)
        if resource_group is None:
            return
        self.active[cluster] -= 1
        self.gradients[resource_group].ended(now, elapsed)
        if complete or ending == Ending.FINISHED:
            return
        proven, group = ending >= Ending.REJECTED, self.site.groups[resource_group]
        if not proven and group.effect != Effect.READ_ONLY:
            out.fail(q)
        else:
            out.reject(q, 0)
