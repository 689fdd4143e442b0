"""A simple model of the seven rules: it records every event and checks each command against the rules."""

from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from bench_free import Gateways, group, site

from wickvane.events import (
    AttemptEnded,
    ClientGone,
    Deployment,
    Effect,
    Ending,
    EngineState,
    KeyScope,
    QueryArrived,
    ResourceGroup,
    TimerFired,
)

TICK = 50
ENGINE_COUNT = 6


class RuleBrokenError(AssertionError):
    """Raised if the model finds that a command breaks a rule."""


class Arrival(NamedTuple):
    """The arrival of a query."""

    query: int
    resource_group: int
    key: int | None
    at: int
    time_left: int

    @property
    def deadline(self) -> int:
        """Returns the time at which its client times out."""
        return self.at + self.time_left


class ListEntry(NamedTuple):
    """An engine's entry in the endpoint list."""

    state: EngineState
    zone: int
    kind: int
    cell: int
    started: int


@dataclass
class AttemptRecord:
    """An attempt; it has no ending while it is in flight."""

    entry: ListEntry  # of its engine when it was sent
    sent_at: int
    ended_at: int | None = None
    ending: Ending | None = None

    def may_have_run(self) -> bool:
        """Returns whether it is possible that the attempt ran."""
        return self.ending is None or self.ending < Ending.REJECTED


class SlowStartAttempt(NamedTuple):
    """An attempt on an engine in slow start."""

    at: int
    engine: int
    work: float


class Model(Gateways):
    """A dispatcher that checks every command of its scheduler."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        super().__init__(deployment, seed)
        self.history: list[list[AttemptRecord]] = []  # by query
        self.arrivals: list[Arrival] = []
        self.entries: dict[int, ListEntry] = {}
        self.generations = [0] * ENGINE_COUNT  # by index: the number of engines that had it before
        self.retries: list[int] = []
        self.slow_start_attempts: list[SlowStartAttempt] = []

    def check(self, is_allowed: bool, rule: str) -> None:
        """Raises RuleBrokenError with the name of the rule if `is_allowed` is false."""
        if not is_allowed:
            raise RuleBrokenError(rule)

    def list_engine(self, engine: int, state: EngineState, started: int) -> None:
        """Adds or replaces an engine's entry in the endpoint list."""
        generation = self.generations[engine]
        location = engine + generation
        entry = ListEntry(state, location % 2, engine // 2 % 2, location % 3, started)
        self.entries[engine] = entry
        self.engine(engine, *entry, name=f"{engine}-{generation}" if generation else None)

    def replace_engine(self, engine: int) -> None:
        """Adds another engine, in another zone and cell, under the index of an engine that has gone."""
        self.generations[engine] += 1
        self.slow_start_attempts = [one for one in self.slow_start_attempts if one.engine != engine]
        self.list_engine(engine, EngineState.READY, self.now)

    def arrive(self, rng: Random) -> None:
        """Adds a generated query."""
        resource_group = rng.randrange(len(self.site.groups))
        key = rng.randrange(3) if rng.random() < 0.8 else None
        left = int(self.site.groups[resource_group].timeout * rng.choice([1, 0.9, 0.2]))
        query = self.next_q
        self.next_q += 1
        cost = rng.choice([0, 500, 4000, 40_000])
        self.arrivals.append(Arrival(query, resource_group, key, self.now, left))
        self.sent[query] = []
        self.count[query] = 0
        self.history.append([])
        tenant = rng.randrange(2)
        self.round(QueryArrived(query, resource_group, tenant, cost, 10, rng.randrange(4), key, left))

    def may_have_run(self, query: int) -> list[AttemptRecord]:
        """Returns the attempts of a query that may have run."""
        return [attempt for attempt in self.history[query] if attempt.may_have_run()]

    def start_attempt(self, query: int, engine: int, max_wait: int, start_by: int) -> None:
        """Checks all rules for attempts."""
        arrival = self.arrivals[query]
        resource_group = self.site.groups[arrival.resource_group]
        self.check(
            query not in self.final and self.now < arrival.deadline, "1 no attempt after the final answer"
        )
        self.check(
            all(attempt.ending is not None for attempt in self.history[query]),
            "no second attempt while one is in flight",
        )
        self.check_engine(resource_group, engine)
        self.check_repetition(query, resource_group, engine)
        if resource_group.ordered and arrival.key is not None:
            self.check_turn(arrival)
        if self.history[query] and self.site.retry_budget_window:
            self.check_retry_budget()
        self.check_slow_start(arrival, engine)
        self.check_idempotency_window(query, resource_group, start_by)
        self.history[query].append(AttemptRecord(self.entries[engine], self.now))
        super().start_attempt(query, engine, max_wait, start_by)

    def check_engine(self, resource_group: ResourceGroup, engine: int) -> None:
        """Checks that the engine is ready and permitted."""
        entry = self.entries[engine]
        self.check(entry.state == EngineState.READY, "3 draining")
        self.check(resource_group.zones is None or entry.zone in resource_group.zones, "6 location")
        self.check(resource_group.kinds is None or entry.kind in resource_group.kinds, "6 kind")

    def check_repetition(self, query: int, resource_group: ResourceGroup, engine: int) -> None:
        """Checks that a query that may have run is retried only if that is harmless."""
        entry = self.entries[engine]
        for attempt in self.may_have_run(query):
            self.check(resource_group.effect != Effect.MUTATING, "2 mutating")
            if resource_group.effect == Effect.IDEMPOTENCY_KEY:
                earlier = attempt.entry
                same = [True, earlier.zone == entry.zone, earlier.cell == entry.cell]
                in_window = self.now < attempt.sent_at + resource_group.idempotency_window
                self.check(same[resource_group.key_scope] and in_window, "2 idempotency key")

    def check_turn(self, arrival: Arrival) -> None:
        """Checks that all earlier queries of the key are answered and that the key's quarantine is over."""
        for other in self.arrivals[: arrival.query]:
            if other.key != arrival.key or not self.site.groups[other.resource_group].ordered:
                continue
            attempts = self.history[other.query]
            ended = all(attempt.ending is not None for attempt in attempts)
            self.check(other.query in self.final and ended, "5 key order")
            for attempt in attempts:
                if attempt.ending in (Ending.NO_ANSWER, Ending.RESET, Ending.CANCELLED):
                    self.check(self.now >= attempt.ended_at + self.site.key_quarantine, "5 quarantine")

    def check_retry_budget(self) -> None:
        """Checks that the retries of a window are within the budget."""
        since = self.now - self.site.retry_budget_window
        arrivals = sum(arrival.at > since for arrival in self.arrivals)
        self.retries.append(self.now)
        used = sum(at > since for at in self.retries)
        allowed = self.site.retry_budget_minimum + self.site.retry_budget_ratio * arrivals
        self.check(used <= allowed, "7 budget")

    def check_slow_start(self, arrival: Arrival, engine: int) -> None:
        """Checks that the work for an engine in slow start is within this dispatcher's collapse budget."""
        site = self.site
        entry = self.entries[engine]
        age = self.now - entry.started
        if not entry.started or age >= site.slow_start_duration:
            return
        group_has_arrivals = any(one.resource_group == arrival.resource_group for one in self.arrivals)
        mean = group_has_arrivals and self.scheduler.estimates.mean_cost[arrival.resource_group]
        self.slow_start_attempts.append(SlowStartAttempt(self.now, engine, mean))
        since = self.now - site.collapse_window
        work = sum(one.work for one in self.slow_start_attempts if one.engine == engine and one.at > since)
        fraction = site.slow_start_fraction + (1 - site.slow_start_fraction) * age / site.slow_start_duration
        capacity = 0.85 * site.cores[entry.kind] * fraction * site.collapse_window
        budget = site.collapse_multiple * capacity / site.dispatcher_count
        # If the budget is less than one query, a query is admitted at random. Another test adds up all
        # dispatchers.
        self.check(work <= budget or (budget < mean and work == mean), "4 slow start")

    def check_idempotency_window(self, query: int, resource_group: ResourceGroup, start_by: int) -> None:
        """Checks that a retry with an idempotency key starts within the key's window."""
        earlier = self.may_have_run(query)
        is_limited = earlier and resource_group.effect == Effect.IDEMPOTENCY_KEY
        window_end = earlier[0].sent_at + resource_group.idempotency_window if is_limited else 1 << 62
        self.check(start_by == window_end, "2 start within the window")

    def reject(self, query: int, retry_after: int) -> None:
        """Checks that a retry by the client is harmless."""
        resource_group = self.site.groups[self.arrivals[query].resource_group]
        may_have_run = self.may_have_run(query)
        self.check(query not in self.final, "1 one final answer")
        is_harmless = resource_group.effect == Effect.READ_ONLY or (
            resource_group.effect == Effect.IDEMPOTENCY_KEY
            and resource_group.key_scope == KeyScope.ANY_ENGINE
        )
        self.check(not may_have_run or is_harmless, "2 rejection")
        if may_have_run and resource_group.effect == Effect.IDEMPOTENCY_KEY:
            window_end = may_have_run[0].sent_at + resource_group.idempotency_window
            self.check(self.now < window_end, "2 rejection within the window")
        super().reject(query, retry_after)

    def fail(self, query: int) -> None:
        """Checks that the query has no final answer yet."""
        self.check(query not in self.final, "1 one final answer")
        super().fail(query)

    def finish(self, query: int, ending: Ending, rng: Random) -> None:
        """Ends the attempt in flight."""
        last = self.history[query][-1]
        last.ended_at = self.now
        last.ending = ending
        if ending == Ending.FINISHED and query not in self.final:
            self.final[query] = "finished"
        engine = self.out.pop(query)
        work = rng.choice([0, 3000])
        is_complete = query in self.final
        elapsed = self.now - last.sent_at
        attempt = self.count[query] - 1
        self.round(AttemptEnded(query, attempt, engine, ending, elapsed, is_complete, work, 0, None))

    def check_answers(self) -> None:
        """Checks that every query was answered in time."""
        in_time = (one.query in self.final or self.now <= one.deadline + 200 for one in self.arrivals)
        self.check(all(in_time), "1 in time")


def generated_site(rng: Random) -> Deployment:
    """Returns a deployment with a resource group of each effect."""

    def generated_group(effect: Effect, **more: Any) -> ResourceGroup:
        return group(
            effect=effect,
            timeout=rng.choice([30_000, 80_000]),
            latency_objective=rng.choice([3000, 15_000]),
            threads=rng.choice([1, 2]),
            late_priority_weight=rng.choice([0, 0.4]),
            zones=rng.choice([None, frozenset([0])]),
            kinds=rng.choice([None, frozenset([1])]),
            **more,
        )

    return site(
        [
            generated_group(Effect.READ_ONLY),
            generated_group(Effect.MUTATING),
            generated_group(
                Effect.IDEMPOTENCY_KEY,
                key_scope=rng.randrange(3),
                idempotency_window=rng.choice([8000, 40_000]),
                ordered=True,
            ),
        ],
        tenants=2,
        retry_budget_window=rng.choice([0, 20_000]),
        dispatcher_count=rng.choice([1, 3, 40]),
        can_cancel=rng.random() < 0.5,
        collapse_multiple=rng.choice([1.5, 3.0]),
        slow_start_duration=60_000,
    )


def change_engine(model: Model, rng: Random) -> None:
    """Changes one engine's entry in the endpoint list."""
    engine = rng.randrange(ENGINE_COUNT)
    state = rng.choice([EngineState.READY, EngineState.READY, EngineState.DRAINING, EngineState.GONE])
    model.list_engine(engine, state, model.now if state == EngineState.READY else 0)
    if state == EngineState.DRAINING and rng.random() < 0.5:
        model.list_engine(engine, EngineState.GONE, 0)
        for query in [query for query, at in model.out.items() if at == engine]:
            model.finish(query, Ending.RESET, rng)
    if model.entries[engine].state == EngineState.GONE and engine not in model.out.values():
        if rng.random() < 0.5:
            model.replace_engine(engine)


def end_attempts(model: Model, rng: Random) -> None:
    """Ends some of the attempts, and all that were cancelled."""
    endings = [Ending.FINISHED] * 6 + list(range(8))
    for query in [query for query in model.out if rng.random() < 0.12]:
        model.finish(query, rng.choice(endings), rng)
    for query in sorted({query for query in model.cancelled if query in model.out}):
        model.finish(query, Ending.CANCELLED, rng)


def play(seed: int, rounds: int = 500) -> Model:
    """Plays a generated day and returns its model."""
    rng = Random(seed)
    model = Model(generated_site(rng), seed)
    for engine in range(ENGINE_COUNT):
        model.list_engine(engine, EngineState.READY, 0)
    for _ in range(rounds):
        # Sometimes the dispatcher pauses, for longer than the timeout of some queries.
        step = 20_000 if rng.random() < 0.01 else rng.choice([TICK, TICK, 400])
        model.round(TimerFired(1), after=step)
        for _ in range(rng.choice([0, 1, 1, 4])):
            model.arrive(rng)
        if rng.random() < 0.05:
            change_engine(model, rng)
        end_attempts(model, rng)
        for arrival in model.arrivals[-200:]:
            query = arrival.query
            if query not in model.final and rng.random() < 0.001:
                model.final[query] = "left"
                model.round(ClientGone(query))
            model.check(query in model.final or model.now <= arrival.deadline + 200, "1 in time")
    model.check_answers()
    return model
