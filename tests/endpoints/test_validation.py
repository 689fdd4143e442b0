"""Tests the validation of changes: the code for each exceeded limit, and the consequence by the policy."""

import orjson
import pytest

from endpoints.support import ListHarness, make_endpoint, make_endpoints
from wickvane.endpoints.effects import AppendRecord, PublishUpdate
from wickvane.endpoints.findings import Severity
from wickvane.endpoints.records import encode_record
from wickvane.endpoints.snapshot import Endpoint, make_snapshot, update_snapshot
from wickvane.units import TICKS_PER_SECOND


@pytest.mark.parametrize(
    "after, code",
    [
        ([], "empty"),
        (make_endpoints(10, weight=0.0), "empty"),
        (make_endpoints(5), "share-removed"),
        (make_endpoints(6) + [make_endpoint(n, weight=0.0) for n in range(6, 10)], "share-removed"),
        (make_endpoints(9), "group-without-engine"),
        (
            [make_endpoint(n) for n in range(9)] + [make_endpoint(9, weight=0.0, kind="new")],
            "group-without-engine",
        ),
        (make_endpoints(9) + [make_endpoint(9, kind="odd")], "kind-unknown"),
        (make_endpoints(9) + [make_endpoint(9, zone="x")], "zone-unknown"),
        (
            [make_endpoint(n, weight=9.0 if n == 1 else 1.0) for n in range(9)]
            + [make_endpoint(9, kind="new")],
            "weight-jump",
        ),
        ([make_endpoint(n) for n in range(1, 9)] + [make_endpoint(9, kind="new")], "capacity-left"),
        (
            [make_endpoint(n) for n in range(1, 9)]
            + [make_endpoint(9, kind="new"), make_endpoint(20, port=1000)],
            "address-taken-over",
        ),
    ],
)
def test_each_change_that_exceeds_a_limit_has_its_code(after: list[Endpoint], code: str) -> None:
    before = make_endpoints(9) + [make_endpoint(9, kind="new")]
    harness = ListHarness(
        load=64.0, load_fraction_severity=Severity.HOLD, weight_factor_severity=Severity.HOLD
    ).submit(before)
    assert harness.ready_names() == {f"e{n}" for n in range(10)}
    harness.submit(after)
    codes_logged = (
        harness.logged_codes("members-refused")
        + harness.logged_codes("members-held")
        + harness.logged_codes("members-taken")
    )
    assert any(code in codes for codes in codes_logged)
    if code != "address-taken-over":
        assert harness.ready_names() == {f"e{n}" for n in range(10)}  # a change is never applied in part


@pytest.mark.parametrize("severity", list(Severity), ids=["note", "steps", "hold", "refuse"])
def test_the_policy_decides_the_consequence_of_an_exceeded_limit(severity: Severity) -> None:
    harness = (
        ListHarness(removed_fraction_severity=severity, step_interval=TICKS_PER_SECOND)
        .submit(make_endpoints(10))
        .submit(make_endpoints(5))
    )
    assert (
        len(harness.ready_names())
        == {Severity.NOTE: 5, Severity.STAGE: 7, Severity.HOLD: 10, Severity.REJECT: 10}[severity]
    )


def test_the_cost_of_a_change_does_not_depend_on_the_length_of_the_list() -> None:
    harness = ListHarness(removed_fraction_severity=Severity.NOTE).submit(make_endpoints(5000))
    written = 0
    document = make_snapshot(0, make_endpoints(5000))
    for n in range(20):
        document = update_snapshot(document, 0, [make_endpoint(n, weight=0.5)])
        harness.endpoint_list.submit(harness.now, document, None)
        effects = harness.endpoint_list.take_effects()
        records = [effect.record for effect in effects if isinstance(effect, AppendRecord)]
        written += sum(len(orjson.dumps(encode_record(record))) for record in records)
        updates = [effect for effect in effects if isinstance(effect, PublishUpdate)]
        assert all(len(update.entries) == 1 for update in updates)
        assert len(document.changed) == 1
    assert written < 20 * 2000
