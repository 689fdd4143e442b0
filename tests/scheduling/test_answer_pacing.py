"""Tests of the pace of requests that need no engine."""

import socket
import struct
import time

import pytest
from bench_free import Client, Dispatcher, Engine, rows, sqlstate, statement
from standins.tds_engine import TdsEngine
from tds.helpers import Dispatcher as TdsDispatcher
from tds.helpers import RawClient

from wickvane.net.tds import packets, sql_batch
from wickvane.scheduling.answer_pacing import BURST, INTERVAL_TICKS, AnswerPacing
from wickvane.units import TICKS_PER_SECOND

FLOOD_S = 1.0


def test_a_burst_is_answered_at_once_and_the_rest_at_the_pace():
    pacing, now, answered = AnswerPacing(), 1_000_000, 0
    for _ in range(BURST):
        assert pacing.pause_after(now) == 0
    until = now + TICKS_PER_SECOND
    while now < until:
        pause = pacing.pause_after(now)
        assert pause == INTERVAL_TICKS
        now += pause
        answered += 1
    assert answered == TICKS_PER_SECOND // INTERVAL_TICKS


def test_a_session_below_the_pace_never_pauses():
    pacing = AnswerPacing()
    assert not any(pacing.pause_after(now) for now in range(0, 10_000 * INTERVAL_TICKS, INTERVAL_TICKS))


def answers_of_a_flood(sock, request, answer_end):
    """Sends requests for FLOOD_S without a pause; returns how many were answered, and the time it took."""
    sock.setblocking(False)
    began, answered, kept = time.monotonic(), 0, b""
    while time.monotonic() < began + FLOOD_S:
        try:
            sock.send(request * 50)
        except BlockingIOError:
            pass
        try:
            data = sock.recv(1 << 18)
        except BlockingIOError:
            continue
        answered += (kept + data).count(answer_end)
        kept = (kept + data)[1 - len(answer_end) :]
    return answered, time.monotonic() - began


def bound(seconds):
    """Returns how many requests may be answered within a time; one is under way at each end."""
    return BURST + seconds * TICKS_PER_SECOND / INTERVAL_TICKS + 2


@pytest.mark.parametrize("body", [b"SELECT 1\0", b"\0", b"/* verb=nobody,txn=x */ SELECT 1\0"])
def test_a_postgres_client_with_unusable_requests_is_paced_and_others_are_served(body):
    """One client's 27,000 unusable statements a second kept the threads of all others waiting for 1.4 s."""
    dispatcher = Dispatcher(Engine())
    flood, other = Client(dispatcher), Client(dispatcher)
    request = b"Q" + struct.pack("!I", 4 + len(body)) + body
    answered, seconds = answers_of_a_flood(flood.sock, request, b"Z\0\0\0\5I")
    assert 0 < answered <= bound(seconds)
    assert rows(other.ask(statement(n=1))) and dispatcher.service.counters.shown()["sessions-paced"]


def test_a_tds_client_with_unusable_requests_is_paced():
    """As above, by TDS."""
    dispatcher = TdsDispatcher(TdsEngine(), rules="")
    client = RawClient(dispatcher.port)
    request = packets.encode_packets(packets.SQL_BATCH, sql_batch.encode_sql_batch("SELECT 1"))
    answered, seconds = answers_of_a_flood(client.sock, request, "no comment".encode("utf-16-le"))
    assert 0 < answered <= bound(seconds)


def test_queries_that_engines_run_are_not_paced():
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    for n in range(2 * BURST):
        assert rows(client.ask(statement(n=n)))
    assert "sessions-paced" not in dispatcher.service.counters.shown()


def test_a_paced_client_gets_all_its_answers_in_order():
    dispatcher = Dispatcher(Engine())
    client = Client(dispatcher)
    count = BURST + 50
    client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(count):
        client.send("SELECT 1")
    client.send(statement(n=1))
    assert all(sqlstate(client.until_ready()) == "42601" for _ in range(count))
    assert rows(client.until_ready())
