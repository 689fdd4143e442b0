"""`wickvane shares status`: what a dispatcher holds together with others, by its peers' state folder: parts
and who has them, how old its figures are, what it makes of others' opinions. Exit status as of
`wickvane peers`.
"""

import sys
import time

import orjson

from wickvane.cluster.command import STALE_AFTER_S, CommandError, find_state_folder, read_status


def main(asked):
    try:
        whole = read_status(find_state_folder(asked))
        found = whole.get("shares")
        if found is None:
            raise CommandError("that dispatcher shares nothing: its parts document has no node shares", 1)
    except CommandError as wrong:
        print(f"wickvane: {wrong}", file=sys.stderr)
        return wrong.exit_code
    if asked["--json"]:
        print(orjson.dumps({"name": whole["name"], "at": whole["at"], **found}).decode())
        return 0
    if time.time() - whole["at"] > STALE_AFTER_S:
        print(f"this is {time.time() - whole['at']:.0f} s old: the dispatcher stands still or has ended")
    for line in lines(whole["name"], found):
        print(line)
    return 0


def lines(name, found):
    yield (
        f"{name}: counts of {found['counted']} others, {found['age_ms']} ms old (the oldest "
        f"{found['oldest_ms']} ms), {found['left_out']} left out; {found['lives']} lives known, "
        f"{found['folded_lives']} folded"
    )
    yield f"traffic: {found['traffic']} times the mean of all"
    for kind, budget in found["budgets"].items():
        wants = ", more would be used" if budget["lacks"] else ""
        late = f"; its own whole in {budget['whole_in_ms'] / 1000:.1f} s" if budget["whole_in_ms"] else ""
        yield (
            f"{kind}: {budget['usable']} units may be used, {budget['mine']} of its own {budget['own']} "
            f"({budget['kept']} are never lent), {budget['need']} wanted{wants}{late}"
        )
        for way, word in (("held", "of"), ("lent", "to")):
            for loan in budget[way]:
                rest = f", from {loan['begins_in_ms'] / 1000:.1f} s on" if loan.get("begins_in_ms") else ""
                yield (
                    f"  {way} {loan['units']:>3} {word} {loan[word]:<20} for "
                    f"{max(0, loan['ends_in_ms']) / 1000:.1f} s{rest}"
                )
    opinions = found["opinions"]
    pool = (
        f"; the usual engine {opinions['pool_slow']} times what queries take alone"
        if opinions["pool_slow"] is not None
        else ""
    )
    yield f"opinions of {opinions['of']} lives{pool}"
    for word in ("doubted", "spared"):
        if opinions[word]:
            yield f"  {word}: {', '.join(opinions[word])}"
    if opinions["slow"]:
        yield "  slow: " + ", ".join(f"{engine} {slow}" for engine, slow in opinions["slow"].items())
    refused = {reason: n for reason, n in (found["refused"] | {"malformed": found["malformed"]}).items() if n}
    if refused:
        yield "refused: " + ", ".join(f"{reason} {n}" for reason, n in refused.items())
