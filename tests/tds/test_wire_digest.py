"""Compares digests of the TDS codec's output for generated inputs with those recorded with commit c5b2902.

The digests include every encoded byte, every decoded value and the text of every error, so that a change of
the codec's structure that changes the protocol is detected.
"""

import struct
from collections.abc import Callable, Iterator
from hashlib import sha256
from random import Random

import pytest

from tds.generated_values import TYPE_INFOS, damaged, encoded_value, random_octets, random_text
from wickvane.errors import ProtocolError
from wickvane.net.tds import (
    conversion,
    encoding,
    login7,
    packets,
    prelogin,
    results,
    rpc,
    session_setup,
    sql_batch,
    token_encoding,
    tokens,
    transaction_manager,
    type_info,
    values,
)
from wickvane.net.tds.cursor import Cursor, IncompleteDataError

SEED = 39
VALUES_PER_TYPE = 60


def outcome(read: Callable[[], object]) -> str:
    """Returns the repr of what a reader returns, or the error's text."""
    try:
        return repr(read())
    except ProtocolError as error:
        return f"ProtocolError: {error}"
    except IncompleteDataError:
        return "incomplete"


def decoded_value(info_octets: bytes, data: bytes) -> tuple:
    info = type_info.read_type_info(Cursor(info_octets))
    cursor = Cursor(data)
    raw = values.read_value(cursor, info)
    value = conversion.to_python(info, raw)
    described = (info.type, info.size, info.precision, info.scale, info.collation, info.raw, info.is_plp)
    return (
        described,
        raw,
        cursor.position,
        value,
        conversion.to_text(value),
        conversion.to_literal(value, info),
    )


def skipped_value(info_octets: bytes, data: bytes) -> int:
    info = type_info.read_type_info(Cursor(info_octets))
    cursor = Cursor(data)
    values.skip_value(cursor, info)
    return cursor.position


def token_content(content: object) -> object:
    """Converts a token's content to plain tuples."""
    if isinstance(content, list):
        return [(column.name, column.info.raw, column.flags) for column in content]
    if isinstance(content, tuple):
        return tuple(part.raw if hasattr(part, "raw") else part for part in content)
    return content


def decoded_tokens(data: bytes, split_point: int) -> list:
    """Decodes a stream fed in two pieces; an error's text and is_mid_token() are the last items."""
    reader = tokens.TokenStreamReader()
    decoded: list = []
    columns = None
    try:
        for piece in (data[:split_point], data[split_point:]):
            for token, raw, content in reader.feed(piece):
                decoded.append((token, raw, token_content(content)))
                if token == tokens.COLMETADATA and content is not None:
                    columns = content
                if token in (tokens.ROW, tokens.NBCROW):
                    for column, value in zip(columns, tokens.row_values(raw, columns)):
                        decoded.append(outcome(lambda c=column, v=value: conversion.to_python(c.info, v)))
    except ProtocolError as error:
        decoded.append(str(error))
    decoded.append(reader.is_mid_token())
    return decoded


def rows_for_postgres(data: bytes) -> bytes:
    rows = results.PostgresRows()
    return rows.encode(list(tokens.TokenStreamReader().feed(data))) + rows.end(b"SELECT")


def token_stream(rng: Random) -> bytes:
    """Encodes a result with NULLs, server messages, ENVCHANGE tokens and each other type of token."""
    infos = rng.sample(TYPE_INFOS, rng.randrange(1, 12))
    parts = [
        token_encoding.encode_colmetadata(
            [(random_text(rng), info) for info in infos if info[0] not in (0x22, 0x23, 0x63)]
        )
    ]
    infos = [info for info in infos if info[0] not in (0x22, 0x23, 0x63)]
    for _ in range(rng.randrange(6)):
        parts.append(b"\xd1" + b"".join(encoded_value(rng, info) for info in infos))
        nulls = [rng.random() < 0.5 for _ in infos]
        bitmap = bytearray((len(infos) + 7) // 8)
        for index, null in enumerate(nulls):
            bitmap[index >> 3] |= null << (index & 7)
        parts.append(b"\xd2" + bytes(bitmap))
        parts.extend(encoded_value(rng, info) for info, null in zip(infos, nulls) if not null)
    code = rng.choice((0xAA, 0xAB))
    parts.append(token_encoding.encode_message(code, rng.randrange(-9, 99_999), 1, 16, random_text(rng)))
    parts.append(token_encoding.encode_envchange(rng.choice((1, 2, 4)), random_text(rng), random_text(rng)))
    parts.append(token_encoding.encode_envchange(8, b"\x08" + random_octets(rng, 8), b"\0"))
    parts.append(token_encoding.encode_loginack())
    parts.append(token_encoding.encode_return_status(rng.randrange(-9, 9)))
    parts.append(
        token_encoding.encode_return_value(
            1, "@p", encoding.INT_INFO, encoding.encode_int(rng.choice((None, 7)))
        )
    )
    parts.append(b"\xae\x01\x02\0\0\0ab\xff" + b"\xe4\x03\0\0\0abc" + b"\xa9\x02\0\x01\0" + b"\x78abcd")
    for code in (0xFF, 0xFE, 0xFD):
        status = rng.choice((0, 1, 0x10, 0x11, 0x20, 2))
        parts.append(token_encoding.encode_done(status, rng.randrange(99), code, rng.randrange(999)))
    if rng.random() < 0.3:
        rng.shuffle(parts)
    return b"".join(parts)


def type_cases(rng: Random) -> Iterator[str]:
    for info in TYPE_INFOS:
        for _ in range(VALUES_PER_TYPE):
            data = encoded_value(rng, info)
            truncated = data[: rng.randrange(len(data) + 1)]
            bad_info = damaged(rng, info)
            for used_info, used in ((info, data), (info, truncated), (bad_info, data)):
                yield outcome(lambda i=used_info, d=used: decoded_value(i, d))
                yield outcome(lambda i=used_info, d=used: skipped_value(i, d))
    for _ in range(200):
        text = random_text(rng)
        number = rng.randrange(-(2**31), 2**31)
        yield repr(
            (
                encoding.encode_nvarchar(text),
                encoding.encode_nvarchar_max(text),
                encoding.nvarchar_info(len(text)),
                encoding.encode_int(number),
            )
        )
    yield repr(
        (
            encoding.encode_nvarchar(None),
            encoding.encode_nvarchar_max(None),
            encoding.encode_int(None),
            encoding.NVARCHAR_MAX_INFO,
        )
    )


def token_cases(rng: Random) -> Iterator[str]:
    for _ in range(300):
        data = token_stream(rng)
        for used in (data, damaged(rng, data), random_octets(rng, rng.randrange(40))):
            yield repr(decoded_tokens(used, rng.randrange(len(used) + 1)))
            yield outcome(lambda d=used: rows_for_postgres(d))


def login_cases(rng: Random) -> Iterator[str]:
    def read_login(body: bytes) -> list:
        login = login7.read_login7(body)
        names = ("host", "user", "password", "application", "server", "extension", "library", "language")
        other_names = ("database", "version", "packet_size", "integrated", "features")
        return [getattr(login, name) for name in names + other_names]

    for _ in range(300):
        words = [random_text(rng) for _ in range(6)]
        size = rng.choice((0, 100, 512, 4096, 32_767, 99_999))
        body = login7.encode_login7(words[0], words[1], words[2], words[3], size, words[4], words[5])
        options = {n: random_octets(rng, rng.randrange(7)) for n in rng.sample(range(8), rng.randrange(8))}
        encoded_prelogin = prelogin.encode_prelogin(options)
        yield repr((body, encoded_prelogin))
        for used in (body, damaged(rng, body)):
            yield outcome(lambda d=used: read_login(d))
        for used in (encoded_prelogin, damaged(rng, encoded_prelogin)):
            yield outcome(lambda d=used: prelogin.read_prelogin(d))
            yield outcome(lambda d=used: prelogin.read_encryption(prelogin.read_prelogin(d)))


def encoded_parameters(rng: Random, number: int) -> bytes:
    """Encodes parameters of a procedure call, usually those that its ProcID requires."""
    encoded = b""
    parameters = [
        (encoding.INT_INFO, encoding.encode_int(rng.choice((None, 1, 2)))),
        (encoding.nvarchar_info(), encoding.encode_nvarchar("@a int, @b nvarchar(9)")),
        (encoding.nvarchar_info(), encoding.encode_nvarchar(f"SELECT @a, '@a', @b {random_text(rng)}")),
    ]
    if number == 10 or rng.random() < 0.2:
        parameters = parameters[:0:-1]
    elif number in (12, 15):
        parameters = parameters[:1]
    for _ in range(rng.randrange(4)):
        info = rng.choice(TYPE_INFOS)
        parameters.append((info, encoded_value(rng, info)))
    for info, value in parameters:
        name = rng.choice(("", "", "@a", "@b"))
        flags = rng.choice((0, 0, 0, 0, 1, 2))
        encoded += token_encoding.encode_b_varchar(name) + bytes((flags,)) + info + value
    return encoded


def request_cases(rng: Random) -> Iterator[str]:
    prepared = rpc.PreparedStatements()

    def call(body: bytes) -> tuple:
        return tuple(rpc.statement_to_run(rpc.read_rpc_request(body), prepared))

    def transaction_request(body: bytes) -> tuple:
        request = transaction_manager.read_transaction_request(body)
        return int(request.type), request.begins_another

    for _ in range(600):
        number = rng.choice((10, 11, 12, 13, 15, 2, 0))
        name = rng.choice(("sp_executesql", "dbo.report", "sp_prepare"))
        procedure = (
            struct.pack("<HH", 0xFFFF, number)
            if number
            else struct.pack("<H", len(name)) + name.encode("utf-16-le")
        )
        body = struct.pack("<I", 4) + procedure + b"\0\0"
        body += encoded_parameters(rng, number)
        for used in (body, damaged(rng, body)):
            yield outcome(lambda d=used: call(d))
        text = random_text(rng)
        batch = sql_batch.encode_sql_batch(text, random_octets(rng, 8))
        transaction = struct.pack("<IH", 4, rng.randrange(4, 11)) + random_octets(rng, 3)
        yield repr(batch)
        for used in (batch, damaged(rng, batch)):
            yield outcome(lambda d=used: sql_batch.read_sql_batch(d))
        yield outcome(lambda d=transaction: transaction_request(d))
    for text in (
        "",
        "SET NOCOUNT ON",
        "USE [a]]b]",
        "USE x",
        "SELECT @@version, @@spid as y",
        "BEGIN TRAN",
        "SELECT 1",
    ):
        found = session_setup.answer_setup_statement(text, "master")
        yield repr(found and (found.tokens, found.database, found.transaction, found.rows))


def packet_cases(rng: Random) -> Iterator[str]:
    def messages(data: bytes) -> list:
        assembler = packets.MessageAssembler(1400)
        decoded = []
        assembler.feed(data)
        while (message := assembler.next_message()) is not None:
            decoded.append(tuple(message))
        return [decoded, assembler.is_mid_message()]

    message_types = (packets.SQL_BATCH, packets.RPC, packets.ATTENTION, packets.LOGIN7)
    for _ in range(400):
        data = b""
        for _ in range(rng.randrange(4)):
            body = random_octets(rng, rng.randrange(1500))
            size = rng.randrange(512, 1000)
            data += packets.encode_packets(
                rng.choice(message_types), body, size, rng.randrange(99), rng.choice((0, 8))
            )
            writer = packets.PacketWriter(packets.SQL_BATCH, size, 51)
            data += writer.write(body) + writer.finish(body[:9])
        yield repr(data)
        for used in (data, damaged(rng, data)):
            yield outcome(lambda d=used: messages(d))


def page_cases(rng: Random) -> Iterator[str]:
    for _ in range(100):
        cells = [random_text(rng).replace("\t", "") for _ in range(3 * rng.randrange(5))]
        if rng.random() < 0.2:
            cells = [cell * 900 for cell in cells]
        lines = ["\t".join(cells[at : at + 3]) + "\n" for at in range(0, len(cells), 3)]
        yield repr(results.encode_pages(["".join(lines).encode()]))


CASES = {
    "types": (type_cases, "1053c7885bff2d6eedcdbb7a4be07f401e311811df012321bfa724e326896387"),
    "tokens": (token_cases, "27c85f61be7dc23428fcd8d3dee50e52a7c3e58c17591576e0deeebe56d5bc87"),
    "logins": (login_cases, "03138cb45a375d90e0358f9b24bfce913cd22a20db0ddd3783ca6161c68043e7"),
    "requests": (request_cases, "a9d00e6ea150a1f1b70bef8a79b5fc746c29fe1feadb65affc568e8d689d0234"),
    "packets": (packet_cases, "e494141c0df2507786f7e17dad5ed7a56c3072d004f3afe49cebacb91ac8ffad"),
    "pages": (page_cases, "4f793944ab49f660e58c7fd935ee8ebe9b8d832ca71741ae1ca7be02bc4c881d"),
}


@pytest.mark.parametrize("name", CASES)
def test_the_codec_s_output_matches_the_digests_of_commit_c5b2902(name: str) -> None:
    cases, expected = CASES[name]
    digest = sha256()
    for case in cases(Random(SEED)):
        digest.update(case.encode("utf-8", "backslashreplace") + b"\n")
    assert digest.hexdigest() == expected
