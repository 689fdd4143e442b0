"""Brokers of a small fleet in virtual time, with deciders that lag behind them: what deciders may spend in
any window is never more than there is, and idle parts move to where work waits.

Beside escrow's own search this holds what stands around it: what a decider is told and when, grants that wait
for it, clocks that go apart, lives that start over.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import broker
from wickvane.quotas.broker import ASK, BACK, GRANT, KEPT, TERM, UNITS, Broker

TICK, WINDOW = 500, 10_000
EPSILON = 1e-6


class Dispatcher:
    """A broker, and a decider that goes by what it was last told."""

    def __init__(self, now, fleet, n, life):
        self.fleet, self.n, self.life = fleet, n, (f"n{n}", life)
        self.broker = Broker(now, ((WINDOW, False, False),), fleet.size)
        self.part, self.inbox, self.stalled = (0.0, None, 0.0), [], 0
        self.use = 0.2

    def spends(self, now):
        part, until, then = self.part
        return part if until is None or now < until else then

    def round(self, now):
        if self.fleet.tick % 4 == self.n % 4:
            mine = self.spends(now)
            owners = [d.life for d in self.fleet.all if d is not self]
            self.fleet.chance.shuffle(owners)
            self.broker.look(now, [(min(self.use, mine), self.use > mine)], owners)
        told = self.broker.tell(now, self.fleet.size)
        if told:
            lag = self.fleet.chance.choice([0, 0, 1, 2, self.fleet.lag])
            self.inbox.append((self.fleet.tick + lag, *told))
        due = [entry for entry in self.inbox if entry[0] <= self.fleet.tick]
        if due:
            # One line: what was told later is not taken in before.
            last = max(self.inbox.index(entry) for entry in due)
            _, number, (self.part,) = self.inbox[last]
            del self.inbox[: last + 1]
            self.broker.took(number)
        for life, word in self.broker.sent():
            self.fleet.send(self, life, word)


class Fleet:
    """Brokers in virtual time, with links that lose, delay and cut."""

    def __init__(self, seed, size=4, loss=0.1, late=3, lag=6, drift=0.0, at_once=False):
        self.chance, self.size, self.tick, self.wire = Random(seed), size, 0, []
        self.loss, self.late, self.lag, self.cut = loss, late, lag, set()
        self.rates = [1 + self.chance.uniform(-drift, drift) for _ in range(size)]
        self.zero = [self.chance.randrange(1 << 40) for _ in range(size)]
        self.former, self.lately = [], []
        self.all = [Dispatcher(self.now(n), self, n, 1) for n in range(size)]
        self.worst, self.grants = 0.0, 0

    def now(self, n):
        return self.zero[n] + int(self.tick * TICK * self.rates[n])

    def send(self, sender, life, word):
        self.grants += word[0] == GRANT
        for _ in range(1 + (self.chance.random() < 0.1)):
            if self.chance.random() >= self.loss:
                self.wire.append((self.tick + self.chance.randint(0, self.late), sender.life, life, word))

    def starts_over(self, n):
        old = self.all[n]
        self.former.append((self.tick, n, old.spends(self.now(n))))
        self.all[n] = Dispatcher(self.now(n), self, n, old.life[1] + 1)

    def step(self):
        self.tick += 1
        due = [entry for entry in self.wire if entry[0] <= self.tick]
        self.wire = [entry for entry in self.wire if entry[0] > self.tick]
        for _, sender, life, word in due:
            to = int(life[0][1:])
            if self.all[to].life == life and (int(sender[0][1:]), to) not in self.cut:
                self.all[to].broker.came(self.now(to), sender, word)
        for n, one in enumerate(self.all):
            if one.stalled > 0:
                one.stalled -= 1
                continue
            one.round(self.now(n))
        self.look()

    def look(self):
        """What was spendable in the window that ends now, by each life's most in it."""
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


def play(seed, ticks=500, starts=True, **more):
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
        if starts and chance.random() < 0.004:
            fleet.starts_over(chance.randrange(fleet.size))
        fleet.step()
    return fleet


@pytest.mark.parametrize("seed", range(30))
def test_what_all_may_spend_in_any_window_is_never_more_than_there_is(seed):
    fleet = play(seed, drift=0.004)
    assert fleet.worst <= fleet.size + EPSILON
    assert fleet.grants > 0


DEFECTS = {
    "a grant waits for nobody": (
        "took",
        lambda self, number: (self.out.extend(entry[1:] for entry in self.waiting), self.waiting.clear()),
    ),
    "what is given back is still in use": (
        "give_back",
        lambda self, now, kind, usable: [
            (self.budgets[kind].escrow.back, self.out.append((owner, (BACK, kind, number, 0, 0))))
            for number, (owner, *_) in list(self.budgets[kind].escrow.held.items())
        ],
    ),
    "the end of a loan is not told": (
        "parts",
        lambda self, now, divisor: [
            (budget.escrow.usable(now) / UNITS, None, 1.0) for budget in self.budgets
        ],
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_seen(name, monkeypatch):
    monkeypatch.setattr(broker.Broker, *DEFECTS[name])
    assert any(play(seed, drift=0.004, lag=40).worst > 4 + EPSILON for seed in range(40))


def settle(fleet, ticks):
    for _ in range(ticks):
        fleet.step()


def test_idle_parts_move_to_where_work_waits_and_back_when_their_owners_want_them():
    fleet = Fleet(1, loss=0.0)
    settle(fleet, 80)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4
    fleet.all[0].use = 4.0
    settle(fleet, 160)
    assert fleet.all[0].spends(fleet.now(0)) >= 3.0  # all that three lend
    for one in fleet.all[1:]:
        one.use = 2.0
    settle(fleet, (TERM + 2 * WINDOW) // TICK + 20)
    assert all(abs(one.spends(fleet.now(n)) - 1.0) < 0.26 for n, one in enumerate(fleet.all))
    for one in fleet.all:
        one.use = 0.0
    settle(fleet, 400)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4


def test_who_hears_nobody_has_its_own_part_again_within_a_term_and_the_window():
    fleet = Fleet(2, loss=0.0)
    settle(fleet, 80)
    fleet.all[0].use = 4.0
    settle(fleet, 160)
    fleet.cut = {(a, b) for a in range(4) for b in range(4)}
    for one in fleet.all:
        one.use = 2.0
    settle(fleet, (TERM + 2 * WINDOW) // TICK + 2)
    assert [one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)] == [1.0] * 4
    assert min(one.spends(fleet.now(n)) for n, one in enumerate(fleet.all)) >= KEPT / UNITS


def test_more_lives_than_configured_make_each_part_less():
    one = Broker(0, ((WINDOW, True, False),), 4)
    one.budgets[0].escrow.whole_at = 0
    assert one.parts(1, 4) == [(1.0, None, 1.0)] and one.parts(1, 8) == [(0.5, None, 0.5)]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([ASK, GRANT, BACK]),
            st.integers(0, 7),
            st.integers(0, 70),
            st.integers(0, 4096),
            st.integers(0, 1 << 40),
        ),
        max_size=60,
    ),
    st.lists(st.integers(0, 3 * WINDOW), min_size=60, max_size=60),
)
def test_whatever_others_say_a_part_is_never_less_than_what_is_kept_nor_more_than_was_asked_for(words, times):
    one, now = Broker(0, ((WINDOW, True, False), (WINDOW, True, True)), 4), 3 * WINDOW + TERM
    for word, more in zip(words, times, strict=False):
        now += more
        one.look(now, [(0.5, False), (0.5, False)], [("a", 1)])
        one.came(now, ("a", 1), word)
        one.tell(now, 4)
        one.took(one.number)
        for part, _, then in one.parts(now, 4):
            assert KEPT / UNITS <= then <= 1.0 and part <= 1.0  # it asked for nothing
    assert all(len(budget.escrow.lent) <= 64 for budget in one.budgets)
