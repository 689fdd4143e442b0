"""Every query gets its final answer in time."""

import pytest
from bench_free import Gateways, group, site

from wickvane.events import Effect, ShutdownStarted


@pytest.mark.parametrize("effect", [Effect.READ_ONLY, Effect.MUTATING])
@pytest.mark.parametrize("left", [500, 1_333, 20_050, 77_777])
def test_a_query_whose_attempt_never_ends_is_answered_before_its_client_times_out(effect, left):
    """This includes a scheduler without waiting queries, which checks only ten times per second."""
    dispatcher = Gateways(site([group(effect=effect, late_priority_weight=0.5, latency_objective=100_000)]))
    dispatcher.engines(1)
    dispatcher.round(after=37)
    query = dispatcher.take(cost=10, left=left)
    end = dispatcher.now + left
    assert query in dispatcher.out
    dispatcher.let_pass(end + 5000)
    assert query in dispatcher.final
    margin = end - dispatcher.answered[query]
    assert left // 20 <= margin if left < 4000 else 200 <= margin <= 400  # 20 to 40 ms


def test_a_query_with_less_time_than_others_is_not_rejected():
    dispatcher = Gateways(site([group()]))
    dispatcher.engines(2)
    dispatcher.take(left=70_000)
    query = dispatcher.take(left=20_000)
    assert query in dispatcher.out


def test_a_shutdown_shortens_every_deadline_and_each_query_is_answered_before_it():
    dispatcher = Gateways(
        site(
            [
                group(late_priority_weight=0.3),
                group(effect=Effect.MUTATING, timeout=200_000, late_priority_weight=0.5),
            ]
        )
    )
    dispatcher.engines(2)
    sent = [dispatcher.take(cost=2000), dispatcher.take(resource_group=1, left=190_000)]
    dispatcher.round(ShutdownStarted(37_000))
    later = dispatcher.take(cost=100)
    too_long = dispatcher.take(cost=80_000)
    assert dispatcher.final == {too_long: "deferred"} and dispatcher.answered[too_long] == dispatcher.now
    stopped = dispatcher.now
    dispatcher.end(later, elapsed=100, after=100)
    dispatcher.let_pass(stopped + 37_000)
    assert dispatcher.final == {too_long: "deferred", sent[0]: "deferred", sent[1]: "killed"}
    assert dispatcher.answered[sent[0]] < stopped + 37_000 - 1_000 and set(dispatcher.cancelled) == set(sent)
