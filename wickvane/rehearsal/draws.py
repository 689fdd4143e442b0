"""What clients of a script draw, the same in virtual time and by the load tool."""

from random import Random

from wickvane.units import TICKS_PER_SECOND


class Draws:
    """Streams of chance by name, each from the seed alone. Times are tenths of a millisecond."""

    def __init__(self, seed):
        self.seed, self.streams = seed, {}

    def chance(self, name):
        if name not in self.streams:
            self.streams[name] = Random(f"{self.seed}/{name}")
        return self.streams[name]

    def gap(self, clients, rate):
        """From one query of an open loop to the next, at so many a second."""
        gap = 1 / rate if clients.even else self.chance(f"arrivals/{clients.name}").expovariate(rate)
        return max(1, int(gap * TICKS_PER_SECOND))

    def back_off(self, clients, tries):
        """Before a further try, after so many."""
        wait = clients.back_off * (1 << min(tries, 6))
        return max(1, int(wait * self.chance(f"retries/{clients.name}").uniform(0.5, 1.5)))

    def think(self, clients):
        """Between an answer and the next query of a closed loop."""
        return 1 + int(self.chance(f"think/{clients.name}").expovariate(1 / max(1, clients.think)))
