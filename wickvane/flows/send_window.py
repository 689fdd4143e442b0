"""Decides which messages are sent to a collector, in which order, and which are sent again.

This module does no I/O and reads no clock.

A Backlog holds messages by index in segments (files or memory). A SendWindow tracks what one collector has
been sent. The messages sent last stay in the window until enough octets have followed them that the collector
must have read them, because TCP acknowledges what reached the peer's kernel, not the peer's program. A
message may therefore be sent twice but is never lost with a connection. Flow id, part and sequence are the
same both times, so collectors can detect the repetition.

An AddressSelector chooses which of a collector's addresses is dialled.
"""

from array import array
from collections import deque

MIN_BACK_OFF_TICKS, MAX_BACK_OFF_TICKS = 2_500, 100_000  # ticks between attempts to connect to one address
MAX_REMEMBERED_REPEATS = 65_536  # messages remembered as sent before
CATCH_UP_BURST_S = 0.25  # seconds of the catch-up rate that may be sent at once


CORRUPT, UNCOUNTED = 0xFFFFFFFF, 0xFFFFFFFE  # stored instead of a message's count of flow records


class Segment:
    """Consecutive messages from index `first` on.

    ends: end offset of each message, counted from the end of the segment's header; counts: flow records in
    each message; base: octets of the header; file_name: None if the segment is in memory."""

    __slots__ = ("first", "generation", "base", "ends", "counts", "messages_in_memory", "file_name")

    def __init__(self, first, generation, base=0, file_name=None):
        self.first, self.generation, self.base, self.file_name = first, generation, base, file_name
        self.ends, self.counts = array("I"), array("I")
        self.messages_in_memory = [] if file_name is None else None  # the messages of a segment in memory

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
        """Returns (offset, size) of a message in the segment's file."""
        n = index - self.first
        begin = self.ends[n - 1] if n else 0
        return self.base + begin, self.ends[n] - begin


class Backlog:
    """Segments in order of their indices, bounded in octets.

    At the bound, policy "oldest" drops whole segments, oldest first, and "newest" rejects new messages."""

    def __init__(self, max_size, policy, max_segment_size):
        self.max_size, self.policy, self.max_segment_size = (
            max_size,
            policy,
            min(max_segment_size, max(1, max_size // 4)),
        )
        self.segments, self.size, self.next = deque(), 0, 0

    @property
    def first(self):
        """Index of the first message."""
        return self.segments[0].first if self.segments else self.next

    def set_limits(self, max_size, policy, max_segment_size):
        self.max_size, self.policy, self.max_segment_size = (
            max_size,
            policy,
            min(max_segment_size, max(1, max_size // 4)),
        )

    def restore(self, segments):
        """Adds the segments that the spool held at start-up, in order."""
        self.segments.extend(segments)
        self.size = sum(segment.size for segment in segments)
        self.next = max([self.next] + [segment.next for segment in segments])

    def admit(self, size):
        """Returns whether a message of `size` octets is admitted, and the segments dropped for it."""
        if self.size + size <= self.max_size:
            return True, []
        if self.policy == "newest":
            return False, []
        removed = []
        while self.size + size > self.max_size and len(self.segments) > 1:
            removed.append(self.pop())
        return self.size + size <= self.max_size, removed

    def needs_segment(self, generation):
        """Returns whether the next message needs a new segment: the last is full or has other templates."""
        if not self.segments:
            return True
        last = self.segments[-1]
        return last.size >= self.max_segment_size or last.generation != generation

    def open(self, segment):
        """Adds an empty segment for the next messages."""
        self.segments.append(segment)

    def append(self, size, count):
        """Adds a message of `size` octets and `count` flow records; returns its index."""
        self.segments[-1].add(size, count)
        self.size += size
        self.next += 1
        return self.next - 1

    def pop(self):
        """Removes and returns the oldest segment."""
        segment = self.segments.popleft()
        self.size -= segment.size
        return segment

    def remove_below(self, floor):
        """Removes and returns the segments that lie wholly below index `floor`. The last segment stays."""
        removed = []
        while len(self.segments) > 1 and self.segments[0].next <= floor:
            removed.append(self.pop())
        return removed

    def find(self, index):
        """Returns the segment that holds a message, or None."""
        # Nearly all searches are for the first or the last segment.
        if self.segments and index >= self.segments[-1].first:
            return self.segments[-1] if index < self.next else None
        return next((segment for segment in self.segments if segment.first <= index < segment.next), None)


class SendWindow:
    """What one collector was sent from a backlog, and what is still to be sent.

    next_live: index of the next message that arrived since the connection was made; these are sent first.
    pending_ranges: index ranges of older messages in order, sent at `catch_up_rate` octets per second so that
    new messages are not delayed."""

    def __init__(self, resend_size, catch_up_rate, first, next):
        self.resend_size, self.catch_up_rate = resend_size, catch_up_rate
        self.pending_ranges = deque([[first, next]] if next > first else ())
        self.next_live, self.is_connected, self.repeats = next, False, set()
        self.recent, self.recent_size = deque(), 0
        self.tokens, self.filled_at = 0.0, None
        self.messages = self.records = self.octets = self.repeated = 0
        self.not_sent = [0, 0, 0]  # flow records, messages, octets
        self.not_sent_by_group = {}  # [flow records, octets] dropped unsent, by resource group

    def connected(self, now, next):
        """Moves all waiting messages to the pending ranges; messages from index `next` on are live."""
        self.requeue([[self.next_live, next]])
        self.next_live, self.is_connected, self.tokens, self.filled_at = (
            next,
            True,
            self.catch_up_rate * CATCH_UP_BURST_S,
            now,
        )

    def connection_lost(self):
        """Schedules again all messages that the collector may not have read."""
        self.is_connected = False
        sent_last = [index for index, _ in self.recent]
        for index in sent_last:
            if len(self.repeats) < MAX_REMEMBERED_REPEATS:
                self.repeats.add(index)
        self.requeue([[index, index + 1] for index in sent_last])
        self.recent.clear()
        self.recent_size = 0

    def all_delivered(self):
        """Empties the window: the collector read to the end and closed, so nothing has to be sent again."""
        self.is_connected = False
        self.recent.clear()
        self.recent_size = 0

    def requeue(self, ranges):
        """Adds index ranges to the pending ranges, merged and in order."""
        joined = deque()
        for begin, end in sorted([r for r in ranges if r[0] < r[1]] + list(self.pending_ranges)):
            if joined and begin <= joined[-1][1]:
                joined[-1][1] = max(joined[-1][1], end)
            else:
                joined.append([begin, end])
        self.pending_ranges = joined

    def next_index(self, now, next):
        """Returns the index to send now, or None if there is none.

        A negative number is minus the ticks until the catch-up rate allows the next message."""
        if self.next_live < next:
            return self.next_live
        if not self.pending_ranges:
            return None
        if self.filled_at is not None and now > self.filled_at:
            self.tokens = min(
                self.catch_up_rate * CATCH_UP_BURST_S,
                self.tokens + (now - self.filled_at) / 10_000 * self.catch_up_rate,
            )
        self.filled_at = now if self.filled_at is None else max(now, self.filled_at)
        if self.tokens < 0:
            return -max(1, int(-self.tokens / self.catch_up_rate * 10_000))
        return self.pending_ranges[0][0]

    def record_sent(self, index, size, count, flows):
        """Records a message as sent.

        Called before its first octet is written, so a partly written message counts as sent."""
        if index == self.next_live:
            self.next_live += 1
        else:
            self.tokens -= size
            self.pending_ranges[0][0] += 1
            if self.pending_ranges[0][0] >= self.pending_ranges[0][1]:
                self.pending_ranges.popleft()
        self.recent.append((index, size))
        self.recent_size += size
        while self.recent_size - self.recent[0][1] >= self.resend_size:
            self.recent_size -= self.recent.popleft()[1]
        if index in self.repeats:
            self.repeats.discard(index)
            self.repeated += 1
        else:
            self.messages += 1
            self.records += flows
            self.octets += size

    def skip(self, index):
        """Skips a message that can no longer be read, so that it does not block those after it."""
        if index == self.next_live:
            self.next_live += 1
        elif self.pending_ranges and self.pending_ranges[0][0] == index:
            self.pending_ranges[0][0] += 1
            if self.pending_ranges[0][0] >= self.pending_ranges[0][1]:
                self.pending_ranges.popleft()

    def lowest_needed_index(self):
        """Returns the lowest index that may still have to be sent; nothing below it is needed any more."""
        lowest = [self.next_live]
        if self.pending_ranges:
            lowest.append(self.pending_ranges[0][0])
        if self.recent:
            # The minimum, not the first entry, because live and older messages were sent interleaved.
            lowest.append(min(index for index, _ in self.recent))
        return min(lowest)

    def discard(self, begin, end):
        """Forgets the dropped messages [begin, end) and returns the indices of those that were never sent."""
        unsent, remaining = [], deque()
        for low, high in self.pending_ranges:
            unsent.extend(n for n in range(max(low, begin), min(high, end)) if n not in self.repeats)
            if low < begin:
                remaining.append([low, min(high, begin)])
            if high > end:
                remaining.append([max(low, end), high])
        self.pending_ranges = remaining
        if self.next_live < end:
            unsent.extend(range(max(self.next_live, begin), end))
            self.next_live = end
        self.recent = deque((index, size) for index, size in self.recent if not begin <= index < end)
        self.recent_size = sum(size for _, size in self.recent)
        self.repeats = {n for n in self.repeats if not begin <= n < end}
        return unsent

    def count_not_sent(self, messages, size, groups):
        """Counts dropped or rejected messages. groups: {resource group: flow records} in them."""
        flows = sum(groups.values())
        for n, amount in enumerate((flows, messages, size)):
            self.not_sent[n] += amount
        for group, count in groups.items():
            totals = self.not_sent_by_group.setdefault(group, [0, 0])
            totals[0] += count
            totals[1] += size * count // max(1, flows)


class AddressSelector:
    """Chooses which address of a collector is dialled: the first that is not in back-off.

    After `return_after` ticks on a standby, the primary (the first address) is due to be tried again."""

    def __init__(self, count, return_after, random):
        self.count, self.return_after, self.random = count, return_after, random
        self.retry_at, self.back_off, self.current, self.current_since = [0] * count, [0] * count, -1, 0

    def choose(self, now):
        """Returns (position of the address to dial now, 0), or (-1, ticks until one may be dialled)."""
        for n in range(self.count):
            if now >= self.retry_at[n]:
                return n, 0
        return -1, max(1, min(self.retry_at) - now)

    def connected(self, n, now):
        """Notes a connection to address `n` and resets its back-off."""
        self.current, self.current_since, self.back_off[n] = n, now, 0

    def failed(self, n, now):
        """Notes a failure of address `n` and doubles its back-off."""
        # Random jitter keeps dispatchers that lost a collector together from reconnecting together.
        self.current = -1
        self.back_off[n] = min(MAX_BACK_OFF_TICKS, 2 * self.back_off[n] or MIN_BACK_OFF_TICKS)
        self.retry_at[n] = now + int(self.back_off[n] * self.random.uniform(0.5, 1.0))

    def reset_back_off(self, n):
        """Resets the back-off after a connection that lasted: the next failure starts a new sequence."""
        self.back_off[n] = 0

    def is_return_due(self, now):
        """Returns whether the primary should be tried again."""
        return self.current > 0 and now - self.current_since >= self.return_after and now >= self.retry_at[0]

    def postpone_return(self, now):
        """Keeps the standby, because the primary did not answer; the primary is tried again later."""
        self.current_since = now
