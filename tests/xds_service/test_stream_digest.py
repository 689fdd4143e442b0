"""The responses on generated discovery streams are byte for byte the recorded ones.

They were those of commit c5b2902 until versions got tombstones. An intended change of a decision changes
digests: record them again, and say why in the commit message.
"""

import pytest

from xds_service.stream_scenario import StreamScenario

STEPS = 4000
# By seed and time to live of endpoints in ticks.
DIGESTS = {
    (1, 0): "454dc02920fc677084783b058ee82ebe",
    (2, 0): "8733bd396261ad56cdc20e3f0fe3c5f4",
    (3, 0): "4b023ca7c67bf2d8d8fe1902a2c7bf31",
    (4, 0): "0f0501ee54c45a23b32c8933267f3c2d",
    (5, 0): "8a308d3ba2654b174301640d78949799",
    (6, 0): "26044a7f8fc3b12fd3c55068199f733c",
    (7, 30000): "ee664eec70e552b4adf56ea0209ffc11",
    (8, 30000): "ea73dc17159cb738133ea9a2229a3b8c",
}


@pytest.mark.parametrize("seed,ttl", DIGESTS)
def test_responses_match_the_recorded_digests(seed, ttl):
    scenario = StreamScenario(seed, ttl)
    assert scenario.run(STEPS) == DIGESTS[seed, ttl]
    kinds = {line.split(" ", 1)[0] for line in scenario.lines}
    assert kinds >= {"response", "nothing", "log", "status", "tick", "ready"}
    assert sum(line.startswith("response") for line in scenario.lines) > 600
