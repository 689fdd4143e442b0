"""Stores the endpoint snapshot in one file, which is either complete or absent.

    wickvane-list 1 CHECKSUM LENGTH\\n
    LENGTH bytes of JSON

The checksum is BLAKE2b with 16 bytes over the JSON. A new file is written next to the old one, synced to disk
and renamed over it, so that a crash at any byte leaves the old file intact. Only this module uses the JSON's
field names.
"""

import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson
from immutables import Map

from wickvane.xds.endpoint_snapshot import Endpoint, EndpointSnapshot, Removal
from wickvane.xds.errors import SnapshotError

FILE_NAME = "list.wickvane"
MAGIC = b"wickvane-list 1 "
MAX_FILE_BYTES = 64 << 20
CHECKSUM_BYTES = 16
MAX_LENGTH_DIGITS = 12
FORMAT_VERSION = 1


def encode_snapshot(snapshot: EndpointSnapshot) -> bytes:
    """Returns the content of the file."""
    body = orjson.dumps(_to_json(snapshot))
    return MAGIC + _checksum(body) + b" %d\n" % len(body) + body


def decode_snapshot(data: bytes) -> EndpointSnapshot:
    """Decodes the content of a file to a snapshot that is marked as restored. Raises SnapshotError."""
    header, newline, body = data.partition(b"\n")
    words = header.removeprefix(MAGIC).split(b" ")
    if not newline or not header.startswith(MAGIC) or len(words) != 2 or not words[1].isdigit():
        raise SnapshotError("the file does not start with a snapshot header")
    checksum, length = words
    if len(body) != int(length[:MAX_LENGTH_DIGITS]):
        raise SnapshotError(f"the body has {len(body)} bytes, expected {length[:MAX_LENGTH_DIGITS].decode()}")
    if _checksum(body) != checksum:
        raise SnapshotError("the checksum does not match")
    try:
        return _from_json(orjson.loads(body))
    except (ValueError, orjson.JSONDecodeError) as error:
        raise SnapshotError(str(error)) from None


def save_snapshot(folder: str | Path, snapshot: EndpointSnapshot) -> None:
    """Writes the snapshot durably. Raises OSError."""
    path = os.path.join(folder, FILE_NAME)
    temporary_path = f"{path}.{os.getpid()}"
    with open(temporary_path, "wb") as file:
        file.write(encode_snapshot(snapshot))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    folder_descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)


def load_snapshot(folder: str | Path) -> EndpointSnapshot | None:
    """Returns the saved snapshot, None if there is none. Raises SnapshotError."""
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(error.strerror) from None
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotError("the file is too long")
    return decode_snapshot(data)


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()


def _to_json(snapshot: EndpointSnapshot) -> dict[str, Any]:
    return {
        "form": FORMAT_VERSION,
        "index": snapshot.index,
        "engines": [list(endpoint) for _, endpoint in sorted(snapshot.endpoints.items())],
        "gone": [[name, *removal] for name, removal in sorted(snapshot.removed.items())],
        "missing": [[name, until] for name, until in sorted(snapshot.missing.items())],
        "documents": [[name, index] for name, index in sorted(snapshot.ended_by_documents.items())],
    }


def _from_json(document: Any) -> EndpointSnapshot:
    """Converts a JSON document to a snapshot. Raises ValueError if it is not a snapshot."""
    try:
        if document["form"] != FORMAT_VERSION:
            raise ValueError(f"unknown format version {document['form']}")
        endpoints = [_endpoint_from_json(row) for row in document["engines"]]
        return EndpointSnapshot(
            index=int(document["index"]),
            endpoints=Map({endpoint.name: endpoint for endpoint in endpoints}),
            removed=Map({name: Removal(index, started_at) for name, index, started_at in document["gone"]}),
            missing=Map({name: until for name, until in document["missing"]}),
            is_restored=True,
            ended_by_documents=Map({name: index for name, index in document.get("documents", ())}),
        )
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"not an endpoint snapshot: {error}") from None


def _endpoint_from_json(row: list) -> Endpoint:
    endpoint = Endpoint(*row)
    if endpoint.address is None:
        return endpoint
    host, port = endpoint.address
    return endpoint._replace(address=(str(host), int(port)))
