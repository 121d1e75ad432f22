"""Tests that services leave headroom only when little capacity is left."""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

BATCH = StepSpec(8, 2000, 10, estimate_ms=300)
SERVICE = StepSpec(1, 5000, 10, long_running=True)


@on_virtual_time
async def test_service_that_fits_twice_starts_without_headroom():
    def plan(task, run):
        return Plan(None if task.startswith("f") else 0.3)

    async with open_branch(plan, workers=2) as branch:
        await branch.submit("e0", "00000000000000a1", BATCH)
        await asyncio.sleep(3)
        await branch.submit("e0", "f000000000000001", SERVICE)
        await branch.wait_until(
            lambda: any(task.startswith("f") for task in branch.checker.starts), 2
        )
