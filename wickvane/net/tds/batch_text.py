"""Tells whether the text of a batch is a single statement. No I/O.

In Transact-SQL statements need no separator, so the text is read word by word. Only what can be shown is
answered with yes: a batch of another form, such as the call of a procedure, may run several statements.
"""

import re
from collections.abc import Iterator

from wickvane.errors import WickvaneError

# Comments are found by their opening, since they nest. Names in quotes or brackets are never keywords.
SYMBOL = re.compile(
    r"(?P<blank>\s+|--[^\r\n\x85\u2028\u2029]*(?=\r?\n|\Z))|(?P<comment>/\*)|(?P<line_comment>--)"
    r"|(?P<value>'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"|\[(?:[^\]]|\]\])*\]"
    r"|0[xX][0-9a-fA-F]*|\d+\.?\d*(?:[eE][+-]?\d*)?)"
    r"|(?P<word>[^\W\d][\w@#$]*|[@#][\w@#$]*)|(?P<unterminated>['\"\[])|(?P<mark>.)",
    re.S | re.A,
)
COMMENT_DELIMITER = re.compile(r"/\*|\*/")
VALUE = "a value"  # stands for a literal, a number or a quoted name
QUERY = "(query)"  # stands for a query in parentheses
QUERY_STARTS = frozenset(("select", "with", "("))
DATA_STATEMENTS = frozenset(("select", "insert", "update", "delete", "merge"))
# Reserved words that begin a statement; other statements need a semicolon ahead of them.
STATEMENT_WORDS = DATA_STATEMENTS | frozenset(
    (
        *("alter", "backup", "begin", "break", "bulk", "checkpoint", "close", "commit", "continue", "create"),
        *(
            "dbcc",
            "deallocate",
            "declare",
            "deny",
            "drop",
            "dump",
            "exec",
            "execute",
            "fetch",
            "goto",
            "grant",
        ),
        *("if", "kill", "load", "open", "print", "raiserror", "readtext", "reconfigure", "restore", "return"),
        *("revert", "revoke", "rollback", "save", "set", "setuser", "shutdown", "truncate", "updatetext"),
        *("use", "waitfor", "while", "writetext"),
    )
)
SET_OPERATORS = frozenset(("union", "except", "intersect"))
# Statement words that continue a statement, by the words that may stand ahead of them
CLAUSES = {
    "set": frozenset(("update",)),
    "fetch": frozenset(("row", "rows")),
    "update": frozenset(("then",)),
    "insert": frozenset(("then",)),
    "delete": frozenset(("then",)),
}


class UnreadableTextError(WickvaneError):
    """A string, name, comment or parenthesis does not end, or it is not certain where it ends."""


def is_single_statement(text: str) -> bool:
    """Returns whether a batch surely is one SELECT, INSERT, UPDATE, DELETE or MERGE."""
    try:
        symbols = _top_level_symbols(list(_symbols(text)))
    except UnreadableTextError:
        return False
    symbols = _without_outer_semicolons(symbols)
    starts = [n for n, word in enumerate(symbols) if word in STATEMENT_WORDS and not _continues(symbols, n)]
    if not starts or ";" in symbols:
        return False
    first, *others = starts
    if symbols[first] not in DATA_STATEMENTS or first and symbols[0] != "with":
        return False
    match symbols[first]:
        case "insert":
            return _has_one_source(symbols[first:])
        case "update":
            return [symbols[n] for n in others] in ([], ["set"])
        case _:
            return not others


def _symbols(text: str) -> Iterator[str]:
    """Yields the words of a text in lower case, its marks, and VALUE for each value."""
    position = 0
    while found := SYMBOL.match(text, position):
        position = found.end()
        match found.lastgroup:
            case "comment":
                position = _comment_end(text, found.start())
            case "value":
                yield VALUE
            case "word":
                yield found[0].lower()
            case "mark":
                yield found[0]
            case "line_comment" | "unterminated":
                raise UnreadableTextError


def _comment_end(text: str, start: int) -> int:
    depth = 0
    for delimiter in COMMENT_DELIMITER.finditer(text, start):
        depth += 1 if delimiter[0] == "/*" else -1
        if not depth:
            return delimiter.end()
    raise UnreadableTextError


def _top_level_symbols(symbols: list[str]) -> list[str]:
    """Returns the symbols outside of parentheses, with "(" or QUERY for each pair of them.

    The name behind a dot is returned as a value."""
    depth = 0
    top_level: list[str] = []
    for symbol, following in zip(symbols, [*symbols[1:], ""]):
        if symbol == ")":
            depth -= 1
        elif depth == 0:
            is_query = symbol == "(" and following in QUERY_STARTS
            is_qualified = top_level[-1:] == ["."]
            top_level.append(QUERY if is_query else VALUE if is_qualified and symbol != ";" else symbol)
        if symbol == "(":
            depth += 1
        if depth < 0:
            raise UnreadableTextError
    if depth:
        raise UnreadableTextError
    return top_level


def _without_outer_semicolons(symbols: list[str]) -> list[str]:
    start = 0
    end = len(symbols)
    while start < end and symbols[start] == ";":
        start += 1
    while end > start and symbols[end - 1] == ";":
        end -= 1
    return symbols[start:end]


def _continues(symbols: list[str], position: int) -> bool:
    """Returns whether a statement word is part of a clause of the statement that it stands in."""
    word = symbols[position]
    before = symbols[position - 1] if position else ""
    match word:
        case "select":
            is_after_all = before == "all" and position > 1 and symbols[position - 2] in SET_OPERATORS
            return before in SET_OPERATORS or is_after_all
        case "merge":
            return symbols[position + 1 : position + 2] == ["join"]
    return before in CLAUSES.get(word, ())


def _has_one_source(symbols: list[str]) -> bool:
    """Returns whether an INSERT has one source of rows: VALUES, DEFAULT VALUES or one query."""
    sources = [n for n, symbol in enumerate(symbols) if symbol in ("values", "select", QUERY)]
    if not sources:
        return False
    after_source = range(sources[0] + 1, len(symbols))
    is_followed = any(symbols[n] in STATEMENT_WORDS and not _continues(symbols, n) for n in after_source)
    is_preceded = any(symbol in STATEMENT_WORDS for symbol in symbols[1 : sources[0]])
    return not is_followed and not is_preceded
