"""`wickvane members`: validates documents, prints the list and its history, and sends operators' orders.

The output comes from the state folder, which may be read while its dispatcher runs. Orders are written to
the state folder, and that dispatcher answers them.
"""

import os
import sys
import time

import orjson

from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.config import EndpointsConfig
from wickvane.endpoints.dry_run import read_rules_of, submit_documents
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.journal import JournalError, read_journal
from wickvane.endpoints.operator_orders import ANSWER_TIMEOUT_S, DONE, OrderKind, send_order
from wickvane.endpoints.records import RecordError
from wickvane.endpoints.snapshot import Endpoint, Snapshot
from wickvane.endpoints.state_folder import read_status, recover_records
from wickvane.endpoints.status import status_document
from wickvane.endpoints.topology import Topology, topology_of
from wickvane.errors import ConfigError, WickvaneError
from wickvane.events import EngineState
from wickvane.net.clock import Clock
from wickvane.units import to_seconds

STATE_NAMES = {
    EngineState.READY: "ready",
    EngineState.DRAINING: "draining",
    EngineState.GONE: "gone",
}
UNKNOWN_TOPOLOGY = Topology({}, None, (), 1.0, 0)
DEFAULT_POLICY = ChangePolicy()
MAX_GENERATION_DIGITS = 9
MAX_GENERATIONS_IN_MESSAGE = 10


class CommandError(WickvaneError):
    """The command cannot be run; it exits with status 2."""


def main(arguments: dict) -> int:
    """Runs the command with the parsed arguments of its usage text and returns the exit status."""
    try:
        return _run(arguments)
    except (CommandError, JournalError) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1


def _run(arguments: dict) -> int:
    as_json = arguments["--json"]
    if arguments["agree"]:
        return compare_dispatchers(arguments["DIR"], as_json)
    config = _config_of(arguments["--parts"])
    if arguments["check"]:
        folder = _state_folder_of(arguments, config, is_needed=False)
        return check(arguments["PATH"], config, arguments["--config"], folder, as_json)
    folder = _state_folder_of(arguments, config)
    if arguments["log"]:
        return print_history(folder, as_json)
    if arguments["show"]:
        return show(folder, arguments["GENERATION"], as_json)
    if arguments["diff"]:
        return print_difference(folder, arguments["FROM"], arguments["TO"])
    kind = next(kind for kind in OrderKind if arguments[kind.value])
    return give_order(folder, kind, arguments["GENERATION"])


def _config_of(path: str) -> EndpointsConfig | None:
    """Returns the node `members` of an extensions document, None if either is missing."""
    path = os.environ.get("WICKVANE_PARTS") if path == "$WICKVANE_PARTS" else path
    if not path:
        return None
    from wickvane import parts

    try:
        return parts.read(path).get("members")
    except parts.InvalidDocumentError as error:
        raise CommandError(str(error)) from None


def _state_folder_of(arguments: dict, config: EndpointsConfig | None, is_needed: bool = True) -> str | None:
    folder = arguments["--state"] or config and config.state_folder
    if not folder and is_needed:
        raise CommandError("no state folder: pass --state, or an extensions document that names one")
    return folder


def _parse_generation(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > MAX_GENERATION_DIGITS:
        raise CommandError(f"{text[:40]} is not a generation number")
    return int(text)


def _recover(
    folder: str, topology: Topology = UNKNOWN_TOPOLOGY, policy: ChangePolicy = DEFAULT_POLICY
) -> EndpointList:
    """Returns the endpoint list recovered from the journal in a state folder."""
    records = read_journal(folder).records
    endpoint_list = EndpointList(topology, policy)
    try:
        recover_records(endpoint_list, records)
    except RecordError as error:
        raise CommandError(f"the journal in {folder} has an invalid record: {error.reason}") from None
    return endpoint_list


def _topology_of(config_path: str) -> Topology:
    """Returns the topology in a dispatcher's configuration, UNKNOWN_TOPOLOGY if none is named."""
    path = os.environ.get("LB_CONFIG") if config_path == "$LB_CONFIG" else config_path
    if not path:
        return UNKNOWN_TOPOLOGY
    from wickvane.id_registry import IdRegistry
    from wickvane.net.service import configuration

    try:
        return topology_of(IdRegistry(configuration(path)["settings"]))
    except ConfigError as error:
        raise CommandError(str(error)) from None
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise CommandError(f"the configuration {path} is invalid: {error}") from None


def check(
    path: str | None, config: EndpointsConfig | None, config_path: str, folder: str | None, as_json: bool
) -> int:
    """Prints the decision on a file or directory without applying it; returns 1 if it would be rejected."""
    path = path or config and config.path
    if not path:
        raise CommandError("no document: pass its path, or an extensions document that names it")
    rules = read_rules_of(config)
    topology = _topology_of(config_path)
    if folder:
        endpoint_list = _recover(folder, topology, rules.policy)
    else:
        endpoint_list = EndpointList(topology, rules.policy)
    outcome = submit_documents(endpoint_list, path, rules, Clock().now())
    if as_json:
        _print_json(outcome.to_document())
    else:
        for sentence in outcome.reasons:
            print(sentence)
        print(outcome.summary)
    return 1 if outcome.what == "refused" else 0


def _print_json(document: dict) -> None:
    print(orjson.dumps(document).decode())


# History


def _time_text(ticks: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(to_seconds(ticks)))


def print_history(folder: str, as_json: bool) -> int:
    """Prints the decisions in the audit log, oldest first."""
    for row in _recover(folder).audit_log.rows:
        if as_json:
            _print_json(row)
        else:
            _print_audit_row(row)
    return 0


def _print_audit_row(row: dict) -> None:
    columns = [f"{row.get('generation')}"] if row.get("generation") is not None else []
    columns += [f"({row['digest']})"] if row.get("digest") else []
    columns += [f"of {row['of']}"] if row.get("of") else []
    columns += [f"+{row['put']} -{row['drop']}"] if "put" in row else []
    columns += ["in steps"] if row.get("steps") else []
    columns += row.get("codes") or []
    author = f"by {row['who']}" if row.get("who") else ""
    print(_time_text(row["at"]), row["what"], *columns, author)
    for sentence in row.get("why") or []:
        print("   ", sentence)


def _snapshot_of(endpoint_list: EndpointList, generation: int) -> Snapshot:
    history = endpoint_list.generations.history
    if generation not in history:
        known = ", ".join(map(str, list(history)[-MAX_GENERATIONS_IN_MESSAGE:]))
        raise CommandError(
            f"generation {generation} is not in the history; the latest ones are {known or 'none'}"
        )
    return history[generation].snapshot


def print_difference(folder: str, from_text: str, to_text: str) -> int:
    """Prints the engines that differ between two generations."""
    endpoint_list = _recover(folder)
    before = _snapshot_of(endpoint_list, _parse_generation(from_text)).endpoints
    after = _snapshot_of(endpoint_list, _parse_generation(to_text)).endpoints
    for name in sorted(set(before) | set(after)):
        previous = before.get(name)
        current = after.get(name)
        if previous == current:
            continue
        if previous is not None:
            _print_endpoint(previous, prefix="-")
        if current is not None:
            _print_endpoint(current, prefix="+")
    return 0


# Current state


def show(folder: str, generation: str | None, as_json: bool) -> int:
    """Prints the published list, or an earlier generation if one is given."""
    if generation is not None:
        snapshot = _snapshot_of(_recover(folder), _parse_generation(generation))
        _print_snapshot(snapshot, as_json)
        return 0
    endpoint_list = _recover(folder)
    status = read_status(folder)
    if status is None:
        status = status_document(endpoint_list)
    if as_json:
        _print_json(status)
        return 0
    _print_status(status)
    for _, endpoint in sorted(endpoint_list.rollout.published.items()):
        _print_endpoint(endpoint)
    return 0


def _print_status(status: dict) -> None:
    rollback = f", the content of {status['of']}" if status["of"] else ""
    print(
        f"generation {status['generation']}{rollback} ({status['digest']}): {status['ready']} ready of "
        f"{status['engines']}"
    )
    if status["pending"] and status["stepping"]:
        print(f"{status['pending']} engines change in steps" + (", stopped" if status["stopped"] else ""))
    if status["leaving"]:
        print("leaving: " + ", ".join(status["leaving"]))
    if status["held"]:
        held = status["held"]
        print(
            f"held: generation {held['generation']} ({', '.join(held['codes'])}); wickvane members confirm "
            f"{held['generation']}"
        )
    if status["refused"]:
        print("refused: " + ", ".join(status["refused"]))
    if status["old"]:
        print("from the journal; no file has agreed since")


def _print_endpoint(endpoint: Endpoint, prefix: str = "") -> None:
    address = f"{endpoint.address[0]}:{endpoint.address[1]}" if endpoint.address else "-"
    print(
        f"{prefix}  {endpoint.name:<24} {address:<22} {STATE_NAMES[endpoint.state]:<9} "
        f"weight {endpoint.weight:g}"
        + (f" {endpoint.kind}" if endpoint.kind else "")
        + (f" {endpoint.zone}" if endpoint.zone else "")
    )


def _print_snapshot(snapshot: Snapshot, as_json: bool) -> None:
    endpoints = [endpoint for _, endpoint in sorted(snapshot.endpoints.items())]
    if as_json:
        rows = [endpoint.to_row() for endpoint in endpoints]
        _print_json({"digest": snapshot.digest, "engines": rows})
        return
    print(f"{len(endpoints)} engines ({snapshot.digest})")
    for endpoint in endpoints:
        _print_endpoint(endpoint)


def compare_dispatchers(folders: list[str], as_json: bool) -> int:
    """Prints whether the dispatchers of these state folders publish the same list; returns 1 if not."""
    statuses = [(folder, _status_of(folder)) for folder in folders]
    newest = max(status["generation"] for _, status in statuses)
    digest = next(status["digest"] for _, status in statuses if status["generation"] == newest)
    mismatch_count = 0
    for folder, status in statuses:
        state = _agreement_of(status, newest, digest)
        mismatch_count += state != "same"
        if as_json:
            _print_json({"folder": folder, "state": state, **status})
        else:
            print(
                f"{folder}: {state}, generation {status['generation']} ({status['digest']}), "
                f"{status['ready']} ready of {status['engines']}"
            )
    return 1 if mismatch_count else 0


def _status_of(folder: str) -> dict:
    status = read_status(folder)
    return status_document(_recover(folder)) if status is None else status


def _agreement_of(status: dict, newest: int, digest: str) -> str:
    if status["generation"] < newest:
        return "behind"
    if status["digest"] != digest:
        return "differs"
    if status["pending"] or status["stopped"]:
        return "on its way"
    return "same"


# Orders


def give_order(folder: str, kind: OrderKind, generation: str | None) -> int:
    """Sends an order to the dispatcher that uses a state folder, and prints the answer."""
    number = None if generation is None else _parse_generation(generation)
    try:
        answer = send_order(folder, kind, number)
    except OSError as error:
        raise CommandError(f"{folder}: {error.strerror}") from None
    if answer is None:
        raise CommandError(
            f"no answer to the order within {ANSWER_TIMEOUT_S:g} s; is a dispatcher running with {folder}?"
        )
    print(answer)
    return 0 if answer == DONE else 1
