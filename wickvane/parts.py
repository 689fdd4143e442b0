"""The parts document: what an installation turns on beyond the platform, in KDL 2, checked as a whole.

One node a part, each with its children; units stand in the value ("250ms", "64MiB"). A document is read into
plain figures before anything acts on it, so that it is taken whole or not at all. Imported only where one is
named: `serve` without it must not pay for the reader.
"""

import importlib
import math
import re

PART_MOST = 1 << 20  # bytes; a document longer than that is somebody's mistake
# node: the module whose read() understands it, in the order in which a dispatcher puts them to work
PARTS = {
    "flows": "wickvane.flows.part",
    "tds": "wickvane.net.tds.extension",
    "storms": "wickvane.net.storms",
    "control": "wickvane.xds.extension",
    "members": "wickvane.endpoints.extension",
    "peers": "wickvane.cluster.extension",
    "shares": "wickvane.quotas.extension",
}

DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)(ms|s|m|h)\Z", re.A)
SIZE = re.compile(r"(\d{1,12})(B|KiB|MiB|GiB)\Z", re.A)
MS_OF = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
BYTES_OF = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class Unusable(Exception):
    """A document that cannot be used: says node, value, what was expected, and the line where it is known."""


class Node:
    """One node under reading: each child is asked for by name, and done() refuses what nobody asked for."""

    def __init__(self, node, path, text):
        self.node, self.path, self.text = node, path, text
        self.asked, self.asked_properties = set(), set()

    def wrong(self, expected, value=None, name=None):
        """What is wrong, with its line and path in the document, to be raised."""
        path = f"{self.path} > {name}" if name else self.path
        said = "" if value is None else f" {shown(value)}"
        line = line_of(self.text, name or self.node.name, value)
        return Unusable(f"{line}{path}{said}: expected {expected}")

    def children(self, name):
        """All children of this name."""
        self.asked.add(name)
        return [
            Node(child, f"{self.path} > {name}", self.text)
            for child in self.node.children
            if child.name == name
        ]

    def child(self, name):
        """The one child of this name, or None."""
        found = self.children(name)
        if len(found) > 1:
            raise self.wrong("it once only", name=name)
        return found[0] if found else None

    def argument(self, kind, name=None):
        """The one argument of this node itself, as `kind` reads it."""
        if len(self.node.args) != 1:
            raise self.wrong(f"one value, {kind.expected}" if kind.expected else "one value")
        return self.read(kind, self.node.args[0], name)

    def read(self, kind, value, name=None):
        """A value as this kind reads it; Unusable says what was expected."""
        value = getattr(value, "value", value)  # a value that bears a type annotation
        try:
            return kind(value)
        except (TypeError, ValueError):
            raise self.wrong(kind.expected, value, name) from None

    def value(self, name, kind, default=None, needed=False):
        """The one argument of a child; `default` where there is no such child."""
        child = self.child(name)
        if child is None:
            if needed:
                raise self.wrong(f"a node {name} with {kind.expected}")
            return default
        found = child.argument(kind)
        child.done()
        return found

    def property(self, name, kind, default=None):
        """A property of the node, or the default."""
        self.asked_properties.add(name)
        if name not in self.node.properties:
            return default
        return self.read(kind, self.node.properties[name], name)

    def done(self):
        """Refuses whatever was not asked for."""
        for child in self.node.children:
            if child.name not in self.asked:
                known = ", ".join(sorted(self.asked)) or "no node in it"
                raise self.wrong(known, name=child.name)
        for name in self.node.properties:
            if name not in self.asked_properties:
                known = ", ".join(sorted(self.asked_properties)) or "no property"
                raise self.wrong(f"{known} instead of the property {name}")


class Kind:
    """How a value is read, and the words for what it should have been."""

    def __init__(self, expected, read):
        self.expected, self.read = expected, read

    def __call__(self, value):
        """The value as it is read; ValueError or TypeError where it is not of this kind."""
        return self.read(value)


def refuse():
    """How a Kind says that a value is not of it."""
    raise ValueError


def whole(low, high):
    """A whole number from `low` to `high`."""

    def read(value):
        good = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return value if good else refuse()

    return Kind(f"a whole number from {low} to {high}", read)


def duration(low, high):
    """Tenths of a millisecond, from a text such as "250ms"; bounds likewise as texts."""

    def read(value):
        found = DURATION.match(value)
        if not found:
            raise ValueError
        return round(float(found[1]) * MS_OF[found[2]] * 10)

    least, most = read(low), read(high)
    return Kind(
        f'a time from "{low}" to "{high}"',
        lambda value: t if least <= (t := read(value)) <= most else refuse(),
    )


def size(low, high):
    """Bytes, from a text such as "64MiB"."""

    def read(value):
        found = SIZE.match(value)
        if not found:
            raise ValueError
        return int(found[1]) * BYTES_OF[found[2]]

    least, most = read(low), read(high)
    return Kind(
        f'a size from "{low}" to "{high}"',
        lambda value: n if least <= (n := read(value)) <= most else refuse(),
    )


def share(low, high):
    """A number from `low` to `high`."""
    return Kind(
        f"a number from {low} to {high}",
        lambda value: (
            float(value)
            if isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and low <= value <= high
            else refuse()
        ),
    )


def word(*choices):
    """One of these words."""
    return Kind(
        " or ".join(f'"{choice}"' for choice in choices),
        lambda value: value if value in choices else refuse(),
    )


def read_flag(value):
    """Reads #true or #false."""
    return value if isinstance(value, bool) else refuse()


def read_name(value):
    """Reads a name of up to 64 characters."""
    return value if isinstance(value, str) and re.fullmatch(r"[\w.:-]{1,64}", value) else refuse()


def read_path(value):
    """Reads a path."""
    return value if isinstance(value, str) and 0 < len(value) <= 4096 and "\0" not in value else refuse()


def read_address(value):
    """(host, port) of "127.0.0.1:4739" or "[::1]:4739": an address, since names are not looked up."""
    import ipaddress

    host, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or not port.isascii() or not 0 < int(port) < 65_536:
        raise ValueError
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    ip = ipaddress.ip_address(bare)
    if (ip.version == 6) != (bare != host):
        raise ValueError
    return bare, int(port)


flag = Kind("#true or #false", read_flag)
name = Kind("a name of letters, digits and .:_- (64 at most)", read_name)
path = Kind("a path", read_path)
address = Kind("an IP address and port", read_address)


def shown(value):
    """A value as it would stand in the document, cut where it is long."""
    if value is True or value is False or value is None:
        return {True: "#true", False: "#false", None: "#null"}[value]
    text = f'"{value}"' if isinstance(value, str) else str(value)
    return text if len(text) <= 80 else text[:77] + "..."


def line_of(text, name, value):
    """ "line N: " where just one line of the text has the node's name, and the value with it; else nothing.
    The reader tells no lines, and a wrong one would be worse than none."""
    name = re.compile(rf"(?<![\w.-]){re.escape(str(name))}(?![\w.-])")
    lines = [
        n
        for n, line in enumerate(text.splitlines(), 1)
        if name.search(line.split("//")[0]) and (value is None or str(value) in line)
    ]
    return f"line {lines[0]}: " if len(lines) == 1 else ""


def read_text(text):
    """{part: what its module made of it}; Unusable where any of it cannot be used."""
    try:
        import ckdl
    except ImportError:
        raise Unusable("a parts document needs the package ckdl (requirements-parts.txt)") from None
    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError) as error:
        raise Unusable(f"no KDL 2: {error}") from None
    found = {}
    for node in document.nodes:
        if node.name not in PARTS:
            raise Unusable(f"{line_of(text, node.name, None)}{node.name}: expected {', '.join(PARTS)}")
        if node.name in found:
            raise Unusable(f"{node.name}: expected it once only")
        reader = Node(node, node.name, text)
        found[node.name] = importlib.import_module(PARTS[node.name]).read(reader)
        if node.args:
            raise reader.wrong("no value of its own")
        reader.done()
    return found


def read(path):
    """The parts of the document at `path`; Unusable names the file."""
    try:
        with open(path, "rb") as file:
            data = file.read(PART_MOST + 1)
        if len(data) > PART_MOST:
            raise Unusable(f"it is longer than {PART_MOST} bytes")
        return read_text(data.decode())
    except OSError as error:
        raise Unusable(f"the parts document {path} cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise Unusable(f"the parts document {path} is no UTF-8") from None
    except Unusable as error:
        raise Unusable(f"the parts document {path}: {error}") from None
