"""A small TDS 7.4 engine and client for the cases 6 to 10, from the published protocol (MS-TDS)."""

import re
import socket
import struct
import threading

SQL_BATCH, RESULT, ATTENTION, LOGIN7, PRELOGIN = 1, 4, 6, 16, 18
TDS_74 = 0x74000004
DONE_MORE, DONE_ERROR, DONE_COUNT, DONE_ATTN = 0x01, 0x02, 0x10, 0x20
ENGINE_COMMENT = re.compile(r"/\* id=(\w+),([^*]*) \*/ (.*)", re.S)


def packet(kind, body):
    """Returns a message of one packet."""
    return struct.pack(">BBHHBB", kind, 1, 8 + len(body), 0, 1, 0) + body


def read_message(file):
    """Returns the type and the body of the next message; raises ConnectionResetError at the end."""
    body = b""
    while True:
        head = file.read(8)
        if len(head) < 8:
            raise ConnectionResetError("the connection was closed")
        kind, status, length = struct.unpack_from(">BBH", head)
        body += file.read(length - 8)
        if status & 1:
            return kind, body


def prelogin():
    """Returns the body of a PRELOGIN of one that speaks no encryption."""
    return struct.pack(">BHHBHHB", 0, 11, 6, 1, 17, 1, 255) + bytes(6) + b"\x02"


def done(status=0, rows=0):
    """Returns a DONE."""
    return struct.pack("<BHHQ", 0xFD, status, 0, rows)


def error(number, severity, text):
    """Returns an ERROR."""
    body = struct.pack("<iBBH", number, 1, severity, len(text)) + text.encode("utf-16-le")
    body += b"\0\0" + struct.pack("<I", 1)
    return b"\xaa" + struct.pack("<H", len(body)) + body


def login_ack():
    """Returns the tokens that accept a login."""
    name = "engine"
    body = b"\x01" + struct.pack(">I", TDS_74) + bytes((len(name),)) + name.encode("utf-16-le") + bytes(4)
    return b"\xad" + struct.pack("<H", len(body)) + body + done()


class TdsEngine:
    """An engine that speaks TDS; work(engine, query, text) returns the tokens of a batch's answer."""

    def __init__(self, name, work):
        self.name = name
        self.work = work
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listening.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        file = sock.makefile("rb")
        try:
            while True:
                kind, body = read_message(file)
                if kind == PRELOGIN:
                    sock.sendall(packet(RESULT, prelogin()))
                elif kind == LOGIN7:
                    sock.sendall(packet(RESULT, login_ack()))
                elif kind == ATTENTION:
                    sock.sendall(packet(RESULT, done(DONE_ATTN)))
                elif kind == SQL_BATCH:
                    text = body[struct.unpack_from("<I", body)[0] :].decode("utf-16-le")
                    query, _, statements = ENGINE_COMMENT.match(text).groups()
                    sock.sendall(packet(RESULT, self.work(self, query, statements)))
        except (OSError, AttributeError, struct.error):
            sock.close()


class TdsClient:
    """A client's session by TDS 7.4, without encryption."""

    def __init__(self, port, seconds=30.0):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=seconds)
        self.file = self.sock.makefile("rb")
        self.sock.sendall(packet(PRELOGIN, prelogin()))
        read_message(self.file)
        self.sock.sendall(packet(LOGIN7, login7("app", "bi")))
        errors = errors_in(read_message(self.file)[1])
        if errors:
            raise ConnectionRefusedError(str(errors))

    def ask(self, text):
        """Sends a batch and returns the tokens of its answer."""
        headers = struct.pack("<IIHQI", 22, 18, 2, 0, 1)
        self.sock.sendall(packet(SQL_BATCH, headers + text.encode("utf-16-le")))
        return read_message(self.file)[1]

    def batch(self, text):
        """Sends a batch without a result and returns the errors in its answer, as (number, text)."""
        return errors_in(self.ask(text))


def login7(user, database):
    """Returns the body of a LOGIN7 without a password."""
    values = ["", user, "", "report tool", "", "", "review", "", database]
    fields, data = b"", b""
    for value in values:
        fields += struct.pack("<HH", 94 + len(data), len(value))
        data += value.encode("utf-16-le")
    end = 94 + len(data)
    fields += bytes(6) + struct.pack("<HHHHHHI", end, 0, end, 0, end, 0, 0)
    head = struct.pack("<IIIIII", end, TDS_74, 4096, 7, 0, 0) + bytes((0xE0, 3, 0, 0))
    return head + struct.pack("<iI", 0, 0x409) + fields + data


def errors_in(tokens):
    """Returns the (number, text) of each ERROR in the tokens of an answer without rows."""
    found, at = [], 0
    while at < len(tokens):
        kind = tokens[at]
        if kind in (0xFD, 0xFE, 0xFF):
            at += 13
            continue
        if kind == 0x79:
            at += 5
            continue
        size = struct.unpack_from("<H", tokens, at + 1)[0]
        if kind == 0xAA:
            number, _, _, length = struct.unpack_from("<iBBH", tokens, at + 3)
            found.append((number, tokens[at + 11 : at + 11 + 2 * length].decode("utf-16-le")))
        at += 3 + size
    return found
