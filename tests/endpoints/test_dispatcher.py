"""Tests a dispatcher with watched files: queries during drains, removals and overrides."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random

from bench_free import (
    STANDING,
    Client,
    Engine,
    Events,
    event,
    found,
    hit,
    rows,
    sqlstate,
    sse,
    statement,
    until,
)

from endpoints.support import ROOT, make_endpoints, replace_document
from wickvane import parts
from wickvane.endpoints.snapshot import Endpoint
from wickvane.events import EngineState
from wickvane.net.service import Service


class RunningService:
    """Runs a dispatcher's threads in this process, with the endpoint list from a file."""

    def __init__(
        self,
        path: str,
        extra_nodes: str = "",
        coordinator: Events | None = None,
        known: dict | None = None,
        engines: Iterable[Engine] = (),
    ) -> None:
        self.found = found(list(engines), coordinator or Events())
        if coordinator is None:
            del self.found["coordinator"]
        if known is not None:
            self.found["known"] = known
        extensions = parts.read_text(
            f'members {{ file "{path}"; still "20ms"; poll "100ms"\n{extra_nodes} }}'
        )
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), extensions)
        self.service.start()


def write(path: str, engines: dict[int, Engine], weights: dict[int, float] | None = None) -> None:
    """Replaces the document by one that lists the engines."""
    weights = weights or {}
    text = (
        "members {\n"
        + "".join(
            f'  engine "e{n}" address="{engine.address}" zone="dc" type="old" weight={weights.get(n, 1.0)}\n'
            for n, engine in engines.items()
        )
        + "}\n"
    )
    with open(f"{path}.new", "w") as file:
        file.write(text)
    os.replace(f"{path}.new", path)


def published(running: RunningService, name: str) -> Endpoint | None:
    """Returns the endpoint that the dispatcher has published under a name, None if there is none."""
    return running.service.parts[0].source.endpoint_list.rollout.published.get(name)


def test_queries_on_drained_or_removed_engines_get_one_answer(path: str) -> None:
    released = threading.Event()

    def answer_late(txn: bytes, words: list[bytes]) -> bytes:
        if words[0] == b"ASK":
            released.wait(20)
            return hit(txn)
        return b""

    engines = {n: Engine(answer_late) for n in range(3)}
    write(path, engines)
    running = RunningService(path, 'linger "20s"\nlimits { share-removed 1 past="note" }')
    clients = [Client(running) for _ in range(6)]
    for n, client in enumerate(clients):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=n, limit=15_000))
    until(lambda: sum(engine.came.qsize() for engine in engines.values()) == 6)
    reached = [n for n, engine in engines.items() if engine.came.qsize()]
    removed = reached[0]
    kept = next(n for n in engines if n != removed)
    drained = next(n for n in engines if n not in (removed, kept))
    write(path, {n: e for n, e in engines.items() if n != removed}, {drained: 0})
    until(
        lambda: (
            published(running, f"e{removed}") is not None
            and published(running, f"e{removed}").state == EngineState.DRAINING
            and published(running, f"e{drained}").state == EngineState.DRAINING
        )
    )
    before = {n: engines[n].came.qsize() for n in engines}
    time.sleep(0.2)
    more = [Client(running) for _ in range(4)]
    for n, client in enumerate(more):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=100 + n, limit=15_000))
    until(lambda: engines[kept].came.qsize() >= before[kept] + 1)
    time.sleep(0.2)
    assert engines[removed].came.qsize() == before[removed]
    assert engines[drained].came.qsize() == before[drained]
    released.set()
    for client in clients + more:
        answer = client.until_ready()
        assert rows(answer) and sqlstate(answer) is None
    until(lambda: published(running, f"e{removed}") is None)
    assert published(running, f"e{drained}").state == EngineState.DRAINING
    write(path, {n: e for n, e in engines.items() if n != removed})
    until(lambda: published(running, f"e{drained}").state == EngineState.READY)
    assert rows(Client(running).ask(statement(n=900)))


def test_file_overrides_outlast_the_coordinators_stream(path: str) -> None:
    engines = {n: Engine() for n in range(3)}
    coordinator = Events()
    with open(path, "w") as file:
        file.write('members { engine "e0" weight=0 }')
    entries = [
        {
            "name": f"e{n}",
            "address": e.address,
            "zone": "dc",
            "type": "old",
            "group": 0,
            "status": "Ready",
            "weight": 1,
            "since_ms": 0,
        }
        for n, e in engines.items()
    ]
    running = RunningService(
        path,
        "overrides #true",
        coordinator,
        {"index": 1, "updates": [event(1, *entries, snapshot=True)]},
        engines.values(),
    )
    assert (
        published(running, "e0").state == EngineState.DRAINING
        and published(running, "e1").state == EngineState.READY
    )
    coordinator.next("connected")
    coordinator.send.put(sse(2, event(2, entries[1] | {"status": "Terminating"})))
    until(lambda: published(running, "e1").state == EngineState.DRAINING)
    coordinator.send.put(None)
    with open(path, "w") as file:
        file.write('members { engine "e0" weight=1; engine "e1" weight=1 }')
    until(lambda: published(running, "e0").state == EngineState.READY)
    assert published(running, "e1").state == EngineState.DRAINING  # the coordinator still drains it
    assert rows(Client(running).ask(statement(n=1)))


def test_check_needs_no_coordinator_with_watched_files(path: str, tmp_path: Path) -> None:
    replace_document(path, make_endpoints(2))
    config = found([], Events())
    del config["coordinator"]
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "parts.kdl").write_text(f'members {{ file "{path}" }}')
    arguments = ["check", f"--config={tmp_path}/config.json", f"--parts={tmp_path}/parts.kdl"]
    process = subprocess.run(
        [sys.executable, "-m", "wickvane", *arguments], cwd=ROOT, capture_output=True, timeout=60
    )
    assert process.returncode == 0, process.stderr
    process = subprocess.run(
        [sys.executable, "-m", "wickvane", *arguments[:2]],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={k: v for k, v in os.environ.items() if k != "WICKVANE_PARTS"},
    )
    assert process.returncode == 2 and b"coordinator" in process.stderr


def test_no_query_is_lost_while_valid_and_invalid_documents_replace_each_other(path: str) -> None:
    random = Random(4)
    engines = {n: Engine() for n in range(5)}
    write(path, engines)
    running = RunningService(path, 'linger "5s"\nlimits { share-removed 1 past="note" }')
    ended = threading.Event()
    answers = []

    def ask_until_ended(k: int) -> None:
        client = Client(running)
        n = 0
        while not ended.is_set():
            n += 1
            text = statement(f"SELECT 1 FROM sales_{n % 7}.t", n=k * 100_000 + n)
            answers.append(sqlstate(client.ask(text)))

    threads = [threading.Thread(target=ask_until_ended, args=(k,)) for k in range(1, 5)]
    for thread in threads:
        thread.start()
    for n in range(40):
        if n % 4 == 3:
            with open(path, "w") as file:
                file.write(random.choice(["members {", "", "members { engine }", "members {}"]))
        else:
            listed = dict(random.sample(sorted(engines.items()), random.randrange(2, 6)))
            write(path, listed, {min(listed): random.choice([0, 1.0])} if len(listed) > 2 else None)
        time.sleep(0.05)
    ended.set()
    for thread in threads:
        thread.join(30)
    assert len(answers) > 100 and not [answer for answer in answers if answer is not None]
