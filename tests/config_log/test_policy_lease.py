"""Leases on policy numbers: searches with messages in any order, crashes, and clocks that miss a tick.

A mutation of each guard must cause a violation.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from config_log.lease_model import replay, search
from config_log.mutation import mutated
from config_log.raft_model import VOTERS
from wickvane.config_log import policy_lease
from wickvane.config_log.policy_lease import LeaseHolder, Lessor


def test_no_interleaving_makes_the_old_number_valid_after_the_new():
    violation, states = search(20_000)
    print(f"{states} states")
    assert violation is None and states >= 20_000


FOUR_TICKS = ", ".join(["tick"] * 4)
# By name: the guard's source, its mutation, and steps that cause a violation with the mutation only.
MUTATIONS = {
    "a restarted voter ignores the leases that it granted": (
        "self.earlier_leases_expire_at = now + duration + self.drift_allowance",
        "self.earlier_leases_expire_at = now",
        "lease x a b, drain a b, crash a b, commit a b, activate a b, lease y a b",
    ),
    "a voter is drained while a lease is valid": (
        "            and all(now >= expiry for expiry in self.expires_at.values())\n",
        "",
        "lease x a b, drain a b, commit a b, activate a b, lease y a b",
    ),
    "a voter grants leases while it drains": (
        "if number != self.active_number or self.successor is not None:",
        "if number != self.active_number:",
        "drain a b, commit a b, lease x a b, activate a b, lease y a b",
    ),
    "a holder counts more than the granted duration": (
        "max(requested_at + self.duration,",
        "max(requested_at + 2 * self.duration,",
        f"lease x a b, {FOUR_TICKS}, drain a b, commit a b, activate a b, lease y a b",
    ),
    "a lease is valid without a majority": (
        "expiries[len(voters) // 2]",
        "expiries[0]",
        "lease x a, drain b c, commit b c, activate b c, lease y b c",
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_of_each_guard_of_leases_is_caught(name):
    before, after, script = MUTATIONS[name]
    assert replay(policy_lease, script) is None
    assert replay(mutated(policy_lease, before, after), script) is not None


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["grant", "release", "drain", "activate", "wait"]),
            st.integers(0, 4),
            st.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_a_lessor_never_activates_a_lower_number_nor_grants_an_inactive_one(steps):
    lessor = Lessor(0, 0, duration=10)
    now = 100
    max_number = 0
    for step, number, holder in steps:
        now += number
        match step:
            case "grant":
                may_grant = number == lessor.active_number and lessor.successor is None
                assert lessor.grant(now, holder, number) is may_grant
            case "wait":
                now += 10 * number
            case "release":
                lessor.release(holder)
            case "drain":
                lessor.drain(number)
            case "activate":
                lessor.activate(number)
        max_number = max(max_number, lessor.active_number)
        assert lessor.active_number == max_number


def test_a_holder_needs_the_grants_of_a_majority():
    holder = LeaseHolder(1, 10)
    holder.record_grant("a", 1, 100)
    assert not holder.is_valid(100, VOTERS)
    holder.record_grant("b", 1, 95)
    holder.record_grant("c", 2, 100)
    assert holder.is_valid(104, VOTERS) and not holder.is_valid(105, VOTERS) and holder.expires_at(()) == 0
    assert sorted(holder.release()) == ["a", "b"] and not holder.is_valid(100, VOTERS)
