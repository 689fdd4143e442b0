"""A dispatcher on a machine without free threads or descriptors, and how many of them it uses."""

import signal
import socket
import threading
import time

import pytest
from bench_free import Client, Dispatcher, Engine, Events, entry, event, rows, sqlstate, sse, statement

from wickvane.net import threads
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.lines import connection as line_protocol
from wickvane.net.log import Log
from wickvane.net.threads import Stopped, Threads


@pytest.fixture
def refusals(monkeypatch):
    """How often a thread is still refused, by its name; -1: always."""
    refusals_left = {}

    class RefusableThread(threading.Thread):
        def start(self):
            if refusals_left.get(self.name, 0):
                refusals_left[self.name] -= 1
                raise RuntimeError("can't start new thread")
            super().start()

    monkeypatch.setattr(threads, "Thread", RefusableThread)
    monkeypatch.setattr(threads, "FIRST_PAUSE_S", 0.01)
    return refusals_left


@pytest.mark.parametrize("name", ["log", "decider", "keeper", "coordinator", "listener"])
def test_a_required_thread_is_requested_until_it_starts(refusals, name):
    refusals[name] = 3
    dispatcher = Dispatcher(Engine())
    assert rows(Client(dispatcher).ask(statement()))
    lines = dispatcher.logged("thread-refused")
    assert [(line["thread"], line["reason"]) for line in lines] == [(name, "no-thread")] * 3
    assert dispatcher.service.counters.shown()["threads-refused"] == 3
    assert dispatcher.logged("ready")


def test_refusals_are_logged_without_a_log_thread_and_a_signal_ends_the_wait(refusals, monkeypatch, tmp_path):
    refusals["log"] = -1
    log_file = open(tmp_path / "log", "wb+")
    log, counters = Log(log_file.fileno(), Clock()), Counters()
    polls = iter(range(3))
    monkeypatch.setattr(
        signal, "sigpending", lambda: set() if next(polls, None) is not None else {signal.SIGTERM}
    )
    with pytest.raises(Stopped):
        Threads(log, counters).needed(log.run, "log")
    assert (tmp_path / "log").read_bytes().count(b'"reason":"no-thread"') == 3
    assert counters.shown() == {"threads-refused": 4}


def test_a_session_without_a_thread_gets_an_error_and_affects_no_other(refusals):
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    refusals["session"] = 1
    rejected = Client(dispatcher, b"")
    assert sqlstate([rejected.message()]) == "53300" and rejected.message() is None
    assert rows(client.ask(statement(n=1))) and rows(Client(dispatcher).ask(statement(n=2)))
    ended = dispatcher.logged("client-connection-ended")[0]
    assert ended["reason"] == "no-thread" and dispatcher.logged("thread-refused")[0]["thread"] == "session"


def test_the_number_of_threads_does_not_depend_on_engines_or_connections():
    engines = [Engine() for _ in range(30)]
    dispatcher = Dispatcher(*engines)
    before = set(threading.enumerate())
    client = Client(dispatcher)
    for n in range(300):
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n % 60}.t", n=n)))
    counts = dispatcher.service.counters.shown()
    assert counts["engine-connections"] > 20
    started = {thread.name for thread in set(threading.enumerate()) - before}
    assert "session" in started and not {name for name in started if name.startswith("engine")}


def test_a_lack_of_descriptors_is_not_counted_as_a_fault_of_the_engine(monkeypatch):
    real_socket = socket.socket

    def refusing_socket(*args, **kwargs):
        if threading.current_thread().name == "keeper" and failures_left:
            failures_left.pop()
            raise OSError(24, "Too many open files")
        return real_socket(*args, **kwargs)

    failures_left = [0] * 2
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    monkeypatch.setattr(line_protocol.socket, "socket", refusing_socket)
    for n in range(3):
        client.ask(statement(n=n))
    counts = dispatcher.service.counters.shown
    assert not failures_left and counts()["engine-connections-ended-no-descriptor"] == 2
    assert "ending-no-connection" not in counts() and counts()["ending-not-sent"] == 2
    assert not dispatcher.service.decider.scheduler.engines.failure_rate[0]
    assert rows(client.ask(statement(n=9)))


def test_idle_connections_are_closed_for_an_attempt_on_another_engine():
    engines = [Engine() for _ in range(12)]
    dispatcher = Dispatcher(*engines, sockets=48)  # 16 for engines, of which half may be idle
    client = Client(dispatcher)
    for n in range(200):
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n)))
    links = dispatcher.service.links
    assert len(links.idle_connections) <= 8 and len(links.connections) <= 16
    assert dispatcher.service.counters.shown()["engine-connections-ended-made-room"] > 0
    assert len({engine.address for engine in engines if not engine.came.empty()}) > 8


def test_a_new_engine_is_reached_while_all_connections_are_in_use():
    silent = [Engine(lambda txn, words: b"") for _ in range(2)]
    events = Events()
    dispatcher = Dispatcher(*silent, coordinator=events, sockets=24)  # 8 for engines
    clients = [Client(dispatcher) for _ in range(6)]
    for n, client in enumerate(clients):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=n, limit=4000))
    deadline = time.monotonic() + 10
    while sum(engine.came.qsize() for engine in silent) < 6 and time.monotonic() < deadline:
        time.sleep(0.01)
    new_engine = Engine()
    events.next("connected")
    events.send.put(
        sse(
            2,
            event(
                2,
                *(entry(f"e{n}", engine.address, "Terminating") for n, engine in enumerate(silent)),
                entry("good", new_engine.address),
            ),
        )
    )
    assert rows(Client(dispatcher).ask(statement(n=99)))


def test_the_host_name_of_an_engine_is_resolved_outside_the_links_thread(refusals):
    engine = Engine()
    engine.address = engine.address.replace("127.0.0.1", "localhost")
    dispatcher = Dispatcher(engine)
    refusals["engine-name"] = 1
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1))) and rows(client.ask(statement(n=2)))
    counts = dispatcher.service.counters.shown()
    assert counts["engine-connections-ended-no-thread"] == 1 and "ending-no-connection" not in counts
