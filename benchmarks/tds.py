"""TDS beside PostgreSQL on loopback: queries a CPU second, added latency, memory, and a long result.

    python -m benchmarks.tds [--quick | --full] [--against=FOLDER]

--against names a work tree of an earlier commit: PostgreSQL's queries a CPU second there and here, by turns.

One dispatcher of its own process, with clients of both protocols in turns before the stand-in engine of the
line protocol and one of TDS, whose answers are at hand. The last line is one JSON object.
"""

import os
import statistics
import sys
import tempfile
import time
from threading import Thread

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

from bench_free import Client, Engine, Events, entry, event, found, free_port, rows, statement  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from standins.tds_engine import COLUMNS, TdsEngine, result, row  # noqa: E402
from tds.helpers import RawClient, tds_settings  # noqa: E402

from benchmarks import conclude  # noqa: E402
from benchmarks.flow_export import Dispatcher  # noqa: E402
from wickvane.net.tds import packets, token_encoding, tokens  # noqa: E402

WANTED = {"tds_over_postgres": 0.7, "idle_kb": 200, "streaming_mb": 8}


def started(folder, engines, more=""):
    port = free_port()
    configuration = found([], Events())
    configuration["settings"] = tds_settings()
    configuration["settings"]["obligations"]["budget_window_ms"] = 5000.0
    entries = [
        entry(f"e{n}", engine.address) | {"type": "mssql" if isinstance(engine, TdsEngine) else "old"}
        for n, engine in enumerate(engines)
    ]
    configuration["known"] = {"index": 1, "updates": [event(1, *entries, snapshot=True)]}
    dispatcher = Dispatcher(
        folder,
        configuration,
        f"""tds {{ listen "127.0.0.1:{port}"
        connections 200
        rule application="*" {{ group "lookup"; tenant "acme"; limit "60s" }}
        engines "mssql" {{ user "w" }}
        {more} }}""",
    )
    dispatcher.tds_port = port
    return dispatcher


def resident(dispatcher):
    with open(f"/proc/{dispatcher.process.pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def load(dispatcher, front, clients, queries, a_second, begin):
    """So many queries at set moments; the histogram of their latencies in microseconds."""
    histogram, opened = HdrHistogram(1, 60_000_000, 3), []
    for _ in range(clients):
        opened.append(RawClient(dispatcher.tds_port) if front == "tds" else Client(dispatcher))
    since = time.monotonic() + 0.2

    def one(number, client):
        for k in range(queries // clients):
            at = since + (k * clients + number) / a_second
            time.sleep(max(0.0, at - time.monotonic()))
            text = statement(n=begin + (number << 24) + k + 1, limit=20_000)
            if front == "tds":
                client.batch(text)
                assert any(token == tokens.ROW for token, _ in client.tokens())
            else:
                assert rows(client.ask(text))
            # From the moment it was to be sent: one that waits for the one before it is late too.
            histogram.record_value(int((time.monotonic() - at) * 1e6))

    threads = [Thread(target=one, args=(n, client)) for n, client in enumerate(opened)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for client in opened:
        client.sock.close()
        if front != "tds":
            client.file.close()
    return histogram


def compared(scale):
    figures, turns = {}, 3 * scale
    with tempfile.TemporaryDirectory() as folder:
        line, tds = Engine(), TdsEngine(lambda query: result((1, "a")))
        dispatcher = started(folder, [line, tds])
        begin = 0
        for clients in (1, 16, 128):
            rate, late = {"postgres": [], "tds": []}, {"postgres": [], "tds": []}
            a_second = 100 if clients == 1 else 400
            queries = max(clients * 2, a_second)
            for turn in range(turns):
                for front in (("postgres", "tds"), ("tds", "postgres"))[turn % 2]:
                    begin += 1 << 40
                    before = dispatcher.cpu()
                    histogram = load(dispatcher, front, clients, queries, a_second, begin)
                    rate[front].append(queries / (dispatcher.cpu() - before))
                    late[front].append(
                        (
                            histogram.get_value_at_percentile(50) / 1000,
                            histogram.get_value_at_percentile(99) / 1000,
                        )
                    )
            for front in rate:
                figures[f"{front}_queries_per_cpu_s_{clients}"] = round(statistics.median(rate[front]))
                for name, n in (("median", 0), ("p99", 1)):
                    figures[f"{front}_{name}_ms_{clients}"] = round(
                        statistics.median(value[n] for value in late[front]), 2
                    )
            figures[f"tds_over_postgres_{clients}"] = round(
                statistics.median(rate["tds"]) / statistics.median(rate["postgres"]), 3
            )
        dispatcher.stop()
    return figures


def against(folder_, turns):
    """PostgreSQL alone, without a parts document, here and in another work tree."""
    rate = {"here": [], "there": []}
    for turn in range(turns):
        for place in (("here", "there"), ("there", "here"))[turn % 2]:
            with tempfile.TemporaryDirectory() as folder:
                configuration = found([Engine()], Events())
                dispatcher = Dispatcher(folder, configuration, None, ROOT if place == "here" else folder_)
                load(dispatcher, "postgres", 16, 160, 400, 1 << 30)
                before = dispatcher.cpu()
                load(dispatcher, "postgres", 16, 1600, 400, 1 << 40)
                rate[place].append(1600 / (dispatcher.cpu() - before))
                dispatcher.stop()
    return {
        "postgres_here_over_there": round(
            statistics.median(rate["here"]) / statistics.median(rate["there"]), 3
        ),
        "by_turn": [round(x / y, 3) for x, y in zip(rate["here"], rate["there"])],
    }


def idle():
    with tempfile.TemporaryDirectory() as folder:
        dispatcher = started(folder, [TdsEngine()])
        for _ in range(2):
            RawClient(dispatcher.tds_port)
        time.sleep(0.3)
        before = resident(dispatcher)
        held = [RawClient(dispatcher.tds_port) for _ in range(100)]
        time.sleep(0.5)
        kilobytes = (resident(dispatcher) - before) / len(held)
        dispatcher.stop()
    return {"idle_kb": round(kilobytes, 1)}


def streamed(megabytes):
    """A result of so many megabytes, and how much memory more the program had at its highest."""

    def answer(query):
        Thread(target=send, args=(query,), daemon=True).start()

    def send(query):
        framer = packets.PacketWriter(packets.TABULAR_RESULT)
        query.conn.send(framer.write(COLUMNS))
        one = b"".join(row(n, "x" * 100) for n in range(500))
        for _ in range(megabytes * (1 << 20) // len(one)):
            query.conn.send(framer.write(one))
        query.conn.send(framer.finish(token_encoding.encode_done(tokens.DONE_COUNT, 1)))

    with tempfile.TemporaryDirectory() as folder:
        dispatcher = started(folder, [TdsEngine(answer)])
        time.sleep(0.3)
        before, began, size = dispatcher.memory(), time.monotonic(), 0
        client = RawClient(dispatcher.tds_port)
        client.batch(statement(n=1, limit=60_000))
        while True:
            if (found_ := client.assembler.next_packet()) is None:
                client.assembler.feed(client.sock.recv(1 << 18))
                continue
            size += len(found_[2])
            if found_[1] & packets.STATUS_EOM:
                break
        took = time.monotonic() - began
        more = dispatcher.memory() - before
        dispatcher.stop()
    return {
        "streamed_mb": size >> 20,
        "streaming_mb": round(more, 2),
        "streamed_mb_a_second": round(size / took / 1e6),
    }


def main():
    scale = 3 if "--full" in sys.argv else 1
    figures = {"mode": "full" if scale > 1 else "quick"} | idle() | streamed(100 if scale > 1 else 40)
    figures |= compared(scale)
    other = next((word.partition("=")[2] for word in sys.argv if word.startswith("--against=")), None)
    if other:
        figures |= against(other, 4 * scale)
    holds = (
        all(figures[f"tds_over_postgres_{n}"] >= WANTED["tds_over_postgres"] for n in (1, 16, 128))
        and figures["idle_kb"] <= WANTED["idle_kb"]
        and figures["streaming_mb"] <= WANTED["streaming_mb"]
    )
    return figures, holds


if __name__ == "__main__":
    sys.exit(conclude("tds", WANTED, main))
