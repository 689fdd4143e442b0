"""Tests of a new process at the address of an engine that has gone: it is not taken for the former one."""

import pytest
from bench_free import (
    Client,
    Dispatcher,
    Engine,
    Events,
    entry,
    event,
    hit,
    rows,
    sse,
    statement,
    until,
)


def answer_asks(txn, words):
    return hit(txn) if words[0] == b"ASK" else b""


def dispatcher_with_stream(*engines):
    events = Events()
    dispatcher = Dispatcher(*engines, coordinator=events)
    events.next("connected")
    return dispatcher, events


def engine_at(port):
    """Returns an engine that listens at a port as soon as its former owner has left it."""

    def try_listening():
        try:
            return Engine(answer_asks, port=port)
        except OSError:
            return None

    return until(try_listening)


def ready_engines(dispatcher):
    return {name for name, queue in dispatcher.service.decider.queues.items() if not queue.gone}


def test_a_new_engine_at_the_address_of_another_one_takes_its_place():
    """Work for the former engine went to the new process until its own end was told."""
    engine = Engine()
    dispatcher, events = dispatcher_with_stream(engine)
    assert rows(Client(dispatcher).ask(statement(n=1)))
    events.send.put(sse(2, event(2, entry("new", engine.address))))
    until(lambda: ready_engines(dispatcher) == {"new"})
    for n in range(2, 30):
        assert rows(Client(dispatcher).ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n)))
    queries = [line for line in dispatcher.logged("query") if line["txn"] != f"{1:016x}"]
    assert {line["engine"] for line in queries} == {"new"}
    assert dispatcher.service.counters.shown()["engines-replaced"] == 1


def test_a_list_that_has_both_engines_keeps_both():
    """A whole list tells what there is now: it replaces nothing by its order."""
    engine = Engine()
    dispatcher, events = dispatcher_with_stream(engine)
    both = event(2, entry("e0", engine.address), entry("new", engine.address), snapshot=True)
    events.send.put(sse(2, both))
    until(lambda: ready_engines(dispatcher) == {"e0", "new"})
    assert "engines-replaced" not in dispatcher.service.counters.shown()


@pytest.mark.parametrize("verb, finishes", [("lookup", True), ("change", False)])
def test_what_ran_on_the_former_process_is_not_taken_for_work_of_the_new_one(verb, finishes):
    """A mutating query of the former process must not run on the new one, too."""
    former = Engine(lambda txn, words: b"")
    dispatcher, events = dispatcher_with_stream(former)
    client = Client(dispatcher)
    client.send(statement(n=1, verb=verb, limit=6_000))
    former.next("ASK")
    port = int(former.address.rpartition(":")[2])
    former.end()
    new = engine_at(port)
    events.send.put(sse(2, event(2, entry("new", new.address))))
    answer = client.until_ready()
    assert bool(rows(answer)) is finishes
    asked = [found for found in list(new.came.queue) if found[0] == "ASK"]
    assert len(asked) == finishes
