"""What a statement says of itself: the fields in the comment ahead of it, and the table group it touches."""

import re

from wickvane.errors import RequestRejected
from wickvane.events import Effect
from wickvane.settings import ticks

FIELD_MOST, LIMIT_MOST = 256, 86_400_000

# Stretches in which names do not count, then words; quoted names are words of their own kind.
TOKENS = re.compile(
    rb"(?P<line>--[^\n]*)|(?P<open>/\*)|(?P<escaped>[eE]'(?:[^'\\]|\\.|'')*(?:'|\Z))"
    rb"|(?P<string>(?:[bBxXnN]|[uU]&)?'(?:[^']|'')*(?:'|\Z))"
    rb"|(?P<dollar>\$(?P<tag>(?:[A-Za-z_\x80-\xff][\w\x80-\xff]*)?)\$)"
    rb'|(?P<quoted>(?:[uU]&)?"(?:[^"]|"")*(?:"|\Z))'
    rb"|(?P<word>[A-Za-z_\x80-\xff][\w$\x80-\xff]*)|(?P<number>\d[\w.]*)|(?P<mark>[^\s])",
    re.S,
)
# A plain statement has none of these, and its one schema is found without looking at each token.
UNPLAIN = re.compile(rb'["$\\]|--|/\*')
LITERAL = re.compile(rb"'[^']*'")
CHAIN = re.compile(rb"(?<![\w$.\x80-\xff])([A-Za-z_\x80-\xff][\w$\x80-\xff]*)\s*\.\s*[A-Za-z_\x80-\xff]")
FIRST_WORD = re.compile(rb"\s*([A-Za-z_]+)\s")
COMMENT_EDGE = re.compile(rb"/\*|\*/")
GROUP = re.compile(rb"_(\d{1,9})\Z")
NUMBER = re.compile(r"\d{1,15}(\.\d{0,15})?\Z", re.A)
TXN = re.compile(r"[0-9a-fA-F]{16}\Z")
# Words behind which a relation is named, and functions inside which FROM is only an argument's word.
BEFORE_RELATION = {b"from", b"join", b"into", b"update", b"table", b"only", b"copy", b"using"}
DOT = ("mark", b".")
NAMES = ("word", "quoted")
BEFORE_NAME = {b"if", b"not", b"exists", b"lateral"}
TAKES_FROM = {b"extract", b"substring", b"trim", b"overlay", b"position"}
TAGS = {
    b"insert": b"INSERT 0",
    b"update": b"UPDATE",
    b"delete": b"DELETE",
    b"copy": b"COPY",
    b"merge": b"MERGE",
}


def comment_end(text, at):
    """Where the comment that opens at `at` ends; comments nest."""
    depth = 0
    for edge in COMMENT_EDGE.finditer(text, at):
        depth += 1 if edge[0] == b"/*" else -1
        if not depth:
            return edge.end()
    raise RequestRejected("42601", "unterminated comment")


def split(text):
    """The text inside the fields' comment, or None, and the statement without that comment."""
    at = 0
    while True:
        while at < len(text) and text[at] in b" \t\r\n\f\v":
            at += 1
        if text.startswith(b"--", at):
            end = text.find(b"\n", at)
            if end < 0:
                return None, b""
            at = end + 1
            continue
        if not text.startswith(b"/*", at):
            return None, text[at:]
        end = comment_end(text, at)
        inside = text[at + 2 : end - 2]
        if re.search(rb"(?:\A|,)\s*txn\s*=", inside):
            return inside, (text[:at].lstrip() + text[end:].lstrip())
        at = end


def is_empty(text):
    """Nothing but blanks: fields ahead of nothing, or with no id among them, ask for something."""
    return not text.strip(b" \t\r\n\f\v;")


def fields(inside):
    """The comment's fields, text by name; RequestRejected where they cannot be read."""
    found = {}
    for part in inside.decode("utf-8", "replace").split(","):
        name, equals, value = part.partition("=")
        name, value = name.strip(), value.strip()
        if not equals or not name or name in found or len(value) > FIELD_MOST:
            raise RequestRejected("42601", "the comment's fields cannot be read")
        found[name] = value
    return found


def words(text):
    """The tokens that can name something or stand between names, as (kind, lower-case text)."""
    at = 0
    while found := TOKENS.search(text, at):
        at, kind = found.end(), found.lastgroup
        if kind == "open":
            at = comment_end(text, found.start())
        elif kind == "tag" or kind == "dollar":
            end = text.find(found["dollar"], at)
            at = len(text) if end < 0 else end + len(found["dollar"])
            yield "string", b""
        elif kind == "quoted":
            yield kind, found[0][found[0].index(b'"') + 1 : -1].replace(b'""', b'"')
        elif kind == "word":
            yield kind, found[0].lower()
        elif kind in ("mark", "number"):
            yield kind, found[0]
        elif kind != "line":
            yield "string", b""


def plain_group(text):
    """The table group where it can be meant in one way only; None where each token must be read."""
    if UNPLAIN.search(text) or text.count(b"'") % 2:
        return None
    text = LITERAL.sub(b" '' ", text) if b"'" in text else text
    names, numbers = CHAIN.findall(text), set()
    if len(names) != text.count(b"."):
        return None
    for name in names:
        found = GROUP.search(name.lower())
        if found and name.lower().rpartition(b"_")[0] != b"staging":
            numbers.add(int(found[1]))
    return numbers.pop() if len(numbers) == 1 else None


def table_group(text):
    """The number in the name of the schema that the statement reads or writes; 0 where it names none.

    A name behind FROM, INTO and their like counts before a quoted one there, and that before one elsewhere:
    an alias with a number of its own is no schema.
    """
    plain = plain_group(text)
    if plain is not None:
        return plain
    best, best_rank = 0, 3
    inside, relation, before, depth_from = [], False, b"", []
    tokens = list(words(text))
    n = 0
    while n < len(tokens):
        kind, word = tokens[n]
        if kind == "word" and word in BEFORE_RELATION and not (inside and inside[-1]):
            relation = True
        elif kind in NAMES:
            chain = [(kind, word)]
            while n + 2 < len(tokens) and tokens[n + 1] == DOT and tokens[n + 2][0] in NAMES:
                chain.append(tokens[n + 2])
                n += 2
            if len(chain) > 1:
                schema_kind, schema = chain[-2]
                found = GROUP.search(schema)
                rank = 2 if not relation else 0 if schema_kind == "word" else 1
                if schema_kind == "quoted" and not relation:
                    found = None
                if found and schema.rpartition(b"_")[0] != b"staging" and rank < best_rank:
                    best, best_rank = int(found[1]), rank
            # A list of relations goes on behind a comma, over aliases.
            relation = relation and (word in BEFORE_NAME or goes_on(tokens, n))
        elif word == b"(":
            inside.append(before in TAKES_FROM)
            depth_from.append(relation)
        elif word == b")":
            if inside:
                inside.pop()
                relation = depth_from.pop()
        before = word
        n += 1
    return best


def goes_on(tokens, n):
    """Whether a comma that goes on with the list of relations stands behind at most an alias."""
    for kind, word in tokens[n + 1 : n + 4]:
        if word == b"," and kind == "mark":
            return True
        if kind not in NAMES:
            return False
    return False


def number(found, name, most):
    """A field that is a number up to `most`; 0 where it is absent."""
    text = found.get(name)
    if text is None:
        return 0.0
    if not NUMBER.match(text) or float(text) > most:
        raise RequestRejected("22023", f"{name} is not a number that can be used")
    return float(text)


class Reader:
    """Reads statements against the groups and tenants that the settings name."""

    def __init__(self, registry, front=0):
        """front: which of the registry's; its resource groups are told apart from those of others."""
        self.groups, self.tenants = registry.groups.index, registry.tenants.index
        self.first = front * len(self.groups)
        self.of, self.encoded = (
            registry.deployment.groups,
            {name: name.encode() for name in registry.groups.index},
        )

    def read(self, text, defaults=None):
        """A statement's fields; `defaults` stand in for the comment where there is none."""
        inside, body = split(text)
        if inside is None and defaults is None:
            raise RequestRejected("42601", "the statement has no comment with fields ahead of it")
        found = fields(inside) if inside is not None else defaults
        resource_group = self.groups.get(found.get("verb"))
        if resource_group is None:
            raise RequestRejected("22023", "verb names no resource group")
        txn = found.get("txn", "")
        if not TXN.match(txn):
            raise RequestRejected("22023", "txn is not 16 hex digits")
        limit = ticks(number(found, "limit", LIMIT_MOST))
        if not limit:
            raise RequestRejected("22023", "limit is missing or no time")
        tenant = self.tenants.get(found["team"]) if "team" in found else 0
        if tenant is None:
            raise RequestRejected("22023", "team names no tenant")
        token, key = found.get("unique"), found.get("item")
        if not token and self.of[resource_group].effect == Effect.IDEMPOTENCY_KEY:
            raise RequestRejected("22023", "unique is missing, and this resource group needs it")
        if not key and self.of[resource_group].ordered:
            raise RequestRejected("22023", "item is missing, and this resource group needs it")
        if token and not re.fullmatch(r"[\w.:+/-]{1,128}", token, re.A):
            raise RequestRejected("22023", "unique cannot be passed on")
        if not body.strip():
            raise RequestRejected("42601", "the comment stands ahead of nothing")
        start = FIRST_WORD.match(body)
        first = start[1].lower() if start else next((w for kind, w in words(body) if kind == "word"), b"")
        return {
            "id": txn.encode(),
            "resource_group": self.first + resource_group,
            "verb": self.encoded[found["verb"]],
            "limit": limit,
            "tenant": tenant,
            "token": token.encode() if token else None,
            "key": int.from_bytes(key.encode(), "big") if key and self.of[resource_group].ordered else None,
            "cost": ticks(number(found, "cpu", 1e9)),
            "memory": number(found, "memory", 1e9),
            "table_group": table_group(body),
            "body": body,
            "tag": TAGS.get(first, b"SELECT"),
        }
