"""Flow export on loopback: exact totals, and what it costs.

    python -m benchmarks.flow_export [--quick | --full]

A dispatcher of its own process before stand-in engines, with churn, a drain, a collector that pauses and a
restart; the same program with export on and off by turns; the encoder alone. The last line is one JSON
object.
"""

import gc
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from threading import Thread

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

from bench_free import Client, Engine, Events, entry, event, found, rows, sse, statement  # noqa: E402
from standins.collector import Collector  # noqa: E402

from benchmarks import conclude  # noqa: E402
from wickvane.flows import flow_accounts as a  # noqa: E402
from wickvane.flows import ipfix, netflow9  # noqa: E402
from wickvane.flows.elements import text  # noqa: E402
from wickvane.net.service import GC_THRESHOLDS  # noqa: E402

WANTED = {
    "tcp_difference": 0,
    "udp_unexplained_share": 0.001,
    "queries_per_cpu_ratio": 0.95,
    "memory_mb": 6,
    "records_per_s": 50_000,
    "linear": 1.3,
}
WAYS = [(side, way) for side in ("client", "engine") for way in ("in", "out")]
LOCAL = bytes([127, 0, 0, 1])


class Dispatcher:
    """One process of the program; `found` as the clients of the tests want it."""

    def __init__(self, folder, found, document, root=ROOT):
        self.found, self.folder = found, folder
        path, parts = os.path.join(folder, "config.json"), os.path.join(folder, "parts.kdl")
        with open(path, "w") as file:
            json.dump(found, file)
        words = [sys.executable, "-m", "wickvane", "serve", f"--config={path}"]
        if document:
            with open(parts, "w") as file:
                file.write(document)
            words.append(f"--parts={parts}")
        self.log = open(os.path.join(folder, f"log-{time.monotonic_ns()}"), "w+b")
        self.process = subprocess.Popen(words, cwd=root, stdout=self.log)
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) > 2:
            os.sched_setaffinity(self.process.pid, cores[-1:])  # the load keeps to the others
        while not self.lines("ready"):
            time.sleep(0.01)

    def lines(self, name):
        text = os.pread(self.log.fileno(), 1 << 28, 0)
        marked = b'"event":"%b"' % name.encode()
        return [json.loads(line) for line in text[: text.rfind(b"\n") + 1].splitlines() if marked in line]

    def cpu(self):
        """Seconds of CPU so far, by the process's own clock: the kernel's ticks are too coarse."""
        had = len(self.lines("counters"))
        self.process.send_signal(signal.SIGUSR1)
        while len(found := self.lines("counters")) == had:
            time.sleep(0.01)
        return found[-1]["cpu_s"]

    def memory(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(20)
        return self.lines("counters")[-1]


def load(dispatcher, queries, clients=8, a_connection=20, begin=0, a_second=0):
    """So many queries from clients that connect anew all the time; with `a_second`, each at its moment: as
    many wait at once then, whatever the program's speed, and CPU a query can be compared."""
    since = time.monotonic()

    def one(number):
        for n in range(0, queries // clients, a_connection):
            client = Client(dispatcher)
            for k in range(n, min(n + a_connection, queries // clients)):
                if a_second:
                    time.sleep(max(0.0, since + (k * clients + number) / a_second - time.monotonic()))
                assert rows(client.ask(statement(n=begin + (number << 24) + k + 1)))
            client.send(b"", b"X")
            client.file.close()
            client.sock.close()

    threads = [Thread(target=one, args=(number + 1,)) for number in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def document(collector, more="", body=""):
    body = f'address "{collector.address}"\n{body}'
    return f'flows {{\n{more}\ncollector "a" {{ {body} }} }}\n'


def differences(collected, counters):
    """Octets and final answers that the collector's sums and the dispatcher's own counters differ by."""
    off = 0
    for side, ways in (("client", ("in", "out")), ("engine", ("out", "in"))):
        for way, name in zip(ways, ("octetDeltaCount", "reverseOctetDeltaCount")):
            off += abs(collected.total(side, name) - sum(c.get(f"{side}-octets-{way}", 0) for c in counters))
    for answer in ("finished", "deferred", "killed", "left"):
        off += abs(
            collected.total("client", "queries" + answer.title()) - sum(c.get(answer, 0) for c in counters)
        )
    flows = sum(c["flows"]["begun"] for c in counters)
    told = collected.total("client", "deltaFlowCount") + collected.total("engine", "deltaFlowCount")
    return off + abs(flows - told), flows


def settled(collector, seconds=20):
    """Once nothing more comes for a second."""
    by, had, since = time.monotonic() + seconds, -1, time.monotonic()
    while time.monotonic() < by and time.monotonic() - since < 1.0:
        if len(collector.raw) != had:
            had, since = len(collector.raw), time.monotonic()
        time.sleep(0.05)
    return collector.collected


def exact(scale):
    """TCP with a spool: churn, a drain, a pause, a restart while the collector is away, a second life."""
    engines, coordinator, collector = [Engine(), Engine()], Events(), Collector()
    with tempfile.TemporaryDirectory() as folder:
        configuration = found(engines[:1], coordinator)
        more = f'spool "{folder}/spool"\nactive-timeout "500ms"\ntable 64\n'
        text_ = document(collector, more, 'stall "500ms"')
        first = Dispatcher(folder, configuration, text_)
        coordinator.next("connected")
        load(first, 2000 * scale)
        moved = [entry("e0", engines[0].address, "Terminating"), entry("e1", engines[1].address)]
        coordinator.send.put(sse(2, event(2, *moved)))
        time.sleep(0.3)
        collector.reading.clear()
        load(first, 1000 * scale, begin=1 << 40)
        collector.reading.set()
        load(first, 500 * scale, begin=2 << 40)
        port = collector.port
        collector.end()
        load(first, 500 * scale, begin=3 << 40)
        counters = [first.stop()]
        collector = Collector(port=port, collected=collector.collected)
        configuration["known"] = {"index": 2, "updates": [event(2, *moved, snapshot=True)]}
        second = Dispatcher(folder, configuration, text_)
        load(second, 1000 * scale, begin=4 << 40)
        counters.append(second.stop())
        collected = settled(collector)
        off, flows = differences(collected, counters)
        return {
            "tcp_difference": off,
            "tcp_flows": flows,
            "tcp_records": collected.records,
            "tcp_repeats_told_apart": collected.repeated,
            "tcp_lost": collected.lost,
            "tcp_octets": sum(c[f"{side}-octets-{way}"] for c in counters for side, way in WAYS),
        }


def over_udp(scale):
    engines, collector = [Engine()], Collector(udp=True)
    with tempfile.TemporaryDirectory() as folder:
        dispatcher = Dispatcher(
            folder, found(engines, Events()), document(collector, 'active-timeout "500ms"', 'transport "udp"')
        )
        load(dispatcher, 2000 * scale)
        counters = dispatcher.stop()
        collected = settled(collector)
        octets = sum(counters[f"{side}-octets-{way}"] for side, way in WAYS)
        told = sum(
            collected.total(side, name)
            for side in ("client", "engine")
            for name in ("octetDeltaCount", "reverseOctetDeltaCount")
        )
        stats = collected.statistics[1, "a"]
        missing = stats["accountedFlowTotalCount"] - sum(
            collected.total(side, "deltaFlowCount") for side in ("client", "engine")
        )
        explained = collected.lost + stats["notSentFlowTotalCount"]
        share = abs(octets - told) / octets
        return {
            "udp_share_off": share,
            "udp_lost_by_sequence": collected.lost,
            "udp_flows_missing": missing,
            "udp_unexplained_share": 0.0 if share and explained >= missing else share,
        }


def cost(scale):
    """The same load by turns: queries for each second of CPU, and memory at its highest."""
    rate, memory = {"off": [], "on": []}, {"off": [], "on": []}
    queries, a_second = 1600, 500
    cores = os.sched_getaffinity(0)
    if len(cores) > 2:
        os.sched_setaffinity(0, sorted(cores)[:-1])
    for turn in range(4 if scale == 1 else 16):
        for kind in (("off", "on"), ("on", "off"))[turn % 2]:
            engine, collector = Engine(), Collector()
            with tempfile.TemporaryDirectory() as folder:
                dispatcher = Dispatcher(
                    folder, found([engine], Events()), document(collector) if kind == "on" else None
                )
                load(dispatcher, 200)  # past the start-up
                before = dispatcher.cpu()
                load(dispatcher, queries, begin=1 << 40, a_second=a_second)
                rate[kind].append(queries / (dispatcher.cpu() - before))
                memory[kind].append(dispatcher.memory())
                dispatcher.stop()
    os.sched_setaffinity(0, cores)
    on, off = statistics.median(rate["on"]), statistics.median(rate["off"])
    return {
        "queries_per_cpu_s_on": round(on),
        "queries_per_cpu_s_off": round(off),
        "queries_per_cpu_ratio": round(on / off, 3),
        "queries_a_second": a_second,
        "ratio_by_turn": [round(x / y, 3) for x, y in zip(rate["on"], rate["off"])],
        "memory_mb": round(statistics.median(memory["on"]) - statistics.median(memory["off"]), 2),
        "memory_mb_off": round(statistics.median(memory["off"]), 1),
    }


def encoder():
    """From connections that open and close to whole messages, and the encoding of their records alone."""

    def flows(n):
        accounts = a.Accounts(1, n, 600_000, 150_000)
        began = time.process_time()
        for k in range(n):
            connection = accounts.opened(a.ENGINE, (LOCAL, k % 60_000 + 1), (LOCAL, 5432), f"engine-{k % 40}")
            accounts.count(connection, (k % 3, 0), k, a.FORWARD, 300, 1, a.FIRST)
            accounts.count(connection, (k % 3, 0), k, a.REVERSE, 900, 1)
            accounts.closed(connection, k)
        records = []
        while len(found := accounts.collect(n, 1024)) == 1024:
            records += found
        return records + found, (time.process_time() - began) / n

    def encode(records, nine=False):
        layout = netflow9.Layout(32)
        name = layout.name if nine else text
        names = [name(g) for g in ("lookup", "report", "load", "")], [name("acme"), name("")], {}, name
        writer = (
            netflow9.Writer(layout, 1452)
            if nine
            else ipfix.Writer(1, ipfix.Generation(32_473), 16_384, checksums=True)
        )
        shape = layout.flow if nine else ipfix.flow_record
        began = time.process_time()
        for record in records:
            kind, data = shape(record, names)
            writer.add(kind, data, 0, record.key[0])
        writer.finish(0)
        return (time.process_time() - began) / len(records)

    small = [flows(10_000) for _ in range(5)]
    large, account = flows(100_000)
    alone = min(encode(records) for records, _ in small)
    whole = min(encode(large) for _ in range(3))
    return {
        "records_per_s": round(1 / whole),
        "records_per_s_v9": round(1 / encode(large, True)),
        "linear": round(max(whole / alone, account / min(cost for _, cost in small)), 2),
        "account_us_a_flow": round(account * 1e6, 2),
    }


def started(document_):
    """Seconds of CPU to the ready line, and memory then, of a fresh process; median of five."""
    times, memory = [], []
    for _ in range(5):
        with tempfile.TemporaryDirectory() as folder:
            dispatcher = Dispatcher(folder, found([Engine()], Events()), document_)
            times.append(dispatcher.cpu())
            memory.append(dispatcher.memory())
            dispatcher.process.kill()
            dispatcher.process.wait()
    return round(statistics.median(times), 3), round(statistics.median(memory), 1)


def main():
    scale = 4 if "--full" in sys.argv else 1
    figures = {"mode": "full" if scale > 1 else "quick"}
    gc.set_threshold(*GC_THRESHOLDS)  # as the program itself has it
    figures |= encoder()
    figures["start_cpu_s_off"], figures["start_memory_mb_off"] = started(None)
    figures["start_cpu_s_on"], figures["start_memory_mb_on"] = started(document(Collector()))
    for part in (exact, over_udp, cost):
        figures |= part(scale)
    holds = (
        figures["tcp_difference"] <= WANTED["tcp_difference"]
        and figures["udp_unexplained_share"] <= WANTED["udp_unexplained_share"]
        and figures["queries_per_cpu_ratio"] >= WANTED["queries_per_cpu_ratio"]
        and figures["memory_mb"] <= WANTED["memory_mb"]
        and figures["records_per_s"] >= WANTED["records_per_s"]
        and figures["linear"] <= WANTED["linear"]
    )
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("flow_export", WANTED, main))
