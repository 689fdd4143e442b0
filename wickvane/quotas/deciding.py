"""What the decider counts and finds for others, and hears of them: laid over whatever decider is at work."""

from threading import Lock

from wickvane.events import (
    FOREVER,
    Ending,
    EngineJudged,
    EngineState,
    InFlightElsewhere,
    LeaseChanged,
    TenantsCharged,
)
from wickvane.quotas import fleet_decisions
from wickvane.quotas.spread import NOTHING, Offer

BUSY = 10_000  # without a query for so long, what others hold is nothing to this dispatcher
LOOK = 1_000  # how often it is worked out what is needed
FAILED = frozenset((Ending.ERROR, Ending.RESET, Ending.NO_CONNECTION, Ending.NO_ANSWER))
SETTLING = 500  # added to the time expected, as the module does, so that a short pause is no slowness
MET_MOST = 1024  # ends that wait to be told


class Box:
    """Between the decider's thread and that of peers."""

    def __init__(self):
        self.lock, self.sums, self.works, self.met = Lock(), {}, {}, []
        self.levels, self.ready, self.asked = {}, (), 0
        self.needs, self.needs_at, self.busy_at, self.taken = NOTHING, -BUSY, -BUSY, 0

    def count(self, key):
        with self.lock:
            self.sums[key] = self.sums.get(key, 0) + 1

    def take(self, now):
        """An Offer; now: by the decider's clock. What was needed long ago is needed no more."""
        with self.lock:
            sums, self.sums = self.sums, {}
            met, self.met = self.met, []
            needs = self.needs if now - self.needs_at < BUSY else NOTHING
            return Offer(
                self.levels,
                list(sums.items()),
                {t: int(w) // 10 for t, w in self.works.items()},
                self.asked // 10,
                needs,
                met,
                self.ready,
                self.taken,
            )


def newly_ejected(scheduler, before):
    """Engines that the module set aside by what it met itself since the last call, which some do without an
    ending: silence. before: kept for the next call. What others said sets no longer time to stay away."""
    times = scheduler.engines.ejection_time
    found = [e for e, length in enumerate(times) if e < len(before) and length > before[e]]
    before[:] = times
    return found


def counting(base, apart=0):
    """The class of deciders `base` that also counts into its `box`. apart: its clock less that of peers."""

    class Counting(base):
        def __init__(self, *words):
            super().__init__(*words)
            self.box, self.looked, self.told_parts, self.asides = Box(), 0, 0, []
            self.tenant_names = list(self.registry.tenants.index)
            self.fleet = fleet_decisions.join(self.scheduler)

        def tenant(self, pending):
            return self.tenant_names[pending.tenant] if pending.tenant < len(self.tenant_names) else ""

        def met(self, engine, failed, slow):
            with self.box.lock:
                if engine and len(self.box.met) < MET_MOST:
                    self.box.met.append((engine, failed, slow))

        def tally(self, what, pending):
            self.box.count(f"{what}/{self.registry.group_names[pending.rg]}/{self.tenant(pending)}")

        def round(self, items):
            super().round(items)
            names, scheduler, box = self.registry.engines.names, self.scheduler, self.box
            box.levels = {
                names[e]: n for e, n in enumerate(scheduler.engines.in_flight) if n > 0 and names[e]
            }
            box.taken = self.told_parts  # the module has them: whatever it decides from here on goes by them
            if self.now - self.looked >= LOOK:
                self.looked = self.now
                for e in newly_ejected(scheduler, self.asides):
                    self.met(names[e], 1, None)
                box.ready = [
                    names[e]
                    for e, state in enumerate(scheduler.engines.state)
                    if state == EngineState.READY and names[e]
                ]
                box.needs, box.needs_at = self.fleet.needs(), self.now

        def taken(self, pending, again=False):
            super().taken(pending, again)
            self.box.busy_at = self.now
            self.box.asked += pending.cost or int(self.scheduler.estimates.mean_cost[pending.resource_group])
            self.tally("taken", pending)

        def start_attempt(self, q, engine, max_wait, start_by):
            self.box.count(f"sent/{self.registry.engines.names[engine]}")
            super().start_attempt(q, engine, max_wait, start_by)

        def ended(self, attempt, ending, elapsed, complete):
            super().ended(attempt, ending, elapsed, complete)
            if attempt.queue is None:
                return
            pending, slow = attempt.pending, None
            threads = self.registry.deployment.groups[pending.resource_group].threads
            if ending == Ending.FINISHED:
                self.box.count(f"done/{attempt.queue.name}")
                self.tally("finished", pending)
                work = attempt.work or elapsed * threads
                with self.box.lock:
                    tenant = self.tenant(pending)
                    self.box.works[tenant] = self.box.works.get(tenant, 0) + work
                if pending.cost or attempt.work:
                    slow = elapsed / ((attempt.work or pending.cost) / threads + SETTLING)
            if ending == Ending.FINISHED or ending in FAILED:
                self.met(attempt.queue.name, int(ending in FAILED), slow)

        def reject(self, q, retry_after):
            self.tally("deferred", self.registry.queries.names[q])
            super().reject(q, retry_after)

        def fail(self, q):
            self.tally("killed", self.registry.queries.names[q])
            super().fail(q)

        def others(self, totals, age, at):
            late = age + max(0, self.now - at)
            for name, e in self.registry.engines.of.items():
                if name in self.registry.listed:
                    self.events.append(InFlightElsewhere(e, totals.get(name, 0), late))

        def parted(self, number, figures):
            self.told_parts = number
            for what, (part, until, then) in enumerate(figures):
                # One without an end stands until the next is told.
                self.events.append(
                    LeaseChanged(what, part, FOREVER if until is None else until + apart, then)
                )

        def charged(self, works):
            self.events.append(TenantsCharged([works.get(name, 0) * 10 for name in self.tenant_names]))

        def judged(self, found, at):
            late = max(0, self.now - at)
            for name, (bad, slow, age) in found.items():
                if name in self.registry.listed:
                    self.events.append(EngineJudged(self.registry.engines.of[name], bad, slow, age + late))

        READERS = base.READERS | {name: name for name in ("others", "parted", "charged", "judged")}

    return Counting


class Out:
    """The decider's side of a Spread: what is heard goes into its inbox. heeds: a set of what decisions may
    go by: "others", "charges", "opinions"; parts they always go by."""

    def __init__(self, inbox, clock, box, heeds, told):
        """told(event, fields): a line of the log."""
        self.inbox, self.clock, self.box, self.heeds, self.told = inbox, clock, box, heeds, told
        self.slow, self.doubted = False, frozenset()

    def busy(self, at):
        return at - self.box.busy_at < BUSY

    def others(self, totals, age, oldest, counted, left_out):
        at = self.clock.now()
        if "others" in self.heeds and counted and self.busy(at):
            self.inbox.put(("others", totals, age, at))

    def charged(self, works):
        if "charges" in self.heeds and self.busy(self.clock.now()):
            self.inbox.put(("charged", works))

    def parts(self, number, figures):
        # Never left out: what was lent is used by another as soon as this is taken in.
        self.inbox.put(("parted", number, figures), always=True)

    def judged(self, found, pool, spared):
        from wickvane.quotas.opinions import SLOW_ALL

        at = self.clock.now()
        if "opinions" in self.heeds and found and self.busy(at):
            self.inbox.put(("judged", found, at))
        slow = pool is not None and pool >= SLOW_ALL
        if slow != self.slow:
            self.slow = slow
            self.told("shares-pool-slow" if slow else "shares-pool-well", {"slowness": round(pool or 0, 2)})
        doubted = frozenset(engine for engine, (bad, _, _) in found.items() if bad)
        for engine in sorted(doubted - self.doubted):
            self.told("shares-engine-doubted", {"engine": engine, "spared": len(spared)})
        for engine in sorted(self.doubted - doubted):
            self.told("shares-engine-cleared", {"engine": engine})
        self.doubted = doubted
