"""Use of psycopg by both clients: connection options, and the outcome of an attempt from an exception."""

import psycopg

from wickvane_client import fields, policy
from wickvane_client._deprecated import deprecated_names

MAX_CONNECT_S = 2.0


def options(address, user, database, left):
    """Returns the keyword arguments of psycopg.connect; left: seconds until the deadline.

    The dispatcher takes simple queries without a server-side transaction, so that autocommit is on and no
    statement is prepared."""
    host, _, port = address.rpartition(":")
    return dict(
        host=host.strip("[]"),
        port=int(port),
        user=user,
        dbname=database,
        sslmode="disable",
        autocommit=True,
        connect_timeout=max(2, round(min(MAX_CONNECT_S, left))),
        prepare_threshold=None,
    )


def classify_error(error, sent):
    """Returns (outcome, retry-after delay in seconds, message) of an exception of DRIVER_ERRORS.

    sent: True if the query had been passed to the driver; a connection lost before that is REFUSED."""
    if not isinstance(error, psycopg.Error):
        error = psycopg.OperationalError(str(error))
    state, detail = error.sqlstate, error.diag.message_detail if error.diag else None
    outcome = fields.outcome_of(state)
    if not sent and outcome == policy.LOST:
        outcome = policy.REFUSED
    return outcome, fields.advice_of(detail), str(error).strip().split("\n")[0]


def fetch_rows(cursor):
    """Returns all rows of the cursor's result; an empty list if the statement returns none."""
    return cursor.fetchall() if cursor.description is not None else []


DRIVER_ERRORS = (psycopg.Error, OSError)

__getattr__ = deprecated_names(
    globals(),
    CONNECT_S="MAX_CONNECT_S",
    RAISED="DRIVER_ERRORS",
    became="classify_error",
    rows_of="fetch_rows",
)
