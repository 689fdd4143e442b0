"""NetFlow version 9 packets (RFC 3954), written and read; bytes in and events out, no I/O.

Version 9 has no enterprise numbers and no strings of variable length: what IPFIX tells by our own elements
stands under field types from OWN_BASE on, and names have a fixed width. A name that is longer is cut, with a
digest of the whole as its end, so that two long ones stay two. Its header counts packets, not records.
"""

import struct

from wickvane.errors import ProtocolError
from wickvane.flows.elements import ELEMENTS, FORMS, OWN, REVERSE_BIT, REVERSE_PEN, SHAPES, VARIABLE, fixed
from wickvane.flows.ipfix import SET_HEAD, Packer, Reader, Shape, fields_of, flow_figures, names_of

VERSION, HEAD = 9, struct.Struct("!HHIIII")
TEMPLATES, OPTIONS, FIRST_DATA = 0, 1, 256
OWN_BASE = 40_000  # of field types 32768 and up, which no registry gives out
SCOPE_SYSTEM = 1
OUT_BYTES, IN_PACKETS, OUT_PACKETS = 23, 2, 24
ID_OF = {"flow4": 256, "flow6": 257, "statistics": 258, "not-sent": 259}
PACKET_MOST = 65_535
COUNT = struct.Struct("!H")


def type_of(element):
    """The field type that stands for an element: the counts by direction have their own in version 9."""
    if element.name == "messageDeltaCount":
        return IN_PACKETS
    if element.name == "reverseMessageDeltaCount":
        return OUT_PACKETS
    if element.enterprise == REVERSE_PEN:
        return OUT_BYTES
    if element.enterprise == OWN:
        return OWN_BASE + (element.number & ~REVERSE_BIT)
    return element.number


NAMES = {type_of(element): (element.name, element.type) for element in ELEMENTS.values()}


class Layout:
    """Templates and packers for names of a fixed width."""

    def __init__(self, width):
        self.width, self.fields, records, options = width, {}, b"", b""
        for kind, number in ID_OF.items():
            names, scope = SHAPES[kind]  # of the full ones
            letters, parts = "!", []
            for name in names:
                element = ELEMENTS[name]
                length = width if element.length == VARIABLE else element.length
                letters += FORMS[element.type].letter or f"{width}s"
                parts.append(SET_HEAD.pack(type_of(element), length))
            self.fields[kind] = struct.Struct(letters)
            if scope:
                # The one scope that all readers know is the exporting system; what identifies it follows.
                parts.insert(0, SET_HEAD.pack(SCOPE_SYSTEM, 4))
                head = struct.pack("!HHH", number, 4, 4 * (len(parts) - 1))
                # Each in a set of its own: where one ends and padding begins, readers differ.
                options += padded(OPTIONS, head + b"".join(parts))
            else:
                records += SET_HEAD.pack(number, len(parts)) + b"".join(parts)
        self.sets = padded(TEMPLATES, records) + options

    def name(self, value):
        return fixed(value, self.width)

    def flow(self, record, names):
        """As ipfix.flow_record()."""
        kind, figures = flow_figures(record)
        return kind, self.fields[kind].pack(*figures, *names_of(record, names))

    def options(self, kind, *values):
        return struct.pack("!I", 0) + self.fields[kind].pack(*values)


def padded(number, body):
    fill = -len(body) % 4
    return SET_HEAD.pack(number, SET_HEAD.size + len(body) + fill) + body + bytes(fill)


def packet(count, uptime_ms, seconds, sequence, source, sets):
    return (
        HEAD.pack(VERSION, count, uptime_ms & 0xFFFFFFFF, seconds & 0xFFFFFFFF, sequence & 0xFFFFFFFF, source)
        + sets
    )


class Writer(Packer):
    """As ipfix.Writer, but its messages are a COUNT of records and the flow sets: the header is made by who
    sends, since sequence and uptime are those of the packets as they go out, with templates too."""

    HEAD_SIZE, PADDING = HEAD.size, 3

    def __init__(self, layout, most):
        self.layout = layout
        super().__init__(min(most, PACKET_MOST))

    def put_set(self, kind, body):
        return padded(ID_OF[kind], body)

    def put_message(self, sets, seconds):
        return COUNT.pack(self.count) + sets


class Reader9(Reader):
    """As ipfix.Reader, of packets: ("message", ...) bears the packet's sequence, ("end", ...) a count of 1,
    by which the sequence goes on. There is no stream form."""

    def __init__(self, templates=1024, fields=256):
        super().__init__(0, templates, fields)

    def feed(self, data):
        raise ProtocolError("NetFlow version 9 comes in packets")

    def message(self, data):
        if len(data) < HEAD.size:
            raise ProtocolError("a packet is shorter than its header")
        version, _, _, seconds, sequence, source = HEAD.unpack_from(data)
        if version != VERSION:
            raise ProtocolError("this is no NetFlow version 9")
        yield "message", source, sequence, seconds
        at = HEAD.size
        while at < len(data):
            if len(data) - at < SET_HEAD.size:
                raise ProtocolError("a flow set is shorter than its header")
            number, size = SET_HEAD.unpack_from(data, at)
            if size < SET_HEAD.size or at + size > len(data):
                raise ProtocolError("a flow set's length is wrong")
            begin, end = at + SET_HEAD.size, at + size
            at = end
            if number == TEMPLATES:
                yield from self.define9(source, data, begin, end)
            elif number == OPTIONS:
                yield from self.define_options(source, data, begin, end)
            elif number < FIRST_DATA:
                raise ProtocolError("a flow set's id is reserved")
            elif (shape := self.shapes.get((source, number))) is None:
                yield "unknown", source, number, end - begin
            else:
                while end - begin >= shape.least:
                    found, begin = fields_of(shape, data, begin, end)
                    yield "options" if shape.scope else "record", source, number, found
        yield "end", source, sequence, 1

    def fields9(self, data, at, count, scope=0):
        fields = []
        for n in range(count):
            type, length = SET_HEAD.unpack_from(data, at + 4 * n)
            known = ((0, type), "octetArray") if n < scope else NAMES.get(type, ((0, type), "octetArray"))
            if length == VARIABLE:
                raise ProtocolError("a field of version 9 has no fixed length")
            fields.append((*known, length))
        return fields

    def define9(self, source, data, at, end):
        while end - at >= SET_HEAD.size:
            number, count = SET_HEAD.unpack_from(data, at)
            if number < FIRST_DATA and not count and not any(data[at:end]):
                return  # padding
            at += SET_HEAD.size
            if number < FIRST_DATA or not 0 < count <= self.fields_most or end - at < 4 * count:
                raise ProtocolError("a template is out of range, or cut short")
            yield self.learn(source, number, Shape(self.fields9(data, at, count), 0))
            at += 4 * count

    def define_options(self, source, data, at, end):
        while end - at >= 6:
            number, scope, options = struct.unpack_from("!HHH", data, at)
            if not any(data[at:end]):
                return
            at += 6
            count = (scope + options) // 4
            if (
                number < FIRST_DATA
                or scope % 4
                or options % 4
                or not scope
                or not 0 < count <= self.fields_most
                or end - at < 4 * count
            ):
                raise ProtocolError("an options template is out of range, or cut short")
            yield self.learn(source, number, Shape(self.fields9(data, at, count, scope // 4), scope // 4))
            at += 4 * count
