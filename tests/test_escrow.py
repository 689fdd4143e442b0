"""The escrow searched through: every interleaving of a small fleet, with datagrams lost, doubled and late,
standstills, restarts and clocks that differ. A mutation of each guard must break it.

Two programs, and a third that asks: the owner of two units lends to either holder. After each step the units
that all may spend are compared with those that there are, also over any window: what was spendable in the
last window by one and is spendable now by another is a unit too much. Spending is taken to happen whenever it
may.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import escrow
from wickvane.quotas.escrow import Escrow

OWN, KEPT, TERM, WINDOW = 2, 1, 3, 1
HORIZON, WIRE_MOST, STATES_MOST = 9, 3, 400_000


class State:
    """clocks by program; owner; holders; datagrams under way; spendable by whom, a tick at a time, within a
    window; what may still go wrong."""

    def __init__(self):
        self.clock, self.time = [100, 200, 300], 0
        self.owner = fresh(self.clock[0] - 50)
        self.holders = [empty(self.clock[1]), empty(self.clock[2])]
        self.lives = [0, 0]
        self.wire, self.lately = (), ()
        self.slips, self.doubles, self.starts = 1, 1, 1
        self.former = 0, -WINDOW  # what the owner's former life could spend at its end, and when that was

    def key(self):
        """What tells two states apart, by times that are relative to each clock."""

        def loans(e, now):
            return (
                tuple(sorted((k, u, max(o - now, -1)) for k, (u, o) in e.lent.items())),
                tuple(sorted((u, a - now) for u, a in e.coming if a > now)),
                tuple(sorted(e.ended.items())),
                max(e.whole_at - now, 0),
                e.number,
                tuple(sorted((n, o, f - now, a - now) for n, (o, f, a) in e.asked.items())),
                tuple(sorted((n, o, u, b - now, t - now) for n, (o, u, b, t) in e.held.items())),
            )

        return (
            self.time,
            loans(self.owner, self.clock[0]),
            *(loans(h, self.clock[n + 1]) for n, h in enumerate(self.holders)),
            tuple(
                sorted(
                    (
                        w[0],
                        w[1],
                        *(
                            x - self.clock[w[1] + 1] if i == 3 and w[0] != "back" else x
                            for i, x in enumerate(w[2:], 2)
                        ),
                    )
                    for w in self.wire
                )
            ),
            self.lately,
            former(self),
            self.slips,
            self.doubles,
            self.starts,
            tuple(self.lives),
        )


def fresh(now):
    return Escrow(now, OWN, KEPT, TERM, WINDOW, drift=0, at_once=False)


def empty(now):
    return Escrow(now, 0, 0, TERM, WINDOW, drift=0)


def of(escrow):
    made = Escrow.__new__(Escrow)
    made.__dict__ = {k: v.copy() if isinstance(v, dict | list) else v for k, v in escrow.__dict__.items()}
    return made


def twin(state):
    made = State.__new__(State)
    made.__dict__ = dict(state.__dict__)
    made.clock, made.lives = list(state.clock), list(state.lives)
    made.owner, made.holders = of(state.owner), [of(h) for h in state.holders]
    return made


def spendable(state):
    """Units that each may spend now, the owner first."""
    return (
        state.owner.mine(state.clock[0]),
        *(h.usable(state.clock[n + 1]) for n, h in enumerate(state.holders)),
    )


def former(state):
    """What the owner's former life could spend in a window that is not over."""
    return state.former[0] if state.time - state.former[1] < WINDOW else 0


def over(state):
    """Whether more is spent in a window that ends now than there is: each by its most within it."""
    shares = [spendable(state), *state.lately]
    return sum(max(column) for column in zip(*shares)) + former(state) > OWN


def steps(state):
    """All states that one step leads to."""

    def changed():
        return twin(state)

    if state.time < HORIZON:
        # A tick; once, a holder's clock stands while the owner's goes on.
        for slow in (None, 0, 1) if state.slips else (None,):
            s = changed()
            s.lately = (spendable(state),)[:WINDOW]
            s.time += 1
            for n in range(3):
                s.clock[n] += slow is None or n != slow + 1
            s.slips -= slow is not None
            yield s
    for n, holder in enumerate(state.holders):
        if len(state.wire) < WIRE_MOST:
            if not holder.asked:
                s = changed()
                number = s.holders[n].ask(s.clock[n + 1], "owner")
                s.wire += (("ask", n, number, s.clock[n + 1], state.lives[n]),)
                yield s
            for number in holder.held:
                s = changed()
                if s.holders[n].again(s.clock[n + 1], number):
                    s.wire += (("ask", n, number, s.clock[n + 1], state.lives[n]),)
                    yield s
                s = changed()
                s.holders[n].stop(s.clock[n + 1], number)
                s.wire += (("back", n, number, 0, state.lives[n]),)
                yield s
    for k, (kind, n, number, more, life) in enumerate(state.wire):
        for kept in (False, True) if state.doubles else (False,):
            s = changed()
            if not kept:
                s.wire = s.wire[:k] + s.wire[k + 1 :]
            s.doubles -= kept
            if kind == "ask":
                units = s.owner.lend(s.clock[0], (n, life), number, 2 - n, 0)
                if units and len(s.wire) < WIRE_MOST:
                    s.wire += ((f"grant{units}", n, number, more, life),)
            elif kind == "back":
                s.owner.back(s.clock[0], (n, life), number)
            elif life == s.lives[n]:
                s.holders[n].granted(s.clock[n + 1], "owner", number, int(kind[5:]), more)
            yield s
        s = changed()
        s.wire = s.wire[:k] + s.wire[k + 1 :]  # lost
        yield s
    if state.starts:
        s = changed()
        s.starts -= 1
        s.former = spendable(s)[0], s.time
        s.lately = tuple((0, *row[1:]) for row in s.lately)
        s.owner = fresh(s.clock[0])
        yield s
        s = changed()
        s.starts -= 1
        s.holders[0], s.lives[0] = empty(s.clock[1]), s.lives[0] + 1
        yield s


def search(most=STATES_MOST):
    """(a state in which more may be spent than there is, or None; states seen)"""
    first = State()
    seen, line = {first.key()}, [first]
    while line and len(seen) < most:
        following = []
        for state in line:
            for found in steps(state):
                key = found.key()
                if key in seen:
                    continue
                seen.add(key)
                if over(found):
                    return found, len(seen)
                following.append(found)
        line = following
    return None, len(seen)


def test_no_interleaving_lets_more_be_spent_than_there_is():
    found, seen = search(45_000)
    print(f"{seen} states")
    assert found is None and seen >= 45_000


SOURCE = open(escrow.__file__).read()
MUTATIONS = {
    "the owner waits no window": (
        "until = now + self.term + self.grace + self.window",
        "until = now + self.term + self.grace",
    ),
    "the owner waits no grace": ("self.grace = term * drift // 1000 + 1", "self.grace = 0"),
    "the holder counts from the grant": ("until = asked_at + self.term", "until = now + self.term"),
    "the holder uses it at once": ("units, now + self.window, until", "units, now, until"),
    "the owner uses it at once": (
        "self.coming.append((known[0], now + self.window))",
        "self.coming.append((known[0], now))",
    ),
    "a new life uses all": ("self.whole_at = now + self.term + self.grace + window", "self.whole_at = now"),
    "a new life spends at once": (
        "self.rests_until = now if at_once else now + window",
        "self.rests_until = now",
    ),
    "a stopped loan is taken up": (
        "if known is None or known[0] != owner or not known[1] <= asked_at <= known[2] or units <= 0:",
        "if units <= 0:",
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_of_each_guard_is_caught(name, monkeypatch):
    before, after = MUTATIONS[name]
    assert SOURCE.count(before) == 1
    made = {}
    exec(compile(SOURCE.replace(before, after), name, "exec"), made)
    monkeypatch.setitem(globals(), "Escrow", made["Escrow"])
    found, _ = search()
    assert found is not None


def test_a_loan_is_asked_for_used_renewed_and_given_back():
    owner, holder = Escrow(-1000, 10, 4, 100, 10), Escrow(0, 2, 2, 100, 10)
    assert owner.mine(0) == 10 and holder.usable(0) == 2
    n = holder.ask(0, "a")
    assert owner.lend(1, ("b", 1), n, 8, 5) == 5 and owner.mine(1) == 5  # its own need stays
    assert owner.lend(2, ("b", 1), n, 8, 0) == 5 and owner.mine(2) == 5  # the same question, the same answer
    assert holder.granted(3, "a", n, 5, 0) and holder.usable(3) == 2 and holder.usable(13) == 7
    assert holder.again(60, n) and owner.lend(61, ("b", 1), n, 8, 0) == 5
    assert holder.granted(62, "a", n, 5, 60) and holder.usable(150) == 7 and holder.usable(160) == 2
    assert owner.mine(150) == 5 and owner.mine(61 + 100 + 2 + 10) == 10
    n = holder.ask(200, "a")
    owner.lend(200, ("b", 1), n, 5, 0)
    holder.granted(201, "a", n, 5, 200)
    assert holder.stop(220, n) and holder.usable(220) == 2
    assert owner.back(221, ("b", 1), n) and owner.mine(230) == 5 and owner.mine(231) == 10
    assert owner.lend(232, ("b", 1), n, 5, 0) == 0  # ended: what comes late puts nothing out of use


def test_who_hears_nobody_has_its_own_part_within_a_term_and_keeps_the_rest_always():
    owner = Escrow(0, 10, 4, 100, 10)
    assert owner.mine(0) == 4 and owner.lend(50, "b", 1, 9, 0) == 0  # it may have lent before it started
    assert owner.mine(111) == 4 and owner.mine(112) == 10
    assert owner.lend(112, "b", 1, 9, 0) == 6 and owner.mine(113) == 4
    assert owner.mine(112 + 100 + 2 + 10) == 10


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["lend", "back", "wait"]), st.integers(1, 5), st.integers(0, 40)),
        max_size=60,
    )
)
def test_an_owner_never_counts_more_than_it_owns_nor_less_than_it_keeps(said):
    owner, now = Escrow(0, 10, 3, 100, 10), 200
    for what, number, figure in said:
        now += figure
        if what == "lend":
            owner.lend(now, f"h{figure % 3}", number, figure, 0)
        elif what == "back":
            owner.back(now, f"h{figure % 3}", number)
        assert 3 <= owner.mine(now) <= 10
        assert owner.mine(now) + owner.away() == 10
