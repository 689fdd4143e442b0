"""Lease brokers of a small fleet in virtual time, with deciders that apply quota updates late.

In no window may the deciders together spend more than the budget, and idle units move to dispatchers with
waiting work. In addition to the search in test_escrow.py, these tests cover quota updates and their delay,
grants that are deferred until the decider's acknowledgement, clock drift, and restarts.
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
    """A broker and a decider, which uses the quotas that it received last."""

    def __init__(self, now: int, fleet: "Fleet", n: int, epoch: int) -> None:
        self.fleet = fleet
        self.n = n
        self.incarnation = (f"n{n}", epoch)
        self.broker = LeaseBroker(now, (BudgetConfig(WINDOW, False, False),), fleet.size)
        self.quota = Quota(0.0, None, 0.0)
        self.inbox = []
        self.stalled_ticks = 0
        self.use = 0.2

    def spendable(self, now: int) -> float:
        """Returns the fraction of the quota that the decider may spend now."""
        fraction, expires_at, fraction_after = self.quota
        return fraction if expires_at is None or now < expires_at else fraction_after

    def round(self, now: int) -> None:
        """Runs one round of the broker; every fourth one requests leases."""
        if self.fleet.tick % 4 == self.n % 4:
            spendable = self.spendable(now)
            lessors = [other.incarnation for other in self.fleet.all if other is not self]
            self.fleet.random.shuffle(lessors)
            use = BudgetUse(min(self.use, spendable), self.use > spendable)
            self.broker.request_leases(now, [use], lessors)
        update = self.broker.next_update(now, self.fleet.size)
        if update:
            lag = self.fleet.random.choice([0, 0, 1, 2, self.fleet.lag])
            self.inbox.append((self.fleet.tick + lag, *update))
        due = [entry for entry in self.inbox if entry[0] <= self.fleet.tick]
        if due:
            # The inbox is a queue: no update is received before an earlier one.
            last = max(self.inbox.index(entry) for entry in due)
            _, number, (self.quota,) = self.inbox[last]
            del self.inbox[: last + 1]
            self.broker.acknowledge(number)
        for recipient, message in self.broker.take_outbox():
            self.fleet.send(self, recipient, message)


class Fleet:
    """Dispatchers in virtual time, on a network that loses, duplicates, delays and blocks messages.

    max_delay: of a message; lag: maximum delay of a quota update to its decider; both in steps of TICK.
    """

    def __init__(
        self,
        seed: int,
        size: int = 4,
        loss: float = 0.1,
        max_delay: int = 3,
        lag: int = 6,
        drift: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.size = size
        self.tick = 0
        self.messages_in_transit = []
        self.loss = loss
        self.max_delay = max_delay
        self.lag = lag
        self.blocked_links = set()
        self.clock_rates = [1 + self.random.uniform(-drift, drift) for _ in range(size)]
        self.clock_offsets = [self.random.randrange(1 << 40) for _ in range(size)]
        self.former = []
        self.recent = []
        self.all = [Dispatcher(self.now(n), self, n, 1) for n in range(size)]
        self.max_spendable = 0.0
        self.grants = 0

    def now(self, n: int) -> int:
        return self.clock_offsets[n] + int(self.tick * TICK * self.clock_rates[n])

    def send(self, sender: Dispatcher, recipient: Incarnation, message: LeaseMessage) -> None:
        self.grants += isinstance(message, LeaseGrant)
        for _ in range(1 + (self.random.random() < 0.1)):
            if self.random.random() >= self.loss:
                due = self.tick + self.random.randint(0, self.max_delay)
                self.messages_in_transit.append((due, sender.incarnation, recipient, message))

    def restart(self, n: int) -> None:
        """Replaces a dispatcher by its next incarnation, which has no state of the former one."""
        old = self.all[n]
        self.former.append((self.tick, n, old.spendable(self.now(n))))
        self.all[n] = Dispatcher(self.now(n), self, n, old.incarnation[1] + 1)

    def step(self) -> None:
        self.tick += 1
        due = [entry for entry in self.messages_in_transit if entry[0] <= self.tick]
        self.messages_in_transit = [entry for entry in self.messages_in_transit if entry[0] > self.tick]
        for _, sender, recipient, message in due:
            target = int(recipient[0][1:])
            if (
                self.all[target].incarnation == recipient
                and (int(sender[0][1:]), target) not in self.blocked_links
            ):
                self.all[target].broker.receive(self.now(target), sender, message)
        for n, dispatcher in enumerate(self.all):
            if dispatcher.stalled_ticks > 0:
                dispatcher.stalled_ticks -= 1
                continue
            dispatcher.round(self.now(n))
        self.measure()

    def measure(self) -> None:
        """Adds up the maximum that each incarnation could spend in the window that ends now."""
        spendable = [
            0.0 if dispatcher.stalled_ticks else dispatcher.spendable(self.now(n))
            for n, dispatcher in enumerate(self.all)
        ]
        # Clocks that drift by a hundredth shorten the window by that much.
        ticks = WINDOW // TICK - 2
        self.recent = [row for row in self.recent if row[0] > self.tick - ticks] + [(self.tick, spendable)]
        started_at = {}
        for at, n, _ in self.former:
            if at > self.tick - ticks:
                started_at[n] = at
        total = sum(spendable for at, _, spendable in self.former if at > self.tick - ticks)
        for n in range(self.size):
            total += max(row[1][n] for row in self.recent if row[0] > started_at.get(n, -1))
        self.max_spendable = max(self.max_spendable, total)


def play(seed: int, ticks: int = 500, restarts: bool = True, **options: float) -> Fleet:
    """Runs a fleet with random demand, partitions, stalls and restarts, and returns it."""
    fleet = Fleet(seed, **options)
    random, fleet.all[0].use = Random(f"{seed}/day"), 3.0
    for _ in range(ticks):
        if random.random() < 0.02:
            fleet.all[random.randrange(fleet.size)].use = random.choice([0.0, 0.1, 0.9, 3.0, 4.0])
        if random.random() < 0.01:
            fleet.blocked_links = {(a, b) for a in range(4) for b in range(4) if random.random() < 0.3}
        if random.random() < 0.01:
            fleet.blocked_links = set()
        if random.random() < 0.01:
            fleet.all[random.randrange(fleet.size)].stalled_ticks = random.choice([2, 20, 60])
        if restarts and random.random() < 0.004:
            fleet.restart(random.randrange(fleet.size))
        fleet.step()
    return fleet


@pytest.mark.parametrize("seed", range(30))
def test_the_fleet_never_overspends_the_budget_in_any_window(seed):
    fleet = play(seed, drift=0.004)
    assert fleet.max_spendable <= fleet.size + EPSILON
    assert fleet.grants > 0


def acknowledge_without_waiting(self, number):
    """Sends all deferred messages, also those whose update the decider has not acknowledged."""
    self.outbox.extend(message.envelope for message in self.deferred)
    self.deferred.clear()


def release_units_in_use(self, now, index, usable_units):
    """Sends releases of all held leases, and continues to use them."""
    for number, lease in list(self.budgets[index].escrow.held.items()):
        self._send(lease.lessor, LeaseRelease(index, number))


def quotas_without_expiry(self, now, divisor):
    """Returns quotas that never expire."""
    return [
        Quota(budget.escrow.usable_units(now) / UNITS_PER_DISPATCHER, None, 1.0) for budget in self.budgets
    ]


DEFECTS = {
    "grants are sent without an acknowledgement": ("acknowledge", acknowledge_without_waiting),
    "released units are still in use": ("_release_surplus", release_units_in_use),
    "quotas omit the expiry of leases": ("quotas", quotas_without_expiry),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_defect_is_detected(name, monkeypatch):
    monkeypatch.setattr(lease_broker.LeaseBroker, *DEFECTS[name])
    assert any(play(seed, drift=0.004, lag=40).max_spendable > 4 + EPSILON for seed in range(40))


def run(fleet: Fleet, ticks: int) -> None:
    for _ in range(ticks):
        fleet.step()


def test_idle_units_move_to_waiting_work_and_return_when_their_owners_need_them():
    fleet = Fleet(1, loss=0.0)
    run(fleet, 80)
    assert [dispatcher.spendable(fleet.now(n)) for n, dispatcher in enumerate(fleet.all)] == [1.0] * 4
    fleet.all[0].use = 4.0
    run(fleet, 160)
    assert fleet.all[0].spendable(fleet.now(0)) >= 3.0  # all units that the other three lease out
    for dispatcher in fleet.all[1:]:
        dispatcher.use = 2.0
    run(fleet, (LEASE_TERM + 2 * WINDOW) // TICK + 20)
    assert all(abs(dispatcher.spendable(fleet.now(n)) - 1.0) < 0.26 for n, dispatcher in enumerate(fleet.all))
    for dispatcher in fleet.all:
        dispatcher.use = 0.0
    run(fleet, 400)
    assert [dispatcher.spendable(fleet.now(n)) for n, dispatcher in enumerate(fleet.all)] == [1.0] * 4


def test_a_dispatcher_without_contact_recovers_its_own_units_within_a_term_and_two_windows():
    fleet = Fleet(2, loss=0.0)
    run(fleet, 80)
    fleet.all[0].use = 4.0
    run(fleet, 160)
    fleet.blocked_links = {(a, b) for a in range(4) for b in range(4)}
    for dispatcher in fleet.all:
        dispatcher.use = 2.0
    run(fleet, (LEASE_TERM + 2 * WINDOW) // TICK + 2)
    assert [dispatcher.spendable(fleet.now(n)) for n, dispatcher in enumerate(fleet.all)] == [1.0] * 4
    lowest = min(dispatcher.spendable(fleet.now(n)) for n, dispatcher in enumerate(fleet.all))
    assert lowest >= RESERVED_UNITS / UNITS_PER_DISPATCHER


def test_more_dispatchers_than_configured_reduce_each_quota():
    broker = LeaseBroker(0, (BudgetConfig(WINDOW, True, False),), 4)
    broker.budgets[0].escrow.recovered_at = 0
    assert broker.quotas(1, 4) == [(1.0, None, 1.0)] and broker.quotas(1, 8) == [(0.5, None, 0.5)]


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
def test_for_any_messages_a_quota_stays_between_the_reserved_and_the_owned_units(entries, times):
    budgets = (BudgetConfig(WINDOW, True, False), BudgetConfig(WINDOW, True, True))
    broker, now = LeaseBroker(0, budgets, 4), 3 * WINDOW + LEASE_TERM
    for entry, delay in zip(entries, times, strict=False):
        now += delay
        broker.request_leases(now, [BudgetUse(0.5, False)] * 2, [("a", 1)])
        broker.receive(now, ("a", 1), lease_message(entry))
        broker.next_update(now, 4)
        broker.acknowledge(broker.update_number)
        for fraction, _, fraction_after in broker.quotas(now, 4):
            # The broker requested no leases, so its quota cannot exceed its own units.
            assert RESERVED_UNITS / UNITS_PER_DISPATCHER <= fraction_after <= 1.0 and fraction <= 1.0
    assert all(len(budget.escrow.granted) <= 64 for budget in broker.budgets)
