"""Decisions wait for what arrived earlier, whichever connection it arrived on and whenever that is read.

Each race is forced: a gate holds the dispatcher's own thread before it reads, or an engine answers only when
the test lets it.
"""

import socket
import struct
import sys
import time
from fcntl import ioctl
from termios import FIONREAD

import pytest
from bench_free import (
    PATIENCE,
    STARTUP,
    Client,
    Dispatcher,
    Engine,
    hit,
    rows,
    sqlstate,
    statement,
    until,
)
from test_ends import Gate, await_count, ids_asked, no_answer, shut_down  # noqa: F401 (a fixture)

from wickvane.net.client_session import ClientSession
from wickvane.net.listener import Listener
from wickvane.net.postgres.session import MAX_MESSAGES_AHEAD, Session
from wickvane.scheduling import input_watermark

AGE_TICKS = 20_000  # how long ago the earlier query arrived, where that decides


def load(n, key="7f3a", limit=20_000):
    """The statement of a load, which is tokened and ordered by its key."""
    return statement(n=n, verb="load", item=key, unique=f"u{n}", limit=limit)


def query_message(text):
    body = text.encode() + b"\0"
    return b"Q" + struct.pack("!I", 4 + len(body)) + body


class HeldEngine:
    """An engine that answers each query once the test releases it; the queries of `free` at once."""

    def __init__(self, free=()):
        self.free = set(free)
        self.engine = Engine(self.answer)

    def answer(self, txn, words):
        return hit(txn) if words[0] == b"ASK" and int(txn, 16) in self.free else b""

    def release(self, request):
        """Answers a request that the engine has received."""
        _, words, _, conn = request
        conn.sendall(hit(words[0]))

    def next_id(self):
        """Waits for the next request; returns its id and the request."""
        request = self.engine.next("ASK")
        return int(request[1][0], 16), request


def pid_of(client):
    """The process id in a client's cancel key."""
    return struct.unpack("!I", client.key[:4])[0]


def session_of(dispatcher, client):
    """The session that serves a client."""
    sessions = dispatcher.service.listeners[0].sessions
    return next(session for session in sessions if session.pid == pid_of(client))


def await_unread(session, octets=1):
    """Waits until so many octets wait in the kernel for a session."""
    until(lambda: int.from_bytes(ioctl(session.sock, FIONREAD, bytes(4)), sys.byteorder) >= octets)


def settled(dispatcher):
    """Waits until the decider has handled all that was submitted."""
    until(lambda: not dispatcher.service.exchange.inbox.items)


def set_ages(monkeypatch, ages, others=0):
    """Sets how long ago, in ticks, input of these clients and of others has arrived when it is read."""
    age_by_pid = {pid_of(client): age for client, age in ages.items()}
    monkeypatch.setattr(
        ClientSession,
        "kernel_arrival_time",
        lambda session: session.clock.now() - age_by_pid.get(session.pid, others),
    )


def assert_that_the_first_runs_first(held, dispatcher, gate, later_client):
    """The second load has been sent; the first one is read once the gate opens, and runs first."""
    await_count(dispatcher, "taken", 1)
    settled(dispatcher)
    assert held.engine.came.empty()
    gate.opened.set()
    number, request = held.next_id()
    assert number == 1
    await_count(dispatcher, "taken", 2)
    assert held.engine.came.empty()
    held.release(request)
    number, request = held.next_id()
    assert number == 2
    held.release(request)
    assert rows(later_client.until_ready())


def test_a_load_on_a_connection_that_is_not_accepted_yet_runs_before_a_later_one_of_its_key(monkeypatch):
    # Guards against loads of one key that run in the order in which threads wake after a pause (review/3).
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    open_client = Client(dispatcher)
    set_ages(monkeypatch, {open_client: 0}, others=AGE_TICKS)
    gate = Gate(monkeypatch, Listener, "make_room")
    new_client = socket.create_connection(open_client.address)
    new_client.sendall(STARTUP + query_message(load(1)))
    assert gate.reached.wait(PATIENCE)
    open_client.send(load(2))
    assert_that_the_first_runs_first(held, dispatcher, gate, open_client)


def test_a_load_that_its_session_has_not_read_yet_runs_before_a_later_one_of_its_key(monkeypatch):
    # Guards against the same between two open sessions.
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    first, second = Client(dispatcher), Client(dispatcher)
    set_ages(monkeypatch, {first: AGE_TICKS})
    slow_session = session_of(dispatcher, first)
    gate = Gate(monkeypatch, ClientSession, "receive_available", lambda session: session is slow_session)
    first.send(load(1))
    assert gate.reached.wait(PATIENCE)
    second.send(load(2))
    assert_that_the_first_runs_first(held, dispatcher, gate, second)
    assert rows(first.until_ready())


@pytest.mark.parametrize("at_once", [True, False], ids=["sent at once", "sent while the slow query runs"])
def test_a_load_behind_a_slow_query_of_its_session_runs_before_a_later_one_of_its_key(monkeypatch, at_once):
    # Guards against a load that lies behind a slow query and is overtaken on another session.
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    pipelining, other = Client(dispatcher), Client(dispatcher)
    set_ages(monkeypatch, {pipelining: AGE_TICKS // 10})
    messages = [query_message(statement(n=1, limit=20_000)), query_message(load(2))]
    if at_once:
        pipelining.sock.sendall(b"".join(messages))
    else:
        pipelining.sock.sendall(messages[0])
    number, slow = held.next_id()
    assert number == 1
    if not at_once:
        pipelining.sock.sendall(messages[1])
        await_unread(session_of(dispatcher, pipelining))
    other.send(load(3))
    await_count(dispatcher, "taken", 3)
    settled(dispatcher)
    assert held.engine.came.empty()
    held.release(slow)
    assert rows(pipelining.until_ready())
    number, request = held.next_id()
    assert number == 2
    held.release(request)
    assert rows(pipelining.until_ready())
    number, request = held.next_id()
    assert number == 3
    held.release(request)
    assert rows(other.until_ready())


def test_loads_that_a_client_sends_at_once_run_in_order_although_the_kernels_times_err(monkeypatch):
    # Guards against two loads that wait for each other, one for its key and one for its turn.
    held = HeldEngine(free=[1, 2])
    dispatcher = Dispatcher(held.engine)
    client = Client(dispatcher)
    now, errors = dispatcher.service.clock.now(), iter(range(0, 1000, 10))
    # Each time that the kernel is asked, the last octet seems to have arrived a millisecond earlier.
    monkeypatch.setattr(ClientSession, "kernel_arrival_time", lambda session: now - next(errors))
    client.sock.sendall(query_message(load(1)) + query_message(load(2)))
    assert rows(client.until_ready()) and rows(client.until_ready())
    assert [held.next_id()[0] for _ in range(2)] == [1, 2]


def pipeline(monkeypatch, dispatcher, held):
    """One client sends 24 queries at once; returns once the second runs, which arrived AGE_TICKS ago."""
    client = Client(dispatcher)
    set_ages(monkeypatch, {client: AGE_TICKS})
    statements = (statement(n=n, verb="change", limit=20_000) for n in range(1, 25))
    client.sock.sendall(b"".join(map(query_message, statements)))
    _, request = held.next_id()
    held.release(request)
    number, _ = held.next_id()
    assert number == 2


def test_loads_of_other_clients_do_not_wait_for_queries_that_one_client_sent_at_once(monkeypatch):
    # Guards against loads that are held back as long as another client's commands have waited (review/2).
    held = HeldEngine(free=[50])
    dispatcher = Dispatcher(held.engine)
    other = Client(dispatcher)
    pipeline(monkeypatch, dispatcher, held)
    assert rows(other.ask(load(50, limit=AGE_TICKS // 10 * 4 // 10)))


def test_queries_that_wait_in_their_session_do_not_pass_for_late_reading(monkeypatch):
    # Guards against connections that are paced, as under overload, because one client pipelines.
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    client = Client(dispatcher)
    clock = dispatcher.service.clock
    read_at = clock.now()
    client.sock.sendall(b"".join(query_message(statement(n=n, verb="change", limit=20_000)) for n in (1, 2)))
    _, request = held.next_id()
    monkeypatch.setattr(clock, "zero", clock.zero + AGE_TICKS)  # the first one runs for two seconds
    held.release(request)
    number, _ = held.next_id()
    assert number == 2 and clock.now() - read_at > AGE_TICKS
    assert dispatcher.service.decider.read_lag < AGE_TICKS // 2


def test_loads_that_were_taken_are_answered_at_shutdown_while_one_client_pipelines(
    monkeypatch,
    shut_down,  # noqa: F811
):
    # Guards against loads whose connections end without an answer at a planned restart (review/2).
    monkeypatch.setattr("wickvane.net.service.MAX_TIMEOUT", 5_000)
    monkeypatch.setattr("wickvane.net.service.KILL_DELAY", 7_000)
    killed_after_s = 1.2  # the sum of both
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    clients = [Client(dispatcher) for _ in range(3)]
    pipeline(monkeypatch, dispatcher, held)
    # The second load waits for its key, and the third for a connection that is not accepted yet.
    for n, client in enumerate(clients[:2], 51):
        client.send(load(n))
        await_count(dispatcher, "taken", n - 48)
    gate = Gate(monkeypatch, Listener, "make_room")
    with socket.create_connection(clients[0].address):
        assert gate.reached.wait(PATIENCE)
        clients[2].send(load(53, key="other"))
        await_count(dispatcher, "taken", 5)
        told_at = time.monotonic()
        shut_down(dispatcher)
        answers = [sqlstate(client.until_ready()) for client in clients]
        took_s = time.monotonic() - told_at
        gate.opened.set()
    assert answers == ["57P03"] * 3 and took_s < killed_after_s


def test_nothing_is_read_ahead_for_a_session_that_has_ended(monkeypatch):
    # Guards against a load of a client that has left, which would hold its key until its deadline.
    held = HeldEngine(free=[2])
    dispatcher = Dispatcher(held.engine)
    leaving, other = Client(dispatcher), Client(dispatcher)
    session = session_of(dispatcher, leaving)
    gate = Gate(monkeypatch, Session, "abandon_queries_ahead", lambda one: one is session)
    leaving.send(b"no message", kind=b"z")
    assert gate.reached.wait(PATIENCE)
    leaving.send(load(1))
    await_unread(session)
    assert session.read_ahead()  # as by a decider that has seen input just before the session ended
    assert "taken" not in dispatcher.service.counters.shown()
    gate.opened.set()
    assert rows(other.ask(load(2)))


def test_a_query_that_was_cancelled_before_its_session_read_it_is_not_sent(monkeypatch):
    # Guards against an attempt long after the CancelRequest, which a paused process read before the query.
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    client = Client(dispatcher)
    session = session_of(dispatcher, client)
    gate = Gate(monkeypatch, ClientSession, "receive_available", lambda reader: reader is session)
    client.send(statement(n=1, verb="change", limit=20_000))
    assert gate.reached.wait(PATIENCE)
    client.cancel()
    set_ages(monkeypatch, {client: AGE_TICKS})
    gate.opened.set()
    assert sqlstate(client.until_ready()) == "57014"
    assert held.engine.came.empty()


def test_a_request_that_finds_nothing_to_cancel_does_not_cancel_the_next_query():
    # Guards against the same mark on a query that its client sent after the request.
    held = HeldEngine(free=[1, 2])
    dispatcher = Dispatcher(held.engine)
    client = Client(dispatcher)
    client.cancel()
    assert rows(client.ask(statement(n=1, verb="change")))
    client.cancel()
    assert rows(client.ask(statement(n=2, verb="change")))


def test_a_query_is_not_sent_while_a_cancel_request_waits_to_be_read(monkeypatch):
    # Guards against the same if the process reads the query first.
    held = HeldEngine()
    dispatcher = Dispatcher(held.engine)
    client = Client(dispatcher)
    gate = Gate(monkeypatch, Listener, "make_room")
    with socket.create_connection(client.address) as cancelling:
        cancelling.sendall(struct.pack("!II", 16, 80_877_102) + client.key)
        assert gate.reached.wait(PATIENCE)
        # Whatever was read last is too old.
        monkeypatch.setattr(input_watermark, "MAX_UNREAD_AGE_TICKS", -1)
        monkeypatch.setattr(input_watermark, "MAX_ROUND_TICKS", -1)
        client.send(statement(n=1, verb="change", limit=20_000))
        await_count(dispatcher, "taken", 1)
        settled(dispatcher)
        assert held.engine.came.empty()
        gate.opened.set()
        assert sqlstate(client.until_ready()) == "57014"
    assert held.engine.came.empty()


def test_a_long_statement_that_arrived_in_time_is_served_after_a_pause_in_the_middle_of_it(monkeypatch):
    # Guards against a connection that is reset although the rest of its message has long arrived.
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    session = session_of(dispatcher, client)
    message = query_message(statement("SELECT 1 FROM sales_17.orders -- " + "x" * 36_000, n=1))
    monkeypatch.setattr("wickvane.net.postgres.session.MESSAGE_TIMEOUT_S", 0.0)
    gate = Gate(
        monkeypatch, ClientSession, "fill_buffer", lambda reader, n, until: reader is session and n > 1000
    )
    client.sock.sendall(message[:1000])
    assert gate.reached.wait(PATIENCE)  # the message's time limit has passed when the rest is read
    client.sock.sendall(message[1000:])
    await_unread(session, len(message) - 1000)
    gate.opened.set()
    assert rows(client.until_ready())


def test_what_is_read_ahead_is_bounded_and_the_rest_is_served_in_its_turn(monkeypatch):
    # Guards against memory that grows with the queries that clients send at once.
    monkeypatch.setattr("wickvane.net.exchange.MAX_OPEN_QUERIES", 20)
    held = HeldEngine(free=range(2, 3000))
    dispatcher = Dispatcher(held.engine)
    client, other = Client(dispatcher), Client(dispatcher)
    session = session_of(dispatcher, client)
    client.sock.sendall(query_message(statement(n=1, verb="change", limit=20_000)))
    _, request = held.next_id()
    numbers, empty = range(2, 62), query_message("") * 5
    client.sock.sendall(b"".join(query_message(load(n, key="own")) + empty for n in numbers))
    await_unread(session, 8000)
    assert rows(other.ask(load(2000)))
    assert len(session.messages_ahead) <= MAX_MESSAGES_AHEAD
    counts = dispatcher.service.counters.shown()
    assert counts["taken"] <= 22 and counts["read-ahead-full"]
    held.release(request)
    assert rows(client.until_ready())
    for _ in numbers:
        assert rows(client.until_ready())
        for _ in range(5):
            assert client.until_ready()[0][0] == b"I"
