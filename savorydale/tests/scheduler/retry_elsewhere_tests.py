"""A task that has failed waits for another worker, but not for long."""

import asyncio

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import PlannerFixture

JOB = "00000000000000a1"
BATCH = StepSpec(1, 2000, 1000, estimate_ms=500)
MAX_WAIT_SECONDS = 3.0  # a ready job may have nothing running for this long


def fill(link):
    """Let a long-running task take what is free on a worker."""
    free = link.load.capacity.cpu_millicores - link.load.cpu_millicores
    spec = StepSpec(1, free, 0, long_running=True)
    run = Run(TaskId("filler", 0, 0, 0), 1, spec, 0.0)
    link.reserve(run)
    return run


def fail(fixture, job, worker):
    """Let the first run of a job's task fail on a worker."""
    now = asyncio.get_running_loop().time()
    [step] = job.steps_of(0)
    [task] = step.tasks
    fixture.state.job_tracker.assign(step, task, worker)
    end = EndedRun(1, task.id, 1, EndReason.FAILED, "")
    fixture.state.job_tracker.apply_end(worker, end, now)


async def retry(workers, free_after=None):
    """Return the worker and the time of the retry of a task that failed on w0.

    All other workers are full, the last one until ``free_after``.
    """
    fixture = PlannerFixture(workers)
    others = fixture.state.links[1:]
    fillers = [fill(link) for link in others]
    began_at = asyncio.get_running_loop().time()
    fail(fixture, fixture.submit(JOB, BATCH), "w0")
    if free_after is not None:
        starts = await fixture.plan(free_after)
        assert not starts
        others[-1].unreserve(fillers[-1])
    starts = await fixture.plan(MAX_WAIT_SECONDS)
    return starts[0].link.worker, starts[0].run.assigned_at - began_at


@on_virtual_time
async def test_task_starts_on_another_worker_that_is_full_when_it_fails():
    worker, _ = await retry(workers=3, free_after=1.0)
    assert worker == "w2"


@on_virtual_time
async def test_task_is_retried_where_it_failed_if_others_stay_full():
    worker, seconds = await retry(workers=3)
    assert worker == "w0"
    assert 1.0 < seconds < MAX_WAIT_SECONDS - 1.0


@on_virtual_time
async def test_task_on_the_only_worker_is_retried_at_once():
    worker, seconds = await retry(workers=1)
    assert (worker, seconds) == ("w0", 0.0)


@on_virtual_time
async def test_task_that_waits_for_another_worker_does_not_hold_up_others():
    fixture = PlannerFixture(workers=2)
    fill(fixture.state.links[1])
    fail(fixture, fixture.submit(JOB, BATCH), "w0")
    fixture.submit("00000000000000b2", BATCH)
    [start] = await fixture.plan(0.1)
    assert start.run.task.job == "00000000000000b2"
