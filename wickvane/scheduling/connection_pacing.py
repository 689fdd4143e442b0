"""Limits the rate of new connections while the process is overloaded; free of I/O.

A burst of connections uses CPU time before any of them has sent a query, and that time is missing for the
queries of established connections. While the process is overloaded, connections are therefore admitted at a
rate that follows additive increase / multiplicative decrease (Chiu and Jain, 1989): it decreases in each step
with overload and increases in each step without. Connections that are not admitted get a Retry-After that
spreads them over time. Without overload there is no limit.

The process is overloaded if it reads queries too late, compared with the shortest latency objective, or if it
has used nearly all the CPU time that the settings allow.
"""

from random import Random
from typing import Any, NamedTuple

from wickvane.units import TICKS_PER_SECOND, to_milliseconds, to_seconds

STEP_TICKS = TICKS_PER_SECOND // 4
RATE_INCREASE = 1.0  # connections per second, in each step without overload
RATE_DECREASE_FACTOR = 0.85  # in each step with overload
MIN_RATE = 2.0  # connections per second, so that some connections, also for cancels, are always admitted
LATE_OBJECTIVE_FRACTION = 0.1  # of the shortest latency objective; reading later than that is overload
MIN_LATE_LAG_TICKS = 10
MAX_CPU_SHARE = 0.9  # of the cores that the settings allow
MIN_CALM_STEPS = 8  # consecutive steps without overload before the limit may end
BURST_STEPS = 1.0  # connections that may be admitted at once, in steps of the current rate


class PacingEvent(NamedTuple):
    """A log event: `begins` or `ends`, with its log fields."""

    name: str
    fields: dict[str, Any]


class ConnectionPacing:
    """Admits new connections.

    objective: the shortest latency objective; cores: how many the process may use; max_retry_after: the
    longest Retry-After, 0 if clients get none. Times are ticks.
    """

    def __init__(self, now: int, objective: float, cores: float, max_retry_after: int, seed: Any) -> None:
        self.late_lag = max(MIN_LATE_LAG_TICKS, int(LATE_OBJECTIVE_FRACTION * objective))
        self._cores = cores
        self._max_retry_after = max_retry_after
        self._rng = Random(f"{seed}/pace")
        self._step_ends_at = now + STEP_TICKS
        self.rate: float | None = None  # connections per second; None if there is no limit
        self._calm_steps = 0
        self._arrived = 0  # in this step
        self._admitted = 0
        self._credit = 0.0  # connections that may be admitted at the time _credit_at
        self._credit_at = now
        self._last_retry_at: float = now  # when the latest of the clients with a Retry-After is due to retry
        self._worst_lag = 0
        self._cpu_seconds: float | None = None  # at the start of the step
        self._paced_since = now

    def observe(self, now: int, lag: int, cpu_seconds: float) -> list[PacingEvent]:
        """Records how late queries were read and the CPU time used so far; returns log events."""
        self._worst_lag = max(self._worst_lag, lag)
        if self._cpu_seconds is None:
            self._cpu_seconds = cpu_seconds
        if now < self._step_ends_at:
            return []
        ticks = now - self._step_ends_at + STEP_TICKS
        core_share = (cpu_seconds - self._cpu_seconds) * TICKS_PER_SECOND / ticks / self._cores
        arrival_rate = self._arrived * TICKS_PER_SECOND / ticks
        admission_rate = self._admitted * TICKS_PER_SECOND / ticks
        is_overloaded = self._worst_lag > self.late_lag or core_share > MAX_CPU_SHARE
        fields = {
            "lag_ms": to_milliseconds(self._worst_lag),
            "core": round(core_share, 3),
            "came": round(arrival_rate, 1),
            "let": round(admission_rate, 1),
        }
        self._step_ends_at = now + STEP_TICKS
        self._worst_lag = 0
        self._cpu_seconds = cpu_seconds
        self._arrived = 0
        self._admitted = 0
        if is_overloaded:
            return self._decrease_rate(now, admission_rate, fields)
        return self._increase_rate(now, arrival_rate, fields)

    def _decrease_rate(self, now: int, admission_rate: float, fields: dict[str, Any]) -> list[PacingEvent]:
        self._calm_steps = 0
        events = []
        # Only the cost of connections can be saved here, so overload with few new connections sets no limit.
        if self.rate is None and admission_rate > MIN_RATE:
            self.rate = admission_rate
            self._credit = 0.0
            self._credit_at = now
            self._paced_since = now
            events.append(PacingEvent("begins", fields))
        if self.rate is not None:
            self.rate = max(MIN_RATE, RATE_DECREASE_FACTOR * self.rate)
        return events

    def _increase_rate(self, now: int, arrival_rate: float, fields: dict[str, Any]) -> list[PacingEvent]:
        if self.rate is None:
            return []
        self._calm_steps += 1
        self.rate += RATE_INCREASE
        # The limit ends only when it no longer rejects connections; otherwise all waiting clients would
        # arrive at once.
        if self._calm_steps < MIN_CALM_STEPS or arrival_rate >= self.rate:
            return []
        self.rate = None
        return [PacingEvent("ends", fields | {"for": to_seconds(now - self._paced_since)})]

    def admits(self, now: int, is_urgent: bool = False) -> bool:
        """Returns whether a new connection is admitted.

        is_urgent: the connection carries a cancel, which costs less than the query that it ends.
        """
        self._arrived += 1
        if self.rate is not None and not is_urgent:
            burst = max(1.0, self.rate * STEP_TICKS * BURST_STEPS / TICKS_PER_SECOND)
            earned = self.rate * (now - self._credit_at) / TICKS_PER_SECOND
            self._credit = min(burst, self._credit + earned)
            self._credit_at = now
            if self._credit < 1.0:
                return False
            self._credit -= 1.0
        self._admitted += 1
        return True

    def retry_after(self, now: int) -> int:
        """Returns the ticks after which a rejected client should retry; clients are due one after another."""
        if not self._max_retry_after or self.rate is None:
            return 0
        self._last_retry_at = max(self._last_retry_at, now) + TICKS_PER_SECOND / self.rate
        if self._last_retry_at - now <= self._max_retry_after:
            return min(self._max_retry_after, int(self._last_retry_at - now) + 1)
        self._last_retry_at = now + self._max_retry_after
        return int(self._max_retry_after * self._rng.uniform(0.5, 1))
