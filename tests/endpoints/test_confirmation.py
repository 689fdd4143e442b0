"""Tests held changes: they are confirmed, expire, or are replaced."""

from endpoints.support import ListHarness, make_endpoints
from wickvane.units import TICKS_PER_SECOND


def test_a_large_removal_is_held_and_confirmed_once_and_a_restart_keeps_its_generation() -> None:
    harness = ListHarness().submit(make_endpoints(20))
    harness.submit(make_endpoints(2))
    assert len(harness.ready_names()) == 20 and harness.logged_codes("members-held") == [("share-removed",)]
    harness.submit(make_endpoints(2))
    assert len(harness.logged_codes("members-held")) == 1
    held = harness.held_generation
    restarted = harness.restart().submit(make_endpoints(2))
    assert restarted.held_generation == held and len(restarted.ready_names()) == 20
    assert not restarted.confirm(held + 1) and restarted.confirm(held)
    assert restarted.ready_names() == {"e0", "e1"} and not restarted.confirm(held)
    assert restarted.generation == held


def test_a_held_change_expires_or_is_replaced() -> None:
    harness = ListHarness(confirmation_timeout=10 * TICKS_PER_SECOND).submit(make_endpoints(20))
    harness.submit(make_endpoints(2))
    first = harness.held_generation
    harness.submit(make_endpoints(3))
    assert harness.held_generation != first and not harness.confirm(first)
    harness.submit(make_endpoints(20))
    assert harness.held_generation is None  # the document is the current list again
    harness.submit(make_endpoints(2))
    harness.advance_time(11 * TICKS_PER_SECOND)
    assert harness.held_generation is None and len(harness.ready_names()) == 20
