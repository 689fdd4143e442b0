"""One file's octets into members, whole or not at all; free of I/O.

    members generation=7 {
        engine "e1" address="10.0.0.1:5001" zone="dc" type="old" weight=1.0 group=0 since-ms=0
        engine "e2" address="10.0.0.2:5001" weight=0        // drained by hand
        engine "e3" address="10.0.0.3:5001" status="Terminating"
    }
    //! length=312 blake2b=0f...

or the same as JSON, in the coordinator's words: {"generation": 7, "engines": [{"name": ..., "address": ...,
"zone": ..., "type": ..., "group": ..., "weight": ..., "since_ms": ..., "status": ...}]}. The last line, the
seal, is optional: so many octets stand ahead of it, and that is their BLAKE2b of 16 octets. It holds in JSON
too. Without it a strict beginning of a document is still none, since its last brace is missing.
"""

import math
import re
from hashlib import blake2b
from typing import NamedTuple

import orjson

from wickvane.endpoints.findings import Unfit
from wickvane.endpoints.roster import Member
from wickvane.events import EngineState
from wickvane.net.coordinator import STATES, address_of

SEAL = re.compile(rb"(?:\A|\n)(//! length=(\d{1,12}) blake2b=([0-9a-f]{32})[ \t\r]*\n?)\Z")
LIKE_SEAL = re.compile(rb"(?:\A|\n)//![^\n]*\n?\Z")
DEEPEST, NAME_MOST, WEIGHT_MOST, GENERATION_MOST = 6, 256, 100.0, (1 << 20) - 1
STRINGS = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*')
WORDS = {"name", "address", "zone", "type", "group", "weight", "since_ms", "status"}
ALIAS = {"since-ms": "since_ms"}
ROOM = 400  # engines after which others get the interpreter


class Part(NamedTuple):
    """One file as it was read. lines: of the engines by name, where they are known."""

    file: str
    generation: int | None
    members: tuple
    lines: dict


def seal(data):
    """The octets with their seal."""
    if data and not data.endswith(b"\n"):
        data += b"\n"
    return data + b"//! length=%d blake2b=%b\n" % (
        len(data),
        blake2b(data, digest_size=16).hexdigest().encode(),
    )


def opened(data, file, sealed):
    """The octets ahead of the seal, once they match it."""
    found = SEAL.search(data)
    if found is None:
        if LIKE_SEAL.search(data):
            raise Unfit("length-wrong", "its seal is cut, or is none", file)
        if sealed:
            raise Unfit("seal-missing", "it ends without a seal", file)
        return data
    body = data[: found.start(1)]
    if len(body) != int(found[2]):
        raise Unfit(
            "length-wrong", f"{len(body)} octets stand ahead of its seal, which says {int(found[2])}", file
        )
    if blake2b(body, digest_size=16).hexdigest().encode() != found[3]:
        raise Unfit("checksum-wrong", "its octets are not those that were sealed", file)
    return body


def read(data, file, sealed=False, most=20_000, overrides=False, give_way=None):
    """The Part in a file's octets; Unfit where it is none. overrides: engines need no address, and only what
    is stated counts; give_way: called now and then, so that a long list holds up nobody."""
    body = opened(data, file, sealed)
    try:
        text = body.decode()
    except UnicodeDecodeError as error:
        raise Unfit(
            "not-utf8", f"octet {error.start} is no UTF-8", file, body.count(b"\n", 0, error.start) + 1
        ) from None
    deep(text, file)
    rows, generation = (read_json if file.endswith(".json") else read_kdl)(text, file)
    if len(rows) > most:
        raise Unfit("too-many-engines", f"it lists {len(rows)} engines of {most} at most", file)
    if generation is not None and not (
        isinstance(generation, int)
        and not isinstance(generation, bool)
        and 1 <= generation <= GENERATION_MOST
    ):
        raise Unfit("generation-wrong", f"generation {str(generation)[:40]} is none", file)
    lines = lines_of(text, file)
    members, names = [], set()
    for n, row in enumerate(rows):
        if give_way and n % ROOM == ROOM - 1:
            give_way()
        member = member_of(row, file, lines, overrides)
        if member.name in names:
            raise Unfit(
                "name-twice", "it is named twice in this file", file, lines.get(member.name), member.name
            )
        names.add(member.name)
        members.append(member)
    return Part(file, generation, tuple(members), lines)


def deep(text, file):
    """Against nesting that a reader would follow down its own stack."""
    if text.count("{") + text.count("[") <= DEEPEST:
        return
    depth = 0
    for found in re.finditer(r"[{}\[\]]", STRINGS.sub("", text)):
        depth += 1 if found[0] in "{[" else -1
        if depth > DEEPEST:
            raise Unfit("too-deep", f"it nests deeper than {DEEPEST} levels", file)


def lines_of(text, file):
    """Where engines stand, for messages: readers tell no lines."""
    if file.endswith(".json"):
        named = re.compile(r'"name"\s*:\s*"([^"\n]{1,256})"')
    else:
        named = re.compile(r'^[ \t]*engine[ \t]+"?([^"\s{]{1,256})"?', re.M)
    found, line, at = {}, 1, 0
    for one in named.finditer(text):
        line += text.count("\n", at, one.start(1))
        at = one.start(1)
        found.setdefault(one[1], line)
    return found


def read_json(text, file):
    try:
        found = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise Unfit("no-document", f"it is no JSON: {error.msg}", file, error.lineno) from None
    if not isinstance(found, dict) or not isinstance(found.get("engines"), list):
        raise Unfit("no-document", "it has no list `engines`", file)
    for name in found:
        if name not in ("generation", "engines"):
            raise Unfit("unknown-node", f"{name[:80]} is no field of it", file)
    for row in found["engines"]:
        if not isinstance(row, dict):
            raise Unfit("no-document", "an engine is no object", file)
        for name in row:
            if name not in WORDS:
                raise Unfit(
                    "unknown-node", f"{name[:80]} is no field of an engine", file, None, engine_named(row)
                )
    return found["engines"], found.get("generation")


def engine_named(row):
    name = row.get("name")
    return name[:NAME_MOST] if isinstance(name, str) else None


def read_kdl(text, file):
    try:
        import ckdl
    except ImportError:
        raise Unfit("no-document", "KDL needs the package ckdl (requirements-parts.txt)", file) from None
    try:
        document = ckdl.parse(text, version=2)
    except (ValueError, RecursionError, OverflowError) as error:
        raise Unfit("no-document", f"it is no KDL 2: {error}", file) from None
    if [node.name for node in document.nodes] != ["members"]:
        other = next((node.name for node in document.nodes if node.name != "members"), None)
        if other is not None:
            raise Unfit("unknown-node", f"{other[:80]} is no node of it", file)
        raise Unfit("no-document", "it has no node members, or several", file)
    top, rows = document.nodes[0], []
    if top.args or set(top.properties) - {"generation"}:
        raise Unfit("unknown-node", "members has no values but generation", file)
    if not top.children and "{" not in STRINGS.sub("", text):
        raise Unfit("no-document", "members has no braces: it is cut, or means nothing", file)
    for node in top.children:
        if node.name != "engine":
            raise Unfit("unknown-node", f"{node.name[:80]} is no node of members", file)
        if len(node.args) != 1 or node.children:
            raise Unfit("no-document", "an engine has one value, its name, and properties", file)
        row = {"name": plain(node.args[0])}
        for name, value in node.properties.items():
            if name not in (WORDS | set(ALIAS)) - {"name"}:
                raise Unfit(
                    "unknown-node", f"{name[:80]} is no property of an engine", file, None, engine_named(row)
                )
            row[ALIAS.get(name, name)] = plain(value)
        rows.append(row)
    return rows, plain(top.properties.get("generation"))


def plain(value):
    return getattr(value, "value", value)  # one that bears a type annotation


def member_of(row, file, lines, overrides):
    name = row.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= NAME_MOST or not name.isprintable():
        raise Unfit("value-wrong", f"{shown(name)} is no name of an engine", file)
    line = lines.get(name)

    def wrong(field, code="value-wrong"):
        return Unfit(code, f"{field} {shown(row.get(field))} cannot be", file, line, name)

    address = None
    if row.get("address") is not None:
        try:
            address = address_of(row["address"])
        except (ValueError, AttributeError):
            raise wrong("address") from None
    elif not overrides:
        raise Unfit("address-missing", "it has no address", file, line, name)
    weight = row.get("weight", 1.0)
    if not number(weight, 0, WEIGHT_MOST):
        raise wrong("weight", "weight-wrong")
    started, cell = row.get("since_ms", 0), row.get("group", 0)
    if not number(started, 0, 1e14):
        raise wrong("since_ms")
    if not isinstance(cell, int) or isinstance(cell, bool) or not 0 <= cell < 1 << 31:
        raise wrong("group")
    for field in ("zone", "type"):
        value = row.get(field)
        if value is not None and not (isinstance(value, str) and 0 < len(value) <= NAME_MOST):
            raise wrong(field)
    status = row.get("status", "Ready")
    if not isinstance(status, str) or STATES.get(status, EngineState.GONE) == EngineState.GONE:
        raise wrong("status")
    state = EngineState.DRAINING if weight == 0 else STATES[status]
    given = frozenset(row) - {"name"} if overrides else None
    return Member(name, address, row.get("zone"), row.get("type"), cell, started, float(weight), state, given)


def number(value, low, high):
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and math.isfinite(value)
        and low <= value <= high
    )


def shown(value):
    text = repr(value) if isinstance(value, str) else str(value)
    return text if len(text) <= 60 else text[:57] + "..."
