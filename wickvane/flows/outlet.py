"""What goes to which collector, and when again: decisions and state, no I/O, no clock of its own.

Messages stand in one line by index, in segments (files or memory). An Outlet is one way out of that line:
what it was handed lately stays due again until so much has followed it that the collector must have read it,
since TCP acknowledges what reached the other kernel, not the other program. So a message may be told twice,
never lost with a connection; flow id, part and sequence are the same both times, by which the repeat is told.

A Route says which of an outlet's collectors is tried: the first that may be, back to the first after a time.
"""

from array import array
from collections import deque

BACK_OFF_FIRST, BACK_OFF_MOST = 2_500, 100_000  # tenths of a millisecond between tries at one collector
REPEATS_MOST = 65_536  # messages of which it is remembered that they were handed before
BURST = 0.25  # seconds of the catch-up pace that may go at once


SPOILT, UNCOUNTED = 0xFFFFFFFF, 0xFFFFFFFE  # in place of a message's count of flow records


class Segment:
    """Messages from index `first` on: their ends (offsets behind the segment's own head), and how many flow
    records each holds. base: octets of that head; place: the file, or None for one in memory."""

    __slots__ = ("first", "generation", "base", "ends", "counts", "held", "place")

    def __init__(self, first, generation, base=0, place=None):
        self.first, self.generation, self.base, self.place = first, generation, base, place
        self.ends, self.counts = array("I"), array("I")
        self.held = [] if place is None else None  # in memory: the messages themselves

    def __len__(self):
        return len(self.ends)

    @property
    def next(self):
        return self.first + len(self.ends)

    @property
    def size(self):
        return self.ends[-1] if self.ends else 0

    def add(self, size, count):
        self.ends.append(self.size + size)
        self.counts.append(count)

    def span(self, index):
        """(offset, size) of a message in the segment's file."""
        n = index - self.first
        begin = self.ends[n - 1] if n else 0
        return self.base + begin, self.ends[n] - begin


class Backlog:
    """The line of segments, bounded in octets. What happens at the bound is `policy`: "oldest" lets whole
    segments go, first written first; "newest" refuses what is new."""

    def __init__(self, most, policy, segment_most):
        self.most, self.policy, self.segment_most = most, policy, min(segment_most, max(1, most // 4))
        self.segments, self.size, self.next = deque(), 0, 0

    @property
    def first(self):
        return self.segments[0].first if self.segments else self.next

    def limits(self, most, policy, segment_most):
        self.most, self.policy, self.segment_most = most, policy, min(segment_most, max(1, most // 4))

    def restore(self, segments):
        """What a spool held at the start, in order."""
        self.segments.extend(segments)
        self.size = sum(segment.size for segment in segments)
        self.next = max([self.next] + [segment.next for segment in segments])

    def admit(self, size):
        """Whether a message of `size` octets may enter, and the segments that must go for it."""
        if self.size + size <= self.most:
            return True, []
        if self.policy == "newest":
            return False, []
        gone = []
        while self.size + size > self.most and len(self.segments) > 1:
            gone.append(self.pop())
        return self.size + size <= self.most, gone

    def needs_segment(self, generation):
        if not self.segments:
            return True
        last = self.segments[-1]
        return last.size >= self.segment_most or last.generation != generation

    def open(self, segment):
        self.segments.append(segment)

    def append(self, size, count):
        self.segments[-1].add(size, count)
        self.size += size
        self.next += 1
        return self.next - 1

    def pop(self):
        segment = self.segments.popleft()
        self.size -= segment.size
        return segment

    def passed(self, floor):
        """Segments that nobody needs any more: all of them lies below `floor`. The last one stays."""
        gone = []
        while len(self.segments) > 1 and self.segments[0].next <= floor:
            gone.append(self.pop())
        return gone

    def find(self, index):
        # Nearly always asked for at either end.
        if self.segments and index >= self.segments[-1].first:
            return self.segments[-1] if index < self.next else None
        return next((segment for segment in self.segments if segment.first <= index < segment.next), None)


class Outlet:
    """One way out of a backlog. live: the next of what came since the connection is up, which goes first;
    behind: ranges of older ones, in order, at `pace` octets a second, so that new ones are not delayed."""

    def __init__(self, window, pace, first, next):
        self.window, self.pace = window, pace
        self.behind = deque([[first, next]] if next > first else ())
        self.live, self.up, self.repeats = next, False, set()
        self.recent, self.recent_size = deque(), 0
        self.tokens, self.filled_at = 0.0, None
        self.messages = self.records = self.octets = self.repeated = 0
        self.not_sent = [0, 0, 0]  # flow records, messages, octets
        self.groups = {}  # flow records and octets let go of, by resource group

    def connected(self, now, next):
        """What waited meanwhile is behind now; what comes from here on is live."""
        self.put_back([[self.live, next]])
        self.live, self.up, self.tokens, self.filled_at = next, True, self.pace * BURST, now

    def broke(self):
        """The connection is gone, and with it whatever the collector may not have read."""
        self.up = False
        again = [index for index, _ in self.recent]
        for index in again:
            if len(self.repeats) < REPEATS_MOST:
                self.repeats.add(index)
        self.put_back([[index, index + 1] for index in again])
        self.recent.clear()
        self.recent_size = 0

    def delivered(self):
        """The collector read to the end and closed: nothing of it is due again."""
        self.up = False
        self.recent.clear()
        self.recent_size = 0

    def put_back(self, ranges):
        joined = deque()
        for begin, end in sorted([r for r in ranges if r[0] < r[1]] + list(self.behind)):
            if joined and begin <= joined[-1][1]:
                joined[-1][1] = max(joined[-1][1], end)
            else:
                joined.append([begin, end])
        self.behind = joined

    def next(self, now, next):
        """The index to hand out now, None where there is none, or a negative number: tenths of a millisecond
        after which the pace allows one."""
        if self.live < next:
            return self.live
        if not self.behind:
            return None
        if self.filled_at is not None and now > self.filled_at:
            self.tokens = min(self.pace * BURST, self.tokens + (now - self.filled_at) / 10_000 * self.pace)
        self.filled_at = now if self.filled_at is None else max(now, self.filled_at)
        if self.tokens < 0:
            return -max(1, int(-self.tokens / self.pace * 10_000))
        return self.behind[0][0]

    def handed(self, index, size, count, flows):
        """Before the first octet of it goes out: what is half written counts as handed."""
        if index == self.live:
            self.live += 1
        else:
            self.tokens -= size
            self.behind[0][0] += 1
            if self.behind[0][0] >= self.behind[0][1]:
                self.behind.popleft()
        self.recent.append((index, size))
        self.recent_size += size
        while self.recent_size - self.recent[0][1] >= self.window:
            self.recent_size -= self.recent.popleft()[1]
        if index in self.repeats:
            self.repeats.discard(index)
            self.repeated += 1
        else:
            self.messages += 1
            self.records += flows
            self.octets += size

    def skip(self, index):
        """A message that can no longer be read, so that nothing waits behind it."""
        if index == self.live:
            self.live += 1
        elif self.behind and self.behind[0][0] == index:
            self.behind[0][0] += 1
            if self.behind[0][0] >= self.behind[0][1]:
                self.behind.popleft()

    def floor(self):
        """The lowest index that may still be due; all below it is needed no more."""
        lowest = [self.live]
        if self.behind:
            lowest.append(self.behind[0][0])
        if self.recent:
            # Not the first: live ones and older ones were handed out among each other.
            lowest.append(min(index for index, _ in self.recent))
        return min(lowest)

    def let_go(self, begin, end):
        """Messages [begin, end) are gone: the indices of those that this outlet never handed out."""
        lost, kept = [], deque()
        for low, high in self.behind:
            lost.extend(n for n in range(max(low, begin), min(high, end)) if n not in self.repeats)
            if low < begin:
                kept.append([low, min(high, begin)])
            if high > end:
                kept.append([max(low, end), high])
        self.behind = kept
        if self.live < end:
            lost.extend(range(max(self.live, begin), end))
            self.live = end
        self.recent = deque((index, size) for index, size in self.recent if not begin <= index < end)
        self.recent_size = sum(size for _, size in self.recent)
        self.repeats = {n for n in self.repeats if not begin <= n < end}
        return lost

    def count_lost(self, messages, size, groups):
        """groups: {resource group: flow records} of what was let go of."""
        flows = sum(groups.values())
        for n, more in enumerate((flows, messages, size)):
            self.not_sent[n] += more
        for group, count in groups.items():
            had = self.groups.setdefault(group, [0, 0])
            had[0] += count
            had[1] += size * count // max(1, flows)


class Route:
    """Which of an outlet's collectors is dialled: the first, else the next that is not held back; from a
    standby it goes home once the first has been left alone for `home` tenths of a millisecond."""

    def __init__(self, count, home, chance):
        self.count, self.home, self.chance = count, home, chance
        self.held_until, self.back_off, self.at, self.since = [0] * count, [0] * count, -1, 0

    def choose(self, now):
        """(collector, wait): the one to dial now, or -1 and how long until one may be."""
        for n in range(self.count):
            if now >= self.held_until[n]:
                return n, 0
        return -1, max(1, min(self.held_until) - now)

    def up(self, n, now):
        self.at, self.since, self.back_off[n] = n, now, 0

    def failed(self, n, now):
        # Spread by lot: dispatchers that lost one collector together do not come back together.
        self.at = -1
        self.back_off[n] = min(BACK_OFF_MOST, 2 * self.back_off[n] or BACK_OFF_FIRST)
        self.held_until[n] = now + int(self.back_off[n] * self.chance.uniform(0.5, 1.0))

    def worked(self, n):
        # Its connection lived for a time: what comes next is a new failure, not the next of a row.
        self.back_off[n] = 0

    def goes_home(self, now):
        return self.at > 0 and now - self.since >= self.home and now >= self.held_until[0]

    def stays(self, now):
        """The first did not answer: the standby is kept, and the way home is tried later."""
        self.since = now
