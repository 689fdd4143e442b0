"""Endpoint lists that are numbered anew: after a restart, and at instances that started at other times.

Each test names the failure that it guards against; `renumbered` is an instance whose first event has index 1.
"""

import pytest

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from wickvane.xds.endpoint_snapshot import (
    MAX_REMEMBERED_REMOVALS,
    Endpoint,
    EndpointSnapshot,
    ExcessAction,
    Removal,
    RemovalLimit,
    apply_event,
    as_baseline,
)
from wickvane.xds.log_events import to_log_record
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot
from xds_service.in_memory_proxy import DELTA, EDS, SOTW, InMemoryProxy, build_control_plane, entry, settle

DRAINING = EngineState.DRAINING
GONE = EngineState.GONE
BOTH = pytest.mark.parametrize("variant", [SOTW, DELTA])


def rows(*numbers, **options):
    return [entry(f"e{number}", **options) for number in numbers]


def instance(*events, **settings):
    """An instance that received these events, each as its entries, numbered from 1; the first is complete."""
    control_plane = build_control_plane(**settings)
    for index, entries in enumerate(events, 1):
        control_plane.apply_endpoint_event(0, index, index == 1, entries)
    return control_plane


def restarted(previous, *events, now=TICKS_PER_SECOND, **settings):
    """An instance that starts with the snapshot of another one, and then receives events numbered from 1."""
    control_plane = build_control_plane(**settings)
    control_plane.restore(now, decode_snapshot(encode_snapshot(previous.snapshot)))
    for index, entries in enumerate(events, 1):
        control_plane.apply_endpoint_event(now, index, index == 1, entries)
    return control_plane


def connected(control_plane, variant, now=0, proxy=None):
    """A proxy that has received all that an instance sends, and the time after it."""
    proxy = proxy or InMemoryProxy(variant, "p")
    proxy.connect(control_plane, now)
    return proxy, settle(proxy, now)


def ready_names(control_plane):
    return sorted(endpoint.name for endpoint in control_plane.snapshot.ready())


@BOTH
@pytest.mark.parametrize("epoch", ["0", "1"])
def test_drain_after_a_restart_reaches_proxies_although_its_number_is_lower(variant, epoch):
    """Guards against a snapshot's index that hides the list and the drains of the next numbering."""
    before = instance(rows(*range(8)), rows(8), rows(8, state=DRAINING), rows(8, state=GONE))
    proxy, now = connected(before, variant)
    after = restarted(before, rows(*range(8)), epoch=epoch)
    assert not after.snapshot.is_restored and after.snapshot.index == 1
    _, now = connected(after, variant, now, proxy)
    for index, number in ((2, 0), (3, 3)):
        after.apply_endpoint_event(now, index, False, rows(number, state=DRAINING))
        now = settle(proxy, now)
        assert f"e{number}" not in proxy.sends_to()
    after.apply_endpoint_event(now, 4, False, rows(*range(20, 40)))
    settle(proxy, now)
    assert proxy.sends_to() - {f"e{number}" for number in range(8)}


@BOTH
def test_drains_and_removals_during_a_stop_are_in_the_first_list_after_it(variant):
    """Guards against a first list that is ignored for its low number, although it has what was missed."""
    before = instance(rows(*range(6)), rows(6), rows(7), rows(8))
    proxy, now = connected(before, variant)
    first = [*rows(0, 2, 3, 4, 5, 6, 7), *rows(1, state=DRAINING), *rows(9)]
    after = restarted(before, first)
    assert ready_names(after) == ["e0", "e2", "e3", "e4", "e5", "e6", "e7", "e9"]
    connected(after, variant, now, proxy)
    assert not {"e1", "e8"} & proxy.sends_to()


def test_what_drained_before_a_restart_does_not_return_in_the_next_numbering():
    """Guards against a renumbered list, or one that lags, that restores what had drained or gone."""
    before = instance(rows(*range(6)), rows(1, state=DRAINING), rows(2, state=GONE))
    after = restarted(before, rows(*range(6)))
    assert ready_names(after) == ["e0", "e3", "e4", "e5"]
    after.apply_endpoint_event(0, 2, False, rows(1, 2, started=5))
    assert ready_names(after) == ["e0", "e1", "e2", "e3", "e4", "e5"]


@pytest.mark.parametrize("first", [[], rows(0)])
def test_empty_or_cut_first_list_after_a_restart_meets_the_floor(first):
    """Guards against a baseline that gives way to any first list."""
    limit = RemovalLimit(0.5, 1, ExcessAction.HOLD, 600_000)
    before = instance(rows(*range(6)), rows(6), removal_limit=limit)
    after = restarted(before, first, removal_limit=limit)
    assert len(after.snapshot.ready()) == 7
    assert "list-past-floor" in [to_log_record(event).name for event in after.take_log_events()]


@BOTH
def test_proxy_with_the_same_content_is_sent_nothing_after_a_restart(variant):
    """Guards against needless updates by versions that differ only in number and tombstones."""
    before = instance(rows(*range(6)), rows(6), rows(6, state=DRAINING), rows(6, state=GONE))
    proxy, now = connected(before, variant)
    for after in (restarted(before, rows(*range(6))), instance(rows(*range(6)))):
        proxy.connect(after, now)
        types = set()
        for step in range(20):
            if proxy.receive(now + 600 * step):
                types.add(proxy.unanswered[-1].response.resource_type)
                proxy.answer(now + 600 * step, False)
        now += 20 * 600
        assert EDS not in types


@BOTH
def test_instance_that_started_later_is_not_behind_one_with_higher_numbers(variant):
    """Guards against versions of a longer numbering that withhold the content and drains of a shorter one."""
    first = instance(
        rows(*range(8)),
        *(rows(number) for number in range(8, 20)),
        rows(8, state=DRAINING),
        rows(8, state=GONE),
    )
    proxy, now = connected(first, variant)
    later = instance(rows(*range(8), *range(9, 20)))
    _, now = connected(later, variant, now, proxy)
    assert not later.streams[proxy.number].status(now)["EDS"]["ahead"]
    drained = sorted(proxy.sends_to())[0]
    later.apply_endpoint_event(now, 2, False, [entry(drained, DRAINING)])
    now = settle(proxy, now)
    assert drained not in proxy.sends_to()
    assert proxy.held[EDS] == {n: e.body for n, e in later.catalog.resources[EDS].items()}


@BOTH
def test_lagging_instance_tells_other_drains_and_engines_but_restores_nothing(variant):
    """Guards against a drain that waits until the instance has caught up, and against the drained engine."""
    ahead = instance(rows(*range(5)), rows(5), rows(6), rows(0, state=DRAINING), rows(1, state=GONE))
    proxy, now = connected(ahead, variant)
    lagging = instance(rows(*range(7)))
    _, now = connected(lagging, variant, now, proxy)
    assert lagging.streams[proxy.number].status(now)["EDS"]["ahead"]
    assert not {"e0", "e1"} & proxy.sends_to()
    lagging.apply_endpoint_event(now, 2, False, rows(2, state=DRAINING))
    now = settle(proxy, now)
    assert proxy.sends_to() == {"e3", "e4", "e5", "e6"}
    lagging.apply_endpoint_event(now, 3, False, rows(7))
    now = settle(proxy, now)
    assert proxy.sends_to() == {"e3", "e4", "e5", "e6", "e7"}
    lagging.apply_endpoint_event(now, 4, False, rows(0, state=DRAINING))
    now = settle(proxy, now)
    assert lagging.streams[proxy.number].status(now)["EDS"]["ahead"]
    lagging.apply_endpoint_event(now, 5, False, rows(1, state=GONE))
    now = settle(proxy, now)
    assert not lagging.streams[proxy.number].status(now)["EDS"]["ahead"]
    assert proxy.held[EDS] == {n: e.body for n, e in lagging.catalog.resources[EDS].items()}
    names = [to_log_record(event).name for event in lagging.take_log_events()]
    assert names.count("proxy-ahead") == names.count("proxy-caught-up-with") == 1


@BOTH
def test_drain_of_an_engine_that_only_a_view_places_is_sent_at_once(variant):
    """Guards against a drain that changes no cluster of the catalog, but one that an ahead proxy was sent."""
    numbers = range(12)
    ahead = instance(rows(*numbers))
    first = [placed.name for placed in ahead.placement.endpoints_of("g0/1")]
    ahead.apply_endpoint_event(0, 2, False, [entry(first[0], DRAINING)])
    proxy, now = connected(ahead, variant)
    lagging = instance(rows(*numbers))
    _, now = connected(lagging, variant, now, proxy)
    held = {placed.name for placed in lagging.placement.place("g0/1", {first[0]})}
    (extra,) = held - {placed.name for placed in lagging.placement.endpoints_of("g0/1")}
    generation = lagging.catalog.generation
    lagging.apply_endpoint_event(now, 2, False, [entry(extra, DRAINING)])
    response = lagging.next_response(proxy.number, now)
    assert response.is_drain and "g0/1" in response.names and lagging.catalog.generation > generation


@BOTH
def test_proxy_that_knows_all_engines_of_a_lagging_list_to_have_drained_keeps_what_it_holds(variant):
    """Guards against an empty cluster while an instance lags behind a complete replacement."""
    ahead = instance(rows(0, 1, 2), rows(3, 4, 5), rows(0, 1, 2, state=DRAINING))
    proxy, now = connected(ahead, variant)
    lagging = instance(rows(0, 1, 2))
    _, now = connected(lagging, variant, now, proxy)
    assert proxy.sends_to() == {"e3", "e4", "e5"}
    # A drain that the proxy was not told reaches it even so.
    lagging.apply_endpoint_event(now, 2, False, rows(4, state=DRAINING))
    now = settle(proxy, now)
    assert "e4" not in proxy.sends_to()
    lagging.apply_endpoint_event(now, 3, False, rows(3, 5))
    settle(proxy, now)
    assert proxy.sends_to() == {"e3", "e5"}


@BOTH
def test_what_a_proxy_knows_is_passed_on_through_an_instance_that_never_knew_it(variant):
    """Guards against tombstones that are lost when a proxy moves on to a third instance."""
    ahead = instance(rows(*range(6)), rows(0, state=GONE))
    proxy, now = connected(ahead, variant)
    later = instance(rows(*range(1, 7)))
    _, now = connected(later, variant, now, proxy)
    assert "e6" in proxy.sends_to()
    lagging = instance(rows(*range(6)))
    _, now = connected(lagging, variant, now, proxy)
    assert "e0" not in proxy.sends_to() and lagging.streams[proxy.number].status(now)["EDS"]["ahead"]


@BOTH
def test_later_process_of_a_drained_engine_is_sent_but_the_earlier_one_is_not(variant):
    """Guards against a lagging list that gives a restarted engine back its full weight."""
    started = 1_000
    ahead = instance(rows(*range(6)), rows(0, started=started))
    proxy, now = connected(ahead, variant)
    assert "e0" in proxy.sends_to()
    lagging = instance(rows(*range(6)))
    _, now = connected(lagging, variant, now, proxy)
    assert "e0" not in proxy.sends_to()
    lagging.apply_endpoint_event(now, 2, False, rows(0, started=started))
    settle(proxy, now)
    assert "e0" in proxy.sends_to()


@BOTH
def test_drain_listed_without_a_start_holds_for_the_process_that_was_known(variant):
    """Guards against a lagging list that has the drained process with its start, by a drain without one."""
    ahead = instance(rows(*range(6)), rows(0, started=1_000), rows(0, state=DRAINING))
    proxy, now = connected(ahead, variant)
    lagging = instance([*rows(0, started=1_000), *rows(1, 2, 3, 4, 5)])
    connected(lagging, variant, now, proxy)
    assert "e0" not in proxy.sends_to()


def test_list_that_tells_its_past_after_a_restart_ends_with_its_newest_state():
    """Guards against the past of a list, told anew, that keeps out an engine's present process."""
    history = [rows(*range(4)), rows(0, state=DRAINING), rows(0, state=GONE), rows(0, started=1_000)]
    before = instance(*history)
    after = restarted(before, *history)
    assert ready_names(after) == ["e0", "e1", "e2", "e3"]
    assert after.snapshot.endpoints["e0"].started_at == 1_000 * TICKS_PER_MILLISECOND


@BOTH
def test_first_list_that_lags_behind_an_engines_restart_does_not_make_its_process_an_old_one(variant):
    """Guards against a cold engine at full weight, and its ended process, by a list from before its start."""
    before = instance(rows(*range(4)), rows(0, state=DRAINING), rows(0, started=1_000))
    after = restarted(before, rows(*range(4)))
    assert after.snapshot.endpoints["e0"].started_at == 1_000 * TICKS_PER_MILLISECOND
    assert after.snapshot.removed["e0"].started_at == 0
    proxy, now = connected(after, variant)
    # The list catches up step by step; a drain takes effect at once, of whichever process it tells.
    after.apply_endpoint_event(now, 2, False, rows(0, state=DRAINING))
    now = settle(proxy, now)
    assert "e0" not in proxy.sends_to()
    after.apply_endpoint_event(now, 3, False, rows(0, started=1_000))
    now = settle(proxy, now)
    assert "e0" in proxy.sends_to() and not after.snapshot.lagging
    after.apply_endpoint_event(now, 4, False, rows(0, state=DRAINING))
    after.apply_endpoint_event(now, 5, False, rows(0, started=1_000))
    settle(proxy, now)
    assert "e0" not in proxy.sends_to()


def test_later_start_under_a_known_name_during_a_stop_is_taken_and_the_earlier_one_stays_out():
    """Guards against an engine that was replaced while the service was down and counts as the old one."""
    before = instance(rows(*range(4)), rows(1, state=DRAINING))
    after = restarted(before, [*rows(0, 1, started=2_000), *rows(2, 3)])
    assert ready_names(after) == ["e0", "e1", "e2", "e3"]
    assert {name: removal.started_at for name, removal in after.snapshot.removed.items()} == {
        "e0": 0,
        "e1": 0,
    }
    after.apply_endpoint_event(0, 2, False, rows(0, 1))
    assert after.snapshot.endpoints["e0"].started_at == 2_000 * TICKS_PER_MILLISECOND


def test_oldest_removals_are_forgotten_first_across_numberings():
    """Guards against new removals that are forgotten for their low numbers, while old ones stay."""
    old = {f"e{number}": Removal(1_000 + number, 0) for number in range(MAX_REMEMBERED_REMOVALS)}
    stored = EndpointSnapshot(9_999, removed=EndpointSnapshot().removed.update(old))
    snapshot, _ = apply_event(as_baseline(stored), 0, 1, True, rows(5_000, 5_001), RemovalLimit())
    snapshot, _ = apply_event(snapshot, 0, 2, False, rows(5_000, state=GONE), RemovalLimit())
    assert "e5000" in snapshot.removed and "e0" not in snapshot.removed and "e1" in snapshot.removed
    assert len(snapshot.removed) == MAX_REMEMBERED_REMOVALS


@BOTH
def test_draining_endpoints_of_an_old_snapshot_are_published_as_such(variant):
    """Guards against snapshots of earlier versions, in which an engine that drains has no removal yet."""
    before = instance(rows(*range(6)))
    endpoint = Endpoint("e6", ("127.0.0.1", 1), DRAINING, "dc", "old", 0, 70, 1.0, 9, 1)
    before.snapshot = before.snapshot._replace(
        endpoints=before.snapshot.endpoints.set("e6", endpoint), index=9
    )
    ahead = restarted(before, rows(*range(6)))
    proxy, now = connected(ahead, variant)
    lagging = instance([*rows(*range(6)), *rows(6, started=7)])
    connected(lagging, variant, now, proxy)
    assert "e6" not in proxy.sends_to()


@BOTH
def test_tombstones_concern_only_the_proxy_that_holds_them(variant):
    """Guards against a proxy whose versions take engines from others, be they forged."""
    lagging = instance(rows(*range(6)))
    forged = InMemoryProxy(variant, "forged")
    ahead = instance(rows(*range(6)), rows(*range(5), state=GONE))
    _, now = connected(ahead, variant, 0, forged)
    connected(lagging, variant, now, forged)
    other, _ = connected(lagging, variant, now)
    assert other.sends_to() == {f"e{number}" for number in range(6)}
    assert forged.sends_to() == {"e5"}


def test_heartbeats_go_on_while_an_instance_lags_behind_a_proxy():
    """Guards against endpoints whose time to live ends because their proxy is ahead."""
    ahead = instance(rows(*range(6)), rows(0, state=DRAINING), ttl=3 * TICKS_PER_SECOND)
    proxy, now = connected(ahead, DELTA)
    lagging = instance(rows(*range(7)), ttl=3 * TICKS_PER_SECOND)
    _, now = connected(lagging, DELTA, now, proxy)
    response = lagging.next_response(proxy.number, now + 2 * TICKS_PER_SECOND)
    assert response.is_heartbeat and lagging.streams[proxy.number].status(now)["EDS"]["ahead"]
