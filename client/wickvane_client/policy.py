"""Retry policy of a client: decides when a query is attempted, at which dispatcher, and when it has failed.

The module does no I/O and works with any database driver. All times are in seconds of one clock, which the
caller reads and passes to every call; nothing here reads a clock, sleeps or connects. A Policy is shared by
all queries of a process; a Call is one query from its first attempt to its outcome. The rules:

    deadline        All attempts of a query share one deadline. Each attempt is sent with the time left.
    retries         A deferred attempt is retried, since a retry is harmless. After a lost connection the
                    effect of the group decides: read-only queries are always retried, tokened ones with the
                    same token and inside the idempotency window, mutating ones never.
    retry budget    In every window, retries are limited to `share` of the first attempts plus `free`. The
                    dispatcher limits its own retries by the same rule (Site Reliability Engineering,
                    chapter 22).
    backoff         The delay is drawn with full jitter below a bound that doubles (Brooker, Exponential
                    Backoff And Jitter, 2015). If the dispatcher sent a retry-after delay, no attempt is made
                    before its end.
    circuit breaker A dispatcher whose connection failed or was lost `failures` times in a row gets no
                    queries for some time; then a single query tests it (Nygard, Release It!, 2007).
    failover        After a lost connection the query goes to the next dispatcher. After a deferral another
                    dispatcher is preferred, because each dispatcher has its own queues.
"""

from collections import deque
from random import Random
from typing import NamedTuple

from wickvane_client._deprecated import deprecated_attribute, deprecated_method, deprecated_names

READ_ONLY, TOKENED, MUTATING = "read-only", "tokened", "mutating"
FINISHED, DEFERRED, KILLED = "finished", "deferred", "killed"
LOST, REFUSED, UNUSABLE = "lost", "refused", "unusable"


class Group(NamedTuple):
    """A resource group; its values are those of the dispatcher's settings.

    effect: READ_ONLY, TOKENED or MUTATING
    window: idempotency window, the seconds within which the dispatcher recognizes a token
    timeout: seconds until the deadline of a query if the caller passes no timeout
    ordered: True if queries with the same key run in order; the policy does not use it"""

    effect: str = READ_ONLY
    window: float = 12.0
    timeout: float = 10.0
    ordered: bool = False


class Error(Exception):
    """A query ended without a result.

    tries: number of attempts made. advice: retry-after delay of the last deferral in seconds, 0.0 if it had
    none."""

    def __init__(self, text, tries=0, advice=0.0):
        super().__init__(text)
        self.tries, self.advice = tries, advice


class Deferred(Error):
    """The query did not run, or running it changed nothing: a later retry is harmless."""


class Killed(Error):
    """The query could not be finished and may have run: check its effect before you send it again."""


class UnknownOutcome(Killed):
    """The connection was lost after the query was sent, so the dispatcher's answer is unknown too."""


class Unusable(Error):
    """The statement or its fields are invalid: no retry can succeed."""


class Attempt(NamedTuple):
    """Instruction to send the query to the dispatcher of this index; left: seconds until the deadline."""

    dispatcher: int
    left: float


class Wait(NamedTuple):
    """Instruction to send nothing now and to call Call.next again at the time `until`."""

    until: float


class Breaker:
    """Circuit breaker of one dispatcher, from the attempts of this process alone.

    It opens after `failures` consecutive failures, for `rest` seconds. Each further failure doubles the open
    time, up to `rest_most` seconds."""

    def __init__(self, failures, rest, rest_most):
        self.failures, self.rest, self.rest_most = failures, rest, rest_most
        self.consecutive_failures, self.open_until, self.open_time, self.probing = (
            0,
            0.0,
            rest,
            False,
        )

    def allows(self, now):
        """True if the breaker is closed, or if its open time has ended and no probing query is in flight."""
        return self.consecutive_failures < self.failures or now >= self.open_until and not self.probing

    def sent(self):
        self.probing = self.consecutive_failures >= self.failures

    def answered(self):
        """Closes the breaker: any answer shows that the dispatcher can be reached."""
        self.consecutive_failures, self.open_time, self.probing = 0, self.rest, False

    def lost(self, now):
        """Counts a failed or lost connection and opens the breaker once there are `failures` in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.failures:
            self.open_until, self.open_time = (
                now + self.open_time,
                min(self.rest_most, self.open_time * 2),
            )
        self.probing = False

    takes = deprecated_method("takes", "allows")
    row = deprecated_attribute("row", "consecutive_failures")
    resting = deprecated_attribute("resting", "open_time")
    trial = deprecated_attribute("trial", "probing")


def ignore_event(event, now, **event_fields):
    pass


class Policy:
    """Retry policy and its state, shared by all queries of a process.

    groups: {name: Group}
    dispatchers: number of dispatchers; they are known by index from 0
    seed: of the random choices: jitter, query ids and the first dispatcher
    share, free, window: retry budget; within `window` seconds, retries are limited to `share` of the first
        attempts plus `free`
    first_wait, longest_wait: bound of the backoff before the first retry, and its maximum, in seconds
    longest_advice: maximum of the retry-after delay that is observed, in seconds
    most_tries: maximum number of attempts of a query
    failures, rest, rest_most: circuit breaker; consecutive failures that open it, its first open time and its
        maximum open time, in seconds
    hook: hook(event, now, **fields) is called for the events try, wait, advice, breaker-open and outcome. It
        must not raise or block.

    Raises ValueError if a number is out of range or there is no group."""

    def __init__(
        self,
        groups,
        dispatchers=1,
        seed=0,
        share=0.1,
        free=3,
        window=5.0,
        first_wait=0.1,
        longest_wait=10.0,
        longest_advice=60.0,
        most_tries=8,
        failures=3,
        rest=0.5,
        rest_most=15.0,
        hook=None,
    ):
        if dispatchers < 1 or not groups or share < 0 or free < 0 or window <= 0 or first_wait <= 0:
            raise ValueError(
                "expected at least one group and dispatcher, share and free >= 0, window and first_wait > 0"
            )
        self.groups, self.random, self.hook = dict(groups), Random(seed), hook or ignore_event
        self.share, self.free, self.window = share, free, window
        self.first_wait, self.longest_wait, self.longest_advice = first_wait, longest_wait, longest_advice
        self.most_tries = most_tries
        self.breakers = [Breaker(failures, rest, rest_most) for _ in range(dispatchers)]
        self.retry_after_ends = [0.0] * dispatchers  # end of the last retry-after delay of each dispatcher
        self.first_times, self.retry_times, self.next_index = (
            deque(),
            deque(),
            self.random.randrange(dispatchers),
        )

    def call(self, now, group, timeout=None, token=None):
        """Returns the Call of a new query. Raises KeyError for an unknown group."""
        settings = self.groups[group]
        return Call(self, settings, now, now + (settings.timeout if timeout is None else timeout), token)

    def id(self):
        """Returns 16 hex digits, new for each attempt: the dispatcher rejects an id that is still in use."""
        return f"{self.random.getrandbits(64):016x}"

    # Retry budget

    def may_retry(self, now):
        """True if the retry budget has room for one more retry."""
        for times in (self.first_times, self.retry_times):
            while times and times[0] <= now - self.window:
                times.popleft()
        return len(self.retry_times) + 1 <= self.free + self.share * len(self.first_times)

    def budget_frees_at(self, now):
        """Returns the time at which the oldest retry leaves the window and the budget may have room again."""
        return (self.retry_times[0] if self.retry_times else now) + self.window

    may_further = deprecated_method("may_further", "may_retry")
    further_free_at = deprecated_method("further_free_at", "budget_frees_at")

    # Choice of a dispatcher

    def choose(self, now, avoid):
        """Returns the next dispatcher in rotation whose breaker allows a query, or None if there is none.

        Any dispatcher other than `avoid` is preferred, then one whose retry-after delay has ended."""
        count = len(self.breakers)
        self.next_index += 1
        candidates = [
            d % count
            for d in range(self.next_index, self.next_index + count)
            if self.breakers[d % count].allows(now)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda d: (d == avoid, self.retry_after_ends[d] > now))

    def open_at(self):
        """Returns the earliest end of a breaker's open time."""
        return min(b.open_until for b in self.breakers)

    chance = deprecated_attribute("chance", "random")
    away = deprecated_attribute("away", "retry_after_ends")
    first_at = deprecated_attribute("first_at", "first_times")
    further_at = deprecated_attribute("further_at", "retry_times")
    turn = deprecated_attribute("turn", "next_index")


class Call:
    """One query. next() returns what to do, ended() takes the outcome of an attempt. Once next() raises, the
    query has ended.

    limit: deadline of the query, as a time of the caller's clock"""

    def __init__(self, policy, group, now, limit, token):
        self.policy, self.group, self.deadline, self.token = policy, group, limit, token
        if group.effect == TOKENED and token is None:
            self.token = policy.id()
        self.started_at, self.attempts, self.not_before, self.last_dispatcher = now, 0, now, None
        self.may_have_run_since = None  # time at which the first attempt that may have run was sent
        self.sent_at, self.outcome, self.retry_after, self.text = now, None, 0.0, ""

    def next(self, now):
        """Returns an Attempt or a Wait. Raises the Error of the query if no further attempt is possible."""
        if self.outcome in (KILLED, UNUSABLE):
            raise self.error(now)
        policy = self.policy
        if now >= self.deadline or self.attempts >= policy.most_tries or not self.harmless(now):
            raise self.error(now)
        if now < self.not_before:
            if self.not_before >= self.deadline:
                raise self.error(now)
            return Wait(self.not_before)
        if self.attempts and not policy.may_retry(now):
            at = policy.budget_frees_at(now)
            if at >= self.deadline:
                raise self.error(now)
            return Wait(max(at, now + 0.001))
        dispatcher = policy.choose(now, self.last_dispatcher)
        if dispatcher is None:
            at = max(policy.open_at(), now + 0.01)
            if at >= self.deadline:
                raise self.error(now)
            return Wait(at)
        (policy.retry_times if self.attempts else policy.first_times).append(now)
        policy.breakers[dispatcher].sent()
        self.attempts, self.last_dispatcher, self.sent_at = self.attempts + 1, dispatcher, now
        policy.hook("try", now, dispatcher=dispatcher, number=self.attempts)
        return Attempt(dispatcher, self.deadline - now)

    def harmless(self, now):
        """True if another attempt cannot repeat an effect of an earlier one."""
        if self.may_have_run_since is None or self.group.effect == READ_ONLY:
            return True
        return self.group.effect == TOKENED and now < self.may_have_run_since + self.group.window

    def ended(self, now, outcome, advice=0.0, text=""):
        """Records the outcome of the last attempt.

        outcome: FINISHED, DEFERRED, KILLED or UNUSABLE by the dispatcher's answer; REFUSED if there was no
        connection or it was lost before anything was sent; LOST if it was lost after the query was sent.
        advice: retry-after delay in seconds. text: error message for the user."""
        policy, breaker = self.policy, self.policy.breakers[self.last_dispatcher]
        self.outcome, self.text = outcome, text
        if outcome in (LOST, REFUSED):
            breaker.lost(now)
            if breaker.consecutive_failures >= breaker.failures:
                policy.hook("breaker-open", now, dispatcher=self.last_dispatcher, until=breaker.open_until)
        else:
            breaker.answered()
        if outcome in (LOST, KILLED) and self.may_have_run_since is None:
            self.may_have_run_since = self.sent_at
        # The retry-after delay is bounded, so that a dispatcher that sends an hour does not stop its clients
        # for an hour.
        self.retry_after = min(max(0.0, advice), policy.longest_advice) if outcome == DEFERRED else 0.0
        if self.retry_after:
            policy.retry_after_ends[self.last_dispatcher] = now + self.retry_after
            policy.hook("advice", now, dispatcher=self.last_dispatcher, seconds=self.retry_after)
        if outcome == FINISHED:
            policy.hook("outcome", now, outcome=outcome, tries=self.attempts, took=now - self.started_at)
            return
        bound = min(policy.longest_wait, policy.first_wait * 2 ** min(self.attempts - 1, 20))
        wait = policy.random.uniform(0, bound)
        # Failover needs no backoff: an attempt at another dispatcher adds no load to the lost one. After a
        # deferral the backoff always applies.
        if outcome in (LOST, REFUSED) and len(policy.breakers) > 1 and self.attempts < len(policy.breakers):
            wait = 0.0
        self.not_before = now + max(wait, self.retry_after)
        if self.not_before > now:
            policy.hook("wait", now, seconds=self.not_before - now)

    def error(self, now):
        """Reports the outcome of a query that did not finish to the hook and returns its Error."""
        self.policy.hook(
            "outcome",
            now,
            outcome=self.outcome or "never sent",
            tries=self.attempts,
            took=now - self.started_at,
        )
        details = self.attempts, self.retry_after
        if self.outcome == KILLED:
            return Killed(self.text or "the query could not be finished and may have run", *details)
        # An earlier attempt may have run, whatever the answer to a later one was.
        if self.may_have_run_since is not None and self.group.effect != READ_ONLY:
            return UnknownOutcome(self.text or "the connection was lost after the query was sent", *details)
        if self.outcome == UNUSABLE:
            return Unusable(self.text or "the statement or its fields are invalid", *details)
        return Deferred(self.text or "the query could not be executed before its deadline", *details)

    limit = deprecated_attribute("limit", "deadline")
    began = deprecated_attribute("began", "started_at")
    tries = deprecated_attribute("tries", "attempts")
    last = deprecated_attribute("last", "last_dispatcher")
    ran_at = deprecated_attribute("ran_at", "may_have_run_since")
    advice = deprecated_attribute("advice", "retry_after")


__getattr__ = deprecated_names(globals(), Try="Attempt", quiet="ignore_event")
