"""`wickvane policy check`: validates a policy against a configuration and prints what it would change.

No dispatcher is contacted. The exit status is 0 if the policy is valid, and 2 if the policy is invalid or the
command line is wrong.
"""

import os
import sys
from pathlib import Path

import orjson

from wickvane import parts
from wickvane.config_log.policy_document import MAX_DOCUMENT_CHARACTERS, parse_policy
from wickvane.config_log.policy_overrides import SettingChange, apply_policy, differences
from wickvane.config_log.state_machine import content_digest
from wickvane.errors import ConfigError
from wickvane.id_registry import IdRegistry
from wickvane.net.service import configuration
from wickvane.units import to_milliseconds

MAX_BYTES_PER_CHARACTER = 4  # in UTF-8
EXIT_OK = 0
EXIT_INVALID = 2
DURATION_SUFFIXES = (" target", " timeout")  # of the names of settings whose values are times


def main(arguments: dict) -> int:
    """Runs the command with docopt's arguments and returns its exit status."""
    config_path = arguments["--config"]
    if config_path == "$LB_CONFIG":
        config_path = os.environ.get("LB_CONFIG")
    try:
        if not config_path:
            raise ConfigError("no configuration: name one with --config or in LB_CONFIG", EXIT_INVALID)
        registry = IdRegistry(configuration(config_path)["settings"])
        text = _read_document(arguments["FILE"][0])
        changes = _changes(text, registry)
    except (ConfigError, parts.InvalidDocumentError) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return EXIT_INVALID
    except (KeyError, TypeError, ValueError) as error:
        print(f"wickvane: the configuration has a missing or unknown value: {error}", file=sys.stderr)
        return EXIT_INVALID
    if arguments["--json"]:
        _print_json(text, changes)
    else:
        _print_text(text, changes)
    return EXIT_OK


def _changes(text: str, registry: IdRegistry) -> list[SettingChange]:
    groups = registry.group_names
    tenants = list(registry.tenants.index)
    policy = parse_policy(text, groups, tenants, registry.deployment)
    deployment = apply_policy(policy, registry.deployment, groups, tenants)
    return differences(registry.deployment, deployment, groups, tenants)


def _read_document(path: str) -> str:
    """Returns a document's text, of which at most one byte more than the maximum valid size is read.

    Raises InvalidDocumentError if the file cannot be read or is not valid UTF-8.
    """
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_CHARACTERS * MAX_BYTES_PER_CHARACTER + 1).decode()
    except OSError as error:
        raise parts.InvalidDocumentError(f"the policy {path} cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise parts.InvalidDocumentError(f"the policy {path} is not valid UTF-8") from None


def _print_json(text: str, changes: list[SettingChange]) -> None:
    rows = [{"what": change.setting, "before": change.before, "after": change.after} for change in changes]
    print(orjson.dumps({"digest": content_digest(text), "changes": rows}).decode())


def _print_text(text: str, changes: list[SettingChange]) -> None:
    print(f"{content_digest(text)}: {len(changes)} changes")
    for change in changes:
        if change.setting.endswith(DURATION_SUFFIXES):
            before = to_milliseconds(change.before)
            after = to_milliseconds(change.after)
            print(f"  {change.setting}: {before:g}ms to {after:g}ms")
        else:
            print(f"  {change.setting}: {change.before:g} to {change.after:g}")
