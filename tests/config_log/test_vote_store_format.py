"""Vote files written by commit c5b2902 are loaded, and saved again byte for byte.

tests/data/vote-store-c5b2902 was written by the vote store of that commit: a file with each kind of entry,
the file of a new voter, and the final file of a node in the simulation of seed 1 (test_message_digest.py).
"""

import shutil
from hashlib import blake2b
from pathlib import Path

import pytest

from config_log.plain_records import plain_state
from wickvane.config_log.vote_store import VoteStore

FIXTURES = Path(__file__).parents[1] / "data" / "vote-store-c5b2902"


def opened(tmp_path: Path, name: str) -> VoteStore:
    shutil.copytree(FIXTURES / name, tmp_path / name)
    return VoteStore(tmp_path / name, "other")


def policy(number: int) -> tuple:
    text = f'policy {{ group "lookup" {{ timeout "{number}s" }} }}\n'
    digests = {
        1: "793dc0588c965041dc6b7afa65bdc94c",
        2: "caf39bd6eb279b94e3143d45aea50ebb",
        3: "2f2e490b0aa481fb1fdcf6f293028c1c",
    }
    return (number, digests[number], text, "alice@example.org", f"règle n°{number}")


def test_a_file_with_every_kind_of_entry_is_read(tmp_path):
    store = opened(tmp_path, "all-commands")
    assert not store.is_new and store.discard_reason is None and store.node_id == "n1/0123456789abcdef"
    assert plain_state(store.state) == (
        7,
        "n2/fedcba9876543210",
        (
            (1, 0, None),
            (1, 1, policy(1)),
            (1, 2, 1),
            (3, 0, None),
            (3, 4, ("n1/0123456789abcdef", "n2/fedcba9876543210", "n3/00")),
            (3, 1, policy(2)),
            (3, 3, (2, "no majority of voters closed in time")),
            (7, 0, None),
            (7, 1, policy(3)),
            (7, 2, 3),
        ),
    )


def test_a_file_of_a_new_voter_is_read(tmp_path):
    store = opened(tmp_path, "new-voter")
    assert not store.is_new and store.discard_reason is None and store.node_id == "n4/0123456789abcdef"
    assert plain_state(store.state) == (0, None, ())


def test_a_file_of_a_simulated_fleet_is_read(tmp_path):
    store = opened(tmp_path, "played")
    assert not store.is_new and store.discard_reason is None and store.node_id == "n1/0"
    term, voted_for, log = plain_state(store.state)
    assert (term, voted_for, len(log)) == (27, "n2/10", 160)
    assert log[-3:] == (
        (26, 3, (57, "by hand")),
        (27, 0, None),
        (27, 1, (58, "692e7869be71b02c83b5f5ae6e37f382", "text 58", "n2", "because")),
    )
    digest = blake2b(repr(plain_state(store.state)).encode(), digest_size=16).hexdigest()
    assert digest == "ee258a4fd5e2038578585f59c1f14e8d"


@pytest.mark.parametrize("name", ["all-commands", "new-voter", "played"])
def test_a_loaded_file_is_saved_byte_for_byte(tmp_path, name):
    store = opened(tmp_path, name)
    store.save(store.state)
    assert (tmp_path / name / "vote").read_bytes() == (FIXTURES / name / "vote").read_bytes()
