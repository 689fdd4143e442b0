"""NetFlow version 9 packets (RFC 3954), written and read; bytes in and events out, no I/O.

Version 9 has no enterprise numbers and no strings of variable length. Our own IPFIX elements have field types
from OWN_BASE on, and names have a fixed width. A longer name is truncated and ends in a digest of the full
name, so that two long names remain distinct. The sequence number in the header counts packets, not records.
"""

import struct

from wickvane.errors import ProtocolError
from wickvane.flows.elements import (
    ELEMENTS,
    ENCODINGS,
    OWN,
    REVERSE_BIT,
    REVERSE_PEN,
    TEMPLATE_FIELDS,
    VARIABLE,
    fixed,
)
from wickvane.flows.ipfix import (
    SET_HEADER,
    Packer,
    Reader,
    Template,
    decode_record,
    encoded_names_of,
    flow_values,
)

VERSION, HEADER = 9, struct.Struct("!HHIIII")
TEMPLATE_SET, OPTIONS_TEMPLATE_SET, MIN_DATA_SET_ID = 0, 1, 256
OWN_BASE = 40_000  # within field types 32768 and up, which no registry assigns
SCOPE_SYSTEM = 1
OUT_BYTES, IN_PACKETS, OUT_PACKETS = 23, 2, 24
TEMPLATE_IDS = {"flow4": 256, "flow6": 257, "statistics": 258, "not-sent": 259}
MAX_PACKET_SIZE = 65_535
COUNT = struct.Struct("!H")


def field_type_of(element):
    """Returns the field type of an element; version 9 has its own types for counts by direction."""
    if element.name == "messageDeltaCount":
        return IN_PACKETS
    if element.name == "reverseMessageDeltaCount":
        return OUT_PACKETS
    if element.enterprise == REVERSE_PEN:
        return OUT_BYTES
    if element.enterprise == OWN:
        return OWN_BASE + (element.number & ~REVERSE_BIT)
    return element.number


NAMES = {field_type_of(element): (element.name, element.type) for element in ELEMENTS.values()}


class Layout:
    """Templates and packers for names of a fixed width."""

    def __init__(self, width):
        self.width, self.fields, records, options = width, {}, b"", b""
        for kind, number in TEMPLATE_IDS.items():
            names, scope = TEMPLATE_FIELDS[kind]  # the templates with all elements
            letters, parts = "!", []
            for name in names:
                element = ELEMENTS[name]
                length = width if element.length == VARIABLE else element.length
                letters += ENCODINGS[element.type].letter or f"{width}s"
                parts.append(SET_HEADER.pack(field_type_of(element), length))
            self.fields[kind] = struct.Struct(letters)
            if scope:
                # All readers know the scope "system", the exporter; the fields that identify it follow.
                parts.insert(0, SET_HEADER.pack(SCOPE_SYSTEM, 4))
                head = struct.pack("!HHH", number, 4, 4 * (len(parts) - 1))
                # Each has a set of its own, because readers differ on where a template ends and padding
                # begins.
                options += padded(OPTIONS_TEMPLATE_SET, head + b"".join(parts))
            else:
                records += SET_HEADER.pack(number, len(parts)) + b"".join(parts)
        self.sets = padded(TEMPLATE_SET, records) + options

    def name(self, value):
        return fixed(value, self.width)

    def flow(self, record, names):
        """Returns (kind, bytes) of a record, as ipfix.flow_record() does."""
        kind, values = flow_values(record)
        return kind, self.fields[kind].pack(*values, *encoded_names_of(record, names))

    def options(self, kind, *values):
        """Returns an options record; its scope, the system, is 0."""
        return struct.pack("!I", 0) + self.fields[kind].pack(*values)


def padded(number, body):
    """Returns a flow set padded to a multiple of 4 octets."""
    padding = -len(body) % 4
    return SET_HEADER.pack(number, SET_HEADER.size + len(body) + padding) + body + bytes(padding)


def packet(count, uptime_ms, seconds, sequence, source, sets):
    """Returns a packet with its header."""
    return (
        HEADER.pack(
            VERSION, count, uptime_ms & 0xFFFFFFFF, seconds & 0xFFFFFFFF, sequence & 0xFFFFFFFF, source
        )
        + sets
    )


class Writer(Packer):
    """Packs records as ipfix.Writer does, but its messages are a COUNT of records and the flow sets.

    The sender makes the header, because sequence and uptime are those of the packets as they are sent,
    including packets of templates."""

    HEADER_SIZE, PADDING = HEADER.size, 3

    def __init__(self, layout, max_size):
        self.layout = layout
        super().__init__(min(max_size, MAX_PACKET_SIZE))

    def put_set(self, kind, body):
        return padded(TEMPLATE_IDS[kind], body)

    def put_message(self, sets, seconds):
        return COUNT.pack(self.count) + sets


class NetFlow9Reader(Reader):
    """Reads packets as ipfix.Reader reads messages; there is no stream form.

    ("message", ...) has the packet's sequence number and ("end", ...) a count of 1, its increment."""

    def __init__(self, templates=1024, fields=256):
        super().__init__(0, templates, fields)

    def feed(self, data):
        raise ProtocolError("NetFlow version 9 has no stream form")

    def message(self, data):
        if len(data) < HEADER.size:
            raise ProtocolError("a packet is shorter than its header")
        version, _, _, seconds, sequence, source = HEADER.unpack_from(data)
        if version != VERSION:
            raise ProtocolError("not a NetFlow version 9 packet")
        yield "message", source, sequence, seconds
        at = HEADER.size
        while at < len(data):
            if len(data) - at < SET_HEADER.size:
                raise ProtocolError("a flow set is shorter than its header")
            number, size = SET_HEADER.unpack_from(data, at)
            if size < SET_HEADER.size or at + size > len(data):
                raise ProtocolError("a flow set's length is wrong")
            begin, end = at + SET_HEADER.size, at + size
            at = end
            if number == TEMPLATE_SET:
                yield from self.define_templates(source, data, begin, end)
            elif number == OPTIONS_TEMPLATE_SET:
                yield from self.define_options(source, data, begin, end)
            elif number < MIN_DATA_SET_ID:
                raise ProtocolError("a flow set's id is reserved")
            elif (template := self.templates.get((source, number))) is None:
                yield "unknown", source, number, end - begin
            else:
                while end - begin >= template.min_record_size:
                    found, begin = decode_record(template, data, begin, end)
                    yield "options" if template.scope else "record", source, number, found
        yield "end", source, sequence, 1

    def read_field_specifiers(self, data, at, count, scope=0):
        fields = []
        for n in range(count):
            type, length = SET_HEADER.unpack_from(data, at + 4 * n)
            known = ((0, type), "octetArray") if n < scope else NAMES.get(type, ((0, type), "octetArray"))
            if length == VARIABLE:
                raise ProtocolError("a field of version 9 has no fixed length")
            fields.append((*known, length))
        return fields

    def define_templates(self, source, data, at, end):
        while end - at >= SET_HEADER.size:
            number, count = SET_HEADER.unpack_from(data, at)
            if number < MIN_DATA_SET_ID and not count and not any(data[at:end]):
                return  # padding
            at += SET_HEADER.size
            if number < MIN_DATA_SET_ID or not 0 < count <= self.max_fields or end - at < 4 * count:
                raise ProtocolError("a template is out of range or truncated")
            yield self.store_template(
                source, number, Template(self.read_field_specifiers(data, at, count), 0)
            )
            at += 4 * count

    def define_options(self, source, data, at, end):
        while end - at >= 6:
            number, scope, options = struct.unpack_from("!HHH", data, at)
            if not any(data[at:end]):
                return
            at += 6
            count = (scope + options) // 4
            if (
                number < MIN_DATA_SET_ID
                or scope % 4
                or options % 4
                or not scope
                or not 0 < count <= self.max_fields
                or end - at < 4 * count
            ):
                raise ProtocolError("an options template is out of range or truncated")
            yield self.store_template(
                source, number, Template(self.read_field_specifiers(data, at, count, scope // 4), scope // 4)
            )
            at += 4 * count
