"""Whether a run is stalled is judged by the reports of its worker alone."""

import asyncio
import types

from savorydale.counters import Counters
from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run, RunState, WorkerLoad
from savorydale.scheduler.run_mover import RunMover
from savorydale.scheduler.state import SchedulerState
from savorydale.tests.harness import on_virtual_time

REPORTED_AT = 10.0


def make_link(run, stopped):
    return types.SimpleNamespace(
        worker="w1",
        info=types.SimpleNamespace(is_draining=False, service="desk"),
        is_registered=True,
        last_contact_at=REPORTED_AT,
        is_in_contact=lambda now: True,
        load=WorkerLoad(Resources(8000, 8000, 0)),
        run_by_task={run.task: run},
        stop=stopped.append,
    )


async def moved_runs(progressed_at, now):
    """Return the runs that are moved by a check at ``now``."""
    await asyncio.sleep(now - asyncio.get_running_loop().time())
    task = TaskId("j", 0, 0, 0)
    run = Run(task, 1, StepSpec(1, 1000, estimate_ms=1000), 0.0, RunState.ACTIVE)
    run.progressed_at = progressed_at
    stopped = []
    state = SchedulerState()
    state.link_by_worker["w1"] = make_link(run, stopped)
    RunMover(state, Counters()).move_runs()
    return stopped


@on_virtual_time
async def test_run_without_progress_is_moved():
    assert await moved_runs(REPORTED_AT - 3.0, REPORTED_AT + 0.5)


@on_virtual_time
async def test_delay_of_the_scheduler_moves_no_run():
    assert not await moved_runs(REPORTED_AT - 0.5, REPORTED_AT + 1.8)
