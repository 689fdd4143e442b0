"""Peak memory of a dispatcher by what hundreds of clients do at once, and by its limit.

    python -m benchmarks.memory [--quick | --full] [--tree=FOLDER] [PICTURE ...]

The real program, before stand-in engines, gets hundreds of connections that all do the same for some seconds,
while a few other clients ask small queries one after another. The last line is one JSON object with, by limit
and picture: the peak of the resident memory in MB, and how many of the small queries were served.
"""

import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from multiprocessing import get_context
from random import Random
from threading import Thread
from typing import NamedTuple

from benchmarks import conclude
from benchmarks.storm_sockets import ROOT
from wickvane.net.tds import login7, packets, prelogin, sql_batch

SOCKETS = 1024  # descriptors of the dispatcher
CLIENTS = {"quick": 900, "full": 900}
LIMITS_MB = {"quick": (32, 64), "full": (32, 64, 192)}
SECONDS = 6.0  # for which a picture lasts; half-sent messages are given up earlier
TDS_CONNECTIONS = 200
PROBES = 4  # clients that ask small queries meanwhile
STATEMENT_SIZE = 65_000  # octets
LARGE_STATEMENTS = 24  # sent at once by each client
LARGE_STATEMENT_SIZE = 8_000  # octets
FIELD_COUNT = 9_000
PAGE = b"some text of a cell\tanother one\tand a third\n" * 130  # just under the maximum of a page
PAGE_COUNT = 8
SMALL_PAGE = b"a\tb\tc\n"
WORK_S = 0.02
STARTUP = struct.pack("!II", 30, 196_608) + b"user\0app\0database\0bi\0\0"
WANTED = {"peak_of_limit": 1.0, "served_least": 0.95}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        return listening.getsockname()[1]


# Engines, in a process of their own


def serve_engine(connection: socket.socket) -> None:
    """Answers one connection by the line protocol; statements that name `wide` get a large result."""
    lines = connection.makefile("rb")
    try:
        for line in lines:
            words = line.split()
            if words[0] == b"ASK":
                text = lines.read(int(words[3]) + 2)
                time.sleep(WORK_S)
                page, count = (PAGE, PAGE_COUNT) if b" wide" in text else (SMALL_PAGE, 1)
                fields = b"sheets=%d,toil=20,room=96" % count
                connection.sendall(b"%b HIT %b %d\r\n%b\r\n" % (words[1], fields, len(page), page))
            elif words[0] == b"NEXT":
                head = b"%b PART sheet=%b %d\r\n" % (words[1], words[2], len(PAGE))
                connection.sendall(head + PAGE + b"\r\n")
    except (OSError, ValueError):
        pass


def run_engines(count: int, pipe) -> None:
    """A process with engines; tells their addresses."""
    listening = [socket.create_server(("127.0.0.1", 0), backlog=512) for _ in range(count)]
    pipe.send([f"127.0.0.1:{sock.getsockname()[1]}" for sock in listening])

    def accept(sock):
        while True:
            connection, _ = sock.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            Thread(target=serve_engine, args=(connection,), daemon=True).start()

    for sock in listening:
        Thread(target=accept, args=(sock,), daemon=True).start()
    pipe.recv()


class Coordinator:
    """Accepts the dispatcher's stream of endpoint events and sends comments."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            connection, _ = self.listening.accept()
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                connection.sendall(b": \n\n")
                time.sleep(1.0)
        except OSError:
            pass


# What clients do


def query(text: str, size: int = 0, fields: str = "") -> bytes:
    """Returns a Query message, filled up to a size."""
    comment = f"/* verb=lookup,txn={secrets.token_hex(8)},limit=7000,team=acme,cpu=20{fields} */ {text}"
    body = comment.encode().ljust(size, b" ") + b"\0"
    return b"Q" + struct.pack("!I", 4 + len(body)) + body


def half_a_statement(_: int) -> bytes:
    """A statement near the maximum, of which the last octets do not come."""
    return query("SELECT 1 FROM sales_1.orders", STATEMENT_SIZE)[:-10]


def short_fields(_: int) -> bytes:
    """A statement whose comment has very many short fields."""
    return query("SELECT 1 FROM sales_1.orders", fields="".join(f",f{n}=" for n in range(FIELD_COUNT)))


def many_statements(_: int) -> bytes:
    """Many statements at once."""
    text = "SELECT 1 FROM sales_1.orders"
    return b"".join(query(text, LARGE_STATEMENT_SIZE) for _ in range(LARGE_STATEMENTS))


def many_keyed_statements(number: int) -> bytes:
    """Many statements at once whose order matters, so that they are submitted ahead of their turns."""
    return b"".join(
        query("INSERT INTO sales_1.orders VALUES (1)", LARGE_STATEMENT_SIZE).replace(
            b"verb=lookup", b"verb=load,unique=%d.%d,item=k%d" % (number, n, number % 8)
        )
        for n in range(LARGE_STATEMENTS)
    )


def whole_statements(_: int) -> bytes:
    """A statement near the maximum."""
    return query("SELECT 1 FROM sales_1.orders", STATEMENT_SIZE)


def unread_results(_: int) -> bytes:
    """Queries for large results that are not read."""
    return b"".join(query("SELECT * FROM sales_1.orders AS wide") for _ in range(LARGE_STATEMENTS))


def nothing(_: int) -> bytes:
    """Nothing: the client stays connected."""
    return b""


def tds_batch(size: int) -> bytes:
    text = query("SELECT 1 FROM sales_1.orders", size)[5:-1].decode()
    return packets.encode_packets(packets.SQL_BATCH, sql_batch.encode_sql_batch(text))


def half_a_tds_batch(_: int) -> bytes:
    """A batch near the maximum of a TDS message, of which the last packet does not come."""
    return tds_batch(95_000)[:-3000]


def whole_tds_batches(_: int) -> bytes:
    """Batches near the maximum, several at once."""
    return tds_batch(95_000) * 2


def small_tds_packets(_: int) -> bytes:
    """Very many packets of a message that does not end."""
    return (packets.HEADER.pack(packets.SQL_BATCH, 0, packets.HEADER.size + 1, 0, 1, 0) + b"x") * 4000


def mixed(number: int) -> bytes:
    """One of the others, and a part of it, by a seeded choice."""
    choice = Random(number)
    others = (half_a_statement, short_fields, many_statements, whole_statements, unread_results)
    message = choice.choice(others)(number)
    return message[: choice.randrange(1, len(message) + 1)]


class Picture(NamedTuple):
    """What all clients send; is_tds: by TDS; blocks_log: whether the dispatcher's log is not read."""

    message: Callable[[int], bytes] | None
    is_tds: bool = False
    blocks_log: bool = False


PICTURES = {
    "quiet": Picture(None),
    "connected": Picture(nothing),
    "half-statements": Picture(half_a_statement),
    "whole-statements": Picture(whole_statements),
    "short-fields": Picture(short_fields),
    "many-statements": Picture(many_statements),
    "keyed-statements": Picture(many_keyed_statements),
    "unread-results": Picture(unread_results),
    "mixed": Picture(mixed),
    "blocked-log": Picture(many_statements, blocks_log=True),
    "tds-half-batches": Picture(half_a_tds_batch, is_tds=True),
    "tds-whole-batches": Picture(whole_tds_batches, is_tds=True),
    "tds-small-packets": Picture(small_tds_packets, is_tds=True),
}


def connect(port: int, is_tds: bool) -> socket.socket | None:
    """Returns a connection that has sent its startup or login, or None if it was refused."""
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=5)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if is_tds:
            options = {prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\2"}
            sock.sendall(packets.encode_packets(packets.PRELOGIN, prelogin.encode_prelogin(options)))
            sock.recv(4096)
            login = login7.encode_login7("u", "p", "Report", "bi")
            sock.sendall(packets.encode_packets(packets.LOGIN7, login))
        else:
            sock.sendall(STARTUP)
        sock.recv(4096)
        sock.setblocking(False)
        return sock
    except OSError:
        return None


class Clients:
    """Clients that all do the same until they are stopped; a closed connection is opened again."""

    def __init__(self, port: int, count: int, picture: Picture) -> None:
        self.port, self.picture = port, picture
        self.open: dict[socket.socket, memoryview] = {}
        self.refused = 0
        self.count = count

    def run(self, seconds: float) -> None:
        """Connects, sends, and reads nothing until the time is over."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for _ in range(min(40, self.count - len(self.open))):
                self._add()
            for sock in list(self.open):
                self._send_more(sock)
            time.sleep(0.005)
        for sock in self.open:
            sock.close()

    def _add(self) -> None:
        sock = connect(self.port, self.picture.is_tds)
        if sock is None:
            self.refused += 1
        else:
            self.open[sock] = memoryview(self.picture.message(len(self.open)))

    def _send_more(self, sock: socket.socket) -> None:
        data = self.open[sock]
        try:
            if data:
                self.open[sock] = data[sock.send(data[:65_536]) :]
            elif self._is_closed(sock):
                raise ConnectionResetError
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            del self.open[sock]

    @staticmethod
    def _is_closed(sock: socket.socket) -> bool:
        try:
            return sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False


class Probe(Thread):
    """A client that asks small queries one after another, and counts how they were answered."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.stopped = port, False
        self.served = self.asked = self.other_errors = 0
        self.slowest_s = 0.0
        self.times_s: list[float] = []
        self.start()

    def run(self) -> None:
        while not self.stopped:
            try:
                with socket.create_connection(("127.0.0.1", self.port), timeout=10) as sock:
                    self._ask_on(sock)
            except OSError:
                self.asked += 1
                time.sleep(0.05)

    def _ask_on(self, sock: socket.socket) -> None:
        sock.sendall(STARTUP)
        if self._read_to_ready(sock) is None:
            raise ConnectionResetError
        while not self.stopped:
            began = time.monotonic()
            sock.sendall(query("SELECT 1 FROM sales_2.orders"))
            answer = self._read_to_ready(sock)
            if answer is None:
                raise ConnectionResetError
            self.asked += 1
            is_served = b"SELECT 1\0" in answer
            self.served += is_served
            self.other_errors += not is_served and b"C53" not in answer
            self.times_s.append(time.monotonic() - began)
            self.slowest_s = max(self.slowest_s, self.times_s[-1])
            time.sleep(0.05)

    @staticmethod
    def _read_to_ready(sock: socket.socket) -> bytes | None:
        data = b""
        while not data.endswith(b"Z\0\0\0\5I"):
            part = sock.recv(65_536)
            if not part:
                return None
            data += part
        return data


def settings() -> dict:
    """Returns the settings of the deployment: one group of look-ups, one of loads with a key."""
    lookup = {"name": "lookup", "effect": "safe", "promise_ms": 1500.0, "deadline_ms": 7500.0, "worth": 1.0}
    load = lookup | {
        "name": "load",
        "effect": "keyed",
        "group": "all",
        "repeat_window_ms": 12_000.0,
        "sequential": True,
    }
    return {
        "classes": [lookup, load],
        "accounts": [{"name": "acme", "share": 1.0, "quota_per_s": 500.0}],
        "az": "dc",
        "zones": ["dc"],
        "host_types": ["old"],
        "fleet_size": 1,
        "family_info": {"size_cores": [8], "size_mb": [16384.0], "priorities": True},
        "limits": {"cancel": True, "dial_timeout_ms": 250.0, "max_attempts": 5, "streams_per_conn": 100},
    }


class Program:
    """A dispatcher as a process, before engines."""

    def __init__(self, tree: str, folder: str, memory_mb: int, engines: list[str], reads_log: bool) -> None:
        self.coordinator = Coordinator()
        self.port, self.tds_port = free_port(), free_port()
        entries = [
            {"name": f"e{n}", "address": address, "zone": "dc", "type": "old", "group": 0}
            | {"status": "Ready", "weight": 1, "since_ms": 0}
            for n, address in enumerate(engines)
        ]
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f",
            "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS},
            "coordinator": self.coordinator.address,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": known}]},
        }
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(configuration, file)
        parts = os.path.join(folder, "parts.kdl")
        with open(parts, "w") as file:
            file.write(
                f'tds {{\n listen "127.0.0.1:{self.tds_port}"\n connections {TDS_CONNECTIONS}\n'
                ' lines-take-tds #true\n engines "old" { user "w"; takes-postgres #true }\n}\n'.replace(
                    ' engines "old" { user "w"; takes-postgres #true }\n', ""
                )
            )
        read_end, write_end = os.pipe()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "serve", f"--config={path}", f"--parts={parts}"],
            cwd=tree,
            env=os.environ | {"PYTHONPATH": tree},
            stdout=write_end,
        )
        os.close(write_end)
        self.log = os.fdopen(read_end, "rb")
        self.log.readline()
        self.reader = Thread(target=self._drain, daemon=True)
        if reads_log:
            self.reader.start()

    def _drain(self) -> None:
        while self.log.read1(1 << 20):
            pass

    def peak_mb(self) -> float:
        """Returns the peak of the resident memory."""
        with open(f"/proc/{self.process.pid}/status") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))

    def end(self) -> None:
        """Ends the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def measure_picture(
    tree: str, name: str, memory_mb: int, count: int, engines: list[str], seconds: float = SECONDS
) -> dict:
    """Returns the figures of one picture at one limit."""
    picture = PICTURES[name]
    with tempfile.TemporaryDirectory() as folder:
        program = Program(tree, folder, memory_mb, engines, not picture.blocks_log)
        try:
            time.sleep(0.3)
            probes = [Probe(program.port) for _ in range(PROBES)]
            if picture.message is None:
                time.sleep(seconds)
            else:
                Clients(program.tds_port if picture.is_tds else program.port, count, picture).run(seconds)
            for probe in probes:
                probe.stopped = True
            for probe in probes:
                probe.join(12)
            asked = sum(probe.asked for probe in probes)
            return {
                "peak_mb": round(program.peak_mb(), 1),
                "asked": asked,
                "served": sum(probe.served for probe in probes),
                "other_errors": sum(probe.other_errors for probe in probes),
                "served_part": round(sum(probe.served for probe in probes) / max(1, asked), 3),
                "slowest_ms": round(1000 * max(probe.slowest_s for probe in probes)),
            }
        finally:
            program.end()


def measure() -> tuple[dict, bool]:
    """Returns the figures by limit and picture, and whether each is as wanted."""
    mode = "full" if "--full" in sys.argv else "quick"
    tree = next((word[7:] for word in sys.argv if word.startswith("--tree=")), ROOT)
    names = [word for word in sys.argv[1:] if not word.startswith("--")] or list(PICTURES)
    context = get_context("spawn")
    pipe, other = context.Pipe()
    context.Process(target=run_engines, args=(6, other), daemon=True).start()
    engines = pipe.recv()
    figures: dict = {"mode": mode, "clients": CLIENTS[mode], "sockets": SOCKETS}
    holds = True
    for memory_mb in LIMITS_MB[mode]:
        for name in names:
            found = measure_picture(tree, name, memory_mb, CLIENTS[mode], engines)
            figures.setdefault(str(memory_mb), {})[name] = found
            print(memory_mb, name, json.dumps(found), flush=True)
            holds = holds and found["peak_mb"] <= WANTED["peak_of_limit"] * memory_mb
            holds = holds and found["served_part"] >= WANTED["served_least"]
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("memory", WANTED, measure))
