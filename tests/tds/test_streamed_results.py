"""Results that are too long to be gathered."""

import socket
import time
from threading import Thread

import pytest
from bench_free import Client, reset, rows, sqlstate, statement, until
from standins.tds_engine import COLUMNS, TdsEngine, result, row

from tds.helpers import Dispatcher, RawClient, ask, error_number, long_answer
from wickvane.net.tds import errors, packets


def test_a_long_result_streams_to_both_fronts_in_bounded_memory():
    def answer(query):
        Thread(target=long_answer, args=(query,), daemon=True).start()

    engine = TdsEngine(answer)
    dispatcher = Dispatcher(engine, engine_body='user "w"; takes-postgres #true')
    with dispatcher.connect() as client:
        got = ask(client, "SELECT * FROM sales_1.t")
        assert len(got) == 3000 and got[-1] == (9, "x" * 100)
        assert ask(client, "SELECT * FROM sales_1.t") == got
    assert len(rows(Client(dispatcher).ask(statement(n=1)))) == 3000


def test_a_stream_is_given_up_midway_and_its_connection_used_again():
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


def test_a_client_that_does_not_read_holds_the_engine_back_not_the_memory():
    def answer(query):
        Thread(target=guarded, args=(query,), daemon=True).start()

    def guarded(query):
        try:
            sent.append(0)
            framer = packets.PacketWriter(packets.TABULAR_RESULT)
            query.conn.send(framer.write(COLUMNS))
            one = b"".join(row(n, "x" * 100) for n in range(100))
            while True:
                data = framer.write(one)
                query.conn.send(data)
                sent[0] += len(data)
        except OSError:
            pass

    sent, engine = [], TdsEngine(answer)
    engine.acknowledges = False
    dispatcher = Dispatcher(engine, more='attention-time "1s"')
    client = RawClient(dispatcher.port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    client.batch("SELECT * FROM sales_1.t")
    until(lambda: sent and sent[0])
    time.sleep(1.0)
    before = sent[0]
    time.sleep(0.5)
    assert sent[0] == before < 100 << 20
    until(lambda: dispatcher.service.counters.shown().get("left") == 1, 15)
    conn = engine.next("ATTENTION", 15)
    # The engine goes on: nothing of it is read as tokens, and its time to acknowledge is bounded.
    counters = dispatcher.service.counters
    until(lambda: counters.shown().get("engine-connections-ended-attention-unanswered"), 15)
    conn.sock.close()


@pytest.mark.parametrize("front", ["tds", "postgres"])
def test_a_long_result_that_breaks_off_is_an_error_and_no_further_submission(front):
    def answer(query):
        sent.append(query)
        long_answer(query, 1000, end=False)
        reset(query.conn.sock)

    sent = []
    engines = [TdsEngine(answer), TdsEngine(answer)]
    dispatcher = Dispatcher(*engines, engine_body='user "w"; takes-postgres #true')
    if front == "tds":
        with dispatcher.connect() as client:
            assert error_number(ask, client, "SELECT * FROM sales_1.t") == errors.KILLED
    else:
        got = Client(dispatcher).ask(statement(n=1))
        assert sqlstate(got) == "58000" and len(rows(got)) > 100
    assert len(sent) == 1
    until(lambda: dispatcher.service.counters.shown().get("killed") == 1)
