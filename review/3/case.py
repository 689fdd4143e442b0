"""Loads of one key must run in the order in which the dispatcher took them, also after it stood still.

A quiet dispatcher stands still again and again (SIGSTOP, SIGCONT), as ras-ghareb's do. While it does, some
clients connect; one of them writes a load right behind its start-up message, and later another client writes
the next load of the same key on its open session. Each load replaces the value of its key on the engines.
"""

import signal
import sys
import time
from pathlib import Path
from threading import Lock, Thread

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    STARTUP,
    CannotRunError,
    Coordinator,
    Dispatcher,
    Engine,
    Session,
    run_case,
    simple_query,
    statement,
)

# As the site files of ras-ghareb-data have them; a range is taken at a value inside it.
SETTINGS = {
    "classes": [
        {
            "name": "lookup",
            "effect": "safe",
            "promise_ms": 1500.0,
            "deadline_ms": 7500.0,
            "aim_stretch": 2.0,
            "worth": 1.0,
            "late_worth": 0.0,
        },
        {
            "name": "scada-load",
            "effect": "keyed",
            "group": "all",
            "promise_ms": 3000.0,
            "deadline_ms": 20000.0,
            "aim_stretch": 3.0,
            "worth": 5.0,
            "late_worth": 0.5,
            "repeat_window_ms": 12000.0,
            "sequential": True,
        },
    ],
    "accounts": [
        {"name": "sahel-wind", "share": 0.59, "quota_per_s": 52.0},
        {"name": "red-coast-power", "share": 0.31, "quota_per_s": 27.0},
        {"name": "wadi-energy", "share": 0.1, "quota_per_s": 9.0},
    ],
    "az": "hurghada-dc",
    "zones": ["hurghada-dc"],
    "host_types": ["old-rack-8", "new-rack-8"],
    "fleet_size": 1,
    "family_info": {
        "size_cores": [8, 8],
        "size_mb": [16384.0, 16384.0],
        "class_threads": [1, 2],
        "writes_tables": [False, True],
        "priorities": True,
        "tells_cost": True,
    },
    "limits": {
        "cancel": True,
        "conn_idle_ms": 30000.0,
        "dial_timeout_ms": 250.0,
        "max_attempts": 5,
        "streams_per_conn": 100,
        "second_copies": False,
    },
    "obligations": {
        "answer_slack_ms": 20.0,
        "stop_sending_within_ms": 2000.0,
        "cold_from": 0.3,
        "cold_ms": 15000.0,
        "fall_multiple": 2.5,
        "fall_ms": 3000.0,
        "extra_free": 3.0,
        "further_ratio": 0.1,
        "budget_window_ms": 5000.0,
        "key_rest_ms": 300.0,
    },
}
STALLS, STALL_S, PERIOD_S = 12, 1.6, 3.0  # LATER, part 1: stalls of 1,500 to 2,000 ms every 2.5 to 4 s
CONNECTING = 8  # clients that connect during a stall and wait for the dispatcher before they ask
FIRST_AT_S = 0.9  # within a stall, when the first load is written
SECOND_BEFORE_END_S = (0.01, 0.02, 0.005, 0.04, 0.08, 0.16)  # in turn, when the second one is
LOOKUP_S, LOAD_S = 0.05, 0.3
MIN_GAP_S = 0.25  # PROTOCOL: requests of one key, after one that came on a new connection


class Store:
    """The data that all engines share: a value for each key, which each load replaces."""

    def __init__(self, record):
        self.record, self.lock, self.values, self.known = record, Lock(), {}, set()

    def handle(self, ask):
        """An engine's work on one request."""
        words = ask.body.decode().split()
        if ask.fields["queue"] == "lookup":
            time.sleep(LOOKUP_S)
            with self.lock:
                value = self.values.get(words[-1].strip("'"), "none")
            return "HIT", f"{value}\t\t\n".encode()
        if ask.given_up.wait(LOAD_S):
            return None
        with self.lock:
            if ask.token not in self.known:  # a repeat is dropped
                self.known.add(ask.token)
                self.values[words[-2].strip("'")] = words[-1].strip("'")
        self.record.line(ask.engine.name, "loaded", key=words[-2], value=words[-1])
        return "HIT", b"loaded\t\t\n"


class Clients:
    """The clients of one dispatcher."""

    def __init__(self, record, dispatcher):
        self.record, self.dispatcher, self.number, self.lock = record, dispatcher, 0, Lock()

    def text(self, verb, body, **fields):
        """A statement with a new id."""
        with self.lock:
            self.number += 1
            txn = f"{self.number:016x}"
        limit = 7500 if verb == "lookup" else 20000
        return txn, statement(verb, txn, limit, body, team="sahel-wind", **fields)

    def load(self, key, value):
        """The id and the statement of a load."""
        body = f"INSERT INTO scada_3.readings SELECT * FROM staging.readings WHERE kv = '{key}' '{value}'"
        return self.text("scada-load", body, cpu="600.0", unique=f"{key}-{value}", item=key)

    def look_up(self, key, session=None):
        """Asks for a key's value; returns it."""
        own = session or Session(self.dispatcher.address)
        if session is None:
            own.start()
        txn, text = self.text("lookup", f"SELECT v FROM scada_3.readings WHERE k = '{key}'", cpu="50.0")
        kind, detail, rows = own.ask(text)
        value = rows[0][6 : 6 + int.from_bytes(rows[0][2:6], "big")].decode() if rows else None
        self.record.line("client", "looked up", txn=txn, key=key, kind=kind, detail=detail, value=value)
        if session is None:
            own.close()
        return value

    def connect_and_ask(self):
        """A client that connects, waits until the dispatcher is ready for a query, and asks."""
        self.look_up("unused")


def case(record, folder, trouble):
    """Plays the case; returns the breaks of the rule."""
    store = Store(record)
    engines = [Engine(f"e{n}", "hurghada-dc", record, store.handle, kind="old-rack-8") for n in (1, 2, 3)]
    coordinator = Coordinator(record, engines)
    dispatcher = Dispatcher("n1", record, SETTINGS, coordinator, folder)
    dispatcher.start()
    clients = Clients(record, dispatcher)
    breaks = []
    for number in range(STALLS):
        breaks += play_stall(number, clients, engines, record, trouble)
        if dispatcher.crashed():
            return [*breaks, "the dispatcher has ended"]
    return breaks


def play_stall(number, clients, engines, record, trouble):
    """Plays one stall with two loads of one key; returns the breaks of the rule."""
    dispatcher, key = clients.dispatcher, f"turbine-{number:02d}"
    resting = Session(dispatcher.address)
    resting.start()
    clients.look_up(key, resting)
    time.sleep(0.5)
    began = time.monotonic()

    def wait_until(seconds):
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    if trouble:
        dispatcher.send_signal(signal.SIGSTOP)
    others = []
    for n in range(CONNECTING):
        wait_until(0.1 + n * (FIRST_AT_S - 0.1) / CONNECTING)
        others.append(Thread(target=clients.connect_and_ask, daemon=True))
        others[-1].start()
    wait_until(FIRST_AT_S)
    first_txn, text = clients.load(key, "first")
    new = Session(dispatcher.address)
    new.sock.sendall(STARTUP + simple_query(text))
    first_at = record.line("client", "load written on a new connection", txn=first_txn, key=key)
    wait_until(STALL_S - SECOND_BEFORE_END_S[number % len(SECOND_BEFORE_END_S)])
    second_txn, text = clients.load(key, "second")
    before = time.time()
    resting.sock.sendall(simple_query(text))
    record.line("client", "load written on an open session", txn=second_txn, key=key)
    wait_until(STALL_S)
    if trouble:
        dispatcher.send_signal(signal.SIGCONT)
    new.read_answer()  # the answer to the start-up message
    first, second = new.read_answer(), resting.read_answer()
    record.line("client", "answers", first=first[:2], second=second[:2])
    for thread in others:
        thread.join(10)
    new.close()
    resting.close()
    value = clients.look_up(key)
    wait_until(PERIOD_S)
    if before - first_at < MIN_GAP_S:
        raise CannotRunError("this machine is too busy: the loads were written too close to each other")
    return broken_order(engines, first_txn, second_txn, key, first, second, value)


def broken_order(engines, first_txn, second_txn, key, first, second, value):
    """Rule 5: nothing is sent for the second load while the first one is unfinished."""
    asks = [ask for engine in engines for ask in list(engine.asks)]
    first_at = min((ask.at for ask in asks if ask.id == first_txn), default=None)
    second_at = min((ask.at for ask in asks if ask.id == second_txn), default=None)
    if second_at is None or first_at is None or first_at < second_at:
        # A load that was refused or failed may come out of turn.
        return []
    text = f"{key}: the second load was sent {1000 * (first_at - second_at):.0f} ms before the first one"
    if first[0] == second[0] == "served":
        text += f"; both were served, and a lookup then found the value of the load '{value}'"
    return [text]


if __name__ == "__main__":
    run_case(case, HERE)
