"""Counters of a dispatcher. When no query is open, taken = finished + deferred + killed + left."""

from collections import Counter
from threading import Lock

# Constants of the flow accounts (wickvane.flows), if flows are exported. FORWARD and REVERSE count from the
# initiator of a connection: FORWARD is what a client sends to the dispatcher and what the dispatcher sends to
# an engine (biflowDirection 1 of RFC 5103). NOBODY is the (resource group, tenant) of octets that belong to
# neither. The values of ANSWERS, FIRST and FURTHER are positions among a flow's counts.
FORWARD, REVERSE, NOBODY = 0, 1, (-1, -1)
ANSWERS = {"finished": 4, "deferred": 5, "killed": 6, "left": 7}
FIRST, FURTHER = 8, 9  # first and further attempts


class Counters:
    """Named counts that any thread may add to."""

    def __init__(self):
        self.lock, self.counts = Lock(), Counter()

    def add(self, name, n=1):
        """Adds n to the count of this name."""
        with self.lock:
            self.counts[name] += n

    def add_octets(self, peer_kind, received, sent):
        """Adds the octets of a connection that has ended; the sum over its flows must equal them.

        peer_kind: "client" or "engine".
        """
        with self.lock:
            self.counts[f"{peer_kind}-octets-in"] += received
            self.counts[f"{peer_kind}-octets-out"] += sent

    def shown(self):
        """Returns all counts by name, sorted by name."""
        with self.lock:
            return dict(sorted(self.counts.items()))
