"""Reads the extensions document (--parts), which enables and configures extensions, in KDL 2.

Each extension has one node with children; values include their units ("250ms", "64MiB"). A document is read
into plain values before any of them takes effect, so that it is applied completely or not at all. This module
is imported only if a document is named: `serve` without one must not spend time and memory on the reader.
"""

import importlib
import math
import re

MAX_DOCUMENT_SIZE = 1 << 20  # bytes; a longer document is a mistake
# By node: the module whose read() reads it, in the order in which a dispatcher starts the extensions.
EXTENSION_MODULES = {
    "flows": "wickvane.flows.extension",
    "tds": "wickvane.net.tds.extension",
    "storms": "wickvane.net.storms",
    "control": "wickvane.xds.extension",
    "members": "wickvane.endpoints.extension",
    "peers": "wickvane.cluster.extension",
    "shares": "wickvane.quotas.extension",
}

DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)(ms|s|m|h)\Z", re.A)
SIZE_PATTERN = re.compile(r"(\d{1,12})(B|KiB|MiB|GiB)\Z", re.A)
MILLISECONDS_BY_UNIT = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
BYTES_BY_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class InvalidDocumentError(Exception):
    """A document that cannot be used; names the node, the value, what was expected, and the line if known."""


class Node:
    """A node whose children and properties are read by name; reject_unknown() rejects those not read."""

    def __init__(self, node, path, text):
        self.node, self.path, self.text = node, path, text
        self.known_children, self.known_properties = set(), set()

    def error(self, expected, value=None, name=None):
        """The error to raise, with the line and the path in the document.

        expected: what a correct document has here; name: the wrong child or property, if not the node itself.
        """
        path = f"{self.path} > {name}" if name else self.path
        value_text = "" if value is None else f" {format_value(value)}"
        line = find_line(self.text, name or self.node.name, value)
        return InvalidDocumentError(f"{line}{path}{value_text}: expected {expected}")

    def children(self, name):
        """All children of this name."""
        self.known_children.add(name)
        return [
            Node(child, f"{self.path} > {name}", self.text)
            for child in self.node.children
            if child.name == name
        ]

    def child(self, name):
        """The one child of this name, or None."""
        found = self.children(name)
        if len(found) > 1:
            raise self.error("at most one such node", name=name)
        return found[0] if found else None

    def argument(self, value_type, name=None):
        """The one argument of this node itself, of the type `value_type`."""
        if len(self.node.args) != 1:
            raise self.error(f"one value, {value_type.expected}" if value_type.expected else "one value")
        return self.read(value_type, self.node.args[0], name)

    def read(self, value_type, value, name=None):
        """A value as this type reads it.

        Raises:
            InvalidDocumentError: it is not of the type.
        """
        value = getattr(value, "value", value)  # ckdl wraps a value that has a type annotation
        try:
            return value_type(value)
        except (TypeError, ValueError):
            raise self.error(value_type.expected, value, name) from None

    def value(self, name, value_type, default=None, required=False):
        """The one argument of a child; `default` if there is no such child and it is not required."""
        child = self.child(name)
        if child is None:
            if required:
                raise self.error(f"a node {name} with {value_type.expected}")
            return default
        found = child.argument(value_type)
        child.reject_unknown()
        return found

    def property(self, name, value_type, default=None):
        """A property of the node, or the default."""
        self.known_properties.add(name)
        if name not in self.node.properties:
            return default
        return self.read(value_type, self.node.properties[name], name)

    def reject_unknown(self):
        """Raises InvalidDocumentError for a child or property that has not been read."""
        for child in self.node.children:
            if child.name not in self.known_children:
                known = ", ".join(sorted(self.known_children)) or "no node in it"
                raise self.error(known, name=child.name)
        for name in self.node.properties:
            if name not in self.known_properties:
                known = ", ".join(sorted(self.known_properties)) or "no property"
                raise self.error(f"{known} instead of the property {name}")


class ValueType:
    """Reads one type of value; expected: a description of it for error messages."""

    def __init__(self, expected, read):
        self.expected, self.read = expected, read

    def __call__(self, value):
        """The value as it is read; raises ValueError or TypeError if it is not of this type."""
        return self.read(value)


def reject_value():
    """Raises the ValueError by which a ValueType rejects a value."""
    raise ValueError


def integer(low, high):
    """A whole number from `low` to `high`."""

    def read(value):
        is_valid = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return value if is_valid else reject_value()

    return ValueType(f"a whole number from {low} to {high}", read)


def duration(low, high):
    """A time in ticks from a text such as "250ms"; low, high: the bounds, as such texts."""

    def read(value):
        found = DURATION_PATTERN.match(value)
        if not found:
            raise ValueError
        return round(float(found[1]) * MILLISECONDS_BY_UNIT[found[2]] * 10)

    minimum, maximum = read(low), read(high)
    return ValueType(
        f'a time from "{low}" to "{high}"',
        lambda value: t if minimum <= (t := read(value)) <= maximum else reject_value(),
    )


def size(low, high):
    """A size in bytes from a text such as "64MiB"; low, high: the bounds, as such texts."""

    def read(value):
        found = SIZE_PATTERN.match(value)
        if not found:
            raise ValueError
        return int(found[1]) * BYTES_BY_UNIT[found[2]]

    minimum, maximum = read(low), read(high)
    return ValueType(
        f'a size from "{low}" to "{high}"',
        lambda value: n if minimum <= (n := read(value)) <= maximum else reject_value(),
    )


def number(low, high):
    """A number from `low` to `high`."""
    return ValueType(
        f"a number from {low} to {high}",
        lambda value: (
            float(value)
            if isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and low <= value <= high
            else reject_value()
        ),
    )


def choice(*words):
    """One of several words."""
    return ValueType(
        " or ".join(f'"{word}"' for word in words),
        lambda value: value if value in words else reject_value(),
    )


def read_flag(value):
    """Reads #true or #false."""
    return value if isinstance(value, bool) else reject_value()


def read_name(value):
    """Reads a name of up to 64 characters."""
    return value if isinstance(value, str) and re.fullmatch(r"[\w.:-]{1,64}", value) else reject_value()


def read_path(value):
    """Reads a path of up to 4096 characters."""
    return (
        value if isinstance(value, str) and 0 < len(value) <= 4096 and "\0" not in value else reject_value()
    )


def read_address(value):
    """(host, port) of "127.0.0.1:4739" or "[::1]:4739"; only IP addresses, as names are not resolved."""
    import ipaddress

    host, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or not port.isascii() or not 0 < int(port) < 65_536:
        raise ValueError
    unbracketed = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    ip = ipaddress.ip_address(unbracketed)
    if (ip.version == 6) != (unbracketed != host):
        raise ValueError
    return unbracketed, int(port)


flag = ValueType("#true or #false", read_flag)
name = ValueType("a name of letters, digits and .:_- (64 at most)", read_name)
path = ValueType("a path", read_path)
address = ValueType("an IP address and port", read_address)


def format_value(value):
    """A value as the document writes it, cut to 80 characters."""
    if value is True or value is False or value is None:
        return {True: "#true", False: "#false", None: "#null"}[value]
    text = f'"{value}"' if isinstance(value, str) else str(value)
    return text if len(text) <= 80 else text[:77] + "..."


def find_line(text, name, value):
    """Finds the line of an error: "line N: ", or "" unless just one line has the node's name and the value.

    The KDL parser reports no line numbers, and a wrong line would be worse than none.
    """
    name = re.compile(rf"(?<![\w.-]){re.escape(str(name))}(?![\w.-])")
    lines = [
        n
        for n, line in enumerate(text.splitlines(), 1)
        if name.search(line.split("//")[0]) and (value is None or str(value) in line)
    ]
    return f"line {lines[0]}: " if len(lines) == 1 else ""


def read_text(text):
    """{extension: its settings as its module reads them}.

    Raises:
        InvalidDocumentError: any part of the document cannot be used.
    """
    try:
        import ckdl
    except ImportError:
        raise InvalidDocumentError(
            "an extensions document needs the package ckdl (requirements-parts.txt)"
        ) from None
    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError) as error:
        raise InvalidDocumentError(f"not a KDL 2 document: {error}") from None
    found = {}
    for node in document.nodes:
        if node.name not in EXTENSION_MODULES:
            raise InvalidDocumentError(
                f"{find_line(text, node.name, None)}{node.name}: expected {', '.join(EXTENSION_MODULES)}"
            )
        if node.name in found:
            raise InvalidDocumentError(f"{node.name}: expected at most one such node")
        reader = Node(node, node.name, text)
        found[node.name] = importlib.import_module(EXTENSION_MODULES[node.name]).read(reader)
        if node.args:
            raise reader.error("no value of its own")
        reader.reject_unknown()
    return found


def read(path):
    """The extensions of the document at `path`, as read_text() gives them; errors name the file."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_DOCUMENT_SIZE + 1)
        if len(data) > MAX_DOCUMENT_SIZE:
            raise InvalidDocumentError(f"it is longer than {MAX_DOCUMENT_SIZE} bytes")
        return read_text(data.decode())
    except OSError as error:
        raise InvalidDocumentError(
            f"the extensions document {path} cannot be read: {error.strerror}"
        ) from None
    except UnicodeDecodeError:
        raise InvalidDocumentError(f"the extensions document {path} is not valid UTF-8") from None
    except InvalidDocumentError as error:
        raise InvalidDocumentError(f"the extensions document {path}: {error}") from None
