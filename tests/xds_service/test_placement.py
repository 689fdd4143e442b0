"""Which endpoints a cluster holds and with what weight, beside a plain model of the rule."""

import random

from bench_free import Gateways, group, site
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.events import EngineState, EngineUpdated
from wickvane.scheduling.placement import FIRST_ENGINES
from wickvane.scheduling.scheduler import Scheduler
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds.endpoint_snapshot import (
    EndpointSnapshot,
    RemovalLimit,
    apply_event,
)
from wickvane.xds.placement import (
    MAX_BACKUP_ENDPOINTS,
    MAX_FIRST_ENDPOINTS,
    SLOW_START_STEPS,
    Placement,
)
from xds_service.plain_proxy import (
    TABLES,
    build_placement,
    entry,
)


def plain_places(snapshot, table, cold=0.3):
    """The rule in few words: down the order, as many as make up three warm ones, three more behind."""
    from hashlib import blake2b

    found, warm, later = [], 0.0, 0
    order = {e: blake2b(f"{e.name}/{table}".encode(), digest_size=8).digest() for e in snapshot.ready()}
    for e in sorted(order, key=order.get):
        if warm >= FIRST_ENGINES - 1e-6 or len(found) - later >= MAX_FIRST_ENDPOINTS:
            later += 1
            if later > MAX_BACKUP_ENDPOINTS:
                break
            found.append((e.name, 1))
        else:
            found.append((e.name, 0))
            warm += cold if e.started_at else 1.0
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
def test_clusters_follow_the_endpoint_list_however_it_changes(events, batch):
    """Incremental upkeep beside working it out anew, also past FULL_UPDATE_THRESHOLD changes at once."""
    placement, snapshot, index = build_placement(), EndpointSnapshot(), 0
    for at in range(0, len(events), batch):
        index += 1
        rows = [entry(f"e{n}", state, 990 if cold else 0) for n, state, cold in events[at : at + batch]]
        snapshot, _ = apply_event(snapshot, 9_900, index, False, rows, RemovalLimit())
        changed, drained = placement.update(9_900, snapshot)
        assert drained <= changed
        for table in TABLES:
            places = placement.clusters.get(f"g0/{table}", ())
            assert [(p.name, p.priority) for p in places if p.weight] == plain_places(snapshot, table)
            assert all(snapshot.endpoints[p.name].state != EngineState.READY for p in places if not p.weight)


def test_order_is_the_dispatchers_hash_order():
    placement, gateway = build_placement(), Gateways(site([group()]))
    names = [f"e{n}" for n in range(20)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(name) for name in names], RemovalLimit())
    placement.update(0, snapshot)
    for n, name in enumerate(names):
        gateway.round(EngineUpdated(n, name.encode(), EngineState.READY, 0, 0, 0, 0, 1.0))
    for table in TABLES:
        order = [names[e] for e in gateway.scheduler.placement.order_of(table)]
        assert [p.name for p in placement.clusters[f"g0/{table}"]] == order[
            : FIRST_ENGINES + MAX_BACKUP_ENDPOINTS
        ]
    assert type(gateway.scheduler.placement).order_of  # the same text decides


def test_resource_groups_with_other_engines_have_clusters_of_their_own():
    deployment = site([group(), group(kinds=frozenset([1])), group(zones=frozenset([1])), group()])
    placement = Placement(deployment, ["a", "b", "c", "d"], TABLES, 2, ["old", "new"], ["dc", "far"])
    rows = [entry(f"e{n}", kind=("old", "new")[n % 2], zone=("dc", "far")[n // 2 % 2]) for n in range(16)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, rows, RemovalLimit())
    placement.update(0, snapshot)
    assert placement.class_of == {"a": "a", "b": "b", "c": "c", "d": "a"}
    for table in TABLES:
        assert all(int(p.name[1:]) % 2 == 1 for p in placement.clusters[f"b/{table}"])
        assert all(int(p.name[1:]) // 2 % 2 == 1 for p in placement.clusters[f"c/{table}"])
        assert {int(p.name[1:]) % 2 for p in placement.clusters[f"a/{table}"]} == {0, 1}


@given(
    st.integers(1, 20),
    st.integers(0, 20 * TICKS_PER_SECOND),
    st.integers(0, 10 * TICKS_PER_SECOND),
    st.integers(0, 5),
)
@settings(max_examples=100, deadline=None)
def test_weights_never_exceed_slow_start_by_the_slowest_proxy(count, age, late, seed):
    placement, chance = build_placement(), random.Random(seed)
    now = 100 * TICKS_PER_SECOND
    rows = [entry(f"e{n}", started=(now - age) / 10 if n % 3 == 0 else 0) for n in range(count)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, rows, RemovalLimit())
    placement.ack_latency, before, updates = late, {}, 0
    placement.update(now, snapshot)
    for _ in range(60):
        real = Scheduler(1, placement.deployment)
        real.engines.grow(1)
        for table in TABLES:
            for place in placement.clusters[f"g0/{table}"]:
                started = snapshot.endpoints[place.name].started_at
                real.engines.started_at[0] = started
                assert place.weight <= 800 * real.slow_start.capacity_fraction(0, now - late) + 1
                assert place.weight >= before.get((table, place.name), 0)  # weights only rise
                before[table, place.name] = place.weight
        at = placement.next_step()
        if at is None:
            break
        assert at > now
        now = at + chance.randrange(100)
        updates += bool(placement.step(now)[0])
    assert placement.next_step() is None and updates <= SLOW_START_STEPS + 1
    assert all(p.weight == 800 for table in TABLES for p in placement.clusters[f"g0/{table}"])


def test_endpoints_in_slow_start_get_no_more_than_their_part_of_a_cluster():
    placement = build_placement()
    rows = [entry(f"e{n}", started=100 if n % 3 == 0 else 0) for n in range(30)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, rows, RemovalLimit())
    placement.update(1_000, snapshot)
    for table in TABLES:
        first = [p for p in placement.clusters[f"g0/{table}"] if not p.priority]
        weights = sum(p.weight for p in first)
        for place in first:
            if int(place.name[1:]) % 3 == 0:
                # What a warm engine is sent of a whole cluster is a third at most: this one 0.3 of that.
                assert place.weight / weights <= 0.3 / FIRST_ENGINES + 1e-3
