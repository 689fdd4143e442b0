"""What the program holds before more and more engines: threads, descriptors, memory, CPU a query and latency,
side by side with the program as it was when each engine had a thread.

    python -m benchmarks.threads [--quick | --full]

The real program on loopback before 10, 40 and 80 emulated engines, each a listener of its own, at 30
queries a second from 16 clients. Both programs run at once, each before engines of its own, so that what
else the machine does falls on both. The last line is one JSON object.
"""

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from multiprocessing import get_context

from benchmarks import conclude
from benchmarks.storm_sockets import ROOT, port, serve
from wickvane.rehearsal import script as scripts

BEFORE = "b9d0b1f"  # the last landing with a keeper an engine and a reader a connection
ENGINES, RATE, CLIENTS, LENGTHS = (10, 40, 80), 30, 16, {"quick": 12, "full": 45}
TICK = 1 / os.sysconf("SC_CLK_TCK")
WANTED = {
    "threads_middle_80": 40,
    "threads_most_80": 64,
    "descriptors_most_80": 200,
    "memory_part": 1.0,
    "cpu_part": 1.1,
}
DAY = """rehearsal {{
    length "{length}s"
    gateways 1
    engines "e" count={engines} cores=4 disks=4
    group "lookup" {{ work "80ms"; promise "1500ms"; timeout "5s" }}
    clients "a" {{ group "lookup"; rate {rate}; tables 200 }}
}}"""


def engines(text, seed, pipe):
    """A process: its configuration out, until it is told to stop."""
    from wickvane.rehearsal.sockets import Serving

    serve(Serving(scripts.read_text(text), seed), pipe)


def load(text, seed, address, pipe):
    from wickvane.rehearsal.load import Load

    pipe.send(Load(scripts.read_text(text), seed, address, workers=CLIENTS).run()["lookup"])


def seen(process):
    """(threads, descriptors, most memory in MB, CPU seconds) of a process now."""
    with open(f"/proc/{process}/status") as status:
        told = dict(line.split(":\t", 1) for line in status if ":\t" in line)
    with open(f"/proc/{process}/stat") as stat:
        words = stat.read().rpartition(")")[2].split()
    return (
        int(told["Threads"]),
        len(os.listdir(f"/proc/{process}/fd")),
        int(told["VmHWM"].split()[0]) / 1024,
        (int(words[11]) + int(words[12])) * TICK,
    )


class Running:
    """One program of one tree, before engines of its own; words: more for its command line."""

    def __init__(self, tree, count, length, folder, words=()):
        self.text = DAY.format(length=length, engines=count, rate=RATE)
        context = get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.serving = context.Process(target=engines, args=(self.text, 1, theirs))
        self.serving.start()
        self.listen = f"127.0.0.1:{port()}"
        self.pipe.send(self.listen)
        path = os.path.join(folder, f"{os.path.basename(tree)}-{count}-{len(words)}.json")
        with open(path, "w") as file:
            json.dump(self.pipe.recv() | {"name": "n0"}, file)
        self.program = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "serve", f"--config={path}", *words],
            cwd=tree,
            stdout=subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": tree},
        )

    def ask(self):
        context = get_context("spawn")
        self.mine, other = context.Pipe()
        host, _, number = self.listen.rpartition(":")
        context.Process(target=load, args=(self.text, 1, (host, int(number)), other), daemon=True).start()
        self.looks, self.began = [], seen(self.program.pid)[3]

    def look(self):
        self.looks.append(seen(self.program.pid))

    def figures(self):
        told = self.mine.recv()
        asked = sum(told["answers"].values())
        threads = [look[0] for look in self.looks]
        if asked < RATE or told["answers"].get("finished", 0) < 0.95 * asked:
            raise RuntimeError(f"too few queries were finished: {told['answers']}")
        return {
            "threads_middle": statistics.median(threads),
            "threads_most": max(threads),
            "descriptors_most": max(look[1] for look in self.looks),
            "memory_mb": round(max(look[2] for look in self.looks), 1),
            "cpu_ms_query": round(1000 * (self.looks[-1][3] - self.began) / asked, 3),
            "p50_ms": told["p50_ms"],
            "p99_ms": told["p99_ms"],
            "queries": asked,
        }

    def end(self):
        self.program.send_signal(signal.SIGTERM)
        self.program.wait(15)
        self.pipe.send("stop")
        self.serving.join()


def together(running, length):
    """{name: figures} of programs that have just been started, all asked for so many seconds at once."""
    time.sleep(2.0)
    for each in running.values():
        each.ask()
    until = time.monotonic() + length
    while time.monotonic() < until:
        time.sleep(0.25)
        for each in running.values():
            each.look()
    return {name: each.figures() for name, each in running.items()}


def side_by_side(old, count, length):
    with tempfile.TemporaryDirectory() as folder:
        running = {"before": Running(old, count, length, folder), "now": Running(ROOT, count, length, folder)}
        try:
            return together(running, length)
        finally:
            for each in running.values():
                each.end()


def measure():
    mode = "full" if "--full" in sys.argv else "quick"
    figures = {"mode": mode, "rate": RATE}
    with tempfile.TemporaryDirectory() as old:
        archive = subprocess.run(
            ["git", "archive", BEFORE, "wickvane"], cwd=ROOT, capture_output=True, check=True
        ).stdout
        subprocess.run(["tar", "-x", "-C", old], input=archive, check=True)
        for count in ENGINES:
            figures[str(count)] = side_by_side(old, count, LENGTHS[mode])
            print(count, json.dumps(figures[str(count)]), flush=True)
    most = figures[str(ENGINES[-1])]
    part = {
        name: round(
            max(figures[str(count)]["now"][name] / figures[str(count)]["before"][name] for count in ENGINES),
            3,
        )
        for name in ("cpu_ms_query", "memory_mb")
    }
    figures |= {"cpu_part_worst": part["cpu_ms_query"], "memory_part_worst": part["memory_mb"]}
    holds = (
        most["now"]["threads_middle"] <= WANTED["threads_middle_80"]
        and most["now"]["threads_most"] <= WANTED["threads_most_80"]
        and most["now"]["descriptors_most"] <= WANTED["descriptors_most_80"]
        and part["memory_mb"] <= WANTED["memory_part"]
        and part["cpu_ms_query"] <= WANTED["cpu_part"]
    )
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("threads", WANTED, measure))
