"""Several real `wickvane serve` processes on loopback, and faults between them.

Every dispatcher advertises an address of the relay, so that each datagram from one to another passes it: who
sent it is told by its source, whom it is for by where it came in. Engines, coordinator and clients are
stand-ins in this process; what they saw goes to the one rule checker. Chance comes from the seed alone:
`FLEET_SEED=n pytest tests/fleet -k NAME` plays one again.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from random import Random
from threading import Event, Thread

import orjson
from bench_free import PATIENCE, SETTINGS, Engine, Events, entry, event, hit
from rules import Figures, Seen

from wickvane.rehearsal.load import Postgres
from wickvane.rehearsal.relay import Relay

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SEEDS = [int(os.environ["FLEET_SEED"])] if "FLEET_SEED" in os.environ else [1, 2, 3]
EFFECTS = {"lookup": "read-only", "load": "tokened", "change": "mutating"}
# Below those that the system hands out, and a part of them for each worker of a run of tests: a port that was
# free a moment ago is else another fleet's, or a connection's, by the time a program listens there.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
PORTS = itertools.cycle(range(11_000 + 1_500 * (WORKER % 14), 11_000 + 1_500 * (WORKER % 14 + 1)))
# Of this run alone: two runs of tests at once may get the same ports, and must not join their fleets.
KEY = b"a key that all of the fleet hold, %d" % os.getpid()


def own_port(kind):
    for port in PORTS:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Watched(Engine):
    """An engine that answers each query after a little, and tells the checker what it saw. toil: the work in
    ms that it tells of each; since: when it started, by ms of Unix time."""

    def __init__(self, name, seen, took=0.01, toil=12.5, since=0):
        self.name, self.seen, self.took, self.since = name, seen, took, since
        self.fields, self.fails = b"sheets=1,toil=%.1f,room=96" % toil, False
        super().__init__(self.answer)

    def answer(self, txn, words):
        now = time.time()
        if words[0] == b"ASK":
            n = self.seen.submitted(now, txn.decode(), self.name)
            time.sleep(self.took)
            if self.fails:
                self.seen.ended(time.time(), n, "error")
                return b"%b FAULT - 0\r\n\r\n" % txn
            self.seen.ended(time.time(), n, "finished")
            return hit(txn, fields=self.fields)
        return b""


class Coordinator(Events):
    """Holds each stream open and is never silent; the list itself is known from the start."""

    def serve(self, conn, lines):
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        while True:
            time.sleep(0.4)
            conn.sendall(b": here\n\n")


@contextmanager
def fleet(folder, size, seed, **more):
    """A Fleet that is up and of one view, and ended whatever comes."""
    made = Fleet(folder, size, seed, **more)
    try:
        yield made.begin()
    finally:
        made.end()


def between(some, others):
    """Both ways of each pair."""
    return [pair for a in some for b in others for pair in ((a, b), (b, a))]


class Fleet:
    """size dispatchers before engines; more: what their node peers has beside the usual; parts: other nodes;
    obligations: of the settings; cost: of each query, in ms; cold: whether engines start with the fleet;
    clocks: {dispatcher: what WICKVANE_CLOCK says to it}; apart: (dispatcher, engine) that cannot meet."""

    def __init__(
        self,
        folder,
        size,
        seed,
        engines=3,
        seeds=2,
        more="",
        parts="",
        obligations=None,
        cost=10,
        cold=False,
        clocks=None,
        apart=(),
    ):
        self.folder, self.size, self.seed, self.more, self.parts = str(folder), size, seed, more, parts
        self.chance = Random(f"{seed}/fleet")
        self.seen = Seen(Figures(EFFECTS, slack=0.5))
        self.cost, self.clocks, self.began = cost, clocks or {}, time.time()
        self.apart, self.nowhere = apart, f"127.0.0.1:{own_port(socket.SOCK_STREAM)}"
        self.settings = SETTINGS | {
            "fleet_size": size,
            "obligations": SETTINGS["obligations"] | (obligations or {}),
        }
        self.engines = [
            Watched(
                f"e{n}",
                self.seen,
                toil=12.5 if cost == 10 else cost,
                since=int(self.began * 1000) if cold else 0,
            )
            for n in range(engines)
        ]
        self.coordinator = Coordinator()
        self.ports = [own_port(socket.SOCK_STREAM) for _ in range(size)]
        self.relay = Relay([own_port(socket.SOCK_DGRAM) for _ in range(size)], seed)
        self.seeds, self.processes = range(seeds), [None] * size
        self.logs = [os.path.join(self.folder, f"n{n}.log") for n in range(size)]
        self.key_file = os.path.join(self.folder, "key")
        self.write_key(KEY)
        self.words, self.clients, self.at_dispatcher, self.over = {}, [], [], Event()
        for n in range(size):
            self.write(n)
        self.relay.start()

    def write_key(self, *keys):
        with open(f"{self.key_file}.new", "wb") as file:
            file.write(b"\n".join(keys) + b"\n")
        os.replace(f"{self.key_file}.new", self.key_file)

    def write(self, n):
        entries = [
            entry(e.name, self.nowhere if (n, e.name) in self.apart else e.address, since=e.since)
            for e in self.engines
        ]
        config = {
            "name": f"n{n}",
            "listen": f"127.0.0.1:{self.ports[n]}",
            "seed": f"{self.seed}{n}",
            "settings": self.settings,
            "limits": {"sockets": 256},
            "coordinator": self.coordinator.address,
            "known": {"index": 1, "updates": [event(1, *entries, snapshot=True)]},
        }
        with open(self.path(n, "json"), "w") as file:
            json.dump(config, file)
        seeds = "; ".join(f'seed "{self.relay.addresses[s]}"' for s in self.seeds)
        host, port = self.relay.listens[n]
        with open(self.path(n, "kdl"), "w") as file:
            file.write(
                f'peers {{\n listen "{host}:{port}"\n advertise "{self.relay.addresses[n]}"\n'
                f' key-file "{self.key_file}"\n state "{self.state(n)}"\n {seeds}\n {self.more}\n}}\n'
                f"{self.parts}"
            )

    def path(self, n, kind):
        return os.path.join(self.folder, f"n{n}.{kind}")

    def state(self, n):
        return os.path.join(self.folder, f"state-{n}")

    # Processes

    def start(self, *which):
        for n in which:
            with open(self.logs[n], "ab") as log:
                self.processes[n] = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "wickvane",
                        "serve",
                        f"--config={self.path(n, 'json')}",
                        f"--parts={self.path(n, 'kdl')}",
                    ],
                    cwd=ROOT,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    stdin=subprocess.DEVNULL,
                    env=os.environ | ({"WICKVANE_CLOCK": self.clocks[n]} if n in self.clocks else {}),
                )

    def begin(self):
        """All up, and of one view."""
        self.start(*range(self.size))
        self.until(lambda: self.equal(range(self.size)), "views are not equal at the start")
        return self

    def kill(self, *which):
        for n in which:
            self.processes[n].kill()
        for n in which:
            self.processes[n].wait()

    def stop(self, n):
        self.processes[n].send_signal(signal.SIGSTOP)

    def go_on(self, n):
        self.processes[n].send_signal(signal.SIGCONT)

    def quiet(self):
        """The clients end, each with the answer that it waits for."""
        self.over.set()
        for client in self.clients:
            client.join(10)

    def end(self):
        self.quiet()
        running = [p for p in self.processes if p is not None and p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait()
        self.relay.over = True
        for stand in (*self.engines, self.coordinator):
            stand.end()

    def pick(self):
        """(one, all others), by lot."""
        one = self.chance.randrange(self.size)
        return one, [n for n in range(self.size) if n != one]

    # What they say

    def status(self, n):
        try:
            with open(os.path.join(self.state(n), "status.json"), "rb") as file:
                return orjson.loads(file.read())
        except (OSError, orjson.JSONDecodeError):
            return None

    def equal(self, which):
        """Whether these hold one agreed view of just themselves."""
        names, digests, now = {f"n{n}" for n in which}, set(), time.time()
        for n in which:
            found = self.status(n)
            if found is None or now - found["at"] > 4 or not found["agreed"] and len(names) > 1:
                return False
            if {row["name"] for row in found["members"] if row["in_view"]} != names:
                return False
            digests.add(found["digest"])
        return len(digests) == 1

    def states(self, n, of):
        """What n says of each life under a name."""
        found = self.status(n) or {"members": []}
        return [row["state"] for row in found["members"] if row["name"] == f"n{of}"]

    def logged(self, n, *events):
        with open(self.logs[n], "rb") as file:
            lines = [orjson.loads(line) for line in file.read().splitlines() if line.startswith(b"{")]
        return [line for line in lines if line["event"] in events]

    def until(self, holds, words, seconds=PATIENCE):
        by = time.monotonic() + seconds
        while not holds():
            assert time.monotonic() < by, f"{words}; seed {self.seed}: {self.told()}"
            time.sleep(0.1)

    def told(self):
        return {
            n: {k: found[k] for k in ("standing", "part", "reasons", "digest", "agreed")}
            | {"members": [(row["name"], row["state"]) for row in found["members"]]}
            for n in range(self.size)
            if (found := self.status(n))
        }

    def verdicts(self, since=0.0):
        """(at, by whom, about whom) of every life that was called failed, from all logs."""
        return [
            (line["at"], f"n{n}", line["name"])
            for n in range(self.size)
            for line in self.logged(n, "peers-failed")
            if line["at"] >= since
        ]

    # Clients

    def serve(self, *which, every=0.05, many=1, groups=("lookup", "lookup", "load", "change")):
        """`many` clients at each of these from now on, to the end."""
        for n in which:
            for _ in range(many):
                client = Thread(target=self.ask, args=(n, len(self.clients), every, groups), daemon=True)
                self.at_dispatcher.append(n)
                self.clients.append(client)
                client.start()

    def ask(self, n, number, every, groups):
        client, count = Postgres(("127.0.0.1", self.ports[n])), 0
        chance = Random(f"{self.seed}/client/{n}/{number}")
        while not self.over.wait(every * chance.uniform(0.5, 1.5)):
            count += 1
            id = f"{number << 32 | count:016x}"
            group = chance.choice(groups)
            more = f",unique={id},item=k{number}x{count}" if group == "load" else ""
            at = time.time()
            self.seen.taken(at, id, group, 5.0, None)
            word = client.ask(
                f"/* verb={group},txn={id},limit=5000,team=acme,cpu={self.cost}{more} */ "
                f"SELECT 1 FROM sales_{chance.randrange(20)}.t",
                8,
            )
            known = word in ("finished", "deferred", "killed")
            self.seen.answered(time.time(), id, word if known else "left")
            self.words.setdefault(n, []).append((at, word))
            if word == "lost":
                client.close()

    def served(self, n, since, until=None):
        """Words that a dispatcher's client got to what it asked in that time."""
        return [word for at, word in self.words.get(n, ()) if at >= since and (until is None or at <= until)]

    def breaches(self):
        return self.seen.breaches()
