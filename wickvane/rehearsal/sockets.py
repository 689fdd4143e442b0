"""A script's engines and its coordinator on loopback sockets, in real time: one process, one thread.

The world is that of virtual time with the heap's next event as the time that may be waited; engines are the
same model, and troubles the same script. What the clients' side was there is here whoever connects: a
dispatcher, by the line protocol, which follows the coordinator's stream.
"""

import json
import re
import selectors
import socket
import time
from collections import deque
from heapq import heappop
from random import Random

from wickvane.events import Ending
from wickvane.rehearsal.connection import Connection
from wickvane.rehearsal.world import World, lognormal

LINE_MOST, BODY_MOST = 512, 1 << 17
TABLE = re.compile(rb"_(\d{1,9})\.")
STATES = ("Ready", "Terminating", "Gone")
EFFECTS = {"read-only": "safe", "tokened": "keyed", "mutating": "unsafe"}


def connection_of(protocol):
    if protocol == "lines":
        return Connection
    from wickvane.rehearsal import tds

    return tds.Connection


class Query:
    """A submission as it came: what World.arrives() has of a client's query."""

    __slots__ = ("id", "resource_group", "work", "connection", "mark")


class Serving(World):
    """Engines and coordinator for dispatchers that are processes of their own."""

    def __init__(self, script, seed):
        super().__init__(script._replace(gateways=0, clients=()), seed, keep_log=False)
        self.selector, self.listening, self.connections = selectors.DefaultSelector(), {}, set()
        self.names = {group.name.encode(): n for n, group in enumerate(script.groups)}
        self.events, self.followers = [], set()
        self.protocols = [connection_of(fleet.speaks) for fleet in script.fleet]
        # Done by this thread between two waits: troubles by hand, from others.
        self.orders, self.marks = deque(), 0
        self.began, self.since = time.monotonic(), time.time()
        self.coordinator = self.listen(None)
        self.stopping = False
        for process in self.processes:
            self.listen(process)
        self.publish(self.processes, whole=True)
        # The script's time begins with the first query: who serves starts a dispatcher and a load behind it.
        self.quiet = True

    def listen(self, process):
        sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        sock.setblocking(False)
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        if process is not None:
            process.address = address
        self.listening[sock] = process
        self.selector.register(sock, selectors.EVENT_READ)
        return address

    def configuration(self, listen, name="n0", limits=None):
        """What a dispatcher before these engines is started with."""
        settings = {
            "classes": [
                {
                    "name": g.name,
                    "effect": EFFECTS[g.effect],
                    "group": "all",
                    "promise_ms": g.promise / 10,
                    "deadline_ms": g.timeout / 10,
                    "aim_stretch": g.stretch,
                    "worth": g.value,
                    "late_worth": g.late,
                    "sequential": g.ordered,
                    "repeat_window_ms": self.script.window / 10,
                }
                for g in self.script.groups
            ],
            "accounts": [{"name": name, "share": share} for name, share in self.script.tenants],
            "az": "here",
            "zones": ["here"],
            "host_types": [fleet.kind for fleet in self.script.fleet],
            "fleet_size": 1,
            "family_info": {
                "size_cores": [kind.cores for kind in self.kinds],
                "priorities": True,
                "tells_cost": True,
                "size_mb": [kind.memory for kind in self.kinds],
                "class_threads": [g.threads for g in self.script.groups],
                "writes_tables": [g.loads for g in self.script.groups],
            },
            "limits": {
                "retry_after": bool(self.script.advice),
                "max_retry_after_ms": self.script.advice / 10,
                "cancel": True,
                "max_attempts": 5,
                "streams_per_conn": 100,
                "dial_timeout_ms": 250.0,
                "conn_idle_ms": 30_000.0,
            },
            "obligations": {
                "stop_sending_within_ms": self.script.grace / 10,
                "key_rest_ms": self.script.rest / 10,
                "cold_from": self.kinds[0].cold_from,
                "cold_ms": self.kinds[0].cold_ms,
                "fall_multiple": self.kinds[0].fall_multiple,
                "fall_ms": self.kinds[0].fall_ms,
            },
        }
        if self.script.budget:
            free, share, window = self.script.budget
            settings["obligations"] |= {
                "extra_free": free,
                "further_ratio": share,
                "budget_window_ms": window / 10,
            }
        return {
            "name": name,
            "listen": listen,
            "seed": str(self.seed),
            "coordinator": self.coordinator,
            "settings": settings,
            "limits": limits or {"sockets": 1024},
            "known": {"index": len(self.events), "updates": self.events[:]},
        }

    # The list of engines

    def publish(self, processes, whole=False):
        index = len(self.events) + 1
        entries = [
            {
                "name": p.name,
                "address": p.address,
                "zone": "here",
                "group": 0,
                "weight": 1,
                "type": self.script.fleet[p.kind].kind,
                "status": STATES[p.state],
                "since_ms": int(self.since * 1000 + p.started) if p.started is not None else 0,
            }
            for p in processes
        ]
        self.events.append(
            {"index": index, "endpoints": {"index": index, "snapshot": whole, "endpoints": entries}}
        )
        for follower in list(self.followers):
            self.tell(follower, self.events[-1])

    def tell(self, follower, event):
        follower.send(b"id: %d\ndata: %b\n\n" % (event["index"], json.dumps(event).encode()))

    def lists(self, process, state):
        process.state = max(process.state, state)
        delay = int(self.chance("list").uniform(0.2, 1.0) * self.script.list_delay) + self.late_list
        self.at(self.now + delay, self.publish, [process])

    def comment(self):
        for follower in list(self.followers):
            follower.send(b": here\n\n")
        self.at(self.now + 10_000, self.comment)

    def begin_standstill(self, n, trouble):
        self.log("note", text="dispatchers that stand still are not this side's")

    # Engines

    def starts(self, kind):
        count = len(self.processes)
        super().starts(kind)
        for process in self.processes[count:]:
            self.listen(process)

    def ends(self, process):
        for sock, owner in list(self.listening.items()):
            if owner is process:
                self.selector.unregister(sock)
                del self.listening[sock]
                sock.close()
        for connection in [c for c in self.connections if c.process is process]:
            connection.open = {}
            connection.close(reset=True)
        process.out = {}
        super().ends(process)

    def gives_up_here(self, query):
        process = query.connection.process
        if process.out.pop(query.mark, None) is not None and not process.dead:
            process.model.cancel(self.now / 10, query.mark)
            process.plan()

    def asked(self, connection, words, body):
        fields = dict(part.partition(b"=")[::2] for part in words[2].split(b","))
        resource_group = self.names.get(fields.get(b"queue"))
        if resource_group is None or words[1] in connection.open:
            connection.fault(words[1])
            return
        if self.quiet:
            self.quiet = False
            for n, trouble in enumerate(self.script.troubles):
                self.at(self.now + trouble.at, self.trouble, n, trouble)
        process, group, query = connection.process, self.script.groups[resource_group], Query()
        query.id, query.resource_group, query.connection = words[1], resource_group, connection
        # Of its own: a query that is asked again here, on another connection, may come ahead of the QUIT of
        # its first submission.
        self.marks += 1
        query.mark = words[1], self.marks
        # By its id, so that a submission elsewhere is the same work, and a run with the same ids the same
        # run.
        query.work = lognormal(Random(f"{self.seed}/{words[1].decode()}"), group.work, group.spread)
        table, priority = TABLE.search(body), fields.get(b"urgency", b"1")
        connection.open[query.id] = query
        got = process.model.offer(
            self.now / 10,
            query.mark,
            query.work,
            group.threads,
            group.reading,
            int(table[1]) if table else 0,
            group.memory,
            0.0,
            int(priority) if priority in (b"0", b"1", b"2", b"3") else 1,
            fields.get(b"uniq"),
            group.work,
        )
        if got == "in":
            process.out[query.mark] = connection, query, 0
            process.plan()
        elif got == "fallen":
            self.ends(process)
        elif not process.silent:
            ending = Ending.FINISHED if got == "repeat" else Ending.REJECTED
            connection.hears(query, 0, process, ending, 10, resource_group)

    # Sockets

    def wants(self, connection, writing):
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if writing else 0)
        if self.selector.get_key(connection.sock).events != events:
            self.selector.modify(connection.sock, events, connection)

    def forget(self, connection):
        self.connections.discard(connection)
        self.followers.discard(connection)
        try:
            self.selector.unregister(connection.sock)
        except (KeyError, ValueError):
            pass

    def accept(self, listening):
        try:
            sock, _ = listening.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        process = self.listening[listening]
        speaks = self.protocols[process.kind] if process is not None else Connection
        connection = speaks(self, sock, process)
        self.connections.add(connection)
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def read(self, connection):
        try:
            data = connection.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            connection.close()
            return
        connection.came(data)

    def follow(self, connection):
        """The coordinator's side: a request, then all events past the number that it names."""
        end = connection.buffer.find(b"\r\n\r\n")
        if connection in self.followers or end < 0:
            if len(connection.buffer) > 16_384:
                connection.close()
            return
        found = re.search(rb"Last-Event-ID: *(\d{1,18})", connection.buffer[:end], re.I)
        last = int(found[1]) if found else 0
        self.followers.add(connection)
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
        for event in self.events[last:]:
            self.tell(connection, event)

    def line(self, connection):
        """One order off the front of what came; False while it is not whole."""
        buffer = connection.buffer
        end = buffer.find(b"\r\n", 0, LINE_MOST)
        if end < 0:
            if len(buffer) >= LINE_MOST:
                connection.close(reset=True)
            return False
        words, whole, body = bytes(buffer[:end]).split(b" "), end + 2, b""
        if words[0] == b"ASK":
            if len(words) != 4 or not words[3].isdigit() or int(words[3]) > BODY_MOST:
                connection.close(reset=True)
                return False
            whole += int(words[3]) + 2
            if len(buffer) < whole:
                return False
            body = bytes(buffer[end + 2 : whole - 2])
        del buffer[:whole]
        if words[0] == b"ASK":
            self.asked(connection, words, body)
        elif words[0] in (b"QUIT", b"FREE") and len(words) == 2:
            query = connection.open.pop(words[1], None)
            if query is not None:
                self.gives_up_here(query)
        elif words[0] == b"PRIO" and len(words) == 3 and words[2] in (b"0", b"1", b"2", b"3"):
            query = connection.open.get(words[1])
            if query is not None:
                connection.process.model.set_priority(self.now / 10, query.mark, int(words[2]))
                connection.process.plan()
        elif words[0] == b"NOOP" and len(words) == 2:
            connection.send(b"%b PONG - 0\r\n\r\n" % words[1])
        else:
            connection.close(reset=True)
        return True

    def serve(self, seconds=None):
        """Until so many seconds are over, or stopping is set."""
        self.at(self.now, self.comment)
        while not self.stopping and (seconds is None or self.clock() < seconds * 10_000):
            while self.heap and self.heap[0][0] <= self.clock():
                # An event is at its own time, also where it is met late: the model is exact by it.
                when, _, what, words = heappop(self.heap)
                self.now = max(self.now, when)
                what(*words)
            while self.orders:
                self.now = max(self.now, self.clock())
                self.orders.popleft()()
            wait = (self.heap[0][0] - self.clock()) / 10_000 if self.heap else 0.1
            for key, events in self.selector.select(max(0.0, min(wait, 0.1))):
                self.now = max(self.now, self.clock())
                if key.data is None:
                    self.accept(key.fileobj)
                    continue
                if events & selectors.EVENT_WRITE and not key.data.closed:
                    key.data.flush()
                if events & selectors.EVENT_READ and not key.data.closed:
                    self.read(key.data)
        for connection in list(self.connections):
            connection.close()
        for sock in self.listening:
            sock.close()

    def clock(self):
        return int((time.monotonic() - self.began) * 10_000)
