"""One collector: the thread that dials and sends, and where it stands."""

import select
import socket
import time
from threading import Event

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9
from wickvane.flows.outlet import SPOILT, UNCOUNTED, Outlet, Route
from wickvane.flows.part import NETFLOW9, TLS, UDP

CONNECT_S = 1.0
CLOSE_S = 1.0
IDLE_S = 1.0
BATCH = 65_536  # octets handed to a TCP connection at a time
LIVED = 100_000  # a connection that lasted so long did work
UDP_WINDOW = 65_536  # a refusal tells of a datagram sent just before, not of long ago


class Way:
    """One collector: its outlet out of the line, and the thread that sends."""

    def __init__(self, exporter, line, collector, number, secure):
        self.exporter, self.line, self.collector, self.number = exporter, line, collector, number
        self.secure, self.kept, self.leaving, self.flush_by = secure, None, Event(), None
        part, backlog = exporter.part, line.backlog
        begin = backlog.first
        if line.spool is not None:
            begin = max(begin, min(line.spool.cursor(collector.name) or 0, backlog.next))
        self.outlet = Outlet(self.window(part), part.pace, begin, backlog.next)
        self.route = self.new_route()
        self.changed = False
        self.ends_before = None  # of one that was removed: the first message that is not for it
        self.sequence, self.thread, self.told_at, self.mark = 0, None, None, None

    def window(self, part):
        """What is kept to be sent again must leave room for what is new: a quarter of the line at most."""
        window = min(part.window, self.line.backlog.most // 4)
        return min(window, UDP_WINDOW) if self.collector.transport == UDP else window

    def new_route(self):
        return Route(len(self.collector.addresses), self.collector.home, self.exporter.chance)

    def start(self):
        self.thread = self.exporter.threads.needed(self.run, f"flows-{self.collector.name}")

    def change(self, collector, number, secure):
        """From another thread: another address, or renewed certificates; what is open is ended in order."""
        with self.line.more:
            moved = collector != self.collector or secure is not None
            self.number = number
            if moved:
                self.collector, self.secure, self.changed = collector, secure, True
                self.line.more.notify_all()

    def leave(self, by, removed=False):
        """Ends once all is sent, or at `by` of the monotonic clock; removed: nothing later is for it."""
        with self.line.more:
            self.flush_by = by
            if removed:
                self.ends_before = self.line.backlog.next
            self.leaving.set()
            self.line.more.notify_all()

    def newest(self):
        """The number behind the last message that is for this collector."""
        following = self.line.backlog.next
        return following if self.ends_before is None else min(following, self.ends_before)

    def over(self):
        if not self.leaving.is_set():
            return False
        return time.monotonic() >= self.flush_by

    def run(self):
        clock = self.exporter.clock
        while not self.leaving.is_set() or not self.over() and self.due():
            try:
                if self.changed:
                    self.changed, self.route = False, self.new_route()
                at, wait = self.route.choose(clock.now())
                if at < 0:
                    self.pause(wait)
                    continue
                self.attempt(at)
            except Exception as error:  # a fault of ours ends no export
                self.exporter.fault("flow-collector-fault", error)
                self.pause(10_000)

    def due(self):
        with self.line.more:
            return self.outlet.next(self.exporter.clock.now(), self.newest()) is not None

    def pause(self, tenths):
        with self.line.more:
            if not (self.changed or self.leaving.is_set()):
                self.line.more.wait(min(tenths, 10_000) / 10_000)
        if self.leaving.is_set():
            time.sleep(0.02)

    def attempt(self, at):
        collector, clock = self.collector, self.exporter.clock
        host, port = collector.addresses[at]
        began, reason, detail, sock = clock.now(), "fault", None, None
        try:
            sock = self.dial(collector, (host, port))
            self.route.up(at, began)
            with self.line.more:
                self.outlet.connected(began, self.line.backlog.next)
            self.exporter.counters.add("flow-connections")
            self.exporter.log.line("flow-collector-connected", collector=collector.name, to=f"{host}:{port}")
            reason = self.serve(sock, at)
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
            with self.line.more:
                if clean or reason == "stop" and collector.transport == UDP:
                    self.outlet.delivered()
                else:
                    self.outlet.broke()
            if reason not in ("home", "changed", "stop"):
                if now - began > LIVED:
                    self.route.worked(at)
                self.route.failed(at, now)
            self.exporter.counters.add(f"flow-connections-ended-{reason}")
            self.exporter.log.line(
                "flow-collector-ended",
                collector=collector.name,
                to=f"{host}:{port}",
                reason=reason,
                detail=detail,
                clean=clean,
                lived=(now - began) / 10_000,
            )

    def dial(self, collector, address):
        if collector.transport == UDP:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
            sock.connect(address)
            return sock
        sock = socket.create_connection(address, timeout=CONNECT_S)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if collector.transport == TLS:
                sock = self.secure.wrap_socket(sock, server_hostname=collector.tls.name or address[0])
            sock.settimeout(collector.stall / 10_000)
        except BaseException:
            sock.close()
            raise
        return sock

    def close(self, sock):
        """Whether the collector read to the end: it closed its side after we closed ours."""
        if self.collector.transport == UDP:
            return True
        try:
            sock.settimeout(CLOSE_S)
            if hasattr(sock, "unwrap"):
                sock = sock.unwrap()
            sock.shutdown(socket.SHUT_WR)
            for _ in range(64):
                if not sock.recv(4096):
                    return True
        except OSError:
            pass
        return False

    def peer_left(self, sock):
        """Raises, or tells, if the collector closed. What it writes is read and is of no interest."""
        # Not select(): it knows no descriptor past 1023, and a full house has more.
        looking = select.poll()
        looking.register(sock, select.POLLIN)
        if not looking.poll(0):
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

    def serve(self, sock, at):
        """Sends until there is a reason to end; OSError where the connection does not bear it."""
        udp, clock, line, told = self.collector.transport == UDP, self.exporter.clock, self.line, {}
        self.told_at = self.mark = None
        while True:
            if self.changed:
                return "changed"
            if self.over():
                return "stop"
            if self.peer_left(sock):
                return "closed"
            if at and self.route.goes_home(clock.now()):
                if self.answers(self.collector.addresses[0]):
                    return "home"
                self.route.stays(clock.now())
            with line.more:
                batch, wait = self.take(1 if udp else BATCH)
                if not batch:
                    if self.leaving.is_set() and wait is None:
                        return "stop"
                    if not self.changed:
                        line.more.wait(min(IDLE_S, (wait or 10_000) / 10_000))
                    continue
            if udp:
                self.send_datagram(sock, *batch[0])
            else:
                self.send_stream(sock, batch, told)

    def take(self, most):
        """(messages with their generations, wait): what goes out now, handed over in the outlet's eyes."""
        batch, size, wait = [], 0, None
        while size < most:
            index = self.outlet.next(self.exporter.clock.now(), self.newest())
            if index is None or index < 0:
                wait = -index if index else None
                break
            segment = self.line.backlog.find(index)
            count = segment.counts[index - segment.first] if segment else SPOILT
            if count == SPOILT:
                self.outlet.skip(index)
                continue
            try:
                data = self.line.read(segment, index)
                if count == UNCOUNTED:
                    count = sum(self.line.groups_of(segment, data).values())
                    segment.counts[index - segment.first] = count
            except (OSError, ProtocolError) as error:
                self.exporter.fault("flow-spool-unreadable", error)
                segment.counts[index - segment.first] = SPOILT
                self.line.spoilt += 1
                continue
            self.outlet.handed(index, len(data), count, count)
            batch.append((data, segment.generation))
            size += len(data)
        return batch, wait

    def send_stream(self, sock, batch, told):
        parts, seconds = [], self.exporter.clock.now() // 10_000
        for data, generation in batch:
            # Old templates go only when nothing behind can need them.
            mark = generation, generation == self.line.generation and not self.outlet.behind
            if mark != self.mark:
                self.mark = mark
                change = ipfix.change_of(
                    told.setdefault(generation.domain, {}), ipfix.templates_in(generation.sets), mark[1]
                )
                if change:
                    sequence = ipfix.HEAD.unpack_from(data)[3]
                    parts.append(ipfix.message(generation.domain, sequence, seconds, change))
            parts.append(data)
        sock.sendall(b"".join(parts))

    def send_datagram(self, sock, data, generation):
        now = self.exporter.clock.now()
        nine = self.collector.format == NETFLOW9
        if (
            self.told_at is None
            or self.told_at[1] != generation
            or (now - self.told_at[0] >= self.exporter.part.refresh)
        ):
            self.told_at = now, generation
            if nine:
                self.send9(sock, generation, len(netflow9.ID_OF), generation.sets)
            else:
                sequence = ipfix.HEAD.unpack_from(data)[3]
                sock.send(ipfix.message(generation.domain, sequence, now // 10_000, generation.sets))
        if nine:
            self.send9(sock, generation, *netflow9.COUNT.unpack_from(data), data[netflow9.COUNT.size :])
        else:
            sock.send(data)

    def send9(self, sock, generation, count, sets):
        now = self.exporter.clock.now()
        sock.send(
            netflow9.packet(
                count,
                (now - self.exporter.began) // 10,
                now // 10_000,
                self.sequence,
                generation.domain,
                sets,
            )
        )
        self.sequence += 1

    def answers(self, address):
        """Whether the first collector can be reached again, before the standby is left for it."""
        try:
            if self.collector.transport != UDP:
                socket.create_connection(address, timeout=CONNECT_S).close()
            return True
        except OSError:
            return False
