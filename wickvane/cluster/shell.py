"""The socket, thread and files around wickvane.cluster.protocol.

One UDP socket, one thread. A round is: all that lies in the socket, checked and opened, then one call. What
is refused is counted by reason and costs no line of its own; whoever floods is read at a pace, past which
the kernel drops.
"""

import os
import select
import socket
import threading
import time
import traceback
from collections import Counter, deque

import orjson

from wickvane.cluster import wire
from wickvane.cluster.protocol import Node
from wickvane.errors import ConfigError
from wickvane.files import FileError
from wickvane.net import clock

FAULTS_MOST = 50  # after which it is no peer any more
BATCH, WAIT_MOST_S = 128, 0.5
FLOOD, FLOOD_PAUSE_S = 32, 0.005  # refused in one round, past which the next waits a little
BUFFER = 1 << 20
SHOW_S = 2.5  # what is shown is written as it changes, and so often
LOOK_S, LINES_A_LOOK, EVENTS_HELD = 1.0, 50, 200
STATUS, ORDER, ANSWER, ORDER_MOST = "status.json", "order.json", "answer.json", 4096
SEEDS_MOST, FILE_MOST = 64, 16_384


def now():
    """Tenths of a millisecond of a clock that does not step; it goes on while this process stands still."""
    return clock.monotonic_ns() // 100_000


def text_of(address):
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def epoch():
    """Of a life that begins now: by the time of day, and by lot within it."""
    return clock.wall_ns() // 100_000 << 16 | int.from_bytes(os.urandom(2))


class Peers:
    """The socket, thread and files of one member."""

    def __init__(self, part, name, configured, seed, log, counters):
        if not 1 <= len(name) <= 64:
            raise ConfigError("peers: the configuration's name: expected 1 to 64 characters", 2)
        self.part, self.log, self.counters, self.lock = part, log, counters, threading.Lock()
        try:
            self.codec = wire.Codec(part.cluster, wire.read_keys(part.key_file))
        except FileError as error:
            raise ConfigError(f"the parts document: peers: key-file: {error}", 2) from None
        self.stamps = stamps_of(part)
        self.events, self.lines, self.unsaid = deque(maxlen=EVENTS_HELD), 0, 0
        self.node = Node(
            now(),
            name,
            epoch(),
            text_of(part.advertise),
            self.seeds(),
            configured,
            seed,
            self.told,
            part.period,
            part.most,
            part.remember,
        )
        self.sock, self.family, self.poll, self.stopping = None, None, select.poll(), False
        self.addresses, self.refused, self.said = {}, Counter(), Counter()
        self.look_at, self.shown, self.show_at, self.mark = 0, None, 0, None
        self.lost_sends = 0

    def seeds(self):
        found = [text_of(seed) for seed in self.part.seeds]
        if self.part.seeds_file:
            found.extend(self.read_seeds())
        mine = text_of(self.part.advertise)
        return [seed for seed in dict.fromkeys(found) if seed != mine][:SEEDS_MOST]

    def read_seeds(self):
        from wickvane import parts

        try:
            with open(self.part.seeds_file, "rb") as file:
                lines = file.read(FILE_MOST).decode().splitlines()
            return [
                text_of(parts.address(line.strip()))
                for line in lines
                if line.strip() and not line.startswith("#")
            ]
        except (OSError, ValueError, TypeError) as error:
            self.counters.add("peers-seeds-unusable")
            self.log.line("peers-seeds-unusable", file=self.part.seeds_file, why=str(error))
            return []

    def open(self):
        host, port = self.part.listen
        self.family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            if self.part.state:
                os.makedirs(self.part.state, 0o700, exist_ok=True)
                for left in (ORDER, ANSWER):
                    if os.path.exists(os.path.join(self.part.state, left)):
                        os.unlink(os.path.join(self.part.state, left))
        except OSError as error:
            raise ConfigError(f"peers: {self.part.state} cannot be used: {error.strerror}", 2) from None
        try:
            self.sock = socket.socket(self.family, socket.SOCK_DGRAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            self.sock.bind((host, port))
            self.sock.setblocking(False)
            self.poll.register(self.sock, select.POLLIN)
        except OSError as error:
            raise ConfigError(f"peers: cannot listen on {host}:{port}: {error.strerror}", 1) from None

    # The thread

    def run(self):
        # Between the start of the program and of this thread nobody was waited for.
        self.node.wakes, faults = now() + self.part.period, 0
        while not self.stopping:
            try:
                self.turn()
            except Exception as error:
                # A mistake of this part's costs what came in this round, never the dispatcher.
                faults += 1
                at = traceback.extract_tb(error.__traceback__)[-1]
                self.counters.add("faults")
                self.log.line(
                    "fault",
                    part="peers",
                    error=f"{type(error).__name__}: {error}",
                    where=f"{at.name}:{at.lineno}",
                )
                if faults >= FAULTS_MOST:
                    self.counters.add("peers-given-up")
                    self.log.line("peers-given-up", reason="faults")
                    return
                time.sleep(FLOOD_PAUSE_S)

    def turn(self):
        came = self.read((self.node.wakes - now()) / 10_000)
        if self.stopping:
            return
        with self.lock:
            self.node.round(now(), came, self)
            self.node.wakes = min(self.node.wakes, now() + int(WAIT_MOST_S * 10_000))
        if time.monotonic() >= self.look_at:
            self.look_at = time.monotonic() + LOOK_S
            self.look()

    def read(self, wait):
        """Messages of the datagrams that lie there, at most BATCH of them."""
        came, refused = [], 0
        self.poll.poll(max(1, min(wait, WAIT_MOST_S) * 1000))
        for _ in range(BATCH):
            try:
                data = self.sock.recv(wire.DATAGRAM + 1)
            except BlockingIOError:
                break
            except OSError:  # an earlier datagram's refusal by a host
                continue
            try:
                came.append(self.codec.open(data))
            except wire.Refused as why:
                refused += 1
                self.refused[why.reason] += 1
        if refused > FLOOD:
            time.sleep(FLOOD_PAUSE_S)
        return came

    def send(self, address, message):
        """The writer of the decisions. What cannot leave is as good as lost on the way."""
        try:
            self.sock.sendto(self.codec.seal(message), self.address_of(address))
        except (OSError, ValueError):
            self.lost_sends += 1

    def address_of(self, text):
        found = self.addresses.get(text)
        if found is None:
            host, _, port = text.rpartition(":")
            found = (host.strip("[]"), int(port))
            if len(self.addresses) > 2 * self.part.most:
                self.addresses.clear()
            # Numbers only: a name would be looked up, and waited for.
            socket.inet_pton(self.family, found[0])
            self.addresses[text] = found
        return found

    # Now and then

    def told(self, event, fields):
        self.events.append({"at": time.time(), "event": event, **fields})
        self.said[event] += 1
        self.lines += 1
        if self.lines <= LINES_A_LOOK:
            self.log.line(event, **fields)
        else:
            self.unsaid += 1

    def look(self):
        with self.lock:
            believed = self.node.look(now())
            said, self.said, refused, self.refused = self.said, Counter(), self.refused, Counter()
            for reason, n in refused.items():
                self.node.refused[reason] = self.node.refused.get(reason, 0) + n
            unsaid, self.unsaid, self.lines = self.unsaid, 0, 0
        for event, n in said.items():
            self.counters.add(event, n)
        for reason, n in refused.items():
            self.counters.add(f"peers-refused-{reason}", n)
        if refused:
            self.log.line("peers-refused", **refused)
        if unsaid:
            self.log.line("peers-lines-unsaid", count=unsaid)
        self.look_at_files()
        if self.part.state:
            self.take_order()
            mark = (
                believed,
                self.node.table.digest,
                sum(self.node.refused.values()),
                self.events and self.events[-1],
            )
            if mark != self.mark or time.monotonic() >= self.show_at:
                self.mark, self.show_at = mark, time.monotonic() + SHOW_S
                self.show()

    def look_at_files(self):
        for path, before in list(self.stamps.items()):
            found = stamp(path)
            if found == before:
                continue
            self.stamps[path] = found
            if path == self.part.key_file:
                try:
                    self.codec.keys = wire.read_keys(path)
                except FileError as error:
                    # Half written, say: the keys at work stay, and the next change is read again.
                    self.counters.add("peers-key-unusable")
                    self.log.line("peers-key-unusable", why=str(error))
                    continue
                self.counters.add("peers-key-taken")
                self.log.line("peers-key-taken", keys=len(self.codec.keys))
            else:
                with self.lock:
                    self.take_seeds()

    def take_seeds(self):
        self.node.seeds = self.seeds()
        self.node.join_at = min(self.node.join_at, now())

    def change(self, part, keys):
        """From the thread of signals; `keys` were read and can be used."""
        with self.lock:
            self.part, self.codec.keys = part, keys
            self.stamps = stamps_of(part)
            self.take_seeds()

    def show(self):
        with self.lock:
            found = self.node.status(now())
            rider = self.node.rider
            shares = rider.status() if rider is not None else None
        found["events"], found["lost_sends"], found["shares"] = list(self.events), self.lost_sends, shares
        found["at"] = time.time()
        try:
            replace(os.path.join(self.part.state, STATUS), found)
        except OSError as error:
            if self.shown != error.strerror:
                self.log.line("peers-status-unwritten", why=error.strerror)
            self.shown = error.strerror

    def take_order(self):
        path = os.path.join(self.part.state, ORDER)
        try:
            with open(path, "rb") as file:
                data = file.read(ORDER_MOST)
            os.unlink(path)
        except OSError:
            return
        try:
            order = orjson.loads(data)
            id, what, name = str(order["id"])[:64], order["what"], str(order.get("name") or "")
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
            self.log.line("peers-order-unusable")
            return
        if what == "forget":
            with self.lock:
                lives = self.node.forget(now(), name)
            done, said = (
                lives > 0,
                f"{lives} lives of {name} are taken for left"
                if lives
                else f"no failed life of {name} is known",
            )
        elif what == "leave":
            self.leave()
            done, said = True, "it has said that it leaves, and goes on serving alone"
        else:
            done, said = False, f"no order {what!r}"
        self.log.line("peers-order", what=str(what)[:32], name=name[:64], done=done)
        try:
            replace(os.path.join(self.part.state, ANSWER), {"id": id, "done": done, "said": said})
        except OSError as error:
            self.log.line("peers-status-unwritten", why=error.strerror)

    def brief(self):
        with self.lock:
            stands, part, reasons, number, agreed, divisor = self.node.stand(now())
            table = self.node.table
            return {
                "standing": stands,
                "part": part,
                "reasons": reasons,
                "view": number,
                "agreed": agreed,
                "divisor": divisor,
                "members": len(table.held),
                "known": len(table.rows),
                "health": self.node.detector.health,
                "standstills": self.node.detector.stood,
                "refused": dict(self.node.refused),
                "lost_sends": self.lost_sends,
            }

    # The end

    def leave(self):
        with self.lock:
            self.node.leave(now(), self)
        self.log.line("peers-left")

    def stop(self):
        self.stopping = True
        if self.part.state:
            self.show()


def stamps_of(part):
    return {path: stamp(path) for path in (part.key_file, part.seeds_file) if path}


def stamp(path):
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def replace(path, found):
    fresh = f"{path}.new"
    with open(fresh, "wb") as file:
        file.write(orjson.dumps(found))
    os.replace(fresh, path)
