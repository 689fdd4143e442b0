"""Exchanges the work requested from each dispatcher, and the work that it did for each tenant. Free of I/O.

Each incarnation publishes its total work for its busiest tenants since it started. The totals only grow, and
tenants are charged for their growth since the last update, so lost, late or duplicated updates have no
lasting effect. The work in a tenant's first update has an unknown age, so it is not charged.
"""

from collections.abc import Collection

from wickvane.quotas.gossip_register import GossipRegisters, Row
from wickvane.quotas.incarnation import Incarnation

MAX_PUBLISHED_TENANTS = 8  # in one entry: those with the most work since the previous entry
REQUESTED_WORK_KEY = "/"  # instead of a tenant's name: all requested work
RATE_SMOOTHING = 0.1  # weight of the latest sample of the request rates; there is a sample each half second
MAX_TENANTS = 4096  # per incarnation
MIN_MEAN_RATE = 1e-6  # at lower rates, the traffic weight is unknown


class TenantUsage(GossipRegisters):
    """The work of all dispatchers by tenant."""

    def __init__(self, max_incarnations: int = 4096) -> None:
        super().__init__(max_incarnations)
        self.work_by_incarnation: dict[Incarnation, dict[str, int]] = {}
        self.new_work: dict[str, int] = {}  # by tenant: not yet returned by take_new_work()
        self.published_work: dict[str, int] = {}
        self.previous_requested_work: int | None = None
        self.own_rate = 0.0  # requested work per sample
        self.mean_rate = 0.0  # mean requested work per sample of all dispatchers

    def publish(
        self, own: Incarnation, timestamp: int, work_by_tenant: dict[str, int], requested_work: int
    ) -> None:
        """Stores this incarnation's entry from its total work by tenant and its total requested work."""
        most_growth_first = sorted(
            work_by_tenant,
            key=lambda tenant: (self.published_work.get(tenant, 0) - work_by_tenant[tenant], tenant),
        )
        self.published_work = dict(work_by_tenant)
        busiest = most_growth_first[:MAX_PUBLISHED_TENANTS]
        rows = [(tenant, work_by_tenant[tenant]) for tenant in busiest]
        self.store(own, timestamp, [(REQUESTED_WORK_KEY, requested_work), *rows])

    def merge(self, incarnation: Incarnation, timestamp: int, rows: list[Row]) -> None:
        """Merges the entry of another incarnation."""
        known_work = self.work_by_incarnation.get(incarnation)
        if known_work is None and len(self.work_by_incarnation) >= self.max_incarnations:
            return
        if not self.store(incarnation, timestamp, rows):
            return
        known_work = self.work_by_incarnation.setdefault(incarnation, {})
        for tenant, work in rows:
            if tenant not in known_work and len(known_work) >= MAX_TENANTS:
                continue
            growth = work - known_work.get(tenant, work)
            if growth > 0:
                self.new_work[tenant] = self.new_work.get(tenant, 0) + growth
            known_work[tenant] = max(work, known_work.get(tenant, 0))

    def retain(self, present: Collection[Incarnation]) -> None:
        """Drops the work of all other incarnations."""
        super().retain(present)
        for incarnation in [known for known in self.work_by_incarnation if known not in present]:
            del self.work_by_incarnation[incarnation]

    def take_new_work(self, requested_work: int) -> dict[str, int]:
        """Returns other dispatchers' work by tenant since the last call, and updates the request rates.

        requested_work: total work requested from this dispatcher.
        """
        new_work = self.new_work
        self.new_work = {}
        previous_work = (
            requested_work if self.previous_requested_work is None else self.previous_requested_work
        )
        own_growth = requested_work - previous_work
        self.previous_requested_work = requested_work
        dispatchers = 1 + len(self.work_by_incarnation)
        mean_growth = (own_growth + new_work.pop(REQUESTED_WORK_KEY, 0)) / dispatchers
        self.own_rate += (own_growth - self.own_rate) * RATE_SMOOTHING
        self.mean_rate += (mean_growth - self.mean_rate) * RATE_SMOOTHING
        return new_work

    def traffic_weight(self) -> float:
        """Returns this dispatcher's request rate divided by the mean of all, or 1 if that is unknown."""
        is_known = self.mean_rate > MIN_MEAN_RATE and self.work_by_incarnation
        return self.own_rate / self.mean_rate if is_known else 1.0
