"""Brokers of a small fleet in virtual time, with deciders that lag behind them: what deciders may spend in
any window is never more than there is, and idle units move to where work waits.

Beside the search of the escrow this holds what is built on it: what a decider is told and when, grants that
wait for it, clocks that go apart, restarts.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import lease_broker
from wickvane.quotas.incarnation import Incarnation
from wickvane.quotas.lease_broker import (
    LEASE_TERM,
    RESERVED_UNITS,
    UNITS_PER_DISPATCHER,
    BudgetConfig,
    BudgetUse,
    LeaseBroker,
    Quota,
)
from wickvane.quotas.lease_messages import LeaseGrant, LeaseMessage, LeaseRelease
from wickvane.quotas.wire import LeaseEntry, LeaseKind, lease_message

TICK, WINDOW = 500, 10_000
EPSILON = 1e-6


class Dispatcher:
    """A broker, and a decider that uses the quotas that it last took in."""

    def __init__(self, now: int, fleet: "Fleet", n: int, epoch: int) -> None:
        self.fleet = fleet
        self.n = n
        self.incarnation = (f"n{n}", epoch)
        self.broker = LeaseBroker(now, (BudgetConfig(WINDOW, False, False),), fleet.size)
        self.quota = Quota(0.0, None, 0.0)
        self.inbox = []
        self.stalled = 0
        self.use = 0.2

    def spends(self, now: int) -> float:
        fraction, expires_at, fraction_after = self.quota
        return fraction if expires_at is None or now < expires_at else fraction_after

    def round(self, now: int) -> None:
        if self.fleet.tick % 4 == self.n % 4:
            spendable = self.spends(now)
            lessors = [other.incarnation for other in self.fleet.all if other is not self]
            self.fleet.chance.shuffle(lessors)
            use = BudgetUse(min(self.use, spendable), self.use > spendable)
            self.broker.request_leases(now, [use], lessors)
        update = self.broker.next_update(now, self.fleet.size)
        if update:
            lag = self.fleet.chance.choice([0, 0, 1, 2, self.fleet.lag])
            self.inbox.append((self.fleet.tick + lag, *update))
        due = [entry for entry in self.inbox if entry[0] <= self.fleet.tick]
        if due:
            # One queue: a later update is not taken in before an earlier one.
            last = max(self.inbox.index(entry) for entry in due)
            _, number, (self.quota,) = self.inbox[last]
            del self.inbox[: last + 1]
            self.broker.acknowledge(number)
        for recipient, message in self.broker.take_outbox():
            self.fleet.send(self, recipient, message)


class Fleet:
    """Brokers in virtual time, with links that lose, delay and cut."""

    def __init__(
        self, seed: int, size: int = 4, loss: float = 0.1, late: int = 3, lag: int = 6, drift: float = 0.0
    ) -> None:
        self.chance = Random(seed)
        self.size = size
        self.tick = 0
        self.wire = []
        self.loss = loss
        self.late = late
        self.lag = lag
        self.cut = set()
        self.rates = [1 + self.chance.uniform(-drift, drift) for _ in range(size)]
        self.zero = [self.chance.randrange(1 << 40) for _ in range(size)]
        self.former = []
        self.lately = []
        self.all = [Dispatcher(self.now(n), self, n, 1) for n in range(size)]
        self.worst = 0.0
        self.grants = 0

    def now(self, n: int) -> int:
        return self.zero[n] + int(self.tick * TICK * self.rates[n])

    def send(self, sender: Dispatcher, recipient: Incarnation, message: LeaseMessage) -> None:
        self.grants += isinstance(message, LeaseGrant)
        for _ in range(1 + (self.chance.random() < 0.1)):
            if self.chance.random() >= self.loss:
                due = self.tick + self.chance.randint(0, self.late)
                self.wire.append((due, sender.incarnation, recipient, message))

    def restart(self, n: int) -> None:
        old = self.all[n]
        self.former.append((self.tick, n, old.spends(self.now(n))))
        self.all[n] = Dispatcher(self.now(n), self, n, old.incarnation[1] + 1)

    def step(self) -> None:
        self.tick += 1
        due = [entry for entry in self.wire if entry[0] <= self.tick]
        self.wire = [entry for entry in self.wire if entry[0] > self.tick]
        for _, sender, recipient, message in due:
            to = int(recipient[0][1:])
            if self.all[to].incarnation == recipient and (int(sender[0][1:]), to) not in self.cut:
                self.all[to].broker.receive(self.now(to), sender, message)
        for n, one in enumerate(self.all):
            if one.stalled > 0:
                one.stalled -= 1
                continue
            one.round(self.now(n))
        self.measure()

    def measure(self) -> None:
        """What was spendable in the window that ends now, by each incarnation's most in it."""
        spend = [0.0 if one.stalled else one.spends(self.now(n)) for n, one in enumerate(self.all)]
        ticks = WINDOW // TICK - 2  # clocks that go apart by a hundredth count a window as that much less
        self.lately = [row for row in self.lately if row[0] > self.tick - ticks] + [(self.tick, spend)]
        born = {}
        for at, n, _ in self.former:
            if at > self.tick - ticks:
                born[n] = at
        total = sum(most for at, _, most in self.former if at > self.tick - ticks)
        for n in range(self.size):
            total += max(row[1][n] for row in self.lately if row[0] > born.get(n, -1))
        self.worst = max(self.worst, total)


def play(seed: int, ticks: int = 500, restarts: bool = True, **more: float) -> Fleet:
    fleet = Fleet(seed, **more)
    chance, fleet.all[0].use = Random(f"{seed}/day"), 3.0
    for _ in range(ticks):
        if chance.random() < 0.02:
            fleet.all[chance.randrange(fleet.size)].use = chance.choice([0.0, 0.1, 0.9, 3.0, 4.0])
        if chance.random() < 0.01:
            fleet.cut = {(a, b) for a in range(4) for b in range(4) if chance.random() < 0.3}
        if chance.random() < 0.01:
            fleet.cut = set()
        if chance.random() < 0.01:
            fleet.all[chance.randrange(fleet.size)].stalled = chance.choice([2, 20, 60])
        if restarts and chance.random() < 0.004:
            fleet.restart(chance.randrange(fleet.size))
        fleet.step()
    return fleet


@pytest.mark.parametrize("seed", range(30))
def test_what_all_may_spend_in_any_window_is_never_more_than_there_is(seed):
    fleet = play(seed, drift=0.004)
    assert fleet.worst <= fleet.size + EPSILON
    assert fleet.grants > 0


def acknowledges_all(self, number):
    self.outbox.extend(message.envelope for message in self.deferred)
    self.deferred.clear()


def sends_release_of_what_is_in_use(self, now, index, usable_units):
    for number, lease in list(self.budgets[index].escrow.held.items()):
        self._send(lease.lessor, LeaseRelease(index, number))


def omits_expiry(self, now, divisor):
    return [
        Quota(budget.escrow.usable_units(now) / UNITS_PER_DISPATCHER, None, 1.0) for budget in self.budgets
    ]


DEFECTS = {
    "a grant waits for nobody": ("acknowledge", acknowledges_all),
    "what is released is still in use": ("_release_surplus", sends_release_of_what_is_in_use),
    "the expiry of a lease is not told": ("quotas", omits_expiry),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_seen(name, monkeypatch):
    monkeypatch.setattr(lease_broker.LeaseBroker, *DEFECTS[name])
    assert any(play(seed, drift=0.004, lag=40).worst > 4 + EPSILON for seed in range(40))


def settle(fleet: Fleet, ticks: int) -> None:
    for _ in range(ticks):
        fleet.step()


def test_idle_units_move_to_where_work_waits_and_back_when_their_owners_need_them():
    fleet = Fleet(1, loss=0.0)
    settle(fleet, 80)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4
    fleet.all[0].use = 4.0
    settle(fleet, 160)
    assert fleet.all[0].spends(fleet.now(0)) >= 3.0  # all that three lease out
    for one in fleet.all[1:]:
        one.use = 2.0
    settle(fleet, (LEASE_TERM + 2 * WINDOW) // TICK + 20)
    assert all(abs(one.spends(fleet.now(n)) - 1.0) < 0.26 for n, one in enumerate(fleet.all))
    for one in fleet.all:
        one.use = 0.0
    settle(fleet, 400)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4


def test_a_dispatcher_without_contact_has_its_own_units_within_a_term_and_the_window():
    fleet = Fleet(2, loss=0.0)
    settle(fleet, 80)
    fleet.all[0].use = 4.0
    settle(fleet, 160)
    fleet.cut = {(a, b) for a in range(4) for b in range(4)}
    for one in fleet.all:
        one.use = 2.0
    settle(fleet, (LEASE_TERM + 2 * WINDOW) // TICK + 2)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4
    least = min(one.spends(fleet.now(n)) for n, one in enumerate(fleet.all))
    assert least >= RESERVED_UNITS / UNITS_PER_DISPATCHER


def test_more_dispatchers_than_configured_reduce_each_quota():
    one = LeaseBroker(0, (BudgetConfig(WINDOW, True, False),), 4)
    one.budgets[0].escrow.recovered_at = 0
    assert one.quotas(1, 4) == [(1.0, None, 1.0)] and one.quotas(1, 8) == [(0.5, None, 0.5)]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.builds(
            LeaseEntry,
            st.sampled_from(list(LeaseKind)),
            st.integers(0, 7),
            st.integers(0, 70),
            st.integers(0, 4096),
            st.integers(0, 1 << 40),
        ),
        max_size=60,
    ),
    st.lists(st.integers(0, 3 * WINDOW), min_size=60, max_size=60),
)
def test_whatever_is_received_a_quota_stays_between_the_reserved_units_and_the_owned_ones(entries, times):
    budgets = (BudgetConfig(WINDOW, True, False), BudgetConfig(WINDOW, True, True))
    one, now = LeaseBroker(0, budgets, 4), 3 * WINDOW + LEASE_TERM
    for entry, more in zip(entries, times, strict=False):
        now += more
        one.request_leases(now, [BudgetUse(0.5, False)] * 2, [("a", 1)])
        one.receive(now, ("a", 1), lease_message(entry))
        one.next_update(now, 4)
        one.acknowledge(one.update_number)
        for fraction, _, fraction_after in one.quotas(now, 4):
            # It requested nothing.
            assert RESERVED_UNITS / UNITS_PER_DISPATCHER <= fraction_after <= 1.0 and fraction <= 1.0
    assert all(len(budget.escrow.granted) <= 64 for budget in one.budgets)
