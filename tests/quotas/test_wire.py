"""Payloads that are not valid messages of the quotas are rejected."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wickvane.quotas import wire


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected_or_decoded_to_a_valid_message(data):
    message = wire.decode(data)
    assert message is None or wire.encode(message)


def test_a_lease_message_of_an_unknown_kind_is_rejected():
    known = wire.GossipMessage(leases=[wire.LeaseEntry(wire.LeaseKind.RELEASE, 0, 1, 0, 0)])
    unknown = wire.GossipMessage(leases=[wire.LeaseEntry(3, 0, 1, 0, 0)])
    assert wire.decode(wire.encode(known)) == known
    assert wire.decode(wire.encode(unknown)) is None
