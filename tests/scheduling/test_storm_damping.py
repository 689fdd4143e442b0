"""Storms are damped: first attempts ahead of retries, a notice while one lasts; and cases that could harm."""

import json
import os
import subprocess
import sys

import psycopg
import pytest
from bench_free import Gateways, free_port, group, site, statement, until
from test_rehearsal import ROOT, SMALL, Served

from scheduling.test_retry_storm import DAY, begun, storm_events
from wickvane.events import QueryArrived
from wickvane.net import storms
from wickvane.net.tds import errors, tokens
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal import tds, world
from wickvane.scheduling.retry_storm import StormState


def test_a_repeat_leaves_behind_first_tries_of_up_to_a_quarter_more_cost():
    made = Gateways(site([group()]))
    came = []
    for again, cost in ((True, 950), (False, 3000), (True, 700), (False, 1000)):
        q = made.next_q
        made.next_q = made.next_q + 1
        made.sent[q] = []
        made.count[q] = 0
        made.round(QueryArrived(q, 0, 0, cost, 10, 1, None, 70_000, again))
        came.append(q)
    assert not made.out  # nothing is listed to send to
    made.engines(1)
    assert list(made.out) == [came[2], came[3], came[0], came[1]]


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
        served.service.exchange.storm_number = 4
        asks(2)
        asks(3)
        assert notices == [("01000", "retry-storm=4")]
        served.service.exchange.storm_number = 5
        asks(4)
        served.service.exchange.storm_number = 0
        asks(5)
        assert len(notices) == 2
    served.end()


def test_a_tds_driver_reads_it_as_an_info_message_ahead_of_its_result():
    text = SMALL.replace("cores=4", 'speaks="tds" cores=4').format(more="")
    served = Served(text, "tds")
    served.service.exchange.storm_number = 2
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
            if token == tokens.INFO and said[0] == errors.RETRY_STORM
        ]
        for body in found[-2:]
    ]
    assert len(infos[0]) == 1 and not infos[1]
    served.end()


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
    lines = storm_events(
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
    lines = storm_events(more, retries=0, gateways=4)
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
