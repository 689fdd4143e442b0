"""Converts entries, messages and effects to the plain tuples of commit c5b2902, for recorded digests."""

from enum import Enum

from wickvane.config_log.log_entry import LogEntry, PersistentState
from wickvane.config_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    CommitEntry,
    Effect,
    Message,
    PersistState,
    RequestVote,
    SendMessage,
    VoteResponse,
)
from wickvane.config_log.vote_codec import encode_entry


def plain(value: object) -> object:
    """Converts named tuples, lists and enumeration members to plain tuples and values."""
    if isinstance(value, (tuple, list)):
        return tuple(map(plain, value))
    return value.value if isinstance(value, Enum) else value


def plain_entry(entry: LogEntry) -> tuple:
    """Returns (term, kind, payload)."""
    return plain(encode_entry(entry))


def plain_state(state: PersistentState) -> tuple:
    """Returns (term, voted for, log)."""
    return state.current_term, state.voted_for, tuple(map(plain_entry, state.entries))


def plain_message(message: Message) -> tuple:
    """Returns a tuple of the number of the message's kind and its fields in order."""
    match message:
        case RequestVote(term, last_log_term, last_log_index, pre_vote):
            return (0, term, last_log_term, last_log_index, pre_vote)
        case VoteResponse(term, vote_granted, pre_vote):
            return (1, term, vote_granted, pre_vote)
        case AppendEntries(term, index, previous_term, entries, leader_commit):
            return (2, term, index, previous_term, tuple(map(plain_entry, entries)), leader_commit)
        case AppendEntriesResponse(term, success, match_index):
            return (3, term, success, match_index)


def plain_effect(effect: Effect) -> tuple:
    """Returns a tuple of the effect's kind and its fields in order."""
    match effect:
        case PersistState(state):
            return ("save", plain_state(state))
        case SendMessage(recipient, message):
            return ("send", recipient, plain_message(message))
        case CommitEntry(index, entry):
            return ("committed", index, plain_entry(entry))
