"""The extension `shares`: its node in the extensions' document, and what it adds to a dispatcher."""

from typing import Any, NamedTuple

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net import shape
from wickvane.quotas.lease_broker import BudgetConfig

# An attempt that was decided longer ago is not sent: the quota that it counted on may be another's by now.
DECISION_FENCE = 5_000
# Threads in use may stay so for a while after their units were leased out.
THREADS_RATE_WINDOW = 10_000
# The node's settings, and what they turn off.
USES_BY_SETTING = {
    "heeds-others": "others",
    "heeds-charges": "charges",
    "heeds-opinions": "opinions",
}


class QuotaSettings(NamedTuple):
    """The node's settings.

    page_interval: between two pages of counters, in ticks; uses: what decisions go by, of "others", "charges"
    and "opinions"; leases_budgets: whether units of budgets are leased.
    """

    page_interval: int
    uses: frozenset[str]
    leases_budgets: bool


def read(node: parts.Node) -> QuotaSettings:
    """The settings of a node; parts.InvalidDocumentError where a value cannot be used."""
    uses = frozenset(use for setting, use in USES_BY_SETTING.items() if node.value(setting, parts.flag, True))
    return QuotaSettings(
        node.value("every", parts.duration("20ms", "10s"), 1_000),
        uses,
        node.value("lends", parts.flag, True),
    )


def budget_configs(deployment: Any) -> tuple[BudgetConfig, BudgetConfig]:
    """How the concurrency limits, and what engines get while they warm up, are leased."""
    return (
        BudgetConfig(THREADS_RATE_WINDOW, usable_at_once=True, demand_by_traffic=False),
        BudgetConfig(
            deployment.collapse_window + DECISION_FENCE, usable_at_once=False, demand_by_traffic=True
        ),
    )


class At(shape.Part):
    """The quotas in one dispatcher; the extension `peers` carries their messages."""

    name = "shares"
    threads = 0

    def join(self, service: Any, found: dict) -> None:
        """Gives the decider an observer, and the cluster's node what it carries.

        ConfigError: the document has no node peers.
        """
        cluster = next((part.cluster for part in service.parts if part.name == "peers"), None)
        if cluster is None:
            raise ConfigError("the parts document: shares: expected a node peers beside it", 2)
        from wickvane.cluster.clock import now
        from wickvane.quotas.decider_notifier import DeciderNotifier
        from wickvane.quotas.decision_observer import DecisionObserver
        from wickvane.quotas.gossip import QuotaGossip
        from wickvane.quotas.membership_view import MembershipView

        clock = service.clock
        decider = service.decider
        decider.observer = DecisionObserver(decider.scheduler, service.registry, clock.now() - now())
        buffer = decider.observer.buffer
        budgets = ()
        if self.terms.leases_budgets:
            budgets = budget_configs(service.registry.deployment)
            service.links.stale = DECISION_FENCE
        view = MembershipView(cluster.node)
        self.cluster = cluster
        self.gossip = QuotaGossip(
            now(),
            view,
            lambda: buffer.take(clock.now()),
            DeciderNotifier(service.exchange.inbox, clock, buffer, self.terms.uses, cluster.events.record),
            self.terms.page_interval,
            budgets,
        )
        view.attach(self.gossip)

    def stop(self) -> None:
        """Publishes what was counted, and releases all leases."""
        from wickvane.cluster.clock import now

        with self.cluster.lock:
            self.gossip.shutdown(now(), self.cluster.transport)

    def status(self) -> dict[str, Any]:
        """Figures for the line of counters."""
        with self.cluster.lock:
            return self.gossip.status()
