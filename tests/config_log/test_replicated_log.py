"""The log's voters and its consistency check, compared with a linear search of the entries."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.config_log.log_entry import ChangeVoters, LogEntry, NoOp
from wickvane.config_log.replicated_log import ReplicatedLog

COMMANDS = st.one_of(
    st.just(NoOp()), st.builds(ChangeVoters, st.lists(st.sampled_from("abc"), max_size=3).map(tuple))
)
ENTRIES = st.lists(st.builds(LogEntry, st.integers(1, 3), COMMANDS), max_size=4)


@settings(max_examples=300, deadline=None)
@given(ENTRIES, st.lists(st.tuples(st.integers(0, 8), ENTRIES), max_size=8))
def test_the_latest_voters_are_those_of_the_last_entry_that_changes_them(initial, replicated):
    log = ReplicatedLog(initial)
    for previous_index, entries in replicated:
        before = list(log.entries)
        changed = log.replicate(min(previous_index, len(log)), entries)
        assert changed == (log.entries != before) or [e.term for e in log.entries] == [e.term for e in before]
        for state in (log, log.copy()):
            indices = [n for n, e in enumerate(state.entries, 1) if isinstance(e.command, ChangeVoters)]
            voters = state.entry_at(indices[-1]).command.voters if indices else None
            assert state.latest_voters() == voters
            for index in range(len(state) + 1):
                assert state.changes_voters_after(index) == any(n > index for n in indices)


def test_the_consistency_check_compares_terms_and_accepts_index_zero():
    log = ReplicatedLog([LogEntry(1, NoOp()), LogEntry(3, NoOp())])
    assert log.contains(0, 0) and log.contains(1, 1) and log.contains(2, 3)
    assert not log.contains(2, 1) and not log.contains(3, 3)
    assert ReplicatedLog().last_position() == (0, 0) and log.last_position() == (3, 2)
