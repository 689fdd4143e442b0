"""A generated run of faults, the same on each protocol and on a mixed pool of engines."""

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
    """When a query is asked (seconds), its group and key, and what each attempt meets after `delay` s."""

    at: float
    group: str
    key: int | None
    faults: list[str]
    delay: float


def generated_script(seed: int) -> dict[int, ScriptedQuery]:
    chance = random.Random(seed)
    script = {}
    for n in range(1, QUERIES + 1):
        faults = [chance.choices(FAULTS, FAULT_WEIGHTS)[0] for _ in range(6)]
        group = chance.choices(("lookup", "load", "change"), (6, 2, 2))[0]
        key = chance.randrange(2) if group == "load" else None
        script[n] = ScriptedQuery(n * 0.03, group, key, faults, chance.uniform(0.0, 0.05))
    return script


def error_tokens(number: int, text: str) -> bytes:
    message = token_encoding.encode_message(tokens.ERROR, number, 1, 16, text)
    return message + token_encoding.encode_done(tokens.DONE_ERROR)


class LineEngine(Engine):
    """An engine of the line protocol; fault: what an attempt meets, by engine name and query id."""

    def __init__(self, fault: Callable[[str, str], str]) -> None:
        self.fault = fault
        super().__init__()

    def serve(self, conn, lines) -> None:
        for line in lines:
            words = line.split()
            if words[0] == b"ASK":
                lines.read(int(words[3]) + 2)
                Thread(target=self.one, args=(conn, words[1]), daemon=True).start()

    def one(self, conn, txn: bytes) -> None:
        what = self.fault(self.name, txn.decode())
        answers = {
            "answer": hit(txn),
            "turned-away": b"%b SHED - 0\r\n\r\n" % txn,
            "error": b"%b FAULT - 0\r\n\r\n" % txn,
        }
        try:
            if what == "reset":
                reset(conn)
            elif what != "silent":
                conn.sendall(answers[what])
        except OSError:
            pass


class FaultRun:
    """One script of queries and faults, played on engines of these types by clients of these protocols."""

    def __init__(self, seed: int, fronts: list[str], kinds: list[str]) -> None:
        self.script = generated_script(seed)
        self.fronts = fronts
        self.kinds = kinds
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
        self.engines = [self._engine(n, kind) for n, kind in enumerate(kinds)]
        self.coordinator = Events()
        self.entries = engine_entries(self.engines[:4])
        for one, kind in zip(self.entries, kinds):
            one["type"] = kind
        self.dispatcher = Dispatcher(
            coordinator=self.coordinator,
            known_=self.entries,
            more="lines-take-tds #true",
            engine_body='user "w"; takes-postgres #true',
            obligations=OBLIGATIONS,
        )
        self.coordinator.next("connected")
        self.began = 0.0

    def _engine(self, n: int, kind: str) -> Engine | TdsEngine:
        name = f"e{n}"
        engine = LineEngine(self.fault) if kind == "old" else TdsEngine(self._tds_answers(name))
        engine.name = name
        self.seen.listed(0.0, engine.name, "ready", kind)
        return engine

    def fault(self, name: str, id: str) -> str:
        """What an attempt on an engine meets, once its delay is over."""
        n = int(id, 16)
        place = self.seen.submitted(time.time(), id, name)
        self.attempts[n] = self.attempts.get(n, 0) + 1
        time.sleep(self.script[n].delay)
        what = self.script[n].faults[min(self.attempts[n], 6) - 1]
        if what != "silent":
            self.seen.ended(time.time(), place, {"answer": "finished"}.get(what, what))
        return what

    def _tds_answers(self, name: str) -> Callable[[Query], bytes | None]:
        def answer(query: Query) -> bytes | None:
            what = self.fault(name, query.id)
            if what == "reset":
                reset(query.conn.sock)
            elif what != "silent":
                return {
                    "answer": result((1, "a")),
                    "turned-away": error_tokens(10929, "busy"),
                    "error": error_tokens(8134, "zero"),
                }[what]
            return None

        return answer

    def client(self, n: int) -> None:
        """Asks one query of the script, and notes its answer."""
        query = self.script[n]
        front = self.fronts[n % len(self.fronts)]
        more = {"unique": f"t{n}"} if query.group == "load" else {}
        if query.key is not None:
            more["item"] = f"k{query.key}"
        text = statement(f"SELECT 1 FROM sales_{n % 5}.t", verb=query.group, n=n, limit=3000, **more)
        id = f"{n:016x}"
        connection = self.dispatcher.connect() if front == "tds" else Client(self.dispatcher)
        time.sleep(max(0.0, self.began + query.at - time.time()))
        self.seen.taken(time.time(), id, query.group, 3.0, query.key)
        answer = tds_answer(connection, text) if front == "tds" else postgres_answer(connection, text)
        self.seen.answered(time.time(), id, answer)

    def play(self) -> tuple:
        """The checker's breaches and what it checked."""
        self.began = time.time() + 0.5
        threads = [Thread(target=self.client, args=(n,), daemon=True) for n in self.script]
        for thread in threads:
            thread.start()
        self._change_engines()
        for thread in threads:
            thread.join(20)
        time.sleep(0.2)
        return self.seen.breaches()

    def _change_engines(self) -> None:
        """A drain with queries running, an engine that vanishes silently, then a cold one comes."""
        time.sleep(max(0.0, self.began + 0.6 - time.time()))
        self.coordinator.send.put(sse(2, event(2, self.entries[1] | {"status": "Terminating"})))
        self.seen.listed(time.time(), "e1", "draining", self.kinds[1])
        time.sleep(0.4)
        self._silence(self.engines[2])
        cold = engine_entries(self.engines)[4]
        cold |= {"type": self.kinds[4], "since_ms": int(time.time() * 1000)}
        self.coordinator.send.put(sse(3, event(3, cold)))
        self.seen.listed(time.time(), "e4", "ready", self.kinds[4], started=time.time())

    def _silence(self, engine: Engine | TdsEngine) -> None:
        if isinstance(engine, LineEngine):
            engine.answers = lambda *words: None
            engine.one = lambda conn, txn: self.seen.submitted(time.time(), txn.decode(), "e2")
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
def test_a_generated_run_of_faults_keeps_the_rules_on_each_protocol_and_on_a_mixed_pool(seed, pool):
    found_, counts = FaultRun(seed, *POOLS[pool]).play()
    assert not found_
    # The same is looked at on each: every query's one answer and effect, whatever it came and went by.
    assert counts[1] == counts[2] == 60 and counts[3] == counts[6] >= 60
