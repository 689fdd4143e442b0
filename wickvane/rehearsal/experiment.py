"""Experiments in KDL: a grid over a script's values, variants and seeds; what to play, and what it came to.

Free of I/O but for reading the files that the document names. A cell is one script, case, variant and seed,
under a key that follows from all that decides its outcome, so that a run which was killed goes on.
Means stand with intervals by Student's t over seeds; variants are compared in pairs of the same seed, since
both then meet the same queries and troubles (common random numbers; Law, Simulation Modeling and Analysis,
chapter 11).
"""

import copy
import os
from hashlib import blake2b
from itertools import product
from math import prod
from statistics import fmean, stdev
from typing import NamedTuple

import orjson

from wickvane import parts
from wickvane.parts import Node
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.baselines import BASELINES
from wickvane.units import TICKS_PER_SECOND

CELLS_MOST = 100_000
NAMED = {"engines", "group", "tenant", "clients"}  # nodes that are known again by their first argument
VARIANTS = ("here", *BASELINES)
MEASURES = ("service", "recovery", "late", "deferred", "killed", "breaches", "further", "uneven")


class Cell(NamedTuple):
    """One run of an experiment: a case, a variant and a seed."""

    key: str
    script: str
    case: str
    variant: str
    seed: int
    text: str  # the script's
    cases: tuple  # (factor, case) by their places in the plan
    plan: str  # the experiment's own text


class Experiment(NamedTuple):
    """A plan, spread out into its cells."""

    name: str
    variants: tuple
    cells: tuple
    confidence: float


def merge(node, patch):
    """The patch's nodes over the script's: those of one name, and of one first argument where they have one,
    are merged; a plain value is replaced; what the script has not, troubles and expectations, is added."""
    node.properties.update(patch.properties)
    for child in patch.children:
        mark = child.args[:1] if child.name in NAMED else []
        same = [own for own in node.children if own.name == child.name and (not mark or own.args[:1] == mark)]
        if child.name in ("trouble", "expect") or not same:
            node.children.append(child)
        elif child.name in NAMED:
            for own in same:
                merge(own, child)
        else:
            for own in same:
                node.children.remove(own)
            node.children.append(child)


def plain(node):
    """A node as plain words, the same for the same content."""
    return [
        node.name,
        [str(a) for a in node.args],
        sorted((k, str(v)) for k, v in node.properties.items()),
        [plain(child) for child in node.children],
    ]


def merged(text, patches):
    """The script of this text with the patches in it."""
    document = scripts.parsed(text)
    for patch in patches:
        merge(document.nodes[0], copy.deepcopy(patch))
    return scripts.read_document(document, text)


def script_of(cell):
    """What a cell plays. The nodes are merged anew in whatever process, since no text that is written from
    them is sure to read the same."""
    factors = [child for child in scripts.parsed(cell.plan).nodes[0].children if child.name == "factor"]
    return merged(cell.text, [factors[f].children[c] for f, c in cell.cases])


def key_of(*words):
    return blake2b("\0".join(map(str, words)).encode(), digest_size=12).hexdigest()


def read_text(text, folder, source_of):
    """An Experiment. folder: where scripts are named from; source_of(variant): what a cell's key must change
    with, such as the module's text."""
    document = scripts.parsed(text)
    if len(document.nodes) != 1 or document.nodes[0].name != "experiment":
        raise parts.InvalidDocumentError("expected one node experiment")
    node = Node(document.nodes[0], "experiment", text)
    paths = [child.argument(parts.path) for child in node.children("script")]
    variants = tuple(child.argument(variant_kind) for child in node.children("variant")) or ("here",)
    seeds = node.value("seeds", parts.integer(1, 1000), 10)
    first = node.value("first-seed", parts.integer(0, 1 << 30), 1)
    confidence = node.value("confidence", scripts.figure(0.5, 0.999), 0.95)
    factors = []
    for child in node.children("factor"):
        cases = [(case.argument(case_kind), n, case.node) for n, case in enumerate(child.children("case"))]
        if not cases:
            raise child.error("nodes case")
        child.reject_unknown()
        factors.append(cases)
    name = node.value("name", parts.name, "experiment")
    node.reject_unknown()
    if not paths:
        raise node.error("a node script")
    if len(set(variants)) < len(variants):
        raise node.error("each variant once")
    if len(paths) * len(variants) * seeds * prod(map(len, factors)) > CELLS_MOST:
        raise node.error(f"{CELLS_MOST} cells at most")
    cells = []
    for path in paths:
        base = scripts.source(os.path.join(folder, path))
        script = os.path.splitext(os.path.basename(path))[0]
        for combined in product(*factors):
            case = " ".join(words for words, _, _ in combined)
            bodies = [body for _, _, body in combined]
            try:
                merged(base, bodies)
            except parts.InvalidDocumentError as error:
                raise parts.InvalidDocumentError(f"{path}, case {case or '-'}: {error}") from None
            # By what the cases say, not by their names.
            said = orjson.dumps([plain(body)[2:] for body in bodies]).decode()
            for variant, seed in product(variants, range(first, first + seeds)):
                key = key_of(base, said, variant, source_of(variant), seed)
                places = tuple((f, n) for f, (_, n, _) in enumerate(combined))
                cells.append(Cell(key, script, case, variant, seed, base, places, text))
    return Experiment(name, variants, tuple(cells), confidence)


def read_variant(value):
    if value in VARIANTS or isinstance(value, str) and value.startswith("commit:") and len(value) > 7:
        return value
    raise ValueError(value)


def read_case(value):
    if isinstance(value, str) and 0 < len(value) <= 64 and value.isprintable():
        return value
    raise ValueError(value)


case_kind = parts.ValueType("a text of 64 characters at most", read_case)
variant_kind = parts.ValueType("one of " + ", ".join(VARIANTS) + ", or commit:REVISION", read_variant)


# Outcomes


def figures(outcome):
    """One cell's figures, from a wickvane.rehearsal.outcome.Outcome."""
    world, counts = outcome.world, outcome.counts
    answers = sum(counts[word] for word in ("finished", "deferred", "killed")) or 1
    worked = [process.worked for process in world.processes if process.started is None]
    mean = fmean(worked) if worked else 0.0
    recovery = outcome.recovery()
    return {
        "service": round(outcome.service(), 6),
        # One that did not come back at all counts as the whole script.
        "recovery": recovery if recovery is not None else world.script.length / TICKS_PER_SECOND,
        "late": counts["late"] / answers,
        "deferred": counts["deferred"] / answers,
        "killed": counts["killed"] / answers,
        "breaches": len(outcome.breaches),
        "broken": sorted({rule for rule, _ in outcome.breaches}),
        "further": sum(
            max(0, len(q.submissions) - 1) for host in world.hosts + world.gone for q in host.queries.values()
        )
        / answers,
        "uneven": max(worked) / mean if mean else 0.0,
        "queries": world.next_id,
        "course": [round(earned / asked, 4) if asked else None for earned, asked in world.service],
        "margins": outcome.margins(),
        "latency": {g.name: percentiles(taken) for g, taken in zip(world.script.groups, world.latencies)},
        "load": {process.name: round(process.worked / 1000, 3) for process in world.processes},
    }


def percentiles(taken):
    """Milliseconds at 50, 90 and 99 in 100."""
    if not taken:
        return None
    taken = sorted(taken)
    return [taken[min(len(taken) - 1, int(len(taken) * part))] / 10 for part in (0.5, 0.9, 0.99)]


def interval(values, confidence):
    """(mean, half the width) by Student's t; None for the width of a single value."""
    mean = fmean(values)
    if len(values) < 2:
        return mean, None
    from scipy.stats import t

    return mean, float(t.ppf(0.5 + confidence / 2, len(values) - 1)) * stdev(values) / len(values) ** 0.5


def summed(experiment, rows):
    """For each script, case and variant, in the order of the document: how many seeds, each measure's mean
    and interval, and its difference to the first variant in pairs of the same seed. rows: {key: figures}"""
    found = {}
    for cell in experiment.cells:
        if cell.key in rows:
            found.setdefault((cell.script, cell.case, cell.variant), {})[cell.seed] = rows[cell.key]
    lines = []
    for (script, case, variant), by_seed in found.items():
        line = {"script": script, "case": case, "variant": variant, "seeds": len(by_seed)}
        against = found.get((script, case, experiment.variants[0]), {})
        for measure in MEASURES:
            line[measure] = interval([row[measure] for row in by_seed.values()], experiment.confidence)
        shared = sorted(set(by_seed) & set(against))
        if variant != experiment.variants[0] and shared:
            line["difference"] = interval(
                [by_seed[s]["service"] - against[s]["service"] for s in shared], experiment.confidence
            )
        line["broken"] = sorted({rule for row in by_seed.values() for rule in row["broken"]})
        lines.append(line)
    return lines


def read_rows(data):
    """({key: figures}, the length of what is whole) of a file of finished cells, which may end in a line cut
    by a kill. The first line of a key stands."""
    rows, whole = {}, 0
    for line in data.splitlines(keepends=True):
        if not line.endswith(b"\n"):
            break
        try:
            found = orjson.loads(line)
            key, row = found["key"], found["figures"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            break
        rows.setdefault(key, row)
        whole += len(line)
    return rows, whole
