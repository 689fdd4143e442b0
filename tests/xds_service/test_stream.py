"""What a discovery stream is sent next: drains, NACKs, slow proxies, newer lists, limits."""

import pytest
from bench_free import group
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.errors import StreamProtocolError, StreamRejectedError
from wickvane.xds.log_events import to_log_record
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest
from wickvane.xds.node_access import NodeAccess
from wickvane.xds.placement import Placement
from wickvane.xds.stream import MAX_REQUESTS
from xds_service.plain_proxy import (
    CDS,
    DELTA,
    EDS,
    LDS,
    RDS,
    SOTW,
    TABLES,
    PlainProxy,
    PlainResources,
    build_control_plane,
    build_placement,
    entry,
    settle,
)


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_drain_goes_first_is_resent_and_logged(variant):
    made, proxy = build_control_plane(), PlainProxy(variant, "p")
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settle(proxy, 0)
    made.apply_endpoint_event(now, 2, False, [entry("e8")])
    first = made.next_response(proxy.number, now)
    assert first.resource_type == EDS and not first.is_drain  # and it is not acknowledged
    gone = proxy.sends_to().pop()
    made.apply_endpoint_event(now, 3, False, [entry(gone, EngineState.DRAINING)])
    found = made.next_response(proxy.number, now)
    assert found.is_drain and found.resource_type == EDS and made.next_response(proxy.number, now) is None
    session, events = made.streams[proxy.number], []
    for _ in range(4):
        at = session.next_response_time(now)
        if at is None:
            break
        now = at
        again = made.next_response(proxy.number, now)
        events += [to_log_record(event).name for event in made.take_log_events()]
        assert again is None or again.is_drain and set(found.names) <= set(again.names)
    assert session.metrics.drain_resends == 2 and session.metrics.late_drains == 1
    assert events == ["drain-unacknowledged"] and now < 30 * 600 + 2 * TICKS_PER_SECOND
    # Its word comes at last.
    if variant == SOTW:
        session.receive(now, DiscoveryRequest(EDS, "", again.nonce, [f"g0/{t}" for t in (0, *TABLES)], None))
    else:
        session.receive(now, DeltaDiscoveryRequest(EDS, again.nonce, [], [], {}, None))
    assert session.endpoints.unacknowledged_drain is None


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_nacked_content_is_not_resent_until_it_changes(variant):
    made, proxy = build_control_plane(), PlainProxy(variant, "p")
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settle(proxy, 0)
    held = dict(proxy.held[EDS])
    made.apply_endpoint_event(now, 2, False, [entry("e8")])
    assert proxy.receive(now)
    proxy.answer(now, True)
    status = made.streams[proxy.number].status(now)["EDS"]
    assert status["refused"] == "no" and not status["synced"] and proxy.held[EDS] == held
    for n in range(20):
        assert not proxy.receive(now + 1000 * n)
    made.apply_endpoint_event(now + 20_000, 3, False, [entry("e9")])
    settle(proxy, now + 20_000)
    assert made.streams[proxy.number].status(now)["EDS"]["synced"] and "e9" in proxy.sends_to()


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_flapping_list_costs_a_slow_proxy_only_the_newest_state(variant):
    made, slow, quick = build_control_plane(), PlainProxy(variant, "slow"), PlainProxy(variant, "quick")
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    for proxy in (slow, quick):
        proxy.connect(made, 0)
    now = max(settle(slow, 0), settle(quick, 0))
    before = made.streams[slow.number].metrics.sent
    for n in range(600):  # ten times a second for a minute
        now += 1000
        made.apply_endpoint_event(now, 2 + n, False, [entry(f"e{100 + n}")])
        while slow.receive(now):
            pass
        if quick.receive(now):
            quick.answer(now, False)
    assert made.streams[slow.number].metrics.sent - before == 1
    assert quick.sends_to() == {p.name for t in (0, *TABLES) for p in made.placement.clusters[f"g0/{t}"]}
    while slow.late:
        slow.answer(now, False)
    settle(slow, now)
    assert slow.sends_to() == quick.sends_to()


def test_proxy_with_a_newer_list_is_sent_nothing_older():
    newer, older, proxy = build_control_plane(), build_control_plane(), PlainProxy(DELTA, "p")
    events = [(1, True, [entry(f"e{n}") for n in range(8)]), (2, False, [entry("e3", EngineState.DRAINING)])]
    for event in events:
        newer.apply_endpoint_event(0, *event)
    older.apply_endpoint_event(0, *events[0])
    proxy.connect(newer, 0)
    now = settle(proxy, 0)
    assert "e3" not in proxy.sends_to()
    proxy.connect(older, now)
    now = settle(proxy, now)
    assert "e3" not in proxy.sends_to() and older.streams[proxy.number].status(now)["EDS"]["ahead"]
    assert ("proxy-ahead", "EDS", 2, 1) in [
        (event, f.get("type"), f.get("holds"), f.get("index"))
        for event, f in map(to_log_record, older.take_log_events())
    ]
    older.apply_endpoint_event(now, *events[1])
    settle(proxy, now)
    assert "e3" not in proxy.sends_to() and not older.streams[proxy.number].status(now)["EDS"]["ahead"]


def test_no_empty_list_is_sent_at_the_start():
    made, proxy = build_control_plane(), PlainProxy(SOTW, "p")
    proxy.connect(made, 0)
    now = settle(proxy, 0)
    assert proxy.held[EDS] == {} and proxy.held[CDS] == {} and not made.is_serving
    made.apply_endpoint_event(now, 1, True, [entry("e1")])
    settle(proxy, now)
    assert proxy.sends_to() == {"e1"}


def test_heartbeats_renew_the_time_to_live_of_endpoints():
    made, proxy = build_control_plane(ttl=3 * TICKS_PER_SECOND), PlainProxy(DELTA, "p")
    made.apply_endpoint_event(0, 1, True, [entry("e1")])
    proxy.connect(made, 0)
    now = settle(proxy, 0)
    beats, last = [], now
    while now < 30 * TICKS_PER_SECOND:
        now = made.streams[proxy.number].next_response_time(now) or now + TICKS_PER_SECOND
        response = made.next_response(proxy.number, now)
        if response is not None:
            assert response.is_heartbeat and now - last <= 3 * TICKS_PER_SECOND // 2
            beats.append(response)
            last = now
    assert 20 < len(beats) < 40 and all(len(b.names) == 1 + len(TABLES) for b in beats)


def test_obsolete_resources_are_removed_once_routes_are_acknowledged():
    made, proxy = build_control_plane(), PlainProxy(DELTA, "p")
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(made, 0)
    now = settle(proxy, 0)
    fewer = Placement(made.placement.deployment, ["g0"], TABLES[:2], 2, ["old", "new"], ["dc", "far"])

    class Other(PlainResources):
        def build_static(self, placement):
            return super().build_static(placement) | {RDS: {"g0": b"other routes"}}

    made.change_settings(now, fewer, Other())
    order = []
    for _ in range(40):
        now += 600
        made.tick(now)
        response = made.next_response(proxy.number, now)
        if response is not None:
            order.append((response.resource_type, response.removed))
            entries = made.catalog.resources[response.resource_type]
            proxy.late.append((response, {n: entries[n] for n in response.names}, 1))
            proxy.answer(now, False)
    kinds = [kind for kind, _ in order]
    gone = next(n for n, (kind, removed) in enumerate(order) if kind == CDS and removed)
    assert order[gone][1] == ("g0/3",) and kinds.index(RDS) < gone
    assert set(proxy.held[CDS]) == {"g0/0", "g0/1", "g0/2"} and made.retirement is None


def test_node_rules_and_stream_limits():
    rules = NodeAccess((("edge-*", ("g0",)), ("ops", None)), max_streams=3, max_streams_per_node=1)
    made = ControlPlane(
        build_placement([group(), group(kinds=frozenset([1]))]), PlainResources(), 2 * TICKS_PER_SECOND, rules
    )
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}", kind=("old", "new")[n % 2]) for n in range(8)])
    edge, ops = PlainProxy(DELTA, "edge-7"), PlainProxy(DELTA, "ops")
    for proxy in (edge, ops):
        proxy.connect(made, 0)
        settle(proxy, 0)
    assert set(edge.held[LDS]) == {"g0"} and set(ops.held[LDS]) == {"g0", "g1"}
    assert all(name.startswith("g0/") for name in edge.held[CDS])
    with pytest.raises(StreamRejectedError, match="too many streams"):
        PlainProxy(SOTW, "edge-7").connect(made, 0)
    for number in [n for n, s in made.streams.items() if s.node is None]:
        made.close_stream(number)
    with pytest.raises(StreamRejectedError, match="not known"):
        PlainProxy(SOTW, "stranger").connect(made, 0)


def test_request_limits_end_a_stream():
    made = build_control_plane()
    made.apply_endpoint_event(0, 1, True, [entry("e1")])
    session = made.streams[made.open_stream(0, SOTW)]
    with pytest.raises(StreamProtocolError, match="too many requests"):
        for n in range(MAX_REQUESTS + 1):
            session.receive(n // 1000, DiscoveryRequest(EDS, "", "stale", [f"x{n}"], "refused" * 1000))
    session = made.streams[made.open_stream(0, DELTA)]
    with pytest.raises(StreamProtocolError, match="too many resource"):
        session.receive(0, DeltaDiscoveryRequest(EDS, "", [f"x{n}" for n in range(20_000)], [], {}, None))
    with pytest.raises(StreamProtocolError, match="too long"):
        session.receive(0, DeltaDiscoveryRequest(EDS, "", ["x" * 600], [], {}, None))


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([CDS, EDS, LDS, RDS]),
            st.text(max_size=8),
            st.text(max_size=8),
            st.lists(st.sampled_from(["*", "g0", "g0/1", "g0/2", "zz"]), max_size=4),
            st.sampled_from([None, "no"]),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_any_requests_are_answered_or_end_the_stream(asks):
    made = build_control_plane()
    made.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(5)])
    numbers, now = [made.open_stream(0, SOTW), made.open_stream(0, DELTA)], 0
    for kind, version, nonce, names, error, delta in asks:
        now += 300
        session = made.streams[numbers[delta]]
        if delta:
            session.receive(
                now,
                DeltaDiscoveryRequest(
                    kind, nonce, names, names[:1], {name: version for name in names}, error
                ),
            )
        else:
            session.receive(now, DiscoveryRequest(kind, version, nonce, names, error))
        for _ in range(20):
            if made.next_response(session.number, now) is None:
                break
        else:
            raise AssertionError("it never has enough")
        assert (session.next_response_time(now) or now + 1) > now
