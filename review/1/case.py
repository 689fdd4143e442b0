"""A tokened query that may have run must stay within the zone whose engines know its token.

Six engines in three zones serve one dispatcher; the class `intake` is tokened with group "zone". The engines
of the zone holm crash with intake queries at work and leave the list, and another engine joins in voe.
"""

import sys
import time
from pathlib import Path
from threading import Lock, Thread

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Coordinator, Dispatcher, Engine, Session, run_case, statement  # noqa: E402

# As deploy/sites/three-isles-clinics.toml has them; a range is taken at a value inside it.
WINDOW_MS, DEADLINE_MS, SLACK_MS = 8_000, 15_000, 50
SETTINGS = {
    "classes": [
        {
            "name": "chart",
            "effect": "safe",
            "promise_ms": 700.0,
            "deadline_ms": 3500.0,
            "aim_stretch": 1.8,
            "worth": 1.0,
            "late_worth": 0.0,
        },
        {
            "name": "intake",
            "effect": "keyed",
            "group": "zone",
            "promise_ms": 2500.0,
            "deadline_ms": float(DEADLINE_MS),
            "aim_stretch": 3.0,
            "worth": 8.0,
            "late_worth": 0.5,
            "repeat_window_ms": float(WINDOW_MS),
            "zones_only": ["holm", "voe"],
        },
    ],
    "accounts": [],
    "az": "holm",
    "zones": ["skerry", "holm", "voe"],
    "host_types": ["ward-8", "ward-12"],
    "fleet_size": 1,
    "family_info": {
        "size_cores": [8, 12],
        "size_mb": [16384.0, 24576.0],
        "class_threads": [1, 2],
        "writes_tables": [False, True],
        "priorities": False,
    },
    "limits": {
        "cancel": True,
        "conn_idle_ms": 20000.0,
        "dial_timeout_ms": 250.0,
        "max_attempts": 6,
        "streams_per_conn": 100,
        "second_copies": False,
    },
    "obligations": {
        "answer_slack_ms": 20.0,
        "stop_sending_within_ms": 400.0,
        "cold_from": 0.4,
        "cold_ms": 10000.0,
        "fall_multiple": 2.8,
        "fall_ms": 1800.0,
        "extra_free": 2.0,
        "further_ratio": 0.12,
        "budget_window_ms": 6000.0,
    },
    "tariffs": {"cross_zone": 0.03},
}
CHART_S, INTAKE_S, EFFECT_AFTER_S = 0.03, 1.5, 0.2


class Zones:
    """What the engines of each zone know of tokens, and how often each token's effect was applied."""

    def __init__(self, record):
        self.record, self.lock = record, Lock()
        self.known, self.effects = {}, {}

    def apply(self, ask):
        """Applies the effect of a request, unless its zone remembers the token; returns whether it did."""
        with self.lock:
            known_at = self.known.get((ask.engine.zone, ask.token))
            if known_at is not None and ask.at - known_at <= WINDOW_MS / 1000:
                return False
            self.known[ask.engine.zone, ask.token] = ask.at
            self.effects.setdefault(ask.token, []).append(ask.engine.name)
        self.record.line(ask.engine.name, "effect", zone=ask.engine.zone, token=ask.token)
        return True

    def handle(self, ask):
        """An engine's work on one request."""
        if ask.fields["queue"] == "chart":
            time.sleep(CHART_S)
            return "HIT", b"a\tb\tc\n"
        if ask.given_up.wait(EFFECT_AFTER_S):
            return None
        if self.apply(ask) and ask.given_up.wait(INTAKE_S - EFFECT_AFTER_S):
            return None
        return "HIT", b"done\t1\t\n"


def case(record, folder, trouble):
    """Plays the case; returns the breaks of the rule."""
    zones = Zones(record)
    engines = [
        Engine(f"{zone[0]}{n}", zone, record, zones.handle)
        for zone in ("skerry", "holm", "voe")
        for n in (1, 2)
    ]
    holm = [engine for engine in engines if engine.zone == "holm"]
    coordinator = Coordinator(record, engines)
    dispatcher = Dispatcher("n1", record, SETTINGS, coordinator, folder)
    dispatcher.start()
    done = []

    def ask(number, verb, limit, text, **fields):
        txn = f"{number:016x}"
        record.line("client", "asks", txn=txn, verb=verb, **fields)
        session = Session(dispatcher.address)
        session.start()
        kind, detail, _ = session.ask(statement(verb, txn, limit, text, **fields))
        record.line("client", "answer", txn=txn, kind=kind, detail=detail)
        done.append(txn)
        session.close()

    threads = []

    def begin(*arguments, **fields):
        threads.append(Thread(target=ask, args=arguments, kwargs=fields, daemon=True))
        threads[-1].start()

    for n in range(20):  # calm traffic
        begin(1 + n, "chart", 3500, f"SELECT day FROM chart_{n}.visits", cpu="120.0")
        time.sleep(0.05)
    for n in range(12):  # a tokened load each for several groups of tables, so that some run in holm
        text = f"INSERT INTO intake_{n}.forms SELECT * FROM staging.forms"
        begin(101 + n, "intake", DEADLINE_MS, text, cpu="2500.0", memory="64", unique=f"form-{n:04d}")
        time.sleep(0.02)
    time.sleep(0.8)
    if trouble:
        record.line("holm", "is lost: its engines crash")
        for engine in holm:
            engine.die()
        time.sleep(1.0)
        coordinator.tell([engine.entry("Gone") for engine in holm])
        time.sleep(1.0)
    else:
        time.sleep(2.0)
    v3 = Engine("v3", "voe", record, zones.handle)
    coordinator.tell([v3.entry(since_ms=int(time.time() * 1000))])
    for n in range(20):
        begin(201 + n, "chart", 3500, f"SELECT day FROM chart_{n}.visits", cpu="120.0")
        time.sleep(0.05)
    for thread in threads:
        thread.join(20)
    time.sleep(0.5)
    record.line("case", "effects", **{token: "+".join(names) for token, names in zones.effects.items()})
    if dispatcher.crashed():
        return ["the dispatcher has ended"]
    return broken_rules([*engines, v3], zones)


def broken_rules(engines, zones):
    """Rule 2: all requests of one query after the first go to its zone, and within the window."""
    by_query, breaks = {}, []
    for ask in sorted((ask for engine in engines for ask in engine.asks), key=lambda ask: ask.at):
        if ask.token is not None:
            by_query.setdefault(ask.id, []).append(ask)
    for query, (first, *further) in by_query.items():
        # No engine here says SHED or LATE: each request that came whole may have run.
        for ask in further:
            zone, age_ms = ask.engine.zone, (ask.at - first.at) * 1000
            if zone != first.engine.zone:
                breaks.append(
                    f"{query} ({ask.token}) may have run on {first.engine.name} in {first.engine.zone} and"
                    f" was sent again, {age_ms:.0f} ms later, to {ask.engine.name} in {zone};"
                    f" its effect was applied on {' and '.join(zones.effects.get(ask.token, []))}"
                )
            elif age_ms > WINDOW_MS + SLACK_MS:
                breaks.append(f"{query} was sent again after {age_ms:.0f} ms, past the window")
    return breaks


if __name__ == "__main__":
    run_case(case, HERE)
