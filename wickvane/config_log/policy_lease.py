"""Leases on the active policy, granted by a quorum of voters; uses no socket, clock or thread.

A dispatcher admits queries under a policy number only while a majority of the voters has granted it a lease
on that number. A voter grants leases on one number at a time, the active one. Once it knows of a successor
it drains: it grants no more leases on the old number, and reports that it is drained when all its leases
were released or have expired. A majority that is drained shares a voter with every majority that ever
granted the old number, so no dispatcher holds a lease on it then. Only after that does an entry of the log
activate the new number.

A holder counts a lease's duration from when it sent the request. A voter counts it from when it granted the
lease, which is later, and adds the maximum drift between two clocks. A process that was suspended must read
its own clock before it admits a query. A voter that restarts does not know which leases it granted, so it
does not report itself drained until a lease duration and the drift have passed. A voter must save its
successor to disk before it reports itself drained. Times are ticks of clocks that do not step.

The leases follow Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency" (1989).
"""

from collections.abc import Sequence

from wickvane.units import TICKS_PER_SECOND

LEASE_DURATION = 2 * TICKS_PER_SECOND
MAX_CLOCK_DRIFT_PERMILLE = 10  # between any two clocks
MAX_LEASE_HOLDERS = 4096


class Lessor:
    """The leases on policy numbers that one voter grants."""

    def __init__(
        self,
        now: int,
        active_number: int,
        successor: int | None = None,
        duration: int = LEASE_DURATION,
        drift_permille: int = MAX_CLOCK_DRIFT_PERMILLE,
    ) -> None:
        """Starts without knowledge of the leases that were granted before a restart.

        active_number: the number that leases may be granted on; successor: the number that is to replace it,
        or None; both as stored in the log and on disk. drift_permille: the maximum drift between two clocks.
        """
        self.active_number = active_number
        self.successor = successor
        self.duration = duration
        self.drift_allowance = duration * drift_permille // 1000 + 1
        # Leases that were granted before a restart may be valid until this time.
        self.earlier_leases_expire_at = now + duration + self.drift_allowance
        self.expires_at: dict[str, int] = {}  # by holder

    def grant(self, now: int, holder: str, number: int) -> bool:
        """Grants the holder a lease on the number, or returns False if no lease can be granted.

        The holder counts the lease from when it sent the request.
        """
        if number != self.active_number or self.successor is not None:
            return False
        if holder not in self.expires_at and len(self.expires_at) >= MAX_LEASE_HOLDERS:
            self._remove_expired(now)
            if len(self.expires_at) >= MAX_LEASE_HOLDERS:
                return False
        self.expires_at[holder] = now + self.duration + self.drift_allowance
        return True

    def release(self, holder: str) -> None:
        """Removes the lease that the holder has released."""
        self.expires_at.pop(holder, None)

    def drain(self, successor: int) -> None:
        """Stops granting leases, because a successor was committed.

        The successor must be saved to disk before is_drained() is reported to another process.
        """
        if successor > self.active_number:
            self.successor = successor

    def is_drained(self, now: int) -> bool:
        """Returns whether every lease that this voter granted has certainly ended."""
        return (
            self.successor is not None
            and now >= self.earlier_leases_expire_at
            and all(now >= expiry for expiry in self.expires_at.values())
        )

    def activate(self, number: int) -> None:
        """Grants leases on that number from now on, because it was activated or its successor was abandoned.

        A number lower than the active one is ignored.
        """
        if number > self.active_number:
            self.expires_at = {}
        if number >= self.active_number:
            self.active_number = number
            self.successor = None

    def _remove_expired(self, now: int) -> None:
        self.expires_at = {holder: expiry for holder, expiry in self.expires_at.items() if now < expiry}


class LeaseHolder:
    """The leases that one dispatcher holds, on one number at a time."""

    def __init__(self, number: int, duration: int = LEASE_DURATION) -> None:
        self.number = number
        self.duration = duration
        self.grants_expire_at: dict[str, int] = {}  # by voter, on this holder's clock

    def record_grant(self, voter: str, number: int, requested_at: int) -> None:
        """Records a voter's grant of a lease that was requested at `requested_at` on this holder's clock."""
        if number == self.number:
            expiry = max(requested_at + self.duration, self.grants_expire_at.get(voter, 0))
            self.grants_expire_at[voter] = expiry

    def expires_at(self, voters: Sequence[str]) -> int:
        """Returns when the lease of a majority of the voters expires; 0 if no majority has granted one."""
        expiries = sorted((self.grants_expire_at.get(voter, 0) for voter in voters), reverse=True)
        return expiries[len(voters) // 2] if expiries else 0

    def is_valid(self, now: int, voters: Sequence[str]) -> bool:
        """Returns whether queries may be admitted under this number now."""
        return now < self.expires_at(voters)

    def switch_to(self, number: int) -> None:
        """Switches to a higher number and discards the grants of the lower one."""
        if number > self.number:
            self.number = number
            self.grants_expire_at = {}

    def release(self) -> list[str]:
        """Gives up the lease and returns the voters that granted it, so that the caller can notify them."""
        voters = list(self.grants_expire_at)
        self.grants_expire_at = {}
        return voters
