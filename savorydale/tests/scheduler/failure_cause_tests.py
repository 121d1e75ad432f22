"""A job counts once against a worker, unless other tasks of its step are done."""

import asyncio

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import PlannerFixture

JOB = "00000000000000a1"
WIDE = StepSpec(12, 2000, 1000, estimate_ms=500)


def fail_all_but_the_first(fixture, link):
    """Let tasks of a job fail on a worker; return whether it is quarantined."""
    now = asyncio.get_running_loop().time()
    ends = [
        EndedRun(index, TaskId(JOB, 0, 0, index), 1, EndReason.FAILED, "")
        for index in range(1, WIDE.task_count)
    ]
    return any(
        fixture.state.record_end(link, end, now).begins_quarantine for end in ends
    )


@on_virtual_time
async def test_worker_is_not_quarantined_for_a_job_that_may_fail_anywhere():
    fixture = PlannerFixture(workers=3)
    fixture.submit(JOB, WIDE)
    assert not fail_all_but_the_first(fixture, fixture.state.links[0])


@on_virtual_time
async def test_worker_is_quarantined_for_tasks_of_a_job_that_succeeds_elsewhere():
    fixture = PlannerFixture(workers=3)
    [step] = fixture.submit(JOB, WIDE).steps_of(0)
    step.mark_done(step.tasks[0])
    assert fail_all_but_the_first(fixture, fixture.state.links[0])


@on_virtual_time
async def test_repeated_failures_on_one_worker_do_not_excuse_another():
    fixture = PlannerFixture(workers=3)
    first, second, third = fixture.state.links
    now = asyncio.get_running_loop().time()
    fixture.submit(JOB, WIDE)
    for number in range(100):
        done = EndedRun(number, TaskId("other", 0, 0, number), 1, EndReason.DONE, "")
        fixture.state.record_end(third, done, now)
    task = TaskId(JOB, 0, 0, 0)
    for number in range(40):
        end = EndedRun(number, task, number + 1, EndReason.FAILED, "")
        fixture.state.record_end(first, end, now)
    done = EndedRun(1, TaskId(JOB, 0, 0, 1), 1, EndReason.DONE, "")
    assert fixture.state.record_end(second, done, now).failure_ratio_elsewhere < 0.12
