"""The snapshot of the endpoint list on disk: one that the version before wrote is read."""

import shutil
from pathlib import Path

from wickvane.xds import snapshot_store

STORED = Path(__file__).parent.parent / "data/xds-snapshot-c5b2902"


def test_a_snapshot_of_the_version_before_is_read(tmp_path):
    shutil.copy(STORED / "list.wickvane", tmp_path)
    found = snapshot_store.load(str(tmp_path))
    assert found.old and found.index == 7
    assert {name: tuple(engine) for name, engine in found.engines.items()} == {
        "e0": ("e0", ("10.0.0.1", 7001), 0, "a", "std", 0, 17_000_000_000_000, 1.0, 7, 0),
        "e1": ("e1", ("10.0.0.2", 7002), 0, "b", "big", 3, 0, 0.5, 5, 0),
        "e3": ("e3", ("10.0.0.4", 7004), 0, "b", "big", 3, 0, 0.5, 5, 0),
    }
    assert dict(found.gone) == {"e2": (6, 17_000_000_005_000)}
    assert dict(found.missing) == {"e1": 17_000_000_620_000, "e3": 17_000_000_620_000}
