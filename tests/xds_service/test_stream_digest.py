"""The responses on generated discovery streams are byte for byte the recorded ones.

They were those of commit c5b2902 until versions got tombstones. An intended change of a decision changes
digests: record them again, and say why in the commit message.
"""

import pytest

from xds_service.stream_scenario import StreamScenario

STEPS = 4000
# By seed and time to live of endpoints in ticks.
DIGESTS = {
    (1, 0): "903ffc7e5272a95c38714fb73affdd5a",
    (2, 0): "c9abfa1fa7ee9cf610a46296ed0cab63",
    (3, 0): "eeb0273ae9d7faf36ba4bd80ff6bdd92",
    (4, 0): "a4dff391189b3c84dfbd5637b37a1a38",
    (5, 0): "6ea35c12b5864fc830f33b6ec6714d22",
    (6, 0): "c034f77d2927fac592ea5e5d3c27975d",
    (7, 30000): "ee664eec70e552b4adf56ea0209ffc11",
    (8, 30000): "3c53a8025c4939790e60386051b3bc5c",
}


@pytest.mark.parametrize("seed,ttl", DIGESTS)
def test_responses_match_the_recorded_digests(seed, ttl):
    scenario = StreamScenario(seed, ttl)
    assert scenario.run(STEPS) == DIGESTS[seed, ttl]
    kinds = {line.split(" ", 1)[0] for line in scenario.lines}
    assert kinds >= {"response", "nothing", "log", "status", "tick", "ready"}
    assert sum(line.startswith("response") for line in scenario.lines) > 600
