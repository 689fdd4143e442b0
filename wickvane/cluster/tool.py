"""`wickvane peers`: what a dispatcher believes of its peers, and two orders to it, by its state folder.

Exit status: 0 done, 1 it could not be done or the dispatcher is not there, 2 wrong use.
"""

import os
import sys
import time
import uuid

import orjson

from wickvane import parts
from wickvane.cluster.shell import ANSWER, ORDER, STATUS

OLD_S, WAIT_S = 10.0, 6.0


class Wrong(Exception):
    """Why a call cannot be answered; code: the exit status."""

    def __init__(self, text, code):
        super().__init__(text)
        self.code = code


def main(asked):
    try:
        folder = folder_of(asked)
        if asked["leave"] or asked["forget"]:
            return order(folder, "leave" if asked["leave"] else "forget", asked["NAME"])
        found = status(folder)
    except Wrong as wrong:
        print(f"wickvane: {wrong}", file=sys.stderr)
        return wrong.code
    if asked["members"]:
        show(found["members"], asked["--json"], member)
    elif asked["events"]:
        show(found["events"], asked["--json"], event)
    elif asked["--json"]:
        print(
            orjson.dumps(
                {key: value for key, value in found.items() if key not in ("members", "events")}
            ).decode()
        )
    else:
        brief(found)
    return 0


def folder_of(asked):
    if asked["--state"]:
        return asked["--state"]
    path = os.environ.get("WICKVANE_PARTS") if asked["--parts"] == "$WICKVANE_PARTS" else asked["--parts"]
    if not path:
        raise Wrong("no state folder: name it with --state, or its parts document with --parts", 2)
    try:
        found = parts.read(path).get("peers")
    except parts.Unusable as error:
        raise Wrong(str(error), 2) from None
    if found is None or found.state is None:
        raise Wrong(f"the parts document {path} has no node peers with a node state", 2)
    return found.state


def status(folder):
    try:
        with open(os.path.join(folder, STATUS), "rb") as file:
            return orjson.loads(file.read())
    except OSError as error:
        raise Wrong(f"{folder}: nothing is shown there: {error.strerror}", 1) from None
    except orjson.JSONDecodeError:
        raise Wrong(f"{folder}: what is shown there cannot be read", 1) from None


def show(rows, as_json, line):
    for row in rows:
        print(orjson.dumps(row).decode() if as_json else line(row))


def member(row):
    flags = " (this one)" if row["me"] else "" if row["in_view"] else " (not in the view)"
    heard = f", heard {row['heard_ms'] / 1000:.1f} s ago" if row["heard_ms"] is not None else ""
    by = f" by {row['by']}" if row["by"] else ""
    return (
        f"{row['name']:<20} {row['state']:<8}{by} for {row['since_ms'] / 1000:.1f} s "
        f"at {row['address']}, incarnation {row['incarnation']}{heard}{flags}"
    )


def event(row):
    at = time.strftime("%H:%M:%S", time.localtime(row["at"]))
    rest = " ".join(
        f"{key}={value}" for key, value in row.items() if key not in ("at", "event") and value is not None
    )
    return f"{at} {row['event']} {rest}"


def brief(found):
    age = time.time() - found["at"]
    if age > OLD_S:
        print(f"this is {age:.0f} s old: the dispatcher stands still or has ended")
    agreed = {True: "agreed", False: "differs from others'", None: "no other was heard"}[found["agreed"]]
    states = [row["state"] for row in found["members"]]
    count = ", ".join(f"{states.count(state)} {state}" for state in dict.fromkeys(states))
    print(
        f"{found['name']}: {found['standing']}, in the {found['part']} part"
        if found["part"] != "unknown"
        else f"{found['name']}: {found['standing']}, part unknown"
    )
    if found["reasons"]:
        print(f"because: {', '.join(found['reasons'])}")
    print(
        f"view {found['view']} ({found['digest']}), {agreed}; {count}; configured {found['configured']}, "
        f"shared by {found['divisor']}"
    )
    print(
        f"health {found['health']} (0 is best), {found['standstills']} standstills, "
        f"{found['probes_missed']} of {found['probes']} probes missed"
    )
    if found["refused"]:
        print("refused: " + ", ".join(f"{reason} {n}" for reason, n in found["refused"].items()))


def order(folder, what, name):
    """Written for the dispatcher, whose answer is waited for."""
    status(folder)  # somebody was there once
    id, path = uuid.uuid4().hex, os.path.join(folder, ANSWER)
    fresh = os.path.join(folder, f"{id}.new")
    try:
        with open(fresh, "wb") as file:
            file.write(orjson.dumps({"id": id, "what": what, "name": name}))
        os.replace(fresh, os.path.join(folder, ORDER))
    except OSError as error:
        raise Wrong(f"{folder}: no order can be left there: {error.strerror}", 1) from None
    by = time.monotonic() + WAIT_S
    while time.monotonic() < by:
        try:
            with open(path, "rb") as file:
                found = orjson.loads(file.read())
            if found["id"] == id:
                os.unlink(path)
                print(found["said"])
                return 0 if found["done"] else 1
        except (OSError, orjson.JSONDecodeError):
            pass
        time.sleep(0.05)
    raise Wrong(f"{folder}: no answer within {WAIT_S:.0f} s", 1)
