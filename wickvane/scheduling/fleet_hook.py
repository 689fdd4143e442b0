"""The interface through which reports of other dispatchers influence decisions, if there are any."""

from typing import Protocol


class FleetHook(Protocol):
    """The argument of Scheduler.join_fleet; `now` is always the time of the round, in ticks."""

    def handle(self, event: tuple, now: int) -> None:
        """Handles an event that occurs only in fleets, before the decisions of the round."""

    def before_decisions(self, now: int) -> None:
        """Is called once a round after its events, so that expired leases are not used."""

    def load_elsewhere(self, engine: int, inferred: float, cores: float, now: int) -> float:
        """Returns the threads per core that other dispatchers have in flight on an engine.

        inferred: the same, as derived from the latency that this dispatcher observes.
        """
