"""Tests of answers that cross the cancellation of their attempt: only a whole one is a result."""

from queue import Queue
from threading import Thread

import pytest
from bench_free import Client, rows, sqlstate, statement
from standins.tds_engine import COLUMNS, TdsEngine, row
from test_readers import link_with_one_attempt

from tds.helpers import Dispatcher, RawClient
from wickvane.events import Ending
from wickvane.net.queues import ResultStream
from wickvane.net.tds import packets, tokens
from wickvane.net.tds.connection import BatchState
from wickvane.net.tds.connection import Connection as TdsConnection
from wickvane.net.tds.token_encoding import encode_done, encode_message

LONG, SHORT = 1200, 20  # rows; a result of LONG rows is over the size up to which results are gathered
ACKNOWLEDGEMENT = encode_done(tokens.DONE_ATTN)
CANCELLED_BY_USER = encode_message(tokens.ERROR, 3617, 1, 16, "cancelled")


def result_rows(count):
    return COLUMNS + b"".join(row(n, f"row {n:020}") for n in range(count))


def whole_result(count):
    return result_rows(count) + encode_done(tokens.DONE_COUNT, count)


def split_packets(body, last_size):
    """Returns the packets of a message whose last packet has last_size octets of its body."""
    writer = packets.PacketWriter(packets.TABULAR_RESULT, 1 << 14)
    data = writer.write(body[:-last_size])
    head = bytes(writer._unsent)
    header = packets.HEADER
    data += header.pack(packets.TABULAR_RESULT, 0, header.size + len(head), 0, 1, 0) + head
    tail = body[-last_size:]
    eom = packets.STATUS_EOM
    return data + header.pack(packets.TABULAR_RESULT, eom, header.size + len(tail), 0, 2, 0) + tail


def message(body):
    return packets.encode_packets(packets.TABULAR_RESULT, body)


# By name: what an engine sends of a query for LONG rows once the ATTENTION has reached it.
CROSSING_ANSWERS = {
    "long": message(whole_result(LONG)) + message(ACKNOWLEDGEMENT),
    "long with the acknowledgement in it": message(whole_result(LONG) + ACKNOWLEDGEMENT),
    "long with its end in two packets": split_packets(whole_result(LONG), 5) + message(ACKNOWLEDGEMENT),
    "long without a count": message(result_rows(LONG) + encode_done()) + message(ACKNOWLEDGEMENT),
    "some rows and a failed end": message(result_rows(SHORT) + encode_done(tokens.DONE_ERROR))
    + message(ACKNOWLEDGEMENT),
    "some rows and the end of all": message(result_rows(SHORT) + encode_done(tokens.DONE_COUNT, LONG))
    + message(ACKNOWLEDGEMENT),
    "some rows and an error": message(result_rows(SHORT) + CANCELLED_BY_USER + encode_done(tokens.DONE_ERROR))
    + message(ACKNOWLEDGEMENT),
    "acknowledged": message(result_rows(SHORT) + ACKNOWLEDGEMENT),
}


def rows_after_replanning(crossing, protocol):
    """Returns the number of rows of a look-up whose first engine answers only when it is cancelled."""

    def answer(query):
        queries.append(query)
        if len(queries) > 1:
            return whole_result(LONG)
        Thread(target=answer_late, args=(query,), daemon=True).start()
        return None

    def answer_late(query):
        attended.get(timeout=30).send(crossing)

    queries, attended = [], Queue()
    engines = [TdsEngine(answer) for _ in range(2)]
    for engine in engines:
        engine.acknowledges = False
        engine.came.put = lambda item: attended.put(item[1]) if item[0] == "ATTENTION" else None
    dispatcher = Dispatcher(*engines, engine_nodes='user "w"; takes-postgres #true')
    text = statement("SELECT * FROM sales_1.t", n=9)
    if protocol == "postgres":
        got = Client(dispatcher).ask(text)
        assert sqlstate(got) is None
        return len(rows(got)), queries
    client = RawClient(dispatcher.port)
    client.batch(text)
    return [token for token, _ in client.tokens()].count(tokens.ROW), queries


@pytest.mark.parametrize("protocol", ["tds", "postgres"])
@pytest.mark.parametrize("crossing", CROSSING_ANSWERS)
def test_a_client_gets_all_rows_if_an_answer_crosses_the_cancellation_of_its_attempt(crossing, protocol):
    """Clients got an empty result as finished: a long answer that crossed an ATTENTION was discarded."""
    count, queries = rows_after_replanning(CROSSING_ANSWERS[crossing], protocol)
    assert count == LONG and len(queries) == 2


@pytest.mark.parametrize("protocol", ["tds", "postgres"])
def test_a_short_whole_answer_that_crosses_the_cancellation_is_the_result(protocol):
    """Nothing of such an answer is discarded, so that no other engine has to run the query."""
    crossing = message(whole_result(SHORT)) + message(ACKNOWLEDGEMENT)
    count, queries = rows_after_replanning(crossing, protocol)
    assert count == SHORT and len(queries) == 1


class RecordingSocket:
    """A socket that records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, data, flags=0):
        self.sent.append(data)
        return len(data)


def connection_with_running_batch(monkeypatch):
    """Returns a connection to an engine, the attempt that runs on it, and the inbox of the decider."""
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    connection = TdsConnection(link)
    connection.sock, connection.up, link.connections[:] = RecordingSocket(), True, [connection]
    attempt.pending.resource_group = 0
    assert connection.put("ask", attempt)
    return connection, attempt, inbox


def endings(inbox):
    return [item[2] for item in inbox.take(0)]


def test_a_result_is_not_streamed_if_its_attempt_is_cancelled_as_the_stream_starts(monkeypatch):
    """The client got an error in the middle of a stream whose attempt was to be replaced by another one."""
    connection, attempt, inbox = connection_with_running_batch(monkeypatch)
    put = ResultStream.put

    def cancel_then_put(stream, chunk, size):
        connection.cancel_attempt(attempt, Ending.CANCELLED, False)
        return put(stream, chunk, size)

    monkeypatch.setattr(ResultStream, "put", cancel_then_put)
    connection._receive(message(whole_result(LONG)))
    assert attempt.pending.answer is None and endings(inbox) == [Ending.CANCELLED]
    assert connection.state is BatchState.ATTENTION_SENT
    connection._receive(message(ACKNOWLEDGEMENT))
    assert connection.state is BatchState.IDLE


@pytest.mark.parametrize("at_once", [False, True])
def test_a_result_that_began_to_stream_is_not_cut_by_a_cancellation_decided_before(monkeypatch, at_once):
    """The ATTENTION cut off a stream whose first rows the client may have had already."""
    connection, attempt, inbox = connection_with_running_batch(monkeypatch)
    connection._receive(message(whole_result(LONG))[:-30])
    assert connection.state is BatchState.STREAMING
    sent = list(connection.sock.sent)
    connection.put("attention", attempt, Ending.NO_ANSWER)
    connection.cancel_written(attempt, Ending.NO_ANSWER, at_once)
    assert connection.sock.sent == sent and not endings(inbox)
    connection._receive(message(whole_result(LONG))[-30:])
    assert endings(inbox) == [Ending.FINISHED] and not attempt.pending.result.broken


def test_a_connection_is_not_used_before_an_attention_sent_at_the_end_of_an_answer_is_acknowledged(
    monkeypatch,
):
    """The acknowledgement would be taken for the end of the next batch on the connection."""
    connection, attempt, inbox = connection_with_running_batch(monkeypatch)
    clock, finish = connection.pool.clock, connection._finish
    now = clock.now

    def cancel_then_tell_time():
        monkeypatch.setattr(clock, "now", now)
        connection.cancel_attempt(attempt, Ending.CANCELLED, False)
        return now()

    def finish_while_cancelled(status):
        monkeypatch.setattr(clock, "now", cancel_then_tell_time)
        monkeypatch.setattr(connection, "_finish", finish)
        finish(status)

    monkeypatch.setattr(connection, "_finish", finish_while_cancelled)
    connection._receive(message(whole_result(SHORT)))
    assert endings(inbox) == [Ending.FINISHED]
    assert connection.state is BatchState.ATTENTION_SENT
    connection._receive(message(ACKNOWLEDGEMENT))
    assert connection.state is BatchState.IDLE
