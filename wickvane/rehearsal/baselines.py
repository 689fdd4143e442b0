"""What wickvane.scheduling is compared with: plain balancers behind the same border, free of I/O.

Each sends a query as it comes, to one engine that is ready and permitted, and knows no queue, no budget and
no second try: an ending that proves that nothing ran, and whatever becomes of what is read-only, is deferred;
all else is killed. Random and round robin as any proxy has them; least outstanding as the join-shortest-queue
rule on what this gateway itself has out (Mitzenmacher, The power of two choices in randomized load balancing,
2001, for `two`: the less loaded of two drawn at random).
"""

from random import Random

from wickvane.events import (
    FOREVER,
    AttemptEnded,
    ClientGone,
    Effect,
    Ending,
    EngineState,
    EngineUpdated,
    QueryArrived,
)


class Plain:
    """A gateway that forwards. ready: the engines that may be sent to, in the order of the list; out: what
    this one has out, by engine."""

    def __init__(self, seed, deployment):
        self.groups, self.chance = deployment.groups, Random(seed)
        self.ready, self.kind, self.zone, self.out, self.open, self.turn = [], [], [], [], {}, 0

    def round(self, now, events, out):
        for event in events:
            if isinstance(event, QueryArrived):
                self.taken(out, *event)
            elif isinstance(event, AttemptEnded):
                self.ended(out, *event)
            elif isinstance(event, ClientGone):
                self.left(out, *event)
            elif isinstance(event, EngineUpdated):
                self.engine(*event)

    def engine(self, e, rank, state, zone, kind, cell, started, weight):
        while e >= len(self.out):
            for column in (self.out, self.kind, self.zone):
                column.append(0)
        self.kind[e], self.zone[e] = kind, zone
        if state == EngineState.READY and e not in self.ready:
            self.ready.append(e)
        elif state != EngineState.READY and e in self.ready:
            self.ready.remove(e)

    def taken(self, out, q, resource_group, *rest):
        group = self.groups[resource_group]
        fit = [
            e
            for e in self.ready
            if (group.kinds is None or self.kind[e] in group.kinds)
            and (group.zones is None or self.zone[e] in group.zones)
        ]
        if not fit:
            return out.reject(q, 0)
        e = self.chosen(fit)
        self.out[e] += 1
        self.open[q] = group
        out.start_attempt(q, e, 0, FOREVER)

    def ended(self, out, q, submission, e, ending, elapsed, complete, work, memory, report):
        self.out[e] -= 1
        group = self.open.pop(q, None)
        if group is None or complete or ending == Ending.FINISHED:
            return
        if ending >= Ending.REJECTED or group.effect == Effect.READ_ONLY:
            out.reject(q, 0)
        else:
            out.fail(q)

    def left(self, out, q):
        if self.open.pop(q, None) is not None:
            out.cancel_attempt(q, 0)


class Chance(Plain):
    """Any engine that fits, by chance."""

    def chosen(self, fit):
        return self.chance.choice(fit)


class Turn(Plain):
    """One engine after another."""

    def chosen(self, fit):
        self.turn += 1
        return fit[self.turn % len(fit)]


class Least(Plain):
    """Among equals by chance, so that gateways which know nothing of each other do not all begin alike."""

    def chosen(self, fit):
        least = min(self.out[e] for e in fit)
        return self.chance.choice([e for e in fit if self.out[e] == least])


class Two(Plain):
    """The emptier of two that are drawn by chance."""

    def chosen(self, fit):
        return min(self.chance.choice(fit), self.chance.choice(fit), key=self.out.__getitem__)


BASELINES = {"random": Chance, "round-robin": Turn, "least-outstanding": Least, "two-choices": Two}
