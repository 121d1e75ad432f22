"""A worker restarts under its identifier while starts are planned for it."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
ENTRY = "e0"
TASK = StepSpec(8, 500, 100)
RUN_SECONDS = 30.0
TRANSACTION_SECONDS = 0.4
SLOW_REPLY_SECONDS = 0.45


def long_task(task, run):
    return Plan(RUN_SECONDS)


@pytest.mark.parametrize("delay_ms", range(0, 2000, 100))
@on_virtual_time
async def test_planned_run_is_not_given_up_while_its_start_order_is_sent(delay_ms):
    async with open_branch(long_task, entries=1, workers=2) as branch:
        branch.checker.add_job(JOB, [TASK], attempts=2)
        for worker in branch.worker_by_name:
            faults = branch.faults_between(ENTRY, f"{worker}:80")
            faults.reply_delay_seconds = SLOW_REPLY_SECONDS
        await asyncio.sleep(5)
        branch.worker_by_name["w0"].crash()
        await asyncio.sleep(delay_ms / 1000)
        await branch.submit(ENTRY, JOB, TASK)
        branch.store.transaction_seconds = TRANSACTION_SECONDS
        await branch.wait_until(lambda: branch.checker.running_task_count(JOB) == 8, 15)
        await asyncio.sleep(3)
        assert branch.checker.running_task_count(JOB) == 8
