"""Tests of the TDS codec: packets, logins, RPC calls, types and tokens, split anywhere; arbitrary bytes."""

import struct
from datetime import date, datetime, time
from decimal import Decimal
from random import Random
from uuid import UUID

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from spoilt import inputs

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


def messages(data, split_points=(), max_size=1 << 16):
    assembler, received, position = (
        packets.MessageAssembler(max_size, packets.CLIENT_TYPES | {packets.TABULAR_RESULT}),
        [],
        0,
    )
    for split_point in [*sorted(split_points), len(data)]:
        assembler.feed(data[position:split_point])
        position = split_point
        while (message := assembler.next_message()) is not None:
            received.append(message)
    return received


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from((packets.SQL_BATCH, packets.RPC)), st.binary(max_size=999)), max_size=3
    ),
    st.integers(512, 2000),
    st.integers(0, 1 << 32),
)
def test_messages_are_reassembled_from_packets_split_anywhere(sent, size, seed):
    data = b"".join(packets.encode_packets(message_type, body, size) for message_type, body in sent)
    rng = Random(seed)
    split_points = [rng.randrange(len(data) + 1) for _ in range(6)] if data else []
    assert [(message_type, body) for message_type, _, body in messages(data, split_points)] == sent


def test_a_packet_writer_encodes_the_same_message_from_pieces_of_any_size():
    body = bytes(range(256)) * 40
    for step in (1, 100, 5000, 20_000):
        writer = packets.PacketWriter(packets.TABULAR_RESULT, 512)
        data = (
            b"".join(writer.write(body[at : at + step]) for at in range(0, len(body), step)) + writer.finish()
        )
        assert [found[2] for found in messages(data)] == [body]


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"\x63\x01\x00\x08\0\0\0\0", "type"),
        (b"\x01\x01\x00\x07\0\0\0\0", "length"),
        (b"\x01\x01\xff\xff\0\0\0\0", "length"),
        (
            packets.HEADER.pack(1, 0, 9, 0, 1, 0) + b"x" + packets.HEADER.pack(3, 1, 9, 0, 1, 0) + b"x",
            "another type",
        ),
        (packets.HEADER.pack(1, 0, 8, 0, 1, 0) * 5000, "too long"),
        (packets.encode_packets(1, bytes(70_000)), "too long"),
    ],
)
def test_invalid_packets_are_rejected(data, reason):
    with pytest.raises(ProtocolError, match=reason):
        messages(data)


def test_an_attention_discards_an_incomplete_message():
    start = packets.HEADER.pack(1, 0, 12, 0, 1, 0) + b"half"
    assert messages(start + packets.encode_packets(packets.ATTENTION, b"")) == [(packets.ATTENTION, 1, b"")]


def test_an_encoded_login_is_decoded_with_the_ids_of_its_features():
    body = bytearray(login7.encode_login7("ann", "pä'ss", "Report Tool", "bi"))
    login = login7.read_login7(bytes(body))
    assert (login.user, login.password) == ("ann", "pä'ss")
    assert (login.application, login.database) == ("Report Tool", "bi")
    at = len(body)
    body += struct.pack("<I", at + 4) + b"\x0a" + struct.pack("<I", 1) + b"\x01\x04" + bytes(4) + b"\xff"
    body[27] |= login7.EXTENSION_FLAG
    struct.pack_into("<HH", body, login7.FIELDS_OFFSET + 4 * 5, at, 4)
    struct.pack_into("<I", body, 0, len(body))
    assert login7.read_login7(bytes(body)).features == [0x0A, 4]


RAW = {
    "int": (b"\x26\x04", b"\x04\xff\xff\xff\xff", -1),
    "tiny": (b"\x26\x01", b"\x01\xff", 255),
    "big": (b"\x26\x08", b"\x08" + struct.pack("<q", -5), -5),
    "bit": (b"\x68\x01", b"\x01\x01", True),
    "float": (b"\x6d\x08", b"\x08" + struct.pack("<d", 1.5), 1.5),
    "decimal": (b"\x6a\x05\x09\x02", b"\x05\x00\x39\x30\0\0", Decimal("-123.45")),
    "money": (b"\x6e\x08", b"\x08" + struct.pack("<iI", -1, 0xFFFFFFFF - 9999), Decimal("-1")),
    "smallmoney": (b"\x6e\x04", b"\x04" + struct.pack("<i", 15_000), Decimal("1.5")),
    "datetime": (b"\x6f\x08", b"\x08" + struct.pack("<iI", 1, 300), datetime(1900, 1, 2, 0, 0, 1)),
    "smalldatetime": (b"\x6f\x04", b"\x04" + struct.pack("<HH", 2, 61), datetime(1900, 1, 3, 1, 1)),
    "date": (b"\x28", b"\x03\x00\x00\x00", date(1, 1, 1)),
    "time": (b"\x29\x00", b"\x03" + (3661).to_bytes(3, "little"), time(1, 1, 1)),
    "datetime2": (
        b"\x2a\x03",
        b"\x07" + (1500).to_bytes(4, "little") + b"\x01\0\0",
        datetime(1, 1, 2, 0, 0, 1, 500_000),
    ),
    "offset": (
        b"\x2b\x00",
        b"\x08" + (3600).to_bytes(3, "little") + b"\x01\0\0" + struct.pack("<h", 90),
        "0001-01-02 02:30:00 +01:30",
    ),
    "guid": (b"\x24\x10", b"\x10" + bytes(range(16)), UUID(bytes_le=bytes(range(16)))),
    "nvarchar": (encoding.nvarchar_info(10), encoding.encode_nvarchar("añ'"), "añ'"),
    "max": (encoding.NVARCHAR_MAX_INFO, encoding.encode_nvarchar_max("x" * 50), "x" * 50),
    "varchar": (b"\xa7\x0a\x00" + type_info.COLLATION, b"\x02\x00\xe9x", "éx"),
    "utf8": (b"\xa7\x0a\x00\x09\x04\xd0\x04\x34", b"\x02\x00\xc3\xa9", "é"),
    "varbinary": (b"\xa5\x0a\x00", b"\x02\x00\x01\x02", b"\x01\x02"),
    "text": (b"\x23\xff\xff\xff\x7f" + type_info.COLLATION, b"\x10" + bytes(24) + b"\x02\0\0\0ab", "ab"),
    "null": (b"\x26\x04", b"\x00", None),
    "nullmax": (encoding.NVARCHAR_MAX_INFO, encoding.encode_nvarchar_max(None), None),
}


@pytest.mark.parametrize("name", RAW)
def test_reading_and_skipping_a_value_consume_the_same_octets(name):
    raw_info, raw, value = RAW[name]
    info = type_info.read_type_info(Cursor(raw_info))
    assert info.raw == raw_info
    cursor = Cursor(raw)
    assert conversion.to_python(info, values.read_value(cursor, info)) == value and cursor.position == len(
        raw
    )
    cursor = Cursor(raw)
    values.skip_value(cursor, info)
    assert cursor.position == len(raw)
    for split_point in range(len(raw)):
        with pytest.raises(IncompleteDataError):
            values.read_value(Cursor(raw[:split_point]), info)


def encoded_stream():
    named = [(name, raw_info) for name, (raw_info, _, _) in RAW.items() if name != "text"]
    body = (
        token_encoding.encode_colmetadata(named)
        + token_encoding.encode_message(tokens.INFO, 5701, 2, 0, "é")
        + token_encoding.encode_envchange(tokens.ENV_DATABASE, "a", "b")
    )
    row = bytes((tokens.ROW,)) + b"".join(RAW[name][1] for name, _ in named)
    null_bitmap = bytearray((len(named) + 7) // 8)
    null_bitmap[0] |= 3
    nbcrow = bytes((tokens.NBCROW,)) + bytes(null_bitmap) + b"".join(RAW[name][1] for name, _ in named[2:])
    value = token_encoding.encode_return_value(0, "@x", encoding.INT_INFO, encoding.encode_int(7))
    body += (
        row * 3
        + nbcrow
        + token_encoding.encode_return_status(4)
        + value
        + token_encoding.encode_message(tokens.ERROR, 50000, 1, 16, "no")
    )
    return body + token_encoding.encode_done(tokens.DONE_COUNT, 4), named


def test_a_token_stream_split_at_any_octet_yields_the_same_tokens():
    data, named = encoded_stream()
    expected = [(token, raw) for token, raw, _ in tokens.TokenStreamReader().feed(data)]
    assert b"".join(raw for _, raw in expected) == data and expected[-1][0] == tokens.DONE
    for split_point in range(len(data) + 1):
        reader = tokens.TokenStreamReader()
        assert [
            (a, b) for piece in (data[:split_point], data[split_point:]) for a, b, _ in reader.feed(piece)
        ] == expected
    columns = next(
        content for token, _, content in tokens.TokenStreamReader().feed(data) if token == tokens.COLMETADATA
    )
    row = next(raw for token, raw, _ in tokens.TokenStreamReader().feed(data) if token == tokens.ROW)
    read = [
        conversion.to_python(column.info, raw)
        for column, raw in zip(columns, tokens.row_values(row, columns))
    ]
    assert read == [RAW[name][2] for name, _ in named]
    nbcrow = next(raw for token, raw, _ in tokens.TokenStreamReader().feed(data) if token == tokens.NBCROW)
    assert tokens.row_values(nbcrow, columns)[:2] == [None, None]


def call(number, *parameters):
    body = struct.pack("<I", 4) + struct.pack("<HHH", 0xFFFF, number, 0)
    for name, info, value in parameters:
        body += token_encoding.encode_b_varchar(name) + b"\0" + info + value
    return rpc.read_rpc_request(body)


def text(value):
    return encoding.nvarchar_info(), encoding.encode_nvarchar(value)


UNCHANGED_TEXT = "SELECT '@a', [@a], \"@a\" /* @a */ -- @a\n FROM s_1.t WHERE "


def test_a_call_with_parameters_becomes_one_statement_and_only_parameters_are_replaced():
    request = call(
        rpc.ProcedureId.EXECUTESQL,
        ("", *text(UNCHANGED_TEXT + "x=@a AND y=@B AND z=@ab AND @@rowcount=@c")),
        ("", *text("@a nvarchar(10), @b int, @ab datetime, @c decimal(9,2)")),
        ("@a", *text("it's")),
        ("@b", encoding.INT_INFO, encoding.encode_int(-4)),
        ("", b"\x6f\x08", RAW["datetime"][1]),
        ("", RAW["decimal"][0], RAW["decimal"][1]),
    )
    statement, answer_tokens = rpc.statement_to_run(request, rpc.PreparedStatements())
    assert statement == (
        UNCHANGED_TEXT + "x=N'it''s' AND y=-4 AND z='1900-01-02T00:00:01.000' AND @@rowcount=-123.45"
    )
    assert answer_tokens == b""


def test_prepared_statements_are_stored_up_to_a_maximum():
    prepared = rpc.PreparedStatements()
    request = call(
        rpc.ProcedureId.PREPEXEC,
        ("", encoding.INT_INFO, encoding.encode_int(None)),
        ("", *text("@p int")),
        ("", *text("SELECT @p")),
        ("@p", encoding.INT_INFO, encoding.encode_int(3)),
    )
    statement, answer_tokens = rpc.statement_to_run(request, prepared)
    assert statement == "SELECT 3" and answer_tokens[0] == tokens.RETURNVALUE
    execute_request = call(
        rpc.ProcedureId.EXECUTE,
        ("", encoding.INT_INFO, encoding.encode_int(1)),
        ("", encoding.INT_INFO, encoding.encode_int(9)),
    )
    assert rpc.statement_to_run(execute_request, prepared)[0] == "SELECT 9"
    for _ in range(rpc.MAX_PREPARED_STATEMENTS):
        prepared.add("x", "")
    assert len(prepared.by_handle) == rpc.MAX_PREPARED_STATEMENTS
    with pytest.raises(ProtocolError, match="handle"):
        rpc.statement_to_run(execute_request, prepared)


@pytest.mark.parametrize(
    "statement, answered",
    [
        ("SET ANSI_NULLS ON", True),
        ("set textsize 100; SET NOCOUNT ON;", True),
        ("USE [bi]", True),
        ("", True),
        ("SELECT @@VERSION", True),
        ("select @@spid as x, @@trancount", True),
        ("BEGIN TRAN", True),
        ("IF @@TRANCOUNT > 0 COMMIT TRAN", True),
        ("SELECT @@unknown", False),
        ("SELECT 1", False),
        ("SET @x = 1", False),
        ("SET IDENTITY_INSERT t ON", False),
        ("USE bi; DROP TABLE x", False),
        ("SET NOCOUNT ON SELECT * FROM sales_1.t", False),
        ("SELECT @@version, * FROM sales_1.t", False),
    ],
)
def test_only_setup_statements_that_access_no_data_are_answered_by_the_dispatcher(statement, answered):
    assert (session_setup.answer_setup_statement(statement, "master") is not None) == answered


def test_result_pages_are_encoded_as_nvarchar_or_nvarchar_max():
    for cell in ("x", "é" * 10, "y" * 5000):
        data, count = results.encode_pages([f"a\tb\t{cell}\n".encode(), b"1\t\t2\n"])
        read = list(tokens.TokenStreamReader().feed(data))
        columns = read[0].content
        rows = [
            [conversion.to_python(c.info, v) for c, v in zip(columns, tokens.row_values(raw, columns))]
            for token, raw, _ in read
            if token == tokens.ROW
        ]
        assert rows == [["a", "b", cell], ["1", "", "2"]] and count == 2
    with pytest.raises(ValueError):
        results.encode_pages([b"a\tb\n"])


SEEDS = [
    encoded_stream()[0],
    login7.encode_login7("u", "p"),
    prelogin.encode_prelogin({0: bytes(6), 1: b"\2"}),
    sql_batch.encode_sql_batch("SELECT 1"),
    packets.encode_packets(1, b"abc" * 100, 512),
]


@settings(max_examples=400, deadline=None)
@given(inputs(SEEDS, 400, 3000))
def test_arbitrary_bytes_raise_no_error_except_protocol_error(data):

    def rows(data):
        reader, columns = tokens.TokenStreamReader(), None
        for token, raw, content in reader.feed(data):
            columns = content if token == tokens.COLMETADATA and content is not None else columns
            if token in (tokens.ROW, tokens.NBCROW):
                described = tokens.Token(tokens.COLMETADATA, b"", columns)
                results.PostgresRows().encode([described, tokens.Token(token, raw, None)])
        assert len(reader.buffer) <= tokens.MAX_TOKEN_SIZE + len(data)

    for read in (
        messages,
        rows,
        login7.read_login7,
        prelogin.read_prelogin,
        sql_batch.read_sql_batch,
        lambda d: rpc.statement_to_run(rpc.read_rpc_request(d), rpc.PreparedStatements()),
        transaction_manager.read_transaction_request,
    ):
        try:
            read(data)
        except ProtocolError:
            pass
