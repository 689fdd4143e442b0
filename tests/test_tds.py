"""TDS clients and engines on loopback, through an unmodified driver, under the same rules as the other
protocol."""

import copy
import json
import random
import socket
import struct
import tempfile
import time
from functools import partial
from threading import Thread

import pytds
import pytest
import trustme
from bench_free import (
    SETTINGS,
    STANDING,
    Client,
    Engine,
    Events,
    entry,
    event,
    found,
    free_port,
    hit,
    reset,
    rows,
    sqlstate,
    sse,
    statement,
    until,
)
from rules import Figures, Seen
from standins.tds_engine import COLUMNS, TdsEngine, result, row
from test_flow_export import document
from test_readers import line_of_one

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.events import Ending
from wickvane.files import FileError
from wickvane.net.lines import connection as lines
from wickvane.net.service import Service
from wickvane.net.tds import (
    authentication,
    errors,
    login7,
    packets,
    prelogin,
    sql_batch,
    token_encoding,
    tokens,
)
from wickvane.net.tds.connection import Connection as TdsConnection
from wickvane.net.tds.listener import load_tls_context

RULE = 'rule application="*" { group "lookup"; tenant "acme"; limit "5s" }'


def known(engines):
    """Entries of the list: lines and TDS engines by their class, names by their place."""
    return [
        entry(f"e{n}", engine.address) | {"type": "mssql" if isinstance(engine, TdsEngine) else "old"}
        for n, engine in enumerate(engines)
    ]


def settled(**changes):
    made = copy.deepcopy(SETTINGS)
    made["host_types"] = ["old", "mssql"]
    made["family_info"] |= {"size_cores": [8, 8], "size_mb": [16384.0, 16384.0]}
    made["classes"][0]["late_worth"] = 0.2
    for name, value in changes.items():
        made[name] = made.get(name, {}) | value
    return made


class Dispatcher:
    """The whole program's threads with a TDS listener; `found` as the clients of bench_free want it."""

    def __init__(
        self,
        *engines,
        coordinator=None,
        body=RULE,
        engine_body='user "w"',
        more="",
        flows=None,
        known_=None,
        **changes,
    ):
        self.port = free_port()
        text = (
            f'tds {{ listen "127.0.0.1:{self.port}"\n{body}\n{more}\nengines "mssql" {{ {engine_body} }} }}'
        )
        self.parts = parts.read_text(text) | ({"flows": flows} if flows else {})
        self.found = found([], coordinator or Events())
        self.found["settings"] = settled(**changes)
        entries = known_ if known_ is not None else known(engines)
        self.found["known"]["updates"] = [event(1, *entries, snapshot=True)]
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), self.parts)
        self.service.start()

    def connect(self, **how):
        usual = dict(
            port=self.port,
            user="u",
            password="p",
            database="bi",
            appname="Report",
            autocommit=True,
            timeout=15,
            login_timeout=15,
        )
        return pytds.connect("127.0.0.1", **usual | how)


def ask(connection, text, *values):
    with connection.cursor() as cursor:
        cursor.execute(text, values) if values else cursor.execute(text)
        return cursor.fetchall()


def number(call, *words):
    """The number of the error that a driver raises."""
    with pytest.raises(pytds.Error) as wrong:
        call(*words)
    return getattr(wrong.value, "number", None) or wrong.value.__cause__.number


def test_an_unmodified_driver_asks_a_tds_engine_and_one_of_the_line_protocol():
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
    with Dispatcher(line, more="lines-take-tds #true").connect() as client:
        assert ask(client, "SELECT 1 FROM sales_17.orders") == [("a", "b", "c")]


def test_the_fields_ahead_of_a_statement_go_before_the_login_s_rule():
    engine = TdsEngine()
    with Dispatcher(engine).connect() as client:
        ask(client, statement(n=77, verb="load", unique="tok", item="k"))
    query = engine.next("BATCH")
    assert (query.id, query.group, query.fields["uniq"]) == (f"{77:016x}", "load", "tok")
    with Dispatcher(engine, body="").connect() as client:
        assert number(ask, client, "SELECT 1 FROM sales_17.orders") == errors.UNUSABLE
        assert ask(client, statement(n=78))


def test_work_and_memory_are_what_the_engine_reports_and_sessions_are_reset():
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


def test_transactions_are_told_to_begin_and_end_and_what_has_run_is_not_rolled_back():
    engine = TdsEngine()
    with Dispatcher(engine).connect(autocommit=False) as client:
        ask(client, "SELECT 1 FROM sales_17.orders")
        client.commit()
        client.rollback()
        ask(client, statement("UPDATE sales_17.orders SET a=1", verb="change", n=5))
        assert number(client.rollback) == errors.NO_ROLLBACK


# Which engines, and what they may break


def test_each_front_s_queries_go_where_the_document_lets_them():
    tds, line = TdsEngine(), Engine()
    for more, engine_body, postgres, tds_there in (
        ("", 'user "w"', {"line"}, {"tds"}),
        ("lines-take-tds #true", 'user "w"; takes-postgres #true', {"line", "tds"}, {"line", "tds"}),
    ):
        dispatcher = Dispatcher(tds, line, more=more, engine_body=engine_body)
        went = {"postgres": set(), "tds": set()}
        with dispatcher.connect() as client:
            other = Client(dispatcher)
            for n in range(1, 41):
                for front in went:
                    if front == "tds":
                        ask(client, statement(f"SELECT 1 FROM sales_{n}.t", n=n))
                    else:
                        assert rows(other.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=1000 + n)))
                    came = "tds" if not tds.came.empty() and tds.next("BATCH") else "line"
                    went[front].add(came)
                    while not line.came.empty():
                        line.came.get()
        assert went["postgres"] == postgres and went["tds"] == tds_there


def test_a_postgres_client_reads_a_tds_engine_s_rows_as_text():
    engine = TdsEngine(lambda query: result((1, "é"), (None, None)))
    client = Client(Dispatcher(engine, engine_body='user "w"; takes-postgres #true'))
    got = client.ask(statement(n=1))
    assert got[0][0] == b"T" and b"name\0" in got[0][1] and got[-2] == (b"C", b"SELECT 2\0")
    assert got[1][1] == struct.pack("!HI", 2, 1) + b"1" + struct.pack("!I", 2) + "é".encode()
    assert got[2][1] == struct.pack("!H", 2) + b"\xff" * 8


def test_equal_keys_of_a_postgres_and_a_tds_client_run_in_one_order():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine, engine_body='user "w"; takes-postgres #true')
    asked = []
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
            asked.append(thread)
        time.sleep(0.08)
    for n in range(3):
        query = engine.next("BATCH")
        assert int(query.id, 16) == n + 1 and engine.came.empty()
        time.sleep(0.05)
        assert engine.came.empty(), "the next of the key was sent while one before it is out"
        query.answer(result((1, "a")))
    assert sqlstate(postgres.until_ready()) is None
    for thread in asked:
        thread.join(10)


@pytest.mark.parametrize(
    "how, answer",
    [("reset", errors.KILLED), ("error", errors.KILLED), ("busy", None), ("half", errors.KILLED)],
)
def test_a_mutating_batch_is_sent_again_only_where_nothing_ran(how, answer):
    def first(query):
        if len(sent) == 1:
            if how == "reset":
                reset(query.conn.sock)
            elif how == "error":
                return token_encoding.encode_message(
                    tokens.ERROR, 547, 1, 16, "conflict"
                ) + token_encoding.encode_done(tokens.DONE_ERROR)
            elif how == "busy":
                return token_encoding.encode_message(
                    tokens.ERROR, 10929, 1, 16, "busy"
                ) + token_encoding.encode_done(tokens.DONE_ERROR)
            else:
                query.conn.send(packets.encode_packets(packets.TABULAR_RESULT, COLUMNS)[:-3])
                reset(query.conn.sock)
            return None
        return result((1, "a"))

    sent = []
    engines = [TdsEngine(lambda query: (sent.append(query), first(query))[1]) for _ in range(2)]
    with Dispatcher(*engines).connect() as client:
        text = statement("UPDATE sales_3.t SET a=1", verb="change", n=9)
        if answer:
            assert number(ask, client, text) == answer
        else:
            assert ask(client, text)
    assert len(sent) == (1 if answer else 2)


@pytest.mark.parametrize("window, sends", [(12000.0, 2), (1.0, 1)])
def test_a_tokened_batch_is_sent_again_within_its_window_alone(window, sends):
    sent = []

    def first(query):
        sent.append(query.fields["uniq"])
        if len(sent) == 1:
            time.sleep(0.05)
            reset(query.conn.sock)
            return None
        return result((1, "a"))

    classes = copy.deepcopy(SETTINGS["classes"])
    classes[1]["repeat_window_ms"] = window
    made = settled()
    engines = [TdsEngine(first) for _ in range(2)]
    made["classes"] = classes
    dispatcher = Dispatcher(*engines, family_info={})
    if window == 1.0:
        scheduler = dispatcher.service.decider.scheduler
        scheduler.groups[:] = [g._replace(idempotency_window=10) for g in scheduler.groups]
    with dispatcher.connect() as client:
        text = statement("INSERT INTO sales_3.t VALUES (1)", verb="load", n=9, unique="tok", item="k")
        if sends == 2:
            assert ask(client, text)
        else:
            assert number(ask, client, text) in (errors.KILLED, errors.DEFERRED)
    assert sent == ["tok"] * sends


@pytest.mark.parametrize("refusal", ["login", "route", "encrypted", "closed"])
def test_an_engine_that_lets_nobody_in_proves_that_nothing_ran(refusal):
    bad, good = TdsEngine(), TdsEngine()
    if refusal == "login":
        bad.refuses = (18456, 1, 14, "Login failed")
    elif refusal == "encrypted":
        bad.encryption = prelogin.ENCRYPT_REQUIRED
    elif refusal == "closed":
        bad.end()
    else:
        bad.refuses = (40613, 1, 20, "moving")
    dispatcher = Dispatcher(bad, good)
    with dispatcher.connect() as client:
        for n in range(1, 9):
            text = statement(f"UPDATE sales_{n}.t SET a=1", verb="change", n=n)
            assert ask(client, text) == [(1, "a")]
    if refusal != "closed":
        counters = dispatcher.service.counters
        until(lambda: counters.shown().get("engine-connections-ended-login-refused"))
        until(lambda: counters.shown().get("ending-no-connection"))


@pytest.mark.parametrize(
    "broken, reason",
    [
        (lambda conn: reset(conn.sock), "reset"),
        (lambda conn: time.sleep(1.5), "write-stalled"),
    ],
)
def test_a_batch_lost_before_its_last_byte_has_left_ran_nowhere_and_goes_to_another(
    monkeypatch, broken, reason
):
    def dial(self):
        sock = dialled(self)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
        return sock

    dialled = TdsConnection.dial
    monkeypatch.setattr(TdsConnection, "dial", dial)
    monkeypatch.setattr(lines, "WRITE_TIME", 3_000)
    bad, good = TdsEngine(), TdsEngine()
    bad.half = broken
    bad.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4608)
    dispatcher = Dispatcher(bad, good)
    with dispatcher.connect() as client:
        for n in range(1, 9):
            text = statement(f"UPDATE sales_{n}.t SET a='{'x' * 60_000}'", verb="change", limit=9_000, n=n)
            assert ask(client, text) == [(1, "a")]
    assert len([1 for kind, _ in list(good.came.queue) if kind == "BATCH"]) == 8
    assert bad.next("HALF")
    shown = dispatcher.service.counters.shown
    until(lambda: shown().get("ending-no-connection"))
    assert "ending-reset" not in shown()
    assert any(shown().get(f"engine-connections-ended-{why}") for why in (reason, "peer-closed"))


def out_on_a_pair(monkeypatch):
    """A batch of 100 KB half written on a pair of sockets with small buffers."""
    keeper, sub, inbox = line_of_one(monkeypatch)
    place, (ours, theirs) = TdsConnection(keeper), socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
    place.sock, place.up, keeper.connections[:] = ours, True, [place]
    sub.pending.body = b"UPDATE sales_1.t SET a='" + b"x" * 50_000 + b"'"
    assert place.put("ask", sub) and place.rest
    Thread(target=keeper.links.run, daemon=True).start()
    return place, theirs, sub, inbox


def only_ending(inbox, sub):
    until(partial(len, inbox.items))
    ((_, ended, ending, *_),) = inbox.take(0)
    assert ended is sub
    return ending


@pytest.mark.parametrize(
    "reason, proven",
    [
        ("peer-closed", Ending.NO_CONNECTION),
        ("reset", Ending.NO_CONNECTION),
        ("write-stalled", Ending.NO_CONNECTION),
        ("stop", Ending.NOT_SENT),
        ("engine-restarted", Ending.NOT_SENT),
    ],
)
def test_a_half_written_batch_is_proven_not_to_have_run_and_a_whole_one_is_not(monkeypatch, reason, proven):
    for whole in (False, True):
        place, theirs, sub, inbox = out_on_a_pair(monkeypatch)
        assembler = packets.MessageAssembler(1 << 20)
        assembler.feed(theirs.recv(3000))
        while whole and assembler.next_message() is None:
            assembler.feed(theirs.recv(65_536))
        place.fail(reason)
        assert only_ending(inbox, sub) == (Ending.RESET if whole else proven)
        theirs.close()
        place.link.links.stop()


def test_an_end_that_crosses_the_last_write_never_proves_what_the_engine_has_whole(monkeypatch):
    """Another thread ends the connection while the keeper writes on it."""

    def read(theirs, got):
        try:
            while data := theirs.recv(chance.randrange(1, 20_000)):
                got[0] += len(data)
        except OSError:
            pass

    chance, seen = random.Random(11), set()
    for _ in range(120):
        place, theirs, sub, inbox = out_on_a_pair(monkeypatch)
        got = [0]
        reader = Thread(target=read, args=(theirs, got))
        reader.start()
        mark = chance.choice((0, 60_000, 95_000, 100_000, 100_100))
        while got[0] < mark and place.rest:
            time.sleep(0)
        place.fail("peer-closed")
        reader.join()
        ending = only_ending(inbox, sub)
        has_whole = got[0] >= 2 * len(sub.pending.body)  # two octets a character, and a head
        assert ending == Ending.RESET or not has_whole
        seen.add((ending, has_whole))
        theirs.close()
        place.link.links.stop()
    assert {ending for ending, _ in seen} == {Ending.RESET, Ending.NO_CONNECTION}


# Attention


class Raw:
    """A TDS client by hand, behind its login."""

    def __init__(self, port, login=True, size=4096):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.assembler = packets.MessageAssembler(
            1 << 30, frozenset((packets.TABULAR_RESULT, packets.PRELOGIN))
        )
        if login:
            self.send(
                packets.PRELOGIN,
                prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\2"}),
            )
            self.message()
            self.send(packets.LOGIN7, login7.encode_login7("u", "p", "Report", "bi", size))
            self.tokens()

    def send(self, kind, body):
        self.sock.sendall(packets.encode_packets(kind, body))

    def batch(self, text):
        self.send(packets.SQL_BATCH, sql_batch.encode_sql_batch(text))

    def message(self):
        while (found := self.assembler.next_message()) is None:
            data = self.sock.recv(65_536)
            if not data:
                return None
            self.assembler.feed(data)
        return found[2]

    def tokens(self):
        return [(token, said) for token, _, said in tokens.TokenStreamReader().feed(self.message())]


def test_a_client_s_attention_is_acknowledged_and_gives_the_engine_s_query_up():
    engine = TdsEngine(lambda query: None)
    dispatcher = Dispatcher(engine)
    client = Raw(dispatcher.port)
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
    clients = [Raw(dispatcher.port) for _ in range(3)]
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
    client = Raw(dispatcher.port)
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
    client = Raw(dispatcher.port)
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
    client = Raw(dispatcher.port)
    client.batch("SELECT 1 FROM sales_1.t")
    engine.next("BATCH")
    reset(client.sock)
    engine.next("ATTENTION")
    until(lambda: dispatcher.service.counters.shown().get("left") == 1)


# Long results


def long_answer(query, count=3000, size=400, end=True):
    framer = packets.PacketWriter(packets.TABULAR_RESULT)
    query.conn.send(framer.write(COLUMNS))
    one = b"".join(row(n, "x" * (size // 4)) for n in range(10))
    for _ in range(count // 10):
        if not query.conn.send_on(framer.write(one)):
            return
    if end:
        query.conn.send(framer.finish(token_encoding.encode_done(tokens.DONE_COUNT, count)))


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
    client = Raw(dispatcher.port)
    client.batch("SELECT * FROM sales_1.t")
    while client.assembler.next_packet() is None:
        client.assembler.feed(client.sock.recv(65_536))
    reset(client.sock)
    engine.next("ATTENTION")
    until(lambda: dispatcher.service.counters.shown().get("ending-cancelled") == 1)
    with dispatcher.connect() as other:
        assert ask(other, "SELECT 1 FROM sales_1.t") == [(5, "e")]
    assert len(engine.connections) == 1


def test_a_handshake_that_stalls_is_ended_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr("wickvane.net.front.FIRST_S", 0.4)
    trustme.CA().issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "s.pem"))
    dispatcher = Dispatcher(TdsEngine(), more=f'encrypt "required"\ncertificate "{tmp_path}/s.pem"')
    client = Raw(dispatcher.port, login=False)
    client.send(
        packets.PRELOGIN, prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\1"})
    )
    assert prelogin.read_prelogin(client.message())[prelogin.ENCRYPTION] == bytes(
        (prelogin.ENCRYPT_REQUIRED,)
    )
    began = time.monotonic()
    client.send(packets.PRELOGIN, b"\x16\x03\x01\x02")  # a hello that never goes on
    assert client.message() is None and time.monotonic() - began < 3


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
    client = Raw(dispatcher.port)
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
            assert number(ask, client, "SELECT * FROM sales_1.t") == errors.KILLED
    else:
        got = Client(dispatcher).ask(statement(n=1))
        assert sqlstate(got) == "58000" and len(rows(got)) > 100
    assert len(sent) == 1
    until(lambda: dispatcher.service.counters.shown().get("killed") == 1)


# The door


def test_logins_are_checked_against_salted_hashes_and_storms_are_turned_away(tmp_path):
    path = tmp_path / "logins"
    path.write_text(
        f"ann:{authentication.hash_password('secret')}\n# a note\n"
        f"bob:{authentication.hash_password('other')}\n"
    )
    dispatcher = Dispatcher(TdsEngine(), more=f'logins "{path}"')
    with dispatcher.connect(user="ann", password="secret") as client:
        assert ask(client, "SELECT 1 FROM sales_1.t")
    for user, password in (("ann", "other"), ("nobody", "secret"), ("ann", "")):
        assert number(partial(dispatcher.connect, user=user, password=password)) == errors.LOGIN_FAILED
    book = authentication.Authenticator(authentication.read_password_file(str(path)))
    answers = []
    threads = [Thread(target=lambda n=n: answers.append(book.check("ann", f"wrong{n}"))) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(answers) == {authentication.LoginCheck.REJECTED, authentication.LoginCheck.BUSY}
    assert book.check("ann", "secret") == authentication.LoginCheck.ACCEPTED
    began = time.perf_counter()
    assert all(book.check("ann", "secret") == authentication.LoginCheck.ACCEPTED for _ in range(100))
    assert time.perf_counter() - began < 0.5  # known again without the dear check
    path.write_text("ann\n")
    with pytest.raises(FileError, match="line 1"):
        authentication.read_password_file(str(path))


@pytest.mark.parametrize("mode", ["on", "required"])
def test_tls_as_prelogin_agrees_it_and_renewed_certificates(tmp_path, mode):
    old, new = trustme.CA(), trustme.CA()

    def issue(ca):
        ca.issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "server.pem"))
        ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))

    issue(old)
    dispatcher = Dispatcher(TdsEngine(), more=f'encrypt "{mode}"\ncertificate "{tmp_path}/server.pem"')
    secure = dict(cafile=str(tmp_path / "ca.pem"), validate_host=False)
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    with dispatcher.connect(**secure, enc_login_only=True) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    issue(new)
    part = dispatcher.parts["tds"]
    dispatcher.service.parts[0].listener.update(part, load_tls_context(part))
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    if mode == "required":
        with pytest.raises(pytds.Error):
            dispatcher.connect()
    else:
        dispatcher.connect().close()


def test_hostile_clients_cost_their_own_connection_only(monkeypatch):
    monkeypatch.setattr("wickvane.net.front.FIRST_S", 0.3)
    dispatcher = Dispatcher(TdsEngine(), more="connections 40")
    good = dispatcher.connect()
    login = packets.encode_packets(
        packets.PRELOGIN, prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\2"})
    )
    inside = login + packets.encode_packets(packets.LOGIN7, login7.encode_login7("u", "p"))
    sent = [
        login[:11],
        b"GET / HTTP/1.1\r\n\r\n",
        bytes(64),
        packets.HEADER.pack(18, 1, 0xFFFF, 0, 1, 0) + bytes(9000),
        packets.encode_packets(packets.PRELOGIN, b"\x00\xff\xff\xff\xff"),
        packets.encode_packets(packets.SQL_BATCH, bytes(50)),
        login + packets.encode_packets(packets.LOGIN7, bytes(200)),
        login + packets.encode_packets(packets.LOGIN7, b"\xff" * 94),
        inside + packets.encode_packets(packets.SQL_BATCH, b"\xff" * 30),
        inside + packets.encode_packets(packets.BULK_LOAD, b"abc"),
        inside + packets.encode_packets(packets.SQL_BATCH, b"\4\0\0\0abc"),
        inside + packets.encode_packets(packets.RPC, b"\4\0\0\0abc"),
        login + packets.HEADER.pack(18, 0, 8, 0, 1, 0) * 9000,
    ]
    for data in sent:
        client, told = socket.create_connection(("127.0.0.1", dispatcher.port), timeout=1.5), b""
        try:
            client.sendall(data)
            while more := client.recv(65_536):
                told += more
        except TimeoutError:
            assert data in sent[-1:] or b"\xaa" in told, "neither a word nor a close"
        except ConnectionError:
            pass
        client.close()
    with socket.create_connection(("127.0.0.1", dispatcher.port), timeout=10) as client:
        client.sendall(inside)
        try:
            for _ in range(60 * 16):
                client.sendall(packets.HEADER.pack(1, 0, 32_767, 0, 1, 0) + bytes(32_759) + bytes(32_768))
            raise AssertionError("60 MB were taken")
        except OSError:
            pass
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    assert dispatcher.service.counters.shown().get("faults", 0) == 0


def test_a_storm_of_logins_is_bounded_and_the_house_serves_on():
    dispatcher = Dispatcher(TdsEngine(), more="connections 24")
    good, storm = dispatcher.connect(), []
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]  # who asked nothing would go first
    for _ in range(500):
        try:
            storm.append(socket.create_connection(("127.0.0.1", dispatcher.port), timeout=5))
        except OSError:
            break
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    for sock in storm:
        sock.close()
    until(lambda: len(dispatcher.service.listeners[1].sessions) <= 40)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]


@pytest.mark.parametrize("spoilt", ["endless", "token", "type", "nothing-asked", "lengths", "half"])
def test_an_engine_that_answers_nonsense_costs_its_own_connection_only(spoilt):
    def answer(query):
        if len(sent) >= 1:
            return result((1, "a"))
        sent.append(query)
        if spoilt == "endless":
            framer = packets.PacketWriter(packets.TABULAR_RESULT)
            info = bytes((tokens.RETURNVALUE,)) + b"\0\0\xff" + bytes(510)
            try:
                query.conn.send(framer.write(info + bytes(4 << 20)))
            except OSError:
                pass
        elif spoilt == "token":
            query.answer(b"\x01\x02\x03")
        elif spoilt == "type":
            query.answer(struct.pack("<BHIH", tokens.COLMETADATA, 1, 0, 0) + b"\x99")
        elif spoilt == "nothing-asked":
            query.answer(result((1, "a")) + result((2, "b")))
        elif spoilt == "lengths":
            query.conn.send(packets.HEADER.pack(4, 1, 3, 0, 1, 0))
        else:
            query.conn.send(packets.encode_packets(packets.TABULAR_RESULT, result((1, "a")))[:-5])
            reset(query.conn.sock)
        return None

    sent = []
    engines = [TdsEngine(answer), TdsEngine(answer)]
    dispatcher = Dispatcher(*engines)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
        assert ask(client, "SELECT 2 FROM sales_1.t") == [(1, "a")]
    assert dispatcher.service.counters.shown().get("faults", 0) == 0


def test_flows_tell_tds_connections_like_others():
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


# A generated run of faults, the same on each protocol and on a mixed pool

WORK = {"lookup": 0.05, "load": 0.2, "change": 0.2}


def play(seed, fronts, kinds):
    """One script of queries and faults; the checker's breaches and what it checked."""
    chance = random.Random(seed)
    figures = Figures(
        {"lookup": "read-only", "load": "tokened", "change": "mutating"},
        ordered=("load",),
        budget=(3, 0.1, 5.0),
        cores={"old": 8, "mssql": 8},
        cold=(0.3, 15.0, 2.5, 3.0),
        work=WORK,
    )
    seen, script = Seen(figures), {}
    for n in range(1, 61):
        faults = [
            chance.choices(("answer", "turned-away", "error", "reset", "silent"), (8, 1, 1, 1, 1))[0]
            for _ in range(6)
        ]
        group = chance.choices(("lookup", "load", "change"), (6, 2, 2))[0]
        script[n] = (
            n * 0.03,
            group,
            chance.randrange(2) if group == "load" else None,
            faults,
            chance.uniform(0.0, 0.05),
        )
    tries = {}

    def fault(name, id):
        n = int(id, 16)
        place = seen.submitted(time.time(), id, name)
        tries[n] = tries.get(n, 0) + 1
        time.sleep(script[n][4])
        what = script[n][3][min(tries[n], 6) - 1]
        seen.ended(time.time(), place, {"answer": "finished"}.get(what, what)) if what != "silent" else None
        return what

    class Lines(Engine):
        def serve(self, conn, lines):
            for line in lines:
                words = line.split()
                if words[0] == b"ASK":
                    lines.read(int(words[3]) + 2)
                    Thread(target=self.one, args=(conn, words[1]), daemon=True).start()

        def one(self, conn, txn):
            what = fault(self.name, txn.decode())
            try:
                if what == "reset":
                    reset(conn)
                elif what != "silent":
                    conn.sendall(
                        {
                            "answer": hit(txn),
                            "turned-away": b"%b SHED - 0\r\n\r\n" % txn,
                            "error": b"%b FAULT - 0\r\n\r\n" % txn,
                        }[what]
                    )
            except OSError:
                pass

    def answers(name):
        def one(query):
            what = fault(name, query.id)
            if what == "reset":
                reset(query.conn.sock)
            elif what != "silent":
                return {
                    "answer": result((1, "a")),
                    "turned-away": token_encoding.encode_message(tokens.ERROR, 10929, 1, 16, "busy")
                    + token_encoding.encode_done(tokens.DONE_ERROR),
                    "error": token_encoding.encode_message(tokens.ERROR, 8134, 1, 16, "zero")
                    + token_encoding.encode_done(tokens.DONE_ERROR),
                }[what]
            return None

        return one

    engines = []
    for n, kind in enumerate(kinds):
        engine = Lines() if kind == "old" else TdsEngine(answers(f"e{n}"))
        engine.name = f"e{n}"
        engines.append(engine)
        seen.listed(0.0, engine.name, "ready", kind)
    coordinator = Events()
    first = known(engines[:4])
    for one, kind in zip(first, kinds):
        one["type"] = kind
    dispatcher = Dispatcher(
        coordinator=coordinator,
        known_=first,
        more="lines-take-tds #true",
        engine_body='user "w"; takes-postgres #true',
        obligations={
            "budget_window_ms": 5000.0,
            "extra_free": 3.0,
            "further_ratio": 0.1,
            "cold_from": 0.3,
            "cold_ms": 15000.0,
            "fall_multiple": 2.5,
            "fall_ms": 3000.0,
        },
    )
    coordinator.next("connected")

    def client(n):
        at, group, key, _, _ = script[n]
        front = fronts[n % len(fronts)]
        more = {"unique": f"t{n}"} if group == "load" else {}
        if key is not None:
            more["item"] = f"k{key}"
        text = statement(f"SELECT 1 FROM sales_{n % 5}.t", verb=group, n=n, limit=3000, **more)
        id = f"{n:016x}"
        if front == "tds":
            connection = dispatcher.connect()
        else:
            connection = Client(dispatcher)
        time.sleep(max(0.0, began + at - time.time()))
        seen.taken(time.time(), id, group, 3.0, key)
        if front == "tds":
            try:
                ask(connection, text)
                answer = "finished"
            except pytds.Error as error:
                answer = {errors.DEFERRED: "deferred", errors.KILLED: "killed"}[error.number]
        else:
            code = sqlstate(connection.ask(text))
            answer = "finished" if code is None else "deferred" if code.startswith("53") else "killed"
        seen.answered(time.time(), id, answer)

    began = time.time() + 0.5
    threads = [Thread(target=client, args=(n,), daemon=True) for n in script]
    for thread in threads:
        thread.start()
    # A drain with queries running, an engine that vanishes silently, then a cold one comes.
    time.sleep(max(0.0, began + 0.6 - time.time()))
    coordinator.send.put(sse(2, event(2, first[1] | {"status": "Terminating"})))
    seen.listed(time.time(), "e1", "draining", kinds[1])
    time.sleep(0.4)
    engines[2].answers = lambda *words: None
    if isinstance(engines[2], Lines):
        engines[2].one = lambda conn, txn: seen.submitted(time.time(), txn.decode(), "e2")
    else:
        engines[2].answers = lambda query: seen.submitted(time.time(), query.id, "e2") and None
    cold = known(engines)[4] | {"type": kinds[4], "since_ms": int(time.time() * 1000)}
    coordinator.send.put(sse(3, event(3, cold)))
    seen.listed(time.time(), "e4", "ready", kinds[4], started=time.time())
    for thread in threads:
        thread.join(20)
    time.sleep(0.2)
    return seen.breaches()


POOLS = {
    "lines": (["postgres"], ["old"] * 5),
    "tds": (["tds"], ["mssql"] * 5),
    "mixed": (["postgres", "tds"], ["old", "mssql", "mssql", "old", "mssql"]),
}


@pytest.mark.parametrize("pool", POOLS)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_generated_run_of_faults_keeps_the_rules_on_each_protocol_and_on_a_mixed_pool(seed, pool):
    found_, counts = play(seed, *POOLS[pool])
    assert not found_
    # The same is looked at on each: every query's one answer and effect, whatever it came and went by.
    assert counts[1] == counts[2] == 60 and counts[3] == counts[6] >= 60


def test_a_new_document_changes_rules_and_logins_and_refuses_what_needs_a_restart(tmp_path):
    dispatcher = Dispatcher(TdsEngine())
    configuration, kdl = tmp_path / "config.json", tmp_path / "parts.kdl"
    configuration.write_text(json.dumps(dispatcher.found))
    listen = f'listen "127.0.0.1:{dispatcher.port}"\nengines "mssql" {{ user "w" }}\n'
    users = tmp_path / "logins"
    users.write_text(f"ann:{authentication.hash_password('secret')}\n")
    group = 'rule application="*" { group "change"; limit "3s" }'
    kdl.write_text(f'tds {{ {listen} {group}\nlogins "{users}" }}')
    assert dispatcher.service.reload(str(configuration), str(kdl))
    assert number(dispatcher.connect) == errors.LOGIN_FAILED
    with dispatcher.connect(user="ann", password="secret") as client:
        ask(client, "SELECT 1 FROM sales_1.t")
    counters = dispatcher.service.counters
    until(lambda: counters.shown().get("finished"))
    for text in (
        f"tds {{ {listen} connections 5 }}",
        "",
        f'tds {{ {listen} rule {{ group "x" }} }}',
        f'tds {{ {listen} encrypt "on"; certificate "/nowhere" }}',
    ):
        kdl.write_text(text)
        assert not dispatcher.service.reload(str(configuration), str(kdl))
    with dispatcher.connect(user="ann", password="secret") as client:
        assert ask(client, "SELECT 1 FROM sales_1.t")


def test_a_document_that_names_an_unknown_kind_of_engines_is_refused():
    with pytest.raises(ConfigError, match="expected a kind of host_types: old, mssql"):
        service = parts.read_text('tds { engines "other" { user "w" } }')
        made = found([], Events())
        made["settings"] = settled()
        Service(made, 1, service)
