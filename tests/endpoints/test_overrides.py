"""Tests documents that override the coordinator's list."""

from endpoints.support import ListHarness
from wickvane.endpoints.snapshot import Endpoint
from wickvane.events import EngineState


def test_overrides_set_weights_and_drain_and_draining_takes_precedence() -> None:
    harness = ListHarness(overrides_coordinator=True)

    def stream(number: int, *rows: tuple[int, EngineState], is_full: bool = False) -> None:
        harness.endpoint_list.apply_stream_event(
            harness.now,
            number,
            is_full,
            [(f"e{n}", ("10.0.0.1", n), state, "a", "old", 0, 0, 1.0) for n, state in rows],
        )
        harness.carry_out_effects()

    def override(n: int, **stated: object) -> Endpoint:
        return Endpoint(
            f"e{n}",
            None,
            **stated,
            stated_fields=frozenset(field for field in stated if field != "state"),
        )

    stream(1, *((n, EngineState.READY) for n in range(6)), is_full=True)
    harness.submit(
        [
            override(1, weight=0.25),
            override(2, weight=0.0, state=EngineState.DRAINING),
            override(9, weight=0.5),
        ]
    )
    assert (
        harness.published["e1"][:2] == (EngineState.READY, 0.25)
        and harness.published["e2"][0] == EngineState.DRAINING
    )
    assert ("not-listed",) in harness.logged_codes("members-taken")
    record_count = len(harness.journal)
    stream(2, (1, EngineState.DRAINING))
    assert len(harness.journal) == record_count  # the coordinator sends the event again after a restart
    assert harness.published["e1"][0] == EngineState.DRAINING
    harness.submit([override(1, weight=1.0)])
    assert (
        harness.published["e1"][0] == EngineState.DRAINING and harness.published["e2"][0] == EngineState.READY
    )  # the document no longer drains e2
    stream(3, (9, EngineState.READY), (1, EngineState.GONE))
    assert "e1" not in harness.published and harness.published["e9"][1] == 1.0
    restarted = harness.restart()
    assert restarted.published == {}  # the stream lists the engines after a restart
    restarted.endpoint_list.apply_stream_event(
        restarted.now, 3, True, [("e1", ("10.0.0.1", 1), EngineState.READY, "a", "old", 0, 0, 0.5)]
    )
    restarted.carry_out_effects()
    assert restarted.published["e1"][:2] == (EngineState.READY, 1.0)
