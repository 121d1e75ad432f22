"""Fixed seeds of the process soak; seeds that have failed are kept here."""

import asyncio

import pytest

from savorydale.tests.process_soak import run_seed


@pytest.mark.parametrize("seed", [1])
def test_external_faults_violate_no_invariant(seed, tmp_path):
    assert asyncio.run(run_seed(seed, tmp_path)).violations == []
