"""The commands written on generated days are exactly the recorded ones.

An intended change of a decision changes digests. They are then recorded again, and the commit message says
why.
"""

import pytest

from scheduling.generated_days import Day
from scheduling.generated_settings import Settings
from wickvane.events import Effect, KeyScope
from wickvane.quotas.fleet_decisions import join
from wickvane.scheduling.scheduler import Scheduler

LOOKUP = dict()
REPORT = dict(threads=2, latency_objective=30_000, late_priority_weight=0.3, priority_weight=6.0)
CHANGE = dict(effect=Effect.MUTATING, late_priority_weight=0.5, timeout=200_000)
LOAD = dict(
    effect=Effect.IDEMPOTENCY_KEY,
    idempotency_window=40_000,
    threads=2,
    priority_weight=5.0,
    late_priority_weight=0.5,
    ordered=True,
    is_bulk_load=True,
)
BY_ZONE = dict(effect=Effect.IDEMPOTENCY_KEY, key_scope=KeyScope.SAME_ZONE, idempotency_window=60_000)
BY_CELL = dict(effect=Effect.IDEMPOTENCY_KEY, key_scope=KeyScope.SAME_CELL, late_priority_weight=0.2)
ORDERED_CHANGE = dict(
    effect=Effect.MUTATING, ordered=True, late_priority_weight=0.4, latency_objective=30_000
)
NEAR = dict(zones=frozenset([0]), priority_weight=2.0)
BIG = dict(kinds=frozenset([0]), threads=4)

BUDGET = dict(retry_budget_window=50_000)
MIXED = [LOOKUP, REPORT, CHANGE, LOAD, BY_ZONE, BY_CELL, ORDERED_CHANGE, NEAR, BIG]

DAYS = {
    "one dispatcher": Settings(1, groups=MIXED),
    "one dispatcher, calm": Settings(2, groups=[LOOKUP, REPORT], fault_rate=0.002),
    "overload with Retry-After": Settings(
        3, groups=[LOOKUP, REPORT, CHANGE], deployment=dict(max_retry_after=40_000), queries_per_round=4.0
    ),
    "retry budget": Settings(4, groups=MIXED, deployment=BUDGET, fault_rate=0.06),
    "no cancels": Settings(5, groups=MIXED, deployment=BUDGET | dict(can_cancel=False), fault_rate=0.04),
    "ordered keys": Settings(6, groups=[LOAD, ORDERED_CHANGE], fault_rate=0.04, queries_per_round=0.4),
    "bulk loads": Settings(7, groups=[LOAD, dict(is_bulk_load=True)], queries_per_round=1.0, engine_count=5),
    "memory grants, no priorities": Settings(
        8, groups=MIXED, deployment=dict(memory_grants=True, priorities=False)
    ),
    "grants and priorities": Settings(
        9, groups=MIXED, deployment=dict(memory_grants=True, max_retry_after=20_000)
    ),
    "neither grants nor priorities": Settings(10, groups=MIXED, deployment=dict(priorities=False)),
    "three dispatchers across zones": Settings(
        11, groups=MIXED, deployment=BUDGET | dict(dispatcher_count=3, cross_zone_cost=1.0)
    ),
    "forty dispatchers": Settings(
        12, groups=MIXED, deployment=BUDGET | dict(dispatcher_count=40), engine_count=14
    ),
    "forty dispatchers, restarts": Settings(
        13,
        groups=[LOOKUP, NEAR],
        deployment=dict(dispatcher_count=40, collapse_window=10_000),
        engine_count=10,
        fault_rate=0.1,
    ),
    "engine weights and endpoint subscription": Settings(
        14,
        groups=MIXED,
        deployment=dict(uses_engine_weights=True, subscribes_to_endpoints=True),
        fault_rate=0.08,
    ),
    "few attempts, many faults": Settings(15, groups=MIXED, deployment=dict(max_attempts=2), fault_rate=0.2),
    "shutdown": Settings(16, rounds=1200, groups=MIXED, deployment=BUDGET, shuts_down=True),
    "silent engines and long queues of one key": Settings(
        20,
        groups=[ORDERED_CHANGE, ORDERED_CHANGE | dict(latency_objective=100_000)],
        engine_count=3,
        fault_kinds=(0,),
        fault_rate=0.03,
        costs=(1000, 4000),
        times_left=(70_000, 200_000),
        queries_per_round=0.3,
    ),
    "silent engines only": Settings(
        21,
        groups=[LOOKUP | dict(effect=Effect.MUTATING, late_priority_weight=0.5, timeout=400_000)],
        engine_count=4,
        fault_kinds=(0,),
        fault_rate=0.2,
        costs=(200, 1000),
        times_left=(200_000,),
    ),
    "unbounded table groups": Settings(
        22,
        rounds=3000,
        groups=[LOOKUP],
        table_groups=1 << 30,
        queries_per_round=2.5,
        costs=(200,),
        fault_kinds=(1, 8),
    ),
    "late queries of a group without late priority weight": Settings(
        23,
        groups=[LOOKUP | dict(latency_objective=2_000, objective_stretch=0.1), REPORT],
        deployment=dict(can_cancel=False),
        fault_kinds=(1, 2, 7, 8),
        fault_rate=0.08,
        costs=(200, 1000, 4000),
    ),
    "a fleet": Settings(
        17, groups=MIXED, deployment=BUDGET | dict(dispatcher_count=4), in_fleet=True, queries_per_round=0.5
    ),
    "a fleet of thirty with restarts": Settings(
        18,
        groups=[LOOKUP, REPORT, LOAD],
        deployment=BUDGET | dict(dispatcher_count=30, max_retry_after=30_000),
        engine_count=8,
        in_fleet=True,
        fault_rate=0.08,
        queries_per_round=0.4,
    ),
    "a fleet without faults": Settings(
        19, groups=[LOOKUP, REPORT], deployment=dict(dispatcher_count=2), in_fleet=True, fault_rate=0.0
    ),
}
DIGESTS = {
    "one dispatcher": "a42352eafef6397b881d64583c1c2779",
    "one dispatcher, calm": "3a2717a1620556edd9e81659626bd9de",
    "overload with Retry-After": "27ea5f80e1e166622ff3f3ba44cba7b8",
    "retry budget": "8079ccb9b91d20f7e5f51980e2e6fa0a",
    "no cancels": "4fad3941d6f1a5d8f56ca88f857f3728",
    "ordered keys": "a217695c3b098eaae993f640d8fe92b1",
    "bulk loads": "f4d87563a7f1a2e35dab5cc4b74ab5e3",
    "memory grants, no priorities": "9ab51f8861917ae552ac086832f0c1fd",
    "grants and priorities": "a33d8dddf860134e7beb49c0fd4013e0",
    "neither grants nor priorities": "41b82a6dbce2a38d348d929805f65be0",
    "three dispatchers across zones": "c015e9f1228f2cc9150a317d9f0ff3af",
    "forty dispatchers": "3d1c7f201d15efe68cecd8df0152e1d6",
    "forty dispatchers, restarts": "63aabf327f03e4c5c17fa5f00a21a47d",
    "engine weights and endpoint subscription": "efc96958a721d46b1e7122bdff9f035e",
    "few attempts, many faults": "2ecec71f36d435e299b9fd69f2029f91",
    "shutdown": "6db438d2fc21dbc0ff0a6642ac5f2690",
    "silent engines and long queues of one key": "f90adb9b87feebe3f425a54a33ff659b",
    "silent engines only": "ad63de1755c00c9717841e5ba6bb7128",
    "unbounded table groups": "4345475c042c9fea7b1d2330300c73d3",
    "late queries of a group without late priority weight": "90683fb15e19fe170c6cd9cc0198fad9",
    "a fleet": "1d0787392be9f0517e53a1e4fc710ef1",
    "a fleet of thirty with restarts": "df7d2f567e7ecb68303d06356432bd94",
    "a fleet without faults": "2bcdea8df79d2ee91182dbf55a14119b",
}


@pytest.mark.parametrize("name", DAYS)
def test_the_commands_of_a_generated_day_equal_the_recorded_ones(name):
    assert Day(DAYS[name], Scheduler, join).play().value() == DIGESTS[name]
