"""What proxies report by the load reporting service (LRS); free of I/O."""

from typing import NamedTuple

FRESH_TIME = 300_000  # ticks; a proxy that has not reported since says nothing of the present load
MAX_REPORTS = 20_000  # endpoints of a cluster of a node; past it the one reported longest ago is dropped


class LoadKey(NamedTuple):
    """What a report is about."""

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
    """The last report of each node on each endpoint."""

    def __init__(self) -> None:
        self._loads: dict[LoadKey, EndpointLoad] = {}

    def record(self, now: int, key: LoadKey, succeeded: int, failed: int, in_progress: int) -> None:
        """Takes in a report: requests that ended since the last one, and those in progress."""
        if key not in self._loads and len(self._loads) >= MAX_REPORTS:
            self._loads.pop(next(iter(self._loads)))
        before = self._loads.pop(key, None)
        if before is not None:
            succeeded += before.succeeded
            failed += before.failed
        self._loads[key] = EndpointLoad(succeeded, failed, in_progress, now)

    def requests_in_progress(self, now: int) -> float | None:
        """Requests in progress at all endpoints by fresh reports, None where there is no such report."""
        fresh = [load.in_progress for load in self._loads.values() if now - load.reported_at <= FRESH_TIME]
        return float(sum(fresh)) if fresh else None
