"""The list on disk: one file, whole or not there.

    wickvane-list 1 CHECKSUM LENGTH\\n
    as many octets of JSON, as wickvane.xds.endpoint_snapshot.plain() has it

The checksum is BLAKE2b of 16 octets over the JSON. It is written beside the old one, forced to disk and put
in its place by one rename, so that a cut at any octet leaves the old one.
"""

import os
from hashlib import blake2b

import orjson

from wickvane.xds import endpoint_snapshot

NAME, MAGIC, MOST = "list.wickvane", b"wickvane-list 1 ", 64 << 20


class Unreadable(Exception):
    """What is there is no whole snapshot; says why."""


def written(found):
    """The octets of a snapshot."""
    body = orjson.dumps(endpoint_snapshot.plain(found))
    mark = blake2b(body, digest_size=16).hexdigest().encode()
    return MAGIC + mark + b" %d\n" % len(body) + body


def read(data):
    """The Fleet in the octets of a snapshot; Unreadable where they are none."""
    head, line, body = data.partition(b"\n")
    words = head.removeprefix(MAGIC).split(b" ")
    if not line or not head.startswith(MAGIC) or len(words) != 2 or not words[1].isdigit():
        raise Unreadable("it does not begin as a snapshot")
    if len(body) != int(words[1][:12]):
        raise Unreadable(f"it has {len(body)} octets of {words[1][:12].decode()}")
    if blake2b(body, digest_size=16).hexdigest().encode() != words[0]:
        raise Unreadable("its checksum is another one")
    try:
        return endpoint_snapshot.restored(orjson.loads(body))
    except (ValueError, orjson.JSONDecodeError) as error:
        raise Unreadable(str(error)) from None


def save(folder, found):
    path = os.path.join(folder, NAME)
    fresh = f"{path}.{os.getpid()}"
    with open(fresh, "wb") as file:
        file.write(written(found))
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    holder = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(holder)
    finally:
        os.close(holder)


def load(folder):
    """The Fleet that was saved, None where none was. Raises Unreadable."""
    try:
        with open(os.path.join(folder, NAME), "rb") as file:
            data = file.read(MOST + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise Unreadable(error.strerror) from None
    if len(data) > MOST:
        raise Unreadable("it is too long")
    return read(data)
