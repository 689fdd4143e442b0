"""A dispatcher of the rehearsal with its queries, and the processes of engines.

The module decides as in the program; what it writes is on its way at once, through its world.
"""

from wickvane.events import AttemptEnded, Ending, EngineState, EngineUpdated, QueryArrived, TimerFired
from wickvane.rehearsal import model
from wickvane.rehearsal.rules import Seen
from wickvane.scheduling.retry_storm import StormDetector, fingerprint
from wickvane.units import TICKS_PER_SECOND

TICK = 10
ENDINGS = ("finished", "error", "no-answer", "reset", "cancelled", "turned-away", "refused", "not-sent")


def mark_of(query):
    """As a dispatcher knows a repeat: a token, else a statement, which each first query has of its own."""
    token = None if query.token is None else b"%d" % query.token
    return fingerprint(query.clients.tenant, token, None, b"%d" % query.origin)


class Query:
    """One try of a client."""

    __slots__ = (
        "id",
        "origin",
        "clients",
        "resource_group",
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
        self.started, self.state, self.silent, self.dead = started, EngineState.READY, 0, False
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
                gateway.hears(
                    query, submission, self, Ending.FINISHED, int(query.work * 10), query.resource_group
                )
        self.plan()

    def lose(self, ending, tell=True):
        """All that is out here ends so, or is never heard of again."""
        out, self.out = self.out, {}
        for gateway, query, submission in out.values():
            if tell:
                gateway.hears(query, submission, self, ending, 0, query.resource_group)


class Host:
    """One gateway: the module, its rounds, and the writer it is handed."""

    def __init__(self, world, number):
        self.world, self.number, self.name = world, number, f"g{number}"
        self.scheduler = world.gateway(f"{world.seed}/{self.name}", world.deployment)
        self.seen = Seen(world.figures)
        self.events, self.planned, self.queries, self.engines, self.index = [], False, {}, {}, {}
        self.paused = self.killed = False
        script = world.script
        self.storm = (
            StormDetector(
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
        self.scheduler.round(self.world.now, events, self)

    def list_engine(self, process, state):
        if state < self.told.get(process.name, -1):
            return  # older than what is known: the list's numbers tell
        self.told[process.name] = state
        e = self.index.setdefault(process.name, len(self.index))
        self.engines[e] = process
        started = process.started or 0
        self.tell(EngineUpdated(e, process.name.encode(), state, 0, process.kind, 0, int(started * 10), 1.0))
        self.seen.listed(
            self.world.now / TICKS_PER_SECOND,
            process.name,
            ("ready", "draining", "gone")[state],
            process.kind,
            process.started and process.started / 1000,
        )

    def filed(self, roster):
        """A watched file has come to lie here, and is still."""
        if not self.killed:
            self.members.submit(self.world.now, roster, roster.generation, (), "deploy tool")
            self.follow()

    def follow(self):
        if self.killed:
            return
        from wickvane.endpoints.effects import PublishUpdate

        self.members.tick(self.world.now)
        for effect in self.members.take_effects():
            for name, _, state, *_ in effect.entries if isinstance(effect, PublishUpdate) else ():
                self.list_engine(self.world.named[name], state)
        at = self.members.next_wakeup()
        if at is not None:
            self.world.at(max(at, self.world.now + TICK), self.follow)

    def take(self, query):
        self.queries[query.id] = query
        query.gateway, query.taken = self, self.world.now
        left, memory = query.limit - query.taken, self.world.script.groups[query.resource_group].memory
        again = False
        if self.storm is not None:
            for event, fields in self.storm.end_step(self.world.now):
                self.world.storms.append((self.world.now / TICKS_PER_SECOND, self.name, event, fields))
                self.world.log("storm", gateway=self.name, what=event, **fields)
            alone = query.clients.closed == 1  # else each query is a user's of its own
            source = query.clients.name if alone else query.origin
            again = self.storm.record_arrival(self.world.now, mark_of(query), source, query.cost)
        self.seen.taken(
            self.world.now / TICKS_PER_SECOND,
            query.id,
            query.resource_group,
            left / TICKS_PER_SECOND,
            query.key,
        )
        self.tell(
            QueryArrived(
                query.id,
                query.resource_group,
                query.clients.tenant,
                query.cost,
                memory,
                query.table,
                query.key,
                left,
                again,
            )
        )

    def hears(self, query, submission, process, ending, work, resource_group):
        """An ending is on its way back."""
        place = query.submissions[submission]
        if place[1] is not None:
            self.seen.ended(self.world.now / TICKS_PER_SECOND, place[1], ENDINGS[ending])
        self.world.at(
            self.world.now + self.world.script.latency, self.heard, query, submission, process, ending, work
        )

    def heard(self, query, submission, process, ending, work):
        place = query.submissions[submission]
        if place[2] or self.killed:
            return
        place[2] = True
        complete = query.answer is not None
        if ending == Ending.FINISHED and not complete:
            self.world.answered(query, "finished")
            complete = True
            if self.storm is not None:
                elapsed, threads = (
                    self.world.now - place[0],
                    self.world.script.groups[query.resource_group].threads,
                )
                self.storm.record_answer(self.world.now > query.target, work)
                self.storm.record_attempt(self.world.now, process.name, elapsed, query.cost / threads)
        self.tell(
            AttemptEnded(
                query.id,
                submission,
                self.index[process.name],
                ending,
                self.world.now - place[0],
                complete,
                work if ending == Ending.FINISHED else 0,
                0,
                None,
            )
        )

    # The writer

    def start_attempt(self, q, engine, max_wait, start_by):  # what is decided is on its way at once
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
            self.heard(query, submission, process, Ending.NO_ANSWER, 0)

    def reject(self, q, retry_after):
        if self.storm is not None:
            self.storm.record_rejection(self.world.now, mark_of(self.queries[q]))
        self.world.answered(self.queries[q], "deferred", retry_after)

    def fail(self, q):
        self.world.answered(self.queries[q], "killed")

    def cancel_attempt(self, q, submission):
        query = self.queries[q]
        place = query.submissions[submission]
        if not place[2]:
            self.world.gives_up(self, query, submission, place[3])
            if place[1] is not None:
                self.seen.ended(self.world.now / TICKS_PER_SECOND, place[1], "cancelled")
                self.seen.given_up(self.world.now / TICKS_PER_SECOND, place[1])
            self.world.at(self.world.now + 1, self.heard, query, submission, place[3], Ending.CANCELLED, 0)

    def set_terms(self, q, priority, grant):
        self.queries[q].priority = max(0, priority)

    def set_timer(self, token, at):
        self.world.at(at, self.tell, TimerFired(token))

    def watch_endpoints(self, enabled):
        pass

    def log_note(self, text):
        self.world.log("note", gateway=self.name, text=text)
