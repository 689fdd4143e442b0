"""What a collector makes of the records: repeats told apart, gaps found, sums made. No I/O.

Used by the command `wickvane flows`, and by whoever tests the export. A record that was told twice has the
flow id and part of one that was seen; what lies in a gap of the sequence was lost, until it comes late.
"""

from bisect import bisect_right

RANGES_MOST = 1024  # of a domain's sequence, held at once
SEEN_MOST = 2_000_000  # (flow id, part) held against repeats
HALF = 1 << 31
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
    """Which numbers of one domain's sequence (modulo 2**32) came: holes are lost, until something fills them.

    Each arrival is told as "new", "late" (it fills a hole: reordered or sent again) or "repeated"."""

    def __init__(self):
        self.ranges, self.base, self.forgotten = [], None, 0  # [begin, end) unwrapped, ascending

    def came(self, sequence, count):
        if self.base is None:
            self.base = sequence
        if not count:
            return "new"
        near = self.ranges[-1][1] if self.ranges else self.base
        begin = near + (sequence - near + HALF) % (1 << 32) - HALF
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
        if len(self.ranges) > RANGES_MOST:
            # The oldest hole is lost for good: it is counted, and no longer waited for.
            first = self.ranges.pop(0)
            self.forgotten += self.ranges[0][0] - first[1]
            self.ranges[0][0] = first[0]
        return "late" if late else "new"

    @property
    def lost(self):
        return self.forgotten + sum(b[0] - a[1] for a, b in zip(self.ranges, self.ranges[1:]))


class Collected:
    """The events of a Reader, by domain: records once each, statistics as last told, sequences."""

    def __init__(self, keep=False):
        self.seen, self.records, self.repeated, self.unknown = {}, 0, 0, 0
        self.sequences, self.statistics, self.not_sent, self.malformed = {}, {}, {}, 0
        self.sums, self.kept, self.arrivals = {}, [] if keep else None, {"new": 0, "late": 0, "repeated": 0}

    def take(self, event, fresh=lambda record: None):
        """One event of a Reader; `fresh` is called with each flow record that was not there before."""
        kind, domain = event[0], event[1]
        if kind == "record":
            record = event[3]
            mark = domain, record.get("flowId"), record.get("flowPart", record.get("flowStartMilliseconds"))
            if mark in self.seen:
                self.repeated += 1
                return
            if len(self.seen) >= SEEN_MOST:
                del self.seen[next(iter(self.seen))]
            self.seen[mark] = None
            self.records += 1
            self.add(record)
            fresh(record)
        elif kind == "options":
            record = event[3]
            if "collector" in record:
                self.statistics[domain, record["collector"]] = record
            elif "notSentFlowTotalCount" in record:
                place = domain, record.get("exportingProcessId"), record.get("resourceGroup")
                self.not_sent[place] = record
        elif kind == "unknown":
            self.unknown += 1
        elif kind == "end" and event[3] is not None:
            sequence = self.sequences.setdefault(domain, Sequence())
            self.arrivals[sequence.came(event[2], event[3])] += 1

    def add(self, record):
        if self.kept is not None:
            self.kept.append(record)
        side = SIDES.get(record.get("flowSide"), "?")
        for name in SUMMED:
            place = side, name
            self.sums[place] = self.sums.get(place, 0) + record.get(name, 0)

    def total(self, side, name):
        return self.sums.get((side, name), 0)

    @property
    def lost(self):
        return sum(sequence.lost for sequence in self.sequences.values())


def ways_of(by):
    """How a record is placed in a table of sums: by one of these words."""

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
    """Sums of records by one of ways_of, or by time steps of so many milliseconds."""

    def __init__(self, by, step=None):
        self.by, self.step, self.rows = by, step, {}
        self.place = (
            ways_of(by)
            if step is None
            else (lambda record: record.get("flowEndMilliseconds", 0) // step * step)
        )

    def add(self, record):
        row = self.rows.setdefault(self.place(record), [0] * len(SUMMED))
        for n, name in enumerate(SUMMED):
            row[n] += record.get(name, 0)

    def shown(self):
        return [{self.by: place, **dict(zip(SUMMED, row))} for place, row in sorted(self.rows.items())]
