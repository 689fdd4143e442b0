"""Tests of disconnects of clients, shutdowns, closed engine connections, and changes of the endpoint list.

Each race is forced: a gate holds the dispatcher's own thread at a certain point, or a simulated peer acts
only when the test lets it.
"""

import copy
import json
import select
import socket
import struct
import time
from contextlib import ExitStack
from threading import Event, Thread
from types import SimpleNamespace

import pytest
from bench_free import (
    KEY_INTERVAL_S,
    PATIENCE,
    SETTINGS,
    STARTUP,
    Client,
    Dispatcher,
    Engine,
    Events,
    entry,
    event,
    free_port,
    hit,
    reset,
    rows,
    sqlstate,
    sse,
    statement,
    until,
)

from wickvane.net.lines import connection as engine_connection
from wickvane.net.lines.links import ConnectionPool
from wickvane.net.listener import Listener

LONGER_THAN_A_TEST_S = 1000.0


def no_answer(query_id, words):
    return b""


def settings(**limits):
    """The tests' settings with changed limits."""
    changed = copy.deepcopy(SETTINGS)
    changed["limits"] |= limits
    return changed


def close(client):
    client.file.close()
    client.sock.close()


def reset_connection(client):
    client.file.close()
    reset(client.sock)


def close_after_pipelined_commands(client):
    client.send(statement(n=900))
    client.send(statement(n=901))
    close(client)


DISCONNECTS = [close, reset_connection, close_after_pipelined_commands]


def await_count(dispatcher, name, minimum):
    """Waits until a counter has reached a value."""
    until(
        lambda: dispatcher.service.counters.shown().get(name, 0) >= minimum,
        words=f"{name} did not reach {minimum}",
    )


def first_asked(engines):
    """Waits until an engine has received a request; returns the index of the first such engine."""
    index, _ = until(lambda: next(((n, e) for n, e in enumerate(engines) if not e.came.empty()), None))
    return index


def ids_asked(engine):
    """The ids of the queries that an engine has received so far."""
    asked = []
    while not engine.came.empty():
        kind, words, *_ = engine.came.get()
        if kind == "ASK":
            asked.append(int(words[0], 16))
    return asked


class Gate:
    """Holds each thread that calls a certain method until the test opens the gate."""

    def __init__(self, monkeypatch, owner, name, holds=lambda *args: True):
        self.reached, self.opened = Event(), Event()
        method = getattr(owner, name)

        def held(*args, **named):
            if not self.opened.is_set() and holds(*args):
                self.reached.set()
                assert self.opened.wait(PATIENCE)
            return method(*args, **named)

        monkeypatch.setattr(owner, name, held)


# Clients that disconnect


@pytest.fixture
def no_polling(monkeypatch):
    """Sessions do not poll their sockets while they wait, so only the check before an attempt is made."""
    monkeypatch.setattr("wickvane.net.client_session.CLIENT_CHECK_INTERVAL_S", LONGER_THAN_A_TEST_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_no_attempt_starts_if_the_client_left_while_it_waited_for_an_engine(no_polling, disconnect):
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(coordinator=coordinator)
    leaving, witness = Client(dispatcher), Client(dispatcher)
    leaving.send(statement(n=1, limit=20_000, verb="change"))
    witness.send(statement(n=2, limit=20_000, verb="change"))
    await_count(dispatcher, "taken", 2)
    disconnect(leaving)
    coordinator.send.put(sse(2, event(2, entry("late", engine.address))))
    assert rows(witness.until_ready())
    assert ids_asked(engine) == [2]
    await_count(dispatcher, "left", 1)


def test_no_attempt_starts_for_many_clients_that_left_at_once(no_polling):
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(coordinator=coordinator)
    leaving_clients, witness = [Client(dispatcher) for _ in range(40)], Client(dispatcher)
    for n, client in enumerate(leaving_clients, 100):
        client.send(statement(n=n, limit=20_000, verb="change"))
    witness.send(statement(n=2, limit=20_000, verb="change"))
    await_count(dispatcher, "taken", 41)
    for client in leaving_clients:
        close(client)
    coordinator.send.put(sse(2, event(2, entry("late", engine.address))))
    assert rows(witness.until_ready())
    await_count(dispatcher, "left", 40)
    assert ids_asked(engine) == [2]


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_no_attempt_starts_if_the_client_left_while_it_waited_for_its_key(no_polling, disconnect):
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    clients = [Client(dispatcher) for _ in range(3)]
    for n, client in enumerate(clients, 1):
        client.send(statement(verb="load", n=n, item="7f3a", unique=f"u{n}", cpu=3000, limit=20_000))
        await_count(dispatcher, "taken", n)
        time.sleep(KEY_INTERVAL_S)
    *_, conn = engine.next("ASK")
    disconnect(clients[1])
    conn.sendall(hit(b"%016x" % 1))
    assert engine.next("ASK")[1][0] == b"%016x" % 3


def test_a_query_whose_turn_at_its_key_is_too_late_is_rejected_at_once_and_earlier_ones_wait():
    """A maximum of five queries of three seconds each fits into three quarters of twenty seconds."""
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    clients = [Client(dispatcher) for _ in range(6)]
    for n, client in enumerate(clients, 1):
        fields = dict(verb="load", item="7f3a", unique=f"u{n}", cpu=3000, limit=20_000)
        client.send(statement(n=n, **fields))
        await_count(dispatcher, "taken", n)
        time.sleep(KEY_INTERVAL_S)
    assert sqlstate(clients[5].until_ready()) == "53000"
    await_count(dispatcher, "deferred", 1)  # the session counts after it has written the answer
    assert dispatcher.service.counters.shown()["deferred"] == 1
    *_, conn = engine.next("ASK")
    for n in range(1, 6):
        conn.sendall(hit(b"%016x" % n))
        assert rows(clients[n - 1].until_ready())
        if n < 5:
            *_, conn = engine.next("ASK")


def test_no_attempt_starts_if_the_client_left_while_the_engine_connection_was_opened(no_polling, monkeypatch):
    gate = Gate(monkeypatch, engine_connection.Connection, "mark_up")
    engine = Engine()
    dispatcher = Dispatcher(engine)
    leaving, witness = Client(dispatcher), Client(dispatcher)
    leaving.send(statement(n=1, verb="change"))
    assert gate.reached.wait(PATIENCE)
    close(leaving)
    gate.opened.set()
    assert rows(witness.ask(statement(n=2, verb="change")))
    assert ids_asked(engine) == [2]


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_no_retry_starts_if_the_client_left_during_the_previous_attempt(no_polling, disconnect):
    engines = [Engine(no_answer), Engine(no_answer)]
    dispatcher = Dispatcher(*engines)
    leaving = Client(dispatcher)
    leaving.send(statement(n=1, limit=20_000))
    await_count(dispatcher, "submissions", 1)
    *_, conn = engines[first_asked(engines)].next("ASK")
    disconnect(leaving)
    conn.sendall(b"%016x SHED - 0\r\n\r\n" % 1)
    await_count(dispatcher, "left", 1)
    assert not any(ids_asked(engine) for engine in engines)


def test_no_attempt_starts_if_the_client_left_between_decision_and_write(no_polling, monkeypatch):
    gate = Gate(
        monkeypatch,
        ConnectionPool,
        "candidates",
        lambda pool, attempt, now: attempt.pending.id == b"%016x" % 1,
    )
    engine = Engine()
    dispatcher = Dispatcher(engine)
    witness, leaving = Client(dispatcher), Client(dispatcher)
    # Opens the connection, so that the next query is written at once.
    assert rows(witness.ask(statement(n=2)))
    leaving.send(statement(n=1))
    assert gate.reached.wait(PATIENCE)
    close(leaving)
    gate.opened.set()
    assert rows(witness.ask(statement(n=3)))
    assert ids_asked(engine) == [2, 3]


def test_pipelined_commands_of_a_client_that_left_are_not_accepted():
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    client.send(statement(n=1, limit=20_000, verb="change"))
    engine.next("ASK")
    close_after_pipelined_commands(client)
    assert engine.next()[:2] == ("QUIT", [b"%016x" % 1])
    assert dispatcher.logged("client-connection-ended")
    assert dispatcher.service.counters.shown()["taken"] == 1


def test_a_disconnect_behind_pipelined_commands_is_noticed_while_a_query_is_in_flight():
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    statements = [statement(n=n, limit=120_000, verb="change").encode() + b"\0" for n in (1, 2)]
    client.sock.sendall(b"".join(b"Q" + struct.pack("!I", 4 + len(text)) + text for text in statements))
    engine.next("ASK")
    close(client)
    assert engine.next()[:2] == ("QUIT", [b"%016x" % 1])
    assert dispatcher.logged("client-connection-ended")[0]["reason"] == "client-closed"
    assert dispatcher.service.counters.shown()["taken"] == 1


# Dispatchers that shut down


@pytest.fixture
def shut_down(monkeypatch):
    """Shuts a dispatcher down in a thread of its own, without waiting for further connections."""
    monkeypatch.setattr("wickvane.net.service.ARRIVAL_GRACE_S", 0.0)
    threads = []

    def start(dispatcher):
        threads.append(Thread(target=dispatcher.service.stop, daemon=True))
        threads[-1].start()

    yield start
    for thread in threads:
        thread.join(PATIENCE)
        assert not thread.is_alive()


def was_reset(sock):
    """Whether the peer has reset the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return any(events & select.POLLERR for _, events in poll.poll(0))


def test_a_query_that_crosses_the_shutdown_on_an_idle_connection_causes_no_reset(monkeypatch, shut_down):
    monkeypatch.setattr("wickvane.net.client_connection.DISCARD_INPUT_S", PATIENCE)
    engine = Engine()
    dispatcher = Dispatcher(engine)
    idle_client = Client(dispatcher)
    shut_down(dispatcher)
    assert sqlstate([idle_client.message()]) == "57P03" and idle_client.message() is None
    idle_client.send(statement(n=1))
    idle_client.sock.shutdown(socket.SHUT_WR)
    assert dispatcher.logged("client-connection-ended")[0]["reason"] == "stop"
    assert not was_reset(idle_client.sock)
    assert engine.came.empty() and "taken" not in dispatcher.service.counters.shown()


def test_pipelined_commands_are_rejected_at_shutdown_and_not_sent_to_an_engine(shut_down):
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    for n in (1, 2, 3):
        client.send(statement(n=n, limit=20_000))
    *_, conn = engine.next("ASK")
    shut_down(dispatcher)
    assert dispatcher.service.stopping.wait(PATIENCE)
    conn.sendall(hit(b"%016x" % 1))
    assert rows(client.until_ready())
    assert [sqlstate(client.until_ready()) for _ in (2, 3)] == ["57P03", "57P03"]
    assert sqlstate([client.message()]) == "57P03" and client.message() is None
    assert ids_asked(engine) == []


def test_a_message_half_received_at_shutdown_is_rejected_once_complete(shut_down):
    engine = Engine()
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    text = statement(n=1).encode() + b"\0"
    message = b"Q" + struct.pack("!I", 4 + len(text)) + text
    client.sock.sendall(message[:20])
    until(lambda: not any(session.idle for session in dispatcher.service.listeners[0].sessions))
    shut_down(dispatcher)
    assert dispatcher.service.stopping.wait(PATIENCE)
    client.sock.sendall(message[20:])
    assert sqlstate(client.until_ready()) == "57P03"
    assert sqlstate([client.message()]) == "57P03" and client.message() is None
    assert engine.came.empty()


def test_a_connection_that_waits_to_be_accepted_is_answered_at_shutdown(monkeypatch, shut_down):
    gate = Gate(monkeypatch, Listener, "make_room")
    dispatcher = Dispatcher(Engine())
    text = statement(n=1).encode() + b"\0"
    startup_and_query = STARTUP + b"Q" + struct.pack("!I", 4 + len(text)) + text
    clients = [Client(dispatcher, startup_and_query) for _ in range(2)]
    assert gate.reached.wait(PATIENCE)
    listening_socket = dispatcher.service.listeners[0].sock
    shutdown_waits = Event()
    real_sleep = time.sleep

    def sleep(seconds):
        # The shutdown has begun; the gate holds one connection and another one waits to be accepted.
        shutdown_waits.set()
        real_sleep(seconds)

    monkeypatch.setattr("wickvane.net.listener.time.sleep", sleep)
    shut_down(dispatcher)
    assert shutdown_waits.wait(PATIENCE) and listening_socket.fileno() >= 0
    gate.opened.set()
    for client in clients:
        client.until_ready()
        answer = client.until_ready()
        assert rows(answer) or sqlstate(answer) in ("57P03", "55000")


def test_a_client_that_does_not_read_and_a_hung_engine_do_not_delay_the_shutdown(monkeypatch, shut_down):
    monkeypatch.setattr("wickvane.net.service.KILL_DELAY", 2_000)
    page = b"a\tb\t" + b"c" * 5900 + b"\n"

    def answer(query_id, words):
        if int(query_id, 16) == 1:
            return b""
        if words[0] == b"ASK":
            return hit(query_id, page, b"sheets=8")
        return (
            b"%b PART sheet=%b %d\r\n%b\r\n" % (query_id, words[2], len(page), page)
            if len(words) > 2
            else b""
        )

    short_deadlines = settings()
    for group in short_deadlines["classes"]:
        group["deadline_ms"] = 500.0
    dispatcher = Dispatcher(Engine(answer), settings=short_deadlines)
    hung_client, unread_client = Client(dispatcher), Client(dispatcher)
    hung_client.send(statement(n=1, limit=20_000, verb="change"))
    for n in range(2, 200):
        unread_client.send(statement(n=n))
    await_count(dispatcher, "taken", 10)
    shut_down(dispatcher)
    assert sqlstate(hung_client.until_ready()) == "58000"
    assert dispatcher.logged("stopped")[0]["took"] < 2.0


# Connections to engines


def test_a_connection_closed_by_its_engine_while_idle_carries_no_non_idempotent_query(monkeypatch):
    ignored = []
    ready = engine_connection.Connection.handle_ready
    monkeypatch.setattr(
        engine_connection.Connection, "handle_ready", lambda self: None if self in ignored else ready(self)
    )
    engine = Engine()
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1, verb="change")))
    *_, conn = engine.next("ASK")
    ignored.extend(dispatcher.service.links.connections)  # the dispatcher does not notice their close
    assert len(ignored) == 1
    conn.shutdown(socket.SHUT_RDWR)
    assert rows(client.ask(statement(n=2, verb="change")))
    assert dispatcher.service.counters.shown()["submissions"] == 2


def test_an_attempt_is_abandoned_if_its_answer_comes_octet_by_octet_without_end():
    ended = Event()

    class Trickling(Engine):
        def serve(self, conn, lines):
            self.came.put(lines.readline().split())
            conn.sendall(b"%016x HIT sheets=1 5000\r\n" % 1)
            while not ended.wait(0.05):
                conn.sendall(b"x")

    trickling, other = Trickling(), Engine()
    engines = [trickling, other]
    dispatcher = Dispatcher(*engines)
    client = Client(dispatcher)
    # Tries table groups until one is placed on the trickling engine first.
    for n in range(1, 40):
        started_at = time.monotonic()
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=1, limit=20_000, cpu=8000)))
        if not trickling.came.empty():
            break
    assert time.monotonic() - started_at < 3.0
    ended.set()
    assert dispatcher.logged("engine-connection-ended")[0]["reason"] == "malformed"


def test_a_retry_whose_idempotency_window_ended_while_its_connection_was_opened_is_not_sent(monkeypatch):
    first_engine = []
    gate = Gate(
        monkeypatch,
        engine_connection.Connection,
        "mark_up",
        lambda connection, sock: first_engine and connection.pool.queue.name != first_engine[0],
    )
    short_window = settings(dial_timeout_ms=20_000.0)
    short_window["classes"][1]["repeat_window_ms"] = 400.0
    engines = [Engine(no_answer), Engine(no_answer)]
    dispatcher = Dispatcher(*engines, settings=short_window)
    client = Client(dispatcher)
    client.send(statement(verb="load", item="k", unique="u", limit=5000))
    first = first_asked(engines)
    *_, conn = engines[first].next("ASK")
    asked_at = time.monotonic()
    first_engine.append(f"e{first}")
    reset(conn)
    assert gate.reached.wait(PATIENCE)
    assert engines[1 - first].came.empty()
    time.sleep(max(0.0, asked_at + 0.45 - time.monotonic()))  # until the window has ended
    gate.opened.set()
    assert sqlstate(client.until_ready()) == "58000"  # it may have run, and its token is forgotten
    assert engines[1 - first].came.empty()


@pytest.mark.parametrize("verb, expected_sqlstate", [("change", "58000"), ("load", None)])
@pytest.mark.parametrize(
    "partial_answer",
    [
        b"%b HI",
        b"%b HIT sheets=1 600\r\na\tb",
        b"%b HIT sheets=2 6\r\na\tb\tc\n\r\n",
    ],
)
def test_a_partial_answer_before_a_close_does_not_prove_how_the_query_ended(
    partial_answer, verb, expected_sqlstate
):
    """A query that may not be repeated fails; one with a key is retried within its idempotency window."""
    asked = []

    class Closing(Engine):
        def serve(self, conn, lines):
            asked.append(lines.readline().split()[1])
            if len(asked) > 1:
                conn.sendall(hit(asked[-1]))
                lines.read()
            conn.sendall(partial_answer.replace(b"%b", asked[-1]))
            conn.shutdown(socket.SHUT_RDWR)

    dispatcher = Dispatcher(Closing(), Closing())
    answer = Client(dispatcher).ask(statement(verb=verb, item="k", unique="u"))
    assert sqlstate(answer) == expected_sqlstate and bool(rows(answer)) == (expected_sqlstate is None)
    assert dispatcher.service.counters.shown()["submissions"] == len(asked) == (1 if expected_sqlstate else 2)


def test_a_query_hung_in_an_engine_is_abandoned_at_its_deadline_and_not_retried():
    engines = [Engine(no_answer), Engine(no_answer)]
    dispatcher = Dispatcher(*engines)
    answer = Client(dispatcher).ask(statement(verb="change", limit=1200))
    assert sqlstate(answer) == "58000"
    assert 1150 <= dispatcher.logged("query")[0]["took"] < 3000
    assert sum(len(ids_asked(engine)) for engine in engines) == 1


def full_backlog():
    """A listening socket with a full backlog, so that connecting to it never succeeds, and its address."""
    stack = ExitStack()
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    for _ in range(3):
        waiting = stack.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex(address)
    return stack, SimpleNamespace(address=f"{address[0]}:{address[1]}")


def test_a_dial_that_times_out_proves_that_nothing_ran_and_the_query_is_retried():
    stack, unreachable = full_backlog()
    with stack:
        engine = Engine()
        dispatcher = Dispatcher(unreachable, engine)
        client = Client(dispatcher)
        for n in range(1, 12):
            assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n, verb="change")))
        counts = dispatcher.service.counters.shown()
        assert counts["ending-no-connection"] and counts["engine-connections-ended-connect-timeout"]
        assert sorted(ids_asked(engine)) == list(range(1, 12))


def test_an_attempt_that_waits_for_the_dial_of_a_draining_engine_is_withdrawn():
    stack, unreachable = full_backlog()
    with stack:
        other, coordinator = Engine(), Events()
        dispatcher = Dispatcher(
            unreachable, coordinator=coordinator, settings=settings(dial_timeout_ms=60_000.0)
        )
        client = Client(dispatcher)
        client.send(statement(n=1, limit=PATIENCE * 1000, verb="change"))
        await_count(dispatcher, "engine-connections", 1)
        coordinator.send.put(
            sse(2, event(2, entry("e0", unreachable.address, "Terminating"), entry("other", other.address)))
        )
        assert rows(client.until_ready())
        assert dispatcher.service.counters.shown()["ending-not-sent"] == 1


# The endpoint list


def test_a_full_list_in_place_of_changes_removes_the_engines_missing_from_it():
    engines, coordinator = [Engine(), Engine()], Events()
    dispatcher = Dispatcher(engines[0], coordinator=coordinator)
    coordinator.send.put(sse(2, event(2, entry("e1", engines[1].address), snapshot=True)))
    await_count(dispatcher, "list-events", 2)
    client = Client(dispatcher)
    for n in range(1, 9):
        assert rows(client.ask(statement(f"SELECT 1 FROM s_{n}.t", n=n)))
    assert engines[0].came.empty()


def test_a_repeated_list_event_changes_nothing():
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(engine, coordinator=coordinator)
    drain = sse(2, event(2, entry("e0", engine.address, "Terminating")))
    ready = sse(3, event(3, entry("e0", engine.address)))
    for message in (drain, ready, drain):
        coordinator.send.put(message)
    await_count(dispatcher, "list-events", 3)
    assert rows(Client(dispatcher).ask(statement()))
    assert dispatcher.service.counters.shown()["list-events"] == 3


def test_a_gap_in_the_event_numbers_is_requested_again_and_accepted_if_it_persists():
    engines, coordinator = [Engine(), Engine()], Events()
    dispatcher = Dispatcher(engines[0], coordinator=coordinator)
    assert coordinator.next() == ("connected", b"1")
    drain = event(2, entry("e0", engines[0].address, "Terminating"))
    more = event(3, entry("e1", engines[1].address))
    coordinator.send.put(sse(3, more))  # event 2 is missing
    assert coordinator.next() == ("connected", b"1")
    coordinator.send.put(sse(2, drain) + sse(3, more))
    await_count(dispatcher, "list-events", 3)
    client = Client(dispatcher)
    for n in range(1, 9):
        assert rows(client.ask(statement(f"SELECT 1 FROM s_{n}.t", n=n)))
    assert engines[0].came.empty()
    # A gap that the coordinator sends a second time is accepted.
    gap = sse(9, event(9, entry("e0", engines[0].address)))
    coordinator.send.put(gap)
    assert coordinator.next() == ("connected", b"3")
    coordinator.send.put(gap)
    await_count(dispatcher, "list-events", 4)
    assert dispatcher.service.coordinator.last == 9


def test_a_coordinator_connection_without_an_answer_is_closed(monkeypatch):
    monkeypatch.setattr("wickvane.net.coordinator.READ_TIMEOUT_S", 0.05)

    class Silent(Events):
        def serve(self, conn, lines):
            self.came.put(("connected",))
            lines.read()

    coordinator = Silent()
    dispatcher = Dispatcher(coordinator=coordinator)
    assert [coordinator.next(), coordinator.next()] == [("connected",)] * 2
    assert dispatcher.logged("coordinator-connection-ended")[0]["reason"] == "silent"


def test_an_engine_that_returns_under_its_name_and_address_gets_a_new_connection():
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(engine, coordinator=coordinator)
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1)))
    *_, old_connection = engine.next("ASK")
    coordinator.send.put(sse(2, event(2, entry("e0", engine.address, "Gone"))))
    coordinator.send.put(sse(3, event(3, entry("e0", engine.address))))
    await_count(dispatcher, "list-events", 3)
    assert rows(client.ask(statement(n=2)))
    *_, new_connection = engine.next("ASK")
    assert new_connection is not old_connection


# Starts and descriptors, with dispatchers in processes of their own


def await_ready(process):
    while json.loads(process.stdout.readline())["event"] != "ready":
        pass


def test_a_start_without_a_coordinator_uses_the_endpoint_list_of_the_configuration(started):
    engine = Engine()
    started_at = time.monotonic()
    process = started(engine, coordinator=f"127.0.0.1:{free_port()}")
    await_ready(process)
    assert rows(Client(process).ask(statement()))
    assert time.monotonic() - started_at < 10


def test_seven_dispatchers_that_start_at_once_serve_within_ten_seconds(started):
    engine = Engine()
    started_at = time.monotonic()
    processes = [started(engine) for _ in range(7)]
    for n, process in enumerate(processes):
        await_ready(process)
        assert rows(Client(process).ask(statement(n=n)))
    assert time.monotonic() - started_at < 10


def test_idle_clients_that_use_up_the_descriptors_do_not_stop_endpoint_updates_or_service(started):
    engine, port = Engine(), free_port()
    process = started(coordinator=f"127.0.0.1:{port}", limits={"sockets": 64}, descriptors=64)
    await_ready(process)
    host, _, listen = process.found["listen"].rpartition(":")
    with ExitStack() as stack:
        idle = [
            stack.enter_context(socket.create_connection((host, int(listen)), timeout=PATIENCE))
            for _ in range(150)
        ]
        assert idle
        coordinator = Events(port)
        assert coordinator.next()[0] == "connected"
        coordinator.send.put(sse(2, event(2, entry("late", engine.address))))
        client = Client(process)
        assert rows(client.ask(statement(limit=5000)))
    assert process.poll() is None
