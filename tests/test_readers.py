"""Tests without servers: parsers, rounds of a decider, and links and connections to engines.

The parsers read input that is split at any position, generated garbage and typical statements.
"""

import random
import socket
import subprocess
import sys
from threading import Thread

import pytest
from bench_free import SETTINGS, entry, event, hit, rows, sse, statement

from wickvane.errors import ProtocolError, RequestRejected
from wickvane.events import Ending, EngineState
from wickvane.id_registry import IdRegistry
from wickvane.net import coordinator
from wickvane.net.decider import Decider
from wickvane.net.exchange import Attempt, Exchange, PendingQuery
from wickvane.net.input_tracker import InputReader
from wickvane.net.lines import connection as line_protocol
from wickvane.net.lines import links as engine_links
from wickvane.net.lines.connection import Connection
from wickvane.net.postgres.rows import result
from wickvane.net.queues import EngineQueue
from wickvane.net.statement import Reader, is_empty, plain_table_group, split_comment, table_group
from wickvane.net.threads import Threads
from wickvane.settings import root_section

READER = Reader(IdRegistry(SETTINGS))


@pytest.mark.parametrize(
    "text, group",
    [
        ("SELECT day, max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17),
        ("INSERT INTO sales_4.facts SELECT * FROM staging.batch_9", 4),
        ("INSERT INTO sales_4.facts SELECT * FROM staging_9.batch", 4),
        ("SELECT 'x FROM a_1.t', e'\\' FROM b_2.t', $q$ FROM c_3.t $q$, $$FROM d_4.t$$ FROM e_5.t", 5),
        ("SELECT 1 /* FROM a_1.t /* nested */ FROM b_2.t */ -- FROM c_3.t\n FROM d_4.t", 4),
        ("SELECT o_1.day, p_2.x FROM lateral (SELECT 1) o_1, main_3.t p_2 WHERE o_1.day = 1", 3),
        ("SELECT o_1.day FROM staging.a o_1 JOIN ONLY main_3.t ON true", 3),
        ("SELECT extract(epoch FROM o_1.day) FROM main_3.t o_1", 3),
        ('SELECT a AS "x_9.y" FROM "main_6"."t"', 6),
        ('SELECT "q""FROM a_1.t" FROM db.main_6.t', 6),
        ("UPDATE only main_8.t SET a = 'it''s FROM a_1.t'", 8),
        ("DELETE FROM MAIN_12.t", 12),
        ("SELECT 1", 0),
        ("SELECT 1.5, 'open FROM a_1.t", 0),
    ],
)
def test_the_table_group_is_the_schemas_number(text, group):
    assert table_group(text.encode()) == group


def test_the_quick_look_at_a_statement_finds_what_reading_each_token_finds(monkeypatch):
    pieces = (
        "SELECT ",
        "FROM ",
        "JOIN ",
        "sales_17.orders ",
        "Main_4.t ",
        "staging_9.b ",
        "o_1.day",
        ", ",
        "(",
        ")",
        "extract(x FROM ",
        "'FROM a_1.t'",
        "''",
        "' ",
        "a.b_5.c ",
        "1.5 ",
        "7s_8.t ",
        ".",
        "-",
        "s_2 . t ",
        '"',
        "$$",
        "é_3.x ",
        "s_1234567890.t ",
        "x=1 ",
        ";",
        "\n",
    )
    chance = random.Random(5)
    texts = ["".join(chance.choices(pieces, k=chance.randrange(1, 9))).encode() for _ in range(6000)]
    quick = {text: plain_table_group(text) for text in texts}
    monkeypatch.setattr("wickvane.net.statement.plain_table_group", lambda text: None)
    assert sum(found is not None for found in quick.values()) > 500
    assert [text for text, found in quick.items() if found is not None and found != table_group(text)] == []


def test_the_statement_goes_on_without_its_comment_and_otherwise_unchanged():
    body = b"SELECT /* kept */ 'verb=x'  FROM s_1.t ; \n"
    assert split_comment(b"/* verb=a,txn=b */ " + body) == (b" verb=a,txn=b ", body)
    assert split_comment(b"-- first\n/* other */ /*txn=b*/" + body)[0] == b"txn=b"
    assert split_comment(body) == (None, body)
    assert is_empty(b"") and is_empty(b" ; ") and not is_empty(b"x")
    # What only looks like nothing would be answered as if it had been done.
    assert not is_empty(b"/* verb=lookup,limit=5 */") and not is_empty(b"/* verb=lookup,txn=1 */ ;")


def garbage(chance, *seeds):
    """Bytes with the parsers' tokens at random positions, or a valid text with a few bytes changed."""
    if chance.random() < 0.5:
        tokens = [b"/*", b"*/", b"'", b"$$", b'"', b"\r\n", b"\n", b" ", b"=", b",", b".", b"data:", b"HIT"]
        return b"".join(chance.choice([*tokens, chance.randbytes(1)]) for _ in range(chance.randrange(60)))
    text = bytearray(chance.choice(seeds))
    for _ in range(chance.randrange(1, 6)):
        at = chance.randrange(len(text))
        text[at : at + chance.randrange(3)] = bytes([chance.randrange(256)] * chance.randrange(3))
    return bytes(text)


def test_each_parser_accepts_garbage_or_raises_its_own_error_only():
    chance, parsed, rejected = random.Random(3), [0] * 3, [0] * 3
    good = statement("INSERT INTO s_2.t SELECT $a$x$a$ FROM u_3.v", verb="load", item="k", unique="u")
    good = good.encode()
    stream = sse(2, event(2, entry("e", "127.0.0.1:80")))
    for _ in range(20_000):
        text, body = garbage(chance, good), garbage(chance, stream)
        answer = bytearray(garbage(chance, hit(b"ab")))
        for n, (parse, error) in enumerate(
            (
                (lambda text=text: (is_empty(text), READER.read(text)), RequestRejected),
                (lambda answer=answer: line_protocol.parse_answer(answer), ProtocolError),
                (lambda body=body: read_stream([body]), ProtocolError),
            )
        ):
            try:
                parse()
                parsed[n] += 1
            except error:
                rejected[n] += 1
    assert all(parsed) and all(rejected)


def read_stream(chunks):
    """Returns the last index and the events of a stream whose body is received in these chunks."""
    events = []
    subscriber = coordinator.Coordinator(
        ("", 0), (0, []), lambda *event: events.append(event), 1, None, NullCounters()
    )
    received = iter([b"HTTP/1.1 200 OK\r\n\r\n", *chunks, b""])
    reader = coordinator.LineReader(lambda size: next(received))
    reader.read_head()
    data = []
    try:
        for line in reader.body_lines():
            if line.startswith(b"data:"):
                data.append(line[5:].removeprefix(b" "))
            elif not line and data:
                subscriber.handle_event(b"\n".join(data))
                data = []
    except EOFError:
        pass
    return subscriber.last, events


class NullCounters:
    """Counters that ignore all counts."""

    def add(self, name, n=1):
        pass

    def add_octets(self, peer_kind, received, sent):
        pass


def test_a_stream_and_an_answer_are_read_alike_wherever_they_are_split():
    stream = b": note\r\n\r\n" + sse(2, event(2, entry("e", "127.0.0.1:80")))
    stream += sse(3, event(3, snapshot=True))
    expected = read_stream([stream])
    assert expected[0] == 3 and len(expected[1]) == 2
    for at in range(1, len(stream)):
        assert read_stream([stream[:at], stream[at:]]) == expected
    answer = hit(b"ab", b"a\tb\tc\n" * 3)
    for at in range(len(answer)):
        assert line_protocol.parse_answer(bytearray(answer[:at])) is None
    buffer = bytearray(answer * 2)
    assert line_protocol.parse_answer(buffer) == line_protocol.parse_answer(buffer) and not buffer


def test_rows_are_what_a_plain_reading_of_the_pages_gives():
    chance = random.Random(5)
    for _ in range(200):
        cells = [
            [bytes(chance.choices(b"ab\xc3 0", k=chance.randrange(5))) for _ in range(3)]
            for _ in range(chance.randrange(20))
        ]
        lines = [b"\t".join(row) + b"\n" for row in cells]
        cut = chance.randrange(len(lines) + 1)
        (data, count), found = result([b"".join(lines[:cut]), b"".join(lines[cut:])], b"SELECT"), []
        while data:
            size = 1 + int.from_bytes(data[1:5], "big")
            found.append((data[:1], data[5:size]))
            data = data[size:]
        assert rows(found) == [tuple(row) for row in cells]
        assert found[0][0] == b"T" and found[-1] == (b"C", b"SELECT %d\0" % len(cells))
        assert count == len(found)
    with pytest.raises(ValueError):
        result([b"a\tb\n"], b"SELECT")


class StoppedClock:
    """A clock that returns the time that the test has set, and a log that keeps its last line."""

    time = 17_000_000_000_000

    def now(self):
        return self.time

    def line(self, event, **fields):
        self.last = event, fields


def decider_with_one_engine():
    clock = StoppedClock()
    clock.time -= 200_000
    decider = Decider(Exchange(clock, NullCounters()), IdRegistry(SETTINGS), 1, clock, clock, NullCounters())
    decider.round([("listed", True, [("e", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)])])
    clock.time = StoppedClock.time
    return decider


def submit(decider, n, age, **fields):
    pending = PendingQuery(StoppedClock().now() - age, **READER.read(statement(n=n, **fields).encode()))
    decider.exchange.submit(pending)
    return pending


class PipeReader(InputReader):
    """A reader whose input is what the test writes into a pipe; the test reads it in the reader's place."""

    def __init__(self, decider):
        self.tracker = decider.exchange.input
        self.sock, self.peer = socket.socketpair()
        self.tracker.add(self, self.sock.fileno())
        self.tracker.deactivate(self)

    def read(self):
        self.tracker.activate(self)
        self.drained_at = self.tracker.clock.now()
        self.sock.recv(100)


def queries_of_the_key(decider):
    return [query.index for query in next(iter(decider.scheduler.keys.queues.values()))]


def test_queries_with_a_key_run_in_the_order_in_which_they_arrived_once_all_earlier_ones_are_read():
    # Guards against loads of one key that run out of order after the process stood still (review/3).
    decider = decider_with_one_engine()
    first = [submit(decider, n, age, verb="load", item="k", unique="u") for n, age in enumerate((10, 700))]
    reader = PipeReader(decider)
    reader.peer.send(b"the rest")
    decider.round(decider.exchange.inbox.take(0))
    # Input that has not been read may be an earlier query of the key, however long ago these arrived.
    assert [query.attempt_count for query in first] == [0, 0]
    assert all(query.index >= 0 for query in first)  # the scheduler answers them at a shutdown
    reader.read()
    decider.round([])
    assert [query.attempt_count for query in first] == [0, 0]  # it is read, but not submitted
    earliest, later = (
        submit(decider, n, age, verb="load", item="k", unique="u") for n, age in ((2, 900), (3, 300))
    )
    decider.exchange.input.deactivate(reader)
    decider.round(decider.exchange.inbox.take(0))
    assert queries_of_the_key(decider) == [query.index for query in (earliest, first[1], later, first[0])]
    assert [query.attempt_count for query in (earliest, first[1], later, first[0])] == [1, 0, 0, 0]


def test_no_query_starts_before_the_first_watermark_of_a_new_process():
    # Guards against loads out of order while a dispatcher that has just started still reads its first input.
    clock = StoppedClock()
    decider = Decider(Exchange(clock, NullCounters()), IdRegistry(SETTINGS), 1, clock, clock, NullCounters())
    reader = PipeReader(decider)
    reader.peer.send(b"an earlier load")
    decider.round([("listed", True, [("e", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)])])
    load = submit(decider, 1, 0, verb="load", item="k", unique="u")
    decider.round(decider.exchange.inbox.take(0))
    assert load.index >= 0 and load.attempt_count == 0
    reader.read()
    decider.exchange.input.deactivate(reader)
    decider.round([])
    assert load.attempt_count == 1


def test_a_query_without_a_key_is_not_held_up_by_the_age_of_another():
    # Guards against loads that wait as long as another client's pipelined queries have waited (review/2).
    decider = decider_with_one_engine()
    old = submit(decider, 0, 100_000, limit=15_000)
    load = submit(decider, 1, 10, verb="load", item="k", unique="u")
    decider.round(decider.exchange.inbox.take(0))
    assert old.attempt_count == 1 and load.attempt_count == 1


def test_a_query_that_was_answered_while_it_was_blocked_unblocks_no_other():
    # Guards against a blocked query that starts out of turn because it got the index of an answered one.
    decider = decider_with_one_engine()
    queries = []
    for n in range(2):
        pending = PendingQuery(
            StoppedClock().now(), **READER.read(statement(n=n, verb="load", item="k", unique="u").encode())
        )
        decider.exchange.submit_blocked(pending)
        decider.round(decider.exchange.inbox.take(0))
        queries.append(pending)
        if n == 0:
            decider.exchange.abandon(pending)
            decider.round(decider.exchange.inbox.take(0))
    assert queries[0].index == queries[1].index
    decider.exchange.unblock(queries[0])
    decider.exchange.input.clock.time += 10
    decider.round(decider.exchange.inbox.take(0))
    assert queries[1].attempt_count == 0
    decider.exchange.unblock(queries[1])
    decider.round(decider.exchange.inbox.take(0))
    assert queries[1].attempt_count == 1


def link_with_one_attempt(monkeypatch, up=False):
    """A link whose connection has not been established, an attempt that waits on it, and the inbox."""
    monkeypatch.setattr(Connection, "start", lambda self: None)
    clock, exchange = StoppedClock(), Exchange(StoppedClock(), NullCounters())
    threads = Threads(clock, NullCounters())
    limits = root_section(SETTINGS).section("limits")
    links = engine_links.IoLoop(exchange, limits, 8, clock, clock, NullCounters(), threads=threads)
    link = engine_links.ConnectionPool(EngineQueue("e", ("127.0.0.1", 0), 0), links)
    pending = PendingQuery(clock.now(), **READER.read(statement().encode()))
    attempt = Attempt(pending, 0, 0, link.queue, clock.now(), pending.deadline)
    link.start_attempt(attempt)
    return link, attempt, exchange.inbox


def test_attempts_that_still_wait_when_an_engine_drains_end_as_not_sent(monkeypatch):
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    link.drain()
    assert [item[:3] for item in inbox.take(0)] == [("ended", attempt, Ending.NOT_SENT)]


def test_a_cancelled_attempt_does_not_end_before_its_quit_is_written(monkeypatch):
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    attempt.written = True
    link.cancel_attempt(attempt)
    assert not inbox.take(0) and link.connections[0].outbox[-1][0] == "quit"
    link.connections[0].end_attempt(attempt, Ending.CANCELLED)
    assert [item[2] for item in inbox.take(0)] == [Ending.CANCELLED]


def test_a_connection_closes_before_the_engine_would_close_it_as_idle(monkeypatch):
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    link.connections[0].up = True
    link.connections[0].end_attempt(attempt, Ending.FINISHED)
    idle = SETTINGS["limits"]["conn_idle_ms"] * 10
    link.io_loop.run_once([])
    link.io_loop.run_timers(int(attempt.started_at + idle * 0.5))
    assert link.connections
    link.io_loop.run_timers(int(attempt.started_at + idle * 0.9))
    assert not link.connections and link.log.last[1]["reason"] == "idle"


def connect_to_socketpair(link):
    """Returns the link's connection, on a socket with a small send buffer, and the peer's socket."""
    connection, (sock, peer_sock) = link.connections[0], socket.socketpair()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    connection.sock, connection.up = sock, True
    return connection, peer_sock


def test_lines_beyond_the_socket_buffer_are_written_later_in_order_without_blocking(monkeypatch):
    link, attempt, _ = link_with_one_attempt(monkeypatch)
    connection, peer_sock = connect_to_socketpair(link)
    texts = [b"%d" % n * 30_000 for n in range(8)]
    for line in texts:
        assert connection.put("bytes", line, attempt.pending)
    assert connection.send_buffer and attempt.written
    Thread(target=link.io_loop.run, daemon=True).start()
    received = peer_sock.recv(65_536)
    while len(received) < 240_000 + received.find(b"0000"):
        received += peer_sock.recv(65_536)
    link.io_loop.stop()
    assert received.startswith(b"ASK ") and received.endswith(b"\r\n" + b"".join(texts))


def test_an_attempt_on_a_connection_that_is_closed_before_any_byte_is_written_was_not_sent(monkeypatch):
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    connection, peer_sock = connect_to_socketpair(link)
    peer_sock.close()
    pending = PendingQuery(attempt.started_at, **READER.read(statement(n=2).encode()))
    other = Attempt(pending, 0, 0, link.queue, attempt.started_at, pending.deadline)
    assert not connection.put("ask", other) and not other.has_ended
    assert [item[:3] for item in inbox.take(0)] == [("ended", attempt, Ending.NOT_SENT)]
    link.start_attempt(other)
    assert link.connections[0] is not connection and not other.has_ended


def test_distant_deadlines_of_ended_attempts_do_not_accumulate(monkeypatch):
    link, attempt, _ = link_with_one_attempt(monkeypatch)
    for _ in range(5000):
        ended = Attempt(attempt.pending, 0, 0, link.queue, attempt.started_at, attempt.deadline + 1)
        link.io_loop.add_timer(ended.deadline, ended)
        ended.has_ended = True
        link.io_loop.run_timers(attempt.started_at)
    assert len(link.io_loop.timers) < 1000 and link.io_loop.timers[0][2] is attempt


def test_an_event_that_raises_an_exception_does_not_affect_other_queries():
    decider = decider_with_one_engine()
    bad, good = submit(decider, 1, 10), submit(decider, 2, 10)
    bad.cost = "none"
    decider.round(decider.exchange.inbox.take(0))
    assert good.attempt_count == 1 and bad.attempt_count == 0 and decider.log.last[0] == "fault"


def test_many_threads_share_one_arena_of_the_allocator():
    """Each further arena keeps the memory of its peak use, and reserves 64 MB of address space."""
    code = """
import threading, time
from wickvane.net.service import use_single_arena
use_single_arena()
for _ in range(16):
    threading.Thread(target=lambda: [bytes(5000), time.sleep(0.5)], daemon=True).start()
kept = [line.split()[0].split("-") for line in open("/proc/self/maps") if "---p" in line]
print(sum(int(end, 16) - int(begin, 16) > 50 << 20 for begin, end in kept))
"""
    assert subprocess.run([sys.executable, "-c", code], capture_output=True).stdout == b"0\n"
