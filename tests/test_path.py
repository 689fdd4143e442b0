"""The design's path and the failures found so far, without the bench."""

import io
import json
from collections import Counter

import pytest
from bench_free import Gateways, group, site

from wickvane.events import Effect, Ending, EngineState, ShutdownStarted, TimerFired
from wickvane.wirehost.host import serve


def test_a_charge_is_corrected_by_true_cost_and_given_back_where_nothing_ran():
    g = Gateways(site([group()]))
    g.engines(3)
    q = g.take(cost=1000)
    charged = g.scheduler.fair_queue.deficits[0]
    g.end(q, work=1800)
    assert g.scheduler.fair_queue.deficits[0] == charged - 800
    q = g.take(cost=1000)
    charged = g.scheduler.fair_queue.deficits[0]
    g.end(q, ending=Ending.NO_CONNECTION)
    # Given back, and taken again by the further submission.
    assert q in g.out and g.scheduler.fair_queue.deficits[0] == charged


def test_latency_times_threads_stands_in_for_a_cost_that_is_not_told():
    g = Gateways(site([group(threads=2)]))
    g.engines(3)
    q = g.take(cost=1000)
    charged = g.scheduler.fair_queue.deficits[0]
    g.end(q, elapsed=900)
    assert g.scheduler.fair_queue.deficits[0] == charged - 800


def test_a_deficit_is_reset_when_a_query_reaches_an_empty_queue():
    g = Gateways(site([group()]))
    g.scheduler.fair_queue.deficits[0] = -5e6
    g.take()
    assert g.scheduler.fair_queue.deficits[0] == 0


def test_a_visit_that_finds_no_room_adds_no_quantum():
    g = Gateways(site([group()]))
    g.take()
    for _ in range(20):
        g.round(TimerFired(1), after=50)
    assert g.scheduler.fair_queue.deficits[0] == 0


def test_two_tenants_share_by_cost_however_many_queries_each_has():
    g = Gateways(site([group(timeout=10_000_000, latency_objective=9_000_000)], tenants=2))
    g.scheduler.estimates.overall_mean_cost = 1000.0
    for _ in range(60):
        g.take(tenant=0, cost=1000, left=9_000_000)
        g.take(tenant=1, cost=3000, left=9_000_000)
    g.engines(1, started=g.now)  # cold, so the bound binds
    for _ in range(60):
        if g.out:
            q = next(iter(g.out))
            g.end(q, work=1000 + 2000 * (q % 2), after=400)
    sent = [sum(1000 + 2000 * (q % 2) for q in g.sent if g.sent[q] and q % 2 == t) for t in (0, 1)]
    assert abs(sent[0] - sent[1]) <= 9000


def test_gateways_that_learn_of_engines_in_another_order_choose_alike():
    one, other = Gateways(site([group()])), Gateways(site([group()]))
    one.engines(5)
    names = [3, 1, 4, 0, 2]
    for e, name in enumerate(names):
        other.engine(e, name=name)
    homes = {table_group: one.scheduler.placement.order_of(table_group) for table_group in range(30)}
    assert homes == {
        table_group: [names[e] for e in other.scheduler.placement.order_of(table_group)]
        for table_group in range(30)
    }
    assert {order[0] for order in homes.values()} == set(range(5))


def test_the_bound_binds_under_pressure_only():
    g = Gateways(site([group()]))
    g.engines(1)
    for _ in range(30):
        g.take()
    assert len(g.out) == 30
    g.scheduler.engines.rejected_at[0] = g.now
    g.take()
    assert len(g.out) == 30


def test_a_waiting_line_is_not_sent_at_once_to_the_first_engine_at_ease():
    g = Gateways(site([group()]))
    g.engines(2)
    first = [g.take() for _ in range(40)]
    g.end(first[0], ending=Ending.REJECTED, elapsed=3)
    g.end(first[1], ending=Ending.REJECTED, elapsed=3)
    later = [g.take(left=200_000) for _ in range(200)]
    assert any(not g.sent[q] for q in later)
    g.round(after=15_000)
    assert len(g.out) < 100


def test_a_read_only_query_lost_on_one_engine_is_moved_and_a_mutating_one_is_not():
    g = Gateways(site([group(), group(effect=Effect.MUTATING)]))
    g.engines(3)
    lost, mutating = g.take(), g.take(resource_group=1)
    for _ in range(8):
        g.end(g.take())
    g.round(TimerFired(1), after=9_000)
    assert g.cancelled == [lost]
    g.end(lost, ending=Ending.CANCELLED)
    assert [e for _, e in g.sent[lost]] == [g.sent[lost][0][1], g.out[lost]]
    assert g.out[lost] != g.sent[lost][0][1]
    assert len(g.sent[mutating]) == 1


def ordered_queue_behind_a_hung_attempt(followers, engines=3):
    """A non-repeatable query whose attempt does not end, and others of its key behind it."""
    ordered = group(
        effect=Effect.MUTATING,
        ordered=True,
        timeout=200_000,
        latency_objective=30_000,
        late_priority_weight=0.4,
    )
    g = Gateways(site([ordered, group()], key_quarantine=3000))
    g.engines(engines)
    g.round(after=100)
    head = g.take(key="a", left=200_000)
    return g, head, [g.take(key="a", left=200_000) for _ in range(followers)]


def test_queries_behind_a_hung_one_of_their_key_are_refused_while_there_is_time_to_ask_elsewhere():
    """Else each waits up to its own limit for an outcome that is not known before the first one's."""
    g, head, waiting = ordered_queue_behind_a_hung_attempt(5)
    other_key = g.take(key="b", left=200_000)
    g.let_pass(g.now + 30_000)
    assert [g.final.get(q) for q in waiting] == ["deferred"] * 5
    assert head in g.out and head not in g.final
    assert other_key in g.out and other_key not in g.final
    late = g.take(key="a", left=200_000)
    g.let_pass(g.now + 1_000)
    assert g.final[late] == "deferred"  # the same is known of who comes then


def test_queries_behind_one_on_an_engine_that_stands_still_for_two_seconds_wait_on():
    g, head, waiting = ordered_queue_behind_a_hung_attempt(5)
    g.let_pass(g.now + 20_000)
    assert not g.final
    g.end(head, elapsed=20_000)
    assert waiting[0] in g.out


def test_queries_of_a_crowded_key_are_refused_on_arrival_once_their_turn_would_come_too_late():
    """All of them get their answer long before their clients give up, however long the queue would be."""
    g, head, waiting = ordered_queue_behind_a_hung_attempt(200)
    refused = [q for q in waiting if q in g.final]
    assert refused and all(g.answered[q] == g.sent[head][0][0] for q in refused)
    assert refused == waiting[-len(refused) :]  # who came first waits
    assert 130 <= len(waiting) - len(refused) <= 151  # of 0.1 s each, in 20 s
    other_key = g.take(key="b", left=200_000)
    assert other_key in g.out
    for _ in range(len(waiting) - len(refused) + 1):
        (q,) = set(g.out) - {other_key}
        g.end(q, after=1000)
    assert sum(final == "deferred" for final in g.final.values()) == len(refused)


def test_queries_whose_key_comes_free_soon_enough_wait_for_it():
    g, head, _ = ordered_queue_behind_a_hung_attempt(0)
    g.let_pass(g.now + 180_000)
    late = g.take(key="a", left=200_000)
    g.let_pass(g.now + 21_000)
    assert late not in g.final and late not in g.out
    assert g.final[head] == "killed"
    g.end(head, ending=Ending.CANCELLED)
    g.let_pass(g.now + 5_000)  # the key rests, then it is the next one's turn
    assert late in g.out


def test_queries_behind_a_slow_one_whose_engine_answers_others_wait_on():
    g, head, waiting = ordered_queue_behind_a_hung_attempt(2, engines=1)
    for _ in range(20):
        other = g.take(resource_group=1)
        g.end(other, after=500)
    assert g.now > g.sent[head][0][0] + 9_000 and head in g.out
    g.let_pass(g.now + 2_000)
    assert not any(q in g.final for q in waiting)


def test_a_query_that_falls_back_into_waiting_is_answered_in_its_time():
    g = Gateways(site([group(late_priority_weight=0.5)]))
    g.engines(1)
    q, end = g.take(cost=10, left=700), g.now + 700
    g.engine(0, state=EngineState.DRAINING)
    g.end(q, ending=Ending.NO_CONNECTION, after=100)
    g.let_pass(end + 5000)
    assert g.answered[q] <= end


@pytest.mark.parametrize("effect", [Effect.READ_ONLY, Effect.MUTATING])
@pytest.mark.parametrize("left", [500, 1_333, 20_050, 77_777])
def test_a_query_whose_attempt_never_ends_is_answered_before_its_client_gives_up(effect, left):
    """Also where nothing waits, and the module looks at what is out ten times a second."""
    g = Gateways(site([group(effect=effect, late_priority_weight=0.5, latency_objective=100_000)]))
    g.engines(1)
    g.round(after=37)
    q = g.take(cost=10, left=left)
    end = g.now + left
    assert q in g.out
    g.let_pass(end + 5000)
    assert q in g.final
    early = end - g.answered[q]
    assert left // 20 <= early if left < 4000 else 200 <= early <= 400  # 20 to 40 ms


def test_a_query_with_less_time_than_others_is_not_sent_away():
    g = Gateways(site([group()]))
    g.engines(2)
    g.take(left=70_000)
    q = g.take(left=20_000)
    assert q in g.out


def test_engines_that_take_no_connection_stay_aside_though_they_are_most():
    g = Gateways(site([group(timeout=400_000, latency_objective=300_000)]))
    g.engines(5)
    q = g.take(left=390_000)
    for table_group in range(60):
        q = q if q in g.out else g.take(table_group=table_group, left=390_000)
        g.end(q, ending=Ending.FINISHED if g.out[q] == 0 else Ending.NO_CONNECTION, after=20)
    before = g.now
    for table_group in range(10):
        q = g.take(table_group=table_group, left=390_000)
        assert g.out.get(q, 0) == 0
        if q in g.out:
            g.end(q)
    assert g.now == before


def test_an_ordered_group_runs_above_other_long_queries():
    g = Gateways(site([group(), group(priority_weight=6.0), group(ordered=True)]))
    g.engines(2)
    g.take(cost=100)
    g.take(resource_group=1, cost=40_000)
    g.take(resource_group=2, cost=40_000, key=7)
    assert [priority for _, priority, _ in g.log] == [3, 1, 2]


def test_bounds_below_one_query_are_pooled_over_all_engines():
    g = Gateways(site([group()], dispatcher_count=40))
    g.engines(10)
    g.scheduler.engines.rejected_at = [g.now] * 10
    for table_group in range(60):
        g.take(table_group=table_group)
    # Two threads a core of ten engines with eight, over forty gateways.
    assert len(g.out) == 4


def test_many_gateways_go_round_an_engine_whose_answers_were_slow_and_one_gateway_need_not():
    for dispatcher_count, stays in ((1, True), (40, False)):
        g = Gateways(site([group()], dispatcher_count=dispatcher_count))
        g.engines(5)
        slow = g.scheduler.placement.order_of(1)[0]
        g.scheduler.engines.load_factor[slow], g.scheduler.engines.load_factor_at[slow] = 1.4, g.now
        assert (g.out[g.take(table_group=1)] == slow) == stays


def of_many(seed, **changes):
    """A gateway of forty that sees little, before engines of which it holds less than a query each."""
    g = Gateways(site([group()], dispatcher_count=40, **changes), seed)
    g.engines(14)
    return g


def one_query(g, after=80_000, ending=Ending.FINISHED):
    g.now += after
    q = g.take(table_group=1)
    e = g.out[q]
    g.end(q, ending, elapsed=1)
    return e


def test_gateways_of_many_each_keep_to_an_engine_they_are_connected_to_and_spread_together():
    went = Counter()
    for seed in range(90):
        g = of_many(seed)
        chosen = {one_query(g) for _ in range(8)}
        assert len(chosen) == 1
        went[chosen.pop()] += 1
    assert set(went) == set(of_many(0).scheduler.placement.order_of(1)[:8]) and min(went.values()) >= 2


def test_a_connection_that_is_gone_holds_no_gateway_to_its_engine():
    for after, ending in ((80_000, Ending.RESET), (240_001, Ending.FINISHED)):
        moved = 0
        for seed in range(30):
            g = of_many(seed)
            moved += one_query(g, ending=ending) != one_query(g, after)
        assert moved > 10
    g = of_many(1)
    e = one_query(g)
    g.scheduler.engines.load_factor[e], g.scheduler.engines.load_factor_at[e] = 2.9, g.now
    assert one_query(g, after=1) != e  # a thread a core fuller than the others: worth a connection


def test_few_gateways_look_at_three_engines_whatever_they_are_connected_to():
    g = Gateways(site([group()], dispatcher_count=2))
    g.engines(8)
    took = [g.take(table_group=1) for _ in range(3)]
    assert {g.out[q] for q in took} == set(g.scheduler.placement.order_of(1)[:3])


def run_host(*lines):
    replies, errors = io.StringIO(), io.StringIO()
    return serve(lines, replies, errors), replies.getvalue(), errors.getvalue()


def test_the_adapter_names_what_it_cannot_read():
    code, _, said = run_host("no json")
    assert code and "line 1" in said and "Traceback" not in said
    code, reply, said = run_host(json.dumps({"now_ms": 1.0, "groups": []}), json.dumps({"now_ms": 2.0}))
    assert code and json.loads(reply) == {"groups": []} and "groups" in said


def test_a_stop_cuts_every_limit_and_each_query_is_answered_before_it():
    g = Gateways(
        site(
            [
                group(late_priority_weight=0.3),
                group(effect=Effect.MUTATING, timeout=200_000, late_priority_weight=0.5),
            ]
        )
    )
    g.engines(2)
    out = [g.take(cost=2000), g.take(resource_group=1, left=190_000)]
    g.round(ShutdownStarted(37_000))
    later = g.take(cost=100)
    hopeless = g.take(cost=80_000)
    assert g.final == {hopeless: "deferred"} and g.answered[hopeless] == g.now
    stopped = g.now
    g.end(later, elapsed=100, after=100)
    g.let_pass(stopped + 37_000)
    assert g.final == {hopeless: "deferred", out[0]: "deferred", out[1]: "killed"}
    assert g.answered[out[0]] < stopped + 37_000 - 1_000 and set(g.cancelled) == set(out)


def test_statements_that_name_ever_new_groups_fill_no_memory():
    g = Gateways(site([group()]))
    g.engines(2)
    for table_group in range(9000):
        g.end(g.take(table_group=table_group), work=1000)
    assert 0 < len(g.scheduler.placement.orders) <= 4096


def test_loads_of_one_table_group_go_to_engines_that_run_none_of_it_before_they_meet():
    g = Gateways(site([group(is_bulk_load=True, priority_weight=5.0)]))
    g.engines(6)
    loads = [g.take(table_group=3) for _ in range(6)]
    assert sorted(g.out[q] for q in loads) == list(range(6))
    where = g.out[loads[2]]
    g.end(loads[2])
    assert g.out[g.take(table_group=3)] == where
    assert g.out[g.take(table_group=3)] in g.scheduler.placement.order_of(3) and len(g.out) == 7


def test_what_is_no_load_keeps_to_the_first_engines_of_its_group():
    g = Gateways(site([group()]))
    g.engines(6)
    assert {g.out[g.take(table_group=3)] for _ in range(9)} == set(g.scheduler.placement.order_of(3)[:3])


def test_a_statement_that_no_engine_can_use_costs_no_engine_its_standing_and_little_of_the_budget():
    gates = Gateways(site([group()]))
    gates.engines(3)
    for _ in range(30):
        q = gates.take(table_group=1)
        for _ in range(2):
            gates.end(q, Ending.ERROR, elapsed=20)
        assert gates.final[q] == "deferred" and len(gates.sent[q]) == 2
        assert len({engine for _, engine in gates.sent[q]}) == 2
    assert not any(gates.scheduler.engines.ejected_until) and max(gates.scheduler.engines.failure_rate) < 0.01


def test_an_engine_that_answers_all_with_errors_is_set_aside_still():
    gates = Gateways(site([group()]))
    gates.engines(3)
    bad = None
    for _ in range(12):
        q = gates.take(table_group=1)
        bad = gates.out[q] if bad is None else bad
        while q not in gates.final and q in gates.out:
            at_fault = gates.out[q] == bad
            gates.end(
                q, Ending.ERROR if at_fault else Ending.FINISHED, elapsed=20 if at_fault else 1000, after=100
            )
            if not at_fault:
                break
    assert gates.scheduler.engines.ejected_until[bad] and max(len(sent) for sent in gates.sent.values()) == 2


def test_queries_taken_are_forgotten_after_the_budgets_window():
    gates = Gateways(site([group()], retry_budget_window=50_000))
    gates.engines(2)
    for _ in range(300):
        gates.end(gates.take(), after=1000)
    assert len(gates.scheduler.retries.budget.arrivals) < 100


def test_an_engine_that_turns_queries_away_is_sent_fewer_and_one_more_with_each_answer():
    gates = Gateways(site([group()]))
    gates.engines(2)

    def take_of(e):
        """How many queries the engine is given of many, and what then is out there."""
        out = [gates.take(table_group=1) for _ in range(60)]
        given = [q for q in out if gates.out.get(q) == e]
        return given, [q for q in out if q in gates.out and q not in given]

    first, other = take_of(0)
    assert len(first) >= 8
    for q in first[4:]:
        gates.end(q, Ending.REJECTED, elapsed=5)
    out = [q for q in gates.out if gates.out[q] == 0]
    assert 1 <= len(out) <= 5 and gates.scheduler.engines.concurrency_limit[0] <= 6
    before = gates.scheduler.engines.concurrency_limit[0]
    for q in out:
        gates.end(q)
    assert before < gates.scheduler.engines.concurrency_limit[0] <= before + len(out)


def test_what_was_seen_of_an_engine_lasts_until_all_were_heard_of_again():
    for apart, known in ((5_000, True), (500, False)):
        gates = Gateways(site([group()], dispatcher_count=100))
        gates.engines(20)
        load, now = gates.scheduler.load, gates.now
        for n in range(200):
            now += apart
            load.observe(n % 20, 1.0, None, False, now)
        now += 1
        load.observe(3, 20.0, None, False, now)
        now += 70_000  # past the six seconds after which it used to be forgotten
        assert (load.current(3, now) > 2 * load.usual_load_factor) == known


def test_what_is_overdue_counts_in_the_median_once_and_not_again_when_it_ends():
    gates = Gateways(site([group()], dispatcher_count=1))
    gates.engines(2)
    q = gates.take(cost=1000)
    before = gates.scheduler.load.median_latency
    gates.round(TimerFired(1), after=4000)
    once = gates.scheduler.load.median_latency
    assert once > before
    gates.round(TimerFired(1), after=400)
    assert gates.scheduler.load.median_latency == once
    gates.end(q, elapsed=4400)
    assert gates.scheduler.load.median_latency == once
    quick = gates.take(cost=1000)
    gates.end(quick, elapsed=1000, after=0)
    assert gates.scheduler.load.median_latency < once


def test_a_pool_binds_without_pressure_so_that_many_gateways_do_not_jam_an_engine_before_it_shows():
    gates = Gateways(site([group()], dispatcher_count=100))
    gates.engines(10)
    queries = [gates.take(table_group=n) for n in range(20)]
    # Two threads a core of ten engines of eight cores, over a hundred gateways: less than two queries.
    assert sum(q in gates.out for q in queries) == 2
