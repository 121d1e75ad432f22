"""A short seeded run with real processes; each seed that ever failed is kept here."""

import asyncio

import pytest

from savorydale.tests.process_soak import run_seed


@pytest.mark.parametrize("seed", [1])
def test_faults_from_outside_break_no_promise(seed, tmp_path):
    assert asyncio.run(run_seed(seed, tmp_path)).violations == []
