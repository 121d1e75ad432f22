"""More backfill comes than fits: what is begun is finished, whatever its size."""

import pytest

from savorydale.tests.queueing.overload_day import largest, play, served_ratio

CORES = 1200
SECONDS = 30
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.5, 2.0])
def test_large_jobs_are_served_at_least_half_as_often_as_all(load, seed):
    outcomes = play(load, CORES, SECONDS, seed)
    half = served_ratio(outcomes) / 2
    assert served_ratio(largest(outcomes, 0.9, 1.0)) >= half
    assert served_ratio(largest(outcomes, 0.7, 0.9)) >= half
