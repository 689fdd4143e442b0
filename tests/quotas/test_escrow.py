"""A search through all interleavings of a small fleet: no reachable state overspends the budget.

The faults are lost, duplicated and delayed datagrams, stalled processes, restarts, and clocks that differ.
For each guard of the escrow, a mutation without it must be detected by the search.

Two holders request units from a lessor that owns two units. After each step, the units that all may spend are
compared with the units of the budget, also within a rate window: a unit that one dispatcher could spend in
the window and another one can spend now is overspent. All spendable units are assumed to be spent.
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
MAX_TIME, MAX_DATAGRAMS, MAX_STATES = 9, 3, 400_000
LESSOR = "owner"


class Datagram(NamedTuple):
    """A datagram between the lessor and one holder; requested_at: by the holder's clock, 0 in a release."""

    kind: str
    holder: int
    number: int
    requested_at: int
    incarnation: int
    units: int = 0


class State:
    """A state of the fleet.

    clocks: the lessor's first, then those of the holders; datagrams: in transit; recent_spendable: units that
    each could spend at each tick of the window that ends now; stalls, duplicates, restarts: the number of
    faults of each kind that may still occur.
    """

    def __init__(self) -> None:
        self.clocks = [100, 200, 300]
        self.time = 0
        self.lessor = fresh_lessor(self.clocks[0] - 50)
        self.holders = [fresh_holder(self.clocks[1]), fresh_holder(self.clocks[2])]
        self.incarnations = [0, 0]
        self.datagrams: tuple[Datagram, ...] = ()
        self.recent_spendable: tuple[tuple[int, ...], ...] = ()
        self.stalls = 1
        self.duplicates = 1
        self.restarts = 1
        # The units that the lessor's former incarnation could spend when it ended, and the time of its end.
        self.former_spendable = 0
        self.restarted_at = -WINDOW

    def key(self) -> tuple:
        """Returns a key that is equal for equivalent states, with times relative to each clock."""
        holders = (escrow_key(holder, self.clocks[n + 1]) for n, holder in enumerate(self.holders))
        return (
            self.time,
            escrow_key(self.lessor, self.clocks[0]),
            *holders,
            tuple(sorted(datagram_key(datagram, self.clocks) for datagram in self.datagrams)),
            self.recent_spendable,
            former_spendable(self),
            self.stalls,
            self.duplicates,
            self.restarts,
            tuple(self.incarnations),
        )


def escrow_key(participant: Escrow, now: int) -> tuple:
    """Returns a key that is equal for equivalent escrows, with times relative to a clock."""
    return (
        tuple(
            sorted(
                (lease_id, lease.units, max(lease.expires_at - now, -1))
                for lease_id, lease in participant.granted.items()
            )
        ),
        tuple(
            sorted(
                (units, usable_from - now) for units, usable_from in participant.released if usable_from > now
            )
        ),
        tuple(sorted(participant.fenced.items())),
        max(participant.recovered_at - now, 0),
        participant.last_number,
        tuple(
            sorted(
                (number, lessor, first - now, last - now)
                for number, (lessor, first, last) in participant.requests.items()
            )
        ),
        tuple(
            sorted(
                (number, lessor, units, usable_from - now, expires_at - now)
                for number, (lessor, units, usable_from, expires_at) in participant.held.items()
            )
        ),
    )


def datagram_key(datagram: Datagram, clocks: list[int]) -> tuple:
    """Returns a key that is equal for equivalent datagrams."""
    if datagram.kind == "release":
        return datagram
    return datagram._replace(requested_at=datagram.requested_at - clocks[datagram.holder + 1])


def fresh_lessor(now: int) -> Escrow:
    return Escrow(now, OWNED, RESERVED, TERM, WINDOW, drift_permille=0, usable_at_once=False)


def fresh_holder(now: int) -> Escrow:
    return Escrow(now, 0, 0, TERM, WINDOW, drift_permille=0)


def copy_escrow(original: Escrow) -> Escrow:
    copy = Escrow.__new__(Escrow)
    copy.__dict__ = {
        name: value.copy() if isinstance(value, dict | list) else value
        for name, value in original.__dict__.items()
    }
    return copy


def copy_state(state: State) -> State:
    copy = State.__new__(State)
    copy.__dict__ = dict(state.__dict__)
    copy.clocks = list(state.clocks)
    copy.incarnations = list(state.incarnations)
    copy.lessor = copy_escrow(state.lessor)
    copy.holders = [copy_escrow(holder) for holder in state.holders]
    return copy


def spendable(state: State) -> tuple[int, ...]:
    """Returns the units that each dispatcher may spend now, the lessor first."""
    return (
        state.lessor.own_usable_units(state.clocks[0]),
        *(holder.usable_units(state.clocks[n + 1]) for n, holder in enumerate(state.holders)),
    )


def former_spendable(state: State) -> int:
    """Returns the units that the lessor's former incarnation could spend, if it ended within the window."""
    return state.former_spendable if state.time - state.restarted_at < WINDOW else 0


def overspent(state: State) -> bool:
    """Returns whether the maxima that each could spend in the window that ends now exceed the budget."""
    units = [spendable(state), *state.recent_spendable]
    return sum(max(column) for column in zip(*units)) + former_spendable(state) > OWNED


def ticks(state: State) -> Iterator[State]:
    """Yields the states after a tick; once, a holder is stalled, so that its clock does not advance."""
    if state.time >= MAX_TIME:
        return
    for stalled in (None, 0, 1) if state.stalls else (None,):
        successor = copy_state(state)
        successor.recent_spendable = (spendable(state),)[:WINDOW]
        successor.time += 1
        for n in range(3):
            successor.clocks[n] += stalled is None or n != stalled + 1
        successor.stalls -= stalled is not None
        yield successor


def holder_actions(state: State, n: int) -> Iterator[State]:
    """Yields the states after a holder requests, renews or releases a lease."""
    holder = state.holders[n]
    now = state.clocks[n + 1]
    incarnation = state.incarnations[n]
    if len(state.datagrams) >= MAX_DATAGRAMS:
        return
    if not holder.requests:
        successor = copy_state(state)
        number = successor.holders[n].request(now, LESSOR)
        successor.datagrams += (Datagram("request", n, number, now, incarnation),)
        yield successor
    for number in holder.held:
        successor = copy_state(state)
        if successor.holders[n].renew(now, number):
            successor.datagrams += (Datagram("request", n, number, now, incarnation),)
            yield successor
        successor = copy_state(state)
        successor.holders[n].release(now, number)
        successor.datagrams += (Datagram("release", n, number, 0, incarnation),)
        yield successor


def deliver(state: State, datagram: Datagram) -> None:
    """Delivers a datagram to the lessor, or to the holder if its incarnation is still the addressed one."""
    kind, n, number, requested_at, incarnation, _ = datagram
    if kind == "request":
        units = state.lessor.grant(state.clocks[0], (n, incarnation), number, 2 - n, 0)
        if units and len(state.datagrams) < MAX_DATAGRAMS:
            state.datagrams += (Datagram("grant", n, number, requested_at, incarnation, units),)
    elif kind == "release":
        state.lessor.accept_release(state.clocks[0], (n, incarnation), number)
    elif incarnation == state.incarnations[n]:
        state.holders[n].accept_grant(state.clocks[n + 1], LESSOR, number, datagram.units, requested_at)


def deliveries(state: State) -> Iterator[State]:
    """Yields the states after each datagram is delivered, delivered and duplicated, or lost."""
    for index, datagram in enumerate(state.datagrams):
        others = state.datagrams[:index] + state.datagrams[index + 1 :]
        for duplicated in (False, True) if state.duplicates else (False,):
            successor = copy_state(state)
            if not duplicated:
                successor.datagrams = others
            successor.duplicates -= duplicated
            deliver(successor, datagram)
            yield successor
        # The datagram is lost.
        successor = copy_state(state)
        successor.datagrams = others
        yield successor


def restarts(state: State) -> Iterator[State]:
    """Yields the states after a restart of the lessor or of the first holder."""
    if not state.restarts:
        return
    successor = copy_state(state)
    successor.restarts -= 1
    successor.former_spendable = spendable(successor)[0]
    successor.restarted_at = successor.time
    successor.recent_spendable = tuple((0, *row[1:]) for row in successor.recent_spendable)
    successor.lessor = fresh_lessor(successor.clocks[0])
    yield successor
    successor = copy_state(state)
    successor.restarts -= 1
    successor.holders[0] = fresh_holder(successor.clocks[1])
    successor.incarnations[0] += 1
    yield successor


def steps(state: State) -> Iterator[State]:
    """Yields all states that are reachable in one step."""
    yield from ticks(state)
    for n in range(len(state.holders)):
        yield from holder_actions(state, n)
    yield from deliveries(state)
    yield from restarts(state)


def search(max_states: int = MAX_STATES) -> tuple[State | None, int]:
    """Returns a state that overspends the budget, or None, and the number of states seen."""
    initial = State()
    seen = {initial.key()}
    frontier = [initial]
    while frontier and len(seen) < max_states:
        next_frontier = []
        for state in frontier:
            for successor in steps(state):
                key = successor.key()
                if key in seen:
                    continue
                seen.add(key)
                if overspent(successor):
                    return successor, len(seen)
                next_frontier.append(successor)
        frontier = next_frontier
    return None, len(seen)


def test_no_interleaving_overspends_the_budget():
    state, seen = search(45_000)
    print(f"{seen} states")
    assert state is None and seen >= 45_000


SOURCE = Path(escrow.__file__).read_text()
IDENTITY_GUARD = """\
        if request is None or request.lessor != lessor or units <= 0:
            return False
        if not request.first_requested_at <= requested_at <= request.last_requested_at:
            return False
"""
MUTATIONS = {
    "the lessor does not wait for the rate window": (
        "expires_at = now + self.term + self.grace_period + self.rate_window",
        "expires_at = now + self.term + self.grace_period",
    ),
    "the lessor does not wait for the grace period": (
        "self.grace_period = term * drift_permille // 1000 + 1",
        "self.grace_period = 0",
    ),
    "the holder counts the term from the grant": (
        "expires_at = requested_at + self.term",
        "expires_at = now + self.term",
    ),
    "the holder uses leased units at once": (
        "units, now + self.rate_window, expires_at",
        "units, now, expires_at",
    ),
    "the lessor uses released units at once": (
        "self.released.append(ReleasedUnits(lease.units, now + self.rate_window))",
        "self.released.append(ReleasedUnits(lease.units, now))",
    ),
    "a new incarnation uses all units": (
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
def test_a_mutation_of_each_guard_is_detected(name, monkeypatch):
    before, after = MUTATIONS[name]
    assert SOURCE.count(before) == 1
    namespace = {"__name__": "mutated_escrow"}
    exec(compile(SOURCE.replace(before, after), name, "exec"), namespace)
    monkeypatch.setitem(globals(), "Escrow", namespace["Escrow"])
    state, _ = search()
    assert state is not None


def test_a_lease_is_requested_used_renewed_and_released():
    lessor, holder = Escrow(-1000, 10, 4, 100, 10), Escrow(0, 2, 2, 100, 10)
    assert lessor.own_usable_units(0) == 10 and holder.usable_units(0) == 2
    number = holder.request(0, "a")
    # The units that the lessor needs itself are not granted.
    assert lessor.grant(1, ("b", 1), number, 8, 5) == 5 and lessor.own_usable_units(1) == 5
    # A repeated request gets the same grant.
    assert lessor.grant(2, ("b", 1), number, 8, 0) == 5 and lessor.own_usable_units(2) == 5
    assert holder.accept_grant(3, "a", number, 5, 0) and holder.usable_units(3) == 2
    assert holder.usable_units(13) == 7
    assert holder.renew(60, number) and lessor.grant(61, ("b", 1), number, 8, 0) == 5
    assert holder.accept_grant(62, "a", number, 5, 60) and holder.usable_units(150) == 7
    assert holder.usable_units(160) == 2
    assert lessor.own_usable_units(150) == 5 and lessor.own_usable_units(61 + 100 + 2 + 10) == 10
    number = holder.request(200, "a")
    lessor.grant(200, ("b", 1), number, 5, 0)
    holder.accept_grant(201, "a", number, 5, 200)
    assert holder.release(220, number) and holder.usable_units(220) == 2
    assert lessor.accept_release(221, ("b", 1), number)
    assert lessor.own_usable_units(230) == 5 and lessor.own_usable_units(231) == 10
    # The number is fenced: a delayed request does not make units unusable.
    assert lessor.grant(232, ("b", 1), number, 5, 0) == 0


def test_a_dispatcher_without_contact_recovers_its_units_and_always_has_the_reserved_ones():
    lessor = Escrow(0, 10, 4, 100, 10)
    # A former incarnation may have granted leases.
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
def test_usable_units_stay_between_the_reserved_and_the_owned_units(actions):
    lessor, now = Escrow(0, 10, 3, 100, 10), 200
    for action, number, value in actions:
        now += value
        if action == "grant":
            lessor.grant(now, f"h{value % 3}", number, value, 0)
        elif action == "release":
            lessor.accept_release(now, f"h{value % 3}", number)
        assert 3 <= lessor.own_usable_units(now) <= 10
        assert lessor.own_usable_units(now) + lessor.leased_out_units() == 10
