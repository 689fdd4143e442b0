"""IPFIX messages (RFC 7011), written and read; bytes in and events out, no I/O.

Writer packs records into messages of a bounded length and counts the sequence; Reader takes bytes as they
come, cut anywhere, and yields events. Both directions of a flow stand in one record (RFC 5103).

A template's id follows from its content. Whoever reads messages of several generations (a reload, a restart,
a spool read back) can so never take one definition for another's, and none must be withdrawn before its time.
"""

import ipaddress
import struct
from hashlib import md5
from zlib import crc32

from wickvane.errors import ProtocolError
from wickvane.flows.elements import ELEMENTS, FORMS, FULL_KINDS, OWN, SHAPES, VARIABLE, fixed, packer, text

VERSION, HEAD, SET_HEAD = 10, struct.Struct("!HHIII"), struct.Struct("!HH")
TEMPLATES, OPTIONS, FIRST_DATA = 2, 3, 256
MESSAGE_MOST = 65_535
ENGINES_MOST = 4096  # names held encoded
CHECKSUM_AT = HEAD.size + SET_HEAD.size + 1  # in a message that bears one: its first record

FLOW_FIELDS = {
    kind: packer([name for name in SHAPES[kind][0] if FORMS[ELEMENTS[name].type].letter])
    for kind in ("flow4", "flow6", "plain4", "plain6")
}
STATISTICS_FIELDS = packer(SHAPES["statistics"][0][:-1])
PLAIN_STATISTICS_FIELDS = packer(SHAPES["plain-statistics"][0])
NOT_SENT_FIELDS = struct.Struct("!II"), struct.Struct("!QQQ")


class Generation:
    """The templates under one enterprise number: ids, and the records that define them. width: names have so
    many octets, for collectors that know no strings of variable length; 0: they are as long as they are."""

    def __init__(self, enterprise, width=0, kinds=FULL_KINDS):
        self.enterprise, self.width, self.ids, records = enterprise, width, {}, {}
        for kind in kinds:
            names, scope = SHAPES[kind]
            fields = b"".join(self.field(ELEMENTS[name]) for name in names)
            number = FIRST_DATA + crc32(fields + bytes((scope,))) % (MESSAGE_MOST - FIRST_DATA)
            while number in self.ids.values():
                number = number + 1 if number < MESSAGE_MOST else FIRST_DATA
            self.ids[kind] = number
            head = SET_HEAD.pack(number, len(names)) + (struct.pack("!H", scope) if scope else b"")
            records.setdefault(OPTIONS if scope else TEMPLATES, []).append(head + fields)
        self.sets = b"".join(
            SET_HEAD.pack(n, SET_HEAD.size + sum(map(len, found))) + b"".join(found)
            for n, found in sorted(records.items())
        )
        self.mark = crc32(self.sets)

    def field(self, element):
        enterprise = self.enterprise if element.enterprise == OWN else element.enterprise
        length = self.width if self.width and element.length == VARIABLE else element.length
        if enterprise:
            return struct.pack("!HHI", element.number | 0x8000, length, enterprise)
        return SET_HEAD.pack(element.number, length)

    def name(self, value):
        return fixed(value, self.width) if self.width else text(value)


def templates_in(sets):
    """{(set id, template id): the record} of sets that define templates, such as Generation.sets."""
    found, at = {}, 0
    while at < len(sets):
        kind, size = SET_HEAD.unpack_from(sets, at)
        end, n = at + size, at + SET_HEAD.size
        while end - n >= SET_HEAD.size:
            number, count = SET_HEAD.unpack_from(sets, n)
            last = n + SET_HEAD.size + (2 if kind == OPTIONS else 0)
            for _ in range(count):
                last += 8 if sets[last] & 0x80 else 4
            found[kind, number] = sets[n:last]
            n = last
        at = end
    return found


def change_of(announced, wanted, drop=False):
    """The sets by which a session that was told `announced` knows `wanted`, both as templates_in() has them:
    withdrawals first (RFC 7011 section 8.1; never over UDP), of what changes and, with `drop`, of all that is
    not wanted. Changes `announced`."""
    parts = {}
    for place, record in list(announced.items()):
        if place in wanted and wanted[place] != record or drop and place not in wanted:
            parts.setdefault((0, place[0]), []).append(SET_HEAD.pack(place[1], 0))
            del announced[place]
    for place, record in wanted.items():
        if place not in announced:
            parts.setdefault((1, place[0]), []).append(record)
            announced[place] = record
    return b"".join(
        SET_HEAD.pack(kind, SET_HEAD.size + sum(map(len, found))) + b"".join(found)
        for (_, kind), found in sorted(parts.items())
    )


def message(domain, sequence, seconds, sets):
    length = HEAD.size + len(sets)
    return HEAD.pack(VERSION, length, seconds & 0xFFFFFFFF, sequence & 0xFFFFFFFF, domain) + sets


class Packer:
    """Records in, messages of at most `most` octets out, a set for each run of records of one kind. A format
    says how a message begins and ends, how a set is put, and by how much one is filled up at the most."""

    HEAD_SIZE, PADDING = HEAD.size, 0

    def __init__(self, most):
        self.most, self.done = most, []
        self.begin()

    def begin(self):
        self.sets, self.open, self.size, self.count = [], [], self.HEAD_SIZE, 0
        self.groups, self.kind = {}, None

    def add(self, kind, record, seconds, group=None):
        """A record by its SHAPES name; `group` counts it as a flow record of that resource group."""
        head = SET_HEAD.size + self.PADDING
        more = len(record) + (head if kind != self.kind else 0)
        if self.size + more > self.most:
            if self.kind is None:
                raise ValueError("a record is longer than a message may be")
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
        """Closes the message that is being filled, if there is anything in it."""
        if self.kind is None:
            return
        self.close_set()
        self.done.append((self.put_message(b"".join(self.sets), seconds), self.count, self.groups))
        self.begin()

    def take(self):
        done, self.done = self.done, []
        return done


class Writer(Packer):
    """Records in, whole messages out: (bytes, data records in it, {resource group: flow records in it}).

    most: octets in a message, headers included; checksums: each message begins with a record of its own MD5
    (RFC 5655 section 8.1), by which a file that was cut or spoilt can be told."""

    def __init__(self, domain, generation, most, checksums=False, sequence=0):
        self.domain, self.generation = domain, generation
        self.checksums, self.sequence = checksums, sequence & 0xFFFFFFFF
        super().__init__(min(most, MESSAGE_MOST))

    def begin(self):
        super().begin()
        if self.checksums:
            self.sets.append(SET_HEAD.pack(self.generation.ids["checksum"], SET_HEAD.size + 17) + bytes(17))
            self.size, self.count = self.size + SET_HEAD.size + 17, 1

    def put_set(self, kind, body):
        return SET_HEAD.pack(self.generation.ids[kind], SET_HEAD.size + len(body)) + body

    def put_message(self, sets, seconds):
        data = message(self.domain, self.sequence, seconds, sets)
        if self.checksums:
            data = data[:CHECKSUM_AT] + md5(data).digest() + data[CHECKSUM_AT + 16 :]
        self.sequence = (self.sequence + self.count) & 0xFFFFFFFF
        return data

    def change(self, generation, seconds):
        self.finish(seconds)
        self.generation = generation
        self.begin()


def checksum_holds(data):
    """Whether a message that begins with a record of its MD5 is as it was written."""
    zeroed = data[:CHECKSUM_AT] + bytes(16) + data[CHECKSUM_AT + 16 :]
    return len(data) >= CHECKSUM_AT + 16 and md5(zeroed).digest() == data[CHECKSUM_AT : CHECKSUM_AT + 16]


def names_of(record, names):
    """A record's resource group, tenant and engine, encoded; names as flow_record() has them."""
    groups, tenants, engines, name = names
    engine = engines.get(record.connection.engine)
    if engine is None:
        if len(engines) > ENGINES_MOST:
            engines.clear()
        engine = engines[record.connection.engine] = name(record.connection.engine)
    return groups[record.key[0]], tenants[record.key[1]], engine


TCP, INITIATOR_TO_RESPONDER = 6, 1  # protocolIdentifier, biflowDirection (RFC 5103)


def flow_figures(record):
    """(kind, figures) of an accounts.Record, in the order of elements.FLOW; names follow them."""
    connection = record.connection
    kind = "flow4" if len(connection.source) == 4 else "flow6"
    return kind, (
        record.id,
        record.part,
        connection.side,
        record.reason,
        record.began // 10,
        record.ended // 10,
        record.flows,
        TCP,
        INITIATOR_TO_RESPONDER,
        connection.source_port,
        connection.target_port,
        *record.counts,
        record.state,
        record.state_last,
        connection.source,
        connection.target,
    )


def flow_record(record, names):
    """(kind, bytes) of an accounts.Record. names: resource groups, tenants and engines as Generation.name()
    encodes them, and that, for engines not yet among them."""
    kind, figures = flow_figures(record)
    return kind, FLOW_FIELDS[kind].pack(*figures) + b"".join(names_of(record, names))


def plain_record(record, names):
    """As flow_record(), in IANA's elements alone. Its octetDeltaCount is of both directions."""
    connection = record.connection
    kind = "plain4" if len(connection.source) == 4 else "plain6"
    forward, reverse = record.counts[:2]
    return kind, FLOW_FIELDS[kind].pack(
        record.id,
        record.reason,
        record.began // 10,
        record.ended // 10,
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
    ) + b"".join(names_of(record, names))


class Shape:
    """A template as it was read: fields are (name or (enterprise, number), type, length)."""

    __slots__ = ("fields", "scope", "least", "fixed")

    def __init__(self, fields, scope):
        self.fields, self.scope = fields, scope
        self.least = sum(1 if length == VARIABLE else length for _, _, length in fields)
        self.fixed = all(length != VARIABLE for _, _, length in fields)


def value_of(type, data):
    if type.startswith("unsigned") or type == "dateTimeMilliseconds":
        return int.from_bytes(data, "big")
    if type == "string":
        return data.rstrip(b"\0").decode("utf-8", "replace")
    if type in ("ipv4Address", "ipv6Address") and len(data) in (4, 16):
        return str(ipaddress.ip_address(data))
    return bytes(data)


def fields_of(shape, data, at, end):
    """One record's values by name, and where the next begins."""
    found = {}
    for name, type, length in shape.fields:
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
        found[name] = value_of(type, data[at : at + length])
        at += length
    return found, at


class Reader:
    """Bytes in, events out:

    ("message", domain, sequence, seconds)   a header
    ("template", domain, id, names), ("withdrawn", domain, id or None for all)
    ("record", domain, id, fields) and ("options", domain, id, fields)   values by element name
    ("unknown", domain, id, octets)          a set whose template is not known: skipped
    ("end", domain, sequence, records)       records None where some could not be counted

    Raises ProtocolError and nothing else. Holds one message at most, and `templates` templates of `fields`
    fields."""

    def __init__(self, enterprise, templates=1024, fields=256):
        self.enterprise, self.templates_most, self.fields_most = enterprise, templates, fields
        self.names = {
            (enterprise if e.enterprise == OWN else e.enterprise, e.number): (e.name, e.type)
            for e in ELEMENTS.values()
            if enterprise or e.enterprise != OWN
        }
        self.buffer, self.shapes = bytearray(), {}

    def feed(self, data):
        """Events of a stream's next bytes (TCP, a file). Take them all: the rest is read as they are
        taken."""
        view = memoryview(data)
        while view or len(self.buffer) >= HEAD.size:
            if len(self.buffer) < HEAD.size:
                more = min(HEAD.size - len(self.buffer), len(view))
                self.buffer += view[:more]
                view = view[more:]
                if len(self.buffer) < HEAD.size:
                    return
            version, length = SET_HEAD.unpack_from(self.buffer)
            if version != VERSION or length < HEAD.size:
                raise ProtocolError("this is no IPFIX message")
            more = min(length - len(self.buffer), len(view))
            if more > 0:
                self.buffer += view[:more]
                view = view[more:]
            if len(self.buffer) < length:
                return
            whole = bytes(self.buffer[:length])
            del self.buffer[:length]
            yield from self.message(whole)

    def midway(self):
        """Octets of a message that has not come whole."""
        return len(self.buffer)

    def message(self, data):
        """Events of one whole message, as a datagram brings it."""
        if len(data) < HEAD.size:
            raise ProtocolError("a message is shorter than its header")
        version, length, seconds, sequence, domain = HEAD.unpack_from(data)
        if version != VERSION or length != len(data):
            raise ProtocolError("this is no IPFIX message, or its length is wrong")
        yield "message", domain, sequence, seconds
        at, count = HEAD.size, 0
        while at < length:
            if length - at < SET_HEAD.size:
                raise ProtocolError("a set is shorter than its header")
            number, size = SET_HEAD.unpack_from(data, at)
            if size < SET_HEAD.size or at + size > length:
                raise ProtocolError("a set's length is wrong")
            begin, end = at + SET_HEAD.size, at + size
            at = end
            if number in (TEMPLATES, OPTIONS):
                yield from self.define(domain, data, begin, end, number == OPTIONS)
            elif number < FIRST_DATA:
                raise ProtocolError("a set's id is reserved")
            elif (shape := self.shapes.get((domain, number))) is None:
                count = None
                yield "unknown", domain, number, end - begin
            else:
                word = "options" if shape.scope else "record"
                while end - begin >= shape.least:
                    found, begin = fields_of(shape, data, begin, end)
                    if count is not None:
                        count += 1
                    yield word, domain, number, found
        yield "end", domain, sequence, count

    def define(self, domain, data, at, end, options):
        while end - at >= SET_HEAD.size:
            number, count = SET_HEAD.unpack_from(data, at)
            at += SET_HEAD.size
            if not count:
                yield from self.withdraw(domain, number)
                continue
            if number < FIRST_DATA or count > self.fields_most:
                raise ProtocolError("a template's id or its number of fields is out of range")
            scope = 0
            if options:
                if end - at < 2:
                    raise ProtocolError("a template ends inside its head")
                scope, at = int.from_bytes(data[at : at + 2], "big"), at + 2
                if not 0 < scope <= count:
                    raise ProtocolError("an options template has no scope, or more than there are fields")
            fields = []
            for _ in range(count):
                if end - at < 4:
                    raise ProtocolError("a template ends inside a field")
                element, length = SET_HEAD.unpack_from(data, at)
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
            yield self.learn(domain, number, Shape(fields, scope))

    def learn(self, domain, number, shape):
        if not shape.least:
            raise ProtocolError("a template's records would have no length")
        if (domain, number) not in self.shapes and len(self.shapes) >= self.templates_most:
            raise ProtocolError("there are too many templates")
        self.shapes[domain, number] = shape
        return "template", domain, number, [name for name, _, _ in shape.fields]

    def withdraw(self, domain, number):
        if number in (TEMPLATES, OPTIONS):
            options = number == OPTIONS
            self.shapes = {
                place: shape
                for place, shape in self.shapes.items()
                if place[0] != domain or bool(shape.scope) != options
            }
            yield "withdrawn", domain, None
        else:
            self.shapes.pop((domain, number), None)
            yield "withdrawn", domain, number
