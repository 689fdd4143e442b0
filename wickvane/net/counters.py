"""What was taken in, sent and answered. taken = finished + deferred + killed + left, once nothing is open."""

from collections import Counter
from threading import Lock

# What the accounts of flows are told in, where there are any. Directions count from a connection's initiator:
# forward is what a client sent us, and what we sent an engine (biflowDirection 1 of RFC 5103). NOBODY is the
# resource group and tenant of what belongs to none; the rest are places among a flow's counts.
FORWARD, REVERSE, NOBODY = 0, 1, (-1, -1)
ANSWERS = {"finished": 4, "deferred": 5, "killed": 6, "left": 7}
FIRST, FURTHER = 8, 9


class Counters:
    """Named counts that all threads add to."""

    def __init__(self):
        self.lock, self.counts = Lock(), Counter()

    def add(self, name, n=1):
        """Adds to one count."""
        with self.lock:
            self.counts[name] += n

    def add_octets(self, side, received, sent):
        """Of a connection that has ended, by its own account: what flows are told in must sum up to it."""
        with self.lock:
            self.counts[f"{side}-octets-in"] += received
            self.counts[f"{side}-octets-out"] += sent

    def shown(self):
        """All counts by name, in order."""
        with self.lock:
            return dict(sorted(self.counts.items()))
