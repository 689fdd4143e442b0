"""Queries that wait for input that has not been read, or for earlier queries of their client sessions."""

from bench_free import Gateways, group, site

from wickvane.events import (
    ClientGone,
    Effect,
    InputRead,
    QueryArrived,
    QueryUnblocked,
    ShutdownStarted,
    TimerFired,
)
from wickvane.scheduling.input_watermark import MAX_UNREAD_AGE_TICKS

TIMEOUT = 200_000


def dispatcher_with_ordered_group() -> Gateways:
    """Returns a dispatcher with one engine, whose first resource group keeps the order of its keys."""
    ordered = group(
        effect=Effect.MUTATING,
        ordered=True,
        timeout=TIMEOUT,
        latency_objective=30_000,
        late_priority_weight=0.4,
    )
    dispatcher = Gateways(site([ordered, group()]))
    dispatcher.engines(1)
    dispatcher.round(InputRead(dispatcher.now, 0))
    return dispatcher


def arrive(dispatcher: Gateways, arrived_at: int, resource_group: int = 0, is_blocked: bool = False) -> int:
    """Adds a query that arrived at this time; returns its index."""
    query, dispatcher.next_q = dispatcher.next_q, dispatcher.next_q + 1
    dispatcher.sent[query], dispatcher.count[query] = [], 0
    left = arrived_at + TIMEOUT - dispatcher.now
    dispatcher.round(
        QueryArrived(query, resource_group, 0, 1000, 10, 1, 7, left, False, arrived_at, is_blocked)
    )
    return query


def test_queries_with_a_key_start_in_the_order_of_arrival_once_the_watermark_has_passed_them():
    dispatcher = dispatcher_with_ordered_group()
    dispatcher.now += 400
    later = arrive(dispatcher, dispatcher.now - 100)
    earlier = arrive(dispatcher, dispatcher.now - 200)
    assert not dispatcher.out
    dispatcher.round(InputRead(dispatcher.now - 150, 0))
    assert list(dispatcher.out) == [earlier]
    dispatcher.round(InputRead(dispatcher.now, 0))
    dispatcher.end(earlier)
    assert list(dispatcher.out) == [later]


def test_a_query_that_arrived_before_one_that_was_sent_already_is_next():
    dispatcher = dispatcher_with_ordered_group()
    dispatcher.now += 400
    dispatcher.round(InputRead(dispatcher.now, 0))
    sent, waiting, late = (arrive(dispatcher, dispatcher.now - age) for age in (100, 50, 300))
    dispatcher.end(sent)
    dispatcher.end(late)
    assert list(dispatcher.out) == [waiting]


def test_no_attempt_starts_while_older_input_is_unread_and_reading_that_is_always_slow_delays_none_forever():
    # Guards against an attempt for a client whose cancellation has arrived, and against a standstill.
    dispatcher = dispatcher_with_ordered_group()
    dispatcher.now += MAX_UNREAD_AGE_TICKS + 1
    query = arrive(dispatcher, dispatcher.now, resource_group=1)
    assert not dispatcher.out
    dispatcher.round(InputRead(dispatcher.now - 3 * MAX_UNREAD_AGE_TICKS, 0))
    assert not dispatcher.out
    dispatcher.round(InputRead(dispatcher.now - 3 * MAX_UNREAD_AGE_TICKS, 3 * MAX_UNREAD_AGE_TICKS))
    assert list(dispatcher.out) == [query]


def test_no_attempt_counts_as_lost_while_its_answer_may_be_unread():
    # Guards against attempts that are cancelled after a pause although their answers have arrived.
    dispatcher = dispatcher_with_ordered_group()
    query = arrive(dispatcher, dispatcher.now, resource_group=1)
    dispatcher.round(InputRead(dispatcher.now, 0))
    assert query in dispatcher.out
    dispatcher.round(TimerFired(1), after=9_000)
    assert not dispatcher.cancelled
    dispatcher.round(InputRead(dispatcher.now, 0), after=400)
    assert dispatcher.cancelled == [query]


def test_a_blocked_query_keeps_its_place_in_the_order_of_its_key():
    # Guards against a load that is overtaken because an earlier query of its session still runs.
    dispatcher = dispatcher_with_ordered_group()
    dispatcher.now += 400
    dispatcher.round(InputRead(dispatcher.now, 0))
    blocked = arrive(dispatcher, dispatcher.now - 100, is_blocked=True)
    other = arrive(dispatcher, dispatcher.now - 50)
    assert not dispatcher.out
    dispatcher.round(QueryUnblocked(blocked))
    assert list(dispatcher.out) == [blocked]
    dispatcher.end(blocked)
    assert list(dispatcher.out) == [other]


def test_queries_behind_a_blocked_one_whose_client_leaves_start():
    dispatcher = dispatcher_with_ordered_group()
    blocked = arrive(dispatcher, dispatcher.now, is_blocked=True)
    other = arrive(dispatcher, dispatcher.now)
    dispatcher.round(ClientGone(blocked))
    assert list(dispatcher.out) == [other]
    dispatcher.round(QueryUnblocked(blocked))
    assert list(dispatcher.out) == [other]


def test_queries_that_wait_for_input_or_for_their_sessions_are_answered_in_time_and_at_a_shutdown():
    # Guards against queries that were taken and that nobody answers (review/2).
    for shuts_down in (False, True):
        dispatcher = dispatcher_with_ordered_group()
        blocked = arrive(dispatcher, dispatcher.now, is_blocked=True)
        dispatcher.now += 100
        unread = arrive(dispatcher, dispatcher.now)
        end = dispatcher.now + TIMEOUT
        if shuts_down:
            end = dispatcher.now + 37_000
            dispatcher.round(ShutdownStarted(37_000))
        while dispatcher.now < end:  # the watermark does not advance
            dispatcher.round(TimerFired(1), after=400)
        assert [dispatcher.final.get(query) for query in (blocked, unread)] == ["deferred"] * 2
        assert all(dispatcher.answered[query] < end for query in (blocked, unread))
        assert not dispatcher.out
