import pytest

from savorydale.tests.soak import run_soak


@pytest.mark.parametrize("seed", [1, 2, 9, 64, 204])
def test_random_faults_violate_no_invariant(seed):
    report = run_soak(seed, 120.0)
    assert report.violations == [], "\n".join(report.events[-40:])
    assert report.runs_finished == report.runs_submitted > 0
    assert report.count_by_outcome["answered"] > 100
