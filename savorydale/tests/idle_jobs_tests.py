"""A job of which nothing runs starts in time, with real entries, store and workers."""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

WORKER_COUNT = 3
MAX_IDLE_SECONDS = 3.0  # a ready job may have nothing running for this long
LEARNING_SECONDS = 20.0
TAIL_MS = 7
DISTURBED_TAIL_MS = 200
SERVICE = StepSpec(
    WORKER_COUNT,
    1000,
    1000,
    long_running=True,
    image="feed",
    latency_target_ms=18,
    max_per_worker=1,
)
HARMFUL = StepSpec(WORKER_COUNT, 2000, 500, image="report", backfill=True)
HARMLESS = StepSpec(
    WORKER_COUNT, 6000, 500, image="export", backfill=True, max_per_worker=1
)
STEP_BY_JOB = {
    "00000000000000f1": SERVICE,
    "00000000000000a1": HARMFUL,
    "00000000000000b1": HARMLESS,
    "00000000000000a2": HARMFUL,
}
SERVICE_JOB, TEACHER, OTHER_BACKFILL, IDLE_JOB = STEP_BY_JOB


def report_usage(worker):
    """Let a worker report tails that `HARMFUL` increases, and the CPU of backfill."""
    renew = worker._renew

    async def renew_and_report(order):
        reply = await renew(order)
        steps = [STEP_BY_JOB[row[0].split(".")[0]] for row in reply.body["running"]]
        speeds = [
            worker.run_by_task[row[0]].cpu_share_percent / 100
            for row in reply.body["running"]
        ]
        is_disturbed = any(
            step is HARMFUL and speed > 0
            for step, speed in zip(steps, speeds, strict=True)
        )
        for row, step, speed in zip(reply.body["running"], steps, speeds, strict=True):
            row[4] = int(step.cpu_millicores * speed)
            if step is SERVICE:
                row[4] = DISTURBED_TAIL_MS if is_disturbed else TAIL_MS
        return reply

    worker._renew = renew_and_report


def run_for_ever(task, run):
    return Plan(None)


async def submit(branch, job):
    step = STEP_BY_JOB[job]
    branch.checker.add_job(job, [step], 2)
    await branch.submit_when_ready("e0", job, step)


def has_started(branch, job):
    return any(task.startswith(job) for task in branch.checker.starts)


@on_virtual_time
async def test_idle_backfill_job_starts_beside_other_backfill_and_services():
    async with open_branch(
        lambda task, run: Plan(None), workers=WORKER_COUNT
    ) as branch:
        for worker in branch.worker_by_name.values():
            report_usage(worker)
        await submit(branch, SERVICE_JOB)
        await submit(branch, TEACHER)
        await asyncio.sleep(LEARNING_SECONDS)
        await submit(branch, OTHER_BACKFILL)
        await asyncio.sleep(1.0)
        assert has_started(branch, OTHER_BACKFILL)
        await submit(branch, IDLE_JOB)
        await branch.wait_until(lambda: has_started(branch, IDLE_JOB), MAX_IDLE_SECONDS)
