"""`wickvane control status`: what each proxy holds, by the service's own client status discovery (CSDS)."""

import json
import sys

import grpc
from envoy.service.status.v3 import csds_pb2
from google.protobuf.json_format import MessageToDict

from wickvane.xds.catalog import NUMBER, WORDS

WAIT_S = 5.0


def ask(address, tls=None):
    """A row a node and type, of what the service at `address` says. Raises OSError where it says nothing."""
    if tls:
        read = []
        for path in tls.split(","):
            with open(path, "rb") as file:
                read.append(file.read())
        if len(read) != 3:
            raise OSError("--tls wants three files")
        channel = grpc.secure_channel(address, grpc.ssl_channel_credentials(read[0], read[2], read[1]))
    else:
        channel = grpc.insecure_channel(address)
    with channel:
        call = channel.unary_unary(
            "/envoy.service.status.v3.ClientStatusDiscoveryService/FetchClientStatus",
            csds_pb2.ClientStatusRequest.SerializeToString,
            csds_pb2.ClientStatusResponse.FromString,
        )
        try:
            found = call(csds_pb2.ClientStatusRequest(), timeout=WAIT_S)
        except grpc.RpcError as error:
            raise OSError(f"{error.code().name}: {error.details()}") from None
    rows = []
    for one in found.config:
        more = MessageToDict(one.node.metadata)
        for state in one.generic_xds_configs:
            rows.append(
                {
                    "node": one.node.id,
                    "type": WORDS[NUMBER[state.type_url]],
                    "version": state.version_info,
                    "state": csds_pb2.ConfigStatus.Name(state.config_status),
                    **more,
                    "why": state.error_state.details,
                }
            )
    return rows


def status(address, tls, as_json, out=sys.stdout):
    try:
        rows = ask(address, tls)
    except OSError as error:
        print(f"wickvane: the control service at {address}: {error}", file=sys.stderr)
        return 1
    if as_json:
        out.write(json.dumps(rows) + "\n")
        return 0
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{len({row['node'] for row in rows})} nodes")
    columns = ["node", "type", "version", "state", "lag_ms", "sent", "refused", "late", "why"]
    if any("generation" in row for row in rows):
        columns[4:4] = ["generation", "digest"]
    for column in columns:
        table.add_column(column)
    for row in sorted(rows, key=lambda row: (row["node"], WORDS.index(row["type"]))):
        table.add_row(*(str(row.get(column, "")) for column in columns))
    Console(file=out, width=None if out.isatty() else 160).print(table)
    return 0
