"""The control service with gRPC's xDS client, and as a separate program."""

import json
import os
import subprocess
import sys
import time
from concurrent import futures

import grpc
from bench_free import SETTINGS, Events, event, free_port, until
from test_rehearsal import ROOT

from xds_service.service_rig import SETTINGS_KDL, RunningService, endpoint

CLIENT = """
import sys, time, json, grpc
channel = grpc.insecure_channel("xds:///lookup")
call = channel.unary_unary("/engine/ask")
until, lost, counts, times = time.monotonic() + float(sys.argv[1]), 0, {}, []
n = 0
while time.monotonic() < until:
    n += 1
    try:
        engine = call(
            b"q", timeout=5, wait_for_ready=True, metadata=(("x-wickvane-table", str(n % 8)),)
        ).decode()
        counts[engine] = counts.get(engine, 0) + 1
        times.append((time.time(), engine))
    except grpc.RpcError as error:
        lost += 1
        print(error, file=sys.stderr)
    time.sleep(0.004)
print(json.dumps({"lost": lost, "counts": counts, "last": {engine: at for at, engine in times}, "n": n}))
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


def test_grpc_client_loses_no_request_over_a_drain_and_a_restart(tmp_path):
    engines = [GrpcEngine(f"e{n}") for n in range(4)]
    known = [endpoint(n, port=engine.port) for n, engine in enumerate(engines)]
    settings = SETTINGS_KDL + f'snapshot "{tmp_path}"'
    service = RunningService(known=known, settings=settings)
    bootstrap = {
        "xds_servers": [
            {
                "server_uri": f"127.0.0.1:{service.port}",
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
        lambda: any(s.node == "grpc-client" for s in list(service.server.control_plane.streams.values())), 20
    )
    time.sleep(1.5)
    drained_at = time.time()
    service.announce(endpoint(1, "Terminating", port=engines[1].port))
    time.sleep(1.0)
    service.stop()
    service = RunningService(known=[], settings=settings, port=service.port, events=service.coordinator)
    out, errors = client.communicate(timeout=60)
    result = json.loads(out)
    assert result["lost"] == 0 and result["n"] > 500, errors.decode()[-2000:]
    assert set(result["counts"]) == {"e0", "e1", "e2", "e3"}
    assert result["last"]["e1"] < drained_at + 2.0 and result["last"]["e0"] > drained_at + 3.0
    service.stop()
    for engine in engines:
        engine.server.stop(0)


def test_program_starts_with_its_document_and_prints_its_status(tmp_path):
    events, port = Events(), free_port()
    (tmp_path / "config.json").write_text(
        json.dumps(
            {
                "name": "c",
                "listen": "127.0.0.1:1",
                "seed": "1",
                "settings": SETTINGS,
                "coordinator": events.address,
                "known": {"index": 1, "updates": [event(1, endpoint(1), endpoint(2), snapshot=True)]},
            }
        )
    )
    (tmp_path / "parts.kdl").write_text(f'control {{ listen "127.0.0.1:{port}"; tables 3 }}')
    arguments = ["--config", str(tmp_path / "config.json"), "--parts", str(tmp_path / "parts.kdl")]
    program = subprocess.Popen(
        [sys.executable, "-m", "wickvane", "control", *arguments], cwd=ROOT, stdout=subprocess.PIPE
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
