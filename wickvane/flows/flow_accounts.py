"""Flow accounts: the traffic of each connection by resource group and tenant. No I/O, no clock.

A flow is the traffic of one connection for one resource group and tenant. Traffic that belongs to none
(start-up, malformed input) is a flow of its own, so that the sums over flows equal the sums over sockets.
Connections report their traffic under one lock, which is held for a few additions only. collect() returns the
records that are due.

    open -- idle time-out, end, forced end --> one last record
      \\-- active time-out --> a record of one part; the flow continues with the same id and the next part

The table of flows, including ended flows that wait to be collected, is bounded. Beyond the bound, a new flow
is folded into an aggregate by group and engine, which counts its flows. The totals include all traffic.
"""

from collections import deque
from heapq import heapify, heappop, heappush
from socket import AF_INET, AF_INET6, inet_pton
from threading import Lock

# The constants with which connections report traffic; exported for readers of records.
from wickvane.net.counters import ANSWERS, FURTHER
from wickvane.net.counters import FIRST as FIRST
from wickvane.net.counters import FORWARD as FORWARD
from wickvane.net.counters import NOBODY as NOBODY
from wickvane.net.counters import REVERSE as REVERSE

# Positions in a flow's counts, in the order in which records hold them.
MESSAGES = 2  # MESSAGES + direction: 2 forward, 3 reverse
FINISHED, DEFERRED, KILLED, LEFT = ANSWERS.values()
COUNTS = FURTHER + 1
CLIENT, ENGINE = 1, 2
UNKNOWN, READY, DRAINING, GONE = range(4)  # an engine's state in a record
# flowEndReason of RFC 5102.
IDLE, ACTIVE, ENDED, FORCED, RESOURCES = 1, 2, 3, 4, 5

AGGREGATE_INTERVAL = 10_000  # ticks (one second) between two records of an aggregate
MAX_AGGREGATES = 512  # above it, engines are folded together too


class Connection:
    """The five-tuple of a connection and its open flows. Addresses are packed (4 or 16 bytes)."""

    __slots__ = ("side", "source", "source_port", "target", "target_port", "engine", "flows")

    def __init__(self, side, source, source_port, target, target_port, engine):
        self.side, self.source, self.source_port = side, source, source_port
        self.target, self.target_port, self.engine = target, target_port, engine
        self.flows = {}


class Flow:
    """An open or ended flow, or an aggregate of folded flows.

    counts: octets, messages (each forward, reverse), queries by answer, and attempts, since the last part;
    flows: flows that began in this part; open: -1, or the number of open flows of an aggregate."""

    __slots__ = (
        "id",
        "part",
        "connection",
        "key",
        "counts",
        "started_at",
        "last_seen",
        "collected_at",
        "state",
        "state_at_end",
        "reason",
        "flows",
        "open",
    )

    def __init__(self, id, connection, key, now, state, flows=1, open=-1):
        self.id, self.part, self.connection, self.key = id, 0, connection, key
        self.counts, self.started_at, self.last_seen, self.collected_at = [0] * COUNTS, now, now, now
        self.state, self.state_at_end, self.reason, self.flows, self.open = state, state, 0, flows, open


class Record:
    """One part of one flow, as it is exported. Times in ticks, both ends included.

    flows: flows that began in this part. Its sum over all records is the number of flows, even if flows were
    split into parts or folded."""

    __slots__ = (
        "id",
        "part",
        "connection",
        "key",
        "counts",
        "started_at",
        "ended_at",
        "reason",
        "state",
        "state_at_end",
        "flows",
    )

    def __init__(self, flow, reason, state):
        self.id, self.part, self.connection, self.key = flow.id, flow.part, flow.connection, flow.key
        self.counts, self.started_at, self.ended_at = flow.counts, flow.started_at, flow.last_seen
        self.reason, self.state, self.state_at_end, self.flows = reason, flow.state, state, flow.flows


def packed(name):
    """Returns (packed address, port) of a socket's name."""
    return inet_pton(AF_INET6 if ":" in name[0] else AF_INET, name[0].partition("%")[0]), name[1]


class Accounts:
    """The open flows, the ended flows that wait to be collected, and the totals."""

    def __init__(self, incarnation, max_flows, active, idle):
        """Creates empty accounts.

        incarnation: 32 bits that differ at each start of the exporter; max_flows: maximum flows held at once;
        active, idle: time-outs in ticks."""
        self.lock, self.id_prefix, self.next_id = Lock(), incarnation << 32, 0
        self.max_flows, self.active, self.idle = max_flows, active, idle
        self.now, self.held_flows, self.open_flows, self.timeouts = 0, 0, {}, []
        self.ended, self.aggregates, self.engines = deque(), {}, {}
        self.octets, self.flows_begun, self.flows_folded, self.records_collected, self.open_connections = (
            [0, 0, 0, 0],
            0,
            0,
            0,
            0,
        )

    def set_limits(self, max_flows, active, idle):
        """Changes the maximum of flows and the time-outs (ticks)."""
        with self.lock:
            self.max_flows, self.active, self.idle = max_flows, active, idle

    # Called by connections

    def client(self, sock):
        """Adds a client's connection."""
        return self.opened(CLIENT, packed(sock.getpeername()), packed(sock.getsockname()))

    def engine(self, sock, name):
        """Adds a connection to the engine `name`."""
        return self.opened(ENGINE, packed(sock.getsockname()), packed(sock.getpeername()), name)

    def opened(self, side, source, target, engine=""):
        """Adds a connection; source (its initiator) and target are (packed address, port)."""
        connection = Connection(side, *source, *target, engine)
        with self.lock:
            self.open_connections += 1
            if engine:
                self.engines.setdefault(engine, [UNKNOWN, 0])[1] += 1
        return connection

    def count(self, connection, key, now, direction, octets, messages, what=0):
        """Counts octets and messages in one direction for key (resource group, tenant).

        what: position of one more count that is incremented, or 0."""
        with self.lock:
            flow = connection.flows.get(key)
            if flow is None:
                flow = self.begin(connection, key, now)
            counts = flow.counts
            counts[direction] += octets
            counts[MESSAGES + direction] += messages
            if what:
                counts[what] += 1
            if now > flow.last_seen:  # if the clock steps back, a flow must not end before its start
                flow.last_seen = now
            self.octets[2 * (connection.side - 1) + direction] += octets

    def closed(self, connection, now, forced=False):
        """Ends the flows of a connection that was closed; forced: by this process as it stops."""
        with self.lock:
            self.open_connections -= 1
            for flow in connection.flows.values():
                if flow.open < 0:
                    flow.last_seen = max(flow.last_seen, now)
                    self.end(flow, FORCED if forced else ENDED)
                else:
                    flow.open -= 1
            connection.flows = {}
            entry = self.engines.get(connection.engine)
            if entry:
                entry[1] -= 1
                if entry[1] <= 0 and entry[0] in (UNKNOWN, GONE):
                    del self.engines[connection.engine]

    def engine_state(self, engine, state):
        """Sets an engine's state, as in wickvane.events, from the endpoint list.

        An engine that is gone is kept only while it has open connections, so that the endpoint list bounds
        the table."""
        state += 1  # wickvane.events counts from READY
        with self.lock:
            entry = self.engines.get(engine)
            if entry:
                entry[0] = state
                if state == GONE and not entry[1]:
                    del self.engines[engine]
            elif state != GONE:
                self.engines[engine] = [state, 0]

    # Called with the lock held

    def begin(self, connection, key, now):
        """Opens a flow, or folds it into an aggregate if the table is full."""
        self.now = now = max(now, self.now)
        self.flows_begun += 1
        state = self.state_of(connection)
        if self.held_flows >= self.max_flows:
            flow = self.fold(connection, key, now, state)
        else:
            self.held_flows += 1
            flow = Flow(self.new_id(), connection, key, now, state)
            self.open_flows[flow.id] = flow
            self.schedule_timeout_check(flow, now)
        connection.flows[key] = flow
        return flow

    def new_id(self):
        self.next_id += 1
        return self.id_prefix | self.next_id & 0xFFFFFFFF

    def fold(self, connection, key, now, state):
        """Adds a flow to the aggregate of its side, resource group and engine, and returns the aggregate."""
        self.flows_folded += 1
        aggregate_key = (connection.side, key[0], connection.engine)
        if aggregate_key not in self.aggregates and len(self.aggregates) >= MAX_AGGREGATES:
            aggregate_key = (connection.side, key[0], "")
        flow = self.aggregates.get(aggregate_key)
        if flow is None:
            placeholder = Connection(connection.side, bytes(4), 0, bytes(4), 0, aggregate_key[2])
            flow = self.aggregates[aggregate_key] = Flow(
                self.new_id(), placeholder, (key[0], -1), now, state, 0, 0
            )
        flow.flows += 1
        flow.open += 1
        return flow

    def schedule_timeout_check(self, flow, now):
        """Schedules the next check of a flow's time-outs.

        Entries of ended flows stay in the heap until then, so the heap is rebuilt if there are many."""
        if len(self.timeouts) > 2 * len(self.open_flows) + 1024:
            self.timeouts = [entry for entry in self.timeouts if entry[1] in self.open_flows]
            heapify(self.timeouts)
        heappush(
            self.timeouts,
            (min(flow.last_seen + self.idle, flow.collected_at + self.active, now + self.idle), flow.id),
        )

    def end(self, flow, reason):
        del self.open_flows[flow.id]
        flow.reason, flow.state_at_end = reason, self.state_of(flow.connection)
        self.ended.append(flow)

    def state_of(self, connection):
        entry = self.engines.get(connection.engine)
        return entry[0] if entry else UNKNOWN

    # Called by the exporter

    def collect(self, now, max_records=4096, is_final=False):
        """Returns up to `max_records` due records, those of ended flows first.

        Call again while it returns `max_records` records.

        is_final: the program stops, so open flows are ended by force."""
        records = []
        with self.lock:
            self.now = now = max(now, self.now)
            if is_final:
                for flow in list(self.open_flows.values()):
                    flow.connection.flows.pop(flow.key, None)
                    self.end(flow, FORCED)
            while self.ended and len(records) < max_records:
                flow = self.ended.popleft()
                self.held_flows -= 1
                records.append(Record(flow, flow.reason, flow.state_at_end))
            while self.timeouts and self.timeouts[0][0] <= now and len(records) < max_records:
                flow = self.open_flows.get(heappop(self.timeouts)[1])
                if flow is None:
                    continue
                if now - flow.last_seen >= self.idle:
                    del self.open_flows[flow.id], flow.connection.flows[flow.key]
                    self.held_flows -= 1
                    records.append(Record(flow, IDLE, self.state_of(flow.connection)))
                    continue
                if now - flow.collected_at >= self.active:
                    flow.collected_at = now
                    if any(flow.counts):
                        records.append(Record(flow, ACTIVE, self.state_of(flow.connection)))
                        self.next_part(flow)
                self.schedule_timeout_check(flow, now)
            for aggregate_key, flow in list(self.aggregates.items()):
                if (
                    not is_final
                    and now - flow.collected_at < AGGREGATE_INTERVAL
                    or len(records) >= max_records
                ):
                    continue
                if any(flow.counts) or flow.flows:
                    flow.collected_at = now
                    records.append(Record(flow, RESOURCES, self.state_of(flow.connection)))
                    self.next_part(flow)
                elif not flow.open and now - flow.last_seen >= self.idle:
                    del self.aggregates[aggregate_key]
            self.records_collected += len(records)
        return records

    def next_part(self, flow):
        """Resets a flow's counts for its next part."""
        flow.part, flow.flows = flow.part + 1, 0
        flow.counts, flow.started_at = [0] * COUNTS, flow.last_seen

    def shown(self):
        """Returns totals since the start: octets by side and direction, flows and records."""
        with self.lock:
            return {
                "client-in": self.octets[0],
                "client-out": self.octets[1],
                "engine-out": self.octets[2],
                "engine-in": self.octets[3],
                "begun": self.flows_begun,
                "folded": self.flows_folded,
                "records": self.records_collected,
                "held": self.held_flows,
            }
