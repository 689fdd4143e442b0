"""Plays an experiment's cells in parallel processes and keeps each finished one once.

The folder holds `cells.jsonl`, one line a cell, written by this process alone and forced to disk a line
at a time; `summary.json`; and the plots. A run that was killed leaves at most a cut last line, which
is cut off at the next start, and every whole line before it is taken as done.
"""

import os
import subprocess
import sys
import types
from concurrent.futures import ProcessPoolExecutor, as_completed
from functools import lru_cache

import orjson

from wickvane import interface as i
from wickvane import parts, scheduler
from wickvane.rehearsal import baselines, draws, experiment, faults, host, model, outcome, rules, world
from wickvane.rehearsal import script as scripts

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REVISION = "commit:"
# The decision module's path and its class, now and in earlier commits.
MODULE_PATHS = ("wickvane/scheduler.py", "wickvane/choice.py")
CLASS_NAMES = ("Scheduler", "Gateway")
# Events were tuples with a code in front before they were typed; these were the codes, in order.
EVENT_TYPES = (
    i.Taken,
    i.Ended,
    i.Left,
    i.Due,
    i.Progressed,
    i.EngineListed,
    i.ListLost,
    i.Stopping,
    i.InFlightElsewhere,
    i.Leased,
    i.Charged,
    i.Judged,
)
PLAIN_CODES = {kind: code for code, kind in enumerate(EVENT_TYPES)}


def text_of(module):
    with open(module.__file__, encoding="utf-8") as file:
        return file.read()


@lru_cache
def module_text(variant):
    """The text of the module that decides in a variant."""
    if not variant.startswith(REVISION):
        return text_of(baselines if variant in baselines.BASELINES else scheduler)
    revision = variant.removeprefix(REVISION)
    for path in MODULE_PATHS:
        shown = subprocess.run(
            ["git", "show", "--end-of-options", f"{revision}:{path}"], cwd=ROOT, capture_output=True
        )
        if not shown.returncode:
            return shown.stdout.decode()
    raise parts.Unusable(f"variant {variant}: git knows no such commit with a {MODULE_PATHS[0]} here")


@lru_cache
def source_of(variant):
    """What a cell's outcome follows from besides its script and seed."""
    played_by = model, world, host, faults, outcome, draws, rules, scripts, experiment
    return experiment.key_of(module_text(variant), *map(text_of, played_by))


def with_plain_events(earlier):
    """A module's class of before events were typed: it is told tuples (code, fields ...)."""

    class Earlier(earlier):
        """The same decisions."""

        def round(self, now, events, out):
            """One round, with each event as it was then."""
            super().round(now, [(PLAIN_CODES[type(event)], *event) for event in events], out)

    return Earlier


@lru_cache
def gateway_of(variant):
    if variant in baselines.BASELINES:
        return baselines.BASELINES[variant]
    if variant == "here":
        return scheduler.Scheduler
    module = types.ModuleType(f"scheduler_{experiment.key_of(variant)}")
    module.__file__ = variant
    exec(compile(module_text(variant), variant, "exec"), module.__dict__)  # this repository's own text
    made = next(getattr(module, name) for name in CLASS_NAMES if hasattr(module, name))
    return made if "i.Taken" in module_text(variant) else with_plain_events(made)


def play(cell):
    """(key, figures) of one cell, in whatever process."""
    outcome = world.play(experiment.script_of(cell), cell.seed, False, gateway_of(cell.variant))
    return cell.key, experiment.figures(outcome)


class Kept:
    """The file of finished cells."""

    def __init__(self, path):
        try:
            with open(path, "rb") as file:
                self.rows, whole = experiment.read_rows(file.read())
        except FileNotFoundError:
            self.rows, whole = {}, 0
        self.file = open(path, "ab")
        if self.file.tell() != whole:
            self.file.truncate(whole)

    def add(self, key, figures):
        if key in self.rows:
            return
        self.file.write(orjson.dumps({"key": key, "figures": figures}) + b"\n")
        self.file.flush()
        os.fsync(self.file.fileno())
        self.rows[key] = figures


def read(path):
    try:
        return experiment.read_text(scripts.source(path), os.path.dirname(os.path.abspath(path)), source_of)
    except parts.Unusable as error:
        raise parts.Unusable(f"the experiment {path}: {error}") from None


def run(path, folder, jobs=None, out=sys.stdout):
    """Plays what is not there yet, and writes table and summary; the summary's lines."""
    planned = read(path)
    os.makedirs(folder, exist_ok=True)
    kept = Kept(os.path.join(folder, "cells.jsonl"))
    missing = [cell for cell in planned.cells if cell.key not in kept.rows]
    there = len(planned.cells) - len(missing)
    out.write(f"{planned.name}: {len(planned.cells)} cells, {there} there already\n")
    if missing:
        with ProcessPoolExecutor(min(jobs or os.cpu_count() or 1, len(missing))) as pool:
            try:
                for done in as_completed([pool.submit(play, cell) for cell in missing]):
                    kept.add(*done.result())
            except BaseException:
                pool.shutdown(wait=False, cancel_futures=True)
                raise
    kept.file.close()
    lines = experiment.summed(planned, kept.rows)
    with open(os.path.join(folder, "summary.json"), "wb") as file:
        file.write(orjson.dumps(lines, option=orjson.OPT_INDENT_2) + b"\n")
    table(planned, lines, out)
    return planned, lines, kept.rows


def spread(pair):
    mean, half = pair
    return f"{mean:.3f}" + (f" ± {half:.3f}" if half is not None else "")


def table(planned, lines, out):
    out.write(
        "| script | case | variant | seeds | service | against the first | recovery s | late "
        "| deferred | killed | further | rules broken |\n" + "| --- " * 12 + "|\n"
    )
    for line in lines:
        words = [
            line["script"],
            line["case"] or "-",
            line["variant"],
            str(line["seeds"]),
            spread(line["service"]),
            spread(line["difference"]) if "difference" in line else "-",
            *(spread(line[name]) for name in ("recovery", "late", "deferred", "killed", "further")),
            ", ".join(map(str, line["broken"])) or "none",
        ]
        out.write("| " + " | ".join(words) + " |\n")
