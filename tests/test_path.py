"""The design's path, without the bench."""

from bench_free import Gateways, group, i, site


def test_a_query_reaches_an_engine_and_its_charge_is_corrected():
    g = Gateways(site([group()]))
    g.engines(3)
    q = g.take(cost=1000)
    assert g.sent[q]
    g.end(q, work=1800)
    assert g.gateway.deficit[0] % 1 == 0
    assert not g.gateway.queries


def test_a_waiting_line_is_not_sent_at_once_to_the_first_engine_at_ease():
    g = Gateways(site([group()]))
    g.engines(2)
    first = [g.take() for _ in range(40)]
    g.end(first[0], ending=i.TURNED_AWAY, elapsed=3)
    g.end(first[1], ending=i.TURNED_AWAY, elapsed=3)
    later = [g.take(left=200_000) for _ in range(200)]
    assert any(not g.sent[q] for q in later)
    g.round(after=15_000)
    assert len(g.out) < 100


def test_a_read_only_query_lost_on_one_engine_is_moved_and_a_mutating_one_is_not():
    g = Gateways(site([group(), group(effect=i.MUTATING)]))
    g.engines(3)
    lost, mutating = g.take(), g.take(rg=1)
    for _ in range(8):
        g.end(g.take())
    g.round((i.DUE, 1), after=9_000)
    assert g.cancelled == [lost]
    g.end(lost, ending=i.CANCELLED)
    assert [e for _, e in g.sent[lost]] == [g.sent[lost][0][1], g.out[lost]]
    assert g.out[lost] != g.sent[lost][0][1]
    assert len(g.sent[mutating]) == 1


def test_an_engine_that_turns_away_gets_a_rest():
    g = Gateways(site([group()]))
    g.engines(1)
    q = g.take()
    g.end(q, ending=i.TURNED_AWAY, elapsed=3)
    assert q not in g.out and q not in g.final
    g.round((i.DUE, 1), after=300)
    assert q in g.out
