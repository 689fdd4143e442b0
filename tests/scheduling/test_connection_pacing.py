"""New connections are limited to a rate while the process is overloaded, and only then."""

import subprocess
import sys
from typing import Any

import pytest
from bench_free import Client as PostgresClient
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
def test_pacing_admits_all_connections_without_overload_and_at_most_its_rate_under_overload(steps, seed):
    """Compares with a plain model: admissions stay within the rate since the limit began, plus one burst."""
    pacing = ConnectionPacing(0, 5_000, 1.0, 20_000, seed)
    now = 0
    cpu = 0.0
    admitted = 0
    credit = None
    for arrivals, used, lag, urgent in steps:
        rate = pacing.rate
        for n in range(arrivals):
            at = now + STEP_TICKS * n // max(1, arrivals)
            is_admitted = pacing.admits(at, urgent == 3 and n == 0)
            if rate is None:
                assert is_admitted
            elif is_admitted and not (urgent == 3 and n == 0):
                admitted += 1
            elif not is_admitted:
                assert 0 < pacing.retry_after(at) <= 20_000
        if rate is not None:
            credit = (credit or 0.0) + rate * STEP_TICKS / TICKS_PER_SECOND
            assert admitted <= credit + max(1.0, rate * STEP_TICKS / TICKS_PER_SECOND)
        else:
            credit = None
            admitted = 0
        now = now + STEP_TICKS
        cpu = cpu + used
        events = pacing.observe(now, lag, cpu)
        assert pacing.rate is None or pacing.rate >= MIN_RATE
        assert [event for event, _ in events] == (
            ["begins"]
            if rate is None and pacing.rate is not None
            else ["ends"]
            if rate is not None and pacing.rate is None
            else []
        )
        is_overloaded = lag > pacing.late_lag or used > 0.9 * STEP_TICKS / TICKS_PER_SECOND
        if rate is not None and pacing.rate is not None:
            assert pacing.rate == pytest.approx(max(MIN_RATE, 0.85 * rate) if is_overloaded else rate + 1)


def overloaded_pacing() -> ConnectionPacing:
    """Returns a pacing that limits the rate, after overload with 100 connections per second."""
    pacing = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(25):
        pacing.admits(n * 100)
    assert [event for event, _ in pacing.observe(STEP_TICKS, 2_000, 0.01)] == ["begins"]
    return pacing


def test_rejected_connections_get_retry_after_values_that_are_spaced_by_the_rate():
    pacing = overloaded_pacing()
    retry_afters = [pacing.retry_after(STEP_TICKS) for _ in range(20)]
    gaps = [b - a for a, b in zip(retry_afters, retry_afters[1:])]
    assert all(gap == pytest.approx(TICKS_PER_SECOND / pacing.rate, abs=1) for gap in gaps)
    later = [pacing.retry_after(STEP_TICKS) for _ in range(800)]
    assert max(later) <= 40_000 and len(set(later[-100:])) > 50
    without_retry_after = ConnectionPacing(0, 5_000, 1.0, 0, 1)
    without_retry_after.rate = 5.0
    assert without_retry_after.retry_after(STEP_TICKS) == 0


def test_the_rate_grows_step_by_step_and_the_limit_ends_only_if_it_rejects_no_connection():
    pacing = overloaded_pacing()
    now = STEP_TICKS
    initial_rate = overloaded_pacing().rate
    for _ in range(3 * MIN_CALM_STEPS):
        for n in range(60):  # 240 connections per second
            pacing.admits(now + n * STEP_TICKS // 60)
        now += STEP_TICKS
        # As many clients wait as before; without the limit they would all arrive at once.
        assert pacing.observe(now, 0, 0.01) == []
    assert pacing.rate == pytest.approx(initial_rate + 3 * MIN_CALM_STEPS)
    for n in range(4):
        pacing.admits(now + n)
    now += STEP_TICKS
    assert [event for event, _ in pacing.observe(now, 0, 0.01)] == ["ends"] and pacing.rate is None


def test_overload_with_few_connections_sets_no_limit():
    pacing = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(1, 40):
        assert pacing.observe(n * STEP_TICKS, 4_000, n * 0.25) == [] and pacing.rate is None


def running_load_query(served: Served) -> Any:
    """Returns the bulk load that the dispatcher holds, or None."""
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
end, rejected, admitted = time.monotonic() + float(sys.argv[2]), 0, 0
while time.monotonic() < end:
    with socket.create_connection(("127.0.0.1", int(sys.argv[1])), timeout=5) as sock:
        sock.sendall(startup)
        first = sock.recv(4096)
        rejected += b"C53300" in first and b"stay-away" in first
        admitted += first[:1] == b"R"
print(rejected, admitted)
"""


def test_a_flood_of_connections_is_paced_while_clients_are_served_and_cancels_admitted():
    text = SMALL.format(more='longest-advice "4s"')
    served = Served(text, watch=storms.Part(None), limits={"sockets": 1024, "cores": 0.05})
    client = PostgresClient(served)
    slow = PostgresClient(served)
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
    until(lambda: running_load_query(served) is not None)
    answers = [
        sqlstate(client.ask(statement(f"SELECT 1 FROM sales_{n}.t", n=n + 1, team="all", cpu=60)))
        for n in range(12)
    ]
    assert answers.count(None) >= 11  # connected clients are served during the flood
    load_query = running_load_query(served)
    if load_query is not None:  # if not, it has been answered
        slow.cancel()
        assert sqlstate(slow.until_ready()) in ("57014", None)
    rejected = admitted = 0
    for flood in floods:
        a, b = flood.communicate(timeout=30)[0].split()
        rejected = rejected + int(a)
        admitted = admitted + int(b)
    assert rejected > 20 and admitted < rejected
    # The CPU time of the rest of this test counts too, so from here on the process may use an entire core.
    served.service.gate.pace._cores = 1.0
    # No connection arrives any more, so the limit ends and a new connection is admitted at once.
    until(lambda: served.service.gate.pace.rate is None, 30)
    assert rows(PostgresClient(served).ask(statement("SELECT 1 FROM sales_1.t", n=900, team="all", cpu=60)))
    counts = served.service.counters.shown()
    assert counts["connections-paced-begins"] >= 1 and counts["connections-paced-ends"] >= 1
    assert counts["client-connections-ended-too-fast"] >= rejected and counts.get("faults", 0) == 0
    served.end()
