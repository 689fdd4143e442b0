"""What the decider counts for others, and hears of them: laid over whatever decider is at work."""

from threading import Lock

from wickvane import interface as i

BUSY = 10_000  # without a query for so long, what others hold is nothing to this dispatcher


class Box:
    """Between the decider's thread and that of peers."""

    def __init__(self):
        self.lock, self.levels, self.sums, self.busy_at = Lock(), {}, {}, -BUSY

    def count(self, key):
        with self.lock:
            self.sums[key] = self.sums.get(key, 0) + 1

    def take(self):
        """(levels by engine, [(key, counted since the last call)])"""
        with self.lock:
            sums, self.sums = self.sums, {}
            return self.levels, list(sums.items())


def counting(base):
    """The class of deciders `base` that also counts into its `box`."""
    class Counting(base):
        def __init__(self, *words):
            super().__init__(*words)
            self.box = Box()
            self.tenant_names = list(self.book.tenants.index)

        def tally(self, what, ticket):
            tenant = self.tenant_names[ticket.tenant] if ticket.tenant < len(self.tenant_names) else ""
            self.box.count(f"{what}/{self.book.group_names[ticket.rg]}/{tenant}")

        def round(self, items):
            super().round(items)
            names, mine = self.book.engines.names, self.gateway.mine
            self.box.levels = {names[e]: n for e, n in enumerate(mine) if n > 0 and names[e]}

        def taken(self, ticket, again=False):
            super().taken(ticket, again)
            self.box.busy_at = self.now
            self.tally("taken", ticket)

        def submit(self, q, engine, wait):
            self.box.count(f"sent/{self.book.engines.names[engine]}")
            super().submit(q, engine, wait)

        def ended(self, submission, ending, elapsed, complete):
            super().ended(submission, ending, elapsed, complete)
            if ending == i.FINISHED and submission.lane is not None:
                self.box.count(f"done/{submission.lane.name}")
                self.tally("finished", submission.ticket)

        def defer(self, q, stay_away):
            self.tally("deferred", self.book.queries.names[q])
            super().defer(q, stay_away)

        def kill(self, q):
            self.tally("killed", self.book.queries.names[q])
            super().kill(q)

        def others(self, totals, age, at):
            late = age + max(0, self.now - at)
            for name, e in self.book.engines.of.items():
                if name in self.book.listed:
                    self.events.append((i.OTHERS, e, totals.get(name, 0), late))

        READERS = base.READERS | {"others": "others"}

    return Counting
