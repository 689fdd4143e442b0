"""Retries, replanning, the retry budget, and the order and quarantine of keys."""

import pytest
from bench_free import Gateways, group, site

from wickvane.events import Effect, Ending, EngineState, KeyScope, TimerFired


def test_a_read_only_query_lost_on_one_engine_is_moved_and_a_mutating_one_is_not():
    dispatcher = Gateways(site([group(), group(effect=Effect.MUTATING)]))
    dispatcher.engines(3)
    lost = dispatcher.take()
    mutating = dispatcher.take(resource_group=1)
    for _ in range(8):
        dispatcher.end(dispatcher.take())
    dispatcher.round(TimerFired(1), after=9_000)
    assert dispatcher.cancelled == [lost]
    dispatcher.end(lost, ending=Ending.CANCELLED)
    assert [engine for _, engine in dispatcher.sent[lost]] == [
        dispatcher.sent[lost][0][1],
        dispatcher.out[lost],
    ]
    assert dispatcher.out[lost] != dispatcher.sent[lost][0][1]
    assert len(dispatcher.sent[mutating]) == 1


def ordered_queue_behind_a_hung_attempt(followers: int, engines: int = 3) -> tuple[Gateways, int, list[int]]:
    """Returns a dispatcher, a mutating query whose attempt hangs, and queries of its key that wait."""
    ordered = group(
        effect=Effect.MUTATING,
        ordered=True,
        timeout=200_000,
        latency_objective=30_000,
        late_priority_weight=0.4,
    )
    dispatcher = Gateways(site([ordered, group()], key_quarantine=3000))
    dispatcher.engines(engines)
    dispatcher.round(after=100)
    head = dispatcher.take(key="a", left=200_000)
    return dispatcher, head, [dispatcher.take(key="a", left=200_000) for _ in range(followers)]


def test_queries_behind_a_hung_attempt_of_their_key_are_rejected_with_time_left_to_retry_elsewhere():
    """Otherwise each would wait until its own deadline for the end of the hung attempt."""
    dispatcher, head, waiting = ordered_queue_behind_a_hung_attempt(5)
    other_key = dispatcher.take(key="b", left=200_000)
    dispatcher.let_pass(dispatcher.now + 30_000)
    assert [dispatcher.final.get(query) for query in waiting] == ["deferred"] * 5
    assert head in dispatcher.out and head not in dispatcher.final
    assert other_key in dispatcher.out and other_key not in dispatcher.final
    late = dispatcher.take(key="a", left=200_000)
    dispatcher.let_pass(dispatcher.now + 1_000)
    assert dispatcher.final[late] == "deferred"  # a query that arrives later is rejected for the same reason


def test_queries_behind_an_attempt_on_an_engine_that_pauses_for_two_seconds_keep_waiting():
    dispatcher, head, waiting = ordered_queue_behind_a_hung_attempt(5)
    dispatcher.let_pass(dispatcher.now + 20_000)
    assert not dispatcher.final
    dispatcher.end(head, elapsed=20_000)
    assert waiting[0] in dispatcher.out


def test_queries_of_a_busy_key_are_rejected_on_arrival_once_their_turn_would_be_too_late():
    """Rejected queries get their answer long before their clients time out, however long the queue is."""
    dispatcher, head, waiting = ordered_queue_behind_a_hung_attempt(200)
    rejected = [query for query in waiting if query in dispatcher.final]
    assert rejected and all(dispatcher.answered[query] == dispatcher.sent[head][0][0] for query in rejected)
    assert rejected == waiting[-len(rejected) :]  # the queries that arrived first wait
    assert 130 <= len(waiting) - len(rejected) <= 151  # run times of 0.1 s in 20 s
    other_key = dispatcher.take(key="b", left=200_000)
    assert other_key in dispatcher.out
    for _ in range(len(waiting) - len(rejected) + 1):
        (query,) = set(dispatcher.out) - {other_key}
        dispatcher.end(query, after=1000)
    assert sum(final == "deferred" for final in dispatcher.final.values()) == len(rejected)


def test_queries_whose_key_is_free_soon_enough_wait_for_it():
    dispatcher, head, _ = ordered_queue_behind_a_hung_attempt(0)
    dispatcher.let_pass(dispatcher.now + 180_000)
    late = dispatcher.take(key="a", left=200_000)
    dispatcher.let_pass(dispatcher.now + 21_000)
    assert late not in dispatcher.final and late not in dispatcher.out
    assert dispatcher.final[head] == "killed"
    dispatcher.end(head, ending=Ending.CANCELLED)
    dispatcher.let_pass(dispatcher.now + 5_000)  # the quarantine of the key ends, and the next query starts
    assert late in dispatcher.out


def test_queries_behind_a_slow_attempt_whose_engine_answers_other_queries_keep_waiting():
    dispatcher, head, waiting = ordered_queue_behind_a_hung_attempt(2, engines=1)
    for _ in range(20):
        other = dispatcher.take(resource_group=1)
        dispatcher.end(other, after=500)
    assert dispatcher.now > dispatcher.sent[head][0][0] + 9_000 and head in dispatcher.out
    dispatcher.let_pass(dispatcher.now + 2_000)
    assert not any(query in dispatcher.final for query in waiting)


def test_a_query_that_waits_for_a_retry_is_answered_before_its_deadline():
    dispatcher = Gateways(site([group(late_priority_weight=0.5)]))
    dispatcher.engines(1)
    query = dispatcher.take(cost=10, left=700)
    end = dispatcher.now + 700
    dispatcher.engine(0, state=EngineState.DRAINING)
    dispatcher.end(query, ending=Ending.NO_CONNECTION, after=100)
    dispatcher.let_pass(end + 5000)
    assert dispatcher.answered[query] <= end


def test_a_statement_that_fails_on_every_engine_ejects_none_and_is_tried_on_two_only():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(3)
    for _ in range(30):
        query = dispatcher.take(table_group=1)
        for _ in range(2):
            dispatcher.end(query, Ending.ERROR, elapsed=20)
        assert dispatcher.final[query] == "deferred" and len(dispatcher.sent[query]) == 2
        assert len({engine for _, engine in dispatcher.sent[query]}) == 2
    assert (
        not any(dispatcher.scheduler.engines.ejected_until)
        and max(dispatcher.scheduler.engines.failure_rate) < 0.01
    )


def test_arrivals_are_forgotten_after_the_window_of_the_retry_budget():
    dispatcher = Gateways(site([group()], retry_budget_window=50_000))
    dispatcher.engines(2)
    for _ in range(300):
        dispatcher.end(dispatcher.take(), after=1000)
    assert len(dispatcher.scheduler.retries.budget.arrivals) < 100


def keyed_dispatcher(key_scope: KeyScope) -> Gateways:
    """Returns a dispatcher whose queries have idempotency keys, with two engines in different scopes."""
    keyed = group(
        effect=Effect.IDEMPOTENCY_KEY,
        key_scope=key_scope,
        latency_objective=60_000,
        late_priority_weight=0.5,
    )
    dispatcher = Gateways(site([keyed]))
    dispatcher.engine(0, zone=1, cell=1)
    dispatcher.engine(1, zone=2, cell=2)
    return dispatcher


def lose_engine(dispatcher: Gateways, query: int) -> int:
    """Ends a query's attempt because its engine crashes and leaves the list; returns the engine's scope.

    As in a change of the list, the entry of an engine that has gone need not name its zone and cell.
    """
    engine = dispatcher.out[query]
    scope = engine + 1
    dispatcher.end(query, ending=Ending.RESET)
    dispatcher.engine(engine, state=EngineState.GONE, zone=9, cell=0)
    return scope


@pytest.mark.parametrize("key_scope", [KeyScope.SAME_ZONE, KeyScope.SAME_CELL])
def test_a_retry_with_a_key_stays_in_its_scope_after_another_engine_took_over_the_index(key_scope):
    # Guards against a second effect: the retry went to the zone or cell of the newcomer, which knew no key.
    dispatcher = keyed_dispatcher(key_scope)
    query = dispatcher.take()
    index = dispatcher.out[query]
    scope = lose_engine(dispatcher, query)
    other_scope = 3 - scope
    dispatcher.engine(index, zone=other_scope, cell=other_scope, started=dispatcher.now, name="newcomer")
    dispatcher.let_pass(dispatcher.now + 10_000)
    assert len(dispatcher.sent[query]) == 1 and query not in dispatcher.final
    dispatcher.engine(2, zone=scope, cell=scope, started=dispatcher.now - 200_000)
    dispatcher.let_pass(dispatcher.now + 1_000)
    assert [engine for _, engine in dispatcher.sent[query]] == [index, 2]


@pytest.mark.parametrize("key_scope", [KeyScope.SAME_ZONE, KeyScope.SAME_CELL])
def test_a_retry_with_a_key_is_bound_to_the_scope_that_its_engine_had_when_the_attempt_was_sent(key_scope):
    # Guards against a second effect: an entry that changed during the attempt moved the retry elsewhere.
    dispatcher = keyed_dispatcher(key_scope)
    query = dispatcher.take()
    first = dispatcher.out[query]
    other = 1 - first
    dispatcher.engine(first, state=EngineState.GONE, zone=other + 1, cell=other + 1)
    dispatcher.end(query, ending=Ending.RESET)
    dispatcher.let_pass(dispatcher.now + 10_000)
    assert len(dispatcher.sent[query]) == 1


def test_an_engine_that_took_over_the_index_of_a_lost_one_may_run_the_retry():
    # Guards against a query that waits until its deadline because its only engine passes for the lost one.
    dispatcher = keyed_dispatcher(KeyScope.SAME_ZONE)
    query = dispatcher.take()
    index = dispatcher.out[query]
    scope = lose_engine(dispatcher, query)
    dispatcher.engine(index, zone=scope, started=dispatcher.now - 200_000, name="newcomer")
    dispatcher.let_pass(dispatcher.now + 1_000)
    assert [engine for _, engine in dispatcher.sent[query]] == [index, index]


def test_errors_of_two_engines_that_had_the_same_index_are_errors_of_two_engines():
    # Guards against a third attempt of a query that fails everywhere, and against blame for the newcomer.
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(1)
    dispatcher.round(after=1_000)
    query = dispatcher.take()
    dispatcher.engine(0, state=EngineState.DRAINING)
    dispatcher.end(query, ending=Ending.ERROR)
    dispatcher.engine(0, started=dispatcher.now - 200_000, name="newcomer")
    dispatcher.let_pass(dispatcher.now + 1_000)
    dispatcher.end(query, ending=Ending.ERROR)
    assert len(dispatcher.sent[query]) == 2 and dispatcher.final[query] == "deferred"
    assert dispatcher.scheduler.engines.failure_rate[0] == 0.0


@pytest.mark.parametrize("is_in_flight", [True, False])
@pytest.mark.parametrize("hung_for,answer", [(110_000, "deferred"), (130_000, "killed")])
def test_a_query_with_a_key_that_may_have_run_is_deferred_only_while_engines_know_its_key(
    is_in_flight, hung_for, answer
):
    """Guards against a client that is told to send again what engines have forgotten, and so run twice."""
    keyed = group(effect=Effect.IDEMPOTENCY_KEY, key_scope=KeyScope.ANY_ENGINE, timeout=300_000)
    assert keyed.idempotency_window == 120_000
    dispatcher = Gateways(site([keyed], max_attempts=1))
    dispatcher.engines(1)
    query = dispatcher.take(left=hung_for + 2_000 if is_in_flight else 300_000)
    if is_in_flight:
        dispatcher.let_pass(dispatcher.now + hung_for + 4_000)
    else:
        dispatcher.let_pass(dispatcher.now + hung_for)
        dispatcher.end(query, ending=Ending.RESET)
        dispatcher.let_pass(dispatcher.now + 1_000)
    assert dispatcher.final[query] == answer
