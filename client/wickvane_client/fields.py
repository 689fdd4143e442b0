"""Text formats between client and dispatcher: query fields before a statement, details of an error."""

import re

from wickvane_client import policy
from wickvane_client._deprecated import deprecated_names

FIELD_VALUE = re.compile(r"[A-Za-z0-9_.:-]{1,64}\Z")
RETRY_AFTER = re.compile(r"stay-away=(\d{1,9})ms(?:\s|\Z)")


def comment(group, txn, left, token=None, key=None, tenant=None, cost=None, memory=None):
    """Returns the comment with the query fields that is sent before the statement.

    left: time to the deadline in seconds. cost: CPU time in milliseconds, summed over all threads. memory: in
    MB. Raises ValueError for a value that would change the syntax of the comment."""
    fields = {"verb": group, "txn": txn, "limit": max(1, int(left * 1000))}
    for name, value in (("team", tenant), ("unique", token), ("item", key)):
        if value is not None:
            fields[name] = value
    for name, value in fields.items():
        if name != "limit" and not FIELD_VALUE.match(str(value)):
            raise ValueError(f"{name} {value!r}: expected 1 to 64 characters of letters, digits and .:_-")
    for name, value in (("cpu", cost), ("memory", memory)):
        if value is not None:
            fields[name] = f"{float(value):.1f}"
    return "/* " + ",".join(f"{name}={value}" for name, value in fields.items()) + " */ "


def advice_of(detail):
    """Returns the retry-after delay in the DETAIL of an error, in seconds; 0.0 if it has none."""
    found = RETRY_AFTER.search(detail or "")
    return int(found[1]) / 1000 if found else 0.0


def outcome_of(sqlstate):
    """Returns the outcome that an error's SQLSTATE means, by the dispatcher's table in docs/on-call.md."""
    if not sqlstate:
        return policy.LOST
    if sqlstate[:2] == "53" or sqlstate == "57P03":
        return policy.DEFERRED
    if sqlstate[:2] == "58":
        return policy.KILLED
    if sqlstate[:2] in ("08", "57"):
        return policy.LOST
    return policy.UNUSABLE


__getattr__ = deprecated_names(globals(), NAME="FIELD_VALUE", ADVICE="RETRY_AFTER")
