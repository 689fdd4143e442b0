"""Ids of the wire as small indices, for queries and engines, and when an index may stand for another."""

from wickvane.events import EngineState, EngineUpdated
from wickvane.settings import deployment, settings_of, tenths


class Names:
    """Names to small indices, in the order the wire first gave them."""

    def __init__(self, names=()):
        self.index = {}
        for name in names:
            self(name)

    def __call__(self, name):
        """The name's index, which is new with the name."""
        return self.index.setdefault(name, len(self.index))


class Indices:
    """Ids to small indices that are used again, the lowest free one last freed first."""

    def __init__(self):
        self.of, self.names, self.free = {}, [], []

    def add(self, name):
        """The index of a name, a free one where it is new."""
        if name in self.of:
            return self.of[name]
        if self.free:
            n = self.free.pop()
            self.names[n] = name
        else:
            n = len(self.names)
            self.names.append(name)
        self.of[name] = n
        return n

    def drop(self, name):
        """Frees a name's index."""
        n = self.of.pop(name)
        self.names[n] = None
        self.free.append(n)


class IdRegistry:
    """Which query and which engine an index stands for, and when it may stand for another."""

    def __init__(self, params, fronts=()):
        """fronts: the kinds of engines that each client protocol's queries may go to, by name; none: all to
        all. With them each resource group stands once a front, since which engines may take a query depends
        on the front it came by: placement, which the module keeps already, covers it."""
        settings = settings_of(params)
        settings.needed("classes")
        self.zones, self.kinds = Names(settings.names("zones")), Names(settings.names("host_types"))
        self.groups = Names(group.text("name") for group in settings.sections("classes"))
        self.tenants = Names(tenant.text("name") for tenant in settings.sections("accounts"))
        self.deployment = deployment(settings, self.zones, self.kinds)
        self.group_names = list(self.groups.index)
        if fronts:
            self.group_names *= len(fronts)
            self.deployment = self.deployment._replace(
                groups=[
                    group._replace(kinds=allowed if group.kinds is None else group.kinds & allowed)
                    for allowed in (frozenset(map(self.kinds, front)) for front in fronts)
                    for group in self.deployment.groups
                ]
            )
        self.queries, self.engines = Indices(), Indices()
        self.open = {}  # q: submissions without an ending; the query itself counts as one until it ends
        self.over = set()
        self.sent, self.listed = {}, {}

    def take(self, name):
        """The index of a query that is new."""
        q = self.queries.add(name)
        self.open[q] = 0
        return q

    def submitted(self, q, name):
        """An attempt of a query is out at an engine."""
        self.open[q] += 1
        self.sent[name] += 1

    def ended(self, q, name):
        """It is out no more."""
        self.open[q] -= 1
        self.sent[name] -= 1

    def list_engine(self, name, state, zone, kind, cell, started, weight):
        """The event for the module; None where nothing is known of an engine that has gone."""
        if state == EngineState.GONE and name not in self.engines.of:
            return None
        e = self.engines.add(name)
        self.sent.setdefault(name, 0)
        if state == EngineState.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = (zone, kind, cell, started, weight)
        return EngineUpdated(
            e,
            name.encode(),
            state,
            self.zones(zone),
            self.kinds(kind),
            cell or 0,
            tenths(started),
            weight or 1.0,
        )

    def unlisted(self, named):
        """The events for engines that a whole list no longer names."""
        for name in [name for name in self.listed if name not in named]:
            yield self.list_engine(name, EngineState.GONE, *self.listed[name])

    def settle(self):
        """Frees what is over; the engines that have gone for good."""
        for q in sorted(self.over):
            if not self.open[q]:
                self.over.discard(q)
                del self.open[q]
                self.queries.drop(self.queries.names[q])
        gone = [name for name, count in self.sent.items() if not count and name not in self.listed]
        for name in gone:
            del self.sent[name]
            self.engines.drop(name)
        return gone
