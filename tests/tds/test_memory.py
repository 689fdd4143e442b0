"""Tests of the memory limit with TDS: messages, prepared statements, and results that are not read."""

import socket

from bench_free import until
from standins.tds_engine import COLUMNS, TdsEngine, result, row

from tds.helpers import Dispatcher, RawClient, ask
from wickvane.net.tds import errors, packets, tokens
from wickvane.net.tds.batch_answer import BatchAnswer
from wickvane.net.tds.encoding import NVARCHAR_MAX_INFO, encode_nvarchar_max
from wickvane.net.tds.sql_batch import encode_sql_batch
from wickvane.net.tds.token_encoding import encode_colmetadata

LARGE_BATCH = packets.encode_packets(packets.SQL_BATCH, encode_sql_batch("SELECT '" + "x" * 40_000 + "'"))


def with_little_memory(*engines, messages=150_000):
    dispatcher = Dispatcher(*engines)
    limits = dispatcher.service.memory.limits
    dispatcher.service.memory.limits = limits._replace(messages=messages, evicted=150_000, read_ahead=75_000)
    return dispatcher


def first_error(client):
    return next(content.number for token, content in client.tokens() if token == tokens.ERROR)


def test_a_client_stopped_half_way_through_a_batch_gets_an_error_when_others_need_its_memory():
    """Messages of up to 192 KiB that stopped half way were bounded for each client alone."""
    dispatcher = with_little_memory(TdsEngine(), messages=100_000)
    stopped = RawClient(dispatcher.port)
    stopped.sock.sendall(LARGE_BATCH[:70_000])
    until(lambda: dispatcher.service.memory.used > 60_000)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT '" + "x" * 30_000 + "' FROM sales_1.t") == [(1, "a")]
    assert first_error(stopped) == errors.DEFERRED and stopped.message() is None
    until(lambda: dispatcher.service.memory.used == 0 and dispatcher.service.memory.evicted == 0)


def test_small_packets_of_a_message_take_no_more_memory_than_their_octets():
    """Each of up to 4,096 packets of a message was an object of its own."""
    assembler = packets.MessageAssembler(1 << 20)
    packet = packets.HEADER.pack(packets.SQL_BATCH, 0, packets.HEADER.size + 2, 0, 1, 0) + b"ab"
    assembler.feed(packet * 4_000)
    assert assembler.next_message() is None and assembler.size == 8_000
    assembler.feed(packet[:1] + b"\1" + packet[2:])
    assert assembler.next_message().body == b"ab" * 4_001 and assembler.size == 0


def test_prepared_statements_are_counted_and_given_back():
    """A session may keep 64 statements of 64 KB."""
    dispatcher = with_little_memory(TdsEngine(), messages=400_000)
    memory = dispatcher.service.memory
    with dispatcher.connect() as client:
        with client.cursor() as cursor:
            cursor.execute("SELECT %s FROM sales_1.t", ("x",))
        (session,) = dispatcher.service.listeners[1].sessions
        handle = session.prepared.add("x" * 100_000, "")
        ask(client, "SELECT 1 FROM sales_1.t")
        until(lambda: memory.used > 90_000)
        session.prepared.remove(handle)
        ask(client, "SELECT 1 FROM sales_1.t")
        until(lambda: memory.used == 0)


def test_the_rows_of_a_gathered_result_are_counted_with_their_overhead():
    """Thousands of rows of a few octets took a multiple of their size."""
    answer = BatchAnswer()
    chunk = answer.read_packet(COLUMNS + b"".join(row(n, "") for n in range(1_000)), False)
    answer.result.extend(chunk.tokens)
    assert answer.size < 20_000 and answer.memory_size() > 1_000 * 128


def test_a_result_without_memory_fails_and_its_session_goes_on():
    """What many clients had not read yet was bounded for each of them alone."""
    engine = TdsEngine(lambda query: result(*((n, "x" * 40) for n in range(300))))
    dispatcher = with_little_memory(engine, messages=10_000)
    client = RawClient(dispatcher.port)
    client.batch("SELECT * FROM sales_1.t")
    assert first_error(client) == errors.KILLED
    engine.answers = lambda query: result((3, "c"))
    client.batch("SELECT 1 FROM sales_1.t")
    assert any(token == tokens.ROW for token, _ in client.tokens())
    assert dispatcher.service.counters.shown()["results-without-memory"] == 1


def test_a_client_that_does_not_read_is_evicted_when_others_need_its_memory():
    """It would keep its result for five seconds."""
    engine = TdsEngine(lambda query: result(*((n, "x" * 60) for n in range(300))))
    dispatcher = with_little_memory(engine, messages=200_000)
    slow = RawClient(dispatcher.port)
    slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    (session,) = dispatcher.service.listeners[1].sessions
    session.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
    slow.batch("SELECT * FROM sales_1.t")
    until(lambda: session.result_memory.since)
    other = dispatcher.service.memory.lease(None)
    assert other.reserve(180_000)
    until(lambda: dispatcher.service.counters.shown().get("client-connections-ended-out-of-memory") == 1)
    until(lambda: dispatcher.service.memory.evicted == 0)


def test_an_incomplete_answer_without_memory_ends_the_engine_connection_only():
    """A row of up to 2 MB was buffered for each engine connection, whatever the limit."""
    engine = TdsEngine(send_half_of_a_large_row)
    dispatcher = with_little_memory(engine, messages=60_000)
    client = RawClient(dispatcher.port)
    client.batch("SELECT * FROM sales_1.t")
    assert first_error(client) in (errors.KILLED, errors.DEFERRED)
    shown = dispatcher.service.counters.shown
    until(lambda: shown().get("engine-connections-ended-out-of-memory"))
    engine.answers = lambda query: result((3, "c"))
    client.batch("SELECT 1 FROM sales_1.t")
    assert any(token == tokens.ROW for token, _ in client.tokens())


def send_half_of_a_large_row(query):
    columns = encode_colmetadata([("text", NVARCHAR_MAX_INFO)])
    body = columns + bytes((tokens.ROW,)) + encode_nvarchar_max("x" * 200_000)
    query.conn.send(packets.encode_packets(packets.TABULAR_RESULT, body)[:200_000])
