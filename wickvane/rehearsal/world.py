"""A rehearsal in virtual time: gateways of wickvane.scheduling before modelled engines, clients, and faults
by script.

Everything that happens is an event on one heap, by time and then by the order in which it was made. What is
drawn comes from streams of chance by name, so that one more client leaves all that engines draw as it was.
Two runs of one script and seed write the same log, byte for byte.
"""

from array import array
from heapq import heappop, heappush
from math import exp, log, sqrt

from wickvane.events import Ending, EngineState
from wickvane.rehearsal import model
from wickvane.rehearsal.draws import Draws
from wickvane.rehearsal.faults import Faults
from wickvane.rehearsal.host import Host, Process, Query
from wickvane.rehearsal.outcome import Outcome
from wickvane.rehearsal.rules import Figures, Seen
from wickvane.rehearsal.script import deployment
from wickvane.scheduling.scheduler import Scheduler
from wickvane.units import TICKS_PER_SECOND

SLACK = 0.06  # seconds: rounds, the way there, and a sweep's step


def lognormal(chance, mean, spread):
    if not spread:
        return mean
    deviation = sqrt(log(1 + spread * spread))
    return mean * exp(chance.gauss(0, 1) * deviation - deviation * deviation / 2)


class World(Faults):
    """gateway: what makes a host's module of (seed, deployment): today's, an earlier one, a baseline."""

    def __init__(self, script, seed, keep_log=True, gateway=Scheduler):
        self.gateway = gateway
        self.script, self.seed, self.now, self.heap, self.made = script, seed, 0, [], 0
        self.lines = [] if keep_log else None
        self.deployment = deployment(script)
        self.kinds = [model.Kind(**fleet.figures) for fleet in script.fleet]
        self.draws, self.next_id, self.next_engine = Draws(seed), 0, 0
        self.named, self.document = {}, None  # processes by name; the Roster that a deploy tool has written
        self.chance = self.draws.chance
        self.figures = self.rules()
        # Value earned and asked for, by the second in which it was.
        self.service = [[0.0, 0.0] for _ in range(script.length // TICKS_PER_SECOND + 1)]
        self.counts = dict.fromkeys(("finished", "deferred", "killed", "late"), 0)
        self.latencies = [array("I") for _ in script.groups]  # of what is finished, from its first try on
        self.processes = [
            Process(self, self.name_engine(), kind, n)
            for kind, fleet in enumerate(script.fleet)
            for n in range(fleet.count)
        ]
        self.hosts = [Host(self, n) for n in range(script.gateways)]
        self.cold = Seen(self.figures)  # rule 4 counts all gateways together
        self.storms = []  # (seconds, gateway, event, fields)
        self.storm_size, self.estimates, self.late_list, self.again, self.gone = 1.0, 1.0, 0, 0, []

    def rules(self):
        script, groups = self.script, self.script.groups
        first = self.kinds[0]
        return Figures(
            {n: g.effect for n, g in enumerate(groups)},
            ordered=[n for n, g in enumerate(groups) if g.ordered],
            window=script.window / TICKS_PER_SECOND,
            grace=script.grace / TICKS_PER_SECOND,
            rest=script.rest / TICKS_PER_SECOND,
            budget=script.budget and (*script.budget[:2], script.budget[2] / TICKS_PER_SECOND),
            cores={n: kind.cores for n, kind in enumerate(self.kinds)},
            cold=(first.cold_from, first.cold_ms / 1000, first.fall_multiple, first.fall_ms / 1000),
            work={n: g.work / 1000 for n, g in enumerate(groups)},
            slack=SLACK,
        )

    def membership(self):
        """What follows watched files, where the script has the list from them; else None."""
        if self.script.lists != "file":
            return None
        from wickvane.endpoints.change_policy import ChangeLimits, ChangePolicy
        from wickvane.endpoints.endpoint_list import EndpointList
        from wickvane.endpoints.findings import Severity
        from wickvane.endpoints.snapshot import EMPTY_SNAPSHOT
        from wickvane.endpoints.topology import Topology

        self.document = self.document or EMPTY_SNAPSHOT
        topology = Topology(
            {n: kind.cores for n, kind in enumerate(self.kinds)},
            None,
            (),
            self.deployment.slow_start_fraction,
            self.deployment.slow_start_duration,
        )
        limits = ChangeLimits(removed_fraction_severity=Severity.STAGE)
        return EndpointList(topology, ChangePolicy(limits))

    def write(self, changes):
        """The deploy tool writes its file: processes and their states."""
        from wickvane.endpoints.snapshot import Endpoint, update_snapshot

        put = [
            Endpoint(
                process.name, (process.name, 1), None, process.kind, 0, int(process.started or 0), 1.0, state
            )
            for process, state in changes
            if state != EngineState.GONE
        ]
        drop = [process.name for process, state in changes if state == EngineState.GONE]
        self.document = update_snapshot(self.document, self.document.generation + 1, put, drop)

    def name_engine(self):
        self.next_engine += 1
        return f"e{self.next_engine}"

    def at(self, when, what, *words):
        self.made += 1
        heappush(self.heap, (when, self.made, what, words))

    def log(self, event, **fields):
        if self.lines is not None:
            self.lines.append((self.now, event, fields))

    # Playing

    def play(self):
        if self.document is not None:
            self.write([(process, EngineState.READY) for process in self.processes])
        for host in self.hosts:
            if host.members is not None:
                host.filed(self.document)
                continue
            for process in self.processes:
                host.list_engine(process, EngineState.READY)
        for process in self.processes:
            self.cold.listed(0.0, process.name, "ready", process.kind)
        for clients in self.script.clients:
            if clients.rate:
                self.at(clients.since, self.open_loop, clients)
            for n in range(clients.closed):
                self.at(clients.since + n, self.one_more, clients)
        for n, trouble in enumerate(self.script.troubles):
            self.at(trouble.at, self.trouble, n, trouble)
        end = self.script.length + max(g.timeout for g in self.script.groups) + TICKS_PER_SECOND
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, words = heappop(self.heap)
            what(*words)
        return Outcome(self)

    # Clients

    def open_loop(self, clients):
        if self.now >= min(clients.until, self.script.length):
            return
        self.asks(clients)
        self.at(self.now + self.draws.gap(clients, clients.rate * self.storm_size), self.open_loop, clients)

    def one_more(self, clients):
        if self.now < min(clients.until, self.script.length):
            self.asks(clients)

    def asks(self, clients):
        group, chance = self.script.groups[clients.group], self.chance(f"queries/{clients.name}")
        query = Query()
        query.clients, query.resource_group, query.priority = clients, clients.group, 1
        query.work = lognormal(chance, group.work, group.spread)
        query.table = chance.randrange(clients.tables)
        query.key = chance.randrange(clients.keys) if group.ordered else None
        query.cost = max(1, int(query.work * 10 * self.estimates * chance.uniform(0.8, 1.25)))
        query.token = chance.getrandbits(64) if group.effect == "tokened" else None
        query.tries, query.first, query.again, query.origin = 0, self.now, False, self.next_id + 1
        self.service[min(self.now // TICKS_PER_SECOND, len(self.service) - 1)][1] += group.value
        self.sends(query)

    def sends(self, query):
        group = self.script.groups[query.resource_group]
        self.next_id += 1
        query.id, query.answer, query.submissions = self.next_id, None, []
        query.limit = self.now + group.timeout
        query.target = min(
            query.limit, self.now + group.promise + int(group.stretch * query.work * 10 / group.threads)
        )
        alive = [host for host in self.hosts if not host.killed]
        if not alive:
            return
        host = self.front(query, alive)
        self.log("asked", query=query.id, group=group.name, gateway=host.name, work=round(query.work, 3))
        host.take(query)

    def front(self, query, alive):
        """A plain front layer; those of one key come to one gateway while that is up."""
        n = query.key if query.key is not None else self.chance("front").randrange(1 << 30)
        return alive[n % len(alive)]

    def answered(self, query, answer, stay_away=0):
        if query.answer is not None:
            return
        query.answer = answer
        group, clients = self.script.groups[query.resource_group], query.clients
        query.gateway.seen.answered(self.now / TICKS_PER_SECOND, query.id, answer)
        self.log("answered", query=query.id, answer=answer, took=self.now - query.taken)
        self.counts[answer] += 1
        if answer == "finished":
            late = self.now > query.target
            self.latencies[query.resource_group].append(self.now - query.first)
            self.counts["late"] += late
            self.service[min(query.first // TICKS_PER_SECOND, len(self.service) - 1)][0] += group.value * (
                group.late if late else 1.0
            )
        elif query.tries < clients.retries and (answer == "deferred" or group.effect == "read-only"):
            again = Query()
            for name in (
                "origin",
                "clients",
                "resource_group",
                "work",
                "table",
                "key",
                "token",
                "cost",
                "first",
            ):
                setattr(again, name, getattr(query, name))
            again.tries, again.priority, again.again = query.tries + 1, 1, True
            wait = self.draws.back_off(clients, query.tries)
            wait = max(wait, stay_away) if clients.heeds else wait
            # Past the script's end nobody asks: what came then would be cut off by the end of the run.
            if self.now + wait < self.script.length:
                self.at(self.now + wait, self.sends, again)
            return
        if clients.closed:
            self.at(self.now + self.draws.think(clients), self.one_more, clients)

    # Engines

    def arrives(self, host, query, submission, process):
        place = query.submissions[submission]
        if host.killed:
            return
        place[1] = host.seen.submitted(self.now / TICKS_PER_SECOND, query.id, process.name)
        if place[2]:
            host.seen.ended(self.now / TICKS_PER_SECOND, place[1], "cancelled")
            return
        if process.dead:
            host.hears(query, submission, process, Ending.NO_CONNECTION, 0, query.resource_group)
            return
        group = self.script.groups[query.resource_group]
        if process.started is not None:
            # Weighed as the collapse rule does, by the usual work of its group, over all gateways.
            self.cold.queries.setdefault(query.id, {"group": query.resource_group})
            self.cold.submitted(self.now / TICKS_PER_SECOND, query.id, process.name)
        mark = (query.id, submission)
        got = process.model.offer(
            self.now / 10,
            mark,
            query.work,
            group.threads,
            group.reading,
            query.table,
            group.memory,
            0.0,
            query.priority,
            query.token,
            group.work,
        )
        if got == "in":
            process.out[mark] = host, query, submission
            process.plan()
        elif got == "repeat":
            if not process.silent:
                host.hears(query, submission, process, Ending.FINISHED, 10, query.resource_group)
        elif got == "full":
            if not process.silent:
                host.hears(query, submission, process, Ending.REJECTED, 0, query.resource_group)
        else:
            self.log("fallen", engine=process.name)
            process.dead = True
            process.lose(Ending.RESET)
            host.hears(query, submission, process, Ending.RESET, 0, query.resource_group)

    def gives_up(self, host, query, submission, process):
        mark = (query.id, submission)
        if process.out.pop(mark, None) is not None and not process.dead:
            process.model.cancel(self.now / 10, mark)
            process.plan()


def play(script, seed, keep_log=True, gateway=Scheduler):
    return World(script, seed, keep_log, gateway).play()


def shortened(script, seed, fails):
    """The script with only those troubles that the failure needs, found by leaving out halves, then single
    ones (delta debugging); `fails` tells of an Outcome whether it is the failure meant."""
    troubles, size = list(script.troubles), 2
    while troubles:
        step = max(1, len(troubles) // size)
        for at in range(0, len(troubles), step):
            fewer = troubles[:at] + troubles[at + step :]
            if fails(play(script._replace(troubles=tuple(fewer)), seed, False)):
                troubles, size = fewer, 2
                break
        else:
            if step == 1:
                break
            size = min(len(troubles), size * 2)
    return script._replace(troubles=tuple(troubles))
