"""Tests the parsing of documents in KDL and JSON, and the code of each error."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from endpoints.support import GOOD
from wickvane.endpoints.document import parse_document, seal
from wickvane.endpoints.findings import REMEDIES, DocumentError
from wickvane.endpoints.snapshot import Endpoint
from wickvane.events import EngineState


def test_a_document_is_parsed_in_both_formats() -> None:
    document = parse_document(seal(GOOD.encode()), "m.kdl", is_seal_required=True)
    first, second, third = document.endpoints
    assert (document.generation, first) == (7, Endpoint("e1", ("10.0.0.1", 5001), "a", "old", 2, 5, 1.0))
    assert second.state == EngineState.DRAINING
    assert third.state == EngineState.DRAINING and third.weight == 0.5
    assert document.lines == {"e1": 2, "e2": 3, "e3": 4}
    json_document = {
        "generation": 7,
        "engines": [
            {"name": "e1", "address": "10.0.0.1:5001", "zone": "a", "type": "old", "group": 2, "since_ms": 5},
            {"name": "e2", "address": "10.0.0.2:5001", "weight": 0},
            {"name": "e3", "address": "[::1]:5001", "status": "Terminating", "weight": 0.5},
        ],
    }
    from_json = parse_document(json.dumps(json_document).encode(), "m.json")
    assert (from_json.generation, from_json.endpoints) == (document.generation, document.endpoints)


@pytest.mark.parametrize(
    "text, code",
    [
        ("", "no-document"),
        ("members {", "no-document"),
        ("members {} members {}", "no-document"),
        ("members { engine }", "no-document"),
        ('members { engine "a" "b" }', "no-document"),
        ('include "other.kdl"', "unknown-node"),
        ('members { include "o.kdl" }', "unknown-node"),
        ('members { engine "a" adress="1.2.3.4:1" }', "unknown-node"),
        ("members colour=1 {}", "unknown-node"),
        ('members { engine "a" }', "address-missing"),
        ('members { engine "a" address="x" }', "value-wrong"),
        ('members { engine 5 address="1.2.3.4:1" }', "value-wrong"),
        ('members { engine "" address="1.2.3.4:1" }', "value-wrong"),
        ('members { engine "a" address=5 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=-1 }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#nan }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#inf }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight="1" }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=#true }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" weight=101 }', "weight-wrong"),
        ('members { engine "a" address="1.2.3.4:1" status="Gone" }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" zone=5 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" group=-1 }', "value-wrong"),
        ('members { engine "a" address="1.2.3.4:1" since-ms=#nan }', "value-wrong"),
        ("members generation=0 {}", "generation-wrong"),
        ("members generation=1.5 {}", "generation-wrong"),
        ("members generation=99999999 {}", "generation-wrong"),
        ('members generation="7" {}', "generation-wrong"),
        ('members { engine "a" address="1.2.3.4:1"\n engine "a" address="1.2.3.4:2" }', "name-twice"),
        ("members { a {" * 5_000, "too-deep"),
        ("{" * 100_000, "too-deep"),
        ("members {}\n//! length=3 blake2b=" + "0" * 32, "length-wrong"),
        ("members {}\n//! length=11 blake2b=" + "0" * 32, "checksum-wrong"),
        ("members {}\n//! length=11", "length-wrong"),
    ],
)
def test_each_error_of_a_kdl_document_has_its_code(text: str, code: str) -> None:
    with pytest.raises(DocumentError) as raised:
        parse_document(text.encode(), "m.kdl")
    finding = raised.value.finding
    assert finding.code == code and "m.kdl" in finding.sentence() and REMEDIES[code] in finding.sentence()


@pytest.mark.parametrize(
    "text, code",
    [
        (b"[" * 100_000, "too-deep"),
        (b"5", "no-document"),
        (b'{"engines": 5}', "no-document"),
        (b'{"engines": [5]}', "no-document"),
        (b'{"engines": [], "more": 1}', "unknown-node"),
        (b'{"engines": [{"name": "a", "include": 1}]}', "unknown-node"),
        (b'{"engines"\n', "no-document"),
        (b'{"engines": [{"name": "a", "address": "h:1", "weight": 1e999}]}', "no-document"),
        (b'{"engines": [{"name": "a", "address": null}]}', "address-missing"),
        (b"\xff", "not-utf8"),
    ],
)
def test_each_error_of_a_json_document_has_its_code(text: bytes, code: str) -> None:
    with pytest.raises(DocumentError) as raised:
        parse_document(text, "m.json")
    assert raised.value.finding.code == code


@pytest.mark.parametrize("is_sealed", [False, True])
@pytest.mark.parametrize("name", ["m.kdl", "m.json"])
def test_a_truncated_document_is_rejected(is_sealed: bool, name: str) -> None:
    rows = [{"name": f"e{n}", "address": f"10.0.0.{n}:5"} for n in range(3)]
    text = GOOD if name == "m.kdl" else json.dumps({"engines": rows}, indent=1)
    complete = seal(text.encode()) if is_sealed else text.strip().encode()
    assert parse_document(complete, name, is_sealed).endpoints
    for size in range(len(complete) - (1 if not is_sealed else 2)):  # the final line break is optional
        with pytest.raises(DocumentError):
            parse_document(complete[:size], name, is_sealed)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.sampled_from(["m.kdl", "m.json"]))
def test_arbitrary_octets_are_parsed_or_rejected(data: bytes, name: str) -> None:
    for document in (data, GOOD.encode()[:60] + data, b'{"engines": [' + data):
        try:
            parse_document(document, name)
        except DocumentError as raised:
            assert raised.finding.code in REMEDIES
