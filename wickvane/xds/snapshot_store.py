"""The stored endpoint snapshot: one file, complete or not there.

    wickvane-list 1 CHECKSUM LENGTH\\n
    as many bytes of JSON

The checksum is BLAKE2b of 16 bytes over the JSON. The file is written beside the old one, synced to disk and
renamed over it, so that a crash at any byte leaves the old one. This module alone knows the JSON's field
names.
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
    """The file's bytes."""
    body = orjson.dumps(_to_json(snapshot))
    return MAGIC + _checksum(body) + b" %d\n" % len(body) + body


def decode_snapshot(data: bytes) -> EndpointSnapshot:
    """The snapshot in a file's bytes, marked as restored. Raises SnapshotError."""
    head, newline, body = data.partition(b"\n")
    words = head.removeprefix(MAGIC).split(b" ")
    if not newline or not head.startswith(MAGIC) or len(words) != 2 or not words[1].isdigit():
        raise SnapshotError("it does not begin as a snapshot")
    checksum, length = words
    if len(body) != int(length[:MAX_LENGTH_DIGITS]):
        raise SnapshotError(f"it has {len(body)} octets of {length[:MAX_LENGTH_DIGITS].decode()}")
    if _checksum(body) != checksum:
        raise SnapshotError("its checksum is another one")
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
    """The snapshot that was saved, None where none was. Raises SnapshotError."""
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(error.strerror) from None
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotError("it is too long")
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
    }


def _from_json(found: Any) -> EndpointSnapshot:
    """Raises ValueError where it is no snapshot."""
    try:
        if found["form"] != FORMAT_VERSION:
            raise ValueError(f"form {found['form']} is not known")
        endpoints = [_endpoint_from_json(row) for row in found["engines"]]
        return EndpointSnapshot(
            index=int(found["index"]),
            endpoints=Map({endpoint.name: endpoint for endpoint in endpoints}),
            removed=Map({name: Removal(index, started_at) for name, index, started_at in found["gone"]}),
            missing=Map({name: until for name, until in found["missing"]}),
            is_restored=True,
        )
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"no snapshot of a list: {error}") from None


def _endpoint_from_json(row: list) -> Endpoint:
    endpoint = Endpoint(*row)
    if endpoint.address is None:
        return endpoint
    host, port = endpoint.address
    return endpoint._replace(address=(str(host), int(port)))
