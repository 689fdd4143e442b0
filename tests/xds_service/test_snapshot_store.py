"""The endpoint snapshot on disk: damaged files, and a file written by the previous version."""

import shutil
from pathlib import Path

import pytest

from wickvane.events import EngineState
from wickvane.xds.endpoint_snapshot import (
    EndpointSnapshot,
    RemovalLimit,
    apply_event,
)
from wickvane.xds.errors import SnapshotError
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot, load_snapshot, save_snapshot
from xds_service.in_memory_proxy import (
    entry,
)

STORED = Path(__file__).parent.parent / "data/xds-snapshot-c5b2902"


def test_snapshot_of_the_previous_version_is_read(tmp_path):
    shutil.copy(STORED / "list.wickvane", tmp_path)
    snapshot = load_snapshot(str(tmp_path))
    assert snapshot.is_restored and snapshot.index == 7
    assert {name: tuple(endpoint) for name, endpoint in snapshot.endpoints.items()} == {
        "e0": ("e0", ("10.0.0.1", 7001), 0, "a", "std", 0, 17_000_000_000_000, 1.0, 7, 0),
        "e1": ("e1", ("10.0.0.2", 7002), 0, "b", "big", 3, 0, 0.5, 5, 0),
        "e3": ("e3", ("10.0.0.4", 7004), 0, "b", "big", 3, 0, 0.5, 5, 0),
    }
    assert dict(snapshot.removed) == {"e2": (6, 17_000_000_005_000)}
    assert dict(snapshot.missing) == {"e1": 17_000_000_620_000, "e3": 17_000_000_620_000}


def test_truncated_or_corrupt_snapshot_is_an_error_and_a_complete_one_is_read(tmp_path):
    limit = RemovalLimit()
    snapshot, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry(f"e{n}") for n in range(4)], limit)
    snapshot, _ = apply_event(
        snapshot, 7, 2, False, [entry("e1", EngineState.DRAINING), entry("e2", EngineState.GONE)], limit
    )
    save_snapshot(tmp_path, snapshot)
    loaded = load_snapshot(tmp_path)
    assert loaded == snapshot._replace(is_restored=True)
    loaded, _ = apply_event(loaded, 9, 3, False, [entry("e1"), entry("e2")], limit)
    assert sorted(e.name for e in loaded.ready()) == ["e0", "e3"] and not loaded.is_restored
    data = encode_snapshot(snapshot)
    for position in range(len(data)):
        with pytest.raises(SnapshotError):
            decode_snapshot(data[:position])
        with pytest.raises(SnapshotError):
            decode_snapshot(data[:position] + bytes((data[position] ^ 1,)) + data[position + 1 :])
    assert load_snapshot(tmp_path / "none") is None
