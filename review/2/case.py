"""A query that was written whole must get an answer, also if the dispatcher stood still meanwhile.

A client writes a long statement in pieces, on an open session. In the middle of it the dispatcher stands
still (SIGSTOP, SIGCONT) as ras-ghareb's do, and the client writes the rest. The query has most of its time
left.
"""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
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
            "name": "report",
            "effect": "safe",
            "promise_ms": 2000.0,
            "deadline_ms": 20000.0,
            "aim_stretch": 2.5,
            "worth": 6.0,
            "late_worth": 0.3,
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
        "writes_tables": [False, False],
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
    },
}
ROUNDS, PERIOD_S = 8, 4.0
STALL_S = 1.9  # LATER, part 1: stalls of 1,500 to 2,000 ms every 2.5 to 4 s
PIECE, PAUSE_S, PIECES_BEFORE = 4_000, 0.08, 4  # how the client writes, and how much of it before the stall
TURBINES = 4_000  # named in the statement, which has about 36 KB
LIMIT_MS, LATE_MS = 20_000, 500  # FLEET: up to half a second after its time it only earns nothing
WORK_S = 0.05


def handle(ask):
    """An engine's work on one request."""
    return None if ask.given_up.wait(WORK_S) else ("HIT", b"a\tb\tc\n")


def case(record, folder, trouble):
    """Plays the case; returns the breaks of the rule."""
    engines = [Engine(f"e{n}", "hurghada-dc", record, handle, kind="old-rack-8") for n in (1, 2, 3)]
    coordinator = Coordinator(record, engines)
    dispatcher = Dispatcher("n1", record, SETTINGS, coordinator, folder)
    dispatcher.start()
    breaks = []
    for number in range(ROUNDS):
        breaks += play_round(number, dispatcher, engines, record, trouble)
        if dispatcher.crashed():
            return [*breaks, "the dispatcher has ended"]
    return breaks


def play_round(number, dispatcher, engines, record, trouble):
    """Plays one stall under one long statement; returns the breaks of the rule."""
    began = time.monotonic()
    session = Session(dispatcher.address)
    session.start()
    txn = f"{2 * number + 1:016x}"
    kind = session.ask(statement("lookup", txn, 7500, "SELECT v FROM scada_3.readings", cpu="50.0"))[0]
    record.line("client", "answer to a short query", txn=txn, kind=kind)
    time.sleep(0.3)
    txn = f"{2 * number + 2:016x}"
    names = ",".join(f"'t{n:05d}'" for n in range(TURBINES))
    text = f"SELECT day, count(*), max(v) FROM scada_3.readings WHERE turbine IN ({names}) GROUP BY day"
    message = simple_query(statement("report", txn, LIMIT_MS, text, cpu="50.0"))
    pieces = [message[at : at + PIECE] for at in range(0, len(message), PIECE)]
    first_byte = time.monotonic()
    stopped_at = None
    for n, piece in enumerate(pieces):
        if n == PIECES_BEFORE:
            stopped_at = time.monotonic()
            if trouble:
                dispatcher.send_signal(signal.SIGSTOP)
        session.sock.sendall(piece)
        if n < len(pieces) - 1:
            time.sleep(PAUSE_S)
    written_s = time.monotonic() - first_byte
    last_byte_at = record.line(
        "client", "query written whole", txn=txn, octets=len(message), took=f"{written_s:.2f}"
    )
    if trouble:
        if time.monotonic() - stopped_at > STALL_S - 0.3:
            raise CannotRunError("this machine is too busy: the query was not written in time")
        time.sleep(stopped_at + STALL_S - time.monotonic())
        dispatcher.send_signal(signal.SIGCONT)
    kind, detail, _ = session.read_answer()
    now = record.line("client", "answer", txn=txn, kind=kind, detail=detail)
    sent = sum(ask.id == txn for engine in engines for ask in list(engine.asks))
    session.close()
    time.sleep(max(0.0, began + PERIOD_S - time.monotonic()))
    waited_ms = (now - last_byte_at) * 1000
    if kind == "cut off":
        return [
            f"{txn} was written whole in {written_s:.2f} s, and {waited_ms:.0f} ms later its connection was"
            f" closed with no answer ({detail}); it was sent to engines {sent} times"
        ]
    if waited_ms > LIMIT_MS + LATE_MS:
        return [f"{txn} was answered {waited_ms:.0f} ms after it was written"]
    return []


if __name__ == "__main__":
    run_case(case, HERE)
