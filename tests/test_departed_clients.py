"""Tests of requests whose client has gone: none is sent afterwards, and none that may have run runs again."""

import pytest
from bench_free import Client, Dispatcher, Engine, group, hit, rows, sqlstate, statement, until
from test_ends import DISCONNECTS, await_count, close, first_asked, ids_asked, no_answer
from test_readers import StoppedClock

from wickvane.events import Effect
from wickvane.net.counters import Counters
from wickvane.net.exchange import CLIENT_GONE, MAX_IDS_WITHOUT_RESULT, Exchange, PendingQuery


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
