"""Start orders that arrive late, at a worker that was restarted under the same name.

Guarded failure: a takeover finds an earlier run of a task than the one it restores, and
starts the task elsewhere while that run still exists.
"""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.orders.interface import Accepted, Unanswered
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
RUN_SECONDS = 20.0


@on_virtual_time
async def test_task_waits_for_an_earlier_run_that_began_late():
    async with open_branch(lambda task, run: Plan(RUN_SECONDS), workers=1) as branch:
        holder = branch.scheduling_entry()
        unsent = []

        async def lose_start(target, order):
            unsent.append((target, order))
            return Unanswered("lost")

        orders = branch.entry_by_name[holder]._orders
        send_start = orders.start
        orders.start = lose_start
        await branch.submit(holder, JOB, StepSpec(1, 500, 100, estimate_ms=20_000))
        await branch.wait_until(lambda: len(unsent) == 2, 5)
        await branch.kill_entry(holder)
        branch.worker_by_name["w0"].crash()
        assert isinstance(await send_start(*unsent[0]), Accepted)  # arrives late
        branch.add_worker("w1")
        await asyncio.sleep(8.0)
        assert branch.checker.violations == []
