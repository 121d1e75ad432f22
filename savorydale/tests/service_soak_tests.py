"""Fixed seeds of the soak of services."""

import pytest

from savorydale.tests.service_soak import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_tasks_of_services_are_back_in_time(seed):
    assert run_seed(seed).violations == []
