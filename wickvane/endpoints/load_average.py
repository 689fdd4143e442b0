"""Mean load over a window; a single sample at a time of low load could let a large removal pass."""

from collections import deque

from wickvane.units import TICKS_PER_SECOND

WINDOW = 10 * TICKS_PER_SECOND


class LoadAverage:
    """Keeps the samples of a load within the window."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, float]] = deque()

    def add(self, now: int, load: float | None) -> None:
        """Adds a sample, if the load is known, and drops samples that are older than the window."""
        if load is not None:
            self._samples.append((now, load))
        while self._samples and self._samples[0][0] < now - WINDOW:
            self._samples.popleft()

    def mean(self) -> float | None:
        """Returns the mean, None if there are no samples."""
        if not self._samples:
            return None
        return sum(load for _, load in self._samples) / len(self._samples)
