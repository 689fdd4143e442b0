"""A mutating batch of two statements is run a second time after the second statement got no memory."""

import secrets
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402 (the path comes first)
import tds2  # noqa: E402

PARTS = """tds {
    listen "127.0.0.1:%d"
    connections 64
    engines "mssql-8" {
        user "wickvane"
    }
}
"""
ENGINES = ("e0", "e1", "e2", "e3", "e4", "e5")
MEMORY_WAIT_S = 0.5  # how long a statement stands in the line for memory
BATCHES = 40


class Pool:
    """The effects of all batches, and which engine has no memory left."""

    def __init__(self, case):
        self.case = case
        self.lock = threading.Lock()
        self.effects = {}  # by batch: the engines on which its first statement ran
        self.memory_used_up = {"e2"} if case.trouble else set()

    def work(self, engine, query, text):
        """Runs a batch: its first statement needs no grant, its second one waits for one."""
        mark = text.split("batch = ")[1].split()[0]
        with self.lock:
            self.effects.setdefault(mark, []).append(engine.name)
        self.case.note(f"{engine.name}: {query}: statement 1 of batch {mark} RUNS")
        answer = tds2.done(tds2.DONE_MORE | tds2.DONE_COUNT, 1)
        if engine.name in self.memory_used_up:
            time.sleep(MEMORY_WAIT_S)
            text = "A timeout occurred while waiting for memory resources to execute the query."
            self.case.note(f"{engine.name}: {query}: statement 2 of batch {mark}: ERROR 8645")
            return answer + tds2.error(8645, 17, text) + tds2.done(tds2.DONE_ERROR)
        time.sleep(0.05)
        return answer + tds2.done(tds2.DONE_COUNT, 20)


def work(case):
    """The case: batches of one group of tables after another, before five engines."""
    pool = Pool(case)
    engines = [tds2.TdsEngine(name, pool.work) for name in ENGINES]
    coordinator = kit2.Coordinator(case, [kit2.entry(e.name, e.address, kind="mssql-8") for e in engines])
    group = kit2.resource_group(
        "scada-load", "unsafe", promise_ms=3000.0, deadline_ms=20000.0, aim_stretch=3.0, worth=5.0
    )
    found = kit2.settings([group], kinds=["mssql-8"], threads=[2])
    port = kit2.free_port()
    parts = case.temporary / "parts.kdl"
    parts.write_text(PARTS % port)
    kit2.start_dispatcher(case, kit2.configuration(coordinator, coordinator.known(), found), parts)
    client = tds2.TdsClient(port)
    for number in range(BATCHES):
        mark = f"b{number}"
        text = (
            f"/* verb=scada-load,txn={secrets.token_hex(8)},limit=20000,team=north,cpu=100.0,memory=96 */ "
            f"INSERT INTO sales_{number}.journal SELECT * FROM staging.lines WHERE batch = {mark} ; "
            f"INSERT INTO sales_{number}.sums SELECT day, sum(n) FROM sales_{number}.journal GROUP BY day"
        )
        errors = client.batch(text)
        case.note(f"client: batch {mark}: " + (f"error {errors}" if errors else "finished"))
    for mark, ran_on in sorted(pool.effects.items()):
        if len(ran_on) > 1:
            case.broken(f"statement 1 of the mutating batch {mark} ran on {' and '.join(ran_on)}")
    if len(pool.effects) < BATCHES:
        raise kit2.CannotRunError(f"{len(pool.effects)} of {BATCHES} batches came to an engine")


kit2.run_case(HERE, work)
