"""The escrow searched through: every interleaving of a small fleet, with datagrams lost, doubled and late,
standstills, restarts and clocks that differ. A mutation of each guard must break it.

Two holders request units, and the lessor of two units grants to either. After each step the units that all
may spend are compared with those that there are, also over any window: what was spendable in the last window
by one and is spendable now by another is a unit too much. Spending is taken to happen whenever it may.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import escrow
from wickvane.quotas.escrow import Escrow

OWNED, RESERVED, TERM, WINDOW = 2, 1, 3, 1
HORIZON, WIRE_MOST, STATES_MOST = 9, 3, 400_000
LESSOR = "owner"


class Datagram(NamedTuple):
    """Between the lessor and one holder; requested_at: by the holder's clock, 0 in a release."""

    kind: str
    holder: int
    number: int
    requested_at: int
    incarnation: int
    units: int = 0


class State:
    """Clocks by program, the lessor first; datagrams under way; what was spendable by whom in the window that
    ends now, a tick at a time; how often each kind of fault may still happen."""

    def __init__(self) -> None:
        self.clocks = [100, 200, 300]
        self.time = 0
        self.lessor = fresh_lessor(self.clocks[0] - 50)
        self.holders = [fresh_holder(self.clocks[1]), fresh_holder(self.clocks[2])]
        self.incarnations = [0, 0]
        self.wire: tuple[Datagram, ...] = ()
        self.spendable_lately: tuple[tuple[int, ...], ...] = ()
        self.standstills = 1
        self.duplicates = 1
        self.restarts = 1
        # What the lessor's former incarnation could spend at its end, and when that was.
        self.former_spendable = 0
        self.restarted_at = -WINDOW

    def key(self) -> tuple:
        """What distinguishes two states, by times that are relative to each clock."""
        holders = (escrow_key(h, self.clocks[n + 1]) for n, h in enumerate(self.holders))
        return (
            self.time,
            escrow_key(self.lessor, self.clocks[0]),
            *holders,
            tuple(sorted(datagram_key(datagram, self.clocks) for datagram in self.wire)),
            self.spendable_lately,
            former_spendable(self),
            self.standstills,
            self.duplicates,
            self.restarts,
            tuple(self.incarnations),
        )


def escrow_key(one: Escrow, now: int) -> tuple:
    """What distinguishes two escrows, by times that are relative to a clock."""
    return (
        tuple(sorted((k, lease.units, max(lease.expires_at - now, -1)) for k, lease in one.granted.items())),
        tuple(sorted((units, at - now) for units, at in one.released if at > now)),
        tuple(sorted(one.fenced.items())),
        max(one.recovered_at - now, 0),
        one.last_number,
        tuple(
            sorted((n, lessor, first - now, last - now) for n, (lessor, first, last) in one.requests.items())
        ),
        tuple(
            sorted(
                (n, lessor, units, begins - now, ends - now)
                for n, (lessor, units, begins, ends) in one.held.items()
            )
        ),
    )


def datagram_key(datagram: Datagram, clocks: list[int]) -> tuple:
    """What distinguishes two datagrams."""
    if datagram.kind == "release":
        return datagram
    return datagram._replace(requested_at=datagram.requested_at - clocks[datagram.holder + 1])


def fresh_lessor(now: int) -> Escrow:
    return Escrow(now, OWNED, RESERVED, TERM, WINDOW, drift_permille=0, usable_at_once=False)


def fresh_holder(now: int) -> Escrow:
    return Escrow(now, 0, 0, TERM, WINDOW, drift_permille=0)


def copy_of(one: Escrow) -> Escrow:
    made = Escrow.__new__(Escrow)
    made.__dict__ = {k: v.copy() if isinstance(v, dict | list) else v for k, v in one.__dict__.items()}
    return made


def copy_of_state(state: State) -> State:
    made = State.__new__(State)
    made.__dict__ = dict(state.__dict__)
    made.clocks = list(state.clocks)
    made.incarnations = list(state.incarnations)
    made.lessor = copy_of(state.lessor)
    made.holders = [copy_of(holder) for holder in state.holders]
    return made


def spendable(state: State) -> tuple[int, ...]:
    """Units that each may spend now, the lessor first."""
    return (
        state.lessor.own_usable_units(state.clocks[0]),
        *(holder.usable_units(state.clocks[n + 1]) for n, holder in enumerate(state.holders)),
    )


def former_spendable(state: State) -> int:
    """What the lessor's former incarnation could spend in a window that is not over."""
    return state.former_spendable if state.time - state.restarted_at < WINDOW else 0


def overspent(state: State) -> bool:
    """Whether more is spent in a window that ends now than there is: each by its most within it."""
    units = [spendable(state), *state.spendable_lately]
    return sum(max(column) for column in zip(*units)) + former_spendable(state) > OWNED


def ticks(state: State) -> Iterator[State]:
    """A tick; once, a holder's clock stands while the lessor's goes on."""
    if state.time >= HORIZON:
        return
    for slow in (None, 0, 1) if state.standstills else (None,):
        s = copy_of_state(state)
        s.spendable_lately = (spendable(state),)[:WINDOW]
        s.time += 1
        for n in range(3):
            s.clocks[n] += slow is None or n != slow + 1
        s.standstills -= slow is not None
        yield s


def actions_of_holder(state: State, n: int) -> Iterator[State]:
    """A holder requests, renews or releases."""
    holder = state.holders[n]
    now = state.clocks[n + 1]
    incarnation = state.incarnations[n]
    if len(state.wire) >= WIRE_MOST:
        return
    if not holder.requests:
        s = copy_of_state(state)
        number = s.holders[n].request(now, LESSOR)
        s.wire += (Datagram("request", n, number, now, incarnation),)
        yield s
    for number in holder.held:
        s = copy_of_state(state)
        if s.holders[n].renew(now, number):
            s.wire += (Datagram("request", n, number, now, incarnation),)
            yield s
        s = copy_of_state(state)
        s.holders[n].release(now, number)
        s.wire += (Datagram("release", n, number, 0, incarnation),)
        yield s


def deliver(s: State, datagram: Datagram) -> None:
    """A datagram arrives at the lessor, or at the incarnation that it is for."""
    kind, n, number, requested_at, incarnation, _ = datagram
    if kind == "request":
        units = s.lessor.grant(s.clocks[0], (n, incarnation), number, 2 - n, 0)
        if units and len(s.wire) < WIRE_MOST:
            s.wire += (Datagram("grant", n, number, requested_at, incarnation, units),)
    elif kind == "release":
        s.lessor.accept_release(s.clocks[0], (n, incarnation), number)
    elif incarnation == s.incarnations[n]:
        s.holders[n].accept_grant(s.clocks[n + 1], LESSOR, number, datagram.units, requested_at)


def deliveries(state: State) -> Iterator[State]:
    """Each datagram arrives, arrives and stays under way, or is lost."""
    for k, datagram in enumerate(state.wire):
        without = state.wire[:k] + state.wire[k + 1 :]
        for duplicated in (False, True) if state.duplicates else (False,):
            s = copy_of_state(state)
            if not duplicated:
                s.wire = without
            s.duplicates -= duplicated
            deliver(s, datagram)
            yield s
        s = copy_of_state(state)
        s.wire = without  # lost
        yield s


def restarts(state: State) -> Iterator[State]:
    """The lessor, or the first holder, starts over."""
    if not state.restarts:
        return
    s = copy_of_state(state)
    s.restarts -= 1
    s.former_spendable = spendable(s)[0]
    s.restarted_at = s.time
    s.spendable_lately = tuple((0, *row[1:]) for row in s.spendable_lately)
    s.lessor = fresh_lessor(s.clocks[0])
    yield s
    s = copy_of_state(state)
    s.restarts -= 1
    s.holders[0] = fresh_holder(s.clocks[1])
    s.incarnations[0] += 1
    yield s


def steps(state: State) -> Iterator[State]:
    """All states that one step leads to."""
    yield from ticks(state)
    for n in range(len(state.holders)):
        yield from actions_of_holder(state, n)
    yield from deliveries(state)
    yield from restarts(state)


def search(most: int = STATES_MOST) -> tuple[State | None, int]:
    """(a state in which more may be spent than there is, or None; number of states seen)"""
    first = State()
    seen = {first.key()}
    frontier = [first]
    while frontier and len(seen) < most:
        following = []
        for state in frontier:
            for found in steps(state):
                key = found.key()
                if key in seen:
                    continue
                seen.add(key)
                if overspent(found):
                    return found, len(seen)
                following.append(found)
        frontier = following
    return None, len(seen)


def test_no_interleaving_lets_more_be_spent_than_there_is():
    found, seen = search(45_000)
    print(f"{seen} states")
    assert found is None and seen >= 45_000


SOURCE = Path(escrow.__file__).read_text()
IDENTITY_GUARD = """\
        if request is None or request.lessor != lessor or units <= 0:
            return False
        if not request.first_requested_at <= requested_at <= request.last_requested_at:
            return False
"""
MUTATIONS = {
    "the lessor waits no window": (
        "expires_at = now + self.term + self.grace_period + self.rate_window",
        "expires_at = now + self.term + self.grace_period",
    ),
    "the lessor waits no grace": (
        "self.grace_period = term * drift_permille // 1000 + 1",
        "self.grace_period = 0",
    ),
    "the holder counts from the grant": (
        "expires_at = requested_at + self.term",
        "expires_at = now + self.term",
    ),
    "the holder uses it at once": (
        "units, now + self.rate_window, expires_at",
        "units, now, expires_at",
    ),
    "the lessor uses it at once": (
        "self.released.append(ReleasedUnits(lease.units, now + self.rate_window))",
        "self.released.append(ReleasedUnits(lease.units, now))",
    ),
    "a new incarnation uses all": (
        "self.recovered_at = now + self.term + self.grace_period + rate_window",
        "self.recovered_at = now",
    ),
    "a new incarnation spends at once": (
        "self.usable_from = now if usable_at_once else now + rate_window",
        "self.usable_from = now",
    ),
    "a released lease is granted again": (
        IDENTITY_GUARD,
        "        if units <= 0:\n            return False\n",
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_of_each_guard_is_caught(name, monkeypatch):
    before, after = MUTATIONS[name]
    assert SOURCE.count(before) == 1
    made = {"__name__": "mutated_escrow"}
    exec(compile(SOURCE.replace(before, after), name, "exec"), made)
    monkeypatch.setitem(globals(), "Escrow", made["Escrow"])
    found, _ = search()
    assert found is not None


def test_a_lease_is_requested_used_renewed_and_released():
    lessor, holder = Escrow(-1000, 10, 4, 100, 10), Escrow(0, 2, 2, 100, 10)
    assert lessor.own_usable_units(0) == 10 and holder.usable_units(0) == 2
    n = holder.request(0, "a")
    # Its own need stays.
    assert lessor.grant(1, ("b", 1), n, 8, 5) == 5 and lessor.own_usable_units(1) == 5
    # The same request, the same answer.
    assert lessor.grant(2, ("b", 1), n, 8, 0) == 5 and lessor.own_usable_units(2) == 5
    assert holder.accept_grant(3, "a", n, 5, 0) and holder.usable_units(3) == 2
    assert holder.usable_units(13) == 7
    assert holder.renew(60, n) and lessor.grant(61, ("b", 1), n, 8, 0) == 5
    assert holder.accept_grant(62, "a", n, 5, 60) and holder.usable_units(150) == 7
    assert holder.usable_units(160) == 2
    assert lessor.own_usable_units(150) == 5 and lessor.own_usable_units(61 + 100 + 2 + 10) == 10
    n = holder.request(200, "a")
    lessor.grant(200, ("b", 1), n, 5, 0)
    holder.accept_grant(201, "a", n, 5, 200)
    assert holder.release(220, n) and holder.usable_units(220) == 2
    assert lessor.accept_release(221, ("b", 1), n)
    assert lessor.own_usable_units(230) == 5 and lessor.own_usable_units(231) == 10
    # Fenced: what comes late puts nothing out of use.
    assert lessor.grant(232, ("b", 1), n, 5, 0) == 0


def test_a_dispatcher_without_contact_has_its_units_within_a_term_and_always_the_reserved_ones():
    lessor = Escrow(0, 10, 4, 100, 10)
    # It may have granted leases before it started.
    assert lessor.own_usable_units(0) == 4 and lessor.grant(50, "b", 1, 9, 0) == 0
    assert lessor.own_usable_units(111) == 4 and lessor.own_usable_units(112) == 10
    assert lessor.grant(112, "b", 1, 9, 0) == 6 and lessor.own_usable_units(113) == 4
    assert lessor.own_usable_units(112 + 100 + 2 + 10) == 10


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["grant", "release", "wait"]), st.integers(1, 5), st.integers(0, 40)),
        max_size=60,
    )
)
def test_a_lessor_never_counts_more_than_it_owns_nor_less_than_it_reserves(steps_taken):
    lessor, now = Escrow(0, 10, 3, 100, 10), 200
    for action, number, figure in steps_taken:
        now += figure
        if action == "grant":
            lessor.grant(now, f"h{figure % 3}", number, figure, 0)
        elif action == "release":
            lessor.accept_release(now, f"h{figure % 3}", number)
        assert 3 <= lessor.own_usable_units(now) <= 10
        assert lessor.own_usable_units(now) + lessor.leased_out_units() == 10
