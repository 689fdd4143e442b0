"""`wickvane rehearse load`: drives a dispatcher by PostgreSQL or TDS as a script's clients do, and measures
what they see.

Open loop: each query has its moment, drawn before it is known how the last one went, and its latency counts
from that moment, so that a dispatcher that stands still is charged with all that should have been sent
meanwhile (no coordinated omission; Gil Tene, How not to measure latency). Closed loop: the next comes a time
of thinking after the last one's final answer. What is deferred is tried again as the script says. Connections
are bounded; a query for which none is free in time counts as not sent.
"""

import json
import re
import socket
import struct
import time
from collections import Counter
from heapq import heappop, heappush
from itertools import count
from queue import Empty, Queue
from random import Random
from threading import Condition, Lock, Thread

from wickvane.rehearsal.draws import Draws
from wickvane.rehearsal.world import lognormal
from wickvane.units import TICKS_PER_SECOND

WORKERS_MOST, STACK, HIGHEST_US = 128, 256 * 1024, 120_000_000
STARTUP = struct.pack("!II", 30, 196_608) + b"user\0app\0database\0bi\0\0"
ANSWERS = {"53": "deferred", "57": "deferred", "58": "killed"}
AWAY = re.compile(rb"\0Dstay-away=(\d{1,9})ms\0")


class Client:
    """One connection, opened anew when it was lost."""

    def __init__(self, address):
        self.address, self.sock, self.lines = address, None, None
        self.away = 0  # how long the last answer told to stay away, in tenths of a millisecond

    def ask(self, text, seconds):
        """The answer's word: finished, deferred, killed, lost, or error and its code."""
        self.away = 0
        try:
            if self.sock is None:
                self.sock = socket.create_connection(self.address, timeout=seconds)
                self.lines = self.sock.makefile("rb")
                word = self.start()
                if word not in (None, "finished"):
                    self.close()  # it was not let in
                    return word
            self.sock.settimeout(seconds)
            return self.answer_to(text)
        except (OSError, ValueError, struct.error):
            self.close()
            return "lost"

    def close(self):
        if self.sock is not None:
            self.lines.close()
            self.sock.close()
            self.sock = None


class Postgres(Client):
    """By simple queries."""

    def start(self):
        self.sock.sendall(STARTUP)
        return self.until_ready()

    def answer_to(self, text):
        body = text.encode() + b"\0"
        self.sock.sendall(b"Q" + struct.pack("!I", 4 + len(body)) + body)
        return self.until_ready()

    def until_ready(self):
        answer = "finished"
        while True:
            head = self.lines.read(5)
            if len(head) < 5:
                if answer == "deferred":
                    self.close()  # told so as the last word
                    return answer
                raise ValueError("closed")
            size = struct.unpack("!I", head[1:])[0]
            if not 4 <= size <= 1 << 24:
                raise ValueError("no PostgreSQL")
            body = self.lines.read(size - 4)
            if head[:1] == b"E":
                code = next((part[1:].decode() for part in body.split(b"\0") if part[:1] == b"C"), "")
                answer = ANSWERS.get(code[:2], f"error {code}") if code != "57P01" else "lost"
                told = AWAY.search(body)
                self.away = int(told[1]) * 10 if told else 0
            elif head[:1] == b"Z":
                return answer


class Order:
    """A query to be sent at its moment, from one client; first: the moment of its first try."""

    __slots__ = ("clients", "first", "tries", "table", "key", "token", "error", "txn", "call", "number")

    def __init__(self, clients, first, draws, group, number=0):
        self.clients, self.first, self.tries, self.number, self.call = clients, first, 0, number, None
        self.table, self.error = draws.randrange(clients.tables), draws.uniform(0.8, 1.25)
        self.key = draws.randrange(clients.keys) if group.ordered else None
        self.token = draws.getrandbits(64) if group.effect == "tokened" else None


class Load:
    """speaks: what makes a client of an address; more: addresses that others of its connections go to."""

    def __init__(self, script, seed, address, workers=64, speaks=Postgres, more=()):
        from hdrh.histogram import HdrHistogram

        self.script, self.seed, self.addresses, self.speaks = script, seed, (address, *more), speaks
        self.turns = count()
        self.workers, self.line, self.lock = min(workers, WORKERS_MOST), Queue(), Lock()
        self.histograms = {g.name: HdrHistogram(1, HIGHEST_US, 3) for g in script.groups}
        self.answers = {g.name: Counter() for g in script.groups}
        self.asked = {g.name: 0 for g in script.groups}
        self.ids, self.draws = Random(f"{seed}/ids"), Draws(seed)
        # What is to come, by moment, from the schedule and from the workers; open: handed to them.
        self.heap, self.made, self.open, self.more = [], 0, 0, Condition(Lock())
        self.earned = self.wanted = 0.0
        # By second: [value earned of what was first asked then, value asked for, work finished then in ms].
        self.course = [[0.0, 0.0, 0.0] for _ in range(script.length // TICKS_PER_SECOND + 30)]

    def at(self, moment, what):
        self.made += 1
        heappush(self.heap, (moment, self.made, what))
        self.more.notify()

    def order(self, clients, at):
        group = self.script.groups[clients.group]
        self.asked[group.name] += 1
        self.wanted += group.value
        self.second(at)[1] += group.value
        return Order(
            clients, at, self.draws.chance(f"queries/{clients.name}"), group, sum(self.asked.values())
        )

    def second(self, at):
        return self.course[min(at // TICKS_PER_SECOND, len(self.course) - 1)]

    def sending(self, order, group, left):
        """A try is about to be sent, with so many seconds: for who looks on."""

    def statement(self, order, limit_ms):
        """(what is sent, the work that an emulated engine of this script and seed makes of it)

        limit_ms: how long the client still waits. An order that stood in line for a connection waits less
        than its group's time-out, and a dispatcher that is told the whole may answer after it has gone."""
        clients, group, ids = order.clients, self.script.groups[order.clients.group], self.ids
        with self.lock:
            txn = order.txn = f"{ids.getrandbits(64):016x}"
        work = lognormal(Random(f"{self.seed}/{txn}"), group.work, group.spread)
        fields = {
            "verb": group.name,
            "txn": txn,
            "limit": limit_ms,
            "team": self.script.tenants[clients.tenant][0],
            "cpu": f"{work * order.error:.1f}",
            "memory": f"{group.memory:.0f}",
        }
        if order.token is not None:
            fields["unique"] = f"{order.token:016x}"
        if order.key is not None:
            fields["item"] = f"k{order.key}"
        comment = ",".join(f"{name}={value}" for name, value in fields.items())
        # Of its own text: what comes with the same one again is known for a repeat.
        return (
            f"/* {comment} */ SELECT day, count(*) FROM sales_{order.table}.orders "
            f"WHERE unit = {order.number}"
        ), work

    def run(self):
        """Drives it all; the figures by group."""
        threads = [Thread(target=self.work, daemon=True) for _ in range(self.workers)]
        self.began = time.monotonic() + 0.1
        for thread in threads:
            thread.start()
        with self.more:
            for clients in self.script.clients:
                if clients.rate:
                    self.at(clients.since, clients)
                for n in range(clients.closed):
                    self.at(clients.since + n, self.order(clients, clients.since + n))
        while (due := self.next()) is not None:
            self.line.put(due)
        for _ in threads:
            self.line.put(None)
        for thread in threads:
            thread.join(max(g.timeout for g in self.script.groups) / TICKS_PER_SECOND + 5)
        return {
            name: {
                "answers": dict(sorted(self.answers[name].items())),
                **{
                    f"p{p}_ms": round(self.histograms[name].get_value_at_percentile(p) / 1000, 2)
                    for p in (50, 90, 99, 99.9)
                },
            }
            for name in self.histograms
        }

    def service(self):
        """The share of the value asked for that was earned."""
        return self.earned / self.wanted if self.wanted else 1.0

    def now(self):
        return int((time.monotonic() - self.began) * TICKS_PER_SECOND)

    def next(self):
        """(moment, order) of the next that is due, waiting for it; None when there will be none."""
        with self.more:
            while True:
                if not self.heap:
                    if not self.open:
                        return None
                    self.more.wait(0.5)
                    continue
                wait = (self.heap[0][0] - self.now()) / TICKS_PER_SECOND
                if wait > 0:
                    self.more.wait(wait)
                    continue
                at, _, what = heappop(self.heap)
                if isinstance(what, Order):
                    self.open += 1
                    return at, what
                # Clients of an open loop: this one now, and the next at a moment that is drawn already.
                if at < min(what.until, self.script.length):
                    self.at(at, self.order(what, at))
                    self.at(at + self.draws.gap(what, what.rate), what)

    def work(self):
        client = self.speaks(self.addresses[next(self.turns) % len(self.addresses)])
        while True:
            try:
                due = self.line.get(timeout=60)
            except Empty:
                continue
            if due is None:
                client.close()
                return
            at, order = due
            group, moment = self.script.groups[order.clients.group], self.began + at / TICKS_PER_SECOND
            left = moment + group.timeout / TICKS_PER_SECOND - time.monotonic()
            limit_ms = int(left * 1000)
            text, work = self.statement(order, limit_ms)
            if limit_ms > 0:
                self.sending(order, group, left)
            answer = client.ask(text, left) if limit_ms > 0 else "not sent"
            self.answered(order, at, group, work, answer, client.away)

    def answered(self, order, at, group, work, answer, away=0):
        clients, now = order.clients, self.now()
        with self.more:
            self.open -= 1
            self.answers[group.name][answer] += 1
            self.histograms[group.name].record_value(
                min(HIGHEST_US, max(1, int((now - order.first) / TICKS_PER_SECOND * 1e6)))
            )
            if answer == "finished":
                target = at + group.promise + group.stretch * work * 10 / group.threads
                value = group.value * (group.late if now > min(target, at + group.timeout) else 1.0)
                self.earned += value
                self.second(order.first)[0] += value
                self.second(now)[2] += work
            elif order.tries < clients.retries and (answer == "deferred" or group.effect == "read-only"):
                wait = self.draws.back_off(clients, order.tries)
                again = now + (max(wait, away) if clients.heeds else wait)
                # Past the script's end nobody asks, as in virtual time.
                if again < self.script.length:
                    self.at(again, order)
                order.tries += 1
                self.more.notify()
                return
            if clients.closed:
                again = now + self.draws.think(clients)
                if again < min(clients.until, self.script.length):
                    self.at(again, self.order(clients, again))
            self.more.notify()


def main(script, seed, address, out, speaks=Postgres):
    load = Load(script, seed, address, speaks=speaks)
    for name, figures in load.run().items():
        out.write(json.dumps({"group": name, **figures}) + "\n")
    out.write(json.dumps({"service": round(load.service(), 4)}) + "\n")
    return 0
