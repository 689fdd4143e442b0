"""What was taken in, sent and answered. taken = finished + deferred + killed + left, once nothing is open."""

from collections import Counter
from threading import Lock


class Counters:
    def __init__(self):
        self.lock, self.counts = Lock(), Counter()

    def add(self, name, n=1):
        with self.lock:
            self.counts[name] += n

    def shown(self):
        with self.lock:
            return dict(sorted(self.counts.items()))
