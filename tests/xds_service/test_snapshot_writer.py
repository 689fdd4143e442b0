"""Writes of the snapshot that overlap, and what a kill leaves behind; the overlap is forced by a gate."""

import threading

import pytest

from wickvane.net.counters import Counters
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds import snapshot_writer
from wickvane.xds.endpoint_snapshot import EndpointSnapshot, RemovalLimit, apply_event
from wickvane.xds.snapshot_store import FILE_NAME, encode_snapshot, load_snapshot, save_snapshot
from wickvane.xds.snapshot_writer import SnapshotWriter
from xds_service.in_memory_proxy import EngineState, entry

PATIENCE_S = 20


class SilentLog:
    """A log that nobody reads."""

    def line(self, name, **fields):
        pass


def snapshots():
    """A list, and the one after a drain."""
    older, _ = apply_event(EndpointSnapshot(), 0, 1, True, [entry("e1"), entry("e2")], RemovalLimit())
    drain = [entry("e1", EngineState.DRAINING)]
    newer, _ = apply_event(older, TICKS_PER_SECOND, 2, False, drain, RemovalLimit())
    return older, newer


def test_a_slow_write_of_an_older_list_does_not_replace_the_one_written_at_the_end(tmp_path, monkeypatch):
    """Guards against a drain that is lost from the snapshot, and against two writes into one file."""
    older, newer = snapshots()
    current = [older]
    entered, opened = threading.Event(), threading.Event()

    def save_behind_gate(folder, snapshot):
        if snapshot is older:
            entered.set()
            assert opened.wait(PATIENCE_S)
        save_snapshot(folder, snapshot)

    monkeypatch.setattr(snapshot_writer, "save_snapshot", save_behind_gate)
    writer = SnapshotWriter(str(tmp_path), lambda: current[0], SilentLog(), Counters())
    slow = threading.Thread(target=writer.save_now)
    slow.start()
    assert entered.wait(PATIENCE_S)
    current[0] = newer
    last = threading.Thread(target=writer.save_now)
    last.start()
    # With the fault, the last write ends first and the slow one then replaces it.
    last.join(0.5)
    opened.set()
    slow.join(PATIENCE_S)
    last.join(PATIENCE_S)
    assert load_snapshot(tmp_path) == newer._replace(is_restored=True)


class QueueingLoop:
    """An event loop whose executor is slow: the test runs what was handed to it."""

    def __init__(self):
        self.queued = []

    def call_later(self, delay, call, *arguments):
        call(*arguments)

    def run_in_executor(self, executor, call, *arguments):
        self.queued.append(lambda: call(*arguments))


def test_a_write_that_begins_late_writes_the_list_of_that_time(tmp_path):
    """Guards against a write that waited, and puts back the list from before a drain."""
    older, newer = snapshots()
    current = [older]
    writer = SnapshotWriter(str(tmp_path), lambda: current[0], SilentLog(), Counters())
    loop = QueueingLoop()
    writer.schedule(loop)
    current[0] = newer
    writer.save_now()
    loop.queued[0]()
    assert load_snapshot(tmp_path) == newer._replace(is_restored=True)


@pytest.mark.parametrize("written", [0, 1, 40, -1])
def test_a_kill_within_a_write_leaves_the_list_before_it(tmp_path, written):
    """Guards against a snapshot that is lost by a kill at some byte of the next one's write."""
    older, newer = snapshots()
    save_snapshot(tmp_path, older)
    (tmp_path / f"{FILE_NAME}.12345").write_bytes(encode_snapshot(newer)[:written])
    assert load_snapshot(tmp_path) == older._replace(is_restored=True)
    save_snapshot(tmp_path, newer)
    assert load_snapshot(tmp_path) == newer._replace(is_restored=True)
