"""Evaluates the records that a collector received: detects repetitions and gaps, and adds up sums. No I/O.

Used by the command `wickvane flows` and by tests of the export. A record that was sent twice has the flow id
and part of one already seen. Records in a gap of the sequence count as lost until they arrive late.
"""

from bisect import bisect_right

MAX_RANGES = 1024  # ranges of a domain's sequence held at once
MAX_SEEN_RECORDS = 2_000_000  # (flow id, part) held to detect repetitions
HALF_RANGE = 1 << 31
SIDES = {1: "client", 2: "engine"}
REASONS = {1: "idle", 2: "active", 3: "end", 4: "forced", 5: "resources"}
ANSWERS = ("queriesFinished", "queriesDeferred", "queriesKilled", "queriesLeft")
SUMMED = (
    "deltaFlowCount",
    "octetDeltaCount",
    "reverseOctetDeltaCount",
    "messageDeltaCount",
    "reverseMessageDeltaCount",
    *ANSWERS,
    "submissionsFirst",
    "submissionsFurther",
)


class Sequence:
    """The numbers of one domain's sequence (modulo 2**32) that arrived.

    Gaps are lost until they are filled."""

    def __init__(self):
        self.ranges, self.base, self.lost_for_good = [], None, 0  # [begin, end) unwrapped, ascending

    def add(self, sequence, count):
        """Adds `count` numbers from `sequence` on.

        Returns "new", "late" (it fills a gap: reordered or sent again) or "repeated"."""
        if self.base is None:
            self.base = sequence
        if not count:
            return "new"
        near = self.ranges[-1][1] if self.ranges else self.base
        begin = near + (sequence - near + HALF_RANGE) % (1 << 32) - HALF_RANGE
        end = begin + count
        n = bisect_right(self.ranges, [begin, 1 << 62])
        if n and self.ranges[n - 1][1] >= end:
            return "repeated"
        late = bool(self.ranges) and begin < self.ranges[-1][1]
        while n and self.ranges[n - 1][1] >= begin:
            n -= 1
            begin, end = min(begin, self.ranges[n][0]), max(end, self.ranges[n][1])
            del self.ranges[n]
        while n < len(self.ranges) and self.ranges[n][0] <= end:
            end = max(end, self.ranges[n][1])
            del self.ranges[n]
        self.ranges.insert(n, [begin, end])
        if len(self.ranges) > MAX_RANGES:
            # The oldest gap is counted as lost for good and can no longer be filled.
            first = self.ranges.pop(0)
            self.lost_for_good += self.ranges[0][0] - first[1]
            self.ranges[0][0] = first[0]
        return "late" if late else "new"

    @property
    def lost(self):
        return self.lost_for_good + sum(b[0] - a[1] for a, b in zip(self.ranges, self.ranges[1:]))


class Collected:
    """Evaluates events of a Reader by domain: each record once, the latest statistics, and the sequences.

    keep: all records are kept in the list `kept`."""

    def __init__(self, keep=False):
        self.seen, self.records, self.repeated, self.unknown = {}, 0, 0, 0
        self.sequences, self.statistics, self.not_sent, self.malformed = {}, {}, {}, 0
        self.sums, self.kept, self.arrivals = {}, [] if keep else None, {"new": 0, "late": 0, "repeated": 0}

    def take(self, event, on_new_record=lambda record: None):
        """Adds one event of a Reader; calls `on_new_record` with each flow record not seen before."""
        kind, domain = event[0], event[1]
        if kind == "record":
            record = event[3]
            key = domain, record.get("flowId"), record.get("flowPart", record.get("flowStartMilliseconds"))
            if key in self.seen:
                self.repeated += 1
                return
            if len(self.seen) >= MAX_SEEN_RECORDS:
                del self.seen[next(iter(self.seen))]
            self.seen[key] = None
            self.records += 1
            self.add(record)
            on_new_record(record)
        elif kind == "options":
            record = event[3]
            if "collector" in record:
                self.statistics[domain, record["collector"]] = record
            elif "notSentFlowTotalCount" in record:
                key = domain, record.get("exportingProcessId"), record.get("resourceGroup")
                self.not_sent[key] = record
        elif kind == "unknown":
            self.unknown += 1
        elif kind == "end" and event[3] is not None:
            sequence = self.sequences.setdefault(domain, Sequence())
            self.arrivals[sequence.add(event[2], event[3])] += 1

    def add(self, record):
        if self.kept is not None:
            self.kept.append(record)
        side = SIDES.get(record.get("flowSide"), "?")
        for name in SUMMED:
            key = side, name
            self.sums[key] = self.sums.get(key, 0) + record.get(name, 0)

    def total(self, side, name):
        """Returns the sum of an element over the records of a side."""
        return self.sums.get((side, name), 0)

    @property
    def lost(self):
        return sum(sequence.lost for sequence in self.sequences.values())


def row_key_function(by):
    """Returns the function that gives a record's row in a table of sums by `by`."""

    def named(field, empty):
        return lambda record: record.get(field) or empty

    return {
        "group": named("resourceGroup", "(none)"),
        "tenant": named("tenant", "(none)"),
        "engine": named("engine", "(client side)"),
        "reason": lambda record: REASONS.get(record.get("flowEndReason"), "?"),
        "side": lambda record: SIDES.get(record.get("flowSide"), "?"),
        "client": lambda record: record.get("sourceIPv4Address") or record.get("sourceIPv6Address") or "?",
    }[by]


class Table:
    """Sums of records by a word of row_key_function(), or by time steps of `step` milliseconds."""

    def __init__(self, by, step=None):
        self.by, self.step, self.rows = by, step, {}
        self.row_key = (
            row_key_function(by)
            if step is None
            else (lambda record: record.get("flowEndMilliseconds", 0) // step * step)
        )

    def add(self, record):
        row = self.rows.setdefault(self.row_key(record), [0] * len(SUMMED))
        for n, name in enumerate(SUMMED):
            row[n] += record.get(name, 0)

    def shown(self):
        return [{self.by: key, **dict(zip(SUMMED, row))} for key, row in sorted(self.rows.items())]
