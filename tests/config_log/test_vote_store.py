"""The vote file: loaded unchanged, discarded if it is damaged, kept if saving a new one fails."""

import os
from random import Random

import pytest

from config_log.rollout_helpers import proposed
from wickvane.config_log.log_entry import (
    ActivatePolicy,
    ChangeVoters,
    LogEntry,
    NoOp,
    PersistentState,
    UnknownCommand,
)
from wickvane.config_log.raft_node import RaftNode
from wickvane.config_log.vote_codec import VoteRecord, decode_vote_file, encode_vote_file
from wickvane.config_log.vote_store import VoteStore

ENTRIES = (
    LogEntry(1, NoOp()),
    proposed(1, "group { }\n"),
    LogEntry(2, ChangeVoters(("a/1", "b/2"))),
    LogEntry(2, ActivatePolicy(1)),
)


def test_a_saved_state_is_loaded_unchanged(tmp_path):
    first = VoteStore(tmp_path, "n1")
    assert first.is_new and first.node_id.startswith("n1/")
    first.save(PersistentState(3, "n2/ff", ENTRIES))
    reopened = VoteStore(tmp_path, "n1")
    assert (
        not reopened.is_new and reopened.node_id == first.node_id and reopened.state == (3, "n2/ff", ENTRIES)
    )
    node = RaftNode(0, reopened.node_id, ["a"], Random(1), reopened.state)
    assert node.voters() == ("a/1", "b/2") and node.log.last_position() == (2, 4)


def test_a_file_truncated_or_damaged_at_any_byte_is_discarded_and_gives_a_new_node_id(tmp_path):
    first = VoteStore(tmp_path, "n1")
    first.save(PersistentState(3, "n2/ff", ENTRIES))
    path = tmp_path / "vote"
    complete = path.read_bytes()
    for position in range(len(complete)):
        damaged = complete[:position] + bytes((complete[position] ^ 1,)) + complete[position + 1 :]
        for data in (complete[:position], damaged):
            path.write_bytes(data)
            store = VoteStore(tmp_path, "n1")
            assert store.is_new and store.discard_reason
            assert store.node_id != first.node_id and store.state == (0, None, ())


def test_a_failed_save_keeps_the_old_file_and_a_partial_file_is_not_read(tmp_path, monkeypatch):
    first = VoteStore(tmp_path, "n1")
    first.save(PersistentState(3, "n2/ff", ENTRIES))

    def fail(*arguments):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="No space"):
        first.save(PersistentState(4))
    monkeypatch.undo()
    assert (tmp_path / "vote.new").exists()
    assert VoteStore(tmp_path, "n1").state == (3, "n2/ff", ENTRIES)


def test_a_command_of_an_unknown_kind_or_form_is_kept_as_it_was_stored():
    unknown = (LogEntry(1, UnknownCommand(9, ("x", (1, 2)))), LogEntry(1, UnknownCommand(2, "no number")))
    data = encode_vote_file(VoteRecord("n1/ff", PersistentState(1, None, unknown)))
    assert decode_vote_file(data).state.entries == unknown
