"""TDS for the rehearsal's sockets: an emulated engine's connection, and a client of the load tool.

From the published specification, by wickvane's own codec; what an engine does is the model's.
"""

import re

from wickvane.errors import ProtocolError
from wickvane.events import Ending
from wickvane.net.tds import encoding, errors, login7, packets, prelogin, sql_batch, token_encoding, tokens
from wickvane.rehearsal import connection, load

MESSAGE_MOST = 1 << 18
HEAD = re.compile(r"/\* id=(\w{1,32}),([^*]*) \*/ (.*)", re.S)
COLUMNS = token_encoding.encode_colmetadata(
    [("engine", encoding.nvarchar_info(64)), ("work", encoding.INT_INFO), ("id", encoding.nvarchar_info(32))]
)
BUSY, UNKNOWN = 10_928, 50_001
ANSWERS = {errors.DEFERRED: "deferred", errors.STOPPING: "deferred", errors.KILLED: "killed"}


class Connection(connection.Connection):
    """One to an engine: a login, then a batch at a time, given up by attention."""

    def __init__(self, serving, sock, process):
        super().__init__(serving, sock, process)
        self.assembler, self.logged_in = packets.MessageAssembler(MESSAGE_MOST), False

    def came(self, data):
        try:
            self.assembler.feed(data)
            while not self.closed and (found := self.assembler.next_message()) is not None:
                self.message(*found)
        except ProtocolError:
            self.close(reset=True)

    def message(self, kind, status, body):
        if kind == packets.PRELOGIN:
            prelogin.read_prelogin(body)
            encryption = bytes((prelogin.ENCRYPT_NOT_SUPPORTED,))
            self.tokens(
                prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: encryption})
            )
        elif kind == packets.LOGIN7:
            login7.read_login7(body)
            self.logged_in = True
            self.tokens(token_encoding.encode_loginack(program="rehearsal") + token_encoding.encode_done())
        elif kind == packets.ATTENTION and self.logged_in:
            for query in list(self.open.values()):
                self.serving.gives_up_here(query)
            self.open = {}
            self.tokens(token_encoding.encode_done(tokens.DONE_ATTN))
        elif kind == packets.SQL_BATCH and self.logged_in:
            found = HEAD.match(sql_batch.read_sql_batch(body))
            if found is None:
                return self.fault(None)
            words = b"ASK", found[1].encode(), found[2].encode()
            self.serving.asked(self, words, found[3].encode())
        else:
            self.close(reset=True)

    def tokens(self, data):
        self.send(packets.encode_packets(packets.TABULAR_RESULT, data))

    def fault(self, id):
        self.tokens(
            token_encoding.encode_message(tokens.ERROR, UNKNOWN, 1, 16, "no group of this script")
            + token_encoding.encode_done(tokens.DONE_ERROR)
        )

    def hears(self, query, submission, process, ending, work, resource_group):
        if self.open.pop(query.id, None) is None:
            return
        if ending == Ending.FINISHED:
            memory = self.serving.script.groups[resource_group].memory
            row = (
                bytes((tokens.ROW,))
                + encoding.encode_nvarchar(process.name)
                + encoding.encode_int(work // 10)
                + encoding.encode_nvarchar(query.id.decode())
            )
            report = token_encoding.encode_message(
                tokens.INFO, errors.LOAD_REPORT, 1, 0, f"work={work / 10:.1f} memory={memory:.0f}"
            )
            self.tokens(COLUMNS + row + report + token_encoding.encode_done(tokens.DONE_COUNT, 1))
        elif ending == Ending.REJECTED:
            self.tokens(
                token_encoding.encode_message(tokens.ERROR, BUSY, 1, 16, "the engine is full")
                + token_encoding.encode_done(tokens.DONE_ERROR)
            )
        else:
            self.close(reset=True)


class Client(load.Client):
    """By batches, without encryption."""

    def start(self):
        self.stream = packets.MessageAssembler(1 << 24, frozenset((packets.TABULAR_RESULT,)))
        self.exchange(
            packets.encode_packets(
                packets.PRELOGIN,
                prelogin.encode_prelogin(
                    {
                        prelogin.VERSION: bytes(6),
                        prelogin.ENCRYPTION: bytes((prelogin.ENCRYPT_NOT_SUPPORTED,)),
                        prelogin.INSTANCE: b"\0",
                        prelogin.THREAD_ID: bytes(4),
                        prelogin.MARS: b"\0",
                    }
                ),
            )
        )
        answer = self.exchange(
            packets.encode_packets(packets.LOGIN7, login7.encode_login7("load", "", "rehearsal", "bi"))
        )
        if not any(token == tokens.LOGINACK for token, _, _ in tokens.TokenStreamReader().feed(answer)):
            raise ValueError("the login was refused")

    def exchange(self, message):
        """The body of the next message."""
        self.sock.sendall(message)
        while (found := self.stream.next_message()) is None:
            data = self.sock.recv(65_536)
            if not data:
                raise ValueError("closed")
            self.stream.feed(data)
        return found[2]

    def answer_to(self, text):
        try:
            body = self.exchange(packets.encode_packets(packets.SQL_BATCH, sql_batch.encode_sql_batch(text)))
            for token, _, said in tokens.TokenStreamReader().feed(body):
                if token == tokens.ERROR:
                    return ANSWERS.get(said[0], f"error {said[0]}")
        except ProtocolError as error:
            raise ValueError(str(error)) from None
        return "finished"


def document(script, listen, clients):
    """The parts document of a dispatcher that takes TDS clients on `listen` before a script's engines, each
    client's group by the fields ahead of its statement."""
    kinds = [fleet.kind for fleet in script.fleet if fleet.speaks == "tds"]
    lines = len(kinds) < len(script.fleet)
    engines = "".join(f'    engines "{kind}" {{ user "wickvane"; takes-postgres #true }}\n' for kind in kinds)
    return (
        f'tds {{\n    listen "{listen}"\n    connections {clients}\n'
        f'    rule application="*" {{ group "{script.groups[0].name}"; tenant "{script.tenants[0][0]}"; '
        f'limit "10s" }}\n'
        f"{engines}    lines-take-tds #{'true' if lines else 'false'}\n}}\n"
    )
