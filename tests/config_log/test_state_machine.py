"""The state machine of policies: equal on all nodes; no number has two documents or is active twice."""

from hypothesis import given, settings
from hypothesis import strategies as st

from config_log.rollout_helpers import applied, proposed
from wickvane.config_log.log_entry import AbandonPolicy, ActivatePolicy, LogEntry, NoOp
from wickvane.config_log.state_machine import PolicyStateMachine, content_digest


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.builds(proposed, st.integers(0, 4), st.sampled_from("ab")),
            st.builds(LogEntry, st.just(1), st.builds(ActivatePolicy, st.integers(0, 4))),
            st.builds(LogEntry, st.just(1), st.builds(AbandonPolicy, st.integers(0, 4), st.just("why"))),
            st.builds(LogEntry, st.just(1), st.just(NoOp())),
        ),
        max_size=30,
    )
)
def test_a_number_keeps_its_document_and_never_becomes_active_again(entries):
    machine = PolicyStateMachine("first")
    digests = {0: content_digest("first")}
    active_numbers = [0]
    for index, entry in enumerate(entries, 1):
        machine.apply(index, entry)
        assert not machine.apply(index, entry)  # a second delivery
        for number, record in machine.history.items():
            assert digests.setdefault(number, record.digest) == record.digest
        if machine.active_number != active_numbers[-1]:
            active_numbers.append(machine.active_number)
        pending = machine.pending_number
        assert pending is None or pending == machine.last_number > machine.active_number
    assert active_numbers == sorted(set(active_numbers))
    assert vars(applied(*entries)) == vars(machine)
