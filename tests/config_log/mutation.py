"""Modules with one guard changed, to show that a search catches it."""

from pathlib import Path
from types import ModuleType


def mutated(module: ModuleType, before: str, after: str, **replaced: object) -> ModuleType:
    """A module made from another's text with one change; replaced: names of its namespace set anew."""
    source = Path(module.__file__).read_text()
    assert source.count(before) == 1, before
    copy = ModuleType(module.__name__)
    exec(compile(source.replace(before, after), "mutation", "exec"), copy.__dict__)
    copy.__dict__.update(replaced)
    return copy
