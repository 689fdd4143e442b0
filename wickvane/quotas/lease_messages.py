"""Messages between lessors and holders of leases; wickvane.quotas.wire encodes them."""

from typing import NamedTuple


class LeaseRequest(NamedTuple):
    """A holder requests or renews a lease.

    budget: index of the budget; number: the lease's number, assigned by the holder; units: maximum to grant;
    requested_at: time by the holder's clock, which the grant repeats.
    """

    budget: int
    number: int
    units: int
    requested_at: int


class LeaseGrant(NamedTuple):
    """A lessor grants or renews a lease; the term begins at `requested_at` by the holder's clock."""

    budget: int
    number: int
    units: int
    requested_at: int


class LeaseRelease(NamedTuple):
    """A holder has stopped spending a lease, or declines its grant."""

    budget: int
    number: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
