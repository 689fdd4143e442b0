"""Decides which leases a dispatcher requests, grants, renews and releases. Free of I/O.

wickvane.quotas.escrow ensures that no unit is spent twice, with one Escrow per budget: a wrong decision here
lowers utilization, but never exceeds a limit. The demand for a budget is computed from the units in use or,
for a budget whose units are transferred too slowly for present use to be a guide, from this dispatcher's
share of the traffic. Each dispatcher owns UNITS_PER_DISPATCHER of each budget and never leases out
RESERVED_UNITS of them. It grants units that it has not needed recently, and requests leases if its units were
insufficient. So idle units move in one step to dispatchers with waiting work, and return within a term after
their owner needs them, since the owner then stops renewing the grants.

The lessor's decider must have stopped using granted units before the holder receives the grant: each quota
update has a number, and a grant is deferred until the decider has acknowledged the update without its units.
Times are ticks of the local monotonic clock.
"""

from collections.abc import Sequence
from typing import NamedTuple

from wickvane.quotas.escrow import Escrow
from wickvane.quotas.incarnation import Incarnation
from wickvane.quotas.lease_messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest
from wickvane.units import TICKS_PER_SECOND

UNITS_PER_DISPATCHER = 64
RESERVED_UNITS = 16
MAX_DEMAND_UNITS = 16 * UNITS_PER_DISPATCHER
LEASE_TERM = 2 * TICKS_PER_SECOND
# A lease with less remaining time is renewed; early, so that there is time for retries if datagrams are lost.
RENEWAL_THRESHOLD = 8 * LEASE_TERM // 10
MAX_PARALLEL_REQUESTS = 2  # lessors that get a request for the same budget at once
REQUEST_TIMEOUT = TICKS_PER_SECOND // 2  # after which an unanswered request is no longer expected to succeed
DEMAND_MARGIN = 1.25  # demand divided by the units in use
GROWTH_FACTOR = 2.5  # demand divided by the usable units, if these were insufficient
DEMAND_DECAY = 4 * TICKS_PER_SECOND


class BudgetConfig(NamedTuple):
    """How one budget is leased.

    rate_window: the window in which spending is limited, in ticks; usable_at_once: whether a new incarnation
    may spend its reserved units at once; demand_by_traffic: whether demand is computed from traffic instead
    of use.
    """

    rate_window: int
    usable_at_once: bool
    demand_by_traffic: bool


class BudgetUse(NamedTuple):
    """The decider's use of a budget.

    used: the fraction of the configured quota that is in use; insufficient: whether more would be used if the
    quota allowed it.
    """

    used: float
    insufficient: bool


class Quota(NamedTuple):
    """A dispatcher's quota of one budget, as fractions of its configured quota.

    fraction: valid until `expires_at` (None: it does not expire); fraction_after: valid from then on.
    """

    fraction: float
    expires_at: int | None
    fraction_after: float


class QuotaUpdate(NamedTuple):
    """The quotas of all budgets; the decider acknowledges the update by its number."""

    number: int
    quotas: list[Quota]


class Envelope(NamedTuple):
    """A message and the incarnation that receives it."""

    recipient: Incarnation
    message: LeaseMessage


class DeferredMessage(NamedTuple):
    """A message that must not be sent before the decider has acknowledged the quota update `after_update`."""

    after_update: int
    envelope: Envelope


class ExpectedGrant(NamedTuple):
    """Units that a request is expected to add until it times out at `expires_at`."""

    units: int
    expires_at: int


class BudgetLeases:
    """The escrow of one budget, and this dispatcher's demand for the budget in units."""

    __slots__ = (
        "escrow",
        "demand_by_traffic",
        "demand",
        "insufficient",
        "updated_at",
        "expected",
        "granted_total",
        "leased_total",
    )

    def __init__(self, now: int, config: BudgetConfig) -> None:
        self.escrow = Escrow(
            now,
            UNITS_PER_DISPATCHER,
            RESERVED_UNITS,
            LEASE_TERM,
            config.rate_window,
            usable_at_once=config.usable_at_once,
        )
        self.demand_by_traffic = config.demand_by_traffic
        self.demand = 0.0
        self.insufficient = False
        self.updated_at = now
        self.expected: dict[int, ExpectedGrant] = {}  # by number of the request
        self.granted_total = 0
        self.leased_total = 0

    def update_demand(self, now: int, use: BudgetUse, usable_units: int, traffic_weight: float) -> None:
        """Computes the demand; traffic_weight: this dispatcher's traffic divided by the mean of all."""
        elapsed = now - self.updated_at
        self.updated_at = now
        self.insufficient = use.insufficient
        if self.demand_by_traffic:
            demand = traffic_weight * UNITS_PER_DISPATCHER * DEMAND_MARGIN + 1
        else:
            decayed = self.demand - self.demand * min(1.0, elapsed / DEMAND_DECAY)
            for_use = use.used * UNITS_PER_DISPATCHER * DEMAND_MARGIN + 1
            for_growth = usable_units * GROWTH_FACTOR if use.insufficient else 0
            demand = max(decayed, for_use, for_growth)
        self.demand = min(MAX_DEMAND_UNITS, demand)

    def quota(self, now: int, scale: float) -> Quota:
        """Returns the quota that is valid now, and the one from the earliest expiry of a held lease on."""
        usable = self.escrow.usable_units(now)
        own = self.escrow.own_usable_units(now)
        expiries = [lease.expires_at for lease in self.escrow.held.values() if lease.usable_from <= now]
        return Quota(usable * scale, min(expiries, default=None), own * scale)

    def missing_units(self, now: int, usable_units: int) -> int:
        """Returns the demanded units that are neither usable, leased from a later time on, nor requested."""
        self.expected = {
            number: expected
            for number, expected in self.expected.items()
            if now < expected.expires_at and number in self.escrow.requests
        }
        expected = sum(expected.units for expected in self.expected.values())
        not_yet_usable = sum(lease.units for lease in self.escrow.held.values() if lease.usable_from > now)
        return int(self.demand) - usable_units - (expected + not_yet_usable)

    def units_by_lessor(self) -> dict[Incarnation, int]:
        """Returns the units that each lessor has granted, or may grant for a pending request."""
        units: dict[Incarnation, int] = {}
        for number, request in self.escrow.requests.items():
            lease = self.escrow.held.get(number)
            leased = lease.units if lease is not None else UNITS_PER_DISPATCHER
            units[request.lessor] = units.get(request.lessor, 0) + leased
        return units


class LeaseBroker:
    """The leases of one dispatcher in all budgets, as a lessor and as a holder."""

    def __init__(self, now: int, budgets: Sequence[BudgetConfig], configured_count: int) -> None:
        """configured_count: number of dispatchers in the settings, among which each budget is divided."""
        self.budgets = [BudgetLeases(now, config) for config in budgets]
        self.configured_count = configured_count
        self.outbox: list[Envelope] = []
        self.deferred: list[DeferredMessage] = []
        self.update_number = 0
        self.acknowledged = 0
        self.announced: list[Quota] | None = None

    # Quotas for the decider

    def quotas(self, now: int, divisor: int) -> list[Quota]:
        """Returns the quota of each budget, from the leases that are known now.

        divisor: the number of dispatchers that may exist; if it exceeds the configured number, each quota is
        reduced.
        """
        scale = min(1.0, self.configured_count / max(1, divisor)) / UNITS_PER_DISPATCHER
        return [budget.quota(now, scale) for budget in self.budgets]

    def next_update(self, now: int, divisor: int) -> QuotaUpdate | None:
        """Returns the quotas if they differ from those that were announced last, else None."""
        quotas = self.quotas(now, divisor)
        if quotas == self.announced:
            # Grants and returned units cancelled out, so the decider already has these quotas.
            self.deferred = [
                message._replace(after_update=min(message.after_update, self.update_number))
                for message in self.deferred
            ]
            self.acknowledge(self.acknowledged)
            return None
        self.announced = quotas
        self.update_number += 1
        return QuotaUpdate(self.update_number, quotas)

    def acknowledge(self, number: int) -> None:
        """Moves the messages to the outbox that were deferred until the decider uses this update."""
        self.acknowledged = max(self.acknowledged, number)
        ready = [message for message in self.deferred if message.after_update <= self.acknowledged]
        self.deferred = [message for message in self.deferred if message.after_update > self.acknowledged]
        self.outbox.extend(message.envelope for message in ready)

    # As a holder

    def request_leases(
        self,
        now: int,
        uses: Sequence[BudgetUse],
        lessors: Sequence[Incarnation],
        traffic_weight: float = 1.0,
    ) -> None:
        """Releases, renews and requests leases according to the demand for each budget.

        uses: by budget; lessors: to request units from, in order of preference; traffic_weight: this
        dispatcher's traffic divided by the mean of all.
        """
        for index, (budget, use) in enumerate(zip(self.budgets, uses, strict=True)):
            usable_units = budget.escrow.usable_units(now)
            budget.update_demand(now, use, usable_units, traffic_weight)
            self._release_surplus(now, index, usable_units)
            self._renew_leases(now, index)
            missing_units = budget.missing_units(now, usable_units)
            if budget.insufficient:
                self._request_new_leases(now, index, missing_units, lessors)

    def _release_surplus(self, now: int, index: int, usable_units: int) -> None:
        budget = self.budgets[index]
        for number, lease in list(budget.escrow.held.items()):
            if lease.usable_from <= now and usable_units - lease.units >= budget.demand:
                usable_units -= lease.units
                budget.escrow.release(now, number)
                self._defer(self.update_number + 1, lease.lessor, LeaseRelease(index, number))

    def _renew_leases(self, now: int, index: int) -> None:
        escrow = self.budgets[index].escrow
        for number, lease in list(escrow.held.items()):
            if lease.expires_at - now < RENEWAL_THRESHOLD and escrow.renew(now, number):
                self._send(lease.lessor, LeaseRequest(index, number, lease.units, now))

    def _request_new_leases(
        self, now: int, index: int, missing_units: int, lessors: Sequence[Incarnation]
    ) -> None:
        budget = self.budgets[index]
        max_lease_units = UNITS_PER_DISPATCHER - RESERVED_UNITS  # from one lessor
        units_by_lessor = budget.units_by_lessor()
        candidates = [lessor for lessor in lessors if units_by_lessor.get(lessor, 0) < max_lease_units]
        for lessor in candidates[:MAX_PARALLEL_REQUESTS]:
            units = min(missing_units, max_lease_units - units_by_lessor.get(lessor, 0))
            number = budget.escrow.request(now, lessor) if units > 0 else None
            if number is None:
                break
            missing_units -= units
            budget.expected[number] = ExpectedGrant(units, now + REQUEST_TIMEOUT)
            self._send(lessor, LeaseRequest(index, number, units, now))

    def release_all(self, now: int) -> None:
        """Releases all held leases at shutdown; granted leases expire after their terms."""
        for index, budget in enumerate(self.budgets):
            for number, lease in list(budget.escrow.held.items()):
                budget.escrow.release(now, number)
                self._send(lease.lessor, LeaseRelease(index, number))

    # Messages

    def receive(self, now: int, sender: Incarnation, message: LeaseMessage) -> None:
        """Handles a message from another dispatcher; unknown budgets and leases are ignored."""
        if message.budget >= len(self.budgets):
            return
        match message:
            case LeaseRequest():
                self._receive_request(now, sender, message)
            case LeaseGrant():
                self._receive_grant(now, sender, message)
            case LeaseRelease():
                self.budgets[message.budget].escrow.accept_release(now, sender, message.number)

    def _receive_request(self, now: int, holder: Incarnation, request: LeaseRequest) -> None:
        budget = self.budgets[request.budget]
        escrow = budget.escrow
        needed_units = int(budget.demand)
        is_renewal = (holder, request.number) in escrow.granted
        if is_renewal and escrow.own_usable_units(now) < needed_units:
            return  # This dispatcher needs the units, so the lease is left to expire.
        units = escrow.grant(now, holder, request.number, request.units, needed_units)
        if not units:
            return
        after_update = self.update_number
        if not is_renewal:
            budget.granted_total += units
            after_update += 1  # The next update is the first one without these units.
        grant = LeaseGrant(request.budget, request.number, units, request.requested_at)
        self._defer(after_update, holder, grant)

    def _receive_grant(self, now: int, lessor: Incarnation, grant: LeaseGrant) -> None:
        budget = self.budgets[grant.budget]
        escrow = budget.escrow
        number = grant.number
        is_renewal = number in escrow.held
        if escrow.accept_grant(now, lessor, number, grant.units, grant.requested_at):
            if not is_renewal:
                budget.leased_total += grant.units
        elif not is_renewal and (number not in escrow.requests or escrow.requests[number].lessor == lessor):
            # The units are no longer needed. Their release saves the lessor from waiting for the term.
            escrow.release(now, number)
            self._send(lessor, LeaseRelease(grant.budget, number))
        budget.expected.pop(number, None)

    def _send(self, recipient: Incarnation, message: LeaseMessage) -> None:
        self.outbox.append(Envelope(recipient, message))

    def _defer(self, after_update: int, recipient: Incarnation, message: LeaseMessage) -> None:
        self.deferred.append(DeferredMessage(after_update, Envelope(recipient, message)))

    def take_outbox(self) -> list[Envelope]:
        """Returns the messages to send, and empties the outbox."""
        outbox = self.outbox
        self.outbox = []
        return outbox
