"""Under overload by backfill, started jobs of all sizes are finished.

The tests guard against small jobs that overtake large ones at every start.
"""

import pytest

from savorydale.tests.queueing.overload_simulation import (
    between_size_quantiles,
    served_ratio,
    simulate,
)

CORES = 1200
SECONDS = 30
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.5, 2.0])
def test_large_jobs_are_served_at_least_half_as_often_as_all(load, seed):
    outcomes = simulate(load, CORES, SECONDS, seed)
    half = served_ratio(outcomes) / 2
    assert served_ratio(between_size_quantiles(outcomes, 0.9, 1.0)) >= half
    assert served_ratio(between_size_quantiles(outcomes, 0.7, 0.9)) >= half
