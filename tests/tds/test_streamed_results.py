"""Tests of streamed results, which are too long to be gathered."""

import socket
import time
from threading import Thread

import pytest
from bench_free import Client, reset, rows, sqlstate, statement, until
from standins.tds_engine import COLUMNS, TdsEngine, result, row

from tds.helpers import Dispatcher, RawClient, ask, error_number, long_answer
from wickvane.net.tds import errors, packets


def test_a_long_result_is_streamed_to_tds_and_postgres_clients():
    def answer(query):
        Thread(target=long_answer, args=(query,), daemon=True).start()

    engine = TdsEngine(answer)
    dispatcher = Dispatcher(engine, engine_nodes='user "w"; takes-postgres #true')
    with dispatcher.connect() as client:
        got = ask(client, "SELECT * FROM sales_1.t")
        assert len(got) == 3000 and got[-1] == (9, "x" * 100)
        assert ask(client, "SELECT * FROM sales_1.t") == got
    assert len(rows(Client(dispatcher).ask(statement(n=1)))) == 3000


def test_the_engine_connection_of_a_cancelled_stream_is_reused():
    def answer(query):
        if len(engine.connections) and queries.append(query) or len(queries) > 1:
            return result((5, "e"))
        Thread(target=long_answer, args=(query, 6000, 400, False), daemon=True).start()
        return None

    queries, engine = [], TdsEngine(answer)
    dispatcher = Dispatcher(engine)
    client = RawClient(dispatcher.port)
    client.batch("SELECT * FROM sales_1.t")
    while client.assembler.next_packet() is None:
        client.assembler.feed(client.sock.recv(65_536))
    reset(client.sock)
    engine.next("ATTENTION")
    until(lambda: dispatcher.service.counters.shown().get("ending-cancelled") == 1)
    with dispatcher.connect() as other:
        assert ask(other, "SELECT 1 FROM sales_1.t") == [(5, "e")]
    assert len(engine.connections) == 1


def test_a_client_that_does_not_read_causes_backpressure_on_the_engine():
    def answer(query):
        Thread(target=stream_endlessly, args=(query,), daemon=True).start()

    def stream_endlessly(query):
        try:
            sent.append(0)
            writer = packets.PacketWriter(packets.TABULAR_RESULT)
            query.conn.send(writer.write(COLUMNS))
            chunk = b"".join(row(n, "x" * 100) for n in range(100))
            while True:
                data = writer.write(chunk)
                query.conn.send(data)
                sent[0] += len(data)
        except OSError:
            pass

    sent, engine = [], TdsEngine(answer)
    engine.acknowledges = False
    dispatcher = Dispatcher(engine, extra_nodes='attention-time "1s"')
    client = RawClient(dispatcher.port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    client.batch("SELECT * FROM sales_1.t")
    until(lambda: sent and sent[0])
    time.sleep(1.0)
    size_before = sent[0]
    time.sleep(0.5)
    assert sent[0] == size_before < 100 << 20
    until(lambda: dispatcher.service.counters.shown().get("left") == 1, 15)
    conn = engine.next("ATTENTION", 15)
    # The engine continues to send: its data is no longer decoded, and its time to acknowledge is bounded.
    counters = dispatcher.service.counters
    until(lambda: counters.shown().get("engine-connections-ended-attention-unanswered"), 15)
    conn.sock.close()


@pytest.mark.parametrize("client_protocol", ["tds", "postgres"])
def test_an_interrupted_long_result_is_an_error_without_a_further_attempt(client_protocol):
    def answer(query):
        sent.append(query)
        long_answer(query, 1000, end=False)
        reset(query.conn.sock)

    sent = []
    engines = [TdsEngine(answer), TdsEngine(answer)]
    dispatcher = Dispatcher(*engines, engine_nodes='user "w"; takes-postgres #true')
    if client_protocol == "tds":
        with dispatcher.connect() as client:
            assert error_number(ask, client, "SELECT * FROM sales_1.t") == errors.KILLED
    else:
        got = Client(dispatcher).ask(statement(n=1))
        assert sqlstate(got) == "58000" and len(rows(got)) > 100
    assert len(sent) == 1
    until(lambda: dispatcher.service.counters.shown().get("killed") == 1)
