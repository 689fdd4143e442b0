"""The extension `storms`: a decider that detects retry storms, and a gate that paces new connections.

Without a node of that name in the extensions document this module is not imported.
"""

import time
from collections import OrderedDict
from threading import Lock
from typing import NamedTuple

from wickvane import parts
from wickvane.events import Ending
from wickvane.net import shape
from wickvane.net.decider import Decider
from wickvane.scheduling.connection_pacing import ConnectionPacing
from wickvane.scheduling.retry_storm import StormDetector, StormState, fingerprint

MAX_RETRY_ADVICE = 20_000  # rejected queries whose retry-after time is remembered
PACING_INTERVAL = 2_500  # ticks; has its own timer, so that the pace is updated also while no query arrives
MAX_LOGGED_REJECTIONS = 8  # per pacing interval: a flood of connections must not become a flood of log lines


class Part(NamedTuple):
    """The settings of the node."""

    # How long queries are remembered to recognize repeats, in ticks. None: the longest timeout plus the
    # longest retry-after time of the configuration.
    remember: int | None
    connections: bool = True  # whether new connections are paced while the CPU is overloaded


def read(node):
    """Returns the Part of a node; raises InvalidDocumentError."""
    return Part(
        node.value("remember", parts.duration("1s", "10m")), node.value("pace-connections", parts.flag, True)
    )


class ConnectionGate:
    """Shares the ConnectionPacing `pace` between the threads of the listeners and the decider."""

    def __init__(self, pace, clock, log, storm):
        self.pace, self.clock, self.log, self.storm, self.lock = pace, clock, log, storm, Lock()
        self.rejections = 0  # in this pacing interval

    def observe(self, now, lag):
        """Reports the read lag (ticks) and the used CPU time; returns the pacing's events."""
        with self.lock:
            events, rejections, self.rejections = (
                self.pace.observe(now, lag, time.process_time()),
                self.rejections,
                0,
            )
        if rejections > MAX_LOGGED_REJECTIONS:
            self.log.line(
                "client-connection-ended", reason="too-fast", count=rejections - MAX_LOGGED_REJECTIONS
            )
        return events

    def admits(self, is_urgent, sock):
        """Whether a new connection is admitted now. is_urgent: called with the socket while a pace is set."""
        with self.lock:
            urgent = self.pace.rate is not None and is_urgent(sock)
            admitted = self.pace.admits(self.clock.now(), urgent)
        self.storm.record_connection()
        return admitted

    def retry_after_ms(self):
        """Returns the retry-after time of a connection that is rejected now, in milliseconds."""
        with self.lock:
            return -(-self.pace.retry_after(self.clock.now()) // 10)

    def log_rejection(self, peer, retry_after):
        """Logs a rejected connection, up to MAX_LOGGED_REJECTIONS per pacing interval."""
        self.rejections += 1
        if self.rejections <= MAX_LOGGED_REJECTIONS:
            self.log.line(
                "client-connection-ended", peer=peer, reason="too-fast", queries=0, stay_away=retry_after
            )


class StormDecider(Decider):
    """Decides as a plain Decider does, and feeds queries, answers and attempts to a storm detector."""

    gate = None

    def start_detection(self, part, limits, seed):
        """Creates the storm detector. Returns the ConnectionGate, or None if connections are not paced."""
        deployment = self.registry.deployment
        remember = part.remember or deployment.max_retry_after + max(
            (group.timeout for group in deployment.groups), default=0
        )
        now = self.clock.now()
        self.storm = StormDetector(now, deployment.retry_budget_ratio, remember)
        # By fingerprint of a rejected query: the time before which a retry ignores the retry-after advice.
        self.retry_not_before = OrderedDict()
        if part.connections:
            objective = min((group.latency_objective for group in deployment.groups), default=15_000)
            pace = ConnectionPacing(
                now, objective, float(limits.get("cores") or 1.0), deployment.max_retry_after, seed
            )
            self.gate = ConnectionGate(pace, self.clock, self.log, self.storm)
            self.set_timer(0, now + PACING_INTERVAL)
            self.next_pacing_at, self.max_read_lag = now + PACING_INTERVAL, 0
        return self.gate

    def round(self, items):
        """As Decider; then logs storms that begin, deepen or end, and updates the pacing."""
        super().round(items)
        for event, fields in self.storm.end_step(self.now):
            self.log.line(f"storm-{event}", **fields)
            self.counters.add(f"storm-{event}-{fields['kind']}")
            if fields["kind"] == StormState.STORM and event == "begins":
                self.exchange.storm_number = self.storm.counts[StormState.STORM]
        if self.storm.state != StormState.STORM:
            self.exchange.storm_number = 0
        if self.gate is None:
            return
        self.max_read_lag = max(self.max_read_lag, self.read_lag)
        if self.now >= self.next_pacing_at:
            events, self.max_read_lag = self.gate.observe(self.now, self.max_read_lag), 0
            for event, fields in events:
                self.log.line(f"connections-paced-{event}", **fields)
                self.counters.add(f"connections-paced-{event}")
            self.next_pacing_at = self.now + PACING_INTERVAL
            self.set_timer(0, self.next_pacing_at)

    def fingerprint(self, pending):
        """Returns the fingerprint that a query and its repeats have in common."""
        return fingerprint(pending.tenant, pending.token, pending.key, pending.body)

    def taken(self, pending, again=False):
        """As Decider; records the arrival, and marks the query if it is a repeat."""
        if pending.answer is not None:
            super().taken(pending, again)  # cancelled: its text may be gone
            return
        query_fingerprint = self.fingerprint(pending)
        again = self.storm.record_arrival(self.now, query_fingerprint, pending.client_address, pending.cost)
        super().taken(pending, again)
        if again:
            self.counters.add("repeats")
            not_before = self.retry_not_before.pop(query_fingerprint, None)
            if not_before is not None:
                self.counters.add("advice-heeded" if self.now >= not_before else "advice-ignored")

    def ended(self, attempt, ending, elapsed, complete):
        """As Decider; records whether an answer met its latency objective, and the attempt's duration."""
        super().ended(attempt, ending, elapsed, complete)
        if ending == Ending.FINISHED:
            pending = attempt.pending
            group = self.registry.deployment.groups[pending.resource_group]
            objective_at = (
                pending.arrived_at
                + group.latency_objective
                + group.objective_stretch * pending.cost / group.threads
            )
            work = attempt.work or elapsed * group.threads
            self.storm.record_answer(self.now > objective_at, work)
            if pending.cost:
                self.storm.record_attempt(self.now, attempt.queue.name, elapsed, pending.cost / group.threads)

    def reject(self, query, retry_after):
        """As Decider; remembers the retry-after time that the client is sent."""
        pending = self.registry.queries.names[query]
        query_fingerprint = self.fingerprint(pending)
        self.storm.record_rejection(self.now, query_fingerprint)
        if retry_after:
            self.retry_not_before[query_fingerprint] = self.now + retry_after
            if len(self.retry_not_before) > MAX_RETRY_ADVICE:
                self.retry_not_before.popitem(last=False)
        super().reject(query, retry_after)

    def close_queue(self, name):
        """As Decider; the storm detector drops what it knows of the engine."""
        super().close_queue(name)
        self.storm.remove_engine(name)


class At(shape.Part):
    """Detection of retry storms and pacing of connections in one dispatcher."""

    name = "storms"

    def build(self, service, config):
        """As shape.Part: the class of the decider."""
        service.decider_class = StormDecider

    def join(self, service, config):
        """As shape.Part: the gate through which listeners pass new connections."""
        service.gate = service.decider.start_detection(self.terms, config.get("limits") or {}, service.seed)
