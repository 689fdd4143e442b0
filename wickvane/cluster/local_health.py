"""Local health: how reliable a dispatcher's own verdicts are (Lifeguard, Dadgar, Phillips, Currey 2018).

If a dispatcher stalls, or receives nothing even from helpers, the fault is more likely its own than that of
the members that it probes. It then probes less often and uses longer suspicion timeouts.
"""

from wickvane.units import TICKS_PER_SECOND

MAX_SCORE = 4  # the probe period is at most five times as long
SETTLING_PERIODS = 4  # probe periods after a stall before the known states of members are relied upon


class LocalHealth:
    """Lifeguard's local health multiplier. score: 0 if healthy, higher the more faults were observed."""

    def __init__(self, now: int):
        self.score = 0
        self.stall_count = 0
        self.last_stall_at = now - 60 * TICKS_PER_SECOND

    @property
    def multiplier(self) -> int:
        """The factor by which the probe period is multiplied."""
        return 1 + self.score

    def improve(self) -> None:
        """Records that a probe was acknowledged."""
        self.score = max(0, self.score - 1)

    def degrade(self, steps: int = 1) -> None:
        """Records that `steps` expected messages did not arrive."""
        self.score = min(MAX_SCORE, self.score + steps)

    def record_stall(self, now: int) -> None:
        """Records that the process was suspended or not scheduled on a processor."""
        self.stall_count += 1
        self.last_stall_at = now
        self.degrade()

    def is_settled(self, now: int, probe_period: int) -> bool:
        """Returns whether the last stall is more than SETTLING_PERIODS probe periods ago."""
        return now - self.last_stall_at > SETTLING_PERIODS * probe_period
