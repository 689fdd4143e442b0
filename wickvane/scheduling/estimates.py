"""Smoothed estimates of the work and the memory that queries need."""

from wickvane.events import Deployment, QueryArrived
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

WORK_GAIN = 0.02
MEMORY_GAIN = 0.05
ARRIVAL_DECAY = 0.99
# Mean deviations of the ratio of needed to estimated memory that are added to a grant.
GRANT_MARGIN_DEVIATIONS = 1.5
PRIORITY_LATE, PRIORITY_USUAL, PRIORITY_ORDERED, PRIORITY_DENSEST = range(4)


class WorkEstimates:
    """Tracks mean work by resource group and over all queries, and cost and run time of recent arrivals."""

    def __init__(self, deployment: Deployment) -> None:
        self.groups = deployment.groups
        self.mean_cost = [0.0] * len(self.groups)
        self.overall_mean_cost = 0.0
        self.recent_cost = 0.0
        self.recent_run_time = 0.0

    def estimate(self, event: QueryArrived) -> float:
        """Returns the estimated work of a query that has arrived, in ticks of one thread."""
        group = event.group
        cost = event.cost or self.mean_cost[group] or TICKS_PER_SECOND * self.groups[group].threads
        self.observe(group, event.cost)
        self.recent_cost = self.recent_cost * ARRIVAL_DECAY + cost
        self.recent_run_time = self.recent_run_time * ARRIVAL_DECAY + cost / self.groups[group].threads
        return cost

    def observe(self, group: int, work: float) -> None:
        """Updates the means with the work of one query; 0 if it is unknown."""
        if not work:
            return
        mean = self.mean_cost[group]
        self.mean_cost[group] += (work - mean) * WORK_GAIN if mean else work
        mean = self.overall_mean_cost
        self.overall_mean_cost += (work - mean) * WORK_GAIN if mean else work


class TermsPolicy:
    """Determines the priority and the memory grant of attempts."""

    def __init__(self, deployment: Deployment, estimates: WorkEstimates) -> None:
        self.deployment = deployment
        self.estimates = estimates
        group_count = len(deployment.groups)
        self._memory_ratio = [1.0] * group_count  # needed memory divided by estimated memory
        self._memory_deviation = [0.25] * group_count
        self._memory_observed = False

    def observe_memory(self, query: Query, memory: float) -> None:
        """Updates the group's memory ratio with the memory that a query needed, in MB; 0 if it is unknown."""
        if not memory or not query.estimated_memory:
            return
        group = query.resource_group
        deviation = memory / query.estimated_memory - self._memory_ratio[group]
        self._memory_ratio[group] += MEMORY_GAIN * deviation
        self._memory_deviation[group] += MEMORY_GAIN * (abs(deviation) - self._memory_deviation[group])
        self._memory_observed = True

    def terms(self, query: Query, now: int) -> tuple[int, float] | None:
        """Returns the priority and the grant of the next attempt; None if neither has to be set.

        The grant is in MB; 0 if there is none.
        """
        if not (self.deployment.priorities or self.deployment.memory_grants):
            return None
        priority = self._priority(query, now)
        grant = self._memory_grant(query)
        return (priority, grant) if priority != query.priority or grant else None

    def _priority(self, query: Query, now: int) -> int:
        groups = self.deployment.groups
        group = groups[query.resource_group]
        if now > query.objective_at and group.late_priority_weight == 0:
            return PRIORITY_LATE
        means = self.estimates.mean_cost
        densities = [
            candidate.priority_weight / (mean or TICKS_PER_SECOND) for candidate, mean in zip(groups, means)
        ]
        if densities[query.resource_group] >= max(densities):
            return PRIORITY_DENSEST
        # In an ordered group a slow query delays all other queries of its key.
        return PRIORITY_ORDERED if group.ordered else PRIORITY_USUAL

    def _memory_grant(self, query: Query) -> float:
        # A group's estimates tend to be all too low or all too high. A grant that is too small makes the
        # query spill to disk, and one that is too large takes memory from other queries.
        if not (self.deployment.memory_grants and self._memory_observed and query.estimated_memory):
            return 0
        group = query.resource_group
        ratio = self._memory_ratio[group] + GRANT_MARGIN_DEVIATIONS * self._memory_deviation[group]
        return query.estimated_memory * ratio
