"""The dispatchers of a demo, as programs of their own that know each other through a relay."""

import os
import subprocess
import sys
import time

import orjson

from wickvane.rehearsal.relay import Relay, udp_ports

STOP_S, KILLED_S = 5, 4.0


class Dispatchers:
    """count: 1 knows nobody, and has no parts document. configuration(listen, name): what each is started
    with; ports: where clients reach them."""

    def __init__(self, count, seed, folder, ports, configuration):
        self.folder, self.ports, self.processes = folder, ports, [None] * count
        self.relay = Relay(udp_ports(count), seed) if count > 1 else None
        self.cut, self.back = None, {}
        for n, port in enumerate(ports):
            with open(self.path(n, "json"), "wb") as file:
                found = configuration(f"127.0.0.1:{port}", f"n{n}")
                found["settings"]["fleet_size"] = count
                file.write(orjson.dumps(found))
        if self.relay is None:
            return
        with open(os.path.join(folder, "key"), "wb") as file:
            file.write(os.urandom(16).hex().encode())
        for n, (host, port) in enumerate(self.relay.listens):
            seeds = "; ".join(f'seed "{address}"' for address in self.relay.addresses[:2])
            with open(self.path(n, "kdl"), "w") as file:
                file.write(
                    f'peers {{ listen "{host}:{port}"; advertise "{self.relay.addresses[n]}"; '
                    f'{seeds}; key-file "{folder}/key"; state "{folder}/state-{n}" }}'
                )
        self.relay.start()

    def path(self, n, kind):
        return os.path.join(self.folder, f"n{n}.{kind}")

    def start(self, n):
        words = [f"--config={self.path(n, 'json')}"]
        if self.relay is not None:
            words.append(f"--parts={self.path(n, 'kdl')}")
        name = "dispatcher.log" if len(self.ports) == 1 else f"dispatcher-{n}.log"
        with open(os.path.join(self.folder, name), "ab") as output:
            self.processes[n] = subprocess.Popen(
                [sys.executable, "-m", "wickvane", "serve", *words],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        return self.processes[n].pid

    def tend(self):
        """Those that were killed come back after a while; whether none has ended by itself."""
        for n, at in list(self.back.items()):
            if time.monotonic() >= at:
                del self.back[n]
                self.start(n)
        return not any(
            process is not None and process.poll() is not None
            for n, process in enumerate(self.processes)
            if n not in self.back
        )

    def ended(self):
        return next(
            (
                process.poll()
                for n, process in enumerate(self.processes)
                if n not in self.back and process is not None and process.poll() is not None
            ),
            None,
        )

    def switch(self, key):
        """p: the last is cut off from the others, or let back; k: the first is killed, and comes back."""
        if self.relay is None:
            return None
        last = len(self.ports) - 1
        if key == "p":
            self.cut = None if self.cut is not None else last
            pairs = [pair for n in range(last) for pair in ((n, last), (last, n))]
            self.relay.set(pairs, cut=self.cut is not None)
            return f"n{last} cut off" if self.cut is not None else f"n{last} let back"
        if key == "k" and not self.back:
            self.processes[0].kill()
            self.processes[0].wait()
            self.back[0] = time.monotonic() + KILLED_S
            return f"n0 killed for {KILLED_S:.0f} s"
        return None

    def views(self):
        """(name, standing, part, view, agreed, {name: state}) by each that has said so."""
        found = []
        for n in range(len(self.ports) if self.relay is not None else 0):
            try:
                with open(os.path.join(self.folder, f"state-{n}", "status.json"), "rb") as file:
                    told = orjson.loads(file.read())
            except (OSError, orjson.JSONDecodeError):
                continue
            old = time.time() - told["at"] > 4
            found.append(
                (
                    told["name"],
                    "silent" if old else told["standing"],
                    told["part"],
                    told["view"],
                    told["agreed"],
                    {row["name"]: row["state"] for row in told["members"] if row["state"] != "left"},
                )
            )
        return found

    def stop(self):
        running = [p for p in self.processes if p is not None and p.poll() is None]
        for process in running:
            process.terminate()
        by = time.monotonic() + STOP_S
        for process in running:
            try:
                process.wait(max(0.0, by - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if self.relay is not None:
            self.relay.over = True
