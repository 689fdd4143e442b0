"""Leases units of one budget; only one dispatcher may spend a unit at a time. Free of I/O.

The units of a budget are divided once, by the configured number of dispatchers: each dispatcher permanently
owns its units (escrow transactions, O'Neil 1986; bounded counters, Balegas and others 2015). As a *lessor*, a
dispatcher grants units that it does not need for one term (leases, Gray and Cheriton 1989). It cannot revoke
a lease: it gets the units back when the holder releases them, or when the lease has certainly expired.

Two dispatchers never spend the same unit, for these reasons:
- The holder counts the term from its *request*, the lessor from its grant, which is later. The lessor also
  waits for a grace period, which covers the maximum drift of clocks. So the holder's lease has expired by the
  holder's own clock before the lessor spends the units again, even if datagrams were delayed. A holder whose
  process was suspended finds its lease expired when it next reads its clock, which it does before it spends.
- Spending is limited per rate window. Transferred units stay unused for one window, so that no window counts
  them twice: leased units are usable one window after the grant, released units one window after the release.
- After a restart, a lessor does not know what its former incarnation granted. Until a term, the grace period
  and a window have passed, it spends only its reserved units, which are never leased out, and grants nothing.
  It also does not know what its former incarnation spent just before the restart: if `usable_at_once` is
  False, it spends nothing for one window.
- A lease is identified by its holder's incarnation and a number that the holder assigns. The lessor fences
  numbers of leases that have ended, so that a delayed or duplicated datagram never grants them again.

A dispatcher that receives no messages gets its own units back within one term, the grace period and a window,
and no other dispatcher ever spends its reserved units. Times are ticks of the local monotonic clock.
"""

from collections.abc import Hashable
from typing import NamedTuple

MAX_FENCED_HOLDERS = 4096
MAX_LEASES = 64  # granted by one lessor, and requested by one holder


class GrantedLease(NamedTuple):
    """A lease as its lessor records it; at `expires_at` its holder has certainly stopped spending."""

    units: int
    expires_at: int


class HeldLease(NamedTuple):
    """A lease as its holder records it."""

    lessor: Hashable
    units: int
    usable_from: int
    expires_at: int


class PendingRequest(NamedTuple):
    """A request or a renewal; a valid grant repeats a time between the first and the last request."""

    lessor: Hashable
    first_requested_at: int
    last_requested_at: int


class ReleasedUnits(NamedTuple):
    """Units that a holder has released; their owner may spend them from `usable_from` on."""

    units: int
    usable_from: int


class Escrow:
    """One dispatcher's units of one budget, as a lessor and as a holder of leases."""

    def __init__(
        self,
        now: int,
        owned_units: int,
        reserved_units: int,
        term: int,
        rate_window: int,
        drift_permille: int = 10,
        usable_at_once: bool = True,
    ) -> None:
        """Starts without leases.

        reserved_units: owned units that are never leased out. drift_permille: maximum drift between two
        clocks over a term. usable_at_once: whether a new incarnation may spend within its first rate window.
        """
        self.owned_units = owned_units
        self.reserved_units = reserved_units
        self.term = term
        self.rate_window = rate_window
        self.grace_period = term * drift_permille // 1000 + 1
        # At this time all leases that a former incarnation granted have expired.
        self.recovered_at = now + self.term + self.grace_period + rate_window
        self.usable_from = now if usable_at_once else now + rate_window
        self.granted: dict[tuple[Hashable, int], GrantedLease] = {}  # by holder and number
        self.released: list[ReleasedUnits] = []
        self.fenced: dict[Hashable, int] = {}  # by holder: the highest number of an ended lease
        self.last_number = 0
        self.requests: dict[int, PendingRequest] = {}  # by own number
        self.held: dict[int, HeldLease] = {}  # by own number

    def leased_out_units(self) -> int:
        """Returns the owned units that are leased out or were released less than a rate window ago."""
        granted = sum(lease.units for lease in self.granted.values())
        return granted + sum(units for units, _ in self.released)

    def expire(self, now: int) -> None:
        """Removes expired leases and requests; every decision calls this first."""
        for lease_id in list(self.granted):
            if now >= self.granted[lease_id].expires_at:
                # The expiry time includes the rate window, so the units are usable at once.
                self._end_grant(lease_id)
        self.released = [released for released in self.released if now < released.usable_from]
        for number, lease in list(self.held.items()):
            if now >= lease.expires_at:
                del self.held[number]
                self.requests.pop(number, None)
        for number, request in list(self.requests.items()):
            if now >= request.last_requested_at + self.term:
                self.requests.pop(number)

    def own_usable_units(self, now: int) -> int:
        """Returns the owned units that may be spent now."""
        self.expire(now)
        free_units = self.owned_units - self.leased_out_units() if now >= self.usable_from else 0
        return free_units if now >= self.recovered_at else min(free_units, self.reserved_units)

    def usable_units(self, now: int) -> int:
        """Returns the units that may be spent now, both owned units and leased ones."""
        own_units = self.own_usable_units(now)
        leased = sum(
            lease.units for lease in self.held.values() if lease.usable_from <= now < lease.expires_at
        )
        return own_units + leased

    # As a holder

    def request(self, now: int, lessor: Hashable) -> int | None:
        """Returns the number of a new lease to request from a lessor, or None if MAX_LEASES are pending."""
        self.expire(now)
        if len(self.requests) >= MAX_LEASES:
            return None
        self.last_number += 1
        self.requests[self.last_number] = PendingRequest(lessor, now, now)
        return self.last_number

    def renew(self, now: int, number: int) -> bool:
        """Records that a request or lease is renewed at this time; returns False if it has expired.

        The renewal message must carry the time `now`.
        """
        self.expire(now)
        request = self.requests.get(number)
        if request is None:
            return False
        self.requests[number] = request._replace(last_requested_at=now)
        return True

    def accept_grant(self, now: int, lessor: Hashable, number: int, units: int, requested_at: int) -> bool:
        """Accepts a lessor's grant; returns False if it is not valid.

        A grant that is too late, or that answers no request of this incarnation, is not valid. requested_at:
        the time of the request by this dispatcher's clock.
        """
        self.expire(now)
        request = self.requests.get(number)
        if request is None or request.lessor != lessor or units <= 0:
            return False
        if not request.first_requested_at <= requested_at <= request.last_requested_at:
            return False
        expires_at = requested_at + self.term
        if now >= expires_at:
            return False
        lease = self.held.get(number)
        if lease is None:
            self.held[number] = HeldLease(lessor, units, now + self.rate_window, expires_at)
        else:
            self.held[number] = lease._replace(expires_at=max(lease.expires_at, expires_at))
        return True

    def release(self, now: int, number: int) -> bool:
        """Stops spending a lease, so that its lessor may be notified; returns whether it was held."""
        self.requests.pop(number, None)
        return self.held.pop(number, None) is not None

    # As a lessor

    def grant(self, now: int, holder: Hashable, number: int, units: int, needed_units: int) -> int:
        """Grants or renews a lease; returns its units, or 0 if nothing is granted.

        units: the maximum to grant. needed_units: owned units that this dispatcher needs itself.
        """
        own_units = self.own_usable_units(now)
        expires_at = now + self.term + self.grace_period + self.rate_window
        lease = self.granted.get((holder, number))
        if lease is not None:
            self.granted[holder, number] = lease._replace(expires_at=max(lease.expires_at, expires_at))
            return lease.units
        if number <= self.fenced.get(holder, 0):
            return 0
        if now < self.recovered_at or len(self.granted) >= MAX_LEASES:
            return 0
        units = min(units, own_units - max(self.reserved_units, needed_units))
        if units <= 0:
            return 0
        self.granted[holder, number] = GrantedLease(units, expires_at)
        return units

    def accept_release(self, now: int, holder: Hashable, number: int) -> bool:
        """Ends a lease that its holder has released; returns whether it was granted.

        Its units are usable after one rate window.
        """
        self.expire(now)
        lease = self.granted.get((holder, number))
        if lease is None:
            self._fence(holder, number)
            return False
        self._end_grant((holder, number))
        self.released.append(ReleasedUnits(lease.units, now + self.rate_window))
        return True

    def _end_grant(self, lease_id: tuple[Hashable, int]) -> None:
        del self.granted[lease_id]
        self._fence(*lease_id)

    def _fence(self, holder: Hashable, number: int) -> None:
        # If a fence is dropped at the bound, a delayed request can make units unusable for at most one term.
        self.fenced[holder] = max(number, self.fenced.pop(holder, 0))
        if len(self.fenced) > MAX_FENCED_HOLDERS:
            del self.fenced[next(iter(self.fenced))]
