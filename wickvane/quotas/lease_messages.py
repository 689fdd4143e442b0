"""What lessors and holders of leases send each other; on the wire, wickvane.quotas.wire encodes it."""

from typing import NamedTuple


class LeaseRequest(NamedTuple):
    """A holder requests or renews a lease.

    budget: its index; number: of the lease, by the holder's own counting; units: requested at most;
    requested_at: the holder's clock, which the grant repeats.
    """

    budget: int
    number: int
    units: int
    requested_at: int


class LeaseGrant(NamedTuple):
    """A lessor grants or renews a lease; its term began at `requested_at` by the holder's clock."""

    budget: int
    number: int
    units: int
    requested_at: int


class LeaseRelease(NamedTuple):
    """A holder has stopped spending a lease, or does not take its grant."""

    budget: int
    number: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
