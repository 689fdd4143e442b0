"""Generated faults, the same for each protocol and for a mixed pool of engines."""

import random
import time
from collections.abc import Callable
from threading import Thread
from typing import NamedTuple

import pytds
import pytest
from bench_free import Client, Engine, Events, event, hit, reset, sqlstate, sse, statement
from rules import Figures, Seen
from standins.tds_engine import Query, TdsEngine, result

from tds.helpers import Dispatcher, ask, engine_entries
from wickvane.net.tds import errors, token_encoding, tokens

WORK = {"lookup": 0.05, "load": 0.2, "change": 0.2}
QUERIES = 60
FAULTS = ("answer", "turned-away", "error", "reset", "silent")
FAULT_WEIGHTS = (8, 1, 1, 1, 1)
OBLIGATIONS = {
    "budget_window_ms": 5000.0,
    "extra_free": 3.0,
    "further_ratio": 0.1,
    "cold_from": 0.3,
    "cold_ms": 15000.0,
    "fall_multiple": 2.5,
    "fall_ms": 3000.0,
}


class ScriptedQuery(NamedTuple):
    """A query's start in seconds, its group and key, and the fault of each attempt after `delay` seconds."""

    at: float
    group: str
    key: int | None
    faults: list[str]
    delay: float


def generated_script(seed: int) -> dict[int, ScriptedQuery]:
    rng = random.Random(seed)
    script = {}
    for n in range(1, QUERIES + 1):
        faults = [rng.choices(FAULTS, FAULT_WEIGHTS)[0] for _ in range(6)]
        group = rng.choices(("lookup", "load", "change"), (6, 2, 2))[0]
        key = rng.randrange(2) if group == "load" else None
        script[n] = ScriptedQuery(n * 0.03, group, key, faults, rng.uniform(0.0, 0.05))
    return script


def error_tokens(number: int, text: str) -> bytes:
    message = token_encoding.encode_message(tokens.ERROR, number, 1, 16, text)
    return message + token_encoding.encode_done(tokens.DONE_ERROR)


class LineEngine(Engine):
    """An engine of the line protocol; fault: returns an attempt's fault, given engine name and query id."""

    def __init__(self, fault: Callable[[str, str], str]) -> None:
        self.fault = fault
        super().__init__()

    def serve(self, conn, lines) -> None:
        for line in lines:
            words = line.split()
            if words[0] == b"ASK":
                lines.read(int(words[3]) + 2)
                Thread(target=self.answer_query, args=(conn, words[1]), daemon=True).start()

    def answer_query(self, conn, txn: bytes) -> None:
        fault = self.fault(self.name, txn.decode())
        answers = {
            "answer": hit(txn),
            "turned-away": b"%b SHED - 0\r\n\r\n" % txn,
            "error": b"%b FAULT - 0\r\n\r\n" % txn,
        }
        try:
            if fault == "reset":
                reset(conn)
            elif fault != "silent":
                conn.sendall(answers[fault])
        except OSError:
            pass


class FaultRun:
    """Runs one script of queries and faults on engines of given types, by clients of given protocols."""

    def __init__(self, seed: int, client_protocols: list[str], engine_types: list[str]) -> None:
        self.script = generated_script(seed)
        self.client_protocols = client_protocols
        self.engine_types = engine_types
        self.attempts: dict[int, int] = {}
        self.seen = Seen(
            Figures(
                {"lookup": "read-only", "load": "tokened", "change": "mutating"},
                ordered=("load",),
                budget=(3, 0.1, 5.0),
                cores={"old": 8, "mssql": 8},
                cold=(0.3, 15.0, 2.5, 3.0),
                work=WORK,
            )
        )
        self.engines = [self._engine(n, engine_type) for n, engine_type in enumerate(engine_types)]
        self.coordinator = Events()
        self.entries = engine_entries(self.engines[:4])
        for list_entry, engine_type in zip(self.entries, engine_types):
            list_entry["type"] = engine_type
        self.dispatcher = Dispatcher(
            coordinator=self.coordinator,
            known_engines=self.entries,
            extra_nodes="lines-take-tds #true",
            engine_nodes='user "w"; takes-postgres #true',
            obligations=OBLIGATIONS,
        )
        self.coordinator.next("connected")
        self.started_at = 0.0

    def _engine(self, n: int, engine_type: str) -> Engine | TdsEngine:
        name = f"e{n}"
        engine = LineEngine(self.fault) if engine_type == "old" else TdsEngine(self._tds_answers(name))
        engine.name = name
        self.seen.listed(0.0, engine.name, "ready", engine_type)
        return engine

    def fault(self, name: str, id: str) -> str:
        """Returns the fault of an attempt on an engine after the delay of its query."""
        n = int(id, 16)
        attempt_index = self.seen.submitted(time.time(), id, name)
        self.attempts[n] = self.attempts.get(n, 0) + 1
        time.sleep(self.script[n].delay)
        fault = self.script[n].faults[min(self.attempts[n], 6) - 1]
        if fault != "silent":
            self.seen.ended(time.time(), attempt_index, {"answer": "finished"}.get(fault, fault))
        return fault

    def _tds_answers(self, name: str) -> Callable[[Query], bytes | None]:
        def answer(query: Query) -> bytes | None:
            fault = self.fault(name, query.id)
            if fault == "reset":
                reset(query.conn.sock)
            elif fault != "silent":
                return {
                    "answer": result((1, "a")),
                    "turned-away": error_tokens(10929, "busy"),
                    "error": error_tokens(8134, "zero"),
                }[fault]
            return None

        return answer

    def run_client(self, n: int) -> None:
        """Sends one query of the script and records its answer."""
        query = self.script[n]
        client_protocol = self.client_protocols[n % len(self.client_protocols)]
        extra_fields = {"unique": f"t{n}"} if query.group == "load" else {}
        if query.key is not None:
            extra_fields["item"] = f"k{query.key}"
        text = statement(f"SELECT 1 FROM sales_{n % 5}.t", verb=query.group, n=n, limit=3000, **extra_fields)
        id = f"{n:016x}"
        connection = self.dispatcher.connect() if client_protocol == "tds" else Client(self.dispatcher)
        time.sleep(max(0.0, self.started_at + query.at - time.time()))
        self.seen.taken(time.time(), id, query.group, 3.0, query.key)
        answer = (
            tds_answer(connection, text) if client_protocol == "tds" else postgres_answer(connection, text)
        )
        self.seen.answered(time.time(), id, answer)

    def run(self) -> tuple:
        """Runs the script; returns the rule checker's breaches and the counts of what it checked."""
        self.started_at = time.time() + 0.5
        threads = [Thread(target=self.run_client, args=(n,), daemon=True) for n in self.script]
        for thread in threads:
            thread.start()
        self._change_engines()
        for thread in threads:
            thread.join(20)
        time.sleep(0.2)
        return self.seen.breaches()

    def _change_engines(self) -> None:
        """Drains an engine with queries in flight, silences another one and adds a cold one."""
        time.sleep(max(0.0, self.started_at + 0.6 - time.time()))
        self.coordinator.send.put(sse(2, event(2, self.entries[1] | {"status": "Terminating"})))
        self.seen.listed(time.time(), "e1", "draining", self.engine_types[1])
        time.sleep(0.4)
        self._silence(self.engines[2])
        cold = engine_entries(self.engines)[4]
        cold |= {"type": self.engine_types[4], "since_ms": int(time.time() * 1000)}
        self.coordinator.send.put(sse(3, event(3, cold)))
        self.seen.listed(time.time(), "e4", "ready", self.engine_types[4], started=time.time())

    def _silence(self, engine: Engine | TdsEngine) -> None:
        if isinstance(engine, LineEngine):
            engine.answers = lambda *words: None
            engine.answer_query = lambda conn, txn: self.seen.submitted(time.time(), txn.decode(), "e2")
        else:
            engine.answers = lambda query: self.seen.submitted(time.time(), query.id, "e2") and None


def tds_answer(connection: pytds.Connection, text: str) -> str:
    try:
        ask(connection, text)
    except pytds.Error as error:
        return {errors.DEFERRED: "deferred", errors.KILLED: "killed"}[error.number]
    return "finished"


def postgres_answer(connection: Client, text: str) -> str:
    code = sqlstate(connection.ask(text))
    return "finished" if code is None else "deferred" if code.startswith("53") else "killed"


POOLS = {
    "lines": (["postgres"], ["old"] * 5),
    "tds": (["tds"], ["mssql"] * 5),
    "mixed": (["postgres", "tds"], ["old", "mssql", "mssql", "old", "mssql"]),
}


@pytest.mark.parametrize("pool", POOLS)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_generated_run_of_faults_breaks_no_rule_on_any_engine_pool(seed, pool):
    breaches, counts = FaultRun(seed, *POOLS[pool]).run()
    assert not breaches
    # Each pool is checked for one answer and one effect of every query, whatever the protocols are.
    assert counts[1] == counts[2] == 60 and counts[3] == counts[6] >= 60
