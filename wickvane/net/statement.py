"""Parses a statement: the fields of its statement comment, and the table group that it reads or writes."""

import re

from wickvane.errors import RequestRejected
from wickvane.events import Effect
from wickvane.settings import ticks

MAX_FIELDS, MAX_FIELD_LENGTH, MAX_LIMIT_MS = 64, 256, 86_400_000

# Comments and strings, in which names have no meaning, then names; quoted names are a kind of their own.
TOKEN = re.compile(
    rb"(?P<line>--[^\n]*)|(?P<open>/\*)|(?P<escaped>[eE]'(?:[^'\\]|\\.|'')*(?:'|\Z))"
    rb"|(?P<string>(?:[bBxXnN]|[uU]&)?'(?:[^']|'')*(?:'|\Z))"
    rb"|(?P<dollar>\$(?P<tag>(?:[A-Za-z_\x80-\xff][\w\x80-\xff]*)?)\$)"
    rb'|(?P<quoted>(?:[uU]&)?"(?:[^"]|"")*(?:"|\Z))'
    rb"|(?P<word>[A-Za-z_\x80-\xff][\w$\x80-\xff]*)|(?P<number>\d[\w.]*)|(?P<mark>[^\s])",
    re.S,
)
# A plain statement has none of these; its schema is found without splitting it into tokens.
NOT_PLAIN = re.compile(rb'["$\\]|--|/\*')
STRING_LITERAL = re.compile(rb"'[^']*'")
QUALIFIED_NAME = re.compile(
    rb"(?<![\w$.\x80-\xff])([A-Za-z_\x80-\xff][\w$\x80-\xff]*)\s*\.\s*[A-Za-z_\x80-\xff]"
)
FIRST_WORD = re.compile(rb"\s*([A-Za-z_]+)\s")
COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
TABLE_GROUP_SUFFIX = re.compile(rb"_(\d{1,9})\Z")
NUMBER = re.compile(r"\d{1,15}(\.\d{0,15})?\Z", re.A)
TXN_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
# Keywords that precede the name of a relation, with RELATION_MODIFIERS in between; in calls of
# FUNCTIONS_WITH_FROM, FROM is part of the arguments' syntax.
RELATION_KEYWORDS = {b"from", b"join", b"into", b"update", b"table", b"only", b"copy", b"using"}
DOT = ("mark", b".")
NAME_KINDS = ("word", "quoted")
RELATION_MODIFIERS = {b"if", b"not", b"exists", b"lateral"}
FUNCTIONS_WITH_FROM = {b"extract", b"substring", b"trim", b"overlay", b"position"}
COMMAND_TAGS = {
    b"insert": b"INSERT 0",
    b"update": b"UPDATE",
    b"delete": b"DELETE",
    b"copy": b"COPY",
    b"merge": b"MERGE",
}


def comment_end(text, at):
    """Returns where the comment that begins at `at` ends; comments nest.

    Raises RequestRejected if it isn't terminated."""
    depth = 0
    for edge in COMMENT_DELIMITER.finditer(text, at):
        depth += 1 if edge[0] == b"/*" else -1
        if not depth:
            return edge.end()
    raise RequestRejected("42601", "unterminated comment")


def split_comment(text):
    """Returns the text inside the statement comment, None if there is none, and the statement without it.

    The statement comment is the first comment ahead of the statement that has a txn field."""
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
    """Whether a text is nothing but blanks and semicolons.

    A lone comment doesn't count as empty: an empty query is answered as done, and a comment with fields is a
    query that went wrong."""
    return not text.strip(b" \t\r\n\f\v;")


def parse_fields(inside):
    """Returns the statement comment's fields, text by name.

    Raises RequestRejected if they are malformed or too many, a name is repeated or a value is too long."""
    found = {}
    parts = inside.decode("utf-8", "replace").split(",", MAX_FIELDS)
    if len(parts) > MAX_FIELDS:
        raise RequestRejected("42601", "the comment has too many fields")
    for part in parts:
        name, equals, value = part.partition("=")
        name, value = name.strip(), value.strip()
        if not equals or not name or name in found or len(value) > MAX_FIELD_LENGTH:
            raise RequestRejected("42601", "the comment's fields cannot be read")
        found[name] = value
    return found


def significant_tokens(text):
    """Yields the tokens that can be names or stand between names, as (kind, text).

    Unquoted names are in lower case; strings are yielded without their text."""
    at = 0
    while found := TOKEN.search(text, at):
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


def plain_table_group(text):
    """Returns the table group of a statement if it names just one and is plain.

    Returns None if the statement must be split into tokens."""
    if NOT_PLAIN.search(text) or text.count(b"'") % 2:
        return None
    text = STRING_LITERAL.sub(b" '' ", text) if b"'" in text else text
    names, numbers = QUALIFIED_NAME.findall(text), set()
    if len(names) != text.count(b"."):
        return None
    for name in names:
        found = TABLE_GROUP_SUFFIX.search(name.lower())
        if found and name.lower().rpartition(b"_")[0] != b"staging":
            numbers.add(int(found[1]))
    return numbers.pop() if len(numbers) == 1 else None


def table_group(text):
    """Returns the number in the name of the schema that the statement reads or writes; 0 if it names none.

    An unquoted name after FROM, INTO or the like takes precedence over a quoted one there, and that over an
    unquoted name elsewhere: an alias that ends in a number isn't a schema.
    """
    plain = plain_table_group(text)
    if plain is not None:
        return plain
    best, best_rank = 0, 3
    from_is_argument, relation, previous, outer_relation = [], False, b"", []
    tokens = list(significant_tokens(text))
    n = 0
    while n < len(tokens):
        kind, word = tokens[n]
        if kind == "word" and word in RELATION_KEYWORDS and not (from_is_argument and from_is_argument[-1]):
            relation = True
        elif kind in NAME_KINDS:
            chain = [(kind, word)]
            while n + 2 < len(tokens) and tokens[n + 1] == DOT and tokens[n + 2][0] in NAME_KINDS:
                chain.append(tokens[n + 2])
                n += 2
            if len(chain) > 1:
                schema_kind, schema = chain[-2]
                found = TABLE_GROUP_SUFFIX.search(schema)
                rank = 2 if not relation else 0 if schema_kind == "word" else 1
                if schema_kind == "quoted" and not relation:
                    found = None
                if found and schema.rpartition(b"_")[0] != b"staging" and rank < best_rank:
                    best, best_rank = int(found[1]), rank
            # A list of relations continues after a comma, also if an alias precedes the comma.
            relation = relation and (word in RELATION_MODIFIERS or list_continues(tokens, n))
        elif word == b"(":
            from_is_argument.append(previous in FUNCTIONS_WITH_FROM)
            outer_relation.append(relation)
        elif word == b")":
            if from_is_argument:
                from_is_argument.pop()
                relation = outer_relation.pop()
        previous = word
        n += 1
    return best


def list_continues(tokens, n):
    """Whether the list of relations continues: after the name at n, at most an alias precedes a comma."""
    for kind, word in tokens[n + 1 : n + 4]:
        if word == b"," and kind == "mark":
            return True
        if kind not in NAME_KINDS:
            return False
    return False


def parse_number(found, name, maximum):
    """Returns the value of a numeric field, 0 if the field is missing.

    Raises RequestRejected if it isn't a number or exceeds the maximum."""
    text = found.get(name)
    if text is None:
        return 0.0
    if not NUMBER.match(text) or float(text) > maximum:
        raise RequestRejected("22023", f"{name} is not a number that can be used")
    return float(text)


class Reader:
    """Reads statements and resolves their resource groups and tenants by the settings."""

    def __init__(self, registry, client_protocol=0):
        """client_protocol: its index in service.fronts; each has resource group indices of its own."""
        self.groups, self.tenants = registry.groups.index, registry.tenants.index
        self.first_group = client_protocol * len(self.groups)
        self.group_settings, self.encoded_names = (
            registry.deployment.groups,
            {name: name.encode() for name in registry.groups.index},
        )

    def read(self, text, defaults=None):
        """Returns what ex.PendingQuery holds of a statement, by name.

        defaults: the fields of a statement without a statement comment. Raises RequestRejected if a field is
        missing or malformed, or names nothing in the settings."""
        inside, body = split_comment(text)
        if inside is None and defaults is None:
            raise RequestRejected("42601", "the statement has no comment with fields ahead of it")
        found = parse_fields(inside) if inside is not None else defaults
        resource_group = self.groups.get(found.get("verb"))
        if resource_group is None:
            raise RequestRejected("22023", "verb names no resource group")
        txn = found.get("txn", "")
        if not TXN_ID.match(txn):
            raise RequestRejected("22023", "txn is not 16 hex digits")
        limit = ticks(parse_number(found, "limit", MAX_LIMIT_MS))
        if not limit:
            raise RequestRejected("22023", "limit is missing or no time")
        tenant = self.tenants.get(found["team"]) if "team" in found else 0
        if tenant is None:
            raise RequestRejected("22023", "team names no tenant")
        token, key = found.get("unique"), found.get("item")
        if not token and self.group_settings[resource_group].effect == Effect.IDEMPOTENCY_KEY:
            raise RequestRejected("22023", "unique is missing, and this resource group needs it")
        if not key and self.group_settings[resource_group].ordered:
            raise RequestRejected("22023", "item is missing, and this resource group needs it")
        if token and not re.fullmatch(r"[\w.:+/-]{1,128}", token, re.A):
            raise RequestRejected("22023", "unique cannot be passed on")
        if not body.strip():
            raise RequestRejected("42601", "the comment stands ahead of nothing")
        start = FIRST_WORD.match(body)
        first = (
            start[1].lower()
            if start
            else next((w for kind, w in significant_tokens(body) if kind == "word"), b"")
        )
        return {
            "id": txn.encode(),
            "resource_group": self.first_group + resource_group,
            "verb": self.encoded_names[found["verb"]],
            "limit": limit,
            "tenant": tenant,
            "token": token.encode() if token else None,
            "key": int.from_bytes(key.encode(), "big")
            if key and self.group_settings[resource_group].ordered
            else None,
            "cost": ticks(parse_number(found, "cpu", 1e9)),
            "memory": parse_number(found, "memory", 1e9),
            "table_group": table_group(body),
            "body": body,
            "tag": COMMAND_TAGS.get(first, b"SELECT"),
        }
