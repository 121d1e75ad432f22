"""Jobs whose starts are refused are pending until a worker begins a task.

Guarded failure: a job counts as started as soon as it is assigned to a worker, so that
no job is shown as pending while workers refuse all starts.
"""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import NO_REPLY_SECONDS, open_branch
from savorydale.tests.harness import on_virtual_time
from standins.row_store import Reply
from standins.task_worker import Plan

JOBS = [f"{number:016x}" for number in range(1, 7)]
STEP = StepSpec(1, 100, 10, estimate_ms=600)
CHECKS = 30
CHECK_INTERVAL_SECONDS = 0.2
VISIBLE_SECONDS = 5.0
START_TIMEOUT_SECONDS = 3.0
UNHEALTHY_STATUS = 503
RUN_SECONDS = 8.0


async def respond_unhealthy():
    return Reply(UNHEALTHY_STATUS, {})


async def respond_never():
    await asyncio.sleep(NO_REPLY_SECONDS)


def refuse_starts(branch, respond):
    """Let no worker begin a run; return a function that ends this."""
    workers = list(branch.worker_by_name.values())
    handle_by_worker = {worker: worker.handle for worker in workers}

    def refusing(handle):
        async def refuse(method, path, params, body):
            if path == "/-/run-start":
                return await respond()
            return await handle(method, path, params, body)

        return refuse

    def restore():
        for worker, handle in handle_by_worker.items():
            worker.handle = handle

    for worker in workers:
        worker.handle = refusing(worker.handle)
    return restore


async def count_pending(branch, entry):
    return await branch.entry_by_name[entry].job_store.count_pending("q1", 2.0)


@pytest.mark.parametrize("has_takeover", [False, True])
@pytest.mark.parametrize("respond", [respond_unhealthy, respond_never])
@on_virtual_time
async def test_jobs_that_no_worker_begins_are_pending(respond, has_takeover):
    async with open_branch(lambda task, run: Plan(RUN_SECONDS), entries=3) as branch:
        restore = refuse_starts(branch, respond)
        for job in JOBS:
            await branch.submit("e0", job, STEP)
        if has_takeover:
            await asyncio.sleep(1.0)
            await branch.stop_entry(branch.scheduling_entry())
        await asyncio.sleep(VISIBLE_SECONDS)
        entries = list(branch.entry_by_name)
        for _ in range(CHECKS):
            for entry in entries:
                assert await count_pending(branch, entry) == len(JOBS)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        assert await branch.status(entries[0], JOBS[0]) is JobStatus.QUEUED
        restore()
        for job in JOBS:
            await branch.wait_for_status(
                entries[0], job, JobStatus.RUNNING, START_TIMEOUT_SECONDS
            )
        await asyncio.sleep(VISIBLE_SECONDS)
        assert await count_pending(branch, entries[0]) == 0
