"""Tests of ATTENTION: queries cancelled by their client, and clients that disconnect."""

import time

from bench_free import reset, statement, until
from standins.tds_engine import TdsEngine, result

from tds.helpers import Dispatcher, RawClient
from wickvane.net.tds import packets, tokens


def test_a_client_s_attention_is_acknowledged_and_cancels_the_engine_s_batch():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    client.send(packets.ATTENTION, b"")
    ((token, content),) = client.tokens()
    assert token == tokens.DONE and content[0] & tokens.DONE_ATTN
    engine.next("ATTENTION")
    engine.answers = lambda query: result((3, "c"))
    # The engine acknowledged in time, so that its connection is reused once the acknowledgement is read.
    for _ in range(100):
        client.batch("SELECT 2 FROM sales_1.t")
        assert any(token == tokens.ROW for token, _ in client.tokens())
        if engine.next("BATCH").conn is engine.connections[0]:
            return
        time.sleep(0.02)
    raise AssertionError("the engine connection was not reused")


def test_a_query_cancelled_while_it_waits_for_its_key_is_never_sent():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    clients = [RawClient(dispatcher.port) for _ in range(3)]
    for n, client in enumerate(clients, 1):
        fields = dict(verb="load", item="k", unique=f"t{n}", cpu=3000, limit=20_000)
        client.batch(statement("INSERT INTO sales_3.t VALUES (1)", n=n, **fields))
        until(lambda n=n: dispatcher.service.counters.shown().get("taken") == n)
    first = engine.next("BATCH")
    clients[1].send(packets.ATTENTION, b"")
    ((token, content),) = clients[1].tokens()
    assert token == tokens.DONE and content[0] & tokens.DONE_ATTN
    first.answer(result((1, "a")))
    assert int(engine.next("BATCH").id, 16) == 3
    assert dispatcher.service.counters.shown()["left"] == 1


def test_an_attention_that_crosses_the_last_row_is_acknowledged():
    dispatcher = Dispatcher(TdsEngine())
    client = RawClient(dispatcher.port)
    for _ in range(20):
        client.batch("SELECT 1 FROM sales_1.t")
        client.send(packets.ATTENTION, b"")
        received_tokens = client.tokens()
        if not (received_tokens[-1][1][0] & tokens.DONE_ATTN):
            received_tokens = client.tokens()
        assert received_tokens[-1][0] == tokens.DONE and received_tokens[-1][1][0] & tokens.DONE_ATTN


def test_a_batch_stays_in_flight_until_an_unacknowledged_attention_ends_its_connection():
    engine = TdsEngine(lambda query: None)
    engine.acknowledges = False
    dispatcher = Dispatcher(engine, extra_nodes='attention-time "700ms"')
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    client.send(packets.ATTENTION, b"")
    client.tokens()
    engine.next("ATTENTION")
    scheduler = dispatcher.service.decider.scheduler
    assert sum(scheduler.engines.in_flight) == 1  # the engine may still run the batch
    until(lambda: dispatcher.service.counters.shown().get("engine-connections-ended-attention-unanswered"))
    until(lambda: sum(scheduler.engines.in_flight) == 0)


def test_a_query_is_cancelled_when_its_client_disconnects():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    client = RawClient(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    reset(client.sock)
    engine.next("ATTENTION")
    until(lambda: dispatcher.service.counters.shown().get("left") == 1)
