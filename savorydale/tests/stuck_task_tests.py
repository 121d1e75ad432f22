"""A task that never progresses, on any worker, does not leave sound workers out.

Guarded failure: each worker that it is moved to is quarantined, though the runs beside
it progress and end.
"""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

STUCK_JOB = "f" * 16
STEP = StepSpec(2, 1000, 10, estimate_ms=300)
LOAD_SECONDS = 20.0
JOB_INTERVAL_SECONDS = 0.025
MAX_QUARANTINES = 2  # that it stalls on two workers shows that it is the cause


@on_virtual_time
async def test_task_that_is_stuck_anywhere_quarantines_no_worker_after_two(caplog):
    def plan(task, run):
        return Plan(None if task.startswith(STUCK_JOB) else 0.3)

    async with open_branch(plan, attempts=4, workers=4) as branch:
        await branch.submit("e0", STUCK_JOB, STEP._replace(task_count=1))
        for number in range(round(LOAD_SECONDS / JOB_INTERVAL_SECONDS)):
            await branch.submit("e0", f"{number:016x}", STEP)
            await asyncio.sleep(JOB_INTERVAL_SECONDS)
        lines = [each for each in caplog.records if each.msg == "worker is quarantined"]
        assert len(lines) <= MAX_QUARANTINES
