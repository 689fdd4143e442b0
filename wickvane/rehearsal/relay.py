"""What stands between dispatchers on loopback: every datagram from one to another passes it, and is cut,
lost, doubled, late or spoilt as is asked for."""

import selectors
import socket
import time
from heapq import heappop, heappush
from random import Random
from threading import Lock, Thread


class Link:
    """What becomes of datagrams one way between two; chances from 0 to 1, times in seconds."""

    def __init__(self):
        self.cut, self.loss, self.double, self.spoil, self.delay, self.jitter = False, 0.0, 0.0, 0.0, 0.0, 0.0


class Relay(Thread):
    """Between all: one socket a dispatcher, at the address that it advertises."""

    def __init__(self, listens, seed):
        super().__init__(daemon=True)
        self.chance, self.listens = Random(f"{seed}/relay"), [("127.0.0.1", port) for port in listens]
        self.of = {address: n for n, address in enumerate(self.listens)}
        self.links = {(a, b): Link() for a in range(len(listens)) for b in range(len(listens))}
        self.selector, self.sockets, self.held, self.count = selectors.DefaultSelector(), [], [], 0
        self.lock, self.over, self.kept = Lock(), False, None
        for n in range(len(listens)):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, n)
            self.sockets.append(sock)
        self.addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.sockets]

    def run(self):
        while not self.over:
            wait = min(0.05, self.held[0][0] - time.monotonic()) if self.held else 0.05
            for key, _ in self.selector.select(max(0.0, wait)):
                self.read(key.fileobj, key.data)
            while self.held and self.held[0][0] <= time.monotonic():
                _, _, to, data = heappop(self.held)
                self.forward(to, data)
        for sock in self.sockets:
            sock.close()

    def read(self, sock, to):
        for _ in range(64):
            try:
                data, source = sock.recvfrom(4096)
            except OSError:
                return
            with self.lock:
                self.pass_on(self.of.get(source), to, data)

    def pass_on(self, sender, to, data):
        if sender is None:
            return self.forward(to, data)  # a stranger's
        if self.kept is not None:
            self.kept.append((to, data))
        link = self.links[sender, to]
        if link.cut or self.chance.random() < link.loss:
            return
        for _ in range(1 + (self.chance.random() < link.double)):
            spoilt = data
            if self.chance.random() < link.spoil:
                at = self.chance.randrange(len(data))
                spoilt = data[:at] + bytes((data[at] ^ 1 << self.chance.randrange(8),)) + data[at + 1 :]
            late = link.delay + self.chance.random() * link.jitter
            if late:
                self.count += 1
                heappush(self.held, (time.monotonic() + late, self.count, to, spoilt))
            else:
                self.forward(to, spoilt)

    def forward(self, to, data):
        try:
            self.sockets[to].sendto(data, self.listens[to])
        except OSError:
            pass

    def set(self, pairs, **what):
        with self.lock:
            for pair in pairs:
                vars(self.links[pair]).update(what)

    def heal(self):
        with self.lock:
            for pair in self.links:
                self.links[pair] = Link()


def udp_ports(count):
    """Free ones, no two alike."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return found
