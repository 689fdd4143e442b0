"""Tests the journal and its recovery: truncation anywhere, a kill at each disk step, a full disk."""

import os
from itertools import count
from pathlib import Path
from random import Random
from typing import NamedTuple

import pytest
from bench_free import until

from endpoints.support import (
    TOPOLOGY,
    FileSourceHarness,
    ListHarness,
    make_endpoint,
    make_endpoints,
    names,
    replace_document,
)
from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.effects import AppendRecord, PublishUpdate
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.findings import Severity
from wickvane.endpoints.journal import (
    JOURNAL_NAME,
    MAGIC,
    Disk,
    Journal,
    JournalError,
    frame_record,
    parse_journal,
    read_journal,
)
from wickvane.endpoints.records import encode_record
from wickvane.endpoints.snapshot import Snapshot, make_snapshot
from wickvane.endpoints.state_folder import recover_records
from wickvane.errors import ConfigError
from wickvane.events import EngineState


class StoredJournal(NamedTuple):
    """A journal's data, and its size after the magic number and after each record."""

    data: bytes
    sizes: list[int]


def write_generations(generation_count: int = 12) -> StoredJournal:
    """Returns a journal of some generations and checks that each of its records can be applied."""
    harness = ListHarness(
        removed_fraction_severity=Severity.STAGE, removed_fraction=0.3, step_interval=10_000
    )
    for n in range(generation_count):
        harness.submit(make_endpoints(4 + n * 5 % 9))
        harness.advance_time(15_000)
    endpoint_list = EndpointList(harness.topology, harness.policy)
    data = MAGIC
    checksum = b""
    sizes = [len(MAGIC)]
    for stored in harness.journal:
        octets, checksum = frame_record(checksum, stored)
        data += octets
        recover_records(endpoint_list, [stored])
        sizes.append(len(data))
    return StoredJournal(data, sizes)


def test_a_journal_truncated_at_any_byte_keeps_the_records_before_it() -> None:
    data, sizes = write_generations()
    for size in range(len(data) + 1):
        content = parse_journal(data[:size])
        expected = max((n for n, end in enumerate(sizes) if end <= size), default=0)
        assert len(content.records) == expected and content.size <= size
    for position in Random(1).sample(range(len(MAGIC), len(data)), 300):
        damaged = data[:position] + bytes((data[position] ^ 1,)) + data[position + 1 :]
        content = parse_journal(damaged)
        assert len(content.records) == max(n for n, end in enumerate(sizes) if end <= position)
    # A record is invalid in the position of another record.
    first = data[sizes[0] : sizes[1]]
    second = data[sizes[1] : sizes[2]]
    assert parse_journal(MAGIC + second + first).records == []
    with pytest.raises(JournalError):
        parse_journal(b"something else")


class ProcessKilledError(Exception):
    """Simulates that the process is killed."""


class KillingDisk(Disk):
    """Simulates a kill at the n-th step; a write is then half done."""

    def __init__(self, steps: int) -> None:
        self.steps_left = steps

    def _step(self) -> None:
        self.steps_left -= 1
        if self.steps_left < 0:
            raise ProcessKilledError

    def open(self, path: str) -> int:
        """Counts as a step."""
        self._step()
        return super().open(path)

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        """Counts as a step; half of the data is written if the process is killed."""
        try:
            self._step()
        except ProcessKilledError:
            super().write(descriptor, data[: len(data) // 2], position)
            raise
        super().write(descriptor, data, position)

    def truncate(self, descriptor: int, size: int) -> None:
        """Counts as a step."""
        self._step()
        super().truncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Counts as a step."""
        self._step()
        super().sync(descriptor)

    def replace(self, source: str, path: str) -> None:
        """Counts as a step."""
        self._step()
        super().replace(source, path)

    def sync_folder(self, folder: str) -> None:
        """Counts as a step."""
        self._step()
        super().sync_folder(folder)


def document_of(n: int) -> Snapshot:
    """Returns the n-th document."""
    return make_snapshot(0, make_endpoints(6 + n % 3))


def publish_six_documents(endpoint_list: EndpointList, journal: Journal, published: list[int]) -> bool:
    """Journals and publishes six documents; returns False if the process was killed meanwhile."""
    try:
        journal.read()
        for n in range(6):
            endpoint_list.submit(1_000_000 + n, document_of(n), None)
            for effect in endpoint_list.take_effects():
                if isinstance(effect, AppendRecord):
                    journal.append(encode_record(effect.record))
                elif isinstance(effect, PublishUpdate):
                    published.append(endpoint_list.generations.number)
            if journal.needs_compaction():
                journal.compact(encode_record(endpoint_list.checkpoint(1_000_000 + n)))
    except ProcessKilledError:
        return False
    return True


def test_a_process_killed_at_any_disk_step_recovers_what_it_published(tmp_path: Path) -> None:
    """A restart recovers a complete generation that is never older than the published one."""
    for steps in count():
        folder = str(tmp_path / f"s{steps}")
        os.mkdir(folder)
        endpoint_list = EndpointList(TOPOLOGY, ChangePolicy())
        published: list[int] = []
        journal = Journal(folder, KillingDisk(steps), 1500)
        is_complete = publish_six_documents(endpoint_list, journal, published)
        os.close(journal.lock)
        recovered = EndpointList(TOPOLOGY, ChangePolicy())
        reopened = Journal(folder)
        recover_records(recovered, reopened.read())
        generation = recovered.generations.number
        last = endpoint_list.generations.number
        assert generation >= (published[-1] if published else 0)
        assert generation in (last, last - 1, 0)
        if generation:
            assert recovered.generations.target.endpoints == document_of(generation - 1).endpoints
        reopened.append({"what": "stopped"})  # the recovered journal can be appended to
        assert len(read_journal(folder).records) and reopened.size
        reopened.close()
        if is_complete:
            assert steps > 20
            return


def test_a_restart_without_the_file_recovers_the_list_and_its_drains(tmp_path: Path, path: str) -> None:
    state = str(tmp_path / "state")
    replace_document(path, make_endpoints(4), 1)
    harness = FileSourceHarness(path, state)
    replace_document(path, [*make_endpoints(3), make_endpoint(3, weight=0.0)], 2)
    until(lambda: harness.published.get("e3") == EngineState.DRAINING)
    with pytest.raises(ConfigError, match="another process"):
        FileSourceHarness(path, state)
    harness.stop()
    for change_file in (lambda: os.unlink(path), lambda: replace_document(path, make_endpoints(4), 1)):
        change_file()
        restarted = FileSourceHarness(path, state)
        assert restarted.published == {
            "e0": EngineState.READY,
            "e1": EngineState.READY,
            "e2": EngineState.READY,
            "e3": EngineState.DRAINING,
        }
        fields = restarted.log.fields_of("members-from-journal")[-1]
        assert fields["generation"] == 2 and restarted.source.status()["old"]
        until(lambda restarted=restarted: restarted.log.fields_of("members-refused"))
        assert restarted.published["e3"] == EngineState.DRAINING
        restarted.stop()
    replace_document(path, make_endpoints(4), 3)
    last = FileSourceHarness(path, state)
    until(lambda: last.ready_names() == names(4))
    assert not last.source.status()["old"]
    last.stop()


def test_a_failing_journal_does_not_stop_a_drain_and_is_compacted_later(tmp_path: Path, path: str) -> None:
    state = str(tmp_path / "state")
    replace_document(path, make_endpoints(4))
    harness = FileSourceHarness(path, state)
    disk = harness.source.journal.journal.disk

    class FullDisk(Disk):
        def write(self, descriptor: int, data: bytes, position: int) -> None:
            raise OSError(28, "No space left on device")

    harness.source.journal.journal.disk = FullDisk()
    replace_document(path, make_endpoints(3))
    until(lambda: harness.published.get("e3") == EngineState.DRAINING)
    assert harness.log.fields_of("members-journal-failed")
    harness.source.journal.journal.disk = disk
    replace_document(path, make_endpoints(5))
    until(lambda: harness.ready_names() == names(5))
    harness.stop()
    restarted = FileSourceHarness(path, state)
    assert restarted.ready_names() == names(5) and not restarted.log.fields_of("members-refused")
    restarted.stop()


def test_an_unreadable_journal_is_renamed_and_kept(tmp_path: Path, path: str) -> None:
    state = tmp_path / "state"
    state.mkdir()
    (state / JOURNAL_NAME).write_bytes(b"not a journal at all")
    replace_document(path, make_endpoints(4))
    harness = FileSourceHarness(path, str(state))
    assert harness.ready_names() == names(4) and harness.log.fields_of("members-journal-unreadable")
    assert [name for name in os.listdir(state) if "unreadable" in name]
    harness.stop()
