"""Valid settings of any deployment are accepted; an error names the setting that is invalid."""

import copy
import json
import math
import os
import subprocess
import sys
import tomllib

import orjson
import pytest
from bench_free import SETTINGS, Gateways, found
from test_rehearsal import ROOT

from wickvane.events import Ending, TimerFired
from wickvane.id_registry import IdRegistry
from wickvane.settings import SettingsError

FULL = copy.deepcopy(SETTINGS) | {
    "tariffs": {"cross_zone": 0.02},
    "report": {"fields": ["inflight"], "how": "piggyback"},
    "membership_mode": "automatic",
}
FULL["family_info"] |= {
    "class_threads": [1, 2, 2],
    "memory_heeded": True,
    "most_grant": 0.4,
    "writes_tables": [False, False, True],
    "yields_to_loads": [False, False, False],
}
FULL["obligations"] |= {
    "cold_from": 0.3,
    "cold_ms": 15000.0,
    "fall_ms": 3000.0,
    "fall_multiple": 2.5,
    "further_ratio": 0.1,
    "extra_free": 3.0,
    "budget_window_ms": 5000.0,
    "ask_within_ms": 10000.0,
}
FULL["limits"] |= {"retry_after": True, "max_retry_after_ms": 1000.0}
MISSING = object()
UNUSUAL_VALUES = [
    MISSING,
    None,
    0,
    -1,
    math.nan,
    math.inf,
    1e300,
    "",
    "x",
    "é",
    [],
    {},
    True,
    [None],
    ["x"],
    [0],
    [-1],
]


def value_paths(values, path=()):
    """The path of each value in the settings."""
    items = ()
    if isinstance(values, dict):
        items = values.items()
    elif isinstance(values, list):
        items = enumerate(values)
    for key, value in items:
        yield (*path, key)
        yield from value_paths(value, (*path, key))


def changed(path, value):
    settings = copy.deepcopy(FULL)
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    if value is MISSING:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return settings


def run_queries(deployment):
    """Runs queries of each resource group on engines in and after slow start, with each kind of ending."""
    dispatchers = Gateways(deployment)
    for e in range(3):
        dispatchers.engine(e, started=0 if e else dispatchers.now - 10)
    endings = (
        Ending.FINISHED,
        Ending.REJECTED,
        Ending.RESET,
        Ending.NO_CONNECTION,
        Ending.ERROR,
        Ending.NO_ANSWER,
    )
    for resource_group in range(len(deployment.groups)):
        for n, ending in enumerate(endings):
            q = dispatchers.take(
                resource_group=resource_group,
                cost=1000 * (n % 2),
                key=n if deployment.groups[resource_group].ordered else None,
                left=50_000,
            )
            if q in dispatchers.out:
                dispatchers.end(q, ending, elapsed=900, work=900, after=900)
    for _ in range(20):
        dispatchers.round(TimerFired(1), after=600)


@pytest.mark.parametrize("path", list(value_paths(FULL)), ids=lambda path: ".".join(map(str, path)))
def test_each_unusual_value_is_accepted_or_rejected_with_the_name_of_its_setting(path):
    for value in UNUSUAL_VALUES:
        settings = changed(path, value)
        try:
            deployment = IdRegistry(settings).deployment
        except SettingsError as error:
            # The name of the setting, or of the object or list that contains it.
            assert str(path[0]) in error.path and error.expected
            continue
        run_queries(deployment)


@pytest.mark.parametrize(
    "path, value, named",
    [
        (("classes", 0, "effect"), "sometimes", "settings.classes[0].effect is 'sometimes'"),
        (
            ("classes", 1, "name"),
            "lookup",
            "settings.classes[1].name is 'lookup', where a unique name",
        ),
        (("classes", 1, "worth"), -3, "settings.classes[1].worth is -3, where a number from 0"),
        (("family_info", "class_threads", 1), "two", "settings.family_info.class_threads[1] is 'two'"),
        (
            ("obligations", "cold_from"),
            1.5,
            "settings.obligations.cold_from is 1.5, where a number from 0 to 1",
        ),
        (("limits", "max_attempts"), [5], "settings.limits.max_attempts is [5]"),
        (("az",), MISSING, "settings.az is None"),
        (("classes",), MISSING, "settings.classes is None"),
    ],
)
def test_start_fails_with_the_name_of_an_invalid_setting(tmp_path, path, value, named):
    configuration = found([], type("NoCoordinator", (), {"address": "127.0.0.1:1"})) | {
        "settings": changed(path, value)
    }
    (tmp_path / "config.json").write_bytes(orjson.dumps(configuration))
    result = subprocess.run(
        [sys.executable, "-m", "wickvane", "check"],
        capture_output=True,
        text=True,
        env=os.environ | {"LB_CONFIG": str(tmp_path / "config.json")},
    )
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and named in result.stderr


def test_missing_list_entries_and_zeroes_have_defaults():
    settings = changed(("family_info", "class_threads"), [0, 4])
    assert [group.threads for group in IdRegistry(settings).deployment.groups] == [1, 4, 1]
    assert IdRegistry(changed(("family_info", "size_cores"), [0])).deployment.cores == [1]
    assert IdRegistry(changed(("accounts",), [])).deployment.tenants == []


def test_resource_groups_and_tenants_may_have_names_in_any_script():
    registry = IdRegistry(
        changed(("classes", 0, "name"), "запрос") | {"accounts": [{"name": "Ærø", "share": 1.0}]}
    )
    assert list(registry.groups.index)[0] == "запрос" and list(registry.tenants.index) == ["Ærø"]


def test_the_configuration_in_the_readme_is_valid(started, tmp_path):
    """Uses all of it except its ports, which may be in use."""
    with open(os.path.join(ROOT, "README.md")) as readme:
        text = readme.read()
    begin = text.index('    {"name": "n3"')
    configuration = json.loads(text[begin : text.index("\n\n", begin)])
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    command = [sys.executable, "-m", "wickvane", "check", f"--config={path}"]
    checked = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert checked.stdout == f"wickvane: {path} can be served\n" and checked.returncode == 0
    process = started(**{name: value for name, value in configuration.items() if name != "listen"})
    assert next(line for line in process.stdout if b'"event":"ready"' in line)


def test_every_package_of_the_program_is_installed():
    """`pip install .` leaves out a package that is not listed, and importing it fails with a traceback."""
    with open(os.path.join(ROOT, "pyproject.toml"), "rb") as file:
        listed = tomllib.load(file)["tool"]["setuptools"]["packages"]
    found = [
        os.path.relpath(folder, ROOT).replace(os.sep, ".")
        for folder, _, files in os.walk(os.path.join(ROOT, "wickvane"))
        if any(name.endswith(".py") for name in files)
    ]
    assert sorted(listed) == sorted(found)
