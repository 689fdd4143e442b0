"""A rehearsal in virtual time: gateways of wickvane.scheduler before modelled engines, clients, and faults by
script.

Everything that happens is an event on one heap, by time and then by the order in which it was made. What is
drawn comes from streams of chance by name, so that one more client leaves all that engines draw as it was.
Two runs of one script and seed write the same log, byte for byte.
"""

from array import array
from bisect import bisect_left
from heapq import heappop, heappush
from math import exp, log, sqrt

import orjson

from wickvane import interface as i
from wickvane import storm
from wickvane.rehearsal import model
from wickvane.rehearsal.draws import Draws
from wickvane.rehearsal.rules import Figures, Seen
from wickvane.rehearsal.script import SECOND, deployment
from wickvane.scheduler import Scheduler

TICK = 10
ENDINGS = ("finished", "error", "no-answer", "reset", "cancelled", "turned-away", "refused", "not-sent")
SLACK = 0.06  # seconds: rounds, the way there, and a sweep's step
STILL = 1_000  # how long a watched file must not have changed
RECOVERED = 0.8  # of the service before the first trouble


class Query:
    """One try of a client."""

    __slots__ = (
        "id",
        "origin",
        "clients",
        "rg",
        "work",
        "table",
        "key",
        "token",
        "cost",
        "taken",
        "limit",
        "target",
        "tries",
        "answer",
        "submissions",
        "place",
        "gateway",
        "priority",
        "first",
        "again",
    )


class Process:
    """One engine process: its name in the list, its model, and what stands in its way."""

    def __init__(self, world, name, kind, number, started=None):
        self.world, self.name, self.kind, self.number = world, name, kind, number
        world.named[name] = self
        self.model = model.Engine(world.kinds[kind], started)
        self.started, self.state, self.silent, self.dead = started, i.READY, 0, False
        self.out = {}  # mark: (gateway, query, submission)
        self.worked = 0.0  # milliseconds of one thread, of what was finished here

    def plan(self):
        """Looks again when the first of what runs would end."""
        at = self.model.next_end()
        if at is not None and not self.dead:
            version = self.model.version
            self.world.at(max(self.world.now, int(at * 10) + 1), self.look, version)

    def look(self, version):
        if version != self.model.version or self.dead:
            return
        now = self.world.now / 10
        for done in self.model.ended(now):
            gateway, query, submission = self.out.pop(done.mark)
            self.worked += query.work
            if not self.silent:
                gateway.hears(query, submission, self, i.FINISHED, int(query.work * 10), query.rg)
        self.plan()

    def lose(self, ending, tell=True):
        """All that is out here ends so, or is never heard of again."""
        out, self.out = self.out, {}
        for gateway, query, submission in out.values():
            if tell:
                gateway.hears(query, submission, self, ending, 0, query.rg)


class Host:
    """One gateway: the module, its rounds, and the writer it is handed."""

    def __init__(self, world, number):
        self.world, self.number, self.name = world, number, f"g{number}"
        self.gateway = world.gateway(f"{world.seed}/{self.name}", world.deployment)
        self.seen = Seen(world.figures)
        self.events, self.planned, self.queries, self.engines, self.index = [], False, {}, {}, {}
        self.paused = self.killed = False
        script = world.script
        self.storm = (
            storm.Storm(
                world.now,
                script.budget[1] if script.budget else 0.1,
                script.advice + max(g.timeout for g in script.groups),
            )
            if script.watched
            else None
        )
        self.told = {}  # engine: the last state that was told, against what comes late or twice
        self.members = world.membership()

    def tell(self, event):
        if self.killed:
            return
        self.events.append(event)
        if not self.planned:
            self.planned = True
            self.world.at((self.world.now // TICK + 1) * TICK, self.round)

    def round(self):
        if self.paused:
            self.world.at(self.world.now + 10 * TICK, self.round)
            return
        self.planned = False
        if self.killed:
            return
        events, self.events = self.events, []
        self.gateway.round(self.world.now, events, self)

    def list_engine(self, process, state):
        if state < self.told.get(process.name, -1):
            return  # older than what is known: the list's numbers tell
        self.told[process.name] = state
        e = self.index.setdefault(process.name, len(self.index))
        self.engines[e] = process
        started = process.started or 0
        self.tell(i.EngineListed(e, process.name.encode(), state, 0, process.kind, 0, int(started * 10), 1.0))
        self.seen.listed(
            self.world.now / SECOND,
            process.name,
            ("ready", "draining", "gone")[state],
            process.kind,
            process.started and process.started / 1000,
        )

    def filed(self, roster):
        """A watched file has come to lie here, and is still."""
        if not self.killed:
            self.members.candidate(self.world.now, roster, roster.generation, (), "deploy tool")
            self.follow()

    def follow(self):
        if self.killed:
            return
        self.members.tick(self.world.now)
        for kind, *rest in self.members.effects():
            for name, _, state, *_ in rest[2] if kind == "tell" else ():
                self.list_engine(self.world.named[name], state)
        at = self.members.next_at()
        if at is not None:
            self.world.at(max(at, self.world.now + TICK), self.follow)

    def take(self, query):
        self.queries[query.id] = query
        query.gateway, query.taken = self, self.world.now
        left, memory = query.limit - query.taken, self.world.script.groups[query.rg].memory
        again = False
        if self.storm is not None:
            for event, fields in self.storm.look(self.world.now):
                self.world.storms.append((self.world.now / SECOND, self.name, event, fields))
                self.world.log("storm", gateway=self.name, what=event, **fields)
            alone = query.clients.closed == 1  # else each query is a user's of its own
            source = query.clients.name if alone else query.origin
            again = self.storm.taken(self.world.now, mark_of(query), source, query.cost)
        self.seen.taken(self.world.now / SECOND, query.id, query.rg, left / SECOND, query.key)
        self.tell(
            i.Taken(
                query.id,
                query.rg,
                query.clients.tenant,
                query.cost,
                memory,
                query.table,
                query.key,
                left,
                again,
            )
        )

    def hears(self, query, submission, process, ending, work, rg):
        """An ending is on its way back."""
        place = query.submissions[submission]
        if place[1] is not None:
            self.seen.ended(self.world.now / SECOND, place[1], ENDINGS[ending])
        self.world.at(
            self.world.now + self.world.script.latency, self.heard, query, submission, process, ending, work
        )

    def heard(self, query, submission, process, ending, work):
        place = query.submissions[submission]
        if place[2] or self.killed:
            return
        place[2] = True
        complete = query.answer is not None
        if ending == i.FINISHED and not complete:
            self.world.answered(query, "finished")
            complete = True
            if self.storm is not None:
                elapsed, threads = self.world.now - place[0], self.world.script.groups[query.rg].threads
                self.storm.finished(self.world.now, self.world.now > query.target, work)
                self.storm.engine(self.world.now, process.name, elapsed, query.cost / threads)
        self.tell(
            i.Ended(
                query.id,
                submission,
                self.index[process.name],
                ending,
                self.world.now - place[0],
                complete,
                work if ending == i.FINISHED else 0,
                0,
                None,
            )
        )

    # The writer

    def submit(self, q, engine, wait, start_by):  # what is decided is on its way at once
        query, process = self.queries[q], self.engines[engine]
        submission = len(query.submissions)
        query.submissions.append([self.world.now, None, False, process])
        self.world.log("submitted", query=q, gateway=self.name, engine=process.name, number=submission)
        self.world.at(
            self.world.now + self.world.script.latency, self.world.arrives, self, query, submission, process
        )
        self.world.at(query.limit, self.expires, query, submission, process)

    def expires(self, query, submission, process):
        if not query.submissions[submission][2]:
            self.world.gives_up(self, query, submission, process)
            self.heard(query, submission, process, i.NO_ANSWER, 0)

    def defer(self, q, stay_away):
        if self.storm is not None:
            self.storm.deferred(self.world.now, mark_of(self.queries[q]))
        self.world.answered(self.queries[q], "deferred", stay_away)

    def kill(self, q):
        self.world.answered(self.queries[q], "killed")

    def cancel(self, q, submission):
        query = self.queries[q]
        place = query.submissions[submission]
        if not place[2]:
            self.world.gives_up(self, query, submission, place[3])
            if place[1] is not None:
                self.seen.ended(self.world.now / SECOND, place[1], "cancelled")
                self.seen.given_up(self.world.now / SECOND, place[1])
            self.world.at(self.world.now + 1, self.heard, query, submission, place[3], i.CANCELLED, 0)

    def terms(self, q, priority, grant):
        self.queries[q].priority = max(0, priority)

    def alarm(self, token, at):
        self.world.at(at, self.tell, i.Due(token))

    def watch_list(self, on):
        pass

    def note(self, text):
        self.world.log("note", gateway=self.name, text=text)


class World:
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
        self.service = [[0.0, 0.0] for _ in range(script.length // SECOND + 1)]
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
            window=script.window / SECOND,
            grace=script.grace / SECOND,
            rest=script.rest / SECOND,
            budget=script.budget and (*script.budget[:2], script.budget[2] / SECOND),
            cores={n: kind.cores for n, kind in enumerate(self.kinds)},
            cold=(first.cold_from, first.cold_ms / 1000, first.fall_multiple, first.fall_ms / 1000),
            work={n: g.work / 1000 for n, g in enumerate(groups)},
            slack=SLACK,
        )

    def membership(self):
        """What follows watched files, where the script has the list from them; else None."""
        if self.script.lists != "file":
            return None
        from wickvane.members import checks, membership, roster

        self.document = self.document or roster.EMPTY
        facts = checks.Facts(
            {n: kind.cores for n, kind in enumerate(self.kinds)},
            None,
            (),
            self.deployment.cold_from,
            self.deployment.cold_time,
        )
        return membership.Membership(facts, membership.Terms(checks.Limits(share_past="steps")))

    def write(self, changes):
        """The deploy tool writes its file: processes and their states."""
        from wickvane.members import roster

        put = [
            roster.Member(
                process.name, (process.name, 1), None, process.kind, 0, int(process.started or 0), 1.0, state
            )
            for process, state in changes
            if state != i.GONE
        ]
        drop = [process.name for process, state in changes if state == i.GONE]
        self.document = roster.changed(self.document, self.document.generation + 1, put, drop)

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
            self.write([(process, i.READY) for process in self.processes])
        for host in self.hosts:
            if host.members is not None:
                host.filed(self.document)
                continue
            for process in self.processes:
                host.list_engine(process, i.READY)
        for process in self.processes:
            self.cold.listed(0.0, process.name, "ready", process.kind)
        for clients in self.script.clients:
            if clients.rate:
                self.at(clients.since, self.open_loop, clients)
            for n in range(clients.closed):
                self.at(clients.since + n, self.one_more, clients)
        for n, trouble in enumerate(self.script.troubles):
            self.at(trouble.at, self.trouble, n, trouble)
        end = self.script.length + max(g.timeout for g in self.script.groups) + SECOND
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
        query.clients, query.rg, query.priority = clients, clients.group, 1
        query.work = lognormal(chance, group.work, group.spread)
        query.table = chance.randrange(clients.tables)
        query.key = chance.randrange(clients.keys) if group.ordered else None
        query.cost = max(1, int(query.work * 10 * self.estimates * chance.uniform(0.8, 1.25)))
        query.token = chance.getrandbits(64) if group.effect == "tokened" else None
        query.tries, query.first, query.again, query.origin = 0, self.now, False, self.next_id + 1
        self.service[min(self.now // SECOND, len(self.service) - 1)][1] += group.value
        self.sends(query)

    def sends(self, query):
        group = self.script.groups[query.rg]
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
        group, clients = self.script.groups[query.rg], query.clients
        query.gateway.seen.answered(self.now / SECOND, query.id, answer)
        self.log("answered", query=query.id, answer=answer, took=self.now - query.taken)
        self.counts[answer] += 1
        if answer == "finished":
            late = self.now > query.target
            self.latencies[query.rg].append(self.now - query.first)
            self.counts["late"] += late
            self.service[min(query.first // SECOND, len(self.service) - 1)][0] += group.value * (
                group.late if late else 1.0
            )
        elif query.tries < clients.retries and (answer == "deferred" or group.effect == "read-only"):
            again = Query()
            for name in ("origin", "clients", "rg", "work", "table", "key", "token", "cost", "first"):
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
        place[1] = host.seen.submitted(self.now / SECOND, query.id, process.name)
        if place[2]:
            host.seen.ended(self.now / SECOND, place[1], "cancelled")
            return
        if process.dead:
            host.hears(query, submission, process, i.NO_CONNECTION, 0, query.rg)
            return
        group = self.script.groups[query.rg]
        if process.started is not None:
            # Weighed as the collapse rule does, by the usual work of its group, over all gateways.
            self.cold.queries.setdefault(query.id, {"group": query.rg})
            self.cold.submitted(self.now / SECOND, query.id, process.name)
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
                host.hears(query, submission, process, i.FINISHED, 10, query.rg)
        elif got == "full":
            if not process.silent:
                host.hears(query, submission, process, i.TURNED_AWAY, 0, query.rg)
        else:
            self.log("fallen", engine=process.name)
            process.dead = True
            process.lose(i.RESET)
            host.hears(query, submission, process, i.RESET, 0, query.rg)

    def gives_up(self, host, query, submission, process):
        mark = (query.id, submission)
        if process.out.pop(mark, None) is not None and not process.dead:
            process.model.cancel(self.now / 10, mark)
            process.plan()

    # Trouble

    def some(self, trouble, n):
        """The processes that a trouble takes, by its own stream."""
        ready = [process for process in self.processes if not process.dead and process.state == i.READY]
        count = min(len(ready), max(1, round(trouble.part * len(ready))))
        return self.chance(f"trouble/{n}").sample(ready, count)

    def trouble(self, n, trouble):
        self.log("trouble", kind=trouble.kind, number=n)
        getattr(self, "begin_" + trouble.kind.replace("-", "_"))(n, trouble)

    def later(self, trouble, what, *words):
        self.at(self.now + trouble.length, what, *words)

    def begin_stall(self, n, trouble):
        for process in self.some(trouble, n):
            process.model.pause(self.now / 10, True)
            self.later(trouble, self.resumes, process)

    def resumes(self, process):
        process.model.pause(self.now / 10, False)
        process.plan()

    def begin_neighbour(self, n, trouble):
        for process in self.some(trouble, n):
            part = min(0.9, trouble.size)
            process.model.neighbour(self.now / 10, part)
            process.plan()
            self.later(trouble, self.neighbour_ends, process, part)

    def neighbour_ends(self, process, part):
        process.model.neighbour(self.now / 10, -part)
        process.plan()

    def begin_slow(self, n, trouble):
        for process in self.some(trouble, n):
            process.model.slow(self.now / 10, trouble.size)
            process.plan()
            self.later(trouble, self.slow_ends, process, trouble.size)

    def slow_ends(self, process, factor):
        process.model.slow(self.now / 10, 1 / factor)
        process.plan()

    def begin_silent(self, n, trouble):
        for process in self.some(trouble, n):
            process.silent += 1
            self.later(trouble, self.speaks, process)

    def speaks(self, process):
        process.silent -= 1

    def begin_reset(self, n, trouble):
        for process in self.some(trouble, n):
            now = self.now / 10
            for mark in list(process.out):
                process.model.cancel(now, mark)
            process.lose(i.RESET)

    def begin_crash(self, n, trouble):
        """The process dies; another starts cold in its place, with a name of its own, once the time is
        over."""
        for process in self.some(trouble, n):
            self.ends(process)
            self.later(trouble, self.starts, process.kind)

    def ends(self, process):
        process.dead = True
        process.lose(i.RESET)
        self.lists(process, i.GONE)

    def starts(self, kind):
        process = Process(self, self.name_engine(), kind, 0, self.now / 10)
        self.processes.append(process)
        self.cold.listed(self.now / SECOND, process.name, "ready", kind, self.now / SECOND)
        self.lists(process, i.READY)

    def begin_drain(self, n, trouble):
        for process in self.some(trouble, n):
            self.lists(process, i.DRAINING)
            self.later(trouble, self.ends, process)

    def begin_deploy(self, n, trouble):
        """One batch after another, `size` engines each: drained, ended, replaced by cold ones."""
        some = self.some(trouble, n)
        batch = max(1, int(trouble.size))
        for k in range(0, len(some), batch):
            at = self.now + trouble.length * k // max(1, len(some))
            for process in some[k : k + batch]:
                self.at(at, self.lists, process, i.DRAINING)
                self.at(at + 3 * SECOND, self.ends, process)
                self.at(at + 3 * SECOND, self.starts, process.kind)

    def lists(self, process, state):
        process.state = max(process.state, state)
        self.log("listed", engine=process.name, state=("ready", "draining", "gone")[state])
        if self.document is not None:
            self.write([(process, process.state)])
        for host in self.hosts:
            delay = int(self.chance(f"list/{host.name}").uniform(0.2, 1.0) * self.script.list_delay)
            if host.members is not None:
                self.at(self.now + delay + self.late_list + STILL, host.filed, self.document)
                continue
            self.at(self.now + delay + self.late_list, self.told, host, process, state)
            if self.again:
                # Once more, later: behind what has happened meanwhile.
                more = int(self.chance(f"again/{host.name}").uniform(0, 4) * SECOND)
                self.at(self.now + delay + more, self.told, host, process, state)

    def told(self, host, process, state):
        if not host.killed:
            host.list_engine(process, state)

    def begin_list_again(self, n, trouble):
        self.again += 1
        self.later(trouble, self.list_once)

    def list_once(self):
        self.again -= 1

    def begin_kill(self, n, trouble):
        """Dispatchers that are killed, and start from nothing under their names once the time is over."""
        alive = [host for host in self.hosts if not host.killed]
        count = min(len(alive), max(1, round(trouble.part * len(alive))))
        for host in self.chance(f"trouble/{n}").sample(alive, count):
            host.killed = True
            for query in host.queries.values():
                if query.answer is None:
                    query.answer = "left"  # no longer its duty; its connections are gone, and so is the work
                    host.seen.answered(self.now / SECOND, query.id, "left")
                    if query.submissions and not query.submissions[-1][2]:
                        self.gives_up(host, query, len(query.submissions) - 1, query.submissions[-1][3])
                    if query.clients.closed:
                        self.at(self.now + SECOND, self.one_more, query.clients)
            self.later(trouble, self.starts_over, host)

    def starts_over(self, old):
        fresh = Host(self, old.number)
        self.gone.append(old)
        self.hosts[self.hosts.index(old)] = fresh
        if fresh.members is not None:
            return fresh.filed(self.document)
        for process in self.processes:
            if process.state != i.GONE:
                fresh.list_engine(process, process.state)

    def begin_list_late(self, n, trouble):
        delay = int(trouble.size * SECOND)
        self.late_list += delay
        self.later(trouble, self.list_in_time, delay)

    def list_in_time(self, delay):
        self.late_list -= delay

    def begin_storm(self, n, trouble):
        self.storm_size *= trouble.size
        self.later(trouble, self.storm_ends, trouble.size)

    def storm_ends(self, size):
        self.storm_size /= size

    def begin_estimates(self, n, trouble):
        self.estimates *= trouble.size
        self.later(trouble, self.estimates_hold, trouble.size)

    def estimates_hold(self, size):
        self.estimates /= size

    def begin_standstill(self, n, trouble):
        """Dispatchers that stand still, as a process that gets no core does."""
        count = max(1, round(trouble.part * len(self.hosts)))
        for host in self.chance(f"trouble/{n}").sample(self.hosts, count):
            host.paused = True
            self.later(trouble, self.goes_on, host)

    def goes_on(self, host):
        host.paused = False


class Outcome:
    """What a run came to: service by second, breaches of rules, and the log's bytes."""

    def __init__(self, world):
        self.world, self.counts = world, world.counts
        self.breaches, self.checked = [], dict.fromkeys(range(1, 9), 0)
        for host in world.hosts + world.gone:
            found, counts = host.seen.breaches()
            self.breaches += [(rule, f"{host.name}: {text}") for rule, text in found if rule != 4]
            for rule, count in counts.items():
                self.checked[rule] += count if rule != 4 else 0
        counts = dict.fromkeys(range(1, 9), 0)
        sent = sorted(world.cold.sent, key=lambda s: s["at"])
        self.breaches += list(world.cold.cold_engines(sent, {}, counts))
        self.checked[4] = counts[4]

    def service(self, since=0, until=None):
        """The share of the value asked for that was earned, of queries first sent within [since, until)
        seconds."""
        rows = self.world.service[since:until]
        asked = sum(asked for _, asked in rows)
        return sum(earned for earned, _ in rows) / asked if asked else 1.0

    def recovery(self):
        """Seconds from the last trouble's end until service holds again for three seconds; None if it does
        not."""
        script = self.world.script
        if not script.troubles:
            return 0.0
        first = min(t.at for t in script.troubles) // SECOND
        over = max(t.at + t.length for t in script.troubles) // SECOND
        level = RECOVERED * (self.service(0, first) if first else 1.0)
        for second in range(over, script.length // SECOND - 2):
            if self.service(second, second + 3) >= level:
                return float(second - over)
        return None

    def margins(self):
        """By second, how much of what the rules allow was used by the gateway nearest to it: of the budget of
        further submissions, and of what all together may send to a cold engine. None where nothing was sent
        that counts."""
        world = self.world
        seconds = len(world.service)
        budget, cold = [None] * seconds, [None] * seconds
        if world.figures.budget:
            free, share, window = world.figures.budget
            for host in world.hosts + world.gone:
                taken = sorted(q["at"] for q in host.seen.queries.values())
                count, further = {}, []
                for sent in host.seen.sent:  # in the order in which they were seen
                    count[sent["id"]] = count.get(sent["id"], 0) + 1
                    if count[sent["id"]] > 1:
                        further.append(sent["at"])
                for n, at in enumerate(further):
                    many = n + 1 - bisect_left(further, at - window)
                    came = bisect_left(taken, at) - bisect_left(taken, at - window)
                    self.widest(budget, at, many / (free + share * came))
        for at, part in world.cold.cold_shares(sorted(world.cold.sent, key=lambda s: s["at"])):
            self.widest(cold, at, part)
        return {"budget": budget, "cold": cold}

    @staticmethod
    def widest(row, at, part):
        second = min(int(at), len(row) - 1)
        row[second] = round(max(row[second] or 0.0, part), 4)

    def failures(self):
        """What was expected and is not so."""
        found = []
        for expected in self.world.script.expected:
            if expected.what == "no-rule-broken":
                found += [f"rule {rule}: {text}" for rule, text in self.breaches[:20]]
            elif expected.what == "service":
                service = self.service(expected.after // SECOND)
                if service < expected.figure:
                    found.append(f"service {service:.3f}, expected above {expected.figure}")
            else:
                recovery = self.recovery()
                if recovery is None or recovery * SECOND > expected.figure:
                    found.append(f"recovery {recovery} s, expected within {expected.figure / SECOND} s")
        return found

    def log(self):
        return b"".join(
            orjson.dumps({"at": at / 10, "event": event, **fields}) + b"\n"
            for at, event, fields in self.world.lines or ()
        )


def mark_of(query):
    """As a dispatcher knows a repeat: a token, else a statement, which each first query has of its own."""
    token = None if query.token is None else b"%d" % query.token
    return storm.mark_of(query.clients.tenant, token, None, b"%d" % query.origin)


def lognormal(chance, mean, spread):
    if not spread:
        return mean
    deviation = sqrt(log(1 + spread * spread))
    return mean * exp(chance.gauss(0, 1) * deviation - deviation * deviation / 2)


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
