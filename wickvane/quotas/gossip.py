"""Disseminates counters, reports and lease messages in the datagrams of the cluster. Free of I/O.

At each PAGE_INTERVAL, a page of gauges and counters is sent to a few random members, with the latest gauges
first, so that an update reaches all members in a few steps in clusters of any size. At each REPORT_INTERVAL,
a page of engine reports and tenants' work is sent in the same way. Lease messages are sent only to their
recipients, and are not repeated.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from wickvane.cluster.member import Member
from wickvane.quotas import wire
from wickvane.quotas.counters import FleetCounters, FleetInFlight
from wickvane.quotas.engine_judgement import Judgement, judge_engines
from wickvane.quotas.engine_reports import EngineReports, FirstHandEvidence
from wickvane.quotas.gossip_register import RegisterUpdate
from wickvane.quotas.incarnation import Incarnation
from wickvane.quotas.lease_broker import BudgetConfig, LeaseBroker, QuotaUpdate
from wickvane.quotas.membership_view import MembershipView, incarnation_hash
from wickvane.quotas.snapshot import DispatcherSnapshot
from wickvane.quotas.status import gossip_status
from wickvane.quotas.usage import TenantUsage
from wickvane.units import TICKS_PER_SECOND

PAGE_INTERVAL = TICKS_PER_SECOND // 10
REPORT_INTERVAL = TICKS_PER_SECOND // 2
LEASE_INTERVAL = TICKS_PER_SECOND // 5
MEMBERSHIP_INTERVAL = TICKS_PER_SECOND
FANOUT = 3  # members to which a page is sent
SHUTDOWN_FANOUT = 8  # members to which the last page is sent
MAX_PAGE_OCTETS = 860  # in a datagram, in addition to those of the cluster
MAX_USAGE_OCTETS = 300  # of MAX_PAGE_OCTETS, for the tenants' work
MESSAGE_OVERHEAD = 16  # octets of framing of a message with reports and work
MAX_GAUGES_AGE = 2 * TICKS_PER_SECOND
MAX_LESSOR_CANDIDATES = 8  # random members; leases are requested from the least loaded ones


class GossipListener(Protocol):
    """Receives the data that other dispatchers published, for the decider."""

    def update_in_flight(self, in_flight: FleetInFlight) -> None:
        """Called after each page with the threads in flight of the other dispatchers."""

    def update_quotas(self, update: QuotaUpdate) -> None:
        """Called with quotas that have changed."""

    def charge_tenants(self, work_by_tenant: dict[str, int]) -> None:
        """Called with new work of the other dispatchers by tenant, in milliseconds."""

    def update_judgement(self, judgement: Judgement) -> None:
        """Called at each REPORT_INTERVAL with the verdicts on engines."""


def incarnations_by_hash(incarnations: Iterable[Incarnation]) -> dict[int, Incarnation]:
    """Returns incarnations by the hash that identifies them in messages.

    Incarnations with the same hash are all omitted.
    """
    by_hash: dict[int, Incarnation] = {}
    ambiguous = set()
    for incarnation in incarnations:
        hash_value = incarnation_hash(incarnation)
        if by_hash.setdefault(hash_value, incarnation) != incarnation:
            ambiguous.add(hash_value)
    for hash_value in ambiguous:
        del by_hash[hash_value]
    return by_hash


class QuotaGossip:
    """All state that one dispatcher shares with others, and its dissemination."""

    def __init__(
        self,
        now: int,
        view: MembershipView,
        take_snapshot: Callable[[], DispatcherSnapshot | None],
        listener: GossipListener,
        page_interval: int = PAGE_INTERVAL,
        budgets: Sequence[BudgetConfig] = (),
    ) -> None:
        """budgets: empty if no budget is leased; then there is no broker."""
        self.view = view
        self.take_snapshot = take_snapshot
        self.listener = listener
        self.page_interval = page_interval
        self.counters = FleetCounters(now, view.own_incarnation, view.max_members)
        self.broker = LeaseBroker(now, budgets, view.configured_count) if budgets else None
        self.evidence = FirstHandEvidence()
        self.engine_reports = EngineReports(view.max_members)
        self.tenant_usage = TenantUsage(view.max_members)
        self.judgement = Judgement({}, None, [])
        self.by_hash: dict[int, Incarnation] = {}
        self.malformed = 0
        self.next_at = now + view.random_delay(page_interval)
        self.next_membership_at = now
        self.next_leases_at = now
        self.next_reports_at = now + view.random_delay(REPORT_INTERVAL)
        if self.broker:
            self._announce_quotas(now)

    # Receiving

    def receive(self, now: int, sender: Incarnation, payload: bytes) -> None:
        """Handles a member's message; entries of unknown incarnations are ignored."""
        message = wire.decode(payload)
        if message is None:
            self.malformed += 1
            return
        self._merge_counters(now, message)
        self._merge_reports(message)
        if self.broker:
            for entry in message.leases:
                self.broker.receive(now, sender, wire.lease_message(entry))

    def _merge_counters(self, now: int, message: wire.GossipMessage) -> None:
        for writer_hash, timestamp, gauges in message.gauges:
            incarnation = self.by_hash.get(writer_hash)
            if incarnation is not None:
                self.counters.merge_gauges(now, incarnation, timestamp, gauges)
        for writer_hash, key, value in message.counters:
            incarnation = self.by_hash.get(writer_hash)
            if incarnation is not None:
                self.counters.merge_counter(now, incarnation, key, value)

    def _merge_reports(self, message: wire.GossipMessage) -> None:
        for writer_hash, timestamp, reports in message.engine_reports:
            incarnation = self._other_incarnation(writer_hash)
            if incarnation is not None:
                self.engine_reports.store(incarnation, timestamp, reports)
        for writer_hash, timestamp, usage in message.tenant_usage:
            incarnation = self._other_incarnation(writer_hash)
            if incarnation is not None:
                self.tenant_usage.merge(incarnation, timestamp, usage)

    def _other_incarnation(self, writer_hash: int) -> Incarnation | None:
        incarnation = self.by_hash.get(writer_hash)
        return incarnation if incarnation != self.counters.incarnation else None

    # Periodic steps

    def run(self, now: int) -> None:
        """Runs the steps that are due; called in each round of the cluster's node."""
        if self.broker and self.broker.outbox:
            self._send_lease_messages()
        if now < self.next_at:
            return
        self.next_at = now + self.page_interval
        self.counters.set_incarnation(self.view.own_incarnation)
        snapshot = self.take_snapshot()
        if snapshot is not None:
            self._record(now, snapshot)
        if now >= self.next_membership_at:
            self.next_membership_at = now + MEMBERSHIP_INTERVAL
            self._refresh_membership(now)
        self._send_pages(FANOUT)
        self.listener.update_in_flight(self.in_flight(now))
        if snapshot is None:
            return
        if self.broker:
            self._exchange_leases(now, snapshot)
        if now >= self.next_reports_at:
            self.next_reports_at = now + REPORT_INTERVAL
            self._exchange_reports(now, snapshot)

    def shutdown(self, now: int, writer: Any) -> None:
        """Publishes the latest counters to SHUTDOWN_FANOUT members, and releases all leases."""
        self.next_at = now
        with self.view.final_round(now, writer):
            if self.broker:
                self.broker.release_all(now)
                self._send_lease_messages()
            self._send_pages(SHUTDOWN_FANOUT)

    def _record(self, now: int, snapshot: DispatcherSnapshot) -> None:
        for key, amount in snapshot.increments:
            self.counters.increment(key, amount)
        self.counters.set_gauges(now, snapshot.threads_by_engine)
        for outcome in snapshot.outcomes:
            self.evidence.record(now, *outcome)

    def _refresh_membership(self, now: int) -> None:
        present = self.view.present_incarnations()
        self.counters.update_membership(now, present)
        self.engine_reports.retain(present)
        self.tenant_usage.retain(present)
        self.by_hash = incarnations_by_hash({*self.view.known_incarnations(), *self.counters.by_incarnation})

    def _send_pages(self, fanout: int) -> None:
        for member in self.view.random_members(fanout):
            gauges, counters = self.counters.next_page(MAX_PAGE_OCTETS)
            page = wire.GossipMessage(
                gauges=[
                    (incarnation_hash(incarnation), timestamp, rows)
                    for incarnation, timestamp, rows in gauges
                ],
                counters=[
                    (incarnation_hash(incarnation), key, value) for incarnation, key, value in counters
                ],
            )
            self.view.send(member, wire.encode(page))

    # Leases

    def _exchange_leases(self, now: int, snapshot: DispatcherSnapshot) -> None:
        if now >= self.next_leases_at:
            self.next_leases_at = now + LEASE_INTERVAL
            self.broker.request_leases(
                now,
                snapshot.budget_uses,
                self._lessors_by_load(),
                self.tenant_usage.traffic_weight(),
            )
        self.broker.acknowledge(snapshot.acknowledged_update)
        self._announce_quotas(now)
        self._send_lease_messages()

    def _lessors_by_load(self) -> list[Incarnation]:
        """Returns random members to request leases from, in ascending order of threads in flight."""
        counts = self.counters.by_incarnation

        def threads_in_flight(incarnation: Incarnation) -> int:
            return sum(counts[incarnation].gauges.values()) if incarnation in counts else 0

        return sorted(self.view.random_alive(MAX_LESSOR_CANDIDATES), key=threads_in_flight)

    def _announce_quotas(self, now: int) -> None:
        update = self.broker.next_update(now, self.view.divisor())
        if update is not None:
            self.listener.update_quotas(update)

    def _send_lease_messages(self) -> None:
        by_recipient: defaultdict[Incarnation, list[wire.LeaseEntry]] = defaultdict(list)
        for recipient, message in self.broker.take_outbox():
            by_recipient[recipient].append(wire.lease_entry(message))
        for recipient, entries in by_recipient.items():
            for first in range(0, len(entries), wire.MAX_LEASE_MESSAGES):
                page = wire.GossipMessage(leases=entries[first : first + wire.MAX_LEASE_MESSAGES])
                self.view.send_to(recipient, wire.encode(page))

    # Engine reports and tenants' work

    def _exchange_reports(self, now: int, snapshot: DispatcherSnapshot) -> None:
        own = self.view.own_incarnation
        self.engine_reports.store(own, now, self.evidence.reports(now))
        self.tenant_usage.publish(own, now, snapshot.work_by_tenant, snapshot.requested_work)
        for member in self.view.random_members(FANOUT):
            self._send_reports(member)
        new_work = self.tenant_usage.take_new_work(snapshot.requested_work)
        if new_work:
            self.listener.charge_tenants(new_work)
        self._judge(now, own, snapshot.ready_engines)

    def _send_reports(self, member: Member) -> None:
        usage, free_octets = self.tenant_usage.next_page(MAX_USAGE_OCTETS)
        reports, _ = self.engine_reports.next_page(
            MAX_PAGE_OCTETS - MESSAGE_OVERHEAD - MAX_USAGE_OCTETS + free_octets
        )
        if usage or reports:
            page = wire.GossipMessage(
                engine_reports=_with_hashes(reports),
                tenant_usage=_with_hashes(usage),
            )
            self.view.send(member, wire.encode(page))

    def _judge(self, now: int, own: Incarnation, ready_engines: Sequence[str]) -> None:
        def age_of(incarnation: Incarnation, timestamp: int) -> int | None:
            if incarnation == own:
                return now - timestamp
            return self.counters.age_of_timestamp(now, incarnation, timestamp)

        received = self.engine_reports.by_dispatcher(age_of)
        self.judgement = judge_engines(received, frozenset(ready_engines))
        self.listener.update_judgement(self.judgement)

    def in_flight(self, now: int) -> FleetInFlight:
        """Returns the threads in flight of all other dispatchers whose gauges are recent."""
        return self.counters.in_flight(now, MAX_GAUGES_AGE)

    def status(self) -> dict[str, Any]:
        """Returns figures for operators."""
        return gossip_status(self, self.view.now)


def _with_hashes(updates: list[RegisterUpdate]) -> list[tuple[int, int, list]]:
    return [(incarnation_hash(incarnation), timestamp, rows) for incarnation, timestamp, rows in updates]
