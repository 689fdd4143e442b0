"""The control service on loopback: stand-in proxies, gRPC's own client, drains, restarts, cold engines."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from concurrent import futures
from threading import Thread

import grpc
import pytest
import trustme
from bench_free import SETTINGS, STANDING, Events, Stand, entry, event, free_port, sse, until
from standins.xds_proxy import CDS, EDS, LDS, Proxy
from test_rehearsal import ROOT

from wickvane import parts
from wickvane.xds.command import fetch_client_status
from wickvane.xds.server import Server
from wickvane.xds.snapshot_store import FILE_NAME, load_snapshot

COLD = SETTINGS | {
    "obligations": SETTINGS["obligations"]
    | {"cold_from": 0.3, "cold_ms": 15_000.0, "fall_multiple": 2.5, "fall_ms": 3000.0}
}
MORE = "tables 8\n proxies 4\n"


class Loop:
    """Proxies' event loop, in a thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        Thread(target=self.loop.run_forever, daemon=True).start()
        self.channels = []

    def start(self, proxy, port, credentials=None, name="127.0.0.1"):
        async def go():
            place, alone = f"{name}:{port}", [("grpc.use_local_subchannel_pool", 1)]
            made = (
                grpc.aio.secure_channel(place, credentials, options=alone)
                if credentials
                else grpc.aio.insecure_channel(place, options=alone)
            )
            self.channels.append(made)
            proxy.channel = made
            proxy.task = asyncio.ensure_future(proxy.run(made))

        asyncio.run_coroutine_threadsafe(go(), self.loop).result(10)
        return proxy

    def stop(self, proxy):
        async def go():
            proxy.task.cancel()
            await proxy.channel.close()

        asyncio.run_coroutine_threadsafe(go(), self.loop).result(10)


@pytest.fixture(scope="module")
def loop():
    return Loop()


class Control:
    """The whole service in a thread, before a stand-in coordinator."""

    def __init__(self, engines=6, more=MORE, events=None, known=None, port=None):
        self.port, self.coordinator = port or free_port(), events or Events()
        self.entries = known if known is not None else [one(n) for n in range(engines)]
        text = f'control {{ listen "127.0.0.1:{self.port}"\n{more} }}'
        self.found = {
            "name": "control",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "settings": COLD,
            "coordinator": self.coordinator.address,
            "limits": {},
            "known": {
                "index": 1,
                "updates": [event(1, *self.entries, snapshot=True)] if self.entries else [],
            },
        }
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.server = Server(self.found, parts.read_text(text)["control"], self.log.fileno())
        Thread(target=self.server.log.run, daemon=True).start()
        self.thread = Thread(target=lambda: asyncio.run(self.server.serve()), daemon=True)
        self.thread.start()
        assert self.server.ready.wait(20)
        self.index = 1
        Thread(target=self.keep, daemon=True).start()

    def keep(self):
        """A comment now and then, as a coordinator sends; one that says nothing is left."""
        while self.thread.is_alive():
            self.coordinator.send.put(b": here\n\n")
            time.sleep(0.5)

    def tell(self, *entries):
        self.index += 1
        self.coordinator.send.put(sse(self.index, event(self.index, *entries)))
        return time.monotonic()

    def processor_seconds(self):
        """What the service's event loop has used, which a busy machine around it does not lengthen."""
        return time.clock_gettime(time.pthread_getcpuclockid(self.thread.ident))

    def stop(self):
        self.server.stop()
        self.thread.join(10)
        assert not self.thread.is_alive()

    def logged(self, name):
        text = os.pread(self.log.fileno(), 1 << 22, 0)
        return [
            line
            for line in map(json.loads, text[: text.rfind(b"\n") + 1].splitlines())
            if line["event"] == name
        ]


def one(n, state="Ready", since=0, port=None):
    return entry(f"e{n}", f"127.0.0.1:{port or 20_000 + n}", state, since)


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_a_drain_reaches_proxies_at_once_and_what_was_not_told_is_named_in_the_log(loop, variant):
    control = Control()
    good = loop.start(Proxy("good", variant), control.port)
    mad = [
        loop.start(Proxy(f"mad{n}", variant, **how), control.port)
        for n, how in enumerate(
            ({"answers": "refuse"}, {"answers": "nothing"}, {"late": 5.0}, {"reads": False})
        )
    ]
    # One that hears of an engine after its drain owes no word of it, and a loaded machine opens streams late.
    until(lambda: len(good.held[EDS]) == 9 and all(p.sends_to() >= {"e1"} for p in (good, mad[1])))
    told = control.tell(one(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to())
    assert good.left["e1"] - told < 1.0
    until(lambda: control.logged("drain-unacknowledged"), 4)
    late = {line["node"] for line in control.logged("drain-unacknowledged")}
    assert "good" not in late and "mad1" in late and time.monotonic() - told < 2.0 + 0.5
    for n in range(20):
        control.tell(one(100 + n))
    until(lambda: control.server.control_plane.snapshot.index == control.index)
    rows = {(row["node"], row["type"]): row for row in fetch_client_status(f"127.0.0.1:{control.port}")}
    assert rows["mad0", "CDS"]["state"] == "ERROR" and "takes nothing" in rows["mad0", "CDS"]["why"]
    place = f"127.0.0.1:{control.port}"
    until(lambda: {row["state"] for row in fetch_client_status(place) if row["node"] == "good"} == {"SYNCED"})
    for proxy in (good, *mad):
        loop.stop(proxy)
    control.stop()


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_a_proxy_that_holds_an_old_version_while_an_engine_drains_and_control_restarts(
    loop, variant, tmp_path
):
    """Restart from the snapshot with the coordinator gone for good: drains stay, the list is old."""
    more = MORE + f'snapshot "{tmp_path}"'
    control = Control(more=more)
    proxy = loop.start(Proxy("p", variant), control.port)
    until(lambda: "e2" in proxy.sends_to())
    loop.stop(proxy)  # it is cut off while the drain is told
    control.tell(one(2, "Terminating"))
    until(lambda: os.path.exists(tmp_path / FILE_NAME) and load_snapshot(tmp_path).index == 2)
    control.stop()
    control.coordinator.end()
    fresh = Control(more=more, events=control.coordinator, known=[], port=control.port)
    assert fresh.server.control_plane.snapshot.is_restored and until(
        lambda: fresh.logged("list-from-snapshot")
    )
    again = loop.start(proxy, fresh.port)
    began = time.monotonic()
    until(lambda: "e2" not in again.sends_to())
    assert time.monotonic() - began < 2.0 and len(again.sends_to()) == 5
    loop.stop(again)
    fresh.stop()
    # One whose snapshot is spoilt, with no coordinator, tells nothing rather than an empty list.
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    empty = Control(more=more, events=control.coordinator, known=[])
    other = loop.start(Proxy("other", variant), empty.port)
    time.sleep(0.3)
    assert until(lambda: empty.logged("snapshot-unreadable"))
    assert not other.held[CDS] and not empty.server.control_plane.is_serving
    loop.stop(other)
    empty.stop()


def test_a_proxy_that_falls_over_to_an_instance_with_an_older_list_sees_no_engine_come_back(loop):
    newer, older = Control(), Control()
    proxy = loop.start(Proxy("p"), newer.port)
    until(lambda: "e3" in proxy.sends_to())
    newer.tell(one(3, "Terminating"))
    until(lambda: "e3" not in proxy.sends_to())
    loop.stop(proxy)
    newer.stop()
    loop.start(proxy, older.port)
    until(lambda: older.logged("proxy-ahead"))
    time.sleep(0.2)
    assert "e3" not in proxy.sends_to() and older.server.control_plane.snapshot.index == 1
    older.tell(one(3, "Terminating"))
    older.tell(one(9))
    until(lambda: "e9" in proxy.sends_to())
    assert "e3" not in proxy.sends_to()
    loop.stop(proxy)
    older.stop()


def test_a_burst_of_cold_engines_comes_in_steps_that_no_late_proxy_is_ahead_of(loop):
    """A third of the fleet, with one proxy late, one that refuses, one that says nothing."""
    control = Control(engines=12)
    proxies = [
        loop.start(Proxy(f"p{n}", **how), control.port)
        for n, how in enumerate(({}, {"late": 0.5}, {"answers": "refuse"}, {"answers": "nothing"}))
    ]
    until(lambda: len(proxies[0].sends_to()) == 12)
    since = int(time.time() * 1000)
    control.tell(*[one(20 + n, since=since) for n in range(4)])
    until(lambda: {"e20", "e21", "e22", "e23"} & proxies[0].sends_to())
    for _ in range(20):
        for proxy in proxies[:2]:
            for ends in list(proxy.ends.values()):
                weights = {engine: weight for engine, priority, weight in ends if not priority}
                age = time.time() * 1000 - since
                for engine, weight in weights.items():
                    if int(engine[1:]) >= 20:
                        assert weight <= 800 * (0.3 + 0.7 * age / 15_000) + 1
                        assert weight / sum(weights.values()) <= (0.3 + 0.7 * age / 15_000) / 3 + 0.01
        time.sleep(0.05)
    assert proxies[0].count < 40
    for proxy in proxies:
        loop.stop(proxy)
    control.stop()


def test_mutual_tls_says_who_a_node_is_is_renewed_and_a_stranger_costs_nothing(loop, tmp_path):
    ours, theirs = trustme.CA(), trustme.CA()
    names = [str(tmp_path / name) for name in ("authority", "certificate", "key")]

    def renew():
        made = ours.issue_cert("127.0.0.1", "localhost")
        ours.cert_pem.write_to_path(names[0])
        made.cert_chain_pems[0].write_to_path(names[1])
        made.private_key_pem.write_to_path(names[2])

    renew()
    tls = f'tls {{ authority "{names[0]}"; certificate "{names[1]}"; key "{names[2]}" }}'
    control = Control(more=MORE + tls + '\n node "edge-*" { group "lookup" }')

    def secrets(name, authority=ours):
        made = authority.issue_cert(name, common_name=name)
        return grpc.ssl_channel_credentials(
            ours.cert_pem.bytes(), made.private_key_pem.bytes(), made.cert_chain_pems[0].bytes()
        )

    def connect(node, name, authority=ours):
        return loop.start(Proxy(node), control.port, secrets(name, authority), "localhost")

    good = connect("edge-1", "edge-1")
    until(lambda: set(good.held[LDS]) == {"lookup"} and good.sends_to())
    liar, stranger = connect("edge-2", "edge-1"), connect("edge-3", "edge-3", theirs)
    until(lambda: liar.ended is not None)
    # What the client makes of it depends on whether it was writing then; the log does not.
    assert (
        "the certificate is not node edge-2's" in until(lambda: control.logged("proxy-refused"))[0]["why"]
        and not liar.held[CDS]
    )
    renew()
    later = connect("edge-4", "edge-4")
    until(lambda: later.sends_to() and not stranger.held[CDS])
    control.tell(one(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to() and "e1" not in later.sends_to())
    for proxy in (good, liar, stranger, later):
        loop.stop(proxy)
    control.stop()


def test_hostile_streams_cost_their_own_and_a_first_word_is_waited_for_in_time(loop, monkeypatch):
    monkeypatch.setattr("wickvane.xds.services.FIRST_REQUEST_TIMEOUT_S", 0.3)
    control = Control(more=MORE + "streams 20\n streams-a-node 2")
    good = loop.start(Proxy("good"), control.port)
    until(lambda: good.sends_to())
    with grpc.insecure_channel(f"127.0.0.1:{control.port}") as channel:
        call = channel.stream_stream(
            "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        )
        for data in (b"\xff" * 100, b"", b"\x0a\xff\xff\xff\xff\x0f", os.urandom(1000)):
            try:
                assert list(call(iter([data]), timeout=5)) == []
            except grpc.RpcError as error:
                assert error.code() != grpc.StatusCode.DEADLINE_EXCEEDED or "neither" in error.details()
        waiting = []

        def silent():
            yield from waiting
            time.sleep(5)

        began = time.monotonic()
        with pytest.raises(grpc.RpcError):
            list(call(silent(), timeout=4))
        assert time.monotonic() - began < 3
    many = [loop.start(Proxy("same"), control.port) for _ in range(4)]
    until(lambda: sum(proxy.ended is not None for proxy in many) >= 2)
    control.tell(one(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to())
    until(lambda: len(control.server.control_plane.streams) <= 3)
    for proxy in (good, *many):
        loop.stop(proxy)
    control.stop()


def test_a_changed_document_moves_table_groups_without_a_gap(loop, tmp_path):
    control = Control()
    proxy = loop.start(Proxy("p"), control.port)
    until(lambda: len(proxy.held[EDS]) == 9)
    config, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    config.write_text(json.dumps(control.found))
    listen = f'control {{ listen "127.0.0.1:{control.port}"\n'
    document.write_text(listen + "tables 12\n proxies 4 }")
    control.server.loop.call_soon_threadsafe(control.server.reload, str(config), str(document))
    until(lambda: len(proxy.held[CDS]) == 13)
    document.write_text(listen + "tables 5\n proxies 4 }")
    control.server.loop.call_soon_threadsafe(control.server.reload, str(config), str(document))
    until(lambda: len(proxy.held[CDS]) == 6, 12)
    document.write_text(listen + 'tables 5\n epoch "x" }')
    control.server.loop.call_soon_threadsafe(control.server.reload, str(config), str(document))
    until(lambda: control.logged("configuration-unusable"))
    assert len(control.logged("configuration-taken")) == 2
    loop.stop(proxy)
    control.stop()


# gRPC's own xDS client, as it is

CLIENT = """
import sys, time, json, grpc
channel = grpc.insecure_channel("xds:///lookup")
ask = channel.unary_unary("/engine/ask")
until, lost, counts, times = time.monotonic() + float(sys.argv[1]), 0, {}, []
n = 0
while time.monotonic() < until:
    n += 1
    try:
        who = ask(b"q", timeout=5, wait_for_ready=True, metadata=(("x-wickvane-table", str(n % 8)),)).decode()
        counts[who] = counts.get(who, 0) + 1
        times.append((time.time(), who))
    except grpc.RpcError as error:
        lost += 1
        print(error, file=sys.stderr)
    time.sleep(0.004)
print(json.dumps({"lost": lost, "counts": counts, "last": {w: t for t, w in times}, "n": n}))
"""


class GrpcEngine:
    """An engine that answers each call with its own name."""

    def __init__(self, name):
        self.name, self.port = name, free_port()
        self.server = grpc.server(futures.ThreadPoolExecutor(4))
        handler = grpc.unary_unary_rpc_method_handler(lambda request, context: name.encode())
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler("engine", {"ask": handler}),)
        )
        self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        self.server.start()


def test_the_registry_s_own_grpc_client_routes_by_it_and_loses_none_over_a_drain_and_a_restart(tmp_path):
    engines = [GrpcEngine(f"e{n}") for n in range(4)]
    known = [one(n, port=engine.port) for n, engine in enumerate(engines)]
    more = MORE + f'snapshot "{tmp_path}"'
    control = Control(known=known, more=more)
    bootstrap = {
        "xds_servers": [
            {
                "server_uri": f"127.0.0.1:{control.port}",
                "server_features": ["xds_v3"],
                "channel_creds": [{"type": "insecure"}],
            }
        ],
        "node": {"id": "grpc-client"},
    }
    client = subprocess.Popen(
        [sys.executable, "-c", CLIENT, "9"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap)},
    )
    until(
        lambda: any(s.node == "grpc-client" for s in list(control.server.control_plane.streams.values())), 20
    )
    time.sleep(1.5)
    drained = time.time()
    control.tell(one(1, "Terminating", port=engines[1].port))
    time.sleep(1.0)
    control.stop()
    control = Control(known=[], more=more, port=control.port, events=control.coordinator)
    out, said = client.communicate(timeout=60)
    figures = json.loads(out)
    assert figures["lost"] == 0 and figures["n"] > 500, said.decode()[-2000:]
    assert set(figures["counts"]) == {"e0", "e1", "e2", "e3"}
    assert figures["last"]["e1"] < drained + 2.0 and figures["last"]["e0"] > drained + 3.0
    control.stop()
    for engine in engines:
        engine.server.stop(0)


def test_the_program_starts_by_its_document_and_its_status_is_shown(tmp_path):
    events, port = Events(), free_port()
    (tmp_path / "config.json").write_text(
        json.dumps(
            {
                "name": "c",
                "listen": "127.0.0.1:1",
                "seed": "1",
                "settings": SETTINGS,
                "coordinator": events.address,
                "known": {"index": 1, "updates": [event(1, one(1), one(2), snapshot=True)]},
            }
        )
    )
    (tmp_path / "parts.kdl").write_text(f'control {{ listen "127.0.0.1:{port}"; tables 3 }}')
    words = ["--config", str(tmp_path / "config.json"), "--parts", str(tmp_path / "parts.kdl")]
    program = subprocess.Popen(
        [sys.executable, "-m", "wickvane", "control", *words], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert json.loads(program.stdout.readline())["event"] in ("ready", "coordinator-connection-ended")
    shown = subprocess.run(
        [sys.executable, "-m", "wickvane", "control", "status", f"--to=127.0.0.1:{port}", "--json"],
        cwd=ROOT,
        capture_output=True,
    )
    assert shown.returncode == 0 and json.loads(shown.stdout) == []
    program.terminate()
    assert program.wait(10) == 0
    lines = [json.loads(line) for line in program.stdout]
    assert lines[-1]["event"] == "counters" and lines[-1]["ready"] == 2


@pytest.mark.parametrize(
    "text,words",
    [
        ('control { listen "10.0.0.1:80" }', "tls"),
        ("control { }", "listen"),
        ('control { listen "127.0.0.1:1"; floor past="maybe" }', "past"),
        ('control { listen "127.0.0.1:1"; tables -1 }', "0 to 5000"),
    ],
)
def test_a_document_that_cannot_be_used_says_why(text, words):
    assert parts.read(os.path.join(ROOT, "deploy", "control.kdl"))["control"].table_groups == 100
    with pytest.raises(parts.Unusable, match=words):
        parts.read_text(text)


def test_a_reload_takes_from_open_streams_what_a_node_lost_and_lets_go_of_strangers(loop, tmp_path):
    both = 'node "edge-*" { group "lookup"; group "load" }\n node "ops"\n'
    control = Control(more=MORE + both)
    edge, ops = loop.start(Proxy("edge-1"), control.port), loop.start(Proxy("ops", "sotw"), control.port)
    until(lambda: set(edge.held[LDS]) == {"lookup", "load"} and len(ops.held[LDS]) == 3)
    config, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    config.write_text(json.dumps(control.found))
    listen = f'listen "127.0.0.1:{control.port}"\n'
    document.write_text(f'control {{ {listen} {MORE} node "edge-*" {{ group "load" }} }}')
    control.server.loop.call_soon_threadsafe(control.server.reload, str(config), str(document))
    until(lambda: set(edge.held[LDS]) == {"load"} and edge.sends_to())
    until(lambda: ops.ended is not None)
    assert "no longer known" in until(lambda: control.logged("proxy-refused"))[0]["why"]
    control.tell(one(1, "Terminating"))
    until(lambda: "e1" not in edge.sends_to())
    for proxy in (edge, ops):
        loop.stop(proxy)
    control.stop()


def test_a_list_of_two_thousand_and_three_hundred_proxies_that_reconnect_at_once(loop):
    """Each holds what it held before; a drain meanwhile is with all of them in time."""
    control = Control(engines=2000, more="tables 60\n proxies 300\n streams 400")
    tables = [f"lookup/{n}" for n in (3, 4, 5)]
    proxies = [Proxy(f"p{n}", "delta", clusters=tables) for n in range(300)]
    for proxy in proxies:
        loop.start(proxy, control.port)
    until(lambda: all(len(proxy.ends) == 3 for proxy in proxies), 60)
    held = [proxy.sends_to() for proxy in proxies]
    assert len({frozenset(one) for one in held}) == 1
    for proxy in proxies:
        loop.stop(proxy)
        proxy.octets = 0
    gone = min(held[0])
    updates_before = [proxy.endpoint_updates() for proxy in proxies]
    used_before = control.processor_seconds()
    control.tell(one(int(gone[1:]), "Terminating"))
    for proxy in proxies:
        loop.start(proxy, control.port)
    until(lambda: all(gone not in proxy.sends_to() for proxy in proxies), 60)
    # How soon they are back is the machine's affair. The service's: that the first response to each has the
    # drain, and that it is done with all of them within the two seconds that the drain allows.
    assert control.processor_seconds() - used_before < 2.0
    assert {proxy.endpoint_updates() - before for proxy, before in zip(proxies, updates_before)} == {1}
    # What they held is not sent again: one cluster's endpoints, or none, not all.
    assert max(proxy.octets for proxy in proxies) < 4000
    told = control.tell(one(int(max(held[0])[1:]), "Terminating"))
    until(lambda: all(max(held[0]) not in proxy.sends_to() for proxy in proxies), 60)
    assert max(proxy.left[max(held[0])] for proxy in proxies) - told < 2.0
    for proxy in proxies:
        loop.stop(proxy)
    control.stop()


def test_the_coordinator_gone_for_ten_minutes_costs_nobody_what_they_have(loop):
    control = Control()
    proxy = loop.start(Proxy("p"), control.port)
    until(lambda: len(proxy.sends_to()) == 6)
    control.tell(one(2, "Terminating"))
    until(lambda: "e2" not in proxy.sends_to())
    control.coordinator.listening.shutdown(socket.SHUT_RDWR)
    control.coordinator.listening.close()
    control.coordinator.send.put(None)
    until(lambda: control.logged("coordinator-connection-ended"))
    for _ in range(10):
        control.server.clock.zero += 60 * 10_000  # as if a minute had passed
        control.server.loop.call_soon_threadsafe(control.server.tick)
        time.sleep(0.05)
    fresh = loop.start(Proxy("fresh", "sotw"), control.port)
    until(lambda: len(fresh.sends_to()) == 5)
    assert fresh.sends_to() == proxy.sends_to() == {"e0", "e1", "e3", "e4", "e5"}
    port = int(control.coordinator.address.rpartition(":")[2])
    back = Events.__new__(Events)
    back.send = control.coordinator.send.__class__()
    Stand.__init__(back, port)
    back.send.put(sse(3, event(3, one(3, "Terminating"))))
    until(lambda: "e3" not in proxy.sends_to() and "e3" not in fresh.sends_to())
    assert "e2" not in proxy.sends_to()
    for each in (proxy, fresh):
        loop.stop(each)
    control.stop()
