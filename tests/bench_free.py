"""Test helpers: a scheduler with recorded output, settings, and stand-ins for a dispatcher's peers."""

import itertools
import json
import math
import os
import socket
import struct
import tempfile
import time
from queue import Queue
from threading import Lock, Thread

from wickvane.events import (
    AttemptEnded,
    Deployment,
    Effect,
    Ending,
    EngineState,
    EngineUpdated,
    KeyScope,
    QueryArrived,
    ResourceGroup,
    TimerFired,
)
from wickvane.net.service import Service
from wickvane.quotas.fleet_decisions import join
from wickvane.scheduling.scheduler import Scheduler


def group(**changes):
    usual = dict(
        effect=Effect.READ_ONLY,
        key_scope=KeyScope.ANY_ENGINE,
        idempotency_window=120_000,
        latency_objective=15_000,
        objective_stretch=2.0,
        timeout=75_000,
        priority_weight=1.0,
        late_priority_weight=0.0,
        ordered=False,
        zones=None,
        kinds=None,
        threads=1,
        is_bulk_load=False,
        yields_to_bulk_loads=False,
    )
    return ResourceGroup(**usual | changes)


def site(groups, tenants=1, **changes):
    usual = dict(
        groups=groups,
        tenants=[(1 / tenants, 10.0)] * tenants,
        cores=[8, 4],
        memory=[16384.0, 8192.0],
        dispatcher_count=1,
        zone=0,
        cross_zone_cost=0.0,
        max_attempts=5,
        can_cancel=True,
        memory_grants=False,
        priorities=True,
        max_memory_grant=0.4,
        progress_interval=0,
        subscribes_to_endpoints=False,
        poll_deadline=0,
        key_quarantine=3000,
        retry_budget_minimum=3.0,
        retry_budget_ratio=0.1,
        retry_budget_window=0,
        slow_start_fraction=0.3,
        slow_start_duration=150_000,
        collapse_multiple=2.5,
        collapse_window=30_000,
        max_retry_after=0,
        reports=[],
    )
    return Deployment(**usual | changes)


class Gateways:
    """A scheduler and a record of all its output.

    in_fleet: whether it exchanges decisions with other dispatchers."""

    def __init__(self, deployment, seed=1, in_fleet=False):
        self.scheduler, self.now, self.site = Scheduler(seed, deployment), 1_000_000, deployment
        self.sent, self.out, self.final, self.cancelled, self.log = {}, {}, {}, [], []
        self.count, self.next_q, self.alarms, self.answered = {}, 0, [], {}
        if in_fleet:
            join(self.scheduler)

    def round(self, *events, after=0):
        self.now += after
        self.scheduler.round(self.now, list(events), self)

    def engines(self, n, **changes):
        for e in range(n):
            self.engine(e, **changes)

    def engine(self, e, state=EngineState.READY, zone=0, kind=0, cell=0, started=0, name=None):
        rank = f"engine-{e if name is None else name}".encode()
        self.round(EngineUpdated(e, rank, state, zone, kind, cell, started, 1.0))

    def take(self, resource_group=0, tenant=0, cost=1000, table_group=1, key=None, left=70_000):
        q, self.next_q = self.next_q, self.next_q + 1
        self.sent[q], self.count[q] = [], 0
        self.round(QueryArrived(q, resource_group, tenant, cost, 10, table_group, key, left))
        return q

    def end(self, q, ending=Ending.FINISHED, elapsed=1000, work=0, after=0):
        e = self.out.pop(q)
        done = ending == Ending.FINISHED or q in self.final
        self.round(AttemptEnded(q, self.count[q] - 1, e, ending, elapsed, done, work, 0, None), after=after)

    def start_attempt(self, q, engine, wait, start_by):
        self.sent[q].append((self.now, engine))
        self.out[q] = engine
        self.count[q] += 1

    def reject(self, q, stay_away):
        self.final[q], self.answered[q] = "deferred", self.now

    def fail(self, q):
        self.final[q], self.answered[q] = "killed", self.now

    def cancel_attempt(self, q, submission):
        self.cancelled.append(q)

    def set_terms(self, q, priority, grant):
        self.log.append((q, priority, grant))

    def set_timer(self, token, at):
        assert at > self.now
        self.alarms.append(at)

    def let_pass(self, until):
        """Advances the time to `until`; the only events are the scheduler's own timers."""
        while self.alarms and min(self.alarms) <= until:
            self.now = min(self.alarms)
            self.alarms = [at for at in self.alarms if at > self.now]
            self.round(TimerFired(1))

    def watch_endpoints(self, enabled):
        self.log.append(enabled)

    def log_note(self, text):
        self.log.append(text)


# Stand-ins on loopback sockets, written by the published protocols.

SETTINGS = {
    "classes": [
        {
            "name": "lookup",
            "effect": "safe",
            "promise_ms": 1500.0,
            "deadline_ms": 7500.0,
            "aim_stretch": 2.0,
            "worth": 1.0,
            "late_worth": 0.2,
        },
        {
            "name": "load",
            "effect": "keyed",
            "group": "all",
            "promise_ms": 3000.0,
            "deadline_ms": 20000.0,
            "repeat_window_ms": 12000.0,
            "sequential": True,
            "worth": 5.0,
            "late_worth": 0.5,
        },
        {
            "name": "change",
            "effect": "unsafe",
            "promise_ms": 3000.0,
            "deadline_ms": 20000.0,
            "worth": 5.0,
            "late_worth": 0.5,
        },
    ],
    "accounts": [{"name": "acme", "share": 1.0, "quota_per_s": 50.0}],
    "az": "dc",
    "zones": ["dc"],
    "host_types": ["old"],
    "fleet_size": 1,
    "family_info": {"size_cores": [8], "size_mb": [16384.0], "priorities": True},
    "limits": {
        "cancel": True,
        "conn_idle_ms": 30000.0,
        "dial_timeout_ms": 250.0,
        "max_attempts": 5,
        "streams_per_conn": 100,
    },
    "obligations": {"stop_sending_within_ms": 2000.0, "key_rest_ms": 300.0},
}
PORTS = range(10_000, 32_000)  # below those that the kernel gives to clients
NEXT_PORTS = itertools.count(os.getpid() * 7919)  # far apart in processes that run at the same time
PATIENCE = 30  # seconds after which a wait fails the test; a passing test waits for less
# Clients send queries of one key at least this far apart; the kernel tells times of arrival in milliseconds.
KEY_INTERVAL_S = 0.06


def collapse_budget(whole):
    """Returns the maximum number of queries that a test allows an engine in slow start in one window.

    whole: the number that the window holds; the margin of two standard deviations and 2 allows for chance."""
    return whole + 2 * math.sqrt(whole) + 2


def until(holds, seconds=PATIENCE, words="not in time"):
    """Polls `holds` until it returns a true value, and returns that; fails after `seconds`."""
    by = time.monotonic() + seconds
    while time.monotonic() < by:
        if found := holds():
            return found
        time.sleep(0.002)
    raise AssertionError(words)


# Keeps sockets and files open: their ports and descriptors could be reused while a dispatcher writes there.
STANDING = []


class Stand:
    """A server on loopback that serves each connection in a thread of its own."""

    def __init__(self, port=0):
        self.listening = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.came, self.connections = Queue(), []
        STANDING.append(self)
        Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listening.accept()
            except OSError:
                return
            self.connections.append(conn)
            Thread(target=self.guarded, args=(conn,), daemon=True).start()

    def guarded(self, conn):
        try:
            self.serve(conn, conn.makefile("rb"))
        except (OSError, ValueError):
            pass

    def next(self, kind=None):
        while True:
            found = self.came.get(timeout=PATIENCE)
            if kind is None or found[0] == kind:
                return found

    def end(self):
        """Ends like a killed process: closes the listening socket and resets all connections."""
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        for conn in self.connections:
            reset(conn)


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    try:
        conn.shutdown(socket.SHUT_RD)  # the thread that reads it keeps the descriptor open
    except OSError:
        pass
    conn.close()


def hit(txn, body=b"a\tb\tc\n", fields=b"sheets=1,toil=12.5,room=96"):
    return b"%b HIT %b %d\r\n%b\r\n" % (txn, fields, len(body), body)


class Engine(Stand):
    """An engine that records all requests in `came`.

    answers: called with a request's id and words; returns the answer's bytes, none for no answer."""

    def __init__(self, answers=lambda txn, words: hit(txn) if words[0] == b"ASK" else b"", port=0):
        self.answers = answers
        super().__init__(port)

    def serve(self, conn, lines):
        for line in lines:
            words, body = line.split(), b""
            if words[0] == b"ASK":
                body = lines.read(int(words[3]) + 2)[:-2]
            self.came.put((words[0].decode(), words[1:], body, conn))
            answer = self.answers(words[1], words)
            if answer:
                conn.sendall(answer)


class LatestQueue:
    """A queue for the latest subscriber; items put before the first subscription are kept for it."""

    def __init__(self):
        self.lock, self.current = Lock(), Queue()
        self.subscribed = False

    def put(self, item):
        with self.lock:
            self.current.put(item)

    def subscribe(self):
        with self.lock:
            if self.subscribed:
                self.current = Queue()
            self.subscribed = True
            return self.current


class Events(Stand):
    """A coordinator: records each connection's Last-Event-ID, then sends what the test puts into `send`."""

    def __init__(self, port=0):
        self.send = LatestQueue()
        super().__init__(port)

    def serve(self, conn, lines):
        head = []
        while line := lines.readline().strip():
            head.append(line)
        messages = self.send.subscribe()
        self.came.put(("connected", dict(part.split(b": ", 1) for part in head[1:])[b"Last-Event-ID"]))
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        while (text := messages.get()) is not None:
            conn.sendall(text)
        conn.close()


def event(number, *entries, snapshot=False):
    change = {"index": number, "snapshot": snapshot, "endpoints": list(entries)}
    return {"index": number, "endpoints": change}


def entry(name, address, state="Ready", since=0):
    return {
        "name": name,
        "address": address,
        "zone": "dc",
        "type": "old",
        "group": 0,
        "status": state,
        "weight": 1,
        "since_ms": since,
    }


def sse(number, data):
    return b"id: %d\ndata: %b\n\n" % (number, data if isinstance(data, bytes) else json.dumps(data).encode())


def found(engines, coordinator, **limits):
    """Returns a configuration like one that operators write."""
    entries = [entry(f"e{n}", engine.address) for n, engine in enumerate(engines)]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "8c1f",
        "settings": SETTINGS,
        "limits": {"sockets": 1024} | limits,
        "coordinator": coordinator.address,
        "known": {"index": 1, "updates": [event(1, *entries, snapshot=True)]},
    }


class Dispatcher:
    """A real dispatcher whose threads run in this process, on a free port, with its log in a file."""

    def __init__(self, *engines, coordinator=None, settings=None, **limits):
        self.found = found(engines, coordinator or Events(), **limits)
        self.found["settings"] = settings or SETTINGS
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno())
        self.service.start()

    def logged(self, *events):
        """Waits until the log has an entry with one of these events; returns all such entries."""
        for _ in range(PATIENCE * 100):
            text = os.pread(self.log.fileno(), 1 << 20, 0)
            lines = [json.loads(line) for line in text[: text.rfind(b"\n") + 1].splitlines()]
            found = [line for line in lines if line["event"] in events]
            if found:
                return found
            time.sleep(0.01)
        raise AssertionError(f"no {events} in the log")


def free_port():
    """A port that no client gets, and hardly another test process before it is used."""
    for number in itertools.islice(NEXT_PORTS, len(PORTS)):
        port = PORTS[number % len(PORTS)]
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            pass  # in use by a program outside these tests
    raise AssertionError("no port is left")


STARTUP = struct.pack("!II", 30, 196_608) + b"user\0app\0database\0bi\0\0"


def statement(
    text="SELECT 1 FROM sales_17.orders", verb="lookup", n=1, limit=5000, team="acme", cpu=100, **fields
):
    more = "".join(f",{name}={value}" for name, value in fields.items())
    return f"/* verb={verb},txn={n:016x},limit={limit},team={team},cpu={cpu}{more} */ {text}"


class Client:
    """A PostgreSQL client that sends and reads one message at a time, without a driver."""

    def __init__(self, dispatcher, first=STARTUP):
        host, _, port = dispatcher.found["listen"].rpartition(":")
        self.address = (host, int(port))
        self.sock = socket.create_connection(self.address, timeout=PATIENCE)
        self.file = self.sock.makefile("rb")
        self.sock.sendall(first)
        self.key = None
        if first == STARTUP:
            self.key = dict(self.until_ready())[b"K"]

    def message(self):
        head = self.file.read(5)
        if len(head) < 5:
            return None
        return head[:1], self.file.read(struct.unpack("!I", head[1:])[0] - 4)

    def until_ready(self):
        found = []
        while (got := self.message()) is not None:
            found.append(got)
            if got[0] == b"Z":
                break
        return found

    def send(self, text, kind=b"Q"):
        body = text if isinstance(text, bytes) else text.encode() + b"\0"
        self.sock.sendall(kind + struct.pack("!I", 4 + len(body)) + body)

    def ask(self, text):
        self.send(text)
        return self.until_ready()

    def cancel(self):
        with socket.create_connection(self.address, timeout=PATIENCE) as sock:
            sock.sendall(struct.pack("!II", 16, 80_877_102) + self.key)
            assert sock.recv(1) == b""


def rows(messages):
    found = []
    for kind, body in messages:
        if kind == b"D":
            at, row = 2, []
            for _ in range(struct.unpack_from("!H", body)[0]):
                size = struct.unpack_from("!I", body, at)[0]
                row.append(body[at + 4 : at + 4 + size])
                at += 4 + size
            found.append(tuple(row))
    return found


def sqlstate(messages):
    """Returns the SQLSTATE of the first error, None if there is none."""
    return next(
        (
            part[1:].decode()
            for kind, body in messages
            if kind == b"E"
            for part in body.split(b"\0")
            if part[:1] == b"C"
        ),
        None,
    )
