"""Makes generated inputs, and so the results, the same on each run; starts dispatchers as processes.

--hypothesis-profile=search generates new inputs on each run."""

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
    """Starts `wickvane serve` with a changed configuration; descriptors: the limit of open descriptors."""
    processes = []

    def start(*engines, descriptors=None, **changes):
        configuration = found(engines, Events()) | changes
        path = tmp_path / f"config-{len(processes)}.json"
        path.write_text(json.dumps(configuration))

        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "serve"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(path)},
            preexec_fn=limit_descriptors if descriptors else None,
        )
        process.found, process.path = configuration, path
        processes.append(process)
        return process

    yield start
    for process in processes:
        process.kill()
        process.communicate()
