"""`wickvane peers`: shows a dispatcher's view of the cluster, and sends two orders to it, by its state
folder.

Exit status: 0 for success, 1 if the command failed or no dispatcher uses the folder, 2 for wrong usage.
"""

import os
import sys
import time
import uuid
from collections.abc import Callable, Iterable

import orjson

from wickvane import parts
from wickvane.cluster.state_folder import Order, StateFolder
from wickvane.errors import WickvaneError

STALE_AFTER_S = 10.0  # an older status file is of a dispatcher that stalls or has ended
ANSWER_TIMEOUT_S = 6.0
ANSWER_POLL_S = 0.05
EXIT_FAILED = 1
EXIT_USAGE = 2


class CommandError(WickvaneError):
    """A command that cannot be executed. exit_code: the exit status."""

    def __init__(self, text: str, exit_code: int):
        super().__init__(text)
        self.exit_code = exit_code


def main(arguments: dict) -> int:
    """Executes the command. arguments: docopt's result. Returns the exit status."""
    try:
        folder = find_state_folder(arguments)
        if arguments["leave"] or arguments["forget"]:
            action = "leave" if arguments["leave"] else "forget"
            return send_order(folder, action, arguments["NAME"])
        status = read_status(folder)
    except CommandError as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return error.exit_code
    if arguments["members"]:
        print_rows(status["members"], arguments["--json"], format_member)
    elif arguments["events"]:
        print_rows(status["events"], arguments["--json"], format_event)
    elif arguments["--json"]:
        figures = {key: value for key, value in status.items() if key not in ("members", "events")}
        print(orjson.dumps(figures).decode())
    else:
        print_summary(status)
    return 0


def find_state_folder(arguments: dict) -> str:
    """Returns the state folder that the arguments or the extensions document name. Raises CommandError."""
    if arguments["--state"]:
        return arguments["--state"]
    path = arguments["--parts"]
    if path == "$WICKVANE_PARTS":
        path = os.environ.get("WICKVANE_PARTS")
    if not path:
        text = "no state folder: set it with --state, or name the extensions document with --parts"
        raise CommandError(text, EXIT_USAGE)
    try:
        config = parts.read(path).get("peers")
    except parts.InvalidDocumentError as error:
        raise CommandError(str(error), EXIT_USAGE) from None
    if config is None or config.state_folder is None:
        text = f"the extensions document {path} has no node peers with a node state"
        raise CommandError(text, EXIT_USAGE)
    return config.state_folder


def read_status(folder: str) -> dict:
    """Returns the contents of a state folder's status file. Raises CommandError."""
    try:
        return StateFolder(folder).read_status()
    except OSError as error:
        text = f"{folder}: the status file cannot be read: {error.strerror}"
        raise CommandError(text, EXIT_FAILED) from None
    except orjson.JSONDecodeError:
        raise CommandError(f"{folder}: the status file is not valid JSON", EXIT_FAILED) from None


def print_rows(rows: Iterable[dict], as_json: bool, format_row: Callable[[dict], str]) -> None:
    """Prints one line for each row, as JSON or as text."""
    for row in rows:
        print(orjson.dumps(row).decode() if as_json else format_row(row))


def format_member(row: dict) -> str:
    """Returns the text line of a member."""
    flags = " (this one)" if row["me"] else "" if row["in_view"] else " (not in the view)"
    contact = f", heard {row['heard_ms'] / 1000:.1f} s ago" if row["heard_ms"] is not None else ""
    reported_by = f" by {row['by']}" if row["by"] else ""
    return (
        f"{row['name']:<20} {row['state']:<8}{reported_by} for {row['since_ms'] / 1000:.1f} s "
        f"at {row['address']}, incarnation {row['incarnation']}{contact}{flags}"
    )


def format_event(row: dict) -> str:
    """Returns the text line of an event."""
    at = time.strftime("%H:%M:%S", time.localtime(row["at"]))
    fields = {key: value for key, value in row.items() if key not in ("at", "event") and value is not None}
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{at} {row['event']} {text}"


def print_summary(status: dict) -> None:
    """Prints the quorum state, its reasons and further figures."""
    age = time.time() - status["at"]
    if age > STALE_AFTER_S:
        print(f"this status is {age:.0f} s old: the dispatcher has stalled or ended")
    partition = f"in the {status['part']} part" if status["part"] != "unknown" else "part unknown"
    print(f"{status['name']}: {status['standing']}, {partition}")
    if status["reasons"]:
        print(f"because: {', '.join(status['reasons'])}")
    agreed = {True: "agreed", False: "differs from others'", None: "no other was heard"}[status["agreed"]]
    states = [row["state"] for row in status["members"]]
    counts = ", ".join(f"{states.count(state)} {state}" for state in dict.fromkeys(states))
    print(
        f"view {status['view']} ({status['digest']}), {agreed}; {counts}; configured {status['configured']}, "
        f"shared by {status['divisor']}"
    )
    print(
        f"health {status['health']} (0 is best), {status['standstills']} standstills, "
        f"{status['probes_missed']} of {status['probes']} probes missed"
    )
    if status["refused"]:
        print("refused: " + ", ".join(f"{reason} {n}" for reason, n in status["refused"].items()))


def send_order(folder: str, action: str, name: str | None) -> int:
    """Writes an order for the dispatcher and waits for its answer. Returns the exit status.

    Raises CommandError."""
    read_status(folder)  # raises CommandError if no dispatcher has used the folder
    state_folder = StateFolder(folder)
    order = Order(uuid.uuid4().hex, action, name)
    try:
        state_folder.write_order(order)
    except OSError as error:
        text = f"{folder}: the order cannot be written: {error.strerror}"
        raise CommandError(text, EXIT_FAILED) from None
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        answer = state_folder.take_answer(order)
        if answer is not None:
            print(answer.text)
            return 0 if answer.is_done else EXIT_FAILED
        time.sleep(ANSWER_POLL_S)
    raise CommandError(
        f"{folder}: no answer from the dispatcher within {ANSWER_TIMEOUT_S:.0f} s", EXIT_FAILED
    )
