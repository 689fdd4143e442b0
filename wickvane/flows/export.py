"""The exporter's shell: threads, sockets and files round accounts, codecs and outlets. It decides nothing.

One thread takes the records that are due out of the accounts, and puts them as messages into a Line (one for
each format). Each collector has a Way, a thread that dials and sends; only that one waits on its collector.
The path of queries touches the accounts and nothing else here.
"""

import os
import select
import socket
import time
from random import Random
from threading import Condition, Event, Lock

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9, spool
from wickvane.flows.accounts import Accounts
from wickvane.flows.elements import PLAIN_KINDS
from wickvane.flows.outlet import SPOILT, UNCOUNTED, Backlog, Outlet, Route, Segment
from wickvane.flows.part import IPFIX, NETFLOW9, PLAIN, TLS, UDP
from wickvane.net.threads import Threads

CONNECT_S, CLOSE_S, FLUSH_S, IDLE_S, SETTLE_S = 1.0, 1.0, 1.5, 1.0, 0.5
BATCH = 65_536  # octets handed to a TCP connection at a time
AT_ONCE = 1024  # records taken out of the accounts under their lock
LIVED = 100_000  # a connection that lasted so long did work
KEEP_EVERY = 10_000  # between two notes of where outlets stand
UDP_WINDOW = 65_536  # a refusal tells of a datagram sent just before, not of long ago


class Unusable(Exception):
    """The export cannot be started, or changed, as the document has it."""


class Line:
    """All messages of one format: the writer, the backlog, where its segments lie, and the ways out of it."""

    def __init__(self, exporter, format):
        self.exporter, self.format, self.more = exporter, format, Condition(Lock())
        self.ways, self.spool, self.writer, self.sequence = [], None, None, 0
        self.backlog = Backlog(1, "oldest", 1)
        self.spoilt = 0

    def shape(self, part):
        """The writer and the bounds that a document asks for, at the start and at each new one."""
        on_disk = self.spool is not None
        self.backlog.limits(
            part.spool_most if on_disk else part.queue,
            part.policy,
            part.segment if on_disk else max(8192, part.queue // 8),
        )
        if self.format != NETFLOW9:
            templates = (
                ipfix.Generation(0, part.width, PLAIN_KINDS)
                if self.format == PLAIN
                else ipfix.Generation(part.enterprise, part.width if part.fixed else 0)
            )
            self.generation = spool.Generation(templates.sets, part.domain)
            sequence = self.writer.sequence if self.writer else self.sequence
            most = part.message_most(self.format)
            self.writer = ipfix.Writer(part.domain, templates, most, on_disk, sequence)
            self.encode = ipfix.plain_record if self.format == PLAIN else ipfix.flow_record
            name = templates.name
        else:
            layout = netflow9.Layout(part.width)
            self.generation = spool.Generation(layout.sets, part.domain)
            self.writer = netflow9.Writer(layout, part.message_most(self.format))
            self.encode, name = layout.flow, layout.name
        # Index -1 is nobody's: the last place of each list.
        self.names = (
            [name(n) for n in self.exporter.groups] + [name("")],
            [name(n) for n in self.exporter.tenants] + [name("")],
            {},
            name,
        )

    def open_spool(self, part):
        """What a former start left is behind for every way; the sequence and the indices go on."""
        self.spool = spool.Spool(part.spool)
        try:
            segments, following, self.sequence, faults = self.spool.recover()
        except OSError as error:
            raise spool.Unusable(f"the spool {part.spool} cannot be read: {error.strerror}") from None
        for name, what, spoilt, cut in faults:
            self.spoilt += spoilt
            self.exporter.log.line("flow-spool-fault", file=name, what=what, messages=spoilt, octets=cut)
        cursors = [self.spool.cursor(c.name) or 0 for c in part.collectors if c.format == self.format]
        self.backlog.restore(segments)
        self.backlog.next = max([following, self.backlog.next] + cursors)
        if segments:
            self.exporter.log.line(
                "flow-spool-found",
                segments=len(segments),
                octets=self.backlog.size,
                messages=sum(map(len, segments)),
            )

    def add(self, records, seconds):
        add, encode, names = self.writer.add, self.encode, self.names
        for record in records:
            kind, data = encode(record, names)
            add(kind, data, seconds, record.key[0])

    def flush(self, seconds):
        self.writer.finish(seconds)
        done = self.writer.take()
        if done:
            with self.more:
                for data, _, groups in done:
                    self.put(data, groups, seconds)
                self.more.notify_all()

    def put(self, data, groups, seconds):
        admitted, gone = self.backlog.admit(len(data))
        for segment in gone:
            self.let_go(segment)
        if not admitted:
            for way in self.ways:
                way.outlet.count_lost(1, len(data), groups)
            self.exporter.counters.add("flow-messages-refused")
            # The line's next index is not used up, so nobody waits for it; the sequence tells of the gap.
            return
        if self.backlog.needs_segment(self.generation):
            self.backlog.open(self.new_segment(seconds))
        segment = self.backlog.segments[-1]
        if segment.place is not None:
            try:
                self.spool.write(segment, data)
            except OSError as error:
                self.exporter.fault("flow-spool-unwritable", error)
                segment = Segment(self.backlog.next, self.generation)
                self.backlog.open(segment)
        if segment.place is None:
            segment.held.append(data)
        self.backlog.append(len(data), sum(groups.values()))

    def new_segment(self, seconds):
        """A file, or memory where there is no spool or it cannot be written now: it is tried again with the
        next segment."""
        if self.spool is not None:
            try:
                return self.spool.begin(self.backlog.next, self.generation, self.writer.sequence, seconds)
            except OSError as error:
                self.exporter.fault("flow-spool-unwritable", error)
        return Segment(self.backlog.next, self.generation)

    def read(self, segment, index):
        if segment.held is not None:
            return segment.held[index - segment.first]
        return self.spool.read(segment, index)

    def groups_of(self, segment, data):
        """{resource group's index: flow records} of a message; index -1 for one that is no longer known."""
        if self.format == IPFIX:
            head = ipfix.message(segment.generation.domain, 0, 0, segment.generation.sets)
            found = spool.records_in(head, data)[1]
        else:
            if self.format == PLAIN:
                reader, field = ipfix.Reader(0), "applicationName"
                head = ipfix.message(segment.generation.domain, 0, 0, segment.generation.sets)
            else:
                reader, field = netflow9.Reader9(), "resourceGroup"
                head = netflow9.packet(0, 0, 0, 0, segment.generation.domain, segment.generation.sets)
                data = netflow9.packet(0, 0, 0, 0, segment.generation.domain, data[netflow9.COUNT.size :])
            found = {}
            for event in [*reader.message(head), *reader.message(data)]:
                if event[0] == "record":
                    found[event[3][field]] = found.get(event[3][field], 0) + 1
        places, groups = self.exporter.groups, {}
        for name, count in found.items():
            place = places.index(name) if name in places else -1
            groups[place] = groups.get(place, 0) + count
        return groups

    def let_go(self, segment):
        """A segment that is pushed out: what no way has handed on is counted, by resource group."""
        for way in self.ways:
            for index in way.outlet.let_go(segment.first, segment.next):
                _, size = segment.span(index)
                try:
                    spoilt = segment.counts[index - segment.first] == SPOILT
                    groups = {} if spoilt else self.groups_of(segment, self.read(segment, index))
                except (OSError, ProtocolError):
                    groups = {}
                way.outlet.count_lost(1, size, groups)
                self.exporter.counters.add("flow-messages-dropped")
        self.discard(segment)

    def discard(self, segment):
        if segment.place is not None:
            self.spool.remove(segment.place)

    def trim(self, keep):
        """Forgets what every way is done with; `keep`: notes where each stands, for the next start."""
        with self.more:
            floor = min([way.outlet.floor() for way in self.ways], default=self.backlog.next)
            for segment in self.backlog.passed(floor):
                self.discard(segment)
            marks = [(way, way.outlet.floor()) for way in self.ways]
        if keep and self.spool is not None:
            for way, mark in marks:
                if way.kept != mark:
                    try:
                        self.spool.keep_cursor(way.collector.name, mark)
                        way.kept = mark
                    except OSError as error:
                        self.exporter.fault("flow-spool-unwritable", error)

    def statistics(self, now, domain, totals):
        """One options record a way, and one for each resource group that it let go of something of."""
        for way in self.ways:
            with self.more:
                out = way.outlet
                figures = (
                    out.messages,
                    out.records,
                    out.octets,
                    *out.not_sent,
                    out.repeated,
                    self.spoilt,
                    totals["folded"],
                    totals["begun"],
                    totals["client-in"] + totals["client-out"],
                    totals["engine-in"] + totals["engine-out"],
                )
                lost = {group: tuple(had) for group, had in out.groups.items()}
            head, at, seconds = (domain, way.number), now // 10, now // 10_000
            name = self.names[3](way.collector.name)
            if self.format == PLAIN:
                # Which group it was that something was let go of, it has no element for.
                data = ipfix.PLAIN_STATISTICS_FIELDS.pack(*head, at, *figures[:6])
                self.writer.add("plain-statistics", data, seconds)
                continue
            if self.format == IPFIX:
                data = ipfix.STATISTICS_FIELDS.pack(*head, at, *figures) + name
                self.writer.add("statistics", data, seconds)
            else:
                layout = self.writer.layout
                data = layout.options("statistics", *head, at, *figures, name)
                self.writer.add("statistics", data, seconds)
            for group, (flows, octets) in lost.items():
                if self.format == IPFIX:
                    ids, rest = ipfix.NOT_SENT_FIELDS
                    data = ids.pack(*head) + self.names[0][group] + rest.pack(at, flows, octets)
                else:
                    data = layout.options("not-sent", *head, self.names[0][group], at, flows, octets)
                self.writer.add("not-sent", data, seconds)


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
