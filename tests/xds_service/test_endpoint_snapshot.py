"""The endpoint snapshot: endpoints that have drained, and limits on what a complete list removes."""

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
from xds_service.plain_proxy import entry


def test_drained_endpoint_is_ready_again_only_as_a_later_process():
    found, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry("e1"), entry("e2")], RemovalLimit())
    found, _ = apply_event(found, 5, 2, False, [entry("e1", EngineState.DRAINING)], RemovalLimit())
    assert found.endpoints["e1"].draining_since == 5 and [e.name for e in found.ready()] == ["e2"]
    for index, again in ((3, [entry("e1")]), (4, [entry("e1", EngineState.GONE)]), (5, [entry("e1")])):
        found, notes = apply_event(found, 9, index, False, again, RemovalLimit())
        assert [e.name for e in found.ready()] == ["e2"]
    assert [to_log_record(note) for note in notes] == [
        ("engine-not-taken-back", {"engine": "e1", "index": 5})
    ]
    found, _ = apply_event(found, 9, 6, False, [entry("e1", started=7)], RemovalLimit())
    assert sorted(e.name for e in found.ready()) == ["e1", "e2"]
    old, notes = apply_event(found, 9, 6, False, [entry("e2", EngineState.GONE)], RemovalLimit())
    assert old is found and to_log_record(notes[0]).name == "list-older"


@pytest.mark.parametrize(
    "what,left", [(ExcessAction.REMOVE, 1), (ExcessAction.HOLD, 10), (ExcessAction.REMOVE_IN_STEPS, 8)]
)
def test_complete_list_without_nine_tenths_of_the_endpoints_is_limited(what, left):
    floor = RemovalLimit(0.2, 1, what, 100)
    found, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(f"e{n}") for n in range(10)], floor)
    found, notes = apply_event(found, 0, 2, True, [entry("e0")], floor)
    assert len(found.ready()) == left and (notes != []) == (what != ExcessAction.REMOVE)
    counts = []
    for now in range(0, 1200, 100):
        found, _ = remove_overdue(found, now)
        counts.append(len(found.ready()))
    assert counts[-1] == 1 and (what != ExcessAction.REMOVE_IN_STEPS or counts[:5] == [8, 6, 4, 2, 1])
    # Named as draining it is taken at its word, however many.
    found, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(f"e{n}") for n in range(10)], floor)
    found, _ = apply_event(
        found, 0, 2, False, [entry(f"e{n}", EngineState.DRAINING) for n in range(9)], floor
    )
    assert len(found.ready()) == 1


def test_empty_list_is_held_until_a_list_names_the_endpoints_again():
    floor = RemovalLimit(1.0, 5, ExcessAction.HOLD, 100)
    found, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry("e1"), entry("e2")], floor)
    found, notes = apply_event(found, 0, 2, True, [], floor)
    assert len(found.ready()) == 2 and to_log_record(notes[0]).name == "list-past-floor"
    found, _ = apply_event(found, 50, 3, True, [entry("e1"), entry("e2")], floor)
    assert next_removal_time(found) is None and len(remove_overdue(found, 10_000)[0].ready()) == 2
