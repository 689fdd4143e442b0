"""New connections are admitted at a rate while the core strains, and at ease nobody is held to one."""

import subprocess
import sys
from typing import Any

import pytest
from bench_free import Client as Plain
from bench_free import rows, sqlstate, statement, until
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rehearsal import SMALL, Served

from wickvane.net import storms
from wickvane.scheduling.connection_pacing import MIN_CALM_STEPS, MIN_RATE, STEP_TICKS, ConnectionPacing
from wickvane.units import TICKS_PER_SECOND


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 60), st.floats(0, 0.3), st.integers(0, 4000), st.integers(0, 3)),
        min_size=1,
        max_size=120,
    ),
    st.integers(0, 3),
)
def test_a_pace_holds_nobody_at_ease_and_never_lets_in_more_than_its_rate(steps, seed):
    """Beside a plain reckoning: what was let in between two looks is within the rate's time and one burst."""
    pace = ConnectionPacing(0, 5_000, 1.0, 20_000, seed)
    now = 0
    cpu = 0.0
    let = 0
    credit = None
    for come, used, lag, urgent in steps:
        rate = pace.rate
        for n in range(come):
            at = now + STEP_TICKS * n // max(1, come)
            got = pace.admits(at, urgent == 3 and n == 0)
            if rate is None:
                assert got
            elif got and not (urgent == 3 and n == 0):
                let += 1
            elif not got:
                assert 0 < pace.retry_after(at) <= 20_000
        if rate is not None:
            credit = (credit or 0.0) + rate * STEP_TICKS / TICKS_PER_SECOND
            assert let <= credit + max(1.0, rate * STEP_TICKS / TICKS_PER_SECOND)
        else:
            credit = None
            let = 0
        now = now + STEP_TICKS
        cpu = cpu + used
        turns = pace.observe(now, lag, cpu)
        assert pace.rate is None or pace.rate >= MIN_RATE
        assert [event for event, _ in turns] == (
            ["begins"]
            if rate is None and pace.rate is not None
            else ["ends"]
            if rate is not None and pace.rate is None
            else []
        )
        strained = lag > pace.late_lag or used > 0.9 * STEP_TICKS / TICKS_PER_SECOND
        if rate is not None and pace.rate is not None:
            assert pace.rate == pytest.approx(max(MIN_RATE, 0.85 * rate) if strained else rate + 1)


def paced() -> ConnectionPacing:
    """One that holds connections to a rate after strain under 100 a second."""
    pace = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(25):
        pace.admits(n * 100)
    assert [event for event, _ in pace.observe(STEP_TICKS, 2_000, 0.01)] == ["begins"]
    return pace


def test_connections_not_admitted_are_asked_back_one_behind_another_at_the_rate():
    pace = paced()
    away = [pace.retry_after(STEP_TICKS) for _ in range(20)]
    gaps = [b - a for a, b in zip(away, away[1:])]
    assert all(gap == pytest.approx(TICKS_PER_SECOND / pace.rate, abs=1) for gap in gaps)
    far = [pace.retry_after(STEP_TICKS) for _ in range(800)]
    assert max(far) <= 40_000 and len(set(far[-100:])) > 50
    quiet = ConnectionPacing(0, 5_000, 1.0, 0, 1)
    quiet.rate = 5.0
    assert quiet.retry_after(STEP_TICKS) == 0


def test_a_pace_opens_step_by_step_and_is_let_go_only_where_nobody_is_held_any_more():
    pace = paced()
    now = STEP_TICKS
    begun_at = paced().rate
    for _ in range(3 * MIN_CALM_STEPS):
        for n in range(60):  # 240 a second come
            pace.admits(now + n * STEP_TICKS // 60)
        now += STEP_TICKS
        assert pace.observe(now, 0, 0.01) == []  # as many wait as before: let go, they would be one wave
    assert pace.rate == pytest.approx(begun_at + 3 * MIN_CALM_STEPS)
    for n in range(4):
        pace.admits(now + n)
    now += STEP_TICKS
    assert [event for event, _ in pace.observe(now, 0, 0.01)] == ["ends"] and pace.rate is None


def test_a_core_that_strains_under_few_connections_is_no_reason_to_hold_any():
    pace = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(1, 40):
        assert pace.observe(n * STEP_TICKS, 4_000, n * 0.25) == [] and pace.rate is None


def slow_query(served: Served) -> Any:
    return next(
        (
            ticket
            for ticket in list(served.service.decider.registry.queries.index_of)
            if ticket.verb == b"load" or ticket.verb == "load"
        ),
        None,
    )


FLOOD = """
import socket, struct, sys, time
startup = struct.pack("!II", 30, 196_608) + b"user\\0app\\0database\\0bi\\0\\0"
until, refused, let = time.monotonic() + float(sys.argv[2]), 0, 0
while time.monotonic() < until:
    with socket.create_connection(("127.0.0.1", int(sys.argv[1])), timeout=5) as sock:
        sock.sendall(startup)
        first = sock.recv(4096)
        refused, let = refused + (b"C53300" in first and b"stay-away" in first), let + (first[:1] == b"R")
print(refused, let)
"""


def test_a_flood_of_connections_is_paced_while_clients_are_served_and_cancels_admitted():
    text = SMALL.format(more='longest-advice "4s"')
    served = Served(text, watch=storms.Part(None), limits={"sockets": 1024, "cores": 0.05})
    client = Plain(served)
    slow = Plain(served)
    floods = [
        subprocess.Popen([sys.executable, "-c", FLOOD, str(served.address[1]), "3"], stdout=subprocess.PIPE)
        for _ in range(4)
    ]
    until(lambda: served.service.gate.pace.rate is not None)
    slow.send(
        statement(
            "SELECT 1 FROM sales_1.t",
            verb="load",
            n=7_000,
            team="all",
            limit=4000,
            cpu=3000,
            unique="a1",
            item="k1",
        )
    )
    until(lambda: slow_query(served) is not None)
    answers = [
        sqlstate(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n + 1, team="all", cpu=60)))
        for n in range(12)
    ]
    assert answers.count(None) >= 11  # who is in is served beside the flood
    asked = slow_query(served)
    if asked is not None:  # else it was answered meanwhile
        slow.cancel()
        assert sqlstate(slow.until_ready()) in ("57014", None)
    refused = let = 0
    for flood in floods:
        a, b = flood.communicate(timeout=30)[0].split()
        refused = refused + int(a)
        let = let + int(b)
    assert refused > 20 and let < refused
    # What else runs in this process counts as its use of the core: from here on it has a whole one.
    served.service.gate.pace._cores = 1.0
    # Nobody comes any more: it is let go, and who comes then is let in at once.
    until(lambda: served.service.gate.pace.rate is None, 30)
    assert rows(Plain(served).ask(statement("SELECT 1 FROM sales_1.t", n=900, team="all", cpu=60)))
    counts = served.service.counters.shown()
    assert counts["connections-paced-begins"] >= 1 and counts["connections-paced-ends"] >= 1
    assert counts["client-connections-ended-too-fast"] >= refused and counts.get("faults", 0) == 0
    served.end()
