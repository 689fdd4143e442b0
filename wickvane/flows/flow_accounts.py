"""The accounts of flows: what each connection moved, for which resource group and tenant. No I/O, no clock.

A flow is one connection's traffic of one resource group and tenant; what belongs to none (start-up, spoilt
input) is a flow of its own, so that the sums over flows are the sums over sockets. Whoever moves octets says
so here under one lock, which is held for a few additions only; collect() takes out what is to be told.

    live -- idle time-out, end, forced end --> told whole, once
      \\-- active time-out --> told as a part; the flow goes on under its id with the next part

The table of flows is bounded, with what waits to be collected: past it, a new flow is folded into an
aggregate by group and engine, which counts the flows that it stands for. Nothing moved is lost from the
totals.
"""

from collections import deque
from heapq import heapify, heappop, heappush
from socket import AF_INET, AF_INET6, inet_pton
from threading import Lock

# What connections tell their traffic by; here for whoever reads records.
from wickvane.net.counters import ANSWERS, FURTHER
from wickvane.net.counters import FIRST as FIRST
from wickvane.net.counters import FORWARD as FORWARD
from wickvane.net.counters import NOBODY as NOBODY
from wickvane.net.counters import REVERSE as REVERSE

# Places in a flow's counts, which are also the order in which a record tells them.
MESSAGES = 2  # and 3, by direction
FINISHED, DEFERRED, KILLED, LEFT = ANSWERS.values()
COUNTS = FURTHER + 1
CLIENT, ENGINE = 1, 2
UNKNOWN, READY, DRAINING, GONE = range(4)  # an engine's state as a record tells it
# flowEndReason of RFC 5102.
IDLE, ACTIVE, ENDED, FORCED, RESOURCES = 1, 2, 3, 4, 5

FOLD_TIME = 10_000  # a second: how long an aggregate grows before it is told
AGGREGATES_MOST = 512  # past it, engines are folded together too


class Connection:
    """What a flow's five-tuple is made of. Addresses are packed (4 or 16 bytes), ports as they are."""

    __slots__ = ("side", "source", "source_port", "target", "target_port", "engine", "flows")

    def __init__(self, side, source, source_port, target, target_port, engine):
        self.side, self.source, self.source_port = side, source, source_port
        self.target, self.target_port, self.engine = target, target_port, engine
        self.flows = {}


class Flow:
    """counts: octets, messages (each forward, reverse), queries by answer, submissions, since the last part.
    flows: how many flows began in this part; open: -1, or in an aggregate how many of its flows still go
    on."""

    __slots__ = (
        "id",
        "part",
        "connection",
        "key",
        "counts",
        "began",
        "last",
        "told",
        "state",
        "state_last",
        "reason",
        "flows",
        "open",
    )

    def __init__(self, id, connection, key, now, state, flows=1, open=-1):
        self.id, self.part, self.connection, self.key = id, 0, connection, key
        self.counts, self.began, self.last, self.told = [0] * COUNTS, now, now, now
        self.state, self.state_last, self.reason, self.flows, self.open = state, state, 0, flows, open


class Record:
    """One part of one flow, as it is told. Times in tenths of a millisecond, both ends included. flows: how
    many began in it, so that their sum over all records is the number of flows, whatever was cut or
    folded."""

    __slots__ = (
        "id",
        "part",
        "connection",
        "key",
        "counts",
        "began",
        "ended",
        "reason",
        "state",
        "state_last",
        "flows",
    )

    def __init__(self, flow, reason, state):
        self.id, self.part, self.connection, self.key = flow.id, flow.part, flow.connection, flow.key
        self.counts, self.began, self.ended = flow.counts, flow.began, flow.last
        self.reason, self.state, self.state_last, self.flows = reason, flow.state, state, flow.flows


def packed(name):
    """(packed address, port) of a socket's name."""
    return inet_pton(AF_INET6 if ":" in name[0] else AF_INET, name[0].partition("%")[0]), name[1]


class Accounts:
    """Flows that are open, and the records of those that ended or are due."""

    def __init__(self, incarnation, most, active, idle):
        """incarnation: 32 bits that no other start of this exporter has had; most: flows held at once;
        active, idle: time-outs in tenths of a millisecond."""
        self.lock, self.high, self.next_id = Lock(), incarnation << 32, 0
        self.most, self.active, self.idle = most, active, idle
        self.now, self.held, self.live, self.due = 0, 0, {}, []
        self.ended, self.aggregates, self.engines = deque(), {}, {}
        self.octets, self.begun, self.folded, self.told, self.open = [0, 0, 0, 0], 0, 0, 0, 0

    def limits(self, most, active, idle):
        with self.lock:
            self.most, self.active, self.idle = most, active, idle

    # What connections say

    def client(self, sock):
        return self.opened(CLIENT, packed(sock.getpeername()), packed(sock.getsockname()))

    def engine(self, sock, name):
        return self.opened(ENGINE, packed(sock.getsockname()), packed(sock.getpeername()), name)

    def opened(self, side, source, target, engine=""):
        """A connection to account for; source and target are (packed address, port), source its initiator."""
        connection = Connection(side, *source, *target, engine)
        with self.lock:
            self.open += 1
            if engine:
                self.engines.setdefault(engine, [UNKNOWN, 0])[1] += 1
        return connection

    def count(self, connection, key, now, way, octets, messages, what=0):
        """So many octets and messages went one way for a (resource group, tenant); `what` names one more
        place among the counts that grows by one."""
        with self.lock:
            flow = connection.flows.get(key)
            if flow is None:
                flow = self.begin(connection, key, now)
            counts = flow.counts
            counts[way] += octets
            counts[MESSAGES + way] += messages
            if what:
                counts[what] += 1
            if now > flow.last:  # a clock that steps back makes no flow end before it began
                flow.last = now
            self.octets[2 * (connection.side - 1) + way] += octets

    def closed(self, connection, now, forced=False):
        with self.lock:
            self.open -= 1
            for flow in connection.flows.values():
                if flow.open < 0:
                    flow.last = max(flow.last, now)
                    self.end(flow, FORCED if forced else ENDED)
                else:
                    flow.open -= 1
            connection.flows = {}
            known = self.engines.get(connection.engine)
            if known:
                known[1] -= 1
                if known[1] <= 0 and known[0] in (UNKNOWN, GONE):
                    del self.engines[connection.engine]

    def engine_state(self, engine, state):
        """A state of wickvane.events from the list of engines; what is gone is kept for open connections
        only, so that this is bounded by the list."""
        state += 1  # wickvane.events counts from READY
        with self.lock:
            known = self.engines.get(engine)
            if known:
                known[0] = state
                if state == GONE and not known[1]:
                    del self.engines[engine]
            elif state != GONE:
                self.engines[engine] = [state, 0]

    # Under the lock

    def begin(self, connection, key, now):
        self.now = now = max(now, self.now)
        self.begun += 1
        state = self.state_of(connection)
        if self.held >= self.most:
            flow = self.fold(connection, key, now, state)
        else:
            self.held += 1
            flow = Flow(self.new_id(), connection, key, now, state)
            self.live[flow.id] = flow
            self.look_at(flow, now)
        connection.flows[key] = flow
        return flow

    def new_id(self):
        self.next_id += 1
        return self.high | self.next_id & 0xFFFFFFFF

    def fold(self, connection, key, now, state):
        self.folded += 1
        place = (connection.side, key[0], connection.engine)
        if place not in self.aggregates and len(self.aggregates) >= AGGREGATES_MOST:
            place = (connection.side, key[0], "")
        flow = self.aggregates.get(place)
        if flow is None:
            stand_in = Connection(connection.side, bytes(4), 0, bytes(4), 0, place[2])
            flow = self.aggregates[place] = Flow(self.new_id(), stand_in, (key[0], -1), now, state, 0, 0)
        flow.flows += 1
        flow.open += 1
        return flow

    def look_at(self, flow, now):
        """When the flow's time-outs are next looked at. One that ended before stays in line until then, so
        the line is made anew where those are many."""
        if len(self.due) > 2 * len(self.live) + 1024:
            self.due = [entry for entry in self.due if entry[1] in self.live]
            heapify(self.due)
        heappush(self.due, (min(flow.last + self.idle, flow.told + self.active, now + self.idle), flow.id))

    def end(self, flow, reason):
        del self.live[flow.id]
        flow.reason, flow.state_last = reason, self.state_of(flow.connection)
        self.ended.append(flow)

    def state_of(self, connection):
        known = self.engines.get(connection.engine)
        return known[0] if known else UNKNOWN

    # What is told

    def collect(self, now, most=4096, everything=False):
        """Up to `most` records that are due, the ended ones first; `everything`: the program stops, so that
        what is still open is told as ended by force. Call again while it returns as many."""
        records = []
        with self.lock:
            self.now = now = max(now, self.now)
            if everything:
                for flow in list(self.live.values()):
                    flow.connection.flows.pop(flow.key, None)
                    self.end(flow, FORCED)
            while self.ended and len(records) < most:
                flow = self.ended.popleft()
                self.held -= 1
                records.append(Record(flow, flow.reason, flow.state_last))
            while self.due and self.due[0][0] <= now and len(records) < most:
                flow = self.live.get(heappop(self.due)[1])
                if flow is None:
                    continue
                if now - flow.last >= self.idle:
                    del self.live[flow.id], flow.connection.flows[flow.key]
                    self.held -= 1
                    records.append(Record(flow, IDLE, self.state_of(flow.connection)))
                    continue
                if now - flow.told >= self.active:
                    flow.told = now
                    if any(flow.counts):
                        records.append(Record(flow, ACTIVE, self.state_of(flow.connection)))
                        self.next_part(flow)
                self.look_at(flow, now)
            for place, flow in list(self.aggregates.items()):
                if not everything and now - flow.told < FOLD_TIME or len(records) >= most:
                    continue
                if any(flow.counts) or flow.flows:
                    flow.told = now
                    records.append(Record(flow, RESOURCES, self.state_of(flow.connection)))
                    self.next_part(flow)
                elif not flow.open and now - flow.last >= self.idle:
                    del self.aggregates[place]
            self.told += len(records)
        return records

    def next_part(self, flow):
        flow.part, flow.flows = flow.part + 1, 0
        flow.counts, flow.began = [0] * COUNTS, flow.last

    def shown(self):
        """Totals since the start: octets by side and direction, flows begun and folded, records told."""
        with self.lock:
            return {
                "client-in": self.octets[0],
                "client-out": self.octets[1],
                "engine-out": self.octets[2],
                "engine-in": self.octets[3],
                "begun": self.begun,
                "folded": self.folded,
                "records": self.told,
                "held": self.held,
            }
