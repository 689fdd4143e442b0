"""Which batches may be sent again: what an engine or a connection that fails proves."""

import copy
import random
import socket
import time
from functools import partial
from threading import Thread

import pytest
from bench_free import SETTINGS, reset, statement, until
from standins.tds_engine import COLUMNS, TdsEngine, result
from test_readers import line_of_one

from tds.helpers import Dispatcher, ask, error_number, tds_settings
from wickvane.events import Ending
from wickvane.net.lines import connection as lines
from wickvane.net.tds import errors, packets, prelogin, token_encoding, tokens
from wickvane.net.tds.connection import Connection as TdsConnection


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
            assert error_number(ask, client, text) == answer
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
    made = tds_settings()
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
            assert error_number(ask, client, text) in (errors.KILLED, errors.DEFERRED)
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
    monkeypatch.setattr(lines, "WRITE_TIMEOUT", 3_000)
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
    assert place.put("ask", sub) and place.send_buffer
    Thread(target=keeper.io_loop.run, daemon=True).start()
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
        place.pool.io_loop.stop()


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
        while got[0] < mark and place.send_buffer:
            time.sleep(0)
        place.fail("peer-closed")
        reader.join()
        ending = only_ending(inbox, sub)
        has_whole = got[0] >= 2 * len(sub.pending.body)  # two octets a character, and a head
        assert ending == Ending.RESET or not has_whole
        seen.add((ending, has_whole))
        theirs.close()
        place.pool.io_loop.stop()
    assert {ending for ending, _ in seen} == {Ending.RESET, Ending.NO_CONNECTION}
