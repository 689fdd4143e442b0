"""One proxy's stream: what it asked for, was sent, acknowledged and refused, and what it is sent next; free
of I/O. Both variants of xDS v3 (the state of the world, and incremental) on an aggregated stream.

Rules of what goes next:

    drains first     a change that takes an engine away goes ahead of everything, also past what is out
    one out          of each type one response is out at a time; meanwhile changes gather, so that a list
                     that flaps costs a slow proxy nothing but the newest state, and nobody waits behind it
    made before      clusters, their endpoints, listeners, routes (what is no longer wanted goes the other way
    broken           round: wickvane.xds.control_plane)
    refused          content that was refused is not sent again; the last good one stands. A drain is
    older behind     a proxy that holds content of a newer list than this instance knows is sent no endpoints
    newer            until this one has caught up, since an engine that has drained could come back by it
    told again       a drain that is not acknowledged is sent again at a third and at two thirds of the grace,
                     and named in the log at two thirds

Times are tenths of a millisecond.
"""

from typing import NamedTuple

from wickvane.xds.catalog import CDS, EDS, LDS, RDS, TYPES, WORDS, read_version

SOTW, DELTA = "sotw", "delta"
ORDER = (CDS, EDS, LDS, RDS)
WILDCARD = "*"
NAMES_MOST, NAME_MOST, REASON_MOST = 10_000, 512, 512
OUT_MOST = 8  # responses of a type that are kept in mind until they are acknowledged
APART = 500  # responses of a type follow no closer, but for drains
ASKS_MOST, ASKS_WINDOW = 20_000, 100_000  # requests in a window, above which a proxy has gone mad
ALL = "all"


def marked(version):
    """The part of a version that stands for its content."""
    known = read_version(version)
    return known and (known[0], known[2])


class Broken(Exception):
    """The stream breaks the protocol or a bound: it is ended, and says why."""


class Response(NamedTuple):
    """What to send. names: of resources in it, with bodies unless heartbeat; removed: names (incremental)."""

    kind: int
    nonce: str
    version: str
    names: tuple
    removed: tuple
    drain: bool
    heartbeat: bool = False


class Sent(NamedTuple):
    """A response that its proxy has not acknowledged or refused yet."""

    nonce: str
    at: int
    generation: int
    version: str
    names: tuple
    versions: tuple


class Kind:
    """One type on one stream."""

    def __init__(self):
        self.asked, self.wildcard, self.names = False, False, set()
        self.held = {}  # incremental: name: version that the proxy holds, or was sent
        self.refused = {}  # name or ALL: the digest of what was refused
        self.out, self.nonce = [], ""  # sent and not acknowledged, oldest first; the last nonce
        self.sent_at, self.generation, self.acknowledged = 0, 0, -1
        self.dirty, self.version, self.reason = False, "", None
        self.more, self.unknown = set(), set()  # asked for since; incremental: asked for and not there
        self.had = self.answered = False  # it held something before this stream; it was sent something
        self.cache = None
        self.ahead = None  # the index of a newer list that the proxy holds content of
        self.told_again, self.beat_at = 0, 0
        self.drain_since = None


class Session:
    """catalog: of all; visible(kind, name): whether this proxy may have a resource; grace: within which a
    drain must be with it; ttl: of endpoints, 0 for none."""

    def __init__(self, number, variant, now, catalog, visible, grace, ttl=0):
        self.number, self.variant, self.catalog, self.visible = number, variant, catalog, visible
        self.grace, self.ttl, self.node = grace, ttl, None
        self.kinds, self.nonces = [Kind() for _ in TYPES], 0
        self.counts = dict.fromkeys(("sent", "acknowledged", "refused", "stale", "told-again", "late"), 0)
        self.turns, self.asks, self.asks_at = [], 0, now
        self.unknown = False  # no longer anybody who may be told anything
        self.lag = 0  # of the slowest acknowledgement lately

    # What the proxy says

    def bound(self, now, names):
        if now - self.asks_at > ASKS_WINDOW:
            self.asks, self.asks_at = 0, now
        self.asks += 1 + len(names) // 100
        if self.asks > ASKS_MOST:
            raise Broken("too many requests")
        if any(len(name) > NAME_MOST for name in names):
            raise Broken("a resource name is too long")

    def asked_sotw(self, now, kind, version, nonce, names, error):
        """A DiscoveryRequest: an acknowledgement, a refusal, or a new subscription."""
        self.bound(now, names)
        state, first = self.kinds[kind], not self.kinds[kind].asked
        if nonce and not first and nonce != state.nonce:
            # Of a response that another has overtaken: what it says of names is older than what follows.
            self.counts["stale"] += 1
            self.settle(now, kind, nonce, error)
            return
        if len(names) > NAMES_MOST:
            raise Broken("too many resource names")
        wanted = set(names)
        whole = kind in (CDS, LDS) and (not wanted and (first or state.wildcard) or WILDCARD in wanted)
        wanted.discard(WILDCARD)
        grown = first or wanted - state.names or whole != state.wildcard
        shrunk, before, was = state.names - wanted, state.names, state.wildcard
        state.asked, state.wildcard, state.names = True, whole, wanted
        if first and version:
            self.holds(kind, version)
            state.cache = None
            if marked(version) == marked(self.whole(kind)):
                # Nothing of it is other than what it holds; a proxy that asks again is not sent all again.
                state.version, state.acknowledged = version, self.catalog.generation
                state.generation, state.answered = self.catalog.generation, True
                grown = False
        if nonce and not first:
            self.settle(now, kind, nonce, error)
        if grown or shrunk:
            state.cache = None
        if first:
            state.dirty = bool(grown)
        elif whole and not was:
            state.dirty = True
        else:
            state.more |= wanted - before
        state.more &= wanted

    def asked_delta(self, now, kind, nonce, subscribe, unsubscribe, initial, error):
        """A DeltaDiscoveryRequest."""
        self.bound(now, [*subscribe, *unsubscribe, *initial])
        state, first = self.kinds[kind], not self.kinds[kind].asked
        state.asked = True
        if first:
            if len(initial) > NAMES_MOST:
                raise Broken("too many resource versions")
            state.held, state.had = dict(initial), bool(initial)
            for version in initial.values():
                self.holds(kind, version)
            state.wildcard = not subscribe
        for name in subscribe:
            if name == WILDCARD:
                state.wildcard = True
            else:
                state.names.add(name)
                if name not in self.catalog.entries[kind]:
                    state.unknown.add(name)
                # Asked for again by name, it is sent again though it is held (xDS protocol, incremental).
                if not first:
                    state.held.pop(name, None)
        for name in unsubscribe:
            if name == WILDCARD:
                state.wildcard = False
            state.names.discard(name)
            state.unknown.discard(name)
            state.held.pop(name, None)
            state.refused.pop(name, None)
        if len(state.names) > NAMES_MOST:
            raise Broken("too many resource names")
        if nonce:
            self.settle(now, kind, nonce, error)
        if first or subscribe:
            state.dirty = True
        if first or subscribe or unsubscribe:
            state.cache = None

    def holds(self, kind, version):
        """What it had from elsewhere before this stream."""
        known = read_version(version)
        self.kinds[kind].had = True
        if known is not None and known[0] == self.catalog.epoch and self.catalog.is_behind(known[1]):
            state = self.kinds[kind]
            state.ahead = self.catalog.joined(state.ahead or 0, known[1])
            self.turns.append(
                ("proxy-ahead", {"type": WORDS[kind], "holds": known[1], "index": self.catalog.index})
            )

    def settle(self, now, kind, nonce, error):
        """The proxy's word on a response: all sent before it are settled too."""
        state = self.kinds[kind]
        place = next((n for n, sent in enumerate(state.out) if sent.nonce == nonce), None)
        if place is None:
            return
        sent, state.out = state.out[place], state.out[place + 1 :]
        self.lag = max(now - sent.at, self.lag * 7 // 8)
        if error is not None:
            self.counts["refused"] += 1
            state.reason = error[:REASON_MOST]
            if self.variant == SOTW:
                # Which of them it refused is not told: all goes again with the next change.
                state.refused, state.dirty = {ALL: marked(sent.version)}, True
            else:
                for name, version in zip(sent.names, sent.versions):
                    state.refused[name] = marked(version)
                    state.held.pop(name, None)
            self.turns.append(
                ("refused", {"type": WORDS[kind], "version": sent.version, "why": state.reason})
            )
            return
        self.counts["acknowledged"] += 1
        state.acknowledged, state.version = sent.generation, sent.version
        state.reason = None
        state.refused.pop(ALL, None)
        for name in sent.names if state.refused else ():
            state.refused.pop(name, None)
        if state.drain_since is not None and sent.generation >= state.drain_since[0]:
            state.drain_since, state.told_again = None, 0

    # What it gets

    def regrouped(self, unknown):
        """What it may have is settled anew."""
        self.unknown = unknown
        for state in self.kinds:
            state.cache, state.dirty = None, state.asked

    def wanted(self, kind):
        """Names that it subscribed to and may have."""
        state, entries = self.kinds[kind], self.catalog.entries[kind]
        if state.cache is None or state.cache[0] != self.catalog.named[kind]:
            names = entries if state.wildcard else [name for name in state.names if name in entries]
            state.cache = (
                self.catalog.named[kind],
                frozenset(name for name in names if self.visible(self.node, kind, name)),
            )
        return state.cache[1]

    def whole(self, kind):
        return self.catalog.whole_version(kind, self.wanted(kind))

    def due(self, kind):
        """(names to send, names to tell as removed, whether one of them is a drain) of a type."""
        state, catalog = self.kinds[kind], self.catalog
        if not state.asked or kind == EDS and self.is_behind():
            return (), (), False
        since = catalog.changed_since(kind, state.generation)
        if not since and since is not None and not state.dirty and not state.more:
            return (), (), False
        entries, wanted = catalog.entries[kind], self.wanted(kind)
        if self.variant == DELTA:
            if since is None or state.dirty:
                look = wanted
            else:
                look = since & wanted
            names = [name for name in look if self.fresh(state, name, entries[name])]
            mine = state.held if since is None or state.dirty else since & set(state.held)
            removed = {name for name in mine if name not in wanted}
            removed |= {name for name in state.unknown if name not in entries}
        else:
            removed = []
            if kind in (CDS, LDS) or since is None or state.dirty:
                names = list(wanted)  # the first two are told whole each time
            else:
                names = list((since | state.more) & wanted if since else state.more & wanted)
            if names and state.refused.get(ALL) == marked(self.whole(kind)):
                names = []
        drain = (
            kind == EDS
            and (state.generation or state.had)
            and any(entries[name].drained > state.generation for name in names)
        )
        return tuple(sorted(names)), tuple(sorted(removed)), drain

    def fresh(self, state, name, entry):
        held = state.held.get(name)
        # The same content under another index is the same.
        return held != entry.version and marked(entry.version) not in (
            held and marked(held),
            state.refused.get(name),
        )

    def is_behind(self):
        """Whether the proxy knows a newer list than this instance: then it keeps what it has."""
        state = self.kinds[EDS]
        if state.ahead is not None and not self.catalog.is_behind(state.ahead):
            state.ahead, state.dirty = None, True
            self.turns.append(("proxy-caught-up-with", {"index": self.catalog.index}))
        return state.ahead is not None

    def routes_settled(self):
        routes = self.kinds[RDS]
        return not routes.asked or not routes.out and routes.generation >= self.catalog.generation

    def next(self, now):
        """The next Response, None where there is none now."""
        if self.unknown:
            raise Broken("this node is no longer known here")
        # Ahead of every queue, and of what is out.
        names, removed, drain = ends = self.due(EDS)
        if drain:
            drained = (
                tuple(n for n in names if self.catalog.entries[EDS][n].drained > self.kinds[EDS].generation)
                if self.variant == DELTA
                else names
            )
            return self.made(now, EDS, drained, (), True, whole=drained == names and not removed)
        again = self.again(now)
        if again is not None:
            return again
        for kind in ORDER:
            state = self.kinds[kind]
            if state.out or now < state.sent_at + APART and state.sent_at and state.generation:
                continue
            if kind == RDS and self.kinds[CDS].asked and self.kinds[CDS].out:
                continue  # routes follow the clusters that they name
            names, removed, drain = ends if kind == EDS else self.due(kind)
            # A proxy waits for word of a listener or cluster that is not there, too.
            empty = (
                self.variant == SOTW
                and kind in (CDS, LDS)
                and state.asked
                and not state.answered
                and not state.refused
            )
            if names or removed or empty:
                return self.made(now, kind, names, removed, drain)
            if state.asked and not (kind == EDS and self.is_behind()):
                state.generation, state.dirty = self.catalog.generation, state.dirty and bool(state.refused)
                state.more.clear()
        return self.heartbeat(now)

    def made(self, now, kind, names, removed, drain, whole=True):
        state, catalog = self.kinds[kind], self.catalog
        entries = catalog.entries[kind]
        self.nonces += 1
        nonce = f"{self.number}-{self.nonces}"
        versions = tuple(entries[name].version for name in names)
        if drain and state.drain_since is None:
            state.drain_since, state.told_again = (catalog.generation, now), 0
        if self.variant == DELTA:
            version = str(catalog.index)
            state.held.update(zip(names, versions))
            for name in removed:
                state.held.pop(name, None)
                state.refused.pop(name, None)
            state.unknown.clear()
        else:
            version = self.whole(kind)
            state.nonce = nonce
        # What is not whole has a rest that follows behind this.
        state.generation, state.dirty, state.answered = catalog.generation, not whole, True
        state.more.clear()
        state.out.append(Sent(nonce, now, catalog.generation, version, names, versions))
        if len(state.out) > OUT_MOST:
            del state.out[0]
        state.sent_at = state.beat_at = now
        self.counts["sent"] += 1
        return Response(kind, nonce, version, names, removed, drain)

    def again(self, now):
        """A drain that is not acknowledged, once more."""
        state = self.kinds[EDS]
        if state.drain_since is None:
            return None
        since = state.drain_since[1]
        third = self.grace // 3
        if state.told_again < 2 and now >= since + third * (1 + state.told_again):
            state.told_again += 1
            self.counts["told-again"] += 1
            if state.told_again == 2:
                self.counts["late"] += 1
                self.turns.append(
                    ("drain-unacknowledged", {"for": (now - since) / 10_000, "refuses": state.reason})
                )
            names = tuple(
                sorted({name for sent in state.out for name in sent.names} & set(self.catalog.entries[EDS]))
            )
            if names:
                return self.made(now, EDS, names, (), True, whole=not state.dirty)
        return None

    def heartbeat(self, now):
        """What a proxy holds with a time to live, named again ahead of its end, without the content."""
        state = self.kinds[EDS]
        if (
            not self.ttl
            or not state.asked
            or state.out
            or now < state.beat_at + self.ttl // 3
            or self.is_behind()
        ):
            return None
        names = tuple(sorted(state.held if self.variant == DELTA else self.wanted(EDS)))
        if not names or state.acknowledged < 0:
            return None
        self.nonces += 1
        state.beat_at, nonce = now, f"{self.number}-{self.nonces}"
        version = str(self.catalog.index)
        if self.variant == SOTW:
            version, state.nonce = self.whole(EDS), nonce
        names = tuple(name for name in names if name in self.catalog.entries[EDS])
        return Response(EDS, nonce, version, names, (), False, True)

    def next_at(self, now):
        """When next(), which has nothing now, may have something without anything happening; None for
        never."""
        times, state = [], self.kinds[EDS]
        if state.drain_since is not None and state.told_again < 2:
            times.append(state.drain_since[1] + self.grace // 3 * (1 + state.told_again))
        if self.ttl and state.asked:
            times.append(state.beat_at + self.ttl // 3)
        times += [kind.sent_at + APART for kind in self.kinds if kind.asked and not kind.out]
        return min((at for at in times if at > now), default=None)

    def told(self):
        """(event, fields) since the last call."""
        found, self.turns = self.turns, []
        return found

    def status(self, now):
        """What operators see, by type."""
        return {
            WORDS[kind]: {
                "version": state.version,
                "synced": not state.out
                and state.generation >= self.catalog.generation
                and state.reason is None,
                "refused": state.reason,
                "ahead": state.ahead is not None,
                "behind_ms": (now - state.out[0].at) / 10 if state.out else 0.0,
            }
            for kind, state in enumerate(self.kinds)
            if state.asked
        }
