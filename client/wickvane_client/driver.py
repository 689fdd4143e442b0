"""What both faces share of psycopg: options of a connection, and what became of a try."""

import psycopg

from wickvane_client import fields, policy

CONNECT_S = 2.0


def options(address, user, database, left):
    """Of psycopg.connect: simple queries without a server-side transaction, as the dispatcher takes them."""
    host, _, port = address.rpartition(":")
    return dict(
        host=host.strip("[]"),
        port=int(port),
        user=user,
        dbname=database,
        sslmode="disable",
        autocommit=True,
        connect_timeout=max(2, round(min(CONNECT_S, left))),
        prepare_threshold=None,
    )


def became(error, sent):
    """(outcome, advice in seconds, text) of one of RAISED; sent: the query had been handed over."""
    if not isinstance(error, psycopg.Error):
        error = psycopg.OperationalError(str(error))
    state, detail = error.sqlstate, error.diag.message_detail if error.diag else None
    outcome = fields.outcome_of(state)
    if not sent and outcome == policy.LOST:
        outcome = policy.REFUSED
    return outcome, fields.advice_of(detail), str(error).strip().split("\n")[0]


def rows_of(cursor):
    return cursor.fetchall() if cursor.description is not None else []


RAISED = (psycopg.Error, OSError)
