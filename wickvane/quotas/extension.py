"""The extension `shares`: reads its node in the extensions document, and adds quotas to a dispatcher."""

from typing import Any, NamedTuple

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net import shape
from wickvane.quotas.lease_broker import BudgetConfig

# In ticks. An attempt that was decided longer ago is not sent, since its units may be leased out by now.
MAX_DECISION_AGE = 5_000
# In ticks. Threads may stay in use for a while after their units were leased out.
THREADS_RATE_WINDOW = 10_000
# The node's settings, and the reports whose use they turn off.
USES_BY_SETTING = {
    "heeds-others": "others",
    "heeds-charges": "charges",
    "heeds-opinions": "opinions",
}


class QuotaSettings(NamedTuple):
    """The node's settings.

    page_interval: between two pages of counters, in ticks; uses: the reports that decisions use, a subset of
    "others", "charges" and "opinions"; leases_budgets: whether units of budgets are leased.
    """

    page_interval: int
    uses: frozenset[str]
    leases_budgets: bool


def read(node: parts.Node) -> QuotaSettings:
    """Returns the settings of a node; raises parts.InvalidDocumentError if a value is invalid."""
    uses = frozenset(use for setting, use in USES_BY_SETTING.items() if node.value(setting, parts.flag, True))
    return QuotaSettings(
        node.value("every", parts.duration("20ms", "10s"), 1_000),
        uses,
        node.value("lends", parts.flag, True),
    )


def budget_configs(deployment: Any) -> tuple[BudgetConfig, BudgetConfig]:
    """Returns how the budgets for concurrency and for engines in slow start are leased."""
    return (
        BudgetConfig(THREADS_RATE_WINDOW, usable_at_once=True, demand_by_traffic=False),
        BudgetConfig(
            deployment.collapse_window + MAX_DECISION_AGE, usable_at_once=False, demand_by_traffic=True
        ),
    )


class At(shape.Part):
    """Runs the quotas in one dispatcher; the extension `peers` carries their messages."""

    name = "shares"
    threads = 0

    def join(self, service: Any, found: dict) -> None:
        """Attaches an observer to the decider, and the gossip of quotas to the cluster's node.

        Raises ConfigError if the document has no node `peers`.
        """
        cluster = next((part.cluster for part in service.parts if part.name == "peers"), None)
        if cluster is None:
            raise ConfigError("the extensions document: shares: expected a node peers as well", 2)
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
            service.links.stale = MAX_DECISION_AGE
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
        """Publishes the latest counters, and releases all leases."""
        from wickvane.cluster.clock import now

        with self.cluster.lock:
            self.gossip.shutdown(now(), self.cluster.transport)

    def status(self) -> dict[str, Any]:
        """Returns figures for operators."""
        with self.cluster.lock:
            return self.gossip.status()
