"""A worker that crashes for its own reasons costs little more than its own runs.

Guarded failure: all tasks that had started there shortly before were taken for suspects
and started one to a worker, each for a second.
"""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

SERVICE_JOB = "00000000000000a1"
RUN_SECONDS = 3.0
DOWN_SECONDS = 2.0
# The lost runs start again at once or when their worker is back, then take their time.
MAX_RECOVERY_SECONDS = DOWN_SECONDS + RUN_SECONDS + 1.0


def crash_and_bring_back(branch, name):
    worker = branch.worker_by_name[name]
    worker.crash(restarts=False)

    async def bring_back():
        await asyncio.sleep(DOWN_SECONDS)
        worker.is_up = True
        branch.register(name)

    branch.spawn(bring_back())


@pytest.mark.parametrize("crash_count", [1, 3, 5])
@on_virtual_time
async def test_jobs_on_crashed_workers_are_not_held_up(crash_count):
    async with open_branch(
        lambda task, run: Plan(RUN_SECONDS), entries=1, workers=10
    ) as branch:
        await asyncio.sleep(3.0)
        jobs = [f"{number:016x}" for number in range(60)]
        step = StepSpec(12, 100, 10, estimate_ms=3000)
        for job in jobs:
            await branch.submit("e0", job, step)
            await asyncio.sleep(0.05)
        for number in range(crash_count):
            crash_and_bring_back(branch, f"w{number}")
        await asyncio.sleep(MAX_RECOVERY_SECONDS)
        statuses = [await branch.status("e0", job) for job in jobs]
        assert statuses == [JobStatus.COMPLETED] * len(jobs)


@pytest.mark.parametrize("task_count", [20, 60])
@on_virtual_time
async def test_services_that_had_just_started_are_back_with_their_worker(task_count):
    async with open_branch(
        lambda task, run: Plan(None), entries=1, workers=4
    ) as branch:
        await asyncio.sleep(3.0)
        step = StepSpec(task_count, 100, 10, long_running=True)
        await branch.submit("e0", SERVICE_JOB, step)
        await asyncio.sleep(0.5)
        crash_and_bring_back(branch, "w0")
        await asyncio.sleep(DOWN_SECONDS + 1.0)
        assert branch.checker.running_task_count(SERVICE_JOB) == task_count
