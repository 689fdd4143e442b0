"""What the tests of TDS share: a dispatcher with a TDS listener, and clients."""

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
    """Entries of the list: lines and TDS engines by their class, names by their place."""
    return [
        entry(f"e{n}", engine.address) | {"type": "mssql" if isinstance(engine, TdsEngine) else "old"}
        for n, engine in enumerate(engines)
    ]


def tds_settings(**changes: dict) -> dict:
    """The bench's settings with an engine type for TDS; changes: by name, values to set in it."""
    made = copy.deepcopy(SETTINGS)
    made["host_types"] = ["old", "mssql"]
    made["family_info"] |= {"size_cores": [8, 8], "size_mb": [16384.0, 16384.0]}
    made["classes"][0]["late_worth"] = 0.2
    for name, value in changes.items():
        made[name] = made.get(name, {}) | value
    return made


class Dispatcher:
    """The whole program's threads with a TDS listener; `found` as the clients of bench_free want it."""

    def __init__(
        self,
        *engines,
        coordinator=None,
        body=RULE,
        engine_body='user "w"',
        more="",
        flows=None,
        known_=None,
        **changes,
    ):
        self.port = free_port()
        text = (
            f'tds {{ listen "127.0.0.1:{self.port}"\n{body}\n{more}\nengines "mssql" {{ {engine_body} }} }}'
        )
        self.parts = parts.read_text(text) | ({"flows": flows} if flows else {})
        self.found = found([], coordinator or Events())
        self.found["settings"] = tds_settings(**changes)
        entries = known_ if known_ is not None else engine_entries(engines)
        self.found["known"]["updates"] = [event(1, *entries, snapshot=True)]
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), self.parts)
        self.service.start()

    def connect(self, **how: object) -> pytds.Connection:
        usual = dict(
            port=self.port,
            user="u",
            password="p",
            database="bi",
            appname="Report",
            autocommit=True,
            timeout=15,
            login_timeout=15,
        )
        return pytds.connect("127.0.0.1", **usual | how)


def ask(connection: pytds.Connection, text: str, *values: object) -> list[tuple]:
    """The rows of a query."""
    with connection.cursor() as cursor:
        cursor.execute(text, values) if values else cursor.execute(text)
        return cursor.fetchall()


def error_number(call: Callable, *words: object) -> int:
    """The number of the error that a driver raises."""
    with pytest.raises(pytds.Error) as wrong:
        call(*words)
    return getattr(wrong.value, "number", None) or wrong.value.__cause__.number


class RawClient:
    """A TDS client by hand, behind its login."""

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

    def send(self, kind: int, body: bytes) -> None:
        self.sock.sendall(packets.encode_packets(kind, body))

    def batch(self, text: str) -> None:
        self.send(packets.SQL_BATCH, sql_batch.encode_sql_batch(text))

    def message(self) -> bytes | None:
        while (found := self.assembler.next_message()) is None:
            data = self.sock.recv(65_536)
            if not data:
                return None
            self.assembler.feed(data)
        return found.body

    def tokens(self) -> list[tuple]:
        return [(token, said) for token, _, said in tokens.TokenStreamReader().feed(self.message())]


def long_answer(query: Query, count: int = 3000, size: int = 400, end: bool = True) -> None:
    """Answers with `count` rows of some `size` octets; end: and a DONE."""
    framer = packets.PacketWriter(packets.TABULAR_RESULT)
    query.conn.send(framer.write(COLUMNS))
    one = b"".join(row(n, "x" * (size // 4)) for n in range(10))
    for _ in range(count // 10):
        if not query.conn.send_on(framer.write(one)):
            return
    if end:
        query.conn.send(framer.finish(token_encoding.encode_done(tokens.DONE_COUNT, count)))
