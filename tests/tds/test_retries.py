"""Tests of which batches are retried: what the failure of an engine or a connection proves."""

import copy
import random
import socket
import time
from functools import partial
from threading import Thread

import pytest
from bench_free import SETTINGS, reset, statement, until
from standins.tds_engine import COLUMNS, TdsEngine, result
from test_readers import link_with_one_attempt

from tds.helpers import Dispatcher, ask, error_number, tds_settings
from wickvane.events import Ending
from wickvane.net.lines import connection as lines
from wickvane.net.tds import errors, packets, prelogin, token_encoding, tokens
from wickvane.net.tds.connection import Connection as TdsConnection


@pytest.mark.parametrize(
    "failure, answer",
    [("reset", errors.KILLED), ("error", errors.KILLED), ("busy", None), ("half", errors.KILLED)],
)
def test_a_mutating_batch_is_retried_only_if_nothing_ran(failure, answer):
    def first(query):
        if len(sent) == 1:
            if failure == "reset":
                reset(query.conn.sock)
            elif failure == "error":
                return token_encoding.encode_message(
                    tokens.ERROR, 547, 1, 16, "conflict"
                ) + token_encoding.encode_done(tokens.DONE_ERROR)
            elif failure == "busy":
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


@pytest.mark.parametrize("window, expected_attempts", [(12000.0, 2), (1.0, 1)])
def test_a_tokened_batch_is_retried_only_within_its_idempotency_window(window, expected_attempts):
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
    changed_settings = tds_settings()
    engines = [TdsEngine(first) for _ in range(2)]
    changed_settings["classes"] = classes
    dispatcher = Dispatcher(*engines, family_info={})
    if window == 1.0:
        scheduler = dispatcher.service.decider.scheduler
        scheduler.groups[:] = [g._replace(idempotency_window=10) for g in scheduler.groups]
    with dispatcher.connect() as client:
        text = statement("INSERT INTO sales_3.t VALUES (1)", verb="load", n=9, unique="tok", item="k")
        if expected_attempts == 2:
            assert ask(client, text)
        else:
            assert error_number(ask, client, text) in (errors.KILLED, errors.DEFERRED)
    assert sent == ["tok"] * expected_attempts


@pytest.mark.parametrize("rejection", ["login", "route", "encrypted", "closed"])
def test_a_failed_engine_login_proves_that_nothing_ran(rejection):
    bad, good = TdsEngine(), TdsEngine()
    if rejection == "login":
        bad.refuses = (18456, 1, 14, "Login failed")
    elif rejection == "encrypted":
        bad.encryption = prelogin.ENCRYPT_REQUIRED
    elif rejection == "closed":
        bad.end()
    else:
        bad.refuses = (40613, 1, 20, "moving")
    dispatcher = Dispatcher(bad, good)
    with dispatcher.connect() as client:
        for n in range(1, 9):
            text = statement(f"UPDATE sales_{n}.t SET a=1", verb="change", n=n)
            assert ask(client, text) == [(1, "a")]
    if rejection != "closed":
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
def test_a_batch_lost_before_its_last_octet_is_sent_is_retried_on_another_engine(monkeypatch, broken, reason):
    def dial(self):
        sock = original_dial(self)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
        return sock

    original_dial = TdsConnection.dial
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
    assert any(
        shown().get(f"engine-connections-ended-{ended_reason}") for ended_reason in (reason, "peer-closed")
    )


def half_written_batch(monkeypatch):
    """Writes half of a batch of 100 KB on a socket pair with small buffers.

    Returns the connection, the engine's socket, the attempt and the inbox."""
    link, attempt, inbox = link_with_one_attempt(monkeypatch)
    connection, (local, engine_socket) = TdsConnection(link), socket.socketpair()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
    connection.sock, connection.up, link.connections[:] = local, True, [connection]
    attempt.pending.body = b"UPDATE sales_1.t SET a='" + b"x" * 50_000 + b"'"
    assert connection.put("ask", attempt) and connection.send_buffer
    Thread(target=link.io_loop.run, daemon=True).start()
    return connection, engine_socket, attempt, inbox


def single_ending(inbox, attempt):
    until(partial(len, inbox.items))
    ((_, ended, ending, *_),) = inbox.take(0)
    assert ended is attempt
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
def test_only_an_incompletely_sent_batch_is_proven_not_to_have_run(monkeypatch, reason, proven):
    for complete in (False, True):
        connection, engine_socket, attempt, inbox = half_written_batch(monkeypatch)
        assembler = packets.MessageAssembler(1 << 20)
        assembler.feed(engine_socket.recv(3000))
        while complete and assembler.next_message() is None:
            assembler.feed(engine_socket.recv(65_536))
        connection.fail(reason)
        assert single_ending(inbox, attempt) == (Ending.RESET if complete else proven)
        engine_socket.close()
        connection.pool.io_loop.stop()


def test_a_connection_end_during_the_last_write_proves_nothing_about_a_complete_batch(monkeypatch):
    """Another thread ends the connection while the engine pool's I/O loop writes to it."""

    def read(engine_socket, received):
        try:
            while data := engine_socket.recv(rng.randrange(1, 20_000)):
                received[0] += len(data)
        except OSError:
            pass

    rng, seen = random.Random(11), set()
    for _ in range(120):
        connection, engine_socket, attempt, inbox = half_written_batch(monkeypatch)
        received = [0]
        reader = Thread(target=read, args=(engine_socket, received))
        reader.start()
        threshold = rng.choice((0, 60_000, 95_000, 100_000, 100_100))
        while received[0] < threshold and connection.send_buffer:
            time.sleep(0)
        connection.fail("peer-closed")
        reader.join()
        ending = single_ending(inbox, attempt)
        # Two octets per character, and headers.
        has_complete_batch = received[0] >= 2 * len(attempt.pending.body)
        assert ending == Ending.RESET or not has_complete_batch
        seen.add((ending, has_complete_batch))
        engine_socket.close()
        connection.pool.io_loop.stop()
    assert {ending for ending, _ in seen} == {Ending.RESET, Ending.NO_CONNECTION}
