"""A machine that has no thread left, or no descriptor: what it costs, and how many the program holds."""

import signal
import socket
import threading
import time

import pytest
from bench_free import Client, Dispatcher, Engine, Events, entry, event, rows, sqlstate, sse, statement

from wickvane.net import threads
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.lines import connection as lines
from wickvane.net.log import Log
from wickvane.net.threads import Stopped, Threads


@pytest.fixture
def scarce(monkeypatch):
    """Refuses a thread of a name so many times; -1: always."""
    left = {}

    class Scarce(threading.Thread):
        def start(self):
            if left.get(self.name, 0):
                left[self.name] -= 1
                raise RuntimeError("can't start new thread")
            super().start()

    monkeypatch.setattr(threads, "Thread", Scarce)
    monkeypatch.setattr(threads, "PAUSE_FIRST", 0.01)
    return left


@pytest.mark.parametrize("name", ["log", "decider", "keeper", "coordinator", "listener"])
def test_a_thread_that_nothing_works_without_is_asked_for_until_it_is_there(scarce, name):
    scarce[name] = 3
    dispatcher = Dispatcher(Engine())
    assert rows(Client(dispatcher).ask(statement()))
    lines = dispatcher.logged("thread-refused")
    assert [(line["thread"], line["reason"]) for line in lines] == [(name, "no-thread")] * 3
    assert dispatcher.service.counters.shown()["threads-refused"] == 3
    assert dispatcher.logged("ready")


def test_a_log_without_a_thread_still_says_so_and_the_end_is_heard_meanwhile(scarce, monkeypatch, tmp_path):
    scarce["log"] = -1
    written = open(tmp_path / "log", "wb+")
    log, counters = Log(written.fileno(), Clock()), Counters()
    tries = iter(range(3))
    monkeypatch.setattr(
        signal, "sigpending", lambda: set() if next(tries, None) is not None else {signal.SIGTERM}
    )
    with pytest.raises(Stopped):
        Threads(log, counters).needed(log.run, "log")
    assert (tmp_path / "log").read_bytes().count(b'"reason":"no-thread"') == 3
    assert counters.shown() == {"threads-refused": 4}


def test_a_session_without_a_thread_is_told_so_and_costs_nobody_else_anything(scarce):
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    scarce["session"] = 1
    refused = Client(dispatcher, b"")
    assert sqlstate([refused.message()]) == "53300" and refused.message() is None
    assert rows(client.ask(statement(n=1))) and rows(Client(dispatcher).ask(statement(n=2)))
    ended = dispatcher.logged("client-connection-ended")[0]
    assert ended["reason"] == "no-thread" and dispatcher.logged("thread-refused")[0]["thread"] == "session"


def test_threads_do_not_grow_with_engines_nor_their_connections():
    engines = [Engine() for _ in range(30)]
    dispatcher = Dispatcher(*engines)
    before = set(threading.enumerate())
    client = Client(dispatcher)
    for n in range(300):
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n % 60}.t", n=n)))
    shown = dispatcher.service.counters.shown()
    assert shown["engine-connections"] > 20
    ours = {thread.name for thread in set(threading.enumerate()) - before}
    assert "session" in ours and not {name for name in ours if name.startswith("engine")}


def test_no_descriptor_for_an_engine_is_not_the_engines_fault(monkeypatch):
    made = socket.socket

    def refused(*how, **more):
        if threading.current_thread().name == "keeper" and left:
            left.pop()
            raise OSError(24, "Too many open files")
        return made(*how, **more)

    left = [0] * 2
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    monkeypatch.setattr(lines.socket, "socket", refused)
    for n in range(3):
        client.ask(statement(n=n))
    shown = dispatcher.service.counters.shown
    assert not left and shown()["engine-connections-ended-no-descriptor"] == 2
    assert "ending-no-connection" not in shown() and shown()["ending-not-sent"] == 2
    assert not dispatcher.service.decider.scheduler.engines.failure_rate[0]
    assert rows(client.ask(statement(n=9)))


def test_idle_connections_make_room_for_an_engine_that_is_asked():
    engines = [Engine() for _ in range(12)]
    dispatcher = Dispatcher(*engines, sockets=48)  # 16 for engines, half of them may idle
    client = Client(dispatcher)
    for n in range(200):
        assert rows(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n)))
    links = dispatcher.service.links
    assert len(links.idle_connections) <= 8 and len(links.connections) <= 16
    assert dispatcher.service.counters.shown()["engine-connections-ended-made-room"] > 0
    assert len({engine.address for engine in engines if not engine.came.empty()}) > 8


def test_a_full_house_of_connections_in_use_still_reaches_a_new_engine():
    silent = [Engine(lambda txn, words: b"") for _ in range(2)]
    events = Events()
    dispatcher = Dispatcher(*silent, coordinator=events, sockets=24)  # 8 for engines
    clients = [Client(dispatcher) for _ in range(6)]
    for n, client in enumerate(clients):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=n, limit=4000))
    by = time.monotonic() + 10
    while sum(engine.came.qsize() for engine in silent) < 6 and time.monotonic() < by:
        time.sleep(0.01)
    good = Engine()
    events.next("connected")
    events.send.put(
        sse(
            2,
            event(
                2,
                *(entry(f"e{n}", engine.address, "Terminating") for n, engine in enumerate(silent)),
                entry("good", good.address),
            ),
        )
    )
    assert rows(Client(dispatcher).ask(statement(n=99)))


def test_an_engine_whose_address_is_a_name_is_looked_up_beside_the_keeper(scarce):
    engine = Engine()
    engine.address = engine.address.replace("127.0.0.1", "localhost")
    dispatcher = Dispatcher(engine)
    scarce["engine-name"] = 1
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1))) and rows(client.ask(statement(n=2)))
    shown = dispatcher.service.counters.shown()
    assert shown["engine-connections-ended-no-thread"] == 1 and "ending-no-connection" not in shown
