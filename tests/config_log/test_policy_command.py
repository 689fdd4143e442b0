"""Runs `wickvane policy check` as a process and checks its output and exit status."""

import json
import subprocess
import sys
from pathlib import Path

from bench_free import SETTINGS

ROOT = Path(__file__).parents[2]


def test_policy_check_prints_changes_and_rejects_invalid_policies(tmp_path):
    config_path = tmp_path / "config.json"
    document_path = tmp_path / "policy.kdl"

    def check(text: str, *options: str) -> subprocess.CompletedProcess:
        document_path.write_text(text)
        command = [sys.executable, "-m", "wickvane", "policy", "check", *options]
        command += [f"--config={config_path}", str(document_path)]
        return subprocess.run(command, capture_output=True, text=True, cwd=ROOT)

    config_path.write_text(json.dumps({"settings": SETTINGS}))
    valid = check('policy { group "lookup" { target "1s"; value 3 } }')
    assert valid.returncode == 0 and valid.stdout.splitlines()[1:] == [
        "  group lookup target: 1500ms to 1000ms",
        "  group lookup value: 1 to 3",
    ]
    printed = json.loads(check('policy { group "lookup" { value 3 } }', "--json").stdout)
    assert printed["changes"] == [{"what": "group lookup value", "before": 1.0, "after": 3.0}]
    invalid = check('policy { group "nowhere" { value 3 } }')
    assert invalid.returncode == 2 and "line 1: policy > group" in invalid.stderr and not invalid.stdout
    assert check("policy", "--json", "--wrong").returncode == 2
