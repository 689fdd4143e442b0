"""Tests of the memory limit: what connections may hold, who is closed at the bound, and a real process."""

import gc
import select
import socket
import struct
import weakref
from multiprocessing import get_context

import pytest
from bench_free import Client, Dispatcher, Engine, hit, rows, sqlstate, statement, until

from benchmarks import memory as benchmark
from wickvane.net.client_connection import ClientConnection, Ended
from wickvane.net.counters import Counters
from wickvane.net.memory_budget import MemoryBudget
from wickvane.scheduling.memory_limits import (
    ENGINE_CONNECTION_SIZE,
    FREE_SIZE,
    LOG_LINE_SIZE,
    MEGABYTE,
    SESSION_SIZE,
    MemoryLimits,
    choose_evicted,
    divide_memory,
)

PROCESS_LIMIT_MB = 40
PROCESS_CLIENTS = 300
PROCESS_SECONDS = 2.0


class TestClock:
    """A clock that is set by the test."""

    __test__ = False

    def __init__(self):
        self.time = 1

    def now(self):
        return self.time


def budget(messages=100_000, evicted=50_000, read_ahead=40_000):
    found = MemoryBudget(TestClock(), Counters())
    found.limits = MemoryLimits(
        sessions=8, log_lines=8, messages=messages, evicted=evicted, read_ahead=read_ahead, stream=8
    )
    return found


def waiting_lease(memory, since, size):
    """Returns a lease of a connection that waits for its peer, and a list that tells of its eviction."""
    evictions = []
    lease = memory.lease(lambda: evictions.append(since))
    assert lease.reserve(FREE_SIZE + size)
    memory.clock.time = since
    lease.begin_wait()
    return lease, evictions


@pytest.mark.parametrize("limit_mb", [32, 40, 64, 192, 512, 2048])
@pytest.mark.parametrize("sockets", [64, 256, 1024, 4096])
def test_the_shares_and_what_they_leave_add_up_to_no_more_than_the_limit(limit_mb, sockets):
    """A process passed its limit since nothing was derived from it."""
    engines, resident = sockets // 3, 20 * MEGABYTE
    limits = divide_memory(limit_mb * MEGABYTE, resident, sockets - engines, engines)
    used = limits.sessions * SESSION_SIZE + limits.messages + limits.evicted
    used += limits.log_lines * LOG_LINE_SIZE + engines * ENGINE_CONNECTION_SIZE + resident
    assert limits.sessions >= 8 and limits.read_ahead < limits.messages
    if engines * ENGINE_CONNECTION_SIZE < 4 * MEGABYTE:
        assert used <= limit_mb * MEGABYTE


def test_the_connection_that_has_waited_longest_is_evicted():
    assert choose_evicted([]) is None
    memory = budget()
    (old, told), (young, untold) = waiting_lease(memory, 10, 45_000), waiting_lease(memory, 20, 45_000)
    assert memory.lease(None).reserve(FREE_SIZE + 20_000)
    assert told == [10] and not untold and old.is_evicted and not young.is_evicted
    assert memory.used == 65_000 and memory.evicted == 45_000
    old.close()
    assert memory.evicted == 0 and memory.counters.shown()["memory-evictions"] == 1


def test_a_connection_that_has_itself_waited_longest_is_refused():
    memory = budget()
    (old, _), (young, untold) = waiting_lease(memory, 10, 45_000), waiting_lease(memory, 20, 45_000)
    old.end_wait()
    assert not old.reserve(FREE_SIZE + 90_000) and not untold and not young.is_evicted
    assert memory.counters.shown()["memory-refused"] == 1


def test_no_more_is_evicted_than_may_still_be_held_by_connections_that_are_being_closed():
    memory = budget(evicted=50_000)
    _, told = waiting_lease(memory, 10, 45_000)
    _, untold = waiting_lease(memory, 20, 45_000)
    assert not memory.lease(None).reserve(FREE_SIZE + 90_000)
    assert told == [10] and not untold and memory.used + memory.evicted <= 100_000 + 50_000


def test_a_connection_that_holds_nothing_any_more_is_not_evicted():
    """Its eviction would free nothing, and close a connection for that."""
    memory = budget()
    lease, untold = waiting_lease(memory, 10, 45_000)
    assert lease.reserve(0)
    assert not memory.lease(None).reserve(FREE_SIZE + 100_001) and not untold
    lease.end_wait()


def test_what_is_read_ahead_takes_a_part_only_and_evicts_nobody():
    memory = budget()
    _, untold = waiting_lease(memory, 10, 30_000)
    lease = memory.lease(None)
    assert lease.reserve_ahead(FREE_SIZE + 10_000) and not lease.reserve_ahead(FREE_SIZE + 10_001)
    assert not untold and lease.reserve_ahead(0) and memory.used == 30_000


def test_small_messages_need_no_reservation():
    memory = budget(messages=0, evicted=0)
    lease = memory.lease(None)
    assert lease.reserve(FREE_SIZE) and not lease.size and not lease.reserve(FREE_SIZE + 1)


def with_little_memory(*engines):
    """Returns a dispatcher whose connections share 100 KB."""
    dispatcher = Dispatcher(*engines)
    limits = dispatcher.service.memory.limits
    dispatcher.service.memory.limits = limits._replace(messages=100_000, evicted=100_000, read_ahead=50_000)
    return dispatcher


def half_statement(size):
    body = statement(n=77).encode().ljust(size, b" ") + b"\0"
    return (b"Q" + struct.pack("!I", 4 + len(body)) + body)[:-5]


def test_a_client_stopped_half_way_through_a_statement_gets_an_error_when_others_need_its_memory():
    """Hundreds of clients that stopped half way made the process pass its limit."""
    dispatcher = with_little_memory(Engine())
    stopped = [Client(dispatcher) for _ in range(2)]
    for count, client in enumerate(stopped, 1):
        client.sock.sendall(half_statement(45_000))
        until(lambda count=count: dispatcher.service.memory.used > count * 40_000)
    large = Client(dispatcher).ask(statement(f"SELECT '{'x' * 20_000}' FROM sales_1.t", n=1))
    assert rows(large)
    assert sqlstate([stopped[0].message()]) == "53200" and stopped[0].message() is None
    assert rows(Client(dispatcher).ask(statement(n=2)))
    until(lambda: dispatcher.service.counters.shown().get("client-connections-ended-out-of-memory") == 1)
    for client in stopped:
        client.sock.close()
    until(lambda: dispatcher.service.memory.used == 0 and dispatcher.service.memory.evicted == 0)


def test_a_whole_statement_without_memory_is_refused_and_its_session_goes_on():
    """The refusal tells the client that it may send the statement again."""
    engine = Engine(lambda txn, words: b"")
    dispatcher = with_little_memory(engine)
    running = Client(dispatcher)
    running.send(statement(f"SELECT '{'x' * 40_000}' FROM sales_1.t", n=1))
    engine.next("ASK")
    client = Client(dispatcher)
    assert sqlstate(client.ask(statement(f"SELECT '{'x' * 15_000}' FROM sales_1.t", n=2))) == "53200"
    client.send(statement(n=3))
    assert engine.next("ASK")


def test_a_statement_with_too_many_fields_gets_an_error():
    """Thousands of short fields took a megabyte for each statement while it was read."""
    client = Client(Dispatcher(Engine()))
    fields = {f"f{number}": "" for number in range(9_000)}
    assert sqlstate(client.ask(statement(n=1, **fields))) == "42601"
    assert rows(client.ask(statement(n=2)))


def test_what_an_ended_query_held_is_freed_without_a_garbage_collection():
    """Statements and results stayed in timers and reference cycles, up to the deadlines of their queries."""
    dispatcher = Dispatcher(Engine())
    submitted = []
    submit = dispatcher.service.exchange.submit
    dispatcher.service.exchange.submit = lambda pending: (submitted.append(pending), submit(pending))
    client = Client(dispatcher)
    gc.collect()
    gc.disable()
    try:
        assert rows(client.ask(statement(n=1)))
        (pending,) = submitted
        until(lambda: pending.is_released and pending.attempt is None)
        assert pending.body == b"" and pending.session is None and pending.result is None
        ended = weakref.ref(dispatcher.service.listeners[0].sessions.copy().pop())
        client.sock.close()
        until(lambda: ended() is None)
    finally:
        gc.enable()


@pytest.fixture(scope="module")
def engines():
    context = get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=benchmark.run_engines, args=(4, other), daemon=True)
    process.start()
    yield pipe.recv()
    pipe.send("stop")
    process.join(5)


@pytest.mark.parametrize("picture", ["mixed", "half-statements", "many-statements", "tds-half-batches"])
def test_a_process_stays_below_its_memory_limit_and_serves_others(engines, picture):
    """Seeded and short; `python -m benchmarks.memory` has all pictures and limits."""
    found = benchmark.measure_picture(
        benchmark.ROOT, picture, PROCESS_LIMIT_MB, PROCESS_CLIENTS, engines, PROCESS_SECONDS
    )
    assert found["peak_mb"] <= PROCESS_LIMIT_MB
    assert found["served"] > 0 and found["other_errors"] == 0


def test_a_stalled_client_makes_room_at_the_connection_limit_with_an_error():
    """Clients that had stopped half way through a message kept others out until their time was over."""
    dispatcher = Dispatcher(Engine(), sockets=16)
    stalled = [Client(dispatcher) for _ in range(8)]
    for client in stalled:
        client.sock.sendall(half_statement(300))
    sessions = dispatcher.service.listeners[0].sessions
    now = dispatcher.service.clock.now
    until(lambda: all(0 < session.message_since < now() - 2_500 for session in sessions.copy()))
    newcomer = Client(dispatcher)
    assert rows(newcomer.ask(statement(n=1)))
    readable, _, _ = select.select([client.sock for client in stalled], [], [], 1.0)
    assert [sqlstate([client.message()]) for client in stalled if client.sock in readable] == ["53300"]


def test_a_query_that_was_submitted_ahead_is_not_refused_for_memory():
    """It stayed in the scheduler without its session, and kept its key up to its deadline."""
    engine = Engine(lambda txn, words: b"")
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    client.send(statement(n=1, limit=20_000))
    fields = dict(verb="load", item="k", unique="t", limit=20_000)
    client.send(statement(f"INSERT INTO sales_1.t VALUES ('{'x' * 5_000}')", n=2, **fields))
    until(lambda: dispatcher.service.counters.shown().get("taken") == 2)
    memory = dispatcher.service.memory
    memory.limits = memory.limits._replace(messages=0, evicted=0)
    engine.answers = lambda txn, words: hit(txn) if words[0] == b"ASK" else b""
    _, words, _, connection = engine.next("ASK")
    connection.sendall(hit(words[0]))
    assert rows(client.until_ready()) and rows(client.until_ready())


def test_an_answer_without_memory_is_never_followed_by_an_error_that_allows_a_retry():
    """A mutating query that had run was followed by 53200, "it may be sent again"."""
    service = Dispatcher().service
    local, peer = socket.socketpair()
    local.setblocking(False)
    connection = ClientConnection(local, service)
    connection.memory_error = lambda: b"53200"
    connection.send_available = lambda data: 0
    service.memory.limits = service.memory.limits._replace(messages=0, evicted=0)
    with pytest.raises(Ended) as ended:
        connection.put(bytes(50_000))
    assert ended.value.reason == "out-of-memory" and not ended.value.last
    peer.close()
