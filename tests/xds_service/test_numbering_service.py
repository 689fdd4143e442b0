"""Running control services before lists that are numbered anew, or go on, at each of their starts."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import threading
import time

import pytest
from bench_free import SETTINGS, STANDING, Events, event, free_port, sse, until
from standins.xds_proxy import Proxy
from test_rehearsal import ROOT

from wickvane import parts
from wickvane.xds.server import Server
from wickvane.xds.snapshot_store import load_snapshot
from xds_service.service_rig import SETTINGS_KDL, RunningService, endpoint

DRAIN_DEADLINE_S = 2.0
COMMENT_INTERVAL_S = 0.4  # of a coordinator, which is left if it says nothing


class NumberedCoordinator:
    """A coordinator that numbers its list from 1 for each start of its reader."""

    def __init__(self) -> None:
        self.events = Events()
        self.index = 0
        self._is_ended = False
        threading.Thread(target=self._comment, daemon=True).start()

    def _comment(self) -> None:
        while not self._is_ended:
            self.events.send.put(b": here\n\n")
            time.sleep(COMMENT_INTERVAL_S)

    def start_numbering(self, entries: list) -> dict:
        """Begins to number anew with a complete list, and returns the configuration's `known`."""
        self.index = 1
        return {"index": 1, "updates": [event(1, *entries, snapshot=True)]}

    def announce(self, *entries: dict) -> float:
        """Sends a change, and returns when it was sent."""
        self.index += 1
        self.events.send.put(sse(self.index, event(self.index, *entries)))
        return time.monotonic()

    def end(self) -> None:
        self._is_ended = True


class ControlProgram:
    """A process of the control service on its folder; start() replaces the list of its configuration."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.port = free_port()
        self.coordinator = NumberedCoordinator()
        self.process = None
        self.events = []

    def start(self, entries: list, epoch: str = "0") -> None:
        config = {
            "name": "c",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "settings": SETTINGS,
            "coordinator": self.coordinator.events.address,
            "known": self.coordinator.start_numbering(entries),
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        document = f'listen "127.0.0.1:{self.port}"; tables 3; epoch "{epoch}"; snapshot "{self.folder}"'
        (self.folder / "parts.kdl").write_text(f"control {{ {document} }}")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "wickvane",
                "control",
                f"--config={self.folder / 'config.json'}",
                f"--parts={self.folder / 'parts.kdl'}",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        while True:
            line = json.loads(self.process.stdout.readline())
            self.events.append(line["event"])
            if line["event"] == "ready":
                break

    def end(self, number: signal.Signals) -> None:
        self.process.send_signal(number)
        self.process.wait(10)
        self.process.stdout.close()


@pytest.fixture
def program(tmp_path):
    """A control service on an empty folder; its process ends with the test."""
    made = ControlProgram(tmp_path)
    yield made
    made.coordinator.end()
    if made.process is not None and made.process.poll() is None:
        made.end(signal.SIGKILL)


@pytest.mark.parametrize("variant", ["sotw", "delta"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("epoch", ["0", "1"])
def test_drains_reach_a_proxy_over_restarts_that_number_the_list_anew(
    proxy_loop, program, tmp_path, variant, number, epoch
):
    """Guards against drains that are not told after a restart, and against those told before it."""
    entries = [endpoint(n) for n in range(6)]
    program.start(entries)
    proxy = proxy_loop.start(Proxy("p", variant), program.port)
    until(lambda: len(proxy.sends_to()) == 6)
    for state in ("Ready", "Terminating", "Gone"):
        program.coordinator.announce(endpoint(6, state))
    until(lambda: load_snapshot(tmp_path) is not None and load_snapshot(tmp_path).index == 4)
    program.coordinator.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in proxy.sends_to())
    proxy_loop.stop(proxy)
    program.end(number)
    # The list of the new start lags: it has the drained engine as ready. Another one has gone meanwhile.
    program.start(entries[:5], epoch)
    proxy_loop.start(proxy, program.port)
    until(lambda: "e5" not in proxy.sends_to())
    told = program.coordinator.announce(endpoint(0, "Terminating"))
    until(lambda: "e0" not in proxy.sends_to())
    assert time.monotonic() - told < DRAIN_DEADLINE_S
    program.coordinator.announce(endpoint(7))
    until(lambda: "e7" in proxy.sends_to())
    assert proxy.sends_to() == {"e2", "e3", "e4", "e7"}
    proxy_loop.stop(proxy)
    program.end(signal.SIGTERM)


def test_program_starts_before_a_damaged_snapshot_and_counts_it(program, tmp_path):
    """Guards against a start that fails, or goes unnoticed, with a snapshot that is cut off."""
    program.start([endpoint(n) for n in range(3)])
    until(lambda: load_snapshot(tmp_path) is not None)
    program.end(signal.SIGKILL)
    path = tmp_path / "list.wickvane"
    path.write_bytes(path.read_bytes()[:-20])
    program.start([endpoint(n) for n in range(3)])
    assert "snapshot-unreadable" in program.events
    program.process.send_signal(signal.SIGTERM)
    counters = json.loads(program.process.communicate(timeout=10)[0].splitlines()[-1])
    assert counters["counters"]["snapshots-unreadable"] == 1 and counters["ready"] == 3


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_instance_that_started_later_takes_over_proxies_of_a_longer_numbering(proxy_loop, variant):
    """Guards against a second instance that tells nothing until its numbers pass those of the first."""
    first = RunningService()
    proxy = proxy_loop.start(Proxy("p", variant), first.port)
    for n in range(10, 30):
        first.announce(endpoint(n))
    first.announce(endpoint(0, "Terminating"))
    until(lambda: "e29" in proxy.sends_to() and "e0" not in proxy.sends_to())
    known = [endpoint(0, "Terminating"), *(endpoint(n) for n in (*range(1, 6), *range(10, 30)))]
    second = RunningService(known=known)
    proxy_loop.stop(proxy)
    first.stop()
    proxy_loop.start(proxy, second.port)
    told = second.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in proxy.sends_to())
    assert time.monotonic() - told < DRAIN_DEADLINE_S and not second.logged("proxy-ahead")
    for n in range(40, 60):
        second.announce(endpoint(n))
    until(lambda: "e59" in proxy.sends_to())
    assert "e0" not in proxy.sends_to()
    proxy_loop.stop(proxy)
    second.stop()


def test_numbers_continue_where_a_reload_moves_the_coordinator(proxy_loop, tmp_path):
    """Guards against a list that begins anew at a reload: there the numbers go on."""
    service = RunningService()
    proxy = proxy_loop.start(Proxy("p"), service.port)
    until(lambda: len(proxy.sends_to()) == 6)
    service.announce(endpoint(0, "Terminating"))
    until(lambda: "e0" not in proxy.sends_to())
    other = NumberedCoordinator()
    known = {
        "index": 3,
        "updates": [
            event(1, *(endpoint(n) for n in range(6)), snapshot=True),
            event(2, endpoint(0, "Terminating")),
            event(3, endpoint(1, "Terminating")),
        ],
    }
    config, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    config.write_text(json.dumps(service.config | {"coordinator": other.events.address, "known": known}))
    document.write_text(f'control {{ listen "127.0.0.1:{service.port}"\n{SETTINGS_KDL} }}')
    service.server.loop.call_soon_threadsafe(service.server.reload, str(config), str(document))
    until(lambda: "e1" not in proxy.sends_to())
    assert other.events.next("connected")[1] == b"3" and "e0" not in proxy.sends_to()
    other.index = 3
    other.announce(endpoint(2, "Terminating"))
    until(lambda: "e2" not in proxy.sends_to())
    assert proxy.sends_to() == {"e3", "e4", "e5"}
    proxy_loop.stop(proxy)
    service.stop()
    other.end()


def test_coordinator_that_numbers_anew_for_a_running_reader_is_taken_to_repeat_itself(proxy_loop):
    """What holds then: what drained stays out, repeats are counted, and higher numbers apply again."""
    service = RunningService()
    proxy = proxy_loop.start(Proxy("p"), service.port)
    until(lambda: len(proxy.sends_to()) == 6)
    for n in (0, 1):
        service.announce(endpoint(n, "Terminating"))
    until(lambda: len(proxy.sends_to()) == 4)
    service.coordinator.send.put(sse(1, event(1, *(endpoint(n) for n in range(6)), snapshot=True)))
    service.coordinator.send.put(sse(2, event(2, endpoint(2, "Terminating"))))
    until(lambda: service.server.counters.shown().get("list-events-repeated") == 2)
    service.announce(endpoint(3, "Terminating"))
    until(lambda: "e3" not in proxy.sends_to())
    assert proxy.sends_to() == {"e2", "e4", "e5"}
    proxy_loop.stop(proxy)
    service.stop()


class OverriddenService:
    """A control service whose list is the coordinator's, overridden by a watched file."""

    def __init__(self, coordinator, known, path, folder, port):
        document = (
            f'control {{ listen "127.0.0.1:{port}"; tables 3; proxies 2; snapshot "{folder}" }}\n'
            f'members {{ file "{path}"; still "20ms"; poll "100ms"; overrides #true }}'
        )
        extensions = parts.read_text(document)
        config = {
            "name": "c",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "settings": SETTINGS,
            "coordinator": coordinator.events.address,
            "known": known,
        }
        log = tempfile.TemporaryFile()
        STANDING.append(log)
        self.server = Server(config, extensions["control"], log.fileno(), extensions["members"])
        threading.Thread(target=self.server.log.run, daemon=True).start()
        self.thread = threading.Thread(target=lambda: asyncio.run(self.server.serve()), daemon=True)
        self.thread.start()
        assert self.server.ready.wait(30)

    def stop(self):
        self.server.stop()
        self.thread.join(10)


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_drains_by_the_stream_and_by_files_hold_over_a_restart_with_overrides(proxy_loop, tmp_path, variant):
    """Guards against the stream's number in that of a list with overrides: it is of one numbering, too."""
    (tmp_path / "state").mkdir()
    path, port, coordinator = tmp_path / "engines.kdl", free_port(), NumberedCoordinator()

    def override(*drained: str) -> None:
        lines = "".join(f'engine "{name}" weight=0\n' for name in drained)
        path.write_text(f"members {{\n{lines}}}")

    override("e1", "e2")
    known = coordinator.start_numbering([endpoint(n) for n in range(8)])
    service = OverriddenService(coordinator, known, path, tmp_path / "state", port)
    proxy = proxy_loop.start(Proxy("p", variant), port)
    until(lambda: proxy.sends_to() == {"e0", "e3", "e4", "e5", "e6", "e7"})
    for n in range(8, 12):
        coordinator.announce(endpoint(n))
    coordinator.announce(endpoint(3, "Terminating"))
    until(lambda: "e3" not in proxy.sends_to() and "e11" in proxy.sends_to())
    proxy_loop.stop(proxy)
    service.stop()
    # While the service is down, the file lets an engine have queries again, and the coordinator drains one.
    override("e2")
    entries = [endpoint(n) for n in range(12) if n not in (3, 4)]
    known = coordinator.start_numbering([*entries, endpoint(3), endpoint(4, "Terminating")])
    service = OverriddenService(coordinator, known, path, tmp_path / "state", port)
    proxy_loop.start(proxy, port)
    expected = {f"e{n}" for n in range(12)} - {"e2", "e3", "e4"}
    until(lambda: proxy.sends_to() == expected)
    told = coordinator.announce(endpoint(5, "Terminating"))
    until(lambda: proxy.sends_to() == expected - {"e5"})
    assert time.monotonic() - told < DRAIN_DEADLINE_S
    proxy_loop.stop(proxy)
    service.stop()
    coordinator.end()
