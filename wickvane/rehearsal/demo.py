"""`wickvane demo`: engines, coordinator, clients and one dispatcher on loopback, and one screen that shows
them.

The engines and the clients are this process's threads, the dispatcher is the program as it is, a process of
its own; several of them know each other, and what each believes of the others is shown. Troubles are
switched on by a key. What it says of itself goes through structlog into a file, in the same JSON lines as
the dispatchers'.
"""

import os
import select
import socket
import sys
import tempfile
import termios
import time
import tty
from threading import Thread

from wickvane.events import EngineState
from wickvane.rehearsal import logs
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.fleet import Dispatchers
from wickvane.rehearsal.load import Load
from wickvane.rehearsal.script import Trouble
from wickvane.rehearsal.sockets import Serving
from wickvane.units import TICKS_PER_SECOND

SCRIPT = """rehearsal {
    name "demo"
    length "8h"
    engines "rack-8" count=6 cores=8 disks=5
    group "lookup" { work "120ms"; promise "1500ms"; stretch 2.0; timeout "7500ms" }
    group "report" {
        work "2s"; threads 2; memory 600; promise "2s"; stretch 2.5; timeout "20s"; value 6; late 0.3
    }
    clients "screens" { group "lookup"; rate 60; retries 2; back-off "100ms" }
    clients "staff" { group "report"; closed 8; think "4s" }
    budget free=3 share=0.1 window="5s"
    list-delay "500ms"
}"""
# By key: (kind, part, size, seconds)
KEYS = {
    "s": ("stall", 0.34, 1, 10),
    "n": ("neighbour", 0.5, 0.5, 10),
    "l": ("slow", 1.0, 3, 10),
    "i": ("silent", 0.2, 1, 10),
    "r": ("reset", 0.5, 1, 0),
    "c": ("crash", 0.17, 1, 5),
    "d": ("drain", 0.17, 1, 5),
}
START_S, EVERY_S = 10, 0.5


class Demo:
    """Engines, dispatchers and load of a demo, and what its screen shows."""

    def __init__(self, script, seed, folder, fleet=1):
        self.script, self.folder, self.said = script, folder, []
        self.log = logs.logger(os.path.join(folder, "demo.log"), "demo")
        self.serving = Serving(script, seed)
        self.before, self.shown, self.load = {}, time.monotonic(), None
        ports = [free_port() for _ in range(fleet)]
        self.port = ports[0]
        self.dispatchers = Dispatchers(fleet, seed, folder, ports, self.serving.configuration)
        self.seed, self.switched = seed, 0

    def start(self):
        """All of it. Raises RuntimeError where the dispatcher does not come up."""
        Thread(target=self.serving.serve, daemon=True).start()
        ports = self.dispatchers.ports
        for n, port in enumerate(ports):
            self.log.info("dispatcher-started", pid=self.dispatchers.start(n), port=port)
        by = time.monotonic() + START_S
        for port in ports:
            while not connects(port):
                if not self.dispatchers.tend() or time.monotonic() > by:
                    raise RuntimeError(f"a dispatcher does not come up; see its log in {self.folder}")
                time.sleep(0.05)
        self.load = Load(
            self.script,
            self.seed,
            ("127.0.0.1", self.port),
            96,
            more=[("127.0.0.1", port) for port in ports[1:]],
        )
        Thread(target=self.load.run, daemon=True).start()

    def stop(self):
        self.serving.stopping = True
        self.dispatchers.stop()
        self.log.info("ended")

    def switch(self, key):
        """The trouble of a key, from the serving thread's next turn on; its words, or None."""
        if key not in KEYS:
            told = self.dispatchers.switch(key)
            if told:
                self.log.info("fleet", what=told)
                self.said = [f"{time.strftime('%H:%M:%S')} {told}", *self.said[:5]]
            return told
        kind, part, size, seconds = KEYS[key]
        self.switched += 1
        trouble = Trouble(kind, 0, seconds * TICKS_PER_SECOND, part, size)
        number = 1000 + self.switched
        self.serving.orders.append(lambda: self.serving.trouble(number, trouble))
        self.log.info("trouble", kind=kind, seconds=seconds)
        self.said = [
            f"{time.strftime('%H:%M:%S')} {kind}" + (f" for {seconds} s" if seconds else ""),
            *self.said[:5],
        ]
        return kind

    def figures(self):
        """What the screen shows: engines as (name, state, running, work done in seconds), and by group the
        answers a second since the last look and the latencies so far in milliseconds."""
        engines = []
        for process in list(self.serving.processes):
            state = {EngineState.READY: "ready", EngineState.DRAINING: "draining", EngineState.GONE: "gone"}[
                process.state
            ]
            state = "dead" if process.dead and state != "gone" else state
            engines.append((process.name, state, len(process.out), process.worked / 1000))
        now, groups, load = time.monotonic(), [], self.load
        took, self.shown = max(0.001, now - self.shown), now
        with load.more:
            for name, answers in load.answers.items():
                before = self.before.get(name, {})
                rates = {word: (count - before.get(word, 0)) / took for word, count in answers.items()}
                self.before[name] = dict(answers)
                histogram = load.histograms[name]
                groups.append((name, rates, *(histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))))
        return engines, groups, load.service()

    def psql(self):
        comment = f"/* verb={self.script.groups[0].name},txn=$(openssl rand -hex 8),limit=5000 */"
        return (
            f'psql "host=127.0.0.1 port={self.port} user=app dbname=bi" '
            f'-c "{comment} SELECT 1 FROM sales_1.orders"'
        )


def connects(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=0.5).close()
    except OSError:
        return False
    return True


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def plain(figures):
    """One line, for where there is no screen."""
    engines, groups, service = figures
    ready = [e for e in engines if e[1] == "ready"]
    words = [f"service {service:.3f}", f"engines {len(ready)}", f"running {sum(e[2] for e in engines)}"]
    for name, rates, median, high in groups:
        said = ", ".join(f"{word} {rate:.1f}/s" for word, rate in sorted(rates.items())) or "nothing yet"
        words.append(f"{name}: {said}, p50 {median:.0f} ms, p99 {high:.0f} ms")
    return "; ".join(words)


def plain_views(views):
    """A line of what each dispatcher believes."""
    return "; ".join(
        f"{name} {standing}, part {part}, view {number}: {others(name, members)}"
        for name, standing, part, number, _, members in views
    )


def others(name, members):
    return ", ".join(f"{other} {state}" for other, state in sorted(members.items()) if other != name)


def screen(demo, figures):
    from rich.console import Group
    from rich.table import Table

    engines, groups, service = figures
    fleet = Table("engine", "state", "running", "work done s", title=f"service so far {service:.3f}")
    for name, state, running, work in [e for e in engines if e[1] != "gone"][-24:]:
        fleet.add_row(name, state, str(running), f"{work:.1f}")
    answers = Table("group", "finished/s", "deferred/s", "killed/s", "other/s", "p50 ms", "p99 ms")
    for name, rates, median, high in groups:
        known = [rates.get(word, 0.0) for word in ("finished", "deferred", "killed")]
        other = sum(rates.values()) - sum(known)
        answers.add_row(name, *(f"{rate:.1f}" for rate in (*known, other)), f"{median:.0f}", f"{high:.0f}")
    keys = ", ".join(f"{key} {kind}" for key, (kind, *_) in KEYS.items())
    views = demo.dispatchers.views()
    if len(demo.dispatchers.ports) > 1:
        keys += ", p cut one dispatcher off, k kill one"
    peers = Table(
        "dispatcher",
        "stands",
        "part",
        "view",
        "agreed",
        "what it says of the others",
        title="what each dispatcher believes",
    )
    for name, standing, part, number, agreed, members in views:
        peers.add_row(name, standing, part, str(number), str(agreed).lower(), others(name, members))
    return Group(demo.psql(), f"keys: {keys}, q end", answers, fleet, *([peers] if views else []), *demo.said)


def pressed(seconds):
    """A key within so many seconds, or an empty text."""
    ready, _, _ = select.select([sys.stdin], [], [], seconds)
    return os.read(sys.stdin.fileno(), 1).decode("latin-1") if ready else ""


def watch(demo, until):
    from rich.live import Live

    before = termios.tcgetattr(sys.stdin)
    tty.setcbreak(sys.stdin)
    try:
        with Live(screen(demo, demo.figures()), auto_refresh=False, screen=True) as live:
            while time.monotonic() < until and demo.dispatchers.tend():
                key = pressed(EVERY_S)
                if key == "q":
                    return
                demo.switch(key)
                live.update(screen(demo, demo.figures()), refresh=True)
    finally:
        termios.tcsetattr(sys.stdin, termios.TCSADRAIN, before)


def main(path, seed, seconds, out, fleet=1):
    """The command: until q, an interrupt, or so many seconds are over; 1 where the dispatcher ended by
    itself."""
    script = scripts.read(path) if path else scripts.read_text(SCRIPT)
    with tempfile.TemporaryDirectory(prefix="wickvane-demo-") as folder:
        demo = Demo(script, seed, folder, fleet)
        try:
            demo.start()
            until = time.monotonic() + seconds if seconds else float("inf")
            if sys.stdin.isatty() and sys.stdout.isatty():
                watch(demo, until)
            else:
                out.write(demo.psql() + "\n")
                while time.monotonic() < until and demo.dispatchers.tend():
                    time.sleep(min(1.0, max(0.0, until - time.monotonic())))
                    out.write(plain(demo.figures()) + "\n")
                    if fleet > 1:
                        out.write(plain_views(demo.dispatchers.views()) + "\n")
                    out.flush()
            ended = demo.dispatchers.ended()
        except KeyboardInterrupt:
            return 0
        except RuntimeError as error:
            out.write(f"wickvane: {error}\n")
            return 1
        finally:
            demo.stop()
    if ended is not None:
        out.write(f"wickvane: the dispatcher ended by itself with {ended}\n")
    return 0 if ended is None else 1
