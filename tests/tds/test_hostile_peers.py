"""Tests of clients and engines that violate the protocol, and of login storms."""

import socket
import struct

import pytest
from bench_free import reset, until
from standins.tds_engine import TdsEngine, result

from tds.helpers import Dispatcher, ask
from wickvane.net.tds import login7, packets, prelogin, tokens


def test_hostile_clients_lose_only_their_own_connections(monkeypatch):
    monkeypatch.setattr("wickvane.net.client_session.FIRST_QUERY_TIMEOUT_S", 0.3)
    dispatcher = Dispatcher(TdsEngine(), extra_nodes="connections 40")
    good = dispatcher.connect()
    prelogin_packets = packets.encode_packets(
        packets.PRELOGIN, prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\2"})
    )
    logged_in = prelogin_packets + packets.encode_packets(packets.LOGIN7, login7.encode_login7("u", "p"))
    sent = [
        prelogin_packets[:11],
        b"GET / HTTP/1.1\r\n\r\n",
        bytes(64),
        packets.HEADER.pack(18, 1, 0xFFFF, 0, 1, 0) + bytes(9000),
        packets.encode_packets(packets.PRELOGIN, b"\x00\xff\xff\xff\xff"),
        packets.encode_packets(packets.SQL_BATCH, bytes(50)),
        prelogin_packets + packets.encode_packets(packets.LOGIN7, bytes(200)),
        prelogin_packets + packets.encode_packets(packets.LOGIN7, b"\xff" * 94),
        logged_in + packets.encode_packets(packets.SQL_BATCH, b"\xff" * 30),
        logged_in + packets.encode_packets(packets.BULK_LOAD, b"abc"),
        logged_in + packets.encode_packets(packets.SQL_BATCH, b"\4\0\0\0abc"),
        logged_in + packets.encode_packets(packets.RPC, b"\4\0\0\0abc"),
        prelogin_packets + packets.HEADER.pack(18, 0, 8, 0, 1, 0) * 9000,
    ]
    for data in sent:
        client, response = socket.create_connection(("127.0.0.1", dispatcher.port), timeout=1.5), b""
        try:
            client.sendall(data)
            while more := client.recv(65_536):
                response += more
        except TimeoutError:
            assert data in sent[-1:] or b"\xaa" in response, "neither an error message nor a close"
        except ConnectionError:
            pass
        client.close()
    with socket.create_connection(("127.0.0.1", dispatcher.port), timeout=10) as client:
        client.sendall(logged_in)
        try:
            for _ in range(60 * 16):
                client.sendall(packets.HEADER.pack(1, 0, 32_767, 0, 1, 0) + bytes(32_759) + bytes(32_768))
            raise AssertionError("60 MB were accepted")
        except OSError:
            pass
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    assert dispatcher.service.counters.shown().get("faults", 0) == 0


def test_a_login_storm_is_bounded_and_other_clients_are_served():
    dispatcher = Dispatcher(TdsEngine(), extra_nodes="connections 24")
    good, storm = dispatcher.connect(), []
    # A client that has sent no query would be disconnected first.
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    for _ in range(500):
        try:
            storm.append(socket.create_connection(("127.0.0.1", dispatcher.port), timeout=5))
        except OSError:
            break
    assert ask(good, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    for sock in storm:
        sock.close()
    until(lambda: len(dispatcher.service.listeners[1].sessions) <= 40)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]


@pytest.mark.parametrize("spoilt", ["endless", "token", "type", "nothing-asked", "lengths", "half"])
def test_an_engine_that_sends_invalid_answers_loses_only_its_own_connection(spoilt):
    def answer(query):
        if len(sent) >= 1:
            return result((1, "a"))
        sent.append(query)
        if spoilt == "endless":
            writer = packets.PacketWriter(packets.TABULAR_RESULT)
            info = bytes((tokens.RETURNVALUE,)) + b"\0\0\xff" + bytes(510)
            try:
                query.conn.send(writer.write(info + bytes(4 << 20)))
            except OSError:
                pass
        elif spoilt == "token":
            query.answer(b"\x01\x02\x03")
        elif spoilt == "type":
            query.answer(struct.pack("<BHIH", tokens.COLMETADATA, 1, 0, 0) + b"\x99")
        elif spoilt == "nothing-asked":
            query.answer(result((1, "a")) + result((2, "b")))
        elif spoilt == "lengths":
            query.conn.send(packets.HEADER.pack(4, 1, 3, 0, 1, 0))
        else:
            query.conn.send(packets.encode_packets(packets.TABULAR_RESULT, result((1, "a")))[:-5])
            reset(query.conn.sock)
        return None

    sent = []
    engines = [TdsEngine(answer), TdsEngine(answer)]
    dispatcher = Dispatcher(*engines)
    with dispatcher.connect() as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
        assert ask(client, "SELECT 2 FROM sales_1.t") == [(1, "a")]
    assert dispatcher.service.counters.shown().get("faults", 0) == 0
