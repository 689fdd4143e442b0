"""Tests of requests whose client has gone, or seems to have: what is sent, and what may come again."""

import time

import pytest
from bench_free import Client, Dispatcher, Engine, group, hit, rows, sqlstate, statement, until
from standins.tds_engine import TdsEngine, result
from tds.helpers import Dispatcher as TdsDispatcher
from tds.helpers import RawClient
from test_ends import DISCONNECTS, await_count, close, first_asked, ids_asked, no_answer
from test_readers import StoppedClock

from wickvane.events import Effect
from wickvane.net.client_session import ClientSession
from wickvane.net.counters import Counters
from wickvane.net.exchange import CLIENT_GONE, MAX_IDS_WITHOUT_RESULT, Exchange, PendingQuery
from wickvane.net.tds import tokens
from wickvane.net.tds.session import CLIENT_CHECK_INTERVAL_S


def answer_asks(txn, words):
    return hit(txn) if words[0] == b"ASK" else b""


def leave_during(engines, text, disconnect):
    """Sends a query and disconnects while an engine runs it; returns the dispatcher."""
    dispatcher = Dispatcher(*engines)
    leaving = Client(dispatcher)
    leaving.send(text)
    engine = engines[first_asked(engines)]
    engine.next("ASK")
    disconnect(leaving)
    assert engine.next("QUIT")
    until(lambda: not dispatcher.service.exchange.open_ids)
    return dispatcher


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_a_mutating_query_that_comes_again_after_its_client_left_does_not_run_twice(disconnect):
    """An id ran twice when it came again after its client had left: it was forgotten with the connection."""
    engines = [Engine(no_answer), Engine(no_answer)]
    text = statement(n=1, limit=20_000, verb="change")
    dispatcher = leave_during(engines, text, disconnect)
    assert sqlstate(Client(dispatcher).ask(text)) == "55000"
    assert not any(ids_asked(engine) for engine in engines)


def test_a_read_only_query_may_come_again_after_its_client_left():
    engine = Engine(no_answer)
    text = statement(n=1, limit=20_000)
    dispatcher = leave_during([engine], text, close)
    engine.answers = answer_asks
    assert rows(Client(dispatcher).ask(text))


def test_the_ids_that_are_rejected_are_bounded():
    exchange = Exchange(StoppedClock(), Counters())
    exchange.resource_groups = [group(effect=Effect.MUTATING)]
    for n in range(MAX_IDS_WITHOUT_RESULT + 5):
        pending = PendingQuery(0, 1_000, id=b"%d" % n, resource_group=0)
        pending.attempt_count, pending.answer = 1, CLIENT_GONE
        exchange.release_id(pending)
    assert len(exchange.ids_without_result) == MAX_IDS_WITHOUT_RESULT


@pytest.mark.parametrize("count", [2, 24, 200])
def test_requests_of_a_client_that_closed_with_much_unread_are_not_sent(count):
    """Operators saw such requests sent on after the close; no run of this test has shown it."""
    engine = Engine(no_answer)
    dispatcher = Dispatcher(engine)
    client = Client(dispatcher)
    for n in range(1, count + 1):
        client.send(statement(n=n, limit=20_000, verb="change"))
    engine.next("ASK")
    close(client)
    assert engine.next("QUIT")
    await_count(dispatcher, "client-connections-ended-client-closed", 1)
    engine.answers = answer_asks
    assert rows(Client(dispatcher).ask(statement(n=1_000)))
    assert ids_asked(engine) == [1_000]


@pytest.mark.parametrize("protocol", ["postgres", "tds"])
def test_a_request_that_crosses_the_eviction_of_its_idle_session_is_served(monkeypatch, protocol):
    """It was answered as cancelled by its client: the end of the input was taken for a disconnect."""
    await_input = ClientSession.await_input

    def await_input_and_evict(session, poll, until_time):
        has_input = await_input(session, poll, until_time)
        if session.queries:
            session.evict()
        return has_input

    monkeypatch.setattr(ClientSession, "await_input", await_input_and_evict)
    if protocol == "tds":
        client = RawClient(TdsDispatcher(TdsEngine(slow_result)).port)
        for _ in range(2):
            client.batch("SELECT 1 FROM sales_1.t")
            assert any(token == tokens.ROW for token, _ in client.tokens())
        return
    client = Client(Dispatcher(Engine(answer_asks)))
    for n in (1, 2):
        assert rows(client.ask(statement(n=n)))
    assert client.message() is None


def slow_result(query):
    """Answers after the session has looked at its client."""
    time.sleep(3 * CLIENT_CHECK_INTERVAL_S)
    return result((1, "a"))
