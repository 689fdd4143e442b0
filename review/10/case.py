"""SIGHUP with a new collector, whose spool cannot be opened, ends the dispatcher and all that it holds."""

import secrets
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402 (the path comes first)

PARTS = """flows {
    spool "%s"
    collector "old-tool" {
        address "127.0.0.1:%d"
        transport "udp"
        format "netflow9"
    }
%s}
"""
NEW_COLLECTOR = """    collector "noc" {
        address "127.0.0.1:%d"
    }
"""
CLIENTS, QUERIES = 6, 20


def work(case):
    """The case: queries in flight while a new extensions document is taken in."""

    def run(engine, ask):
        case.note(f"{engine.name}: ASK {ask.id}")
        time.sleep(0.3)
        engine.finish(ask, [b"a\tb\tc\n"])

    engines = [kit2.Engine(f"e{n}", run) for n in range(6)]
    coordinator = kit2.Coordinator(case, [kit2.entry(e.name, e.address) for e in engines])
    found = kit2.settings([kit2.resource_group("lookup")])
    folder = case.temporary / "spool"
    parts = case.temporary / "parts.kdl"
    parts.write_text(PARTS % (folder, kit2.free_port(), ""))
    dispatcher, port = kit2.start_dispatcher(
        case, kit2.configuration(coordinator, coordinator.known(), found), parts
    )
    answers = []

    def ask_all():
        client = kit2.Client(port)
        for number in range(QUERIES):
            txn = secrets.token_hex(8)
            answer = client.query(
                f"/* verb=lookup,txn={txn},limit=7500,team=north,cpu=300.0,memory=8 */ "
                f"SELECT day, count(*), max(note) FROM sales_{number}.orders GROUP BY day"
            )
            case.note(f"client: {txn}: {answer}")
            answers.append(answer)
            if answer.lost:
                return

    threads = [threading.Thread(target=ask_all) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    if case.trouble:
        folder.write_text("not a folder")  # as a mount that is missing, or a folder that is not ours
    parts.write_text(PARTS % (folder, kit2.free_port(), NEW_COLLECTOR % kit2.free_port()))
    case.note("SIGHUP")
    dispatcher.send_signal(signal.SIGHUP)
    for thread in threads:
        thread.join(30)
    status = dispatcher.poll()
    for line in dispatcher.log.read_text().splitlines():
        if "configuration" in line or "Error" in line:
            case.note(f"dispatcher: {line}")
    lost = sum(answer.lost for answer in answers)
    if status is not None:
        case.broken(f"the dispatcher ended on SIGHUP with status {status}; {lost} queries in flight are lost")


kit2.run_case(HERE, work)
