"""An engine that speaks TDS on loopback, from the published specification, with the troubles of engines."""

import re
import socket
import struct
from queue import Queue
from threading import Event, Lock, Thread

from bench_free import STANDING, reset

from wickvane.errors import ProtocolError
from wickvane.net.tds import encoding, login7, packets, prelogin, sql_batch, token_encoding, tokens

HEAD = re.compile(r"/\* id=(\w+),queue=([\w-]+),budget=(\d+)([^*]*) \*/ (.*)", re.S)
COLUMNS = token_encoding.encode_colmetadata([("n", encoding.INT_INFO), ("name", encoding.nvarchar_info(100))])


def row(n, name):
    return bytes((tokens.ROW,)) + encoding.encode_int(n) + encoding.encode_nvarchar(name)


def result(*rows, work=12.5, memory=96):
    report = token_encoding.encode_message(tokens.INFO, 50100, 1, 0, f"work={work} memory={memory}")
    return (
        COLUMNS
        + b"".join(row(*r) for r in rows)
        + report
        + token_encoding.encode_done(tokens.DONE_COUNT, len(rows))
    )


class Query:
    """One batch as it came: its id, group, fields and text; and the connection it came on."""

    def __init__(self, conn, text):
        found = HEAD.match(text)
        self.conn, self.id, self.group, self.budget = conn, found[1], found[2], int(found[3])
        self.fields = dict(part.split("=", 1) for part in found[4].split(",") if part)
        self.text = found[5]

    def answer(self, tokens):
        self.conn.send(packets.encode_packets(packets.TABULAR_RESULT, tokens))


class Connection:
    """One connection of a dispatcher to the stand-in engine."""

    def __init__(self, engine, sock):
        self.engine, self.sock, self.user, self.attended = engine, sock, None, Event()
        self.lock = Lock()

    def send(self, data):
        self.sock.sendall(data)

    def send_on(self, data):
        """More of a long answer; False once it was given up: nothing of it follows the acknowledgement."""
        with self.lock:
            if not self.attended.is_set():
                self.sock.sendall(data)
        return not self.attended.is_set()

    def serve(self):
        assembler = packets.MessageAssembler(1 << 20)
        while data := self.sock.recv(1024 if self.engine.half else 65_536):
            if self.engine.half and self.user is not None:
                self.engine.came.put(("HALF", self))
                self.engine.half(self)
                return
            assembler.feed(data)
            while (found := assembler.next_message()) is not None:
                self.message(*found)

    def message(self, kind, status, body):
        engine = self.engine
        if kind == packets.PRELOGIN:
            prelogin.read_prelogin(body)
            self.send(
                packets.encode_packets(
                    packets.TABULAR_RESULT,
                    prelogin.encode_prelogin(
                        {prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: bytes((engine.encryption,))}
                    ),
                )
            )
        elif kind == packets.LOGIN7:
            login = login7.read_login7(body)
            self.user = login.user
            engine.came.put(("LOGIN", login))
            if engine.refuses:
                refusal = token_encoding.encode_message(
                    tokens.ERROR, *engine.refuses
                ) + token_encoding.encode_done(tokens.DONE_ERROR)
                self.send(packets.encode_packets(packets.TABULAR_RESULT, refusal))
                return
            self.send(
                packets.encode_packets(
                    packets.TABULAR_RESULT,
                    token_encoding.encode_loginack()
                    + token_encoding.encode_envchange(tokens.ENV_PACKET_SIZE, "4096", "4096")
                    + token_encoding.encode_done(),
                )
            )
        elif kind == packets.SQL_BATCH:
            query = Query(self, sql_batch.read_sql_batch(body))
            query.reset = bool(status & packets.STATUS_RESET_CONNECTION)
            engine.came.put(("BATCH", query))
            answer = engine.answers(query)
            if answer is not None:
                query.answer(answer)
        elif kind == packets.ATTENTION:
            engine.came.put(("ATTENTION", self))
            with self.lock:
                self.attended.set()
                if engine.acknowledges:
                    self.send(
                        packets.encode_packets(
                            packets.TABULAR_RESULT, token_encoding.encode_done(tokens.DONE_ATTN)
                        )
                    )


class TdsEngine:
    """Tells the test all that comes; `answers` turns a Query into tokens, or None for silence."""

    def __init__(self, answers=lambda query: result((1, "a")), port=0):
        self.answers, self.came, self.connections = answers, Queue(), []
        self.refuses, self.acknowledges, self.encryption = None, True, prelogin.ENCRYPT_NOT_SUPPORTED
        self.half = None  # called with the connection once the first octets of a batch have come, then closed
        self.listening = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        STANDING.append(self)
        Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            self.connections.append(connection)
            Thread(target=self.guarded, args=(connection,), daemon=True).start()

    def guarded(self, connection):
        try:
            connection.serve()
        except (OSError, ValueError, struct.error, ProtocolError, AttributeError):
            pass
        connection.sock.close()

    def next(self, kind=None, seconds=30):
        while True:
            found = self.came.get(timeout=seconds)
            if kind is None or found[0] == kind:
                return found[1]

    def end(self):
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        for connection in self.connections:
            reset(connection.sock)
