"""`wickvane shares status`: shows a dispatcher's quotas, leases, counters and verdicts from its state folder.

The exit status has the same meanings as that of `wickvane peers`.
"""

import sys
import time
from collections.abc import Iterator
from typing import Any

import orjson

from wickvane.cluster.command import STALE_AFTER_S, CommandError, find_state_folder, read_status


def main(arguments: dict[str, Any]) -> int:
    """Prints the status; arguments: those of the command line. Returns the exit status."""
    try:
        state = read_status(find_state_folder(arguments))
        quotas = state.get("shares")
        if quotas is None:
            raise CommandError("this dispatcher has no quotas: its extensions document has no node shares", 1)
    except CommandError as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return error.exit_code
    if arguments["--json"]:
        print(orjson.dumps({"name": state["name"], "at": state["at"], **quotas}).decode())
        return 0
    age = time.time() - state["at"]
    if age > STALE_AFTER_S:
        print(f"this status is {age:.0f} s old: the dispatcher has stalled or ended")
    for line in status_lines(state["name"], quotas):
        print(line)
    return 0


def status_lines(name: str, quotas: dict[str, Any]) -> Iterator[str]:
    """Yields the lines for operators; quotas: the figures of wickvane.quotas.status."""
    yield (
        f"{name}: counts of {quotas['counted']} others, {quotas['age_ms']} ms old (the oldest "
        f"{quotas['oldest_ms']} ms), {quotas['left_out']} left out; {quotas['lives']} lives known, "
        f"{quotas['folded_lives']} folded"
    )
    yield f"traffic: {quotas['traffic']} times the mean of all"
    for budget_name, budget in quotas["budgets"].items():
        yield from _budget_lines(budget_name, budget)
    yield from _judgement_lines(quotas["opinions"])
    rejected = quotas["refused"] | {"malformed": quotas["malformed"]}
    shown = [f"{reason} {count}" for reason, count in rejected.items() if count]
    if shown:
        yield "refused: " + ", ".join(shown)


def _budget_lines(name: str, budget: dict[str, Any]) -> Iterator[str]:
    demand = ", more would be used" if budget["lacks"] else ""
    recovery = f"; its own whole in {_seconds(budget['whole_in_ms'])} s" if budget["whole_in_ms"] else ""
    yield (
        f"{name}: {budget['usable']} units may be used, {budget['mine']} of its own {budget['own']} "
        f"({budget['kept']} are never lent), {budget['need']} wanted{demand}{recovery}"
    )
    for direction, preposition in (("held", "of"), ("lent", "to")):
        for lease in budget[direction]:
            begins_in_ms = lease.get("begins_in_ms")
            begins = f", from {_seconds(begins_in_ms)} s on" if begins_in_ms else ""
            yield (
                f"  {direction} {lease['units']:>3} {preposition} {lease[preposition]:<20} for "
                f"{_seconds(max(0, lease['ends_in_ms']))} s{begins}"
            )


def _judgement_lines(judgement: dict[str, Any]) -> Iterator[str]:
    pool_slowdown = judgement["pool_slow"]
    pool = ""
    if pool_slowdown is not None:
        pool = f"; the usual engine {pool_slowdown} times what queries take alone"
    yield f"opinions of {judgement['of']} lives{pool}"
    for key in ("doubted", "spared"):
        if judgement[key]:
            yield f"  {key}: {', '.join(judgement[key])}"
    if judgement["slow"]:
        yield "  slow: " + ", ".join(f"{engine} {slowdown}" for engine, slowdown in judgement["slow"].items())


def _seconds(milliseconds: int) -> str:
    return f"{milliseconds / 1000:.1f}"
