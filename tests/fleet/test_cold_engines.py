"""A cold engine under several processes of the program that share nothing, counted at the engine alone."""

import time

import pytest
from bench_free import collapse_budget

from fleet.rig import SEEDS, fleet
from fleet.test_budgets import COLD, COST, WINDOW, at_engine, worst

SIZE = 8
# What makes an engine of eight cores fall, in queries a window.
WHOLE = 2.5 * 0.85 * 8 * 0.3 * WINDOW / (COST / 1000)
BUDGET = collapse_budget(WHOLE)


@pytest.mark.parametrize("seed", SEEDS)
def test_uneven_traffic_a_burst_and_a_restart_push_no_cold_engine_over(tmp_path, seed):
    with fleet(tmp_path, SIZE, seed, engines=1, obligations=COLD, cost=COST, cold=True) as f:
        f.serve(0, 1, every=0.1, many=6, groups=("lookup",))
        f.serve(*range(2, SIZE), every=0.5, many=1, groups=("lookup",))
        time.sleep(WINDOW)
        # In the middle of a window: what it sent before is unknown to it.
        f.kill(0)
        f.start(0)
        f.serve(*range(SIZE), every=0.1, many=4, groups=("lookup",))
        time.sleep(3 * WINDOW)
        f.quiet()
        got = at_engine(f)
        assert len(got) > WHOLE / 2, f"the engine starved: {len(got)}; seed {seed}"
        assert worst(got, WINDOW) <= BUDGET, f"{worst(got, WINDOW)} of {BUDGET:.0f}; seed {seed}"
        assert not f.breaches()[0]
