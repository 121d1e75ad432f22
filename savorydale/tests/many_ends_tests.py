"""More runs end on a worker than one list of ends holds, while none is acknowledged.

A run that such a list does not name may have ended: its end comes with a later list.
"""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import STORE_ADDRESS, open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import MAX_ENDS_PER_REPLY, Plan

JOBS = [f"{number:016x}" for number in (1, 2)]
TASKS_PER_JOB = 400
TASK_SECONDS = 3.0
OUTAGE_SECONDS = 4.5
FINISH_SECONDS = 20.0
SETTLE_SECONDS = 3.0
SLOW_REPLY_SECONDS = 0.1  # the next list comes after the next planning round
STEP = StepSpec(TASKS_PER_JOB, 10, 10)


def short_tasks(task, run):
    return Plan(TASK_SECONDS)


async def start_all(branch, *steps_of_jobs):
    """Submit jobs that fit on one worker and wait until their tasks have started."""
    branch.set_capacity("w0", cpu=32_000, memMb=128_000)
    await asyncio.sleep(2.0)
    task_count = 0
    for job, step in zip(JOBS, steps_of_jobs, strict=True):
        await branch.submit_when_ready("e0", job, step)
        task_count += step.task_count
    assert task_count > MAX_ENDS_PER_REPLY
    await branch.wait_until(lambda: branch.checker.starts.total() == task_count, 2.9)


async def check_each_ran_once(branch, entry):
    for job in JOBS:
        await branch.wait_for_status(entry, job, JobStatus.COMPLETED, FINISH_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    assert {task: n for task, n in branch.checker.starts.items() if n > 1} == {}


def set_store_refusals(branch, refuses):
    for entry in branch.entry_by_name:
        branch.faults_between(entry, STORE_ADDRESS).refuses = refuses


@on_virtual_time
async def test_tasks_that_ended_in_a_store_outage_are_not_started_again():
    """Guards against a task that runs twice since its end was not listed yet."""
    async with open_branch(short_tasks, workers=1) as branch:
        await start_all(branch, STEP, STEP)
        set_store_refusals(branch, True)
        for entry in branch.entry_by_name:
            path = branch.faults_between(entry, "w0:80")
            path.reply_delay_seconds = SLOW_REPLY_SECONDS
        await asyncio.sleep(OUTAGE_SECONDS)
        set_store_refusals(branch, False)
        await check_each_ran_once(branch, "e0")


@pytest.mark.parametrize("seconds_without_holder", [0.0, 2.0])
@on_virtual_time
async def test_tasks_that_ended_before_a_takeover_are_not_started_again(
    seconds_without_holder,
):
    """Guards against runs that a new lease holder takes for never started."""
    async with open_branch(short_tasks, workers=1) as branch:
        await start_all(branch, STEP, STEP)
        holder = branch.scheduling_entry()
        await asyncio.sleep(TASK_SECONDS - 1.5)
        await branch.kill_entry(holder)
        other = next(iter(branch.entry_by_name))
        branch.faults_between(other, STORE_ADDRESS).refuses = True
        await asyncio.sleep(seconds_without_holder)
        branch.faults_between(other, STORE_ADDRESS).refuses = False
        await check_each_ran_once(branch, other)


@on_virtual_time
async def test_lost_run_is_noticed_once_the_list_of_ends_is_complete():
    """Guards against a task that waits for ever for an end that never comes."""
    async with open_branch(short_tasks, workers=1) as branch:
        await start_all(branch, STEP, STEP)
        set_store_refusals(branch, True)
        await asyncio.sleep(OUTAGE_SECONDS)
        worker = branch.worker_by_name["w0"]
        lost_end = worker._unacknowledged_ends.pop()
        set_store_refusals(branch, False)
        for job in JOBS:
            await branch.wait_for_status("e0", job, JobStatus.COMPLETED, FINISH_SECONDS)
        assert branch.checker.starts[lost_end[1]] == 2


@on_virtual_time
async def test_tasks_that_ended_before_a_restart_of_the_worker_run_again_once():
    """Guards against runs of an earlier incarnation that are waited for."""
    async with open_branch(
        lambda task, run: Plan(TASK_SECONDS if run == 1 else 0.5), workers=1
    ) as branch:
        await start_all(branch, STEP, STEP)
        set_store_refusals(branch, True)
        await asyncio.sleep(OUTAGE_SECONDS)
        branch.worker_by_name["w0"].crash()
        branch.register("w0")
        set_store_refusals(branch, False)
        for job in JOBS:
            await branch.wait_for_status("e0", job, JobStatus.COMPLETED, FINISH_SECONDS)
        assert max(branch.checker.starts.values()) <= 2
