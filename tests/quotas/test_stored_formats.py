"""Wire messages and state folders of commit c5b2902 are read correctly and written to the same bytes."""

import hashlib
import json
from pathlib import Path

import pytest

from wickvane.quotas import command, wire
from wickvane.rehearsal import script as scripts
from wickvane.rehearsal.shared import Shared

DATA = Path(__file__).parents[1] / "data" / "quotas-c5b2902"
REHEARSAL = json.loads((DATA / "rehearsal.json").read_text())
MESSAGES = {
    case["case"]: case for case in map(json.loads, (DATA / "messages.jsonl").read_text().splitlines())
}
# Fields of a message: from their names in the fixture to those in the code.
FIELDS = {
    "levels": "gauges",
    "sums": "counters",
    "words": "leases",
    "opinions": "engine_reports",
    "works": "tenant_usage",
}


def as_lists(value):
    """Returns a value with all tuples as lists, as in JSON."""
    return [as_lists(item) for item in value] if isinstance(value, list | tuple) else value


def test_the_fixture_has_all_cases():
    assert set(MESSAGES) == {"empty", "levels", "sums", "words", "opinions", "works", "all"}
    assert len(REHEARSAL["samples"]) == 6


@pytest.mark.parametrize("case", MESSAGES)
def test_a_recorded_message_is_decoded_to_its_fields_and_encoded_to_the_same_bytes(case):
    payload = bytes.fromhex(MESSAGES[case]["payload"])
    message = wire.decode(payload)
    assert message.version == 1
    for recorded_name, field in FIELDS.items():
        assert as_lists(getattr(message, field)) == MESSAGES[case]["fields"].get(recorded_name, [])
    assert wire.encode(message) == payload


@pytest.mark.parametrize("sample", REHEARSAL["samples"], ids=lambda sample: sample[0])
def test_a_message_of_a_rehearsal_is_encoded_to_the_same_bytes(sample):
    parts, payload = sample[0].split("+"), bytes.fromhex(sample[1])
    message = wire.decode(payload)
    assert (
        sorted(recorded_name for recorded_name, field in FIELDS.items() if getattr(message, field)) == parts
    )
    assert wire.encode(message) == payload


def test_all_messages_of_a_rehearsal_have_the_recorded_digest(monkeypatch):
    digest, lengths, encode = hashlib.sha256(), [], wire.encode

    def recording_encode(message):
        payload = encode(message)
        digest.update(payload)
        lengths.append(len(payload))
        return payload

    monkeypatch.setattr(wire, "encode", recording_encode)
    world = Shared(
        scripts.read_text(REHEARSAL["day"]),
        REHEARSAL["seed"],
        loss=0.1,
        uneven=0.8,
        blocked=[(n, "e2") for n in range(6)],
    )
    # The recorded run read every status at these times, which expires leases.
    for at in range(20_000, 110_000, 1_000):
        world.at(at, lambda: [member.spread.status() for member in world.members])
    outcome = world.play()
    assert outcome.service(0, 12) == REHEARSAL["served"]
    assert len(lengths) == REHEARSAL["messages"]
    assert digest.hexdigest() == REHEARSAL["sha256"]
    assert world.members[1].spread.status() == REHEARSAL["last_status"]


@pytest.mark.parametrize("case", ["held", "lent"])
@pytest.mark.parametrize("as_json, output", [(False, "output.txt"), (True, "output-json.txt")])
def test_a_recorded_state_folder_is_shown_as_recorded(case, as_json, output, capsys):
    assert command.main({"--state": str(DATA / case), "--json": as_json}) == 0
    assert capsys.readouterr().out == (DATA / case / output).read_text()


def test_decoded_lease_messages_are_encoded_to_the_same_entries():
    for entry in wire.decode(bytes.fromhex(MESSAGES["words"]["payload"])).leases:
        message = wire.lease_message(entry)
        assert message.budget == entry.budget and message.number == entry.number
        # The units and the time of a release are not used; the last entry of the fixture is a request.
        assert wire.lease_entry(message) == entry
