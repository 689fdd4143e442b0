"""An experiment's figures as pictures, by matplotlib without a screen."""

import os
from statistics import fmean

from wickvane import parts


def by_variant(planned, rows, script, case):
    """{variant: [rows by seed]} of one script and case."""
    found = {}
    for cell in planned.cells:
        if (cell.script, cell.case) == (script, case) and cell.key in rows:
            found.setdefault(cell.variant, []).append(rows[cell.key])
    return found


def mean_course(courses):
    """By second, the mean over seeds of those that have a figure then; None where none has."""
    seconds = max(map(len, courses))
    columns = (
        [course[n] for course in courses if n < len(course) and course[n] is not None] for n in range(seconds)
    )
    return [fmean(column) if column else None for column in columns]


def drawn(planned, lines, rows, folder):
    """Writes all plots as PNG; their paths."""
    try:
        import matplotlib
    except ImportError:
        raise parts.InvalidDocumentError(
            "plots need the package matplotlib (requirements-plots.txt)"
        ) from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    paths = []

    def keep(figure, name):
        paths.append(os.path.join(folder, f"{name}.png"))
        figure.savefig(paths[-1], dpi=110, metadata={"Software": "wickvane"})
        pyplot.close(figure)

    groups = list(dict.fromkeys((line["script"], line["case"]) for line in lines))
    figure, axes = pyplot.subplots(figsize=(max(6, 1.6 * len(groups) + 3), 4), layout="constrained")
    width = 0.8 / len(planned.variants)
    for v, variant in enumerate(planned.variants):
        mine = {
            (line["script"], line["case"]): line["service"] for line in lines if line["variant"] == variant
        }
        at = [n + (v - (len(planned.variants) - 1) / 2) * width for n, g in enumerate(groups) if g in mine]
        pairs = [mine[g] for g in groups if g in mine]
        axes.bar(
            at,
            [mean for mean, _ in pairs],
            width,
            yerr=[half or 0 for _, half in pairs],
            label=variant,
            capsize=2,
        )
    axes.set_xticks(range(len(groups)), [f"{s}\n{c}" if c else s for s, c in groups])
    axes.set_ylabel(f"service, mean and {planned.confidence:.0%} interval over seeds")
    axes.set_ylim(0, 1)
    axes.legend(loc="lower left", fontsize="small")
    keep(figure, "service")

    for script, case in groups:
        mine = by_variant(planned, rows, script, case)
        name = "-".join(f"{script} {case}".split())
        figure, (top, load, budget, cold) = pyplot.subplots(4, 1, figsize=(8, 11), layout="constrained")
        for variant, found in mine.items():
            (line,) = top.plot(gaps(mean_course([row["course"] for row in found])), label=variant)
            for axes, what in ((budget, "budget"), (cold, "cold")):
                course = mean_course([row["margins"][what] for row in found])
                axes.plot(gaps(course), ".", color=line.get_color())
            loads = [sorted(row["load"].values(), reverse=True) for row in found]
            load.plot(mean_course(loads), color=line.get_color())
        top.set(title=f"{script} {case}".strip(), ylabel="service by second asked", ylim=(0, 1.02))
        top.legend(fontsize="small")
        load.set(ylabel="work done, thread seconds", xlabel="engines, busiest first")
        budget.set(ylabel="budget used (rule 7)")
        cold.set(ylabel="cold allowance used (rule 4)", xlabel="seconds")
        for axes in (budget, cold):
            axes.axhline(1.0, color="black", linewidth=0.8)
        keep(figure, name)
    return paths


def gaps(course):
    return [float("nan") if value is None else value for value in course]
