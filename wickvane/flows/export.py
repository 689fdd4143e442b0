"""The exporter's shell: threads, sockets and files round accounts, codecs and outlets. It decides nothing.

One thread takes the records that are due out of the accounts, and puts them as messages into a Line (one for
each format). Each collector has a Way, a thread that dials and sends; only that one waits on its collector.
The path of queries touches the accounts and nothing else here.
"""

import os
import time
from random import Random
from threading import Event, Lock

from wickvane.flows import spool
from wickvane.flows.accounts import Accounts
from wickvane.flows.line import Line
from wickvane.flows.outlet import Outlet
from wickvane.flows.part import IPFIX
from wickvane.flows.way import CLOSE_S, Way
from wickvane.net.threads import Threads

FLUSH_S = 1.5
SETTLE_S = 0.5
AT_ONCE = 1024  # records taken out of the accounts under their lock
KEEP_EVERY = 10_000  # between two notes of where outlets stand


class Unusable(Exception):
    """The export cannot be started, or changed, as the document has it."""


class Exporter:
    """The threads and queues that bring records to all collectors."""

    def __init__(self, part, clock, log, counters, groups, tenants, seed):
        """groups, tenants: names by index, as the settings give them."""
        self.part, self.clock, self.log, self.counters = part, clock, log, counters
        self.groups, self.tenants = list(groups), list(tenants)
        self.chance, self.began = Random(f"{seed}/flows"), clock.now()
        # Not from the seed, which may be the same at the next start: collectors tell repeats by these bits.
        self.accounts = Accounts(int.from_bytes(os.urandom(4), "big"), part.table, part.active, part.idle)
        self.lines, self.stopping, self.faulty, self.lock = {}, Event(), {}, Lock()
        self.thread, self.threads = None, Threads(log, counters)
        contexts = self.contexts(part)
        try:
            for format in {collector.format: 0 for collector in part.collectors}:
                self.new_line(format, part)
        except spool.Unusable as error:
            raise Unusable(str(error)) from None
        for number, collector in enumerate(part.collectors, 1):
            line = self.lines[collector.format]
            line.ways.append(Way(self, line, collector, number, contexts.get(collector.name)))

    def new_line(self, format, part):
        line = self.lines[format] = Line(self, format)
        if format == IPFIX and part.spool:
            line.open_spool(part)
        line.shape(part)
        return line

    def contexts(self, part):
        """{collector: TLS context} with the files as they are now; Unusable names the one that fails."""
        found = {}
        for collector in part.collectors:
            if collector.tls is None:
                continue
            import ssl

            tls = collector.tls
            try:
                context = ssl.create_default_context(cafile=tls.authority)
                if tls.certificate:
                    context.load_cert_chain(tls.certificate, tls.key)
            except (OSError, ValueError) as error:
                why = getattr(error, "strerror", None) or getattr(error, "reason", None) or str(error)
                raise Unusable(
                    f"flows > collector {collector.name} > tls: its files cannot be used: {why}"
                ) from None
            found[collector.name] = context
        return found

    def fault(self, event, error):
        """A log line a second at most for each kind: a full disk says it with every message."""
        self.counters.add(event)
        now = self.clock.now()
        if now - self.faulty.get(event, -10_000) >= 10_000:
            self.faulty[event] = now
            self.log.line(event, error=f"{type(error).__name__}: {error}")

    def start(self):
        self.thread = self.threads.needed(self.run, "flows")
        for line in self.lines.values():
            for way in line.ways:
                way.start()

    def run(self):
        told = kept = self.clock.now()
        while not self.stopping.wait(self.part.every / 10_000):
            try:
                now = self.clock.now()
                with self.lock:
                    self.turn(now, now - told >= self.part.statistics)
                    if now - told >= self.part.statistics:
                        told = now
                    for line in self.lines.values():
                        line.trim(now - kept >= KEEP_EVERY)
                    if now - kept >= KEEP_EVERY:
                        kept = now
            except Exception as error:  # the queries' path goes on whatever happens here
                self.fault("flow-fault", error)

    def turn(self, now, statistics, everything=False):
        """All that is due goes from the accounts into the lines."""
        while True:
            records = self.accounts.collect(now, AT_ONCE, everything)
            for line in self.lines.values():
                line.add(records, now // 10_000)
            if len(records) < AT_ONCE:
                break
        if statistics:
            for line in self.lines.values():
                line.statistics(now, self.part.domain, self.accounts.shown())
        for line in self.lines.values():
            line.flush(now // 10_000)

    def prepare(self, part):
        """What a reload needs, checked before anything is changed; Unusable where it cannot be done."""
        if part.spool != self.part.spool:
            raise Unusable("flows > spool: another directory needs a restart")
        return self.contexts(part)

    def change(self, part, contexts):
        """Takes another document to work. Collectors are known again by name and format."""
        with self.lock:
            now = self.clock.now()
            self.turn(now, False)
            self.part = part
            self.accounts.limits(part.table, part.active, part.idle)
            ways = [way for line in self.lines.values() for way in line.ways]
            old = {(way.collector.name, way.line.format): way for way in ways}
            for format in {collector.format: 0 for collector in part.collectors}:
                if format in self.lines:
                    with self.lines[format].more:
                        self.lines[format].shape(part)
                else:
                    self.new_line(format, part)
            for number, collector in enumerate(part.collectors, 1):
                way = old.pop((collector.name, collector.format), None)
                secure = contexts.get(collector.name)
                if way:
                    way.change(collector, number, secure)
                    way.outlet.pace, way.outlet.window = part.pace, way.window(part)
                    continue
                line = self.lines[collector.format]
                way = Way(self, line, collector, number, secure)
                with line.more:
                    way.outlet = Outlet(way.outlet.window, part.pace, line.backlog.next, line.backlog.next)
                    line.ways.append(way)
                way.start()
            for way in old.values():
                way.leave(time.monotonic() + FLUSH_S, removed=True)
                with way.line.more:
                    way.line.ways.remove(way)
                self.log.line("flow-collector-removed", collector=way.collector.name)

    def stop(self):
        """Tells what is open as ended by force, and gives the collectors a moment to take the rest."""
        by = time.monotonic() + SETTLE_S
        while self.accounts.open > 0 and time.monotonic() < by:
            time.sleep(0.01)  # threads of connections that were closed just now still have a last word
        self.stopping.set()
        if self.thread:
            self.thread.join(2.0)
        with self.lock:
            try:
                self.turn(self.clock.now(), True, everything=True)
            except Exception as error:
                self.fault("flow-fault", error)
            ways = [way for line in self.lines.values() for way in line.ways]
            by = time.monotonic() + FLUSH_S
            for way in ways:
                way.leave(by)
            for way in ways:
                if way.thread:
                    way.thread.join(max(0.0, by + CLOSE_S - time.monotonic()))
            for line in self.lines.values():
                line.trim(True)
                for way in line.ways:
                    out = way.outlet
                    left = sum(high - low for low, high in out.behind) + line.backlog.next - out.live
                    self.log.line(
                        "flow-export",
                        collector=way.collector.name,
                        messages=out.messages,
                        records=out.records,
                        octets=out.octets,
                        repeated=out.repeated,
                        not_sent=out.not_sent[0],
                        messages_left=left,
                        kept=line.spool is not None,
                    )
                if line.spool is not None:
                    line.spool.close()
            self.log.line("flow-accounts", **self.accounts.shown())
