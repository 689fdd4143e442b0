"""`wickvane rehearse`: check a script, play it, look for a seed that breaks it, and shorten what is found."""

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

import orjson

from wickvane import parts
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.world import play, shortened


def failing(path, seed):
    """(seed, failures) of one try, in a process of its own."""
    return seed, play(scripts.read(path), seed, False).failures()


def shown(outcome, seed, took):
    counts, world = outcome.counts, outcome.world
    print(
        f"seed {seed}: service {outcome.service():.3f}, recovery {outcome.recovery()} s, "
        f"finished {counts['finished']} ({counts['late']} late), deferred {counts['deferred']}, "
        f"killed {counts['killed']}; {world.script.length / 10_000:.0f} s in {took:.1f} s"
    )
    print("checked " + ", ".join(f"rule {rule}: {count}" for rule, count in outcome.checked.items()))
    for rule, text in outcome.breaches[:20]:
        print(f"rule {rule} broken: {text}")


def run(path, seed, log):
    script, began = scripts.read(path), time.monotonic()
    outcome = play(script, seed, log is not None)
    shown(outcome, seed, time.monotonic() - began)
    if log:
        with open(log, "wb") as file:
            file.write(outcome.log())
    failures = outcome.failures()
    for failure in failures:
        print(f"not as expected: {failure}")
    return 1 if failures else 0


def until_broken(path, seed, tries):
    """Seeds from `seed` on in parallel; the first that fails, with the troubles that it needs."""
    script = scripts.read(path)
    with ProcessPoolExecutor(min(tries, os.cpu_count() or 1)) as pool:
        played = pool.map(failing, [path] * tries, range(seed, seed + tries))
        found, failures = next((one for one in played if one[1]), (None, None))
        pool.shutdown(cancel_futures=True)
    if found is None:
        print(f"{tries} seeds from {seed} on: all as expected")
        return 0
    kinds = {failure.split()[0] for failure in failures}
    less = shortened(script, found, lambda outcome: kinds & {f.split()[0] for f in outcome.failures()})
    print(f"seed {found} fails: {failures[0]}")
    needed = ", ".join(f"{trouble.kind} at {trouble.at / 10_000:g} s" for trouble in less.troubles)
    print(f"it needs {needed or 'no trouble'}")
    return 1


def serve(path, seed, seconds, document):
    """Engines and coordinator until interrupted; a dispatcher's configuration goes to standard output, and
    its parts document, where TDS is to be spoken, into a file."""
    from wickvane.rehearsal.sockets import Serving

    script = scripts.read(path)
    if document:
        from wickvane.rehearsal import tds

        with open(document, "w") as file:
            file.write(tds.document(script, "127.0.0.1:1433", 128))
    elif any(fleet.speaks == "tds" for fleet in script.fleet):
        raise parts.InvalidDocumentError(
            "engines speak TDS: name a file for the dispatcher's part with --parts"
        )
    serving = Serving(script, seed)
    print(orjson.dumps(serving.configuration("127.0.0.1:6565")).decode(), flush=True)
    try:
        serving.serve(seconds_of(seconds))
    except KeyboardInterrupt:
        pass
    return 0


def load(path, seed, to, by_tds):
    try:
        address = parts.read_address(to)
    except ValueError:
        raise parts.InvalidDocumentError(f"--to {to}: expected an IP address and port") from None
    try:
        from wickvane.rehearsal import load as loads

        if by_tds:
            from wickvane.rehearsal import tds
        speaks = tds.Client if by_tds else loads.Postgres
        return loads.main(scripts.read(path), seed, address, sys.stdout, speaks)
    except ImportError:
        raise parts.InvalidDocumentError(
            "load needs the package hdrhistogram (requirements-parts.txt)"
        ) from None


def demo(path, seed, words, fleet):
    """`wickvane demo`, for good where no time is said."""
    try:
        from wickvane.rehearsal.demo import main as show
    except ImportError as error:
        raise parts.InvalidDocumentError(f"demo needs {error.name} (requirements-parts.txt)") from None
    return show(path, seed, None if words == "24h" else seconds_of(words), sys.stdout, fleet)


def seconds_of(words):
    try:
        return parts.duration("1s", "8760h")(words) / 10_000
    except ValueError:
        raise parts.InvalidDocumentError(f'--for {words}: expected a time such as "10s"') from None


def experiment(path, folder, jobs, plots):
    from wickvane.rehearsal import cells

    try:
        planned, lines, rows = cells.run(path, folder, jobs)
    except KeyboardInterrupt:
        print("wickvane: ended; what is finished is kept", file=sys.stderr)
        return 130
    except ImportError as error:
        raise parts.InvalidDocumentError(
            f"an experiment needs {error.name} (requirements-plots.txt)"
        ) from None
    if plots:
        from wickvane.rehearsal.plots import drawn

        for drawn_path in drawn(planned, lines, rows, folder):
            print(drawn_path)
    return 0


def main(asked):
    """The command; asked: docopt's words. 1: something is not as expected, 2: it cannot be played."""
    path, seed = asked["--script"] if asked["demo"] else asked["FILE"][0], asked["--seed"] or "1"
    try:
        if not all((asked[word] or "1").isdigit() for word in ("--seed", "--tries", "--jobs")):
            raise parts.InvalidDocumentError("--seed, --tries and --jobs: expected whole numbers")
        if asked["demo"]:
            if asked["--fleet"] not in (None, *"123456789"):
                raise parts.InvalidDocumentError("--fleet: expected a whole number from 1 to 9")
            return demo(path, int(seed), asked["--for"], int(asked["--fleet"] or 1))
        if asked["experiment"]:
            return experiment(path, asked["--out"], int(asked["--jobs"] or 0), asked["--plots"])
        if asked["check"]:
            if scripts.is_experiment(path):
                from wickvane.rehearsal import cells

                print(f"wickvane: {path} can be played: cells {len(cells.read(path).cells)}")
                return 0
            script = scripts.read(path)
            print(
                f"wickvane: {path} can be played: clients {len(script.clients)}, "
                f"troubles {len(script.troubles)}"
            )
            return 0
        if asked["load"]:
            return load(path, int(seed), asked["--to"], asked["--tds"])
        if asked["serve"]:
            document = asked["--parts"] if asked["--parts"] != "$WICKVANE_PARTS" else None
            return serve(path, int(seed), asked["--for"], document)
        if asked["--until-broken"]:
            return until_broken(path, int(seed), int(asked["--tries"] or 64))
        return run(path, int(seed), asked["--log"])
    except (parts.InvalidDocumentError, OSError) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
