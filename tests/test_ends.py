"""What is owed when something ends: a client, a dispatcher, a connection to an engine, a list of engines.

Each crossing is forced: a gate holds the dispatcher's own thread at the instant in question, or a stand-in
acts only once the test says so.
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

NEVER_S = 1000.0


def silent(txn, words):
    return b""


def settings(**limits):
    changed = copy.deepcopy(SETTINGS)
    changed["limits"] |= limits
    return changed


def close(client):
    client.file.close()
    client.sock.close()


def reset_connection(client):
    client.file.close()
    reset(client.sock)


def close_behind_more_commands(client):
    client.send(statement(n=900))
    client.send(statement(n=901))
    close(client)


LEAVING = [close, reset_connection, close_behind_more_commands]


def counted(dispatcher, name, least):
    """Waits until a counter has got so far."""
    until(
        lambda: dispatcher.service.counters.shown().get(name, 0) >= least,
        words=f"{name} never got to {least}",
    )


def first_asked(engines):
    """The place of the first engine that has been asked something."""
    place, _ = until(lambda: next(((n, e) for n, e in enumerate(engines) if not e.came.empty()), None))
    return place


def ids_asked(engine):
    """The ids of all that an engine has been asked so far."""
    asked = []
    while not engine.came.empty():
        kind, words, *_ = engine.came.get()
        if kind == "ASK":
            asked.append(int(words[0], 16))
    return asked


class Gate:
    """Holds whoever passes through a method of the program until the test opens it."""

    def __init__(self, monkeypatch, owner, name, holds=lambda *args: True):
        self.reached, self.opened = Event(), Event()
        method = getattr(owner, name)

        def held(*args, **named):
            if not self.opened.is_set() and holds(*args):
                self.reached.set()
                assert self.opened.wait(PATIENCE)
            return method(*args, **named)

        monkeypatch.setattr(owner, name, held)


# The client that left


@pytest.fixture
def no_looks(monkeypatch):
    """Sessions do not look for their clients while they wait: only the check before an attempt is left."""
    monkeypatch.setattr("wickvane.net.front.PEEK_S", NEVER_S)


@pytest.mark.parametrize("leave", LEAVING)
def test_nothing_begins_for_a_client_that_left_while_it_waited_for_an_engine(no_looks, leave):
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(coordinator=coordinator)
    leaver, witness = Client(dispatcher), Client(dispatcher)
    leaver.send(statement(n=1, limit=20_000, verb="change"))
    witness.send(statement(n=2, limit=20_000, verb="change"))
    counted(dispatcher, "taken", 2)
    leave(leaver)
    coordinator.send.put(sse(2, event(2, entry("late", engine.address))))
    assert rows(witness.until_ready())
    assert ids_asked(engine) == [2]
    counted(dispatcher, "left", 1)


def test_a_burst_of_leavers_costs_the_engine_nothing(no_looks):
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(coordinator=coordinator)
    leavers, witness = [Client(dispatcher) for _ in range(40)], Client(dispatcher)
    for n, client in enumerate(leavers, 100):
        client.send(statement(n=n, limit=20_000, verb="change"))
    witness.send(statement(n=2, limit=20_000, verb="change"))
    counted(dispatcher, "taken", 41)
    for client in leavers:
        close(client)
    coordinator.send.put(sse(2, event(2, entry("late", engine.address))))
    assert rows(witness.until_ready())
    counted(dispatcher, "left", 40)
    assert ids_asked(engine) == [2]


@pytest.mark.parametrize("leave", LEAVING)
def test_nothing_begins_for_a_client_that_left_while_it_waited_for_its_key(no_looks, leave):
    engine = Engine(silent)
    dispatcher = Dispatcher(engine)
    clients = [Client(dispatcher) for _ in range(3)]
    for n, client in enumerate(clients, 1):
        client.send(statement(verb="load", n=n, item="7f3a", unique=f"u{n}", cpu=3000, limit=20_000))
        counted(dispatcher, "taken", n)
    *_, conn = engine.next("ASK")
    leave(clients[1])
    conn.sendall(hit(b"%016x" % 1))
    assert engine.next("ASK")[1][0] == b"%016x" % 3


def test_a_query_whose_key_s_turn_would_come_too_late_is_refused_at_once_and_those_ahead_of_it_wait():
    """Of three seconds each, at most five fit into three quarters of twenty seconds."""
    engine = Engine(silent)
    dispatcher = Dispatcher(engine)
    clients = [Client(dispatcher) for _ in range(6)]
    for n, client in enumerate(clients, 1):
        keyed = dict(verb="load", item="7f3a", unique=f"u{n}", cpu=3000, limit=20_000)
        client.send(statement(n=n, **keyed))
        counted(dispatcher, "taken", n)
    assert sqlstate(clients[5].until_ready()) == "53000"
    assert dispatcher.service.counters.shown()["deferred"] == 1
    *_, conn = engine.next("ASK")
    for n in range(1, 6):
        conn.sendall(hit(b"%016x" % n))
        assert rows(clients[n - 1].until_ready())
        if n < 5:
            *_, conn = engine.next("ASK")


def test_nothing_begins_for_a_client_that_left_while_its_connection_was_opened(no_looks, monkeypatch):
    gate = Gate(monkeypatch, engine_connection.Connection, "mark_up")
    engine = Engine()
    dispatcher = Dispatcher(engine)
    leaver, witness = Client(dispatcher), Client(dispatcher)
    leaver.send(statement(n=1, verb="change"))
    assert gate.reached.wait(PATIENCE)
    close(leaver)
    gate.opened.set()
    assert rows(witness.ask(statement(n=2, verb="change")))
    assert ids_asked(engine) == [2]


@pytest.mark.parametrize("leave", LEAVING)
def test_no_retry_begins_for_a_client_that_left_while_the_attempt_before_was_out(no_looks, leave):
    engines = [Engine(silent), Engine(silent)]
    dispatcher = Dispatcher(*engines)
    leaver = Client(dispatcher)
    leaver.send(statement(n=1, limit=20_000))
    counted(dispatcher, "submissions", 1)
    *_, conn = engines[first_asked(engines)].next("ASK")
    leave(leaver)
    conn.sendall(b"%016x SHED - 0\r\n\r\n" % 1)
    counted(dispatcher, "left", 1)
    assert not any(ids_asked(engine) for engine in engines)


def test_nothing_begins_for_a_client_that_left_between_decision_and_write(no_looks, monkeypatch):
    gate = Gate(
        monkeypatch, ConnectionPool, "candidates", lambda link, sub, now: sub.pending.id == b"%016x" % 1
    )
    engine = Engine()
    dispatcher = Dispatcher(engine)
    witness, leaver = Client(dispatcher), Client(dispatcher)
    assert rows(witness.ask(statement(n=2)))  # its connection is open, so the next is written at once
    leaver.send(statement(n=1))
    assert gate.reached.wait(PATIENCE)
    close(leaver)
    gate.opened.set()
    assert rows(witness.ask(statement(n=3)))
    assert ids_asked(engine) == [2, 3]


def test_commands_behind_one_whose_client_has_gone_are_not_taken():
    engine = Engine(silent)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    client.send(statement(n=1, limit=20_000, verb="change"))
    engine.next("ASK")
    close_behind_more_commands(client)
    assert engine.next()[:2] == ("QUIT", [b"%016x" % 1])
    assert dispatcher.logged("client-connection-ended")
    assert dispatcher.service.counters.shown()["taken"] == 1


def test_a_client_that_left_with_commands_read_ahead_is_missed_while_its_query_is_out():
    engine = Engine(silent)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    texts = [statement(n=n, limit=120_000, verb="change").encode() + b"\0" for n in (1, 2)]
    client.sock.sendall(b"".join(b"Q" + struct.pack("!I", 4 + len(text)) + text for text in texts))
    engine.next("ASK")
    close(client)
    assert engine.next()[:2] == ("QUIT", [b"%016x" % 1])
    assert dispatcher.logged("client-connection-ended")[0]["reason"] == "client-closed"
    assert dispatcher.service.counters.shown()["taken"] == 1


# The dispatcher that ends


@pytest.fixture
def ending(monkeypatch):
    """Ends a dispatcher in a thread of its own, with no time for what may still come."""
    monkeypatch.setattr("wickvane.net.service.COMING_S", 0.0)
    threads = []

    def end(dispatcher):
        threads.append(Thread(target=dispatcher.service.stop, daemon=True))
        threads[-1].start()

    yield end
    for thread in threads:
        thread.join(PATIENCE)
        assert not thread.is_alive()


def was_reset(sock):
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return any(events & select.POLLERR for _, events in poll.poll(0))


def test_a_request_that_crosses_the_end_on_a_resting_connection_resets_nothing(monkeypatch, ending):
    monkeypatch.setattr("wickvane.net.front.FAREWELL_S", PATIENCE)
    engine = Engine()
    dispatcher = Dispatcher(engine)
    resting = Client(dispatcher)
    ending(dispatcher)
    assert sqlstate([resting.message()]) == "57P03" and resting.message() is None
    resting.send(statement(n=1))
    resting.sock.shutdown(socket.SHUT_WR)
    assert dispatcher.logged("client-connection-ended")[0]["reason"] == "stop"
    assert not was_reset(resting.sock)
    assert engine.came.empty() and "taken" not in dispatcher.service.counters.shown()


def test_commands_behind_an_open_one_are_refused_at_the_end_and_never_sent_on(ending):
    engine = Engine(silent)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    for n in (1, 2, 3):
        client.send(statement(n=n, limit=20_000))
    *_, conn = engine.next("ASK")
    ending(dispatcher)
    assert dispatcher.service.stopping.wait(PATIENCE)
    conn.sendall(hit(b"%016x" % 1))
    assert rows(client.until_ready())
    assert [sqlstate(client.until_ready()) for _ in (2, 3)] == ["57P03", "57P03"]
    assert sqlstate([client.message()]) == "57P03" and client.message() is None
    assert ids_asked(engine) == []


def test_a_message_half_received_at_the_end_is_refused_once_whole(ending):
    engine = Engine()
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    text = statement(n=1).encode() + b"\0"
    whole = b"Q" + struct.pack("!I", 4 + len(text)) + text
    client.sock.sendall(whole[:20])
    until(lambda: not any(session.idle for session in dispatcher.service.listeners[0].sessions))
    ending(dispatcher)
    assert dispatcher.service.stopping.wait(PATIENCE)
    client.sock.sendall(whole[20:])
    assert sqlstate(client.until_ready()) == "57P03"
    assert sqlstate([client.message()]) == "57P03" and client.message() is None
    assert engine.came.empty()


def test_a_connection_in_line_to_be_taken_in_is_answered_at_the_end(monkeypatch, ending):
    gate = Gate(monkeypatch, Listener, "make_room")
    dispatcher = Dispatcher(Engine())
    text = statement(n=1).encode() + b"\0"
    asking = STARTUP + b"Q" + struct.pack("!I", 4 + len(text)) + text
    clients = [Client(dispatcher, asking) for _ in range(2)]
    assert gate.reached.wait(PATIENCE)
    listening = dispatcher.service.listeners[0].sock
    waited = Event()
    real_sleep = time.sleep

    def sleep(seconds):
        # The end is under way, with one connection held by the gate and one in line behind it.
        waited.set()
        real_sleep(seconds)

    monkeypatch.setattr("wickvane.net.listener.time.sleep", sleep)
    ending(dispatcher)
    assert waited.wait(PATIENCE) and listening.fileno() >= 0
    gate.opened.set()
    for client in clients:
        client.until_ready()
        answer = client.until_ready()
        assert rows(answer) or sqlstate(answer) in ("57P03", "55000")


def test_a_client_that_does_not_read_and_a_hung_engine_do_not_hold_the_end(monkeypatch, ending):
    monkeypatch.setattr("wickvane.net.service.KILL_AFTER", 2_000)
    page = b"a\tb\t" + b"c" * 5900 + b"\n"

    def answers(txn, words):
        if int(txn, 16) == 1:
            return b""
        if words[0] == b"ASK":
            return hit(txn, page, b"sheets=8")
        return b"%b PART sheet=%b %d\r\n%b\r\n" % (txn, words[2], len(page), page) if len(words) > 2 else b""

    quick = settings()
    for group in quick["classes"]:
        group["deadline_ms"] = 500.0
    dispatcher = Dispatcher(Engine(answers), settings=quick)
    hung, stuck = Client(dispatcher), Client(dispatcher)
    hung.send(statement(n=1, limit=20_000, verb="change"))
    for n in range(2, 200):
        stuck.send(statement(n=n))
    counted(dispatcher, "taken", 10)
    ending(dispatcher)
    assert sqlstate(hung.until_ready()) == "58000"
    assert dispatcher.logged("stopped")[0]["took"] < 2.0


# Connections to engines


def test_a_connection_closed_by_its_engine_while_idle_carries_no_non_idempotent_query(monkeypatch):
    deaf = []
    ready = engine_connection.Connection.handle_ready
    monkeypatch.setattr(
        engine_connection.Connection, "handle_ready", lambda self: None if self in deaf else ready(self)
    )
    engine = Engine()
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1, verb="change")))
    *_, conn = engine.next("ASK")
    deaf.extend(dispatcher.service.links.connections)  # the end of this connection is not noticed in time
    assert len(deaf) == 1
    conn.shutdown(socket.SHUT_RDWR)
    assert rows(client.ask(statement(n=2, verb="change")))
    assert dispatcher.service.counters.shown()["submissions"] == 2


def test_an_answer_that_comes_an_octet_at_a_time_and_never_ends_is_given_up():
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
    # Of as many table groups as it takes, until one is placed on the trickling engine first.
    for n in range(1, 40):
        took = time.monotonic()
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=1, limit=20_000, cpu=8000)))
        if not trickling.came.empty():
            break
    assert time.monotonic() - took < 3.0
    ended.set()
    assert dispatcher.logged("engine-connection-ended")[0]["reason"] == "malformed"


def test_a_repeat_whose_window_ended_while_its_connection_was_opened_is_not_sent(monkeypatch):
    held = []
    gate = Gate(
        monkeypatch,
        engine_connection.Connection,
        "mark_up",
        lambda connection, sock: held and connection.pool.queue.name != held[0],
    )
    brief = settings(dial_timeout_ms=20_000.0)
    brief["classes"][1]["repeat_window_ms"] = 400.0
    engines = [Engine(silent), Engine(silent)]
    dispatcher = Dispatcher(*engines, settings=brief)
    client = Client(dispatcher)
    client.send(statement(verb="load", item="k", unique="u", limit=5000))
    first = first_asked(engines)
    *_, conn = engines[first].next("ASK")
    asked = time.monotonic()
    held.append(f"e{first}")
    reset(conn)
    assert gate.reached.wait(PATIENCE)
    assert engines[1 - first].came.empty()
    time.sleep(max(0.0, asked + 0.45 - time.monotonic()))  # the window is a time: it has to pass
    gate.opened.set()
    assert sqlstate(client.until_ready()) == "53000"
    assert engines[1 - first].came.empty()


@pytest.mark.parametrize("verb, answered", [("change", "58000"), ("load", None)])
@pytest.mark.parametrize(
    "half",
    [
        b"%b HI",
        b"%b HIT sheets=1 600\r\na\tb",
        b"%b HIT sheets=2 6\r\na\tb\tc\n\r\n",
    ],
)
def test_half_an_answer_ahead_of_a_close_proves_nothing(half, verb, answered):
    """A query that may not be repeated is killed; one with a key goes again, in its window."""
    asked = []

    class Closing(Engine):
        def serve(self, conn, lines):
            asked.append(lines.readline().split()[1])
            if len(asked) > 1:
                conn.sendall(hit(asked[-1]))
                lines.read()
            conn.sendall(half.replace(b"%b", asked[-1]))
            conn.shutdown(socket.SHUT_RDWR)

    dispatcher = Dispatcher(Closing(), Closing())
    answer = Client(dispatcher).ask(statement(verb=verb, item="k", unique="u"))
    assert sqlstate(answer) == answered and bool(rows(answer)) == (answered is None)
    assert dispatcher.service.counters.shown()["submissions"] == len(asked) == (1 if answered else 2)


def test_a_query_hung_in_an_engine_is_given_up_at_its_time_and_asked_of_no_other():
    engines = [Engine(silent), Engine(silent)]
    dispatcher = Dispatcher(*engines)
    answer = Client(dispatcher).ask(statement(verb="change", limit=1200))
    assert sqlstate(answer) == "58000"
    assert 1150 <= dispatcher.logged("query")[0]["took"] < 3000
    assert sum(len(ids_asked(engine)) for engine in engines) == 1


def full_line():
    """Something that listens and takes in nobody: a dial to it never ends."""
    stack = ExitStack()
    listening = stack.enter_context(socket.socket())
    listening.bind(("127.0.0.1", 0))
    listening.listen(0)
    address = listening.getsockname()
    for _ in range(3):
        waiting = stack.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex(address)
    return stack, SimpleNamespace(address=f"{address[0]}:{address[1]}")


def test_a_dial_that_never_ends_proves_that_nothing_ran_and_costs_its_time_only():
    stack, never = full_line()
    with stack:
        engine = Engine()
        dispatcher = Dispatcher(never, engine)
        client = Client(dispatcher)
        for n in range(1, 12):
            assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n, verb="change")))
        counts = dispatcher.service.counters.shown()
        assert counts["ending-no-connection"] and counts["engine-connections-ended-connect-timeout"]
        assert sorted(ids_asked(engine)) == list(range(1, 12))


def test_what_waits_for_the_dial_of_an_engine_that_drains_is_taken_back():
    stack, never = full_line()
    with stack:
        other, coordinator = Engine(), Events()
        dispatcher = Dispatcher(never, coordinator=coordinator, settings=settings(dial_timeout_ms=60_000.0))
        client = Client(dispatcher)
        client.send(statement(n=1, limit=PATIENCE * 1000, verb="change"))
        counted(dispatcher, "engine-connections", 1)
        coordinator.send.put(
            sse(2, event(2, entry("e0", never.address, "Terminating"), entry("other", other.address)))
        )
        assert rows(client.until_ready())
        assert dispatcher.service.counters.shown()["ending-not-sent"] == 1


# The list of engines


def test_a_whole_list_in_place_of_changes_ends_what_it_does_not_name():
    engines, coordinator = [Engine(), Engine()], Events()
    dispatcher = Dispatcher(engines[0], coordinator=coordinator)
    coordinator.send.put(sse(2, event(2, entry("e1", engines[1].address), snapshot=True)))
    counted(dispatcher, "list-events", 2)
    client = Client(dispatcher)
    for n in range(1, 9):
        assert rows(client.ask(statement(f"SELECT 1 FROM s_{n}.t", n=n)))
    assert engines[0].came.empty()


def test_an_event_told_twice_changes_nothing():
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(engine, coordinator=coordinator)
    drain = sse(2, event(2, entry("e0", engine.address, "Terminating")))
    back = sse(3, event(3, entry("e0", engine.address)))
    for told in (drain, back, drain):
        coordinator.send.put(told)
    counted(dispatcher, "list-events", 3)
    assert rows(Client(dispatcher).ask(statement()))
    assert dispatcher.service.counters.shown()["list-events"] == 3


def test_a_gap_in_the_numbers_is_asked_for_again_and_one_that_stays_is_taken():
    engines, coordinator = [Engine(), Engine()], Events()
    dispatcher = Dispatcher(engines[0], coordinator=coordinator)
    assert coordinator.next() == ("connected", b"1")
    drain = event(2, entry("e0", engines[0].address, "Terminating"))
    more = event(3, entry("e1", engines[1].address))
    coordinator.send.put(sse(3, more))  # the one before it was cut off
    assert coordinator.next() == ("connected", b"1")
    coordinator.send.put(sse(2, drain) + sse(3, more))
    counted(dispatcher, "list-events", 3)
    client = Client(dispatcher)
    for n in range(1, 9):
        assert rows(client.ask(statement(f"SELECT 1 FROM s_{n}.t", n=n)))
    assert engines[0].came.empty()
    # A coordinator whose numbers have gaps of its own is believed the second time.
    gap = sse(9, event(9, entry("e0", engines[0].address)))
    coordinator.send.put(gap)
    assert coordinator.next() == ("connected", b"3")
    coordinator.send.put(gap)
    counted(dispatcher, "list-events", 4)
    assert dispatcher.service.coordinator.last == 9


def test_a_watch_that_is_accepted_and_says_nothing_is_left(monkeypatch):
    monkeypatch.setattr("wickvane.net.coordinator.SILENT_S", 0.05)

    class Mute(Events):
        def serve(self, conn, lines):
            self.came.put(("connected",))
            lines.read()

    coordinator = Mute()
    dispatcher = Dispatcher(coordinator=coordinator)
    assert [coordinator.next(), coordinator.next()] == [("connected",)] * 2
    assert dispatcher.logged("coordinator-connection-ended")[0]["reason"] == "silent"


def test_an_engine_that_returns_under_its_name_and_address_is_reached_anew():
    engine, coordinator = Engine(), Events()
    dispatcher = Dispatcher(engine, coordinator=coordinator)
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1)))
    *_, old = engine.next("ASK")
    coordinator.send.put(sse(2, event(2, entry("e0", engine.address, "Gone"))))
    coordinator.send.put(sse(3, event(3, entry("e0", engine.address))))
    counted(dispatcher, "list-events", 3)
    assert rows(client.ask(statement(n=2)))
    *_, new = engine.next("ASK")
    assert new is not old


# Starts and descriptors: processes of their own


def await_ready(process):
    while json.loads(process.stdout.readline())["event"] != "ready":
        pass


def test_a_start_without_discovery_serves_from_what_the_configuration_knows(started):
    engine = Engine()
    began = time.monotonic()
    process = started(engine, coordinator=f"127.0.0.1:{free_port()}")
    await_ready(process)
    assert rows(Client(process).ask(statement()))
    assert time.monotonic() - began < 10


def test_seven_that_start_at_once_are_ready_and_serve_within_ten_seconds(started):
    engine = Engine()
    began = time.monotonic()
    processes = [started(engine) for _ in range(7)]
    for n, process in enumerate(processes):
        await_ready(process)
        assert rows(Client(process).ask(statement(n=n)))
    assert time.monotonic() - began < 10


def test_idle_clients_that_fill_the_descriptors_keep_discovery_engines_and_service_from_nothing(started):
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
