"""Measurements: each file one, as `python -m benchmarks.NAME`."""

import json


def conclude(bench, wanted, measure):
    """The last line and the exit code of a measurement. measure() gives (figures, whether what is wanted
    holds); what it raises could not be measured."""
    try:
        figures, holds = measure()
        print(json.dumps({"bench": bench, "holds": holds, "figures": figures, "wanted": wanted}))
        return 0 if holds else 1
    except Exception as error:
        why = f"{type(error).__name__}: {error}"
        print(json.dumps({"bench": bench, "holds": False, "error": why}))
        return 2
