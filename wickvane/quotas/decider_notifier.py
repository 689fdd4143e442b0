"""Puts the reports of other dispatchers into the decider's inbox, and logs changes of the verdicts."""

from collections.abc import Callable, Collection
from typing import Any

from wickvane.net.decider import OBSERVED
from wickvane.quotas.counters import FleetInFlight
from wickvane.quotas.decision_observer import InFlightReport, ObserverMessage, UsageReport, VerdictsReport
from wickvane.quotas.engine_judgement import MIN_POOL_SLOWDOWN, Judgement
from wickvane.quotas.lease_broker import QuotaUpdate
from wickvane.quotas.snapshot import SnapshotBuffer

# The reports that decisions may use, by their names in the settings. Quotas are always used.
USES_IN_FLIGHT = "others"
USES_TENANT_USAGE = "charges"
USES_JUDGEMENT = "opinions"


class DeciderNotifier:
    """Connects a QuotaGossip to the decider; called in the cluster's thread."""

    def __init__(
        self,
        inbox: Any,
        clock: Any,
        buffer: SnapshotBuffer,
        uses: Collection[str],
        log: Callable[[str, dict], None],
    ) -> None:
        """Creates a notifier.

        clock: the decider's; uses: a subset of USES_IN_FLIGHT, USES_TENANT_USAGE and USES_JUDGEMENT; log:
        called with an event's name and fields.
        """
        self.inbox = inbox
        self.clock = clock
        self.buffer = buffer
        self.uses = uses
        self.log = log
        self.pool_is_slow = False
        self.suspected: frozenset[str] = frozenset()

    def update_in_flight(self, in_flight: FleetInFlight) -> None:
        """Passes on the other dispatchers' threads in flight, unless this dispatcher has no queries."""
        now = self.clock.now()
        if USES_IN_FLIGHT in self.uses and in_flight.included and not self.buffer.is_idle(now):
            self._put(InFlightReport(in_flight.threads_by_engine, in_flight.mean_age, now))

    def charge_tenants(self, work_by_tenant: dict[str, int]) -> None:
        """Passes on new work of the other dispatchers by tenant, in milliseconds."""
        if USES_TENANT_USAGE in self.uses and not self.buffer.is_idle(self.clock.now()):
            self._put(UsageReport(work_by_tenant))

    def update_quotas(self, update: QuotaUpdate) -> None:
        """Passes on quotas that have changed."""
        # Never dropped: as soon as this update is acknowledged, other dispatchers may use the granted units.
        self._put(update, always=True)

    def update_judgement(self, judgement: Judgement) -> None:
        """Passes on the verdicts on engines, and logs their changes."""
        now = self.clock.now()
        if USES_JUDGEMENT in self.uses and judgement.verdicts and not self.buffer.is_idle(now):
            self._put(VerdictsReport(judgement.verdicts, now))
        self._log_pool(judgement.pool_slowdown)
        self._log_suspected(judgement)

    def _put(self, message: ObserverMessage, always: bool = False) -> None:
        self.inbox.put((OBSERVED, message), always=always)

    def _log_pool(self, slowdown: float | None) -> None:
        is_slow = slowdown is not None and slowdown >= MIN_POOL_SLOWDOWN
        if is_slow != self.pool_is_slow:
            self.pool_is_slow = is_slow
            event = "shares-pool-slow" if is_slow else "shares-pool-well"
            self.log(event, {"slowness": round(slowdown or 0, 2)})

    def _log_suspected(self, judgement: Judgement) -> None:
        suspected = frozenset(engine for engine, verdict in judgement.verdicts.items() if verdict.faulty)
        for engine in sorted(suspected - self.suspected):
            self.log("shares-engine-doubted", {"engine": engine, "spared": len(judgement.exempted)})
        for engine in sorted(self.suspected - suspected):
            self.log("shares-engine-cleared", {"engine": engine})
        self.suspected = suspected
