"""The quorum state, the partition and the divisor that are derived from a view."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cluster.helpers import address_of, make_membership, report, reports
from wickvane.cluster.member import FAILED, LEFT
from wickvane.cluster.quorum import (
    Partition,
    QuorumState,
    count_members,
    divisor,
    find_partition,
    find_quorum_state,
)
from wickvane.units import TICKS_PER_SECOND


@settings(max_examples=300, deadline=None)
@given(st.lists(reports, max_size=30), st.integers(0, 12))
def test_no_view_lowers_the_divisor_or_gives_two_majorities(received, configured):
    membership = make_membership()
    table = membership.table
    for n, (name, epoch, incarnation, state, reported_by) in enumerate(received):
        entry = report(name, epoch, address_of(name, epoch), incarnation, state, reported_by)
        membership.apply(n * 5 * TICKS_PER_SECOND, entry)
        running = sum(member.state not in (FAILED, LEFT) for member in table.members.values())
        known = {member.name for member in table.members.values() if member.state != LEFT}
        assert divisor(configured, table) >= max(1, configured, len(known))
        assert divisor(configured, table) >= running
        reachable, suspected, failed, _ = count_members(table)
        own = find_partition(configured, reachable, suspected, failed, True)
        # Two partitions that assume the same total are never both the majority.
        total = max(configured, reachable + suspected + failed)
        other = Partition.UNKNOWN
        if total > reachable:
            other = find_partition(configured, total - reachable, 0, reachable, True)
        assert (own, other) != (Partition.MAJORITY, Partition.MAJORITY)


@pytest.mark.parametrize(
    "figures, state, reasons",
    [
        ((5, 5, 0, 0, True, False, False, True), QuorumState.COMPLETE, []),
        ((5, 4, 0, 1, True, False, False, True), QuorumState.DEGRADED, ["failed", "missing"]),
        ((5, 4, 1, 0, True, False, False, True), QuorumState.DEGRADED, ["suspected"]),
        ((5, 1, 0, 4, None, False, False, True), QuorumState.ISOLATED, ["failed", "missing"]),
        ((1, 1, 0, 0, None, False, False, True), QuorumState.COMPLETE, []),
        ((5, 5, 0, 0, True, True, False, True), QuorumState.ISOLATED, ["unheard"]),
        ((5, 5, 0, 0, True, False, True, True), QuorumState.ISOLATED, ["name-taken"]),
        ((5, 5, 0, 0, False, False, False, True), QuorumState.DEGRADED, ["views-differ"]),
        ((5, 5, 0, 0, True, False, False, False), QuorumState.DEGRADED, ["not-settled"]),
    ],
)
def test_the_quorum_state_and_its_reasons(figures, state, reasons):
    assert find_quorum_state(*figures) == (state, reasons)


def test_the_values_shown_to_operators_stay_the_same():
    assert [state.value for state in QuorumState] == ["whole", "degraded", "alone"]
    assert [partition.value for partition in Partition] == ["larger", "smaller", "unknown"]
