"""Makes modules with one changed guard, to show that a search detects the change."""

from pathlib import Path
from types import ModuleType


def mutated(module: ModuleType, before: str, after: str, **replaced: object) -> ModuleType:
    """Returns a module from another's source with one change; replaced: new values of names in the module.

    `before` must occur exactly once in the source.
    """
    source = Path(module.__file__).read_text()
    assert source.count(before) == 1, before
    copy = ModuleType(module.__name__)
    exec(compile(source.replace(before, after), "mutation", "exec"), copy.__dict__)
    copy.__dict__.update(replaced)
    return copy
