"""Peers without sockets: the table of lives beside a slow plain model, detection and standing in virtual
time, the codec against hostile octets."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.cluster import standing as sd
from wickvane.cluster import wire
from wickvane.cluster.detector import LEAST, MOST, Detector
from wickvane.cluster.membership import (
    ALIVE,
    BUCKETS,
    FAILED,
    JOINING,
    LEFT,
    LIVES_MOST,
    SUM,
    SUSPECT,
    Table,
    mark,
)
from wickvane.cluster.protocol import DATAGRAM, SENT_BURST, SENT_RATE, Node
from wickvane.files import FileError
from wickvane.rehearsal.peers import Fleet, fill
from wickvane.units import TICKS_PER_SECOND

NAMES, ADDRESSES = ["me", "a", "b", "c"], ["1.0.0.1:1", "1.0.0.2:1", "1.0.0.3:1"]
MINE = 50


def table(most=64, remember=1000 * TICKS_PER_SECOND):
    return Table(0, "me", MINE, "1.0.0.9:1", most, remember, lambda event, fields: None)


words = st.tuples(
    st.sampled_from(NAMES[1:]),
    st.integers(1, 4),
    st.integers(0, 3),
    st.sampled_from([JOINING, ALIVE, SUSPECT, FAILED, LEFT]),
    st.sampled_from(["a", "b", "x"]),
)


def rank(incarnation, state):
    return state == LEFT, incarnation, state


class Plain:
    """The rules' words alone, looked up in all that was ever said: the highest word of a life holds.
    Addresses are apart, so that no life replaces another, and nobody is heard of at first hand."""

    def __init__(self):
        self.said = {}

    def hears(self, name, epoch, incarnation, state):
        self.said.setdefault((name, epoch), []).append((incarnation, state))

    def highest(self, life):
        return max(self.said[life], key=lambda word: rank(*word))

    def view(self):
        there = [life for life in self.said if self.highest(life)[1] in (ALIVE, SUSPECT)]
        return {(name, min(e for n, e in there if n == name)) for name, _ in there}


def address(name, epoch):
    return f"{name}-{epoch}:1"


@settings(max_examples=400, deadline=None)
@given(st.lists(words, max_size=40))
def test_the_highest_word_of_each_life_holds_whatever_was_heard_between(said):
    made, plain, now = table(), Plain(), 0
    for name, epoch, incarnation, state, by in said:
        # So late that a verdict of others is believed: a suspicion here is old, and nothing was heard since.
        now += 10 * TICKS_PER_SECOND
        row = made.rows.get((name, epoch))
        believed = state != FAILED or row is None or made.state[row] in (SUSPECT, FAILED, LEFT)
        made.hears(now, name, epoch, address(name, epoch), incarnation, state, by)
        plain.hears(name, epoch, incarnation, state if believed else SUSPECT)
        for life in plain.said:
            row = made.rows[life]
            assert (made.incarnation[row], made.state[row]) == plain.highest(life)
        held = {(made.name[row], made.epoch[row]) for row, _ in made.held.values()}
        assert held == plain.view()
        assert made.digest == xor(mark(*life) for life in held)
        assert sorted(made.living) == sorted(row for row in made.rows.values() if made.state[row] < FAILED)
        assert made.dead == {row for row in made.rows.values() if made.state[row] >= FAILED}
        assert made.sums == sums_of(made)


def xor(values):
    found = 0
    for value in values:
        found ^= value
    return found


def sums_of(made):
    found = [0] * BUCKETS
    for row in made.rows.values():
        if made.state[row] < FAILED:
            found[made.bucket[row]] ^= (
                mark(made.name[row], made.epoch[row], made.incarnation[row]) & 0xFFFFFFFF
            )
    return found


@settings(max_examples=300, deadline=None)
@given(st.lists(words.filter(lambda word: word[3] != FAILED), max_size=25), st.randoms(use_true_random=False))
def test_words_in_any_order_and_any_number_of_times_come_to_the_same(said, chance):
    one, other = table(), table()
    again = said + chance.choices(said, k=len(said)) if said else []
    chance.shuffle(again)
    for made, order in ((one, said), (other, again)):
        for name, epoch, incarnation, state, by in order:
            made.hears(TICKS_PER_SECOND, name, epoch, address(name, epoch), incarnation, state, by)
    assert one.digest == other.digest and one.sums == other.sums
    assert {life: (one.incarnation[row], one.state[row]) for life, row in one.rows.items()} == {
        life: (other.incarnation[row], other.state[row]) for life, row in other.rows.items()
    }


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(words, st.sampled_from(ADDRESSES), st.booleans(), st.integers(0, 30 * TICKS_PER_SECOND)),
        max_size=60,
    )
)
def test_a_life_once_ended_never_comes_back_without_a_higher_incarnation(said):
    """With lives that replace each other, are forgotten, are heard of at first hand; all stays bounded."""
    made, now, over = table(most=12, remember=60 * TICKS_PER_SECOND), 0, {}
    for (name, epoch, incarnation, state, by), where, direct, wait in said:
        now += wait
        made.age(now)
        made.hears(now, name, epoch, where, incarnation, state, by, direct)
        row = made.rows.get((name, epoch))
        if direct and row is not None:
            made.heard[row] = now
        for life, row in made.rows.items():
            word = rank(made.incarnation[row], made.state[row])
            assert life not in over or made.state[row] >= FAILED or word > over[life], (life, word)
            if made.state[row] >= FAILED:
                over[life] = max(over.get(life, word), word)
        for life in over:
            if life not in made.rows:
                assert made.floors[life[0]] >= life[1]
        assert len(made.rows) <= 12 and all(len(rows) <= LIVES_MOST for rows in made.of_name.values())
        assert made.state[0] == JOINING and made.rows["me", MINE] == 0
        assert set(made.rumours) <= set(made.rows.values())
        assert set(made.confirmers) == {r for r in made.rows.values() if made.state[r] == SUSPECT}


def test_who_is_suspected_refutes_and_a_former_life_of_mine_is_no_rival():
    made = table()
    made.hears(1, "me", MINE, "1.0.0.9:1", 4, FAILED, "a")
    assert (made.incarnation[0], made.state[0]) == (5, JOINING) and made.rumours[0] == 0
    made.hears(2, "me", MINE - 7, "1.0.0.9:1", 9, ALIVE, "")
    assert made.state[made.rows["me", MINE - 7]] == LEFT and not made.aside()
    # A clock that went back: the former life's epoch is past mine, at the address that only I can have now.
    made.hears(3, "me", MINE + 7, "1.0.0.9:1", 2, ALIVE, "")
    assert made.epoch[0] == MINE + 8 and ("me", MINE) not in made.rows and made.rows["me", MINE + 8] == 0
    # Forgotten by hand while it runs: a new life, since the one before was ended for good.
    made.hears(4, "me", MINE + 8, "1.0.0.9:1", 0, LEFT, "a")
    assert made.epoch[0] == MINE + 9


def test_of_two_lives_at_two_addresses_the_older_holds_the_name_until_it_is_over():
    made = table()
    made.hears(1, "a", 5, "x:1", 0, ALIVE, "")
    made.hears(2, "a", 9, "y:1", 0, ALIVE, "")
    assert made.epoch[made.holder("a")] == 5
    made.hears(3, "a", 5, "x:1", 0, SUSPECT, "b")
    made.hears(3 + 9 * TICKS_PER_SECOND, "a", 5, "x:1", 0, FAILED, "b")
    assert made.epoch[made.holder("a")] == 9
    made.hears(20 * TICKS_PER_SECOND, "a", 5, "x:1", 1, ALIVE, "")  # it was only cut off
    assert made.epoch[made.holder("a")] == 5
    # At one address the younger has replaced it at once.
    made.hears(21 * TICKS_PER_SECOND, "a", 6, "x:1", 0, ALIVE, "")
    assert made.epoch[made.holder("a")] == 6 and made.state[made.rows["a", 5]] == LEFT
    mine = table()
    mine.becomes(1, 0, 0, ALIVE, "")
    mine.hears(2, "me", MINE - 1, "elsewhere:1", 0, ALIVE, "")
    assert mine.aside() and mine.epoch[mine.holder("me")] == MINE - 1


def test_a_verdict_of_others_is_a_suspicion_where_it_was_not_suspected_or_was_heard_just_now():
    made = table()
    row = made.hears(1, "a", 1, "x:1", 0, ALIVE, "")
    made.hears(2, "a", 1, "x:1", 0, FAILED, "b")
    assert made.state[row] == SUSPECT
    made.heard[row] = 10 * TICKS_PER_SECOND
    made.hears(11 * TICKS_PER_SECOND, "a", 1, "x:1", 0, FAILED, "c")
    assert made.state[row] == SUSPECT
    made.hears(30 * TICKS_PER_SECOND, "a", 1, "x:1", 0, FAILED, "c")
    assert made.state[row] == FAILED


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(1, 200), max_size=120))
def test_each_counter_is_taken_once(counters):
    made, taken, highest = table(), set(), 0
    row = made.hears(1, "a", 1, "x:1", 0, ALIVE, "")
    for counter in counters:
        fits = counter not in taken and (counter > highest or highest - counter < 64)
        assert made.fresh(row, counter) == fits
        if fits:
            taken.add(counter)
            highest = max(highest, counter)


class Said:
    """A writer that keeps what a detector asked for."""

    def __init__(self):
        self.pings, self.asks, self.nacks, self.over, self.suspects = [], [], [], [], []

    def ping(self, row, seq):
        self.pings.append((row, seq))

    def ask(self, helper, row, seq):
        self.asks.append((helper, row, seq))

    def nack(self, whose, seq):
        self.nacks.append((whose, seq))

    def failed(self, row):
        self.over.append(row)

    def suspected(self, row, helpers):
        self.suspects.append((row, helpers))


def detecting(members=4):
    made = table()
    for n in range(members):
        made.hears(0, f"p{n}", 1, f"p{n}:1", 0, ALIVE, "")
    return made, Detector(0, made, Random(1), TICKS_PER_SECOND // 2), Said()


def until(detector, said, now, end):
    while now <= end:
        detector.tick(now, said)
        now += 100
    return now


def test_all_are_probed_once_a_turn_and_who_answers_is_not_suspected():
    made, detector, said = detecting()
    for n in range(1, 9):
        until(detector, said, n * 5_000, n * 5_000)
        detector.acked(n * 5_000 + 10, *said.pings[-1])
    rows = [row for row, _ in said.pings]
    assert sorted(rows[:4]) == sorted(rows[4:]) == [1, 2, 3, 4]
    assert not said.asks and not said.suspects


def test_without_an_answer_others_are_asked_and_only_then_it_is_suspected():
    made, detector, said = detecting()
    until(detector, said, 5_000, 7_100)
    row, seq = said.pings[0]
    assert said.pings == [(row, seq)] * 2 and {about for _, about, _ in said.asks} == {row}
    assert len(said.asks) == 3 and not said.suspects
    helpers = [helper for helper, _, _ in said.asks]
    for helper in helpers[:2]:
        detector.nacked(8_000, helper, seq)
    until(detector, said, 8_000, 10_000)
    assert said.suspects[0] == (row, sorted(helpers[:2]))
    assert detector.health == 1  # one helper was not heard: on whose side is it?
    # Heard by another way than the answer: there, whatever became of it.
    made, detector, said = detecting()
    until(detector, said, 5_000, 7_000)
    made.heard[said.pings[0][0]] = 7_000
    until(detector, said, 7_100, 10_000)
    assert not said.suspects


def test_the_time_to_refute_falls_with_each_independent_word_and_grows_for_who_refuted_lately():
    made, detector, said = detecting()
    made.hears(0, "p0", 1, "p0:1", 0, SUSPECT, "me")
    row = made.rows["p0", 1]
    detector.suspects(0, row)
    times = [detector.deadline(row)]
    for by in ("p1", "p2", "p3"):
        made.hears(1, "p0", 1, "p0:1", 0, SUSPECT, by)
        times.append(detector.deadline(row))
    assert times[0] == MOST and times[-1] == LEAST and times == sorted(times, reverse=True)
    made.hears(2, "p0", 1, "p0:1", 1, ALIVE, "")
    detector.clears(row)
    made.hears(3, "p0", 1, "p0:1", 1, SUSPECT, "me")
    detector.suspects(3, row)
    assert detector.deadline(row) == 3 + 2 * MOST


def test_who_stood_still_judges_nobody_for_it():
    made, detector, said = detecting()
    until(detector, said, 5_000, 6_000)
    made.hears(6_000, "p0", 1, "p0:1", 0, SUSPECT, "p1")
    detector.suspects(6_000, made.rows["p0", 1])
    before = detector.deadline(made.rows["p0", 1])
    detector.stands_still(6_000 + 200_000, 200_000)
    detector.tick(206_000, said)
    assert not said.suspects and not said.over and detector.deadline(made.rows["p0", 1]) == before + 200_000
    assert not detector.settled(206_100) and detector.settled(240_000)


# Standing


@settings(max_examples=300, deadline=None)
@given(st.lists(words, max_size=30), st.integers(0, 12))
def test_no_view_lets_a_dispatcher_take_more_than_the_configured_count_gives(said, configured):
    made = table()
    for n, (name, epoch, incarnation, state, by) in enumerate(said):
        made.hears(n * 5 * TICKS_PER_SECOND, name, epoch, address(name, epoch), incarnation, state, by)
        running = sum(made.state[row] not in (FAILED, LEFT) for row in made.rows.values())
        known = {made.name[row] for row in made.rows.values() if made.state[row] != LEFT}
        assert sd.divisor(configured, made) >= max(1, configured, len(known))
        assert sd.divisor(configured, made) >= running
        here, suspected, failed, waiting = sd.census(made)
        parts = sd.part(configured, here, suspected, failed, True)
        # Two sides of a cut that know of the same whole never both take themselves for the larger.
        whole = max(configured, here + suspected + failed)
        other = sd.part(configured, whole - here, 0, here, True) if whole > here else sd.UNKNOWN
        assert (parts, other) != (sd.LARGER, sd.LARGER)


@pytest.mark.parametrize(
    "figures, standing, reasons",
    [
        ((5, 5, 0, 0, True, False, False, True), sd.WHOLE, []),
        ((5, 4, 0, 1, True, False, False, True), sd.DEGRADED, ["failed", "missing"]),
        ((5, 4, 1, 0, True, False, False, True), sd.DEGRADED, ["suspected"]),
        ((5, 1, 0, 4, None, False, False, True), sd.ALONE, ["failed", "missing"]),
        ((1, 1, 0, 0, None, False, False, True), sd.WHOLE, []),
        ((5, 5, 0, 0, True, True, False, True), sd.ALONE, ["unheard"]),
        ((5, 5, 0, 0, True, False, True, True), sd.ALONE, ["name-taken"]),
        ((5, 5, 0, 0, False, False, False, True), sd.DEGRADED, ["views-differ"]),
        ((5, 5, 0, 0, True, False, False, False), sd.DEGRADED, ["not-settled"]),
    ],
)
def test_how_one_stands(figures, standing, reasons):
    assert sd.standing(*figures) == (standing, reasons)


# In virtual time


def test_a_fleet_finds_itself_agrees_and_is_quiet():
    f = Fleet(40, 3)
    assert f.until_equal(20 * TICKS_PER_SECOND) is not None
    f.run(f.now + 30 * TICKS_PER_SECOND)
    before = [m.octets for m in f.members]
    f.run(f.now + 10 * TICKS_PER_SECOND)
    assert max(m.octets - o for m, o in zip(f.members, before)) < 2_000 * 10
    stands = [m.node.stand(f.now) for m in f.members]
    assert {s[0] for s in stands} == {sd.WHOLE} and len({s[3] for s in stands}) == 1
    assert not [e for e in f.events if e[2] in ("peers-suspect", "peers-failed")]


def test_a_fleet_that_is_filled_is_as_one_that_heard_of_all():
    heard, filled = (
        [
            Table(0, f"n{n}", 7 + n, f"{n}:1", 64, TICKS_PER_SECOND, lambda event, fields: None)
            for n in range(9)
        ]
        for _ in range(2)
    )
    fill(filled)
    for one in heard:
        one.becomes(0, 0, 0, ALIVE, "")
        for other in heard:
            if other is not one:
                one.hears(0, other.name[0], other.epoch[0], other.address[0], 0, ALIVE, "")
        for row in list(one.rumours):
            one.rumour(row, None)
        one.number = 10
    for one, other in zip(heard, filled):
        assert {k: v for k, v in vars(one).items() if k != "told"} == {
            k: v for k, v in vars(other).items() if k != "told"
        }


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_and_standstills_of_two_seconds_fail_nobody(seed):
    f = Fleet(30, seed, loss=0.1, doubled=0.1, delay=(3, 600))
    f.until_equal(30 * TICKS_PER_SECOND)
    who, end = f.chance.sample(range(30), 26), f.now + 40 * TICKS_PER_SECOND

    def again(n):
        f.stand_still(n, 2 * TICKS_PER_SECOND)
        if f.now + 3 * TICKS_PER_SECOND < end:
            f.at(f.now + 3 * TICKS_PER_SECOND, again, n)

    for n in who:
        f.at(f.now + f.chance.randrange(3 * TICKS_PER_SECOND), again, n)
    f.run(end)
    assert f.false_failures() == []


@pytest.mark.parametrize("seed", range(3))
def test_a_cut_is_seen_on_both_sides_and_healed_without_a_wrong_verdict(seed):
    f = Fleet(21, seed)
    f.until_equal(30 * TICKS_PER_SECOND)
    f.cut = lambda a, b: (a < 9) != (b < 9)
    f.run(f.now + 20 * TICKS_PER_SECOND)
    parts = [m.node.stand(f.now)[1] for m in f.members]
    assert set(parts[:9]) == {sd.SMALLER} and set(parts[9:]) == {sd.LARGER}
    assert {m.node.stand(f.now)[5] for m in f.members} == {21}
    f.cut, healed = None, f.now
    assert f.until_equal(f.now + 15 * TICKS_PER_SECOND) is not None
    assert f.false_failures(healed) == []


@pytest.mark.parametrize("seed", range(2))
def test_a_roll_a_tenth_at_a_time_needs_no_verdict(seed):
    """SIGTERM says that it leaves; a new life is back after a second, at the old address or another's."""
    f = Fleet(20, seed, loss=0.05, settled=True)
    f.run(2 * TICKS_PER_SECOND)
    for n in range(0, 20, 2):
        for m in (n, n + 1):
            f.marks.append((f.now, f.members[m].name, False))
            f.leave(m)
        f.run(f.now + TICKS_PER_SECOND)
        for m in (n, n + 1):
            f.restarted(m)
        f.run(f.now + TICKS_PER_SECOND)
    assert f.until_equal(f.now + 10 * TICKS_PER_SECOND) is not None
    assert not [event for event in f.events if event[2] == "peers-failed"]
    assert {m.node.stand(f.now)[5] for m in f.members} == {20}


def history(seed):
    """Kills, restarts, standstills, cuts one way and both, loss, clocks that go back; then quiet."""
    chance = Random(f"history/{seed}")
    f = Fleet(9, seed, loss=0.05)
    f.until_equal(20 * TICKS_PER_SECOND)
    for _ in range(14):
        what, n = chance.randrange(7), chance.randrange(9)
        if what == 0 and f.members[n].up:
            f.killed(n)
        elif what == 1 and not f.members[n].up:
            f.restarted(n)
        elif what == 2 and not f.members[n].up:
            f.restarted(n, epoch=1 + chance.randrange(1000))
        elif what == 3:
            f.stand_still(n, chance.randrange(25 * TICKS_PER_SECOND))
        elif what == 4:
            side = set(chance.sample(range(9), chance.randrange(1, 9)))
            f.cut = lambda a, b, side=side: a in side and b not in side
        elif what == 5:
            side = set(chance.sample(range(9), chance.randrange(1, 9)))
            f.cut = lambda a, b, side=side: (a in side) != (b in side)
        elif f.members[n].up and sum(m.up for m in f.members) > 4:
            f.marks.append((f.now, f.members[n].name, False))
            f.leave(n)
        f.run(f.now + chance.randrange(12 * TICKS_PER_SECOND))
    f.cut, f.loss = None, 0
    for n in range(9):
        if not f.members[n].up:
            f.restarted(n)
    return f


@pytest.mark.parametrize("seed", range(6))
def test_generated_histories_end_in_one_view_of_just_those_that_run(seed):
    f = history(seed)
    assert f.until_equal(f.now + 60 * TICKS_PER_SECOND) is not None, (seed, f.views())
    late = f.now
    f.run(f.now + 20 * TICKS_PER_SECOND)
    assert f.equal() and f.false_failures(late) == []
    for member in f.members:
        assert member.sent < SENT_BURST + SENT_RATE * f.now / TICKS_PER_SECOND
        assert len(member.node.table.rows) < 9 * LIVES_MOST


# Guards: each scenario holds as the program is, and no longer where its guard is gone.


def a_suspicion_slept_through():
    """One suspects another, then stands still past its time to refute, and the kernel keeps nothing."""
    f = Fleet(5, 0, settled=True, buffer=0)
    f.run(TICKS_PER_SECOND)
    f.stand_still(1, 25 * TICKS_PER_SECOND // 10)
    while not any(event == "peers-suspect" and n == 0 for _, n, event, _ in f.events):
        f.run(f.now + 500)
    f.stand_still(0, 5 * TICKS_PER_SECOND)
    f.run(f.now + 30 * TICKS_PER_SECOND)
    return not [v for v in f.false_failures() if v[1] == "n0"]


def a_cut_healed():
    f = Fleet(40, 1, settled=True, seeds=0)
    f.run(TICKS_PER_SECOND)
    f.cut = lambda a, b: (a < 20) != (b < 20)
    f.run(f.now + 15 * TICKS_PER_SECOND)
    f.cut, healed = None, f.now
    return f.until_equal(f.now + 20 * TICKS_PER_SECOND) is not None and not f.false_failures(healed)


def one_that_nobody_hears():
    f = Fleet(5, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.cut = lambda a, b: a == 2
    f.run(f.now + 50 * TICKS_PER_SECOND)
    judged = [v for v in f.false_failures() if v[1] == "n2"]
    return not judged and f.members[2].node.stand(f.now)[0] == sd.ALONE


def standstills():
    f = Fleet(30, 1, loss=0.1, settled=True)

    def again(n):
        f.stand_still(n, 2 * TICKS_PER_SECOND)
        f.at(f.now + 3 * TICKS_PER_SECOND, again, n)

    for n in range(27):
        f.at(f.chance.randrange(3 * TICKS_PER_SECOND), again, n)
    f.run(60 * TICKS_PER_SECOND)
    return not f.false_failures()


def a_clock_that_went_back():
    f = Fleet(5, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.killed(2)
    f.run(f.now + TICKS_PER_SECOND)
    f.restarted(2, epoch=7)
    return f.until_equal(f.now + 20 * TICKS_PER_SECOND) is not None


def a_restart_at_once():
    f = Fleet(9, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    f.killed(2)
    f.run(f.now + TICKS_PER_SECOND // 10)
    f.restarted(2)
    return f.until_equal(f.now + 3 * TICKS_PER_SECOND) is not None


def never(*_, **__):
    return None


BECOMES = Table.becomes
GUARDS = [
    (a_suspicion_slept_through, Detector, "stands_still", never),
    (a_suspicion_slept_through, Node, "STILL", None),
    (a_cut_healed, Table, "may_fail", lambda self, now, row: True),
    (a_cut_healed, Node, "ask_lost", never),
    (one_that_nobody_hears, Detector, "unheard", lambda self, now: False),
    (standstills, "wickvane.cluster.detector", "LEAST", TICKS_PER_SECOND // 2),
    (a_clock_that_went_back, Node, "tell_over", lambda self, entry: self.refuse("former-life")),
    (a_clock_that_went_back, Table, "starts_over", never),
    (
        a_restart_at_once,
        Table,
        "becomes",
        lambda self, now, row, incarnation, state, by: (
            None if state == LEFT and row else BECOMES(self, now, row, incarnation, state, by)
        ),
    ),
]


@pytest.mark.parametrize("scenario", dict.fromkeys(guard[0] for guard in GUARDS))
def test_each_scenario_holds(scenario):
    assert scenario()


@pytest.mark.parametrize("scenario, where, name, instead", GUARDS)
def test_each_guard_is_missed_when_it_is_gone(scenario, where, name, instead, monkeypatch):
    if name == "STILL":
        where, name, instead = "wickvane.cluster.protocol", "STILL", 1 << 60
    monkeypatch.setattr(
        f"{where}.{name}" if isinstance(where, str) else where,
        *((instead,) if isinstance(where, str) else (name, instead)),
    )
    assert not scenario()


def test_no_message_is_longer_than_a_datagram_and_what_is_sent_is_bounded():
    codec, sizes, sent = wire.Codec("c" * 64, [b"k" * 20]), [], []

    class Out:
        def send(self, address, message):
            sizes.append(len(codec.seal(message)))
            sent.append(message)

    node = Node(
        0,
        "n" * 64,
        1 << 62,
        "[2001:db8::1234:5678:9abc:def0]:65535",
        ["1.1.1.1:1"],
        5,
        1,
        lambda event, fields: None,
    )
    for n in range(400):
        node.hears(
            f"{n:064}",
            1 << 62,
            f"[2001:db8::1234:5678:9abc:{n:x}]:65535",
            n,
            ALIVE if n % 3 else SUSPECT,
            "b" * 64,
        )
    now = 0
    while now < 20 * TICKS_PER_SECOND:
        now = node.round(now, [], Out())
    message = [
        *sent[0][:1],
        f"{3:064}",
        1 << 62,
        0,
        1 << 62,
        1,
        2,
        1,
        None,
        bytes(BUCKETS * SUM),
        [(f"{3:064}", 1 << 62, "x:1", 3, ALIVE, "")],
    ]
    for n in range(2_000):
        message[0], message[3] = n % 8, n + 1
        node.round(now, [tuple(message)], Out())
    assert max(sizes) <= DATAGRAM and len(sizes) > 100
    assert len(sent) <= SENT_BURST + SENT_RATE * 21 and node.refused["sent-too-much"]


def test_one_that_has_left_answers_until_its_end_and_wakes_for_nothing_else():
    f = Fleet(3, 1, settled=True)
    f.run(TICKS_PER_SECOND)
    node, sent = f.members[0].node, []
    out = type("Out", (), {"send": lambda self, address, message: sent.append(message)})()
    node.leave(f.now, out)
    for _ in range(20):
        assert node.round(f.now + 30 * TICKS_PER_SECOND, [], out) >= f.now + 31 * TICKS_PER_SECOND
    before = len(sent)
    other = f.members[1].node
    ping = (
        0,
        "n1",
        other.table.epoch[0],
        1 << 20,
        node.table.epoch[0],
        1,
        1,
        5,
        None,
        b"",
        [other.table.entry(0)],
    )
    node.round(f.now + 30 * TICKS_PER_SECOND, [ping], out)
    assert [message[0] for message in sent[before:]] == [1] and sent[-1][7] == 5  # a ping's answer


# The codec

GOOD = (0, "a", 5, 1, 7, 3, 2, 9, None, b"", [("a", 5, "1.1.1.1:1", 0, 1, "")])


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=1300) | st.tuples(st.integers(0, 60), st.binary(min_size=1, max_size=3)))
def test_hostile_octets_are_refused_with_a_reason_and_nothing_else(data):
    codec = wire.Codec("c", [b"k" * 20])
    if isinstance(data, tuple):
        whole = codec.seal(GOOD)
        data = whole[: data[0]] + data[1] + whole[data[0] + len(data[1]) :]
        if data == whole:
            return
    with pytest.raises(wire.Refused) as refused:
        codec.open(data)
    assert refused.value.reason in ("oversized", "short", "version", "unauthenticated")


@pytest.mark.parametrize(
    "change, reason",
    [
        ({0: 9}, "malformed"),
        ({1: ""}, "malformed"),
        ({1: "n" * 65}, "malformed"),
        ({2: -1}, "malformed"),
        ({2: 1.5}, "malformed"),
        ({9: b"s" * 961}, "malformed"),
        ({10: [("a", 5, "1.1.1.1:1", 0, 5, "")]}, "malformed"),
        ({10: [("a", 5, "1.1.1.1:1", 1 << 32, 1, "")]}, "malformed"),
        ({10: None}, "malformed"),
        ({8: ("a",)}, "malformed"),
        ({6: "x"}, "malformed"),
    ],
)
def test_what_the_key_signs_is_still_read_whole_and_typed_or_not_at_all(change, reason):
    codec = wire.Codec("c", [b"k" * 20])
    message = list(GOOD)
    for n, value in change.items():
        message[n] = value
    with pytest.raises(wire.Refused) as refused:
        codec.open(codec.seal(message))
    assert refused.value.reason == reason


def test_two_keys_are_taken_and_another_cluster_is_told_apart(tmp_path):
    old, both, new = ([b"o" * 16], [b"n" * 16, b"o" * 16], [b"n" * 16])
    assert wire.Codec("c", both).open(wire.Codec("c", old).seal(GOOD)) == list(GOOD)
    assert wire.Codec("c", both).open(wire.Codec("c", new).seal(GOOD))
    with pytest.raises(wire.Refused, match="unauthenticated"):
        wire.Codec("c", new).open(wire.Codec("c", old).seal(GOOD))
    with pytest.raises(wire.Refused, match="foreign"):
        wire.Codec("d", new).open(wire.Codec("c", new).seal(GOOD))
    path = tmp_path / "key"
    for text in (b"", b"short\n", b"a" * 65, b"k" * 20 + b"\n" + b"l" * 20 + b"\n" + b"m" * 20, b"x" * 5000):
        path.write_bytes(text)
        with pytest.raises(FileError):
            wire.read_keys(path)
    with pytest.raises(FileError, match="cannot be read"):
        wire.read_keys(tmp_path / "none")
    path.write_bytes(b"k" * 20 + b"\n\n" + b"l" * 20 + b"\n")
    assert wire.read_keys(path) == [b"k" * 20, b"l" * 20]
