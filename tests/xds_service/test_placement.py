"""The endpoints of a cluster and their weights, compared with a simple model of the rule."""

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
from xds_service.in_memory_proxy import (
    TABLES,
    build_placement,
    entry,
)


def expected_endpoints(snapshot, table, cold=0.3):
    """A direct implementation of the rule.

    In the hash order, endpoints have priority 0 until their capacity fractions add up to FIRST_ENGINES; the
    next MAX_BACKUP_ENDPOINTS have priority 1.
    """
    from hashlib import blake2b

    placed, capacity_sum, backup_count = [], 0.0, 0
    order = {e: blake2b(f"{e.name}/{table}".encode(), digest_size=8).digest() for e in snapshot.ready()}
    for e in sorted(order, key=order.get):
        if capacity_sum >= FIRST_ENGINES - 1e-6 or len(placed) - backup_count >= MAX_FIRST_ENDPOINTS:
            backup_count += 1
            if backup_count > MAX_BACKUP_ENDPOINTS:
                break
            placed.append((e.name, 1))
        else:
            placed.append((e.name, 0))
            capacity_sum += cold if e.started_at else 1.0
    return placed


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
def test_incremental_updates_match_a_full_computation(events, batch):
    """Changes are applied in batches, some of them larger than FULL_UPDATE_THRESHOLD."""
    placement, snapshot, index = build_placement(), EndpointSnapshot(), 0
    for start in range(0, len(events), batch):
        index += 1
        rows = [entry(f"e{n}", state, 990 if cold else 0) for n, state, cold in events[start : start + batch]]
        snapshot, _ = apply_event(snapshot, 9_900, index, False, rows, RemovalLimit())
        changed, drained = placement.update(9_900, snapshot)
        assert drained <= changed
        for table in TABLES:
            placed = placement.clusters.get(f"g0/{table}", ())
            assert [(p.name, p.priority) for p in placed if p.weight] == expected_endpoints(snapshot, table)
            assert all(snapshot.endpoints[p.name].state != EngineState.READY for p in placed if not p.weight)


def test_cluster_order_is_the_hash_order_of_dispatchers():
    placement, dispatcher = build_placement(), Gateways(site([group()]))
    names = [f"e{n}" for n in range(20)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(name) for name in names], RemovalLimit())
    placement.update(0, snapshot)
    for n, name in enumerate(names):
        dispatcher.round(EngineUpdated(n, name.encode(), EngineState.READY, 0, 0, 0, 0, 1.0))
    for table in TABLES:
        order = [names[e] for e in dispatcher.scheduler.placement.order_of(table)]
        assert [p.name for p in placement.clusters[f"g0/{table}"]] == order[
            : FIRST_ENGINES + MAX_BACKUP_ENDPOINTS
        ]
    assert type(dispatcher.scheduler.placement).order_of  # the order is computed by the scheduler


def test_resource_groups_with_different_engines_have_separate_clusters():
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
def test_weights_never_exceed_slow_start_as_seen_by_the_slowest_proxy(count, age, ack_latency, seed):
    placement, rng = build_placement(), random.Random(seed)
    now = 100 * TICKS_PER_SECOND
    rows = [entry(f"e{n}", started=(now - age) / 10 if n % 3 == 0 else 0) for n in range(count)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, rows, RemovalLimit())
    placement.ack_latency, before, updates = ack_latency, {}, 0
    placement.update(now, snapshot)
    for _ in range(60):
        scheduler = Scheduler(1, placement.deployment)
        scheduler.engines.grow(1)
        for table in TABLES:
            for placed in placement.clusters[f"g0/{table}"]:
                started = snapshot.endpoints[placed.name].started_at
                scheduler.engines.started_at[0] = started
                assert placed.weight <= 800 * scheduler.slow_start.capacity_fraction(0, now - ack_latency) + 1
                assert placed.weight >= before.get((table, placed.name), 0)  # weights only rise
                before[table, placed.name] = placed.weight
        next_time = placement.next_slow_start_time()
        if next_time is None:
            break
        assert next_time > now
        now = next_time + rng.randrange(100)
        updates += bool(placement.advance_slow_start(now)[0])
    assert placement.next_slow_start_time() is None and updates <= SLOW_START_STEPS + 1
    assert all(p.weight == 800 for table in TABLES for p in placement.clusters[f"g0/{table}"])


def test_endpoints_in_slow_start_do_not_exceed_their_fraction_of_a_cluster():
    placement = build_placement()
    rows = [entry(f"e{n}", started=100 if n % 3 == 0 else 0) for n in range(30)]
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, rows, RemovalLimit())
    placement.update(1_000, snapshot)
    for table in TABLES:
        first = [p for p in placement.clusters[f"g0/{table}"] if not p.priority]
        weights = sum(p.weight for p in first)
        for placed in first:
            if int(placed.name[1:]) % 3 == 0:
                # A warm engine gets at most a third of a cluster's requests, this engine at most 0.3 of that.
                assert placed.weight / weights <= 0.3 / FIRST_ENGINES + 1e-3
