"""wickvane: a workload manager that stands before analytic engines.

Usage:
  wickvane serve [--config=FILE]
  wickvane check [--config=FILE]
  wickvane explain [--config=FILE]
  wickvane version
  wickvane -h | --help

Commands:
  serve    Start one dispatcher in the foreground. SIGHUP takes in the changed configuration,
           SIGTERM ends it in order, SIGUSR1 prints its counters.
  check    Tell whether the configuration could be served, and start nothing.
  explain  Read a statement on standard input, and print what a dispatcher would read in it.
  version  Print the version.

Options:
  --config=FILE  The configuration, as JSON [default: $LB_CONFIG].
  -h --help      Show this.
"""

import os
import sys

from docopt import DocoptExit, docopt

from wickvane import __version__


def main(words=None):
    try:
        asked = docopt(__doc__, argv=words)
    except DocoptExit as wrong:
        print(f"wickvane: this cannot be understood\n{wrong.usage.strip()}", file=sys.stderr)
        return 2
    if asked["version"]:
        print(f"wickvane {__version__}")
        return 0
    from wickvane.net.service import Service, Unstartable, configuration

    path = os.environ.get("LB_CONFIG") if asked["--config"] == "$LB_CONFIG" else asked["--config"]
    try:
        if not path:
            raise Unstartable("no configuration: name one with --config or in LB_CONFIG", 2)
        service = Service(configuration(path))
        if asked["serve"]:
            return service.run(path)
        if asked["explain"]:
            return explain(service.reader, sys.stdin.buffer.read())
    except Unstartable as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return error.code
    print(f"wickvane: {path} can be served")
    return 0


def explain(reader, text):
    from wickvane.net.statement import Unusable

    try:
        for name, value in reader.read(text).items():
            print(f"{name}: {value.decode('utf-8', 'replace') if isinstance(value, bytes) else value}")
    except Unusable as error:
        print(f"wickvane: {error.sqlstate}: {error.text}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
