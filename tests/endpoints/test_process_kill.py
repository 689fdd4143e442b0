"""Tests a kill of `wickvane serve` while its files change."""

import json
import os
import subprocess
import sys
import threading
import time
from pathlib import Path
from random import Random

from bench_free import Events, found, until

from endpoints.support import ROOT, make_endpoints, replace_document


class ServeProcess:
    """Runs `wickvane serve` and keeps its log."""

    def __init__(self, folder: Path) -> None:
        arguments = ["serve", f"--config={folder}/config.json", f"--parts={folder}/parts.kdl"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", *arguments], cwd=ROOT, stdout=subprocess.PIPE
        )
        self.lines: list[dict] = []
        threading.Thread(target=self._read, daemon=True).start()
        until(lambda: self.fields_of("ready"))

    def _read(self) -> None:
        for line in self.process.stdout:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                pass  # truncated by the kill

    def fields_of(self, event: str) -> list[dict]:
        """Returns the log lines of an event."""
        return [line for line in list(self.lines) if line["event"] == event]


def test_sigkill_while_files_change_loses_no_applied_generation(path: str, tmp_path: Path) -> None:
    random = Random(3)
    number = 1
    config = found([], Events())
    del config["coordinator"]
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "parts.kdl").write_text(
        f'members {{ file "{path}"; still "10ms"; poll "50ms"; state "{tmp_path}/state" }}'
    )
    replace_document(path, make_endpoints(5, zone="dc"), number)
    applied = 0
    for _ in range(3):
        program = ServeProcess(tmp_path)
        until(
            lambda program=program, number=number: any(
                line["generation"] == number for line in program.fields_of("members-taken")
            )
        )
        deadline = time.monotonic() + random.uniform(0.2, 0.6)
        while time.monotonic() < deadline:
            number += 1
            replace_document(path, make_endpoints(5 + number % 2, zone="dc"), number)
            time.sleep(0.03)
        program.process.kill()
        program.process.wait()
        applied = max(applied, *(line["generation"] for line in program.fields_of("members-taken")))
        os.unlink(path)
        restarted = ServeProcess(tmp_path)
        recovered = until(lambda restarted=restarted: restarted.fields_of("members-from-journal"))[0]
        assert applied <= recovered["generation"] <= number and recovered["engines"] in (5, 6)
        until(lambda restarted=restarted: restarted.fields_of("members-refused"))
        restarted.process.kill()
        restarted.process.wait()
        number += 1
        replace_document(path, make_endpoints(5 + number % 2, zone="dc"), number)
