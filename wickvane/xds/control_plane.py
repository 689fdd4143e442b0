"""All streams together: what an event of the list brings about, whose turn it is, who is late; free of I/O.

The shell hands in events and takes from `ready` the streams that may have something to send. Times are tenths
of a millisecond.
"""

from fnmatch import fnmatchcase
from typing import NamedTuple

from wickvane.xds import endpoint_snapshot
from wickvane.xds.catalog import CDS, EDS, LDS, RDS, Catalog
from wickvane.xds.stream import Session

RETIRE = 50_000  # what is no longer wanted is kept so long at most for those who do not acknowledge
LATE_MOST = 100_000  # a proxy later than that holds back no engine's warm-up; its end of drains is its TTL's
LATE_FADES = 600_000
LOADS_FRESH = 300_000  # a proxy that has not reported since says nothing of now
LOADS_MOST = 20_000  # (node, cluster, engine) of which loads are kept


class Nodes(NamedTuple):
    """Who may have what. groups: resource groups by patterns of node names, None: all; first match counts."""

    rules: tuple = ()
    streams_most: int = 1000
    a_node_most: int = 4

    def groups_of(self, node):
        """The resource groups of a node: None for all, () for a node that nobody knows."""
        if not self.rules:
            return None
        return next((groups for pattern, groups in self.rules if fnmatchcase(node, pattern)), ())


NOBODY_ELSE = Nodes()


class Refused(Exception):
    """A stream that is not taken."""


class Hub:
    """make: what turns placement into bodies, by type (wickvane.xds.resources); site: the settings'
    Deployment."""

    def __init__(
        self, placement, make, grace, nodes=NOBODY_ELSE, floor=endpoint_snapshot.FLOOR, ttl=0, epoch="0"
    ):
        self.placement, self.make, self.grace, self.nodes = placement, make, grace, nodes
        self.floor, self.ttl, self.fleet = floor, ttl, endpoint_snapshot.Fleet()
        self.catalog, self.sessions, self.numbers = Catalog(epoch), {}, 0
        self.ready, self.turns, self.retiring = set(), [], None
        self.counts = dict.fromkeys(
            ("list-events", "updates", "drains", "streams", "streams-refused", "loads"), 0
        )
        self.late, self.late_at, self.loads, self.served = 0, 0, {}, False

    # The list

    def listed(self, now, index, whole, entries, back=()):
        """An event of the list."""
        self.counts["list-events"] += 1
        self.follow(now, *endpoint_snapshot.changed(self.fleet, now, index, whole, entries, self.floor, back))

    def restore(self, now, fleet):
        """A list from a snapshot, before any event."""
        if fleet.index > self.fleet.index:
            self.follow(
                now, fleet, [("list-from-snapshot", {"index": fleet.index, "engines": len(fleet.engines)})]
            )

    def follow(self, now, fleet, notes):
        self.turns += notes
        self.fleet = fleet
        changed, drained = self.placement.list(now, fleet)
        self.put(changed, drained)

    def put(self, changed, drained):
        if not self.served and not self.fleet.ready():
            return  # no start-up tells proxies an empty list
        if not self.served:
            self.served, changed = True, set(self.placement.clusters())
            bodies = self.make.settled(self.placement)
        else:
            bodies = {}
        bodies[EDS] = {
            name: self.make.assignment(name, self.placement.cache.get(name, ())) for name in changed
        }
        # The index that a resource follows from is the list's, also where only its weights have moved on.
        if self.catalog.put(self.fleet.index, bodies, drained=drained):
            self.counts["updates"] += 1
            self.counts["drains"] += bool(drained)
            self.ready.update(self.sessions)
        else:
            # Nothing but the index: streams that wait for a list as new as theirs look again.
            self.ready.update(n for n, s in self.sessions.items() if s.kinds[EDS].ahead is not None)

    def tick(self, now):
        """What time brings; when to be called again, None for not before something happens."""
        fleet, notes = endpoint_snapshot.passed(self.fleet, now)
        if notes:
            self.follow(now, fleet, notes)
        at = self.placement.next_step()
        if at is not None and now >= at:
            self.placement.lateness = self.lateness(now)
            self.put(*self.placement.step(now))
        if self.retiring is not None:
            self.retire(now)
        times = [
            self.placement.next_step(),
            endpoint_snapshot.next_due(self.fleet),
            self.retiring and now + 1_000,
        ]
        return min((t for t in times if t is not None), default=None)

    def lateness(self, now):
        """Of the slowest proxy, by its acknowledgements and by what it leaves unacknowledged; in steps of the
        placement's grid, so that a little more or less of it moves no weight."""
        worst = max(
            (
                max(s.lag, now - s.kinds[EDS].out[0].at if s.kinds[EDS].out else 0)
                for s in self.sessions.values()
            ),
            default=0,
        )
        faded = self.late * max(0.0, 1 - (now - self.late_at) / LATE_FADES)
        if worst >= faded:
            self.late, self.late_at = min(LATE_MOST, worst), now
        late, grid = max(min(LATE_MOST, worst), faded), self.placement.grid
        return 0 if late < grid / 2 else int(-(-late // grid) * grid)

    # Settings that change while it runs

    def settle(self, now, placement, make):
        """Other table groups or resource groups: what is new is told first, what is gone goes once the routes
        without it are settled."""
        placement.lateness = self.placement.lateness
        placement.list(now, self.fleet)
        old = {(kind, name) for kind in (CDS, EDS, LDS, RDS) for name in self.catalog.entries[kind]}
        self.placement, self.make = placement, make
        bodies = make.settled(placement)
        bodies[EDS] = {
            name: make.assignment(name, placement.cache.get(name, ())) for name in placement.clusters()
        }
        stays = {(kind, name) for kind, found in bodies.items() for name in found}
        self.retire(now, last=True)
        going = sorted(old - stays)
        if going:
            self.retiring = now + RETIRE, going
        self.catalog.put(self.fleet.index, bodies)
        self.ready.update(self.sessions)

    def regroup(self, nodes):
        """Who may see what, from now on and on streams that are open: what a node lost is taken from it at
        once, and one that is no longer known is let go."""
        self.nodes = nodes
        for session in self.sessions.values():
            if session.node is not None:
                session.regrouped(nodes.groups_of(session.node) == ())
        self.ready.update(self.sessions)

    def retire(self, now, last=False):
        if self.retiring is None:
            return
        until, going = self.retiring
        if last or now >= until or all(s.routes_settled() for s in self.sessions.values()):
            self.retiring = None
            self.catalog.put(self.fleet.index, {}, going)
            self.ready.update(self.sessions)

    # Streams

    def opened(self, now, variant):
        """A new stream's number."""
        if len(self.sessions) >= self.nodes.streams_most:
            self.counts["streams-refused"] += 1
            raise Refused("too many streams")
        self.numbers += 1
        self.counts["streams"] += 1
        self.sessions[self.numbers] = Session(
            self.numbers, variant, now, self.catalog, self.visible, self.grace, self.ttl
        )
        return self.numbers

    def named(self, number, node):
        """Who a stream is, by its first request."""
        session = self.sessions[number]
        if session.node is not None:
            if node and node != session.node:
                raise Refused("another node on the same stream")
            return
        if not node or len(node) > 256:
            raise Refused("a node without a name, or with too long a one")
        if self.nodes.groups_of(node) == ():
            raise Refused(f"node {node} is not known here")
        if sum(s.node == node for s in self.sessions.values()) >= self.nodes.a_node_most:
            raise Refused(f"node {node} has too many streams")
        session.node = node

    def visible(self, node, kind, name):
        groups = self.nodes.groups_of(node)
        return groups is None or self.make.is_for(self.placement, kind, name, groups)

    def closed(self, number):
        session = self.sessions.pop(number, None)
        self.ready.discard(number)
        if session is None:
            return
        self.turns += [(event, fields | {"node": session.node}) for event, fields in session.told()]

    def next(self, number, now):
        """The next Response of a stream, drains of any ahead of all else by the shell's order of `ready`."""
        session = self.sessions[number]
        found = session.next(now)
        for event, fields in session.told():
            self.turns.append((event, fields | {"node": session.node, "stream": number}))
        return found

    def told(self):
        """(event, fields) since the last call, for the log."""
        found, self.turns = self.turns, []
        return found

    # What proxies report

    def loaded(self, now, node, cluster, engine, done, errors, out):
        """A load report: requests done and failed since the last one, and out now."""
        key = node, cluster, engine
        if key not in self.loads and len(self.loads) >= LOADS_MOST:
            self.loads.pop(next(iter(self.loads)))
        before = self.loads.pop(key, (0, 0, 0, now))
        self.loads[key] = before[0] + done, before[1] + errors, out, now
        self.counts["loads"] += 1

    def load(self, now):
        """Requests out at all engines together by the reports of late, None where nobody reports."""
        out = [out for _, _, out, at in self.loads.values() if now - at <= LOADS_FRESH]
        return float(sum(out)) if out else None

    # What operators see

    def status(self, now):
        return {
            "index": self.fleet.index,
            "old": self.fleet.old,
            "served": self.served,
            "generation": self.catalog.generation,
            "engines": len(self.fleet.engines),
            "ready": len(self.fleet.ready()),
            "missing": len(self.fleet.missing),
            "lateness_ms": self.late / 10,
            "counts": dict(self.counts),
            "nodes": [
                {
                    "node": s.node,
                    "stream": s.number,
                    "variant": s.variant,
                    "types": s.status(now),
                    "lag_ms": s.lag / 10,
                    **s.counts,
                }
                for s in self.sessions.values()
                if s.node is not None
            ],
        }
