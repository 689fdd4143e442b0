"""wickvane: a workload manager for analytic engines.

Usage:
  wickvane serve [--config=FILE] [--parts=FILE]
  wickvane check [--config=FILE] [--parts=FILE]
  wickvane explain [--config=FILE]
  wickvane flows [--by=WORDS] [--step=TIME] [--enterprise=N] [--json] FILE...
  wickvane flows --listen=ADDRESS [--udp] [--for=TIME] [--by=WORDS] [--step=TIME] [--enterprise=N] [--json]
  wickvane rehearse check FILE
  wickvane rehearse serve [--seed=N] [--for=TIME] [--parts=FILE] FILE
  wickvane rehearse load --to=ADDRESS [--tds] [--seed=N] FILE
  wickvane rehearse experiment --out=PATH [--jobs=N] [--plots] FILE
  wickvane rehearse run [--seed=N] [--log=PATH] [--until-broken] [--tries=N] FILE
  wickvane demo [--script=FILE] [--seed=N] [--for=TIME] [--fleet=N]
  wickvane control [--config=FILE] --parts=FILE
  wickvane control status --to=ADDRESS [--tls=FILES] [--json]
  wickvane members check [--config=FILE] [--parts=FILE] [--state=DIR] [--json] [PATH]
  wickvane members log [--parts=FILE] [--state=DIR] [--json]
  wickvane members show [--parts=FILE] [--state=DIR] [--json] [GENERATION]
  wickvane members diff [--parts=FILE] [--state=DIR] FROM TO
  wickvane members (confirm | rollback) [--parts=FILE] [--state=DIR] GENERATION
  wickvane members stop [--parts=FILE] [--state=DIR]
  wickvane members agree [--json] DIR...
  wickvane peers (status | members | events) [--parts=FILE] [--state=DIR] [--json]
  wickvane peers leave [--parts=FILE] [--state=DIR]
  wickvane peers forget [--parts=FILE] [--state=DIR] NAME
  wickvane policy check [--config=FILE] [--json] FILE
  wickvane shares status [--parts=FILE] [--state=DIR] [--json]
  wickvane version
  wickvane -h | --help

Commands:
  serve    Start one dispatcher in the foreground. SIGHUP reloads the configuration, SIGTERM shuts the
           dispatcher down gracefully, SIGUSR1 prints its counters.
  check    Check whether a dispatcher could start with the configuration, and start nothing.
  explain  Read a statement from standard input, and print the fields that a dispatcher reads in it.
  flows    Sum up exported flows: spool files, folders of them, or flows that are received on a port.
  rehearse  Check a rehearsal script, run it in virtual time, or run its engines or its clients on sockets;
           experiment: run all cases, variants and seeds of an experiment, or resume an interrupted one.
  demo     Start engines, clients and one dispatcher on loopback, and show them on one screen.
  control  Send placement decisions to proxies over xDS; status: show the state of each proxy.
  members  Show endpoint lists of watched files: the effect of a file, past changes, the active list; confirm
           a held change, stop a rollout or roll it back; agree: show which of several dispatchers are behind.
  peers    Show a dispatcher's view of the others: its status, members, events; leave: leave the cluster and
           serve alone; forget: remove a failed member for good.
  policy   Show what a policy would change in the settings, and whether it would be accepted.
  shares   Show what a dispatcher shares with others: quotas of budgets, counters and their age, verdicts.
  version  Print the version.

Options:
  --config=FILE  The configuration, as JSON [default: $LB_CONFIG].
  --parts=FILE   The extensions document, as KDL [default: $WICKVANE_PARTS].
  --by=WORDS     Sum by side, group, tenant, engine, reason, client; several are separated by commas.
  --step=TIME    Also show sums over time, in steps such as 10s.
  --enterprise=N  The enterprise number that the exporter uses.
  --listen=ADDRESS  Receive flows on this address and port, instead of reading files.
  --udp          Receive IPFIX or NetFlow v9 over UDP, instead of IPFIX over TCP.
  --for=TIME     How long to run [default: 24h].
  --json         Print JSON instead of tables.
  --to=ADDRESS   The address of the dispatcher.
  --seed=N       The seed of all random numbers.
  --log=PATH     Write each event to this file, as one line of JSON.
  --until-broken  Try successive seeds in parallel, until an expectation fails.
  --tries=N      The maximum number of seeds.
  --out=PATH     The folder for an experiment's cells, summary and plots.
  --script=FILE  A rehearsal script, instead of the demo's own.
  --tds          Use TDS instead of PostgreSQL.
  --jobs=N       The number of parallel processes.
  --fleet=N      The number of dispatchers, up to 9; several form a cluster.
  --plots        Also draw plots.
  --tls=FILES    Authority, certificate and key, separated by commas.
  --state=DIR    The folder of the endpoint journal (members), or of the state that peers and shares show.
  -h --help      Show this help.
"""

import importlib
import os
import sys

from docopt import DocoptExit, docopt

from wickvane import __version__
from wickvane.errors import ConfigError, RequestRejected

# Commands with a main() of their own, which takes docopt's arguments; imported only if the command is used.
COMMANDS = {
    "peers": "wickvane.cluster.command",
    "policy": "wickvane.config_log.command",
    "shares": "wickvane.quotas.command",
    "members": "wickvane.endpoints.command",
    "flows": "wickvane.flows.command",
    "rehearse": "wickvane.rehearsal.command",
    "demo": "wickvane.rehearsal.command",
}


def main(arguments=None):
    """Runs a command and returns its exit status; arguments: those of the command line if None."""
    try:
        options = docopt(__doc__, argv=arguments)
    except DocoptExit as error:
        print(f"wickvane: the arguments are not valid\n{error.usage.strip()}", file=sys.stderr)
        return 2
    if options["version"]:
        print(f"wickvane {__version__}")
        return 0
    for command, module in COMMANDS.items():
        if options[command]:
            return importlib.import_module(module).main(options)
    if options["status"]:
        from wickvane.xds.command import status

        return status(options["--to"], options["--tls"], options["--json"])
    path = os.environ.get("LB_CONFIG") if options["--config"] == "$LB_CONFIG" else options["--config"]
    document = (
        os.environ.get("WICKVANE_PARTS") if options["--parts"] == "$WICKVANE_PARTS" else options["--parts"]
    )
    try:
        return run_configured(options, path, document)
    except ConfigError as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return error.exit_code


def run_configured(options, path, document):
    """Runs serve, check, explain or control, the commands that need a configuration."""
    extensions = read_extensions(document) if document and not options["explain"] else None
    if options["check"] and document and not path:
        print(f"wickvane: {document} can be used")
        return 0
    if not path:
        raise ConfigError("no configuration: name one with --config or in LB_CONFIG", 2)
    if options["control"]:
        return run_control(path, document, extensions)
    if options["serve"]:
        disable_thread_caches()
    service = create_service(options, path, extensions)
    if options["serve"]:
        return service.run(path, document)
    if options["explain"]:
        return explain(service.reader, sys.stdin.buffer.read())
    print(f"wickvane: {path} can be served" + (f", {document} can be used" if document else ""))
    return 0


def disable_thread_caches():
    """Lets the allocator keep no freed memory for each thread; replaces the program, see process_memory."""
    from wickvane.net.process_memory import restart_without_thread_caches

    restart_without_thread_caches()


def create_service(options, path, extensions):
    """Creates a dispatcher, without starting it."""
    from wickvane.net.service import Service, configuration

    config, members = configuration(path), (extensions or {}).get("members")
    if (
        not options["serve"]
        and members
        and not members.policy.overrides_coordinator
        and isinstance(config, dict)
    ):
        config.setdefault("coordinator", "127.0.0.1:1")  # not used: files replace the coordinator
    return Service(config, parts=extensions if options["serve"] else None)


def read_extensions(path):
    """The extensions document; raises ConfigError if it cannot be used."""
    from wickvane import parts

    try:
        return parts.read(path)
    except parts.InvalidDocumentError as error:
        raise ConfigError(str(error), 2) from None


def run_control(path, document, extensions):
    """Runs the control service; returns its exit status."""
    from wickvane.net.service import configuration

    if "control" not in (extensions or {}):
        raise ConfigError(f"the extensions document {document} has no node control", 2)
    from wickvane.xds.server import Server

    return Server(configuration(path), extensions["control"], members=extensions.get("members")).run(
        path, document
    )


def explain(reader, text):
    """Prints the fields that a dispatcher reads in a statement; returns the exit status."""
    try:
        for name, value in reader.read(text).items():
            print(f"{name}: {value.decode('utf-8', 'replace') if isinstance(value, bytes) else value}")
    except RequestRejected as error:
        print(f"wickvane: {error.sqlstate}: {error.text}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
