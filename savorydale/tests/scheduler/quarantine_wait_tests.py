"""Failing tasks do not keep all workers of a service from getting tasks."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import SERVICE, PlannerFixture

MAX_FAILURES = 10
MAX_IDLE_SECONDS = 3.0  # a ready job may have nothing running for this long
BATCH = StepSpec(1, 2000, 1000, estimate_ms=500)


def fail_tasks(fixture, link):
    """Let tasks of several jobs fail on a worker until it is quarantined."""
    now = asyncio.get_running_loop().time()
    for number in range(MAX_FAILURES):
        end = EndedRun(1, TaskId(f"poison-{number}", 0, 0, 0), 1, EndReason.FAILED, "")
        if fixture.state.record_end(link, end, now).begins_quarantine:
            return
    raise AssertionError("the worker is not quarantined")


@pytest.mark.parametrize("workers", [1, 2, 3])
@pytest.mark.parametrize("spec", [BATCH, SERVICE], ids=["batch", "service"])
@on_virtual_time
async def test_job_does_not_wait_while_failing_tasks_quarantine_all_workers(
    spec, workers
):
    fixture = PlannerFixture(workers)
    for link in fixture.state.links:
        fail_tasks(fixture, link)
    fixture.submit("00000000000000a1", spec)
    starts = await fixture.plan(seconds=10)
    assert starts[0].run.assigned_at <= MAX_IDLE_SECONDS


@pytest.mark.parametrize("spec", [BATCH, SERVICE], ids=["batch", "service"])
@on_virtual_time
async def test_job_does_not_wait_while_the_only_other_worker_is_draining(spec):
    fixture = PlannerFixture(workers=2)
    quarantined, draining = fixture.state.links
    fail_tasks(fixture, quarantined)
    draining.info = draining.info._replace(is_draining=True)
    fixture.submit("00000000000000a1", spec)
    [start] = await fixture.plan(seconds=0.1)
    assert start.link is quarantined


@on_virtual_time
async def test_batch_work_avoids_the_one_of_two_workers_that_is_quarantined():
    fixture = PlannerFixture(workers=2)
    quarantined, other = fixture.state.links
    fail_tasks(fixture, quarantined)
    fixture.submit("00000000000000a1", BATCH)
    [start] = await fixture.plan(seconds=3)
    assert start.link is other
