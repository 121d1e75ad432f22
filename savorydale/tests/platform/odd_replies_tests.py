"""An odd reply of a worker affects only this worker, until its replies are right."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.row_store import Reply
from standins.task_worker import Plan

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
SERVICE_JOB = "00000000000000c1"
BACKFILL_JOB = "00000000000000c2"
STEP = StepSpec(6, 500, 100, estimate_ms=500)
SERVICE_STEP = StepSpec(
    3, 500, 100, long_running=True, max_per_worker=1, image="page", latency_target_ms=50
)
BACKFILL_STEP = StepSpec(3, 500, 100, estimate_ms=500, backfill=True, image="crawl")
HUGE = 10**400
TASK = "0123456789abcdef.0.0.0"


def with_fields(**fields):
    return lambda body: {**body, **fields}


def with_first_run(position, value):
    """Change one field of each listed run."""

    def change(body):
        rows = [list(row) for row in body["running"]]
        for row in rows:
            row[position] = value
        return {**body, "running": rows}

    return change


ODD_REPLIES = {
    "clock of 400 digits": with_fields(clockMs=HUGE),
    "clock of 400 digits below zero": with_fields(clockMs=-HUGE),
    "clock as large as a float can be": with_fields(clockMs=1e308),
    "clock as small as a float can be": with_fields(clockMs=-1e308),
    "clock is a text": with_fields(clockMs="5"),
    "clock is not finite": with_fields(clockMs=float("nan")),
    "clock jumps ahead": with_fields(clockMs=10**15),
    "born of 400 digits": with_fields(born=HUGE),
    "born below zero": with_fields(born=-7),
    "born with a fraction": with_fields(born=1000.5),
    "born is true": with_fields(born=True),
    "no list of runs": with_fields(running=None),
    "runs is an object": with_fields(running={}),
    "run of 400 digits": with_first_run(1, HUGE),
    "progress as large as a float can be": with_first_run(3, 1e308),
    "progress below zero": with_first_run(3, -1e308),
    "usage as large as a float can be": with_first_run(4, 1e308),
    "usage below zero": with_first_run(4, -1e308),
    "usage of 400 digits": with_first_run(4, HUGE),
    "unknown run that is odd": lambda body: {
        **body,
        "running": [*body["running"], [[[]], 1, "", 0, 0]],
    },
    "end of 400 digits": with_fields(ended=[[HUGE, TASK, 1, "done", ""]]),
    "end below zero": with_fields(ended=[[-HUGE, TASK, 1, "done", ""]]),
    "end of an unknown kind": with_fields(ended=[[1, TASK, 1, "lost", ""]]),
    "end without a task": with_fields(ended=[[1, "", 1, "done", ""]]),
}


def plan_run(task, run):
    return Plan(None) if task.startswith(SERVICE_JOB) else Plan(0.5)


def change_renewals(worker, change):
    """Change the replies to renewals of a worker; return the method that it had."""
    handle = worker.handle

    async def handle_and_change(method, path, params, body):
        reply = await handle(method, path, params, body)
        if path != "/-/hold" or reply.status != 200:
            return reply
        return Reply(200, change(reply.body))

    worker.handle = handle_and_change
    return handle


@pytest.mark.parametrize("name", ODD_REPLIES)
@on_virtual_time
async def test_odd_reply_of_a_worker_ends_no_term(name):
    async with open_branch(plan_run, asserts_no_violations=False) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE_STEP)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(SERVICE_JOB) == 3, 5
        )
        worker = branch.worker_by_name["w0"]
        handle = change_renewals(worker, ODD_REPLIES[name])
        await asyncio.sleep(1)
        await branch.submit("e0", BACKFILL_JOB, BACKFILL_STEP)
        for job in (JOB, BACKFILL_JOB):
            if job == JOB:
                await branch.submit("e0", JOB, STEP)
            await branch.wait_for_status("e0", job, JobStatus.COMPLETED, 20)
        await asyncio.sleep(15)
        assert branch.counters.count("lease.given_up") == 0
        worker.handle = handle
        await asyncio.sleep(3)
        await branch.submit("e0", NEXT_JOB, STEP)
        await branch.wait_for_status("e0", NEXT_JOB, JobStatus.COMPLETED, 20)
        used = worker._highest_run_by_task
        assert any(task.startswith(NEXT_JOB) for task in used)
        assert branch.checker.running_task_count(SERVICE_JOB) == 3
        assert branch.counters.count("lease.given_up") == 0
