"""The agreed log and the leases searched through: every interleaving of a small fleet, with messages lost and
doubled, crashes with and without a disk, standstills. A mutation of each guard must break it."""

import copy
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.config_log import agreement, lease
from wickvane.config_log.agreement import APPEND, LEADER, POLICY, VOTERS, Voter
from wickvane.config_log.lease import Holder, Lender
from wickvane.units import TICKS_PER_SECOND

MARKS = ("a", "b", "c")


class Cluster:
    """Voters, disks and messages under way; chosen: {place: entry} of all that any called committed, in all
    its lives. Whoever runs it decides what happens next."""

    def __init__(self, module=agreement, marks=MARKS, wire_most=4):
        self.module, self.marks, self.wire_most = module, marks, wire_most
        self.disks = dict.fromkeys(marks)
        self.voters = {mark: module.Voter(0, mark, marks, Random(1)) for mark in marks}
        self.wire, self.chosen, self.leaders, self.broken = (), {}, {}, None
        self.budget = {"seek": 3, "add": 2, "crash": 1, "lose-disk": 0, "double": 1}

    def twin(self):
        made = copy.copy(self)
        made.disks, made.chosen, made.leaders = dict(self.disks), dict(self.chosen), dict(self.leaders)
        made.budget, made.voters = dict(self.budget), {}
        for mark, voter in self.voters.items():
            other = copy.copy(voter)
            other.log, other.votes = list(voter.log), set(voter.votes)
            other.next, other.match, other.heard = dict(voter.next), dict(voter.match), dict(voter.heard)
            made.voters[mark] = other
        return made

    def key(self):
        return (
            tuple(
                (
                    v.term,
                    v.voted,
                    tuple(v.log),
                    v.committed,
                    v.role,
                    v.leader,
                    frozenset(v.votes),
                    tuple(sorted(v.next.items())),
                    tuple(sorted(v.match.items())),
                )
                for v in self.voters.values()
            ),
            tuple(sorted(self.wire, key=repr)),
            tuple(self.budget.items()),
        )

    def does(self, mark, what, *words):
        """One call of a voter, and what it says to do."""
        voter = self.voters[mark]
        voter.out = []
        what(voter, *words)
        for order, *rest in voter.out:
            if order == "save":
                self.disks[mark] = rest[0]
            elif order == "send":
                to, message = rest
                if to in self.voters and len(self.wire) < self.wire_most:
                    self.wire += ((mark, to, message),)
            else:
                place, entry = rest
                if self.chosen.setdefault(place, entry) != entry:
                    self.broken = f"place {place} is {self.chosen[place]} and {entry}"
        voter.out = []
        if voter.role == LEADER and self.leaders.setdefault(voter.term, mark) != mark:
            self.broken = f"term {voter.term} has two leaders"

    def seeks(self, mark):
        # Silence is long enough for all: that is the clock's matter, and may always be so.
        for voter in self.voters.values():
            voter.now, voter.leader_at = voter.now + 10 * TICKS_PER_SECOND, voter.leader_at
        self.does(mark, self.module.Voter.seek)

    def arrives(self, n, keep):
        sender, to, message = self.wire[n]
        if not keep:
            self.wire = self.wire[:n] + self.wire[n + 1 :]
        self.does(to, self.module.HANDLERS[message[0]], sender, *message[1:])

    def crashes(self, mark, disk):
        saved = self.disks[mark] if disk else None
        self.voters[mark] = self.module.Voter(self.voters[mark].now, mark, self.marks, Random(1), saved)

    def steps(self):
        for mark, voter in self.voters.items():
            if self.budget["seek"] and voter.role != LEADER:
                s = self.twin()
                s.budget["seek"] -= 1
                s.seeks(mark)
                yield s
            if self.budget["add"] and voter.role == LEADER:
                s = self.twin()
                s.budget["add"] -= 1
                s.does(mark, self.module.Voter.add, POLICY, f"{mark}{voter.term}")
                yield s
            for kind, disk in (("crash", True), ("lose-disk", False)):
                if self.budget[kind]:
                    s = self.twin()
                    s.budget[kind] -= 1
                    s.crashes(mark, disk)
                    yield s
        for n in range(len(self.wire)):
            s = self.twin()
            s.arrives(n, False)
            yield s
            if self.budget["double"]:
                s = self.twin()
                s.budget["double"] -= 1
                s.arrives(n, True)
                yield s
            s = self.twin()
            s.wire = s.wire[:n] + s.wire[n + 1 :]
            yield s


def walk(seed, module=agreement, length=120, **budget):
    """One long random path; what broke, or None."""
    chance, at = Random(seed), Cluster(module, wire_most=12)
    at.budget.update({"seek": 8, "add": 6, "crash": 4, "double": 10} | budget)
    for _ in range(length):
        # A path in which most arrives: others lead nowhere.
        if at.wire and chance.random() < 0.75:
            at.arrives(chance.randrange(len(at.wire)), False)
        else:
            found = list(at.steps())
            if not found:
                break
            at = chance.choice(found)
        if at.broken:
            return at.broken
    return None


def test_no_interleaving_of_three_voters_gives_one_place_two_contents():
    seen, line, states = set(), [Cluster()], 0
    while line and states < 15_000:
        following = []
        for state in line:
            for found in state.steps():
                assert not found.broken, found.broken
                if (key := hash(found.key())) not in seen:
                    seen.add(key)
                    states += 1
                    following.append(found)
        line = following
    print(f"{states} states")
    assert states >= 15_000


def test_long_paths_choose_much_and_never_twice():
    chosen = 0
    for seed in range(300):
        assert walk(seed) is None
    at = Cluster()
    at.seeks("a")
    while at.wire:
        at.arrives(0, False)
    at.does("a", Voter.add, POLICY, "x")
    while at.wire:
        at.arrives(0, False)
    chosen = [entry.what for _, entry in sorted(at.chosen.items())]
    assert chosen == [None, "x"]


def mutated(module, before, after):
    """The module's text with one guard changed."""
    source = open(module.__file__).read()
    assert source.count(before) == 1, before
    made = type(module)(module.__name__)
    exec(compile(source.replace(before, after), "mutation", "exec"), made.__dict__)
    return made


MUTATIONS = {
    "votes twice in a term": ("self.voted in (None, sender) and", "True and"),
    "votes for an older log": ("grants = term == self.term and newer and", "grants = term == self.term and"),
    "says before it saves": (
        "            self.voted, self.elect_at = sender, self.now + self.patience()\n"
        "            self.save()\n",
        "            self.voted, self.elect_at = sender, self.now + self.patience()\n",
    ),
    "keeps what differs": (
        "            del self.log[n - 1 :]\n            self.log.append(entry)\n",
        "            self.log.append(entry)\n",
    ),
    "takes what does not follow": (
        "if place > len(self.log) or self.term_at(place) != place_term:",
        "if place > len(self.log):",
    ),
    "a minority commits": (
        "return 2 * sum(mark in marks for mark in voters) > len(voters)",
        "return 2 * sum(mark in marks for mark in voters) >= len(voters) - 1",
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_of_each_guard_is_caught(name):
    module = mutated(agreement, *MUTATIONS[name])
    assert any(walk(seed, module) for seed in range(3000))


def late(module):
    """A leader of term 3 sends on what it alone had of term 1, and dies: what another wrote in term 2 stands
    in that place in the end (figure 8 of the paper). Messages of one entry, so that the two come apart."""
    module.ENTRIES_MOST, at = 1, Cluster(module, wire_most=12)

    def deliver(mark, other, most):
        for _ in range(most):
            n = next((n for n, words in enumerate(at.wire) if {*words[:2]} == {mark, other}), None)
            if n is None or at.voters[mark].role == LEADER and most > 10:
                break
            at.arrives(n, False)
        at.wire = ()

    def leads(mark, other):
        at.crashes(mark, True)
        at.crashes(other, True)
        for _ in range(2):  # the first may only tell it of a later term
            at.seeks(mark)
            deliver(mark, other, 40)
        assert at.voters[mark].role == LEADER

    leads("a", "b")
    leads("c", "b")
    leads("a", "b")
    at.does("a", module.Voter.append, "b")
    deliver("a", "b", 4)  # refused, then the entry of term 1 and its answer
    assert at.voters["b"].log and len(at.voters["b"].log) == 1
    leads("c", "b")
    at.does("c", module.Voter.append, "b")
    deliver("c", "b", 8)
    return at


def test_an_entry_of_a_former_term_is_committed_by_a_later_one_alone():
    assert not late(mutated(agreement, "ENTRIES_MOST = 16", "ENTRIES_MOST = 1")).broken
    module = mutated(agreement, "if self.term_at(place) == self.term and self.majority", "if self.majority")
    assert late(module).broken


def test_a_voter_without_its_disk_under_its_former_mark_would_vote_twice_and_so_gets_a_new_one():
    assert any(walk(seed, **{"lose-disk": 2}) for seed in range(3000))
    # By a new mark it follows, votes for nobody, and is let in by an entry.
    at = Cluster(marks=MARKS, wire_most=12)
    at.seeks("a")
    while at.wire:
        at.arrives(0, False)
    del at.voters["c"]
    at.voters["d"] = Voter(0, "d", MARKS, Random(1))
    at.disks["d"] = None
    at.does("d", Voter.asked_vote, "b", 1, 9, 9, False)
    assert at.wire[-1][2][2] is False
    at.wire = ()
    at.does("a", Voter.add, VOTERS, ("a", "b", "d", "c"))
    for _ in range(40):
        if not at.wire:
            break
        at.arrives(0, False)
    assert at.voters["d"].voters() == ("a", "b", "d", "c") and at.voters["d"].committed
    assert at.voters["a"].add(VOTERS, ("a",)) is None  # one at a time


# Leases


class Leases:
    """Three voters, two holders; a clock each, ticks; numbers 1, then 2, opened once a majority is closed."""

    def __init__(self, module=lease):
        self.module, self.time = module, 0
        self.clock = {name: 100 for name in ("a", "b", "c", "x", "y")}
        self.lenders = {mark: module.Lender(100 - 50, 1, None, 3, 0) for mark in MARKS}
        self.holders = {name: module.Holder(1, 3) for name in ("x", "y")}
        self.disk = {mark: (1, None) for mark in MARKS}
        self.said, self.started, self.acted, self.broken = set(), False, set(), None
        self.wire, self.slips, self.crashes = (), 1, 1

    def twin(self):
        made = copy.copy(self)
        made.clock, made.disk = dict(self.clock), dict(self.disk)
        made.said, made.acted = set(self.said), set(self.acted)
        made.lenders = {mark: copy.copy(one) for mark, one in self.lenders.items()}
        made.holders = {name: copy.copy(one) for name, one in self.holders.items()}
        for one in made.lenders.values():
            one.lent = dict(one.lent)
        for one in made.holders.values():
            one.untils = dict(one.untils)
        return made

    def look(self):
        serving = {one.number for name, one in self.holders.items() if one.serves(self.clock[name], MARKS)}
        self.acted |= serving
        if 1 in serving and 2 in self.acted:
            self.broken = "the old number at work after the new"
        return self

    def key(self):
        return (
            self.time,
            tuple(
                (
                    one.opened,
                    one.closing,
                    tuple(sorted((h, u - self.clock[m]) for h, u in one.lent.items())),
                    max(0, one.unknown_until - self.clock[m]),
                )
                for m, one in self.lenders.items()
            ),
            tuple(
                (one.number, tuple(sorted((v, u - self.clock[n]) for v, u in one.untils.items())))
                for n, one in self.holders.items()
            ),
            tuple(sorted((*w[:4], w[4] - self.clock[w[1]]) for w in self.wire)),
            frozenset(self.said),
            self.started,
            frozenset(self.acted),
            self.slips,
            self.crashes,
        )

    def steps(self):
        if self.time < 7:
            for slow in (None, "x", "a") if self.slips else (None,):
                s = self.twin()
                s.time, s.slips = s.time + 1, s.slips - (slow is not None)
                for name in s.clock:
                    s.clock[name] += name != slow
                yield s.look()
        for name, holder in self.holders.items():
            if len(self.wire) < 3:
                for mark in MARKS:
                    s = self.twin()
                    s.wire += (("ask", name, mark, holder.number, s.clock[name]),)
                    yield s
            if self.started and holder.number == 1:
                s = self.twin()
                s.holders[name].take(2)
                yield s.look()
        for n, (kind, name, mark, number, asked) in enumerate(self.wire):
            s = self.twin()
            s.wire = s.wire[:n] + s.wire[n + 1 :]
            if kind == "ask":
                if s.lenders[mark].lend(s.clock[mark], name, number):
                    s.wire += (("yes", name, mark, number, asked),)
            else:
                s.holders[name].granted(mark, number, asked)
            yield s.look()
        for mark, lender in self.lenders.items():
            if lender.closing is None and lender.opened == 1 and not self.started:
                s = self.twin()
                s.lenders[mark].close(2)
                s.disk[mark] = 1, 2
                yield s
            if lender.closed(self.clock[mark]) and mark not in self.said:
                s = self.twin()
                s.said.add(mark)
                yield s
            if self.started and lender.opened == 1:
                s = self.twin()
                s.lenders[mark].open(2)
                s.disk[mark] = 2, None
                yield s
            if self.crashes:
                s = self.twin()
                s.crashes -= 1
                s.lenders[mark] = s.module.Lender(s.clock[mark], *s.disk[mark], 3, 0)
                yield s
        if len(self.said) >= 2 and not self.started:
            s = self.twin()
            s.started = True
            yield s


def search(most):
    """(what broke or None, states), breadth first."""
    seen, line, states = set(), [Leases()], 0
    while line and states < most:
        following = []
        for state in line:
            for found in state.steps():
                if found.broken:
                    return found.broken, states
                if (key := hash(found.key())) not in seen:
                    seen.add(key)
                    states += 1
                    following.append(found)
        line = following
    return None, states


def acted(module, text):
    """What broke when these steps are taken in turn; one that a guard forbids is left out."""
    at = Leases(module)
    for what, *names in map(str.split, text.split(",")):
        if what == "tick":
            for name in at.clock:
                at.clock[name] += 1
        elif what == "lease":  # asked and answered at once
            holder, now = at.holders[names[0]], at.clock[names[0]]
            for mark in names[1:]:
                if at.lenders[mark].lend(at.clock[mark], names[0], holder.number):
                    holder.granted(mark, holder.number, now)
        elif what == "close":
            for mark in names:
                at.lenders[mark].close(2)
                at.disk[mark] = 1, 2
        elif what == "crash":
            for mark in names:
                at.lenders[mark] = module.Lender(at.clock[mark], *at.disk[mark], 3, 0)
        elif what == "start":
            at.started = sum(at.lenders[mark].closed(at.clock[mark]) for mark in names) >= 2
        elif at.started:  # open: at these voters, and the second holder goes over
            at.holders["y"].take(2)
            for mark in names:
                at.lenders[mark].open(2)
            at.look()
        at.look()
    return at.broken


def test_no_interleaving_lets_the_old_number_act_after_the_new():
    found, states = search(20_000)
    print(f"{states} states")
    assert found is None and states >= 20_000


TICKS = ", ".join(["tick"] * 4)
LEASES = {  # the guard changed; steps by which that breaks, and the guard itself does not
    "a voter forgets what it lent": (
        "self.unknown_until = now + term + self.grace",
        "self.unknown_until = now",
        "lease x a b, close a b, crash a b, start a b, open a b, lease y a b",
    ),
    "closed though lent": (
        "            and all(now >= until for until in self.lent.values())\n",
        "",
        "lease x a b, close a b, start a b, open a b, lease y a b",
    ),
    "lends while it closes": (
        "if number != self.opened or self.closing is not None:",
        "if number != self.opened:",
        "close a b, start a b, lease x a b, open a b, lease y a b",
    ),
    "counts longer than was asked for": (
        "max(asked_at + self.term,",
        "max(asked_at + 2 * self.term,",
        f"lease x a b, {TICKS}, close a b, start a b, open a b, lease y a b",
    ),
    "no majority is needed": (
        "untils[len(voters) // 2]",
        "untils[0]",
        "lease x a, close b c, start b c, open b c, lease y b c",
    ),
}


@pytest.mark.parametrize("name", LEASES)
def test_a_mutation_of_each_guard_of_leases_is_caught(name):
    before, after, steps = LEASES[name]
    assert acted(lease, steps) is None
    assert acted(mutated(lease, before, after), steps) is not None


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["lend", "back", "close", "open", "wait"]), st.integers(0, 4), st.integers(0, 3)
        ),
        max_size=40,
    )
)
def test_a_lender_never_opens_a_lower_number_nor_lends_two(words):
    one, now, highest = Lender(0, 0, term=10), 100, 0
    for what, figure, who in words:
        now += figure
        if what == "lend":
            assert one.lend(now, who, figure) is (figure == one.opened and one.closing is None)
        elif what == "wait":
            now += 10 * figure
        else:
            getattr(one, what)(who if what == "back" else figure)
        highest = max(highest, one.opened)
        assert one.opened == highest


def test_a_holder_counts_on_a_majority_alone():
    one = Holder(1, 10)
    one.granted("a", 1, 100)
    assert not one.serves(100, MARKS)
    one.granted("b", 1, 95)
    one.granted("c", 2, 100)
    assert one.serves(104, MARKS) and not one.serves(105, MARKS) and one.until(()) == 0
    assert sorted(one.give_up()) == ["a", "b"] and not one.serves(100, MARKS)


def test_three_voters_elect_follow_and_elect_again_by_their_clocks():
    """A fleet in virtual time: a leader within seconds, the same content at all, a new one when it stops."""
    chance = Random(5)
    voters = {mark: Voter(0, mark, MARKS, Random(f"{mark}")) for mark in MARKS}
    wire, committed, down = [], {mark: {} for mark in MARKS}, set()

    def run(until, now):
        while now < until:
            now += 100
            came = {mark: [] for mark in MARKS}
            for entry in [entry for entry in wire if entry[0] <= now]:
                wire.remove(entry)
                came[entry[2]].append((entry[1], entry[3]))
            for mark in MARKS:
                if mark not in down:
                    for order, *rest in voters[mark].round(now, came[mark]):
                        if order == "send":
                            wire.append((now + chance.randrange(100, 400), mark, *rest))
                        elif order == "committed":
                            committed[mark][rest[0]] = rest[1]
        return now

    now = run(80_000, 0)
    (leader,) = [mark for mark, voter in voters.items() if voter.role == LEADER]
    assert voters[leader].add(POLICY, (7, "digest", "text"))
    now = run(now + 20_000, now)
    assert all(found == committed[leader] and len(found) == 2 for found in committed.values())
    down.add(leader)
    now = run(now + 100_000, now)
    (second,) = [mark for mark, voter in voters.items() if voter.role == LEADER and mark not in down]
    assert voters[second].add(POLICY, (8, "digest", "text"))
    now = run(now + 20_000, now)
    down.clear()
    run(now + 40_000, now)
    assert voters[leader].role != LEADER and committed[leader] == committed[second]
    assert [entry.what for entry in committed[second].values() if entry.kind == POLICY] == [
        (7, "digest", "text"),
        (8, "digest", "text"),
    ]
    assert wire and all(message[0] in range(4) for *_, message in wire) and APPEND == 2
