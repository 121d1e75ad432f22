"""Failing tasks do not keep all workers of a service from getting tasks."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import SERVICE, PlannerFixture

MAX_IDLE_SECONDS = 3.0  # a ready job may have nothing running for this long
BATCH = StepSpec(1, 2000, 1000, estimate_ms=500)


def fail_tasks(fixture, worker):
    """Let tasks of two jobs fail on a worker, one after the other."""
    now = asyncio.get_running_loop().time()
    for job in ("poison-1", "poison-2"):
        end = EndedRun(1, TaskId(job, 0, 0, 0), 1, EndReason.FAILED, "")
        fixture.state.health_of(worker).on_end(end, now)


@pytest.mark.parametrize("spec", [BATCH, SERVICE], ids=["batch", "service"])
@on_virtual_time
async def test_job_does_not_wait_while_failing_tasks_quarantine_all_workers(spec):
    fixture = PlannerFixture(workers=3)
    for link in fixture.state.links:
        fail_tasks(fixture, link.worker)
    fixture.submit("00000000000000a1", spec)
    starts = await fixture.plan(seconds=10)
    assert starts[0].run.assigned_at <= MAX_IDLE_SECONDS
