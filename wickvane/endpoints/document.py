"""Parses one file of a list completely, or raises a DocumentError; free of I/O.

    members generation=7 {
        engine "e1" address="10.0.0.1:5001" zone="dc" type="old" weight=1.0 group=0 since-ms=0
        engine "e2" address="10.0.0.2:5001" weight=0        // drained by hand
        engine "e3" address="10.0.0.3:5001" status="Terminating"
    }
    //! length=312 blake2b=0f...

JSON has the same content under the coordinator's field names: {"generation": 7, "engines": [{"name": ...,
"address": ..., "zone": ..., "type": ..., "group": ..., "weight": ..., "since_ms": ..., "status": ...}]}. Both
formats may end with a seal line, which contains the number of octets before it and their BLAKE2b digest of
16 octets. A truncated document without a seal is still rejected, since its last brace is missing.
"""

import math
import re
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from wickvane.endpoints.document_formats import MAX_NAME_LENGTH, line_numbers, read_rows
from wickvane.endpoints.findings import DocumentError
from wickvane.endpoints.snapshot import FIELDS_BY_DOCUMENT_NAME, Endpoint
from wickvane.events import EngineState
from wickvane.net.coordinator import STATES, address_of

SEAL_LINE = re.compile(rb"(?:\A|\n)(//! length=(\d{1,12}) blake2b=([0-9a-f]{32})[ \t\r]*\n?)\Z")
DAMAGED_SEAL_LINE = re.compile(rb"(?:\A|\n)//![^\n]*\n?\Z")
SEAL_DIGEST_SIZE = 16  # octets
MAX_WEIGHT = 100.0
MAX_GENERATION = (1 << 20) - 1
MAX_STARTED_MS = 1e14
MAX_CELL = (1 << 31) - 1
DEFAULT_MAX_ENGINES = 20_000
ENDPOINTS_PER_YIELD = 400  # endpoints that are parsed before other threads may run


class Document(NamedTuple):
    """The content of one file. lines: line number of each engine by name, as far as known."""

    file: str
    generation: int | None
    endpoints: tuple[Endpoint, ...]
    lines: dict[str, int]


def seal(data: bytes) -> bytes:
    """Returns the data followed by its seal line."""
    if data and not data.endswith(b"\n"):
        data += b"\n"
    digest = blake2b(data, digest_size=SEAL_DIGEST_SIZE).hexdigest()
    return data + b"//! length=%d blake2b=%b\n" % (len(data), digest.encode())


def unseal(data: bytes, file: str, is_seal_required: bool) -> bytes:
    """Returns the octets before the seal line. Raises DocumentError if they do not match it."""
    match = SEAL_LINE.search(data)
    if match is None:
        if DAMAGED_SEAL_LINE.search(data):
            raise DocumentError("length-wrong", "its seal line is truncated or malformed", file)
        if is_seal_required:
            raise DocumentError("seal-missing", "it has no seal line", file)
        return data
    body = data[: match.start(1)]
    if len(body) != int(match[2]):
        text = f"{len(body)} octets precede its seal line, which states {int(match[2])}"
        raise DocumentError("length-wrong", text, file)
    if blake2b(body, digest_size=SEAL_DIGEST_SIZE).hexdigest().encode() != match[3]:
        raise DocumentError("checksum-wrong", "its checksum does not match its seal line", file)
    return body


def parse_document(
    data: bytes,
    file: str,
    is_seal_required: bool = False,
    max_engines: int = DEFAULT_MAX_ENGINES,
    overrides_coordinator: bool = False,
    yield_thread: Callable[[], None] | None = None,
) -> Document:
    """Parses the data of a file.

    overrides_coordinator: engines need no address, and only the stated fields override the coordinator's.
    yield_thread: called every ENDPOINTS_PER_YIELD endpoints, so that a long list does not block other
    threads. Raises DocumentError.
    """
    text = _decode(unseal(data, file, is_seal_required), file)
    rows, generation = read_rows(text, file)
    if len(rows) > max_engines:
        raise DocumentError(
            "too-many-engines", f"it lists {len(rows)} engines of at most {max_engines}", file
        )
    if generation is not None and not _is_integer_within(generation, 1, MAX_GENERATION):
        raise DocumentError("generation-wrong", f"{str(generation)[:40]} is not a valid generation", file)
    lines = line_numbers(text, file)
    endpoints: dict[str, Endpoint] = {}
    for index, row in enumerate(rows):
        if yield_thread is not None and index % ENDPOINTS_PER_YIELD == ENDPOINTS_PER_YIELD - 1:
            yield_thread()
        endpoint = _RowParser(row, file, lines).parse(overrides_coordinator)
        name = endpoint.name
        if name in endpoints:
            raise DocumentError("name-twice", "it is listed twice in this file", file, lines.get(name), name)
        endpoints[name] = endpoint
    return Document(file, generation, tuple(endpoints.values()), lines)


def _decode(body: bytes, file: str) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        line = body.count(b"\n", 0, error.start) + 1
        raise DocumentError("not-utf8", f"not valid UTF-8 at octet {error.start}", file, line) from None


class _RowParser:
    """Validates the values of one engine's row."""

    __slots__ = ("file", "line", "name", "row")

    def __init__(self, row: dict[str, object], file: str, lines: dict[str, int]) -> None:
        self.row = row
        self.file = file
        name = row.get("name")
        if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
            raise DocumentError("value-wrong", f"{_quoted(name)} is not a valid engine name", file)
        self.name = name
        self.line = lines.get(name)

    def parse(self, overrides_coordinator: bool) -> Endpoint:
        """Returns the endpoint. Raises DocumentError."""
        row = self.row
        address = self._address(overrides_coordinator)
        weight = row.get("weight", 1.0)
        if not _is_number_within(weight, 0, MAX_WEIGHT):
            raise self._error("weight", "weight-wrong")
        started_ms = row.get("since_ms", 0)
        if not _is_number_within(started_ms, 0, MAX_STARTED_MS):
            raise self._error("since_ms")
        cell = row.get("group", 0)
        if not _is_integer_within(cell, 0, MAX_CELL):
            raise self._error("group")
        zone = self._optional_name("zone")
        kind = self._optional_name("type")
        state = self._state()
        if weight == 0:
            state = EngineState.DRAINING
        stated = None
        if overrides_coordinator:
            stated = frozenset(FIELDS_BY_DOCUMENT_NAME[field] for field in row if field != "name")
        return Endpoint(self.name, address, zone, kind, cell, started_ms, float(weight), state, stated)

    def _address(self, overrides_coordinator: bool) -> tuple[str, int] | None:
        text = self.row.get("address")
        if text is not None:
            try:
                return address_of(text)
            except (ValueError, AttributeError):
                raise self._error("address") from None
        if not overrides_coordinator:
            raise DocumentError("address-missing", "it has no address", self.file, self.line, self.name)
        return None

    def _optional_name(self, field: str) -> str | None:
        value = self.row.get(field)
        if value is not None and not (isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH):
            raise self._error(field)
        return value

    def _state(self) -> EngineState:
        status = self.row.get("status", "Ready")
        if not isinstance(status, str) or STATES.get(status, EngineState.GONE) == EngineState.GONE:
            raise self._error("status")
        return STATES[status]

    def _error(self, field: str, code: str = "value-wrong") -> DocumentError:
        text = f"{field} {_quoted(self.row.get(field))} is not a valid value"
        return DocumentError(code, text, self.file, self.line, self.name)


def _is_integer_within(value: object, low: int, high: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def _is_number_within(value: object, low: float, high: float) -> bool:
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and math.isfinite(value)
        and low <= value <= high
    )


def _quoted(value: object) -> str:
    text = repr(value) if isinstance(value, str) else str(value)
    return text if len(text) <= 60 else text[:57] + "..."
