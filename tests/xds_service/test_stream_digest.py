"""The responses on generated discovery streams are byte for byte those of commit c5b2902.

An intended change of a decision changes digests: record them again, and say why in the commit message.
"""

import pytest

from xds_service.stream_scenario import StreamScenario

STEPS = 4000
# By seed and time to live of endpoints in ticks.
DIGESTS = {
    (1, 0): "5299dd7b5f3a52e8f655f25ee48e8662",
    (2, 0): "f40d537e591a655f0cef522eb07cbbca",
    (3, 0): "ecfc2d84cfd7b3a6aa9414d252f7dfa9",
    (4, 0): "545a1e3003154e02ce7e3e80dab63505",
    (5, 0): "e83091522ebb8a4f4b7fa12f212ef9d9",
    (6, 0): "366f481f05099eab0c9d9d60f3415d61",
    (7, 30000): "8be198af06687d58a93dd61a7536f25a",
    (8, 30000): "27486fc4e4319215eb7a8e7df336a91a",
}


@pytest.mark.parametrize("seed,ttl", DIGESTS)
def test_responses_match_the_recorded_digests(seed, ttl):
    scenario = StreamScenario(seed, ttl)
    assert scenario.run(STEPS) == DIGESTS[seed, ttl]
    kinds = {line.split(" ", 1)[0] for line in scenario.lines}
    assert kinds >= {"response", "nothing", "log", "status", "tick", "ready"}
    assert sum(line.startswith("response") for line in scenario.lines) > 600
