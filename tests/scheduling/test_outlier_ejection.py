"""Engines that fail are ejected, regardless of the other engines."""

from bench_free import Gateways, group, site

from wickvane.events import Ending


def test_engines_that_refuse_connections_stay_ejected_even_if_they_are_the_majority():
    dispatcher = Gateways(site([group(timeout=400_000, latency_objective=300_000)]))
    dispatcher.engines(5)
    query = dispatcher.take(left=390_000)
    for table_group in range(60):
        query = query if query in dispatcher.out else dispatcher.take(table_group=table_group, left=390_000)
        dispatcher.end(
            query, ending=Ending.FINISHED if dispatcher.out[query] == 0 else Ending.NO_CONNECTION, after=20
        )
    before = dispatcher.now
    for table_group in range(10):
        query = dispatcher.take(table_group=table_group, left=390_000)
        assert dispatcher.out.get(query, 0) == 0
        if query in dispatcher.out:
            dispatcher.end(query)
    assert dispatcher.now == before


def test_an_engine_that_answers_every_query_with_an_error_is_ejected():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(3)
    failing = None
    for _ in range(12):
        query = dispatcher.take(table_group=1)
        failing = dispatcher.out[query] if failing is None else failing
        while query not in dispatcher.final and query in dispatcher.out:
            fails = dispatcher.out[query] == failing
            dispatcher.end(
                query, Ending.ERROR if fails else Ending.FINISHED, elapsed=20 if fails else 1000, after=100
            )
            if not fails:
                break
    assert (
        dispatcher.scheduler.engines.ejected_until[failing]
        and max(len(sent) for sent in dispatcher.sent.values()) == 2
    )
