"""The load that proxies report to the load reporting service (LRS). The module does no I/O."""

from typing import NamedTuple

MAX_REPORT_AGE_TICKS = 300_000  # an older report does not describe the current load
MAX_REPORTS = 20_000  # one for each node, cluster and endpoint; beyond it the oldest report is dropped


class LoadKey(NamedTuple):
    """The node that reported, and the cluster and endpoint that its report is about."""

    node: str
    cluster: str
    endpoint: str


class EndpointLoad(NamedTuple):
    """Requests of one node to one endpoint: succeeded and failed in total, and in progress at reported_at."""

    succeeded: int
    failed: int
    in_progress: int
    reported_at: int


class LoadReports:
    """The last report of each node on each endpoint of each cluster."""

    def __init__(self) -> None:
        self._loads: dict[LoadKey, EndpointLoad] = {}

    def record(self, now: int, key: LoadKey, succeeded: int, failed: int, in_progress: int) -> None:
        """Records a report: requests that ended since the last report, and those in progress."""
        if key not in self._loads and len(self._loads) >= MAX_REPORTS:
            self._loads.pop(next(iter(self._loads)))
        before = self._loads.pop(key, None)
        if before is not None:
            succeeded += before.succeeded
            failed += before.failed
        self._loads[key] = EndpointLoad(succeeded, failed, in_progress, now)

    def requests_in_progress(self, now: int) -> float | None:
        """Requests in progress at all endpoints by recent reports, None if there is no recent report."""
        recent = [
            load.in_progress
            for load in self._loads.values()
            if now - load.reported_at <= MAX_REPORT_AGE_TICKS
        ]
        return float(sum(recent)) if recent else None
