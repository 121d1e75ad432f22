"""A job of which nothing runs gets a backfill task while the fleet has capacity."""

import asyncio

from savorydale.placement.choice import MIN_BACKFILL_SPEED
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_tests import BACKFILL, PlannerFixture

MAX_IDLE_SECONDS = 3.0  # a ready job may have nothing running for this long
JOB = "00000000000000a1"


def make_throttled_fixture(workers=3):
    """Return a fleet on which every worker throttles `BACKFILL` to almost nothing."""
    fixture = PlannerFixture(workers)
    fixture.train_model(tail_ms=200.0)
    for link in fixture.state.links:
        assert fixture.state.colocation.speed_of(link, BACKFILL) < MIN_BACKFILL_SPEED
    return fixture


async def first_start_seconds(fixture, seconds):
    """Return when the first start is planned, or fail."""
    began_at = asyncio.get_running_loop().time()
    starts = await fixture.plan(seconds)
    assert starts, f"nothing is started within {seconds} s"
    return starts[0].run.assigned_at - began_at


@on_virtual_time
async def test_idle_job_starts_within_its_bound_on_an_unused_fleet():
    fixture = make_throttled_fixture()
    fixture.submit(JOB, BACKFILL)
    assert await first_start_seconds(fixture, 30) <= MAX_IDLE_SECONDS
