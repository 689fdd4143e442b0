"""Outlier ejection: an engine that fails or does not respond gets no queries for a time.

It is then half-open: a single attempt decides whether it is ejected again.
"""

from collections.abc import Mapping

from wickvane.events import Ending, ResourceGroup
from wickvane.scheduling.engine_table import EngineIdentity, EngineTable
from wickvane.scheduling.query import Query
from wickvane.units import TICKS_PER_SECOND

FAILURE_GAIN = 0.2
FAILURE_THRESHOLD = 0.4  # an engine is ejected if its smoothed failure rate exceeds this
INITIAL_EJECTION_TICKS = TICKS_PER_SECOND // 2
MAX_EJECTION_TICKS = 8 * TICKS_PER_SECOND
MIN_OVERDUE_ATTEMPTS = 2  # on an engine without contact before it is ejected


class OutlierEjection:
    """Tracks failure rates of engines and determines the engines that each resource group may use."""

    def __init__(self, groups: list[ResourceGroup], engines: EngineTable) -> None:
        self.groups = groups
        self.engines = engines
        self._usable: dict[int, frozenset[int]] = {}  # by resource group, cached for at most one sweep

    def invalidate(self) -> None:
        """Discards the cached sets of usable engines."""
        self._usable.clear()

    def engine_started(self, engine: int) -> None:
        """Resets the ejection time of an engine that is new or has a new process."""
        self.engines.ejection_time[engine] = INITIAL_EJECTION_TICKS

    def usable(self, resource_group: int, now: int) -> frozenset[int]:
        """Returns the engines that are ready, permitted for the resource group and not ejected."""
        if resource_group not in self._usable:
            self._usable[resource_group] = frozenset(self._find_usable(resource_group, now))
        return self._usable[resource_group]

    def _find_usable(self, resource_group: int, now: int) -> list[int]:
        table = self.engines
        ready = [engine for engine in table.ready() if self._permitted(resource_group, engine)]
        usable = [engine for engine in ready if table.ejected_until[engine] <= now]
        # If more than half of the engines are ejected at once, the cause is not the single engines and no
        # engine is better than the others. Engines that refuse connections stay ejected, because they are
        # down and would only use up attempts.
        if 2 * len(usable) < len(ready):
            refusing = table.refuses_connections
            usable = [engine for engine in ready if engine in usable or not refusing[engine]] or ready
        return usable

    def _permitted(self, resource_group: int, engine: int) -> bool:
        group = self.groups[resource_group]
        return (group.zones is None or self.engines.zone[engine] in group.zones) and (
            group.kinds is None or self.engines.kind[engine] in group.kinds
        )

    def record(self, query: Query, engine: int, ending: Ending, now: int) -> None:
        """Updates the failure rate of an engine from an attempt that ended."""
        table = self.engines
        table.refuses_connections[engine] = ending == Ending.NO_CONNECTION
        if ending == Ending.FINISHED:
            table.failure_rate[engine] *= 1 - FAILURE_GAIN
            table.last_contact_at[engine] = now
            table.half_open[engine] = False
            table.ejection_time[engine] = INITIAL_EJECTION_TICKS
        elif ending == Ending.REJECTED:
            table.last_contact_at[engine] = now
        elif ending == Ending.ERROR and self._failed_elsewhere(query):
            # Errors from two engines are caused by the query: the first engine's failure is undone, and no
            # third engine is tried.
            self._undo_failure(query.failed_on)
            query.failed_twice = True
        elif ending in (Ending.ERROR, Ending.RESET, Ending.NO_CONNECTION) or (
            ending == Ending.NO_ANSWER and table.last_contact_at[engine] < query.sent_at
        ):
            query.failed_on = query.sent_to if ending == Ending.ERROR else query.failed_on
            table.failure_rate[engine] += (1 - table.failure_rate[engine]) * FAILURE_GAIN
            if table.failure_rate[engine] > FAILURE_THRESHOLD or table.half_open[engine]:
                self._eject(engine, now)

    def _failed_elsewhere(self, query: Query) -> bool:
        """Returns whether an engine other than that of the last attempt answered the query with an error."""
        return query.failed_on is not None and query.failed_on.wire_id != query.sent_to.wire_id

    def _undo_failure(self, failed_on: EngineIdentity) -> None:
        if self.engines.is_listed_as(failed_on):
            rate = self.engines.failure_rate[failed_on.index]
            self.engines.failure_rate[failed_on.index] = max(0.0, (rate - FAILURE_GAIN) / (1 - FAILURE_GAIN))

    def eject_silent(self, overdue: Mapping[int, int], now: int) -> list[int]:
        """Ejects engines with MIN_OVERDUE_ATTEMPTS overdue attempts, and returns them.

        overdue: the number of attempts by engine that are overdue and without contact since their start.
        """
        until = self.engines.ejected_until
        silent = [
            engine
            for engine, count in overdue.items()
            if count >= MIN_OVERDUE_ATTEMPTS and now >= until[engine]
        ]
        for engine in silent:
            self._eject(engine, now)
        return silent

    def eject_until(self, engine: int, until: int) -> None:
        """Ejects an engine because of reports of other dispatchers, without a change to its failure rate."""
        self.engines.ejected_until[engine] = max(self.engines.ejected_until[engine], until)
        self.invalidate()

    def _eject(self, engine: int, now: int) -> None:
        table = self.engines
        if now < table.ejected_until[engine]:
            return
        table.ejected_until[engine] = now + table.ejection_time[engine]
        table.half_open[engine] = True
        table.ejection_time[engine] = min(MAX_EJECTION_TICKS, table.ejection_time[engine] * 2)
        self.invalidate()
