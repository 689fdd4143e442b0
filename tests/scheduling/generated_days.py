"""Seeded days for the scheduler: random events of every type, and a digest of all commands written.

The events of an attempt depend on the commands, so a single different command changes all later events.
"""

from collections.abc import Callable
from random import Random

from scheduling.command_digest import CommandDigest
from scheduling.generated_settings import CORES, Settings, deployment
from wickvane.events import (
    FOREVER,
    AttemptEnded,
    AttemptProgressed,
    Budget,
    ClientGone,
    Ending,
    EndpointListLost,
    EngineJudged,
    EngineState,
    EngineUpdated,
    InFlightElsewhere,
    LeaseChanged,
    Progress,
    QueryArrived,
    ShutdownStarted,
    TenantsCharged,
    TimerFired,
)

TICKS_PER_SECOND = 10_000
START = 1_000_000
ENDINGS = (
    Ending.ERROR,
    Ending.NO_ANSWER,
    Ending.RESET,
    Ending.REJECTED,
    Ending.NO_CONNECTION,
    Ending.NOT_SENT,
)


class Attempt:
    """An attempt on a simulated engine."""

    def __init__(self, query: int, number: int, engine: int, started_at: int) -> None:
        self.query = query
        self.number = number
        self.engine = engine
        self.started_at = started_at
        self.ends_at = FOREVER
        self.ending = Ending.FINISHED


class Engine:
    """A simulated engine: its entry in the endpoint list and its faults."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.name = f"engine-{index}"
        self.state = EngineState.READY
        self.started = 0
        self.weight = 1.0
        self.slowness = 1.0
        self.failure_probability = 0.0
        self.silent_until = 0
        self.threads = 0

    def entry(self) -> EngineUpdated:
        """Returns the event with the engine's entry in the endpoint list."""
        index = self.index
        return EngineUpdated(
            index,
            self.name.encode(),
            self.state,
            index % 2,
            index // 2 % 2,
            index % 3,
            self.started,
            self.weight,
        )


class Day:
    """Plays one day against a scheduler, and is the writer that the scheduler writes its commands to."""

    def __init__(self, settings: Settings, scheduler_type: Callable, join: Callable) -> None:
        self.settings = settings
        self.rng = Random(settings.seed)
        self.deployment = deployment(settings)
        self.scheduler = scheduler_type(settings.seed, self.deployment)
        self.fleet = join(self.scheduler) if settings.in_fleet else None
        self.digest = CommandDigest()
        self.now = START
        self.events: list = []
        self.engines = [Engine(index) for index in range(settings.engine_count)]
        self.arrived: dict[int, QueryArrived] = {}
        self.attempts: dict[int, Attempt] = {}
        self.attempt_counts: dict[int, int] = {}
        self.answered: set[int] = set()
        self.timers: list[int] = []
        self.next_query = 0

    # The methods of a writer

    def start_attempt(self, query: int, engine: int, max_wait: int, start_by: int) -> None:
        """Decides when and how the attempt ends."""
        self.digest.add(self.now, "start", query, engine, max_wait, start_by)
        number = self.attempt_counts.get(query, 0)
        self.attempt_counts[query] = number + 1
        attempt = self.attempts[query] = Attempt(query, number, engine, self.now)
        simulated = self.engines[engine]
        arrival = self.arrived[query]
        threads = self.deployment.groups[arrival.group].threads
        simulated.threads += threads
        contention = max(1.0, simulated.threads / CORES[engine // 2 % 2])
        unloaded = (arrival.cost or 3000) / threads
        elapsed = int(unloaded * self.rng.lognormvariate(0, 0.4) * contention * simulated.slowness) + 1
        if self.rng.random() < simulated.failure_probability:
            attempt.ending = self.rng.choice(ENDINGS)
            elapsed = min(elapsed, 30) if attempt.ending >= Ending.REJECTED else elapsed
        elif self.rng.random() < 0.01:
            attempt.ending = Ending.ERROR
        attempt.ends_at = max(self.now + elapsed, simulated.silent_until)

    def reject(self, query: int, retry_after: int) -> None:
        """Records a rejection, which is a final answer."""
        self.digest.add(self.now, "reject", query, retry_after)
        self.answered.add(query)

    def fail(self, query: int) -> None:
        """Records a failure, which is a final answer."""
        self.digest.add(self.now, "fail", query)
        self.answered.add(query)

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """Ends the attempt soon, unless its engine does not respond."""
        self.digest.add(self.now, "cancel", query, attempt)
        running = self.attempts.get(query)
        if running is not None and running.number == attempt:
            running.ending = Ending.CANCELLED
            running.ends_at = max(self.now + 20, self.engines[running.engine].silent_until)

    def set_terms(self, query: int, priority: int, memory_grant: float) -> None:
        """Adds the command to the digest."""
        self.digest.add(self.now, "terms", query, priority, memory_grant)

    def set_timer(self, token: int, at: int) -> None:
        """Schedules a timer event."""
        self.digest.add(self.now, "timer", token, at)
        self.timers.append(at)

    def watch_endpoints(self, subscribed: bool) -> None:
        """Adds the command to the digest."""
        self.digest.add(self.now, "watch", subscribed)

    def log_note(self, text: str) -> None:
        """Counts the note; its text is not part of a decision."""
        self.digest.add(self.now, "note")

    # Events

    def arrive(self) -> None:
        """Adds the arrival of a query."""
        rng = self.rng
        query = self.next_query
        self.next_query += 1
        group = rng.randrange(len(self.deployment.groups))
        known_tenants = self.settings.tenants + (rng.random() < 0.02)
        event = QueryArrived(
            query,
            group,
            rng.randrange(known_tenants),
            rng.choice(self.settings.costs),
            rng.choice([0, 10, 600]),
            rng.randrange(self.settings.table_groups),
            rng.randrange(5),
            rng.choice(self.settings.times_left),
            rng.random() < 0.1,
        )
        self.arrived[query] = event
        self.events.append(event)

    def finish(self, attempt: Attempt) -> None:
        """Adds the end of an attempt."""
        rng = self.rng
        query = attempt.query
        del self.attempts[query]
        arrival = self.arrived[query]
        threads = self.deployment.groups[arrival.group].threads
        self.engines[attempt.engine].threads -= threads
        finished = attempt.ending == Ending.FINISHED
        elapsed = self.now - attempt.started_at
        work = rng.choice([0, int(elapsed * threads * 0.9)]) if finished else 0
        memory = rng.choice([0, 12.5, 640.0]) if finished else 0
        report = rng.choice([None, {"inflight": float(self.engines[attempt.engine].threads)}, {}])
        complete = finished or query in self.answered
        if finished:
            self.answered.add(query)
        self.events.append(
            AttemptEnded(
                query, attempt.number, attempt.engine, attempt.ending, elapsed, complete, work, memory, report
            )
        )

    def progress(self, attempt: Attempt) -> None:
        """Adds a progress report of an attempt."""
        metric = self.rng.choice(
            [Progress.FRACTION_DONE, Progress.FRACTION_DONE, Progress.SPILLS, Progress.WAITS]
        )
        amount = self.rng.choice([0.001, 0.05, 0.3, 0.8])
        self.events.append(AttemptProgressed(attempt.query, attempt.number, attempt.engine, metric, amount))

    def fault(self) -> None:
        """Adds a change of one engine or of all engines."""
        engine = self.rng.choice(self.engines)
        kind = self.rng.choice(self.settings.fault_kinds)
        if kind in (3, 4, 5, 6):
            self.change_process(kind, engine)
        elif kind in (7, 8, 10):
            self.change_pool(kind)
        else:
            self.degrade(kind, engine)
        self.events.append(engine.entry())

    def degrade(self, kind: int, engine: Engine) -> None:
        """Makes one engine unresponsive, slow or failing, or changes its weight."""
        rng = self.rng
        match kind:
            case 0:
                engine.silent_until = self.now + rng.choice([8_000, 40_000])
                for attempt in self.attempts.values():
                    if attempt.engine == engine.index:
                        attempt.ends_at = max(attempt.ends_at, engine.silent_until)
            case 1:
                engine.slowness = rng.choice([1.0, 3.0, 8.0])
            case 2:
                engine.failure_probability = rng.choice([0.0, 0.3, 1.0])
            case 9:
                engine.weight = rng.choice([0.0, 0.4, 1.0, 7.0])

    def change_process(self, kind: int, engine: Engine) -> None:
        """Drains, removes or restarts one engine; a restart sometimes changes its name."""
        if kind == 3:
            engine.state = EngineState.DRAINING
            return
        self.end_process(engine)
        if kind == 4:
            engine.state = EngineState.GONE
            return
        engine.state = EngineState.READY
        engine.started = self.now
        engine.failure_probability = 0.0
        if self.rng.random() < 0.3:
            engine.name += "x"

    def change_pool(self, kind: int) -> None:
        """Makes all engines slow or healthy, or loses the endpoint list."""
        if kind == 10:
            self.events.append(EndpointListLost())
            return
        for one in self.engines:
            one.slowness = 4.0 if kind == 7 and self.rng.random() < 0.6 else 1.0
            one.failure_probability = one.failure_probability if kind == 7 else 0.0

    def end_process(self, engine: Engine) -> None:
        """Resets all attempts on an engine."""
        for attempt in [one for one in self.attempts.values() if one.engine == engine.index]:
            attempt.ending = Ending.RESET
            self.finish(attempt)

    def add_fleet_event(self) -> None:
        """Adds events that occur only in fleets."""
        rng = self.rng
        engine = rng.randrange(len(self.engines))
        match rng.randrange(5):
            case 0 | 1:
                for index in range(len(self.engines)):
                    self.events.append(InFlightElsewhere(index, rng.randrange(20), rng.choice([10, 30_000])))
            case 2:
                ends_at = self.now + rng.choice([3_000, 20_000])
                fraction = rng.choice([0.0, 0.5, 1.5, 3.0])
                self.events.append(
                    LeaseChanged(rng.choice(list(Budget)), fraction, ends_at, rng.choice([0.0, 1.0]))
                )
            case 3:
                self.events.append(
                    TenantsCharged([rng.randrange(60_000) for _ in range(self.settings.tenants)])
                )
            case 4:
                self.events.append(
                    EngineJudged(engine, rng.random() < 0.4, rng.choice([0.0, 3.0]), rng.choice([50, 9_000]))
                )

    # The day

    def play(self) -> CommandDigest:
        """Plays all rounds; returns the digest of the commands."""
        settings = self.settings
        rng = self.rng
        self.events = [engine.entry() for engine in self.engines]
        self.play_round()
        for number in range(settings.rounds):
            self.now += rng.choice([1, 40, 150, 200, 200, 400])
            if rng.random() < 0.004:
                self.now += 25_000  # the process pauses
            self.collect_events(number)
            self.play_round()
            if self.fleet is not None and number % 7 == 0:
                self.digest.add(self.now, "needs", *self.fleet.needs())
        return self.digest

    def collect_events(self, number: int) -> None:
        """Collects the events up to the next round."""
        settings = self.settings
        rng = self.rng
        burst = 2.5 if number // 250 % 3 == 1 else 1.0
        arrivals = int(settings.queries_per_round * burst + rng.random())
        before = rng.randrange(arrivals + 1)  # arrivals that precede the ends of attempts
        for _ in range(before):
            self.arrive()
        for attempt in [one for one in self.attempts.values() if one.ends_at <= self.now]:
            self.finish(attempt)
        for _ in range(arrivals - before):
            self.arrive()
        responding = [
            one for one in self.attempts.values() if self.engines[one.engine].silent_until <= self.now
        ]
        if responding and rng.random() < 0.15:
            self.progress(rng.choice(responding))
        if rng.random() < settings.fault_rate:
            self.fault()
        if rng.random() < 0.02:
            self.events.append(ClientGone(rng.randrange(max(1, self.next_query))))
        if rng.random() < 0.01:  # of a query that is no longer known
            self.events.append(AttemptEnded(1 << 40, 0, 0, Ending.CANCELLED, 10, True, 0, 0, None))
        if settings.in_fleet and rng.random() < 0.1:
            self.add_fleet_event()
        if settings.shuts_down and number == settings.rounds - 150:
            self.events.append(ShutdownStarted(60_000))
        due = [at for at in self.timers if at <= self.now]
        self.timers = [at for at in self.timers if at > self.now]
        self.events += [TimerFired(1) for _ in due]

    def play_round(self) -> None:
        """Gives the collected events to the scheduler."""
        events = self.events
        self.events = []
        self.scheduler.round(self.now, events, self)
