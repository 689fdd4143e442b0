"""Every decision of a gateway: which query leaves, for which engine, when to try again, when to give up.

Called by wickvane.net (sockets) and wickvane.wirehost (bench): one Scheduler for each instance, and its
round() once a round with all that came in. Decisions go straight into out, the Writer of
wickvane/events.py, which also says what the events are. Times are whole tenths of a millisecond; work is
such a time of one thread.

The design (docs/design.md): queues by tenant, deficit round robin metered in cost, charge then correct,
reset, hash order of table groups, a thread bound under pressure. Mechanisms beside it:
 1 slow start: a cold engine counts for a part of its cores; what it is sent stays under the collapse rule
 2 ejection: an engine that fails, or is silent while others answer, gets nothing until a probe succeeds
 3 usefulness: a query that cannot earn its value in time gives way at once, also when it runs already
 4 fresh plan: a read-only query far behind its estimate, or lost, is ended and submitted anew
 5 worth: what waits leaves by value for its work; priority and memory are set so, where engines heed them
 6 load factor: how slow answers are stands for the other gateways' threads, in routing and in the bound
"""

from bisect import insort
from collections import Counter, deque
from hashlib import blake2b
from math import sqrt
from operator import attrgetter
from random import Random

from wickvane.engine_table import EngineTable, Lifetime
from wickvane.events import (
    FOREVER,
    AttemptEnded,
    AttemptProgressed,
    Budget,
    ClientGone,
    Effect,
    Ending,
    EndpointListLost,
    EngineState,
    EngineUpdated,
    KeyScope,
    Progress,
    QueryArrived,
    ShutdownStarted,
    TimerFired,
)
from wickvane.query import Query
from wickvane.units import TICKS_PER_SECOND

FIRST_ENGINES = 3  # of the hash order, among which the least loaded takes the query
FIRST_OF_MANY = 8  # the same where the bound on an engine is less than a query, which leaves nothing to tell
CONNECTING = 1.0  # threads a core by which, there, an engine must be easier that is to be connected to first
BOUND_THREADS = 2.0  # threads a core, over all gateways, where the bound starts
PRESSED = 1.5  # latency above its best at which the bound binds, and below which it grows
CROWDED = 2.5  # the usual crowd past which bounds are cut
WIDEN_LEAST, WIDEN_MOST = 0.75, 2.0  # of the bound's start; a bound that is no pool does not grow above it
OVERDUE = 1.5  # over the median, from which a submission that is out counts in it
MID_STEP, EASY_STEP = 1.2, 1.0002  # by which one answer moves the median, and its best back up
# Until what was seen of an engine's crowd has faded, but so many times as long as.
CROWD_LASTS = 6 * TICKS_PER_SECOND
HEARD_GAPS = 3.0  # it takes to hear of all engines once, where that is longer
QUANTUM_MEANS, WAIT_PART = 2.0, 0.2  # mean costs a visit; the part of its time that a query may wait here
STANDSTILL = 2 * TICKS_PER_SECOND  # a process may stand still so long, and go on as if nothing had been
TURN_PART = 0.75  # the same for its key: estimates err, and clients may count time from before they write
SWEEP, IDLE_SWEEP, ANSWER_MARGIN = (
    TICKS_PER_SECOND // 50,
    TICKS_PER_SECOND // 10,
    TICKS_PER_SECOND // 25,
)  # ahead of a limit: two sweeps
STOP_MARGIN, FOREVER, ORDERS_HELD = TICKS_PER_SECOND // 4, FOREVER, 4096
FAILING = 0.4  # smoothed share of failures at which an engine is set aside
EJECTION_FIRST, EJECTION_MOST = TICKS_PER_SECOND // 2, 8 * TICKS_PER_SECOND
LOST, LOST_MOST = 4.0, 0.5  # latency over expected of a query taken for lost; the share of those out
SPILL = 1.2  # over the usual crowd, from which an engine past the whole bound counts as at its bound
CROSSING = 0.5  # threads a core that an engine elsewhere must have less, where crossing is priced
GRANT_MARGIN = 1.5  # mean deviations of need over estimate that a grant allows for
FALL_SAFETY, LOTS = 0.5, 0.35  # of the collapse budget: true speeds are not told; where lots are drawn
BUSY = 0.85  # the share of cores that counts as an engine's capacity in the collapse rule
PACE_OVER = 2 * TICKS_PER_SECOND  # over which the work done is taken together for its pace
RUNAWAY = 3.0  # time still to run over a fresh start's, from which a new plan is worth the lost work


def hash_place(rank, table_group):
    """Where an engine, by its own id, stands in a table group's shared order; what proxies are told too."""
    return blake2b(rank + b"/" + str(table_group).encode(), digest_size=8).digest()


def warm_part(age, slow_start_fraction, slow_start_duration):
    """The share of its cores that an engine has at least, so long after its start."""
    return (
        1.0
        if age >= slow_start_duration
        else slow_start_fraction + (1 - slow_start_fraction) * max(0, age) / slow_start_duration
    )


class Scheduler:
    """One dispatcher's decisions and all that they rest on."""

    def __init__(self, seed, site):
        self.chance = Random(seed)
        self.site, self.groups, self.dispatcher_count = site, site.groups, site.dispatcher_count
        self.home = site.zone if site.cross_zone_cost else None
        self.ask_at = 0 if site.subscribes_to_endpoints else None
        self.until = FOREVER  # when this process may be ended
        # What a cold engine may get of one gateway in a window, in work a core.
        self.fall_work = (
            FALL_SAFETY * site.collapse_multiple * BUSY * site.collapse_window / site.dispatcher_count
        )
        self.queries, self.running, self.again = {}, {}, deque()
        self.keys, self.rests, self.taken_at, self.extra_at = {}, {}, deque(), deque()
        self.mean, self.mean_all = [0.0] * len(site.groups), 0.0
        self.told_over, self.told_off = [1.0] * len(site.groups), [0.25] * len(site.groups)
        shares = [share for share, _ in site.tenants]
        self.weight = [share * len(shares) / (sum(shares) or 1) or 1.0 for share in shares]
        self.lines, self.deficit = [[] for _ in shares], [0.0] * len(shares)
        self.ring, self.at, self.visiting, self.short = [], 0, False, False
        self.engines, self.per_query = EngineTable(), (0.0, 0.0)
        self.crowd_mid = self.median = self.easy = 1.0
        self.gap, self.answer_at, self.lasts = 0.0, 0, CROWD_LASTS
        # The hook for fleets: wickvane.quotas.fleet lays its decisions over this module's here. share: the
        # quotas of BOUNDS and COLD in parts of what is configured; denied: whether more of COLD was wanted.
        self.fleet, self.share, self.denied = None, [1.0, 1.0], False
        self.orders, self.told_need, self.fit = {}, False, {}  # fit: found out once a sweep, or list change
        self.widen, self.narrowed, self.base = 1.0, 0, 0.0
        self.no_room, self.pool, self.widest, self.used = set(), None, 0.0, 0  # found out once a round
        self.done, self.done_at, self.back_at = 0.0, 0, 0.0  # work lately done; when the last told comes back
        self.now, self.out, self.next_sweep, self.armed = 0, None, 0, None

    def round(self, now, events, out):
        self.now, self.out = now, out
        self.no_room, self.pool = set(), None
        for event in events:
            handler = HANDLERS.get(type(event))
            if handler is not None:
                handler(self, *event)
            else:
                self.fleet.hear(event)
        if self.fleet is not None:
            self.fleet.before_decisions(now)
        if self.ask_at is not None and now >= self.ask_at:
            self.ask_at = None
            out.watch_endpoints(True)
        if now >= self.next_sweep:
            self.sweep()
        self.release()
        self.arm()

    def arm(self):
        waiting = self.ring or self.again
        if not waiting and not self.running and not self.ask_at:
            return
        # An alarm set while nothing waited is too late for what waits now, and past a limit for its answer.
        at = self.now + (SWEEP if waiting else IDLE_SWEEP)
        limits = (qy.limit for qy in self.running.values() if not qy.over)
        at = min(at, max(min(limits, default=at), self.next_sweep, self.now + 1))
        if self.armed is None or self.armed <= self.now or self.armed > at:
            self.armed = at
            self.out.set_timer(1, at)

    # What came in

    def taken(self, q, resource_group, tenant, cost, memory, table_group, key, left, again=False):
        g = self.groups[resource_group]
        while tenant >= len(self.lines):
            self.lines.append([])
            self.deficit.append(0.0)
            self.weight.append(1.0)
        qy = Query(q, resource_group, tenant, memory, table_group, key if g.ordered else None)
        qy.cost = cost or self.mean[resource_group] or TICKS_PER_SECOND * g.threads
        self.learn(resource_group, cost)
        # Else what is given up at its limit is told so when its client has given up too.
        now, left = self.now, min(left - min(ANSWER_MARGIN, left // 10), self.until - self.now)
        # A repeat of what was deferred goes behind first tries of up to a quarter more cost, whose place it
        # would take in a storm; behind all, the longest first tries would go ahead of the shortest repeats.
        qy.limit, qy.density = now + left, -g.priority_weight / max(qy.cost, 10) / (1 + again / 4)
        qy.target = min(now + g.latency_objective + int(g.objective_stretch * qy.cost / g.threads), qy.limit)
        # A wait for its key is no wait for room: it may take all the time that is of use.
        qy.hold = min(self.last_start(qy), now + int(WAIT_PART * left) if qy.key is None else qy.limit)
        self.queries[q] = qy
        self.per_query = [x * 0.99 + y for x, y in zip(self.per_query, (qy.cost, qy.cost / g.threads))]
        self.taken_at.append(now)
        turn_at = now
        if qy.key is not None:
            turn_at += sum(self.runs_for(ahead) for ahead in self.keys.setdefault(qy.key, deque()))
            self.keys[qy.key].append(qy)
        if now >= qy.hold or turn_at > now + TURN_PART * left:
            self.give_up(qy)
            return
        if not self.lines[tenant]:
            self.deficit[tenant] = 0.0
            self.ring.append(tenant)
        # A shortage falls on the least value for the work, not on whoever came behind a long query.
        insort(self.lines[tenant], qy, key=attrgetter("density"))

    def ended(self, q, submission, engine, ending, elapsed, complete, work, memory, report):
        qy = self.queries.get(q)
        if qy is None or not qy.out:
            return
        g, now, qy.out = self.groups[qy.resource_group], self.now, False
        self.running.pop(q, None)
        self.engines.in_flight[engine] -= g.threads
        self.used -= g.threads
        if g.is_bulk_load:
            self.engines.loads[engine].remove(qy.table_group)
        self.judge(qy, engine, ending, elapsed)
        if ending == Ending.FINISHED:
            self.see(engine, elapsed / self.usual(qy, work), report, qy.counted)
            self.learn(qy.resource_group, work)
            self.learn_need(qy, memory)
        cost = work or elapsed * g.threads
        self.deficit[qy.tenant] += qy.cost - (cost if ending < Ending.REJECTED else 0)
        if ending == Ending.FINISHED:
            self.done, self.done_at = self.done_lately() + cost, now
        elif ending < Ending.REJECTED and qy.ran_at is None:
            qy.ran_at, qy.ran_on = qy.sent, engine
        if ending in (Ending.NO_ANSWER, Ending.RESET, Ending.CANCELLED) and qy.key is not None:
            self.rests[qy.key] = now + self.site.key_quarantine
        qy.over = qy.over or complete or ending == Ending.FINISHED
        if qy.over:
            self.forget(qy)
        elif not self.may_resubmit(qy) or now >= qy.limit:
            self.give_up(qy)
        else:
            self.again.append(qy)

    def left(self, q):
        if q in self.queries and not self.queries[q].over:
            self.close(self.queries[q])

    def progress(self, q, submission, engine, what, amount):
        qy = self.queries.get(q)
        if qy is None or not qy.out or qy.over:
            return
        self.engines.heard_at[engine] = self.now
        if what == Progress.FRACTION_DONE:
            qy.share = amount
            still = (self.now - qy.sent) * (1 - amount) / max(amount, 0.005)
            if still > RUNAWAY * self.runs_for(qy) + TICKS_PER_SECOND // 2:
                self.renew([qy])

    def engine(self, e, rank, state, zone, kind, cell, started, weight):
        table = self.engines
        table.grow(e + 1)
        if table.rank[e] != rank or table.started_at[e] != started:
            table.reset(e, Lifetime.RUN)
            table.load_factor_at[e] = table.heard_at[e] = self.now
            table.ejection_time[e] = EJECTION_FIRST
        if table.rank[e] != rank:
            table.reset(e, Lifetime.PROCESS)
            self.orders.clear()
        table.rank[e], table.state[e], table.zone[e], table.kind[e] = rank, state, zone, kind
        table.cores[e] = self.site.cores[kind] if kind < len(self.site.cores) else 1
        if self.site.uses_engine_weights:
            table.cores[e] *= max(0.01, min(1.0, weight))  # no engine has more than all of it
        table.cell[e], table.started_at[e] = cell, started
        self.fit.clear()

    def list_lost(self):
        self.ask_at = self.now + TICKS_PER_SECOND

    def stopping(self, left):
        # Against a stop that comes before the answers: what cannot end by then is told so by then, and what
        # comes meanwhile is held to the same end. Cut short, so that a late round and the way back fit in.
        self.until = self.now + left - STOP_MARGIN
        for qy in self.queries.values():
            qy.limit = min(qy.limit, self.until)
            qy.target, qy.hold = min(qy.target, qy.limit), min(qy.hold, qy.limit - 2 * SWEEP)

    # What is known of work and engines

    def learn(self, resource_group, work):
        if not work:
            return
        self.mean[resource_group] += (
            (work - self.mean[resource_group]) * 0.02 if self.mean[resource_group] else work
        )
        self.mean_all += (work - self.mean_all) * 0.02 if self.mean_all else work

    def learn_need(self, qy, memory):
        if memory and qy.need:
            off = memory / qy.need - self.told_over[qy.resource_group]
            self.told_over[qy.resource_group] += 0.05 * off
            self.told_off[qy.resource_group] += 0.05 * (abs(off) - self.told_off[qy.resource_group])
            self.told_need = True

    def runs_for(self, qy):
        return qy.cost / self.groups[qy.resource_group].threads * max(1.0, self.crowd_mid)

    def usual(self, qy, work=0):
        # The addition keeps a short pause or a slow hand-shake from passing for a crowd.
        return (work or qy.cost) / self.groups[qy.resource_group].threads + TICKS_PER_SECOND // 20

    def see(self, e, slower, report, counted):
        """How crowded all gateways together make an engine: an answer tells by how much it was slower than
        alone, and some bring a count of what the engine holds, here against the whole bound."""
        slower *= self.warmth(e)  # a cold engine is slow without a crowd
        # Where an engine is heard of less often than what was seen of it fades, its jam is never known, and
        # all gateways go on to send there by the shared order alone.
        self.gap += 0.05 * (min(self.now - self.answer_at, TICKS_PER_SECOND) - self.gap)
        self.answer_at, self.lasts = self.now, max(CROWD_LASTS, HEARD_GAPS * self.gap * len(self.engines))
        # The median over recent answers, not over engines: with many, most were last seen long ago. Against
        # its best, since estimates may all lie to one side.
        if not counted:
            self.median = max(0.1, self.median * (MID_STEP if slower > self.median else 1 / MID_STEP))
        self.easy = min(self.easy * EASY_STEP, max(self.median, 0.5))
        self.crowd_mid, slower = self.median / self.easy, slower / self.easy
        if self.crowd_mid < PRESSED:
            self.widen = min(WIDEN_MOST, self.widen + 1 / max(1.0, self.base))
        elif self.crowd_mid > CROWDED:
            self.narrow()
        held, threads = report.get("inflight") if report else None, self.per_query
        if held is not None and threads[1]:
            slower = max(slower, held * threads[0] / threads[1] / (BOUND_THREADS * self.engines.cores[e]))
        # The rarer the answers, the more each of them tells.
        share = min(1.0, max(0.3, 2 * (self.now - self.engines.load_factor_at[e]) / CROWD_LASTS))
        self.engines.load_factor[e] += (slower - self.engines.load_factor[e]) * share
        self.engines.load_factor_at[e] = self.now

    def narrow(self):
        if self.now - self.narrowed > TICKS_PER_SECOND // 2:
            self.widen, self.narrowed = max(WIDEN_LEAST, self.widen * 0.85), self.now

    def seen(self, e):
        # What was seen some time ago fades into what is usual over all engines now.
        still = max(0.0, 1 - (self.now - self.engines.load_factor_at[e]) / self.lasts)
        return self.crowd_mid + (self.engines.load_factor[e] - self.crowd_mid) * still

    def last_start(self, qy):
        g = self.groups[qy.resource_group]
        end = qy.target if g.late_priority_weight == 0 else qy.limit
        # What waits is looked at once a sweep, so the last sweeps before the end are none to wait into.
        return int(end - max(self.runs_for(qy), 2 * SWEEP))

    def warmth(self, e):
        started = self.engines.started_at[e]
        return (
            warm_part(self.now - started, self.site.slow_start_fraction, self.site.slow_start_duration)
            if started
            else 1.0
        )

    def judge(self, qy, e, ending, elapsed):
        self.engines.refuses_connections[e] = ending == Ending.NO_CONNECTION
        self.engines.used_at[e] = -FOREVER if ending in (Ending.NO_CONNECTION, Ending.RESET) else self.now
        if ending == Ending.FINISHED:
            self.engines.failure_rate[e] *= 0.8
            self.engines.heard_at[e] = self.now
            self.engines.half_open[e], self.engines.ejection_time[e] = False, EJECTION_FIRST
            self.engines.concurrency_limit[e] += 1 / self.engines.concurrency_limit[e]
        elif ending == Ending.REJECTED:
            self.engines.rejected_at[e] = self.engines.heard_at[e] = self.now
            # Against one engine that takes less than others: what it sends back uses up further submissions.
            self.engines.concurrency_limit[e] = max(1.0, 0.8 * self.engines.in_flight[e])
            self.narrow()
        elif ending == Ending.ERROR and qy.erred is not None and qy.erred != e:
            # Against statements that no engine can use: a second error is the query's own. The first engine
            # is cleared of it, and no third is asked at the budget's cost.
            failed = self.engines.failure_rate[qy.erred]
            self.engines.failure_rate[qy.erred], qy.erred = max(0.0, (failed - 0.2) / 0.8), -1
        elif ending in (Ending.ERROR, Ending.RESET, Ending.NO_CONNECTION) or (
            ending == Ending.NO_ANSWER and self.engines.heard_at[e] < qy.sent
        ):
            qy.erred = e if ending == Ending.ERROR else qy.erred
            self.engines.failure_rate[e] += (1 - self.engines.failure_rate[e]) * 0.2
            if self.engines.failure_rate[e] > FAILING or self.engines.half_open[e]:
                self.eject(e)

    def eject(self, e):
        if self.now < self.engines.ejected_until[e]:
            return
        self.engines.ejected_until[e] = self.now + self.engines.ejection_time[e]
        self.engines.half_open[e] = True
        self.fit.clear()
        self.engines.ejection_time[e] = min(EJECTION_MOST, self.engines.ejection_time[e] * 2)

    # Where a query may go

    def order_of(self, table_group):
        order = self.orders.get(table_group)
        if order is None:
            # Against statements that name ever new groups: an order forgotten is only worked out again.
            if len(self.orders) >= ORDERS_HELD:
                self.orders.clear()
            by = [hash_place(rank, table_group) for rank in self.engines.rank]
            order = self.orders[table_group] = sorted(range(len(by)), key=by.__getitem__)
        return order

    def permitted(self, resource_group, e):
        g, table = self.groups[resource_group], self.engines
        return (g.zones is None or table.zone[e] in g.zones) and (g.kinds is None or table.kind[e] in g.kinds)

    def knows(self, qy, e):
        """Where a tokened query has run, only those that know the token discard the repeat."""
        g = self.groups[qy.resource_group]
        same = self.engines.zone if g.key_scope == KeyScope.SAME_ZONE else self.engines.cell
        if qy.ran_at is None or g.effect != Effect.IDEMPOTENCY_KEY or g.key_scope == KeyScope.ANY_ENGINE:
            return True
        return same[e] == same[qy.ran_on]

    def usable(self, resource_group):
        if resource_group not in self.fit:
            table = self.engines
            ready = [
                e
                for e, state in enumerate(table.state)
                if state == EngineState.READY and self.permitted(resource_group, e)
            ]
            fit = [e for e in ready if table.ejected_until[e] <= self.now]
            # More than half aside at once is no fault of the engines: a common cause, and nowhere better to
            # go. An engine that takes no connection is down all the same, and would only use up submissions.
            if 2 * len(fit) < len(ready):
                fit = [e for e in ready if e in fit or not table.refuses_connections[e]] or ready
            self.fit[resource_group] = frozenset(fit)
        return self.fit[resource_group]

    def cold_room(self, qy, e):
        sent, now = self.engines.slow_start_work[e], self.now
        while sent and sent[0][0] <= now - self.site.collapse_window:
            sent.popleft()
        weight, whole = (
            max(self.mean[qy.resource_group], 1.0),
            self.fall_work * self.engines.cores[e] * self.warmth(e),
        )
        share = whole * self.share[Budget.SLOW_START]
        if weight <= share:
            return sum(w for _, w in sent) + weight <= share
        # Less than a query for each gateway: one a window goes by lot, drawn at times of each gateway's own,
        # so that neither all send nor none. Chance lets through twice as many of a few, so fewer of those go.
        if now >= self.engines.lot_until[e]:
            first = self.engines.lot_until[e] < self.engines.started_at[e]
            window = self.site.collapse_window * (self.chance.random() if first else 1)
            self.engines.lot_until[e] = now + int(window)
            self.engines.lot[e] = 1.0 if first else self.chance.random()
        most = whole * self.dispatcher_count / FALL_SAFETY / weight
        few = self.share[Budget.SLOW_START] * min(LOTS * most, (sqrt(9 + most) - 3) ** 2)
        return not sent and self.engines.lot[e] * self.dispatcher_count < few

    def room(self, qy, e):
        warmth = self.warmth(e)
        if warmth < 1.0 and not self.cold_room(qy, e):
            self.denied = True
            return False
        table, bound = self.engines, self.bound(e)
        mine = table.in_flight[e]
        lately_full = self.now - table.rejected_at[e] < TICKS_PER_SECOND
        binds = warmth < 1.0 or self.short or self.seen(e) > PRESSED or lately_full
        if bound >= self.groups[qy.resource_group].threads:
            few = not binds or mine < bound * min(1.0, self.widen)
            return mine <= 0 or few and not table.half_open[e] and mine < table.concurrency_limit[e]
        # With many gateways the bound is less than a query, and one from each would be far over what it
        # stands for: its bounds on all engines are one pool then, which an engine with none needs too.
        if mine > 0 and (table.half_open[e] or binds):
            return False
        # Past the whole bound by what others hold, and more than is usual now: later engines are tried.
        over = self.seen(e) > max(BOUND_THREADS, SPILL * self.crowd_mid)
        return not over and self.pool_left()

    def bound(self, e):
        return (
            BOUND_THREADS
            * self.engines.cores[e]
            * self.warmth(e)
            * self.share[Budget.CONCURRENCY]
            / self.dispatcher_count
        )

    def pool_left(self):
        if self.pool is None:
            bounds = [
                self.bound(e) for e, state in enumerate(self.engines.state) if state == EngineState.READY
            ]
            self.base, self.widest = sum(bounds), max(bounds, default=0.0)
            self.pool = self.base * self.widen
        return self.used <= 0 or self.used < self.pool

    def place(self, qy):
        """The engine for a query; -1 where none may take it at all, None where none has room now."""
        usable, found, met = self.usable(qy.resource_group), [], 0
        if qy.resource_group in self.no_room:
            return None
        if self.short and not self.pool_left() and self.widest < self.groups[qy.resource_group].threads:
            return None if usable else -1
        for e in self.order_of(qy.table_group):
            if e not in usable or (qy.tries and e == qy.engine and len(usable) > 1) or not self.knows(qy, e):
                continue
            met += 1
            first = FIRST_ENGINES if self.bound(e) >= 1 else FIRST_OF_MANY
            if met > first and not all(self.loads_there(qy, e) for e in found):
                break
            if self.room(qy, e):
                found.append(e)
        if found:
            # With many gateways most engines hold none of mine, and ties that all break alike jam the first,
            # unless it was heard of lately. Its warm tables are worth staying for then.
            blind = (
                self.bound(found[0]) < self.groups[qy.resource_group].threads
                and self.now - self.engines.load_factor_at[found[0]] > CROWD_LASTS // 3
            )
            return min(
                found,
                key=lambda e: (self.loads_there(qy, e), self.load(e), self.chance.random() if blind else 0),
            )
        if not met:
            return -1
        # Looking over all engines again for each that waits costs more than it finds.
        self.no_room.add(qy.resource_group)
        return None

    def loads_there(self, qy, e):
        # Loads of one table group run one after another on an engine, with all of their keys behind them.
        return self.groups[qy.resource_group].is_bulk_load and self.engines.loads[e].count(qy.table_group)

    def load(self, e):
        # Crossing is worth its price only for so much less load: the shared order itself stays as it is.
        table, cores = self.engines, self.engines.cores[e] * self.warmth(e)
        others = max(0.0, self.seen(e) - 1.0) * (1 - 1 / self.dispatcher_count)
        if self.fleet is not None:
            others = self.fleet.load_elsewhere(e, others, cores)
        far = CROSSING if self.home is not None and table.zone[e] != self.home else 0.0
        # Gateways that each come to every engine cost a connection for every second query. What each keeps to
        # a few of the first is spread all the same, since others have met others of them.
        unconnected = self.now - table.used_at[e] > self.site.idle_connection_timeout
        new = CONNECTING if unconnected and self.bound(e) < 1 else 0.0
        return table.in_flight[e] / cores + others + far + new

    # What leaves

    def key_free(self, qy):
        return qy.key is None or self.keys[qy.key][0] is qy and self.now >= self.rests.get(qy.key, 0)

    def head(self, tenant):
        for qy in self.lines[tenant]:
            e = self.place(qy) if self.key_free(qy) else -1
            if e is None or e >= 0:
                return qy, e
        return None, None

    def release(self):
        """Deficit round robin: a visit adds one quantum and lasts while the next query fits and finds room.
        One cut short by want of room goes on where it was, so that waiting pumps up no deficit."""
        ring, blocked, short = self.ring, 0, {}
        while ring and blocked < len(ring):
            at = (self.at + blocked) % len(ring)
            tenant = ring[at]
            qy, e = self.head(tenant)
            if e is None:
                blocked += 1
                continue
            if blocked or not self.visiting:
                self.at, blocked, self.visiting = at, 0, True
                self.deficit[tenant] += self.quantum(tenant)
            if qy.cost > self.deficit[tenant]:
                self.at, self.visiting = at + 1, False
                if tenant in short:
                    # A dry lap: the laps up to the next release are taken in one step, against deep debts.
                    laps = min((cost - self.deficit[t]) // self.quantum(t) for t, cost in short.items())
                    for t in short:
                        self.deficit[t] += max(0, laps) * self.quantum(t)
                    short = {}
                short[tenant] = qy.cost
                continue
            short = {}
            self.deficit[tenant] -= qy.cost
            self.lines[tenant].remove(qy)
            self.submit(qy, e)
            self.leave_ring(tenant)
        # What waits here is pressure too. Else the first engine at ease is sent the whole line at once.
        self.short = bool(ring)
        self.release_again()

    def leave_ring(self, tenant):
        if self.lines[tenant]:
            return
        place = self.ring.index(tenant)
        self.visiting = self.visiting and place != self.at
        self.at -= place < self.at
        del self.ring[place]

    def quantum(self, tenant):
        return (QUANTUM_MEANS * self.mean_all or TICKS_PER_SECOND) * self.weight[tenant]

    def release_again(self):
        for _ in range(len(self.again)):
            qy = self.again.popleft()
            if qy.over:
                continue
            if not self.may_resubmit(qy):
                self.give_up(qy)
                continue
            e = self.place(qy) if self.budget_left() else None
            if e is None or e < 0:
                self.again.append(qy)
                continue
            self.extra_at.append(self.now)
            self.deficit[qy.tenant] -= qy.cost
            self.submit(qy, e)

    def budget_left(self):
        # The ends of the window are cut against this gateway: extras count longer than queries taken.
        while self.extra_at and self.extra_at[0] < self.now - self.site.retry_budget_window - 2:
            self.extra_at.popleft()
        while self.taken_at and self.taken_at[0] <= self.now - self.site.retry_budget_window + 4:
            self.taken_at.popleft()
        most = self.site.retry_budget_minimum + self.site.retry_budget_ratio * len(self.taken_at)
        return len(self.extra_at) + 1 <= most or not self.site.retry_budget_window

    def submit(self, qy, e):
        g = self.groups[qy.resource_group]
        qy.engine, qy.sent, qy.out, qy.share, qy.counted = e, self.now, True, 0.0, False
        qy.tries += 1
        self.engines.used_at[e] = self.now
        self.engines.in_flight[e], self.used = self.engines.in_flight[e] + g.threads, self.used + g.threads
        self.engines.loads[e] += [qy.table_group] * g.is_bulk_load
        if self.warmth(e) < 1.0:
            self.engines.slow_start_work[e].append((self.now, max(self.mean[qy.resource_group], 1.0)))
        self.running[qy.q] = qy
        self.set_terms(qy)
        self.out.start_attempt(qy.q, e, 0, self.repeat_by(qy))

    def set_terms(self, qy):
        g = self.groups[qy.resource_group]
        if not (self.site.priorities or self.site.memory_grants):
            return
        dense = [x.priority_weight / (self.mean[n] or TICKS_PER_SECOND) for n, x in enumerate(self.groups)]
        # In an ordered group a slow query keeps all of its key waiting.
        priority = 3 if dense[qy.resource_group] >= max(dense) else 2 if g.ordered else 1
        if self.now > qy.target and g.late_priority_weight == 0:
            priority = 0
        # A group's estimates lie to one side: too small a grant spills, too large a one is lost to others.
        grant = 0
        if self.site.memory_grants and self.told_need and qy.need:
            grant = qy.need * (
                self.told_over[qy.resource_group] + GRANT_MARGIN * self.told_off[qy.resource_group]
            )
        if priority != qy.priority or grant:
            qy.priority = priority
            self.out.set_terms(qy.q, priority, grant)

    # What ends

    def repeat_by(self, qy):
        """When a repeat of what may have run has to be on its way: a token makes it harmless for so long."""
        g = self.groups[qy.resource_group]
        return (
            FOREVER
            if qy.ran_at is None or g.effect != Effect.IDEMPOTENCY_KEY
            else qy.ran_at + g.idempotency_window
        )

    def may_resubmit(self, qy):
        harmless = qy.ran_at is None or self.groups[qy.resource_group].effect != Effect.MUTATING
        if not harmless or qy.erred == -1 or qy.tries >= self.site.max_attempts:
            return False
        return self.now < min(self.repeat_by(qy), self.last_start(qy))

    def give_up(self, qy):
        g = self.groups[qy.resource_group]
        clean = qy.ran_at is None and not qy.out
        if (
            clean
            or g.effect == Effect.READ_ONLY
            or (g.effect == Effect.IDEMPOTENCY_KEY and g.key_scope == KeyScope.ANY_ENGINE)
        ):
            self.out.reject(qy.q, self.stay_away(qy))
        else:
            self.out.fail(qy.q)
        self.close(qy)

    def done_lately(self):
        return self.done * max(0.0, 1 - (self.now - self.done_at) / PACE_OVER)

    def stay_away(self, qy):
        """Who is deferred comes back behind what waits and behind those told before, at the pace at which
        work is lately done here, so that those told do not return together."""
        if not self.site.max_retry_after:
            return 0
        pace = self.done_lately() / PACE_OVER
        if pace > 0:
            line = self.mean_all * sum(map(len, self.lines)) / pace
            self.back_at = max(self.back_at, self.now + line) + qy.cost / pace
            if self.back_at <= self.now + self.site.max_retry_after:
                return min(self.site.max_retry_after, int(self.back_at - self.now) + 1)
        self.back_at = self.now + self.site.max_retry_after
        return int(self.site.max_retry_after * self.chance.uniform(0.5, 1))

    def close(self, qy):
        """The query has its final answer, or needs none."""
        qy.over = True
        if qy.out:
            if self.site.can_cancel:
                self.out.cancel_attempt(qy.q, qy.tries - 1)
            return
        if qy in self.lines[qy.tenant]:
            self.lines[qy.tenant].remove(qy)
            self.leave_ring(qy.tenant)
        self.forget(qy)

    def forget(self, qy):
        if qy.key is not None:
            self.keys[qy.key].remove(qy)
            if not self.keys[qy.key]:
                del self.keys[qy.key]
        self.queries.pop(qy.q, None)

    def sweep(self):
        now, self.next_sweep = self.now, self.now + SWEEP
        self.fit.clear()
        self.budget_left()  # forgets what is past its window, also while nothing is sent again
        for tenant in list(self.ring):
            for qy in [qy for qy in self.lines[tenant] if now >= qy.hold]:
                self.give_up(qy)
        self.rests = {key: until for key, until in self.rests.items() if now < until}
        lost, late = [], Counter()
        for qy in list(self.running.values()):
            e, g, since = qy.engine, self.groups[qy.resource_group], now - qy.sent
            self.see_running(qy, since)
            if qy.over:
                continue
            useless = g.effect == Effect.READ_ONLY and g.late_priority_weight == 0 and now > qy.target
            if useless and self.site.can_cancel or now >= qy.limit:
                self.give_up(qy)
                continue
            overdue = since - 3 * self.runs_for(qy)
            if overdue > TICKS_PER_SECOND // 2 and self.engines.heard_at[e] < qy.sent:
                late[e] += 1
                if overdue > STANDSTILL:
                    self.give_up_behind(qy)
            # Lost, hung or badly planned, whichever: notes that show it at work speak for it.
            alone = min(max(1.0, self.crowd_mid), 2.0) * qy.cost / g.threads
            if since > LOST * alone + TICKS_PER_SECOND // 10 and not qy.share:
                lost.append(qy)
        # Many at once are a slowness shared by all, and moving them would only add to it.
        if len(lost) <= LOST_MOST * len(self.running) + 1:
            self.renew(lost)
        self.eject_silent(late)

    def eject_silent(self, late):
        for e, count in late.items():
            if count >= 2 and self.now >= self.engines.ejected_until[e]:
                self.eject(e)
                self.renew([qy for qy in self.running.values() if qy.engine == e])

    def see_running(self, qy, since):
        """Answers tell of a jam or a silence only after it: what is still out tells of it at once."""
        table, e, slower = self.engines, qy.engine, min(8.0, since / self.usual(qy))
        if not qy.share and slower > table.load_factor[e]:
            table.load_factor[e], table.load_factor_at[e] = slower, self.now
        # Quick answers of engines at ease hide the jam of a few, whose answers come late or never: what is
        # overdue counts in the median at once, and not again when it ends.
        if not qy.counted and slower * self.warmth(e) > OVERDUE * max(self.median, self.easy):
            qy.counted, self.median = True, self.median * MID_STEP
            self.crowd_mid = self.median / self.easy
            # Where all end too late no answer comes that would cut the bound, and none ever does again.
            if self.crowd_mid > CROWDED and self.now - self.answer_at > TICKS_PER_SECOND // 2:
                self.narrow()

    def give_up_behind(self, head):
        """A silent engine may hold its query, and the key with it, up to the query's limit: whose turn would
        come too late is told so now, with time left to ask elsewhere."""
        turn_at = head.limit + self.site.key_quarantine
        for qy in list(self.keys[head.key])[1:] if head.key is not None else ():
            if turn_at > self.now + TURN_PART * (qy.limit - self.now):
                self.give_up(qy)
            else:
                turn_at += self.runs_for(qy)

    def renew(self, queries):
        for qy in queries:
            if qy.over or qy.known_slow or qy.tries >= self.site.max_attempts or not self.budget_left():
                continue
            movable = self.site.can_cancel and self.groups[qy.resource_group].effect == Effect.READ_ONLY
            if movable and self.now + self.runs_for(qy) < qy.limit:
                self.out.cancel_attempt(qy.q, qy.tries - 1)
                qy.known_slow = True


HANDLERS = {
    QueryArrived: Scheduler.taken,
    AttemptEnded: Scheduler.ended,
    ClientGone: Scheduler.left,
    TimerFired: lambda *alarm: None,  # that a round is played is all that an alarm is for
    AttemptProgressed: Scheduler.progress,
    EngineUpdated: Scheduler.engine,
    EndpointListLost: Scheduler.list_lost,
    ShutdownStarted: Scheduler.stopping,
}
