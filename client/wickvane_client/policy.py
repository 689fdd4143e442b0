"""When a client of wickvane tries again, where, and when it stops: free of I/O, for any driver or none.

Times are seconds of one clock that the caller hands in with every call; nothing here reads a clock, sleeps or
connects. A Policy is shared by all calls of a process, a Call is one query from its first try to its one
outcome. The rules:

    deadline   a query has one time for all of its tries; each try is told what is left of it
    repeats    deferred: proven harmless, tried again. lost on the way: tried again where the group allows
               it, read-only always, tokened with the same token inside its window, mutating never
    budget     further tries within `share` of first ones and `free` more, in every window; as the
               dispatcher bounds its own (a retry budget; Site Reliability Engineering, chapter 22)
    back-off   full jitter over a bound that doubles (Brooker, Exponential Backoff And Jitter, 2015); where
               the dispatcher told how long to stay away, not before that
    breaker    a dispatcher that was lost `failures` times in a row is left alone for a time, then tried by
               one call (the circuit breaker; Nygard, Release It!, 2007)
    failover   a lost dispatcher's query goes on at the next one; a deferred one prefers another, since what
               one dispatcher holds is its own
"""

from collections import deque
from random import Random
from typing import NamedTuple

READ_ONLY, TOKENED, MUTATING = "read-only", "tokened", "mutating"
FINISHED, DEFERRED, KILLED = "finished", "deferred", "killed"
LOST, REFUSED, UNUSABLE = "lost", "refused", "unusable"


class Group(NamedTuple):
    """A resource group as the dispatcher's settings have it. window: seconds within which a token is known
    again; timeout: seconds a query has where the caller says nothing."""

    effect: str = READ_ONLY
    window: float = 12.0
    timeout: float = 10.0
    ordered: bool = False


class Error(Exception):
    """A query without a result. tries: how many were made; advice: seconds to stay away, 0.0 where none was
    told."""

    def __init__(self, text, tries=0, advice=0.0):
        super().__init__(text)
        self.tries, self.advice = tries, advice


class Deferred(Error):
    """Nothing ran, or what ran changed nothing: trying again later is harmless."""


class Killed(Error):
    """It could not be finished and may have run: the caller has to look before it is sent again."""


class UnknownOutcome(Killed):
    """The connection was lost under it, so not even the dispatcher's answer is known."""


class Unusable(Error):
    """The statement or its fields cannot be used: no try will change that."""


class Try(NamedTuple):
    """What to do now: send to this dispatcher, with this much time."""

    dispatcher: int
    left: float


class Wait(NamedTuple):
    """Nothing now; ask again at this time."""

    until: float


class Breaker:
    """One dispatcher as this process sees it."""

    def __init__(self, failures, rest, rest_most):
        self.failures, self.rest, self.rest_most = failures, rest, rest_most
        self.row, self.open_until, self.resting, self.trial = 0, 0.0, rest, False

    def takes(self, now):
        return self.row < self.failures or now >= self.open_until and not self.trial

    def sent(self):
        self.trial = self.row >= self.failures

    def answered(self):
        self.row, self.resting, self.trial = 0, self.rest, False

    def lost(self, now):
        self.row += 1
        if self.row >= self.failures:
            self.open_until, self.resting = now + self.resting, min(self.rest_most, self.resting * 2)
        self.trial = False


def quiet(event, now, **told):
    pass


class Policy:
    """groups: {name: Group}; dispatchers: how many there are, by index from 0.

    hook(event, now, **fields), where given, hears of: try, wait, advice, breaker-open, outcome. It must not
    raise and must not wait."""

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
            raise ValueError("a policy needs groups, a dispatcher, and no negative budget or waits")
        self.groups, self.chance, self.hook = dict(groups), Random(seed), hook or quiet
        self.share, self.free, self.window = share, free, window
        self.first_wait, self.longest_wait, self.longest_advice = first_wait, longest_wait, longest_advice
        self.most_tries = most_tries
        self.breakers = [Breaker(failures, rest, rest_most) for _ in range(dispatchers)]
        self.away = [0.0] * dispatchers  # until when each said to stay away
        self.first_at, self.further_at, self.turn = deque(), deque(), self.chance.randrange(dispatchers)

    def call(self, now, group, timeout=None, token=None):
        """A new query. Raises KeyError for a group that is not known."""
        known = self.groups[group]
        return Call(self, known, now, now + (known.timeout if timeout is None else timeout), token)

    def id(self):
        """16 hex digits, new with every try: the dispatcher takes an open id only once."""
        return f"{self.chance.getrandbits(64):016x}"

    # The budget

    def may_further(self, now):
        for line in (self.first_at, self.further_at):
            while line and line[0] <= now - self.window:
                line.popleft()
        return len(self.further_at) + 1 <= self.free + self.share * len(self.first_at)

    def further_free_at(self, now):
        """When the budget may next have room by what leaves its window."""
        return (self.further_at[0] if self.further_at else now) + self.window

    # Where

    def choose(self, now, avoid):
        """The next dispatcher in turn that takes calls, another than `avoid` where there is one, one that did
        not say to stay away first; None where all are left alone."""
        count = len(self.breakers)
        self.turn += 1
        fit = [d % count for d in range(self.turn, self.turn + count) if self.breakers[d % count].takes(now)]
        if not fit:
            return None
        return min(fit, key=lambda d: (d == avoid, self.away[d] > now))

    def open_at(self):
        return min(b.open_until for b in self.breakers)


class Call:
    """One query. next() says what to do, ended() takes what became of a try; when next() raises, it is
    over."""

    def __init__(self, policy, group, now, limit, token):
        self.policy, self.group, self.limit, self.token = policy, group, limit, token
        if group.effect == TOKENED and token is None:
            self.token = policy.id()
        self.began, self.tries, self.not_before, self.last = now, 0, now, None
        self.ran_at = None  # when a try that may have run was first sent
        self.sent_at, self.outcome, self.advice, self.text = now, None, 0.0, ""

    def next(self, now):
        """Try or Wait; raises the Error that the query has come to."""
        if self.outcome in (KILLED, UNUSABLE):
            raise self.error(now)
        policy = self.policy
        if now >= self.limit or self.tries >= policy.most_tries or not self.harmless(now):
            raise self.error(now)
        if now < self.not_before:
            if self.not_before >= self.limit:
                raise self.error(now)
            return Wait(self.not_before)
        if self.tries and not policy.may_further(now):
            at = policy.further_free_at(now)
            if at >= self.limit:
                raise self.error(now)
            return Wait(max(at, now + 0.001))
        dispatcher = policy.choose(now, self.last)
        if dispatcher is None:
            at = max(policy.open_at(), now + 0.01)
            if at >= self.limit:
                raise self.error(now)
            return Wait(at)
        (policy.further_at if self.tries else policy.first_at).append(now)
        policy.breakers[dispatcher].sent()
        self.tries, self.last, self.sent_at = self.tries + 1, dispatcher, now
        policy.hook("try", now, dispatcher=dispatcher, number=self.tries)
        return Try(dispatcher, self.limit - now)

    def harmless(self, now):
        if self.ran_at is None or self.group.effect == READ_ONLY:
            return True
        return self.group.effect == TOKENED and now < self.ran_at + self.group.window

    def ended(self, now, outcome, advice=0.0, text=""):
        """outcome: finished, deferred, killed, unusable; refused: no connection, or it went before
        anything was sent on it; lost: it went with the query out. advice: seconds told by the dispatcher."""
        policy, breaker = self.policy, self.policy.breakers[self.last]
        self.outcome, self.text = outcome, text
        if outcome in (LOST, REFUSED):
            breaker.lost(now)
            if breaker.row >= breaker.failures:
                policy.hook("breaker-open", now, dispatcher=self.last, until=breaker.open_until)
        else:
            breaker.answered()
        if outcome in (LOST, KILLED) and self.ran_at is None:
            self.ran_at = self.sent_at
        # Advice of a peer is heeded within bounds: one that says an hour must not silence its callers.
        self.advice = min(max(0.0, advice), policy.longest_advice) if outcome == DEFERRED else 0.0
        if self.advice:
            policy.away[self.last] = now + self.advice
            policy.hook("advice", now, dispatcher=self.last, seconds=self.advice)
        if outcome == FINISHED:
            policy.hook("outcome", now, outcome=outcome, tries=self.tries, took=now - self.began)
            return
        bound = min(policy.longest_wait, policy.first_wait * 2 ** min(self.tries - 1, 20))
        wait = policy.chance.uniform(0, bound)
        # A lost dispatcher is not overloaded by going on at another; all that was deferred waits its time.
        if outcome in (LOST, REFUSED) and len(policy.breakers) > 1 and self.tries < len(policy.breakers):
            wait = 0.0
        self.not_before = now + max(wait, self.advice)
        if self.not_before > now:
            policy.hook("wait", now, seconds=self.not_before - now)

    def error(self, now):
        """What the query has come to, where it is not finished."""
        self.policy.hook(
            "outcome", now, outcome=self.outcome or "never sent", tries=self.tries, took=now - self.began
        )
        told = self.tries, self.advice
        if self.outcome == KILLED:
            return Killed(self.text or "it could not be finished, and may have run", *told)
        # Whatever a later try was answered: an earlier one may have run.
        if self.ran_at is not None and self.group.effect != READ_ONLY:
            return UnknownOutcome(self.text or "the connection was lost under it", *told)
        if self.outcome == UNUSABLE:
            return Unusable(self.text or "the statement cannot be used", *told)
        return Deferred(self.text or "it could not be done in its time", *told)
