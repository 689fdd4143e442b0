"""Generated inputs, and so the verdict, are the same on each run; and the program as a process of its own.

--hypothesis-profile=search draws new ones."""

import json
import os
import resource
import subprocess
import sys

import pytest
from bench_free import Events, found
from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.register_profile("search", settings.get_profile("default"))
settings.load_profile("same")


@pytest.fixture
def started(tmp_path):
    """Starts `wickvane serve` with a configuration changed as asked; descriptors: as many as it may hold."""
    ended = []

    def start(*engines, descriptors=None, **changes):
        told = found(engines, Events()) | changes
        path = tmp_path / f"config-{len(ended)}.json"
        path.write_text(json.dumps(told))

        def bounded():
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "serve"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(path)},
            preexec_fn=bounded if descriptors else None,
        )
        process.found, process.path = told, path
        ended.append(process)
        return process

    yield start
    for process in ended:
        process.kill()
        process.communicate()
