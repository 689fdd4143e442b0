"""The control service's decisions, free of I/O: the list, what clusters hold, and each proxy's stream beside
a plain model on generated interleavings."""

import random

import orjson
import pytest
from bench_free import Gateways, group, site
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from wickvane.events import EngineState, EngineUpdated
from wickvane.scheduler import FIRST_ENGINES, Scheduler
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds import endpoint_snapshot, snapshot_store
from wickvane.xds.catalog import CDS, EDS, LDS, RDS, read_version
from wickvane.xds.control_plane import Hub, Nodes, Refused
from wickvane.xds.placement import FIRST_MOST, LATER, WARM_STEPS, Placement
from wickvane.xds.stream import ASKS_MOST, DELTA, SOTW, Broken

TABLES = (1, 2, 3)


def entry(name, state=EngineState.READY, started=0, kind="old", zone="dc", port=None):
    return name, ("127.0.0.1", port or 1000 + int(name[1:])), state, zone, kind, 0, started, 1.0


class Plain:
    """Resources as JSON, in place of xDS."""

    def settled(self, placement):
        return {
            CDS: {name: b"c" for name in placement.clusters()},
            LDS: {g: b"l" for g in placement.class_of},
            RDS: {g: b"r" for g in placement.class_of},
        }

    def assignment(self, name, places):
        return orjson.dumps([[p.name, p.priority, p.weight] for p in places])

    def is_for(self, placement, kind, name, groups):
        return name in groups if kind in (LDS, RDS) else name.partition("/")[0] in groups


def placed(groups=None, **more):
    deployment = site(groups or [group()], **more)
    names = [f"g{n}" for n in range(len(deployment.groups))]
    return Placement(deployment, names, TABLES, 2, ["old", "new"], ["dc", "far"])


def hub(**more):
    return Hub(placed(), Plain(), 2 * TICKS_PER_SECOND, **more)


# The list


def test_what_drained_never_comes_back_but_as_a_later_process():
    found, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry("e1"), entry("e2")], endpoint_snapshot.Floor()
    )
    found, _ = endpoint_snapshot.changed(
        found, 5, 2, False, [entry("e1", EngineState.DRAINING)], endpoint_snapshot.Floor()
    )
    assert found.engines["e1"].told == 5 and [e.name for e in found.ready()] == ["e2"]
    for index, again in ((3, [entry("e1")]), (4, [entry("e1", EngineState.GONE)]), (5, [entry("e1")])):
        found, notes = endpoint_snapshot.changed(found, 9, index, False, again, endpoint_snapshot.Floor())
        assert [e.name for e in found.ready()] == ["e2"]
    assert notes == [("engine-not-taken-back", {"engine": "e1", "index": 5})]
    found, _ = endpoint_snapshot.changed(
        found, 9, 6, False, [entry("e1", started=7)], endpoint_snapshot.Floor()
    )
    assert sorted(e.name for e in found.ready()) == ["e1", "e2"]
    old, notes = endpoint_snapshot.changed(
        found, 9, 6, False, [entry("e2", EngineState.GONE)], endpoint_snapshot.Floor()
    )
    assert old is found and notes[0][0] == "list-older"


@pytest.mark.parametrize(
    "what,left", [(endpoint_snapshot.TAKE, 1), (endpoint_snapshot.HOLD, 10), (endpoint_snapshot.STEPS, 8)]
)
def test_a_list_that_loses_nine_tenths_of_its_engines_does_what_the_floor_says(what, left):
    floor = endpoint_snapshot.Floor(0.2, 1, what, 100)
    found, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry(f"e{n}") for n in range(10)], floor
    )
    found, notes = endpoint_snapshot.changed(found, 0, 2, True, [entry("e0")], floor)
    assert len(found.ready()) == left and (notes != []) == (what != endpoint_snapshot.TAKE)
    counts = []
    for now in range(0, 1200, 100):
        found, _ = endpoint_snapshot.passed(found, now)
        counts.append(len(found.ready()))
    assert counts[-1] == 1 and (what != endpoint_snapshot.STEPS or counts[:5] == [8, 6, 4, 2, 1])
    # Named as draining it is taken at its word, however many.
    found, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry(f"e{n}") for n in range(10)], floor
    )
    found, _ = endpoint_snapshot.changed(
        found, 0, 2, False, [entry(f"e{n}", EngineState.DRAINING) for n in range(9)], floor
    )
    assert len(found.ready()) == 1


def test_an_empty_list_is_held_and_one_that_names_them_again_ends_it():
    floor = endpoint_snapshot.Floor(1.0, 5, endpoint_snapshot.HOLD, 100)
    found, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry("e1"), entry("e2")], floor
    )
    found, notes = endpoint_snapshot.changed(found, 0, 2, True, [], floor)
    assert len(found.ready()) == 2 and notes[0][0] == "list-past-floor"
    found, _ = endpoint_snapshot.changed(found, 50, 3, True, [entry("e1"), entry("e2")], floor)
    assert (
        endpoint_snapshot.next_due(found) is None
        and len(endpoint_snapshot.passed(found, 10_000)[0].ready()) == 2
    )


def test_a_snapshot_cut_or_spoilt_at_any_octet_is_told_and_a_whole_one_comes_back(tmp_path):
    floor = endpoint_snapshot.Floor()
    found, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry(f"e{n}") for n in range(4)], floor
    )
    found, _ = endpoint_snapshot.changed(
        found, 7, 2, False, [entry("e1", EngineState.DRAINING), entry("e2", EngineState.GONE)], floor
    )
    snapshot_store.save(tmp_path, found)
    back = snapshot_store.load(tmp_path)
    assert back == found._replace(old=True)
    back, _ = endpoint_snapshot.changed(back, 9, 3, False, [entry("e1"), entry("e2")], floor)
    assert sorted(e.name for e in back.ready()) == ["e0", "e3"] and not back.old
    data = snapshot_store.written(found)
    for at in range(len(data)):
        with pytest.raises(snapshot_store.Unreadable):
            snapshot_store.read(data[:at])
        with pytest.raises(snapshot_store.Unreadable):
            snapshot_store.read(data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :])
    assert snapshot_store.load(tmp_path / "none") is None


# What clusters hold


def plain_places(fleet, table, cold=0.3):
    """The rule in few words: down the order, as many as make up three warm ones, three more behind."""
    from hashlib import blake2b

    found, warm, later = [], 0.0, 0
    order = {e: blake2b(f"{e.name}/{table}".encode(), digest_size=8).digest() for e in fleet.ready()}
    for e in sorted(order, key=order.get):
        if warm >= FIRST_ENGINES - 1e-6 or len(found) - later >= FIRST_MOST:
            later += 1
            if later > LATER:
                break
            found.append((e.name, 1))
        else:
            found.append((e.name, 0))
            warm += cold if e.started else 1.0
    return found


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 60),
            st.sampled_from([EngineState.READY] * 3 + [EngineState.DRAINING, EngineState.GONE]),
            st.booleans(),
        ),
        min_size=1,
        max_size=120,
    ),
    st.integers(1, 50),
)
def test_clusters_follow_the_list_as_the_rule_says_however_it_changes(events, batch):
    """Incremental upkeep beside working it out anew, also past MANY changes at once."""
    made, fleet, index = placed(), endpoint_snapshot.Fleet(), 0
    for at in range(0, len(events), batch):
        index += 1
        rows = [entry(f"e{n}", state, 990 if cold else 0) for n, state, cold in events[at : at + batch]]
        fleet, _ = endpoint_snapshot.changed(fleet, 9_900, index, False, rows, endpoint_snapshot.Floor())
        changed, drained = made.list(9_900, fleet)
        assert drained <= changed
        for table in TABLES:
            places = made.cache.get(f"g0/{table}", ())
            assert [(p.name, p.priority) for p in places if p.weight] == plain_places(fleet, table)
            assert all(fleet.engines[p.name].state != EngineState.READY for p in places if not p.weight)


def test_the_order_is_the_dispatcher_s_own():
    made, gateway = placed(), Gateways(site([group()]))
    names = [f"e{n}" for n in range(20)]
    fleet, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, [entry(name) for name in names], endpoint_snapshot.Floor()
    )
    made.list(0, fleet)
    for n, name in enumerate(names):
        gateway.round(EngineUpdated(n, name.encode(), EngineState.READY, 0, 0, 0, 0, 1.0))
    for table in TABLES:
        order = [names[e] for e in gateway.scheduler.order_of(table)]
        assert [p.name for p in made.cache[f"g0/{table}"]] == order[: FIRST_ENGINES + LATER]
    assert Scheduler.order_of  # the same text decides


def test_groups_that_may_use_other_engines_have_clusters_of_their_own():
    deployment = site([group(), group(kinds=frozenset([1])), group(zones=frozenset([1])), group()])
    made = Placement(deployment, ["a", "b", "c", "d"], TABLES, 2, ["old", "new"], ["dc", "far"])
    rows = [entry(f"e{n}", kind=("old", "new")[n % 2], zone=("dc", "far")[n // 2 % 2]) for n in range(16)]
    fleet, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, rows, endpoint_snapshot.Floor()
    )
    made.list(0, fleet)
    assert made.class_of == {"a": "a", "b": "b", "c": "c", "d": "a"}
    for table in TABLES:
        assert all(int(p.name[1:]) % 2 == 1 for p in made.cache[f"b/{table}"])
        assert all(int(p.name[1:]) // 2 % 2 == 1 for p in made.cache[f"c/{table}"])
        assert {int(p.name[1:]) % 2 for p in made.cache[f"a/{table}"]} == {0, 1}


@given(
    st.integers(1, 20),
    st.integers(0, 20 * TICKS_PER_SECOND),
    st.integers(0, 10 * TICKS_PER_SECOND),
    st.integers(0, 5),
)
@settings(max_examples=100, deadline=None)
def test_no_weight_is_above_what_an_engine_has_of_its_cores_by_the_slowest_proxy(count, age, late, seed):
    made, chance = placed(), random.Random(seed)
    now = 100 * TICKS_PER_SECOND
    rows = [entry(f"e{n}", started=(now - age) / 10 if n % 3 == 0 else 0) for n in range(count)]
    fleet, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, rows, endpoint_snapshot.Floor()
    )
    made.lateness, before, updates = late, {}, 0
    made.list(now, fleet)
    for _ in range(60):
        real = Scheduler(1, made.site)
        real.engines.grow(1)
        for table in TABLES:
            for place in made.cache[f"g0/{table}"]:
                started = fleet.engines[place.name].started
                real.now, real.engines.started_at[0] = now - late, started
                assert place.weight <= 800 * real.warmth(0) + 1
                assert place.weight >= before.get((table, place.name), 0)  # weights only rise
                before[table, place.name] = place.weight
        at = made.next_step()
        if at is None:
            break
        assert at > now
        now = at + chance.randrange(100)
        updates += bool(made.step(now)[0])
    assert made.next_step() is None and updates <= WARM_STEPS + 1
    assert all(p.weight == 800 for table in TABLES for p in made.cache[f"g0/{table}"])


def test_a_third_of_the_fleet_cold_gets_no_more_of_any_cluster_than_its_part_over_a_warm_one_s():
    made = placed()
    rows = [entry(f"e{n}", started=100 if n % 3 == 0 else 0) for n in range(30)]
    fleet, _ = endpoint_snapshot.changed(
        endpoint_snapshot.Fleet(), 0, 1, True, rows, endpoint_snapshot.Floor()
    )
    made.list(1_000, fleet)
    for table in TABLES:
        first = [p for p in made.cache[f"g0/{table}"] if not p.priority]
        weights = sum(p.weight for p in first)
        for place in first:
            if int(place.name[1:]) % 3 == 0:
                # What a warm engine is sent of a whole cluster is a third at most: this one 0.3 of that.
                assert place.weight / weights <= 0.3 / FIRST_ENGINES + 1e-3


# Streams


class Proxy:
    """A plain proxy: what it holds, by type. apply() is what an xDS client does."""

    def __init__(self, variant, name):
        self.variant, self.name, self.held = variant, name, [{} for _ in range(4)]
        self.versions, self.whole, self.hub, self.number = [{} for _ in range(4)], [""] * 4, None, None
        self.late = []  # responses that came and are not answered
        self.newest = 0  # index of the newest list that an accepted response followed from

    def connect(self, hub, now):
        self.disconnect(now)
        self.hub, self.number, self.late = hub, hub.opened(now, self.variant), []
        hub.named(self.number, self.name)
        session = hub.sessions[self.number]
        for kind in (CDS, EDS, LDS, RDS):
            names = (
                []
                if kind in (CDS, LDS)
                else sorted(self.held[(CDS, None, None, LDS)[kind] if kind != EDS else CDS])
            )
            if kind == EDS:
                names = [f"g0/{table}" for table in (0, *TABLES)]
            if kind == RDS:
                names = ["g0"]
            if self.variant == SOTW:
                session.asked_sotw(now, kind, self.whole[kind], "", names, None)
            else:
                session.asked_delta(now, kind, "", names, [], self.versions[kind], None)

    def disconnect(self, now):
        if self.hub is not None and self.number in self.hub.sessions:
            self.hub.closed(self.number)
        self.hub = None

    def receive(self, now):
        """Takes what is next into its line; whether there was something."""
        response = self.hub.next(self.number, now)
        if response is None:
            return False
        entries = self.hub.catalog.entries[response.kind]
        self.late.append((response, {name: entries[name] for name in response.names}, self.hub.fleet.index))
        return True

    def answer(self, now, refuse):
        """The oldest that came: applied and acknowledged, or refused."""
        if not self.late:
            return
        response, entries, index = self.late.pop(0)
        kind, session = response.kind, self.hub.sessions[self.number]
        error = "no" if refuse else None
        if not refuse and not response.heartbeat:
            if self.variant == SOTW and kind in (CDS, LDS):
                self.held[kind].clear()
            for name, entry in entries.items():
                self.held[kind][name], self.versions[kind][name] = entry.body, entry.version
            for name in response.removed:
                self.held[kind].pop(name, None)
                self.versions[kind].pop(name, None)
            self.whole[kind] = response.version
            if kind == EDS:
                self.newest = max(self.newest, index)
        names = [f"g0/{table}" for table in (0, *TABLES)] if kind == EDS else ["g0"] if kind == RDS else []
        if self.variant == SOTW:
            session.asked_sotw(now, kind, self.whole[kind], response.nonce, names, error)
        else:
            session.asked_delta(now, kind, response.nonce, [], [], {}, error)

    def sends_to(self):
        return {row[0] for body in self.held[EDS].values() for row in orjson.loads(body) if row[2]}


class Interleavings(RuleBasedStateMachine):
    """Two instances that never speak, lists that come at other times, proxies that move between them."""

    proxies = Bundle("proxies")

    def __init__(self):
        super().__init__()
        self.now, self.events, self.next_engine = TICKS_PER_SECOND, [], 6
        self.hubs, self.heard, self.drained, self.all = [hub(), hub()], [0, 0], {}, []
        self.tell([entry(f"e{n}") for n in range(6)], True)
        self.hear(0, 1)

    def tell(self, rows, whole=False):
        self.events.append((len(self.events) + 1, whole, rows))
        for row in rows:
            if row[2] != EngineState.READY:
                self.drained.setdefault(row[0], len(self.events))

    def hear(self, which, count):
        for event in self.events[self.heard[which] : self.heard[which] + count]:
            self.hubs[which].listed(self.now, *event)
            self.heard[which] += 1

    @rule(target=proxies, variant=st.sampled_from([SOTW, DELTA]), which=st.integers(0, 1))
    def starts(self, variant, which):
        proxy = Proxy(variant, f"p{len(self.all)}")
        self.all.append(proxy)
        proxy.connect(self.hubs[which], self.now)
        return proxy

    @rule(n=st.integers(0, 30), state=st.sampled_from([EngineState.DRAINING, EngineState.GONE]))
    def leaves(self, n, state):
        names = [f"e{k}" for k in range(self.next_engine)]
        self.tell([entry(names[n % len(names)], state)])

    @rule()
    def comes(self):
        self.tell([entry(f"e{self.next_engine}", started=self.now / 10)])
        self.next_engine += 1

    @rule(n=st.integers(0, 30))
    def is_listed_again(self, n):
        """A list that flaps: one that drained is said to be ready."""
        name = f"e{n % self.next_engine}"
        self.events.append((len(self.events) + 1, False, [entry(name)]))

    @rule(which=st.integers(0, 1), count=st.integers(1, 3))
    def reaches(self, which, count):
        self.hear(which, count)

    @rule(time=st.sampled_from([1, 100, 700, TICKS_PER_SECOND, 5 * TICKS_PER_SECOND]))
    def passes(self, time):
        self.now += time
        for one in self.hubs:
            one.tick(self.now)

    @rule(proxy=proxies, count=st.integers(1, 4))
    def receives(self, proxy, count):
        if proxy.hub is not None:
            for _ in range(count):
                proxy.receive(self.now)

    @rule(proxy=proxies, refuse=st.booleans())
    def answers(self, proxy, refuse):
        if proxy.hub is not None:
            proxy.answer(self.now, refuse)

    @rule(proxy=proxies, which=st.integers(0, 1))
    def moves(self, proxy, which):
        proxy.connect(self.hubs[which], self.now)

    @rule(which=st.integers(0, 1))
    def restarts(self, which):
        """From its snapshot, with nothing in mind; the list's stream goes on behind it."""
        old = self.hubs[which]
        for proxy in self.all:
            if proxy.hub is old:
                proxy.disconnect(self.now)
        fresh = hub()
        fresh.restore(self.now, snapshot_store.read(snapshot_store.written(old.fleet)))
        self.hubs[which] = fresh

    @invariant()
    def none_shows_a_drained_engine_again(self):
        for proxy in self.all:
            back = {name for name in proxy.sends_to() if self.drained.get(name, 1e9) <= proxy.newest}
            assert not back, (proxy.name, back, proxy.newest)

    @invariant()
    def instances_with_one_list_tell_one_content(self):
        a, b = self.hubs
        if a.fleet.index == b.fleet.index and a.served and b.served and a.placement.at == b.placement.at:
            for kind in (CDS, EDS, LDS, RDS):
                mine, other = a.catalog.entries[kind], b.catalog.entries[kind]
                same = {n: read_version(e.version)[2] for n, e in mine.items()}
                assert same == {n: read_version(e.version)[2] for n, e in other.items()}

    def teardown(self):
        """In the end everything arrives, and every proxy holds the newest."""
        for which in (0, 1):
            self.hear(which, len(self.events))
        self.now += 60 * TICKS_PER_SECOND
        for one in self.hubs:
            one.tick(self.now)
        # Versions count on what a hub was told: an event more ends what was refused.
        self.tell([entry(f"e{self.next_engine}")])
        for which in (0, 1):
            self.hear(which, 1)
        for proxy in self.all:
            if proxy.hub is None:
                proxy.connect(self.hubs[0], self.now)
            for _ in range(60):
                self.now += 600
                proxy.receive(self.now)
                proxy.answer(self.now, False)
            newest = proxy.hub.catalog.entries
            for kind in (CDS, EDS, LDS, RDS):
                assert proxy.held[kind] == {name: e.body for name, e in newest[kind].items()}, kind
            assert proxy.hub.sessions[proxy.number].status(self.now)["EDS"]["synced"]


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)


def settled(proxy, now, times=30):
    for n in range(times):
        if not proxy.receive(now + 600 * n):
            continue
        proxy.answer(now + 600 * n, False)
    return now + 600 * times


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_a_drain_goes_ahead_of_all_and_past_what_is_out_and_is_told_again_and_named(variant):
    made, proxy = hub(), Proxy(variant, "p")
    made.listed(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settled(proxy, 0)
    made.listed(now, 2, False, [entry("e8")])
    first = made.next(proxy.number, now)
    assert first.kind == EDS and not first.drain  # and it is not acknowledged
    gone = proxy.sends_to().pop()
    made.listed(now, 3, False, [entry(gone, EngineState.DRAINING)])
    found = made.next(proxy.number, now)
    assert found.drain and found.kind == EDS and made.next(proxy.number, now) is None
    session, events = made.sessions[proxy.number], []
    for _ in range(4):
        at = session.next_at(now)
        if at is None:
            break
        now = at
        again = made.next(proxy.number, now)
        events += [event for event, _ in made.told()]
        assert again is None or again.drain and set(found.names) <= set(again.names)
    assert session.counts["told-again"] == 2 and session.counts["late"] == 1
    assert events == ["drain-unacknowledged"] and now < 30 * 600 + 2 * TICKS_PER_SECOND
    # Its word comes at last.
    if variant == SOTW:
        session.asked_sotw(now, EDS, "", again.nonce, [f"g0/{t}" for t in (0, *TABLES)], None)
    else:
        session.asked_delta(now, EDS, again.nonce, [], [], {}, None)
    assert session.kinds[EDS].drain_since is None


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_what_is_refused_stands_apart_with_its_reason_until_there_is_something_else(variant):
    made, proxy = hub(), Proxy(variant, "p")
    made.listed(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settled(proxy, 0)
    held = dict(proxy.held[EDS])
    made.listed(now, 2, False, [entry("e8")])
    assert proxy.receive(now)
    proxy.answer(now, True)
    status = made.sessions[proxy.number].status(now)["EDS"]
    assert status["refused"] == "no" and not status["synced"] and proxy.held[EDS] == held
    for n in range(20):
        assert not proxy.receive(now + 1000 * n)
    made.listed(now + 20_000, 3, False, [entry("e9")])
    settled(proxy, now + 20_000)
    assert made.sessions[proxy.number].status(now)["EDS"]["synced"] and "e9" in proxy.sends_to()


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_a_list_that_flaps_costs_a_slow_proxy_the_newest_state_only(variant):
    made, slow, quick = hub(), Proxy(variant, "slow"), Proxy(variant, "quick")
    made.listed(0, 1, True, [entry(f"e{n}") for n in range(8)])
    for proxy in (slow, quick):
        proxy.connect(made, 0)
    now = max(settled(slow, 0), settled(quick, 0))
    before = made.sessions[slow.number].counts["sent"]
    for n in range(600):  # ten times a second for a minute
        now += 1000
        made.listed(now, 2 + n, False, [entry(f"e{100 + n}")])
        while slow.receive(now):
            pass
        if quick.receive(now):
            quick.answer(now, False)
    assert made.sessions[slow.number].counts["sent"] - before == 1
    assert quick.sends_to() == {p.name for t in (0, *TABLES) for p in made.placement.cache[f"g0/{t}"]}
    while slow.late:
        slow.answer(now, False)
    settled(slow, now)
    assert slow.sends_to() == quick.sends_to()


def test_a_proxy_that_comes_from_a_newer_list_is_sent_nothing_older():
    newer, older, proxy = hub(), hub(), Proxy(DELTA, "p")
    events = [(1, True, [entry(f"e{n}") for n in range(8)]), (2, False, [entry("e3", EngineState.DRAINING)])]
    for event in events:
        newer.listed(0, *event)
    older.listed(0, *events[0])
    proxy.connect(newer, 0)
    now = settled(proxy, 0)
    assert "e3" not in proxy.sends_to()
    proxy.connect(older, now)
    now = settled(proxy, now)
    assert "e3" not in proxy.sends_to() and older.sessions[proxy.number].status(now)["EDS"]["ahead"]
    assert ("proxy-ahead", "EDS", 2, 1) in [
        (event, f.get("type"), f.get("holds"), f.get("index")) for event, f in older.told()
    ]
    older.listed(now, *events[1])
    settled(proxy, now)
    assert "e3" not in proxy.sends_to() and not older.sessions[proxy.number].status(now)["EDS"]["ahead"]


def test_nobody_is_told_an_empty_list_at_the_start():
    made, proxy = hub(), Proxy(SOTW, "p")
    proxy.connect(made, 0)
    now = settled(proxy, 0)
    assert proxy.held[EDS] == {} and proxy.held[CDS] == {} and not made.served
    made.listed(now, 1, True, [entry("e1")])
    settled(proxy, now)
    assert proxy.sends_to() == {"e1"}


def test_endpoints_with_a_time_to_live_are_named_again_ahead_of_its_end():
    made, proxy = hub(ttl=3 * TICKS_PER_SECOND), Proxy(DELTA, "p")
    made.listed(0, 1, True, [entry("e1")])
    proxy.connect(made, 0)
    now = settled(proxy, 0)
    beats, last = [], now
    while now < 30 * TICKS_PER_SECOND:
        now = made.sessions[proxy.number].next_at(now) or now + TICKS_PER_SECOND
        response = made.next(proxy.number, now)
        if response is not None:
            assert response.heartbeat and now - last <= 3 * TICKS_PER_SECOND // 2
            beats.append(response)
            last = now
    assert 20 < len(beats) < 40 and all(len(b.names) == 1 + len(TABLES) for b in beats)


def test_what_is_gone_goes_once_the_routes_without_it_are_settled():
    made, proxy = hub(), Proxy(DELTA, "p")
    made.listed(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settled(proxy, 0)
    fewer = Placement(made.placement.site, ["g0"], TABLES[:2], 2, ["old", "new"], ["dc", "far"])

    class Other(Plain):
        def settled(self, placement):
            return super().settled(placement) | {RDS: {"g0": b"other routes"}}

    made.settle(now, fewer, Other())
    order = []
    for _ in range(40):
        now += 600
        made.tick(now)
        response = made.next(proxy.number, now)
        if response is not None:
            order.append((response.kind, response.removed))
            entries = made.catalog.entries[response.kind]
            proxy.late.append((response, {n: entries[n] for n in response.names}, 1))
            proxy.answer(now, False)
    kinds = [kind for kind, _ in order]
    gone = next(n for n, (kind, removed) in enumerate(order) if kind == CDS and removed)
    assert order[gone][1] == ("g0/3",) and kinds.index(RDS) < gone
    assert set(proxy.held[CDS]) == {"g0/0", "g0/1", "g0/2"} and made.retiring is None


def test_who_may_have_what_and_how_many_streams():
    rules = Nodes((("edge-*", ("g0",)), ("ops", None)), streams_most=3, a_node_most=1)
    made = Hub(placed([group(), group(kinds=frozenset([1]))]), Plain(), 2 * TICKS_PER_SECOND, rules)
    made.listed(0, 1, True, [entry(f"e{n}", kind=("old", "new")[n % 2]) for n in range(8)])
    edge, ops = Proxy(DELTA, "edge-7"), Proxy(DELTA, "ops")
    for proxy in (edge, ops):
        proxy.connect(made, 0)
        settled(proxy, 0)
    assert set(edge.held[LDS]) == {"g0"} and set(ops.held[LDS]) == {"g0", "g1"}
    assert all(name.startswith("g0/") for name in edge.held[CDS])
    with pytest.raises(Refused, match="too many streams"):
        Proxy(SOTW, "edge-7").connect(made, 0)
    for number in [n for n, s in made.sessions.items() if s.node is None]:
        made.closed(number)
    with pytest.raises(Refused, match="not known"):
        Proxy(SOTW, "stranger").connect(made, 0)


def test_a_mad_proxy_is_ended_and_its_tables_stay_bounded():
    made = hub()
    made.listed(0, 1, True, [entry("e1")])
    session = made.sessions[made.opened(0, SOTW)]
    with pytest.raises(Broken, match="too many requests"):
        for n in range(ASKS_MOST + 1):
            session.asked_sotw(n // 1000, EDS, "", "stale", [f"x{n}"], "refused" * 1000)
    session = made.sessions[made.opened(0, DELTA)]
    with pytest.raises(Broken, match="too many resource"):
        session.asked_delta(0, EDS, "", [f"x{n}" for n in range(20_000)], [], {}, None)
    with pytest.raises(Broken, match="too long"):
        session.asked_delta(0, EDS, "", ["x" * 600], [], {}, None)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([CDS, EDS, LDS, RDS]),
            st.text(max_size=8),
            st.text(max_size=8),
            st.lists(st.sampled_from(["*", "g0", "g0/1", "g0/2", "zz"]), max_size=4),
            st.sampled_from([None, "no"]),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_whatever_is_asked_is_answered_or_ended(asks):
    made = hub()
    made.listed(0, 1, True, [entry(f"e{n}") for n in range(5)])
    numbers, now = [made.opened(0, SOTW), made.opened(0, DELTA)], 0
    for kind, version, nonce, names, error, delta in asks:
        now += 300
        session = made.sessions[numbers[delta]]
        if delta:
            session.asked_delta(now, kind, nonce, names, names[:1], {name: version for name in names}, error)
        else:
            session.asked_sotw(now, kind, version, nonce, names, error)
        for _ in range(20):
            if made.next(session.number, now) is None:
                break
        else:
            raise AssertionError("it never has enough")
        assert (session.next_at(now) or now + 1) > now
