"""Plays an experiment's cells in parallel processes and keeps each finished one once.

The folder holds `cells.jsonl`, one line a cell, written by this process alone and forced to disk a line
at a time; `summary.json`; and the plots. A run that was killed leaves at most a cut last line, which
is cut off at the next start, and every whole line before it is taken as done.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from functools import lru_cache
from pathlib import Path

import orjson

from wickvane import parts, scheduling
from wickvane.rehearsal import (
    baselines,
    draws,
    earlier_modules,
    experiment,
    faults,
    host,
    model,
    outcome,
    rules,
    world,
)
from wickvane.rehearsal import script as scripts
from wickvane.scheduling.scheduler import Scheduler

REVISION = "commit:"


def text_of(module):
    with open(module.__file__, encoding="utf-8") as file:
        return file.read()


def text_of_package(package):
    """The text of all modules of a package, in the order of their names."""
    return "\n".join(
        path.read_text(encoding="utf-8") for path in sorted(Path(package.__path__[0]).glob("*.py"))
    )


@lru_cache
def earlier(variant):
    """The class that decides at a commit, and its text."""
    try:
        return earlier_modules.load(variant.removeprefix(REVISION))
    except earlier_modules.UnknownRevisionError as error:
        raise parts.InvalidDocumentError(f"variant {variant}: {error}") from None


@lru_cache
def module_text(variant):
    """The text of the modules that decide in a variant."""
    if variant.startswith(REVISION):
        return earlier(variant)[1]
    return text_of(baselines) if variant in baselines.BASELINES else text_of_package(scheduling)


@lru_cache
def source_of(variant):
    """What a cell's outcome follows from besides its script and seed."""
    played_by = model, world, host, faults, outcome, draws, rules, scripts, experiment
    return experiment.key_of(module_text(variant), *map(text_of, played_by))


@lru_cache
def gateway_of(variant):
    """The class that decides in a variant."""
    if variant in baselines.BASELINES:
        return baselines.BASELINES[variant]
    return Scheduler if variant == "here" else earlier(variant)[0]


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
    except parts.InvalidDocumentError as error:
        raise parts.InvalidDocumentError(f"the experiment {path}: {error}") from None


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
