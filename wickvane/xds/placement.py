"""From the list and the settings to what proxies are told: which engines take a table group's queries, in
which order and by what weight; free of I/O and of xDS.

The design's ordinary path in a proxy's terms. A cluster is a table group for those resource groups that may
use the same engines. Its engines are the first of the group's shared hash order, at priority 0, by weight of
the cores that they have at least now; the next ones of the order stand behind at priority 1, for when those
fail. The order, how many are first, how a cold engine warms up and the bound on threads are those of
wickvane.scheduling.

A cold engine counts for a part, so a cluster takes as many first engines as make up FIRST_ENGINES warm ones:
of all that goes there a cold one is sent no larger part, over what a warm one is sent, than it has of its
cores. Its part is read off a grid of time that all instances share, at the grid's last point, and never
before the lateness of the slowest proxy has passed: what a proxy still holds is never more than what it may
be told. Times are tenths of a millisecond.
"""

from bisect import bisect_left, insort
from typing import NamedTuple

from wickvane.events import EngineState
from wickvane.scheduling.concurrency import BOUND_THREADS
from wickvane.scheduling.outlier_ejection import EJECTION_FIRST, EJECTION_MOST
from wickvane.scheduling.placement import FIRST_ENGINES, hash_place
from wickvane.scheduling.slow_start import warm_part

LATER, FIRST_MOST = 3, 9  # engines behind the first ones; first ones at most, however cold they are
WARM_STEPS = 4  # in which an engine's weight rises from cold to warm
SCALE = 100  # of a weight: a core's hundredths
NO_TABLE = 0  # what names no table group counts as this one, as it does with a dispatcher
MANY = 32  # engines changed at once, from which all clusters are worked out anew
EJECT_SHARE = (
    50  # more than half aside at once is no fault of the engines (wickvane.scheduling.outlier_ejection)
)
CHOICES = 3  # engines of which the one with fewest requests is taken
# Of a proxy's own bound: most requests out, how often it moves, at what part of the promise the usual answer
# shows pressure (half of the answers are longer, and what is late is of less use), and how much over that.
PACE_MOST, PACE_EVERY, PACE_PART, PACE_BUFFER = 1000, 1_000, 0.25, 0.1
RETRY_SHARE = 0.2  # where the settings state no budget of further submissions


class Place(NamedTuple):
    """An engine in a cluster, by its priority and weight."""

    name: str
    address: tuple
    zone: str
    priority: int
    weight: int


class Limits(NamedTuple):
    """What a proxy keeps by itself. requests: out at a time in one cluster; pending: waiting for a
    connection; retry_share: of those out; eject, eject_most: how long an engine that fails is left alone."""

    requests: int
    pending: int
    retry_share: float
    eject: int
    eject_most: int


class Pace(NamedTuple):
    """A bound on what is out of one resource group that binds under pressure alone: it shrinks while the
    median round trip is over round_trip and a part more (buffer), and grows while it is under."""

    most: int
    every: int
    round_trip: int
    buffer: float


def cluster_name(klass, table):
    return f"{klass}/{table}"


class Placement:
    """What each cluster holds, kept up with the list. proxies: that share the pool; lateness: of the slowest
    of them, by their acknowledgements."""

    def __init__(self, site, group_names, tables, proxies, kinds=(), zones=()):
        self.site, self.proxies = site, max(1, proxies)
        self.tables = sorted({NO_TABLE, *tables})
        self.kind_of, self.zone_of = {k: n for n, k in enumerate(kinds)}, {z: n for n, z in enumerate(zones)}
        # Classes: resource groups that may use the same engines, by the name of the first of them.
        self.classes, self.class_of = {}, {}
        for name, group in zip(group_names, site.groups):
            allowed = (group.zones, group.kinds)
            self.class_of[name] = self.classes.setdefault(allowed, name)
        self.paces = {name: self.pace(group) for name, group in zip(group_names, site.groups)}
        self.allowed = {klass: allowed for allowed, klass in self.classes.items()}
        self.threads = {
            klass: max(g.threads for name, g in zip(group_names, site.groups) if self.class_of[name] == klass)
            for klass in self.allowed
        }
        self.engines, self.orders = {}, {table: [] for table in self.tables}
        self.grid = max(1, site.slow_start_duration // WARM_STEPS // 2)
        self.lateness, self.at, self.cache, self.stepping = 0, 0, {}, {}

    def clusters(self):
        return [cluster_name(klass, table) for klass in self.allowed for table in self.tables]

    # The list

    def list(self, now, fleet):
        """Takes in a Fleet; the names of the clusters whose places are others now, those that lost an engine
        to a drain apart: (changed, drained)."""
        before, after = self.engines, fleet.engines
        self.at = max(self.at, now)
        lost = [name for name in before if name not in after]
        new = [name for name in after if name not in before]
        other = [
            name
            for name, engine in after.items()
            if name in before
            and before[name] is not engine
            and before[name]._replace(index=0, told=0) != engine._replace(index=0, told=0)
        ]
        gone = {
            name
            for name in lost + other
            if before[name].state == EngineState.READY
            and (name not in after or after[name].state != EngineState.READY)
        }
        many, touched = len(lost) + len(new) + len(other) > MANY, set()
        if many:
            touched.update(self.tables)
        for name in lost:
            if not many:
                touched.update(self.orders_with(name))
            self.drop(name)
        self.add(new)
        if not many:
            for name in other:
                touched.update(self.orders_with(name))
        self.engines = dict(after)
        if not many:
            for name in new + other:
                touched.update(self.orders_with(name))
        return self.again(touched, gone)

    def add(self, names):
        for table, order in self.orders.items():
            places = [(hash_place(name.encode(), table), name) for name in names]
            if len(places) > MANY:
                order += places
                order.sort()
                continue
            for place in places:
                insort(order, place)

    def drop(self, name):
        for table, order in self.orders.items():
            at = bisect_left(order, (hash_place(name.encode(), table), name))
            if at < len(order) and order[at][1] == name:
                del order[at]

    def orders_with(self, name):
        """Tables where a change of this engine may matter: it is held already, or stands early enough."""
        for table, order in self.orders.items():
            at = bisect_left(order, (hash_place(name.encode(), table), name))
            if at < self.reach(order):
                yield table

    def reach(self, order):
        """How far down an order any class looks, those passed over counted."""
        found = dict.fromkeys(self.allowed, 0)
        for n, (_, name) in enumerate(order):
            engine = self.engines.get(name)
            if engine is None:
                continue
            for klass in found:
                if engine.state == EngineState.READY and self.permitted(klass, engine):
                    found[klass] += 1
            if all(count >= FIRST_MOST + LATER for count in found.values()):
                return n + 1
        return len(order) + 1

    def permitted(self, klass, engine):
        zones, kinds = self.allowed[klass]
        return (zones is None or self.zone_of.get(engine.zone) in zones) and (
            kinds is None or self.kind_of.get(engine.kind) in kinds
        )

    # Time

    def step(self, now):
        """Weights that rise with time: (changed, drained) as from list()."""
        self.at = max(self.at, now)
        cold = [name for name in self.stepping if name in self.engines]
        tables = (
            set(self.tables)
            if len(cold) > MANY
            else {table for name in cold for table in self.orders_with(name)}
        )
        for name in [n for n, until in self.stepping.items() if until <= self.at]:
            del self.stepping[name]
        return self.again(tables, set())

    def next_step(self):
        """When weights may be others, None where no engine is cold."""
        return (self.at // self.grid + 1) * self.grid if self.stepping else None

    def warmth(self, engine):
        """The part of an engine's cores that may be told now, in steps, from the grid's last point less what
        the slowest proxy is late."""
        if not engine.started:
            return 1.0
        site, at = self.site, self.at // self.grid * self.grid - self.lateness
        age = at - engine.started
        if age >= site.slow_start_duration:
            return 1.0
        self.stepping[engine.name] = engine.started + site.slow_start_duration + self.lateness + self.grid
        step = (
            max(0, int(age * WARM_STEPS / site.slow_start_duration)) * site.slow_start_duration // WARM_STEPS
        )
        return warm_part(step, site.slow_start_fraction, site.slow_start_duration)

    def cores(self, engine):
        kind = self.kind_of.get(engine.kind, -1)
        return self.site.cores[kind] if 0 <= kind < len(self.site.cores) else 1

    def weight(self, engine):
        return max(1, round(SCALE * self.cores(engine) * engine.weight * self.warmth(engine)))

    # Clusters

    def again(self, tables, gone):
        """Works out anew what these tables' clusters hold."""
        changed, drained = set(), set()
        for table in tables:
            for klass in self.allowed:
                name = cluster_name(klass, table)
                before, after = self.cache.get(name), self.places(klass, table)
                if before == after:
                    continue
                self.cache[name] = after
                changed.add(name)
                if before and gone and any(place.name in gone for place in before):
                    drained.add(name)
        return changed, drained

    def places(self, klass, table):
        """The Places of a cluster, in the order that is told."""
        found, first, later, warm = [], 0, 0, 0.0
        for _, name in self.orders[table]:
            engine = self.engines.get(name)
            # One that drains is left out: proxies end what they have out there, and send nothing new. Told as
            # draining it would depend on whether a client knows that state.
            if engine is None or engine.state != EngineState.READY or engine.address is None:
                continue
            if not self.permitted(klass, engine):
                continue
            behind = warm > FIRST_ENGINES - 1e-6 or first >= FIRST_MOST
            if behind and later >= LATER:
                break
            found.append(Place(name, engine.address, engine.zone or "", int(behind), self.weight(engine)))
            if behind:
                later += 1
            else:
                first, warm = first + 1, warm + self.warmth(engine)
        return tuple(found)

    def pace(self, group):
        """The design's bound under pressure, for a proxy that knows no best latency; from settings."""
        return Pace(PACE_MOST, PACE_EVERY, max(10, int(group.latency_objective * PACE_PART)), PACE_BUFFER)

    def limits(self, klass):
        """The bound on threads of a cluster's first engines, over all proxies, and what of the module's own
        guards a proxy can keep: of those out, no more further tries than the budget allows, and an engine
        that fails left alone for as long. By the settings alone, so that no change of the list changes it."""
        site, (_, kinds) = self.site, self.allowed[klass]
        cores = [c for n, c in enumerate(site.cores) if kinds is None or n in kinds]
        threads = BOUND_THREADS * FIRST_ENGINES * max(cores, default=1) / self.proxies
        # At least one: the design's "an engine with none always takes one".
        requests = max(1, int(threads / self.threads[klass]))
        share = site.retry_budget_ratio if site.retry_budget_window else RETRY_SHARE
        return Limits(requests, requests, share, EJECTION_FIRST, EJECTION_MOST)
