"""All messages of one format: what collectors that speak it are sent from."""

from threading import Condition, Lock

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9, spool
from wickvane.flows.elements import PLAIN_KINDS
from wickvane.flows.outlet import SPOILT, Backlog, Segment
from wickvane.flows.part import IPFIX, NETFLOW9, PLAIN


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
