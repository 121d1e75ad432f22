"""What was refused stands for all that ask for as much; nothing else is skipped."""

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.placement.failed_placements import FailedPlacements

SHORT = StepSpec(1, 2000, 1000)
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
        (SHORT, 0.3, False),
    ],
)
def test_a_refusal_covers_what_asks_for_as_much(spec, speed, covered):
    no_room = FailedPlacements()
    no_room.add("desk", BACKFILL, 0.3, fits_somewhere=True)
    assert no_room.covers("desk", spec, speed) is covered
    assert not no_room.covers("other", spec, speed)


@pytest.mark.parametrize(
    "limit", [{"required_label": "x"}, {"max_per_worker": 1}, {"gang": True}]
)
def test_a_refusal_for_limits_of_its_own_covers_nothing(limit):
    no_room = FailedPlacements()
    no_room.add("desk", SHORT._replace(**limit), 0.0, fits_somewhere=True)
    assert not no_room.covers("desk", SHORT, 0.0)


@pytest.mark.parametrize("limit", [{"required_label": "x"}, {"max_per_worker": 1}])
def test_a_refusal_counts_for_all_if_no_worker_has_room(limit):
    no_room = FailedPlacements()
    no_room.add("desk", SHORT._replace(**limit), 0.0, fits_somewhere=False)
    assert no_room.covers("desk", SHORT, 0.0)


def test_a_refusal_for_want_of_accelerators_covers_nothing():
    no_room = FailedPlacements()
    no_room.add("desk", SHORT._replace(accelerators=1), 0.0, fits_somewhere=False)
    assert not no_room.covers("desk", SHORT, 0.0)
