"""The client library: its policy beside a plain model on generated days, and its drivers before a
dispatcher."""

import asyncio
import subprocess
import sys
import time
from threading import Thread

import pytest
from bench_free import Engine, free_port, hit, reset
from hypothesis import given, settings
from hypothesis import strategies as st
from tds.helpers import Dispatcher
from test_rehearsal import ROOT
from wickvane_client import AsyncClient, Client, fields, policy
from wickvane_client.policy import (
    DEFERRED,
    FINISHED,
    KILLED,
    LOST,
    REFUSED,
    UNUSABLE,
    Group,
    Policy,
    Try,
    Wait,
)

GROUPS = {
    "lookup": Group(timeout=5.0),
    "load": Group(policy.TOKENED, 12.0, 30.0, True),
    "change": Group(policy.MUTATING, timeout=5.0),
}


def made(**more):
    return Policy(GROUPS, **{"dispatchers": 2, "seed": 1} | more)


def play(call, now, outcomes, advice=0.0):
    """Drives a call by itself; [(when, dispatcher)] of its tries, and what it raised or None."""
    tries = []
    for outcome in outcomes:
        while isinstance(todo := call.next(now), Wait):
            assert todo.until > now
            now = todo.until
        tries.append((now, todo.dispatcher))
        assert todo.left == pytest.approx(call.limit - now)
        now += 0.01
        call.ended(now, outcome, advice)
        if outcome == FINISHED:
            return tries
    return tries


@settings(max_examples=150, deadline=None)
@given(
    st.sampled_from(sorted(GROUPS)),
    st.lists(
        st.tuples(
            st.sampled_from([FINISHED, DEFERRED, DEFERRED, LOST, REFUSED, KILLED, UNUSABLE]),
            st.floats(0, 8),
            st.floats(0, 3),
        ),
        min_size=1,
        max_size=30,
    ),
    st.integers(0, 5),
    st.integers(1, 3),
)
def test_no_call_does_what_its_group_its_time_or_the_budget_forbid(name, steps, seed, dispatchers):
    """A plain reckoning beside it: each try is looked at with all that came before it."""
    policy_ = made(seed=seed, dispatchers=dispatchers, share=0.1, free=2, window=5.0)
    group, now, firsts, furthers = GROUPS[name], 0.0, [], []
    steps = iter(steps)
    for number in range(6):
        call, began, ran, told, tries = policy_.call(now, name), now, None, 0.0, 0
        over = False
        while not over:
            try:
                todo = call.next(now)
            except policy.Error as error:
                kind = type(error)
                if ran is not None and name != "lookup":
                    assert kind in (policy.Killed, policy.UnknownOutcome)
                else:
                    assert kind in (policy.Deferred, policy.Unusable, policy.Killed)
                assert error.tries == tries
                break
            if isinstance(todo, Wait):
                assert now < todo.until
                now = todo.until
                continue
            assert now < began + group.timeout and tries < policy_.most_tries
            assert 0 <= todo.dispatcher < dispatchers and now >= told
            if tries:
                furthers.append(now)
                assert ran is None or name == "lookup" or name == "load" and now < ran + group.window
                lately = len([at for at in furthers if at > now - 5.0])
                assert lately <= 2 + 0.1 * len([at for at in firsts if at > now - 5.0]) + 1e-9
            else:
                firsts.append(now)
            tries += 1
            outcome, advice, took = next(steps, (FINISHED, 0.0, 0.1))
            sent, now = now, now + took
            call.ended(now, outcome, advice)
            if outcome in (LOST, KILLED) and ran is None:
                ran = sent
            told = now + advice if outcome == DEFERRED else 0.0
            over = outcome == FINISHED
        now += 0.1 * number


def test_advice_is_heeded_within_bounds_and_another_dispatcher_is_asked_first():
    call = made(longest_advice=2.0).call(0.0, "load")
    (_, one), (at, other), (_, third) = play(call, 0.0, [DEFERRED, DEFERRED, FINISHED], advice=1.5)
    assert one != other and at >= 1.5
    call = made(longest_advice=2.0).call(0.0, "load")
    (_, _), (at, _) = play(call, 0.0, [DEFERRED, FINISHED], advice=3600.0)
    assert 2.0 <= at <= 2.2
    # Advice past the query's own time: it ends at once, and is told so as something harmless.
    call = made().call(0.0, "lookup", timeout=1.0)
    play(call, 0.0, [DEFERRED], advice=5.0)
    with pytest.raises(policy.Deferred) as wrong:
        call.next(0.02)
    assert wrong.value.advice == 5.0 and wrong.value.tries == 1


def test_back_off_is_spread_over_a_bound_that_doubles():
    waits = {}
    for seed in range(300):
        call, now = Policy(GROUPS, seed=seed, free=10).call(0.0, "load"), 0.0
        for number in range(4):
            while isinstance(todo := call.next(now), Wait):
                waits.setdefault(number, []).append(todo.until - now)
                now = todo.until
            call.ended(now, DEFERRED)
    for number, bound in ((1, 0.1), (2, 0.2), (3, 0.4)):
        assert max(waits[number]) <= bound and sum(waits[number]) / 300 == pytest.approx(bound / 2, rel=0.15)


def test_a_lost_dispatcher_is_left_alone_tried_by_one_and_taken_back():
    policy_ = made(failures=2, rest=1.0, free=50)
    broken = 0

    def one(now):
        call = policy_.call(now, "lookup")
        todo = call.next(now)
        call.ended(now, REFUSED if todo.dispatcher == broken else FINISHED)
        return todo.dispatcher

    before = [one(n * 0.01) for n in range(10)]
    assert before.count(broken) == 2 and set(before[4:]) == {1}
    trial = [policy_.call(2.0, "lookup") for _ in range(4)]
    assert [call.next(2.0).dispatcher for call in trial].count(broken) == 1  # one alone tries it
    next(call for call in trial if call.last == broken).ended(2.0, FINISHED)
    assert broken in [one(2.1), one(2.2)]


def test_all_dispatchers_left_alone_is_a_wait_and_at_the_limit_an_error():
    policy_ = made(failures=1, rest=1.0, free=50)
    call = policy_.call(0.0, "lookup", timeout=10.0)
    for _ in range(2):
        assert isinstance(call.next(0.0), Try)
        call.ended(0.0, REFUSED)
    todo = call.next(0.2)
    assert isinstance(todo, Wait) and todo.until == pytest.approx(1.0)
    late = policy_.call(0.1, "lookup", timeout=0.5)
    with pytest.raises(policy.Deferred):
        late.next(0.2)


def test_the_hook_hears_what_happens_and_ends_are_told_once():
    heard = []
    policy_ = made(hook=lambda event, now, **told: heard.append((event, told)))
    play(policy_.call(0.0, "lookup"), 0.0, [DEFERRED, FINISHED], advice=0.3)
    assert [event for event, _ in heard] == ["try", "advice", "wait", "try", "outcome"]
    assert heard[-1][1]["tries"] == 2 and heard[-1][1]["outcome"] == FINISHED


@pytest.mark.parametrize(
    "state, outcome",
    [
        ("53000", DEFERRED),
        ("53300", DEFERRED),
        ("57P03", DEFERRED),
        ("58000", KILLED),
        ("57P01", LOST),
        ("08006", LOST),
        (None, LOST),
        ("42601", UNUSABLE),
        ("55000", UNUSABLE),
    ],
)
def test_what_a_sqlstate_stands_for(state, outcome):
    assert fields.outcome_of(state) == outcome


@pytest.mark.parametrize("wrong", ["a b", "x*/", "", "é", "a" * 65, "a,limit=1"])
def test_a_field_cannot_change_the_comment(wrong):
    for name in ("token", "key", "tenant"):
        with pytest.raises(ValueError):
            fields.comment("lookup", "0" * 16, 1.0, **{name: wrong})
    assert fields.advice_of("stay-away=1500ms") == 1.5
    for text in (None, "", "stay-away=ms", "stay-away=9999999999ms"):
        assert fields.advice_of(text) == 0.0


# Before a dispatcher


def addresses(*dispatchers):
    return [dispatcher.found["listen"] for dispatcher in dispatchers]


def test_a_client_asks_tries_again_after_its_advice_and_tells_what_became_of_it():
    came = []

    def answers(txn, words):
        came.append((time.monotonic(), words[2]))
        return hit(txn) if len(came) > 1 else b"%b SHED - 0\r\n\r\n" % txn

    dispatcher = Dispatcher(
        Engine(answers), limits={"max_attempts": 1, "retry_after": True, "max_retry_after_ms": 600.0}
    )
    heard = []
    with Client(
        addresses(dispatcher),
        GROUPS,
        tenant="acme",
        seed=2,
        hook=lambda event, now, **told: heard.append((event, told)),
    ) as client:
        assert client.query("lookup", "SELECT 1 FROM sales_1.t WHERE a=%s", ("it's",)) == [("a", "b", "c")]
        assert came[1][0] - came[0][0] >= 0.3
        advice = next(told["seconds"] for event, told in heard if event == "advice")
        assert 0.3 <= advice <= 0.6
        with pytest.raises(policy.Unusable):
            client.query("lookup", "")
        with pytest.raises(KeyError):
            client.query("nobody", "SELECT 1")


def test_a_mutating_query_lost_under_way_is_of_unknown_outcome_and_a_read_goes_on_elsewhere():
    def lose(txn, words):
        reset(engines[0].connections[-1])
        return b""

    engines = [Engine(lose), Engine()]
    bad, good = Dispatcher(engines[0]), Dispatcher(engines[1])
    with Client(addresses(bad), GROUPS, tenant="acme") as client:
        with pytest.raises(policy.Killed):
            client.query("change", "UPDATE sales_1.t SET a=1")
    nobody = f"127.0.0.1:{free_port()}"
    for seed in range(4):
        with Client([nobody, *addresses(good)], GROUPS, tenant="acme", seed=seed) as client:
            assert client.query("lookup", "SELECT 1 FROM sales_1.t") == [("a", "b", "c")]
            assert client.query("change", "UPDATE sales_1.t SET a=1") == [("a", "b", "c")]


def test_a_dispatcher_that_hangs_is_given_up_at_the_query_s_time():
    dispatcher = Dispatcher(Engine())
    dispatcher.service.decider.taken = lambda ticket: None
    with Client(addresses(dispatcher), GROUPS, tenant="acme") as client:
        began = time.monotonic()
        with pytest.raises(policy.Error):
            client.query("lookup", "SELECT 1 FROM sales_1.t", timeout=0.5)
        assert time.monotonic() - began < 4


def test_many_tasks_share_one_asynchronous_client():
    dispatcher = Dispatcher(Engine())

    async def work():
        async with AsyncClient(addresses(dispatcher), GROUPS, tenant="acme", connections=4) as client:
            rows = await asyncio.gather(
                *(client.query("lookup", f"SELECT 1 FROM sales_{n}.t") for n in range(30))
            )
            with pytest.raises(policy.Unusable):
                await client.query("lookup", "")
            return rows

    assert asyncio.run(work()) == [[("a", "b", "c")]] * 30


def test_many_threads_share_one_client():
    dispatcher, rows = Dispatcher(Engine()), []
    with Client(addresses(dispatcher), GROUPS, tenant="acme") as client:
        texts = [f"SELECT 1 FROM sales_{n}.t" for n in range(12)]
        threads = [
            Thread(target=lambda text=text: rows.append(client.query("lookup", text))) for text in texts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert rows == [[("a", "b", "c")]] * 12


def test_the_policy_needs_no_driver():
    code = (
        "import sys; sys.modules['psycopg'] = None\n"
        "import wickvane_client as w\nw.Policy({'g': w.Group()}).call(0.0, 'g').next(0.0)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, env={"PYTHONPATH": f"{ROOT}/client"})
