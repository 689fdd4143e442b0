"""A spoilt first page, whose line has lost its count of pages, is passed on as a whole result."""

import random
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402 (the path comes first)

QUERIES = 60
SPOILT_SHARE = 0.1
ROWS_A_PAGE, PAGES = 40, 3
NOISE = b"!#$%&*+;?@^_~"


def pages_of(query):
    """Returns the result of a query in pages: it depends on the query, so that results can be told apart."""
    return [
        b"".join(b"%b\t%d\t%d\n" % (query.encode(), page, row) for row in range(ROWS_A_PAGE))
        for page in range(PAGES)
    ]


class Engines:
    """Serves all engines alike; some good answers leave them with noise in the middle of their line."""

    def __init__(self, case):
        self.case = case
        self.chance = random.Random(17)

    def work(self, engine, ask):
        """Runs a query and answers with the first of its pages."""
        time.sleep(0.02)
        pages = pages_of(ask.id)
        if not self.case.trouble or self.chance.random() >= SPOILT_SHARE:
            self.case.note(f"{engine.name}: {ask.id} HIT with {len(pages)} pages")
            engine.finish(ask, pages)
            return
        ask.connection.open[ask.id] = pages
        line = bytearray(f"{ask.id} HIT sheets={len(pages)},toil=10.0,room=8.0 {len(pages[0])}\r\n".encode())
        at = line.index(b"sheets") + self.chance.randrange(6)
        line[at] = self.chance.choice(NOISE)
        self.case.note(f"{engine.name}: {ask.id} HIT, spoilt: {bytes(line)!r}")
        ask.connection.send(bytes(line) + pages[0] + b"\r\n")


def work(case):
    """The case: one client asks one query after another."""
    serving = Engines(case)
    engines = [kit2.Engine(f"e{n}", serving.work) for n in range(6)]
    coordinator = kit2.Coordinator(case, [kit2.entry(e.name, e.address) for e in engines])
    found = kit2.settings([kit2.resource_group("lookup")])
    _, port = kit2.start_dispatcher(case, kit2.configuration(coordinator, coordinator.known(), found))
    client, finished = kit2.Client(port), 0
    for number in range(QUERIES):
        txn = secrets.token_hex(8)
        answer = client.query(
            f"/* verb=lookup,txn={txn},limit=7500,team=north,cpu=20.0,memory=8 */ "
            f"SELECT day, count(*), max(note) FROM sales_{number % 7}.orders GROUP BY day"
        )
        case.note(f"client: {txn}: {answer}")
        if answer.kind() != "finished":
            continue
        finished += 1
        wanted = [
            tuple(row.split("\t")) for page in pages_of(txn) for row in page.decode().split("\n") if row
        ]
        if answer.rows != wanted:
            case.broken(f"{txn} was answered as finished with {len(answer.rows)} of {len(wanted)} rows")
    if finished < QUERIES // 2:
        raise kit2.CannotRunError(f"only {finished} of {QUERIES} queries finished")


kit2.run_case(HERE, work)
