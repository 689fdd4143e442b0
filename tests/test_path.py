"""The design's path, without the bench."""

from bench_free import Gateways, group, site


def test_a_query_reaches_an_engine_and_its_charge_is_corrected():
    g = Gateways(site([group()]))
    g.engines(3)
    q = g.take(cost=1000)
    assert g.sent[q]
    g.end(q, work=1800)
    assert g.gateway.deficit[0] % 1 == 0
    assert not g.gateway.queries
