"""Tests watched files that are partly written, replaced, removed or invalid."""

import json
import os
import threading
import time
from pathlib import Path

import pytest
from bench_free import until

from endpoints.support import (
    FileSourceHarness,
    kdl_document,
    make_endpoint,
    make_endpoints,
    names,
    replace_document,
)
from wickvane.endpoints import change_detector
from wickvane.events import EngineState


@pytest.mark.parametrize("watched", ["events", "poll"])
def test_renamed_files_apply_and_invalid_ones_change_nothing(path: str, watched: str) -> None:
    replace_document(path, make_endpoints(4))
    harness = FileSourceHarness(path, extra_nodes=f'watch "{watched}"')
    assert harness.ready_names() == names(4)
    started_at = time.monotonic()
    replace_document(path, make_endpoints(5))
    until(lambda: harness.ready_names() == names(5))
    assert time.monotonic() - started_at < 10
    original = open(path, "rb").read()
    for data, code in (
        (original[:-30], "length-wrong"),
        (b"members {", "no-document"),
        (b"\xff", "not-utf8"),
        (original.replace(b"e1", b"e7"), "checksum-wrong"),
        (b"x" * (17 << 20), "too-long"),
    ):
        with open(f"{path}.new", "wb") as file:
            file.write(data)
        os.replace(f"{path}.new", path)
        until(lambda code=code: harness.unfit_count(code))
        assert harness.ready_names() == names(5)
    replace_document(path, make_endpoints(6))
    until(lambda: harness.ready_names() == names(6))
    harness.stop()


def test_a_file_written_in_pieces_is_never_applied_in_part(path: str) -> None:
    replace_document(path, make_endpoints(4), is_sealed=False)
    harness = FileSourceHarness(path)
    data = kdl_document(make_endpoints(6)).encode()
    with open(path, "wb", buffering=0) as file:
        for at in range(0, len(data), 60):
            file.write(data[at : at + 60])
            time.sleep(0.05)
            assert harness.ready_names() in (names(4), names(6))
    until(lambda: harness.ready_names() == names(6))
    harness.stop()


def test_missing_and_unreadable_files_directories_and_pipes_keep_the_current_list(path: str) -> None:
    replace_document(path, make_endpoints(4))
    harness = FileSourceHarness(path)
    os.unlink(path)
    until(lambda: harness.unfit_count("missing"))
    os.mkdir(path)
    until(lambda: harness.unfit_count("not-a-file"))
    os.rmdir(path)
    os.mkfifo(path)
    until(lambda: harness.unfit_count("not-a-file") >= 2)
    os.unlink(path)
    os.symlink(path, path)
    until(lambda: harness.unfit_count("unreadable"))
    assert harness.ready_names() == names(4)
    os.unlink(path)
    replace_document(path, make_endpoints(5))
    until(lambda: harness.ready_names() == names(5))
    harness.stop()


def test_a_directory_replaced_by_a_symlink_is_followed(tmp_path: Path) -> None:
    for n, count in ((1, 4), (2, 6)):
        (tmp_path / f"v{n}").mkdir()
        (tmp_path / f"v{n}" / "m.kdl").write_text(kdl_document(make_endpoints(count)))
    os.symlink("v1", tmp_path / "data")
    os.symlink("data/m.kdl", tmp_path / "m.kdl")
    harness = FileSourceHarness(str(tmp_path / "m.kdl"))
    assert harness.ready_names() == names(4)
    os.symlink("v2", tmp_path / "fresh")
    os.replace(tmp_path / "fresh", tmp_path / "data")
    until(lambda: harness.ready_names() == names(6))
    harness.stop()


def test_files_of_a_directory_are_merged_and_conflicts_rejected(tmp_path: Path) -> None:
    folder = tmp_path / "members.d"
    folder.mkdir()
    (folder / "a.kdl").write_text(kdl_document(make_endpoints(3)))
    json_document = {
        "engines": [
            {"name": e.name, "address": f"10.0.0.1:{e.address[1]}", "type": "old"}
            for e in make_endpoints(6)[3:]
        ]
    }
    (folder / "b.json").write_text(json.dumps(json_document))
    (folder / "notes.txt").write_text("x")
    (folder / ".c.kdl.swp").write_text("x")
    harness = FileSourceHarness(str(folder))
    assert harness.ready_names() == names(6)
    assert harness.log.fields_of("members-part-ignored") == [{"file": "notes.txt"}]
    (folder / "c.kdl").write_text(kdl_document([make_endpoint(2)]))
    until(lambda: harness.log.fields_of("members-refused"))
    rejection = harness.log.fields_of("members-refused")[-1]
    assert rejection["codes"] == ("name-twice",) and "a.kdl and c.kdl" in rejection["why"][0]
    assert harness.ready_names() == names(6)
    (folder / "c.kdl").write_text(kdl_document([make_endpoint(7, port=1001)]))
    until(lambda: harness.log.fields_of("members-refused")[-1]["codes"] == ("address-twice",))
    os.unlink(folder / "c.kdl")
    (folder / "a.kdl").write_text(kdl_document(make_endpoints(2)))
    until(
        lambda: (
            harness.published.get("e2") == EngineState.DRAINING and harness.ready_names() == names(6) - {"e2"}
        )
    )
    os.unlink(folder / "a.kdl")
    until(lambda: harness.log.fields_of("members-refused")[-1]["codes"] or True)
    harness.stop()


def test_rapid_replacements_end_at_the_last_generation(path: str) -> None:
    replace_document(path, make_endpoints(4), 1)
    harness = FileSourceHarness(path)
    for n in range(2, 12):
        replace_document(path, make_endpoints(4 + n % 3), n)
        time.sleep(0.1)
    until(lambda: harness.source.status()["generation"] == 11 and harness.ready_names() == names(4 + 11 % 3))
    replace_document(path, make_endpoints(8), 5)
    until(lambda: harness.log.fields_of("members-refused"))
    assert harness.log.fields_of("members-refused")[-1]["codes"] == ("generation-back",)
    replace_document(path, make_endpoints(8), 11)
    until(lambda: harness.log.fields_of("members-refused")[-1]["codes"] == ("generation-same",))
    assert harness.ready_names() == names(4 + 11 % 3)
    harness.stop()


def test_a_file_that_never_settles_is_reported(path: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_detector, "MAX_UNSETTLED_TIME", 3000)
    replace_document(path, make_endpoints(4), is_sealed=False)
    harness = FileSourceHarness(path, extra_nodes='step "50ms"')
    ended = threading.Event()

    def keep_appending() -> None:
        with open(path, "ab", buffering=0) as file:
            while not ended.is_set():
                file.write(b"// more\n")
                time.sleep(0.005)

    writer = threading.Thread(target=keep_appending)
    writer.start()
    until(lambda: harness.unfit_count("never-still"))
    ended.set()
    writer.join()
    assert harness.ready_names() == names(4)
    replace_document(path, make_endpoints(5))
    until(lambda: harness.ready_names() == names(5))
    harness.stop()
