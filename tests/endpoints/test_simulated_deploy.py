"""Tests a rolling deploy in virtual time with the endpoint list from a watched file."""

from wickvane.rehearsal.script import read_text
from wickvane.rehearsal.world import play


def test_a_simulated_rolling_deploy_by_file_serves_as_well_as_by_stream() -> None:
    served = {}
    for lists in ("stream", "file"):
        day = play(
            read_text(
                """rehearsal {
            length "30s"; gateways 3; lists "LISTS"
            engines "e" count=9 cores=4 disks=4
            group "lookup" { work "100ms"; promise "600ms"; timeout "2s" }
            clients "a" { group "lookup"; rate 200; retries 2; back-off "200ms" }
            budget free=3 share=0.1 window="5s"
            trouble "deploy" at="5s" for="10s" part=0.7 size=3
            trouble "kill" at="12s" for="2s" part=0.3
        }""".replace("LISTS", lists)
            ),
            1,
            False,
        )
        assert not day.breaches and day.checked[3] > 1000
        served[lists] = day.service()
    assert abs(served["file"] - served["stream"]) < 0.05
