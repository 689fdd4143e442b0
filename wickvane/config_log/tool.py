"""`wickvane policy check`: what a policy would change, and whether it could be taken; nothing is asked of any
dispatcher. Exit status: 0 it could be taken, 2 it could not, or wrong use.
"""

import os
import sys

import orjson

from wickvane import parts
from wickvane.config_log import document
from wickvane.config_log.course import digest_of
from wickvane.errors import ConfigError
from wickvane.id_registry import IdRegistry
from wickvane.net.service import configuration


def main(asked):
    path = os.environ.get("LB_CONFIG") if asked["--config"] == "$LB_CONFIG" else asked["--config"]
    try:
        if not path:
            raise ConfigError("no configuration: name one with --config or in LB_CONFIG", 2)
        registry = IdRegistry(configuration(path)["settings"])
        text = read(asked["FILE"][0])
        groups, tenants = registry.group_names, list(registry.tenants.index)
        found = document.read(text, groups, tenants, registry.deployment)
    except (ConfigError, parts.Unusable) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
    except (KeyError, TypeError, ValueError) as error:
        print(f"wickvane: the configuration lacks, or does not know, {error}", file=sys.stderr)
        return 2
    rows = document.differences(
        registry.deployment, document.applied(found, registry.deployment, groups, tenants), groups, tenants
    )
    if asked["--json"]:
        print(
            orjson.dumps(
                {
                    "digest": digest_of(text),
                    "changes": [
                        {"what": what, "before": before, "after": after} for what, before, after in rows
                    ],
                }
            ).decode()
        )
        return 0
    print(f"{digest_of(text)}: {len(rows)} changes")
    for what, before, after in rows:
        times = what.endswith((" target", " timeout"))
        unit, by = ("ms", 10) if times else ("", 1)
        print(f"  {what}: {before / by:g}{unit} to {after / by:g}{unit}")
    return 0


def read(path):
    try:
        with open(path, "rb") as file:
            return file.read(document.TEXT_MOST * 4 + 1).decode()
    except OSError as error:
        raise parts.Unusable(f"the policy {path} cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise parts.Unusable(f"the policy {path} is no UTF-8") from None
