"""Answers statements by which drivers set up a session: SET, USE, SELECT @@variable, transactions."""

import re
from typing import NamedTuple

from wickvane.net.tds import tokens
from wickvane.net.tds.encoding import INT_INFO, encode_int, encode_nvarchar, nvarchar_info
from wickvane.net.tds.token_encoding import encode_colmetadata, encode_envchange, encode_message

MAX_STATEMENT_CHARACTERS = 1024
MAX_DATABASE_CHARACTERS = 128
TEXT_COLUMN_CHARACTERS = 128
DATABASE_CHANGED = 5701  # number of the INFO that accompanies an ENVCHANGE of the database
VARIABLE = r"@@\w+(?:\s+as\s+\[?\w+\]?)?"
SET_STATEMENTS = re.compile(
    r"(?:\s*set\s+(?!identity_insert|@)[a-z_ ]+?\s+(?:on|off|[-\w']+)\s*;?)+\s*\Z", re.I
)
USE_STATEMENT = re.compile(r"\s*use\s+(?:\[((?:[^\]]|\]\])+)\]|\"([^\"]+)\"|([\w$#@]+))\s*;?\s*\Z", re.I)
SELECT_VARIABLES = re.compile(rf"\s*select\s+({VARIABLE}(?:\s*,\s*{VARIABLE})*)\s*;?\s*\Z", re.I)
TRANSACTION_STATEMENT = re.compile(
    r"\s*(?:if\s+@@trancount\s*>\s*0\s+)?(begin|commit|rollback)"
    r"(?:\s+(?:tran|transaction|work))?\s*;?\s*\Z",
    re.I,
)
VARIABLES: dict[str, str | int] = {
    "@@version": "Microsoft SQL Server 2016 (wickvane)",
    "@@servername": "wickvane",
    "@@error": 0,
    "@@servicename": "wickvane",
    "@@language": "us_english",
    "@@spid": 51,
    "@@trancount": 0,
    "@@rowcount": 0,
    "@@options": 5496,
    "@@textsize": 2_147_483_647,
    "@@lock_timeout": -1,
    "@@max_precision": 38,
    "@@datefirst": 7,
    "@@nestlevel": 0,
    "@@microsoftversion": 0x0D000000,
}


class SetupAnswer(NamedTuple):
    """The answer to a set-up statement: its tokens up to the final DONE, and its effects on the session.

    database: the new database; transaction: "begin", "commit" or "rollback"; rows: the number of rows, None
    if the statement has no result."""

    tokens: bytes = b""
    database: str | None = None
    transaction: str | None = None
    rows: int | None = None


def answer_setup_statement(text: str, database: str) -> SetupAnswer | None:
    """Returns the answer to a statement that accesses no data, or None for any other statement.

    database: the session's current database."""
    if len(text) > MAX_STATEMENT_CHARACTERS:
        return None
    if not text.strip(" \t\r\n;") or SET_STATEMENTS.match(text):
        return SetupAnswer()
    if found := TRANSACTION_STATEMENT.match(text):
        return SetupAnswer(transaction=found[1].lower())
    if found := USE_STATEMENT.match(text):
        name = (found[1] or found[2] or found[3]).replace("]]", "]")[:MAX_DATABASE_CHARACTERS]
        return SetupAnswer(encode_database_change(name, database), database=name)
    if found := SELECT_VARIABLES.match(text):
        return _answer_variables(found[1])
    return None


def encode_database_change(new: str, old: str) -> bytes:
    """Encodes the ENVCHANGE and INFO tokens for a change of the session's database."""
    return encode_envchange(tokens.ENV_DATABASE, new, old) + encode_message(
        tokens.INFO, DATABASE_CHANGED, 2, 0, f"Changed database context to '{new}'."
    )


def _answer_variables(expressions: str) -> SetupAnswer | None:
    """Returns an answer of one row with the @@variables' values, or None if a variable is unknown."""
    columns = []
    row = bytes((tokens.ROW,))
    for expression in expressions.split(","):
        words = expression.split()
        value = VARIABLES.get(words[0].lower())
        if value is None:
            return None
        alias = words[-1].strip("[]") if len(words) > 1 else ""
        if isinstance(value, int):
            columns.append((alias, INT_INFO))
            row += encode_int(value)
        else:
            columns.append((alias, nvarchar_info(TEXT_COLUMN_CHARACTERS)))
            row += encode_nvarchar(value)
    return SetupAnswer(encode_colmetadata(columns) + row, rows=1)
