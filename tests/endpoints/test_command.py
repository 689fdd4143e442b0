"""Tests `wickvane members` with the state folder of a running source."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

from bench_free import until

from endpoints.support import ROOT, FileSourceHarness, make_endpoints, names, replace_document


def wickvane(*arguments: str) -> tuple[int, str, str]:
    """Runs `wickvane members`; returns its exit status, output and errors."""
    process = subprocess.run(
        [sys.executable, "-m", "wickvane", "members", *arguments], cwd=ROOT, capture_output=True, timeout=60
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


def test_operators_confirm_show_compare_and_roll_back(tmp_path: Path, path: str) -> None:
    state = str(tmp_path / "state")
    other = str(tmp_path / "other")
    replace_document(path, make_endpoints(20))
    harness = FileSourceHarness(path, state)
    copy = str(tmp_path / "copy.kdl")
    shutil.copy(path, copy)
    outdated = FileSourceHarness(copy, other)
    assert wickvane("agree", state, other)[0] == 0
    replace_document(path, make_endpoints(4))
    until(lambda: harness.log.fields_of("members-held"))
    code, out, _ = wickvane("show", "--state", state)
    assert code == 0 and "held: generation 2 (share-removed)" in out and "20 ready of 20" in out
    code, out, _ = wickvane("check", "--state", state, path)
    assert code == 0 and "held as generation 2" in out
    assert wickvane("confirm", "--state", state, "9")[:2] == (1, "nothing waits for it\n")
    assert wickvane("confirm", "--state", state, "2")[:2] == (0, "done\n")
    until(lambda: harness.ready_names() == names(4))
    code, out, _ = wickvane("agree", state, other)
    assert code == 1 and f"{other}: behind, generation 1" in out
    code, out, _ = wickvane("diff", "--state", state, "1", "2")
    assert code == 0 and out.count("-  e") == 16
    code, out, _ = wickvane("log", "--state", state)
    assert code == 0 and "taken 1" in out and "held 2" in out and "share-removed" in out
    assert wickvane("rollback", "--state", state, "1")[:2] == (0, "done\n")
    until(lambda: harness.ready_names() == names(20))
    assert "of 1" in wickvane("log", "--state", state)[1]
    (tmp_path / "bad.kdl").write_text("members { engine }")
    code, out, _ = wickvane("check", "--state", state, str(tmp_path / "bad.kdl"))
    assert code == 1 and "it would be refused" in out
    assert wickvane("show", "--state", state, "77")[0] == 2
    (tmp_path / "state" / "orders" / "x.order").write_text("{")
    until(lambda: os.path.exists(tmp_path / "state" / "orders" / "x.answer"))
    harness.stop()
    outdated.stop()
    code, _, errors = wickvane("stop", "--state", str(tmp_path))
    assert code == 2 and errors
