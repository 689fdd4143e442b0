"""The memory that all connections of the process share for their messages, and what each of them holds of it.

A connection reserves memory before it keeps more than is counted for every session. If none is left, the
connections that have waited longest for the rest of a message, or for their client to read, are closed with
an error. If there are none, or the one that asks has itself waited longest, its request is refused.
"""

from threading import Lock

from wickvane.scheduling.memory_limits import FREE_SIZE, MemoryLimits, choose_evicted


class MemoryLease:
    """What one connection has reserved.

    size: in octets; since: when it began to wait for its peer, in ticks, 0 if it has not waited; evict:
    called with the budget's lock held when the connection has to be closed, so that it must not wait."""

    __slots__ = ("budget", "evict", "size", "since", "is_evicted")

    def __init__(self, budget: "MemoryBudget", evict) -> None:
        self.budget = budget
        self.evict = evict
        self.size = 0
        self.since = 0
        self.is_evicted = False

    def reserve(self, needed: int) -> bool:
        """Changes the reservation to what is needed; returns False, without a change, if it is refused.

        Sizes up to FREE_SIZE need no reservation."""
        if needed <= FREE_SIZE and not self.size:
            return True
        return self.budget.resize(self, max(0, needed - FREE_SIZE))

    def reserve_ahead(self, needed: int) -> bool:
        """As reserve(), but takes only from the share for input that is read ahead, and from no other."""
        if needed <= FREE_SIZE and not self.size:
            return True
        return self.budget.resize_ahead(self, max(0, needed - FREE_SIZE))

    def begin_wait(self) -> None:
        """Lets the connection be evicted, from now on, if it has reserved anything; it waits for its peer."""
        if self.size:
            self.budget.begin_wait(self)

    def end_wait(self) -> None:
        """Lets the connection not be evicted any more."""
        if self.since:
            self.budget.end_wait(self)

    def release(self) -> None:
        """Gives up the whole reservation."""
        if self.size or self.is_evicted:
            self.budget.release(self)

    def close(self) -> None:
        """Gives up the reservation of a connection that has ended, and the reference to the connection."""
        self.release()
        self.evict = None


class MemoryBudget:
    """Counts what the connections hold; all methods may be called by any thread.

    used: octets that are reserved; evicted: octets of connections that are being closed."""

    def __init__(self, clock, counters) -> None:
        self.clock = clock
        self.limits: MemoryLimits | None = None  # None: there is no limit yet
        self.used = 0
        self.evicted = 0
        self.counters = counters
        self._waiting: dict[MemoryLease, None] = {}
        self._sizes_of_evicted: dict[MemoryLease, int] = {}
        self._lock = Lock()

    def lease(self, evict) -> MemoryLease:
        """Returns the lease of a connection, which has reserved nothing."""
        return MemoryLease(self, evict)

    def resize(self, lease: MemoryLease, size: int) -> bool:
        """See MemoryLease.reserve()."""
        with self._lock:
            if lease.is_evicted:
                return False
            if size > lease.size and not self._make_room(lease, size - lease.size):
                self.counters.add("memory-refused")
                return False
            self._set(lease, size)
            return True

    def resize_ahead(self, lease: MemoryLease, size: int) -> bool:
        """See MemoryLease.reserve_ahead()."""
        with self._lock:
            grown = size - lease.size
            limit = self.limits.read_ahead if self.limits else None
            if lease.is_evicted or limit is not None and grown > 0 and self.used + grown > limit:
                return False
            self._set(lease, size)
            return True

    def release(self, lease: MemoryLease) -> None:
        """See MemoryLease.release()."""
        with self._lock:
            self._waiting.pop(lease, None)
            self.evicted -= self._sizes_of_evicted.pop(lease, 0)
            self._set(lease, 0)

    def begin_wait(self, lease: MemoryLease) -> None:
        """See MemoryLease.begin_wait()."""
        with self._lock:
            if not lease.is_evicted:
                lease.since = lease.since or self.clock.now()
                self._waiting[lease] = None

    def end_wait(self, lease: MemoryLease) -> None:
        """See MemoryLease.end_wait()."""
        with self._lock:
            self._waiting.pop(lease, None)

    def _set(self, lease: MemoryLease, size: int) -> None:
        self.used += size - lease.size
        lease.size = size
        if not size:
            lease.since = 0
            self._waiting.pop(lease, None)

    def _make_room(self, lease: MemoryLease, grown: int) -> bool:
        limits = self.limits
        while limits is not None and self.used + grown > limits.messages:
            victim = choose_evicted(other for other in self._waiting if other is not lease)
            if victim is None or lease.since and lease.since <= victim.since:
                return False
            if self.evicted + victim.size > limits.evicted:
                return False  # memory of evicted connections is about to be released
            self._evict(victim)
        return True

    def _evict(self, victim: MemoryLease) -> None:
        victim.is_evicted = True
        self._sizes_of_evicted[victim] = victim.size
        self.evicted += victim.size
        self._set(victim, 0)
        self.counters.add("memory-evictions")
        victim.evict()
