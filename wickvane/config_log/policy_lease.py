"""Leases on the active policy, granted by a quorum of voters: no socket, clock or thread.

A dispatcher admits queries under a policy number only while a majority of the voters has granted it a lease
on that number. A voter grants leases on one number at a time, the active one. Once it knows of a successor
it drains: it grants the old number to nobody any more, and reports that it is drained when all its leases
were released or have expired. A majority that is drained shares a voter with every majority that ever
granted the old number, so nobody holds a lease on it then; only after that does an entry of the log
activate the new one.

A holder counts a lease's duration from when it sent the request, a voter from when it answered, which is
later, and the voter waits longer by the greatest drift between two clocks. A process that was suspended
must look at its own clock before it admits a query. A voter that restarts does not know which leases it
granted, so it does not report itself drained until a duration and its drift have passed. A voter's
successor is on disk before it reports itself drained. Times are ticks of clocks that do not step.

After the leases of Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
cache consistency" (1989).
"""

from collections.abc import Sequence

from wickvane.units import TICKS_PER_SECOND

LEASE_DURATION = 2 * TICKS_PER_SECOND
MAX_CLOCK_DRIFT_PER_MILLE = 10  # between any two clocks
MAX_LEASE_HOLDERS = 4096


class LeaseGrantor:
    """The voter's side of the leases on policy numbers."""

    def __init__(
        self,
        now: int,
        active_number: int,
        successor: int | None = None,
        duration: int = LEASE_DURATION,
        drift_per_mille: int = MAX_CLOCK_DRIFT_PER_MILLE,
    ) -> None:
        """Starts without knowledge of the leases that were granted before a restart.

        active_number: the number that it may grant; successor: the number that is to follow; both as the log
        and the disk have them.
        """
        self.active_number = active_number
        self.successor = successor
        self.duration = duration
        self.drift_allowance = duration * drift_per_mille // 1000 + 1
        # Until then leases may be valid that were granted before a restart.
        self.earlier_leases_expire_at = now + duration + self.drift_allowance
        self.expires_at: dict[str, int] = {}  # by holder

    def grant(self, now: int, holder: str, number: int) -> bool:
        """Whether the holder gets a lease on that number, counted from when it sent the request."""
        if number != self.active_number or self.successor is not None:
            return False
        if holder not in self.expires_at and len(self.expires_at) >= MAX_LEASE_HOLDERS:
            self._forget_expired(now)
            if len(self.expires_at) >= MAX_LEASE_HOLDERS:
                return False
        self.expires_at[holder] = now + self.duration + self.drift_allowance
        return True

    def release(self, holder: str) -> None:
        """The holder gave its lease up."""
        self.expires_at.pop(holder, None)

    def drain(self, successor: int) -> None:
        """Grants no lease any more, as a successor was committed.

        To be saved before is_drained() is reported to anybody.
        """
        if successor > self.active_number:
            self.successor = successor

    def is_drained(self, now: int) -> bool:
        """Whether no lease that this voter granted can be valid any more."""
        return (
            self.successor is not None
            and now >= self.earlier_leases_expire_at
            and all(now >= expiry for expiry in self.expires_at.values())
        )

    def activate(self, number: int) -> None:
        """Grants that number from now on: it was activated, or its successor abandoned; never a lower one."""
        if number > self.active_number:
            self.expires_at = {}
        if number >= self.active_number:
            self.active_number = number
            self.successor = None

    def _forget_expired(self, now: int) -> None:
        self.expires_at = {holder: expiry for holder, expiry in self.expires_at.items() if now < expiry}


class LeaseHolder:
    """A dispatcher's side of the leases, on one number at a time."""

    def __init__(self, number: int, duration: int = LEASE_DURATION) -> None:
        self.number = number
        self.duration = duration
        self.grants_expire_at: dict[str, int] = {}  # by voter, on this holder's clock

    def record_grant(self, voter: str, number: int, requested_at: int) -> None:
        """A voter granted what was requested at `requested_at` on this holder's clock."""
        if number == self.number:
            expiry = max(requested_at + self.duration, self.grants_expire_at.get(voter, 0))
            self.grants_expire_at[voter] = expiry

    def expires_at(self, voters: Sequence[str]) -> int:
        """When the lease of a majority of the voters expires; 0 where there is none."""
        expiries = sorted((self.grants_expire_at.get(voter, 0) for voter in voters), reverse=True)
        return expiries[len(voters) // 2] if expiries else 0

    def is_valid(self, now: int, voters: Sequence[str]) -> bool:
        """Whether queries may be admitted under this number now."""
        return now < self.expires_at(voters)

    def switch_to(self, number: int) -> None:
        """Goes over to a later number; grants of the earlier one no longer count."""
        if number > self.number:
            self.number = number
            self.grants_expire_at = {}

    def release(self) -> list[str]:
        """Gives the lease up; the voters that granted it, which may be notified."""
        voters = list(self.grants_expire_at)
        self.grants_expire_at = {}
        return voters
