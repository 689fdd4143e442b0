"""After an engine stood still for half a second, a client gets an empty result as a finished one."""

import secrets
import selectors
import socket
import struct
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402 (the path comes first)
import tds2  # noqa: E402

PARTS = """tds {
    listen "127.0.0.1:%d"
    connections 64
    engines "mssql-8" {
        user "wickvane"
    }
}
"""
ENGINES = ("e0", "e1", "e2", "e3", "e4", "e5")
STANDING_STILL = ("e1", "e4")  # a third of the engines; the site's page has up to 46 in 100
STILL_S, STILL_EVERY_S = 0.48, 2.5  # 200 to 500 ms every few seconds
WORK_S = 0.05  # a short one of the widely spread look-ups
ROWS = 1200  # of 24 characters: 28,800 bytes of text
CLIENTS, SECONDS = 8, 30.0
PACKET_BODY = 4088
COLUMNS = struct.pack("<BHIHBH", 0x81, 1, 0, 9, 0xE7, 8000) + bytes(5) + b"\x04" + "name".encode("utf-16-le")


def result_of(query):
    """Returns the tokens of a query's result: each row names the query."""
    rows = []
    for number in range(ROWS):
        text = f"{query}:{number:06};".encode("utf-16-le")
        rows.append(b"\xd1" + struct.pack("<H", len(text)) + text)
    return COLUMNS + b"".join(rows) + tds2.done(tds2.DONE_COUNT, ROWS)


def packets_of(body):
    """Returns a message of several packets."""
    parts = [body[at : at + PACKET_BODY] for at in range(0, len(body), PACKET_BODY)]
    return b"".join(
        struct.pack(">BBHHBB", tds2.RESULT, part is parts[-1], 8 + len(part), 0, 1, 0) + part
        for part in parts
    )


class StillEngine:
    """An engine of one thread: it answers what is done, then reads what has come; at times it stands still.

    A query that is cancelled before it is done is given up, and the cancellation is acknowledged.
    """

    def __init__(self, case, name, stands_still):
        self.case, self.name, self.stands_still = case, name, stands_still
        self.selector = selectors.DefaultSelector()
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.selector.register(self.listening, selectors.EVENT_READ)
        self.buffers = {}
        self.running = {}  # by connection: (query, when it is done)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        still_at = time.time() + 1.0
        while True:
            if self.stands_still and time.time() >= still_at:
                self.case.note(f"{self.name}: stands still for {STILL_S} s")
                time.sleep(STILL_S)
                still_at = time.time() + STILL_EVERY_S
            for sock, (query, done_at) in list(self.running.items()):
                if time.time() >= done_at:
                    del self.running[sock]
                    self._send(sock, packets_of(result_of(query)))
                    self.case.note(f"{self.name}: {query} is done: {ROWS} rows")
            for key, _ in self.selector.select(0.002):
                self._read(key.fileobj)

    def _send(self, sock, data):
        try:
            sock.sendall(data)
        except OSError:
            self._close(sock)

    def _close(self, sock):
        if self.buffers.pop(sock, None) is not None:
            self.selector.unregister(sock)
        self.running.pop(sock, None)
        sock.close()

    def _read(self, sock):
        if sock is self.listening:
            connection, _ = sock.accept()
            self.selector.register(connection, selectors.EVENT_READ)
            self.buffers[connection] = bytearray()
            return
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._close(sock)
            return
        buffer = self.buffers[sock]
        buffer += data
        while len(buffer) >= 8 and len(buffer) >= struct.unpack_from(">H", buffer, 2)[0]:
            length = struct.unpack_from(">H", buffer, 2)[0]
            kind, body = buffer[0], bytes(buffer[8:length])
            del buffer[:length]
            self._message(sock, kind, body)

    def _message(self, sock, kind, body):
        if kind == tds2.PRELOGIN:
            self._send(sock, tds2.packet(tds2.RESULT, tds2.prelogin()))
        elif kind == tds2.LOGIN7:
            self._send(sock, tds2.packet(tds2.RESULT, tds2.login_ack()))
        elif kind == tds2.ATTENTION:
            given_up = self.running.pop(sock, None)
            what = f"gives {given_up[0]} up" if given_up else "nothing runs any more"
            self.case.note(f"{self.name}: ATTENTION: {what}; acknowledged")
            self._send(sock, tds2.packet(tds2.RESULT, tds2.done(tds2.DONE_ATTN)))
        elif kind == tds2.SQL_BATCH:
            text = body[struct.unpack_from("<I", body)[0] :].decode("utf-16-le")
            query = tds2.ENGINE_COMMENT.match(text)[1]
            self.running[sock] = (query, time.time() + WORK_S)
            self.case.note(f"{self.name}: {query} runs")


def ask(case, port, until, counts):
    """Asks one look-up after another and checks each answer."""
    client = tds2.TdsClient(port)
    while time.time() < until:
        txn = secrets.token_hex(8)
        answer = client.ask(
            f"/* verb=lookup,txn={txn},limit=7500,team=north,cpu={WORK_S * 1000:.1f},memory=8 */ "
            f"SELECT name FROM sales_{int(txn, 16) % 7}.turbines"
        )
        rows = answer.count(f"{txn}:".encode("utf-16-le"))
        is_error = struct.unpack_from("<H", answer, len(answer) - 12)[0] & tds2.DONE_ERROR
        case.note(f"client: {txn}: " + ("an error" if is_error else f"finished with {rows} rows"))
        counts["errors" if is_error else "finished"] += 1
        if not is_error and rows != ROWS:
            case.broken(f"{txn} was answered as finished with {rows} of {ROWS} rows")
        time.sleep(0.1)


def work(case):
    """The case: look-ups of eight clients before six engines, two of which stand still at times."""
    engines = [StillEngine(case, name, case.trouble and name in STANDING_STILL) for name in ENGINES]
    coordinator = kit2.Coordinator(case, [kit2.entry(e.name, e.address, kind="mssql-8") for e in engines])
    found = kit2.settings([kit2.resource_group("lookup")], kinds=["mssql-8"])
    port = kit2.free_port()
    parts = case.temporary / "parts.kdl"
    parts.write_text(PARTS % port)
    kit2.start_dispatcher(case, kit2.configuration(coordinator, coordinator.known(), found), parts)
    counts = {"finished": 0, "errors": 0}
    until = time.time() + SECONDS
    clients = [threading.Thread(target=ask, args=(case, port, until, counts)) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join(45)
    case.note(f"clients: {counts}")
    if counts["finished"] < 100:
        raise kit2.CannotRunError(f"too few answers: {counts}")


kit2.run_case(HERE, work)
