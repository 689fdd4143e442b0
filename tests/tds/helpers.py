"""Helpers for the TDS tests: a dispatcher with a TDS listener, and clients."""

import copy
import socket
import tempfile
from collections.abc import Callable, Sequence

import pytds
import pytest
from bench_free import SETTINGS, STANDING, Engine, Events, entry, event, found, free_port
from standins.tds_engine import COLUMNS, Query, TdsEngine, row

from wickvane import parts
from wickvane.net.service import Service
from wickvane.net.tds import login7, packets, prelogin, sql_batch, token_encoding, tokens

RULE = 'rule application="*" { group "lookup"; tenant "acme"; limit "5s" }'


def engine_entries(engines: Sequence[TdsEngine | Engine]) -> list[dict]:
    """Returns endpoint list entries with names by position and engine types by class."""
    return [
        entry(f"e{n}", engine.address) | {"type": "mssql" if isinstance(engine, TdsEngine) else "old"}
        for n, engine in enumerate(engines)
    ]


def tds_settings(**changes: dict) -> dict:
    """Returns the test settings with a TDS engine type; changes: by section name, values to set in it."""
    settings = copy.deepcopy(SETTINGS)
    settings["host_types"] = ["old", "mssql"]
    settings["family_info"] |= {"size_cores": [8, 8], "size_mb": [16384.0, 16384.0]}
    settings["classes"][0]["late_worth"] = 0.2
    for section, value in changes.items():
        settings[section] = settings.get(section, {}) | value
    return settings


class Dispatcher:
    """A dispatcher that runs in this process and has a TDS listener.

    found: the configuration, under the name that the clients of bench_free read."""

    def __init__(
        self,
        *engines,
        coordinator=None,
        rules=RULE,
        engine_nodes='user "w"',
        extra_nodes="",
        flows=None,
        known_engines=None,
        **changes,
    ):
        self.port = free_port()
        document = (
            f'tds {{ listen "127.0.0.1:{self.port}"\n{rules}\n{extra_nodes}\n'
            f'engines "mssql" {{ {engine_nodes} }} }}'
        )
        self.parts = parts.read_text(document) | ({"flows": flows} if flows else {})
        self.found = found([], coordinator or Events())
        self.found["settings"] = tds_settings(**changes)
        entries = known_engines if known_engines is not None else engine_entries(engines)
        self.found["known"]["updates"] = [event(1, *entries, snapshot=True)]
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), self.parts)
        self.service.start()

    def connect(self, **options: object) -> pytds.Connection:
        """Connects a driver; options: by name, in place of the defaults."""
        defaults = dict(
            port=self.port,
            user="u",
            password="p",
            database="bi",
            appname="Report",
            autocommit=True,
            timeout=15,
            login_timeout=15,
        )
        return pytds.connect("127.0.0.1", **defaults | options)


def ask(connection: pytds.Connection, text: str, *values: object) -> list[tuple]:
    """Runs a query; returns its rows."""
    with connection.cursor() as cursor:
        cursor.execute(text, values) if values else cursor.execute(text)
        return cursor.fetchall()


def error_number(call: Callable, *arguments: object) -> int:
    """Returns the number of the error that a driver raises in a call."""
    with pytest.raises(pytds.Error) as raised:
        call(*arguments)
    return getattr(raised.value, "number", None) or raised.value.__cause__.number


class RawClient:
    """A TDS client that encodes its own messages.

    login: whether to log in; size: the packet size to request."""

    def __init__(self, port: int, login: bool = True, size: int = 4096) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.assembler = packets.MessageAssembler(
            1 << 30, frozenset((packets.TABULAR_RESULT, packets.PRELOGIN))
        )
        if login:
            self.send(
                packets.PRELOGIN,
                prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\2"}),
            )
            self.message()
            self.send(packets.LOGIN7, login7.encode_login7("u", "p", "Report", "bi", size))
            self.tokens()

    def send(self, message_type: int, body: bytes) -> None:
        self.sock.sendall(packets.encode_packets(message_type, body))

    def batch(self, text: str) -> None:
        self.send(packets.SQL_BATCH, sql_batch.encode_sql_batch(text))

    def message(self) -> bytes | None:
        """Receives a message; returns its body, or None if the connection is closed."""
        while (message := self.assembler.next_message()) is None:
            data = self.sock.recv(65_536)
            if not data:
                return None
            self.assembler.feed(data)
        return message.body

    def tokens(self) -> list[tuple]:
        """Receives a message; returns the types and contents of its tokens."""
        return [(token, content) for token, _, content in tokens.TokenStreamReader().feed(self.message())]


def long_answer(query: Query, count: int = 3000, size: int = 400, end: bool = True) -> None:
    """Answers with `count` rows of about `size` octets each; end: whether a final DONE follows."""
    writer = packets.PacketWriter(packets.TABULAR_RESULT)
    query.conn.send(writer.write(COLUMNS))
    rows = b"".join(row(n, "x" * (size // 4)) for n in range(10))
    for _ in range(count // 10):
        if not query.conn.send_on(writer.write(rows)):
            return
    if end:
        query.conn.send(writer.finish(token_encoding.encode_done(tokens.DONE_COUNT, count)))
