"""Tests of the client library.

The retry policy is checked against a simple model on generated sequences of outcomes. Both clients are run
against a dispatcher."""

import asyncio
import importlib
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
    Attempt,
    Group,
    Policy,
    Wait,
)

GROUPS = {
    "lookup": Group(timeout=5.0),
    "load": Group(policy.TOKENED, 12.0, 30.0, True),
    "change": Group(policy.MUTATING, timeout=5.0),
}


def make_policy(**options):
    return Policy(GROUPS, **{"dispatchers": 2, "seed": 1} | options)


def make_breaker():
    return make_policy().breakers[0]


def make_call():
    return make_policy().call(0.0, "lookup")


def make_client():
    return Client(["127.0.0.1:1"], GROUPS)


def make_async_client():
    return AsyncClient(["127.0.0.1:1"], GROUPS)


def run_call(call, now, outcomes, advice=0.0):
    """Runs a call with the given outcomes of its attempts; returns [(time, dispatcher)] of the attempts."""
    attempts = []
    for outcome in outcomes:
        while isinstance(step := call.next(now), Wait):
            assert step.until > now
            now = step.until
        attempts.append((now, step.dispatcher))
        assert step.left == pytest.approx(call.deadline - now)
        now += 0.01
        call.ended(now, outcome, advice)
        if outcome == FINISHED:
            return attempts
    return attempts


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
def test_every_attempt_respects_the_effect_the_deadline_and_the_retry_budget(
    name, outcomes, seed, dispatchers
):
    """Checks each attempt against a simple model of all attempts before it."""
    policy_ = make_policy(seed=seed, dispatchers=dispatchers, share=0.1, free=2, window=5.0)
    group, now, first_times, retry_times = GROUPS[name], 0.0, [], []
    outcomes = iter(outcomes)
    for number in range(6):
        call, started_at, first_run_at, not_before, attempts = policy_.call(now, name), now, None, 0.0, 0
        finished = False
        while not finished:
            try:
                step = call.next(now)
            except policy.Error as error:
                kind = type(error)
                if first_run_at is not None and name != "lookup":
                    assert kind in (policy.Killed, policy.UnknownOutcome)
                else:
                    assert kind in (policy.Deferred, policy.Unusable, policy.Killed)
                assert error.tries == attempts
                break
            if isinstance(step, Wait):
                assert now < step.until
                now = step.until
                continue
            assert now < started_at + group.timeout and attempts < policy_.most_tries
            assert 0 <= step.dispatcher < dispatchers and now >= not_before
            if attempts:
                retry_times.append(now)
                assert (
                    first_run_at is None
                    or name == "lookup"
                    or name == "load"
                    and now < first_run_at + group.window
                )
                recent_retries = len([at for at in retry_times if at > now - 5.0])
                assert recent_retries <= 2 + 0.1 * len([at for at in first_times if at > now - 5.0]) + 1e-9
            else:
                first_times.append(now)
            attempts += 1
            outcome, advice, duration = next(outcomes, (FINISHED, 0.0, 0.1))
            sent_at, now = now, now + duration
            call.ended(now, outcome, advice)
            if outcome in (LOST, KILLED) and first_run_at is None:
                first_run_at = sent_at
            not_before = now + advice if outcome == DEFERRED else 0.0
            finished = outcome == FINISHED
        now += 0.1 * number


def test_a_bounded_retry_after_delay_is_observed_and_another_dispatcher_is_preferred():
    call = make_policy(longest_advice=2.0).call(0.0, "load")
    (_, first), (at, second), (_, _) = run_call(call, 0.0, [DEFERRED, DEFERRED, FINISHED], advice=1.5)
    assert first != second and at >= 1.5
    call = make_policy(longest_advice=2.0).call(0.0, "load")
    (_, _), (at, _) = run_call(call, 0.0, [DEFERRED, FINISHED], advice=3600.0)
    assert 2.0 <= at <= 2.2
    # If the retry-after delay ends after the deadline, the query ends at once; the error allows a retry.
    call = make_policy().call(0.0, "lookup", timeout=1.0)
    run_call(call, 0.0, [DEFERRED], advice=5.0)
    with pytest.raises(policy.Deferred) as raised:
        call.next(0.02)
    assert raised.value.advice == 5.0 and raised.value.tries == 1


def test_backoff_is_uniform_below_a_bound_that_doubles():
    waits = {}
    for seed in range(300):
        call, now = Policy(GROUPS, seed=seed, free=10).call(0.0, "load"), 0.0
        for number in range(4):
            while isinstance(step := call.next(now), Wait):
                waits.setdefault(number, []).append(step.until - now)
                now = step.until
            call.ended(now, DEFERRED)
    for number, bound in ((1, 0.1), (2, 0.2), (3, 0.4)):
        assert max(waits[number]) <= bound and sum(waits[number]) / 300 == pytest.approx(bound / 2, rel=0.15)


def test_an_open_breaker_lets_one_query_through_and_closes_after_its_answer():
    policy_ = make_policy(failures=2, rest=1.0, free=50)
    unreachable = 0

    def run_query(now):
        call = policy_.call(now, "lookup")
        step = call.next(now)
        call.ended(now, REFUSED if step.dispatcher == unreachable else FINISHED)
        return step.dispatcher

    before = [run_query(n * 0.01) for n in range(10)]
    assert before.count(unreachable) == 2 and set(before[4:]) == {1}
    probes = [policy_.call(2.0, "lookup") for _ in range(4)]
    # A single query tests the dispatcher.
    assert [call.next(2.0).dispatcher for call in probes].count(unreachable) == 1
    next(call for call in probes if call.last_dispatcher == unreachable).ended(2.0, FINISHED)
    assert unreachable in [run_query(2.1), run_query(2.2)]


def test_with_all_breakers_open_a_query_waits_or_ends_if_its_deadline_is_earlier():
    policy_ = make_policy(failures=1, rest=1.0, free=50)
    call = policy_.call(0.0, "lookup", timeout=10.0)
    for _ in range(2):
        assert isinstance(call.next(0.0), Attempt)
        call.ended(0.0, REFUSED)
    step = call.next(0.2)
    assert isinstance(step, Wait) and step.until == pytest.approx(1.0)
    late = policy_.call(0.1, "lookup", timeout=0.5)
    with pytest.raises(policy.Deferred):
        late.next(0.2)


def test_the_hook_gets_each_event_and_one_outcome():
    events = []
    policy_ = make_policy(hook=lambda event, now, **event_fields: events.append((event, event_fields)))
    run_call(policy_.call(0.0, "lookup"), 0.0, [DEFERRED, FINISHED], advice=0.3)
    assert [event for event, _ in events] == ["try", "advice", "wait", "try", "outcome"]
    assert events[-1][1]["tries"] == 2 and events[-1][1]["outcome"] == FINISHED


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
def test_a_sqlstate_is_mapped_to_its_outcome(state, outcome):
    assert fields.outcome_of(state) == outcome


@pytest.mark.parametrize("invalid", ["a b", "x*/", "", "é", "a" * 65, "a,limit=1"])
def test_a_field_value_cannot_change_the_comment(invalid):
    for name in ("token", "key", "tenant"):
        with pytest.raises(ValueError):
            fields.comment("lookup", "0" * 16, 1.0, **{name: invalid})
    assert fields.advice_of("stay-away=1500ms") == 1.5
    for text in (None, "", "stay-away=ms", "stay-away=9999999999ms"):
        assert fields.advice_of(text) == 0.0


# Tests with a running dispatcher


def addresses(*dispatchers):
    return [dispatcher.found["listen"] for dispatcher in dispatchers]


def test_a_client_retries_after_the_retry_after_delay_and_raises_for_invalid_queries():
    requests = []

    def answer(txn, words):
        requests.append((time.monotonic(), words[2]))
        return hit(txn) if len(requests) > 1 else b"%b SHED - 0\r\n\r\n" % txn

    dispatcher = Dispatcher(
        Engine(answer), limits={"max_attempts": 1, "retry_after": True, "max_retry_after_ms": 600.0}
    )
    events = []
    with Client(
        addresses(dispatcher),
        GROUPS,
        tenant="acme",
        seed=2,
        hook=lambda event, now, **event_fields: events.append((event, event_fields)),
    ) as client:
        assert client.query("lookup", "SELECT 1 FROM sales_1.t WHERE a=%s", ("it's",)) == [("a", "b", "c")]
        assert requests[1][0] - requests[0][0] >= 0.3
        delay = next(event_fields["seconds"] for event, event_fields in events if event == "advice")
        assert 0.3 <= delay <= 0.6
        with pytest.raises(policy.Unusable):
            client.query("lookup", "")
        with pytest.raises(KeyError):
            client.query("nobody", "SELECT 1")


def test_a_mutating_query_is_killed_by_an_engine_reset_and_an_unreachable_dispatcher_is_skipped():
    def reset_connection(txn, words):
        reset(engines[0].connections[-1])
        return b""

    engines = [Engine(reset_connection), Engine()]
    faulty, healthy = Dispatcher(engines[0]), Dispatcher(engines[1])
    with Client(addresses(faulty), GROUPS, tenant="acme") as client:
        with pytest.raises(policy.Killed):
            client.query("change", "UPDATE sales_1.t SET a=1")
    unused_address = f"127.0.0.1:{free_port()}"
    for seed in range(4):
        with Client([unused_address, *addresses(healthy)], GROUPS, tenant="acme", seed=seed) as client:
            assert client.query("lookup", "SELECT 1 FROM sales_1.t") == [("a", "b", "c")]
            assert client.query("change", "UPDATE sales_1.t SET a=1") == [("a", "b", "c")]


def test_a_query_to_a_dispatcher_that_hangs_ends_at_its_deadline():
    dispatcher = Dispatcher(Engine())
    dispatcher.service.decider.taken = lambda ticket: None
    with Client(addresses(dispatcher), GROUPS, tenant="acme") as client:
        started_at = time.monotonic()
        with pytest.raises(policy.Error):
            client.query("lookup", "SELECT 1 FROM sales_1.t", timeout=0.5)
        assert time.monotonic() - started_at < 4


def test_many_tasks_share_one_async_client():
    dispatcher = Dispatcher(Engine())

    async def run_queries():
        async with AsyncClient(addresses(dispatcher), GROUPS, tenant="acme", connections=4) as client:
            rows = await asyncio.gather(
                *(client.query("lookup", f"SELECT 1 FROM sales_{n}.t") for n in range(30))
            )
            with pytest.raises(policy.Unusable):
                await client.query("lookup", "")
            return rows

    assert asyncio.run(run_queries()) == [[("a", "b", "c")]] * 30


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


def test_the_policy_works_without_psycopg():
    code = (
        "import sys; sys.modules['psycopg'] = None\n"
        "import wickvane_client as w\nw.Policy({'g': w.Group()}).call(0.0, 'g').next(0.0)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, env={"PYTHONPATH": f"{ROOT}/client"})


@pytest.mark.parametrize(
    "module, old, new",
    [
        ("policy", "Try", "Attempt"),
        ("policy", "quiet", "ignore_event"),
        ("fields", "NAME", "FIELD_VALUE"),
        ("fields", "ADVICE", "RETRY_AFTER"),
        ("driver", "CONNECT_S", "MAX_CONNECT_S"),
        ("driver", "RAISED", "DRIVER_ERRORS"),
        ("driver", "became", "classify_error"),
        ("driver", "rows_of", "fetch_rows"),
        ("sync", "hang_up", "shut_down"),
    ],
)
def test_a_former_name_of_a_module_works_and_warns(module, old, new):
    module = importlib.import_module(f"wickvane_client.{module}")
    with pytest.warns(DeprecationWarning, match=f"{old} is deprecated: use {new}"):
        assert getattr(module, old) is getattr(module, new)
    with pytest.raises(AttributeError):
        _ = module.no_such_name


def test_a_former_method_name_works_and_warns():
    policy_ = make_policy()
    with pytest.warns(DeprecationWarning, match="may_further is deprecated: use may_retry"):
        assert policy_.may_further(0.0) is True
    with pytest.warns(DeprecationWarning, match="further_free_at is deprecated: use budget_frees_at"):
        assert policy_.further_free_at(1.0) == 6.0
    with pytest.warns(DeprecationWarning, match="takes is deprecated: use allows"):
        assert policy_.breakers[0].takes(0.0) is True


@pytest.mark.parametrize(
    "make, old, new",
    [
        (make_policy, "chance", "random"),
        (make_policy, "away", "retry_after_ends"),
        (make_policy, "first_at", "first_times"),
        (make_policy, "further_at", "retry_times"),
        (make_policy, "turn", "next_index"),
        (make_breaker, "row", "consecutive_failures"),
        (make_breaker, "resting", "open_time"),
        (make_breaker, "trial", "probing"),
        (make_call, "limit", "deadline"),
        (make_call, "began", "started_at"),
        (make_call, "tries", "attempts"),
        (make_call, "last", "last_dispatcher"),
        (make_call, "ran_at", "may_have_run_since"),
        (make_call, "advice", "retry_after"),
        (make_client, "own", "thread_local"),
        (make_client, "all", "connections"),
        (make_async_client, "free", "idle_connections"),
        (make_async_client, "most", "connection_limits"),
    ],
)
def test_a_former_attribute_name_reads_and_writes_the_attribute_and_warns(make, old, new):
    instance, value = make(), object()
    with pytest.warns(DeprecationWarning, match=f"{old} is deprecated: use {new}") as warned:
        assert getattr(instance, old) is getattr(instance, new)
        setattr(instance, old, value)
    assert getattr(instance, new) is value and len(warned) == 2
    assert {warning.filename for warning in warned} == {__file__}


def test_attributes_and_parameters_of_a_policy_and_a_breaker_have_the_same_names():
    numbers = {"share": 0.2, "free": 4, "window": 6.0, "first_wait": 0.3, "longest_wait": 11.0}
    numbers |= {"longest_advice": 61.0, "most_tries": 9}
    policy_ = make_policy(**numbers)
    assert {name: getattr(policy_, name) for name in numbers} == numbers
    breaker = policy.Breaker(failures=4, rest=0.7, rest_most=16.0)
    assert (breaker.failures, breaker.rest, breaker.rest_most) == (4, 0.7, 16.0)
    call = policy.Call(policy=policy_, group=GROUPS["lookup"], now=1.0, limit=3.0, token=None)
    assert call.deadline == 3.0


@pytest.mark.parametrize("client_class", [Client, AsyncClient])
def test_the_former_name_of_execute_works_and_warns(client_class, monkeypatch):
    monkeypatch.setattr(client_class, "execute", lambda self, *arguments: arguments)
    client = client_class(["127.0.0.1:1"], GROUPS)
    with pytest.warns(DeprecationWarning, match="tried is deprecated: use execute"):
        assert client.tried("attempt", "text", None) == ("attempt", "text", None)


@pytest.mark.parametrize("client_class", [Client, AsyncClient])
def test_the_former_parameter_name_todo_works_and_warns(client_class, monkeypatch):
    monkeypatch.setattr(client_class, "execute", lambda self, attempt, text, parameters: attempt)
    client = client_class(["127.0.0.1:1"], GROUPS)
    with pytest.warns(DeprecationWarning, match="tried is deprecated: use execute"):
        assert client.tried(todo="attempt", text="text", parameters=None) == "attempt"

    class Open:
        closed = False

    attempt, connection = Attempt(0, 1.0), Open()
    if client_class is Client:
        client.thread_local.connections = {0: connection}
    else:
        client.idle_connections[0].append(connection)
    with pytest.warns(DeprecationWarning, match="todo is deprecated: use attempt"):
        found = client.connection(todo=attempt)
    assert (found if client_class is Client else asyncio.run(found)) is connection
    with pytest.warns(DeprecationWarning, match="todo is deprecated"), pytest.raises(TypeError):
        client.connection(attempt, todo=attempt)
    with pytest.raises(TypeError, match="pass one of them"):
        client.connection(attempt=attempt, todo=attempt)
