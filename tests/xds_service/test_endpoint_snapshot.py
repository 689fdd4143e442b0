"""The endpoint snapshot: drained endpoints, and limits on removals by a complete list."""

import pytest

from wickvane.events import EngineState
from wickvane.xds.endpoint_snapshot import (
    EndpointSnapshot,
    ExcessAction,
    RemovalLimit,
    apply_event,
    next_removal_time,
    remove_overdue,
)
from wickvane.xds.log_events import to_log_record
from xds_service.in_memory_proxy import entry


def test_drained_endpoint_is_ready_again_only_as_a_later_process():
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry("e1"), entry("e2")], RemovalLimit())
    snapshot, _ = apply_event(snapshot, 5, 2, False, [entry("e1", EngineState.DRAINING)], RemovalLimit())
    assert snapshot.endpoints["e1"].draining_since == 5 and [e.name for e in snapshot.ready()] == ["e2"]
    for index, entries in ((3, [entry("e1")]), (4, [entry("e1", EngineState.GONE)]), (5, [entry("e1")])):
        snapshot, events = apply_event(snapshot, 9, index, False, entries, RemovalLimit())
        assert [e.name for e in snapshot.ready()] == ["e2"]
    assert [to_log_record(event) for event in events] == [
        ("engine-not-taken-back", {"engine": "e1", "index": 5})
    ]
    snapshot, _ = apply_event(snapshot, 9, 6, False, [entry("e1", started=7)], RemovalLimit())
    assert sorted(e.name for e in snapshot.ready()) == ["e1", "e2"]
    old, events = apply_event(snapshot, 9, 6, False, [entry("e2", EngineState.GONE)], RemovalLimit())
    assert old is snapshot and to_log_record(events[0]).name == "list-older"


@pytest.mark.parametrize(
    "action,ready_count",
    [(ExcessAction.REMOVE, 1), (ExcessAction.HOLD, 10), (ExcessAction.REMOVE_IN_STEPS, 8)],
)
def test_complete_list_without_nine_tenths_of_the_endpoints_is_limited(action, ready_count):
    limit = RemovalLimit(0.2, 1, action, 100)
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(f"e{n}") for n in range(10)], limit)
    snapshot, events = apply_event(snapshot, 0, 2, True, [entry("e0")], limit)
    assert len(snapshot.ready()) == ready_count and (events != []) == (action != ExcessAction.REMOVE)
    counts = []
    for now in range(0, 1200, 100):
        snapshot, _ = remove_overdue(snapshot, now)
        counts.append(len(snapshot.ready()))
    assert counts[-1] == 1 and (action != ExcessAction.REMOVE_IN_STEPS or counts[:5] == [8, 6, 4, 2, 1])
    # Endpoints that an event lists as draining are removed without a limit.
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(f"e{n}") for n in range(10)], limit)
    snapshot, _ = apply_event(
        snapshot, 0, 2, False, [entry(f"e{n}", EngineState.DRAINING) for n in range(9)], limit
    )
    assert len(snapshot.ready()) == 1


def test_empty_list_is_held_until_a_list_names_the_endpoints_again():
    limit = RemovalLimit(1.0, 5, ExcessAction.HOLD, 100)
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry("e1"), entry("e2")], limit)
    snapshot, events = apply_event(snapshot, 0, 2, True, [], limit)
    assert len(snapshot.ready()) == 2 and to_log_record(events[0]).name == "list-past-floor"
    snapshot, _ = apply_event(snapshot, 50, 3, True, [entry("e1"), entry("e2")], limit)
    assert next_removal_time(snapshot) is None and len(remove_overdue(snapshot, 10_000)[0].ready()) == 2
