"""The rehearsal's speed in virtual time at three sizes and the module's share of it, the plain heap beside a
library for discrete events, a hundred emulated engines in one process on sockets, and what a log line costs.

    python -m benchmarks.rehearsal [--quick | --full]

The last line is one JSON object.
"""

import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from heapq import heappop, heappush
from threading import Thread

from benchmarks import conclude
from wickvane.net.clock import Clock
from wickvane.net.log import Log
from wickvane.rehearsal import logs
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.world import play
from wickvane.scheduling.scheduler import Scheduler

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
WANTED = {
    "virtual_over_real_100x33": 1.0,
    "equal_logs": True,
    "serve_cpu_share": 1.0,
    "late_ms_p99": 10.0,
    "log_over_query": 0.03,
}
SIZES = {"1x8": (1, 8, 65), "30x9": (30, 9, 73), "100x33": (100, 33, 270)}  # gateways, engines, queries/s
SCRIPT = """rehearsal {{
    length "{length}s"
    gateways {gateways}
    engines "e" count={engines} cores=8 disks=6
    group "lookup" {{ work "{work}ms"; spread 0.3; promise "500ms"; timeout "3s" }}
    clients "a" {{ group "lookup"; rate {rate} }}
    trouble "deploy" at="3s" for="6s" part=0.5 size=2
    trouble "slow" at="5s" for="3s" size=1.5
}}"""


class Timed(Scheduler):
    """The module, with the time spent in it."""

    spent = 0.0

    def round(self, now, events, out):
        began = time.perf_counter()
        super().round(now, events, out)
        Timed.spent += time.perf_counter() - began


def virtual(scale):
    found = {}
    for size, (gateways, engines, rate) in SIZES.items():
        figures = dict(length=10 * scale, gateways=gateways, engines=engines, work=800, rate=rate)
        script = scripts.read_text(SCRIPT.format(**figures))
        Timed.spent, began = 0.0, time.process_time()
        outcome = play(script, 1, False, Timed)
        took = time.process_time() - began
        found |= {
            f"virtual_over_real_{size}": round(10 * scale / took, 2),
            f"virtual_queries_a_second_{size}": round(outcome.world.next_id / took),
            f"virtual_events_a_second_{size}": round(outcome.world.made / took),
            f"module_share_{size}": round(Timed.spent / took, 3),
            f"virtual_rules_broken_{size}": len(outcome.breaches),
        }
    script = scripts.read_text(SCRIPT.format(length=8, gateways=4, engines=9, work=200, rate=100))
    found["equal_logs"] = len({play(script, 7).log() for _ in range(2)}) == 1
    return found


def heap_over_library(count=200_000):
    """Events a second of the world's heap over those of simpy, each event planning its next at a time drawn:
    the least that either does. None where the library is not installed."""
    try:
        import simpy
    except ImportError:
        return {}
    chance, heap, made, left = random.Random(1), [], 0, count

    def event(when):
        nonlocal made
        made += 1
        heappush(heap, (when + chance.randrange(1, 1000), made, event, (when,)))

    began = time.process_time()
    for n in range(200):
        heappush(heap, (n, n, event, (n,)))
    made = 200
    while left:
        when, _, what, _ = heappop(heap)
        what(when)
        left -= 1
    plain = time.process_time() - began

    def process(world):
        nonlocal left
        while True:
            yield world.timeout(chance.randrange(1, 1000))
            left += 1

    chance, world = random.Random(1), simpy.Environment()
    for _ in range(200):
        world.process(process(world))
    began = time.process_time()
    while left < count:
        world.step()
    return {"heap_over_library": round((time.process_time() - began) / plain, 2)}


def log_lines(queries_a_cpu_second=1000, count=20_000):
    """Microseconds of CPU a line of a query's end, by the dispatcher's log and by structlog, and what the
    difference is of a query, at one line each and so many queries a CPU second (results.md, TDS beside
    PostgreSQL). A line of the dispatcher's counts its writer's thread too."""
    fields = dict(
        txn="9b1f03aa5c7e2d41",
        resource_group="lookup",
        answer="finished",
        submissions=1,
        engine="e17",
        table_group=17,
        cost=12.5,
        took=13.7,
        limit=1500.0,
        taken=0.3,
        asked=0.9,
        hit=13.1,
    )
    with tempfile.TemporaryDirectory() as folder:
        descriptor = os.open(os.path.join(folder, "own"), os.O_CREAT | os.O_WRONLY)
        own = Log(descriptor, Clock())
        thread = Thread(target=own.run)
        thread.start()
        began = time.process_time()
        for n in range(count):
            own.line("query", **fields)
            if n % 1000 == 999:
                while not own.lines.empty():
                    time.sleep(0.002)
        own.close()
        thread.join()
        first = time.process_time() - began
        assert not own.dropped
        os.close(descriptor)
        other = logs.logger(os.path.join(folder, "other"), "n0")
        began = time.process_time()
        for _ in range(count):
            other.info("query", **fields)
        second = time.process_time() - began
    return {
        "log_us_own": round(first / count * 1e6, 2),
        "log_us_structlog": round(second / count * 1e6, 2),
        "log_over_query": round((second - first) / count * queries_a_cpu_second, 4),
    }


def sockets(scale):
    """One query after another on each of a hundred connections to as many engines, 500 a second in all: how
    much later than its work each answer comes, and what the process needs of a core. Nothing is read, so that
    warm tables save no work."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "script.kdl")
        with open(path, "w") as file:
            file.write(
                SCRIPT.format(length=3600, gateways=1, engines=100, work=40, rate=1)
                .replace("trouble", "// trouble")
                .replace("spread 0.3", "spread 0.3; reading 0")
            )
        process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "rehearse", "serve", path], cwd=ROOT, stdout=subprocess.PIPE
        )
        entries = json.loads(process.stdout.readline())["known"]["updates"][0]["endpoints"]["endpoints"]
        late, threads, since = [], [], time.monotonic()

        def one(number, address):
            chance, (host, _, port) = random.Random(number), address.rpartition(":")
            with socket.create_connection((host, int(port)), timeout=10) as sock:
                lines = sock.makefile("rb")
                for n in range(20 * scale):
                    time.sleep(max(0.0, since + (n + chance.random()) / 5 - time.monotonic()))
                    began = time.monotonic()
                    sock.sendall(b"ASK %08x%08x queue=lookup,budget=3000 9\r\nSELECT 1;\r\n" % (number, n))
                    words = lines.readline().split()
                    lines.read(int(words[3]) + 2)
                    work = float(dict(f.split(b"=") for f in words[2].split(b","))[b"toil"])
                    late.append((time.monotonic() - began) * 1000 - work)

        for number, entry in enumerate(entries):
            threads.append(Thread(target=one, args=(number, entry["address"])))
            threads[-1].start()
        for thread in threads:
            thread.join()
        with open(f"/proc/{process.pid}/schedstat") as file:
            share = int(file.read().split()[0]) / 1e9 / (time.monotonic() - since)
        process.kill()
        process.wait()
    return {
        "serve_engines": len(entries),
        "serve_queries": len(late),
        "serve_cpu_share": round(share, 3),
        "late_ms_median": round(statistics.median(late), 2),
        "late_ms_p99": round(sorted(late)[int(len(late) * 0.99)], 2),
    }


def main():
    scale = 6 if "--full" in sys.argv else 1
    figures = {"mode": "full" if scale > 1 else "quick"} | virtual(scale) | heap_over_library()
    figures |= log_lines() | sockets(scale)
    holds = (
        figures["virtual_over_real_100x33"] >= WANTED["virtual_over_real_100x33"]
        and figures["equal_logs"]
        and figures["log_over_query"] <= WANTED["log_over_query"]
        and figures["serve_cpu_share"] <= WANTED["serve_cpu_share"]
        and figures["late_ms_p99"] <= WANTED["late_ms_p99"]
    )
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("rehearsal", WANTED, main))
