"""The export on loopback to a collector with faults: no record is lost unnoticed or counted twice."""

import io
import json
import os
import random
import resource
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import time

import pytest
import trustme
from bench_free import (
    STANDING,
    Client,
    Engine,
    Events,
    entry,
    event,
    found,
    free_port,
    hit,
    rows,
    sqlstate,
    sse,
    statement,
    until,
)
from standins.collector import ENTERPRISE, Collector

from wickvane import parts
from wickvane.flows import command
from wickvane.flows import flow_accounts as a
from wickvane.flows.collected_flows import Collected
from wickvane.flows.export import Exporter, InvalidExportError
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.net.service import Service

LOCAL = bytes([127, 0, 0, 1])
QUICK = 'collect-every "10ms"\nstatistics-every "100ms"\n'


def document(*collectors, more="", quick=QUICK):
    named = "".join(f'collector "{name}" {{ {body} }}\n' for name, body in collectors)
    return parts.read_text(f"flows {{\n{quick}{more}\n{named}}}")["flows"]


class RecordedLog:
    """A log that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def line(self, event, **fields):
        self.lines.append((event, fields))

    def of(self, event):
        return [fields for name, fields in self.lines if name == event]


class Exporting:
    """An exporter with accounts, and the totals of the traffic that the test added to them."""

    def __init__(self, settings):
        self.log, self.counters = RecordedLog(), Counters()
        self.exporter = Exporter(settings, Clock(), self.log, self.counters, ["lookup", "load"], ["acme"], 1)
        self.accounts, self.octets, self.flows = self.exporter.accounts, 0, 0
        self.exporter.start()

    def move(self, flows=1, engine="e0", octets=100, key=(0, 0)):
        now = self.exporter.clock.now()
        for n in range(flows):
            connection = self.accounts.opened(a.ENGINE, (LOCAL, n % 60_000 + 1), (LOCAL, 5), engine)
            self.accounts.count(connection, key, now, a.FORWARD, octets, 1, a.FIRST)
            self.accounts.closed(connection, now)
        self.flows, self.octets = self.flows + flows, self.octets + flows * octets

    def has_all(self, collected):
        return (
            collected.total("engine", "octetDeltaCount"),
            collected.total("engine", "deltaFlowCount"),
        ) == (self.octets, self.flows)

    def connection(self, name="a"):
        return next(
            connection
            for message_log in self.exporter.message_logs.values()
            for connection in message_log.connections
            if connection.collector.name == name
        )


def received_all(collector, exporting, seconds=30):
    collected = collector.until(lambda c: exporting.has_all(c) and not c.lost, seconds)
    assert collected.malformed == 0 and collected.unknown == 0
    return collected


@pytest.mark.parametrize("spooled", [False, True])
def test_a_collector_that_starts_late_receives_all_records(tmp_path, spooled):
    port = free_port()
    more = f'spool "{tmp_path}/s"' if spooled else ""
    exporting = Exporting(document(("a", f'address "127.0.0.1:{port}"'), more=more))
    exporting.move(500)
    until(lambda: exporting.counters.shown().get("flow-connections-ended-connect-refused", 0) >= 2)
    exporting.move(50)
    collector = Collector(port=port)
    collected = received_all(collector, exporting)
    assert collected.lost == 0 and exporting.connection().window.not_sent == [0, 0, 0]
    exporting.exporter.stop()


def test_a_collector_that_stops_reading_does_not_delay_the_accounts_and_misses_nothing():
    collector = Collector(buffer=4096)
    exporting = Exporting(
        document(("a", f'address "{collector.address}"; stall "200ms"'), more='queue "4MiB"\nagain "4MiB"')
    )
    exporting.move(1)
    received_all(collector, exporting)
    collector.reading.clear()
    longest = 0.0
    for _ in range(40):
        began = time.perf_counter()
        exporting.move(300, engine="engine-with-a-long-name-" + "x" * 100)
        longest = max(longest, time.perf_counter() - began)
        time.sleep(0.02)
    until(lambda: exporting.counters.shown().get("flow-connections-ended-stalled"))
    assert longest < 1.0
    collector.reading.set()
    collected = received_all(collector, exporting, 20)
    assert collected.lost == 0
    exporting.exporter.stop()


def test_resets_and_a_restarted_collector_without_templates_lose_nothing_and_count_nothing_twice():
    chance, port = random.Random(3), free_port()
    collector = Collector(port=port)
    exporting = Exporting(document(("a", f'address "127.0.0.1:{port}"'), more='again "1MiB"'))
    for n in range(8):
        exporting.move(200)
        time.sleep(chance.uniform(0.0, 0.05))
        if n % 2:
            collector.reset()
        elif n == 4:
            # A new collecting process knows no templates; the sums are carried over.
            before = collector.collected
            collector.end()
            collector = Collector(port=port, collected=before)
    collected = received_all(collector, exporting)
    assert collected.repeated > 0 and collected.lost == 0 and collected.arrivals["repeated"] > 0
    until(lambda: not exporting.connection().window.pending_ranges)
    exporting.exporter.stop()
    stats = collected.statistics[1, "a"]
    assert stats["repeatedMessageTotalCount"] > 0 and stats["notSentFlowTotalCount"] == 0
    assert stats["accountedFlowTotalCount"] == exporting.flows


@pytest.mark.parametrize("policy", ["oldest", "newest"])
def test_records_dropped_from_a_full_backlog_are_counted_by_group_in_the_next_statistics(tmp_path, policy):
    port = free_port()
    exporting = Exporting(
        document(
            ("a", f'address "127.0.0.1:{port}"'),
            more=f'spool "{tmp_path}/s" size="256KiB" segment="16KiB"\nwhen-full "{policy}"',
        )
    )
    for n in range(30):
        exporting.move(100, key=(n % 2, 0))
        time.sleep(0.015)
    until(lambda: exporting.connection().window.not_sent[0] > 300)
    assert exporting.exporter.message_logs["ipfix"].backlog.size <= 256 << 10
    collector = Collector(port=port)
    until(
        lambda: (
            exporting.connection().window.is_connected and not exporting.connection().window.pending_ranges
        )
    )
    exporting.move(1)

    def adds_up(collected):
        last = collected.statistics.get((1, "a"))
        gone = sum(r["notSentFlowTotalCount"] for r in collected.not_sent.values())
        return (
            last
            and last["notSentFlowTotalCount"] == gone > 0
            and collected.total("engine", "deltaFlowCount") + gone == exporting.flows
        )

    collected = collector.until(adds_up)
    assert {key[2] for key in collected.not_sent} == {"lookup", "load"}
    # Records that were dropped leave a gap in the sequence, which the collector detects.
    assert policy == "oldest" or collected.lost >= exporting.connection().window.not_sent[0]
    # Messages already sent and kept only to be sent again make room, so nothing more is dropped.
    dropped = exporting.connection().window.not_sent[0]
    for _ in range(10):
        exporting.move(100)
        collector.until(adds_up)
    assert exporting.connection().window.not_sent[0] == dropped
    exporting.exporter.stop()


def test_export_works_with_more_than_a_thousand_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4096)), hard))
    held = [os.open("/dev/null", os.O_RDONLY) for _ in range(1100)]
    try:
        collector = Collector()
        exporting = Exporting(document(("a", f'address "{collector.address}"')))
        exporting.move(10)
        received_all(collector, exporting)
        assert not exporting.log.of("flow-collector-fault")
        exporting.exporter.stop()
    finally:
        for descriptor in held:
            os.close(descriptor)


def test_a_standby_takes_over_until_the_primary_is_back():
    first, second = Collector(), Collector()
    port = first.port
    exporting = Exporting(
        document(("a", f'address "{first.address}"; standby "{second.address}"; home-after "300ms"'))
    )
    exporting.move(10)
    received_all(first, exporting)
    first.end()
    exporting.move(10)
    second.until(lambda c: c.total("engine", "deltaFlowCount") >= 10)
    back = Collector(port=port, collected=first.collected)
    until(lambda: exporting.connection().address_selector.current == 0)
    exporting.move(5)
    back.until(lambda c: c.total("engine", "deltaFlowCount") >= 15)
    both = Collected()
    for record in [*first.collected.kept, *second.collected.kept]:
        both.take(("record", 1, 0, record))
    assert exporting.has_all(both) and both.records == exporting.flows
    # The connection to the standby was closed in order after it read to the end, so nothing was repeated.
    assert [f["clean"] for f in exporting.log.of("flow-collector-ended") if f["reason"] == "home"] == [True]
    exporting.exporter.stop()


def test_each_of_two_collectors_gets_a_copy_and_an_unreachable_one_does_not_delay_the_other():
    one, port = Collector(), free_port()
    exporting = Exporting(document(("a", f'address "{one.address}"'), ("b", f'address "127.0.0.1:{port}"')))
    exporting.move(100)
    received_all(one, exporting)
    two = Collector(port=port)
    received_all(two, exporting)
    exporting.exporter.stop()


@pytest.mark.parametrize("fault", ["lost", "repeated", "reordered"])
def test_over_udp_the_collector_detects_lost_repeated_and_reordered_datagrams(fault):
    collector, held, changed = Collector(udp=True), [], []

    def shuffle(data):
        if len(data) < 200 or changed and not held:
            return [data]
        if fault == "lost":
            changed.append(data)
            return []
        if fault == "repeated":
            changed.append(data)
            return [data, data]
        if held:
            return [data, held.pop()]
        changed.append(data)
        held.append(data)
        return []

    exporting = Exporting(document(("a", f'address "{collector.address}"; transport "udp"')))
    exporting.move(1)
    until(lambda: collector.collected.records)
    collector.shuffle = shuffle
    exporting.move(60)
    until(lambda: changed)
    exporting.move(60)
    if fault == "lost":
        collected = collector.until(lambda c: c.lost and c.records > 60)
        until(lambda: collected.lost + collected.records >= exporting.flows)
    else:
        collected = received_all(collector, exporting)
        assert collected.lost == 0
        assert collected.arrivals["late" if fault == "reordered" else "repeated"] >= 1
        assert collected.repeated == 0 or fault == "repeated"
    assert all(len(data) <= 1452 for data in collector.raw)
    exporting.exporter.stop()


def test_udp_templates_are_repeated_and_a_refused_datagram_is_sent_again():
    port = free_port()
    exporting = Exporting(
        document(("a", f'address "127.0.0.1:{port}"; transport "udp"'), more='template-refresh "1s"')
    )
    exporting.move(20)
    until(lambda: exporting.counters.shown().get("flow-connections-ended-reset"))
    collector = Collector(udp=True, port=port)
    received_all(collector, exporting)

    def templates():
        return sum(1 for kind, *_ in collector.events if kind == "template")

    had = templates()
    until(lambda: templates() > had)
    exporting.exporter.stop()


def test_netflow_9_gives_the_same_sums_and_its_sequence_reveals_a_gap():
    collector = Collector(udp=True, nine=True)
    exporting = Exporting(
        document(("a", f'address "{collector.address}"; transport "udp"; format "netflow9"'))
    )
    exporting.move(100)
    collected = received_all(collector, exporting)
    assert collected.lost == 0 and {r["resourceGroup"] for r in collected.kept} == {"lookup"}
    collector.shuffle = lambda data: []
    exporting.move(10)
    until(lambda: exporting.connection().window.records >= 110)
    time.sleep(0.05)
    collector.shuffle = None
    exporting.move(10)
    collector.until(lambda c: c.lost >= 1)
    exporting.exporter.stop()


# TLS


def authority(tmp_path, ca, name="127.0.0.1"):
    """Writes a client's certificate and the authority.

    Returns a server context that requires a certificate."""
    client, server = ca.issue_cert("exporter.example"), ca.issue_cert(name)
    client.private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "client.pem"))
    ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.configure_cert(context)
    ca.configure_trust(context)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def tls(tmp_path, address):
    files = f'authority "{tmp_path}/ca.pem"; certificate "{tmp_path}/client.pem"'
    return f'address "{address}"; transport "tls"; tls {{ {files} }}'


def test_tls_with_client_certificates_and_renewed_ones_without_a_lost_record(tmp_path):
    old, new, port = trustme.CA(), trustme.CA(), free_port()
    collector = Collector(port=port, context=authority(tmp_path, old))
    settings = document(("a", tls(tmp_path, f"127.0.0.1:{port}")))
    exporting = Exporting(settings)
    exporting.move(50)
    received_all(collector, exporting)
    collector.context = authority(tmp_path, new)
    for _ in range(20):
        exporting.move(10)
        time.sleep(0.005)
    exporting.exporter.change(settings, exporting.exporter.prepare(settings))
    for _ in range(20):
        exporting.move(10)
        time.sleep(0.005)
    collected = received_all(collector, exporting)
    assert collector.connected == 2 and collected.lost == 0
    assert [f["reason"] for f in exporting.log.of("flow-collector-ended")] == ["changed"]
    (tmp_path / "client.pem").write_text("no certificate")
    with pytest.raises(InvalidExportError, match="collector a > tls"):
        exporting.exporter.prepare(settings)
    exporting.move(1)
    received_all(collector, exporting)
    exporting.exporter.stop()


def test_a_collector_whose_certificate_is_not_trusted_receives_nothing(tmp_path):
    stranger = Collector(context=authority(tmp_path, trustme.CA()))
    authority(tmp_path, trustme.CA())  # the exporter trusts this authority
    exporting = Exporting(document(("a", tls(tmp_path, stranger.address))))
    exporting.move(5)
    until(lambda: exporting.counters.shown().get("flow-connections-ended-connect-refused", 0) >= 2)
    assert not stranger.collected.records and not stranger.raw
    exporting.exporter.stop()


# Reloads


def test_another_enterprise_number_withdraws_the_old_templates_after_the_last_record_that_needs_them():
    collector = Collector()
    first = document(("a", f'address "{collector.address}"'))
    exporting = Exporting(first)
    exporting.move(20)
    received_all(collector, exporting)
    second = document(("a", f'address "{collector.address}"'), more="enterprise 4711")
    exporting.exporter.change(second, exporting.exporter.prepare(second))
    exporting.move(30)
    collector.until(lambda c: any(e[0] == "withdrawn" for e in collector.events))
    collected = collector.until(lambda c: c.records == 50)
    # The stand-in reads under the first number: it must not misread fields of the second, unknown to it.
    assert sum(r.get("octetDeltaCount", 0) for r in collected.kept) == 5000
    assert sum("resourceGroup" in r for r in collected.kept) == 20
    assert sum((4711, 3) in r for r in collected.kept) == 30 and collected.unknown == collected.lost == 0
    exporting.exporter.stop()


def test_a_reload_adds_and_removes_collectors_and_rejects_another_spool(tmp_path):
    one, two = Collector(), Collector()
    exporting = Exporting(document(("a", f'address "{one.address}"')))
    exporting.move(5)
    received_all(one, exporting)
    removed = exporting.connection("a")
    both = document(("b", f'address "{two.address}"'))
    exporting.exporter.change(both, exporting.exporter.prepare(both))
    exporting.move(7)
    with exporting.exporter.lock:
        exporting.exporter.export_due(exporting.exporter.clock.now(), False, is_final=True)
    assert not removed.has_pending()  # messages after its removal are not sent to it, even while it flushes
    two.until(lambda c: c.records == 7)
    assert one.collected.records == 5 and exporting.log.of("flow-collector-removed") == [{"collector": "a"}]
    with pytest.raises(InvalidExportError, match="restart"):
        exporting.exporter.prepare(document(("b", f'address "{two.address}"'), more=f'spool "{tmp_path}/s"'))
    exporting.exporter.stop()


# Recovery


def test_records_spooled_without_a_collector_are_sent_after_the_next_start(tmp_path):
    port = free_port()
    settings = document(("a", f'address "127.0.0.1:{port}"'), more=f'spool "{tmp_path}/s" segment="16KiB"')
    before = Exporting(settings)
    before.move(700)
    before.exporter.stop()
    after = Exporting(settings)
    after.move(30)
    collector = Collector(port=port)
    after.flows, after.octets = after.flows + before.flows, after.octets + before.octets
    collected = received_all(collector, after)
    assert collected.lost == 0 and collected.records == 730
    after.exporter.stop()
    assert after.log.of("flow-spool-found")[0]["messages"] > 1
    # A third start finds nothing pending and sends nothing again.
    third = Exporting(settings)
    third.move(1)
    collector.until(lambda c: c.records == 731)
    third.exporter.stop()
    assert collected.repeated == 0


def test_messages_are_kept_in_memory_if_the_spools_disk_is_full(tmp_path, monkeypatch):
    collector = Collector()
    exporting = Exporting(document(("a", f'address "{collector.address}"'), more=f'spool "{tmp_path}/s"'))
    exporting.move(5)
    received_all(collector, exporting)

    def full(file, data):
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr("wickvane.flows.spool.write", full)
        exporting.move(50)
        received_all(collector, exporting)
    assert exporting.counters.shown()["flow-spool-unwritable"] >= 1
    exporting.exporter.stop()


KILLED = """
import sys, time
sys.path[:0] = sys.argv[1:3]
from test_flow_export import Exporting, document
exporting = Exporting(document(("a", 'address "127.0.0.1:' + sys.argv[3] + '"'),
                               more='spool "' + sys.argv[4] + '" segment="16KiB"'))
while True:
    exporting.move(50)
    time.sleep(0.012)
    shown = exporting.accounts.shown()
    print(exporting.flows, shown["records"], flush=True)
"""


def test_sigkill_with_a_partly_written_spool_loses_nothing_that_was_written(tmp_path):
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    port, directory = free_port(), str(tmp_path / "s")
    child = subprocess.Popen(
        [sys.executable, "-c", KILLED, root, os.path.join(root, "tests"), str(port), directory],
        stdout=subprocess.PIPE,
    )
    for _ in range(30):
        line = child.stdout.readline()
    child.kill()
    moved, taken = map(int, (child.communicate()[0].splitlines() or [line])[-1].split())
    in_spool = run_command(directory)
    assert in_spool["records"] == in_spool["by-side"][0]["deltaFlowCount"] >= 50 and moved >= taken
    # At the kill, at most the records of one collection are not yet in the file.
    assert in_spool["records"] >= taken - 200
    with open(
        max(os.path.join(directory, n) for n in os.listdir(directory) if n.endswith(".ipfix")), "ab"
    ) as file:
        file.write(b"\0\x0a\x01\x00half a message")
    collector = Collector(port=port)
    after = Exporting(document(("a", f'address "127.0.0.1:{port}"'), more=f'spool "{directory}"'))
    after.move(5)
    collected = collector.until(lambda c: c.records == in_spool["records"] + 5)
    assert collected.malformed == collected.lost == 0
    assert after.log.of("flow-spool-fault")[0]["what"] == "cut"
    after.exporter.stop()


def run_command(*paths, words=("--json",)):
    out = io.StringIO()
    arguments = {
        "--by": None,
        "--step": None,
        "--enterprise": None,
        "--listen": None,
        "--udp": False,
        "--for": "24h",
        "--json": "--json" in words,
        "FILE": list(paths),
    }
    assert command.main(arguments, out) in (0, 1)
    return json.loads(out.getvalue()) if "--json" in words else out.getvalue()


# With a complete dispatcher


class Dispatcher:
    """All threads of a dispatcher with export on; `found` is the form that the clients of bench_free take."""

    def __init__(self, settings, *engines, coordinator=None, **limits):
        self.found = found(engines, coordinator or Events(), **limits)
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), {"flows": settings})
        self.service.start()

    def stop(self):
        self.service.stop()
        return self.service.counters.shown()


def agrees(collected, counters):
    """Compares the collector's sums with the dispatcher's counters, which connections keep separately."""
    assert collected.lost == 0
    for side, directions in (("client", ("in", "out")), ("engine", ("out", "in"))):
        for direction, name in zip(directions, ("octetDeltaCount", "reverseOctetDeltaCount")):
            assert collected.total(side, name) == counters.get(f"{side}-octets-{direction}", 0), (
                side,
                direction,
            )
    for answer in ("finished", "deferred", "killed", "left"):
        assert collected.total("client", "queries" + answer.title()) == counters.get(answer, 0)
    assert collected.total("engine", "submissionsFirst") + collected.total(
        "engine", "submissionsFurther"
    ) <= counters.get("submissions", 0)


def test_the_collector_agrees_with_the_dispatcher_to_the_octet_through_drain_and_address_takeover():
    collector, coordinator = Collector(), Events()
    answer = {"on": True}
    engine = Engine(lambda txn, words: hit(txn) if words[0] == b"ASK" and answer["on"] else b"")
    second = Engine()
    dispatcher = Dispatcher(
        document(("a", f'address "{collector.address}"'), more='active-timeout "200ms"'),
        engine,
        coordinator=coordinator,
    )
    coordinator.next("connected")
    clients = [Client(dispatcher) for _ in range(3)]
    assert rows(clients[0].ask(statement(n=1)))
    answer["on"] = False
    clients[1].send(statement(n=2))
    _, _, _, conn = engine.next("ASK")
    _, words, _, conn = engine.next("ASK")
    coordinator.send.put(
        sse(2, event(2, entry("e0", engine.address, "Terminating"), entry("e1", second.address)))
    )
    until(lambda: dispatcher.service.accounts.engines.get("e1"))
    assert rows(clients[2].ask(statement(n=3)))
    time.sleep(0.3)
    conn.sendall(hit(words[0]))  # the last answer of the draining engine
    assert rows(clients[1].until_ready())
    # Its address is taken over while its connection is still open.
    coordinator.send.put(
        sse(
            3,
            event(
                3,
                entry("e0", engine.address, "Gone"),
                entry("e2", engine.address),
                entry("e1", second.address, "Terminating"),
            ),
        )
    )
    until(lambda: "e2" in dispatcher.service.accounts.engines)
    answer["on"] = True
    assert rows(clients[0].ask(statement(n=4)))
    assert sqlstate(clients[1].ask("SELECT 1")) == "42601"
    for client in clients:
        client.send(b"", b"X")
    counters = dispatcher.stop()
    collected = collector.until(lambda c: c.total("engine", "deltaFlowCount") >= 3)
    agrees(collected, counters)
    parts_of = sorted(
        (r for r in collected.kept if r["engine"] == "e0" and r["submissionsFirst"] + r["flowPart"]),
        key=lambda r: (r["flowId"], r["flowPart"]),
    )
    spanning = {r["flowId"] for r in parts_of if r["engineStateEnd"] in (a.DRAINING, a.GONE)}
    assert spanning
    for flow in spanning:
        one = [r for r in collected.kept if r["flowId"] == flow]
        assert {r["engineStateStart"] for r in one} == {a.READY} and {r["engine"] for r in one} == {"e0"}
        spans = sorted((r["flowStartMilliseconds"], r["flowEndMilliseconds"]) for r in one)
        assert all(x[1] <= y[0] for x, y in zip(spans, spans[1:]))
    after = [r for r in collected.kept if r["engine"] == "e2"]
    assert sum(r["submissionsFirst"] for r in after) == 1
    assert not {r["flowId"] for r in after} & spanning


def test_a_client_that_reconnects_three_hundred_times_in_a_second_over_a_small_table():
    collector = Collector()
    dispatcher = Dispatcher(
        document(("a", f'address "{collector.address}"'), more="table 32", quick='collect-every "100ms"\n'),
        Engine(),
    )
    host, _, port = dispatcher.found["listen"].rpartition(":")
    began, reconnections, attempts = time.monotonic(), 0, 0
    while reconnections < 300:
        attempts += 1
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            try:
                sock.bind(("127.0.0.1", 20_000 + attempts % 20))  # below the ephemeral ports
                sock.connect((host, int(port)))
            except OSError:
                time.sleep(0.001)  # the port's previous connection has not ended yet
                if time.monotonic() - began > 20:
                    raise
                continue
            sock.sendall(b"\0\0\0\x08\x04\xd2\x16\x2f")  # SSLRequest
            assert sock.recv(1) == b"N"
        reconnections += 1
    client = Client(dispatcher)
    assert rows(client.ask(statement(n=1)))
    counters = dispatcher.stop()
    assert counters["client-connections"] == 301
    collected = collector.until(lambda c: c.total("client", "queriesFinished") == 1)
    agrees(collected, counters)
    # The last client has one more flow, of a resource group.
    assert collected.total("client", "deltaFlowCount") == 302
    stats = collected.statistics[1, "a"]
    assert stats["foldedFlowTotalCount"] > 0 and any(r["flowEndReason"] == 5 for r in collected.kept)


def test_sums_as_a_table_and_as_json_of_files_and_of_a_live_port(tmp_path):
    port = free_port()
    exporting = Exporting(document(("a", f'address "127.0.0.1:{port}"'), more=f'spool "{tmp_path}/s"'))
    exporting.move(20, key=(0, 0))
    exporting.move(10, key=(1, 0), engine="e1", octets=7)
    until(lambda: exporting.accounts.shown()["records"] == 30)
    exporting.exporter.stop()
    shown = run_command(str(tmp_path / "s"))
    assert {r["group"]: (r["deltaFlowCount"], r["octetDeltaCount"]) for r in shown["by-group"]} == {
        "load": (10, 70),
        "lookup": (20, 2000),
    }
    assert [r["engine"] for r in shown["by-engine"]] == ["e0", "e1"]
    drawn = run_command(str(tmp_path / "s"), words=())
    assert "lookup" in drawn and "2,000" in drawn and "collector a" in drawn
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    live = subprocess.Popen(
        [sys.executable, "-m", "wickvane", "flows", f"--listen=127.0.0.1:{port}", "--by=group", "--json"],
        cwd=root,
        stdout=subprocess.PIPE,
    )
    again = Exporting(document(("a", f'address "127.0.0.1:{port}"'), more=f'spool "{tmp_path}/s"'))
    until(lambda: again.connection().window.is_connected and not again.connection().window.pending_ranges, 20)
    again.move(5)
    until(lambda: again.accounts.shown()["records"] == 5)
    again.exporter.stop()
    live.send_signal(signal.SIGINT)
    shown = json.loads(live.communicate(timeout=20)[0])
    assert shown["records"] == 35 and {r["group"] for r in shown["by-group"]} == {"load", "lookup"}


def test_the_service_logs_reason_codes_and_totals_of_the_export(tmp_path):
    """Operators read the exporter's log lines: reason codes, and totals at the end."""
    collector, log = Collector(), tempfile.TemporaryFile()
    dispatcher = Dispatcher(document(("a", f'address "{collector.address}"')), Engine())
    assert rows(Client(dispatcher).ask(statement(n=1)))
    dispatcher.stop()
    lines = [json.loads(line) for line in os.pread(dispatcher.log.fileno(), 1 << 20, 0).splitlines()]
    events = {line["event"]: line for line in lines}
    assert events["flow-collector-ended"]["reason"] == "stop" and events["flow-collector-ended"]["clean"]
    assert events["flow-export"]["not_sent"] == 0 and events["flow-export"]["messages_left"] == 0
    assert events["flow-accounts"]["client-in"] == events["counters"]["client-octets-in"]
    assert ENTERPRISE and Log and log
