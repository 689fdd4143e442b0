"""A coverage-guided fuzzer over the codecs; no part of CI.

    pip install atheris==3.0.0
    python tests/fuzz_codecs.py [-max_total_time=60] [CORPUS]

Anything but a ProtocolError is a finding, and so is a buffer past its bound. What it starts from is
made here; a finding is written by the fuzzer as a file, and goes as a case into the tests.
"""

import os
import sys
import tempfile

import atheris

from wickvane.errors import ProtocolError

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

with atheris.instrument_imports(include=["wickvane"]):
    from wickvane.flows import ipfix, netflow9
    from wickvane.net.tds import (
        login7,
        packets,
        prelogin,
        results,
        rpc,
        sql_batch,
        token_encoding,
        tokens,
        transaction_manager,
    )


def messages(data):
    assembler = packets.MessageAssembler(1 << 16)
    assembler.feed(data)
    while assembler.next_message() is not None:
        pass
    assert len(assembler.buffer) <= len(data)


def token_stream(data):
    reader, columns, rows = tokens.TokenStreamReader(), None, results.PostgresRows()
    for token, raw, said in reader.feed(data):
        if token == tokens.COLMETADATA and said is not None:
            columns = said
            rows.encode([tokens.Token(token, raw, said)])
            rows.columns = columns
        elif token in (tokens.ROW, tokens.NBCROW):
            rows.encode([tokens.Token(token, raw, None)])


READERS = (
    messages,
    token_stream,
    login7.read_login7,
    prelogin.read_prelogin,
    sql_batch.read_sql_batch,
    transaction_manager.read_transaction_request,
    lambda data: rpc.statement_to_run(rpc.read_rpc_request(data), rpc.PreparedStatements()),
    lambda data: list(ipfix.Reader(32_473).feed(data)),
    lambda data: list(netflow9.NetFlow9Reader().message(data)),
)


def one(data):
    if not data:
        return
    try:
        READERS[data[0] % len(READERS)](data[1:])
    except ProtocolError:
        pass


def seeds(folder):
    """A few valid inputs of each reader."""
    columns = token_encoding.encode_colmetadata(
        [("n", b"\x26\x04"), ("s", b"\xe7\x10\x00\x09\x04\xd0\x00\x34")]
    )
    stream = columns + b"\xd1\x04\1\0\0\0\x02\x00a\x00" + token_encoding.encode_done(tokens.DONE_COUNT, 1)
    generation = ipfix.Generation(32_473)
    made = {
        0: packets.encode_packets(packets.SQL_BATCH, b"abc", 512),
        1: stream,
        2: login7.encode_login7("u", "p"),
        3: prelogin.encode_prelogin({0: bytes(6), 1: b"\2"}),
        4: sql_batch.encode_sql_batch("SELECT 1"),
        5: b"\x04\0\0\0\x05\0\0\0",
        6: b"\x04\0\0\0\xff\xff\x0a\0\0\0\0\0\xe7\x10\0\x09\x04\xd0\0\x34\2\0a\0",
        7: ipfix.message(1, 0, 0, generation.sets),
        8: netflow9.packet(4, 0, 0, 0, 1, netflow9.Layout(16).sets),
    }
    for number, data in made.items():
        with open(os.path.join(folder, f"seed-{number}"), "wb") as file:
            file.write(bytes((number,)) + data)


if __name__ == "__main__":
    words = sys.argv[:]
    if not any(not word.startswith("-") for word in words[1:]):
        words.append(tempfile.mkdtemp())
    seeds(words[-1])
    atheris.Setup(words, one)
    atheris.Fuzz()
