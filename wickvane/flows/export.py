"""The exporting process: threads around the flow accounts, the codecs and the collectors' connections.

One thread collects the due records from the accounts and adds them as messages to a MessageLog, one per
format. Each collector has a CollectorConnection with its own thread; only that thread waits for its
collector. The threads that serve queries use the accounts and nothing else of this package.
"""

import os
import time
from random import Random
from threading import Event, Lock

from wickvane.flows import spool
from wickvane.flows.collector_connection import CLOSE_TIMEOUT_S, CollectorConnection
from wickvane.flows.extension import IPFIX
from wickvane.flows.flow_accounts import Accounts
from wickvane.flows.message_log import MessageLog
from wickvane.flows.send_window import SendWindow
from wickvane.net.threads import Threads

FLUSH_TIMEOUT_S = 1.5
SETTLE_TIMEOUT_S = 0.5
MAX_RECORDS_PER_COLLECT = 1024  # records collected from the accounts under one hold of their lock
CURSOR_INTERVAL_TICKS = 10_000  # ticks between two saves of the collectors' cursors


class InvalidExportError(Exception):
    """The export cannot be started or changed as the extensions document says."""


class Exporter:
    """Exports the records of the flow accounts to all collectors."""

    def __init__(self, settings, clock, log, counters, groups, tenants, seed):
        """groups, tenants: names by index, as in the settings. Raises InvalidExportError."""
        self.settings, self.clock, self.log, self.counters = settings, clock, log, counters
        self.groups, self.tenants = list(groups), list(tenants)
        self.random, self.started_at = Random(f"{seed}/flows"), clock.now()
        # Not derived from the seed, which may be the same at the next start: collectors detect repeats by
        # these bits.
        self.accounts = Accounts(
            int.from_bytes(os.urandom(4), "big"),
            settings.max_flows,
            settings.active_timeout,
            settings.idle_timeout,
        )
        self.message_logs, self.stopping, self.last_fault_at, self.lock = {}, Event(), {}, Lock()
        self.thread, self.threads = None, Threads(log, counters)
        contexts = self.load_tls_contexts(settings)
        try:
            for format in {collector.format: 0 for collector in settings.collectors}:
                self.new_message_log(format, settings)
        except spool.SpoolError as error:
            raise InvalidExportError(str(error)) from None
        for number, collector in enumerate(settings.collectors, 1):
            message_log = self.message_logs[collector.format]
            message_log.connections.append(
                CollectorConnection(self, message_log, collector, number, contexts.get(collector.name))
            )

    def new_message_log(self, format, settings):
        """Creates the message log of a format. Raises spool.SpoolError."""
        message_log = self.message_logs[format] = MessageLog(self, format)
        if format == IPFIX and settings.spool:
            message_log.open_spool(settings)
        message_log.configure(settings)
        return message_log

    def load_tls_contexts(self, settings):
        """Returns {collector: TLS context} from the current files.

        Raises InvalidExportError naming a failing one."""
        contexts = {}
        for collector in settings.collectors:
            if collector.tls is None:
                continue
            import ssl

            tls = collector.tls
            try:
                context = ssl.create_default_context(cafile=tls.authority)
                if tls.certificate:
                    context.load_cert_chain(tls.certificate, tls.key)
            except (OSError, ValueError) as error:
                reason = getattr(error, "strerror", None) or getattr(error, "reason", None) or str(error)
                raise InvalidExportError(
                    f"flows > collector {collector.name} > tls: its files cannot be used: {reason}"
                ) from None
            contexts[collector.name] = context
        return contexts

    def fault(self, event, error):
        """Counts a fault and logs at most one line per second and event.

        Without that limit, a full disk would log a line for every message."""
        self.counters.add(event)
        now = self.clock.now()
        if now - self.last_fault_at.get(event, -10_000) >= 10_000:
            self.last_fault_at[event] = now
            self.log.line(event, error=f"{type(error).__name__}: {error}")

    def start(self):
        """Starts the exporter's thread and those of the connections."""
        self.thread = self.threads.needed(self.run, "flows")
        for message_log in self.message_logs.values():
            for connection in message_log.connections:
                connection.start()

    def run(self):
        """Exports due records at each collect interval until the exporter stops."""
        last_statistics = last_save = self.clock.now()
        while not self.stopping.wait(self.settings.collect_interval / 10_000):
            try:
                now = self.clock.now()
                with self.lock:
                    self.export_due(now, now - last_statistics >= self.settings.statistics_interval)
                    if now - last_statistics >= self.settings.statistics_interval:
                        last_statistics = now
                    for message_log in self.message_logs.values():
                        message_log.remove_sent(now - last_save >= CURSOR_INTERVAL_TICKS)
                    if now - last_save >= CURSOR_INTERVAL_TICKS:
                        last_save = now
            except Exception as error:  # an export fault must not affect queries
                self.fault("flow-fault", error)

    def export_due(self, now, statistics, is_final=False):
        """Moves all due records from the accounts into the message logs."""
        while True:
            records = self.accounts.collect(now, MAX_RECORDS_PER_COLLECT, is_final)
            for message_log in self.message_logs.values():
                message_log.add(records, now // 10_000)
            if len(records) < MAX_RECORDS_PER_COLLECT:
                break
        if statistics:
            for message_log in self.message_logs.values():
                message_log.statistics(now, self.settings.domain, self.accounts.shown())
        for message_log in self.message_logs.values():
            message_log.flush(now // 10_000)

    def prepare(self, settings):
        """Checks and loads what a reload needs before anything changes; raises InvalidExportError."""
        if settings.spool != self.settings.spool:
            raise InvalidExportError("flows > spool: another directory needs a restart")
        return self.load_tls_contexts(settings)

    def change(self, settings, contexts):
        """Applies new settings. Collectors are matched by name and format."""
        with self.lock:
            now = self.clock.now()
            self.export_due(now, False)
            self.settings = settings
            self.accounts.set_limits(settings.max_flows, settings.active_timeout, settings.idle_timeout)
            connections = [
                connection
                for message_log in self.message_logs.values()
                for connection in message_log.connections
            ]
            old = {
                (connection.collector.name, connection.message_log.format): connection
                for connection in connections
            }
            for format in {collector.format: 0 for collector in settings.collectors}:
                if format in self.message_logs:
                    with self.message_logs[format].condition:
                        self.message_logs[format].configure(settings)
                else:
                    self.new_message_log(format, settings)
            for number, collector in enumerate(settings.collectors, 1):
                connection = old.pop((collector.name, collector.format), None)
                tls_context = contexts.get(collector.name)
                if connection:
                    connection.change(collector, number, tls_context)
                    connection.window.catch_up_rate, connection.window.resend_size = (
                        settings.catch_up_rate,
                        connection.resend_size(settings),
                    )
                    continue
                message_log = self.message_logs[collector.format]
                connection = CollectorConnection(self, message_log, collector, number, tls_context)
                with message_log.condition:
                    connection.window = SendWindow(
                        connection.window.resend_size,
                        settings.catch_up_rate,
                        message_log.backlog.next,
                        message_log.backlog.next,
                    )
                    message_log.connections.append(connection)
                connection.start()
            for connection in old.values():
                connection.end_after_flush(time.monotonic() + FLUSH_TIMEOUT_S, removed=True)
                with connection.message_log.condition:
                    connection.message_log.connections.remove(connection)
                self.log.line("flow-collector-removed", collector=connection.collector.name)

    def stop(self):
        """Exports open flows as ended by force.

        Waits up to FLUSH_TIMEOUT_S for the collectors to take the rest."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        while self.accounts.open_connections > 0 and time.monotonic() < deadline:
            time.sleep(0.01)  # threads of connections closed just now still report their last traffic
        self.stopping.set()
        if self.thread:
            self.thread.join(2.0)
        with self.lock:
            try:
                self.export_due(self.clock.now(), True, is_final=True)
            except Exception as error:
                self.fault("flow-fault", error)
            connections = [
                connection
                for message_log in self.message_logs.values()
                for connection in message_log.connections
            ]
            deadline = time.monotonic() + FLUSH_TIMEOUT_S
            for connection in connections:
                connection.end_after_flush(deadline)
            for connection in connections:
                if connection.thread:
                    connection.thread.join(max(0.0, deadline + CLOSE_TIMEOUT_S - time.monotonic()))
            for message_log in self.message_logs.values():
                message_log.remove_sent(True)
                for connection in message_log.connections:
                    window = connection.window
                    left = (
                        sum(high - low for low, high in window.pending_ranges)
                        + message_log.backlog.next
                        - window.next_live
                    )
                    self.log.line(
                        "flow-export",
                        collector=connection.collector.name,
                        messages=window.messages,
                        records=window.records,
                        octets=window.octets,
                        repeated=window.repeated,
                        not_sent=window.not_sent[0],
                        messages_left=left,
                        kept=message_log.spool is not None,
                    )
                if message_log.spool is not None:
                    message_log.spool.close()
            self.log.line("flow-accounts", **self.accounts.shown())
