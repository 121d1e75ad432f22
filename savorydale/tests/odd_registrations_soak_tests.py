"""Fixed seeds of the soak of odd registrations; seeds that have failed are kept."""

import asyncio

import pytest

from savorydale.tests.odd_registrations_soak import run_seed


@pytest.mark.parametrize("seed", [1])
def test_odd_registrations_end_no_process_and_no_term(seed, tmp_path):
    assert asyncio.run(run_seed(seed, tmp_path)) == []
