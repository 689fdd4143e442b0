"""Reads the two formats of a document, KDL 2 and JSON, into rows of plain values; free of I/O.

Each reader returns the engines as dicts by JSON field name, and the stated generation.
"""

import re

import orjson

from wickvane.endpoints.findings import DocumentError
from wickvane.endpoints.snapshot import FIELDS_BY_DOCUMENT_NAME

MAX_NESTING = 6
MAX_NAME_LENGTH = 256
MAX_QUOTED_LENGTH = 80
ENGINE_FIELDS = {"name"} | set(FIELDS_BY_DOCUMENT_NAME)
KDL_ALIASES = {"since-ms": "since_ms"}
STRING_OR_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*')
JSON_NAME = re.compile(r'"name"\s*:\s*"([^"\n]{1,256})"')
KDL_NAME = re.compile(r'^[ \t]*engine[ \t]+"?([^"\s{]{1,256})"?', re.M)

Rows = list[dict[str, object]]


def is_json(file: str) -> bool:
    """Returns whether a file contains JSON, by its name; otherwise it contains KDL."""
    return file.endswith(".json")


def read_rows(text: str, file: str) -> tuple[Rows, object]:
    """Returns the rows of the engines and the stated generation. Raises DocumentError."""
    check_nesting(text, file)
    return _read_json(text, file) if is_json(file) else _read_kdl(text, file)


def check_nesting(text: str, file: str) -> None:
    """Raises DocumentError for nesting so deep that a recursive parser could overflow its stack."""
    if text.count("{") + text.count("[") <= MAX_NESTING:
        return
    depth = 0
    for bracket in re.finditer(r"[{}\[\]]", STRING_OR_COMMENT.sub("", text)):
        depth += 1 if bracket[0] in "{[" else -1
        if depth > MAX_NESTING:
            raise DocumentError("too-deep", f"its nesting is deeper than {MAX_NESTING} levels", file)


def line_numbers(text: str, file: str) -> dict[str, int]:
    """Returns the line number of each engine by name, for messages; the parsers do not report lines."""
    pattern = JSON_NAME if is_json(file) else KDL_NAME
    lines: dict[str, int] = {}
    line = 1
    position = 0
    for match in pattern.finditer(text):
        line += text.count("\n", position, match.start(1))
        position = match.start(1)
        lines.setdefault(match[1], line)
    return lines


def _read_json(text: str, file: str) -> tuple[Rows, object]:
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise DocumentError("no-document", f"not a JSON document: {error.msg}", file, error.lineno) from None
    if not isinstance(document, dict) or not isinstance(document.get("engines"), list):
        raise DocumentError("no-document", "it has no array `engines`", file)
    for field in document:
        if field not in ("generation", "engines"):
            raise DocumentError("unknown-node", f"unknown field {field[:MAX_QUOTED_LENGTH]}", file)
    for row in document["engines"]:
        if not isinstance(row, dict):
            raise DocumentError("no-document", "an engine is not an object", file)
        _check_fields(row, row, ENGINE_FIELDS, "field", file)
    return document["engines"], document.get("generation")


def _check_fields(fields: dict, row: dict, known: set[str], noun: str, file: str) -> None:
    for field in fields:
        if field not in known:
            text = f"{field[:MAX_QUOTED_LENGTH]} is not a known {noun} of an engine"
            raise DocumentError("unknown-node", text, file, None, _name_in(row))


def _name_in(row: dict) -> str | None:
    name = row.get("name")
    return name[:MAX_NAME_LENGTH] if isinstance(name, str) else None


def _read_kdl(text: str, file: str) -> tuple[Rows, object]:
    members = _members_node(text, file)
    if members.args or set(members.properties) - {"generation"}:
        raise DocumentError("unknown-node", "members takes no value or property but generation", file)
    if not members.children and "{" not in STRING_OR_COMMENT.sub("", text):
        raise DocumentError("no-document", "members has no braces: it is truncated or incomplete", file)
    rows = [_row_of_engine(node, file) for node in members.children]
    return rows, _plain_value(members.properties.get("generation"))


def _members_node(text: str, file: str):
    try:
        import ckdl
    except ImportError:
        raise DocumentError(
            "no-document", "KDL needs the package ckdl (requirements-parts.txt)", file
        ) from None
    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError, OverflowError) as error:
        raise DocumentError("no-document", f"not a KDL 2 document: {error}", file) from None
    for node in document.nodes:
        if node.name != "members":
            raise DocumentError("unknown-node", f"unknown node {node.name[:MAX_QUOTED_LENGTH]}", file)
    if len(document.nodes) != 1:
        raise DocumentError("no-document", "expected exactly one node members", file)
    return document.nodes[0]


def _row_of_engine(node, file: str) -> dict[str, object]:
    if node.name != "engine":
        text = f"unknown node {node.name[:MAX_QUOTED_LENGTH]} in members"
        raise DocumentError("unknown-node", text, file)
    if len(node.args) != 1 or node.children:
        raise DocumentError("no-document", "an engine takes one value, its name, and properties", file)
    row = {"name": _plain_value(node.args[0])}
    known = (ENGINE_FIELDS | set(KDL_ALIASES)) - {"name"}
    _check_fields(node.properties, row, known, "property", file)
    for name, value in node.properties.items():
        row[KDL_ALIASES.get(name, name)] = _plain_value(value)
    return row


def _plain_value(value: object) -> object:
    return getattr(value, "value", value)  # ckdl wraps values that have a type annotation
