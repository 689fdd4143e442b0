"""What one client at full speed on one connection does to others: their answers, and the process's memory.

    python -m benchmarks.flood [--quick | --full] [--tree=FOLDER] [FLOOD ...]

The real program before stand-in engines; one client sends small or unusable requests without a pause and
reads the answers, while others ask look-ups. The last line is one JSON object with figures by kind of flood.
"""

import json
import socket
import statistics
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from multiprocessing import get_context
from threading import Thread

from benchmarks import conclude
from benchmarks.memory import STARTUP, Probe, Program, query, run_engines
from benchmarks.storm_sockets import ROOT

MEMORY_MB = 64
SECONDS = {"quick": 4.0, "full": 15.0}
PROBES = 8
BATCH = 200  # requests that are sent at once
WANTED = {"slowest_ms": 250, "served_least": 1.0, "memory_growth_mb": 4.0}


def message(text: str) -> bytes:
    body = text.encode() + b"\0"
    return b"Q" + struct.pack("!I", 4 + len(body)) + body


def unusable(_: int) -> bytes:
    """A statement without a comment."""
    return message("SELECT 1")


def new_names(number: int) -> bytes:
    """A statement of a resource group and a tenant that are new each time."""
    fields = f"verb=v{number},txn={number:016x},limit=7000,team=t{number}"
    return message(f"/* {fields} */ SELECT 1 FROM sales_{number}.t")


def empty(_: int) -> bytes:
    """An empty query."""
    return message("")


def short_lived(_: int) -> bytes:
    """A look-up whose time is over before it can be sent."""
    return query("SELECT 1 FROM sales_1.t").replace(b"limit=7000", b"limit=0001")


def small(_: int) -> bytes:
    """A usable look-up."""
    return query("SELECT 1 FROM sales_1.t")


FLOODS: dict[str, Callable[[int], bytes] | None] = {
    "none": None,
    "unusable": unusable,
    "new-names": new_names,
    "empty": empty,
    "short-lived": short_lived,
    "small": small,
}


class Flood(Thread):
    """One client that sends requests as fast as its answers are read; answered: how many were."""

    def __init__(self, port: int, request: Callable[[int], bytes]) -> None:
        super().__init__(daemon=True)
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=30)
        self.request = request
        self.answered = 0
        self.stopped = False
        self.start()

    def run(self) -> None:
        self.sock.sendall(STARTUP)
        Thread(target=self._read, daemon=True).start()
        number = 0
        try:
            while not self.stopped:
                self.sock.sendall(b"".join(self.request(number + n) for n in range(BATCH)))
                number += BATCH
        except OSError:
            pass

    def _read(self) -> None:
        try:
            while data := self.sock.recv(1 << 18):
                self.answered += data.count(b"Z\0\0\0\5I")
        except OSError:
            pass


def resident_mb(program: Program) -> float:
    with open(f"/proc/{program.process.pid}/status") as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))


def measure_flood(tree: str, name: str, seconds: float, engines: list[str]) -> dict:
    """Returns the figures of one flood."""
    request = FLOODS[name]
    with tempfile.TemporaryDirectory() as folder:
        program = Program(tree, folder, MEMORY_MB, engines, True)
        try:
            time.sleep(0.3)
            probes = [Probe(program.port) for _ in range(PROBES)]
            time.sleep(1.0)
            before = resident_mb(program)
            flood = request and Flood(program.port, request)
            time.sleep(seconds)
            for probe in probes:
                probe.stopped = True
            for probe in probes:
                probe.join(12)
            asked = sum(probe.asked for probe in probes)
            times = sorted(seconds for probe in probes for seconds in probe.times_s)
            return {
                "flood_per_s": round(flood.answered / seconds) if flood else 0,
                "asked": asked,
                "served_part": round(sum(probe.served for probe in probes) / max(1, asked), 3),
                "median_ms": round(1000 * statistics.median(times)),
                "slowest_ms": round(1000 * times[-1]),
                "memory_growth_mb": round(resident_mb(program) - before, 1),
            }
        finally:
            program.end()


def measure() -> tuple[dict, bool]:
    """Returns the figures by kind of flood, and whether they are as wanted."""
    mode = "full" if "--full" in sys.argv else "quick"
    tree = next((word[7:] for word in sys.argv if word.startswith("--tree=")), ROOT)
    names = [word for word in sys.argv[1:] if not word.startswith("--")] or list(FLOODS)
    context = get_context("spawn")
    pipe, other = context.Pipe()
    context.Process(target=run_engines, args=(6, other), daemon=True).start()
    engines = pipe.recv()
    figures: dict = {"mode": mode}
    holds = True
    for name in names:
        found = figures[name] = measure_flood(tree, name, SECONDS[mode], engines)
        print(name, json.dumps(found), flush=True)
        holds = holds and found["slowest_ms"] <= WANTED["slowest_ms"]
        holds = holds and found["served_part"] >= WANTED["served_least"]
        holds = holds and found["memory_growth_mb"] <= WANTED["memory_growth_mb"]
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("flood", WANTED, measure))
