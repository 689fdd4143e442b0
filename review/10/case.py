"""After a restart with its snapshot, the control service tells proxies of no drain any more."""

import json
import queue
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402 (the path comes first)

PARTS = """control {
    listen "127.0.0.1:%d"
    tables 4
    proxies 2
    epoch "%d"
    snapshot "%s"
}
"""
CLUSTER = "lookup/1"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
TOLD_S, GRACE_S, SLACK_S = 7.0, 2.0, 0.05  # told at the latest; grace of a drain; slack on sockets
QUERY_INTERVAL_S = 0.1
WATCHED_S = 14.0


class Proxy:
    """A proxy: follows the endpoints of one cluster, and sends its queries to them in turn."""

    def __init__(self, case, port):
        import grpc
        from envoy.config.endpoint.v3 import endpoint_pb2
        from envoy.service.discovery.v3 import discovery_pb2

        self.case = case
        self.address = f"127.0.0.1:{port}"
        self.grpc, self.endpoint_pb2, self.discovery_pb2 = grpc, endpoint_pb2, discovery_pb2
        self.endpoints = []  # names of priority 0
        self.version = ""
        self.sent = []  # (time, engine)
        threading.Thread(target=self._follow, daemon=True).start()
        threading.Thread(target=self._send, daemon=True).start()

    def _follow(self):
        while True:
            try:
                self._stream()
            except self.grpc.RpcError as error:
                self.case.note(f"proxy: its stream ended: {error.code()}")
            time.sleep(0.3)

    def _stream(self):
        requests = queue.SimpleQueue()
        first = self._request("")
        first.node.id = "edge-1"
        requests.put(first)
        with self.grpc.insecure_channel(self.address) as channel:
            call = channel.stream_stream(
                METHOD,
                request_serializer=lambda request: request.SerializeToString(),
                response_deserializer=self.discovery_pb2.DiscoveryResponse.FromString,
            )(iter(requests.get, None))
            for response in call:
                self._take(response)
                requests.put(self._request(response.nonce))

    def _request(self, nonce):
        return self.discovery_pb2.DiscoveryRequest(
            type_url=EDS, resource_names=[CLUSTER], version_info=self.version, response_nonce=nonce
        )

    def _take(self, response):
        self.version = response.version_info
        for resource in response.resources:
            found = self.endpoint_pb2.ClusterLoadAssignment.FromString(resource.value)
            self.endpoints = [
                one.endpoint.hostname
                for locality in found.endpoints
                if not locality.priority
                for one in locality.lb_endpoints
            ]
            self.case.note(f"proxy: holds {self.endpoints}, version {self.version}")

    def _send(self):
        number = 0
        while True:
            time.sleep(QUERY_INTERVAL_S)
            if self.endpoints:
                number += 1
                self.sent.append((time.time(), self.endpoints[number % len(self.endpoints)]))

    def await_endpoints(self, seconds=20.0):
        """Waits until it holds endpoints."""
        until = time.time() + seconds
        while not self.endpoints and time.time() < until:
            time.sleep(0.02)
        if not self.endpoints:
            raise kit2.CannotRunError("the proxy was told no endpoints")


def start_control(case, coordinator, found, port, epoch, name):
    """Starts the control service on its folder; returns its process."""
    path, parts = case.temporary / "control.json", case.temporary / "control.kdl"
    path.write_text(json.dumps(kit2.configuration(coordinator, coordinator.known(), found, "control-1")))
    parts.write_text(PARTS % (port, epoch, case.temporary / "snapshot"))
    python = str(kit2.ROOT / ".venv" / "bin" / "python")
    arguments = [python, "-m", "wickvane", "control", f"--config={path}", f"--parts={parts}"]
    process = case.start(name, arguments)
    case.await_ready(process)
    return process


def work(case):
    """The case: some changes of the list, a planned restart, then a drain."""
    try:
        import grpc  # noqa: F401 (only whether it is there)
    except ImportError:
        raise kit2.CannotRunError("grpcio is missing: run review/build-2.sh") from None
    (case.temporary / "snapshot").mkdir()
    entries = [kit2.entry(f"e{n}", f"127.0.0.1:{kit2.free_port()}") for n in range(6)]
    coordinator = kit2.Coordinator(case, entries)
    found = kit2.settings([kit2.resource_group("lookup")])
    port = kit2.free_port()
    control = start_control(case, coordinator, found, port, 0, "control")
    proxy = Proxy(case, port)
    proxy.await_endpoints()
    extra = kit2.entry("e6", f"127.0.0.1:{kit2.free_port()}")
    for status in ("Ready", "Terminating", "Gone"):
        coordinator.publish(extra | {"status": status})
        time.sleep(0.5)
    if case.trouble:
        case.note("control: SIGTERM, a planned restart")
        control.send_signal(signal.SIGTERM)
        control.wait(15)
        coordinator.start_over(entries)
        control = start_control(case, coordinator, found, port, 1, "control-again")
        time.sleep(3.0)
    drained = proxy.endpoints[0]
    known = next(one for one in entries if one["name"] == drained)
    told = coordinator.publish(known | {"status": "Terminating"})
    time.sleep(WATCHED_S)
    late = [at for at, engine in proxy.sent if engine == drained and at > told + TOLD_S + GRACE_S + SLACK_S]
    case.note(f"proxy: {len(proxy.sent)} queries sent in all; it holds {proxy.endpoints}")
    for line in control.log.read_text().splitlines():
        if "list-older" in line:
            case.note(f"control: {line}")
    if late:
        case.broken(
            f"{len(late)} queries to {drained}, the last {late[-1] - told:.1f} s after its drain was told"
        )


kit2.run_case(HERE, work)
