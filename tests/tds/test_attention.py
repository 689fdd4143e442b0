"""ATTENTION: queries that are cancelled by their client, and clients that leave."""

import time

from bench_free import reset, statement, until
from standins.tds_engine import TdsEngine, result

from tds.helpers import Dispatcher, RawClient
from wickvane.net.tds import packets, tokens


def test_a_client_s_attention_is_acknowledged_and_gives_the_engine_s_query_up():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    client.send(packets.ATTENTION, b"")
    ((token, said),) = client.tokens()
    assert token == tokens.DONE and said[0] & tokens.DONE_ATTN
    engine.next("ATTENTION")
    engine.answers = lambda query: result((3, "c"))
    # The connection was acknowledged in time, so it is used again, once that has been read.
    for _ in range(100):
        client.batch("SELECT 2 FROM sales_1.t")
        assert any(token == tokens.ROW for token, _ in client.tokens())
        if engine.next("BATCH").conn is engine.connections[0]:
            return
        time.sleep(0.02)
    raise AssertionError("never used again")


def test_nothing_begins_for_a_query_whose_attention_came_while_it_waited_for_its_key():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    clients = [RawClient(dispatcher.port) for _ in range(3)]
    for n, client in enumerate(clients, 1):
        keyed = dict(verb="load", item="k", unique=f"t{n}", cpu=3000, limit=20_000)
        client.batch(statement("INSERT INTO sales_3.t VALUES (1)", n=n, **keyed))
        until(lambda n=n: dispatcher.service.counters.shown().get("taken") == n)
    first = engine.next("BATCH")
    clients[1].send(packets.ATTENTION, b"")
    ((token, said),) = clients[1].tokens()
    assert token == tokens.DONE and said[0] & tokens.DONE_ATTN
    first.answer(result((1, "a")))
    assert int(engine.next("BATCH").id, 16) == 3
    assert dispatcher.service.counters.shown()["left"] == 1


def test_an_attention_that_crosses_the_last_row_is_acknowledged_too():
    dispatcher = Dispatcher(TdsEngine())
    client = RawClient(dispatcher.port)
    for _ in range(20):
        client.batch("SELECT 1 FROM sales_1.t")
        client.send(packets.ATTENTION, b"")
        seen = client.tokens()
        if not (seen[-1][1][0] & tokens.DONE_ATTN):
            seen = client.tokens()
        assert seen[-1][0] == tokens.DONE and seen[-1][1][0] & tokens.DONE_ATTN


def test_an_attention_that_the_engine_never_acknowledges_ends_the_connection_and_is_counted_until_then():
    engine = TdsEngine(lambda query: None)
    engine.acknowledges = False
    dispatcher = Dispatcher(engine, more='attention-time "700ms"')
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    client.send(packets.ATTENTION, b"")
    client.tokens()
    engine.next("ATTENTION")
    scheduler = dispatcher.service.decider.scheduler
    assert sum(scheduler.engines.in_flight) == 1  # its work goes on, as far as anybody knows
    until(lambda: dispatcher.service.counters.shown().get("engine-connections-ended-attention-unanswered"))
    until(lambda: sum(scheduler.engines.in_flight) == 0)


def test_a_client_that_drops_midway_leaves_no_query_behind():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    reset(client.sock)
    engine.next("ATTENTION")
    until(lambda: dispatcher.service.counters.shown().get("left") == 1)
