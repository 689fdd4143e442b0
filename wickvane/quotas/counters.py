"""Counters and gauges of a whole fleet: counters are eventually exact, gauges have a known age. Free of I/O.

Each incarnation of a dispatcher writes only its own values. *Counters* only grow, so the highest value of
each incarnation and key wins: updates may arrive in any order, any number of times, and in separate
datagrams (a G-counter, a CRDT; Shapiro and others, 2011). *Gauges* (threads in flight by engine) rise and
fall: all gauges of an incarnation are replaced at once by those with a later timestamp.

The age of gauges is computed from their writer's clock, without a common clock: it is the time since their
timestamp less the clock offset, which is the smallest difference seen so far between a timestamp and its
arrival here. Gauges in a datagram that arrives 30 s late are 30 s old; only the transit time of the fastest
datagram is not included.

Incarnations that ended long ago are folded into one total and dropped. Late updates from them are rejected,
since they would be counted twice. Times are ticks of the local monotonic clock.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import NamedTuple

from wickvane.quotas import wire
from wickvane.quotas.gossip_register import MAX_ENTRY_RELAYS
from wickvane.quotas.incarnation import Incarnation
from wickvane.units import TICKS_PER_SECOND

# Ticks in which the clock offset grows by one tick, so that clock drift is not counted as age.
CLOCK_DRIFT_INTERVAL = 1_000
FOLD_AFTER = 600 * TICKS_PER_SECOND  # after the incarnation left the cluster
MAX_FOLDED_EPOCHS = 4096
MAX_CHANGED_KEYS_PER_PAGE = 64
MAX_REPEATED_KEYS_PER_PAGE = 4  # unchanged counters, sent again in case all relays of one were lost
# Relays of a changed counter for each decimal digit of the number of incarnations.
KEY_RELAYS_PER_DIGIT = 3
# Octets in addition to those that wire.row_size() counts.
GAUGES_OVERHEAD = 17
COUNTER_OVERHEAD = 7
PAGE_OVERHEAD = 12
MIN_COUNTER_OCTETS = 100  # octets of a page that gauges leave free for counters


@dataclass(slots=True)
class IncarnationCounts:
    """The values that one incarnation has published.

    timestamp: time of its gauges by its own clock; clock_offset: None until gauges have arrived; updated_at:
    when its gauges arrived; missing_since: when it left the cluster, or None.
    """

    updated_at: int
    counters: dict[str, int] = field(default_factory=dict)
    gauges: dict[str, int] = field(default_factory=dict)
    timestamp: int = -1
    clock_offset: int | None = None
    missing_since: int | None = None


class FleetInFlight(NamedTuple):
    """Threads in flight of all other dispatchers.

    mean_age, oldest_age: in ticks; included: number of dispatchers in the sums; excluded: number of
    dispatchers whose gauges are too old or of unknown age.
    """

    threads_by_engine: dict[str, int]
    mean_age: int
    oldest_age: int
    included: int
    excluded: int


class GaugesUpdate(NamedTuple):
    """The gauges of an incarnation, to be sent."""

    incarnation: Incarnation
    timestamp: int
    gauges: list[tuple[str, int]]


class CounterUpdate(NamedTuple):
    """One counter of an incarnation, to be sent."""

    incarnation: Incarnation
    key: str
    value: int


class CountersPage(NamedTuple):
    """The gauges and counters that one datagram carries."""

    gauges: list[GaugesUpdate]
    counters: list[CounterUpdate]


class FleetCounters:
    """Counters and gauges of at most `max_incarnations`, each with at most `max_keys` counters."""

    def __init__(
        self, now: int, incarnation: Incarnation, max_incarnations: int = 4096, max_keys: int = 4096
    ) -> None:
        self.incarnation = incarnation
        self.max_incarnations = max_incarnations
        self.max_keys = max_keys
        self.by_incarnation = {incarnation: IncarnationCounts(now)}
        self.own = self.by_incarnation[incarnation]
        self.folded: dict[str, int] = {}
        self.folded_epochs: OrderedDict[str, int] = OrderedDict()  # by name: the latest folded epoch
        # How often the latest gauges of an incarnation were relayed; the latest gauges come first.
        self.gauge_relays: OrderedDict[Incarnation, int] = OrderedDict()
        # How often each changed counter was relayed.
        self.key_relays: OrderedDict[tuple[Incarnation, str], int] = OrderedDict()
        self.keys_to_repeat: list[tuple[Incarnation, str]] = []
        self.rejected = {"folded": 0, "full": 0}

    # This incarnation

    def set_incarnation(self, incarnation: Incarnation) -> None:
        """Switches to a later epoch of this dispatcher; earlier counts stay with the former incarnation."""
        if incarnation != self.incarnation:
            former = self.own
            self.incarnation = incarnation
            self.own = self.by_incarnation.setdefault(incarnation, IncarnationCounts(former.updated_at))
            former.gauges = {}

    def increment(self, key: str, amount: int = 1) -> None:
        """Adds an amount to a counter of this incarnation."""
        value = self.own.counters.get(key)
        if value is None and len(self.own.counters) >= self.max_keys:
            self.rejected["full"] += 1
            return
        self.own.counters[key] = (value or 0) + amount
        self.key_relays[self.incarnation, key] = 0
        self.key_relays.move_to_end((self.incarnation, key))

    def set_gauges(self, now: int, gauges: dict[str, int]) -> None:
        """Sets this incarnation's threads in flight by engine.

        Unchanged gauges are sent again too, since their timestamp is new.
        """
        own = self.own
        own.gauges = {engine: threads for engine, threads in gauges.items() if threads > 0}
        own.timestamp = max(now, own.timestamp + 1)
        own.updated_at = now
        self._relay_gauges(self.incarnation)

    def _relay_gauges(self, incarnation: Incarnation) -> None:
        self.gauge_relays[incarnation] = 0
        self.gauge_relays.move_to_end(incarnation, last=False)

    # Other incarnations

    def _find_or_create_record(self, now: int, incarnation: Incarnation) -> IncarnationCounts | None:
        """Returns the record of an incarnation, created if needed; None if the incarnation is rejected."""
        record = self.by_incarnation.get(incarnation)
        if record is None:
            name, epoch = incarnation
            if epoch <= self.folded_epochs.get(name, 0):
                self.rejected["folded"] += 1
                return None
            if len(self.by_incarnation) >= self.max_incarnations:
                self.rejected["full"] += 1
                return None
            record = self.by_incarnation[incarnation] = IncarnationCounts(now)
        return record

    def merge_gauges(
        self, now: int, incarnation: Incarnation, timestamp: int, gauges: dict[str, int] | list
    ) -> bool:
        """Merges gauges of another incarnation, from any relay; returns whether they were new."""
        if incarnation == self.incarnation:
            return False
        record = self._find_or_create_record(now, incarnation)
        if record is None or timestamp <= record.timestamp:
            return False
        offset = now - timestamp
        if record.clock_offset is not None:
            drifted = record.clock_offset + (now - record.updated_at) // CLOCK_DRIFT_INTERVAL
            offset = min(drifted, offset)
        record.clock_offset = offset
        record.gauges = dict(gauges)
        record.timestamp = timestamp
        record.updated_at = now
        self._relay_gauges(incarnation)
        return True

    def merge_counter(self, now: int, incarnation: Incarnation, key: str, value: int) -> bool:
        """Merges a counter of another incarnation, from any relay; returns whether it was new."""
        record = self._find_or_create_record(now, incarnation)
        if record is None or value <= record.counters.get(key, 0) or incarnation == self.incarnation:
            return False
        if key not in record.counters and len(record.counters) >= self.max_keys:
            self.rejected["full"] += 1
            return False
        record.counters[key] = value
        self.key_relays[incarnation, key] = 0
        return True

    def update_membership(self, now: int, present: Collection[Incarnation]) -> None:
        """Excludes the gauges of incarnations that are not present.

        Their counters still count, and are folded after FOLD_AFTER.
        """
        for incarnation, record in list(self.by_incarnation.items()):
            if incarnation == self.incarnation or incarnation in present:
                record.missing_since = None
            elif record.missing_since is None:
                record.missing_since = now
            elif now - record.missing_since >= FOLD_AFTER:
                self._fold(incarnation)

    def _fold(self, incarnation: Incarnation) -> None:
        for key, value in self.by_incarnation.pop(incarnation).counters.items():
            self.folded[key] = self.folded.get(key, 0) + value
            self.key_relays.pop((incarnation, key), None)
        self.gauge_relays.pop(incarnation, None)
        name, epoch = incarnation
        self.folded_epochs[name] = max(epoch, self.folded_epochs.pop(name, 0))
        if len(self.folded_epochs) > MAX_FOLDED_EPOCHS:
            self.folded_epochs.popitem(last=False)

    # Values

    def age(self, now: int, incarnation: Incarnation) -> int | None:
        """Returns the age of an incarnation's gauges, or None if its clock offset is not known yet."""
        return self.age_of_timestamp(now, incarnation, self.by_incarnation[incarnation].timestamp)

    def age_of_timestamp(self, now: int, incarnation: Incarnation, timestamp: int) -> int | None:
        """Returns the age of an incarnation's timestamp, or None if its clock offset is not known yet."""
        record = self.by_incarnation.get(incarnation)
        if record is None or record.clock_offset is None:
            return None
        return max(0, now - timestamp - record.clock_offset)

    def in_flight(self, now: int, max_age: int) -> FleetInFlight:
        """Sums the threads in flight of all other dispatchers whose gauges are at most `max_age` old."""
        threads_by_engine: dict[str, int] = {}
        oldest_age = 0
        age_sum = 0
        included = 0
        excluded = 0
        for incarnation, record in self.by_incarnation.items():
            if incarnation == self.incarnation or record.missing_since is not None:
                continue
            age = self.age(now, incarnation)
            if age is None or age > max_age:
                excluded += 1
                continue
            included += 1
            age_sum += age
            oldest_age = max(oldest_age, age)
            for engine, threads in record.gauges.items():
                threads_by_engine[engine] = threads_by_engine.get(engine, 0) + threads
        return FleetInFlight(threads_by_engine, age_sum // max(1, included), oldest_age, included, excluded)

    def total(self, key: str) -> int:
        """Returns the fleet's total of a counter."""
        values = (record.counters.get(key, 0) for record in self.by_incarnation.values())
        return self.folded.get(key, 0) + sum(values)

    def totals(self) -> dict[str, int]:
        """Returns the fleet's totals of all counters."""
        totals = dict(self.folded)
        for record in self.by_incarnation.values():
            for key, value in record.counters.items():
                totals[key] = totals.get(key, 0) + value
        return totals

    # Dissemination

    def next_page(self, free_octets: int) -> CountersPage:
        """Returns gauges and counters that fit into `free_octets` of one datagram."""
        gauges, free_octets = self._next_gauges(free_octets - PAGE_OVERHEAD)
        return CountersPage(gauges, self._next_counters(free_octets))

    def _next_gauges(self, free_octets: int) -> tuple[list[GaugesUpdate], int]:
        """Returns the gauges to send, and the octets that they leave free."""
        updates = []
        for incarnation in list(self.gauge_relays):
            record = self.by_incarnation[incarnation]
            rows = list(record.gauges.items())
            size = GAUGES_OVERHEAD + sum(wire.row_size(*row) for row in rows)
            if size > free_octets - MIN_COUNTER_OCTETS:
                break
            free_octets -= size
            updates.append(GaugesUpdate(incarnation, record.timestamp, rows))
            self.gauge_relays[incarnation] += 1
            if self.gauge_relays[incarnation] >= MAX_ENTRY_RELAYS:
                del self.gauge_relays[incarnation]
            else:
                self.gauge_relays.move_to_end(incarnation)
        return updates, free_octets

    def _next_counters(self, free_octets: int) -> list[CounterUpdate]:
        updates = []
        max_relays = KEY_RELAYS_PER_DIGIT * len(str(len(self.by_incarnation)))
        for incarnation, key in self._next_keys():
            value = self.by_incarnation[incarnation].counters[key]
            size = COUNTER_OVERHEAD + wire.row_size(key, value)
            if size > free_octets:
                break
            free_octets -= size
            updates.append(CounterUpdate(incarnation, key, value))
            if (incarnation, key) in self.key_relays:
                self.key_relays[incarnation, key] += 1
                if self.key_relays[incarnation, key] >= max_relays:
                    del self.key_relays[incarnation, key]
                else:
                    self.key_relays.move_to_end((incarnation, key))
        return updates

    def _next_keys(self) -> Iterator[tuple[Incarnation, str]]:
        """Yields changed counters first, then a few of all counters in rotation."""
        yield from list(islice(self.key_relays, MAX_CHANGED_KEYS_PER_PAGE))
        for _ in range(MAX_REPEATED_KEYS_PER_PAGE):
            if not self.keys_to_repeat:
                self.keys_to_repeat = [
                    (incarnation, key)
                    for incarnation, record in self.by_incarnation.items()
                    for key in record.counters
                ]
                if not self.keys_to_repeat:
                    return
            incarnation, key = self.keys_to_repeat.pop()
            if incarnation in self.by_incarnation and (incarnation, key) not in self.key_relays:
                yield incarnation, key
