"""The responses that a discovery stream sends: drains, NACKs, slow proxies, newer lists and limits."""

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
from wickvane.xds.stream import MAX_REQUESTS_PER_WINDOW
from xds_service.in_memory_proxy import (
    CDS,
    DELTA,
    EDS,
    LDS,
    RDS,
    SOTW,
    TABLES,
    InMemoryProxy,
    JsonResources,
    Received,
    build_control_plane,
    build_placement,
    entry,
    settle,
)


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_drain_goes_first_is_resent_and_logged(variant):
    control_plane, proxy = build_control_plane(), InMemoryProxy(variant, "p")
    control_plane.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(control_plane, 0)
    now = settle(proxy, 0)
    control_plane.apply_endpoint_event(now, 2, False, [entry("e8")])
    first = control_plane.next_response(proxy.number, now)
    assert first.resource_type == EDS and not first.is_drain  # the proxy does not acknowledge it
    drained = proxy.sends_to().pop()
    control_plane.apply_endpoint_event(now, 3, False, [entry(drained, EngineState.DRAINING)])
    drain = control_plane.next_response(proxy.number, now)
    assert (
        drain.is_drain
        and drain.resource_type == EDS
        and control_plane.next_response(proxy.number, now) is None
    )
    stream, events = control_plane.streams[proxy.number], []
    for _ in range(4):
        next_time = stream.next_response_time(now)
        if next_time is None:
            break
        now = next_time
        resent = control_plane.next_response(proxy.number, now)
        events += [to_log_record(event).name for event in control_plane.take_log_events()]
        assert resent is None or resent.is_drain and set(drain.names) <= set(resent.names)
    assert stream.metrics.drain_resends == 2 and stream.metrics.late_drains == 1
    assert events == ["drain-unacknowledged"] and now < 30 * 600 + 2 * TICKS_PER_SECOND
    # Finally the proxy acknowledges the drain.
    if variant == SOTW:
        stream.receive(now, DiscoveryRequest(EDS, "", resent.nonce, [f"g0/{t}" for t in (0, *TABLES)], None))
    else:
        stream.receive(now, DeltaDiscoveryRequest(EDS, resent.nonce, [], [], {}, None))
    assert stream.endpoints.unacknowledged_drain is None


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_nacked_content_is_not_resent_until_it_changes(variant):
    control_plane, proxy = build_control_plane(), InMemoryProxy(variant, "p")
    control_plane.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(control_plane, 0)
    now = settle(proxy, 0)
    held = dict(proxy.held[EDS])
    control_plane.apply_endpoint_event(now, 2, False, [entry("e8")])
    assert proxy.receive(now)
    proxy.answer(now, True)
    status = control_plane.streams[proxy.number].status(now)["EDS"]
    assert status["refused"] == "no" and not status["synced"] and proxy.held[EDS] == held
    for n in range(20):
        assert not proxy.receive(now + 1000 * n)
    control_plane.apply_endpoint_event(now + 20_000, 3, False, [entry("e9")])
    settle(proxy, now + 20_000)
    assert control_plane.streams[proxy.number].status(now)["EDS"]["synced"] and "e9" in proxy.sends_to()


@pytest.mark.parametrize("variant", [SOTW, DELTA])
def test_slow_proxy_is_sent_only_the_newest_state_of_a_flapping_list(variant):
    control_plane, slow, quick = (
        build_control_plane(),
        InMemoryProxy(variant, "slow"),
        InMemoryProxy(variant, "quick"),
    )
    control_plane.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    for proxy in (slow, quick):
        proxy.connect(control_plane, 0)
    now = max(settle(slow, 0), settle(quick, 0))
    before = control_plane.streams[slow.number].metrics.sent
    for n in range(600):  # ten times a second for a minute
        now += 1000
        control_plane.apply_endpoint_event(now, 2 + n, False, [entry(f"e{100 + n}")])
        while slow.receive(now):
            pass
        if quick.receive(now):
            quick.answer(now, False)
    assert control_plane.streams[slow.number].metrics.sent - before == 1
    assert quick.sends_to() == {
        p.name for t in (0, *TABLES) for p in control_plane.placement.clusters[f"g0/{t}"]
    }
    while slow.unanswered:
        slow.answer(now, False)
    settle(slow, now)
    assert slow.sends_to() == quick.sends_to()


def test_proxy_with_a_newer_list_is_not_sent_an_older_one():
    newer, older, proxy = build_control_plane(), build_control_plane(), InMemoryProxy(DELTA, "p")
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


def test_new_instance_does_not_send_an_empty_list():
    control_plane, proxy = build_control_plane(), InMemoryProxy(SOTW, "p")
    proxy.connect(control_plane, 0)
    now = settle(proxy, 0)
    assert proxy.held[EDS] == {} and proxy.held[CDS] == {} and not control_plane.is_serving
    control_plane.apply_endpoint_event(now, 1, True, [entry("e1")])
    settle(proxy, now)
    assert proxy.sends_to() == {"e1"}


def test_heartbeats_renew_the_time_to_live_of_endpoints():
    control_plane, proxy = build_control_plane(ttl=3 * TICKS_PER_SECOND), InMemoryProxy(DELTA, "p")
    control_plane.apply_endpoint_event(0, 1, True, [entry("e1")])
    proxy.connect(control_plane, 0)
    now = settle(proxy, 0)
    heartbeats, last = [], now
    while now < 30 * TICKS_PER_SECOND:
        now = control_plane.streams[proxy.number].next_response_time(now) or now + TICKS_PER_SECOND
        response = control_plane.next_response(proxy.number, now)
        if response is not None:
            assert response.is_heartbeat and now - last <= 3 * TICKS_PER_SECOND // 2
            heartbeats.append(response)
            last = now
    assert 20 < len(heartbeats) < 40 and all(len(h.names) == 1 + len(TABLES) for h in heartbeats)


def test_obsolete_resources_are_removed_once_routes_are_acknowledged():
    control_plane, proxy = build_control_plane(), InMemoryProxy(DELTA, "p")
    control_plane.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(8)])
    proxy.connect(control_plane, 0)
    now = settle(proxy, 0)
    fewer = Placement(
        control_plane.placement.deployment, ["g0"], TABLES[:2], 2, ["old", "new"], ["dc", "far"]
    )

    class ChangedRoutes(JsonResources):
        def build_static(self, placement):
            return super().build_static(placement) | {RDS: {"g0": b"other routes"}}

    control_plane.change_settings(now, fewer, ChangedRoutes())
    order = []
    for _ in range(40):
        now += 600
        control_plane.tick(now)
        response = control_plane.next_response(proxy.number, now)
        if response is not None:
            order.append((response.resource_type, response.removed))
            entries = control_plane.catalog.resources[response.resource_type]
            proxy.unanswered.append(Received(response, {n: entries[n] for n in response.names}, 1))
            proxy.answer(now, False)
    types = [resource_type for resource_type, _ in order]
    removal = next(n for n, (resource_type, removed) in enumerate(order) if resource_type == CDS and removed)
    assert order[removal][1] == ("g0/3",) and types.index(RDS) < removal
    assert set(proxy.held[CDS]) == {"g0/0", "g0/1", "g0/2"} and control_plane.retirement is None


def test_node_rules_and_stream_limits():
    rules = NodeAccess((("edge-*", ("g0",)), ("ops", None)), max_streams=3, max_streams_per_node=1)
    control_plane = ControlPlane(
        build_placement([group(), group(kinds=frozenset([1]))]), JsonResources(), 2 * TICKS_PER_SECOND, rules
    )
    control_plane.apply_endpoint_event(
        0, 1, True, [entry(f"e{n}", kind=("old", "new")[n % 2]) for n in range(8)]
    )
    edge, ops = InMemoryProxy(DELTA, "edge-7"), InMemoryProxy(DELTA, "ops")
    for proxy in (edge, ops):
        proxy.connect(control_plane, 0)
        settle(proxy, 0)
    assert set(edge.held[LDS]) == {"g0"} and set(ops.held[LDS]) == {"g0", "g1"}
    assert all(name.startswith("g0/") for name in edge.held[CDS])
    with pytest.raises(StreamRejectedError, match="too many streams"):
        InMemoryProxy(SOTW, "edge-7").connect(control_plane, 0)
    for number in [n for n, s in control_plane.streams.items() if s.node is None]:
        control_plane.close_stream(number)
    with pytest.raises(StreamRejectedError, match="not known"):
        InMemoryProxy(SOTW, "stranger").connect(control_plane, 0)


def test_request_limits_end_a_stream():
    control_plane = build_control_plane()
    control_plane.apply_endpoint_event(0, 1, True, [entry("e1")])
    stream = control_plane.streams[control_plane.open_stream(0, SOTW)]
    with pytest.raises(StreamProtocolError, match="too many requests"):
        for n in range(MAX_REQUESTS_PER_WINDOW + 1):
            stream.receive(n // 1000, DiscoveryRequest(EDS, "", "stale", [f"x{n}"], "refused" * 1000))
    stream = control_plane.streams[control_plane.open_stream(0, DELTA)]
    with pytest.raises(StreamProtocolError, match="too many resource"):
        stream.receive(0, DeltaDiscoveryRequest(EDS, "", [f"x{n}" for n in range(20_000)], [], {}, None))
    with pytest.raises(StreamProtocolError, match="too long"):
        stream.receive(0, DeltaDiscoveryRequest(EDS, "", ["x" * 600], [], {}, None))


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
def test_any_requests_are_answered_or_end_the_stream(requests):
    control_plane = build_control_plane()
    control_plane.apply_endpoint_event(0, 1, True, [entry(f"e{n}") for n in range(5)])
    numbers, now = [control_plane.open_stream(0, SOTW), control_plane.open_stream(0, DELTA)], 0
    for resource_type, version, nonce, names, error, is_delta in requests:
        now += 300
        stream = control_plane.streams[numbers[is_delta]]
        if is_delta:
            stream.receive(
                now,
                DeltaDiscoveryRequest(
                    resource_type, nonce, names, names[:1], {name: version for name in names}, error
                ),
            )
        else:
            stream.receive(now, DiscoveryRequest(resource_type, version, nonce, names, error))
        for _ in range(20):
            if control_plane.next_response(stream.number, now) is None:
                break
        else:
            raise AssertionError("the stream keeps sending responses without any event")
        assert (stream.next_response_time(now) or now + 1) > now
