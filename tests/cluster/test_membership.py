"""The membership rules against a simple reference model, and the rules about names, addresses and
restarts."""

from functools import reduce
from operator import xor
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from cluster.helpers import (
    ADDRESSES,
    LOCAL_EPOCH,
    address_of,
    ignore_event,
    make_membership,
    report,
    reports,
)
from wickvane.cluster.gossip import GossipEntry
from wickvane.cluster.member import (
    ALIVE,
    BUCKET_COUNT,
    FAILED,
    JOINING,
    LEFT,
    SUSPECT,
    Member,
    MemberId,
    MemberState,
    member_hash,
)
from wickvane.cluster.member_table import MemberTable
from wickvane.cluster.membership import MAX_MEMBERS_PER_NAME, Membership
from wickvane.rehearsal.peers import fill
from wickvane.units import TICKS_PER_SECOND


def rank(incarnation: int, state: MemberState) -> tuple[bool, int, MemberState]:
    """Returns the key by which reports about one member are ordered."""
    return state == LEFT, incarnation, state


class ReferenceModel:
    """A reference model that keeps all reports: the highest report of each member wins.

    Addresses are distinct, so that no member replaces another, and no member sends its own datagrams."""

    def __init__(self):
        self.reports: dict[MemberId, list[tuple[int, MemberState]]] = {}

    def apply(self, name: str, epoch: int, incarnation: int, state: MemberState) -> None:
        self.reports.setdefault(MemberId(name, epoch), []).append((incarnation, state))

    def highest(self, member_id: MemberId) -> tuple[int, MemberState]:
        return max(self.reports[member_id], key=lambda report: rank(*report))

    def view(self) -> set[tuple[str, int]]:
        running = [id for id in self.reports if self.highest(id)[1] in (ALIVE, SUSPECT)]
        return {(name, min(epoch for other, epoch in running if other == name)) for name, _ in running}


@settings(max_examples=400, deadline=None)
@given(st.lists(reports, max_size=40))
def test_the_highest_report_of_each_member_wins_as_in_the_reference_model(received):
    membership = make_membership()
    model = ReferenceModel()
    now = 0
    table = membership.table
    for name, epoch, incarnation, state, reported_by in received:
        # The interval is long enough that other members' verdicts are accepted: a suspicion is old, and no
        # datagram has arrived from its member since.
        now += 10 * TICKS_PER_SECOND
        member = table.members.get((name, epoch))
        is_accepted = state != FAILED or member is None or member.state in (SUSPECT, FAILED, LEFT)
        membership.apply(now, report(name, epoch, address_of(name, epoch), incarnation, state, reported_by))
        model.apply(name, epoch, incarnation, state if is_accepted else SUSPECT)
        for member_id in model.reports:
            member = table.members[member_id]
            assert (member.incarnation, member.state) == model.highest(member_id)
        in_view = {member.id for member in table.view.members()}
        assert in_view == model.view()
        assert table.view.digest == reduce(xor, (member_hash(*id) for id in in_view), 0)
        assert set(table.living) == {m for m in table.members.values() if m.state < FAILED}
        assert len(table.living) == len(set(table.living))
        assert table.dead == {m for m in table.members.values() if m.state >= FAILED}
        assert table.digest.sums == sums_of(table)


def sums_of(table: MemberTable) -> list[int]:
    """Returns the sums of the digest, computed from all members."""
    sums = [0] * BUCKET_COUNT
    for member in table.members.values():
        if member.state < FAILED:
            sums[member.bucket] ^= member_hash(member.name, member.epoch, member.incarnation) & 0xFFFFFFFF
    return sums


@settings(max_examples=300, deadline=None)
@given(
    st.lists(reports.filter(lambda received: received[3] != FAILED), max_size=25),
    st.randoms(use_true_random=False),
)
def test_reports_converge_in_any_order_and_with_repetitions(received, random: Random):
    first = make_membership()
    second = make_membership()
    shuffled = received + random.choices(received, k=len(received)) if received else []
    random.shuffle(shuffled)
    for membership, order in ((first, received), (second, shuffled)):
        for name, epoch, incarnation, state, reported_by in order:
            entry = report(name, epoch, address_of(name, epoch), incarnation, state, reported_by)
            membership.apply(TICKS_PER_SECOND, entry)
    assert (
        first.table.view.digest == second.table.view.digest
        and first.table.digest.sums == second.table.digest.sums
    )
    assert {id: (member.incarnation, member.state) for id, member in first.table.members.items()} == {
        id: (member.incarnation, member.state) for id, member in second.table.members.items()
    }


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(reports, st.sampled_from(ADDRESSES), st.booleans(), st.integers(0, 30 * TICKS_PER_SECOND)),
        max_size=60,
    )
)
def test_a_dead_member_becomes_living_only_by_a_higher_report(received):
    """Members also replace each other, are removed or send datagrams; the table stays within its bounds."""
    membership = make_membership(capacity=12, tombstone_after=60 * TICKS_PER_SECOND)
    now = 0
    dead = {}
    for (name, epoch, incarnation, state, reported_by), address, direct, wait in received:
        now += wait
        membership.expire(now)
        membership.apply(now, report(name, epoch, address, incarnation, state, reported_by), direct)
        member = membership.table.members.get((name, epoch))
        if direct and member is not None:
            member.last_contact_at = now
        check_dead(membership.table, dead)
        check_bounds(membership.table)


def check_dead(table: MemberTable, dead: dict[MemberId, tuple]) -> None:
    """Checks that dead members stay dead. dead: the highest report in which each member was dead."""
    for id, member in table.members.items():
        report_rank = rank(member.incarnation, member.state)
        assert id not in dead or member.state >= FAILED or report_rank > dead[id], (id, report_rank)
        if member.state >= FAILED:
            dead[id] = max(dead.get(id, report_rank), report_rank)
    for id in dead:
        if id not in table.members:
            assert table.tombstones[id.name] >= id.epoch


def check_bounds(table: MemberTable) -> None:
    """Checks the bounds and indexes of a table with a capacity of twelve."""
    assert len(table.members) <= 12 and all(len(m) <= MAX_MEMBERS_PER_NAME for m in table.by_name.values())
    assert table.local.state == JOINING and table.members["me", LOCAL_EPOCH] is table.local
    assert set(table.gossip.transmissions) <= set(table.members.values())
    suspected = {member for member in table.members.values() if member.suspected_by}
    assert suspected == {member for member in table.members.values() if member.state == SUSPECT}


def test_the_local_member_refutes_and_replaces_its_former_runs():
    membership = make_membership()
    table = membership.table
    local = membership.table.local
    membership.apply(1, report("me", LOCAL_EPOCH, "1.0.0.9:1", 4, FAILED, "a"))
    assert (local.incarnation, local.state) == (5, JOINING) and table.gossip.transmissions[local] == 0
    membership.apply(2, report("me", LOCAL_EPOCH - 7, "1.0.0.9:1", 9, ALIVE))
    assert table.members["me", LOCAL_EPOCH - 7].state == LEFT and not membership.is_name_taken()
    # The clock was set back: a former run, at the address that only this dispatcher has, has a later epoch.
    membership.apply(3, report("me", LOCAL_EPOCH + 7, "1.0.0.9:1", 2, ALIVE))
    assert local.epoch == LOCAL_EPOCH + 8 and ("me", LOCAL_EPOCH) not in table.members
    assert table.members["me", LOCAL_EPOCH + 8] is local
    # An operator marked this dispatcher as left while it runs: it starts a new epoch, since `left` is final.
    membership.apply(4, report("me", LOCAL_EPOCH + 8, "1.0.0.9:1", 0, LEFT, "a"))
    assert local.epoch == LOCAL_EPOCH + 9


def test_the_earlier_of_two_members_at_different_addresses_holds_the_name_until_it_is_dead():
    membership = make_membership()
    table = membership.table
    membership.apply(1, report("a", 5, "x:1", 0, ALIVE))
    membership.apply(2, report("a", 9, "y:1", 0, ALIVE))
    assert table.view.find_holder("a").epoch == 5
    membership.apply(3, report("a", 5, "x:1", 0, SUSPECT, "b"))
    membership.apply(3 + 9 * TICKS_PER_SECOND, report("a", 5, "x:1", 0, FAILED, "b"))
    assert table.view.find_holder("a").epoch == 9
    # The member had not failed but was cut off.
    membership.apply(20 * TICKS_PER_SECOND, report("a", 5, "x:1", 1, ALIVE))
    assert table.view.find_holder("a").epoch == 5
    # At the same address the later member replaces the earlier one at once.
    membership.apply(21 * TICKS_PER_SECOND, report("a", 6, "x:1", 0, ALIVE))
    assert table.view.find_holder("a").epoch == 6 and table.members["a", 5].state == LEFT
    membership = make_membership()
    membership.transition(1, membership.table.local, 0, ALIVE, "")
    membership.apply(2, report("me", LOCAL_EPOCH - 1, "elsewhere:1", 0, ALIVE))
    holder = membership.table.view.find_holder("me")
    assert membership.is_name_taken() and holder.epoch == LOCAL_EPOCH - 1


def test_a_failure_by_gossip_is_only_a_suspicion_without_an_earlier_one_or_after_recent_contact():
    membership = make_membership()
    member = membership.apply(1, report("a", 1, "x:1", 0, ALIVE))
    membership.apply(2, report("a", 1, "x:1", 0, FAILED, "b"))
    assert member.state == SUSPECT
    member.last_contact_at = 10 * TICKS_PER_SECOND
    membership.apply(11 * TICKS_PER_SECOND, report("a", 1, "x:1", 0, FAILED, "c"))
    assert member.state == SUSPECT
    membership.apply(30 * TICKS_PER_SECOND, report("a", 1, "x:1", 0, FAILED, "c"))
    assert member.state == FAILED


def test_no_report_adds_a_removed_member_again():
    """A regression test: commit c5b2902 added removed members again. First found by
    test_a_dead_member_becomes_living_only_by_a_higher_report."""
    membership = make_membership(tombstone_after=60 * TICKS_PER_SECOND)
    membership.apply(0, report("a", 3, "x:1", 1, LEFT, "a"))
    membership.expire(61 * TICKS_PER_SECOND)
    assert ("a", 3) not in membership.table.members and membership.table.tombstones["a"] == 3
    for incarnation, state in ((0, FAILED), (3, SUSPECT), (2, LEFT), (3, ALIVE)):
        entry = report("a", 3, "x:1", incarnation, state, "b")
        assert membership.apply(62 * TICKS_PER_SECOND, entry) is None
        assert ("a", 3) not in membership.table.members


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(1, 200), max_size=120))
def test_each_datagram_counter_is_accepted_once(counters):
    membership = make_membership()
    accepted = set()
    highest = 0
    member = membership.apply(1, report("a", 1, "x:1", 0, ALIVE))
    for counter in counters:
        is_new = counter not in accepted and (counter > highest or highest - counter < 64)
        assert member.accept_counter(counter) == is_new
        if is_new:
            accepted.add(counter)
            highest = max(highest, counter)


def fields_of(member: Member) -> dict:
    """Returns all fields of a member."""
    return {name: getattr(member, name) for name in Member.__slots__}


def snapshot(table: MemberTable) -> dict:
    """Returns the contents of a table, with members as their fields or slots."""
    return {
        "members": {id: fields_of(member) for id, member in table.members.items()},
        "by_name": {name: [member.slot for member in members] for name, members in table.by_name.items()},
        "living": [member.slot for member in table.living],
        "dead": {member.slot for member in table.dead},
        "local": table.local.slot,
        "capacity": table.capacity,
        "tombstones": table.tombstones,
        "sums": table.digest.sums,
        "digest": table.digest.encode(),
        "in view": [member.slot for member in table.view.members()],
        "view": (table.view.digest, table.view.number, table.view.highest_number),
        "gossip": table.gossip.transmissions,
        "queues": table.gossip._by_transmissions,
        "slots": (table._free_slots, table._slot_count),
    }


def test_filled_tables_equal_tables_that_received_all_reports():
    receiving, filled = (
        [Membership(0, f"n{n}", 7 + n, f"{n}:1", 64, TICKS_PER_SECOND, ignore_event) for n in range(9)]
        for _ in range(2)
    )
    fill([membership.table for membership in filled])
    for receiver in receiving:
        receiver.transition(0, receiver.table.local, 0, ALIVE, "")
        for other in receiving:
            if other is not receiver:
                local = other.table.local
                receiver.apply(0, GossipEntry(local.name, local.epoch, local.address, 0, ALIVE, ""))
        for member in list(receiver.table.gossip.transmissions):
            receiver.table.gossip.remove(member)
        receiver.table.view.number = 10
    for expected, actual in zip(receiving, filled):
        assert vars(expected).keys() == vars(actual).keys()
        assert expected.dropped_when_full == actual.dropped_when_full
        assert snapshot(expected.table) == snapshot(actual.table)
