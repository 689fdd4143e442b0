"""Stand-ins for the review's cases: engines, coordinator, clients, and the dispatchers under test.

They follow PROTOCOL.md and DEPLOY.md of the users' pages and use the standard library only. Everything is on
loopback addresses with free ports. Each case records what was sent, answered and run in its record.txt.
"""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from threading import Event, Lock, Thread, Timer

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 115.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit statuses of a case


STARTED = []  # the dispatchers that this process has started


class CannotRunError(Exception):
    """The case cannot run here, whatever the rule."""


class Record:
    """Writes one line an event to record.txt, with the seconds since the start and the Unix time."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock, self.began = Lock(), time.time()

    def line(self, who, what, **fields):
        """Records an event; returns its Unix time."""
        now = time.time()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now - self.began:8.3f} {now:.3f} {who:<12} {what} {text}".rstrip() + "\n")
                self.file.flush()
        return now

    def close(self):
        """Closes the file."""
        with self.lock:
            self.file.close()


def reset(sock):
    """Closes a connection with a reset, as the connections of a process that dies."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)  # wakes the thread that reads it
    except OSError:
        pass
    sock.close()


class Server:
    """A listener on loopback that serves each connection in a thread of its own."""

    def __init__(self, port=0):
        self.listening = socket.create_server(("127.0.0.1", port), backlog=256)
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.lock, self.connections, self.dead = Lock(), set(), False
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.dead:
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.dead:
                    reset(sock)
                    return
                self.connections.add(sock)
            Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError, EOFError):
            pass
        finally:
            with self.lock:
                self.connections.discard(sock)
            sock.close()

    def serve(self, sock):
        """Serves one connection."""
        raise NotImplementedError

    def die(self):
        """Ends as a process that dies: refuses new connections and resets the open ones."""
        with self.lock:
            self.dead = True
            connections, self.connections = list(self.connections), set()
        try:
            self.listening.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listening.close()
        for sock in connections:
            reset(sock)


class Ask:
    """A request as an engine received it whole."""

    def __init__(self, engine, at, query_id, fields, body):
        self.engine, self.at, self.id, self.fields, self.body = engine, at, query_id, fields, body
        self.token = fields.get("uniq")
        self.ended, self.given_up = False, Event()


class Engine(Server):
    """An engine by the line protocol.

    handle(ask): called in a thread for each request; returns the answer's word and its rows, or None to say
    nothing. A request that is given up (QUIT, or its connection ends) gets no answer.
    """

    def __init__(self, name, zone, record, handle, cell=0, kind="ward-8", port=0):
        self.name, self.zone, self.cell, self.kind, self.record = name, zone, cell, kind, record
        self.handle, self.asks = handle, []
        super().__init__(port)

    def entry(self, status="Ready", since_ms=0):
        """The engine's entry in the coordinator's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.cell,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    def serve(self, sock):
        """Reads the commands of one connection."""
        lines, writing, open_asks = sock.makefile("rb"), Lock(), {}
        try:
            for line in lines:
                words = line.split()
                if words[0] == b"ASK":
                    body = lines.read(int(words[3]) + 2)
                    if len(body) < int(words[3]) + 2:
                        return
                    fields = {}
                    if words[2] != b"-":
                        fields = dict(part.split("=", 1) for part in words[2].decode().split(","))
                    ask = Ask(self, time.time(), words[1].decode(), fields, body[:-2])
                    with self.lock:
                        self.asks.append(ask)
                    open_asks[ask.id] = ask
                    self.record.line(self.name, "ASK", zone=self.zone, id=ask.id, **fields)
                    Thread(target=self._answer, args=(sock, writing, ask), daemon=True).start()
                elif words[0] in (b"QUIT", b"FREE"):
                    ask = open_asks.pop(words[1].decode(), None)
                    if ask is not None and not ask.ended:
                        self.record.line(self.name, words[0].decode(), id=ask.id)
                        ask.given_up.set()
                elif words[0] == b"NOOP":
                    with writing:
                        sock.sendall(b"%b PONG - 0\r\n\r\n" % words[1])
        finally:
            for ask in open_asks.values():
                ask.given_up.set()

    def _answer(self, sock, writing, ask):
        answer = self.handle(ask)
        if answer is None or ask.given_up.is_set() or self.dead:
            return
        word, rows = answer
        fields = "sheets=1,toil=100.0,room=96" if word == "HIT" else "-"
        data = f"{ask.id} {word} {fields} {len(rows)}\r\n".encode() + rows + b"\r\n"
        ask.ended = True
        try:
            with writing:
                sock.sendall(data)
            self.record.line(self.name, "answered", id=ask.id, word=word)
        except OSError:
            pass


class Coordinator(Server):
    """The stream of changes of the endpoint list, numbered from 1."""

    def __init__(self, record, engines):
        self.record, self.events, self.followers = record, [], set()
        super().__init__()
        self.tell([engine.entry() for engine in engines], snapshot=True)
        Thread(target=self._comment, daemon=True).start()

    def tell(self, entries, snapshot=False):
        """Adds an event and sends it to all that follow; returns the time."""
        with self.lock:
            index = len(self.events) + 1
            event = {
                "index": index,
                "endpoints": {"index": index, "snapshot": snapshot, "endpoints": entries},
            }
            self.events.append(event)
            for sock in list(self.followers):
                self._send(sock, b"id: %d\ndata: %b\n\n" % (index, json.dumps(event).encode()))
        words = ",".join(f"{entry['name']}:{entry['status']}" for entry in entries)
        return self.record.line("coordinator", "told", index=index, list=words)

    def known(self):
        """The events so far, as a dispatcher's configuration has them."""
        with self.lock:
            return {"index": len(self.events), "updates": list(self.events)}

    def _send(self, sock, data):
        try:
            sock.sendall(data)
        except OSError:
            self.followers.discard(sock)

    def _comment(self):
        while not self.dead:
            time.sleep(1.0)
            with self.lock:
                for sock in list(self.followers):
                    self._send(sock, b": here\n\n")

    def serve(self, sock):
        """Answers GET /v2/stream, then keeps the connection as a follower."""
        lines, last = sock.makefile("rb"), 0
        for line in lines:
            if not line.strip():
                break
            if line.lower().startswith(b"last-event-id:"):
                last = int(line.split(b":")[1])
        with self.lock:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            for event in self.events[last:]:
                self._send(sock, b"id: %d\ndata: %b\n\n" % (event["index"], json.dumps(event).encode()))
            self.followers.add(sock)
        try:
            while sock.recv(4096):
                pass
        finally:
            with self.lock:
                self.followers.discard(sock)


STARTUP_BODY = struct.pack("!I", 196_608) + b"user\0app\0database\0bi\0\0"
STARTUP = struct.pack("!I", 4 + len(STARTUP_BODY)) + STARTUP_BODY


def simple_query(text):
    """The message of a simple query."""
    body = text.encode() + b"\0"
    return b"Q" + struct.pack("!I", 4 + len(body)) + body


class Session:
    """A client's session by the PostgreSQL protocol 3.0."""

    def __init__(self, address, timeout=30.0):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.sock.makefile("rb")

    def start(self):
        """Sends the start-up message and reads up to ReadyForQuery."""
        self.sock.sendall(STARTUP)
        return self.read_answer()

    def message(self):
        """The next message: its type and body. Raises EOFError at the end."""
        head = self.lines.read(5)
        if len(head) < 5:
            raise EOFError
        length = struct.unpack("!I", head[1:])[0] - 4
        body = self.lines.read(length)
        if len(body) < length:
            raise EOFError
        return head[:1], body

    def read_answer(self):
        """Reads up to ReadyForQuery; returns (kind, detail, rows).

        kind: served, refused, failed, empty, started, or cut off if the connection ended before."""
        kind, detail, rows = "started", "", []
        try:
            while True:
                letter, body = self.message()
                if letter == b"Z":
                    return kind, detail, rows
                if letter == b"D":
                    rows.append(body)
                elif letter == b"C":
                    kind, detail = "served", body[:-1].decode()
                elif letter == b"I":
                    kind = "empty"
                elif letter == b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    code = fields.get(b"C", "")
                    refused = not rows and (code[:2] == "53" or code == "57P03")
                    kind, detail = "refused" if refused else "failed", code
        except (EOFError, OSError) as error:
            if kind in ("refused", "failed"):
                return kind, detail, rows
            return "cut off", type(error).__name__, rows

    def ask(self, text):
        """Sends a simple query and reads its answer."""
        self.sock.sendall(simple_query(text))
        return self.read_answer()

    def close(self):
        """Terminates the session."""
        try:
            self.sock.sendall(b"X" + struct.pack("!I", 4))
        except OSError:
            pass
        self.lines.close()
        self.sock.close()


def statement(verb, txn, limit_ms, text, **fields):
    """A statement with its fields in the comment ahead of it."""
    words = {"verb": verb, "txn": txn, "limit": limit_ms, **fields}
    return "/* " + ",".join(f"{name}={value}" for name, value in words.items()) + " */ " + text


def free_port():
    """A free port on loopback."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Dispatcher:
    """A dispatcher under test: a process of its own, started by `run` of the deploy file."""

    def __init__(self, name, record, settings, coordinator, folder, limits=None, parts=None):
        self.name, self.record, self.folder = name, record, Path(folder)
        self.settings, self.coordinator, self.parts = settings, coordinator, parts
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.address, self.process, self.starts = f"127.0.0.1:{free_port()}", None, 0
        self.config = self.folder / f"{name}.json"

    def write_config(self):
        """Writes the configuration as the platform does, with the list as it is known by now."""
        self.starts += 1
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": f"{self.starts:016x}",
            "limits": self.limits,
            "coordinator": self.coordinator.address,
            "known": self.coordinator.known(),
            "settings": self.settings,
        }
        self.config.write_text(json.dumps(config))

    def start(self):
        """Starts the process and waits until it answers an empty query."""
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        if not (ROOT / ".venv/bin/python").exists():
            raise CannotRunError("there is no .venv: run `build` of deploy/balancer.toml first")
        self.write_config()
        scratch = self.folder / f"tmp-{self.name}-{self.starts}"
        scratch.mkdir()
        env = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "WICKVANE"))}
        env |= {
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_CONFIG": str(self.config),
            "TMPDIR": str(scratch),
        }
        if self.parts:
            env["WICKVANE_PARTS"] = str(self.parts)
        log = open(self.folder / f"{self.name}-{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        STARTED.append(self)
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with status {self.process.returncode} at its start")
            try:
                session = Session(self.address, timeout=2.0)
                session.start()
                kind = session.ask("")[0]
                session.close()
                if kind == "empty":
                    self.record.line(self.name, "ready", pid=self.process.pid)
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready after {READY_TIMEOUT_S:.0f} s")

    def send_signal(self, number):
        """Sends a signal to the program that `run` started."""
        self.record.line(self.name, "signal", name=signal.Signals(number).name)
        self.process.send_signal(number)

    def crashed(self):
        """Whether the process has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def end(self):
        """Ends the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(5)


def end_all():
    """Ends all dispatchers that this process has started."""
    for dispatcher in STARTED:
        dispatcher.end()


def give_up(why):
    """Ends all that was started, and exits as a case that could not run."""
    end_all()
    print(f"could not run: {why}", flush=True)
    os._exit(COULD_NOT_RUN)


def run_case(case, here):
    """Runs a case and exits with its status. case(record, folder, trouble) returns the breaks found."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(here)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, frame: give_up(f"signal {received}"))
    timer = Timer(CASE_TIMEOUT_S, give_up, (f"not done after {CASE_TIMEOUT_S:.0f} s",))
    timer.daemon = True
    timer.start()
    record.line("case", "begins", trouble=int(trouble))
    try:
        with tempfile.TemporaryDirectory(prefix="wickvane-review-") as folder:
            try:
                breaks = case(record, Path(folder), trouble)
            finally:
                end_all()
    except CannotRunError as error:
        record.line("case", "could not run", why=error)
        print(f"could not run: {error}")
        status = COULD_NOT_RUN
    except Exception as error:  # a fault of the test is no verdict on the rule
        record.line("case", "could not run", why=f"{type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    else:
        for text in breaks:
            record.line("case", "BROKEN", why=text)
            print(f"broken: {text}")
        status = BROKEN if breaks else HELD
        record.line("case", "ends", verdict="broken" if breaks else "held")
        print("the rule was broken" if breaks else "the rule held")
    record.close()
    sys.stdout.flush()
    os._exit(status)
