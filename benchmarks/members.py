"""Membership from files: how soon a change is known, what it costs by the length of the list, and whether any
query is lost over valid and invalid swaps.

    python -m benchmarks.members [--quick | --full]

Times are from the rename to the module's having heard of it, through the real Service. The last line is one
JSON object.
"""

import json
import os
import resource
import sys
import tempfile
import threading
import time
from random import Random

from benchmarks import conclude

WANTED = {
    "known_ms_worst_at_1000": 1000.0,
    "queries_lost": 0,
    "rules_broken": 0,
    "invalid_unnamed": 0,
    "told_a_change": 1,
}
BAD = {
    "members {": "no-document",
    "": "no-document",
    "\xff": "not-utf8",
    "members { engine }": "no-document",
    'members { engine "a" address="1.2.3.4:1" weight=-1 }': "weight-wrong",
    "members {}": "empty",
    'members { include "x" }': "unknown-node",
    'members { engine "a" address="x" }': "value-wrong",
}


def text_of(rows):
    return json.dumps(
        {
            "engines": [
                {"name": name, "address": address, "zone": "dc", "type": "old", "weight": weight}
                for name, address, weight in rows
            ]
        }
    )


def kdl_of(rows):
    return (
        "members {\n"
        + "".join(
            f'  engine "{name}" address="{address}" zone="dc" type="old" weight={weight}\n'
            for name, address, weight in rows
        )
        + "}\n"
    )


def put(path, text):
    with open(f"{path}.new", "wb") as file:
        file.write(text.encode("latin-1"))
    os.replace(f"{path}.new", path)


def service(path, state=None, more=""):
    sys.path.insert(0, "tests")
    from bench_free import Events, found

    from wickvane import parts
    from wickvane.net.service import Service

    word = "directory" if os.path.isdir(path) else "file"
    kept = f'state "{state}"' if state else ""
    document = parts.read_text(f'members {{ {word} "{path}"; {kept}\n{more} }}')
    log = tempfile.TemporaryFile()
    made = Service(found([], Events()), log.fileno(), document)
    made.kept_log = log
    made.start()
    return made


def until(holds, seconds=30):
    by = time.perf_counter() + seconds
    while time.perf_counter() < by:
        if holds():
            return time.perf_counter()
        time.sleep(0.0005)
    raise RuntimeError("not in time")


def memory():
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def sized(count, changes):
    """In a process of its own: changes of one engine's weight in a list of so many."""
    with tempfile.TemporaryDirectory() as folder:
        rows = [[f"e{n}", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:5001", 1.0] for n in range(count)]
        path, began = os.path.join(folder, "m.json"), memory()
        put(path, text_of(rows))
        made = service(path, os.path.join(folder, "state"))
        scheduler, index = made.decider.scheduler, made.registry.engines.index_of
        until(lambda: len(index) >= count)
        took, cpu, told = [], [], []
        chance = Random(1)
        for _ in range(changes):
            row = chance.choice(rows)
            row[2] = chance.choice([w for w in (0.5, 0.75, 1.0) if w != row[2]])
            want = 8 * row[2]
            text = text_of(rows)
            time.sleep(chance.uniform(0.0, 0.3))
            before, spent = made.counters.shown()["members-entries-told"], time.process_time()
            began_at = time.perf_counter()
            put(path, text)
            known = until(lambda e=index[row[0]], want=want: scheduler.engines.cores[e] == want)
            took.append((known - began_at) * 1000)
            cpu.append((time.process_time() - spent) * 1000)
            told.append(made.counters.shown()["members-entries-told"] - before)
        took.sort()
        return {
            "median_ms": round(took[len(took) // 2], 1),
            "p99_ms": round(took[int(len(took) * 0.99)], 1),
            "worst_ms": round(took[-1], 1),
            "cpu_ms": round(sorted(cpu)[len(cpu) // 2], 1),
            "told": max(told),
            "memory_kb": memory() - began,
        }


def decided(count, changes=300):
    """Milliseconds of CPU that one engine's change costs from the snapshot on, with its records; no file."""
    from wickvane.endpoints.change_policy import ChangePolicy
    from wickvane.endpoints.effects import AppendRecord
    from wickvane.endpoints.endpoint_list import EndpointList
    from wickvane.endpoints.records import encode_record
    from wickvane.endpoints.snapshot import Endpoint, make_snapshot, update_snapshot
    from wickvane.endpoints.topology import GroupPlacement, Topology

    topology = Topology({"old": 8}, None, (GroupPlacement("lookup", None, None),), 0.3, 150_000)
    snapshot = make_snapshot(0, [Endpoint(f"e{n}", ("10.0.0.1", n + 1), None, "old") for n in range(count)])
    endpoint_list = EndpointList(topology, ChangePolicy())
    endpoint_list.submit(1_000_000, snapshot, None)
    endpoint_list.take_effects()
    began = time.process_time()
    for n in range(changes):
        name = f"e{n % count}"
        endpoint = snapshot.endpoints[name]
        weight = 0.5 if endpoint.weight == 1.0 else 1.0
        snapshot = update_snapshot(snapshot, 0, [endpoint._replace(weight=weight)])
        endpoint_list.submit(1_000_000 + n, snapshot, None)
        for effect in endpoint_list.take_effects():
            if isinstance(effect, AppendRecord):
                encode_record(effect.record)
    return round((time.process_time() - began) * 1000 / changes, 4)


def swaps(count):
    """Queries lost, rules broken, and invalid files without their code, over random swaps under load."""
    sys.path.insert(0, "tests")
    from bench_free import Client, Engine, sqlstate, statement
    from rules import Figures, Seen

    chance, engines = Random(7), {f"e{n}": Engine() for n in range(6)}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "m.kdl")
        put(path, kdl_of((name, e.address, 1.0) for name, e in engines.items()))
        made = service(path, None, 'still "20ms"; linger "5s"\nlimits { share-removed 1 past="note" }')
        seen, lock = Seen(Figures({0: "read-only"}, grace=2.0)), threading.Lock()
        began = time.monotonic()
        source = made.parts[0].source
        made.found = {"listen": "{}:{}".format(*made.address)}
        listed = source.sink

        def told(number, whole, entries, back):
            with lock:
                for name, _, state, *_ in entries:
                    # Taken off and listed again, it is another entry under the name.
                    word = ("back" if name in back or name in gone else "ready", "draining", "gone")[state]
                    gone.discard(name) if state != 2 else gone.add(name)
                    seen.listed(time.monotonic() - began, name, word, "old")
            listed(number, whole, entries, back)

        source.sink = told
        gone = set()
        ended, answers = threading.Event(), []
        for name, engine in engines.items():

            def answered(txn, words, name=name, plain=engine.answers):
                if words[0] == b"ASK":
                    with lock:
                        number = seen.submitted(time.monotonic() - began, int(txn, 16), name)
                        seen.ended(time.monotonic() - began, number, "finished")
                return plain(txn, words)

            engine.answers = answered

        def asks(k):
            client, n = Client(made), 0
            while not ended.is_set():
                n += 1
                number = k * 1_000_000 + n
                with lock:
                    seen.taken(time.monotonic() - began, number, 0, 5.0)
                said = sqlstate(client.ask(statement(f"SELECT 1 FROM sales_{n % 9}.t", n=number)))
                with lock:
                    seen.answered(
                        time.monotonic() - began, number, "finished" if said is None else "deferred"
                    )
                answers.append(said)
                time.sleep(0.004)

        threads = [threading.Thread(target=asks, args=(k,)) for k in range(1, 4)]
        for thread in threads:
            thread.start()
        unnamed = 0
        for _ in range(count):
            if chance.random() < 0.3:
                text, code = chance.choice(sorted(BAD.items()))
                source.endpoint_list.last_rejection = None
                put(path, text)
                try:
                    until(
                        lambda code=code: (
                            (rejection := source.endpoint_list.last_rejection) and code in rejection.codes
                        ),
                        2,
                    )
                except RuntimeError:
                    unnamed += 1
            else:
                some = chance.sample(sorted(engines), chance.randrange(2, 7))
                rows = [
                    (name, engines[name].address, chance.choice([0, 0.5, 1.0]) if n_ > 1 else 1.0)
                    for n_, name in enumerate(some)
                ]
                put(path, kdl_of(rows))
                time.sleep(chance.choice([0.0, 0.02, 0.05]))
        ended.set()
        for thread in threads:
            thread.join(30)
        found, checked = seen.breaches()
        lost = [answer for answer in answers if answer is not None]
        return {
            "asked": len(answers),
            "lost": len(lost),
            "broken": len(found),
            "unnamed": unnamed,
            "checked": sum(checked.values()),
        }


DAY = """rehearsal {{
    length "60s"
    gateways {gateways}
    engines "e" count={engines} cores=4 disks=4
    group "lookup" {{ work "100ms"; promise "600ms"; timeout "2s" }}
    clients "a" {{ group "lookup"; rate {rate}; retries 2; back-off "200ms" }}
    budget free=3 share=0.1 window="5s"
    lists "{lists}"
    trouble "deploy" at="8s" for="30s" part=0.9 size=3
}}"""


def deploys(seeds):
    """A rolling deploy in virtual time, the list by stream and by file: service by size, seed; breaches."""
    from wickvane.rehearsal import script as scripts
    from wickvane.rehearsal.world import play

    found = {}
    for gateways, engines in ((1, 8), (30, 9)):
        for lists in ("stream", "file"):
            text = DAY.format(gateways=gateways, engines=engines, rate=0.6 * engines * 40, lists=lists)
            days = [play(scripts.read_text(text), seed, False) for seed in range(1, seeds + 1)]
            found[f"{gateways}x{engines}_{lists}"] = [
                [round(day.service(), 3) for day in days],
                sum(len(day.breaches) for day in days),
            ]
    return found


def alone(words):
    """A measurement in a process of its own, so that memory and threads are its own."""
    import subprocess

    made = subprocess.run(
        [sys.executable, "-m", "benchmarks.members", *words], capture_output=True, timeout=900
    )
    if made.returncode:
        raise RuntimeError(made.stderr.decode()[-500:])
    return json.loads(made.stdout.splitlines()[-1])


def main():
    full = "--full" in sys.argv
    figures = {"mode": "full" if full else "quick"}
    for count in (10, 100, 1000, 10_000):
        figures[f"engines_{count}"] = alone(["sized", str(count), "100" if full else "12"])
        figures[f"decided_ms_{count}"] = alone(["decided", str(count)])
    figures["deploys"] = days = alone(["deploys", "5" if full else "2"])
    figures["swaps"] = found = alone(["swaps", "1000" if full else "150"])
    figures["cost_10000_over_100"] = round(figures["decided_ms_10000"] / figures["decided_ms_100"], 2)
    holds = (
        figures["engines_1000"]["worst_ms"] <= WANTED["known_ms_worst_at_1000"]
        and not found["lost"]
        and not found["broken"]
        and not found["unnamed"]
        and not any(broken for _, broken in days.values())
        and all(figures[f"engines_{n}"]["told"] == 1 for n in (10, 100, 1000, 10_000))
    )
    figures["memory_most_kb"] = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss
    return figures, holds


if __name__ == "__main__":
    if sys.argv[1:2] in (["sized"], ["decided"], ["swaps"], ["deploys"]):
        work = {"sized": sized, "decided": decided, "swaps": swaps, "deploys": deploys}[sys.argv[1]]
        print(json.dumps(work(*map(int, sys.argv[2:]))), flush=True)
        os._exit(0)
    sys.exit(conclude("members", WANTED, main))
