"""`wickvane control status`: shows the configuration that each proxy holds, from the client status discovery
service (CSDS) of the control service.
"""

import json
import sys
from pathlib import Path
from typing import Any, TextIO

import grpc
from envoy.service.status.v3 import csds_pb2
from google.protobuf.json_format import MessageToDict

from wickvane.xds.resource_types import RESOURCE_TYPE_BY_URL, ResourceType
from wickvane.xds.resource_version import parse_version

FETCH_TIMEOUT_S = 5.0
METHOD = "/envoy.service.status.v3.ClientStatusDiscoveryService/FetchClientStatus"
TLS_FILE_COUNT = 3  # authority, certificate, key
DEFAULT_WIDTH = 160  # characters, if the output is not a terminal
COLUMNS = ("node", "type", "version", "state", "lag_ms", "sent", "refused", "late", "why")
FILE_COLUMNS = ("generation", "digest")  # if the endpoint list comes from watched files
FILE_COLUMNS_AFTER = "state"


def fetch_client_status(address: str, tls: str | None = None) -> list[dict[str, Any]]:
    """Returns a row for each node and resource type, from the service at the address.

    tls: paths of authority, certificate and key, separated by commas. Raises OSError if the service does not
    answer or a file cannot be read.
    """
    with _open_channel(address, tls) as channel:
        call = channel.unary_unary(
            METHOD,
            csds_pb2.ClientStatusRequest.SerializeToString,
            csds_pb2.ClientStatusResponse.FromString,
        )
        try:
            response = call(csds_pb2.ClientStatusRequest(), timeout=FETCH_TIMEOUT_S)
        except grpc.RpcError as error:
            raise OSError(f"{error.code().name}: {error.details()}") from None
    return [row for config in response.config for row in _rows(config)]


def _open_channel(address: str, tls: str | None) -> grpc.Channel:
    if not tls:
        return grpc.insecure_channel(address)
    contents = [Path(path).read_bytes() for path in tls.split(",")]
    if len(contents) != TLS_FILE_COUNT:
        raise OSError("--tls needs three files: authority, certificate and key")
    authority, certificate, key = contents
    return grpc.secure_channel(address, grpc.ssl_channel_credentials(authority, key, certificate))


def _rows(config: csds_pb2.ClientConfig) -> list[dict[str, Any]]:
    metadata = MessageToDict(config.node.metadata)
    return [
        {
            "node": config.node.id,
            "type": RESOURCE_TYPE_BY_URL[state.type_url].name,
            "version": state.version_info,
            "state": csds_pb2.ConfigStatus.Name(state.config_status),
            **metadata,
            "why": state.error_state.details,
        }
        for state in config.generic_xds_configs
    ]


def status(address: str, tls: str | None, as_json: bool, out: TextIO = sys.stdout) -> int:
    """Prints the status of all proxies and returns the exit code."""
    try:
        rows = fetch_client_status(address, tls)
    except OSError as error:
        print(f"wickvane: the control service at {address}: {error}", file=sys.stderr)
        return 1
    if as_json:
        out.write(json.dumps(rows) + "\n")
    else:
        _print_table(rows, out)
    return 0


def _without_tombstones(version: str) -> str:
    parsed = parse_version(version)
    return str(parsed._replace(tombstones="")) if parsed else version


def _print_table(rows: list[dict[str, Any]], out: TextIO) -> None:
    from rich.console import Console
    from rich.table import Table

    columns = list(COLUMNS)
    if any("generation" in row for row in rows):
        position = columns.index(FILE_COLUMNS_AFTER) + 1
        columns[position:position] = FILE_COLUMNS
    table = Table(title=f"{len({row['node'] for row in rows})} nodes")
    for column in columns:
        table.add_column(column)
    for row in sorted(rows, key=lambda row: (row["node"], ResourceType[row["type"]])):
        shown = row | {"version": _without_tombstones(row["version"])}
        table.add_row(*(str(shown.get(column, "")) for column in columns))
    Console(file=out, width=None if out.isatty() else DEFAULT_WIDTH).print(table)
