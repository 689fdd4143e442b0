"""A client session's transaction, which is only simulated: each query is a transaction of its own."""

import os
from typing import NamedTuple

from wickvane.net.tds import errors, tokens
from wickvane.net.tds.answers import DEFAULT_SEVERITY
from wickvane.net.tds.token_encoding import encode_envchange, encode_message

DESCRIPTOR_SIZE = 8  # octets
NO_DESCRIPTOR = b"\0"


class TransactionAnswer(NamedTuple):
    """The tokens that precede an answer's final DONE, and status flags of that DONE."""

    tokens: bytes
    status: int


class SessionTransaction:
    """The transaction that the client believes to be open.

    has_effects: a query since its beginning may have changed data."""

    def __init__(self) -> None:
        self.has_effects = False
        self._descriptor = b""

    def apply(self, action: str) -> TransactionAnswer:
        """Answers "begin", "commit" or "rollback"; a rollback fails if a query may have changed data."""
        if action == "begin":
            return self._begin()
        descriptor = self._descriptor
        rollback_fails = action == "rollback" and self.has_effects
        self._descriptor = b""
        self.has_effects = False
        answer = b""
        if rollback_fails:
            text = "cannot roll back: each query is a transaction of its own, and earlier ones stay in effect"
            answer = encode_message(tokens.ERROR, errors.NO_ROLLBACK, 1, DEFAULT_SEVERITY, text)
        if descriptor:
            committed = action == "commit"
            change = tokens.ENV_COMMIT_TRANSACTION if committed else tokens.ENV_ROLLBACK_TRANSACTION
            answer += encode_envchange(change, NO_DESCRIPTOR, bytes((DESCRIPTOR_SIZE,)) + descriptor)
        return TransactionAnswer(answer, tokens.DONE_ERROR if rollback_fails else 0)

    def _begin(self) -> TransactionAnswer:
        self._descriptor = os.urandom(DESCRIPTOR_SIZE)
        self.has_effects = False
        value = bytes((DESCRIPTOR_SIZE,)) + self._descriptor
        return TransactionAnswer(encode_envchange(tokens.ENV_BEGIN_TRANSACTION, value, NO_DESCRIPTOR), 0)
