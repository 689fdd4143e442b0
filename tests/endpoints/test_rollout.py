"""Tests rollouts: drains, staged changes, weights in slow start, pauses and rollbacks."""

from endpoints.support import ListHarness, make_endpoint, make_endpoints
from wickvane.endpoints.findings import Severity
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND


def test_weight_zero_drains_and_a_newer_generation_readmits() -> None:
    harness = ListHarness().submit(make_endpoints(4), 1)
    harness.submit(make_endpoints(3) + [make_endpoint(3, weight=0.0)], 2)
    assert harness.published["e3"][0] == EngineState.DRAINING and harness.ready_names() == {"e0", "e1", "e2"}
    harness.advance_time(600 * TICKS_PER_SECOND)
    # The engine is still listed, so it drains until the document readmits it.
    assert harness.published["e3"][0] == EngineState.DRAINING
    restarted = harness.restart()
    assert restarted.published["e3"][0] == EngineState.DRAINING
    restarted.submit(make_endpoints(4), 1)
    assert restarted.published["e3"][0] == EngineState.DRAINING and restarted.logged_codes(
        "members-refused"
    ) == [("generation-back",)]
    restarted.submit(make_endpoints(4), 2)
    assert restarted.logged_codes("members-refused")[-1] == ("generation-same",)
    assert restarted.submit(make_endpoints(4), 3).ready_names() == {"e0", "e1", "e2", "e3"}


def test_a_removed_endpoint_drains_until_idle_or_timed_out() -> None:
    harness = ListHarness(drain_timeout=30 * TICKS_PER_SECOND).submit(make_endpoints(4))
    running = {"e3"}
    harness.submit(make_endpoints(3))
    assert harness.published["e3"][:2] == (EngineState.DRAINING, 0.0)
    harness.advance_time(5 * TICKS_PER_SECOND, is_busy=lambda name: name in running)
    assert "e3" in harness.published
    running.clear()
    harness.endpoint_list.tick(harness.now, lambda name: name in running)
    harness.carry_out_effects()
    assert "e3" not in harness.published
    harness.submit(make_endpoints(4)).submit(make_endpoints(3))
    harness.advance_time(31 * TICKS_PER_SECOND, is_busy=lambda name: True)
    assert "e3" not in harness.published
    # An engine that is listed again after its removal counts as started now.
    started = harness.now // 10
    harness.submit(make_endpoints(4))
    assert harness.published["e3"][0] == EngineState.READY and harness.published["e3"][3] == started


def test_a_staged_rollout_pauses_resumes_and_rolls_back_midway() -> None:
    harness = ListHarness(
        removed_fraction=0.25, removed_fraction_severity=Severity.STAGE, step_interval=TICKS_PER_SECOND
    ).submit(make_endpoints(20))
    harness.submit(make_endpoints(8))
    seen = [len(harness.ready_names())]
    while harness.endpoint_list.rollout.is_staged:
        harness.advance_time(TICKS_PER_SECOND)
        seen.append(len(harness.ready_names()))
    assert seen[:5] == [15, 12, 9, 8, 8][: len(seen[:5])] and seen[-1] == 8
    harness.submit(make_endpoints(20)).submit(make_endpoints(8))
    harness.advance_time(TICKS_PER_SECOND)
    midway = len(harness.ready_names())
    assert 8 < midway < 20 and harness.pause()
    harness.advance_time(20 * TICKS_PER_SECOND)
    assert len(harness.ready_names()) == midway
    restarted = harness.restart()
    restarted.advance_time(20 * TICKS_PER_SECOND)
    # A restart does not resume a paused rollout.
    assert len(restarted.ready_names()) == midway and restarted.endpoint_list.rollout.is_paused
    assert restarted.confirm(restarted.generation)
    restarted.advance_time(20 * TICKS_PER_SECOND)
    assert len(restarted.ready_names()) == 8
    restarted.submit(make_endpoints(20)).submit(make_endpoints(8))
    restarted.advance_time(TICKS_PER_SECOND)
    history = restarted.endpoint_list.generations.history
    full = next(number for number in history if len(history[number].snapshot.endpoints) == 20)
    assert len(restarted.ready_names()) < 20 and restarted.rollback(full)
    assert len(restarted.ready_names()) == 20 and restarted.endpoint_list.generations.rollback_of == full
    restarted.submit(make_endpoints(8))
    assert len(restarted.ready_names()) == 20  # the document still has the content that was rolled back
    assert restarted.restart().submit(make_endpoints(8)).ready_names() == restarted.ready_names()
    assert len(restarted.submit(make_endpoints(19)).ready_names()) == 19


def test_weights_rise_in_steps_or_at_once_by_policy() -> None:
    harness = ListHarness(
        weight_factor=2.0, weight_factor_severity=Severity.STAGE, step_interval=TICKS_PER_SECOND
    ).submit([make_endpoint(n, weight=0.1 if n == 1 else 1.0) for n in range(4)])
    harness.submit(make_endpoints(4))
    seen = []
    while harness.endpoint_list.rollout.is_staged:
        seen.append(harness.published["e1"][1])
        harness.advance_time(TICKS_PER_SECOND)
    assert seen == [0.2, 0.4, 0.8] and harness.published["e1"][1] == 1.0
    without_limit = (
        ListHarness(weight_factor_severity=Severity.NOTE)
        .submit([make_endpoint(n, weight=0.1) for n in range(4)])
        .submit(make_endpoints(4))
    )
    assert without_limit.published["e1"][1] == 1.0


def test_the_weight_of_an_endpoint_in_slow_start_rises_in_steps() -> None:
    harness = ListHarness(weight_factor_severity=Severity.NOTE, step_interval=TICKS_PER_SECOND).submit(
        make_endpoints(4)
    )
    harness.submit(make_endpoints(4) + [make_endpoint(4, weight=0.1)])
    harness.submit(make_endpoints(5))
    assert harness.published["e4"][1] == 0.2 and harness.published["e4"][3] > 0
    harness.advance_time(TICKS_PER_SECOND)
    assert harness.published["e4"][1] == 0.4
    harness.advance_time(20 * TICKS_PER_SECOND)
    assert harness.published["e4"][1] == 1.0


def test_the_first_list_has_no_slow_start_and_a_restart_keeps_start_times() -> None:
    harness = ListHarness().submit(make_endpoints(4))
    assert {started for *_, started in harness.published.values()} == {0}
    harness.submit(make_endpoints(5))
    started_ms = harness.published["e4"][3]
    assert started_ms == harness.now // 10
    assert harness.restart().published["e4"][3] == started_ms


def test_drains_outlast_a_clock_step_between_runs() -> None:
    harness = ListHarness(drain_timeout=30 * TICKS_PER_SECOND, removed_fraction_severity=Severity.NOTE)
    harness.submit(make_endpoints(5)).submit([*make_endpoints(3), make_endpoint(4, weight=0.0)])
    assert harness.published["e3"][0] == harness.published["e4"][0] == EngineState.DRAINING
    for step in (-3600 * TICKS_PER_SECOND, 3600 * TICKS_PER_SECOND):
        harness.now += step
        restarted = harness.restart()
        assert (
            restarted.published["e3"][0] == restarted.published["e4"][0] == EngineState.DRAINING
            and len(restarted.ready_names()) == 3
        )
        restarted.advance_time(29 * TICKS_PER_SECOND)
        assert restarted.published["e3"][0] == EngineState.DRAINING
        restarted.advance_time(2 * TICKS_PER_SECOND)
        assert "e3" not in restarted.published and restarted.published["e4"][0] == EngineState.DRAINING
