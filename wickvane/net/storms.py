"""The node `storms` of the parts document: the decider that watches for storms, and the gate that lets new
connections in at a pace; without it nothing of this is imported."""

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

TOLD_MOST = 20_000
LOOK = 2_500  # an alarm of its own, so that a pace is looked at also while nothing comes to be decided on
LINES_A_STEP = 8  # of those turned away: a flood of them must not become a flood of log lines


class Part(NamedTuple):
    """The node's figures."""

    remember: int | None  # None: as long as the settings' longest time-out and advice together
    connections: bool = True  # whether new connections are let in at a pace while the core strains


def read(node):
    """The Part of a node."""
    return Part(
        node.value("remember", parts.duration("1s", "10m")), node.value("pace-connections", parts.flag, True)
    )


class Gate:
    """The pace, for the listeners' threads and the decider's."""

    def __init__(self, pace, clock, log, storm):
        self.pace, self.clock, self.log, self.storm, self.lock = pace, clock, log, storm, Lock()
        self.lines = 0

    def felt(self, now, lag):
        """Tells the pace how late reading is and how much the core was used."""
        with self.lock:
            turns, more, self.lines = self.pace.observe(now, lag, time.process_time()), self.lines, 0
        if more > LINES_A_STEP:
            self.log.line("client-connection-ended", reason="too-fast", count=more - LINES_A_STEP)
        return turns

    def lets_in(self, is_urgent, sock):
        """Whether a connection is let in now."""
        with self.lock:
            urgent = self.pace.rate is not None and is_urgent(sock)
            found = self.pace.admits(self.clock.now(), urgent)
        self.storm.record_connection()
        return found

    def stay_away(self):
        """Milliseconds."""
        with self.lock:
            return -(-self.pace.retry_after(self.clock.now()) // 10)

    def told(self, peer, away):
        """A connection was turned away: logged, within a bound."""
        self.lines += 1
        if self.lines <= LINES_A_STEP:
            self.log.line("client-connection-ended", peer=peer, reason="too-fast", queries=0, stay_away=away)


class Watching(Decider):
    """What it decides is the plain decider's; what came and went is counted beside it."""

    gate = None

    def watch(self, part, limits, seed):
        """Begins to watch; the gate, where connections are paced."""
        site = self.registry.deployment
        remember = part.remember or site.max_retry_after + max((g.timeout for g in site.groups), default=0)
        now = self.clock.now()
        self.storm = StormDetector(now, site.retry_budget_ratio, remember)
        self.told = OrderedDict()  # mark: until when its client was told to stay away
        if part.connections:
            promise = min((g.latency_objective for g in site.groups), default=15_000)
            pace = ConnectionPacing(
                now, promise, float(limits.get("cores") or 1.0), site.max_retry_after, seed
            )
            self.gate = Gate(pace, self.clock, self.log, self.storm)
            self.set_timer(0, now + LOOK)
            self.look_at, self.slowest = now + LOOK, 0
        return self.gate

    def round(self, items):
        """As Decider; then looks for storms that begin, deepen or end."""
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
        self.slowest = max(self.slowest, self.lag)
        if self.now >= self.look_at:
            turns, self.slowest = self.gate.felt(self.now, self.slowest), 0
            for event, fields in turns:
                self.log.line(f"connections-paced-{event}", **fields)
                self.counters.add(f"connections-paced-{event}")
            self.look_at = self.now + LOOK
            self.set_timer(0, self.look_at)

    def mark(self, pending):
        """By what a repeat of this query is known."""
        return fingerprint(pending.tenant, pending.token, pending.key, pending.body)

    def taken(self, pending, again=False):
        """As Decider; counts it, and tells the module where it is a repeat."""
        mark = self.mark(pending)
        again = self.storm.record_arrival(self.now, mark, pending.client_address, pending.cost)
        super().taken(pending, again)
        if again:
            self.counters.add("repeats")
            until = self.told.pop(mark, None)
            if until is not None:
                self.counters.add("advice-heeded" if self.now >= until else "advice-ignored")

    def ended(self, attempt, ending, elapsed, complete):
        """As Decider; counts an answer in time."""
        super().ended(attempt, ending, elapsed, complete)
        if ending == Ending.FINISHED:
            pending = attempt.pending
            group = self.registry.deployment.groups[pending.resource_group]
            target = (
                pending.arrived_at
                + group.latency_objective
                + group.objective_stretch * pending.cost / group.threads
            )
            work = attempt.work or elapsed * group.threads
            self.storm.record_answer(self.now > target, work)
            if pending.cost:
                self.storm.record_attempt(self.now, attempt.queue.name, elapsed, pending.cost / group.threads)

    def reject(self, q, retry_after):
        """As Decider; notes until when the client was told to stay away."""
        pending = self.registry.queries.names[q]
        mark = self.mark(pending)
        self.storm.record_rejection(self.now, mark)
        if retry_after:
            self.told[mark] = self.now + retry_after
            if len(self.told) > TOLD_MOST:
                self.told.popitem(last=False)
        super().reject(q, retry_after)

    def close(self, name):
        """As Decider; the watch forgets the engine."""
        super().close(name)
        self.storm.remove_engine(name)


class At(shape.Part):
    """The watch for retry storms in one dispatcher."""

    name = "storms"

    def build(self, service, found):
        """The decider is one that watches."""
        service.deciding = Watching

    def join(self, service, found):
        """Listeners pass new connections through the gate."""
        service.gate = service.decider.watch(self.terms, found.get("limits") or {}, service.seed)
