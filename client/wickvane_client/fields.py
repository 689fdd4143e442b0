"""What stands ahead of a statement, and what an error says: the text between client and dispatcher."""

import re

from wickvane_client import policy

NAME = re.compile(r"[A-Za-z0-9_.:-]{1,64}\Z")
ADVICE = re.compile(r"stay-away=(\d{1,9})ms(?:\s|\Z)")


def comment(group, txn, left, token=None, key=None, tenant=None, cost=None, memory=None):
    """The comment of docs' fields: left in seconds, cost in milliseconds of all threads, memory in MB. Raises
    ValueError for a name that would change the comment."""
    fields = {"verb": group, "txn": txn, "limit": max(1, int(left * 1000))}
    for name, value in (("team", tenant), ("unique", token), ("item", key)):
        if value is not None:
            fields[name] = value
    for name, value in fields.items():
        if name != "limit" and not NAME.match(str(value)):
            raise ValueError(f"{name} {value!r}: expected letters, digits and .:_- (64 at most)")
    for name, value in (("cpu", cost), ("memory", memory)):
        if value is not None:
            fields[name] = f"{float(value):.1f}"
    return "/* " + ",".join(f"{name}={value}" for name, value in fields.items()) + " */ "


def advice_of(detail):
    """Seconds that an error's DETAIL tells to stay away; 0.0 where it tells none."""
    found = ADVICE.search(detail or "")
    return int(found[1]) / 1000 if found else 0.0


def outcome_of(sqlstate):
    """The outcome that an error's SQLSTATE stands for, by the dispatcher's own table (docs/on-call.md)."""
    if not sqlstate:
        return policy.LOST
    if sqlstate[:2] == "53" or sqlstate == "57P03":
        return policy.DEFERRED
    if sqlstate[:2] == "58":
        return policy.KILLED
    if sqlstate[:2] in ("08", "57"):
        return policy.LOST
    return policy.UNUSABLE
