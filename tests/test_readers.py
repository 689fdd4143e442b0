"""The parsers alone: input cut anywhere, generated garbage, and statements as people write them."""

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
from wickvane.net.lines import connection as lines
from wickvane.net.lines import links as link
from wickvane.net.lines.connection import Connection
from wickvane.net.postgres.rows import result
from wickvane.net.queues import EngineQueue
from wickvane.net.statement import Reader, is_empty, plain_group, split, table_group
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
    quick = {text: plain_group(text) for text in texts}
    monkeypatch.setattr("wickvane.net.statement.plain_group", lambda text: None)
    assert sum(found is not None for found in quick.values()) > 500
    assert [text for text, found in quick.items() if found is not None and found != table_group(text)] == []


def test_the_statement_goes_on_without_its_comment_and_otherwise_unchanged():
    body = b"SELECT /* kept */ 'verb=x'  FROM s_1.t ; \n"
    assert split(b"/* verb=a,txn=b */ " + body) == (b" verb=a,txn=b ", body)
    assert split(b"-- first\n/* other */ /*txn=b*/" + body)[0] == b"txn=b"
    assert split(body) == (None, body)
    assert is_empty(b"") and is_empty(b" ; ") and not is_empty(b"x")
    # What only looks like nothing would be answered as if it had been done.
    assert not is_empty(b"/* verb=lookup,limit=5 */") and not is_empty(b"/* verb=lookup,txn=1 */ ;")


def garbage(chance, *seeds):
    """Bytes with the marks that matter to the parsers, or a well-formed text with a few bytes changed."""
    if chance.random() < 0.5:
        marks = [b"/*", b"*/", b"'", b"$$", b'"', b"\r\n", b"\n", b" ", b"=", b",", b".", b"data:", b"HIT"]
        return b"".join(chance.choice([*marks, chance.randbytes(1)]) for _ in range(chance.randrange(60)))
    text = bytearray(chance.choice(seeds))
    for _ in range(chance.randrange(1, 6)):
        at = chance.randrange(len(text))
        text[at : at + chance.randrange(3)] = bytes([chance.randrange(256)] * chance.randrange(3))
    return bytes(text)


def test_garbage_is_told_so_by_each_parser_and_never_anything_else():
    chance, read, told = random.Random(3), [0] * 3, [0] * 3
    good = statement("INSERT INTO s_2.t SELECT $a$x$a$ FROM u_3.v", verb="load", item="k", unique="u")
    good = good.encode()
    stream = sse(2, event(2, entry("e", "127.0.0.1:80")))
    for _ in range(20_000):
        text, news = garbage(chance, good), garbage(chance, stream)
        answer = bytearray(garbage(chance, hit(b"ab")))
        for n, (work, wrong) in enumerate(
            (
                (lambda text=text: (is_empty(text), READER.read(text)), RequestRejected),
                (lambda answer=answer: lines.parse_answer(answer), ProtocolError),
                (lambda news=news: follow([news]), ProtocolError),
            )
        ):
            try:
                work()
                read[n] += 1
            except wrong:
                told[n] += 1
    assert all(read) and all(told)


def follow(parts):
    """What a coordinator without a connection makes of a stream's body that comes in these parts."""
    told = []
    heard = coordinator.Coordinator(("", 0), (0, []), lambda *event: told.append(event), 1, None, Counts())
    parts = iter([b"HTTP/1.1 200 OK\r\n\r\n", *parts, b""])
    lines = coordinator.Lines(lambda size: next(parts))
    lines.head()
    data = []
    try:
        for line in lines.body():
            if line.startswith(b"data:"):
                data.append(line[5:].removeprefix(b" "))
            elif not line and data:
                heard.event(b"\n".join(data))
                data = []
    except EOFError:
        pass
    return heard.last, told


class Counts:
    """Counters that count nothing."""

    def add(self, name, n=1):
        pass

    def add_octets(self, side, received, sent):
        pass


def test_a_stream_and_an_answer_read_the_same_wherever_they_are_cut():
    stream = b": note\r\n\r\n" + sse(2, event(2, entry("e", "127.0.0.1:80")))
    stream += sse(3, event(3, snapshot=True))
    whole = follow([stream])
    assert whole[0] == 3 and len(whole[1]) == 2
    for at in range(1, len(stream)):
        assert follow([stream[:at], stream[at:]]) == whole
    answer = hit(b"ab", b"a\tb\tc\n" * 3)
    for at in range(len(answer)):
        assert lines.parse_answer(bytearray(answer[:at])) is None
    buffer = bytearray(answer * 2)
    assert lines.parse_answer(buffer) == lines.parse_answer(buffer) and not buffer


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


class Clock:
    """A clock that stands still, and a log that keeps its last line."""

    def now(self):
        return 17_000_000_000_000

    def line(self, event, **fields):
        self.last = event, fields


def decider_with_one_engine():
    clock = Clock()
    decider = Decider(Exchange(clock, Counts()), IdRegistry(SETTINGS), 1, clock, clock, Counts())
    decider.round([("listed", True, [("e", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)])])
    return decider


def take(decider, n, age, **fields):
    ticket = PendingQuery(Clock().now() - age, **READER.read(statement(n=n, **fields).encode()))
    decider.exchange.submit(ticket)
    return ticket


def test_what_came_first_is_taken_first_whichever_thread_woke_first():
    decider = decider_with_one_engine()
    first = [take(decider, n, age, verb="load", item="k", unique="u") for n, age in enumerate((10, 700))]
    woken = decider.exchange.inbox.take(0)
    # A thread that wakes after the first round's items were taken; the ages tell of a standstill.
    tickets = [*first, take(decider, 2, 300, verb="load", item="k", unique="u")]
    decider.round(decider.gather(woken))
    # Where reading takes 70 ms, what came 1 ms ago is not let in yet: one before it may be unread still.
    assert [ticket.attempt_count for ticket in tickets] == [0, 1, 0] and tickets[0].index == -1
    late = take(decider, 3, 500, verb="load", item="k", unique="u")
    decider.round(decider.exchange.inbox.take(0))
    for ticket in (*tickets, late):
        ticket.arrived_at -= 1000
    decider.round([])
    order = [tickets[1], tickets[2], late, tickets[0]]
    assert [query.index for query in next(iter(decider.scheduler.keys.queues.values()))] == [
        ticket.index for ticket in order
    ]


def line_of_one(monkeypatch, up=False):
    """A link whose connection has not come up, and a submission that waits in its line."""
    monkeypatch.setattr(Connection, "start", lambda self: None)
    clock, exchange = Clock(), Exchange(Clock(), Counts())
    threads = Threads(clock, Counts())
    limits = root_section(SETTINGS).section("limits")
    links = link.IoLoop(exchange, limits, 8, clock, clock, Counts(), threads=threads)
    keeper = link.ConnectionPool(EngineQueue("e", ("127.0.0.1", 0), 0), links)
    ticket = PendingQuery(clock.now(), **READER.read(statement().encode()))
    submission = Attempt(ticket, 0, 0, keeper.queue, clock.now(), ticket.deadline)
    keeper.start_attempt(submission)
    return keeper, submission, exchange.inbox


def test_what_is_still_in_line_when_an_engine_drains_is_taken_back(monkeypatch):
    keeper, submission, inbox = line_of_one(monkeypatch)
    keeper.drain()
    assert [item[:3] for item in inbox.take(0)] == [("ended", submission, Ending.NOT_SENT)]


def test_a_cancelled_submission_has_not_ended_before_its_quit_is_written(monkeypatch):
    keeper, submission, inbox = line_of_one(monkeypatch)
    submission.written = True
    keeper.cancel_attempt(submission)
    assert not inbox.take(0) and keeper.connections[0].outbox[-1][0] == "quit"
    keeper.connections[0].end_attempt(submission, Ending.CANCELLED)
    assert [item[2] for item in inbox.take(0)] == [Ending.CANCELLED]


def test_a_connection_closes_before_the_engine_would_close_it_as_idle(monkeypatch):
    keeper, submission, inbox = line_of_one(monkeypatch)
    keeper.connections[0].up = True
    keeper.connections[0].end_attempt(submission, Ending.FINISHED)
    idle = SETTINGS["limits"]["conn_idle_ms"] * 10
    keeper.io_loop.run_once([])
    keeper.io_loop.run_timers(int(submission.started_at + idle * 0.5))
    assert keeper.connections
    keeper.io_loop.run_timers(int(submission.started_at + idle * 0.9))
    assert not keeper.connections and keeper.log.last[1]["reason"] == "idle"


def on_a_pair(keeper):
    place, (ours, theirs) = keeper.connections[0], socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    place.sock, place.up = ours, True
    return place, theirs


def test_what_an_engine_does_not_take_at_once_is_written_in_order_without_a_wait(monkeypatch):
    keeper, submission, _ = line_of_one(monkeypatch)
    place, theirs = on_a_pair(keeper)
    texts = [b"%d" % n * 30_000 for n in range(8)]
    for line in texts:
        assert place.put("bytes", line, submission.pending)
    assert place.send_buffer and submission.written
    Thread(target=keeper.io_loop.run, daemon=True).start()
    got = theirs.recv(65_536)
    while len(got) < 240_000 + got.find(b"0000"):
        got += theirs.recv(65_536)
    keeper.io_loop.stop()
    assert got.startswith(b"ASK ") and got.endswith(b"\r\n" + b"".join(texts))


def test_a_connection_found_dead_before_a_byte_is_out_proves_that_nothing_ran(monkeypatch):
    keeper, submission, inbox = line_of_one(monkeypatch)
    place, theirs = on_a_pair(keeper)
    theirs.close()
    ticket = PendingQuery(submission.started_at, **READER.read(statement(n=2).encode()))
    other = Attempt(ticket, 0, 0, keeper.queue, submission.started_at, ticket.deadline)
    assert not place.put("ask", other) and not other.has_ended
    assert [item[:3] for item in inbox.take(0)] == [("ended", submission, Ending.NOT_SENT)]
    keeper.start_attempt(other)
    assert keeper.connections[0] is not place and not other.has_ended


def test_long_limits_of_queries_that_have_ended_do_not_pile_up(monkeypatch):
    keeper, submission, _ = line_of_one(monkeypatch)
    for _ in range(5000):
        ended = Attempt(
            submission.pending, 0, 0, keeper.queue, submission.started_at, submission.deadline + 1
        )
        keeper.io_loop.add_timer(ended.deadline, ended)
        ended.has_ended = True
        keeper.io_loop.run_timers(submission.started_at)
    assert len(keeper.io_loop.timers) < 1000 and keeper.io_loop.timers[0][2] is submission


def test_an_event_that_the_module_cannot_bear_takes_no_other_with_it():
    decider = decider_with_one_engine()
    bad, good = take(decider, 1, 10), take(decider, 2, 10)
    bad.cost = "none"
    decider.round(decider.exchange.inbox.take(0))
    assert good.attempt_count == 1 and bad.attempt_count == 0 and decider.log.last[0] == "fault"


def test_many_threads_share_one_arena_of_the_allocator():
    """Each further one would keep what its busiest moment took, and reserves 64 MB of addresses."""
    code = """
import threading, time
from wickvane.net.service import one_arena
one_arena()
for _ in range(16):
    threading.Thread(target=lambda: [bytes(5000), time.sleep(0.5)], daemon=True).start()
kept = [line.split()[0].split("-") for line in open("/proc/self/maps") if "---p" in line]
print(sum(int(end, 16) - int(begin, 16) > 50 << 20 for begin, end in kept))
"""
    assert subprocess.run([sys.executable, "-c", code], capture_output=True).stdout == b"0\n"
