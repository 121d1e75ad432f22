"""Tests that a failed placement covers equal or larger demands, and nothing else."""

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.placement.failed_placements import FailedPlacements

BATCH = StepSpec(1, 2000, 1000)
BACKFILL = StepSpec(1, 2000, 1000, image="a", backfill=True)


@pytest.mark.parametrize(
    ("spec", "speed", "covered"),
    [
        (BACKFILL, 0.3, True),
        (BACKFILL._replace(cpu_millicores=3000, memory_mb=2000), 0.6, True),
        (BACKFILL._replace(cpu_millicores=1000), 0.3, False),
        (BACKFILL._replace(memory_mb=500), 0.3, False),
        (BACKFILL, 0.1, False),
        (BACKFILL._replace(image="b"), 0.3, False),
        (BATCH, 0.3, False),
    ],
)
def test_failure_covers_tasks_with_equal_or_larger_demand(spec, speed, covered):
    failed_placements = FailedPlacements()
    failed_placements.add("desk", BACKFILL, 0.3, fits_somewhere=True)
    assert failed_placements.covers("desk", spec, speed) is covered
    assert not failed_placements.covers("other", spec, speed)


@pytest.mark.parametrize(
    "limit", [{"required_label": "x"}, {"max_per_worker": 1}, {"gang": True}]
)
def test_failure_by_special_constraints_covers_nothing(limit):
    failed_placements = FailedPlacements()
    failed_placements.add("desk", BATCH._replace(**limit), 0.0, fits_somewhere=True)
    assert not failed_placements.covers("desk", BATCH, 0.0)


@pytest.mark.parametrize("limit", [{"required_label": "x"}, {"max_per_worker": 1}])
def test_failure_covers_all_tasks_if_no_worker_has_free_capacity(limit):
    failed_placements = FailedPlacements()
    failed_placements.add("desk", BATCH._replace(**limit), 0.0, fits_somewhere=False)
    assert failed_placements.covers("desk", BATCH, 0.0)


def test_failure_of_a_task_with_accelerators_covers_nothing():
    failed_placements = FailedPlacements()
    failed_placements.add(
        "desk", BATCH._replace(accelerators=1), 0.0, fits_somewhere=False
    )
    assert not failed_placements.covers("desk", BATCH, 0.0)
