"""Stand-ins and helpers of the cases 6 to 10: clients, engines, a coordinator, and the life of a case.

All addresses are loopback addresses with free ports. The stand-ins follow the protocol page; where a case
needs another behaviour, it is in the case's own file.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MOST_SECONDS = 110.0
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: the close resets the connection


class CannotRunError(Exception):
    """The case cannot run here; the text says why."""


class Case:
    """One run of a case: its temporary folder, its record, the processes and the verdict."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.began = time.time()
        self.temporary = Path(tempfile.mkdtemp(prefix="wickvane-review-"))
        self.processes = []
        self.breaks = []
        self.note(f"TROUBLE={int(self.trouble)}")

    def note(self, text):
        """Adds a line to the record, with the seconds since the beginning."""
        with self.lock:
            self.record.write(f"{time.time() - self.began:8.3f} {text}\n")
            self.record.flush()

    def broken(self, text):
        """Notes that the rule was broken."""
        self.breaks.append(text)
        self.note(f"BROKEN: {text}")

    def start(self, name, arguments, **environment):
        """Starts a program of the project from the root; its output goes to a temporary file."""
        out = open(self.temporary / f"{name}.log", "wb")
        process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdout=out,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"} | environment,
        )
        process.log = self.temporary / f"{name}.log"
        process.name = name
        self.processes.append(process)
        self.note(f"started {name}, process {process.pid}: {' '.join(arguments)}")
        return process

    def await_ready(self, process, seconds=30.0):
        """Waits for the program's line `ready`."""
        until = time.time() + seconds
        while time.time() < until:
            if b'"event":"ready"' in process.log.read_bytes():
                return
            if process.poll() is not None:
                break
            time.sleep(0.02)
        text = process.log.read_text(errors="replace")[-2000:]
        raise CannotRunError(f"{process.name} did not get ready: {text}")

    def end(self):
        """Ends all processes, removes the folder, and returns the exit status."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.note("the rule was broken" if self.breaks else "the rule held")
        self.record.close()
        return BROKEN if self.breaks else HELD


def run_case(folder, work):
    """Runs work(case) within MOST_SECONDS and exits with the status of the case."""

    def overdue():
        case.note("the case took too long")
        for process in case.processes:
            if process.poll() is None:
                process.kill()
        os._exit(CANNOT_RUN)

    case = Case(folder)
    timer = threading.Timer(MOST_SECONDS, overdue)
    timer.daemon = True
    timer.start()
    status = CANNOT_RUN
    try:
        work(case)
        status = HELD
    except CannotRunError as error:
        case.note(f"cannot run: {error}")
    except Exception as error:  # a fault of the script must not pass for a broken rule
        case.note(f"cannot run: {type(error).__name__}: {error}")
    ended = case.end()
    timer.cancel()
    status = status or ended
    print(f"{Path(folder).name}: " + {0: "held", 1: "BROKEN", 2: "cannot run"}[status])
    sys.stdout.flush()
    os._exit(status)


def free_port():
    """Returns a port of 127.0.0.1 that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def run_command():
    """Returns the command `run` of the deploy file, for the shell."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


def start_dispatcher(case, configuration, parts=None, name="dispatcher"):
    """Starts a dispatcher with the command of the deploy file; returns its process and its client port."""
    path = case.temporary / f"{name}.json"
    path.write_text(json.dumps(configuration))
    environment = {"LB_CONFIG": str(path), "LB_NAME": name, "LB_LISTEN": configuration["listen"]}
    if parts is not None:
        environment["WICKVANE_PARTS"] = str(parts)
    process = case.start(name, ["/bin/sh", "-c", run_command()], **environment)
    process.configuration = path
    case.await_ready(process)
    return process, int(configuration["listen"].rpartition(":")[2])


def resource_group(name, effect="safe", **changes):
    """Returns a resource group of the settings."""
    usual = {
        "name": name,
        "effect": effect,
        "group": "all",
        "promise_ms": 1500.0,
        "deadline_ms": 7500.0,
        "aim_stretch": 2.0,
        "worth": 1.0,
        "late_worth": 0.5,
        "repeat_window_ms": 12000.0,
    }
    return usual | changes


def settings(groups, kinds=("std-8",), threads=None, **changes):
    """Returns the settings of a small deployment, with the figures of ras-ghareb-data."""
    usual = {
        "classes": groups,
        "accounts": [{"name": "north", "share": 1.0, "quota_per_s": 100.0}],
        "az": "dc",
        "zones": ["dc"],
        "host_types": list(kinds),
        "fleet_size": 1,
        "membership_mode": "automatic",
        "family_info": {
            "size_cores": [8] * len(kinds),
            "size_mb": [16384.0] * len(kinds),
            "class_threads": threads or [1] * len(groups),
            "writes_tables": [False] * len(groups),
            "priorities": True,
            "tells_cost": True,
        },
        "limits": {
            "cancel": True,
            "max_attempts": 5,
            "streams_per_conn": 100,
            "dial_timeout_ms": 250.0,
            "conn_idle_ms": 30000.0,
        },
        "obligations": {
            "answer_slack_ms": 20.0,
            "stop_sending_within_ms": 2000.0,
            "key_rest_ms": 300.0,
            "cold_from": 0.3,
            "cold_ms": 15000.0,
            "fall_multiple": 2.5,
            "fall_ms": 3000.0,
            "extra_free": 3.0,
            "further_ratio": 0.1,
            "budget_window_ms": 5000.0,
        },
    }
    return usual | changes


def configuration(coordinator, known, found, name="n1"):
    """Returns the configuration of a dispatcher; coordinator: its stand-in; found: the settings."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": coordinator.address,
        "known": known,
        "settings": found,
    }


def entry(name, address, status="Ready", kind="std-8", since_ms=0):
    """Returns an engine's entry in the list."""
    return {
        "name": name,
        "address": address,
        "zone": "dc",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 1,
        "since_ms": since_ms,
    }


class Coordinator:
    """Tells the list of engines as server-sent events, numbered from 1.

    A new process of a dispatcher gets its own numbering with `start_over`.
    """

    def __init__(self, case, entries):
        self.case = case
        self.lock = threading.Lock()
        self.events = []
        self.clients = []
        self.start_over(entries)
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._comment, daemon=True).start()

    def start_over(self, entries):
        """Numbers the list from 1 again, as for a new start of its reader."""
        with self.lock:
            self.events = []
            self._add(True, entries)

    def known(self):
        """Returns what the configuration says of the events so far."""
        with self.lock:
            return {"index": len(self.events), "updates": list(self.events)}

    def publish(self, *entries):
        """Tells a change; returns the time at which it was told."""
        with self.lock:
            event = self._add(False, entries)
            told = time.time()
            for client in list(self.clients):
                self._send(client, event)
        self.case.note(
            f"coordinator: event {event['index']}: "
            + ", ".join(f"{e['name']} {e['status']}" for e in entries)
        )
        return told

    def _add(self, snapshot, entries):
        index = len(self.events) + 1
        event = {
            "index": index,
            "endpoints": {"index": index, "snapshot": snapshot, "endpoints": list(entries)},
        }
        self.events.append(event)
        return event

    def _send(self, client, event):
        data = b"id: %d\ndata: %b\n\n" % (event["index"], json.dumps(event).encode())
        try:
            client.sendall(data)
        except OSError:
            if client in self.clients:
                self.clients.remove(client)

    def _accept(self):
        while True:
            sock, _ = self.listening.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                data = sock.recv(4096)
                if not data:
                    return
                head += data
            last = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"last-event-id:"):
                    last = int(line.split(b":")[1])
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        except OSError:
            return
        with self.lock:
            self.case.note(f"coordinator: a reader asks for what follows event {last}")
            for event in self.events:
                if event["index"] > last:
                    self._send(sock, event)
            self.clients.append(sock)

    def _comment(self):
        while True:
            time.sleep(1.0)
            with self.lock:
                for client in list(self.clients):
                    try:
                        client.sendall(b": here\n\n")
                    except OSError:
                        self.clients.remove(client)


class Ask:
    """A request as it came to an engine of the line protocol."""

    def __init__(self, connection, query, fields, body):
        self.connection = connection
        self.id = query
        self.body = body
        self.fields = dict(part.split("=", 1) for part in fields.split(",")) if fields != "-" else {}

    def answer(self, word, fields="-", body=b""):
        """Writes an answer."""
        self.connection.send(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


class EngineConnection:
    """One connection of a dispatcher to an engine."""

    def __init__(self, sock):
        self.sock = sock
        self.lock = threading.Lock()
        self.open = {}  # by query: the pages of its result, None while it runs

    def send(self, data):
        """Sends all of the data, unless the connection has ended."""
        try:
            with self.lock:
                self.sock.sendall(data)
        except OSError:
            pass

    def reset(self):
        """Resets the connection."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        self.sock.close()


class Engine:
    """An engine of the line protocol; work(engine, ask) serves one request in a thread of its own."""

    def __init__(self, name, work):
        self.name = name
        self.work = work
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def finish(self, ask, pages, toil=10.0):
        """Answers with a result: its first page now, the others when they are asked for."""
        ask.connection.open[ask.id] = pages
        ask.answer("HIT", f"sheets={len(pages)},toil={toil:.1f},room=8.0", pages[0])

    def _accept(self):
        while True:
            sock, _ = self.listening.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(EngineConnection(sock),), daemon=True).start()

    def _serve(self, connection):
        file = connection.sock.makefile("rb")
        try:
            while line := file.readline():
                self._command(connection, line.split(), file)
        except (OSError, ValueError):
            pass

    def _command(self, connection, words, file):
        query = words[1].decode()
        match words[0]:
            case b"ASK":
                body = file.read(int(words[3]) + 2)[:-2]
                ask = Ask(connection, query, words[2].decode(), body)
                connection.open[query] = None
                threading.Thread(target=self.work, args=(self, ask), daemon=True).start()
            case b"QUIT" | b"FREE":
                connection.open.pop(query, None)
            case b"NEXT":
                pages, number = connection.open.get(query), int(words[2])
                if pages is None or number >= len(pages):
                    connection.send(f"{query} FAULT - 0\r\n\r\n".encode())
                else:
                    head = f"{query} PART sheet={number} {len(pages[number])}\r\n".encode()
                    connection.send(head + pages[number] + b"\r\n")
            case b"NOOP":
                connection.send(f"{query} PONG - 0\r\n\r\n".encode())


class Answer:
    """The answer to a query: its rows, and the command tag or the error's code; lost if there is none."""

    def __init__(self):
        self.rows = []
        self.tag = None
        self.code = None
        self.text = ""
        self.lost = False

    def kind(self):
        """Returns finished, deferred, killed or lost."""
        if self.lost:
            return "lost"
        if self.code is None:
            return "finished"
        return "deferred" if self.code[:2] == "53" or self.code == "57P03" else "killed"

    def __str__(self):
        return f"{self.kind()} {self.code or self.tag or ''} rows={len(self.rows)} {self.text}".strip()


class Client:
    """A client's session by the PostgreSQL protocol 3.0, with simple queries."""

    def __init__(self, port, seconds=30.0):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=seconds)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")
        body = struct.pack("!I", 196_608) + b"user\0app\0database\0bi\0\0"
        self.sock.sendall(struct.pack("!I", 4 + len(body)) + body)
        self.read_answer(Answer())

    def query(self, text):
        """Sends a statement and returns its answer."""
        answer = Answer()
        body = text.encode() + b"\0"
        try:
            self.sock.sendall(b"Q" + struct.pack("!I", 4 + len(body)) + body)
            self.read_answer(answer)
        except OSError as error:
            answer.lost, answer.text = True, str(error)
        return answer

    def read_answer(self, answer):
        """Reads one answer up to ReadyForQuery."""
        while True:
            head = self.file.read(5)
            if len(head) < 5:
                raise ConnectionResetError("the connection was closed")
            body = self.file.read(struct.unpack("!I", head[1:])[0] - 4)
            match head[:1]:
                case b"Z":
                    return
                case b"D":
                    answer.rows.append(read_row(body))
                case b"C":
                    answer.tag = body[:-1].decode()
                case b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    answer.code, answer.text = fields[b"C"], fields[b"M"]

    def close(self):
        """Closes the session."""
        self.sock.close()


def read_row(body):
    """Returns the columns of a DataRow."""
    count, at, columns = struct.unpack_from("!H", body)[0], 2, []
    for _ in range(count):
        size = struct.unpack_from("!i", body, at)[0]
        at += 4
        columns.append(body[at : at + max(0, size)].decode())
        at += max(0, size)
    return tuple(columns)
