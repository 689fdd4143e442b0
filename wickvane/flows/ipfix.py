"""IPFIX messages (RFC 7011), written and read; bytes in and events out, no I/O.

Writer packs records into messages of a bounded length and counts the sequence. Reader takes bytes in chunks
of any size and yields events. One record holds both directions of a flow (RFC 5103).

A template's id is derived from its content. A collecting process that reads messages of several generations
of templates (after a reload, a restart or from a spool) therefore never confuses two definitions, and no
template has to be withdrawn early.
"""

import ipaddress
import struct
from hashlib import md5
from zlib import crc32

from wickvane.errors import ProtocolError
from wickvane.flows.elements import (
    ELEMENTS,
    ENCODINGS,
    FULL_KINDS,
    OWN,
    TEMPLATE_FIELDS,
    VARIABLE,
    fixed,
    packer,
    text,
)

VERSION, HEADER, SET_HEADER = 10, struct.Struct("!HHIII"), struct.Struct("!HH")
TEMPLATE_SET, OPTIONS_TEMPLATE_SET, MIN_DATA_SET_ID = 2, 3, 256
MAX_MESSAGE_SIZE = 65_535
MAX_CACHED_ENGINES = 4096  # encoded engine names kept
CHECKSUM_OFFSET = HEADER.size + SET_HEADER.size + 1  # in a message with a checksum, which is its first record

FLOW_FIELDS = {
    kind: packer([name for name in TEMPLATE_FIELDS[kind][0] if ENCODINGS[ELEMENTS[name].type].letter])
    for kind in ("flow4", "flow6", "plain4", "plain6")
}
STATISTICS_FIELDS = packer(TEMPLATE_FIELDS["statistics"][0][:-1])
PLAIN_STATISTICS_FIELDS = packer(TEMPLATE_FIELDS["plain-statistics"][0])
NOT_SENT_FIELDS = struct.Struct("!II"), struct.Struct("!QQQ")


class Generation:
    """The templates under one enterprise number: their ids and the template sets that define them.

    width: octets of each name, for collectors without strings of variable length; 0: variable length."""

    def __init__(self, enterprise, width=0, kinds=FULL_KINDS):
        self.enterprise, self.width, self.ids, records = enterprise, width, {}, {}
        for kind in kinds:
            names, scope = TEMPLATE_FIELDS[kind]
            fields = b"".join(self.field(ELEMENTS[name]) for name in names)
            number = MIN_DATA_SET_ID + crc32(fields + bytes((scope,))) % (MAX_MESSAGE_SIZE - MIN_DATA_SET_ID)
            while number in self.ids.values():
                number = number + 1 if number < MAX_MESSAGE_SIZE else MIN_DATA_SET_ID
            self.ids[kind] = number
            head = SET_HEADER.pack(number, len(names)) + (struct.pack("!H", scope) if scope else b"")
            records.setdefault(OPTIONS_TEMPLATE_SET if scope else TEMPLATE_SET, []).append(head + fields)
        self.sets = b"".join(
            SET_HEADER.pack(n, SET_HEADER.size + sum(map(len, found))) + b"".join(found)
            for n, found in sorted(records.items())
        )
        self.checksum = crc32(self.sets)

    def field(self, element):
        enterprise = self.enterprise if element.enterprise == OWN else element.enterprise
        length = self.width if self.width and element.length == VARIABLE else element.length
        if enterprise:
            return struct.pack("!HHI", element.number | 0x8000, length, enterprise)
        return SET_HEADER.pack(element.number, length)

    def name(self, value):
        """Returns a name as it is encoded under these templates."""
        return fixed(value, self.width) if self.width else text(value)


def parse_templates(sets):
    """Returns {(set id, template id): template record} of template sets such as Generation.sets."""
    found, at = {}, 0
    while at < len(sets):
        kind, size = SET_HEADER.unpack_from(sets, at)
        end, n = at + size, at + SET_HEADER.size
        while end - n >= SET_HEADER.size:
            number, count = SET_HEADER.unpack_from(sets, n)
            last = n + SET_HEADER.size + (2 if kind == OPTIONS_TEMPLATE_SET else 0)
            for _ in range(count):
                last += 8 if sets[last] & 0x80 else 4
            found[kind, number] = sets[n:last]
            n = last
        at = end
    return found


def template_changes(announced, wanted, drop=False):
    """Returns the sets that change a session's templates from `announced` to `wanted`.

    Both are as parse_templates() returns them, and `announced` is updated. Withdrawals come first (RFC 7011
    section 8.1; never over UDP): of templates that change and, with `drop`, of all that are not wanted."""
    parts = {}
    for key, record in list(announced.items()):
        if key in wanted and wanted[key] != record or drop and key not in wanted:
            parts.setdefault((0, key[0]), []).append(SET_HEADER.pack(key[1], 0))
            del announced[key]
    for key, record in wanted.items():
        if key not in announced:
            parts.setdefault((1, key[0]), []).append(record)
            announced[key] = record
    return b"".join(
        SET_HEADER.pack(kind, SET_HEADER.size + sum(map(len, found))) + b"".join(found)
        for (_, kind), found in sorted(parts.items())
    )


def message(domain, sequence, seconds, sets):
    """Returns a message with its header."""
    length = HEADER.size + len(sets)
    return HEADER.pack(VERSION, length, seconds & 0xFFFFFFFF, sequence & 0xFFFFFFFF, domain) + sets


class Packer:
    """Packs records into messages of at most `max_size` octets, one set for each run of records of one kind.

    A subclass defines how messages and sets are encoded; PADDING is the maximum padding of a set."""

    HEADER_SIZE, PADDING = HEADER.size, 0

    def __init__(self, max_size):
        self.max_size, self.finished = max_size, []
        self.begin()

    def begin(self):
        self.sets, self.open, self.size, self.count = [], [], self.HEADER_SIZE, 0
        self.groups, self.kind = {}, None

    def add(self, kind, record, seconds, group=None):
        """Adds a record of a kind in TEMPLATE_FIELDS; with `group`, counts it as that group's flow record."""
        head = SET_HEADER.size + self.PADDING
        more = len(record) + (head if kind != self.kind else 0)
        if self.size + more > self.max_size:
            if self.kind is None:
                raise ValueError("a record exceeds the maximum message size")
            self.finish(seconds)
            more = len(record) + head
        if kind != self.kind:
            self.close_set()
            self.kind = kind
        self.open.append(record)
        self.size += more
        self.count += 1
        if group is not None:
            self.groups[group] = self.groups.get(group, 0) + 1

    def close_set(self):
        if self.open:
            self.sets.append(self.put_set(self.kind, b"".join(self.open)))
            self.open = []

    def finish(self, seconds):
        """Finishes the current message if it holds any record."""
        if self.kind is None:
            return
        self.close_set()
        self.finished.append((self.put_message(b"".join(self.sets), seconds), self.count, self.groups))
        self.begin()

    def take(self):
        """Returns and removes the finished messages."""
        done, self.finished = self.finished, []
        return done


class Writer(Packer):
    """Packs records into IPFIX messages: (bytes, data records in it, {resource group: flow records in it}).

    max_size: octets of a message with its header; checksums: each message begins with a record of its own MD5
    (RFC 5655 section 8.1), which reveals truncated or corrupt files."""

    def __init__(self, domain, generation, max_size, checksums=False, sequence=0):
        self.domain, self.generation = domain, generation
        self.checksums, self.sequence = checksums, sequence & 0xFFFFFFFF
        super().__init__(min(max_size, MAX_MESSAGE_SIZE))

    def begin(self):
        super().begin()
        if self.checksums:
            self.sets.append(
                SET_HEADER.pack(self.generation.ids["checksum"], SET_HEADER.size + 17) + bytes(17)
            )
            self.size, self.count = self.size + SET_HEADER.size + 17, 1

    def put_set(self, kind, body):
        """Returns an encoded data set."""
        return SET_HEADER.pack(self.generation.ids[kind], SET_HEADER.size + len(body)) + body

    def put_message(self, sets, seconds):
        """Returns an encoded message and advances the sequence number."""
        data = message(self.domain, self.sequence, seconds, sets)
        if self.checksums:
            data = data[:CHECKSUM_OFFSET] + md5(data).digest() + data[CHECKSUM_OFFSET + 16 :]
        self.sequence = (self.sequence + self.count) & 0xFFFFFFFF
        return data

    def change(self, generation, seconds):
        """Finishes the current message and continues with other templates."""
        self.finish(seconds)
        self.generation = generation
        self.begin()


def checksum_holds(data):
    """Returns whether the MD5 in a message's first record matches the message."""
    zeroed = data[:CHECKSUM_OFFSET] + bytes(16) + data[CHECKSUM_OFFSET + 16 :]
    return (
        len(data) >= CHECKSUM_OFFSET + 16
        and md5(zeroed).digest() == data[CHECKSUM_OFFSET : CHECKSUM_OFFSET + 16]
    )


def encoded_names_of(record, names):
    """Returns a record's resource group, tenant and engine, encoded; names as in flow_record()."""
    groups, tenants, engines, name = names
    engine = engines.get(record.connection.engine)
    if engine is None:
        if len(engines) > MAX_CACHED_ENGINES:
            engines.clear()
        engine = engines[record.connection.engine] = name(record.connection.engine)
    return groups[record.key[0]], tenants[record.key[1]], engine


TCP, INITIATOR_TO_RESPONDER = 6, 1  # protocolIdentifier, biflowDirection (RFC 5103)


def flow_values(record):
    """Returns (kind, values) of a flow_accounts.Record in the order of elements.FLOW, without names."""
    connection = record.connection
    kind = "flow4" if len(connection.source) == 4 else "flow6"
    return kind, (
        record.id,
        record.part,
        connection.side,
        record.reason,
        record.started_at // 10,
        record.ended_at // 10,
        record.flows,
        TCP,
        INITIATOR_TO_RESPONDER,
        connection.source_port,
        connection.target_port,
        *record.counts,
        record.state,
        record.state_at_end,
        connection.source,
        connection.target,
    )


def flow_record(record, names):
    """Returns (kind, bytes) of a flow_accounts.Record.

    names: resource groups, tenants and engines encoded by Generation.name(), and that method, which encodes
    engines not yet among them."""
    kind, values = flow_values(record)
    return kind, FLOW_FIELDS[kind].pack(*values) + b"".join(encoded_names_of(record, names))


def plain_record(record, names):
    """As flow_record(), with IANA's elements only. Its octetDeltaCount covers both directions."""
    connection = record.connection
    kind = "plain4" if len(connection.source) == 4 else "plain6"
    forward, reverse = record.counts[:2]
    return kind, FLOW_FIELDS[kind].pack(
        record.id,
        record.reason,
        record.started_at // 10,
        record.ended_at // 10,
        record.flows,
        TCP,
        INITIATOR_TO_RESPONDER,
        connection.source_port,
        connection.target_port,
        forward + reverse,
        forward,
        reverse,
        connection.source,
        connection.target,
    ) + b"".join(encoded_names_of(record, names))


class Template:
    """A template that was read. fields: (name or (enterprise, number), type, length)."""

    __slots__ = ("fields", "scope", "min_record_size", "is_fixed_size")

    def __init__(self, fields, scope):
        self.fields, self.scope = fields, scope
        self.min_record_size = sum(1 if length == VARIABLE else length for _, _, length in fields)
        self.is_fixed_size = all(length != VARIABLE for _, _, length in fields)


def decode_value(type, data):
    """Returns the value of a field; unknown types as bytes."""
    if type.startswith("unsigned") or type == "dateTimeMilliseconds":
        return int.from_bytes(data, "big")
    if type == "string":
        return data.rstrip(b"\0").decode("utf-8", "replace")
    if type in ("ipv4Address", "ipv6Address") and len(data) in (4, 16):
        return str(ipaddress.ip_address(data))
    return bytes(data)


def decode_record(template, data, at, end):
    """Returns (values by element name, offset of the next record). Raises ProtocolError."""
    found = {}
    for name, type, length in template.fields:
        if length == VARIABLE:
            if at >= end:
                raise ProtocolError("a record ends inside a string's length")
            length, at = data[at], at + 1
            if length == 255:
                if at + 2 > end:
                    raise ProtocolError("a record ends inside a string's length")
                length, at = int.from_bytes(data[at : at + 2], "big"), at + 2
        if at + length > end:
            raise ProtocolError("a record ends inside a field")
        found[name] = decode_value(type, data[at : at + length])
        at += length
    return found, at


class Reader:
    """Reads IPFIX messages and yields events:

    ("message", domain, sequence, seconds)   a header
    ("template", domain, id, names), ("withdrawn", domain, id or None for all)
    ("record", domain, id, fields) and ("options", domain, id, fields)   values by element name
    ("unknown", domain, id, octets)          a set of an unknown template, which is skipped
    ("end", domain, sequence, records)       records is None if some could not be counted

    Raises ProtocolError and nothing else. Holds at most one message, and `templates` templates
    of at most `fields` fields."""

    def __init__(self, enterprise, templates=1024, fields=256):
        self.enterprise, self.max_templates, self.max_fields = enterprise, templates, fields
        self.names = {
            (enterprise if e.enterprise == OWN else e.enterprise, e.number): (e.name, e.type)
            for e in ELEMENTS.values()
            if enterprise or e.enterprise != OWN
        }
        self.buffer, self.templates = bytearray(), {}

    def feed(self, data):
        """Yields the events of the next bytes of a stream (TCP, a file).

        Consume all events: the bytes are read as events are taken."""
        view = memoryview(data)
        while view or len(self.buffer) >= HEADER.size:
            if len(self.buffer) < HEADER.size:
                more = min(HEADER.size - len(self.buffer), len(view))
                self.buffer += view[:more]
                view = view[more:]
                if len(self.buffer) < HEADER.size:
                    return
            version, length = SET_HEADER.unpack_from(self.buffer)
            if version != VERSION or length < HEADER.size:
                raise ProtocolError("not an IPFIX message")
            more = min(length - len(self.buffer), len(view))
            if more > 0:
                self.buffer += view[:more]
                view = view[more:]
            if len(self.buffer) < length:
                return
            message_data = bytes(self.buffer[:length])
            del self.buffer[:length]
            yield from self.message(message_data)

    def buffered_octets(self):
        """Returns the octets held of an incomplete message."""
        return len(self.buffer)

    def message(self, data):
        """Yields the events of one complete message, such as a datagram."""
        if len(data) < HEADER.size:
            raise ProtocolError("a message is shorter than its header")
        version, length, seconds, sequence, domain = HEADER.unpack_from(data)
        if version != VERSION or length != len(data):
            raise ProtocolError("not an IPFIX message, or its length is wrong")
        yield "message", domain, sequence, seconds
        at, count = HEADER.size, 0
        while at < length:
            if length - at < SET_HEADER.size:
                raise ProtocolError("a set is shorter than its header")
            number, size = SET_HEADER.unpack_from(data, at)
            if size < SET_HEADER.size or at + size > length:
                raise ProtocolError("a set's length is wrong")
            begin, end = at + SET_HEADER.size, at + size
            at = end
            if number in (TEMPLATE_SET, OPTIONS_TEMPLATE_SET):
                yield from self.define(domain, data, begin, end, number == OPTIONS_TEMPLATE_SET)
            elif number < MIN_DATA_SET_ID:
                raise ProtocolError("a set's id is reserved")
            elif (template := self.templates.get((domain, number))) is None:
                count = None
                yield "unknown", domain, number, end - begin
            else:
                word = "options" if template.scope else "record"
                while end - begin >= template.min_record_size:
                    found, begin = decode_record(template, data, begin, end)
                    if count is not None:
                        count += 1
                    yield word, domain, number, found
        yield "end", domain, sequence, count

    def define(self, domain, data, at, end, options):
        """Yields the events of a template set and stores its templates."""
        while end - at >= SET_HEADER.size:
            number, count = SET_HEADER.unpack_from(data, at)
            at += SET_HEADER.size
            if not count:
                yield from self.withdraw(domain, number)
                continue
            if number < MIN_DATA_SET_ID or count > self.max_fields:
                raise ProtocolError("a template's id or its number of fields is out of range")
            scope = 0
            if options:
                if end - at < 2:
                    raise ProtocolError("a template ends inside its header")
                scope, at = int.from_bytes(data[at : at + 2], "big"), at + 2
                if not 0 < scope <= count:
                    raise ProtocolError("an options template has no scope, or more than there are fields")
            fields = []
            for _ in range(count):
                if end - at < 4:
                    raise ProtocolError("a template ends inside a field")
                element, length = SET_HEADER.unpack_from(data, at)
                at, enterprise = at + 4, 0
                if element & 0x8000:
                    if end - at < 4:
                        raise ProtocolError("a template ends inside a field")
                    element, enterprise, at = (
                        element & 0x7FFF,
                        int.from_bytes(data[at : at + 4], "big"),
                        at + 4,
                    )
                name, type = self.names.get((enterprise, element), ((enterprise, element), "octetArray"))
                fields.append((name, type, length))
            yield self.store_template(domain, number, Template(fields, scope))

    def store_template(self, domain, number, template):
        if not template.min_record_size:
            raise ProtocolError("a template's records would have no length")
        if (domain, number) not in self.templates and len(self.templates) >= self.max_templates:
            raise ProtocolError("there are too many templates")
        self.templates[domain, number] = template
        return "template", domain, number, [name for name, _, _ in template.fields]

    def withdraw(self, domain, number):
        """Removes one template, or all of a kind if `number` is that kind's set id."""
        if number in (TEMPLATE_SET, OPTIONS_TEMPLATE_SET):
            options = number == OPTIONS_TEMPLATE_SET
            self.templates = {
                key: template
                for key, template in self.templates.items()
                if key[0] != domain or bool(template.scope) != options
            }
            yield "withdrawn", domain, None
        else:
            self.templates.pop((domain, number), None)
            yield "withdrawn", domain, number
