"""Tests of queries and results of TDS clients that use an unmodified driver."""

import struct
import time
from threading import Thread

import pytest
from bench_free import Client, Engine, rows, sqlstate, statement, until
from standins.tds_engine import TdsEngine, result
from test_flow_export import document

from tds.helpers import Dispatcher, ask, error_number
from wickvane.net.tds import errors


def test_an_unmodified_driver_queries_a_tds_engine_and_a_line_protocol_engine():
    tds, line = TdsEngine(lambda query: result((1, "é"), (2, None))), Engine()
    dispatcher = Dispatcher(tds)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT n, name FROM sales_17.orders") == [(1, "é"), (2, None)]
        query = tds.next("BATCH")
        assert query.text == "SELECT n, name FROM sales_17.orders" and query.group == "lookup"
        assert 0 < query.budget <= 5000
        assert ask(client, "SELECT n FROM sales_17.orders WHERE a=%s AND b=%s AND c=%s", "it's", 5, None)
        assert tds.next("BATCH").text.endswith("a=N'it''s' AND b=5 AND c=NULL")
        with client.cursor() as cursor:
            assert cursor.execute_scalar("SELECT @@VERSION").startswith("Microsoft SQL Server")
    with Dispatcher(line, extra_nodes="lines-take-tds #true").connect() as client:
        assert ask(client, "SELECT 1 FROM sales_17.orders") == [("a", "b", "c")]


def test_the_fields_of_a_statement_override_the_login_s_rule():
    engine = TdsEngine()
    with Dispatcher(engine).connect() as client:
        ask(client, statement(n=77, verb="load", unique="tok", item="k"))
    query = engine.next("BATCH")
    assert (query.id, query.group, query.fields["uniq"]) == (f"{77:016x}", "load", "tok")
    with Dispatcher(engine, rules="").connect() as client:
        assert error_number(ask, client, "SELECT 1 FROM sales_17.orders") == errors.UNUSABLE
        assert ask(client, statement(n=78))


def test_work_and_memory_come_from_the_engine_s_report_and_sessions_are_reset():
    engine = TdsEngine(lambda query: result((1, "a"), work=250.0, memory=77))
    dispatcher = Dispatcher(engine)
    scheduler = dispatcher.service.decider.scheduler
    with dispatcher.connect() as client:
        ask(client, "SELECT 1 FROM sales_17.orders")
        ask(client, "SELECT 2 FROM sales_17.orders")
    assert (
        scheduler.estimates.mean_cost[3] == pytest.approx(2500, rel=0.01)
        and scheduler.estimates.mean_cost[0] == 0.0
    )
    first, second = engine.next("BATCH"), engine.next("BATCH")
    assert first.conn is second.conn and not first.reset and second.reset


def test_transactions_are_acknowledged_but_a_change_cannot_be_rolled_back():
    engine = TdsEngine()
    with Dispatcher(engine).connect(autocommit=False) as client:
        ask(client, "SELECT 1 FROM sales_17.orders")
        client.commit()
        client.rollback()
        ask(client, statement("UPDATE sales_17.orders SET a=1", verb="change", n=5))
        assert error_number(client.rollback) == errors.NO_ROLLBACK


def test_queries_of_each_protocol_use_the_engine_types_that_the_document_allows():
    tds, line = TdsEngine(), Engine()
    for extra_nodes, engine_nodes, postgres_targets, tds_targets in (
        ("", 'user "w"', {"line"}, {"tds"}),
        ("lines-take-tds #true", 'user "w"; takes-postgres #true', {"line", "tds"}, {"line", "tds"}),
    ):
        dispatcher = Dispatcher(tds, line, extra_nodes=extra_nodes, engine_nodes=engine_nodes)
        engines_used = {"postgres": set(), "tds": set()}
        with dispatcher.connect() as client:
            postgres_client = Client(dispatcher)
            for n in range(1, 41):
                for client_protocol in engines_used:
                    if client_protocol == "tds":
                        ask(client, statement(f"SELECT 1 FROM sales_{n}.t", n=n))
                    else:
                        assert rows(postgres_client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=1000 + n)))
                    target = "tds" if not tds.came.empty() and tds.next("BATCH") else "line"
                    engines_used[client_protocol].add(target)
                    while not line.came.empty():
                        line.came.get()
        assert engines_used["postgres"] == postgres_targets and engines_used["tds"] == tds_targets


def test_a_postgres_client_reads_a_tds_engine_s_rows_as_text():
    engine = TdsEngine(lambda query: result((1, "é"), (None, None)))
    client = Client(Dispatcher(engine, engine_nodes='user "w"; takes-postgres #true'))
    got = client.ask(statement(n=1))
    assert got[0][0] == b"T" and b"name\0" in got[0][1] and got[-2] == (b"C", b"SELECT 2\0")
    assert got[1][1] == struct.pack("!HI", 2, 1) + b"1" + struct.pack("!I", 2) + "é".encode()
    assert got[2][1] == struct.pack("!H", 2) + b"\xff" * 8


def test_queries_with_equal_keys_from_both_protocols_run_in_order_of_arrival():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine, engine_nodes='user "w"; takes-postgres #true')
    threads = []
    postgres = Client(dispatcher)
    clients = [dispatcher.connect() for _ in range(2)]
    for n in range(3):
        text = statement(
            f"INSERT INTO sales_3.t VALUES ({n})",
            verb="load",
            n=n + 1,
            unique=f"t{n}",
            item="k",
            cpu=3000,
            limit=20_000,
        )
        if n == 1:
            postgres.send(text)
        else:
            thread = Thread(target=ask, args=(clients[n // 2], text), daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(0.08)
    for n in range(3):
        query = engine.next("BATCH")
        assert int(query.id, 16) == n + 1 and engine.came.empty()
        time.sleep(0.05)
        assert engine.came.empty(), "a query was sent while an earlier one with the same key was in flight"
        query.answer(result((1, "a")))
    assert sqlstate(postgres.until_ready()) is None
    for thread in threads:
        thread.join(10)


def test_flow_export_includes_tds_connections():
    from standins.collector import Collector
    from test_flow_export import agrees

    collector = Collector()
    dispatcher = Dispatcher(TdsEngine(), flows=document(("a", f'address "{collector.address}"')))
    with dispatcher.connect() as client:
        for n in range(5):
            ask(client, f"SELECT {n} FROM sales_1.t")
    until(lambda: dispatcher.service.counters.shown().get("client-connections-ended-client-closed"))
    dispatcher.service.stop()
    collected = collector.until(lambda c: c.total("engine", "submissionsFirst") == 5)
    agrees(collected, dispatcher.service.counters.shown())
    assert {r["resourceGroup"] for r in collected.kept} == {"", "lookup"}
