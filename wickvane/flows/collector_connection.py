"""The connection to one collector: the thread that connects and sends."""

import select
import socket
import time
from threading import Event

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9
from wickvane.flows.extension import NETFLOW9, TLS, UDP
from wickvane.flows.send_window import CORRUPT, UNCOUNTED, AddressSelector, SendWindow

CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
MAX_IDLE_WAIT_S = 1.0
MAX_BATCH_SIZE = 65_536  # octets written to a TCP connection at a time
WORKED_TICKS = 100_000  # ticks after which a connection counts as having worked
MAX_UDP_RESEND_SIZE = 65_536  # an ICMP refusal concerns a recent datagram, not an old one


class CollectorConnection:
    """Sends the messages of a MessageLog to one collector in a thread of its own."""

    def __init__(self, exporter, message_log, collector, number, tls_context):
        self.exporter, self.message_log, self.collector, self.number = (
            exporter,
            message_log,
            collector,
            number,
        )
        self.tls_context, self.saved_cursor, self.ending, self.flush_deadline = (
            tls_context,
            None,
            Event(),
            None,
        )
        settings, backlog = exporter.settings, message_log.backlog
        first = backlog.first
        if message_log.spool is not None:
            first = max(first, min(message_log.spool.cursor(collector.name) or 0, backlog.next))
        self.window = SendWindow(self.resend_size(settings), settings.catch_up_rate, first, backlog.next)
        self.address_selector = self.new_address_selector()
        self.changed = False
        self.end_index_on_removal = None  # for a removed collector: index of the first message not sent to it
        self.sequence, self.thread, self.templates_sent_at, self.template_state = 0, None, None, None

    def resend_size(self, settings):
        """Returns the octets kept to be sent again: at most a quarter of the backlog's bound.

        The rest is room for new messages."""
        size = min(settings.resend_size, self.message_log.backlog.max_size // 4)
        return min(size, MAX_UDP_RESEND_SIZE) if self.collector.transport == UDP else size

    def new_address_selector(self):
        return AddressSelector(
            len(self.collector.addresses), self.collector.return_after, self.exporter.random
        )

    def start(self):
        self.thread = self.exporter.threads.needed(self.run, f"flows-{self.collector.name}")

    def change(self, collector, number, tls_context):
        """Takes a new address or renewed certificates; an open connection is closed in order.

        Called from another thread."""
        with self.message_log.condition:
            is_new = collector != self.collector or tls_context is not None
            self.number = number
            if is_new:
                self.collector, self.tls_context, self.changed = collector, tls_context, True
                self.message_log.condition.notify_all()

    def end_after_flush(self, deadline, removed=False):
        """Ends the thread once all is sent, or at `deadline` of the monotonic clock.

        removed: messages that arrive later are not sent to this collector."""
        with self.message_log.condition:
            self.flush_deadline = deadline
            if removed:
                self.end_index_on_removal = self.message_log.backlog.next
            self.ending.set()
            self.message_log.condition.notify_all()

    def end_index(self):
        """Returns the index after the last message for this collector."""
        end = self.message_log.backlog.next
        return end if self.end_index_on_removal is None else min(end, self.end_index_on_removal)

    def is_flush_over(self):
        """Returns whether the connection is to end and the time for its last messages is over."""
        if not self.ending.is_set():
            return False
        return time.monotonic() >= self.flush_deadline

    def run(self):
        """Connects and sends until the connection is to end; the body of the thread."""
        clock = self.exporter.clock
        while not self.ending.is_set() or not self.is_flush_over() and self.has_pending():
            try:
                if self.changed:
                    self.changed, self.address_selector = False, self.new_address_selector()
                position, wait = self.address_selector.choose(clock.now())
                if position < 0:
                    self.pause(wait)
                    continue
                self.run_connection(position)
            except Exception as error:  # an internal fault must not end the export
                self.exporter.fault("flow-collector-fault", error)
                self.pause(10_000)

    def has_pending(self):
        """Returns whether any message is still to be sent to this collector."""
        with self.message_log.condition:
            return self.window.next_index(self.exporter.clock.now(), self.end_index()) is not None

    def pause(self, ticks):
        """Waits for up to `ticks`, at most a second, or until a change."""
        with self.message_log.condition:
            if not (self.changed or self.ending.is_set()):
                self.message_log.condition.wait(min(ticks, 10_000) / 10_000)
        if self.ending.is_set():
            time.sleep(0.02)

    def run_connection(self, position):
        """Connects to the address at `position`, sends until the connection ends, and logs why it ended."""
        collector, clock = self.collector, self.exporter.clock
        host, port = collector.addresses[position]
        started_at, reason, detail, sock = clock.now(), "fault", None, None
        try:
            sock = self.connect(collector, (host, port))
            self.address_selector.connected(position, started_at)
            with self.message_log.condition:
                self.window.connected(started_at, self.message_log.backlog.next)
            self.exporter.counters.add("flow-connections")
            self.exporter.log.line("flow-collector-connected", collector=collector.name, to=f"{host}:{port}")
            reason = self.serve(sock, position)
        except TimeoutError:
            reason = "stalled" if sock else "connect-timeout"
        except OSError as error:
            reason = "reset" if sock else "connect-refused"
            detail = error.strerror or type(error).__name__
        finally:
            now, clean = clock.now(), False
            if sock:
                clean = reason in ("home", "changed", "stop") and self.close(sock)
                sock.close()
            with self.message_log.condition:
                if clean or reason == "stop" and collector.transport == UDP:
                    self.window.all_delivered()
                else:
                    self.window.connection_lost()
            if reason not in ("home", "changed", "stop"):
                if now - started_at > WORKED_TICKS:
                    self.address_selector.reset_back_off(position)
                self.address_selector.failed(position, now)
            self.exporter.counters.add(f"flow-connections-ended-{reason}")
            self.exporter.log.line(
                "flow-collector-ended",
                collector=collector.name,
                to=f"{host}:{port}",
                reason=reason,
                detail=detail,
                clean=clean,
                lived=(now - started_at) / 10_000,
            )

    def connect(self, collector, address):
        """Returns a connected socket. Raises OSError."""
        if collector.transport == UDP:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
            sock.connect(address)
            return sock
        sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if collector.transport == TLS:
                sock = self.tls_context.wrap_socket(sock, server_hostname=collector.tls.name or address[0])
            sock.settimeout(collector.stall_timeout / 10_000)
        except BaseException:
            sock.close()
            raise
        return sock

    def close(self, sock):
        """Closes in order and returns whether the collector read to the end.

        It did if it closed its side after this side was closed."""
        if self.collector.transport == UDP:
            return True
        try:
            sock.settimeout(CLOSE_TIMEOUT_S)
            if hasattr(sock, "unwrap"):
                sock = sock.unwrap()
            sock.shutdown(socket.SHUT_WR)
            for _ in range(64):
                if not sock.recv(4096):
                    return True
        except OSError:
            pass
        return False

    def peer_closed(self, sock):
        """Returns whether the collector closed. Anything it writes is discarded.

        Raises OSError on a reset."""
        # poll() instead of select(), which fails with descriptors above 1023.
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        if not poller.poll(0):
            return False
        timeout = sock.gettimeout()
        sock.settimeout(0)
        try:
            return sock.recv(4096) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if getattr(error, "reason", "") or type(error).__name__ != "SSLWantReadError":
                raise
            return False
        finally:
            sock.settimeout(timeout)

    def serve(self, sock, position):
        """Sends until there is a reason to end, which it returns. Raises OSError if the connection fails."""
        udp, clock, message_log, announced = (
            self.collector.transport == UDP,
            self.exporter.clock,
            self.message_log,
            {},
        )
        self.templates_sent_at = self.template_state = None
        while True:
            if self.changed:
                return "changed"
            if self.is_flush_over():
                return "stop"
            if self.peer_closed(sock):
                return "closed"
            if position and self.address_selector.is_return_due(clock.now()):
                if self.is_reachable(self.collector.addresses[0]):
                    return "home"
                self.address_selector.postpone_return(clock.now())
            with message_log.condition:
                batch, wait = self.take(1 if udp else MAX_BATCH_SIZE)
                if not batch:
                    if self.ending.is_set() and wait is None:
                        return "stop"
                    if not self.changed:
                        message_log.condition.wait(min(MAX_IDLE_WAIT_S, (wait or 10_000) / 10_000))
                    continue
            if udp:
                self.send_datagram(sock, *batch[0])
            else:
                self.send_stream(sock, batch, announced)

    def take(self, max_size):
        """Returns ([(message, template generation)], ticks to wait or None).

        The messages are recorded as sent."""
        batch, size, wait = [], 0, None
        while size < max_size:
            index = self.window.next_index(self.exporter.clock.now(), self.end_index())
            if index is None or index < 0:
                wait = -index if index else None
                break
            segment = self.message_log.backlog.find(index)
            count = segment.counts[index - segment.first] if segment else CORRUPT
            if count == CORRUPT:
                self.window.skip(index)
                continue
            try:
                data = self.message_log.read(segment, index)
                if count == UNCOUNTED:
                    count = sum(self.message_log.flow_records_by_group(segment, data).values())
                    segment.counts[index - segment.first] = count
            except (OSError, ProtocolError) as error:
                self.exporter.fault("flow-spool-unreadable", error)
                segment.counts[index - segment.first] = CORRUPT
                self.message_log.corrupt_messages += 1
                continue
            self.window.record_sent(index, len(data), count, count)
            batch.append((data, segment.generation))
            size += len(data)
        return batch, wait

    def send_stream(self, sock, batch, announced):
        """Sends messages by TCP, preceded by template changes that they need. Raises OSError."""
        parts, seconds = [], self.exporter.clock.now() // 10_000
        for data, generation in batch:
            # Old templates are withdrawn only when no pending message can need them.
            state = generation, generation == self.message_log.generation and not self.window.pending_ranges
            if state != self.template_state:
                self.template_state = state
                change = ipfix.template_changes(
                    announced.setdefault(generation.domain, {}),
                    ipfix.parse_templates(generation.sets),
                    state[1],
                )
                if change:
                    sequence = ipfix.HEADER.unpack_from(data)[3]
                    parts.append(ipfix.message(generation.domain, sequence, seconds, change))
            parts.append(data)
        sock.sendall(b"".join(parts))

    def send_datagram(self, sock, data, generation):
        """Sends a message by UDP, preceded by the templates if they are due. Raises OSError."""
        now = self.exporter.clock.now()
        is_netflow9 = self.collector.format == NETFLOW9
        if (
            self.templates_sent_at is None
            or self.templates_sent_at[1] != generation
            or (now - self.templates_sent_at[0] >= self.exporter.settings.template_refresh)
        ):
            self.templates_sent_at = now, generation
            if is_netflow9:
                self.send_netflow9(sock, generation, len(netflow9.TEMPLATE_IDS), generation.sets)
            else:
                sequence = ipfix.HEADER.unpack_from(data)[3]
                sock.send(ipfix.message(generation.domain, sequence, now // 10_000, generation.sets))
        if is_netflow9:
            self.send_netflow9(
                sock, generation, *netflow9.COUNT.unpack_from(data), data[netflow9.COUNT.size :]
            )
        else:
            sock.send(data)

    def send_netflow9(self, sock, generation, count, sets):
        """Sends a NetFlow v9 packet and counts it in the sequence."""
        now = self.exporter.clock.now()
        sock.send(
            netflow9.packet(
                count,
                (now - self.exporter.started_at) // 10,
                now // 10_000,
                self.sequence,
                generation.domain,
                sets,
            )
        )
        self.sequence += 1

    def is_reachable(self, address):
        """Returns whether the primary can be reached, checked before the standby is left for it."""
        try:
            if self.collector.transport != UDP:
                socket.create_connection(address, timeout=CONNECT_TIMEOUT_S).close()
            return True
        except OSError:
            return False
