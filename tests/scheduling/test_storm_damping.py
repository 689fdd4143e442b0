"""Retry storms are damped: first attempts run before retries, and clients get a notice; also edge cases."""

import json
import os
import subprocess
import sys

import psycopg
import pytest
from bench_free import Gateways, free_port, group, site, statement, until
from test_rehearsal import ROOT, SMALL, Served

from scheduling.test_retry_storm import DAY, begin_events, storm_events
from wickvane.events import QueryArrived
from wickvane.net import storms
from wickvane.net.tds import errors, tokens
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal import tds, world
from wickvane.scheduling.retry_storm import StormState


def test_a_retry_runs_after_first_attempts_of_up_to_a_quarter_more_cost():
    dispatcher = Gateways(site([group()]))
    queries = []
    for is_retry, cost in ((True, 950), (False, 3000), (True, 700), (False, 1000)):
        query = dispatcher.next_q
        dispatcher.next_q = dispatcher.next_q + 1
        dispatcher.sent[query] = []
        dispatcher.count[query] = 0
        dispatcher.round(QueryArrived(query, 0, 0, cost, 10, 1, None, 70_000, is_retry))
        queries.append(query)
    assert not dispatcher.out  # no engine is listed
    dispatcher.engines(1)
    assert list(dispatcher.out) == [queries[2], queries[3], queries[0], queries[1]]


def test_drivers_get_one_notice_per_storm_and_none_after_it():
    served = Served(SMALL.format(more=""), watch=storms.Part(None, False))
    notices = []
    with psycopg.connect(
        host="127.0.0.1", port=served.address[1], sslmode="disable", user="a", dbname="b", autocommit=True
    ) as connection:
        connection.add_notice_handler(lambda notice: notices.append((notice.sqlstate, notice.message_detail)))

        def run_query(n):
            connection.execute(statement("SELECT 1 FROM sales_1.t", n=n, team="all", cpu=60)).fetchall()

        run_query(1)
        assert not notices
        # Without this state the next step would report that there is no storm.
        served.service.decider.storm.state = StormState.STORM
        served.service.exchange.storm_number = 4
        run_query(2)
        run_query(3)
        assert notices == [("01000", "retry-storm=4")]
        served.service.exchange.storm_number = 5
        run_query(4)
        served.service.exchange.storm_number = 0
        run_query(5)
        assert len(notices) == 2
    served.end()


def test_a_tds_driver_gets_the_notice_as_an_info_message_before_its_result():
    text = SMALL.replace("cores=4", 'speaks="tds" cores=4').format(more="")
    served = Served(text, "tds")
    served.service.exchange.storm_number = 2
    client = tds.Client(served.address)
    responses = []
    client.exchange, send = lambda message: responses.append(send(message)) or responses[-1], client.exchange
    for n in (1, 2):
        text = statement("SELECT 1 FROM sales_1.t", n=n, team="all", cpu=60)
        assert client.ask(text, 5) == "finished"
    infos = [
        [
            fields
            for token, _, fields in tokens.TokenStreamReader().feed(body)
            if token == tokens.INFO and fields[0] == errors.RETRY_STORM
        ]
        for body in responses[-2:]
    ]
    assert len(infos[0]) == 1 and not infos[1]
    served.end()


LOADS_DAY = """rehearsal {{
    length "40s"
    gateways {dispatcher_count}
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
@pytest.mark.parametrize("dispatcher_count", [1, 3])
def test_a_load_retried_while_its_key_has_a_long_queue_keeps_order_and_window(wait, dispatcher_count):
    """Clients and the dispatcher retry the loads, within their idempotency window and after it."""
    outcome = world.play(
        scripts.read_text(LOADS_DAY.format(wait=wait, dispatcher_count=dispatcher_count)), 1, False
    )
    retried = sum(
        len(query.submissions) > 1 for host in outcome.world.hosts for query in host.queries.values()
    )
    repeats = sum(host.storm.counts["repeats"] for host in outcome.world.hosts)
    assert outcome.breaches == [] and outcome.checked[5] > 50 and retried > 0 and repeats > 10


LOUD_CLIENTS_DAY = DAY.replace(
    "{more}",
    """
    group "calm" {{ work "100ms"; promise "600ms"; timeout "2s" }}
    tenant "loud"
    tenant "quiet"
    clients "crowd" {{ group "lookup"; closed {count}; think "1ms"; retries 20; back-off "1ms"; since "5s" }}
    clients "good" {{ group "calm"; tenant "quiet"; rate 10; retries 3; back-off "200ms"; heeds #true }}
    longest-advice "5s"
    {more}""",
)


@pytest.mark.parametrize("client_count", [1, 100])
@pytest.mark.parametrize("dispatcher_count", [1, 8])
def test_clients_that_ignore_retry_after_do_not_harm_one_that_follows_it(client_count, dispatcher_count):
    text = LOUD_CLIENTS_DAY.format(count=client_count, more="", retries=0, dispatcher_count=dispatcher_count)
    outcome = world.play(scripts.read_text(text), 1, False)
    first_attempts = sum(
        query.resource_group == 2 and not query.tries
        for host in outcome.world.hosts
        for query in host.queries.values()
    )
    in_time = sum(latency <= 8_000 for latency in outcome.world.latencies[2])
    assert outcome.breaches == [] and first_attempts > 300 and in_time > 0.93 * first_attempts


@pytest.mark.parametrize("part,restarted", [(0.13, 1), (1.0, 8)])
def test_a_dispatcher_restarted_during_a_storm_detects_it(part, restarted):
    """Clients still follow a Retry-After from before the restart, but the dispatcher knows nothing of it."""
    events = storm_events(
        f'longest-advice "5s"\n trouble "slow" at="10s" for="14s" size=10\n'
        f'trouble "kill" at="14s" for="500ms" part={part}',
        retries=10,
        dispatcher_count=8,
    )
    dispatchers = {
        name
        for at, name, event, fields in events
        if event == "begins" and fields["kind"] == "storm" and at > 14.5
    }
    assert len(dispatchers) >= min(restarted, 4)


def test_a_storm_of_one_dispatcher_is_detected_by_that_one_only():
    """Queries of ordered groups go to a dispatcher by key, so retries of one key affect one dispatcher."""
    more = (
        'group "own" { work "300ms"; promise "600ms"; timeout "1s"; ordered #true; effect "tokened" }\n'
        'clients "own" { group "own"; rate 20; keys 1; retries 10; back-off "50ms"; since "10s" }'
    )
    events = storm_events(more, retries=0, dispatcher_count=4)
    assert {name for _, name, event, fields in events if event == "begins" and fields["kind"] == "storm"} <= {
        "g0"
    } and begin_events(events)


CLOCK_STEP_AT_S = 4  # seconds after the dispatcher's start, during the load


@pytest.fixture
def programs(tmp_path):
    """Starts wickvane commands with their output in files, and kills them at the end."""
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
    """Returns the complete log lines of a file."""
    text = path.read_bytes()
    return [json.loads(line) for line in text[: text.rfind(b"\n") + 1].splitlines()]


def test_a_clock_step_changes_neither_retry_after_nor_storm_detection(programs, tmp_path):
    """The wall clock of a dispatcher steps back by an hour under load; it uses a monotonic clock."""
    text = SMALL.format(more='longest-advice "2s"').replace('timeout "3s"', 'timeout "1s"')
    # No query takes so long that its answer and its client's timeout coincide.
    text = text.replace('"12s"', '"6s"').replace("rate 60", "rate 200")
    text = text.replace('work "60ms"', 'work "60ms"; spread 0.3')
    script, config, document = (tmp_path / name for name in ("script.kdl", "config.json", "parts.kdl"))
    script.write_text(text)
    document.write_text("storms { }")
    _, engines_output = programs("engines", "rehearse", "serve", "--for=60s", str(script))
    configuration = until(lambda: lines_of(engines_output))[0]
    configuration["listen"] = f"127.0.0.1:{free_port()}"
    config.write_text(json.dumps(configuration))
    dispatcher, log = programs(
        "dispatcher",
        "serve",
        f"--config={config}",
        f"--parts={document}",
        WICKVANE_CLOCK=f"step=-3600@{CLOCK_STEP_AT_S}",
    )
    until(lambda: any(line["event"] == "ready" for line in lines_of(log)))
    load, load_output = programs("load", "rehearse", "load", f"--to={configuration['listen']}", str(script))
    assert load.wait(60) == 0
    dispatcher.terminate()
    assert dispatcher.wait(30) == 0
    answers = next(line["answers"] for line in lines_of(load_output) if line.get("group") == "lookup")
    assert answers["finished"] > 300 and "lost" not in answers
    counters = next(line for line in lines_of(log) if line["event"] == "counters")
    assert counters.get("advised-ms", 0) <= 2000 * max(1, counters.get("advised", 0))
    times = [line["at"] for line in lines_of(log)]
    assert max(times) - min(times) < 60  # no log line has a time that is an hour off
