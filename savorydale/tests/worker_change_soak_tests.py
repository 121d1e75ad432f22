"""Fixed seeds of the soak of changing workers; seeds that have failed are kept here."""

import pytest

from savorydale.tests.service_soak import run_seed
from savorydale.tests.worker_change_soak import WorkerChangeSoak


# 22 to 87: the lapse of a silent worker's lease was noticed late.
# 99, 100, 153: a new holder counted a full lease of a worker that had ended.
@pytest.mark.parametrize("seed", [1, 22, 29, 60, 67, 70, 76, 87, 99, 100, 153])
def test_tasks_of_changing_workers_are_back_in_time(seed):
    assert run_seed(seed, WorkerChangeSoak).violations == []
