"""The figures in the status file for operators, under their documented names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wickvane.quotas.lease_broker import RESERVED_UNITS, UNITS_PER_DISPATCHER, BudgetLeases
from wickvane.units import TICKS_PER_MILLISECOND

if TYPE_CHECKING:
    from wickvane.quotas.gossip import QuotaGossip

BUDGET_NAMES = ("bounds", "cold")


def _milliseconds(ticks: int) -> int:
    return ticks // TICKS_PER_MILLISECOND


def gossip_status(gossip: QuotaGossip, now: int) -> dict[str, Any]:
    """Returns all figures of one dispatcher; ages and terms are in milliseconds, budgets in units."""
    counters = gossip.counters
    in_flight = gossip.in_flight(now)
    budgets = gossip.broker.budgets if gossip.broker else []
    return {
        "lives": len(counters.by_incarnation),
        "counted": in_flight.included,
        "left_out": in_flight.excluded,
        "age_ms": _milliseconds(in_flight.mean_age),
        "oldest_ms": _milliseconds(in_flight.oldest_age),
        "held_by_others": dict(sorted(in_flight.threads_by_engine.items())),
        "folded_lives": len(counters.folded_epochs),
        "refused": dict(counters.rejected),
        "malformed": gossip.malformed,
        "traffic": round(gossip.tenant_usage.traffic_weight(), 2),
        "budgets": {
            name: _budget_status(budget, now) for name, budget in zip(BUDGET_NAMES, budgets, strict=False)
        },
        "opinions": _judgement_status(gossip),
        "totals": dict(sorted(counters.totals().items())),
    }


def _judgement_status(gossip: QuotaGossip) -> dict[str, Any]:
    verdicts, pool_slowdown, exempted = gossip.judgement
    return {
        "of": len(gossip.engine_reports.entries),
        "pool_slow": pool_slowdown and round(pool_slowdown, 2),
        "doubted": sorted(engine for engine, verdict in verdicts.items() if verdict.faulty),
        "spared": sorted(exempted),
        "slow": {
            engine: round(verdict.slowdown, 2)
            for engine, verdict in sorted(verdicts.items())
            if verdict.slowdown
        },
    }


def _budget_status(budget: BudgetLeases, now: int) -> dict[str, Any]:
    escrow = budget.escrow
    return {
        "own": UNITS_PER_DISPATCHER,
        "kept": RESERVED_UNITS,
        "usable": escrow.usable_units(now),
        "mine": escrow.own_usable_units(now),
        "need": round(budget.demand, 1),
        "lacks": budget.insufficient,
        "whole_in_ms": _milliseconds(max(0, escrow.recovered_at - now)),
        "lent": [
            {
                "to": holder[0],
                "units": lease.units,
                "ends_in_ms": _milliseconds(lease.expires_at - now),
            }
            for (holder, _), lease in sorted(escrow.granted.items())
        ],
        "held": [
            {
                "of": lease.lessor[0],
                "units": lease.units,
                "begins_in_ms": _milliseconds(max(0, lease.usable_from - now)),
                "ends_in_ms": _milliseconds(lease.expires_at - now),
            }
            for _, lease in sorted(escrow.held.items())
        ],
        "lent_ever": budget.granted_total,
        "borrowed_ever": budget.leased_total,
    }
