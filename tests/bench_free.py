"""A gateway with a recording writer, and settings made up for tests."""

from wickvane import interface as i
from wickvane.choice import Gateway


def group(**changes):
    usual = dict(
        effect=i.READ_ONLY, drops_repeats=i.ANY_ENGINE, repeat_window=120_000, promise=15_000, stretch=2.0,
        timeout=75_000, value=1.0, late_value=0.0, ordered=False, zones=None, kinds=None, threads=1,
        loads=False, stands_behind_loads=False,
    )
    return i.ResourceGroup(**usual | changes)


def site(groups, tenants=1, **changes):
    usual = dict(
        groups=groups, tenants=[(1 / tenants, 10.0)] * tenants, cores=[8, 4], memory=[16384.0, 8192.0],
        gateways=1, zone=0, crossing=0.0, most_submissions=5, may_cancel=True, grants=False,
        priorities=True, most_grant=0.4, note_period=0, asks_for_list=False, ask_within=0, key_rest=3000,
        extra_free=3.0, extra_share=0.1, extra_window=0, cold_from=0.3, cold_time=150_000, fall_multiple=2.5,
        fall_time=30_000, longest_advice=0, reports=[],
    )
    return i.Deployment(**usual | changes)


class Gateways:
    """One gateway and all that it wrote."""

    def __init__(self, deployment, seed=1):
        self.gateway, self.now, self.site = Gateway(seed, deployment), 1_000_000, deployment
        self.sent, self.out, self.final, self.cancelled, self.log = {}, {}, {}, [], []
        self.count, self.next_q, self.alarms, self.answered = {}, 0, [], {}

    def round(self, *events, after=0):
        self.now += after
        self.gateway.round(self.now, list(events), self)

    def engines(self, n, **changes):
        for e in range(n):
            self.engine(e, **changes)

    def engine(self, e, state=i.READY, zone=0, kind=0, cell=0, started=0, name=None):
        rank = f"engine-{e if name is None else name}".encode()
        self.round((i.ENGINE, e, rank, state, zone, kind, cell, started, 1.0))

    def take(self, rg=0, tenant=0, cost=1000, coord=1, key=None, left=70_000):
        q, self.next_q = self.next_q, self.next_q + 1
        self.sent[q], self.count[q] = [], 0
        self.round((i.TAKEN, q, rg, tenant, cost, 10, coord, key, left))
        return q

    def end(self, q, ending=i.FINISHED, elapsed=1000, work=0, after=0):
        e = self.out.pop(q)
        done = ending == i.FINISHED or q in self.final
        self.round((i.ENDED, q, self.count[q] - 1, e, ending, elapsed, done, work, 0, None), after=after)

    def submit(self, q, engine, wait):
        self.sent[q].append((self.now, engine))
        self.out[q] = engine
        self.count[q] += 1

    def defer(self, q, stay_away):
        self.final[q], self.answered[q] = "deferred", self.now

    def kill(self, q):
        self.final[q] = "killed"

    def cancel(self, q, submission):
        self.cancelled.append(q)

    def terms(self, q, priority, grant):
        self.log.append((q, priority, grant))

    def alarm(self, token, at):
        assert at > self.now
        self.alarms.append(at)

    def let_pass(self, until):
        """Nothing comes in but the module's own alarms."""
        while self.alarms and min(self.alarms) <= until:
            self.now = min(self.alarms)
            self.alarms = [at for at in self.alarms if at > self.now]
            self.round((i.DUE, 1))

    def watch_list(self, on):
        self.log.append(on)

    def note(self, text):
        self.log.append(text)
