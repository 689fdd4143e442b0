"""Compares the flow accounts with a reference model: no traffic is lost or counted twice.

Flows are split into parts and folded into aggregates in the course of the tests."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.events import EngineState
from wickvane.flows import flow_accounts as a

LOCAL = bytes([127, 0, 0, 1])


def opened(accounts, n=0, engine="", side=None):
    side = side or (a.ENGINE if engine else a.CLIENT)
    return accounts.opened(side, (LOCAL, 1000 + n), (LOCAL, 5432), engine)


def collect_all(accounts, now, **options):
    found = []
    while True:
        records = accounts.collect(now, 7, **options)
        found.extend(records)
        if len(records) < 7:
            return found


def test_a_flow_that_spans_a_drain_keeps_its_id_and_records_the_state_at_both_ends():
    accounts = a.Accounts(1, 100, 1000, 100_000)
    accounts.engine_state("e0", EngineState.READY)
    connection = opened(accounts, engine="e0")
    accounts.count(connection, (0, 0), 100, a.FORWARD, 50, 1, a.FIRST)
    first = collect_all(accounts, 1100)
    accounts.engine_state("e0", EngineState.DRAINING)
    accounts.count(connection, (0, 0), 1200, a.REVERSE, 70, 1)
    second = collect_all(accounts, 2300)
    accounts.engine_state("e0", EngineState.GONE)
    accounts.closed(connection, 2400)
    last = collect_all(accounts, 2500)
    (one,), (two,), (three,) = first, second, last
    assert one.id == two.id == three.id and (one.part, two.part, three.part) == (0, 1, 2)
    assert (one.state, one.state_at_end, two.state_at_end, three.state_at_end) == (
        a.READY,
        a.READY,
        a.DRAINING,
        a.GONE,
    )
    assert two.state == three.state == a.READY
    assert [r.counts[:2] for r in (one, two, three)] == [[50, 0], [0, 70], [0, 0]]
    assert [r.reason for r in (one, two, three)] == [a.ACTIVE, a.ACTIVE, a.ENDED]
    assert one.ended_at <= two.started_at <= two.ended_at <= three.started_at <= three.ended_at
    assert [r.flows for r in (one, two, three)] == [1, 0, 0]
    assert not accounts.engines  # an engine that is gone is removed with its last connection


def test_an_address_taken_over_by_a_new_engine_does_not_affect_the_old_engines_flow():
    accounts = a.Accounts(1, 100, 100_000, 100_000)
    accounts.engine_state("old", EngineState.READY)
    old = opened(accounts, engine="old")
    accounts.count(old, (0, 0), 1, a.FORWARD, 10, 1)
    accounts.engine_state("old", EngineState.GONE)
    accounts.engine_state("new", EngineState.READY)
    new = opened(accounts, engine="new")
    accounts.count(new, (0, 0), 2, a.FORWARD, 20, 1)
    accounts.count(old, (0, 0), 3, a.REVERSE, 5, 1)
    for connection in (old, new):
        accounts.closed(connection, 4)
    records_by_engine = {record.connection.engine: record for record in collect_all(accounts, 5)}
    assert records_by_engine["old"].counts[:2] == [10, 5] and records_by_engine["new"].counts[:2] == [20, 0]
    assert (records_by_engine["old"].state_at_end, records_by_engine["new"].state_at_end) == (a.GONE, a.READY)
    assert records_by_engine["old"].id != records_by_engine["new"].id


def test_three_hundred_reconnections_from_reused_ports_with_a_smaller_table():
    accounts = a.Accounts(1, 64, 100_000, 100_000)
    records = []
    for n in range(300):
        connection = opened(accounts, n % 5)
        accounts.count(connection, a.NOBODY, n * 33, a.FORWARD, 30, 1)
        accounts.count(connection, (0, 0), n * 33, a.FORWARD, 100 + n, 1)
        accounts.count(connection, (0, 0), n * 33, a.REVERSE, 500, 3, a.FINISHED)
        accounts.closed(connection, n * 33 + 1)
        if n % 100 == 99:
            assert accounts.held_flows <= 64
            records += collect_all(accounts, n * 33 + 2)
    records += collect_all(accounts, 50_000, is_final=True)
    assert sum(record.flows for record in records) == 600 == accounts.flows_begun
    assert accounts.flows_folded == 600 - 3 * 64
    assert sum(record.counts[0] for record in records) == sum(130 + n for n in range(300))
    assert sum(record.counts[1] for record in records) == 150_000
    assert sum(record.counts[a.FINISHED] for record in records) == 300
    folded = [record for record in records if record.reason == a.RESOURCES]
    assert {record.key for record in folded} == {(-1, -1), (0, -1)} and all(r.flows for r in folded)
    assert len({(record.id, record.part) for record in records}) == len(records)


def test_a_clock_that_steps_back_neither_ends_a_flow_before_its_start_nor_stops_the_time_outs():
    accounts = a.Accounts(1, 10, 1000, 2000)
    connection = opened(accounts)
    accounts.count(connection, (0, 0), 50_000, a.FORWARD, 1, 1)
    accounts.count(connection, (0, 0), 10_000, a.FORWARD, 1, 1)
    late = opened(accounts, 1)
    accounts.count(late, (0, 0), 20_000, a.FORWARD, 1, 1)
    found = collect_all(accounts, 53_000)
    assert sum(r.counts[0] for r in found) == 3 and all(r.started_at <= r.ended_at for r in found)


def test_an_idle_flow_is_recorded_once_and_later_traffic_is_a_new_flow():
    accounts = a.Accounts(1, 10, 100_000, 1000)
    connection = opened(accounts)
    accounts.count(connection, (0, 0), 10, a.FORWARD, 5, 1)
    (first,) = collect_all(accounts, 1010)
    assert first.reason == a.IDLE and not collect_all(accounts, 5000)
    accounts.count(connection, (0, 0), 6000, a.FORWARD, 6, 1)
    accounts.closed(connection, 6001)
    (second,) = collect_all(accounts, 6001)
    assert second.id != first.id and second.counts[0] == 6


def test_engines_above_the_maximum_of_aggregates_are_folded_together():
    accounts = a.Accounts(1, 0, 100_000, 100_000)
    for n in range(a.MAX_AGGREGATES + 50):
        connection = opened(accounts, engine=f"e{n}")
        accounts.count(connection, (0, 0), n, a.FORWARD, 1, 1)
        accounts.closed(connection, n)
    assert len(accounts.aggregates) <= a.MAX_AGGREGATES + 1 and not accounts.engines
    records = collect_all(accounts, 99, is_final=True)
    assert sum(r.counts[0] for r in records) == a.MAX_AGGREGATES + 50 == sum(r.flows for r in records)


class ReferenceModel:
    """Applies the same rules without a table, a heap or an aggregate: a list of all traffic."""

    def __init__(self):
        self.moved, self.begun, self.open = [], 0, {}

    def count(self, connection, key, direction, octets, messages, what):
        self.moved.append((connection.side, key, connection.engine, direction, octets, messages, what))


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(0, 12), st.integers(50, 400), st.integers(20, 400))
def test_all_traffic_is_recorded_once_by_group_and_side(seed, max_flows, active, idle):
    chance, accounts, model = Random(seed), a.Accounts(7, max_flows, active, idle), ReferenceModel()
    now, connections, records = 1000, [], []
    engines = ["", "e0", "e1"]
    for n in range(200):
        now += chance.choice((0, 1, 5, 40, 300, -20))
        step = chance.random()
        if step < 0.2 or not connections:
            connections.append(opened(accounts, n, chance.choice(engines)))
        elif step < 0.3:
            accounts.closed(connections.pop(chance.randrange(len(connections))), now, chance.random() < 0.5)
        elif step < 0.4:
            accounts.engine_state(chance.choice(engines[1:]), chance.randrange(3))
        elif step < 0.6:
            records += accounts.collect(now, chance.randrange(1, 9))
            assert accounts.held_flows <= max(max_flows, 0) and accounts.held_flows == len(
                accounts.open_flows
            ) + len(accounts.ended)
        else:
            connection = chance.choice(connections)
            moved = (
                chance.choice((a.NOBODY, (0, 0), (0, 1), (1, 0))),
                chance.randrange(2),
                chance.randrange(1000),
                1,
                chance.choice((0, a.FINISHED, a.LEFT, a.FIRST)),
            )
            model.count(connection, *moved)
            accounts.count(connection, moved[0], now, *moved[1:])
    records += collect_all(accounts, now, is_final=True)
    for side in (a.CLIENT, a.ENGINE):
        for group in (-1, 0, 1):
            matching = [r for r in records if r.connection.side == side and r.key[0] == group]
            moved = [m for m in model.moved if m[0] == side and m[1][0] == group]
            for direction in (a.FORWARD, a.REVERSE):
                assert sum(r.counts[direction] for r in matching) == sum(
                    m[4] for m in moved if m[3] == direction
                )
                assert sum(r.counts[2 + direction] for r in matching) == sum(
                    m[5] for m in moved if m[3] == direction
                )
            for what in (a.FINISHED, a.LEFT, a.FIRST):
                assert sum(r.counts[what] for r in matching) == sum(1 for m in moved if m[6] == what)
    assert sum(r.flows for r in records) == accounts.flows_begun
    assert len({(r.id, r.part) for r in records}) == len(records)
    spans = {}
    for record in sorted(records, key=lambda r: (r.id, r.part)):
        assert record.started_at <= record.ended_at
        assert record.started_at >= spans.get(record.id, 0), "parts of one flow overlap"
        spans[record.id] = record.ended_at
    if not max_flows:
        assert all(r.reason == a.RESOURCES for r in records)


@pytest.mark.parametrize("max_flows", [1, 50])
def test_the_heap_of_time_outs_is_bounded_by_the_table(max_flows):
    accounts = a.Accounts(1, max_flows, 1_000_000, 1_000_000)
    for n in range(5000):
        connection = opened(accounts, n)
        accounts.count(connection, (0, 0), n, a.FORWARD, 1, 1)
        accounts.closed(connection, n)
        if n % 10 == 9:
            accounts.collect(n)
    assert len(accounts.timeouts) <= 2 * max_flows + 1026
