"""Storms are damped: first tries ahead of repeats, connections at a pace that the core bears, a notice while
one lasts; and the cases in which that could do harm."""

import json
import os
import subprocess
import sys

import psycopg
import pytest
from bench_free import Client as Plain
from bench_free import Gateways, free_port, group, rows, site, sqlstate, statement, until
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rehearsal import ROOT, SMALL, Served

from scheduling.test_retry_storm import DAY, begun, told
from wickvane.events import QueryArrived
from wickvane.net import storms
from wickvane.net.tds import errors, tokens
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal import tds, world
from wickvane.scheduling.connection_pacing import EASE_STEPS, RATE_LEAST, STEP, ConnectionPacing
from wickvane.scheduling.retry_storm import StormState
from wickvane.units import TICKS_PER_SECOND

# First tries


def test_a_repeat_leaves_behind_first_tries_of_up_to_a_quarter_more_cost():
    made, came = Gateways(site([group()])), []
    for again, cost in ((True, 950), (False, 3000), (True, 700), (False, 1000)):
        q, made.next_q = made.next_q, made.next_q + 1
        made.sent[q], made.count[q] = [], 0
        made.round(QueryArrived(q, 0, 0, cost, 10, 1, None, 70_000, again))
        came.append(q)
    assert not made.out  # nothing is listed to send to
    made.engines(1)
    assert list(made.out) == [came[2], came[3], came[0], came[1]]


# The pace


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
    pace, now, cpu, let = ConnectionPacing(0, 5_000, 1.0, 20_000, seed), 0, 0.0, 0
    credit = None
    for come, used, lag, urgent in steps:
        rate = pace.rate
        for n in range(come):
            at = now + STEP * n // max(1, come)
            got = pace.admits(at, urgent == 3 and n == 0)
            if rate is None:
                assert got
            elif got and not (urgent == 3 and n == 0):
                let += 1
            elif not got:
                assert 0 < pace.retry_after(at) <= 20_000
        if rate is not None:
            credit = (credit or 0.0) + rate * STEP / TICKS_PER_SECOND
            assert let <= credit + max(1.0, rate * STEP / TICKS_PER_SECOND)
        else:
            credit, let = None, 0
        now, cpu = now + STEP, cpu + used
        turns = pace.observe(now, lag, cpu)
        assert pace.rate is None or pace.rate >= RATE_LEAST
        assert [event for event, _ in turns] == (
            ["begins"]
            if rate is None and pace.rate is not None
            else ["ends"]
            if rate is not None and pace.rate is None
            else []
        )
        strained = lag > pace.late_lag or used > 0.9 * STEP / TICKS_PER_SECOND
        if rate is not None and pace.rate is not None:
            assert pace.rate == pytest.approx(max(RATE_LEAST, 0.85 * rate) if strained else rate + 1)


def held():
    """One that was told of strain under 100 connections a second."""
    pace = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(25):
        pace.admits(n * 100)
    assert [event for event, _ in pace.observe(STEP, 2_000, 0.01)] == ["begins"]
    return pace


def test_those_not_let_in_are_told_to_come_one_behind_another_at_the_pace():
    pace = held()
    away = [pace.retry_after(STEP) for _ in range(20)]
    gaps = [b - a for a, b in zip(away, away[1:])]
    assert all(gap == pytest.approx(TICKS_PER_SECOND / pace.rate, abs=1) for gap in gaps)
    far = [pace.retry_after(STEP) for _ in range(800)]
    assert max(far) <= 40_000 and len(set(far[-100:])) > 50
    quiet = ConnectionPacing(0, 5_000, 1.0, 0, 1)
    quiet.rate = 5.0
    assert quiet.retry_after(STEP) == 0


def test_a_pace_opens_step_by_step_and_is_let_go_only_where_nobody_is_held_any_more():
    pace, now, begun_at = held(), STEP, held().rate
    for _ in range(3 * EASE_STEPS):
        for n in range(60):  # 240 a second come
            pace.admits(now + n * STEP // 60)
        now += STEP
        assert pace.observe(now, 0, 0.01) == []  # as many wait as before: let go, they would be one wave
    assert pace.rate == pytest.approx(begun_at + 3 * EASE_STEPS)
    for n in range(4):
        pace.admits(now + n)
    now += STEP
    assert [event for event, _ in pace.observe(now, 0, 0.01)] == ["ends"] and pace.rate is None


def test_a_core_that_strains_under_few_connections_is_no_reason_to_hold_any():
    pace = ConnectionPacing(0, 5_000, 1.0, 40_000, 1)
    for n in range(1, 40):
        assert pace.observe(n * STEP, 4_000, n * 0.25) == [] and pace.rate is None


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


def test_a_flood_of_connections_is_paced_who_is_in_is_served_a_cancel_is_heard_and_it_opens_again():
    text = SMALL.format(more='longest-advice "4s"')
    served = Served(text, watch=storms.Part(None), limits={"sockets": 1024, "cores": 0.05})
    client, slow = Plain(served), Plain(served)
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
        refused, let = refused + int(a), let + int(b)
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


def slow_query(served):
    return next(
        (
            ticket
            for ticket in list(served.service.decider.registry.queries.of)
            if ticket.verb == b"load" or ticket.verb == "load"
        ),
        None,
    )


# The notice


def test_drivers_read_a_notice_once_a_storm_and_none_when_it_is_over():
    served = Served(SMALL.format(more=""), watch=storms.Part(None, False))
    notices = []
    with psycopg.connect(
        host="127.0.0.1", port=served.address[1], sslmode="disable", user="a", dbname="b", autocommit=True
    ) as connection:
        connection.add_notice_handler(lambda said: notices.append((said.sqlstate, said.message_detail)))

        def asks(n):
            connection.execute(statement("SELECT 1 FROM sales_1.t", n=n, team="all", cpu=60)).fetchall()

        asks(1)
        assert not notices
        served.service.decider.storm.state = StormState.STORM  # else the next look says that there is none
        served.service.exchange.storm = 4
        asks(2)
        asks(3)
        assert notices == [("01000", "retry-storm=4")]
        served.service.exchange.storm = 5
        asks(4)
        served.service.exchange.storm = 0
        asks(5)
        assert len(notices) == 2
    served.end()


def test_a_tds_driver_reads_it_as_an_info_message_ahead_of_its_result():
    text = SMALL.replace("cores=4", 'speaks="tds" cores=4').format(more="")
    served = Served(text, "tds")
    served.service.exchange.storm = 2
    client = tds.Client(served.address)
    found = []
    client.exchange, plain = lambda message: found.append(plain(message)) or found[-1], client.exchange
    for n in (1, 2):
        asked = statement("SELECT 1 FROM sales_1.t", n=n, team="all", cpu=60)
        assert client.ask(asked, 5) == "finished"
    infos = [
        [
            said
            for token, _, said in tokens.TokenStreamReader().feed(body)
            if token == tokens.INFO and said[0] == errors.STORM
        ]
        for body in found[-2:]
    ]
    assert len(infos[0]) == 1 and not infos[1]
    served.end()


# Hard cases

LOADS = """rehearsal {{
    length "40s"
    gateways {gateways}
    engines "e" count=3 cores=4 disks=4
    group "load" {{ effect "tokened"; work "500ms"; promise "4s"; timeout "8s"; late 0.5; ordered #true }}
    clients "a" {{ group "load"; rate 6; keys 2; retries 6; back-off "{wait}" }}
    trouble "slow" at="5s" for="8s" size=3
    trouble "crash" at="6s" for="1s" part=0.5
    trouble "silent" at="8s" for="2s" part=0.4
    trouble "crash" at="10s" for="1s" part=0.5
    repeats-dropped-for "12s"
    longest-advice "5s"
    budget free=3 share=0.1 window="5s"
    watch-storms #true
}}"""


@pytest.mark.parametrize("wait", ["300ms", "13s"])
@pytest.mark.parametrize("gateways", [1, 3])
def test_a_load_sent_again_while_its_key_s_line_is_long_keeps_order_and_window(wait, gateways):
    """By the client and by this dispatcher, inside its window and past it."""
    outcome = world.play(scripts.read_text(LOADS.format(wait=wait, gateways=gateways)), 1, False)
    again = sum(len(q.submissions) > 1 for host in outcome.world.hosts for q in host.queries.values())
    repeats = sum(host.storm.counts["repeats"] for host in outcome.world.hosts)
    assert outcome.breaches == [] and outcome.checked[5] > 50 and again > 0 and repeats > 10


CROWD = DAY.replace(
    "{more}",
    """
    group "calm" {{ work "100ms"; promise "600ms"; timeout "2s" }}
    tenant "loud"
    tenant "quiet"
    clients "crowd" {{ group "lookup"; closed {crowd}; think "1ms"; retries 20; back-off "1ms"; since "5s" }}
    clients "good" {{ group "calm"; tenant "quiet"; rate 10; retries 3; back-off "200ms"; heeds #true }}
    longest-advice "5s"
    {more}""",
)


@pytest.mark.parametrize("crowd", [1, 100])
@pytest.mark.parametrize("gateways", [1, 8])
def test_clients_that_ignore_advice_at_full_speed_cost_one_that_heeds_it_nothing(crowd, gateways):
    text = CROWD.format(crowd=crowd, more="", retries=0, gateways=gateways)
    outcome = world.play(scripts.read_text(text), 1, False)
    asked = sum(
        query.resource_group == 2 and not query.tries
        for host in outcome.world.hosts
        for query in host.queries.values()
    )
    in_time = sum(latency <= 8_000 for latency in outcome.world.latencies[2])
    assert outcome.breaches == [] and asked > 300 and in_time > 0.93 * asked


@pytest.mark.parametrize("part,troubled", [(0.13, 1), (1.0, 8)])
def test_a_dispatcher_that_comes_back_into_a_storm_learns_of_it(part, troubled):
    """Advice given just before the restart is kept by its clients: nothing of it is in the dispatcher."""
    lines = told(
        f'longest-advice "5s"\n trouble "slow" at="10s" for="14s" size=10\n'
        f'trouble "kill" at="14s" for="500ms" part={part}',
        retries=10,
        gateways=8,
    )
    kinds = {
        name
        for at, name, event, fields in lines
        if event == "begins" and fields["kind"] == "storm" and at > 14.5
    }
    assert len(kinds) >= min(troubled, 4)


def test_a_storm_of_one_dispatcher_s_clients_is_that_one_s():
    """Ordered groups come to a gateway by key: one key asked for without end is one gateway's storm."""
    more = (
        'group "own" { work "300ms"; promise "600ms"; timeout "1s"; ordered #true; effect "tokened" }\n'
        'clients "own" { group "own"; rate 20; keys 1; retries 10; back-off "50ms"; since "10s" }'
    )
    lines = told(more, retries=0, gateways=4)
    assert {name for _, name, event, fields in lines if event == "begins" and fields["kind"] == "storm"} <= {
        "g0"
    } and begun(lines)


STEP_AT_S = 4  # of the dispatcher's life, in the middle of the load


@pytest.fixture
def programs(tmp_path):
    """Starts wickvane's commands, each with its output in a file, and ends them."""
    running = []

    def start(name, *words, **environment):
        with open(tmp_path / name, "wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "wickvane", *words],
                cwd=ROOT,
                stdout=output,
                env=os.environ | environment,
            )
        running.append(process)
        return process, tmp_path / name

    yield start
    for process in running:
        process.kill()
        process.wait()


def lines_of(path):
    text = path.read_bytes()
    return [json.loads(line) for line in text[: text.rfind(b"\n") + 1].splitlines()]


def test_a_clock_that_steps_moves_neither_advice_nor_storm(programs, tmp_path):
    """A dispatcher whose time of day steps back by an hour under load goes on by a clock that cannot step."""
    text = SMALL.format(more='longest-advice "2s"').replace('timeout "3s"', 'timeout "1s"')
    # None so long that its answer and the end of its client's patience come at one moment.
    text = text.replace('"12s"', '"6s"').replace("rate 60", "rate 200")
    text = text.replace('work "60ms"', 'work "60ms"; spread 0.3')
    script, config, document = (tmp_path / name for name in ("script.kdl", "config.json", "parts.kdl"))
    script.write_text(text)
    document.write_text("storms { }")
    _, told = programs("engines", "rehearse", "serve", "--for=60s", str(script))
    found = until(lambda: lines_of(told))[0]
    found["listen"] = f"127.0.0.1:{free_port()}"
    config.write_text(json.dumps(found))
    dispatcher, log = programs(
        "dispatcher",
        "serve",
        f"--config={config}",
        f"--parts={document}",
        WICKVANE_CLOCK=f"step=-3600@{STEP_AT_S}",
    )
    until(lambda: any(line["event"] == "ready" for line in lines_of(log)))
    load, figures = programs("load", "rehearse", "load", f"--to={found['listen']}", str(script))
    assert load.wait(60) == 0
    dispatcher.terminate()
    assert dispatcher.wait(30) == 0
    answers = next(line["answers"] for line in lines_of(figures) if line.get("group") == "lookup")
    assert answers["finished"] > 300 and "lost" not in answers
    counted = next(line for line in lines_of(log) if line["event"] == "counters")
    assert counted.get("advised-ms", 0) <= 2000 * max(1, counted.get("advised", 0))
    moments = [line["at"] for line in lines_of(log)]
    assert max(moments) - min(moments) < 60  # no line is an hour off
