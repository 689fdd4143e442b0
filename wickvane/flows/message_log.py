"""The log of all messages of one export format, from which its collectors are served."""

from threading import Condition, Lock

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9, spool
from wickvane.flows.elements import PLAIN_KINDS
from wickvane.flows.extension import IPFIX, NETFLOW9, PLAIN
from wickvane.flows.send_window import CORRUPT, Backlog, Segment


class MessageLog:
    """The messages of one format: writer, backlog, optional spool, and the collectors' connections."""

    def __init__(self, exporter, format):
        self.exporter, self.format, self.condition = exporter, format, Condition(Lock())
        self.connections, self.spool, self.writer, self.sequence = [], None, None, 0
        self.backlog = Backlog(1, "oldest", 1)
        self.corrupt_messages = 0

    def configure(self, settings):
        """Sets up the writer and the limits from the settings, at start-up and at each reload."""
        on_disk = self.spool is not None
        self.backlog.set_limits(
            settings.max_spool_size if on_disk else settings.queue_size,
            settings.policy,
            settings.segment_size if on_disk else max(8192, settings.queue_size // 8),
        )
        if self.format != NETFLOW9:
            templates = (
                ipfix.Generation(0, settings.name_width, PLAIN_KINDS)
                if self.format == PLAIN
                else ipfix.Generation(
                    settings.enterprise, settings.name_width if settings.fixed_width_names else 0
                )
            )
            self.generation = spool.Generation(templates.sets, settings.domain)
            sequence = self.writer.sequence if self.writer else self.sequence
            max_size = settings.max_message_size(self.format)
            self.writer = ipfix.Writer(settings.domain, templates, max_size, on_disk, sequence)
            self.encode = ipfix.plain_record if self.format == PLAIN else ipfix.flow_record
            name = templates.name
        else:
            layout = netflow9.Layout(settings.name_width)
            self.generation = spool.Generation(layout.sets, settings.domain)
            self.writer = netflow9.Writer(layout, settings.max_message_size(self.format))
            self.encode, name = layout.flow, layout.name
        # Index -1, the last entry of each list, is used for traffic of no group or tenant.
        self.names = (
            [name(n) for n in self.exporter.groups] + [name("")],
            [name(n) for n in self.exporter.tenants] + [name("")],
            {},
            name,
        )

    def open_spool(self, settings):
        """Opens the spool and recovers its messages; sequence numbers and indices continue.

        Raises spool.SpoolError if the directory cannot be used or read."""
        self.spool = spool.Spool(settings.spool)
        try:
            segments, next_index, self.sequence, faults = self.spool.recover()
        except OSError as error:
            raise spool.SpoolError(f"the spool {settings.spool} cannot be read: {error.strerror}") from None
        for name, what, corrupt, truncated in faults:
            self.corrupt_messages += corrupt
            self.exporter.log.line(
                "flow-spool-fault", file=name, what=what, messages=corrupt, octets=truncated
            )
        cursors = [self.spool.cursor(c.name) or 0 for c in settings.collectors if c.format == self.format]
        self.backlog.restore(segments)
        self.backlog.next = max([next_index, self.backlog.next] + cursors)
        if segments:
            self.exporter.log.line(
                "flow-spool-found",
                segments=len(segments),
                octets=self.backlog.size,
                messages=sum(map(len, segments)),
            )

    def add(self, records, seconds):
        """Adds flow records; `seconds` is the export time."""
        add, encode, names = self.writer.add, self.encode, self.names
        for record in records:
            kind, data = encode(record, names)
            add(kind, data, seconds, record.key[0])

    def flush(self, seconds):
        """Moves all finished messages into the backlog and wakes the connections."""
        self.writer.finish(seconds)
        messages = self.writer.take()
        if messages:
            with self.condition:
                for data, _, groups in messages:
                    self.append(data, groups, seconds)
                self.condition.notify_all()

    def append(self, data, groups, seconds):
        """Adds a message to the backlog, which may drop segments or reject the message."""
        admitted, dropped = self.backlog.admit(len(data))
        for segment in dropped:
            self.drop_segment(segment)
        if not admitted:
            for connection in self.connections:
                connection.window.count_not_sent(1, len(data), groups)
            self.exporter.counters.add("flow-messages-refused")
            # The next index is not used, so no collector waits for it; the sequence numbers show the gap.
            return
        if self.backlog.needs_segment(self.generation):
            self.backlog.open(self.new_segment(seconds))
        segment = self.backlog.segments[-1]
        if segment.file_name is not None:
            try:
                self.spool.write(segment, data)
            except OSError as error:
                self.exporter.fault("flow-spool-unwritable", error)
                segment = Segment(self.backlog.next, self.generation)
                self.backlog.open(segment)
        if segment.file_name is None:
            segment.messages_in_memory.append(data)
        self.backlog.append(len(data), sum(groups.values()))

    def new_segment(self, seconds):
        """Returns a segment in a spool file, or in memory if there is no spool or it cannot be written.

        Writing to the spool is tried again with the next segment."""
        if self.spool is not None:
            try:
                return self.spool.begin(self.backlog.next, self.generation, self.writer.sequence, seconds)
            except OSError as error:
                self.exporter.fault("flow-spool-unwritable", error)
        return Segment(self.backlog.next, self.generation)

    def read(self, segment, index):
        """Returns a message's octets. Raises OSError."""
        if segment.messages_in_memory is not None:
            return segment.messages_in_memory[index - segment.first]
        return self.spool.read(segment, index)

    def flow_records_by_group(self, segment, data):
        """Returns {index of resource group: flow records} of a message; -1 is an unknown group."""
        if self.format == IPFIX:
            header = ipfix.message(segment.generation.domain, 0, 0, segment.generation.sets)
            count_by_name = spool.records_in(header, data)[1]
        else:
            if self.format == PLAIN:
                reader, field = ipfix.Reader(0), "applicationName"
                header = ipfix.message(segment.generation.domain, 0, 0, segment.generation.sets)
            else:
                reader, field = netflow9.Reader9(), "resourceGroup"
                header = netflow9.packet(0, 0, 0, 0, segment.generation.domain, segment.generation.sets)
                data = netflow9.packet(0, 0, 0, 0, segment.generation.domain, data[netflow9.COUNT.size :])
            count_by_name = {}
            for event in [*reader.message(header), *reader.message(data)]:
                if event[0] == "record":
                    count_by_name[event[3][field]] = count_by_name.get(event[3][field], 0) + 1
        group_names, groups = self.exporter.groups, {}
        for name, count in count_by_name.items():
            index = group_names.index(name) if name in group_names else -1
            groups[index] = groups.get(index, 0) + count
        return groups

    def drop_segment(self, segment):
        """Drops a segment from a full backlog.

        Records that a collector was not sent are counted by resource group."""
        for connection in self.connections:
            for index in connection.window.discard(segment.first, segment.next):
                _, size = segment.span(index)
                try:
                    corrupt = segment.counts[index - segment.first] == CORRUPT
                    groups = {} if corrupt else self.flow_records_by_group(segment, self.read(segment, index))
                except (OSError, ProtocolError):
                    groups = {}
                connection.window.count_not_sent(1, size, groups)
                self.exporter.counters.add("flow-messages-dropped")
        self.remove_file(segment)

    def remove_file(self, segment):
        """Removes the segment's spool file, if it has one."""
        if segment.file_name is not None:
            self.spool.remove(segment.file_name)

    def remove_sent(self, save_cursors):
        """Removes segments that no collector needs.

        With `save_cursors`, saves positions for the next start."""
        with self.condition:
            floor = min(
                [connection.window.lowest_needed_index() for connection in self.connections],
                default=self.backlog.next,
            )
            for segment in self.backlog.remove_below(floor):
                self.remove_file(segment)
            cursors = [
                (connection, connection.window.lowest_needed_index()) for connection in self.connections
            ]
        if save_cursors and self.spool is not None:
            for connection, cursor in cursors:
                if connection.saved_cursor != cursor:
                    try:
                        self.spool.save_cursor(connection.collector.name, cursor)
                        connection.saved_cursor = cursor
                    except OSError as error:
                        self.exporter.fault("flow-spool-unwritable", error)

    def statistics(self, now, domain, totals):
        """Adds one options record per collector, and one per resource group with records not sent."""
        for connection in self.connections:
            with self.condition:
                window = connection.window
                figures = (
                    window.messages,
                    window.records,
                    window.octets,
                    *window.not_sent,
                    window.repeated,
                    self.corrupt_messages,
                    totals["folded"],
                    totals["begun"],
                    totals["client-in"] + totals["client-out"],
                    totals["engine-in"] + totals["engine-out"],
                )
                not_sent_by_group = {
                    group: tuple(totals_of_group)
                    for group, totals_of_group in window.not_sent_by_group.items()
                }
            header, at, seconds = (domain, connection.number), now // 10, now // 10_000
            name = self.names[3](connection.collector.name)
            if self.format == PLAIN:
                # This format has no element for the resource group of records that were not sent.
                data = ipfix.PLAIN_STATISTICS_FIELDS.pack(*header, at, *figures[:6])
                self.writer.add("plain-statistics", data, seconds)
                continue
            if self.format == IPFIX:
                data = ipfix.STATISTICS_FIELDS.pack(*header, at, *figures) + name
                self.writer.add("statistics", data, seconds)
            else:
                layout = self.writer.layout
                data = layout.options("statistics", *header, at, *figures, name)
                self.writer.add("statistics", data, seconds)
            for group, (flows, octets) in not_sent_by_group.items():
                if self.format == IPFIX:
                    ids, rest = ipfix.NOT_SENT_FIELDS
                    data = ids.pack(*header) + self.names[0][group] + rest.pack(at, flows, octets)
                else:
                    data = layout.options("not-sent", *header, self.names[0][group], at, flows, octets)
                self.writer.add("not-sent", data, seconds)
