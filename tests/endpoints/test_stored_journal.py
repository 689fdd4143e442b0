"""Tests that state folders written by commit c5b2902 are recovered with their literal generations."""

import shutil
from pathlib import Path

import orjson
import pytest

from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.journal import MAGIC, Journal, frame_record, parse_journal, read_journal
from wickvane.endpoints.records import decode_record, encode_record
from wickvane.endpoints.snapshot import Endpoint
from wickvane.endpoints.state_folder import recover_records
from wickvane.endpoints.status import status_document
from wickvane.endpoints.topology import Topology
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND

FIXTURES = Path(__file__).parent.parent / "data" / "endpoint-journal-c5b2902"
TOPOLOGY = Topology({"old": 8, "new": 4}, frozenset(("a", "b")), (), 0.3, 15 * TICKS_PER_SECOND)
NOW = 17_000_001_000_000
ALL_READY = {f"e{n}": (EngineState.READY, 1.0) for n in range(10)}
DRAINED = (EngineState.DRAINING, 0.0)
E1_AT_A_FIFTH = {"e1": (EngineState.READY, 0.2)}


def recover(folder: Path) -> EndpointList:
    """Returns the endpoint list recovered from the journal in a state folder."""
    records, size, _ = read_journal(str(folder))
    assert size == (folder / "journal.wickvane").stat().st_size  # all records are valid
    endpoint_list = EndpointList(TOPOLOGY, ChangePolicy())
    recover_records(endpoint_list, records)
    return endpoint_list


def contents(endpoints: dict[str, Endpoint]) -> dict[str, tuple[EngineState, float]]:
    """Returns the state and weight of each endpoint by name."""
    return {name: (endpoint.state, endpoint.weight) for name, endpoint in endpoints.items()}


def generations(endpoint_list: EndpointList) -> dict[int, tuple]:
    """Returns the digest, time and author of each generation in the history."""
    return {
        number: (generation.snapshot.digest, generation.at, generation.author)
        for number, generation in endpoint_list.generations.history.items()
    }


GENERATIONS = {
    1: ("c1b8b6aa3f8bde74", 17_000_000_002_000, "file of root"),
    2: ("09c4332a3d0042b7", 17_000_000_004_000, "file of root"),
    5: ("a595a631ed9de8f0", 17_000_000_126_000, "file of root"),
    7: ("cb89601d06f5ac60", 17_000_000_914_000, "file of root"),
}


def test_single_records_give_the_literal_generations() -> None:
    """The journal has every kind of record; a rollback to 1 is current, and 9 waits for its confirmation."""
    endpoint_list = recover(FIXTURES / "records")
    assert generations(endpoint_list) == GENERATIONS
    history = {
        number: contents(generation.snapshot.endpoints)
        for number, generation in endpoint_list.generations.history.items()
    }
    assert history == {
        1: ALL_READY,
        2: ALL_READY | E1_AT_A_FIFTH,
        5: ALL_READY | {"e2": DRAINED},
        7: {name: value for name, value in (ALL_READY | {"e2": DRAINED}).items() if name != "e9"},
    }
    assert contents(endpoint_list.generations.target.endpoints) == ALL_READY
    endpoint_list.start(NOW)
    assert status_document(endpoint_list) == {
        "generation": 7,
        "of": 1,
        "digest": "c1b8b6aa3f8bde74",
        "number": 61_573_724_897_280,
        "engines": 10,
        "ready": 10,
        "leaving": [],
        "pending": 0,
        "stepping": False,
        "stopped": False,
        "old": True,
        "held": None,
        "refused": None,
    }
    logged = [(row["what"], row.get("generation")) for row in endpoint_list.audit_log.rows]
    assert logged == [
        ("taken", 1),
        ("taken", 2),
        ("stopped", 2),
        ("resumed", 2),
        ("taken", 5),
        ("refused", 4),
        ("refused", 6),
        ("held", 6),
        ("lapsed", 6),
        ("taken", 7),
        ("taken", 7),
        ("held", 9),
    ]


def test_a_checkpoint_and_a_record_after_it_give_the_literal_generations() -> None:
    """The compacted journal has the same history, followed by generation 11."""
    endpoint_list = recover(FIXTURES / "compacted")
    assert generations(endpoint_list) == GENERATIONS | {
        11: ("888c001e559bb21a", 17_000_000_918_000, "file of root")
    }
    assert contents(endpoint_list.generations.target.endpoints) == ALL_READY | {"e3": DRAINED}
    status = status_document(endpoint_list)
    assert (status["generation"], status["of"], status["number"]) == (11, None, 96_757_560_115_200)
    assert (status["engines"], status["ready"]) == (10, 9)


@pytest.mark.parametrize("name", ["records", "compacted"])
def test_decoded_records_are_encoded_to_the_same_bytes(name: str, tmp_path: Path) -> None:
    """Records that are decoded and encoded again keep their bytes, and the journal can be appended to."""
    written = (FIXTURES / name / "journal.wickvane").read_bytes()
    found, _, _ = parse_journal(written)
    data = MAGIC
    checksum = b""
    for record in found:
        octets, checksum = frame_record(checksum, encode_record(decode_record(record)))
        data += octets
    assert data == written
    shutil.copytree(FIXTURES / name, tmp_path / "state")
    opened = Journal(str(tmp_path / "state"))
    assert opened.read() == found
    opened.append({"what": "stopped", "at": NOW, "generation": 7, "who": "anna"})
    opened.close()
    assert read_journal(str(tmp_path / "state")).records == [
        *found,
        orjson.loads(orjson.dumps({"what": "stopped", "at": NOW, "generation": 7, "who": "anna"})),
    ]


@pytest.mark.parametrize(
    "name, generation, digest", [("records", 7, "c1b8b6aa3f8bde74"), ("compacted", 11, "888c001e559bb21a")]
)
def test_the_status_file_agrees_with_the_journal(name: str, generation: int, digest: str) -> None:
    """The status.json of that commit has the fields that the command reads."""
    status = orjson.loads((FIXTURES / name / "status.json").read_bytes())
    endpoint_list = recover(FIXTURES / name)
    assert (status["generation"], status["digest"]) == (generation, digest)
    endpoint_list.start(NOW)
    recovered = status_document(endpoint_list)
    # A held change is not recovered but held again when its file is read, and a recovered list is stale
    # (`old`) until a file agrees with it.
    shared = [field for field in recovered if field not in ("held", "old")]
    assert {field: status[field] for field in shared} == {field: recovered[field] for field in shared}
